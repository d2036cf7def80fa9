//! A search for the head of a response in bytes that arrive in parts.

use {
    super::{
        STATUS_LINE_PREFIX,
        head::{Head, LineEnd},
        status_line::StatusLine,
    },
    crate::protocol::Protocol,
    memchr::memchr,
    std::mem,
};

/// A search for the head of an endpoint's response: one with an identifier or a signature.
///
/// Each byte is read once and nothing but the name of a header is kept, so the cost grows with the number of bytes alone, whatever
/// an endpoint sends.
///
/// ```
/// use siskin_gateway::{embedded::Search, protocol::Protocol};
/// fn is_found(protocol: &dyn Protocol) -> bool {
///     let mut search = Search::new(protocol);
///     search.push(b"the bodyHTTP/1.1 200 OK\r\nid") || search.push(b"entifier: 7\r\n\r\n")
/// }
/// ```
#[derive(Debug)]
pub struct Search<'a> {
    protocol: &'a dyn Protocol,
    status: StatusLine,
    /// What follows a status line, as long as it consists of headers.
    head: Option<Head>,
}

impl<'a> Search<'a> {
    /// Begins a search.
    #[must_use]
    pub const fn new(protocol: &'a dyn Protocol) -> Self {
        Self { protocol, status: StatusLine::NONE, head: None }
    }

    /// Adds a part of the bytes. Returns whether it completes the head of a response; the search is over then.
    ///
    /// A head may begin in one part and end in a later one.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let mut rest = part;
        loop {
            if self.is_outside_of_heads() {
                rest = skip_to_status_line(rest);
            }
            let Some((byte, following)) = rest.split_first() else { return false };
            if self.push_byte(*byte) {
                return true;
            }
            rest = following;
        }
    }

    /// Whether nothing that was read so far can become a part of a head.
    fn is_outside_of_heads(&self) -> bool {
        self.head.is_none() && self.status == StatusLine::NONE
    }

    fn push_byte(&mut self, byte: u8) -> bool {
        if byte == b'\n' {
            return self.end_line();
        }
        self.status = self.status.push(byte);
        if self.head.as_mut().is_some_and(|head| !head.push(self.protocol, byte)) {
            self.head = None;
        }
        false
    }

    fn end_line(&mut self) -> bool {
        let status = mem::replace(&mut self.status, StatusLine::NONE);
        match self.head.as_mut().map(Head::end_line) {
            Some(LineEnd::Response) => return true,
            Some(LineEnd::Other) => self.head = None,
            Some(LineEnd::Header) | None => {}
        }
        if status.is_complete() {
            self.head.get_or_insert_default().begin_another();
        }
        false
    }
}

/// Skips bytes that cannot be the first one of a status line.
fn skip_to_status_line(bytes: &[u8]) -> &[u8] {
    let start = memchr(STATUS_LINE_PREFIX[0], bytes).unwrap_or(bytes.len());
    &bytes[start..]
}
