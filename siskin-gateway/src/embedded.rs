//! Finds the head of another response inside a body.
//!
//! A body without a length ends with its connection, so a second response that a faulty endpoint writes on the same connection
//! looks like the rest of the body.

mod head;
mod search;
mod status_line;

use {
    crate::protocol::Protocol,
    memchr::{memchr2, memmem},
    tokio::task::yield_now,
};

pub use search::Search;

/// How a response begins.
pub(crate) const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";

/// Bytes that are searched before the other tasks of the process get their turn.
const PART_BYTES: usize = 16 * 1024;

/// Whether a body contains the head of an endpoint's response: one with an identifier or a signature. A body may quote any other
/// head.
pub(crate) async fn contains_response(protocol: &dyn Protocol, body: &[u8]) -> bool {
    let mut search = Search::new(protocol);
    for part in body.chunks(PART_BYTES) {
        if search.push(part) {
            return true;
        }
        if part.len() == PART_BYTES {
            yield_now().await;
        }
    }
    false
}

/// Whether a line of an event stream is the status line of a response, possibly after the beginning of a line that it cut off.
pub(crate) fn is_status_line(line: &[u8]) -> bool {
    let name_end = memchr2(b':', b'\n', line).unwrap_or(line.len());
    memmem::find(&line[..name_end], STATUS_LINE_PREFIX).is_some()
}
