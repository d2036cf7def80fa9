//! Randomised runs of several routers that share a store and endpoints, in virtual time.

mod calls;

use {
    crate::{
        rules::{BODY, Bench, key, record, token},
        store::Store,
    },
    calls::{Calls, Far, Open, PLAIN, Step, World},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_claim::{
        key::bucket,
        remote::{Action, Options, Service},
        writer::{self, Answer, Call},
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
const DEADLINE: u64 = 3_000 * MS;
const END: u64 = 60_000 * MS;

#[derive(Clone, Copy, Default)]
#[allow(clippy::struct_excessive_bools, reason = "independent switches of a test")]
struct Faults {
    outage: bool,
    lost_answers: bool,
    slow: bool,
    kills: bool,
    pauses: bool,
    lost_messages: bool,
    /// Routers disagree about the writers of buckets.
    views: bool,
    /// Endpoints die before, during and after the first byte.
    deaths: bool,
    refusals: bool,
    crossed: bool,
    late: bool,
    silent: bool,
    /// Callers go away, and send again.
    gone: bool,
    /// One request crashes each endpoint that runs it.
    poison: bool,
}

enum Event {
    Apply { action: writer::Action, from: (usize, u64), answered: bool },
    Answer { call: Call, answer: Answer },
    Deliver { from: Node, message: Message },
    Tick,
    Send(u16),
    Step { token: Token, step: Step },
    Far(Far),
    Poison { from: Node, message: poison::Message },
    PoisonTick,
    Kill,
    Pause,
}

struct Router {
    service: Service,
    incarnation: u64,
    paused_until: u64,
    tick_at: u64,
    next_request: u64,
    /// Attempts whose callers wait.
    open: HashMap<Token, Open>,
    calls: Calls,
}

/// A router and its incarnation, zero for whichever runs; `None` for the store.
type Receiver = Option<(usize, u64)>;

struct Sim {
    now: u64,
    queue: BTreeMap<(u64, u64), (Receiver, Event)>,
    sequence: u64,
    random: SmallRng,
    faults: Faults,
    store: Store,
    routers: Vec<Router>,
    world: World,
    exclude: HashMap<Token, Vec<Endpoint>>,
    told: HashSet<Token>,
    done: HashMap<u16, &'static str>,
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

impl Sim {
    fn new(seed: u64, faults: Faults) -> Self {
        let router = |index| Router {
            service: service(node(index).0, 1),
            incarnation: 1,
            paused_until: 0,
            tick_at: u64::MAX,
            next_request: 0,
            open: HashMap::new(),
            calls: Calls::new(index),
        };
        let mut sim = Self {
            now: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: SmallRng::seed_from_u64(seed),
            faults,
            store: Store::default(),
            routers: (0..ROUTERS as usize).map(router).collect(),
            world: World::new(),
            exclude: HashMap::new(),
            told: HashSet::new(),
            done: HashMap::new(),
            seed,
        };
        for index in 0..ROUTERS as usize {
            sim.start_calls(index);
        }
        for key in 0..PLAIN.end {
            let at = sim.random.random_range(0..20_000 * MS);
            sim.send(key, at);
        }
        for _ in 0..6 {
            let (at, router) = (sim.random.random_range(0..25_000 * MS), sim.any_router());
            if faults.kills {
                sim.push(at, Some((router, 0)), Event::Kill);
            }
            if faults.pauses {
                sim.push(at + 500 * MS, Some((router, 0)), Event::Pause);
            }
        }
        sim.add_endpoint_faults();
        sim
    }

    fn any_router(&mut self) -> usize {
        self.random.random_range(0..ROUTERS as usize)
    }

    fn push(&mut self, at: u64, to: Receiver, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (to, event));
    }

    fn send(&mut self, key: u16, at: u64) {
        let router = self.any_router();
        self.push(at, Some((router, 0)), Event::Send(key));
    }

    fn writer_of(&mut self, number: u16) -> Node {
        let shift = if self.faults.views { self.random.random_range(0..2) } else { 0 };
        Node((u32::from(bucket(&key(number), BUCKETS)) + shift) % ROUTERS)
    }

    fn run(&mut self) {
        while let Some(((at, _), (to, event))) = self.queue.pop_first() {
            if at > END {
                break;
            }
            self.now = at;
            let Some((index, incarnation)) = to else {
                self.apply(event);
                continue;
            };
            let router = &self.routers[index];
            if incarnation != 0 && incarnation != router.incarnation {
                continue;
            }
            if at < router.paused_until && !matches!(event, Event::Kill) {
                self.push(router.paused_until, to, event);
                continue;
            }
            self.handle(index, event);
        }
        self.check_calls();
    }

    /// The side of the store and the endpoints.
    fn apply(&mut self, event: Event) {
        if let Event::Far(event) = event {
            return self.far(event);
        }
        let Event::Apply { action, from, answered } = event else { return };
        let (call, answer) = self.store.apply(&action);
        if answered {
            let at = self.now + self.random.random_range(1..3) * MS;
            self.push(at, Some(from), Event::Answer { call, answer });
        }
    }

    fn call_store(&mut self, index: usize, action: writer::Action) {
        let (writer::Action::Read { call, .. }
        | writer::Action::Swap { call, .. }
        | writer::Action::Remove { call, .. }) = action
        else {
            panic!("{action:?} is no store call");
        };
        let from = (index, self.routers[index].incarnation);
        let outage = self.faults.outage && (5_000 * MS..12_000 * MS).contains(&self.now);
        let lost = outage || (self.faults.lost_answers && self.random.random_bool(0.1));
        let slow = self.faults.slow && self.random.random_bool(0.1);
        let latency = if slow { self.random.random_range(100..900) } else { 1 } * MS;
        if !lost {
            self.push(self.now + latency, None, Event::Apply { action, from, answered: true });
            return;
        }
        self.push(
            self.now + 1_000 * MS,
            Some(from),
            Event::Answer { call, answer: Answer::Failed },
        );
        // Some lost calls take effect, a few of them long after the caller gave up.
        if self.random.random_bool(0.5) {
            let late = if self.random.random_bool(0.2) { 2_500 * MS } else { latency };
            self.push(self.now + late, None, Event::Apply { action, from, answered: false });
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let now = Instant::from_micros(self.now);
        let actions = match event {
            Event::Answer { call, answer } => self.routers[index].service.stored(now, call, answer),
            Event::Deliver { from, message } => {
                self.routers[index].service.receive(now, from, &message)
            }
            Event::Tick => {
                self.routers[index].tick_at = u64::MAX;
                self.routers[index].service.tick(now)
            }
            Event::Send(number) => self.claim(index, number),
            Event::Step { token, step } => {
                self.take_step(index, token, step);
                Vec::new()
            }
            Event::Poison { from, message } => {
                self.poison_received(index, from, &message);
                Vec::new()
            }
            Event::PoisonTick => {
                self.poison_tick(index);
                Vec::new()
            }
            Event::Kill => self.kill(index),
            Event::Pause => {
                self.routers[index].paused_until = self.now + 5_000 * MS;
                Vec::new()
            }
            Event::Apply { .. } | Event::Far(_) => unreachable!("goes to the store or an endpoint"),
        };
        self.act(index, actions);
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        let router = &mut self.routers[index];
        let Some(next) = router.service.next_tick() else { return };
        let next = next.as_micros().max(self.now + 1);
        if next < router.tick_at {
            router.tick_at = next;
            let to = (index, router.incarnation);
            self.push(next, Some(to), Event::Tick);
        }
    }

    fn claim(&mut self, index: usize, number: u16) -> Vec<Action> {
        if !self.is_ready(index) {
            // The load balancer tries another router.
            self.send(number, self.now + 20 * MS);
            return Vec::new();
        }
        let router = &mut self.routers[index];
        router.next_request += 1;
        let (incarnation, sequence) = (router.incarnation, router.next_request);
        let token = Token(Request { node: node(index), incarnation, sequence });
        let deadline = self.now + DEADLINE;
        router.open.insert(token, Open::new(number, deadline));
        self.claim_or_accept(index, number, token, deadline)
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Store(action) => self.call_store(index, action),
                Action::Send { to, message } => {
                    if self.faults.lost_messages && self.random.random_bool(0.2) {
                        continue;
                    }
                    let late = self.faults.slow && self.random.random_bool(0.05);
                    let delay = if late { 1_500 } else { 1 } * MS;
                    let event = Event::Deliver { from: node(index), message };
                    self.push(self.now + delay, Some((to.0 as usize, 0)), event);
                }
                Action::Decide { token, decision, .. } => self.decided(index, token, &decision),
                Action::Settled { .. } => {}
            }
        }
    }

    fn decided(&mut self, index: usize, token: Token, decision: &Decision) {
        let runs = self.world.runs(self.routers[index].open[&token].number);
        match decision {
            Decision::Granted => self.accept_later(index, token),
            Decision::Recorded(record) if record.ended == Ended::Unknown => {
                self.tell(index, token, "unknown");
            }
            Decision::Recorded(_) => {
                assert_eq!(runs, 1, "seed {}: recorded without a run", self.seed);
                self.tell(index, token, "completed");
            }
            Decision::InProgress => self.tell(index, token, "in progress"),
            Decision::Unknown => self.tell(index, token, "unknown"),
            Decision::Unavailable => self.tell(index, token, "not run"),
            Decision::BodyDiffers => panic!("seed {}: the body is the same", self.seed),
        }
    }

    /// The caller gets its final result, and sends the call again if that is safe.
    fn tell(&mut self, index: usize, token: Token, outcome: &'static str) {
        assert!(self.told.insert(token), "seed {}: second final result", self.seed);
        let open = self.routers[index].open.remove(&token).expect("the caller waits");
        let number = open.number;
        self.world.told(token, outcome, &format!("seed {}", self.seed));
        if matches!(outcome, "not run" | "in progress" | "sent again") {
            self.send(number, self.now + 300 * MS);
        } else {
            self.done.insert(number, outcome);
        }
    }

    /// A router dies and is replaced; its callers send again elsewhere.
    fn kill(&mut self, index: usize) -> Vec<Action> {
        let router = &mut self.routers[index];
        router.incarnation += 1;
        router.service = service(node(index).0, router.incarnation);
        router.tick_at = u64::MAX;
        router.paused_until = 0;
        router.calls = Calls::new(index);
        let mut open: Vec<u16> = router.open.drain().map(|(_, open)| open.number).collect();
        open.sort_unstable();
        for number in open {
            self.send(number, self.now + 50 * MS);
        }
        self.start_calls(index);
        Vec::new()
    }
}

impl Sim {
    /// A new writer takes over every bucket, and every segment that no head names must be gone.
    fn check_garbage(&mut self) {
        let options = writer::Options { node: Node(9), buckets: BUCKETS, ..Default::default() };
        let mut bench = Bench::new(options);
        bench.store = std::mem::take(&mut self.store);
        bench.now = Instant::from_micros(END);
        let actions = bench.writer.owned(bench.now, &[0, 1, 2, 3]);
        bench.settle(actions);
        for bucket in 0..u16::from(BUCKETS) {
            bench.claim(key(256 * bucket + 200), BODY, token(u64::from(bucket)));
        }
        for _ in 0..1_000 {
            bench.now = bench.now + Duration::from_millis(50);
            let actions = bench.writer.tick(bench.now);
            bench.settle(actions);
        }
        let unused = bench.store.unused_segments();
        assert!(unused.is_empty(), "seed {}: {unused:?}", self.seed);
    }
}

fn seeds() -> Vec<u64> {
    match std::env::var("SISKIN_SEED") {
        Ok(seed) => vec![seed.parse().expect("SISKIN_SEED is a number")],
        Err(_) => (1..=40).collect(),
    }
}

/// Guards against a second run of a claimed call, a false "not run" and a second final result, with each
/// pair of faults.
#[test]
fn pairs_of_faults() {
    struct Case {
        name: &'static str,
        faults: Faults,
    }
    let none = Faults::default();
    #[rustfmt::skip]
    let cases = [
        Case { name: "lost answers, restarts", faults: Faults { lost_answers: true, kills: true, ..none } },
        Case { name: "outage, restarts", faults: Faults { outage: true, kills: true, ..none } },
        Case { name: "pauses, lost answers", faults: Faults { pauses: true, lost_answers: true, ..none } },
        Case { name: "pauses, restarts", faults: Faults { pauses: true, kills: true, ..none } },
        Case { name: "lost messages, differing views", faults: Faults { lost_messages: true, views: true, ..none } },
        Case { name: "slow, differing views", faults: Faults { slow: true, views: true, ..none } },
        Case { name: "slow, restarts", faults: Faults { slow: true, kills: true, ..none } },
        Case { name: "deaths, restarts", faults: Faults { deaths: true, kills: true, ..none } },
        Case { name: "deaths, lost answers", faults: Faults { deaths: true, lost_answers: true, ..none } },
        Case { name: "deaths, outage", faults: Faults { deaths: true, outage: true, ..none } },
        Case { name: "deaths, slow", faults: Faults { deaths: true, slow: true, ..none } },
        Case { name: "deaths, crossed", faults: Faults { deaths: true, crossed: true, ..none } },
        Case { name: "deaths, silent", faults: Faults { deaths: true, silent: true, ..none } },
        Case { name: "refusals, deaths", faults: Faults { refusals: true, deaths: true, ..none } },
        Case { name: "refusals, restarts", faults: Faults { refusals: true, kills: true, ..none } },
        Case { name: "refusals, callers gone", faults: Faults { refusals: true, gone: true, ..none } },
        Case { name: "crossed, callers gone", faults: Faults { crossed: true, gone: true, ..none } },
        Case { name: "crossed, restarts", faults: Faults { crossed: true, kills: true, ..none } },
        Case { name: "late, restarts", faults: Faults { late: true, kills: true, ..none } },
        Case { name: "silent, callers gone", faults: Faults { silent: true, gone: true, ..none } },
        Case { name: "silent, outage", faults: Faults { silent: true, outage: true, ..none } },
        Case { name: "crashing request, outage", faults: Faults { poison: true, outage: true, ..none } },
        Case { name: "crashing request, lost messages", faults: Faults { poison: true, lost_messages: true, ..none } },
        Case { name: "crashing request, deaths", faults: Faults { poison: true, deaths: true, ..none } },
        Case { name: "crashing request, restarts", faults: Faults { poison: true, kills: true, ..none } },
        Case { name: "crashing request, pauses", faults: Faults { poison: true, pauses: true, ..none } },
        Case { name: "all", faults: Faults { outage: true, lost_answers: true, slow: true, kills: true, pauses: true, lost_messages: true, views: true, deaths: true, refusals: true, crossed: true, late: true, silent: true, gone: true, poison: true } },
    ];
    for case in cases {
        for seed in seeds() {
            println!("{}, seed {seed}", case.name);
            Sim::new(seed, case.faults).run();
        }
    }
}

/// Guards against claims that are never decided: without faults every call completes.
#[test]
fn completes_without_faults() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut sim = Sim::new(seed, Faults::default());
        sim.run();
        let completed = sim.done.values().filter(|outcome| **outcome == "completed").count();
        assert_eq!(completed, usize::from(PLAIN.end), "seed {seed}");
    }
}

/// Guards against a claim that is lost for good: after every fault has ended each call has a final result.
#[test]
fn ends_after_faults() {
    for seed in seeds() {
        println!("seed {seed}");
        let faults = Faults { outage: true, lost_answers: true, kills: true, ..Faults::default() };
        let mut sim = Sim::new(seed, faults);
        sim.run();
        assert_eq!(sim.done.len(), usize::from(PLAIN.end), "seed {seed}");
    }
}

/// Guards against segments that stay in the store for ever because their writer died.
#[test]
fn leaves_no_segments_behind() {
    for seed in seeds() {
        println!("seed {seed}");
        let mut sim = Sim::new(seed, Faults { kills: true, ..Faults::default() });
        sim.run();
        sim.check_garbage();
    }
}
