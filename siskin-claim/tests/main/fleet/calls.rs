//! The way of a call from its claim through an endpoint to its answer, against endpoints that know the truth.

use {
    super::{BODY, Event, MS, ROUTERS, Sim, key, node, record},
    rand::Rng,
    siskin_claim::remote,
    siskin_outcome::{
        life::{Action, Attempt, Lifecycle, Options, Probe},
        outcome::{Outcome, Reason},
        poison::{self, Crash, Detector, Fingerprint, InFlight, Verdict},
        retry::{self, Budget},
    },
    siskin_types::{
        cost::Units,
        id::{Endpoint, Node, Pool},
        time::Instant,
    },
    siskin_wire::claim::{Ended, Record, Token},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

const ENDPOINTS: usize = 6;

/// Calls without a key, which may run twice.
pub(super) const PLAIN: std::ops::Range<u16> = super::KEYS..super::KEYS + 60;

/// A call without a key that crashes each endpoint that runs it.
pub(super) const POISON: u16 = PLAIN.end;

/// Endpoints that one crashing request may take down; see section 6 of the design.
const CRASHES_MAX: u32 = 3;

#[derive(Clone, Copy)]
pub(super) enum Step {
    Accept,
    Assigned(Attempt),
    Connect(Attempt, usize),
    Answer { attempt: Attempt, of: Token },
    Refused(Attempt),
    Lost(Attempt, Crash),
    Silent(Attempt, usize),
    Gone,
    Timer,
}

/// What happens at the endpoints.
#[derive(Clone, Copy)]
pub(super) enum Far {
    Arrive { endpoint: usize, token: Token, attempt: Attempt, number: u16 },
    RunEnds { endpoint: usize, instance: u64, token: Token, attempt: Attempt },
    Die { endpoint: usize, instance: u64 },
    Up(usize),
}

/// A caller that waits at a router.
pub(super) struct Open {
    pub(super) number: u16,
    pub(super) deadline: u64,
    life: Option<Lifecycle>,
    alone: bool,
    gone: bool,
    /// Whose answer was delivered.
    got: Option<Token>,
}

impl Open {
    pub(super) fn new(number: u16, deadline: u64) -> Self {
        Self { number, deadline, life: None, alone: false, gone: false, got: None }
    }
}

/// What a router knows of its requests at endpoints.
pub(super) struct Calls {
    detector: Detector,
    budget: Budget,
    in_flight: BTreeMap<usize, BTreeMap<Token, InFlight>>,
    /// Calls that wait until other routers know of a crash.
    awaiting: Vec<(Crash, Token, Attempt)>,
    tick_at: u64,
}

impl Calls {
    pub(super) fn new(index: usize) -> Self {
        let budget = retry::Options { percent: 50, burst: 1_000 };
        Self {
            detector: Detector::new(poison::Options::new(Pool(1), node(index))),
            budget: Budget::new(budget),
            in_flight: BTreeMap::new(),
            awaiting: Vec::new(),
            tick_at: u64::MAX,
        }
    }
}

struct State {
    up: bool,
    instance: u64,
    running: Vec<(Token, Attempt)>,
}

/// The endpoints and the true history of their runs.
pub(super) struct World {
    endpoints: Vec<State>,
    runs: HashMap<u16, u32>,
    ran: HashSet<Token>,
    told_not_run: HashSet<Token>,
    pub(super) poison_crashes: u32,
    pub(super) completed: u32,
}

impl World {
    pub(super) fn new() -> Self {
        let endpoint = || State { up: true, instance: 1, running: Vec::new() };
        Self {
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            runs: HashMap::new(),
            ran: HashSet::new(),
            told_not_run: HashSet::new(),
            poison_crashes: 0,
            completed: 0,
        }
    }

    pub(super) fn runs(&self, number: u16) -> u32 {
        self.runs.get(&number).copied().unwrap_or(0)
    }

    fn crash(&self, endpoint: usize) -> Crash {
        let number = u32::try_from(endpoint).expect("few endpoints");
        Crash { endpoint: Endpoint(number), instance: self.endpoints[endpoint].instance }
    }

    /// Notes what a caller is told.
    pub(super) fn told(&mut self, token: Token, outcome: &str, context: &str) {
        if outcome == "not run" {
            assert!(!self.ran.contains(&token), "{context}: told not run, but ran");
            self.told_not_run.insert(token);
        }
    }
}

fn fingerprint(number: u16) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_be_bytes());
    Fingerprint(bytes)
}

