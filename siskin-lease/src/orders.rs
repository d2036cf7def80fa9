//! Derives orders from the difference between the wanted and the reported state of each engine.
//!
//! Orders carry the whole wanted state and may be repeated. An engine that unloads a model or an adapter, changes the
//! version of one or changes its role is drained first, and only if each of its ready models has another ready engine
//! that serves requests. A load of a further model or adapter needs no drain, because the engine goes on with its
//! requests meanwhile. Of the engines of a model, one is changed at a time; for a new version this includes the load
//! that follows the unload. Loads are spaced out because the weight store is rate-limited.
//!
//! An adapter is a model of its own with the model that it is loaded on as its base. It is loaded once the base is
//! ready, and goes with the base.

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

/// Models with their versions. In what is wanted, an empty version stands for any; in a report, for one that is not
/// known.
pub type Versions = BTreeMap<Model, String>;

/// Options of a planner.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Shortest time between two orders that load a model.
    pub load_spacing: Duration,
    /// Age at which a report no longer proves that an engine is ready.
    pub report_limit: Duration,
    /// Time after which an order without visible effect is sent again.
    pub resend_after: Duration,
    /// Time after which an engine that failed to carry out an order is tried again.
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

/// What the configuration wants of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The engine.
    pub endpoint: Endpoint,
    /// Models and adapters that it shall serve.
    pub models: Versions,
    /// The base of each adapter among them.
    pub bases: BTreeMap<Model, Model>,
    /// Role that it shall have.
    pub role: Role,
    /// Whether it rejects orders with an old fencing number.
    pub checks_fencing: bool,
}

/// What an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and adapters that it can serve.
    pub ready: Versions,
    /// Models and adapters that it is loading.
    pub loading: Versions,
    /// Its role; `None` for one that is not known, in which it gets no requests.
    pub role: Option<Role>,
    /// It takes no new requests.
    pub leaving: bool,
    /// Number of its process. A restarted engine has forgotten the fencing numbers that it has seen.
    pub instance: u64,
}

/// The state that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wanted {
    /// All models and adapters that the engine shall serve.
    pub models: Versions,
    /// The base of each adapter that the configuration wants of the engine.
    pub bases: BTreeMap<Model, Model>,
    /// Its role; `None` leaves the role as it is.
    pub role: Option<Role>,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It will carry the order out.
    Accepted,
    /// It knows a later fencing number.
    Stale,
    /// It cannot carry the order out.
    Failed,
    /// No answer; the order may have arrived.
    Unanswered,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order, unless [`crate::holder::Holder::tenure`] says otherwise by then, and pass the answer to
    /// [`Planner::order_answered`].
    Order {
        /// The engine.
        endpoint: Endpoint,
        /// The fencing number.
        fencing: u64,
        /// The wanted state.
        wanted: Wanted,
    },
    /// Stop sending requests to an engine and call [`Planner::drained`] when it is empty.
    Drain {
        /// The engine.
        endpoint: Endpoint,
    },
    /// The engine may get requests again.
    Undrain {
        /// The engine.
        endpoint: Endpoint,
    },
    /// Read an engine's state and pass it to [`Planner::reported`].
    Read {
        /// The engine.
        endpoint: Endpoint,
    },
    /// An engine knows a later holder; tell [`crate::holder::Holder::superseded`].
    Superseded,
}

/// A change that would take out the last ready engine of a model.
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
    /// Unload what is not wanted, or not in its present version, and change the role.
    TakeOut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Draining { empty: bool },
    Ordered { sent: Instant },
}

#[derive(Clone, Debug)]
struct Change {
    kind: Kind,
    step: Step,
    /// Models of which no other engine may be changed meanwhile.
    models: BTreeSet<Model>,
    /// The configuration has changed since the last order, so a report as wanted does not show that it has arrived.
    outdated: bool,
}

#[derive(Debug)]
struct State {
    wanted: Engine,
    /// The last report and when it was asked for.
    report: Option<(Instant, Report)>,
    change: Option<Change>,
    /// Models that were taken out and are to be loaded again, in another version or on another version of their base.
    reloads: BTreeSet<Model>,
    /// When a drain ends whose order may still arrive although its tenure has ended.
    undrain_at: Option<Instant>,
    not_before: Instant,
    /// When it accepted an order of this tenure, so that it refuses those of earlier ones.
    confirmed: Option<Instant>,
}

