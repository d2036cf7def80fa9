//! Simulates each call from its claim through an endpoint to its response. The simulated endpoints count how often
//! each call really runs.

use {
    super::{BODY, Event, MS, ROUTERS, Simulation, key, node, record},
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
pub(super) const KEYLESS: std::ops::Range<u16> = super::KEYS..super::KEYS + 60;

/// A call without a key that crashes each endpoint that runs it.
pub(super) const POISON: u16 = KEYLESS.end;

/// Largest number of endpoints that one crashing request may take down; see section 6 of the design.
const CRASHES_MAX: u32 = 3;

/// Step of a call at its router.
#[derive(Clone, Copy)]
pub(super) enum Step {
    Accept,
    Assigned(Attempt),
    Connect(Attempt, usize),
    Response { attempt: Attempt, of: Token },
    Refused(Attempt),
    ConnectionLost(Attempt, Crash),
    Silent(Attempt, usize),
    Disconnected,
    Timer,
}

/// Event at an endpoint.
#[derive(Clone, Copy)]
pub(super) enum Transition {
    Arrive { endpoint: usize, token: Token, attempt: Attempt, number: u16 },
    Finish { endpoint: usize, instance: u64, token: Token, attempt: Attempt },
    Crash { endpoint: usize, instance: u64 },
    Restart(usize),
}

/// A caller that waits at a router.
pub(super) struct Caller {
    pub(super) number: u16,
    pub(super) deadline: u64,
    life: Option<Lifecycle>,
    alone: bool,
    disconnected: bool,
    /// Attempt whose response was delivered to the caller.
    response_of: Option<Token>,
}

impl Caller {
    pub(super) fn new(number: u16, deadline: u64) -> Self {
        Self { number, deadline, life: None, alone: false, disconnected: false, response_of: None }
    }
}

/// A router's state of its requests at endpoints.
pub(super) struct Calls {
    detector: Detector,
    budget: Budget,
    in_flight: BTreeMap<usize, BTreeMap<Token, InFlight>>,
    /// Calls that wait until other routers have confirmed a crash.
    awaiting_confirmation: Vec<(Crash, Token, Attempt)>,
    tick_at: u64,
}

impl Calls {
    pub(super) fn new(index: usize) -> Self {
        let budget = retry::Options { percent: 50, burst: 1_000 };
        Self {
            detector: Detector::new(poison::Options::new(Pool(1), node(index))),
            budget: Budget::new(budget),
            in_flight: BTreeMap::new(),
            awaiting_confirmation: Vec::new(),
            tick_at: u64::MAX,
        }
    }
}

/// State of an endpoint.
struct State {
    up: bool,
    instance: u64,
    running: Vec<(Token, Attempt)>,
}

/// The endpoints and a complete record of their runs.
pub(super) struct World {
    endpoints: Vec<State>,
    runs: HashMap<u16, u32>,
    started: HashSet<Token>,
    reported_not_run: HashSet<Token>,
    pub(super) poison_crashes: u32,
    pub(super) completed: u32,
}

impl World {
    pub(super) fn new() -> Self {
        let endpoint = || State { up: true, instance: 1, running: Vec::new() };
        Self {
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            runs: HashMap::new(),
            started: HashSet::new(),
            reported_not_run: HashSet::new(),
            poison_crashes: 0,
            completed: 0,
        }
    }

    pub(super) fn run_count(&self, number: u16) -> u32 {
        self.runs.get(&number).copied().unwrap_or(0)
    }

    fn crash_of(&self, endpoint: usize) -> Crash {
        let number = u32::try_from(endpoint).expect("few endpoints");
        Crash { endpoint: Endpoint(number), instance: self.endpoints[endpoint].instance }
    }

    /// Records the result that a caller receives, and checks that it did not run if it is "not run".
    pub(super) fn record_result(&mut self, token: Token, outcome: &str, context: &str) {
        if outcome == "not run" {
            assert!(!self.started.contains(&token), "{context}: told not run, but ran");
            self.reported_not_run.insert(token);
        }
    }
}

fn fingerprint(number: u16) -> Fingerprint {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_be_bytes());
    Fingerprint(bytes)
}

impl Simulation {
    pub(super) fn schedule_endpoint_faults(&mut self) {
        if self.faults.endpoint_crashes {
            for _ in 0..15 {
                let at = self.random.random_range(0..25_000 * MS);
                let endpoint = self.random.random_range(0..ENDPOINTS);
                // Instance 0 stands for the one that runs at that time.
                self.schedule(
                    at,
                    None,
                    Event::Endpoint(Transition::Crash { endpoint, instance: 0 }),
                );
            }
        }
        if self.faults.poison {
            self.schedule_call(POISON, 3_000 * MS);
        }
    }

