//! Derives orders from the difference between the wanted and the reported state of each engine.
//!
//! Orders carry the whole wanted state and are idempotent. An engine is drained before it unloads a model or an
//! adapter, changes the version of one or changes its role, and this happens only if each of its ready models has
//! another ready engine that serves requests. Loading a further model or adapter needs no drain, because the engine
//! keeps serving meanwhile. Of the engines of a model, one is changed at a time; for a new version this includes the
//! load that follows the unload. Loads are spaced out because the store of model weights is rate-limited.
//!
//! An adapter counts as a model of its own; its base is the model that it is loaded on. It is loaded once the base is
//! ready, and unloaded with the base.

use {
    crate::holder::Tenure,
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Model},
        role::Role,
        time::Instant,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Models with their versions. An empty version means any version in a wanted state, and an unknown one in a report.
pub type Versions = BTreeMap<Model, String>;

/// Options of a planner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Shortest time between two orders that load a model.
    pub load_spacing: Duration,
    /// Age at which a report no longer proves that an engine is ready.
    pub report_limit: Duration,
    /// Time after which an order whose effect no report shows is sent again.
    pub resend_after: Duration,
    /// Time after which an engine that failed to carry out an order gets orders again.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            load_spacing: Duration::from_secs(10),
            report_limit: Duration::from_secs(3),
            resend_after: Duration::from_secs(10),
            retry_after: Duration::from_secs(30),
        }
    }
}

/// The state of an engine that the configuration wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub endpoint: Endpoint,
    /// Models and adapters that it should serve.
    pub models: Versions,
    /// The base of each adapter among `models`.
    pub bases: BTreeMap<Model, Model>,
    /// Role that it should have.
    pub role: Role,
    /// Whether it rejects orders with an old fencing number.
    pub checks_fencing: bool,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and adapters that it can serve.
    pub ready: Versions,
    /// Models and adapters that it is loading.
    pub loading: Versions,
    /// Its role; `None` for an unknown role, in which it gets no requests.
    pub role: Option<Role>,
    /// It takes no new requests.
    pub leaving: bool,
    /// Identifier of its process. A restarted engine has forgotten the fencing numbers that it has seen.
    pub instance: u64,
}

/// The state that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// All models and adapters that the engine should serve.
    pub models: Versions,
    /// The base of each adapter that the configuration wants of the engine.
    pub bases: BTreeMap<Model, Model>,
    /// Its role; `None` leaves the role unchanged.
    pub role: Option<Role>,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It will carry the order out.
    Accepted,
    /// It refuses the order because it has seen a higher fencing number.
    Stale,
    /// It cannot carry the order out.
    Failed,
    /// No answer; the order may have arrived.
    Unanswered,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order if [`crate::holder::Holder::tenure`] still allows it at that time, and pass the answer to
    /// [`Planner::handle_order_answer`].
    Order {
        /// The engine.
        endpoint: Endpoint,
        /// The fencing number.
        fencing: u64,
        /// The wanted state.
        wanted: Wanted,
    },
    /// Stop sending requests to an engine and call [`Planner::record_drained`] when none is in flight there.
    Drain {
        /// The engine.
        endpoint: Endpoint,
    },
    /// End the drain: the engine may get requests again.
    Undrain {
        /// The engine.
        endpoint: Endpoint,
    },
    /// Read an engine's state and pass it to [`Planner::reported`].
    Read {
        /// The engine.
        endpoint: Endpoint,
    },
    /// An engine has seen a higher fencing number; call [`crate::holder::Holder::handle_superseded`].
    Superseded,
}

/// A change that is not made because it would leave a model without a ready engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Blocked {
    /// The engine that cannot be changed.
    pub endpoint: Endpoint,
    /// A model that has no other ready engine.
    pub model: Model,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Load(Model),
    /// Unload the models that are not wanted or not in their present version, and change the role. Needs a drain.
    Reconfigure,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// `empty`: no requests are in flight at the engine any more.
    Draining {
        empty: bool,
    },
    Ordered {
        sent: Instant,
    },
}

#[derive(Clone, Debug)]
struct Change {
    kind: Kind,
    step: Step,
    /// Models whose other engines must not be changed meanwhile.
    models: BTreeSet<Model>,
    /// The configuration has changed since the last order, so a report of the wanted state does not prove that the
    /// order has arrived.
    outdated: bool,
}

