//! A store, routers and engines in virtual time, kept as naive as possible, with faults.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    siskin_lease::{
        holder::{self, Entry, Holder, Operation, Unanswered},
        orders::{self, Engine, Planner, Report, Versions, Wanted},
    },
    siskin_types::{
        id::{Endpoint, Model, Node, Pool},
        role::Role,
        time::Instant,
    },
    std::collections::{BTreeMap, VecDeque},
};

/// Length of a simulation step.
pub(crate) const STEP_MICROS: u64 = 20_000;

/// How old a planner's knowledge of another engine may be: the limit of reports, by a slow clock, and the time that
/// an order travels.
const KNOWLEDGE_MICROS: u64 = 4_000_000;

const MILLI: u64 = 1_000;

#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Probabilities per second.
    pub(crate) pause: f64,
    pub(crate) restart: f64,
    pub(crate) outage: f64,
    pub(crate) engine_death: f64,
    /// Probability that a request or an answer is lost.
    pub(crate) loss: f64,
}

pub(crate) struct Router {
    pub(crate) holder: Holder,
    planner: Planner,
    rate: f64,
    offset: u64,
    paused_until: u64,
    incarnation: u64,
    /// Actions decided but not carried out; a pause may come in between.
    outbox: Vec<Effect>,
    /// Engines being drained, and when they will be empty.
    draining: BTreeMap<Endpoint, u64>,
    next_poll: u64,
}

#[derive(Default)]
pub(crate) struct Unit {
    pub(crate) checks: bool,
    pub(crate) ready: Versions,
    /// Model, when it is loaded, and its version.
    loading: BTreeMap<Model, (u64, String)>,
    /// Models taken out for another version and not loaded again, with the fencing number of the order.
    reloading: BTreeMap<Model, u64>,
    role: Role,
    role_until: u64,
    highest: u64,
    instance: u64,
    /// When the process started.
    started: u64,
    /// Since when each model is ready.
    ready_since: BTreeMap<Model, u64>,
    /// When each model was last ready in a role that serves requests.
    last_ready: BTreeMap<Model, u64>,
}

enum Effect {
    Holder(holder::Action),
    Planner(orders::Action),
}

enum Mail {
    Call {
        router: usize,
        incarnation: u64,
        call: u64,
        operation: Operation,
    },
    Answer {
        router: usize,
        incarnation: u64,
        call: u64,
        answer: Option<holder::Answer>,
    },
    Order {
        router: usize,
        incarnation: u64,
        endpoint: Endpoint,
        fencing: u64,
        wanted: Wanted,
    },
    Ordered {
        router: usize,
        incarnation: u64,
        endpoint: Endpoint,
        fencing: u64,
        answer: orders::Answer,
    },
    Poll {
        router: usize,
        incarnation: u64,
        endpoint: Endpoint,
        asked: Instant,
    },
    Polled {
        router: usize,
        incarnation: u64,
        endpoint: Endpoint,
        asked: Instant,
        report: Report,
    },
}

/// What happened, for the checks of a test.
#[derive(Default, Debug)]
pub(crate) struct Seen {
    pub(crate) acquisitions: u64,
    pub(crate) stale_refused: u64,
    pub(crate) stale_applied: u64,
    pub(crate) orders: u64,
    pub(crate) loads: u64,
    pub(crate) reloads: u64,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) routers: Vec<Router>,
    pub(crate) engines: BTreeMap<Endpoint, Unit>,
    pub(crate) wanted: Vec<Engine>,
    pub(crate) faults: Faults,
    pub(crate) seen: Seen,
    pub(crate) rng: SmallRng,
    mail: BTreeMap<u64, VecDeque<Mail>>,
    leases: BTreeMap<i64, u64>,
    entry: Option<(Entry, i64)>,
    revision: u64,
    store_rate: f64,
    outage_until: u64,
    last_load: (u64, u64),
}

