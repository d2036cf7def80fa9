//! Randomised simulation of request lifecycles in virtual time. The simulated endpoints record what really ran.

use {
    crate::seeds,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_outcome::{
        life::{Action, Attempt, Lifecycle, Options, Probe},
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
    /// Connects to an endpoint, with the offset if the request is resumed.
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
    life: Lifecycle,
    id: Request,
    /// How often the request really ran, at any endpoint.
    runs: u32,
    /// The run that can be resumed, with its endpoint and the endpoint's instance.
    resumable_run: Option<(u32, u32, u32)>,
    idempotent: bool,
    exclude: Vec<Endpoint>,
    delivered: Vec<(u32, u64)>,
    arriving_chunk: (u32, u64),
    finished: Option<Outcome>,
    charged: u32,
}

struct Simulation {
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), (usize, Attempt, Event)>,
    random: SmallRng,
    callers: Vec<Caller>,
    /// Start and end of the outages of each endpoint. Each outage ends an instance.
    outages: Vec<Vec<(u64, u64)>>,
    budget: Budget,
    fault_scale: f64,
    seed: u64,
}

impl Simulation {
    fn new(seed: u64, fault_scale: f64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let draw_outages = |random: &mut SmallRng| {
            let mut times: Vec<u64> = (0..4).map(|_| random.random_range(0..4_000 * MS)).collect();
            times.sort_unstable();
            times.into_iter().map(|at| (at, at + 100 * MS)).collect()
        };
        let outages = (0..ENDPOINTS)
            .map(|_| if fault_scale > 0.0 { draw_outages(&mut random) } else { Vec::new() })
            .collect();
        let budget = Budget::new(retry::Options { percent: 50, burst: 1_000 });
        let mut simulation = Self {
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            random,
            callers: Vec::new(),
            outages,
            budget,
            fault_scale,
            seed,
        };
        for index in 0..REQUESTS {
            simulation.add_request(index);
        }
        simulation
    }

    fn add_request(&mut self, index: usize) {
        let at = self.random.random_range(0..4_000 * MS);
        let id = Request { node: Node(1), incarnation: 1, sequence: index as u64 };
        let idempotent = self.random.random_bool(0.6);
        let resumable = idempotent && self.random.random_bool(0.6);
        let deadline = at + self.random.random_range(20..1_500) * MS;
        let options =
            Options { idempotent, resumable, ..Options::new(id, Instant::from_micros(deadline)) };
        let caller = Caller {
            life: Lifecycle::new(options),
            id,
            runs: 0,
            resumable_run: None,
            idempotent,
            exclude: Vec::new(),
            delivered: Vec::new(),
            arriving_chunk: (0, 0),
            finished: None,
            charged: 0,
        };
        self.callers.push(caller);
        self.schedule(at, index, Attempt(0), Event::Accept);
        if self.random.random_bool(0.1 * self.fault_scale) {
            let cancelled_at = at + self.random.random_range(0..100) * MS;
            self.schedule(cancelled_at, index, Attempt(0), Event::Cancel);
        }
    }

