//! The beginning of a caller's connection, up to the end of the first request's head.

use {
    bytes::BytesMut,
    hyper::Request,
    std::io,
    tokio::{io::AsyncReadExt, net::TcpStream},
};

/// Bytes that are read at once.
const READ_BYTES: usize = 8 * 1024;

/// Most headers of a request that is relayed.
const HEADERS_MAX: usize = 100;

/// What a caller's connection begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The head of a request that states where the request ends.
    Request {
        /// Length of the head in bytes.
        head_bytes: usize,
        /// Length of the body in bytes.
        body_bytes: u64,
    },
    /// Anything else: a request in chunks, HTTP/2, a head that is too long, or no request.
    Other,
    /// The caller has closed the connection.
    Closed,
}

/// The bytes that were read from a caller and not passed on yet.
#[derive(Debug, Default)]
pub struct Opening {
    bytes: BytesMut,
    /// Bytes in which the end of the head was searched.
    searched: usize,
}

impl Opening {
    /// Reads until it is known what the connection begins with. A head is at most `head_bytes_max` long.
    ///
    /// What was read stays in the opening if this future is dropped.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn read(
        &mut self,
        caller: &mut TcpStream,
        head_bytes_max: usize,
    ) -> io::Result<Kind> {
        loop {
            self.bytes.reserve(READ_BYTES);
            if caller.read_buf(&mut self.bytes).await? == 0 {
                return Ok(Kind::Closed);
            }
            if let Some(head) = self.find_head_end() {
                return Ok(parse(&self.bytes[..head]));
            }
            if self.bytes.len() > head_bytes_max {
                return Ok(Kind::Other);
            }
        }
    }

    /// Takes the bytes.
    #[must_use]
    pub fn into_bytes(self) -> BytesMut {
        self.bytes
    }

    /// Finds the empty line after the head. Bytes of earlier searches are not read again.
    fn find_head_end(&mut self) -> Option<usize> {
        // The line feed before the empty line may have been the last byte.
        let from = self.searched.saturating_sub(2);
        self.searched = self.bytes.len();
        let searched = &self.bytes[from..];
        let ends = searched.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        let mut length = ends.filter_map(|(at, _)| match searched[at + 1..] {
            [b'\n', ..] => Some(at + 2),
            [b'\r', b'\n', ..] => Some(at + 3),
            _ => None,
        });
        length.next().map(|length| from + length)
    }
}

fn parse(head: &[u8]) -> Kind {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    if !matches!(parsed.parse(head), Ok(httparse::Status::Complete(_))) {
        return Kind::Other;
    }
    match body_length(parsed.headers) {
        Some(body_bytes) => Kind::Request { head_bytes: head.len(), body_bytes },
        None => Kind::Other,
    }
}

/// The method, target and headers of a request; `None` if the head is malformed.
pub(super) fn to_request(head: &[u8]) -> Option<Request<()>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).ok()?;
    let builder = Request::builder().method(parsed.method?).uri(parsed.path?);
    let headers = parsed.headers.iter();
    let builder =
        headers.fold(builder, |builder, header| builder.header(header.name, header.value));
    builder.body(()).ok()
}

/// Length of the body, if the headers state it beyond doubt.
fn body_length(headers: &[httparse::Header<'_>]) -> Option<u64> {
    let named = |name: &'static str| {
        headers.iter().filter(move |header| header.name.eq_ignore_ascii_case(name))
    };
    let changes_framing = |name: &&str| {
        ["transfer-encoding", "upgrade", "expect"].contains(&name.to_ascii_lowercase().as_str())
    };
    if headers.iter().map(|header| header.name).any(|name| changes_framing(&name)) {
        return None;
    }
    let mut lengths = named("content-length");
    match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some(length), None) => str::from_utf8(length.value).ok()?.parse().ok(),
        (Some(_), Some(_)) => None,
    }
}
