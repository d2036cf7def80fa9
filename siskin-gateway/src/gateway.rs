//! What all requests of a gateway share.

mod conditions;
mod known;
mod load;
mod serve;

use {
    crate::{
        catalog::Catalog, directory::Directory, metrics::Metrics, protocol::Protocol, strain,
        volume::Volume,
    },
    hyper::body::Incoming,
    indexmap::IndexMap,
    siskin_dispatch::{
        budget::{self, Budget},
        pool::Pool,
        reading::Reading,
        share::{Ledger, Standing, Usage},
        sizes::Sizes,
    },
    siskin_net::{
        clock::Clock,
        lock,
        server::{self, Limits},
        upstream::{self, Connection},
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

/// Limits on connections before a configuration is known.
const LIMITS_FIRST: Limits = Limits {
    head_timeout: Duration::from_secs(15),
    head_bytes: 16 * 1024,
    user_timeout: Some(USER_TIMEOUT),
};

/// Longest time that bytes may stay unacknowledged before a connection counts as lost.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time to open a connection to an endpoint. Endpoints are in the same region and answer within milliseconds;
/// a lost packet is sent again after a second, so waiting longer for the first one brings nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections to an endpoint are closed after this time unless the endpoint announces a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(12);

/// Longest time to read the rest of an answer, and to write the rest of a request, before a connection is reused.
const RECYCLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of the rest of an answer that are read so that its connection can be used again.
const RECYCLE_BYTES_MAX: usize = 64 * 1024;

/// Bodies in flight may take one part in this many of the process's memory.
const BODIES_PART: usize = 4;

/// Idle connections kept for each endpoint. Descriptors are few, and most endpoints get a request now and then.
const IDLE_CONNECTIONS: usize = 16;

/// Where a configuration or a list of endpoints came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's store.
    Store,
    /// Another router.
    Peer,
}

impl Source {
    /// Name in logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// How a gateway runs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness and metrics are served.
    pub status: SocketAddr,
    /// Where other routers ask for the configuration.
    pub control: Option<SocketAddr>,
    /// Where metrics are served as well, at a port that does not change.
    pub metrics: Option<SocketAddr>,
    /// Path of the readiness check.
    pub ready_path: String,
    /// This VM's data centre.
    pub data_centre: String,
    /// Limits that may change while the gateway runs.
    pub figures: Figures,
    /// Time from a stop to the end of the process.
    pub grace: Duration,
    /// Time after a stop in which new connections are still accepted, until callers are sent elsewhere.
    pub notice: Duration,
}

/// Limits that may change while the gateway runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// The fleet's limit on repeated requests.
    pub retries: budget::Options,
    /// Window over which customers' shares are counted.
    pub share_window: Duration,
    /// Descriptors that the process may open.
    pub descriptors: usize,
    /// Bytes of memory that the process may take.
    pub memory_bytes: usize,
    /// Time in which a change in the platform's store has to be in force.
    pub apply_within: Duration,
}

/// Decisions' state, changed by single calls.
#[derive(Debug)]
pub(crate) struct Table {
    pub(crate) pools: IndexMap<String, Pool>,
    budgets: IndexMap<String, Budget>,
    /// Sizes of requests by route.
    pub(crate) sizes: IndexMap<String, Sizes>,
    pub(crate) ledger: Ledger,
    /// Costs since the last digest.
    pub(crate) usages: IndexMap<Customer, Usage>,
}

/// What all requests share.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) options: Options,
    pub(crate) protocol: Arc<dyn Protocol>,
    /// The process's clock.
    pub clock: Clock,
    pub(crate) upstream: upstream::Pool,
    /// Metrics of the process.
    pub metrics: Metrics,
    catalog: RwLock<Option<Arc<Catalog>>>,
    directory: RwLock<Arc<Directory>>,
    table: Mutex<Table>,
    /// When each endpoint last sent anything.
    heard: Mutex<HashMap<id::Endpoint, time::Instant>>,
    routers: AtomicU32,
    stopping: AtomicBool,
    /// Whether the store tells this router of changes.
    following: AtomicBool,
    /// When a peer first told of something newer while the store did not serve this router.
    news: Mutex<Option<time::Instant>>,
    strain: Mutex<strain::Meter>,
    reading: Mutex<Reading>,
    /// What bodies take of the memory.
    pub(crate) volume: Volume,
    /// Open connections of callers.
    open: server::Open,
    figures: RwLock<Figures>,
    woken: Notify,
}

