//! Bounds the size of one event of a stream, as its end may never come.

/// Most bytes of one event, comments and empty fields before it included.
const EVENT_BYTES_MAX: usize = 64 * 1024;

/// An event has more bytes than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {EVENT_BYTES_MAX} bytes; the endpoint sends something else")]
pub(super) struct TooLong;

/// Counts the bytes since the last end of an event, which is an empty line.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Meter {
    bytes: usize,
    at_line_start: bool,
}

impl Meter {
    /// Adds bytes of the stream.
    pub(super) fn add(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        for byte in bytes {
            self.bytes += 1;
            match byte {
                b'\n' if self.at_line_start => self.bytes = 0,
                b'\n' => self.at_line_start = true,
                b'\r' => {}
                _ => self.at_line_start = false,
            }
            if self.bytes > EVENT_BYTES_MAX {
                return Err(TooLong);
            }
        }
        Ok(())
    }
}
