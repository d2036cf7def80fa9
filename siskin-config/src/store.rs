//! Calls to the platform's key-value service, as plain data. The runtime carries them out.

use std::sync::Arc;

/// One call. The answer is passed with the same number to the state machine that made the call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call, unique within the state machine.
    pub number: u64,
    /// The request.
    pub request: Request,
}

/// Request of a call. Every request is atomic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads the keys from `start` (inclusive) to `end` (exclusive), in order. The read must be linearisable.
    Range {
        /// First key.
        start: String,
        /// Key after the last.
        end: String,
        /// Maximum number of keys to read.
        limit: usize,
    },
    /// Creates a key if it is absent.
    Create {
        /// The key.
        key: String,
        /// The value.
        value: Arc<[u8]>,
    },
    /// Compare-and-swap: replaces a value if the key was last changed at `revision`, where zero stands for
    /// an absent key.
    Swap {
        /// The key.
        key: String,
        /// The expected revision of the key.
        revision: u64,
        /// The new value.
        value: Arc<[u8]>,
    },
    /// Deletes the keys from `start` (inclusive) to `end` (exclusive).
    Delete {
        /// First key.
        start: String,
        /// Key after the last.
        end: String,
    },
}

impl Request {
    /// Reads one key.
    ///
    /// ```
    /// use siskin_config::store::Request;
    /// let Request::Range { start, end, limit } = Request::read("config/base") else { panic!() };
    /// assert_eq!((start.as_str(), end.as_str(), limit), ("config/base", "config/base\0", 1));
    /// ```
    #[must_use]
    pub fn read(key: &str) -> Self {
        Self::Range { start: key.to_owned(), end: format!("{key}\0"), limit: 1 }
    }
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Arc<[u8]>,
    /// Revision at which the key was last changed.
    pub revision: u64,
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The keys that were read.
    Range {
        /// Keys and values, in order of the keys.
        pairs: Vec<Pair>,
        /// Revision of the store at the time of the read.
        revision: u64,
    },
    /// Whether the key was created.
    Created(bool),
    /// Whether the value was replaced.
    Swapped(bool),
    /// The keys are deleted.
    Deleted,
    /// The call timed out or failed. The call may or may not have taken effect, or may
    /// still take effect.
    Unknown,
}
