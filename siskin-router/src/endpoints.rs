//! Endpoints as this router sees them: health, load reports, probes, and what the schedulers are told.

use {
    crate::{
        pool::Pool,
        settings::{Scheduling, Settings},
        shared::{Shared, lock},
        view::View,
        vms,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request as HttpRequest, StatusCode, header::HOST},
    serde::Deserialize,
    siskin_net::upstream::Connection,
    siskin_route::health::{self, Change},
    siskin_sched::pool::{self as scheduled, Load},
    siskin_types::{
        id::{Endpoint, Model, Request},
        role::Role,
        time::Instant,
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time,
};

/// Largest answer to a probe.
const PROBE_BYTES: usize = 64 * 1024;

/// Shortest time between two looks for a live endpoint of a pool.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

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
    #[serde(default)]
    versions: HashMap<String, String>,
    #[serde(default)]
    role: String,
    #[serde(default)]
    software: Option<String>,
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
    /// Versions of models that are loaded or being loaded, as far as it tells them.
    pub(crate) versions: HashMap<String, String>,
    /// Its role; `None` for one that is not known. An endpoint that names none serves whole requests.
    pub(crate) role: Option<Role>,
    /// Version of its software; `None` if it does not report it.
    pub(crate) software: Option<String>,
}

/// What the owner of a pool knows of an engine's ability to serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Ability {
    /// Models that it has loaded; `None` if it serves any.
    models: Option<Vec<String>>,
    /// Whether it serves whole requests in its role.
    whole: bool,
    /// Version of its software, if it reports it.
    software: Option<String>,
}

