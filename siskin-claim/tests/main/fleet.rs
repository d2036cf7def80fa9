//! Randomised simulation of several routers that share a store and endpoints, in virtual time.

mod calls;

use {
    crate::{
        rules::{BODY, Harness, key, record, token},
        store::Store,
    },
    calls::{Caller, Calls, KEYLESS, Step, Transition, World},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_claim::{
        key::bucket,
        remote::{Action, Options, Service},
        writer::{self, Call, Response},
    },
    siskin_outcome::poison,
    siskin_types::{
        id::{Endpoint, Node, Request},
        time::Instant,
    },
    siskin_wire::claim::{Decision, Ended, Message, Token},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

const ROUTERS: u32 = 4;
const BUCKETS: u8 = 4;
const KEYS: u16 = 120;
const MS: u64 = 1_000;
const CALL_TIMEOUT: u64 = 3_000 * MS;
const END: u64 = 60_000 * MS;

#[derive(Clone, Copy, Default)]
#[allow(clippy::struct_excessive_bools, reason = "independent switches of a test")]
struct Faults {
    store_outage: bool,
    lost_responses: bool,
    delays: bool,
    router_restarts: bool,
    router_pauses: bool,
    lost_messages: bool,
    /// Routers disagree about which router has the writer of a bucket.
    differing_views: bool,
    /// Endpoints crash before, during and after the first byte.
    endpoint_crashes: bool,
    refusals: bool,
    crossed_responses: bool,
    late_responses: bool,
    silent_endpoints: bool,
    /// Callers disconnect, and send the call again.
    disconnects: bool,
    /// One request crashes each endpoint that runs it.
    poison: bool,
}

enum Event {
    Apply { action: writer::Action, from: (usize, u64), answered: bool },
    Response { call: Call, response: Response },
    Deliver { from: Node, message: Message },
    Tick,
    Call(u16),
    Step { token: Token, step: Step },
    Endpoint(Transition),
    Poison { from: Node, message: poison::Message },
    PoisonTick,
    RestartRouter,
    PauseRouter,
}

struct Router {
    service: Service,
    incarnation: u64,
    paused_until: u64,
    tick_at: u64,
    next_request: u64,
    /// Callers that wait, by attempt.
    callers: HashMap<Token, Caller>,
    calls: Calls,
}

/// A router and its incarnation, or zero for the current one; `None` for the store or an endpoint.
type Receiver = Option<(usize, u64)>;

struct Simulation {
    now: u64,
    queue: BTreeMap<(u64, u64), (Receiver, Event)>,
    sequence: u64,
    random: SmallRng,
    faults: Faults,
    store: Store,
    routers: Vec<Router>,
    world: World,
    excluded: HashMap<Token, Vec<Endpoint>>,
    reported: HashSet<Token>,
    final_results: HashMap<u16, &'static str>,
    seed: u64,
}

fn node(index: usize) -> Node {
    Node(u32::try_from(index).expect("few routers"))
}

fn service(node: u32, incarnation: u64) -> Service {
    let writer = writer::Options {
        node: Node(node),
        incarnation,
        buckets: BUCKETS,
        head_bytes: 400,
        segment_bytes: 900,
        cache_bytes: 1_000,
        max_call_duration: Duration::from_secs(10),
        settle_timeout: Duration::from_secs(20),
        seed: incarnation,
        ..writer::Options::default()
    };
    Service::new(Options { writer, ..Options::default() })
}

impl Simulation {
    fn new(seed: u64, faults: Faults) -> Self {
        let router = |index| Router {
            service: service(node(index).0, 1),
            incarnation: 1,
            paused_until: 0,
            tick_at: u64::MAX,
            next_request: 0,
            callers: HashMap::new(),
            calls: Calls::new(index),
        };
        let mut simulation = Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            faults,
            store: Store::default(),
            routers: (0..ROUTERS as usize).map(router).collect(),
            world: World::new(),
            excluded: HashMap::new(),
            reported: HashSet::new(),
            final_results: HashMap::new(),
            seed,
        };
        for index in 0..ROUTERS as usize {
            simulation.start_detector(index);
        }
        for key in 0..KEYLESS.end {
            let at = simulation.random.random_range(0..20_000 * MS);
            simulation.schedule_call(key, at);
        }
        for _ in 0..6 {
            let (at, router) =
                (simulation.random.random_range(0..25_000 * MS), simulation.random_router());
            if faults.router_restarts {
                simulation.schedule(at, Some((router, 0)), Event::RestartRouter);
            }
            if faults.router_pauses {
                simulation.schedule(at + 500 * MS, Some((router, 0)), Event::PauseRouter);
            }
        }
        simulation.schedule_endpoint_faults();
        simulation
    }

    fn random_router(&mut self) -> usize {
        self.random.random_range(0..ROUTERS as usize)
    }

    fn schedule(&mut self, at: u64, to: Receiver, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, event));
    }

    fn schedule_call(&mut self, key: u16, at: u64) {
        let router = self.random_router();
        self.schedule(at, Some((router, 0)), Event::Call(key));
    }

    fn writer_of(&mut self, number: u16) -> Node {
        let shift = if self.faults.differing_views { self.random.random_range(0..2) } else { 0 };
        Node((u32::from(bucket(&key(number), BUCKETS)) + shift) % ROUTERS)
    }

    fn run(&mut self) {
        while let Some(((at, _), (to, event))) = self.queue.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            let Some((index, incarnation)) = to else {
                self.apply_event(event);
                continue;
            };
            let router = &self.routers[index];
            if incarnation != 0 && incarnation != router.incarnation {
                continue;
            }
            if at < router.paused_until && !matches!(event, Event::RestartRouter) {
                self.schedule(router.paused_until, to, event);
                continue;
            }
            self.handle_event(index, event);
        }
        self.check_results();
    }

    /// Handles events at the store and the endpoints.
    fn apply_event(&mut self, event: Event) {
        if let Event::Endpoint(event) = event {
            return self.apply_transition(event);
        }
        let Event::Apply { action, from, answered } = event else { return };
        let (call, response) = self.store.apply(&action);
        if answered {
            let at = self.now + self.random.random_range(1..3) * MS;
            self.schedule(at, Some(from), Event::Response { call, response });
        }
    }

    fn call_store(&mut self, index: usize, action: writer::Action) {
        let (writer::Action::Read { call, .. }
        | writer::Action::Swap { call, .. }
        | writer::Action::Remove { call, .. }) = action
        else {
            panic!("{action:?} is not a store call");
        };
        let from = (index, self.routers[index].incarnation);
        let outage = self.faults.store_outage && (5_000 * MS..12_000 * MS).contains(&self.now);
        let lost = outage || (self.faults.lost_responses && self.random.random_bool(0.1));
        let slow = self.faults.delays && self.random.random_bool(0.1);
        let latency = if slow { self.random.random_range(100..900) } else { 1 } * MS;
        if !lost {
            self.schedule(self.now + latency, None, Event::Apply { action, from, answered: true });
            return;
        }
        self.schedule(
            self.now + 1_000 * MS,
            Some(from),
            Event::Response { call, response: Response::Failed },
        );
        // Some lost calls take effect, a few of them long after the caller's time-out.
        if self.random.random_bool(0.5) {
            let late = if self.random.random_bool(0.2) { 2_500 * MS } else { latency };
            self.schedule(self.now + late, None, Event::Apply { action, from, answered: false });
        }
    }

    fn handle_event(&mut self, index: usize, event: Event) {
        let now = Instant::from_micros(self.now);
        let actions = match event {
            Event::Response { call, response } => {
                self.routers[index].service.handle_response(now, call, response)
            }
            Event::Deliver { from, message } => {
                self.routers[index].service.receive(now, from, &message)
            }
            Event::Tick => {
                self.routers[index].tick_at = u64::MAX;
                self.routers[index].service.tick(now)
            }
            Event::Call(number) => self.receive_call(index, number),
            Event::Step { token, step } => {
                self.handle_step(index, token, step);
                Vec::new()
            }
            Event::Poison { from, message } => {
                self.handle_poison_message(index, from, &message);
                Vec::new()
            }
            Event::PoisonTick => {
                self.tick_detector(index);
                Vec::new()
            }
            Event::RestartRouter => self.restart_router(index),
            Event::PauseRouter => {
                self.routers[index].paused_until = self.now + 5_000 * MS;
                Vec::new()
            }
            Event::Apply { .. } | Event::Endpoint(_) => {
                unreachable!("handled by the store or an endpoint")
            }
        };
        self.perform_actions(index, actions);
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let Some(next) = router.service.next_tick() else { return };
        let next = next.as_micros().max(self.now + 1);
        if next < router.tick_at {
            router.tick_at = next;
            let to = (index, router.incarnation);
            self.schedule(next, Some(to), Event::Tick);
        }
    }

    fn receive_call(&mut self, index: usize, number: u16) -> Vec<Action> {
        if !self.is_ready(index) {
            // The load balancer tries another router.
            self.schedule_call(number, self.now + 20 * MS);
            return Vec::new();
        }
        let router = &mut self.routers[index];
        router.next_request += 1;
        let (incarnation, sequence) = (router.incarnation, router.next_request);
        let token = Token(Request { node: node(index), incarnation, sequence });
        let deadline = self.now + CALL_TIMEOUT;
        router.callers.insert(token, Caller::new(number, deadline));
        self.claim_or_accept(index, number, token, deadline)
    }

    fn perform_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store(action) => self.call_store(index, action),
                Action::Send { to, message } => {
                    if self.faults.lost_messages && self.random.random_bool(0.2) {
                        continue;
                    }
                    let late = self.faults.delays && self.random.random_bool(0.05);
                    let delay = if late { 1_500 } else { 1 } * MS;
                    let event = Event::Deliver { from: node(index), message };
                    self.schedule(self.now + delay, Some((to.0 as usize, 0)), event);
                }
                Action::Decide { token, decision, .. } => self.on_decision(index, token, &decision),
                Action::Settled { .. } => {}
            }
        }
    }

    fn on_decision(&mut self, index: usize, token: Token, decision: &Decision) {
        let runs = self.world.run_count(self.routers[index].callers[&token].number);
        match decision {
            Decision::Granted => self.schedule_accept(index, token),
            Decision::Recorded(record) if record.ended == Ended::Unknown => {
                self.report_result(index, token, "unknown");
            }
            Decision::Recorded(_) => {
                assert_eq!(runs, 1, "seed {}: recorded without a run", self.seed);
                self.report_result(index, token, "completed");
            }
            Decision::InProgress => self.report_result(index, token, "in progress"),
            Decision::Unknown => self.report_result(index, token, "unknown"),
            Decision::Unavailable => self.report_result(index, token, "not run"),
            Decision::BodyDiffers => {
                panic!("seed {}: body reported as different, but it is the same", self.seed)
            }
        }
    }

    /// Reports the final result to the caller, which sends the call again if that is safe.
    fn report_result(&mut self, index: usize, token: Token, outcome: &'static str) {
        assert!(self.reported.insert(token), "seed {}: second final result", self.seed);
        let caller = self.routers[index].callers.remove(&token).expect("the caller waits");
        let number = caller.number;
        self.world.record_result(token, outcome, &format!("seed {}", self.seed));
        if matches!(outcome, "not run" | "in progress" | "sent again") {
            self.schedule_call(number, self.now + 300 * MS);
        } else {
            self.final_results.insert(number, outcome);
        }
    }

    /// Replaces a router by a new incarnation; its callers send their calls again to other routers.
    fn restart_router(&mut self, index: usize) -> Vec<Action> {
        let router = &mut self.routers[index];
        router.incarnation += 1;
        router.service = service(node(index).0, router.incarnation);
        router.tick_at = u64::MAX;
        router.paused_until = 0;
        router.calls = Calls::new(index);
        let mut numbers: Vec<u16> =
            router.callers.drain().map(|(_, caller)| caller.number).collect();
        numbers.sort_unstable();
        for number in numbers {
            self.schedule_call(number, self.now + 50 * MS);
        }
        self.start_detector(index);
        Vec::new()
    }
}

