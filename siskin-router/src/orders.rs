//! Orders to the engines of one pool: connects the lease holder and the planner to the store and the engines.
//!
//! The owner of a pool is also the candidate for its lease, so an engine that is drained for an order gets no more
//! grants. While the store is down nobody holds the lease and engines keep the models that they have.

use {
    crate::{
        endpoints::Probe,
        pool::Pool,
        shared::{Shared, lock},
        view::{View, route_number},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, StatusCode,
        header::{CONTENT_TYPE, HOST},
    },
    log::Level,
    serde_json::json,
    siskin_config::document::{Endpoint as Configured, Fencing, Service},
    siskin_lease::{
        holder::{self, Answer, Entry, Holder, Operation, Reason, Tenure, Unanswered},
        orders::{self, Action, Engine, Planner, Report, Versions, Wanted},
    },
    siskin_store::{Error, LeaseId, Store, Write},
    siskin_types::{
        id::{self, Endpoint, Model, Node},
        time::Instant,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time,
};

/// Time between calls of the timers.
const TICK: Duration = Duration::from_millis(100);

/// Age that a load report may have when it is read, because engines report their load late.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Time after which no router has a grant for an engine that is being drained.
const GRANT_LAPSE: Duration = Duration::from_millis(3_300);

/// Most bytes that are read of the answer to an order.
const ANSWER_BYTES_MAX: usize = 64 * 1024;

/// Longest time for an engine to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Most unknown names of models that are remembered for a pool.
const UNKNOWN_MODELS: usize = 1_000;

/// The orders of one pool.
#[derive(Debug)]
pub(crate) struct Orders {
    holder: Mutex<Holder>,
    planner: Mutex<Planner>,
    /// Engines that are being drained for an order, and since when.
    drains: Mutex<HashMap<Endpoint, Instant>>,
    /// Names of models that engines report and the configuration does not know. They are unloaded after a drain, and
    /// until then orders have to name them.
    unknown: Mutex<HashMap<Model, String>>,
}

impl Orders {
    pub(crate) fn new(
        pool: id::Pool,
        node: Node,
        incarnation: u64,
        load_spacing: Duration,
    ) -> Self {
        let options = orders::Options { load_spacing, ..orders::Options::default() };
        Self {
            holder: Mutex::new(Holder::new(holder::Options::new(pool, node, incarnation))),
            planner: Mutex::new(Planner::new(options)),
            drains: Mutex::default(),
            unknown: Mutex::default(),
        }
    }

    /// Changes that wait because they would take out the last ready engine of a model, for operators.
    pub(crate) fn alarms(&self, view: &View) -> Vec<String> {
        let name = |name: Option<&str>| name.unwrap_or("?").to_owned();
        let planner = lock(&self.planner);
        let blocked = planner.blocked().iter().map(|blocked| {
            let endpoint = name(view.index().endpoint(blocked.endpoint));
            let model = name(view.index().model(blocked.model));
            format!(
                "{endpoint} is the last ready engine of model {model} and is not changed; \
                 load the model on another engine first"
            )
        });
        blocked.collect()
    }

    /// The time in which this router may send orders.
    pub(crate) fn tenure(&self, now: Instant) -> Option<Tenure> {
        lock(&self.holder).tenure(now)
    }

    /// Changes the shortest time between two loads.
    pub(crate) fn set_load_spacing(&self, spacing: Duration) {
        lock(&self.planner).set_load_spacing(spacing);
    }

    /// Whether an engine is being drained for an order.
    pub(crate) fn drains(&self, endpoint: Endpoint) -> bool {
        lock(&self.drains).contains_key(&endpoint)
    }

    /// Takes what an engine said of itself when it was asked at `asked`.
    pub(crate) fn reported(
        &self,
        shared: &Shared,
        asked: Instant,
        endpoint: Endpoint,
        probe: &Probe,
    ) {
        let view = shared.view();
        let versioned = |name: &String| {
            let version = probe.versions.get(name).cloned().unwrap_or_default();
            (self.model(&view, name), version)
        };
        let report = Report {
            // An engine that serves any model takes no orders.
            ready: match &probe.models {
                Some(names) => names.iter().map(versioned).collect(),
                None => view
                    .endpoint(endpoint)
                    .map(|endpoint| wanted_models(&view, endpoint))
                    .unwrap_or_default(),
            },
            loading: probe.loading.iter().map(versioned).collect(),
            role: probe.role,
            leaving: probe.report.leaving,
            instance: probe.report.instance,
        };
        let as_of = Instant::from_micros(asked.as_micros().saturating_sub(lag_micros()));
        lock(&self.planner).reported(endpoint, as_of, &report);
        let drained_since = lock(&self.drains).get(&endpoint).copied();
        let idle = probe.report.running + probe.report.waiting == 0;
        if drained_since.is_some_and(|since| idle && asked - since > GRANT_LAPSE + REPORT_LAG) {
            lock(&self.planner).record_drained(endpoint);
        }
    }

    /// The number of a model that an engine reports.
    fn model(&self, view: &View, name: &str) -> Model {
        view.model(name).unwrap_or_else(|| {
            let number = route_number(name);
            let mut unknown = lock(&self.unknown);
            if unknown.len() >= UNKNOWN_MODELS && !unknown.contains_key(&number) {
                unknown.clear();
            }
            unknown.entry(number).or_insert_with(|| name.to_owned());
            number
        })
    }

    /// The name of a model in an order.
    fn name(&self, view: &View, model: Model) -> Option<String> {
        let known = view.index().model(model).map(str::to_owned);
        known.or_else(|| lock(&self.unknown).get(&model).cloned())
    }

    /// Holds the lease and plans orders until the router ends.
    pub(crate) async fn run(shared: Arc<Shared>, pool: Arc<Pool>) {
        let mut interval = time::interval(TICK);
        let mut configured = 0;
        loop {
            interval.tick().await;
            let orders = pool.orders();
            let view = shared.view();
            let now = shared.clock.now();
            if view.version() != configured {
                configured = view.version();
                let actions = lock(&orders.planner).configure(&engines(&view, &pool));
                perform(&shared, &pool, actions);
            }
            let candidate = pool.owned() && view.endpoints(pool.name()).any(is_engine);
            let actions = lock(&orders.holder).set_candidate(now, candidate);
            hold(&shared, &pool, actions);
            let tenure = lock(&orders.holder).tenure(now);
            let actions = lock(&orders.planner).tick(now, tenure);
            perform(&shared, &pool, actions);
        }
    }
}

fn lag_micros() -> u64 {
    u64::try_from(REPORT_LAG.as_micros()).unwrap_or(u64::MAX)
}

fn is_engine(endpoint: &Configured) -> bool {
    endpoint.kind == Service::Engine
}

/// What the configuration wants of the engines of a pool. Engines that are leaving get no orders.
fn engines(view: &View, pool: &Pool) -> Vec<Engine> {
    view.endpoints(pool.name())
        .filter(|endpoint| is_engine(endpoint) && !endpoint.leaving)
        .map(|endpoint| Engine {
            endpoint: endpoint.id,
            models: wanted_models(view, endpoint),
            bases: bases(view, endpoint),
            role: endpoint.role,
            checks_fencing: endpoint.fencing == Fencing::Checked,
        })
        .collect()
}

/// The models and adapters that the configuration wants of an engine, with their versions.
fn wanted_models(view: &View, endpoint: &Configured) -> Versions {
    let models = endpoint.models.iter().filter_map(|name| view.document().models.get(name));
    models.map(|model| (model.id, model.version.clone().unwrap_or_default())).collect()
}

/// The bases of the adapters that the configuration wants of an engine.
fn bases(view: &View, endpoint: &Configured) -> BTreeMap<Model, Model> {
    let models = endpoint.models.iter().filter_map(|name| view.document().models.get(name));
    models.filter_map(|model| Some((model.id, view.model(model.base.as_deref()?)?))).collect()
}

/// The body of `POST /orders`. Versions that are not known and a role that stays are left out.
fn body(orders: &Orders, view: &View, fencing: u64, wanted: &Wanted) -> String {
    let name = |model: &Model| orders.name(view, *model);
    let models: Vec<_> = wanted.models.keys().filter_map(name).collect();
    let versions = wanted.models.iter().filter(|(_, version)| !version.is_empty());
    let versions: BTreeMap<_, _> =
        versions.filter_map(|(model, version)| Some((name(model)?, version))).collect();
    let adapters = wanted.bases.iter().filter(|(adapter, _)| wanted.models.contains_key(adapter));
    let adapters: BTreeMap<_, _> =
        adapters.filter_map(|(adapter, base)| Some((name(adapter)?, name(base)?))).collect();
    let mut body = json!({ "fencing": fencing, "models": models });
    if !versions.is_empty() {
        body["versions"] = json!(versions);
    }
    if !adapters.is_empty() {
        body["adapters"] = json!(adapters);
    }
    if let Some(role) = wanted.role {
        body["role"] = json!(role);
    }
    body.to_string()
}

/// Carries out what the holder decided.
fn hold(shared: &Arc<Shared>, pool: &Arc<Pool>, actions: Vec<holder::Action>) {
    for action in actions {
        match action {
            holder::Action::Store { call, operation } => {
                let task = call_store(Arc::clone(shared), Arc::clone(pool), call, operation);
                shared.spawn(task);
            }
            holder::Action::Acquired { fencing } => {
                log::info!(pool = pool.name(), fencing; "lease for orders is held");
            }
            holder::Action::Lost { reason } => {
                let level = if reason == Reason::Resigned { Level::Info } else { Level::Warn };
                log::log!(level, pool = pool.name(), reason:? = reason; "lease for orders is no longer held");
            }
        }
    }
}

/// Carries out what the planner decided.
fn perform(shared: &Arc<Shared>, pool: &Arc<Pool>, actions: Vec<Action>) {
    for action in actions {
        match action {
            Action::Order { endpoint, fencing, wanted } => {
                let task = order(Arc::clone(shared), Arc::clone(pool), endpoint, fencing, wanted);
                shared.spawn(task);
            }
            Action::Drain { endpoint } => {
                log::info!(pool = pool.name(), endpoint:% = endpoint; "engine is drained for an order");
                lock(&pool.orders().drains).insert(endpoint, shared.clock.now());
                shared.refresh_endpoints();
            }
            Action::Undrain { endpoint } => {
                lock(&pool.orders().drains).remove(&endpoint);
                shared.refresh_endpoints();
            }
            Action::Read { endpoint } => {
                let (shared, pool) = (Arc::clone(shared), Arc::clone(pool));
                let task_shared = Arc::clone(&shared);
                shared.spawn(async move { task_shared.poll_load(&pool, endpoint).await });
            }
            Action::Superseded => {
                let actions = lock(&pool.orders().holder).handle_superseded(shared.clock.now());
                hold(shared, pool, actions);
            }
        }
    }
}

/// Sends one order, if the lease is still held, and reports the answer.
async fn order(
    shared: Arc<Shared>,
    pool: Arc<Pool>,
    endpoint: Endpoint,
    fencing: u64,
    wanted: Wanted,
) {
    let orders = pool.orders();
    let tenure = lock(&orders.holder).tenure(shared.clock.now());
    let answer = match tenure.filter(|tenure| tenure.fencing == fencing) {
        Some(_) => {
            let sending = send(orders, &shared, endpoint, fencing, &wanted);
            time::timeout(ORDER_TIMEOUT, sending).await.ok().flatten()
        }
        None => return,
    };
    let answer = answer.unwrap_or(orders::Answer::Unanswered);
    log::info!(
        pool = pool.name(), endpoint:% = endpoint, fencing, answer:? = answer, wanted:? = wanted;
        "order was sent"
    );
    let now = shared.clock.now();
    let actions = lock(&orders.planner).handle_order_answer(now, endpoint, fencing, answer);
    perform(&shared, &pool, actions);
}

async fn send(
    orders: &Orders,
    shared: &Shared,
    endpoint: Endpoint,
    fencing: u64,
    wanted: &Wanted,
) -> Option<orders::Answer> {
    let view = shared.view();
    let address = view.address(endpoint)?;
    let body = body(orders, &view, fencing, wanted);
    let request = Request::post("/orders")
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let mut connection = shared.upstream.open(address).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    // The answer is read to its end so that the engine does not see a broken connection.
    drop(Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await);
    Some(match status {
        StatusCode::CONFLICT => orders::Answer::Stale,
        status if status.is_success() => orders::Answer::Accepted,
        _ => orders::Answer::Failed,
    })
}

/// Makes one store call of the holder and passes its answer on.
async fn call_store(shared: Arc<Shared>, pool: Arc<Pool>, call: u64, operation: Operation) {
    let store = shared.config.store();
    shared.metrics.store_calls.with_label_values(&["lease"]).inc();
    let answer = match operation {
        Operation::Read { key } => store.get(&key).await.map(|found| {
            Answer::Value(found.entry.map(|entry| Entry {
                token: String::from_utf8_lossy(&entry.value).into_owned(),
                revision: entry.revision.0,
            }))
        }),
        Operation::Grant { lease_time } => {
            store.grant(lease_time).await.map(|lease| Answer::Granted { lease: signed(lease.id) })
        }
        Operation::Create { key, token, lease } => {
            let created = store.create(&key, token.as_bytes(), Some(unsigned(lease))).await;
            lapsed(created.map(|write| match write {
                Write::Applied { revision } => Answer::Created { revision: revision.0 },
                Write::Conflict { .. } => Answer::Exists,
            }))
        }
        Operation::KeepAlive { lease } => {
            lapsed(store.keep_alive(unsigned(lease)).await.map(|_| Answer::Renewed))
        }
        Operation::Revoke { lease } => {
            lapsed(store.revoke(unsigned(lease)).await.map(|()| Answer::Lapsed))
        }
    };
    let answer = answer.map_err(|error| {
        shared.store_failed("lease", &error);
        Unanswered
    });
    let actions = lock(&pool.orders().holder).handle_store_answer(shared.clock.now(), call, answer);
    hold(&shared, &pool, actions);
}

/// A lease that is gone is an answer, not a failure.
fn lapsed(answer: Result<Answer, Error>) -> Result<Answer, Error> {
    match answer {
        Err(Error::LeaseGone { .. }) => Ok(Answer::Lapsed),
        answer => answer,
    }
}

/// The store numbers leases with signed integers that are never negative.
fn signed(lease: LeaseId) -> i64 {
    i64::try_from(lease.0).unwrap_or(i64::MAX)
}

fn unsigned(lease: i64) -> LeaseId {
    LeaseId(u64::try_from(lease).unwrap_or_default())
}