impl State {
    fn configured(mut self, wanted: &Engine) -> Self {
        if let Some(change) = self.change.as_mut().filter(|_| self.wanted != *wanted) {
            change.outdated = true;
        }
        self.wanted = wanted.clone();
        self
    }

    fn report(&self, now: Instant, limit: Duration) -> Option<&Report> {
        self.report.as_ref().filter(|(asked, _)| now - *asked <= limit).map(|(_, report)| report)
    }

    /// Whether the engine is drained.
    fn taken_out(&self) -> bool {
        let changing = self.change.as_ref().is_some_and(|change| change.kind == Kind::TakeOut);
        changing || self.undrain_at.is_some()
    }

    /// Whether the engine can be relied on to serve a model while another one is taken out.
    fn serves(&self, now: Instant, tenure: Tenure, limit: Duration, model: Model) -> bool {
        let taken_out = self.taken_out();
        let report = self.report(now, limit);
        let ready = |report: &Report| {
            !report.leaving && report.serves_requests() && report.ready.contains_key(&model)
        };
        !taken_out && self.settled(tenure) && report.is_some_and(ready)
    }

    /// Whether the report shows the effect of all orders of earlier holders. Engines that check fencing numbers refuse
    /// them after the first order of this tenure; with the others, a lease time is waited for late ones.
    fn settled(&self, tenure: Tenure) -> bool {
        let from = if self.wanted.checks_fencing {
            self.confirmed
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
/// // The first order only makes the fencing number known; the state is read again after it.
/// assert!(matches!(planner.tick(now, Some(tenure))[..], [Action::Order { fencing: 900, .. }]));
/// let _ = planner.order_answered(now, Endpoint(1), 900, Answer::Accepted);
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
    /// Engines that ignore fencing numbers have been read again after the waiting time.
    reread: bool,
    next_load: Instant,
    blocked: Vec<Blocked>,
}

impl Planner {
    /// Makes a planner without engines.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            engines: IndexMap::new(),
            tenure: None,
            reread: false,
            next_load: Instant::ZERO,
            blocked: Vec::new(),
        }
    }

    /// Changes the shortest time between two orders that load a model, also for a load that waits already.
    pub fn set_load_spacing(&mut self, spacing: Duration) {
        let before = std::mem::replace(&mut self.options.load_spacing, spacing);
        let last = self.next_load.as_micros().saturating_sub(micros(before));
        self.next_load = Instant::from_micros(last) + spacing;
    }

    /// Takes over what the configuration wants. Engines that it no longer names get no more orders.
    pub fn configure(&mut self, engines: &[Engine]) -> Vec<Action> {
        let mut before = std::mem::take(&mut self.engines);
        for wanted in engines {
            let state = before.swap_remove(&wanted.endpoint);
            let state = state.map_or_else(
                || State {
                    wanted: wanted.clone(),
                    report: None,
                    change: None,
                    reloads: BTreeSet::new(),
                    undrain_at: None,
                    not_before: Instant::ZERO,
                    confirmed: None,
                },
                |state| state.configured(wanted),
            );
            self.engines.insert(wanted.endpoint, state);
        }
        let gone = before.into_values().filter(State::taken_out);
        gone.map(|state| Action::Undrain { endpoint: state.wanted.endpoint }).collect()
    }

    /// An engine's state has been read. `asked` is when the request for it was sent.
    pub fn reported(&mut self, endpoint: Endpoint, asked: Instant, report: &Report) {
        let Some(state) = self.engines.get_mut(&endpoint) else {
            return;
        };
        let newer = state.report.as_ref().is_none_or(|(last, _)| *last <= asked);
        if newer {
            let same = |(_, last): &(Instant, Report)| last.instance == report.instance;
            let restarted = !state.report.as_ref().is_some_and(same);
            state.confirmed.take_if(|_| restarted);
            // A process that has restarted loads what is wanted anew, whatever was taken out before. While an order to
            // take models out is on its way, they are still reported as ready.
            let ordered = state.change.as_ref().is_some_and(|change| change.kind == Kind::TakeOut);
            let wanted = &state.wanted.models;
            state.reloads.retain(|model| {
                let loaded = !ordered && report.ready.contains_key(model);
                !restarted && wanted.contains_key(model) && !loaded
            });
            state.report = Some((asked, report.clone()));
        }
    }

