//! Length-prefixed framing for TCP connections.
//!
//! ```
//! use siskin_wire::frame::stream;
//! let mut sent = Vec::new();
//! stream::append(&mut sent, b"first").unwrap();
//! stream::append(&mut sent, b"second").unwrap();
//! let split = stream::split(&sent).unwrap().unwrap();
//! assert_eq!(split.frame, b"first");
//! assert_eq!(stream::split(split.rest).unwrap().unwrap().frame, b"second");
//! assert_eq!(stream::split(&sent[..3]), Ok(None), "more bytes are needed");
//! ```

use super::{Error, MAX_FRAME_BYTES, Rejection};

/// Size of the big-endian length prefix before each frame.
pub const PREFIX_BYTES: usize = 4;

/// Result of splitting off the first frame of the received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split<'a> {
    /// The frame, still sealed.
    pub frame: &'a [u8],
    /// The bytes after the frame.
    pub rest: &'a [u8],
}

/// Appends a frame with its length prefix to an output buffer.
///
/// # Errors
/// [`Error::Oversize`] if the frame exceeds [`MAX_FRAME_BYTES`].
pub fn append(output: &mut Vec<u8>, frame: &[u8]) -> Result<(), Error> {
    let oversize = Error::Oversize { bytes: frame.len(), limit: MAX_FRAME_BYTES };
    if frame.len() > MAX_FRAME_BYTES {
        return Err(oversize);
    }
    let length = u32::try_from(frame.len()).map_err(|_| oversize)?;
    output.extend_from_slice(&length.to_be_bytes());
    output.extend_from_slice(frame);
    Ok(())
}

/// Splits the first frame off; `None` if more bytes are needed.
///
/// # Errors
/// [`Rejection::Oversize`] if the length prefix exceeds the limit. The connection must then be closed, because the
/// start of the next frame is unknown.
pub fn split(bytes: &[u8]) -> Result<Option<Split<'_>>, Rejection> {
    let Some((prefix, rest)) = bytes.split_first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).map_err(|_| Rejection::Oversize)?;
    if length > MAX_FRAME_BYTES {
        return Err(Rejection::Oversize);
    }
    Ok(rest.split_at_checked(length).map(|(frame, rest)| Split { frame, rest }))
}
