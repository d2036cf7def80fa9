//! State and limits that all requests of a gateway share.

mod conditions;
mod crashes;
mod delay;
mod known;
mod load;
mod offload;
mod origins;
mod serve;

use {
    crate::{
        catalog::Catalog, directory::Directory, metrics::Metrics, overload, protocol::Protocol,
    },
    hyper::body::Incoming,
    indexmap::IndexMap,
    siskin_dispatch::{
        budget::{self, Budget},
        pool::Pool,
        reading::{self, Freshness},
        share::{Ledger, Standing, Usage},
        sizes::Classes,
    },
    siskin_net::{
        body_memory::Limiter,
        clock::Clock,
        lock,
        server::{self, Limits},
        upstream::{self, Connection},
    },
    siskin_outcome::{
        features::Features,
        quarantine::{self, Register},
    },
    siskin_types::id::{self, Customer},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time},
};

pub use serve::Server;

/// Limits on connections from callers before a configuration is known, and on connections for readiness and metrics.
const INITIAL_LIMITS: Limits = Limits {
    head_timeout: Duration::from_secs(15),
    head_bytes: 16 * 1024,
    user_timeout: Some(USER_TIMEOUT),
};

/// TCP user timeout: longest time that sent data may stay unacknowledged before a connection counts as lost.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time to open a connection to an endpoint. Endpoints are in the same region and accept within milliseconds; a
/// lost SYN is retransmitted after a second, so waiting longer for the first one gains nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections to an endpoint are closed after this time unless the endpoint announces a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Longest time to read the rest of a response and to write the rest of a request before a connection is reused.
const RECYCLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of an unread response body that are read so that its connection can be reused.
const RECYCLE_BYTES_MAX: usize = 64 * 1024;

/// Bodies in flight may take the memory limit of the process divided by this.
const BODY_MEMORY_DIVISOR: usize = 3;

/// Most idle connections kept for each endpoint. File descriptors are scarce, and most endpoints get few requests.
const IDLE_CONNECTIONS_MAX: usize = 16;

/// Source of a configuration or of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another router.
    Peer,
}

impl Source {
    /// Label in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on for callers.
    pub listen: SocketAddr,
    /// Address to listen on for readiness checks and metrics.
    pub status: SocketAddr,
    /// Address to listen on for other routers that request the configuration.
    pub control: Option<SocketAddr>,
    /// Additional address to listen on for metrics, with a fixed port.
    pub metrics: Option<SocketAddr>,
    /// URL path of the readiness check.
    pub ready_path: String,
    /// This VM's data centre.
    pub data_centre: String,
    /// Limits that may change while the gateway runs.
    pub parameters: Parameters,
    /// Longest time from the stop signal to the end of the process.
    pub stop_timeout: Duration,
    /// Time after the stop signal in which new connections are still accepted, until callers are sent to other routers.
    pub stop_notice: Duration,
}

/// Limits that may change while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Retry budget of the fleet.
    pub retries: budget::Options,
    /// Window over which customers' fair shares are computed.
    pub share_window: Duration,
    /// File descriptors that the process may open.
    pub descriptors: usize,
    /// Bytes of memory that the process may take.
    pub memory_bytes: usize,
    /// Longest time until a change in the platform's store has to be in force.
    pub apply_within: Duration,
    /// Longest time after an outage of the platform's store until all changes are known again.
    pub recover_within: Duration,
    /// Multiple of the rate that a cold endpoint sustains that may arrive there within one second.
    pub cold_burst_factor: f64,
    /// Requests that may arrive at a cold endpoint within one second in addition.
    pub cold_burst_requests: f64,
}

impl Parameters {
    /// Time limits for the reads of the platform's store.
    const fn reading_limits(&self) -> reading::Limits {
        reading::Limits { propagation: self.apply_within, recovery: self.recover_within }
    }
}

/// State of dispatch decisions, locked only for the time of one function call.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) pools: IndexMap<String, Pool>,
    budgets: IndexMap<String, Budget>,
    /// Size classes of requests, by route.
    pub(crate) sizes: IndexMap<String, Classes>,
    pub(crate) ledger: Ledger,
    /// Usage by customer since the last load digest.
    pub(crate) usages: IndexMap<Customer, Usage>,
}

/// A gateway: state and limits that all requests share.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) options: Options,
    pub(crate) protocol: Arc<dyn Protocol>,
    /// Monotonic clock of the process.
    pub clock: Clock,
    pub(crate) upstream: upstream::Pool,
    /// Metrics of the process.
    pub metrics: Metrics,
    catalog: RwLock<Option<Arc<Catalog>>>,
    directory: RwLock<Arc<Directory>>,
    dispatch: Mutex<Dispatch>,
    /// Time at which each endpoint last sent data.
    last_heard: Mutex<HashMap<id::Endpoint, time::Instant>>,
    routers: AtomicU32,
    stopping: AtomicBool,
    /// When requests in flight are cut off, once the process is stopping.
    stop_end: Mutex<Option<time::Instant>>,
    /// Whether this router currently receives changes from the store.
    watching_store: AtomicBool,
    /// Time at which a peer first reported newer versions in the time in which this router last received none from the store.
    peer_ahead_since: Mutex<Option<time::Instant>>,
    overload: Mutex<overload::Meter>,
    /// Which new connections are relayed to larger routers.
    offload: Mutex<offload::State>,
    /// Addresses at which other routers serve snapshots.
    pub(crate) snapshot_sources: Mutex<Vec<SocketAddr>>,
    reading: Mutex<Freshness>,
    /// Crashes of endpoints, and the requests that cause them.
    crashes: Mutex<Register>,
    /// Features of the causes of crashes that have been logged.
    logged_causes: Mutex<Vec<Features>>,
    /// The versions at which resumable streams began.
    origins: origins::State,
    /// Memory for the bodies in flight.
    pub(crate) body_memory: Limiter,
    /// Open connections from callers.
    caller_connections: server::Open,
    parameters: RwLock<Parameters>,
    resumed: Notify,
}

