//! Randomised lives of requests against endpoints with a true history of runs, in virtual time.

use {
    crate::seeds,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_outcome::{
        life::{Action, Attempt, Life, Options, Probe},
        outcome::{Outcome, Reason},
        retry::{self, Budget},
    },
    siskin_types::{
        cost::Units,
        id::{Endpoint, Node, Request},
        time::Instant,
    },
    std::collections::BTreeMap,
};

const ENDPOINTS: u32 = 5;
const REQUESTS: usize = 400;
const CHUNKS: u64 = 6;
const MS: u64 = 1_000;

#[derive(Clone, Copy)]
enum Event {
    Accept,
    Dispatched,
    /// Connecting, to resume at an offset or to start.
    Connect(u32, Option<u64>),
    Arrive(u32, Option<u64>),
    Start(bool),
    Chunk(u32, u64),
    End,
    Refused,
    Broken,
    Silent(u32),
    Cancel,
    Tick,
}

struct Caller {
    life: Life,
    id: Request,
    /// True number of runs, at whichever endpoint.
    runs: u32,
    /// The run that an endpoint keeps for resumption, with the endpoint's instance.
    kept: Option<(u32, u32, u32)>,
    idempotent: bool,
    exclude: Vec<Endpoint>,
    got: Vec<(u32, u64)>,
    pending: (u32, u64),
    finished: Option<Outcome>,
    charged: u32,
}

struct Sim {
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), (usize, Attempt, Event)>,
    random: SmallRng,
    callers: Vec<Caller>,
    /// Times at which each endpoint is down; an instance ends with each.
    down: Vec<Vec<(u64, u64)>>,
    budget: Budget,
    fault: f64,
    seed: u64,
}

impl Sim {
    fn new(seed: u64, fault: f64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let outages = |random: &mut SmallRng| {
            let mut times: Vec<u64> = (0..4).map(|_| random.random_range(0..4_000 * MS)).collect();
            times.sort_unstable();
            times.into_iter().map(|at| (at, at + 100 * MS)).collect()
        };
        let down = (0..ENDPOINTS)
            .map(|_| if fault > 0.0 { outages(&mut random) } else { Vec::new() })
            .collect();
        let budget = Budget::new(retry::Options { percent: 50, burst: 1_000 });
        let mut sim = Self {
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            random,
            callers: Vec::new(),
            down,
            budget,
            fault,
            seed,
        };
        for index in 0..REQUESTS {
            sim.add(index);
        }
        sim
    }

    fn add(&mut self, index: usize) {
        let at = self.random.random_range(0..4_000 * MS);
        let id = Request { node: Node(1), incarnation: 1, sequence: index as u64 };
        let idempotent = self.random.random_bool(0.6);
        let resumable = idempotent && self.random.random_bool(0.6);
        let deadline = at + self.random.random_range(20..1_500) * MS;
        let options =
            Options { idempotent, resumable, ..Options::new(id, Instant::from_micros(deadline)) };
        let caller = Caller {
            life: Life::new(options),
            id,
            runs: 0,
            kept: None,
            idempotent,
            exclude: Vec::new(),
            got: Vec::new(),
            pending: (0, 0),
            finished: None,
            charged: 0,
        };
        self.callers.push(caller);
        self.push(at, index, Attempt(0), Event::Accept);
        if self.random.random_bool(0.1 * self.fault) {
            let gone = at + self.random.random_range(0..100) * MS;
            self.push(gone, index, Attempt(0), Event::Cancel);
        }
    }