    pub(super) fn start_detector(&mut self, index: usize) {
        let now = Instant::from_micros(self.now);
        let members: Vec<Node> = (0..ROUTERS).map(Node).collect();
        let detector = &mut self.routers[index].calls.detector;
        let mut actions = detector.members(now, &members);
        actions.extend(detector.owner_changed(now, Some(Node(0))));
        self.perform_detector_actions(index, actions);
    }

    /// Whether the router has received the other routers' suspects; it is not ready before.
    pub(super) fn is_ready(&self, index: usize) -> bool {
        self.routers[index].calls.detector.synced()
    }

    pub(super) fn handle_poison_message(
        &mut self,
        index: usize,
        from: Node,
        message: &poison::Message,
    ) {
        let now = Instant::from_micros(self.now);
        let actions = self.routers[index].calls.detector.receive(now, from, message);
        self.perform_detector_actions(index, actions);
    }

    pub(super) fn tick_detector(&mut self, index: usize) {
        let now = Instant::from_micros(self.now);
        let calls = &mut self.routers[index].calls;
        calls.tick_at = u64::MAX;
        let actions = calls.detector.tick(now);
        self.perform_detector_actions(index, actions);
    }

    fn perform_detector_actions(&mut self, index: usize, actions: Vec<poison::Action>) {
        for action in actions {
            match action {
                poison::Action::Send { to, message } => {
                    if self.faults.lost_messages && self.random.random_bool(0.2) {
                        continue;
                    }
                    let event = Event::Poison { from: node(index), message };
                    self.schedule(self.now + MS, Some((to.0 as usize, 0)), event);
                }
                poison::Action::Confirmed(crash) => self.handle_confirmed_crash(index, crash),
            }
        }
        let router = &mut self.routers[index];
        let Some(next) = router.calls.detector.next_tick() else { return };
        let next = next.as_micros().max(self.now + 1);
        if next < router.calls.tick_at {
            router.calls.tick_at = next;
            let to = (index, router.incarnation);
            self.schedule(next, Some(to), Event::PoisonTick);
        }
    }

    fn handle_confirmed_crash(&mut self, index: usize, crash: Crash) {
        let now = Instant::from_micros(self.now);
        let all = std::mem::take(&mut self.routers[index].calls.awaiting_confirmation);
        let (confirmed, remaining) = all.into_iter().partition(|(awaited, _, _)| *awaited == crash);
        self.routers[index].calls.awaiting_confirmation = remaining;
        let confirmed: Vec<(Crash, Token, Attempt)> = confirmed;
        for (_, token, attempt) in confirmed {
            self.update_life(index, token, |life, budget| life.broken(now, attempt, budget));
        }
    }

    fn update_life(
        &mut self,
        index: usize,
        token: Token,
        event: impl FnOnce(&mut Lifecycle, &mut Budget) -> Vec<Action>,
    ) {
        let router = &mut self.routers[index];
        let Some(caller) = router.callers.get_mut(&token) else { return };
        let Some(life) = &mut caller.life else { return };
        let actions = event(life, &mut router.calls.budget);
        self.perform_life_actions(index, token, actions);
    }

    fn schedule_step(&mut self, at: u64, index: usize, token: Token, step: Step) {
        let to = (index, self.routers[index].incarnation);
        self.schedule(at, Some(to), Event::Step { token, step });
    }

    fn schedule_step_soon(&mut self, index: usize, token: Token, step: Step) {
        let at = self.now + self.random.random_range(MS / 2..5 * MS);
        self.schedule_step(at, index, token, step);
    }

    /// Schedules a step at the router that made the attempt, if that incarnation still runs.
    fn schedule_step_at_sender(&mut self, at: u64, token: Token, step: Step) {
        let to = (token.0.node.0 as usize, token.0.incarnation);
        self.schedule(at, Some(to), Event::Step { token, step });
    }

    fn maybe_restart_router(&mut self, index: usize, number: u16) {
        if self.faults.router_restarts && number != POISON && self.random.random_bool(0.03) {
            let at = self.now + self.random.random_range(0..20) * MS;
            self.schedule(at, Some((index, 0)), Event::RestartRouter);
        }
    }

