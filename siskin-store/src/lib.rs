//! Client of the platform's key-value service.
//!
//! [`Store`] is the interface for the rest of the system: [`http::Client`] speaks the etcd v3 JSON
//! gateway, and [`memory::Store`] is a fake with the same behaviour for tests.
//!
//! ```
//! use siskin_store::{Range, Revision, Scope, Store, Write, memory};
//! use std::time::Duration;
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let store = memory::Store::default();
//! let Write::Applied { revision } = store.create("config/log/1", b"{}", None).await? else {
//!     panic!("another writer was first");
//! };
//! assert!(matches!(
//!     store.create("config/log/1", b"{}", None).await?,
//!     Write::Conflict { current: Some(_), .. }
//! ));
//! let page = store.range(Range::prefix("config/log/")).await?;
//! assert_eq!(page.entries[0].revision, revision);
//! let from = revision.next();
//! let watched = store.watch(Scope::Prefix("config/"), from, Duration::from_millis(1)).await?;
//! assert!(watched.changes.is_empty());
//! # Ok::<(), siskin_store::Error>(())
//! # }).unwrap();
//! ```

pub mod count;
pub mod http;
pub mod memory;

mod budget;
mod entry;

pub use entry::{
    Change, Entry, Found, Lease, LeaseId, Page, Range, Revision, Scope, Span, Watched, Write,
};

use std::{future::Future, time::Duration};

/// Largest value that the service stores.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// The key-value service.
///
/// Every error states whether a write may have taken effect; see [`Error::effect`].
pub trait Store: Send + Sync {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Found, Error>> + Send;

    /// Reads the keys with a prefix, in order.
    fn range(&self, range: Range<'_>) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Reads the keys between two bounds, in order.
    fn span(&self, span: Span<'_>) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Deletes the keys between two bounds regardless of their revisions; the span's limit is ignored.
    fn clear(&self, span: Span<'_>) -> impl Future<Output = Result<(), Error>> + Send;

    /// Creates a key if it does not exist.
    fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Write, Error>> + Send;

    /// Compare-and-swap: replaces a value if the key was last changed at `expected`; [`Revision::ABSENT`] means that the
    /// key must not exist.
    fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Write, Error>> + Send;

    /// Compare-and-delete: deletes a key if it was last changed at `expected`.
    fn delete(
        &self,
        key: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<Write, Error>> + Send;

    /// Grants a lease. The service rounds the time to live down to whole seconds, at least one.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease; [`Error::LeaseGone`] if it has expired or was revoked.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Revokes a lease and deletes the keys attached to it.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Waits at most `wait` for changes at revision `from` or later; [`Revision::ABSENT`] starts at the next revision. The
    /// result has no changes if none came in time.
    fn watch(
        &self,
        scope: Scope<'_>,
        from: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Watched, Error>> + Send;
}

/// Whether a failed write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It did not take effect.
    NotApplied,
    /// It may have taken effect; reading the key back shows whether it did.
    Unknown,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to the store ({cause}); check its addresses and whether it is up")]
    Unreachable {
        /// What the transport reported.
        cause: String,
    },
    /// The store rejected the call because of its rate limit.
    #[error("the store refuses calls above its rate limit; retry later and send fewer calls")]
    Limited,
    /// This client's own rate limit would delay the call beyond its timeout.
    #[error("the budget for store calls is used up; retry later or raise the budget")]
    Budget,
    /// The value is larger than [`VALUE_LIMIT_BYTES`].
    #[error("a value of {bytes} bytes exceeds the limit of {VALUE_LIMIT_BYTES}; split it")]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
    /// The lease has expired or was revoked.
    #[error("{lease} has ended; grant a new lease")]
    LeaseGone {
        /// The lease.
        lease: LeaseId,
    },
    /// The requested changes have been compacted.
    #[error(
        "changes before revision {oldest} are no longer kept; read the keys and watch from there"
    )]
    Compacted {
        /// Oldest revision that can be watched.
        oldest: Revision,
    },
    /// The store rejected the call as invalid.
    #[error(
        "the store rejected the call with status {status} ({message}); check the versions of both sides"
    )]
    Rejected {
        /// HTTP status.
        status: u16,
        /// What the store reported.
        message: String,
    },
    /// The call was sent, but its response did not arrive or could not be decoded.
    #[error("the store did not answer ({cause}); read the key back before writing again")]
    Unanswered {
        /// What happened.
        cause: String,
    },
}

impl Error {
    /// Whether a write that failed with this error took effect.
    ///
    /// ```
    /// use siskin_store::{Effect, Error};
    /// assert_eq!(Error::Limited.effect(), Effect::NotApplied);
    /// let lost = Error::Unanswered { cause: "connection closed".to_owned() };
    /// assert_eq!(lost.effect(), Effect::Unknown);
    /// ```
    #[must_use]
    pub const fn effect(&self) -> Effect {
        match self {
            Self::Unreachable { .. }
            | Self::Limited
            | Self::Budget
            | Self::TooLarge { .. }
            | Self::LeaseGone { .. }
            | Self::Compacted { .. }
            | Self::Rejected { .. } => Effect::NotApplied,
            Self::Unanswered { .. } => Effect::Unknown,
        }
    }

    /// Whether a read that failed with this error may succeed if it is repeated.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Limited | Self::Unanswered { .. })
    }
}

/// Checks that a value does not exceed [`VALUE_LIMIT_BYTES`].
const fn check_value_size(value: &[u8]) -> Result<(), Error> {
    if value.len() > VALUE_LIMIT_BYTES {
        return Err(Error::TooLarge { bytes: value.len() });
    }
    Ok(())
}

/// Locks a mutex and ignores poisoning: a panic while the lock is held leaves the data in a usable state.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
