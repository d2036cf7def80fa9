//! Tables that the tasks of a router share.
//!
//! Each table stands behind its own lock, and no task takes a lock while it holds another, so the order of locks
//! cannot matter. Locks are never held across an await.

use {
    crate::{
        claims::Claims,
        clock::Clock,
        configure::Config,
        control::Control,
        exchange::{Call, Kind},
        metrics::Metrics,
        pool::Pool,
        settings::{Scheduling, Settings},
        upstream::{self, Connection},
        view::View,
        vms,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request as HttpRequest, StatusCode, header::HOST},
    indexmap::IndexMap,
    serde::Deserialize,
    siskin_config::follower::{Follower, Options},
    siskin_member::Member,
    siskin_outcome::{
        outcome::{Outcome, Reason},
        poison::Hasher,
    },
    siskin_route::{
        estimate::Estimator,
        health::{self, Change, Tracker},
        prefix::Table,
    },
    siskin_sched::pool::{self as scheduled, Load},
    siskin_types::{
        id::{self, Endpoint, Node, Request},
        time::Instant,
    },
    siskin_wire::Message,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time,
    },
};

/// Largest answer to a probe.
const PROBE_BYTES: usize = 64 * 1024;

/// State that all tasks of a router share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) upstream: upstream::Pool,
    pub(crate) fingerprints: Hasher,
    pub(crate) claims: Claims,
    pub(crate) config: Config,
    pub(crate) control: Arc<Control>,
    pub(crate) member: Mutex<Member>,
    pub(crate) estimator: Mutex<Estimator>,
    pub(crate) prefixes: Mutex<Table>,
    health: Mutex<Tracker>,
    /// Models that engines said they have loaded, by name; `None` for an engine that serves any.
    loaded: Mutex<HashMap<Endpoint, Option<Vec<String>>>>,
    refresh: Notify,
    /// VMs that the platform lists as leaving.
    listed_leaving: Mutex<Vec<vms::Address>>,
    view: RwLock<Arc<View>>,
    pools: RwLock<IndexMap<id::Pool, Arc<Pool>>>,
    stopping: AtomicBool,
    requests: AtomicU64,
    in_flight: watch::Sender<usize>,
    /// Turns true when the router ends; its background tasks end with it.
    ended: watch::Sender<bool>,
}

/// What `GET /load` of an endpoint says.
#[derive(Clone, Debug, Default, Deserialize)]
struct LoadReport {
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    instance: u64,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    loading: Vec<String>,
    #[serde(default)]
    fencing: u64,
}