    /// Schedules the acceptance of a call whose claim was granted or that needs none.
    pub(super) fn schedule_accept(&mut self, index: usize, token: Token) {
        let at = self.now + self.random.random_range(0..50) * MS;
        self.schedule_step(at, index, token, Step::Accept);
        let number = self.routers[index].callers[&token].number;
        self.maybe_restart_router(index, number);
        if self.faults.disconnects && self.random.random_bool(0.2) {
            let at = self.now + self.random.random_range(0..500) * MS;
            self.schedule_step(at, index, token, Step::Disconnected);
        }
    }

    pub(super) fn handle_step(&mut self, index: usize, token: Token, step: Step) {
        let now = Instant::from_micros(self.now);
        match step {
            Step::Accept => self.accept_call(index, token),
            Step::Assigned(attempt) => self.assign_endpoint(index, token, attempt),
            Step::Connect(attempt, endpoint) => self.send_request(index, token, attempt, endpoint),
            Step::Response { attempt, of } => self.handle_response(index, token, attempt, of),
            Step::Refused(attempt) => self.update_life(index, token, |life, budget| {
                life.endpoint_refused(now, attempt, Some(token.0), budget)
            }),
            Step::ConnectionLost(attempt, crash) => self.report_crash(index, token, attempt, crash),
            Step::Silent(attempt, endpoint) => {
                let up = self.world.endpoints[endpoint].up;
                let probe = if up { Probe::Answered } else { Probe::Failed };
                self.update_life(index, token, |life, budget| {
                    life.silent(now, attempt, probe, budget)
                });
            }
            Step::Disconnected => {
                if let Some(caller) = self.routers[index].callers.get_mut(&token) {
                    caller.disconnected = true;
                }
                self.update_life(index, token, |life, _| life.cancelled(now));
            }
            Step::Timer => self.update_life(index, token, |life, _| life.tick(now)),
        }
    }

    fn accept_call(&mut self, index: usize, token: Token) {
        let now = Instant::from_micros(self.now);
        let caller = self.routers[index].callers.get_mut(&token).expect("the caller waits");
        let options = Options {
            idempotent: caller.number >= KEYLESS.start,
            ..Options::new(token.0, Instant::from_micros(caller.deadline))
        };
        caller.life = Some(Lifecycle::new(options));
        let (disconnected, deadline) = (caller.disconnected, caller.deadline);
        self.schedule_step(deadline, index, token, Step::Timer);
        self.update_life(index, token, |life, _| {
            let mut actions = life.accepted(now);
            if disconnected {
                actions.extend(life.cancelled(now));
            }
            actions
        });
    }