impl Shared {
    /// The endpoints of a pool for its scheduler.
    pub(crate) fn scheduled_endpoints(&self, view: &View, pool: &Pool) -> Vec<scheduled::Endpoint> {
        let now = self.clock.now();
        view.endpoints(pool.name())
            .map(|endpoint| {
                let unusable = !self.usable(now, endpoint.id)
                    || pool.orders().drains(endpoint.id)
                    || self.is_listed_leaving(endpoint.address);
                let mut scheduled = view.scheduled(endpoint, unusable);
                scheduled.unready_models = self.unready_models(view, &scheduled);
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

    /// The endpoints of a pool for its owner, which grants slots only for models that an engine has loaded, and none of
    /// an engine whose role does not serve whole requests. Until an engine has reported, the configuration counts.
    pub(crate) fn granted_endpoints(
        &self,
        view: &View,
        scheduled: &[scheduled::Endpoint],
    ) -> Vec<scheduled::Endpoint> {
        let mut endpoints = scheduled.to_vec();
        for endpoint in &mut endpoints {
            let known = lock(&self.loaded).get(&endpoint.id).map(|known| known.whole);
            let wanted = || view.endpoint(endpoint.id).is_none_or(|it| it.role.serves_requests());
            if !known.unwrap_or_else(wanted) {
                endpoint.models.clear();
            }
            endpoint.models.retain(|model| !endpoint.unready_models.contains(model));
        }
        endpoints
    }

    /// The models that an endpoint shall serve and does not report. Its role does not matter here, because the owner of
    /// the pool grants no slots of an engine whose role does not serve whole requests.
    fn unready_models(&self, view: &View, endpoint: &scheduled::Endpoint) -> Vec<Model> {
        let loaded = lock(&self.loaded);
        let known = loaded.get(&endpoint.id).and_then(|known| known.models.as_ref());
        let Some(names) = known else { return Vec::new() };
        let ready: Vec<_> = names.iter().filter_map(|name| view.model(name)).collect();
        endpoint.models.iter().filter(|model| !ready.contains(model)).copied().collect()
    }

    /// Asks the engines again that this router knows to lack a model, although another router owns their pool. Without
    /// this it would not use the model there when it is loaded.
    pub(crate) fn ask_lacking(self: &Arc<Self>, view: &View, pool: &Arc<Pool>) {
        for endpoint in view.endpoints(pool.name()) {
            if !self.unready_models(view, &view.scheduled(endpoint, false)).is_empty() {
                self.ask_again(pool, endpoint.id);
            }
        }
    }

    /// Learns what an engine can serve, for example after it has refused a call.
    pub(crate) fn ask_again(self: &Arc<Self>, pool: &Arc<Pool>, endpoint: Endpoint) {
        let (shared, pool) = (Arc::clone(self), Arc::clone(pool));
        self.spawn(async move {
            shared.probe(&pool, endpoint).await;
        });
    }

    /// Whether an endpoint may be used as far as its health goes.
    pub(crate) fn usable(&self, now: Instant, endpoint: Endpoint) -> bool {
        let health = lock(&self.health);
        health.usable(now, endpoint) && !health.leaving(endpoint)
    }

    /// Since when none of the endpoints that could serve a model answers; `None` while one does, or if none could
    /// serve it. Endpoints that are leaving or drained could not.
    pub(crate) fn dead_since(&self, view: &View, pool: &Pool, model: Model) -> Option<Instant> {
        if !lock(&self.health).any_failing() {
            return None;
        }
        let mut since = None;
        for endpoint in view.servers_in(pool.name(), model) {
            let drained = lock(&self.health).leaving(endpoint.id)
                || pool.orders().drains(endpoint.id)
                || self.is_listed_leaving(endpoint.address);
            if drained {
                continue;
            }
            since = since.max(Some(lock(&self.health).failing_since(endpoint.id)?));
        }
        since
    }

    /// Looks for an endpoint that could serve a model and answers. Only the owner of a pool polls its endpoints, and it
    /// grants no slots at dead ones, so another router would never learn that the last one died. A look ends with the
    /// first answer; each pool has at most one look in [`LOOK_INTERVAL`].
    pub(crate) fn look_for_life(self: &Arc<Self>, pool: &Arc<Pool>, model: Model) {
        let now = self.clock.now();
        {
            let mut looks = lock(&self.looks);
            if looks.get(&pool.id()).is_some_and(|at| now - *at < LOOK_INTERVAL) {
                return;
            }
            looks.insert(pool.id(), now);
        }
        let view = self.view();
        let candidates: Vec<Endpoint> = view
            .servers_in(pool.name(), model)
            .map(|endpoint| endpoint.id)
            .filter(|endpoint| lock(&self.health).failing_since(*endpoint).is_none())
            .collect();
        let (shared, pool) = (Arc::clone(self), Arc::clone(pool));
        self.spawn(async move {
            for endpoint in candidates {
                if shared.is_alive(&pool, endpoint).await {
                    return;
                }
            }
        });
    }

    /// Probes an endpoint, and notes if it does not answer. One lost probe does not make it dead.
    async fn is_alive(self: &Arc<Self>, pool: &Pool, endpoint: Endpoint) -> bool {
        for _ in 0..2 {
            if self.probe(pool, endpoint).await.is_some() {
                return true;
            }
        }
        self.endpoint_failed(pool, endpoint);
        false
    }

    /// Notes that an endpoint answered.
    pub(crate) fn endpoint_answered(&self, endpoint: Option<Endpoint>) {
        if let Some(endpoint) = endpoint {
            lock(&self.health).record_success(endpoint);
        }
    }

    /// Notes that an endpoint could not be reached, and takes it out of use until it answers a probe.
    pub(crate) fn endpoint_failed(self: &Arc<Self>, pool: &Pool, endpoint: Endpoint) {
        let change = lock(&self.health).record_failure(self.clock.now(), endpoint);
        if let Change::Down { until } = change {
            log::warn!(endpoint:% = endpoint; "endpoint does not answer and is taken out of use");
            self.purge_idle(endpoint);
            self.refresh_endpoints();
            self.deaths.send_replace(());
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
            match lock(&self.health).record_failure(self.clock.now(), endpoint) {
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
        self.learn_ability(endpoint, &probe);
        Some(probe)
    }

    /// Notes what an endpoint can serve. This comes before the planner hears of it, which may end a drain.
    fn learn_ability(&self, endpoint: Endpoint, probe: &Probe) {
        let ability = Ability {
            models: probe.models.clone(),
            whole: probe.role.is_some_and(Role::serves_requests),
            software: probe.software.clone(),
        };
        let before = lock(&self.loaded).insert(endpoint, ability.clone());
        if before != Some(ability) {
            self.refresh.notify_one();
        }
    }

    async fn ask_load(&self, address: SocketAddr) -> Option<Probe> {
        let mut connection = self.upstream.open(address).await.ok()?;
        ask_load(&mut connection).await
    }

    /// Whether any endpoint of a pool names the version of its software, as far as this router knows.
    pub(crate) fn names_software(&self, view: &View, pool: &Pool) -> bool {
        let loaded = lock(&self.loaded);
        let mut known = view.endpoints(pool.name()).filter_map(|one| loaded.get(&one.id));
        known.any(|ability| ability.software.is_some())
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
}

/// This router's part of an endpoint's slots in isolated mode. The remainder goes to the routers with the lowest
/// numbers, so that the parts add up.
fn isolated_slots(settings: &Settings, slots: u32) -> u32 {
    let remainder = slots % settings.fleet_size;
    slots / settings.fleet_size + u32::from(settings.node.0 % settings.fleet_size < remainder)
}

/// Asks for the load of what answers on a connection.
pub(crate) async fn ask_load(connection: &mut Connection) -> Option<Probe> {
    let request = HttpRequest::get("/load").header(HOST, connection.address().to_string());
    let request = request.body(Full::new(Bytes::new())).ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status() != StatusCode::OK {
        // A plain service that has no load report is alive all the same.
        return Some(Probe { role: Some(Role::default()), ..Probe::default() });
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
    let role = if load.role.is_empty() { Some(Role::default()) } else { Role::named(&load.role) };
    let software = load.software.filter(|software| !software.is_empty());
    Some(Probe { report, models, loading: load.loading, versions: load.versions, role, software })
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
