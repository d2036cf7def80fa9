//! Keys, values, leases and changes of the store.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Revision of the store; every write increases it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a key that does not exist.
    pub const ABSENT: Self = Self(0);

    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lease {}", self.0)
    }
}

/// A lease as the store grants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Identifier.
    pub id: LeaseId,
    /// Time to live, counted from when the store handled the call.
    pub ttl: Duration,
    /// Revision of the store at the time of the response.
    pub head: Revision,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
    /// Lease to which the key is attached, if any; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Result of reading one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The key, if it exists.
    pub entry: Option<Entry>,
    /// Revision of the store at the time of the response.
    pub head: Revision,
}

/// Keys with a prefix, optionally only those after a given key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range<'a> {
    /// Common prefix of the keys.
    pub prefix: &'a str,
    /// Only keys after this one, for the next page.
    pub after: Option<&'a str>,
    /// Most keys to return; 0 for no limit.
    pub limit: u32,
}

impl<'a> Range<'a> {
    /// All keys with a prefix.
    #[must_use]
    pub const fn prefix(prefix: &'a str) -> Self {
        Self { prefix, after: None, limit: 0 }
    }
}

/// Keys from `start` (inclusive) to `end` (exclusive).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span<'a> {
    /// First key.
    pub start: &'a str,
    /// Exclusive upper bound.
    pub end: &'a str,
    /// Most keys to return; 0 for no limit.
    pub limit: u32,
}

/// Result of reading a range or a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The keys in order.
    pub entries: Vec<Entry>,
    /// Whether further keys were omitted because of the limit.
    pub more: bool,
    /// Revision of the store at the time of the response.
    pub head: Revision,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// It took effect.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// The key was not at the expected revision, so nothing was written.
    Conflict {
        /// The current state of the key, if it exists.
        current: Option<Entry>,
        /// Revision of the store at the time of the response.
        head: Revision,
    },
}

/// Keys to watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    /// One key.
    Key(&'a str),
    /// All keys with a prefix.
    Prefix(&'a str),
}

impl Scope<'_> {
    /// Whether `key` is among the watched keys.
    #[must_use]
    pub fn includes(&self, key: &str) -> bool {
        match self {
            Self::Key(watched) => *watched == key,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The entry as it was written; `None` if the key was deleted.
    pub entry: Option<Entry>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Changes in order; empty if the wait timed out.
    pub changes: Vec<Change>,
    /// Revision from which to continue the watch.
    pub next: Revision,
    /// Revision of the store at the time of the response. A head below `next` by more than one means that the
    /// store has lost changes.
    pub head: Revision,
}
