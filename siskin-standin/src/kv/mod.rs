//! Stand-in for the platform's key-value service: a subset of the etcd v3 JSON gateway.
//!
//! `POST /v3/kv/range`, `/v3/kv/put`, `/v3/kv/txn`, `/v3/kv/deleterange`, `/v3/lease/grant`,
//! `/v3/lease/keepalive`, `/v3/lease/revoke` and `/v3/watch`. Calls above the limits are answered with
//! `429` and have no effect. Leases also run out while the service is down.
//!
//! ```
//! use siskin_standin::kv::{Command, Options, Server};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let server = Server::start(Options::default()).unwrap();
//! server.command(&Command::LoseAnswers { times: 1 }).unwrap();
//! assert_eq!(server.revision(), 1);
//! server.stop();
//! # });
//! ```

mod handler;
mod limit;
mod message;
mod table;

use {
    crate::{Error, loopback, server::Listener},
    handler::Service,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Largest value, as the platform's service has it.
pub const VALUE_LIMIT_BYTES: usize = 1024 * 1024;

/// How the service behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Writes per second it sustains.
    pub writes_per_second: u32,
    /// Reads per second it sustains; every waiting watch takes one of them.
    pub reads_per_second: u32,
    /// Time to an answer.
    pub latency: Duration,
    /// Whether `POST /control` takes faults and `GET /control` tells the true number of calls by kind.
    pub control: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((loopback::address(), 0)),
            writes_per_second: 500,
            reads_per_second: 2_000,
            latency: Duration::from_millis(1),
            control: false,
        }
    }
}

/// One command of `POST /control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// The port refuses connections for a while; open ones drop.
    Refuse {
        /// How long.
        for_ms: u64,
    },
    /// Calls are answered with `503` and have no effect, until `up`.
    Unavailable,
    /// Calls have no effect and are never answered, until `up`.
    Hang,
    /// Answers take longer, until `up`.
    Slow {
        /// Added delay.
        delay_ms: u64,
    },
    /// The next writes take effect, but their connections close without an answer.
    LoseAnswers {
        /// How many writes.
        times: u32,
    },
    /// Watches deliver later, until `up`.
    LateWatch {
        /// Added delay.
        delay_ms: u64,
    },
    /// Drops all connections and returns to the state at an earlier revision, as a restore from a
    /// backup does.
    RollBack {
        /// The revision.
        revision: u64,
    },
    /// Removes all faults.
    Up,
}

/// Calls by kind, refused ones included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Ranges, and transactions that only read.
    pub reads: u64,
    /// Puts, deletions, and transactions that may write.
    pub writes: u64,
    /// Leases granted, renewed and revoked.
    pub leases: u64,
    /// Watches started.
    pub watches: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Calls refused because of a limit.
    pub limited: u64,
}

/// A running service; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    service: Arc<Service>,
}

impl Server {
    /// Starts the service, empty. Must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(options: Options) -> Result<Self, Error> {
        let (listener, bound) = Listener::bind(options.address)?;
        let service = Arc::new(Service::new(options, listener.clone()));
        let handler = Arc::clone(&service);
        bound.serve(move |request| Arc::clone(&handler).handle(request));
        tokio::spawn(handler::expire(Arc::downgrade(&service)));
        Ok(Self { listener, service })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Carries out a command, as `POST /control` does.
    ///
    /// # Errors
    ///
    /// Returns an error if a roll-back goes further than the history.
    pub fn command(&self, command: &Command) -> Result<(), Error> {
        self.service.command(command)
    }

    /// The current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.service.revision()
    }

    /// Calls by kind.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.service.counters()
    }

    /// Stops it and drops all connections.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}