impl Gateway {
    /// Creates a gateway without a configuration.
    #[must_use]
    pub fn new(options: Options, protocol: Arc<dyn Protocol>, metrics: Metrics) -> Arc<Self> {
        let state = Dispatch {
            pools: IndexMap::new(),
            budgets: IndexMap::new(),
            sizes: IndexMap::new(),
            ledger: Ledger::new(options.parameters.share_window, 0.0),
            usages: IndexMap::new(),
        };
        Arc::new(Self {
            protocol,
            clock: Clock::start(),
            upstream: upstream::Pool::new(upstream::Options {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                user_timeout: USER_TIMEOUT,
                idle_limit: IDLE_CONNECTIONS_MAX,
            }),
            metrics,
            catalog: RwLock::default(),
            directory: RwLock::default(),
            dispatch: Mutex::new(state),
            last_heard: Mutex::default(),
            // Until the size of the fleet is known, this router's part of the allowance that all routers share is almost 0.
            routers: AtomicU32::new(u32::MAX),
            stopping: AtomicBool::new(false),
            stop_end: Mutex::default(),
            watching_store: AtomicBool::new(false),
            peer_ahead_since: Mutex::default(),
            overload: Mutex::default(),
            offload: Mutex::default(),
            snapshot_sources: Mutex::default(),
            body_memory: Limiter::new(options.parameters.memory_bytes / BODY_MEMORY_DIVISOR),
            reading: Mutex::new(Freshness::new(options.parameters.reading_limits())),
            crashes: Mutex::new(Register::new(quarantine::Options::default())),
            logged_causes: Mutex::default(),
            origins: origins::State::default(),
            caller_connections: server::Open::default(),
            parameters: RwLock::new(options.parameters),
            resumed: Notify::new(),
            options,
        })
    }

    /// The limits in force.
    #[must_use]
    pub fn parameters(&self) -> Parameters {
        *self.parameters.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the limits in force.
    pub fn set_parameters(&self, parameters: Parameters) {
        *self.parameters.write().unwrap_or_else(PoisonError::into_inner) = parameters;
        self.reading(|reading| reading.set_limits(parameters.reading_limits()));
        self.body_memory.set_limit(parameters.memory_bytes / BODY_MEMORY_DIVISOR);
        self.with_dispatch(|state| {
            state.ledger.set_window(parameters.share_window);
            for budget in state.budgets.values_mut() {
                budget.set_options(parameters.retries);
            }
        });
        self.update_pools();
    }

    /// Waits until the process resumes after a suspension.
    pub async fn wait_until_resumed(&self) {
        self.resumed.notified().await;
    }

    /// Runs a function on the locked dispatch state.
    pub(crate) fn with_dispatch<T>(&self, change: impl FnOnce(&mut Dispatch) -> T) -> T {
        change(&mut lock(&self.dispatch))
    }

    /// Counts an accepted request in the retry budget of its service and in the demand for it.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.clock.now();
        let options = self.parameters().retries;
        self.with_dispatch(|state| {
            let budget = state.budgets.entry(service.to_owned());
            budget.or_insert_with(|| Budget::new(options)).record_request(now);
            if let Some(pool) = state.pools.get_mut(service) {
                pool.record_request(now);
            }
        });
    }

    /// Adds a cost to a customer's demand, whether the request is served or not.
    pub(crate) fn count_demand(&self, customer: Customer, cost: u64) {
        let now = self.clock.now();
        self.with_dispatch(|state| {
            state.ledger.add(now, customer, Usage { asked: cost, begun: 0 });
            state.usages.entry(customer).or_default().asked += cost;
        });
    }

    /// The customer's usage relative to its fair share, as far as this router knows.
    pub fn standing(&self, customer: Customer) -> Standing {
        let now = self.clock.now();
        self.with_dispatch(|state| state.ledger.standing(now, customer))
    }

    /// Takes one retry from the service's budget. Returns whether it was covered.
    pub(crate) fn take_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let routers = self.routers.load(Ordering::Relaxed);
        let allowed = self.with_dispatch(|state| {
            state.budgets.get_mut(service).is_some_and(|budget| budget.try_take(now, routers))
        });
        if !allowed {
            self.metrics.retries_denied.inc();
        }
        allowed
    }

    /// Returns a connection to the pool once the rest of its last response has been read.
    pub(crate) fn recycle_connection(
        self: &Arc<Self>,
        connection: Connection,
        rest: Option<Incoming>,
    ) {
        let gateway = Arc::clone(self);
        tokio::spawn(time::timeout(RECYCLE_TIMEOUT, async move {
            let read = match rest {
                Some(rest) => gateway.body_memory.read_body(rest, RECYCLE_BYTES_MAX).await.is_ok(),
                None => true,
            };
            if read {
                gateway.upstream.release(connection).await;
            }
        }));
    }

    /// Records that the endpoint has just sent data or accepted a connection.
    pub(crate) fn record_heard(&self, endpoint: id::Endpoint) {
        lock(&self.last_heard).insert(endpoint, time::Instant::now());
    }

    /// Time since the endpoint last sent data, if it ever did.
    pub(crate) fn time_since_heard(&self, endpoint: id::Endpoint) -> Option<Duration> {
        lock(&self.last_heard).get(&endpoint).map(time::Instant::elapsed)
    }
}