impl Simulation {
    /// Lets a new writer take over every bucket, and checks that all unreferenced segments are removed.
    fn check_unused_segments(&mut self) {
        let options = writer::Options { node: Node(9), buckets: BUCKETS, ..Default::default() };
        let mut harness = Harness::new(options);
        harness.store = std::mem::take(&mut self.store);
        harness.now = Instant::from_micros(END);
        let actions = harness.writer.owned(harness.now, &[0, 1, 2, 3]);
        harness.run_actions(actions);
        for bucket in 0..u16::from(BUCKETS) {
            harness.claim(key(256 * bucket + 200), BODY, token(u64::from(bucket)));
        }
        for _ in 0..1_000 {
            harness.now = harness.now + Duration::from_millis(50);
            let actions = harness.writer.tick(harness.now);
            harness.run_actions(actions);
        }
        let unused = harness.store.unused_segments();
        assert!(unused.is_empty(), "seed {}: {unused:?}", self.seed);
    }
}

fn seeds() -> Vec<u64> {
    match std::env::var("SISKIN_SEED") {
        Ok(seed) => vec![seed.parse().expect("SISKIN_SEED is a number")],
        Err(_) => (1..=40).collect(),
    }
}

/// Guards against a second run of a claimed call, a false "not run" and a second final result, under pairs of
/// faults.
#[test]
fn pairs_of_faults() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let none = Faults::default();
    #[rustfmt::skip]
    let cases = [
        Case { name: "lost responses, router restarts", faults: Faults { lost_responses: true, router_restarts: true, ..none } },
        Case { name: "store outage, router restarts", faults: Faults { store_outage: true, router_restarts: true, ..none } },
        Case { name: "router pauses, lost responses", faults: Faults { router_pauses: true, lost_responses: true, ..none } },
        Case { name: "router pauses, router restarts", faults: Faults { router_pauses: true, router_restarts: true, ..none } },
        Case { name: "lost messages, differing views", faults: Faults { lost_messages: true, differing_views: true, ..none } },
        Case { name: "delays, differing views", faults: Faults { delays: true, differing_views: true, ..none } },
        Case { name: "delays, router restarts", faults: Faults { delays: true, router_restarts: true, ..none } },
        Case { name: "endpoint crashes, router restarts", faults: Faults { endpoint_crashes: true, router_restarts: true, ..none } },
        Case { name: "endpoint crashes, lost responses", faults: Faults { endpoint_crashes: true, lost_responses: true, ..none } },
        Case { name: "endpoint crashes, store outage", faults: Faults { endpoint_crashes: true, store_outage: true, ..none } },
        Case { name: "endpoint crashes, delays", faults: Faults { endpoint_crashes: true, delays: true, ..none } },
        Case { name: "endpoint crashes, crossed responses", faults: Faults { endpoint_crashes: true, crossed_responses: true, ..none } },
        Case { name: "endpoint crashes, silent endpoints", faults: Faults { endpoint_crashes: true, silent_endpoints: true, ..none } },
        Case { name: "refusals, endpoint crashes", faults: Faults { refusals: true, endpoint_crashes: true, ..none } },
        Case { name: "refusals, router restarts", faults: Faults { refusals: true, router_restarts: true, ..none } },
        Case { name: "refusals, disconnects", faults: Faults { refusals: true, disconnects: true, ..none } },
        Case { name: "crossed responses, disconnects", faults: Faults { crossed_responses: true, disconnects: true, ..none } },
        Case { name: "crossed responses, router restarts", faults: Faults { crossed_responses: true, router_restarts: true, ..none } },
        Case { name: "late responses, router restarts", faults: Faults { late_responses: true, router_restarts: true, ..none } },
        Case { name: "silent endpoints, disconnects", faults: Faults { silent_endpoints: true, disconnects: true, ..none } },
        Case { name: "silent endpoints, store outage", faults: Faults { silent_endpoints: true, store_outage: true, ..none } },
        Case { name: "crashing request, store outage", faults: Faults { poison: true, store_outage: true, ..none } },
        Case { name: "crashing request, lost messages", faults: Faults { poison: true, lost_messages: true, ..none } },
        Case { name: "crashing request, endpoint crashes", faults: Faults { poison: true, endpoint_crashes: true, ..none } },
        Case { name: "crashing request, router restarts", faults: Faults { poison: true, router_restarts: true, ..none } },
        Case { name: "crashing request, router pauses", faults: Faults { poison: true, router_pauses: true, ..none } },
        Case { name: "all", faults: Faults { store_outage: true, lost_responses: true, delays: true, router_restarts: true, router_pauses: true, lost_messages: true, differing_views: true, endpoint_crashes: true, refusals: true, crossed_responses: true, late_responses: true, silent_endpoints: true, disconnects: true, poison: true } },
    ];
    for case in cases {
        for seed in seeds() {
            println!("{}, seed {seed}", case.name);
            Simulation::new(seed, case.faults).run();
        }
    }
}

/// Guards against claims that are never decided: without faults, every call completes.
#[test]
fn completes_without_faults() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed, Faults::default());
        simulation.run();
        let completed =
            simulation.final_results.values().filter(|outcome| **outcome == "completed").count();
        assert_eq!(completed, usize::from(KEYLESS.end), "seed {seed}");
    }
}

/// Guards against a claim that is lost permanently: after all faults have ended, each call has a final result.
#[test]
fn every_call_ends_after_faults() {
    for seed in seeds() {
        println!("seed {seed}");
        let faults = Faults {
            store_outage: true,
            lost_responses: true,
            router_restarts: true,
            ..Faults::default()
        };
        let mut simulation = Simulation::new(seed, faults);
        simulation.run();
        assert_eq!(simulation.final_results.len(), usize::from(KEYLESS.end), "seed {seed}");
    }
}

/// Guards against segments that stay in the store for ever because their writer crashed.
#[test]
fn removes_unused_segments_after_restarts() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut simulation =
            Simulation::new(seed, Faults { router_restarts: true, ..Faults::default() });
        simulation.run();
        simulation.check_unused_segments();
    }
}