    /// An engine for which a drain was requested is empty.
    pub fn drained(&mut self, endpoint: Endpoint) {
        let change = self.engines.get_mut(&endpoint).and_then(|state| state.change.as_mut());
        if let Some(Change { step: Step::Draining { empty }, .. }) = change {
            *empty = true;
        }
    }

    /// An engine has answered an order with the given fencing number.
    pub fn order_answered(
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
            // A holder that was paused may have sent the order long after it decided on it.
            self.next_load = self.next_load.max(now + self.options.load_spacing);
        }
        match answer {
            Answer::Accepted => {
                if let Some(state) = self.engines.get_mut(&endpoint)
                    && state.confirmed.is_none()
                {
                    state.confirmed = Some(now);
                    state.not_before = now;
                }
                Vec::new()
            }
            Answer::Unanswered => Vec::new(),
            Answer::Stale => {
                log::warn!(
                    endpoint:%, fencing;
                    "engine knows a later holder; if this repeats, check that each pool has engines of its own"
                );
                vec![Action::Superseded]
            }
            Answer::Failed => {
                log::warn!(endpoint:%; "engine failed to carry out an order; it is tried again later, see the engine's log");
                let actions = self.cancel(endpoint);
                if let Some(state) = self.engines.get_mut(&endpoint) {
                    state.not_before = now + self.options.retry_after;
                }
                actions
            }
        }
    }

    /// Changes that cannot be made because they would take out the last ready engine of a model.
    #[must_use]
    pub fn blocked(&self) -> &[Blocked] {
        &self.blocked
    }

    /// Advances all changes and begins new ones. `tenure` is what [`crate::holder::Holder::tenure`] says at `now`.
    pub fn tick(&mut self, now: Instant, tenure: Option<Tenure>) -> Vec<Action> {
        let mut actions = self.take_over(now, tenure);
        for (endpoint, state) in &mut self.engines {
            if state.undrain_at.take_if(|at| now >= *at).is_some() {
                actions.push(Action::Undrain { endpoint: *endpoint });
            }
        }
        let Some(tenure) = tenure else {
            return actions;
        };
        if !self.reread && now >= tenure.since + tenure.lease_time {
            self.reread = true;
            let unchecked = self.engines.values().filter(|state| !state.wanted.checks_fencing);
            actions.extend(unchecked.map(|state| Action::Read { endpoint: state.wanted.endpoint }));
        }
        self.blocked.clear();
        let endpoints: Vec<_> = self.engines.keys().copied().collect();
        for endpoint in &endpoints {
            actions.extend(self.advance(now, tenure, *endpoint));
        }
        for endpoint in endpoints {
            actions.extend(self.begin(now, tenure, endpoint));
        }
        actions
    }

    /// A new tenure knows nothing of what happened before it: it reads all engines and spaces its first load as if
    /// the earlier holder had just ordered one.
    fn take_over(&mut self, now: Instant, tenure: Option<Tenure>) -> Vec<Action> {
        let before = self.tenure.map(|tenure| tenure.fencing);
        self.tenure = tenure;
        if before == tenure.map(|tenure| tenure.fencing) {
            return Vec::new();
        }
        let endpoints: Vec<_> = self.engines.keys().copied().collect();
        let mut actions = Vec::new();
        for endpoint in &endpoints {
            let state = &mut self.engines[endpoint];
            state.confirmed = None;
            state.reloads.clear();
            match state.change.as_ref().map(|change| (change.kind, change.step)) {
                // An order on its way may still take the engine out. A process that stood still may have sent it just now,
                // however long ago it decided on it.
                Some((Kind::TakeOut, Step::Ordered { .. })) => {
                    state.change = None;
                    state.undrain_at = Some(now + self.options.resend_after);
                }
                _ => actions.extend(self.cancel(*endpoint)),
            }
        }
        if let Some(tenure) = tenure {
            self.reread = false;
            self.next_load = tenure.since + self.options.load_spacing;
            actions.extend(endpoints.into_iter().map(|endpoint| Action::Read { endpoint }));
        }
        actions
    }

    /// Ends a change that is under way and lets the engine have requests again.
    fn cancel(&mut self, endpoint: Endpoint) -> Vec<Action> {
        let change = self.engines.get_mut(&endpoint).and_then(|state| state.change.take());
        match change.map(|change| change.kind) {
            Some(Kind::TakeOut) => vec![Action::Undrain { endpoint }],
            Some(Kind::Load(_)) | None => Vec::new(),
        }
    }

    fn advance(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Vec<Action> {
        let state = &self.engines[&endpoint];
        let Some(change) = state.change.clone() else {
            return Vec::new();
        };
        let Some(report) = state.report(now, self.options.report_limit) else {
            // Nothing is ordered from an engine that does not report; if it stays away, the change is void.
            let silent = state.report.as_ref().is_none_or(|(asked, _)| {
                now - *asked > self.options.report_limit + self.options.resend_after
            });
            return if silent { self.cancel(endpoint) } else { Vec::new() };
        };
        let done = match change.kind {
            // A restarted engine needs the base of an adapter again first.
            Kind::Load(model) => {
                let wanted = state.wanted.models.contains_key(&model);
                report.ready.contains_key(&model)
                    || !wanted
                    || !state.wanted.has_base(model, report)
            }
            Kind::TakeOut => !needs_take_out(&state.wanted, report),
        };
        let asked = state.report.as_ref().map(|(asked, _)| *asked);
        let unseen = |sent| asked.is_some_and(|asked| asked >= sent + self.options.resend_after);
        let (due, on_its_way) = match change.step {
            Step::Draining { empty } => (empty, false),
            Step::Ordered { sent } => (unseen(sent), change.outdated && !unseen(sent)),
        };
        if done && !(on_its_way && change.kind == Kind::TakeOut) {
            return self.cancel(endpoint);
        }
        match change.kind {
            Kind::Load(model) => {
                let repeat = due && !report.loading.contains_key(&model) && now >= self.next_load;
                if repeat { vec![self.load(now, tenure, endpoint, model)] } else { Vec::new() }
            }
            // An order on its way may still take the engine out, so the change stays until a later report shows that
            // the order was lost.
            Kind::TakeOut if self.last_of(now, tenure, endpoint).is_some() => {
                let revocable = due || matches!(change.step, Step::Draining { .. });
                if revocable { self.cancel(endpoint) } else { Vec::new() }
            }
            Kind::TakeOut if due && !done => vec![self.take_out(now, tenure, endpoint)],
            Kind::TakeOut => Vec::new(),
        }
    }

    fn begin(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Option<Action> {
        let state = &self.engines[&endpoint];
        let report = state.report(now, self.options.report_limit)?.clone();
        let changing = state.change.is_some() || state.undrain_at.is_some();
        if changing || now < state.not_before || report.leaving {
            return None;
        }
        if state.wanted.checks_fencing && state.confirmed.is_none() {
            return self.confirm(now, tenure, endpoint, &report);
        }
        if !state.settled(tenure) {
            return None;
        }
        if needs_take_out(&state.wanted, &report) {
            let models = report.present().into_keys().collect();
            let last = self.last_of(now, tenure, endpoint);
            if let Some(model) = last {
                self.blocked.push(Blocked { endpoint, model });
            }
            if last.is_none() && !self.busy(now, endpoint, &models) {
                let step = Step::Draining { empty: false };
                let change = Change { kind: Kind::TakeOut, step, models, outdated: false };
                self.set_change(endpoint, change);
                return Some(Action::Drain { endpoint });
            }
        }
        self.begin_load(now, tenure, endpoint, &report)
    }

    /// Makes an engine know the new fencing number by ordering what it has.
    fn confirm(
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
        let wanted = Wanted { models: report.present(), bases, role: report.role };
        Some(Action::Order { endpoint, fencing: tenure.fencing, wanted })
    }

    fn begin_load(
        &mut self,
        now: Instant,
        tenure: Tenure,
        endpoint: Endpoint,
        report: &Report,
    ) -> Option<Action> {
        if now < self.next_load || !report.loading.is_empty() {
            return None;
        }
        let engine = &self.engines[&endpoint].wanted;
        let possible =
            |model: &&Model| engine.has_base(**model, report) && !report.ready.contains_key(*model);
        let mut missing = engine.models.keys().filter(possible).copied();
        let model = missing.find(|model| !self.busy(now, endpoint, &[*model].into()))?;
        let step = Step::Ordered { sent: now };
        let models = [model].into();
        let change = Change { kind: Kind::Load(model), step, models, outdated: false };
        self.set_change(endpoint, change);
        Some(self.load(now, tenure, endpoint, model))
    }

    fn set_change(&mut self, endpoint: Endpoint, change: Change) {
        if let Some(state) = self.engines.get_mut(&endpoint) {
            state.change = Some(change);
        }
    }

    fn load(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint, model: Model) -> Action {
        self.next_load = now + self.options.load_spacing;
        let report = self.last_report(endpoint);
        let engine = &self.engines[&endpoint].wanted;
        let mut models = report.present();
        models.insert(model, engine.models.get(&model).cloned().unwrap_or_default());
        let wanted = Wanted { models, bases: engine.bases.clone(), role: report.role };
        self.order(now, tenure, endpoint, wanted)
    }

    fn take_out(&mut self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Action {
        let report = self.last_report(endpoint);
        let Some(state) = self.engines.get_mut(&endpoint) else {
            return Action::Undrain { endpoint };
        };
        let engine = &state.wanted;
        let mut models = report.present();
        models.retain(|model, version| is_wanted(engine, *model, version));
        let bases: BTreeSet<_> = models.keys().copied().collect();
        models.retain(|model, _| engine.bases.get(model).is_none_or(|base| bases.contains(base)));
        let taken = report.ready.keys().filter(|model| !models.contains_key(*model));
        let again = taken.filter(|model| engine.models.contains_key(*model));
        state.reloads.extend(again);
        let wanted = Wanted { models, bases: engine.bases.clone(), role: Some(engine.role) };
        self.order(now, tenure, endpoint, wanted)
    }

    fn last_report(&self, endpoint: Endpoint) -> Report {
        let report = self.engines[&endpoint].report.as_ref();
        report.map(|(_, report)| report.clone()).unwrap_or_default()
    }

    fn order(
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

    /// A model of the engine that no other engine serves; one that it is loading may be ready when an order arrives. Models
    /// that the configuration wants nowhere may go.
    fn last_of(&self, now: Instant, tenure: Tenure, endpoint: Endpoint) -> Option<Model> {
        let limit = self.options.report_limit;
        let report = self.engines[&endpoint].report(now, limit)?;
        if !report.serves_requests() {
            return None;
        }
        let last = |model: &Model| {
            let wanted = self.engines.values().any(|state| state.wanted.models.contains_key(model));
            let mut others = self.engines.iter().filter(|(other, _)| **other != endpoint);
            wanted && !others.any(|(_, state)| state.serves(now, tenure, limit, *model))
        };
        report.ready.keys().chain(report.loading.keys()).copied().find(last)
    }

    /// Whether an engine of one of the models is being changed, by an own order or by an earlier holder's, or another
    /// engine has yet to load one of them again. An engine that has been silent for long is not waited for.
    fn busy(&self, now: Instant, endpoint: Endpoint, models: &BTreeSet<Model>) -> bool {
        let overdue = self.options.report_limit + self.options.resend_after;
        self.engines.iter().any(|(other, state)| {
            let report = state.report(now, self.options.report_limit);
            let loading = report.is_some_and(|report| {
                models.iter().any(|model| report.loading.contains_key(model))
            });
            let changing =
                state.change.as_ref().is_some_and(|change| !change.models.is_disjoint(models));
            let heard = state.report(now, overdue).is_some_and(|report| !report.leaving);
            let reloading = *other != endpoint && heard && !state.reloads.is_disjoint(models);
            loading || changing || reloading
        })
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

impl Engine {
    /// Whether what a model is loaded on is ready; always true for one that is not an adapter.
    fn has_base(&self, model: Model, report: &Report) -> bool {
        self.bases.get(&model).is_none_or(|base| report.ready.contains_key(base))
    }
}

impl Report {
    /// Models that the engine has or is about to have.
    fn present(&self) -> Versions {
        let mut present = self.loading.clone();
        present.extend(self.ready.clone());
        present
    }

    fn serves_requests(&self) -> bool {
        self.role.is_some_and(Role::serves_requests)
    }
}

/// Whether an engine shall have a model in this version. A version that is not known counts as the wanted one, or an
/// engine that does not report versions would be changed over and over.
fn is_wanted(engine: &Engine, model: Model, version: &str) -> bool {
    let wanted = engine.models.get(&model);
    wanted.is_some_and(|wanted| wanted.is_empty() || version.is_empty() || wanted == version)
}

fn needs_take_out(engine: &Engine, report: &Report) -> bool {
    let unwanted = |(model, version): (&Model, &String)| !is_wanted(engine, *model, version);
    report.role != Some(engine.role) || report.ready.iter().chain(&report.loading).any(unwanted)
}