impl World {
    pub(crate) fn new(seed: u64, routers: usize, wanted: Vec<Engine>, faults: Faults) -> Self {
        println!("SISKIN_SEED={seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let engines = wanted.iter().map(|engine| {
            let unit = Unit { checks: engine.checks_fencing, ..Unit::default() };
            (engine.endpoint, unit)
        });
        let engines = engines.collect();
        let store_rate = rng.random_range(0.95..=1.05);
        let mut world = Self {
            now: 1_000_000,
            routers: Vec::new(),
            engines,
            wanted,
            faults,
            seen: Seen::default(),
            rng,
            mail: BTreeMap::new(),
            leases: BTreeMap::new(),
            entry: None,
            revision: 100,
            store_rate,
            outage_until: 0,
            last_load: (0, 0),
        };
        for index in 0..routers {
            let router = world.router(index, 1);
            world.routers.push(router);
        }
        world
    }

    fn router(&mut self, index: usize, incarnation: u64) -> Router {
        let node = Node(u32::try_from(index).unwrap());
        let mut options = holder::Options::new(Pool(1), node, incarnation);
        options.seed = self.rng.random();
        let mut planner = Planner::new(orders::Options::default());
        assert!(planner.configure(&self.wanted).is_empty());
        Router {
            holder: Holder::new(options),
            planner,
            rate: self.rng.random_range(0.95..=1.05),
            offset: self.rng.random_range(0..1_000_000_000),
            paused_until: 0,
            incarnation,
            outbox: Vec::new(),
            draining: BTreeMap::new(),
            next_poll: 0,
        }
    }

    /// Changes the configuration everywhere.
    pub(crate) fn configure(&mut self, wanted: Vec<Engine>) {
        for router in &mut self.routers {
            let actions = router.planner.configure(&wanted);
            router.outbox.extend(actions.into_iter().map(Effect::Planner));
        }
        for engine in &wanted {
            let unit = self.engines.get_mut(&engine.endpoint).unwrap();
            unit.reloading.retain(|model, _| engine.models.contains_key(model));
        }
        self.wanted = wanted;
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let incarnation = self.routers[index].incarnation + 1;
        self.routers[index] = self.router(index, incarnation);
    }

    pub(crate) fn pause(&mut self, index: usize, seconds: u64) {
        self.routers[index].paused_until = self.now + seconds * 1_000 * MILLI;
    }

    /// Runs until a router has decided on an order, at most for a minute, and pauses it before the order is sent.
    pub(crate) fn pause_before_order(&mut self, seconds: u64) {
        let is_order =
            |effect: &Effect| matches!(effect, Effect::Planner(orders::Action::Order { .. }));
        for _ in 0..60 * 1_000 * MILLI / STEP_MICROS {
            self.step();
            let decided = |router: &Router| router.outbox.iter().any(is_order);
            if let Some(index) = self.routers.iter().position(decided) {
                return self.pause(index, seconds);
            }
        }
    }

    pub(crate) fn local(&self, index: usize) -> Instant {
        let router = &self.routers[index];
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        #[expect(clippy::cast_precision_loss)]
        let elapsed = (self.now as f64 * router.rate) as u64;
        Instant::from_micros(router.offset + elapsed)
    }

    /// Routers that may act, also if they are paused.
    pub(crate) fn acting(&self) -> Vec<usize> {
        let acts = |index: &usize| self.routers[*index].holder.tenure(self.local(*index)).is_some();
        (0..self.routers.len()).filter(acts).collect()
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000 * MILLI;
        while self.now < end {
            self.step();
        }
    }

    /// Runs without faults until all engines are as wanted.
    pub(crate) fn settles_within(&mut self, seconds: u64) -> bool {
        self.faults = Faults::default();
        self.outage_until = 0;
        let end = self.now + seconds * 1_000 * MILLI;
        while self.now < end {
            self.step();
            if self.settled() {
                return true;
            }
        }
        false
    }

    pub(crate) fn settled(&self) -> bool {
        self.wanted.iter().all(|wanted| {
            let unit = &self.engines[&wanted.endpoint];
            let keys = unit.ready.keys().eq(wanted.models.keys());
            let fits = |(model, version): (&Model, &String)| fits(&wanted.models[model], version);
            keys && unit.ready.iter().all(fits)
                && unit.loading.is_empty()
                && unit.role == wanted.role
        })
    }

    /// What a router's planner cannot change.
    pub(crate) fn blocked(&self, index: usize) -> Vec<(Endpoint, Model)> {
        let blocked = self.routers[index].planner.blocked();
        blocked.iter().map(|blocked| (blocked.endpoint, blocked.model)).collect()
    }

    fn step(&mut self) {
        self.now += STEP_MICROS;
        self.inject();
        self.advance_store();
        self.advance_engines();
        let later = self.mail.split_off(&(self.now + 1));
        for mail in std::mem::replace(&mut self.mail, later).into_values().flatten() {
            self.deliver(mail);
        }
        for index in 0..self.routers.len() {
            if self.routers[index].paused_until <= self.now {
                self.advance_router(index);
            }
        }
        let acting = self.acting();
        assert!(acting.len() <= 1, "routers {acting:?} act at the same time");
    }

    fn inject(&mut self) {
        const STEPS_PER_SECOND: f64 = 50.0;
        let faults = self.faults;
        let mut happens = |per_second: f64| self.rng.random_bool(per_second / STEPS_PER_SECOND);
        let [pause, restart, outage, death] =
            [faults.pause, faults.restart, faults.outage, faults.engine_death].map(&mut happens);
        let index = self.rng.random_range(0..self.routers.len());
        // Faults that hit the present holder matter most.
        let target = self.acting().first().copied().unwrap_or(index);
        if pause {
            let seconds = self.rng.random_range(1..60);
            self.pause(target, seconds);
        }
        if restart {
            self.restart(target);
        }
        if outage {
            self.outage_until = self.now + self.rng.random_range(1_000..40_000) * MILLI;
        }
        if death && let Some(unit) = self.engines.values_mut().choose(&mut self.rng) {
            *unit = Unit {
                checks: unit.checks,
                instance: unit.instance + 1,
                started: self.now,
                last_ready: std::mem::take(&mut unit.last_ready),
                ..Unit::default()
            };
        }
    }

    fn advance_store(&mut self) {
        self.leases.retain(|_, until| *until > self.now);
        if self.entry.as_ref().is_some_and(|(_, lease)| !self.leases.contains_key(lease)) {
            self.entry = None;
        }
    }

    fn advance_engines(&mut self) {
        for unit in self.engines.values_mut() {
            let (loaded, loading): (BTreeMap<_, _>, _) = std::mem::take(&mut unit.loading)
                .into_iter()
                .partition(|(_, (until, _))| *until <= self.now);
            unit.loading = loading;
            for (model, (_, version)) in loaded {
                unit.ready.insert(model, version);
                unit.ready_since.insert(model, self.now);
                unit.reloading.remove(&model);
            }
            if unit.role_until <= self.now && unit.role.serves_requests() {
                unit.last_ready.extend(unit.ready.keys().map(|model| (*model, self.now)));
            }
        }
    }

    fn advance_router(&mut self, index: usize) {
        let now = self.local(index);
        let outbox = std::mem::take(&mut self.routers[index].outbox);
        for effect in outbox {
            self.carry_out(index, effect);
        }
        let router = &mut self.routers[index];
        let empty = router.draining.iter().filter(|(_, at)| **at <= self.now);
        for endpoint in empty.map(|(endpoint, _)| *endpoint).collect::<Vec<_>>() {
            router.planner.drained(endpoint);
        }
        let actions = router.holder.set_candidate(now, true);
        router.outbox.extend(actions.into_iter().map(Effect::Holder));
        let actions = router.planner.tick(now, router.holder.tenure(now));
        router.outbox.extend(actions.into_iter().map(Effect::Planner));
        if router.next_poll <= self.now {
            router.next_poll = self.now + 1_000 * MILLI;
            let endpoints: Vec<_> = self.engines.keys().copied().collect();
            for endpoint in endpoints {
                self.carry_out(index, Effect::Planner(orders::Action::Read { endpoint }));
            }
        }
    }

    fn carry_out(&mut self, index: usize, effect: Effect) {
        let router = index;
        let incarnation = self.routers[index].incarnation;
        match effect {
            Effect::Holder(holder::Action::Store { call, operation }) => {
                self.post(Mail::Call { router, incarnation, call, operation });
            }
            Effect::Holder(holder::Action::Acquired { .. }) => self.seen.acquisitions += 1,
            Effect::Holder(holder::Action::Lost { .. }) => {}
            Effect::Planner(orders::Action::Order { endpoint, fencing, wanted }) => {
                self.post(Mail::Order { router, incarnation, endpoint, fencing, wanted });
            }
            Effect::Planner(orders::Action::Read { endpoint }) => {
                let asked = self.local(index);
                self.post(Mail::Poll { router, incarnation, endpoint, asked });
            }
            Effect::Planner(orders::Action::Drain { endpoint }) => {
                let empty = self.now + self.rng.random_range(500..4_000) * MILLI;
                self.routers[index].draining.insert(endpoint, empty);
            }
            Effect::Planner(orders::Action::Undrain { endpoint }) => {
                self.routers[index].draining.remove(&endpoint);
            }
            Effect::Planner(orders::Action::Superseded) => {
                let now = self.local(index);
                let actions = self.routers[index].holder.superseded(now);
                self.routers[index].outbox.extend(actions.into_iter().map(Effect::Holder));
            }
        }
    }

    fn post(&mut self, mail: Mail) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let slow = self.rng.random_bool(0.02);
        let most = if slow { 3_000 } else { 50 };
        let at = self.now + self.rng.random_range(1..=most) * MILLI;
        self.mail.entry(at).or_default().push_back(mail);
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Call { router, incarnation, call, operation } => {
                let down = self.outage_until > self.now;
                let answer = if down { None } else { Some(self.apply(operation)) };
                self.post(Mail::Answer { router, incarnation, call, answer });
            }
            Mail::Order { router, incarnation, endpoint, fencing, wanted } => {
                let answer = self.order((router, incarnation), endpoint, fencing, &wanted);
                self.post(Mail::Ordered { router, incarnation, endpoint, fencing, answer });
            }
            Mail::Poll { router, incarnation, endpoint, asked } => {
                let report = self.report(endpoint);
                self.post(Mail::Polled { router, incarnation, endpoint, asked, report });
            }
            Mail::Answer { router, incarnation, .. }
            | Mail::Ordered { router, incarnation, .. }
            | Mail::Polled { router, incarnation, .. } => {
                let receiver = &self.routers[router];
                if receiver.paused_until > self.now {
                    self.mail.entry(receiver.paused_until).or_default().push_back(mail);
                } else if receiver.incarnation == incarnation {
                    self.receive(mail);
                }
            }
        }
    }

    fn receive(&mut self, mail: Mail) {
        match mail {
            Mail::Answer { router, call, answer, .. } => {
                let now = self.local(router);
                let to = &mut self.routers[router];
                let actions = to.holder.stored(now, call, answer.ok_or(Unanswered));
                to.outbox.extend(actions.into_iter().map(Effect::Holder));
            }
            Mail::Ordered { router, endpoint, fencing, answer, .. } => {
                let now = self.local(router);
                let to = &mut self.routers[router];
                let actions = to.planner.order_answered(now, endpoint, fencing, answer);
                to.outbox.extend(actions.into_iter().map(Effect::Planner));
            }
            Mail::Polled { router, endpoint, asked, report, .. } => {
                self.routers[router].planner.reported(endpoint, asked, &report);
            }
            Mail::Call { .. } | Mail::Order { .. } | Mail::Poll { .. } => {}
        }
    }

    fn apply(&mut self, operation: Operation) -> holder::Answer {
        self.revision += 1;
        match operation {
            Operation::Read { .. } => {
                holder::Answer::Value(self.entry.as_ref().map(|(entry, _)| entry.clone()))
            }
            Operation::Grant { lease_time } => {
                let lease = i64::try_from(self.revision).unwrap();
                self.extend(lease, lease_time.as_secs_f64());
                holder::Answer::Granted { lease }
            }
            Operation::Create { token, lease, .. } => {
                if !self.leases.contains_key(&lease) {
                    return holder::Answer::Lapsed;
                }
                if self.entry.is_some() {
                    return holder::Answer::Exists;
                }
                self.entry = Some((Entry { token, revision: self.revision }, lease));
                holder::Answer::Created { revision: self.revision }
            }
            Operation::KeepAlive { lease } => {
                if !self.leases.contains_key(&lease) {
                    return holder::Answer::Lapsed;
                }
                self.extend(lease, 15.0);
                holder::Answer::Extended
            }
            Operation::Revoke { lease } => {
                self.leases.remove(&lease);
                self.advance_store();
                holder::Answer::Lapsed
            }
        }
    }

    fn extend(&mut self, lease: i64, seconds: f64) {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let micros = (seconds * 1_000_000.0 / self.store_rate) as u64;
        self.leases.insert(lease, self.now + micros);
    }

    fn report(&self, endpoint: Endpoint) -> Report {
        let unit = &self.engines[&endpoint];
        let changing = unit.role_until > self.now;
        let ready = if changing { Versions::new() } else { unit.ready.clone() };
        let loading = unit.loading.iter().map(|(model, (_, version))| (*model, version.clone()));
        let mut loading: Versions = loading.collect();
        loading.extend(unit.ready.clone().into_iter().filter(|_| changing));
        Report { ready, loading, role: Some(unit.role), leaving: false, instance: unit.instance }
    }

    /// An order arrives at an engine.
    fn order(
        &mut self,
        from: (usize, u64),
        endpoint: Endpoint,
        fencing: u64,
        wanted: &Wanted,
    ) -> orders::Answer {
        let newest = self.entry.as_ref().map_or(self.seen_fencing(), |(entry, _)| entry.revision);
        let stale = fencing < newest;
        let unit = &self.engines[&endpoint];
        if unit.checks && fencing < unit.highest {
            self.seen.stale_refused += 1;
            return orders::Answer::Stale;
        }
        self.seen.stale_applied += u64::from(stale);
        self.seen.orders += 1;
        for (adapter, base) in &wanted.bases {
            let based = !wanted.models.contains_key(adapter) || wanted.models.contains_key(base);
            assert!(based, "{endpoint} is to have {adapter} without its base: {wanted:?}");
        }
        if !stale {
            self.check_kept(endpoint, wanted);
            self.check_drained(from, endpoint, wanted);
            self.check_one_at_a_time(endpoint, fencing, wanted);
        }
        let unit = self.engines.get_mut(&endpoint).unwrap();
        unit.highest = unit.highest.max(fencing);
        let stays = |model: &Model, version: &String| {
            wanted.models.get(model).is_some_and(|wanted| fits(wanted, version))
        };
        unit.ready.retain(|model, version| stays(model, version));
        unit.loading.retain(|model, (_, version)| stays(model, version));
        let kept: Vec<_> = unit.ready.keys().copied().collect();
        let has_base = |model: &Model| wanted.bases.get(model).is_none_or(|it| kept.contains(it));
        unit.ready.retain(|model, _| has_base(model));
        let new = wanted.models.iter();
        let new: Vec<_> = new
            .filter(|(m, _)| !unit.ready.contains_key(*m) && !unit.loading.contains_key(*m))
            .collect();
        if wanted.role.is_some_and(|role| unit.role != role) {
            unit.role = wanted.role.unwrap_or_default();
            unit.role_until = self.now + 4_000 * MILLI;
        }
        if !new.is_empty() && !stale {
            self.check_spacing(endpoint, fencing);
        }
        for (model, version) in new {
            self.seen.loads += 1;
            let until = self.now + self.rng.random_range(2_000..8_000) * MILLI;
            let version = if version.is_empty() { "0" } else { version }.to_owned();
            self.engines.get_mut(&endpoint).unwrap().loading.insert(*model, (until, version));
        }
        orders::Answer::Accepted
    }

    fn seen_fencing(&self) -> u64 {
        self.engines.values().map(|unit| unit.highest).max().unwrap_or(0)
    }

    /// The ready models that an order takes out, and those that it takes out for another version. A change of role
    /// takes all of them out.
    fn taken_out(&self, endpoint: Endpoint, wanted: &Wanted) -> (Vec<Model>, Vec<Model>) {
        let unit = &self.engines[&endpoint];
        let whole = wanted.role.is_some_and(|role| role != unit.role);
        let stays = |(model, version): &(&Model, &String)| {
            wanted.models.get(*model).is_some_and(|wanted| fits(wanted, version))
        };
        let gone = unit.ready.iter().filter(|it| !stays(it));
        let configured = self.wanted.iter().find(|engine| engine.endpoint == endpoint);
        let reloaded = gone.map(|(model, _)| *model);
        let reloaded = reloaded.filter(|m| configured.is_some_and(|it| it.models.contains_key(m)));
        let taken = unit.ready.iter().filter(|it| whole || !stays(it)).map(|(model, _)| *model);
        (taken.collect(), reloaded.collect())
    }

    /// No model may lose its last ready engine by an order of the present holder.
    fn check_kept(&self, endpoint: Endpoint, wanted: &Wanted) {
        if !self.engines[&endpoint].role.serves_requests() {
            return;
        }
        for model in self.taken_out(endpoint, wanted).0 {
            let served = |(other, unit): (&Endpoint, &Unit)| {
                let last = unit.last_ready.get(&model).copied().unwrap_or(0);
                *other != endpoint && last + KNOWLEDGE_MICROS >= self.now
            };
            let anywhere = self.wanted.iter().any(|engine| engine.models.contains_key(&model));
            assert!(
                !anywhere || self.engines.iter().any(served),
                "{endpoint} loses {model}, which no other engine serves, by {wanted:?}"
            );
        }
    }

    /// An engine is empty when the present holder takes out a model or adapter that requests may run on. A model that
    /// has become ready since the holder's last report cannot be foreseen.
    fn check_drained(
        &self,
        (index, incarnation): (usize, u64),
        endpoint: Endpoint,
        wanted: &Wanted,
    ) {
        let router = &self.routers[index];
        let taken = self.taken_out(endpoint, wanted).0;
        let known = taken.iter().any(|model| self.foreseen(endpoint, *model));
        let empty = router.draining.get(&endpoint).is_some_and(|at| *at <= self.now);
        assert!(
            router.incarnation != incarnation || empty || !known,
            "{endpoint} loses {taken:?} without a drain, by {wanted:?}"
        );
    }

    /// Whether a holder can know that an engine has a model: it is ready for longer than a report may be old. A late order of
    /// an earlier holder may have loaded it since.
    fn foreseen(&self, endpoint: Endpoint, model: Model) -> bool {
        self.engines[&endpoint].ready_since[&model] + KNOWLEDGE_MICROS < self.now
    }

    /// No two engines are without a model because the same holder changes its version.
    fn check_one_at_a_time(&mut self, endpoint: Endpoint, fencing: u64, wanted: &Wanted) {
        let mut reloaded = self.taken_out(endpoint, wanted).1;
        reloaded.retain(|model| self.foreseen(endpoint, *model));
        for model in reloaded {
            let reloads = |(other, unit): (&Endpoint, &Unit)| {
                *other != endpoint && unit.reloading.get(&model) == Some(&fencing)
            };
            let other = self.engines.iter().find(|it| reloads(*it)).map(|(other, _)| *other);
            assert!(other.is_none(), "{endpoint} and {other:?} both load {model} again");
            self.engines.get_mut(&endpoint).unwrap().reloading.insert(model, fencing);
            self.seen.reloads += 1;
        }
    }

    /// A holder's loads are at least the spacing apart, by a clock that is up to 5% fast, but for the travel time. An
    /// order for the state of an engine that has restarted since its last report makes it load that state again, which
    /// the holder cannot foresee.
    fn check_spacing(&mut self, endpoint: Endpoint, fencing: u64) {
        let started = self.engines[&endpoint].started;
        if started > 0 && started + KNOWLEDGE_MICROS >= self.now {
            return;
        }
        let (last, by) = self.last_load;
        let spacing = 10_000 * MILLI * 95 / 100 - 3_000 * MILLI;
        assert!(
            by != fencing || self.now >= last + spacing,
            "loads at {last} and {}, process of {endpoint} started at {started}",
            self.now
        );
        self.last_load = (self.now, fencing);
    }
}

/// Whether a version is the wanted one. An empty one stands for any.
fn fits(wanted: &str, version: &str) -> bool {
    wanted.is_empty() || wanted == version
}