    fn perform_life_actions(&mut self, index: usize, token: Token, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { attempt, exclude } => {
                    self.excluded.insert(token, exclude);
                    self.admit_call(index, token, attempt);
                }
                Action::Retry { after, .. } => {
                    self.release_slot(index, token);
                    let at = self.now + u64::try_from(after.as_micros()).expect("short");
                    self.schedule_step(at, index, token, Step::Timer);
                }
                Action::Cancel { .. } => self.release_slot(index, token),
                Action::Finish(outcome) => {
                    self.release_slot(index, token);
                    self.finish_call(index, token, outcome);
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

    fn admit_call(&mut self, index: usize, token: Token, attempt: Attempt) {
        let now = Instant::from_micros(self.now);
        let router = &mut self.routers[index];
        let Some(caller) = router.callers.get_mut(&token) else { return };
        let verdict = router.calls.detector.admit(now, fingerprint(caller.number));
        caller.alone = verdict == Verdict::RunAlone;
        if matches!(verdict, Verdict::Refuse { .. }) {
            return self
                .update_life(index, token, |life, _| life.refused(now, Reason::SuspectRefused));
        }
        self.schedule_step_soon(index, token, Step::Assigned(attempt));
    }

    /// Stands for the scheduler: picks any endpoint that is not excluded and, for a suspect request, has no other
    /// suspect.
    fn assign_endpoint(&mut self, index: usize, token: Token, attempt: Attempt) {
        let now = Instant::from_micros(self.now);
        let Some(caller) = self.routers[index].callers.get(&token) else { return };
        let (alone, number) = (caller.alone, caller.number);
        let exclude = &self.excluded[&token];
        let suspects = |endpoint: usize| {
            self.routers.iter().any(|router| {
                let requests = router.calls.in_flight.get(&endpoint);
                requests.is_some_and(|requests| requests.values().any(|request| request.alone))
            })
        };
        let fits = |endpoint: &usize| {
            let id = Endpoint(u32::try_from(*endpoint).expect("few endpoints"));
            let shared = alone && suspects(*endpoint);
            !exclude.contains(&id) && !shared
        };
        let free: Vec<usize> = (0..ENDPOINTS).filter(fits).collect();
        if free.is_empty() || self.random.random_bool(0.1) {
            return self.update_life(index, token, |life, _| life.refused(now, Reason::NoEndpoint));
        }
        let endpoint = free[self.random.random_range(0..free.len())];
        let id = Endpoint(u32::try_from(endpoint).expect("few endpoints"));
        let in_flight = InFlight { fingerprint: fingerprint(number), alone };
        let calls = &mut self.routers[index].calls;
        calls.in_flight.entry(endpoint).or_default().insert(token, in_flight);
        self.schedule_step_soon(index, token, Step::Connect(attempt, endpoint));
        self.update_life(index, token, |life, _| life.dispatched(now, attempt, id));
    }

    fn send_request(&mut self, index: usize, token: Token, attempt: Attempt, endpoint: usize) {
        let now = Instant::from_micros(self.now);
        if !self.world.endpoints[endpoint].up {
            return self.update_life(index, token, |life, budget| {
                life.connect_failed(now, attempt, budget)
            });
        }
        let Some(caller) = self.routers[index].callers.get_mut(&token) else { return };
        let number = caller.number;
        let Some(life) = &mut caller.life else { return };
        if life.bytes_sent(now, attempt).is_err() {
            return self.update_life(index, token, |life, _| life.tick(now));
        }
        let at = self.now + self.random.random_range(MS / 2..2 * MS);
        self.schedule(
            at,
            None,
            Event::Endpoint(Transition::Arrive { endpoint, token, attempt, number }),
        );
        self.maybe_restart_router(index, number);
    }

    /// Applies an event at an endpoint, even if the router that sent the request has been restarted.
    pub(super) fn apply_transition(&mut self, event: Transition) {
        match event {
            Transition::Arrive { endpoint, token, attempt, number } => {
                self.handle_arrival(endpoint, token, attempt, number);
            }
            Transition::Finish { endpoint, instance, token, attempt } => {
                let state = &mut self.world.endpoints[endpoint];
                if state.up && state.instance == instance {
                    state.running.retain(|run| *run != (token, attempt));
                    self.send_response(endpoint, token, attempt);
                }
            }
            Transition::Crash { endpoint, instance } => {
                let state = &self.world.endpoints[endpoint];
                let current = instance == 0 || instance == state.instance;
                if state.up && current {
                    self.world.poison_crashes += u32::from(instance != 0);
                    self.crash_endpoint(endpoint);
                }
            }
            Transition::Restart(endpoint) => {
                let state = &mut self.world.endpoints[endpoint];
                state.up = true;
                state.instance += 1;
            }
        }
    }

    fn handle_arrival(&mut self, endpoint: usize, token: Token, attempt: Attempt, number: u16) {
        let seed = self.seed;
        if !self.world.endpoints[endpoint].up {
            let crash = self.world.crash_of(endpoint);
            return self.schedule_step_at_sender(
                self.now + MS,
                token,
                Step::ConnectionLost(attempt, crash),
            );
        }
        if self.faults.refusals && self.random.random_bool(0.3) {
            return self.schedule_step_at_sender(self.now + MS, token, Step::Refused(attempt));
        }
        let reported = self.world.reported_not_run.contains(&token);
        assert!(!reported, "seed {seed}: runs after its caller was told that it did not run");
        self.world.started.insert(token);
        let runs = self.world.runs.entry(number).or_default();
        *runs += 1;
        assert!(number >= KEYLESS.start || *runs == 1, "seed {seed}: key {number} runs twice");
        let state = &mut self.world.endpoints[endpoint];
        state.running.push((token, attempt));
        let instance = state.instance;
        let length = if number == POISON { 50 } else { 2_000 };
        let at = self.now + self.random.random_range(1..length) * MS;
        let end = if number == POISON {
            Transition::Crash { endpoint, instance }
        } else {
            Transition::Finish { endpoint, instance, token, attempt }
        };
        self.schedule(at, None, Event::Endpoint(end));
    }

    fn send_response(&mut self, endpoint: usize, token: Token, attempt: Attempt) {
        if self.faults.silent_endpoints && self.random.random_bool(0.1) {
            let at = self.now + 200 * MS;
            return self.schedule_step_at_sender(at, token, Step::Silent(attempt, endpoint));
        }
        let mut at = self.now + MS;
        if self.faults.crossed_responses && self.random.random_bool(0.2) {
            let others = &self.world.endpoints[endpoint].running;
            let other = others.first().map_or(token, |(other, _)| *other);
            self.schedule_step_at_sender(at, token, Step::Response { attempt, of: other });
            // The caller's own response comes later, on a connection that the router has already abandoned.
            at += 10 * MS;
        }
        if self.faults.late_responses && self.random.random_bool(0.1) {
            at += super::CALL_TIMEOUT;
        }
        self.schedule_step_at_sender(at, token, Step::Response { attempt, of: token });
    }

    fn crash_endpoint(&mut self, endpoint: usize) {
        let crash = self.world.crash_of(endpoint);
        let state = &mut self.world.endpoints[endpoint];
        state.up = false;
        let runs = std::mem::take(&mut state.running);
        let pause = self.random.random_range(100..500) * MS;
        self.schedule(self.now + pause, None, Event::Endpoint(Transition::Restart(endpoint)));
        for (token, attempt) in runs {
            let at = self.now + self.random.random_range(0..3 * MS);
            self.schedule_step_at_sender(at, token, Step::ConnectionLost(attempt, crash));
        }
    }

    fn report_crash(&mut self, index: usize, token: Token, attempt: Attempt, crash: Crash) {
        let now = Instant::from_micros(self.now);
        let calls = &mut self.routers[index].calls;
        let requests = calls.in_flight.get(&(crash.endpoint.0 as usize));
        let in_flight: Vec<InFlight> =
            requests.into_iter().flat_map(|requests| requests.values().copied()).collect();
        calls.awaiting_confirmation.push((crash, token, attempt));
        let actions = calls.detector.crashed(now, crash.endpoint, crash.instance, &in_flight);
        self.perform_detector_actions(index, actions);
    }

    fn handle_response(&mut self, index: usize, token: Token, attempt: Attempt, of: Token) {
        let now = Instant::from_micros(self.now);
        let super::Router { callers, calls, .. } = &mut self.routers[index];
        let Some(caller) = callers.get_mut(&token) else { return };
        let Some(life) = &mut caller.life else { return };
        let budget = &mut calls.budget;
        let mut actions = life.started(now, attempt, Some(of.0), budget);
        if actions.is_empty() {
            actions = life.chunk(now, attempt, 0, 1, Units(1), budget);
            if actions.iter().any(|action| matches!(action, Action::Deliver { .. })) {
                caller.response_of = Some(of);
            }
            let done = Outcome::Completed;
            actions.extend(life.completed(now, attempt, 1, done, Units(1), budget));
        }
        self.perform_life_actions(index, token, actions);
    }

    fn finish_call(&mut self, index: usize, token: Token, outcome: Outcome) {
        let caller = &self.routers[index].callers[&token];
        let (number, disconnected) = (caller.number, caller.disconnected);
        let completed = outcome == Outcome::Completed;
        let want = completed.then_some(token);
        assert_eq!(caller.response_of, want, "seed {}: wrong or missing response", self.seed);
        if completed {
            assert!(
                self.world.run_count(number) >= 1,
                "seed {}: completed without a run",
                self.seed
            );
            self.world.completed += 1;
            let now = Instant::from_micros(self.now);
            let detector = &mut self.routers[index].calls.detector;
            let actions = detector.completed(now, fingerprint(number));
            self.perform_detector_actions(index, actions);
        }
        self.report_result(
            index,
            token,
            match outcome {
                Outcome::Completed | Outcome::Failed => "completed",
                Outcome::NotRun(Reason::SuspectRefused) if number == POISON => "refused",
                Outcome::NotRun(_) => "not run",
                Outcome::Unknown(_) if disconnected || number >= KEYLESS.start => "sent again",
                Outcome::Unknown(_) => "unknown",
            },
        );
        if number < KEYLESS.start {
            let actions = self.settle_claim(index, number, token, outcome);
            self.perform_actions(index, actions);
            self.schedule_tick(index);
        }
    }

    fn settle_claim(
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
        if number >= KEYLESS.start {
            self.schedule_accept(index, token);
            return Vec::new();
        }
        let to = Some(self.writer_of(number));
        let now = Instant::from_micros(self.now);
        let until = now + Duration::from_micros(deadline - self.now);
        self.routers[index].service.claim(now, to, key(number), BODY, token, until)
    }

    pub(super) fn check_results(&self) {
        let crashes = self.world.poison_crashes;
        assert!(crashes <= CRASHES_MAX, "seed {}: request crashed {crashes} endpoints", self.seed);
        assert!(crashes > 0 || !self.faults.poison, "seed {}: the request never ran", self.seed);
        let completed = self.world.completed;
        assert!(completed >= u32::from(POISON) / 3, "seed {}: {completed} completed", self.seed);
    }
}
