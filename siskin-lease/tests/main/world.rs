//! Simulates a store, routers and engines with simulated time and injected faults. The models are as simple as
//! possible, and invariants are checked at every step.

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

/// How old a planner's knowledge of an engine may be when its order arrives: the age limit of reports, measured by a
/// slow clock, plus the network delay of the order.
const MAX_STALENESS_MICROS: u64 = 4_000_000;

const MICROS_PER_MILLI: u64 = 1_000;

#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Probability per second of each of the first four faults.
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
    clock_rate: f64,
    clock_offset: u64,
    paused_until: u64,
    incarnation: u64,
    /// Actions that are returned but not yet executed; a pause may come in between.
    outbox: Vec<Action>,
    /// Engines being drained, and when their last request will have ended.
    draining: BTreeMap<Endpoint, u64>,
    next_poll: u64,
}

/// A simulated engine process.
#[derive(Default)]
pub(crate) struct Process {
    pub(crate) checks_fencing: bool,
    pub(crate) ready: Versions,
    /// Models being loaded: when the load will be complete, and the version.
    loading: BTreeMap<Model, (u64, String)>,
    /// Models unloaded for another version and not loaded again yet, with the fencing number of the order.
    reloading: BTreeMap<Model, u64>,
    role: Role,
    /// When the last change of role is complete.
    role_complete_at: u64,
    highest_fencing: u64,
    instance: u64,
    /// When the process started; 0 for the first process.
    started: u64,
    /// When each model became ready.
    ready_since: BTreeMap<Model, u64>,
    /// When each model was last ready in a role that serves requests.
    last_ready: BTreeMap<Model, u64>,
}

enum Action {
    Holder(holder::Action),
    Planner(orders::Action),
}