impl Sim {
    pub(super) fn add_endpoint_faults(&mut self) {
        if self.faults.deaths {
            for _ in 0..15 {
                let at = self.random.random_range(0..25_000 * MS);
                let endpoint = self.random.random_range(0..ENDPOINTS);
                // The instance is the one that runs then.
                self.push(at, None, Event::Far(Far::Die { endpoint, instance: 0 }));
            }
        }
        if self.faults.poison {
            self.send(POISON, 3_000 * MS);
        }
    }

    pub(super) fn start_calls(&mut self, index: usize) {
        let now = Instant::from_micros(self.now);
        let members: Vec<Node> = (0..ROUTERS).map(Node).collect();
        let detector = &mut self.routers[index].calls.detector;
        let mut actions = detector.members(now, &members);
        actions.extend(detector.owner_changed(now, Some(Node(0))));
        self.poison_act(index, actions);
    }

    /// Whether the router knows the suspects that the others know, without which it is not ready.
    pub(super) fn is_ready(&self, index: usize) -> bool {
        self.routers[index].calls.detector.synced()
    }

    pub(super) fn poison_received(&mut self, index: usize, from: Node, message: &poison::Message) {
        let now = Instant::from_micros(self.now);
        let actions = self.routers[index].calls.detector.receive(now, from, message);
        self.poison_act(index, actions);
    }

    pub(super) fn poison_tick(&mut self, index: usize) {
        let now = Instant::from_micros(self.now);
        let calls = &mut self.routers[index].calls;
        calls.tick_at = u64::MAX;
        let actions = calls.detector.tick(now);
        self.poison_act(index, actions);
    }

    fn poison_act(&mut self, index: usize, actions: Vec<poison::Action>) {
        for action in actions {
            match action {
                poison::Action::Send { to, message } => {
                    if self.faults.lost_messages && self.random.random_bool(0.2) {
                        continue;
                    }
                    let event = Event::Poison { from: node(index), message };
                    self.push(self.now + MS, Some((to.0 as usize, 0)), event);
                }
                poison::Action::Confirmed(crash) => self.confirmed(index, crash),
            }
        }
        let router = &mut self.routers[index];
        let Some(next) = router.calls.detector.next_tick() else { return };
        let next = next.as_micros().max(self.now + 1);
        if next < router.calls.tick_at {
            router.calls.tick_at = next;
            let to = (index, router.incarnation);
            self.push(next, Some(to), Event::PoisonTick);
        }
    }

    fn confirmed(&mut self, index: usize, crash: Crash) {
        let now = Instant::from_micros(self.now);
        let all = std::mem::take(&mut self.routers[index].calls.awaiting);
        let (due, left) = all.into_iter().partition(|(awaited, _, _)| *awaited == crash);
        self.routers[index].calls.awaiting = left;
        let due: Vec<(Crash, Token, Attempt)> = due;
        for (_, token, attempt) in due {
            self.with_life(index, token, |life, budget| life.broken(now, attempt, budget));
        }
    }

    fn with_life(
        &mut self,
        index: usize,
        token: Token,
        event: impl FnOnce(&mut Lifecycle, &mut Budget) -> Vec<Action>,
    ) {
        let router = &mut self.routers[index];
        let Some(open) = router.open.get_mut(&token) else { return };
        let Some(life) = &mut open.life else { return };
        let actions = event(life, &mut router.calls.budget);
        self.life_act(index, token, actions);
    }

    fn step(&mut self, at: u64, index: usize, token: Token, step: Step) {
        let to = (index, self.routers[index].incarnation);
        self.push(at, Some(to), Event::Step { token, step });
    }

    fn soon(&mut self, index: usize, token: Token, step: Step) {
        let at = self.now + self.random.random_range(MS / 2..5 * MS);
        self.step(at, index, token, step);
    }

    /// An event for the router that made the attempt, if it still lives.
    fn back(&mut self, at: u64, token: Token, step: Step) {
        let to = (token.0.node.0 as usize, token.0.incarnation);
        self.push(at, Some(to), Event::Step { token, step });
    }

    fn may_kill(&mut self, index: usize, number: u16) {
        if self.faults.kills && number != POISON && self.random.random_bool(0.03) {
            let at = self.now + self.random.random_range(0..20) * MS;
            self.push(at, Some((index, 0)), Event::Kill);
        }
    }

    /// The claim was granted, or none is needed.
    pub(super) fn accept_later(&mut self, index: usize, token: Token) {
        let at = self.now + self.random.random_range(0..50) * MS;
        self.step(at, index, token, Step::Accept);
        let number = self.routers[index].open[&token].number;
        self.may_kill(index, number);
        if self.faults.gone && self.random.random_bool(0.2) {
            let at = self.now + self.random.random_range(0..500) * MS;
            self.step(at, index, token, Step::Gone);
        }
    }

