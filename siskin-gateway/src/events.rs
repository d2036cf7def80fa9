//! Splits a stream of server-sent events into complete events.

use {
    crate::embedded::{self, STATUS_LINE_PREFIX},
    memchr::memchr2,
};

/// Longest event in bytes. Longer data is not treated as an event, as its end may never come.
pub const EVENT_BYTES_MAX: usize = 64 * 1024;

/// Why a stream cannot be used any further: the start of its next event is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// An event is longer than [`EVENT_BYTES_MAX`].
    #[error("an event is longer than {EVENT_BYTES_MAX} bytes; the endpoint sends something else")]
    TooLong,
    /// The head of another response follows in place of an event.
    #[error("another response begins inside the stream; its connection is closed")]
    OtherResponse,
}

/// Splits a stream into complete events and keeps the identifier of the last one.
///
/// ```
/// use siskin_gateway::events::Splitter;
/// let mut splitter = Splitter::default();
/// assert_eq!(splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap(), b"id: 1\ndata: a\n\n");
/// assert_eq!(splitter.last_id(), Some("1"));
/// assert_eq!(splitter.push(b"ta: b\n\n").unwrap(), b"id: 2\ndata: b\n\n");
/// assert_eq!(splitter.last_id(), Some("2"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    first_line: FirstLine,
    last_id: Option<String>,
    event_count: u64,
}

impl Splitter {
    /// Adds bytes of the stream and returns the events that are now complete, each with the blank line at its end.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if an event does not end in time, or is none.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Malformed> {
        // The end marker of an event may span the old and the new bytes.
        let searched = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.pending, searched) else {
            self.first_line.search(&self.pending);
            return if self.pending.len() > EVENT_BYTES_MAX {
                Err(Malformed::TooLong)
            } else {
                Ok(Vec::new())
            };
        };
        let other = other_response_start(&self.pending[..end]);
        if other == Some(0) {
            return Err(Malformed::OtherResponse);
        }
        let rest = self.pending.split_off(other.unwrap_or(end));
        let complete = std::mem::replace(&mut self.pending, rest);
        self.first_line = FirstLine::default();
        self.first_line.search(&self.pending);
        self.record_ids(&complete);
        Ok(complete)
    }

    /// Identifier of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events with an identifier so far.
    #[must_use]
    pub const fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Whether all events before the head of another response have been returned.
    #[must_use]
    pub fn is_at_other_response(&self) -> bool {
        self.first_line == FirstLine::StatusLine
    }

    /// Bytes of an event that is not complete yet.
    #[must_use]
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Discards an incomplete event after the stream broke inside it.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
        self.first_line = FirstLine::default();
    }

    fn record_ids(&mut self, events: &[u8]) {
        for line in events.split(|&byte| byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.event_count += 1;
                self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
            }
        }
    }
}

/// Whether the first line of the pending bytes is the status line of another response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstLine {
    /// The name of its field has not ended after this many bytes, and they contain no status line.
    Open(usize),
    /// It begins an event.
    Field,
    /// It is a status line.
    StatusLine,
}

impl Default for FirstLine {
    fn default() -> Self {
        Self::Open(0)
    }
}

impl FirstLine {
    /// Searches the bytes that were added to the pending ones. Bytes of earlier searches are not read again, as an endpoint may
    /// send a line in single bytes.
    fn search(&mut self, pending: &[u8]) {
        let Self::Open(searched) = *self else { return };
        // The beginning of the status line may span the old and the new bytes.
        let new = &pending[searched.saturating_sub(STATUS_LINE_PREFIX.len() - 1)..];
        *self = if embedded::is_status_line(new) {
            Self::StatusLine
        } else if memchr2(b':', b'\n', new).is_some() {
            Self::Field
        } else {
            Self::Open(pending.len())
        };
    }
}

/// Returns the start of the event in which the head of another response begins.
fn other_response_start(events: &[u8]) -> Option<usize> {
    let mut event_start = 0;
    let mut line_start = 0;
    for line in events.split_inclusive(|byte| *byte == b'\n') {
        if embedded::is_status_line(line) {
            return Some(event_start);
        }
        line_start += line.len();
        if matches!(line, b"\n" | b"\r\n") {
            event_start = line_start;
        }
    }
    None
}

/// Returns the end of the last complete event, searching from the index `from`.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|index| from + index + 2);
    let crlf = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|index| from + index + 4);
    plain.max(crlf)
}