/// What an endpoint said of itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probe {
    /// Its load.
    pub(crate) report: health::Report,
    /// Models that it can serve; `None` if it serves any.
    pub(crate) models: Option<Vec<String>>,
    /// Models that it is loading.
    pub(crate) loading: Vec<String>,
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
            control,
            member: Mutex::new(member),
            estimator: Mutex::new(Estimator::new(ESTIMATES, DEFAULT_OUTPUT)),
            prefixes: Mutex::new(Table::new(PREFIX_BLOCKS)),
            health: Mutex::new(Tracker::new(health::Options::default())),
            loaded: Mutex::default(),
            refresh: Notify::new(),
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

    /// Waits until no request is in flight, at most for `limit`.
    pub(crate) async fn drained(&self, limit: Duration) {
        let mut in_flight = self.in_flight.subscribe();
        let drained = in_flight.wait_for(|&count| count == 0);
        if time::timeout(limit, drained).await.is_err() {
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

    /// The endpoints of a pool for its scheduler.
    pub(crate) fn scheduled_endpoints(&self, view: &View, pool: &Pool) -> Vec<scheduled::Endpoint> {
        let now = self.clock.now();
        view.endpoints(pool.name())
            .map(|endpoint| {
                let unusable = !self.usable(now, endpoint.id)
                    || pool.orders().drains(endpoint.id)
                    || self.is_listed_leaving(endpoint.address);
                let mut scheduled = view.scheduled(endpoint, unusable);
                if self.settings.scheduling == Scheduling::Isolated {
                    scheduled.limit = isolated_slots(&self.settings, scheduled.limit);
                }
                scheduled
            })
            .collect()
    }

    /// Takes the VMs that the platform lists as leaving.
    pub(crate) fn set_listed_leaving(&self, leaving: &[vms::Address]) {
        let before = std::mem::replace(&mut *lock(&self.listed_leaving), leaving.to_vec());
        if before != leaving {
            log::info!(leaving = leaving.len(); "the platform's list of leaving VMs has changed");
            self.refresh.notify_one();
        }
    }

    /// Whether the platform says that what listens at `address` is leaving.
    pub(crate) fn is_listed_leaving(&self, address: SocketAddr) -> bool {
        lock(&self.listed_leaving).iter().any(|listed| listed.covers(address))
    }

    /// The endpoints of a pool for its owner, which grants slots only for models that an engine has loaded.
    pub(crate) fn granted_endpoints(
        &self,
        view: &View,
        scheduled: &[scheduled::Endpoint],
    ) -> Vec<scheduled::Endpoint> {
        let loaded = lock(&self.loaded);
        let mut endpoints = scheduled.to_vec();
        for endpoint in &mut endpoints {
            let Some(Some(names)) = loaded.get(&endpoint.id) else { continue };
            let ready: Vec<_> = names.iter().filter_map(|name| view.model(name)).collect();
            endpoint.models.retain(|model| ready.contains(model));
        }
        endpoints
    }

    /// The metrics page, with gauges read just now.
    pub(crate) fn metrics_page(&self) -> String {
        for pool in self.pools() {
            let (queued, in_flight) = pool.standings().iter().fold((0, 0), |sum, standing| {
                (sum.0 + i64::from(standing.queued), sum.1 + i64::from(standing.in_flight))
            });
            self.metrics.queued.with_label_values(&[pool.name()]).set(queued);
            self.metrics.in_flight.with_label_values(&[pool.name()]).set(in_flight);
        }
        self.metrics.page()
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
        match address {
            Some(address) => self.control.send(Some(node), address, message),
            None => log::debug!(node:% = node; "message was dropped: the router is not known"),
        }
    }

    /// Whether an endpoint may be used as far as its health goes.
    pub(crate) fn usable(&self, now: Instant, endpoint: Endpoint) -> bool {
        let health = lock(&self.health);
        health.usable(now, endpoint) && !health.leaving(endpoint)
    }

    /// Notes that an endpoint answered.
    pub(crate) fn endpoint_answered(&self, endpoint: Option<Endpoint>) {
        if let Some(endpoint) = endpoint {
            lock(&self.health).succeeded(endpoint);
        }
    }

    /// Notes that an endpoint could not be reached, and takes it out of use until it answers a probe.
    pub(crate) fn endpoint_failed(self: &Arc<Self>, pool: &Pool, endpoint: Endpoint) {
        let change = lock(&self.health).failed(self.clock.now(), endpoint);
        if let Change::Down { until } = change {
            log::warn!(endpoint:% = endpoint; "endpoint does not answer and is taken out of use");
            self.purge_idle(endpoint);
            self.refresh_endpoints();
            let shared = Arc::clone(self);
            if let Some(pool) = self.pool(pool.id()) {
                self.spawn(shared.recover(pool, endpoint, until));
            }
        }
    }

    /// Probes an endpoint that is down until it answers.
    async fn recover(self: Arc<Self>, pool: Arc<Pool>, endpoint: Endpoint, until: Instant) {
        let mut until = until;
        loop {
            time::sleep_until(self.clock.deadline(until)).await;
            if self.view().address(endpoint).is_none() {
                return;
            }
            if self.probe(&pool, endpoint).await.is_some() {
                log::info!(endpoint:% = endpoint; "endpoint answers again");
                self.refresh_endpoints();
                return;
            }
            match lock(&self.health).failed(self.clock.now(), endpoint) {
                Change::Down { until: next } => until = next,
                Change::None | Change::Restarted | Change::Up => return,
            }
        }
    }

    /// A connection broke: finds out whether its endpoint died. If it did, the requests in flight there become
    /// suspects before this returns.
    pub(crate) async fn connection_lost(self: &Arc<Self>, pool: &Pool, endpoint: Endpoint) {
        let instance = lock(&self.health).instance(endpoint);
        if self.probe(pool, endpoint).await.is_none() {
            self.endpoint_failed(pool, endpoint);
            // Without a known instance, the time tells crashes apart.
            let instance = instance.unwrap_or_else(|| self.clock.now().as_micros());
            self.metrics.endpoint_crashes.inc();
            pool.suspects().crashed(self, endpoint, instance).await;
        }
    }

    /// Learns the instance of an endpoint that this router has not asked yet, so that a restart is noticed.
    pub(crate) fn learn_instance(self: &Arc<Self>, pool: &Arc<Pool>, endpoint: Endpoint) {
        if lock(&self.health).instance(endpoint).is_none() {
            let shared = Arc::clone(self);
            let pool = Arc::clone(pool);
            self.spawn(async move {
                shared.probe(&pool, endpoint).await;
            });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn purge_idle(&self, endpoint: Endpoint) {
        if let Some(address) = self.view().address(endpoint) {
            self.upstream.purge(address);
        }
    }

    /// Asks an endpoint for its load on a fresh connection, so that a dead path of another connection does not matter.
    pub(crate) async fn probe(&self, pool: &Pool, endpoint: Endpoint) -> Option<Probe> {
        let view = self.view();
        let address = view.address(endpoint)?;
        let timeout = view.document().fleet.probe_timeout();
        let probe = time::timeout(timeout, self.ask_load(address)).await.ok().flatten()?;
        let report = probe.report;
        let before = lock(&self.health).instance(endpoint);
        let change = lock(&self.health).reported(self.clock.now(), endpoint, report);
        if let (Change::Restarted, Some(before)) = (change, before) {
            log::info!(endpoint:% = endpoint, instance = report.instance; "endpoint has restarted");
            self.metrics.endpoint_crashes.inc();
            lock(&self.prefixes).forget(endpoint);
            pool.suspects().crashed(self, endpoint, before).await;
        }
        Some(probe)
    }

    async fn ask_load(&self, address: SocketAddr) -> Option<Probe> {
        let mut connection = self.upstream.open(address).await.ok()?;
        let request = HttpRequest::get("/load").header(HOST, address.to_string());
        let request = request.body(Full::new(Bytes::new())).ok()?;
        let response = connection.send(request).await.ok()?;
        if response.status() != StatusCode::OK {
            // A plain service that has no load report is alive all the same.
            return Some(Probe::default());
        }
        let body = Limited::new(response.into_body(), PROBE_BYTES).collect().await.ok()?.to_bytes();
        let load = serde_json::from_slice::<LoadReport>(&body).unwrap_or_default();
        let report = health::Report {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            leaving: load.leaving,
            instance: load.instance,
        };
        // An engine that names no models and has never had an order serves any model.
        let any = load.models.is_empty() && load.loading.is_empty() && load.fencing == 0;
        let models = (!any).then_some(load.models);
        Some(Probe { report, models, loading: load.loading })
    }

    /// Tells an engine to stop a run that nobody follows any more.
    pub(crate) fn stop_run(self: &Arc<Self>, endpoint: Endpoint, request: Request) {
        let Some(address) = self.view().address(endpoint) else { return };
        let shared = Arc::clone(self);
        tokio::spawn(async move {
            let Ok(connection) = shared.upstream.open(address).await else { return };
            if stop_run(connection, request).await.is_none() {
                log::debug!(request:% = request, endpoint:% = endpoint; "run could not be stopped");
            }
        });
    }

    /// Passes the health of endpoints to the schedulers.
    pub(crate) fn refresh_endpoints(&self) {
        let view = self.view();
        let now = self.clock.now();
        for pool in self.pools() {
            let endpoints = self.scheduled_endpoints(&view, &pool);
            let granted = self.granted_endpoints(&view, &endpoints);
            pool.configure(self, now, endpoints, granted, None);
        }
    }

    /// Asks an endpoint for its load and passes it to the pool that this router owns.
    pub(crate) async fn poll_load(self: &Arc<Self>, pool: &Pool, endpoint: Endpoint) {
        let asked = self.clock.now();
        let Some(probe) = self.probe(pool, endpoint).await else {
            // One lost probe does not make an endpoint dead.
            if self.probe(pool, endpoint).await.is_none() {
                self.endpoint_failed(pool, endpoint);
            }
            return;
        };
        pool.orders().reported(self, asked, endpoint, &probe);
        let before = lock(&self.loaded).insert(endpoint, probe.models.clone());
        if before.as_ref() != Some(&probe.models) {
            self.refresh.notify_one();
        }
        let report = probe.report;
        let load = Load { running: report.running + report.waiting, leaving: report.leaving };
        pool.load(self, self.clock.now(), endpoint, load);
    }

    /// Passes changes of the endpoints' health and models to the schedulers until the router ends.
    pub(crate) async fn refresh_endpoints_when_changed(self: Arc<Self>) {
        loop {
            self.refresh.notified().await;
            self.refresh_endpoints();
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

    /// Learns the output of a finished chat.
    pub(crate) fn learn(&self, call: &Call, endpoint: Endpoint, output: siskin_types::cost::Units) {
        lock(&self.estimator).observed(call.customer, call.model, output);
        if let Kind::Chat { chain, .. } = &call.kind {
            lock(&self.prefixes).record(chain, endpoint);
        }
    }
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

/// This router's part of an endpoint's slots in isolated mode. The remainder goes to the routers with the lowest
/// numbers, so that the parts add up.
fn isolated_slots(settings: &Settings, slots: u32) -> u32 {
    let remainder = slots % settings.fleet_size;
    slots / settings.fleet_size + u32::from(settings.node.0 % settings.fleet_size < remainder)
}

async fn stop_run(mut connection: Connection, request: Request) -> Option<()> {
    let order = HttpRequest::builder()
        .method(Method::DELETE)
        .uri(format!("/v1/requests/{request}"))
        .header(HOST, connection.address().to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    connection.send(order).await.ok().map(|_| ())
}

/// Locks a table. A task that panicked while it held the lock leaves a table that is still whole, because every
/// change is made by one call of a state machine.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