    pub(super) fn take_step(&mut self, index: usize, token: Token, step: Step) {
        let now = Instant::from_micros(self.now);
        match step {
            Step::Accept => self.accept(index, token),
            Step::Assigned(attempt) => self.assign(index, token, attempt),
            Step::Connect(attempt, endpoint) => self.connect(index, token, attempt, endpoint),
            Step::Answer { attempt, of } => self.answer(index, token, attempt, of),
            Step::Refused(attempt) => self.with_life(index, token, |life, budget| {
                life.endpoint_refused(now, attempt, Some(token.0), budget)
            }),
            Step::Lost(attempt, crash) => self.lost(index, token, attempt, crash),
            Step::Silent(attempt, endpoint) => {
                let up = self.world.endpoints[endpoint].up;
                let probe = if up { Probe::Answered } else { Probe::Failed };
                self.with_life(index, token, |life, budget| {
                    life.silent(now, attempt, probe, budget)
                });
            }
            Step::Gone => {
                if let Some(open) = self.routers[index].open.get_mut(&token) {
                    open.gone = true;
                }
                self.with_life(index, token, |life, _| life.cancelled(now));
            }
            Step::Timer => self.with_life(index, token, |life, _| life.tick(now)),
        }
    }

    fn accept(&mut self, index: usize, token: Token) {
        let now = Instant::from_micros(self.now);
        let open = self.routers[index].open.get_mut(&token).expect("the caller waits");
        let options = Options {
            idempotent: open.number >= PLAIN.start,
            ..Options::new(token.0, Instant::from_micros(open.deadline))
        };
        open.life = Some(Lifecycle::new(options));
        let (gone, deadline) = (open.gone, open.deadline);
        self.step(deadline, index, token, Step::Timer);
        self.with_life(index, token, |life, _| {
            let mut actions = life.accepted(now);
            if gone {
                actions.extend(life.cancelled(now));
            }
            actions
        });
    }