#[derive(Debug)]
struct State {
    wanted: Engine,
    /// The last report and when it was requested.
    report: Option<(Instant, Report)>,
    change: Option<Change>,
    /// Models that were unloaded and are to be loaded again, in another version or on another version of their base.
    pending_reloads: BTreeSet<Model>,
    /// When to end a drain that outlasts its tenure, because the tenure's last order may still arrive.
    undrain_at: Option<Instant>,
    /// Earliest time of the next change.
    not_before: Instant,
    /// When the engine accepted an order of this tenure; since then it refuses orders of earlier tenures.
    fencing_accepted_at: Option<Instant>,
}

impl State {
    fn with_wanted(mut self, wanted: &Engine) -> Self {
        if let Some(change) = self.change.as_mut().filter(|_| self.wanted != *wanted) {
            change.outdated = true;
        }
        self.wanted = wanted.clone();
        self
    }

    fn fresh_report(&self, now: Instant, limit: Duration) -> Option<&Report> {
        self.report.as_ref().filter(|(asked, _)| now - *asked <= limit).map(|(_, report)| report)
    }

    /// Whether the engine is being or has been drained.
    fn is_drained(&self) -> bool {
        let reconfiguring =
            self.change.as_ref().is_some_and(|change| change.kind == Kind::Reconfigure);
        reconfiguring || self.undrain_at.is_some()
    }

    /// Whether the engine certainly serves a model, so that another engine of the model may be drained.
    fn serves(&self, now: Instant, tenure: Tenure, limit: Duration, model: Model) -> bool {
        let unavailable = self.is_drained();
        let report = self.fresh_report(now, limit);
        let ready = |report: &Report| {
            !report.leaving && report.serves_requests() && report.ready.contains_key(&model)
        };
        !unavailable && self.is_settled(tenure) && report.is_some_and(ready)
    }

    /// Whether the report shows the effect of all orders of earlier holders. Engines that check fencing numbers refuse
    /// such orders once they have accepted one of this tenure. For other engines, the report must have been requested
    /// at least a lease time after the acquisition, when no late order is expected any more.
    fn is_settled(&self, tenure: Tenure) -> bool {
        let from = if self.wanted.checks_fencing {
            self.fencing_accepted_at
        } else {
            Some(tenure.since + tenure.lease_time)
        };
        let asked = self.report.as_ref().map(|(asked, _)| *asked);
        from.is_some_and(|from| asked.is_some_and(|asked| asked >= from))
    }
}

/// Plans the orders of one pool while its lease is held.
///
/// ```
/// use {
///     siskin_lease::{holder::Tenure, orders::{Action, Answer, Engine, Options, Planner, Report}},
///     siskin_types::{id::{Endpoint, Model}, role::Role, time::Instant},
///     std::time::Duration,
/// };
/// let mut planner = Planner::new(Options { load_spacing: Duration::ZERO, ..Options::default() });
/// let wanted = Engine {
///     endpoint: Endpoint(1),
///     models: [(Model(4), String::new())].into(),
///     bases: [].into(),
///     role: Role::Both,
///     checks_fencing: true,
/// };
/// let _ = planner.configure(&[wanted]);
/// let now = Instant::from_micros(9);
/// let tenure = Tenure {
///     fencing: 900,
///     since: now,
///     until: now + Duration::from_secs(10),
///     lease_time: Duration::from_secs(15),
/// };
/// assert_eq!(planner.tick(now, Some(tenure)), [Action::Read { endpoint: Endpoint(1) }]);
/// let empty = Report { role: Some(Role::Both), ..Report::default() };
/// planner.reported(Endpoint(1), now, &empty);
/// // The first order only announces the fencing number; the state is read again after it.
/// assert!(matches!(planner.tick(now, Some(tenure))[..], [Action::Order { fencing: 900, .. }]));
/// let _ = planner.handle_order_answer(now, Endpoint(1), 900, Answer::Accepted);
/// let now = now + Duration::from_secs(1);
/// planner.reported(Endpoint(1), now, &empty);
/// let actions = planner.tick(now, Some(tenure));
/// let [Action::Order { wanted, .. }] = &actions[..] else { panic!("{actions:?}") };
/// assert_eq!(wanted.models, [(Model(4), String::new())].into());
/// ```
#[derive(Debug)]
pub struct Planner {
    options: Options,
    engines: IndexMap<Endpoint, State>,
    tenure: Option<Tenure>,
    /// Engines that ignore fencing numbers have been read again, a lease time after the acquisition.
    reread_done: bool,
    /// Earliest time of the next order that loads a model.
    next_load_at: Instant,
    blocked: Vec<Blocked>,
}

