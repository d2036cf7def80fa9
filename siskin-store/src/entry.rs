//! What is read from and written to the store.

use {
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Number of a state of the store; every write increases it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Stands for a key that does not exist.
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
    /// Time to live, counted by the store from when it handled the call.
    pub ttl: Duration,
    /// Revision of the store when it answered.
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
    /// Lease that the key ends with.
    pub lease: Option<LeaseId>,
}

/// Answer to reading one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// The key, if it exists.
    pub entry: Option<Entry>,
    /// Revision of the store when it answered.
    pub head: Revision,
}

/// Keys to read: those that begin with a prefix and come after a given key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Range<'a> {
    /// Start of every key.
    pub prefix: &'a str,
    /// Only keys after this one, for the next page.
    pub after: Option<&'a str>,
    /// Largest number of keys; 0: no limit.
    pub limit: u32,
}

impl<'a> Range<'a> {
    /// All keys with a prefix.
    #[must_use]
    pub const fn prefix(prefix: &'a str) -> Self {
        Self { prefix, after: None, limit: 0 }
    }
}

/// Keys from `start` up to `end`, without `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span<'a> {
    /// First key.
    pub start: &'a str,
    /// Key after the last.
    pub end: &'a str,
    /// Largest number of keys; 0: no limit.
    pub limit: u32,
}

/// Answer to reading a range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// The keys in order.
    pub entries: Vec<Entry>,
    /// Whether the limit left keys out.
    pub more: bool,
    /// Revision of the store when it answered.
    pub head: Revision,
}

/// Answer to a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// It took effect.
    Applied {
        /// Its revision.
        revision: Revision,
    },
    /// The condition did not hold, so nothing changed.
    Conflict {
        /// The key as it is, if it exists.
        current: Option<Entry>,
        /// Revision of the store when it answered.
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
    /// Whether it includes `key`.
    #[must_use]
    pub fn includes(&self, key: &str) -> bool {
        match self {
            Self::Key(own) => *own == key,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

/// One change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The key as it was written; nothing if it was deleted.
    pub entry: Option<Entry>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Answer to a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watched {
    /// Changes in order; empty if the wait ended first.
    pub changes: Vec<Change>,
    /// Revision to watch from next.
    pub next: Revision,
    /// Revision of the store when it answered. A head below `next` by more than one means that the
    /// store has lost changes.
    pub head: Revision,
}
