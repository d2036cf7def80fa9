//! What the programs of the fleet share at their sockets: the accept loop of HTTP servers with its orderly stop,
//! connections to endpoints, frames between routers, the process's clock, and the registration of metrics.

pub mod clock;
pub mod control;
pub mod failures;
pub mod metrics;
pub mod server;
pub mod upstream;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a table. A task that panicked while it held the lock has left a consistent table, because tables are changed
/// by single calls.
///
/// ```
/// let table = std::sync::Mutex::new(1);
/// *siskin_net::lock(&table) += 1;
/// assert_eq!(*siskin_net::lock(&table), 2);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