    fn push(&mut self, at: u64, index: usize, attempt: Attempt, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (index, attempt, event));
    }

    fn soon(&mut self, index: usize, attempt: Attempt, event: Event) {
        let delay = self.random.random_range(500..2_000);
        self.push(self.now + delay, index, attempt, event);
    }

    /// Number of the endpoint's running instance; `None` while it is down.
    fn instance(&self, endpoint: u32, at: u64) -> Option<u32> {
        let outages = &self.down[endpoint as usize];
        let down = outages.iter().any(|(from, to)| (*from..*to).contains(&at));
        let ended = outages.iter().filter(|(from, _)| *from <= at).count();
        (!down).then(|| u32::try_from(ended).expect("few outages"))
    }

    fn run(&mut self) {
        while let Some(((at, _), (index, attempt, event))) = self.queue.pop_first() {
            self.now = at;
            let actions = self.handle(index, attempt, event);
            self.act(index, actions);
            let caller = &self.callers[index];
            if let Some(next) = caller.life.next_tick() {
                let at = next.as_micros().max(self.now + 1);
                if !matches!(event, Event::Tick) || at > self.now + 1 {
                    self.push(at, index, attempt, Event::Tick);
                }
            }
        }
        self.check();
    }

    fn handle(&mut self, index: usize, attempt: Attempt, event: Event) -> Vec<Action> {
        let now = Instant::from_micros(self.now);
        let instance = |sim: &Self, endpoint| sim.instance(endpoint, sim.now);
        match event {
            Event::Accept => self.callers[index].life.accepted(now),
            Event::Tick => self.callers[index].life.tick(now),
            Event::Cancel => self.callers[index].life.cancelled(now),
            Event::Dispatched => self.dispatch(index, attempt),
            Event::Connect(endpoint, offset) => {
                if instance(self, endpoint).is_none() || self.fault(0.03) {
                    return self.callers[index].life.connect_failed(now, attempt, &mut self.budget);
                }
                if self.callers[index].life.bytes_sent(now, attempt).is_ok() {
                    self.soon(index, attempt, Event::Arrive(endpoint, offset));
                }
                Vec::new()
            }
            Event::Arrive(endpoint, offset) => {
                self.arrive(index, attempt, endpoint, offset);
                Vec::new()
            }
            Event::Start(crossed) => {
                let id = self.callers[index].id;
                let echoed = Request { sequence: id.sequence + u64::from(crossed), ..id };
                self.callers[index].life.started(now, attempt, Some(echoed), &mut self.budget)
            }
            Event::Chunk(run, at) => {
                let caller = &mut self.callers[index];
                caller.pending = (run, at);
                caller.life.chunk(now, attempt, at, 1, Units(at + 1), &mut self.budget)
            }
            Event::End => {
                let done = Outcome::Completed;
                let life = &mut self.callers[index].life;
                life.completed(now, attempt, CHUNKS, done, Units(CHUNKS), &mut self.budget)
            }
            Event::Refused => {
                let caller = &mut self.callers[index];
                caller.life.endpoint_refused(now, attempt, Some(caller.id), &mut self.budget)
            }
            Event::Broken => self.callers[index].life.broken(now, attempt, &mut self.budget),
            Event::Silent(endpoint) => {
                let alive = instance(self, endpoint).is_some();
                let probe = if alive { Probe::Answered } else { Probe::Failed };
                self.callers[index].life.silent(now, attempt, probe, &mut self.budget)
            }
        }
    }

    fn fault(&mut self, share: f64) -> bool {
        self.random.random_bool(share * self.fault)
    }

    fn dispatch(&mut self, index: usize, attempt: Attempt) -> Vec<Action> {
        let now = Instant::from_micros(self.now);
        let exclude = &self.callers[index].exclude;
        let free: Vec<u32> = (0..ENDPOINTS).filter(|e| !exclude.contains(&Endpoint(*e))).collect();
        if free.is_empty() {
            return self.callers[index].life.refused(now, Reason::NoEndpoint);
        }
        let endpoint = free[self.random.random_range(0..free.len())];
        let actions = self.callers[index].life.dispatched(now, attempt, Endpoint(endpoint));
        if actions.is_empty() {
            self.soon(index, attempt, Event::Connect(endpoint, None));
        }
        actions
    }

    /// The endpoint gets a request, or an order to resume one.
    fn arrive(&mut self, index: usize, attempt: Attempt, endpoint: u32, offset: Option<u64>) {
        let Some(instance) = self.instance(endpoint, self.now) else {
            return self.soon(index, attempt, Event::Broken);
        };
        let kept = self.callers[index].kept;
        let run = match (offset, kept) {
            (None, _) if self.fault(0.1) => return self.soon(index, attempt, Event::Refused),
            (None, _) => {
                self.callers[index].runs += 1;
                let run = self.callers[index].runs;
                self.callers[index].kept = Some((run, endpoint, instance));
                run
            }
            (Some(_), Some((run, at, of))) if (at, of) == (endpoint, instance) => run,
            (Some(_), _) => return self.soon(index, attempt, Event::Refused),
        };
        let mut at = self.now + MS;
        let crossed = self.fault(0.05);
        self.push(at, index, attempt, Event::Start(crossed));
        let ends_at = self.random.random_range(0..CHUNKS * 4);
        for position in offset.unwrap_or(0)..CHUNKS {
            at += self.random.random_range(1..20) * MS;
            if self.instance(endpoint, at) != Some(instance) {
                return self.push(at, index, attempt, Event::Broken);
            }
            if position == ends_at && self.fault(0.5) {
                return self.push(at, index, attempt, Event::Broken);
            }
            if position == ends_at && self.fault(0.7) {
                return self.push(at + 200 * MS, index, attempt, Event::Silent(endpoint));
            }
            self.push(at, index, attempt, Event::Chunk(run, position));
        }
        self.push(at + MS, index, attempt, Event::End);
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { attempt, exclude } => {
                    self.callers[index].exclude = exclude;
                    self.soon(index, attempt, Event::Dispatched);
                }
                Action::Resume { attempt, endpoint, offset } => {
                    let event = Event::Connect(endpoint.0, Some(offset));
                    self.soon(index, attempt, event);
                }
                Action::Deliver { skip } => {
                    assert_eq!(skip, 0, "seed {}", self.seed);
                    let caller = &mut self.callers[index];
                    assert!(
                        caller.finished.is_none(),
                        "seed {}: bytes after the result",
                        self.seed
                    );
                    caller.got.push(caller.pending);
                }
                Action::Finish(outcome) => {
                    let caller = &mut self.callers[index];
                    assert_eq!(caller.finished.replace(outcome), None, "seed {}", self.seed);
                }
                Action::Charge(_) => self.callers[index].charged += 1,
                // Events of abandoned attempts still arrive, which the life has to ignore.
                Action::Cancel { .. } | Action::Retry { .. } => {}
            }
        }
    }

    fn check(&self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let context = format!("seed {}, request {index}", self.seed);
            let outcome = caller.finished.unwrap_or_else(|| panic!("{context}: no result"));
            assert_eq!(caller.charged, 1, "{context}");
            if !caller.idempotent {
                assert!(caller.runs <= 1, "{context}: ran {} times", caller.runs);
            }
            if matches!(outcome, Outcome::NotRun(_)) {
                assert_eq!(caller.runs, 0, "{context}: told {outcome}");
            }
            let run = caller.got.first().map(|(run, _)| *run);
            let one_run = caller
                .got
                .iter()
                .enumerate()
                .all(|(at, got)| Some(got.0) == run && got.1 == at as u64);
            assert!(one_run, "{context}: mixed or missing parts {:?}", caller.got);
            if outcome == Outcome::Completed {
                assert_eq!(caller.got.len() as u64, CHUNKS, "{context}: truncated");
            }
        }
    }

    fn completed(&self) -> usize {
        let callers = self.callers.iter();
        callers.filter(|caller| caller.finished == Some(Outcome::Completed)).count()
    }
}

/// Guards against a false "not run", a second run, a second result, and streams that are mixed or cut, with
/// endpoints that die before, during and after the first byte, silent paths, crossed and late answers, and
/// callers that go away.
#[test]
fn runs_are_reported_truthfully() {
    for seed in seeds(60) {
        for fault in [0.3, 1.0] {
            println!("seed {seed}, faults {fault}");
            Sim::new(seed, fault).run();
        }
    }
}

/// Guards against requests that end early: without faults only the deadline ends one.
#[test]
fn completes_without_faults() {
    for seed in seeds(5) {
        println!("seed {seed}");
        let mut sim = Sim::new(seed, 0.0);
        sim.run();
        assert!(sim.completed() >= REQUESTS * 9 / 10, "seed {seed}: {} completed", sim.completed());
    }
}
