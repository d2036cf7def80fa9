//! Bounds the interim responses (1xx) before a response: each is complete by itself, so no limit of a head holds for them together.

/// Most bytes of the interim responses before one response.
const INTERIM_BYTES_MAX: usize = 64 * 1024;

/// Position of the first digit of the status in a status line.
const STATUS_AT: usize = b"HTTP/1.1 ".len();

/// The interim responses before a response have more bytes than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the endpoint sends interim responses of more than {INTERIM_BYTES_MAX} bytes; check the endpoint"
)]
pub(super) struct TooLong;

/// Counts the bytes of interim responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Meter {
    bytes: usize,
    place: Place,
}

/// Where the next byte stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// In a status line before the status, after this many bytes.
    StatusLine(usize),
    /// In an interim response.
    Interim { at_line_start: bool },
    /// In the final response or behind it, which is not examined.
    Final,
}

impl Default for Meter {
    /// A meter that waits for a response.
    fn default() -> Self {
        Self { bytes: 0, place: Place::StatusLine(0) }
    }
}

impl Meter {
    /// Adds bytes that were read.
    pub(super) fn add(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        for byte in bytes {
            if self.place == Place::Final {
                return Ok(());
            }
            self.bytes += 1;
            if self.bytes > INTERIM_BYTES_MAX {
                return Err(TooLong);
            }
            self.place = self.place.after(*byte);
        }
        Ok(())
    }
}

impl Place {
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            // Empty lines may precede a status line.
            (Self::StatusLine(0), b'\r' | b'\n')
            | (Self::Interim { at_line_start: true }, b'\n') => Self::StatusLine(0),
            (Self::StatusLine(STATUS_AT), b'1') => Self::Interim { at_line_start: false },
            (Self::StatusLine(STATUS_AT) | Self::Final, _) => Self::Final,
            (Self::StatusLine(length), _) => Self::StatusLine(length + 1),
            (Self::Interim { at_line_start }, b'\r') => Self::Interim { at_line_start },
            (Self::Interim { .. }, _) => Self::Interim { at_line_start: byte == b'\n' },
        }
    }
}