impl Gateway {
    /// A gateway that knows no configuration yet.
    #[must_use]
    pub fn new(options: Options, protocol: Arc<dyn Protocol>, metrics: Metrics) -> Arc<Self> {
        let table = Table {
            pools: IndexMap::new(),
            budgets: IndexMap::new(),
            sizes: IndexMap::new(),
            ledger: Ledger::new(options.figures.share_window, 0.0),
            usages: IndexMap::new(),
        };
        Arc::new(Self {
            protocol,
            clock: Clock::start(),
            upstream: upstream::Pool::new(upstream::Options {
                connect_timeout: CONNECT_TIMEOUT,
                idle_timeout: IDLE_TIMEOUT,
                user_timeout: USER_TIMEOUT,
                idle_limit: IDLE_CONNECTIONS,
            }),
            metrics,
            catalog: RwLock::default(),
            directory: RwLock::default(),
            table: Mutex::new(table),
            heard: Mutex::default(),
            // Until the fleet is known, nothing is taken from the allowance that all routers share.
            routers: AtomicU32::new(u32::MAX),
            stopping: AtomicBool::new(false),
            following: AtomicBool::new(false),
            news: Mutex::default(),
            strain: Mutex::default(),
            volume: Volume::new(options.figures.memory_bytes / BODIES_PART),
            reading: Mutex::new(Reading::new(options.figures.apply_within)),
            open: server::Open::default(),
            figures: RwLock::new(options.figures),
            woken: Notify::new(),
            options,
        })
    }

    /// The limits in force.
    #[must_use]
    pub fn figures(&self) -> Figures {
        *self.figures.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Brings other limits into force.
    pub fn set_figures(&self, figures: Figures) {
        *self.figures.write().unwrap_or_else(PoisonError::into_inner) = figures;
        self.reading(|reading| reading.set_within(figures.apply_within));
        self.volume.set_limit(figures.memory_bytes / BODIES_PART);
        self.table(|table| {
            table.ledger.set_window(figures.share_window);
            for budget in table.budgets.values_mut() {
                budget.set_options(figures.retries);
            }
        });
    }

    /// Waits until the process has stood still for a while and runs again.
    pub async fn woken(&self) {
        self.woken.notified().await;
    }

    pub(crate) fn table<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        change(&mut lock(&self.table))
    }

    /// A request for a service was accepted.
    pub(crate) fn count_request(&self, service: &str) {
        let now = self.clock.now();
        let options = self.figures().retries;
        self.table(|table| {
            let budget = table.budgets.entry(service.to_owned());
            budget.or_insert_with(|| Budget::new(options)).request(now);
        });
    }

    /// Counts what a customer asked for, whether it gets it or not.
    pub(crate) fn count_asked(&self, customer: Customer, cost: u64) {
        let now = self.clock.now();
        self.table(|table| {
            table.ledger.add(now, customer, Usage { asked: cost, begun: 0 });
            table.usages.entry(customer).or_default().asked += cost;
        });
    }

    /// Where a customer stands, as far as this router knows.
    pub fn standing(&self, customer: Customer) -> Standing {
        let now = self.clock.now();
        self.table(|table| table.ledger.standing(now, customer))
    }

    /// Takes one repeat from the service's budget.
    pub(crate) fn may_retry(&self, service: &str) -> bool {
        let now = self.clock.now();
        let routers = self.routers.load(Ordering::Relaxed);
        let allowed = self.table(|table| {
            table.budgets.get_mut(service).is_some_and(|budget| budget.take(now, routers))
        });
        if !allowed {
            self.metrics.retries_denied.inc();
        }
        allowed
    }

    /// Keeps a connection for the next request once the rest of its last answer has been read.
    pub(crate) fn recycle(self: &Arc<Self>, connection: Connection, rest: Option<Incoming>) {
        let gateway = Arc::clone(self);
        tokio::spawn(time::timeout(RECYCLE_TIMEOUT, async move {
            let read = match rest {
                Some(rest) => gateway.volume.read(rest, RECYCLE_BYTES_MAX).await.is_ok(),
                None => true,
            };
            if read {
                gateway.upstream.give_back(connection).await;
            }
        }));
    }

    /// The endpoint has sent something.
    pub(crate) fn heard(&self, endpoint: id::Endpoint) {
        lock(&self.heard).insert(endpoint, time::Instant::now());
    }

    /// Time since the endpoint last sent anything, if it ever did.
    pub(crate) fn silence(&self, endpoint: id::Endpoint) -> Option<Duration> {
        lock(&self.heard).get(&endpoint).map(time::Instant::elapsed)
    }
}
