//! Stand-ins for the key-value service, the VM list, model engines and application endpoints.
//!
//! Each stand-in is an HTTP server (HTTP/1.1 and HTTP/2) that binds a loopback port, behaves as the
//! published interface says and injects faults on command. None of them keeps state across a stop.

pub mod application;
pub mod engine;
pub mod fault;
pub mod kv;
pub mod load;
pub mod loopback;
pub mod run;
pub mod vms;

mod body;
mod endpoint;
mod server;
mod tap;

use std::{io, net::SocketAddr};

/// Why a stand-in did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address is in use or not an address of this VM.
    #[error("cannot listen on {address}: {source}; choose a free loopback port, or port 0")]
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the operating system answered.
        source: io::Error,
    },
    /// An option has a value outside its range.
    #[error("option {name} is {value}; {remedy}")]
    Option {
        /// Name of the option.
        name: &'static str,
        /// The value given.
        value: String,
        /// What to set instead.
        remedy: &'static str,
    },
}

/// Locks a table. A panic while a lock is held leaves counters in a usable state, so it is ignored.
fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Instance numbers are start times, so that they differ between processes as well.
fn instance_after(previous: u64) -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
    now.max(previous + 1)
}
