//! Tables that the tasks of a router share.
//!
//! Each table stands behind its own lock, and no task takes a lock while it holds another, so the order of locks
//! cannot matter. Locks are never held across an await.

pub(crate) use siskin_net::lock;

use {
    crate::{
        claims::Claims,
        configure::Config,
        endpoints::Ability,
        exchange::{Call, Kind},
        metrics::Metrics,
        pool::Pool,
        settings::{Scheduling, Settings},
        view::View,
        vms,
    },
    indexmap::IndexMap,
    siskin_config::follower::{Follower, Options},
    siskin_member::Member,
    siskin_net::{body_memory, clock::Clock, control::Control, failures::Limiter, upstream},
    siskin_outcome::{
        outcome::{Outcome, Reason},
        poison::Hasher,
    },
    siskin_route::{
        estimate::Estimator,
        health::{self, Tracker},
        prefix::{self, Chain, Table},
    },
    siskin_types::{
        id::{self, Endpoint, Model, Node, Request},
        time::Instant,
    },
    siskin_wire::Message,
    std::{
        collections::HashMap,
        fmt,
        sync::{
            Arc, Mutex, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time,
    },
};

/// Most memory for answers that callers do not have yet.
const ANSWERS_BYTES_MAX: usize = 64 * 1024 * 1024;

/// State that all tasks of a router share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) upstream: upstream::Pool,
    /// Memory for answers that callers do not have yet.
    pub(crate) answer_memory: body_memory::Limiter,
    pub(crate) fingerprints: Hasher,
    pub(crate) claims: Claims,
    pub(crate) config: Config,
    pub(crate) control: Arc<Control>,
    pub(crate) member: Mutex<Member>,
    pub(crate) estimator: Mutex<Estimator>,
    pub(crate) prefixes: Mutex<Table>,
    pub(crate) health: Mutex<Tracker>,
    /// What engines said they can serve.
    pub(crate) loaded: Mutex<HashMap<Endpoint, Ability>>,
    pub(crate) refresh: Notify,
    /// When each pool was last searched for a live endpoint.
    pub(crate) looks: Mutex<HashMap<id::Pool, Instant>>,
    /// Changes whenever an endpoint is taken out of use because it does not answer.
    pub(crate) deaths: watch::Sender<()>,
    /// Which failures of the store are logged.
    failures: Mutex<Limiter>,
    /// VMs that the platform lists as leaving.
    pub(crate) listed_leaving: Mutex<Vec<vms::Address>>,
    view: RwLock<Arc<View>>,
    pools: RwLock<IndexMap<id::Pool, Arc<Pool>>>,
    stopping: AtomicBool,
    requests: AtomicU64,
    in_flight: watch::Sender<usize>,
    /// Turns true when the router ends; its background tasks end with it.
    ended: watch::Sender<bool>,
}

/// Blocks of prompt text remembered by the prefix table, about 32 bytes each.
const PREFIX_BLOCKS: usize = 50_000;

/// Customer and model pairs whose output lengths are remembered.
const ESTIMATES: usize = 20_000;

/// Output assumed for a customer and model that are not known yet.
const DEFAULT_OUTPUT: siskin_types::cost::Units = siskin_types::cost::Units(128);

impl Shared {
    pub(crate) fn new(
        settings: Settings,
        incarnation: u64,
        metrics: Metrics,
        control: Arc<Control>,
        member: Member,
    ) -> Self {
        let clock = Clock::start();
        Self {
            claims: Claims::new(&settings, incarnation, clock.now()),
            config: Config::new(config_store(&settings, incarnation), incarnation),
            incarnation,
            fingerprints: Hasher::new(&hash_secret(&settings)),
            clock,
            settings,
            metrics,
            upstream: upstream::Pool::new(upstream::Options::default()),
            answer_memory: body_memory::Limiter::new(ANSWERS_BYTES_MAX),
            control,
            member: Mutex::new(member),
            estimator: Mutex::new(Estimator::new(ESTIMATES, DEFAULT_OUTPUT)),
            prefixes: Mutex::new(Table::new(PREFIX_BLOCKS)),
            health: Mutex::new(Tracker::new(health::Options::default())),
            loaded: Mutex::default(),
            refresh: Notify::new(),
            looks: Mutex::default(),
            deaths: watch::Sender::default(),
            failures: Mutex::default(),
            listed_leaving: Mutex::default(),
            view: RwLock::new(Arc::new(View::new(Arc::clone(
                Follower::new(Options::default()).state(),
            )))),
            pools: RwLock::default(),
            stopping: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            in_flight: watch::Sender::new(0),
            ended: watch::Sender::new(false),
        }
    }

