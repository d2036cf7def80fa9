//! Finds the head of another response inside a body.
//!
//! A body without a length ends with its connection, so a second response that a faulty endpoint writes on the same connection
//! looks like the rest of the body.

use {
    crate::protocol::Protocol,
    hyper::{
        HeaderMap,
        header::{HeaderName, HeaderValue},
    },
};

/// How a response begins.
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";

/// Most headers of a response.
const HEADERS_MAX: usize = 100;

/// Whether a body contains the head of an endpoint's response: one with an identifier or a signature. A body may quote any other
/// head.
pub(crate) fn contains_response(protocol: &dyn Protocol, body: &[u8]) -> bool {
    let mut rest = body;
    while let Some(start) = find(rest, STATUS_LINE_PREFIX) {
        rest = &rest[start..];
        if is_response_head(protocol, rest) {
            return true;
        }
        rest = &rest[STATUS_LINE_PREFIX.len()..];
    }
    false
}

/// Whether a line of an event stream is the status line of a response, possibly after the beginning of a line that it cut off.
pub(crate) fn is_status_line(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    find(name, STATUS_LINE_PREFIX).is_some()
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn is_response_head(protocol: &dyn Protocol, bytes: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut headers);
    if !matches!(response.parse(bytes), Ok(httparse::Status::Complete(_))) {
        return false;
    }
    let status = response.code.unwrap_or(0);
    let fields = response.headers.iter().filter_map(|header| {
        let name: HeaderName = header.name.parse().ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    });
    let headers: HeaderMap = fields.collect();
    let answer = protocol.answer(status, &headers);
    answer.id.is_some() || answer.signed
}
