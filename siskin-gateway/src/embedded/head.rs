//! Headers that follow a status line.

use {super::status_line::is_text, crate::protocol::Protocol, std::mem};

/// Most headers of a response.
const HEADERS_MAX: usize = 100;

/// Longest name of a header that is kept, in bytes. Longer names mark no response.
const NAME_BYTES_MAX: usize = 64;

/// The headers since a status line. A header may itself contain a status line, after which another head begins; of all heads that
/// are under way, only the one that can still be found is kept.
#[derive(Debug, Default)]
pub(super) struct Head {
    /// Headers since the last status line.
    headers: usize,
    /// Headers since the last status line before the last header that marks a response.
    headers_if_marked: Option<usize>,
    line: Line,
    /// Name of the header in the current line.
    name: Vec<u8>,
    /// Whether the header in the current line marks a response.
    marks: bool,
}

/// The part of a header's line that was read last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Start,
    Name,
    Value,
    /// Carriage return after a header.
    CarriageReturn,
    /// Carriage return of an empty line.
    EmptyCarriageReturn,
}

/// What the end of a line means for a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LineEnd {
    /// More headers can follow.
    Header,
    /// The head is complete, and that of a response.
    Response,
    /// The head is complete without a mark of a response, or the line is no header.
    Other,
}

impl Head {
    /// Adds a byte other than a line feed. Returns whether the line can still be a header.
    pub(super) fn push(&mut self, protocol: &dyn Protocol, byte: u8) -> bool {
        let next = match (self.line, byte) {
            (Line::Start, b'\r') => Line::EmptyCarriageReturn,
            (Line::Start | Line::Name, _) if is_name(byte) => {
                self.push_to_name(byte);
                Line::Name
            }
            (Line::Name, b':') => {
                self.marks =
                    self.name.len() <= NAME_BYTES_MAX && protocol.marks_response(&self.name);
                Line::Value
            }
            (Line::Value, b'\r') => Line::CarriageReturn,
            (Line::Value, _) if is_text(byte) => Line::Value,
            _ => return false,
        };
        self.line = next;
        true
    }

    /// Ends the current line.
    pub(super) fn end_line(&mut self) -> LineEnd {
        let line = mem::take(&mut self.line);
        self.name.clear();
        match line {
            Line::Value | Line::CarriageReturn => {
                self.count_header();
                LineEnd::Header
            }
            Line::Start | Line::EmptyCarriageReturn if self.is_response() => LineEnd::Response,
            Line::Start | Line::EmptyCarriageReturn | Line::Name => LineEnd::Other,
        }
    }

    /// Begins another head after a line that is both a header and a status line.
    pub(super) fn begin_another(&mut self) {
        self.headers = 0;
    }

    fn push_to_name(&mut self, byte: u8) {
        if self.name.len() <= NAME_BYTES_MAX {
            self.name.push(byte);
        }
    }

    fn count_header(&mut self) {
        self.headers += 1;
        let marks = mem::take(&mut self.marks);
        self.headers_if_marked =
            if marks { Some(self.headers) } else { self.headers_if_marked.map(|count| count + 1) };
    }

    fn is_response(&self) -> bool {
        self.headers_if_marked.is_some_and(|headers| headers <= HEADERS_MAX)
    }
}

/// Whether a byte may stand in the name of a header.
const fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(byte, b'!' | b'#'..=b'\'' | b'*' | b'+' | b'-' | b'.' | b'^'..=b'`' | b'|' | b'~')
}
