//! Idle connections by endpoint.

use {
    super::{Connection, Error, Options, connect},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Share of the idle timeout announced by an endpoint in which a connection is used.
const IDLE_SHARE: f64 = 0.85;

/// Idle connections to endpoints.
#[derive(Debug)]
pub struct Pool {
    options: Options,
    connect_timeout_ms: AtomicU64,
    idle: Mutex<IndexMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let pool = Self { options, connect_timeout_ms: AtomicU64::new(0), idle: Mutex::default() };
        pool.set_connect_timeout(options.connect_timeout);
        pool
    }

    /// Changes the longest time to open a connection.
    pub fn set_connect_timeout(&self, timeout: Duration) {
        let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        self.connect_timeout_ms.store(millis, Ordering::Relaxed);
    }

    /// Takes the most recently used idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if none can be opened in time.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection, Error> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.open(address).await,
        }
    }

    /// Opens a new connection, whatever is idle.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if it cannot be opened in time.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, Error> {
        let timeout = Duration::from_millis(self.connect_timeout_ms.load(Ordering::Relaxed));
        let options = Options { connect_timeout: timeout, ..self.options };
        connect::open(address, &options).await
    }

    /// Gives back a connection whose last answer was read to its end. It is kept once the connection says that it
    /// can carry another request, which the connection's task reports a moment after the last byte.
    pub async fn give_back(&self, mut connection: Connection) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.options.idle_limit {
            connections.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections to an endpoint, because one of its connections was found silent or it died.
    pub fn purge(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.swap_remove(&address);
    }

    /// Closes all idle connections.
    pub fn purge_all(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// How long a connection may be idle and still be used. A request sent near the end of the time that the endpoint
    /// announced could meet its close.
    fn usable_for(&self, connection: &Connection) -> Duration {
        let announced = connection.kept_for.map(|time| time.mul_f64(IDLE_SHARE));
        announced.map_or(self.options.idle_timeout, |time| time.min(self.options.idle_timeout))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| {
            idle.since.elapsed() < self.usable_for(&idle.connection)
                && idle.connection.sender.is_ready()
        });
        connections.pop().map(|idle| idle.connection)
    }
}