    fn schedule(&mut self, at: u64, index: usize, attempt: Attempt, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (index, attempt, event));
    }

    fn schedule_soon(&mut self, index: usize, attempt: Attempt, event: Event) {
        let delay = self.random.random_range(500..2_000);
        self.schedule(self.now + delay, index, attempt, event);
    }

    /// Number of the endpoint's instance that runs at this time; `None` during an outage.
    fn running_instance(&self, endpoint: u32, at: u64) -> Option<u32> {
        let outages = &self.outages[endpoint as usize];
        let down = outages.iter().any(|(from, to)| (*from..*to).contains(&at));
        let ended = outages.iter().filter(|(from, _)| *from <= at).count();
        (!down).then(|| u32::try_from(ended).expect("few outages"))
    }

    fn run(&mut self) {
        while let Some(((at, _), (index, attempt, event))) = self.queue.pop_first() {
            self.now = at;
            let actions = self.handle_event(index, attempt, event);
            self.carry_out(index, actions);
            let caller = &self.callers[index];
            if let Some(next) = caller.life.next_tick() {
                let at = next.as_micros().max(self.now + 1);
                if !matches!(event, Event::Tick) || at > self.now + 1 {
                    self.schedule(at, index, attempt, Event::Tick);
                }
            }
        }
        self.check_outcomes();
    }

    fn handle_event(&mut self, index: usize, attempt: Attempt, event: Event) -> Vec<Action> {
        let now = Instant::from_micros(self.now);
        let instance =
            |simulation: &Self, endpoint| simulation.running_instance(endpoint, simulation.now);
        match event {
            Event::Accept => self.callers[index].life.accepted(now),
            Event::Tick => self.callers[index].life.tick(now),
            Event::Cancel => self.callers[index].life.cancelled(now),
            Event::Dispatched => self.choose_endpoint(index, attempt),
            Event::Connect(endpoint, offset) => {
                if instance(self, endpoint).is_none() || self.draw_fault(0.03) {
                    return self.callers[index].life.connect_failed(now, attempt, &mut self.budget);
                }
                if self.callers[index].life.bytes_sent(now, attempt).is_ok() {
                    self.schedule_soon(index, attempt, Event::Arrive(endpoint, offset));
                }
                Vec::new()
            }
            Event::Arrive(endpoint, offset) => {
                self.receive_at_endpoint(index, attempt, endpoint, offset);
                Vec::new()
            }
            Event::Start(other_request) => {
                let id = self.callers[index].id;
                let echoed = Request { sequence: id.sequence + u64::from(other_request), ..id };
                self.callers[index].life.started(now, attempt, Some(echoed), &mut self.budget)
            }
            Event::Chunk(run, at) => {
                let caller = &mut self.callers[index];
                caller.arriving_chunk = (run, at);
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

    fn draw_fault(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability * self.fault_scale)
    }

    fn choose_endpoint(&mut self, index: usize, attempt: Attempt) -> Vec<Action> {
        let now = Instant::from_micros(self.now);
        let exclude = &self.callers[index].exclude;
        let candidates: Vec<u32> =
            (0..ENDPOINTS).filter(|e| !exclude.contains(&Endpoint(*e))).collect();
        if candidates.is_empty() {
            return self.callers[index].life.refused(now, Reason::NoEndpoint);
        }
        let endpoint = candidates[self.random.random_range(0..candidates.len())];
        let actions = self.callers[index].life.dispatched(now, attempt, Endpoint(endpoint));
        if actions.is_empty() {
            self.schedule_soon(index, attempt, Event::Connect(endpoint, None));
        }
        actions
    }

    /// The endpoint receives a request, or a request to resume its answer.
    fn receive_at_endpoint(
        &mut self,
        index: usize,
        attempt: Attempt,
        endpoint: u32,
        offset: Option<u64>,
    ) {
        let Some(instance) = self.running_instance(endpoint, self.now) else {
            return self.schedule_soon(index, attempt, Event::Broken);
        };
        let resumable_run = self.callers[index].resumable_run;
        let run = match (offset, resumable_run) {
            (None, _) if self.draw_fault(0.1) => {
                return self.schedule_soon(index, attempt, Event::Refused);
            }
            (None, _) => {
                self.callers[index].runs += 1;
                let run = self.callers[index].runs;
                self.callers[index].resumable_run = Some((run, endpoint, instance));
                run
            }
            (Some(_), Some((run, at, of))) if (at, of) == (endpoint, instance) => run,
            (Some(_), _) => return self.schedule_soon(index, attempt, Event::Refused),
        };
        let mut at = self.now + MS;
        let other_request = self.draw_fault(0.05);
        self.schedule(at, index, attempt, Event::Start(other_request));
        let ends_at = self.random.random_range(0..CHUNKS * 4);
        for position in offset.unwrap_or(0)..CHUNKS {
            at += self.random.random_range(1..20) * MS;
            if self.running_instance(endpoint, at) != Some(instance) {
                return self.schedule(at, index, attempt, Event::Broken);
            }
            if position == ends_at && self.draw_fault(0.5) {
                return self.schedule(at, index, attempt, Event::Broken);
            }
            if position == ends_at && self.draw_fault(0.7) {
                return self.schedule(at + 200 * MS, index, attempt, Event::Silent(endpoint));
            }
            self.schedule(at, index, attempt, Event::Chunk(run, position));
        }
        self.schedule(at + MS, index, attempt, Event::End);
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch { attempt, exclude } => {
                    self.callers[index].exclude = exclude;
                    self.schedule_soon(index, attempt, Event::Dispatched);
                }
                Action::Resume { attempt, endpoint, offset } => {
                    let event = Event::Connect(endpoint.0, Some(offset));
                    self.schedule_soon(index, attempt, event);
                }
                Action::Deliver { skip } => {
                    assert_eq!(skip, 0, "seed {}", self.seed);
                    let caller = &mut self.callers[index];
                    assert!(
                        caller.finished.is_none(),
                        "seed {}: bytes delivered after the outcome",
                        self.seed
                    );
                    caller.delivered.push(caller.arriving_chunk);
                }
                Action::Finish(outcome) => {
                    let caller = &mut self.callers[index];
                    assert_eq!(caller.finished.replace(outcome), None, "seed {}", self.seed);
                }
                Action::Charge(_) => self.callers[index].charged += 1,
                // Events of cancelled attempts still arrive; `Lifecycle` must ignore them.
                Action::Cancel { .. } | Action::Retry { .. } => {}
            }
        }
    }

    fn check_outcomes(&self) {
        for (index, caller) in self.callers.iter().enumerate() {
            let context = format!("seed {}, request {index}", self.seed);
            let outcome = caller.finished.unwrap_or_else(|| panic!("{context}: no outcome"));
            assert_eq!(caller.charged, 1, "{context}");
            if !caller.idempotent {
                assert!(caller.runs <= 1, "{context}: ran {} times", caller.runs);
            }
            if matches!(outcome, Outcome::NotRun(_)) {
                assert_eq!(caller.runs, 0, "{context}: ran, but the outcome is {outcome}");
            }
            let run = caller.delivered.first().map(|(run, _)| *run);
            let one_run = caller
                .delivered
                .iter()
                .enumerate()
                .all(|(at, delivered)| Some(delivered.0) == run && delivered.1 == at as u64);
            assert!(one_run, "{context}: mixed or missing chunks {:?}", caller.delivered);
            if outcome == Outcome::Completed {
                assert_eq!(caller.delivered.len() as u64, CHUNKS, "{context}: truncated");
            }
        }
    }

    fn count_completed(&self) -> usize {
        let callers = self.callers.iter();
        callers.filter(|caller| caller.finished == Some(Outcome::Completed)).count()
    }
}

/// Guards against a false "not run", a second run, a second outcome, and answers that are truncated or mix two runs.
/// Endpoints crash before, during and after the first byte, connections stop making progress, answers are late or belong
/// to another request, and callers disconnect.
#[test]
fn runs_are_reported_truthfully() {
    for seed in seeds(60) {
        for fault_scale in [0.3, 1.0] {
            println!("seed {seed}, faults {fault_scale}");
            Simulation::new(seed, fault_scale).run();
        }
    }
}

/// Guards against requests that end early without a fault: only their deadline may end them.
#[test]
fn completes_without_faults() {
    for seed in seeds(5) {
        println!("seed {seed}");
        let mut simulation = Simulation::new(seed, 0.0);
        simulation.run();
        assert!(
            simulation.count_completed() >= REQUESTS * 9 / 10,
            "seed {seed}: {} completed",
            simulation.count_completed()
        );
    }
}