enum Message {
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

/// Counts of events, which tests check.
#[derive(Default, Debug)]
pub(crate) struct Counts {
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
    pub(crate) engines: BTreeMap<Endpoint, Process>,
    pub(crate) wanted: Vec<Engine>,
    pub(crate) faults: Faults,
    pub(crate) counts: Counts,
    pub(crate) rng: SmallRng,
    messages: BTreeMap<u64, VecDeque<Message>>,
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
            let process = Process { checks_fencing: engine.checks_fencing, ..Process::default() };
            (engine.endpoint, process)
        });
        let engines = engines.collect();
        let store_rate = rng.random_range(0.95..=1.05);
        let mut world = Self {
            now: 1_000_000,
            routers: Vec::new(),
            engines,
            wanted,
            faults,
            counts: Counts::default(),
            rng,
            messages: BTreeMap::new(),
            leases: BTreeMap::new(),
            entry: None,
            revision: 100,
            store_rate,
            outage_until: 0,
            last_load: (0, 0),
        };
        for index in 0..routers {
            let router = world.create_router(index, 1);
            world.routers.push(router);
        }
        world
    }

    fn create_router(&mut self, index: usize, incarnation: u64) -> Router {
        let node = Node(u32::try_from(index).unwrap());
        let mut options = holder::Options::new(Pool(1), node, incarnation);
        options.seed = self.rng.random();
        let mut planner = Planner::new(orders::Options::default());
        assert!(planner.configure(&self.wanted).is_empty());
        Router {
            holder: Holder::new(options),
            planner,
            clock_rate: self.rng.random_range(0.95..=1.05),
            clock_offset: self.rng.random_range(0..1_000_000_000),
            paused_until: 0,
            incarnation,
            outbox: Vec::new(),
            draining: BTreeMap::new(),
            next_poll: 0,
        }
    }

    /// Changes the wanted state in all planners and in the checks.
    pub(crate) fn configure(&mut self, wanted: Vec<Engine>) {
        for router in &mut self.routers {
            let actions = router.planner.configure(&wanted);
            router.outbox.extend(actions.into_iter().map(Action::Planner));
        }
        for engine in &wanted {
            let process = self.engines.get_mut(&engine.endpoint).unwrap();
            process.reloading.retain(|model, _| engine.models.contains_key(model));
        }
        self.wanted = wanted;
    }

    pub(crate) fn restart_router(&mut self, index: usize) {
        let incarnation = self.routers[index].incarnation + 1;
        self.routers[index] = self.create_router(index, incarnation);
    }

    pub(crate) fn pause_router(&mut self, index: usize, seconds: u64) {
        self.routers[index].paused_until = self.now + seconds * 1_000 * MICROS_PER_MILLI;
    }

    /// Runs until a router has planned an order, at most for a minute, and pauses it before the order is sent.
    pub(crate) fn pause_before_order(&mut self, seconds: u64) {
        let is_order =
            |action: &Action| matches!(action, Action::Planner(orders::Action::Order { .. }));
        for _ in 0..60 * 1_000 * MICROS_PER_MILLI / STEP_MICROS {
            self.run_step();
            let has_order = |router: &Router| router.outbox.iter().any(is_order);
            if let Some(index) = self.routers.iter().position(has_order) {
                return self.pause_router(index, seconds);
            }
        }
    }

    /// A router's clock, whose rate deviates by up to 5%.
    pub(crate) fn local_time(&self, index: usize) -> Instant {
        let router = &self.routers[index];
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        #[expect(clippy::cast_precision_loss)]
        let elapsed = (self.now as f64 * router.clock_rate) as u64;
        Instant::from_micros(router.clock_offset + elapsed)
    }

    /// Routers that hold the lease and may act, including paused ones.
    pub(crate) fn acting_routers(&self) -> Vec<usize> {
        let acts =
            |index: &usize| self.routers[*index].holder.tenure(self.local_time(*index)).is_some();
        (0..self.routers.len()).filter(acts).collect()
    }

    pub(crate) fn run_for(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000 * MICROS_PER_MILLI;
        while self.now < end {
            self.run_step();
        }
    }

    /// Runs without faults until all engines have the wanted state. Returns whether that took at most `seconds`.
    pub(crate) fn run_until_settled(&mut self, seconds: u64) -> bool {
        self.faults = Faults::default();
        self.outage_until = 0;
        let end = self.now + seconds * 1_000 * MICROS_PER_MILLI;
        while self.now < end {
            self.run_step();
            if self.is_settled() {
                return true;
            }
        }
        false
    }

    /// Whether all engines have the wanted state.
    pub(crate) fn is_settled(&self) -> bool {
        self.wanted.iter().all(|wanted| {
            let process = &self.engines[&wanted.endpoint];
            let keys = process.ready.keys().eq(wanted.models.keys());
            let matches =
                |(model, version): (&Model, &String)| matches(&wanted.models[model], version);
            keys && process.ready.iter().all(matches)
                && process.loading.is_empty()
                && process.role == wanted.role
        })
    }

    /// Engines that a router's planner cannot change, each with the model that prevents it.
    pub(crate) fn blocked(&self, index: usize) -> Vec<(Endpoint, Model)> {
        let blocked = self.routers[index].planner.blocked();
        blocked.iter().map(|blocked| (blocked.endpoint, blocked.model)).collect()
    }

    fn run_step(&mut self) {
        self.now += STEP_MICROS;
        self.inject_faults();
        self.expire_leases();
        self.advance_engines();
        let later = self.messages.split_off(&(self.now + 1));
        for message in std::mem::replace(&mut self.messages, later).into_values().flatten() {
            self.deliver_message(message);
        }
        for index in 0..self.routers.len() {
            if self.routers[index].paused_until <= self.now {
                self.advance_router(index);
            }
        }
        let acting = self.acting_routers();
        assert!(acting.len() <= 1, "routers {acting:?} act at the same time");
    }

    fn inject_faults(&mut self) {
        const STEPS_PER_SECOND: f64 = 50.0;
        let faults = self.faults;
        let mut happens = |per_second: f64| self.rng.random_bool(per_second / STEPS_PER_SECOND);
        let [pause, restart, outage, death] =
            [faults.pause, faults.restart, faults.outage, faults.engine_death].map(&mut happens);
        let index = self.rng.random_range(0..self.routers.len());
        // Faults of the present holder are the most likely to break an invariant.
        let target = self.acting_routers().first().copied().unwrap_or(index);
        if pause {
            let seconds = self.rng.random_range(1..60);
            self.pause_router(target, seconds);
        }
        if restart {
            self.restart_router(target);
        }
        if outage {
            self.outage_until = self.now + self.rng.random_range(1_000..40_000) * MICROS_PER_MILLI;
        }
        if death && let Some(process) = self.engines.values_mut().choose(&mut self.rng) {
            *process = Process {
                checks_fencing: process.checks_fencing,
                instance: process.instance + 1,
                started: self.now,
                last_ready: std::mem::take(&mut process.last_ready),
                ..Process::default()
            };
        }
    }

    fn expire_leases(&mut self) {
        self.leases.retain(|_, until| *until > self.now);
        if self.entry.as_ref().is_some_and(|(_, lease)| !self.leases.contains_key(lease)) {
            self.entry = None;
        }
    }

    fn advance_engines(&mut self) {
        for process in self.engines.values_mut() {
            let (loaded, loading): (BTreeMap<_, _>, _) = std::mem::take(&mut process.loading)
                .into_iter()
                .partition(|(_, (until, _))| *until <= self.now);
            process.loading = loading;
            for (model, (_, version)) in loaded {
                process.ready.insert(model, version);
                process.ready_since.insert(model, self.now);
                process.reloading.remove(&model);
            }
            if process.role_complete_at <= self.now && process.role.serves_requests() {
                process.last_ready.extend(process.ready.keys().map(|model| (*model, self.now)));
            }
        }
    }

    fn advance_router(&mut self, index: usize) {
        let now = self.local_time(index);
        let outbox = std::mem::take(&mut self.routers[index].outbox);
        for action in outbox {
            self.execute_action(index, action);
        }
        let router = &mut self.routers[index];
        let empty = router.draining.iter().filter(|(_, at)| **at <= self.now);
        for endpoint in empty.map(|(endpoint, _)| *endpoint).collect::<Vec<_>>() {
            router.planner.record_drained(endpoint);
        }
        let actions = router.holder.set_candidate(now, true);
        router.outbox.extend(actions.into_iter().map(Action::Holder));
        let actions = router.planner.tick(now, router.holder.tenure(now));
        router.outbox.extend(actions.into_iter().map(Action::Planner));
        if router.next_poll <= self.now {
            router.next_poll = self.now + 1_000 * MICROS_PER_MILLI;
            let endpoints: Vec<_> = self.engines.keys().copied().collect();
            for endpoint in endpoints {
                self.execute_action(index, Action::Planner(orders::Action::Read { endpoint }));
            }
        }
    }

    fn execute_action(&mut self, index: usize, action: Action) {
        let router = index;
        let incarnation = self.routers[index].incarnation;
        match action {
            Action::Holder(holder::Action::Store { call, operation }) => {
                self.send_message(Message::Call { router, incarnation, call, operation });
            }
            Action::Holder(holder::Action::Acquired { .. }) => self.counts.acquisitions += 1,
            Action::Holder(holder::Action::Lost { .. }) => {}
            Action::Planner(orders::Action::Order { endpoint, fencing, wanted }) => {
                self.send_message(Message::Order {
                    router,
                    incarnation,
                    endpoint,
                    fencing,
                    wanted,
                });
            }
            Action::Planner(orders::Action::Read { endpoint }) => {
                let asked = self.local_time(index);
                self.send_message(Message::Poll { router, incarnation, endpoint, asked });
            }
            Action::Planner(orders::Action::Drain { endpoint }) => {
                let empty = self.now + self.rng.random_range(500..4_000) * MICROS_PER_MILLI;
                self.routers[index].draining.insert(endpoint, empty);
            }
            Action::Planner(orders::Action::Undrain { endpoint }) => {
                self.routers[index].draining.remove(&endpoint);
            }
            Action::Planner(orders::Action::Superseded) => {
                let now = self.local_time(index);
                let actions = self.routers[index].holder.handle_superseded(now);
                self.routers[index].outbox.extend(actions.into_iter().map(Action::Holder));
            }
        }
    }

    fn send_message(&mut self, message: Message) {
        if self.rng.random_bool(self.faults.loss) {
            return;
        }
        let slow = self.rng.random_bool(0.02);
        let max_delay = if slow { 3_000 } else { 50 };
        let at = self.now + self.rng.random_range(1..=max_delay) * MICROS_PER_MILLI;
        self.messages.entry(at).or_default().push_back(message);
    }

    fn deliver_message(&mut self, message: Message) {
        match message {
            Message::Call { router, incarnation, call, operation } => {
                let down = self.outage_until > self.now;
                let answer = if down { None } else { Some(self.apply_operation(operation)) };
                self.send_message(Message::Answer { router, incarnation, call, answer });
            }
            Message::Order { router, incarnation, endpoint, fencing, wanted } => {
                let answer = self.apply_order((router, incarnation), endpoint, fencing, &wanted);
                self.send_message(Message::Ordered {
                    router,
                    incarnation,
                    endpoint,
                    fencing,
                    answer,
                });
            }
            Message::Poll { router, incarnation, endpoint, asked } => {
                let report = self.report(endpoint);
                self.send_message(Message::Polled { router, incarnation, endpoint, asked, report });
            }
            Message::Answer { router, incarnation, .. }
            | Message::Ordered { router, incarnation, .. }
            | Message::Polled { router, incarnation, .. } => {
                let receiver = &self.routers[router];
                if receiver.paused_until > self.now {
                    self.messages.entry(receiver.paused_until).or_default().push_back(message);
                } else if receiver.incarnation == incarnation {
                    self.receive_message(message);
                }
            }
        }
    }

    fn receive_message(&mut self, message: Message) {
        match message {
            Message::Answer { router, call, answer, .. } => {
                let now = self.local_time(router);
                let to = &mut self.routers[router];
                let actions = to.holder.handle_store_answer(now, call, answer.ok_or(Unanswered));
                to.outbox.extend(actions.into_iter().map(Action::Holder));
            }
            Message::Ordered { router, endpoint, fencing, answer, .. } => {
                let now = self.local_time(router);
                let to = &mut self.routers[router];
                let actions = to.planner.handle_order_answer(now, endpoint, fencing, answer);
                to.outbox.extend(actions.into_iter().map(Action::Planner));
            }
            Message::Polled { router, endpoint, asked, report, .. } => {
                self.routers[router].planner.reported(endpoint, asked, &report);
            }
            Message::Call { .. } | Message::Order { .. } | Message::Poll { .. } => {}
        }
    }

    fn apply_operation(&mut self, operation: Operation) -> holder::Answer {
        self.revision += 1;
        match operation {
            Operation::Read { .. } => {
                holder::Answer::Value(self.entry.as_ref().map(|(entry, _)| entry.clone()))
            }
            Operation::Grant { lease_time } => {
                let lease = i64::try_from(self.revision).unwrap();
                self.set_lease_expiry(lease, lease_time.as_secs_f64());
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
                self.set_lease_expiry(lease, 15.0);
                holder::Answer::Renewed
            }
            Operation::Revoke { lease } => {
                self.leases.remove(&lease);
                self.expire_leases();
                holder::Answer::Lapsed
            }
        }
    }

    fn set_lease_expiry(&mut self, lease: i64, seconds: f64) {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let micros = (seconds * 1_000_000.0 / self.store_rate) as u64;
        self.leases.insert(lease, self.now + micros);
    }

    fn report(&self, endpoint: Endpoint) -> Report {
        let process = &self.engines[&endpoint];
        let changing = process.role_complete_at > self.now;
        let ready = if changing { Versions::new() } else { process.ready.clone() };
        let loading = process.loading.iter().map(|(model, (_, version))| (*model, version.clone()));
        let mut loading: Versions = loading.collect();
        loading.extend(process.ready.clone().into_iter().filter(|_| changing));
        Report {
            ready,
            loading,
            role: Some(process.role),
            leaving: false,
            instance: process.instance,
        }
    }

    /// Handles the arrival of an order at an engine.
    fn apply_order(
        &mut self,
        from: (usize, u64),
        endpoint: Endpoint,
        fencing: u64,
        wanted: &Wanted,
    ) -> orders::Answer {
        let newest =
            self.entry.as_ref().map_or(self.highest_fencing(), |(entry, _)| entry.revision);
        let stale = fencing < newest;
        let process = &self.engines[&endpoint];
        if process.checks_fencing && fencing < process.highest_fencing {
            self.counts.stale_refused += 1;
            return orders::Answer::Stale;
        }
        self.counts.stale_applied += u64::from(stale);
        self.counts.orders += 1;
        for (adapter, base) in &wanted.bases {
            let has_base = !wanted.models.contains_key(adapter) || wanted.models.contains_key(base);
            assert!(
                has_base,
                "order to {endpoint} has adapter {adapter} without its base: {wanted:?}"
            );
        }
        if !stale {
            self.check_models_served(endpoint, wanted);
            self.check_drained(from, endpoint, wanted);
            self.check_one_at_a_time(endpoint, fencing, wanted);
        }
        let process = self.engines.get_mut(&endpoint).unwrap();
        process.highest_fencing = process.highest_fencing.max(fencing);
        let stays = |model: &Model, version: &String| {
            wanted.models.get(model).is_some_and(|wanted| matches(wanted, version))
        };
        process.ready.retain(|model, version| stays(model, version));
        process.loading.retain(|model, (_, version)| stays(model, version));
        let kept: Vec<_> = process.ready.keys().copied().collect();
        let has_base = |model: &Model| wanted.bases.get(model).is_none_or(|it| kept.contains(it));
        process.ready.retain(|model, _| has_base(model));
        let new = wanted.models.iter();
        let new: Vec<_> = new
            .filter(|(m, _)| !process.ready.contains_key(*m) && !process.loading.contains_key(*m))
            .collect();
        if wanted.role.is_some_and(|role| process.role != role) {
            process.role = wanted.role.unwrap_or_default();
            process.role_complete_at = self.now + 4_000 * MICROS_PER_MILLI;
        }
        if !new.is_empty() && !stale {
            self.check_spacing(endpoint, fencing);
        }
        for (model, version) in new {
            self.counts.loads += 1;
            let until = self.now + self.rng.random_range(2_000..8_000) * MICROS_PER_MILLI;
            let version = if version.is_empty() { "0" } else { version }.to_owned();
            self.engines.get_mut(&endpoint).unwrap().loading.insert(*model, (until, version));
        }
        orders::Answer::Accepted
    }

    fn highest_fencing(&self) -> u64 {
        self.engines.values().map(|process| process.highest_fencing).max().unwrap_or(0)
    }

    /// The ready models that an order makes unavailable, and those that it unloads for another version. A change of
    /// role makes all of them unavailable.
    fn interrupted_models(&self, endpoint: Endpoint, wanted: &Wanted) -> (Vec<Model>, Vec<Model>) {
        let process = &self.engines[&endpoint];
        let role_changes = wanted.role.is_some_and(|role| role != process.role);
        let stays = |(model, version): &(&Model, &String)| {
            wanted.models.get(*model).is_some_and(|wanted| matches(wanted, version))
        };
        let unloaded = process.ready.iter().filter(|it| !stays(it));
        let configured = self.wanted.iter().find(|engine| engine.endpoint == endpoint);
        let reloaded = unloaded.map(|(model, _)| *model);
        let reloaded = reloaded.filter(|m| configured.is_some_and(|it| it.models.contains_key(m)));
        let interrupted =
            process.ready.iter().filter(|it| role_changes || !stays(it)).map(|(model, _)| *model);
        (interrupted.collect(), reloaded.collect())
    }

    /// Checks that an order of the present holder leaves each of its models another ready engine.
    fn check_models_served(&self, endpoint: Endpoint, wanted: &Wanted) {
        if !self.engines[&endpoint].role.serves_requests() {
            return;
        }
        for model in self.interrupted_models(endpoint, wanted).0 {
            let served = |(other, process): (&Endpoint, &Process)| {
                let last = process.last_ready.get(&model).copied().unwrap_or(0);
                *other != endpoint && last + MAX_STALENESS_MICROS >= self.now
            };
            let is_wanted = self.wanted.iter().any(|engine| engine.models.contains_key(&model));
            assert!(
                !is_wanted || self.engines.iter().any(served),
                "order to {endpoint} removes {model}, which no other engine serves: {wanted:?}"
            );
        }
    }

    /// Checks that an engine has no requests in flight when an order of the present holder makes a model or adapter
    /// unavailable. Models that became ready after the holder's last report are not counted.
    fn check_drained(
        &self,
        (index, incarnation): (usize, u64),
        endpoint: Endpoint,
        wanted: &Wanted,
    ) {
        let router = &self.routers[index];
        let interrupted = self.interrupted_models(endpoint, wanted).0;
        let known = interrupted.iter().any(|model| self.is_known(endpoint, *model));
        let empty = router.draining.get(&endpoint).is_some_and(|at| *at <= self.now);
        assert!(
            router.incarnation != incarnation || empty || !known,
            "order to {endpoint} removes {interrupted:?} without a drain: {wanted:?}"
        );
    }

    /// Whether a holder must know that an engine has a model, because the model has been ready for longer than a report
    /// may be old. A late order of an earlier holder may have loaded it after the last report.
    fn is_known(&self, endpoint: Endpoint, model: Model) -> bool {
        self.engines[&endpoint].ready_since[&model] + MAX_STALENESS_MICROS < self.now
    }

    /// Checks that a holder does not change the version of a model on two engines at once.
    fn check_one_at_a_time(&mut self, endpoint: Endpoint, fencing: u64, wanted: &Wanted) {
        let mut reloaded = self.interrupted_models(endpoint, wanted).1;
        reloaded.retain(|model| self.is_known(endpoint, *model));
        for model in reloaded {
            let reloads = |(other, process): (&Endpoint, &Process)| {
                *other != endpoint && process.reloading.get(&model) == Some(&fencing)
            };
            let other = self.engines.iter().find(|it| reloads(*it)).map(|(other, _)| *other);
            assert!(other.is_none(), "{endpoint} and {other:?} reload {model} at the same time");
            self.engines.get_mut(&endpoint).unwrap().reloading.insert(model, fencing);
            self.counts.reloads += 1;
        }
    }

    /// Checks the spacing of a holder's loads, allowing for a clock that is up to 5% fast and for the network delay. An
    /// engine that has restarted since its last report loads that whole state again when it is ordered, which the
    /// holder cannot foresee.
    fn check_spacing(&mut self, endpoint: Endpoint, fencing: u64) {
        let started = self.engines[&endpoint].started;
        if started > 0 && started + MAX_STALENESS_MICROS >= self.now {
            return;
        }
        let (last, by) = self.last_load;
        let spacing = 10_000 * MICROS_PER_MILLI * 95 / 100 - 3_000 * MICROS_PER_MILLI;
        assert!(
            by != fencing || self.now >= last + spacing,
            "loads ordered at {last} and {}, process of {endpoint} started at {started}",
            self.now
        );
        self.last_load = (self.now, fencing);
    }
}

/// Whether a version is the wanted one. An empty wanted version means any.
fn matches(wanted: &str, version: &str) -> bool {
    wanted.is_empty() || wanted == version
}
