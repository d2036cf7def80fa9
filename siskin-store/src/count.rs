//! Counters of store calls, by kind of call.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Read of one key.
    Get,
    /// Read of several keys.
    Range,
    /// Creation of a key that does not exist.
    Create,
    /// Compare-and-swap.
    Swap,
    /// Compare-and-delete, or deletion of a span.
    Delete,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    KeepAlive,
    /// Revocation of a lease.
    Revoke,
    /// Watch.
    Watch,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Get,
        Self::Range,
        Self::Create,
        Self::Swap,
        Self::Delete,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// Value of the metric label.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Range => "range",
            Self::Create => "create",
            Self::Swap => "swap",
            Self::Delete => "delete",
            Self::Grant => "grant",
            Self::KeepAlive => "keep_alive",
            Self::Revoke => "revoke",
            Self::Watch => "watch",
        }
    }
}

/// Number of calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Calls sent, retries included.
    pub sent: u64,
    /// Calls that failed without effect.
    pub failed: u64,
    /// Calls whose effect is unknown.
    pub unknown: u64,
    /// Calls that were retries of a failed one.
    pub retries: u64,
}

/// Snapshot of the counters of all kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([Count; Kind::ALL.len()]);

impl Counts {
    /// The counters of one kind.
    #[must_use]
    pub const fn of(&self, kind: Kind) -> Count {
        self.0[kind as usize]
    }

    /// Number of calls sent, of all kinds.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.0.iter().map(|count| count.sent).sum()
    }
}

/// Live counters of one kind of call.
#[derive(Debug, Default)]
struct Cell {
    sent: AtomicU64,
    failed: AtomicU64,
    unknown: AtomicU64,
    retries: AtomicU64,
}

/// Live counters of one client.
#[derive(Debug, Default)]
pub(crate) struct Counters([Cell; Kind::ALL.len()]);

impl Counters {
    pub(crate) fn count_sent(&self, kind: Kind) {
        self.0[kind as usize].sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_retry(&self, kind: Kind) {
        self.0[kind as usize].retries.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that failed; a successful result is not counted.
    pub(crate) fn count_error<T>(&self, kind: Kind, result: &Result<T, crate::Error>) {
        let Err(error) = result else { return };
        let cell = &self.0[kind as usize];
        let count = match error.effect() {
            crate::Effect::NotApplied => &cell.failed,
            crate::Effect::Unknown => &cell.unknown,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> Counts {
        let read = |cell: &Cell| Count {
            sent: cell.sent.load(Ordering::Relaxed),
            failed: cell.failed.load(Ordering::Relaxed),
            unknown: cell.unknown.load(Ordering::Relaxed),
            retries: cell.retries.load(Ordering::Relaxed),
        };
        Counts(std::array::from_fn(|index| read(&self.0[index])))
    }
}
