//! Network code shared by the programs of the fleet: HTTP server with graceful shutdown, connections to endpoints, relayed connections, memory of bodies, frames
//! between routers, the process's clock, and the registration of metrics.

pub mod body_memory;
pub mod clock;
pub mod control;
pub mod failures;
pub mod metrics;
pub mod relay;
pub mod server;
pub mod upstream;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning. The data stays consistent if a task panics while it holds the lock, because each
/// change is a single call.
///
/// ```
/// let table = std::sync::Mutex::new(1);
/// *siskin_net::lock(&table) += 1;
/// assert_eq!(*siskin_net::lock(&table), 2);
/// ```
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
