//! Pool of idle connections, by endpoint.

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

/// Fraction of the idle timeout announced by an endpoint during which an idle connection is reused.
const IDLE_SHARE: f64 = 0.85;

/// Pool of idle connections to endpoints.
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
    /// Creates an empty pool.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let pool = Self { options, connect_timeout_ms: AtomicU64::new(0), idle: Mutex::default() };
        pool.set_connect_timeout(options.connect_timeout);
        pool
    }

    /// Changes the timeout for opening a connection.
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

    /// Opens a new connection even if an idle one exists.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if it cannot be opened in time.
    pub async fn open(&self, address: SocketAddr) -> Result<Connection, Error> {
        let timeout = Duration::from_millis(self.connect_timeout_ms.load(Ordering::Relaxed));
        let options = Options { connect_timeout: timeout, ..self.options };
        connect::open(address, &options).await
    }

    /// Returns a connection to the pool after its last response was read to the end. It is kept once it is ready for
    /// another request, which its task reports shortly after the last byte.
    pub async fn release(&self, mut connection: Connection) {
        if !connection.is_ready().await {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.options.idle_limit {
            connections.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes all idle connections to an endpoint, after one of its connections stopped responding or the endpoint died.
    pub fn purge(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.swap_remove(&address);
    }

    /// Closes all idle connections.
    pub fn purge_all(&self) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// How long a connection may be idle and still be reused. A request sent near the end of the idle timeout that the
    /// endpoint announced could race with its close of the connection.
    fn idle_timeout(&self, connection: &Connection) -> Duration {
        let announced = connection.announced_idle_timeout.map(|time| time.mul_f64(IDLE_SHARE));
        announced.map_or(self.options.idle_timeout, |time| time.min(self.options.idle_timeout))
    }

    /// Takes the most recently used idle connection, if there is one.
    pub fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| {
            idle.since.elapsed() < self.idle_timeout(&idle.connection)
                && idle.connection.sender.is_ready()
        });
        connections.pop().map(|idle| idle.connection)
    }
}