impl Planner {
    /// Creates a planner without engines.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engines: IndexMap::new(),
            tenure: None,
            reread_done: false,
            next_load_at: Instant::ZERO,
            blocked: Vec::new(),
        }
    }

    /// Changes the shortest time between two orders that load a model, also for a load that is already waiting.
    pub fn set_load_spacing(&mut self, spacing: Duration) {
        let before = std::mem::replace(&mut self.options.load_spacing, spacing);
        let last = self.next_load_at.as_micros().saturating_sub(micros(before));
        self.next_load_at = Instant::from_micros(last) + spacing;
    }

    /// Sets the wanted state of all engines. Engines that the configuration no longer names get no more orders.
    pub fn configure(&mut self, engines: &[Engine]) -> Vec<Action> {
        let mut before = std::mem::take(&mut self.engines);
        for wanted in engines {
            let state = before.swap_remove(&wanted.endpoint);
            let state = state.map_or_else(
                || State {
                    wanted: wanted.clone(),
                    report: None,
                    change: None,
                    pending_reloads: BTreeSet::new(),
                    undrain_at: None,
                    not_before: Instant::ZERO,
                    fencing_accepted_at: None,
                },
                |state| state.with_wanted(wanted),
            );
            self.engines.insert(wanted.endpoint, state);
        }
        let removed = before.into_values().filter(State::is_drained);
        removed.map(|state| Action::Undrain { endpoint: state.wanted.endpoint }).collect()
    }

    /// Records an engine's report. `asked` is when the request for it was sent.
    pub fn reported(&mut self, endpoint: Endpoint, asked: Instant, report: &Report) {
        let Some(state) = self.engines.get_mut(&endpoint) else {
            return;
        };
        let newer = state.report.as_ref().is_none_or(|(last, _)| *last <= asked);
        if newer {
            let same_process = |(_, last): &(Instant, Report)| last.instance == report.instance;
            let restarted = !state.report.as_ref().is_some_and(same_process);
            state.fencing_accepted_at.take_if(|_| restarted);
            // After a restart all wanted models are loaded as at first, so reloads need no tracking. While an order to
            // unload models is on its way, they are still reported as ready.
            let reconfiguring =
                state.change.as_ref().is_some_and(|change| change.kind == Kind::Reconfigure);
            let wanted = &state.wanted.models;
            state.pending_reloads.retain(|model| {
                let loaded = !reconfiguring && report.ready.contains_key(model);
                !restarted && wanted.contains_key(model) && !loaded
            });
            state.report = Some((asked, report.clone()));
        }
    }

    /// Records that an engine under a drain has no more requests in flight.
    pub fn record_drained(&mut self, endpoint: Endpoint) {
        let change = self.engines.get_mut(&endpoint).and_then(|state| state.change.as_mut());
        if let Some(Change { step: Step::Draining { empty }, .. }) = change {
            *empty = true;
        }
    }

    /// Handles an engine's answer to an order with the given fencing number.
    pub fn handle_order_answer(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        fencing: u64,
        answer: Answer,
    ) -> Vec<Action> {
        if self.tenure.is_none_or(|tenure| tenure.fencing != fencing) {
            return Vec::new();
        }
        let change = self.engines.get(&endpoint).and_then(|state| state.change.as_ref());
        if change.is_some_and(|change| matches!(change.kind, Kind::Load(_))) {
            // A suspended process may have sent the order long after planning it.
            self.next_load_at = self.next_load_at.max(now + self.options.load_spacing);
        }
        match answer {
            Answer::Accepted => {
                if let Some(state) = self.engines.get_mut(&endpoint)
                    && state.fencing_accepted_at.is_none()
                {
                    state.fencing_accepted_at = Some(now);
                    state.not_before = now;
                }
                Vec::new()
            }
            Answer::Unanswered => Vec::new(),
            Answer::Stale => {
                log::warn!(
                    endpoint:%, fencing;
                    "engine knows a later holder (it has seen a higher fencing number); if this repeats, check that no engine belongs to two pools"
                );
                vec![Action::Superseded]
            }
            Answer::Failed => {
                log::warn!(endpoint:%; "engine failed to carry out an order; will retry later, see the engine's log");
                let actions = self.cancel_change(endpoint);
                if let Some(state) = self.engines.get_mut(&endpoint) {
                    state.not_before = now + self.options.retry_after;
                }
                actions
            }
        }
    }

    /// Changes that are not made because they would leave a model without a ready engine.
    #[must_use]
    pub fn blocked(&self) -> &[Blocked] {
        &self.blocked
    }

    /// Advances all changes and begins new ones. `tenure` is the result of [`crate::holder::Holder::tenure`] at `now`.
    pub fn tick(&mut self, now: Instant, tenure: Option<Tenure>) -> Vec<Action> {
        let mut actions = self.set_tenure(now, tenure);
        for (endpoint, state) in &mut self.engines {
            if state.undrain_at.take_if(|at| now >= *at).is_some() {
                actions.push(Action::Undrain { endpoint: *endpoint });
            }
        }
        let Some(tenure) = tenure else {
            return actions;
        };
        if !self.reread_done && now >= tenure.since + tenure.lease_time {
            self.reread_done = true;
            let without_fencing =
                self.engines.values().filter(|state| !state.wanted.checks_fencing);
            actions.extend(
                without_fencing.map(|state| Action::Read { endpoint: state.wanted.endpoint }),
            );
        }
        self.blocked.clear();
        let endpoints: Vec<_> = self.engines.keys().copied().collect();
        for endpoint in &endpoints {
            actions.extend(self.advance_change(now, tenure, *endpoint));
        }
        for endpoint in endpoints {
            actions.extend(self.begin_change(now, tenure, endpoint));
        }
        actions
    }

    /// Resets the state when a tenure begins or ends. A new tenure knows nothing of earlier orders: it reads all
    /// engines and spaces its first load as if the earlier holder had just ordered one.
    fn set_tenure(&mut self, now: Instant, tenure: Option<Tenure>) -> Vec<Action> {
        let before = self.tenure.map(|tenure| tenure.fencing);
        self.tenure = tenure;
        if before == tenure.map(|tenure| tenure.fencing) {
            return Vec::new();
        }
        let endpoints: Vec<_> = self.engines.keys().copied().collect();
        let mut actions = Vec::new();
        for endpoint in &endpoints {
            let state = &mut self.engines[endpoint];
            state.fencing_accepted_at = None;
            state.pending_reloads.clear();
            match state.change.as_ref().map(|change| (change.kind, change.step)) {
                // The order may still arrive. A process that was suspended may have sent it just now, however long ago
                // it planned it.
                Some((Kind::Reconfigure, Step::Ordered { .. })) => {
                    state.change = None;
                    state.undrain_at = Some(now + self.options.resend_after);
                }
                _ => actions.extend(self.cancel_change(*endpoint)),
            }
        }
        if let Some(tenure) = tenure {
            self.reread_done = false;
            self.next_load_at = tenure.since + self.options.load_spacing;
            actions.extend(endpoints.into_iter().map(|endpoint| Action::Read { endpoint }));
        }
        actions
    }

    /// Ends a change that is under way, and its drain.
    fn cancel_change(&mut self, endpoint: Endpoint) -> Vec<Action> {
        let change = self.engines.get_mut(&endpoint).and_then(|state| state.change.take());
        match change.map(|change| change.kind) {
            Some(Kind::Reconfigure) => vec![Action::Undrain { endpoint }],
            Some(Kind::Load(_)) | None => Vec::new(),
        }
    }

    fn advance_change(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Vec<Action> {
        let state = &self.engines[&endpoint];
        let Some(change) = state.change.clone() else {
            return Vec::new();
        };
        let Some(report) = state.fresh_report(now, self.options.report_limit) else {
            // An engine that does not report gets no orders; if it stays silent, the change is cancelled.
            let silent = state.report.as_ref().is_none_or(|(asked, _)| {
                now - *asked > self.options.report_limit + self.options.resend_after
            });
            return if silent { self.cancel_change(endpoint) } else { Vec::new() };
        };
        let done = match change.kind {
            // A restarted engine has to load the base of an adapter first.
            Kind::Load(model) => {
                let wanted = state.wanted.models.contains_key(&model);
                report.ready.contains_key(&model)
                    || !wanted
                    || !state.wanted.has_base(model, report)
            }
            Kind::Reconfigure => !needs_reconfiguration(&state.wanted, report),
        };
        let asked = state.report.as_ref().map(|(asked, _)| *asked);
        let overdue = |sent| asked.is_some_and(|asked| asked >= sent + self.options.resend_after);
        let (due, in_flight) = match change.step {
            Step::Draining { empty } => (empty, false),
            Step::Ordered { sent } => (overdue(sent), change.outdated && !overdue(sent)),
        };
        if done && !(in_flight && change.kind == Kind::Reconfigure) {
            return self.cancel_change(endpoint);
        }
        match change.kind {
            Kind::Load(model) => {
                let repeat =
                    due && !report.loading.contains_key(&model) && now >= self.next_load_at;
                if repeat {
                    vec![self.order_load(now, tenure, endpoint, model)]
                } else {
                    Vec::new()
                }
            }
            // An order on its way may still arrive, so the change stays until a later report shows that the order was
            // lost.
            Kind::Reconfigure if self.solely_served(now, tenure, endpoint).is_some() => {
                let cancellable = due || matches!(change.step, Step::Draining { .. });
                if cancellable { self.cancel_change(endpoint) } else { Vec::new() }
            }
            Kind::Reconfigure if due && !done => {
                vec![self.order_reconfiguration(now, tenure, endpoint)]
            }
            Kind::Reconfigure => Vec::new(),
        }
    }

    fn begin_change(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Option<Action> {
        let state = &self.engines[&endpoint];
        let report = state.fresh_report(now, self.options.report_limit)?.clone();
        let changing = state.change.is_some() || state.undrain_at.is_some();
        if changing || now < state.not_before || report.leaving {
            return None;
        }
        if state.wanted.checks_fencing && state.fencing_accepted_at.is_none() {
            return self.announce_fencing(now, tenure, endpoint, &report);
        }
        if !state.is_settled(tenure) {
            return None;
        }
        if needs_reconfiguration(&state.wanted, &report) {
            let models = report.present_models().into_keys().collect();
            let sole = self.solely_served(now, tenure, endpoint);
            if let Some(model) = sole {
                self.blocked.push(Blocked { endpoint, model });
            }
            if sole.is_none() && !self.has_conflict(now, endpoint, &models) {
                let step = Step::Draining { empty: false };
                let change = Change { kind: Kind::Reconfigure, step, models, outdated: false };
                self.set_change(endpoint, change);
                return Some(Action::Drain { endpoint });
            }
        }
        self.begin_load(now, tenure, endpoint, &report)
    }

    /// Announces the new fencing number to an engine by ordering the state that it reports.
    fn announce_fencing(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
        report: &Report,
    ) -> Option<Action> {
        let state = &mut self.engines[&endpoint];
        if state.report.as_ref().is_none_or(|(asked, _)| *asked < tenure.since) {
            return None;
        }
        state.not_before = now + self.options.resend_after;
        let bases = state.wanted.bases.clone();
        let wanted = Wanted { models: report.present_models(), bases, role: report.role };
        Some(Action::Order { endpoint, fencing: tenure.fencing, wanted })
    }

    fn begin_load(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
        report: &Report,
    ) -> Option<Action> {
        if now < self.next_load_at || !report.loading.is_empty() {
            return None;
        }
        let engine = &self.engines[&endpoint].wanted;
        let possible =
            |model: &&Model| engine.has_base(**model, report) && !report.ready.contains_key(*model);
        let mut missing = engine.models.keys().filter(possible).copied();
        let model = missing.find(|model| !self.has_conflict(now, endpoint, &[*model].into()))?;
        let step = Step::Ordered { sent: now };
        let models = [model].into();
        let change = Change { kind: Kind::Load(model), step, models, outdated: false };
        self.set_change(endpoint, change);
        Some(self.order_load(now, tenure, endpoint, model))
    }

    fn set_change(&mut self, endpoint: Endpoint, change: Change) {
        if let Some(state) = self.engines.get_mut(&endpoint) {
            state.change = Some(change);
        }
    }

    fn order_load(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
        model: Model,
    ) -> Action {
        self.next_load_at = now + self.options.load_spacing;
        let report = self.last_report(endpoint);
        let engine = &self.engines[&endpoint].wanted;
        let mut models = report.present_models();
        models.insert(model, engine.models.get(&model).cloned().unwrap_or_default());
        let wanted = Wanted { models, bases: engine.bases.clone(), role: report.role };
        self.record_order(now, tenure, endpoint, wanted)
    }

    fn order_reconfiguration(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
    ) -> Action {
        let report = self.last_report(endpoint);
        let Some(state) = self.engines.get_mut(&endpoint) else {
            return Action::Undrain { endpoint };
        };
        let engine = &state.wanted;
        let mut models = report.present_models();
        models.retain(|model, version| is_wanted(engine, *model, version));
        let bases: BTreeSet<_> = models.keys().copied().collect();
        models.retain(|model, _| engine.bases.get(model).is_none_or(|base| bases.contains(base)));
        let unloaded = report.ready.keys().filter(|model| !models.contains_key(*model));
        let reloaded = unloaded.filter(|model| engine.models.contains_key(*model));
        state.pending_reloads.extend(reloaded);
        let wanted = Wanted { models, bases: engine.bases.clone(), role: Some(engine.role) };
        self.record_order(now, tenure, endpoint, wanted)
    }

    fn last_report(&self, endpoint: Endpoint) -> Report {
        let report = self.engines[&endpoint].report.as_ref();
        report.map(|(_, report)| report.clone()).unwrap_or_default()
    }

    fn record_order(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
        wanted: Wanted,
    ) -> Action {
        if let Some(change) = &mut self.engines[&endpoint].change {
            change.step = Step::Ordered { sent: now };
            change.outdated = false;
        }
        Action::Order { endpoint, fencing: tenure.fencing, wanted }
    }

    /// A model of the engine that no other engine serves. Models being loaded count, because they may be ready when an
    /// order arrives. Models that the configuration does not want on any engine may be unloaded.
    fn solely_served(&self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Option<Model> {
        let limit = self.options.report_limit;
        let report = self.engines[&endpoint].fresh_report(now, limit)?;
        if !report.serves_requests() {
            return None;
        }
        let sole = |model: &Model| {
            let wanted = self.engines.values().any(|state| state.wanted.models.contains_key(model));
            let mut others = self.engines.iter().filter(|(other, _)| **other != endpoint);
            wanted && !others.any(|(_, state)| state.serves(now, tenure, limit, *model))
        };
        report.ready.keys().chain(report.loading.keys()).copied().find(sole)
    }

    /// Whether an engine of one of the models is being changed, by an own order or by an earlier holder's, or another
    /// engine has yet to reload one of them. Engines that have not reported for long are ignored.
    fn has_conflict(&self, now: Instant, endpoint: Endpoint, models: &BTreeSet<Model>) -> bool {
        let silence_limit = self.options.report_limit + self.options.resend_after;
        self.engines.iter().any(|(other, state)| {
            let report = state.fresh_report(now, self.options.report_limit);
            let loading = report.is_some_and(|report| {
                models.iter().any(|model| report.loading.contains_key(model))
            });
            let changing =
                state.change.as_ref().is_some_and(|change| !change.models.is_disjoint(models));
            let heard =
                state.fresh_report(now, silence_limit).is_some_and(|report| !report.leaving);
            let reloading =
                *other != endpoint && heard && !state.pending_reloads.is_disjoint(models);
            loading || changing || reloading
        })
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Engine {
    /// Whether the base of a model is ready; always true for a model that is not an adapter.
    fn has_base(&self, model: Model, report: &Report) -> bool {
        self.bases.get(&model).is_none_or(|base| report.ready.contains_key(base))
    }
}

impl Report {
    /// Models that are ready or being loaded.
    fn present_models(&self) -> Versions {
        let mut present = self.loading.clone();
        present.extend(self.ready.clone());
        present
    }

    fn serves_requests(&self) -> bool {
        self.role.is_some_and(Role::serves_requests)
    }
}

/// Whether an engine should have a model in this version. An unknown version counts as the wanted one; otherwise an
/// engine that does not report versions would be reconfigured without end.
fn is_wanted(engine: &Engine, model: Model, version: &str) -> bool {
    let wanted = engine.models.get(&model);
    wanted.is_some_and(|wanted| wanted.is_empty() || version.is_empty() || wanted == version)
}

fn needs_reconfiguration(engine: &Engine, report: &Report) -> bool {
    let unwanted = |(model, version): (&Model, &String)| !is_wanted(engine, *model, version);
    report.role != Some(engine.role) || report.ready.iter().chain(&report.loading).any(unwanted)
}
