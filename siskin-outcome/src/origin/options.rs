//! Settings of the register of streams.

use std::time::Duration;

/// Settings of a [`Register`](super::Register).
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most streams that are known. The oldest gives way.
    pub streams_max: usize,
    /// Longest time after its beginning in which a stream may be continued.
    pub retention: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { streams_max: 65_536, retention: Duration::from_secs(60) }
    }
}