    fn life_act(&mut self, index: usize, token: Token, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { attempt, exclude } => {
                    self.exclude.insert(token, exclude);
                    self.admit(index, token, attempt);
                }
                Action::Retry { after, .. } => {
                    self.release_slot(index, token);
                    let at = self.now + u64::try_from(after.as_micros()).expect("short");
                    self.step(at, index, token, Step::Timer);
                }
                Action::Cancel { .. } => self.release_slot(index, token),
                Action::Finish(outcome) => {
                    self.release_slot(index, token);
                    self.finish(index, token, outcome);
                }
                Action::Resume { .. } => panic!("nothing is resumable here"),
                Action::Deliver { .. } | Action::Charge(_) => {}
            }
        }
    }

    fn release_slot(&mut self, index: usize, token: Token) {
        for requests in self.routers[index].calls.in_flight.values_mut() {
            requests.remove(&token);
        }
    }

    fn admit(&mut self, index: usize, token: Token, attempt: Attempt) {
        let now = Instant::from_micros(self.now);
        let router = &mut self.routers[index];
        let Some(open) = router.open.get_mut(&token) else { return };
        let verdict = router.calls.detector.admit(now, fingerprint(open.number));
        open.alone = verdict == Verdict::RunAlone;
        if matches!(verdict, Verdict::Refuse { .. }) {
            return self
                .with_life(index, token, |life, _| life.refused(now, Reason::SuspectRefused));
        }
        self.soon(index, token, Step::Assigned(attempt));
    }

    /// The scheduler: any endpoint that is not excluded, and for a suspect one without another suspect.
    fn assign(&mut self, index: usize, token: Token, attempt: Attempt) {
        let now = Instant::from_micros(self.now);
        let Some(open) = self.routers[index].open.get(&token) else { return };
        let (alone, number) = (open.alone, open.number);
        let exclude = &self.exclude[&token];
        let suspects = |endpoint: usize| {
            self.routers.iter().any(|router| {
                let here = router.calls.in_flight.get(&endpoint);
                here.is_some_and(|here| here.values().any(|request| request.alone))
            })
        };
        let fits = |endpoint: &usize| {
            let id = Endpoint(u32::try_from(*endpoint).expect("few endpoints"));
            let company = alone && suspects(*endpoint);
            !exclude.contains(&id) && !company
        };
        let free: Vec<usize> = (0..ENDPOINTS).filter(fits).collect();
        if free.is_empty() || self.random.random_bool(0.1) {
            return self.with_life(index, token, |life, _| life.refused(now, Reason::NoEndpoint));
        }
        let endpoint = free[self.random.random_range(0..free.len())];
        let id = Endpoint(u32::try_from(endpoint).expect("few endpoints"));
        let in_flight = InFlight { fingerprint: fingerprint(number), alone };
        let calls = &mut self.routers[index].calls;
        calls.in_flight.entry(endpoint).or_default().insert(token, in_flight);
        self.soon(index, token, Step::Connect(attempt, endpoint));
        self.with_life(index, token, |life, _| life.dispatched(now, attempt, id));
    }

    fn connect(&mut self, index: usize, token: Token, attempt: Attempt, endpoint: usize) {
        let now = Instant::from_micros(self.now);
        if !self.world.endpoints[endpoint].up {
            return self
                .with_life(index, token, |life, budget| life.connect_failed(now, attempt, budget));
        }
        let Some(open) = self.routers[index].open.get_mut(&token) else { return };
        let number = open.number;
        let Some(life) = &mut open.life else { return };
        if life.bytes_sent(now, attempt).is_err() {
            return self.with_life(index, token, |life, _| life.tick(now));
        }
        let at = self.now + self.random.random_range(MS / 2..2 * MS);
        self.push(at, None, Event::Far(Far::Arrive { endpoint, token, attempt, number }));
        self.may_kill(index, number);
    }

    /// What happens at the endpoints, whoever still follows it.
    pub(super) fn far(&mut self, event: Far) {
        match event {
            Far::Arrive { endpoint, token, attempt, number } => {
                self.arrive(endpoint, token, attempt, number);
            }
            Far::RunEnds { endpoint, instance, token, attempt } => {
                let state = &mut self.world.endpoints[endpoint];
                if state.up && state.instance == instance {
                    state.running.retain(|run| *run != (token, attempt));
                    self.run_ended(endpoint, token, attempt);
                }
            }
            Far::Die { endpoint, instance } => {
                let state = &self.world.endpoints[endpoint];
                let current = instance == 0 || instance == state.instance;
                if state.up && current {
                    self.world.poison_crashes += u32::from(instance != 0);
                    self.die(endpoint);
                }
            }
            Far::Up(endpoint) => {
                let state = &mut self.world.endpoints[endpoint];
                state.up = true;
                state.instance += 1;
            }
        }
    }

    fn arrive(&mut self, endpoint: usize, token: Token, attempt: Attempt, number: u16) {
        let seed = self.seed;
        if !self.world.endpoints[endpoint].up {
            let crash = self.world.crash(endpoint);
            return self.back(self.now + MS, token, Step::Lost(attempt, crash));
        }
        if self.faults.refusals && self.random.random_bool(0.3) {
            return self.back(self.now + MS, token, Step::Refused(attempt));
        }
        let told = self.world.told_not_run.contains(&token);
        assert!(!told, "seed {seed}: runs after its caller was told that it did not run");
        self.world.ran.insert(token);
        let runs = self.world.runs.entry(number).or_default();
        *runs += 1;
        assert!(number >= PLAIN.start || *runs == 1, "seed {seed}: key {number} runs twice");
        let state = &mut self.world.endpoints[endpoint];
        state.running.push((token, attempt));
        let instance = state.instance;
        let length = if number == POISON { 50 } else { 2_000 };
        let at = self.now + self.random.random_range(1..length) * MS;
        let end = if number == POISON {
            Far::Die { endpoint, instance }
        } else {
            Far::RunEnds { endpoint, instance, token, attempt }
        };
        self.push(at, None, Event::Far(end));
    }

    fn run_ended(&mut self, endpoint: usize, token: Token, attempt: Attempt) {
        if self.faults.silent && self.random.random_bool(0.1) {
            let at = self.now + 200 * MS;
            return self.back(at, token, Step::Silent(attempt, endpoint));
        }
        let mut at = self.now + MS;
        if self.faults.crossed && self.random.random_bool(0.2) {
            let others = &self.world.endpoints[endpoint].running;
            let other = others.first().map_or(token, |(other, _)| *other);
            self.back(at, token, Step::Answer { attempt, of: other });
            // The caller's own answer comes later, on a connection that was given up.
            at += 10 * MS;
        }
        if self.faults.late && self.random.random_bool(0.1) {
            at += super::DEADLINE;
        }
        self.back(at, token, Step::Answer { attempt, of: token });
    }

    fn die(&mut self, endpoint: usize) {
        let crash = self.world.crash(endpoint);
        let state = &mut self.world.endpoints[endpoint];
        state.up = false;
        let runs = std::mem::take(&mut state.running);
        let pause = self.random.random_range(100..500) * MS;
        self.push(self.now + pause, None, Event::Far(Far::Up(endpoint)));
        for (token, attempt) in runs {
            let at = self.now + self.random.random_range(0..3 * MS);
            self.back(at, token, Step::Lost(attempt, crash));
        }
    }

    fn lost(&mut self, index: usize, token: Token, attempt: Attempt, crash: Crash) {
        let now = Instant::from_micros(self.now);
        let calls = &mut self.routers[index].calls;
        let here = calls.in_flight.get(&(crash.endpoint.0 as usize));
        let in_flight: Vec<InFlight> =
            here.into_iter().flat_map(|here| here.values().copied()).collect();
        calls.awaiting.push((crash, token, attempt));
        let actions = calls.detector.crashed(now, crash.endpoint, crash.instance, &in_flight);
        self.poison_act(index, actions);
    }

    fn answer(&mut self, index: usize, token: Token, attempt: Attempt, of: Token) {
        let now = Instant::from_micros(self.now);
        let super::Router { open, calls, .. } = &mut self.routers[index];
        let Some(open) = open.get_mut(&token) else { return };
        let Some(life) = &mut open.life else { return };
        let budget = &mut calls.budget;
        let mut actions = life.started(now, attempt, Some(of.0), budget);
        if actions.is_empty() {
            actions = life.chunk(now, attempt, 0, 1, Units(1), budget);
            if actions.iter().any(|action| matches!(action, Action::Deliver { .. })) {
                open.got = Some(of);
            }
            let done = Outcome::Completed;
            actions.extend(life.completed(now, attempt, 1, done, Units(1), budget));
        }
        self.life_act(index, token, actions);
    }

    fn finish(&mut self, index: usize, token: Token, outcome: Outcome) {
        let open = &self.routers[index].open[&token];
        let (number, gone) = (open.number, open.gone);
        let completed = outcome == Outcome::Completed;
        let want = completed.then_some(token);
        assert_eq!(open.got, want, "seed {}: wrong or missing answer", self.seed);
        if completed {
            assert!(self.world.runs(number) >= 1, "seed {}: completed without a run", self.seed);
            self.world.completed += 1;
            let now = Instant::from_micros(self.now);
            let detector = &mut self.routers[index].calls.detector;
            let actions = detector.completed(now, fingerprint(number));
            self.poison_act(index, actions);
        }
        self.tell(
            index,
            token,
            match outcome {
                Outcome::Completed | Outcome::Failed => "completed",
                Outcome::NotRun(Reason::SuspectRefused) if number == POISON => "refused",
                Outcome::NotRun(_) => "not run",
                Outcome::Unknown(_) if gone || number >= PLAIN.start => "sent again",
                Outcome::Unknown(_) => "unknown",
            },
        );
        if number < PLAIN.start {
            let actions = self.settle(index, number, token, outcome);
            self.act(index, actions);
            self.schedule_tick(index);
        }
    }

    fn settle(
        &mut self,
        index: usize,
        number: u16,
        token: Token,
        outcome: Outcome,
    ) -> Vec<remote::Action> {
        let now = Instant::from_micros(self.now);
        let to = Some(self.writer_of(number));
        let service = &mut self.routers[index].service;
        let ended = match outcome {
            Outcome::Completed => Ended::Completed,
            Outcome::Failed => Ended::Failed,
            Outcome::Unknown(_) => Ended::Unknown,
            Outcome::NotRun(_) => return service.release(now, to, key(number), token),
        };
        service.record(now, to, key(number), token, Record { ended, ..record(None) })
    }

    pub(super) fn claim_or_accept(
        &mut self,
        index: usize,
        number: u16,
        token: Token,
        deadline: u64,
    ) -> Vec<remote::Action> {
        if number >= PLAIN.start {
            self.accept_later(index, token);
            return Vec::new();
        }
        let to = Some(self.writer_of(number));
        let now = Instant::from_micros(self.now);
        let until = now + Duration::from_micros(deadline - self.now);
        self.routers[index].service.claim(now, to, key(number), BODY, token, until)
    }

    pub(super) fn check_calls(&self) {
        let crashes = self.world.poison_crashes;
        assert!(crashes <= CRASHES_MAX, "seed {}: {crashes} endpoints taken down", self.seed);
        assert!(crashes > 0 || !self.faults.poison, "seed {}: the request never ran", self.seed);
        let completed = self.world.completed;
        assert!(completed >= u32::from(POISON) / 3, "seed {}: {completed} completed", self.seed);
    }
}