    /// A new request identifier.
    pub(crate) fn next_request(&self) -> Request {
        Request {
            node: self.settings.node,
            incarnation: self.incarnation,
            sequence: self.requests.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// The configuration in force.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Brings a view into force unless a newer one is; tells whether it did.
    pub(crate) fn set_view(&self, view: Arc<View>) -> bool {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if view.version() <= current.version() {
            return false;
        }
        *current = view;
        true
    }

    /// All pools.
    pub(crate) fn pools(&self) -> Vec<Arc<Pool>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// A pool by its number.
    pub(crate) fn pool(&self, id: id::Pool) -> Option<Arc<Pool>> {
        self.pools.read().unwrap_or_else(PoisonError::into_inner).get(&id).cloned()
    }

    pub(crate) fn set_pools(&self, pools: IndexMap<id::Pool, Arc<Pool>>) {
        *self.pools.write().unwrap_or_else(PoisonError::into_inner) = pools;
    }

    /// Why the router takes no new requests, if it takes none.
    pub(crate) fn refuses_work(&self) -> Option<Reason> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some(Reason::Stopping);
        }
        self.config.refuses_work()
    }

    /// Takes no new requests from now on.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> Running {
        self.in_flight.send_modify(|count| *count += 1);
        Running { shared: Arc::clone(self) }
    }

    /// Waits until no request is in flight, at most until `deadline`.
    pub(crate) async fn drained(&self, deadline: time::Instant) {
        let mut in_flight = self.in_flight.subscribe();
        let drained = in_flight.wait_for(|&count| count == 0);
        if time::timeout_at(deadline, drained).await.is_err() {
            log::warn!(in_flight = *self.in_flight.borrow(); "stop timeout ended with requests in flight");
        }
    }

    /// Runs a task until it ends or the router does.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut ended = self.ended.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }

    /// Ends all tasks started by [`Shared::spawn`].
    pub(crate) fn end(&self) {
        self.ended.send_replace(true);
    }

    /// The router that owns a pool, as this router sees the fleet.
    pub(crate) fn owner_of(&self, pool: &Pool) -> Node {
        match self.settings.scheduling {
            Scheduling::Fleet => {
                lock(&self.member).owner(format!("pool/{}", pool.name()).as_bytes())
            }
            Scheduling::Isolated => self.settings.node,
        }
    }

    /// The metrics page, with gauges read just now.
    pub(crate) fn metrics_page(&self) -> String {
        for pool in self.pools() {
            let (queued, in_flight) = pool.customer_counts().iter().fold((0, 0), |sum, counts| {
                (sum.0 + i64::from(counts.queued), sum.1 + i64::from(counts.in_flight))
            });
            self.metrics.queued.with_label_values(&[pool.name()]).set(queued);
            self.metrics.in_flight.with_label_values(&[pool.name()]).set(in_flight);
        }
        self.measure_leases();
        self.measure_configuration();
        self.metrics.page()
    }

    /// Gauges of the leases for orders and of suspects. Pools that are gone are dropped from the page.
    fn measure_leases(&self) {
        let now = self.clock.now();
        let metrics = &self.metrics;
        for gauges in [&metrics.lease.held, &metrics.lease.fencing, &metrics.lease.seconds_left] {
            gauges.reset();
        }
        metrics.suspects.reset();
        for pool in self.pools() {
            let tenure = pool.orders().tenure(now);
            let left = tenure.map_or(Duration::ZERO, |tenure| tenure.until - now);
            let labels = &[pool.name()];
            metrics.lease.held.with_label_values(labels).set(i64::from(tenure.is_some()));
            let fencing = tenure.map_or(0, |tenure| tenure.fencing);
            metrics.lease.fencing.with_label_values(labels).set(gauge(fencing));
            metrics.lease.seconds_left.with_label_values(labels).set(gauge(left.as_secs()));
            let suspects = pool.suspects().list(now).len() as u64;
            metrics.suspects.with_label_values(labels).set(gauge(suspects));
        }
    }

    fn measure_configuration(&self) {
        let now = self.clock.now();
        let (version, announced, confirmation_age) = self.config.read(|follower| {
            (follower.version(), follower.announced_version(now), follower.confirmation_age(now))
        });
        let age = confirmation_age.map_or(NEVER_CONFIRMED, |age| gauge(age.as_secs()));
        self.metrics.config_age_seconds.set(age);
        self.metrics.config_versions_behind.set(gauge(announced.saturating_sub(version)));
    }

    /// Counts a failed call of the store and logs it, unless one of its kind was logged a moment ago.
    pub(crate) fn store_failed(&self, kind: &'static str, error: &impl fmt::Display) {
        self.metrics.store_errors.with_label_values(&[kind]).inc();
        if let Some(left_out) = lock(&self.failures).failed(self.clock.now(), kind) {
            log::warn!(
                kind, left_out;
                "store call failed: {error}; it is repeated, check that the store can be reached"
            );
        }
    }

    /// Sends messages to other routers.
    pub(crate) fn send_all(&self, messages: Vec<(Node, Message)>) {
        for (node, message) in messages {
            self.send(node, &message);
        }
    }

    /// Sends a message to another router.
    pub(crate) fn send(&self, node: Node, message: &Message) {
        let address = lock(&self.member).address(node);
        if let Some(address) = address {
            self.control.send(Some(node), address, message);
        } else {
            self.metrics.control.unsent.with_label_values(&["unknown_router"]).inc();
            log::debug!(node:% = node; "message was dropped: the router is not known");
        }
    }

    /// Counts a finished request and learns from it.
    pub(crate) fn finished(&self, call: &Call, outcome: Outcome, elapsed: Duration) {
        self.metrics.requests.with_label_values(&[outcome.label()]).inc();
        if let Outcome::NotRun(reason) = outcome {
            self.metrics.refusals.with_label_values(&[reason.label()]).inc();
        }
        log::debug!(
            request:% = call.request,
            customer:% = call.customer,
            outcome:% = outcome,
            elapsed_ms = elapsed.as_millis();
            "request finished"
        );
    }

    /// The endpoints that likely hold the start of a prompt, best first.
    ///
    /// A router that is alone knows all dispatches. One of several knows few of them, so the place on which all
    /// routers agree goes first.
    pub(crate) fn preferred(&self, model: Model, chain: &Chain) -> Vec<Endpoint> {
        let seen = lock(&self.prefixes).likely_endpoints(chain);
        let view = self.view();
        let placed = prefix::place(chain, view.servers(model).iter().copied());
        let alone = lock(&self.member).visible() == 1;
        if alone { [seen, placed].concat() } else { [placed, seen].concat() }
    }

    /// Learns the output of a finished chat.
    pub(crate) fn learn(&self, call: &Call, endpoint: Endpoint, output: siskin_types::cost::Units) {
        lock(&self.estimator).record_output(call.customer, call.model, output);
        if let Kind::Chat { chain, .. } = &call.kind {
            lock(&self.prefixes).record(chain, endpoint);
        }
    }
}

/// Age of a configuration that the store has never confirmed to this router.
const NEVER_CONFIRMED: i64 = -1;

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// The client for the configuration, with the budget of the design.
fn config_store(settings: &Settings, seed: u64) -> siskin_store::http::Client {
    siskin_store::http::Client::new(siskin_store::http::Options {
        addresses: settings.store.clone(),
        seed,
        ..siskin_store::http::Options::default()
    })
}

/// Context that separates the hash key from other uses of the same secret.
const HASH_CONTEXT: &str = "siskinroute 2026 hashes of idempotency keys and contents";

/// The key for hashes of idempotency keys and contents.
pub(crate) fn hash_secret(settings: &Settings) -> [u8; 32] {
    blake3::derive_key(HASH_CONTEXT, settings.hash_key.reveal().as_bytes())
}

/// Counts a request as in flight.
#[derive(Debug)]
pub(crate) struct Running {
    shared: Arc<Shared>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shared.in_flight.send_modify(|count| *count -= 1);
    }
}
