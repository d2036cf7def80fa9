//! How far the bytes of a line are the status line of a response.

use super::STATUS_LINE_PREFIX;

/// Length of a status line up to the end of its code.
const CODE_END: usize = b"HTTP/1.1 200".len();

/// How far the bytes of a line that were read last are a status line, which may begin anywhere in the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusLine {
    /// This many bytes of a status line, less than up to the end of its code.
    Begun(usize),
    /// A status line up to the end of its code.
    Code,
    /// A part of the reason after the code.
    Reason,
    /// The carriage return at the end.
    CarriageReturn,
}

impl StatusLine {
    /// No bytes of a status line.
    pub(super) const NONE: Self = Self::Begun(0);

    /// Adds a byte other than a line feed.
    ///
    /// A status line that begins inside the reason of another one needs no state of its own: both end with the same line, and a
    /// byte that ends one of them ends the other one.
    pub(super) fn push(self, byte: u8) -> Self {
        match self {
            Self::Begun(length) if continues(length, byte) && length + 1 == CODE_END => Self::Code,
            Self::Begun(length) if continues(length, byte) => Self::Begun(length + 1),
            Self::Code if byte == b' ' => Self::Reason,
            Self::Code | Self::Reason if byte == b'\r' => Self::CarriageReturn,
            Self::Reason if is_text(byte) => Self::Reason,
            // The first byte occurs nowhere else up to the end of the code, so no other beginning can be under way.
            _ if byte == STATUS_LINE_PREFIX[0] => Self::Begun(1),
            _ => Self::NONE,
        }
    }

    /// Whether a line feed completes a status line here.
    pub(super) const fn is_complete(self) -> bool {
        !matches!(self, Self::Begun(_))
    }
}

/// Whether a byte continues a status line after this many bytes.
fn continues(length: usize, byte: u8) -> bool {
    match STATUS_LINE_PREFIX.get(length) {
        Some(expected) => byte == *expected,
        None if length == STATUS_LINE_PREFIX.len() => matches!(byte, b'0' | b'1'),
        None if length == STATUS_LINE_PREFIX.len() + 1 => byte == b' ',
        None => byte.is_ascii_digit(),
    }
}

/// Whether a byte may stand in a reason or in the value of a header.
pub(super) const fn is_text(byte: u8) -> bool {
    byte == b'\t' || (byte >= b' ' && byte != 0x7f)
}
