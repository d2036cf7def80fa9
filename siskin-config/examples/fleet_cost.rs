//! Measures, by fleet size, the cost of following the configuration and the time until a change is in force.
//! Simulates the state machines of all routers in virtual time. Run it in release mode:
//!
//! ```text
//! cargo run --release -p siskin-config --example fleet_cost
//! ```
//!
//! The arguments are the fleet sizes; by default, 8 to 1,200 routers are simulated.

use {
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::index},
    siskin_config::{
        entry,
        follower::{self, Follower, View, Watch, Watched},
        patch::Patch,
        store::{Answer, Call, Pair, Request},
        submit::{self, Refusal, Submission},
    },
    siskin_types::{id, time::Instant},
    siskin_wire::{
        Message as Envelope,
        config::Message,
        frame::{Key, MAX_DATAGRAM_BYTES, Sealer},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap},
        error::Error,
        time::Duration,
    },
};

const SIZES: [usize; 5] = [8, 30, 120, 300, 1_200];
const LOSSES: [f64; 2] = [0.0, 0.01];
const SEED: u64 = 1;
const CHANGES_PER_DAY: f64 = 28_000.0;
const WATCHERS: usize = 3;
const TICK: Duration = Duration::from_millis(100);
/// Start-up time, in which the fleet loads the configuration. Excluded from the results.
const START: Duration = Duration::from_secs(30);
const OUTAGE_START: Duration = Duration::from_secs(1_230);
const OUTAGE_END: Duration = Duration::from_secs(1_290);
const END: Duration = Duration::from_secs(1_320);
/// Interval between samples of the age of the configuration.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(7);
/// Number of seconds after the outage for which calls are counted per second.
const RECOVERY_SECONDS: usize = 5;
/// Ranges of the latency of a message, up to that between two distant regions, and of each direction of a
/// call to the store.
const LATENCY_RANGE_US: (u64, u64) = (500, 40_000);
const STORE_LATENCY_RANGE_US: (u64, u64) = (1_000, 5_000);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Overhead in bytes of the IP and UDP headers of a datagram, and of a short TCP connection, as counted by
/// the routers.
const DATAGRAM_HEADER_BYTES: usize = 28;
const CONNECTION_HEADER_BYTES: usize = 320;

#[derive(Clone, Copy, Debug)]
enum Owner {
    Follower,
    Submission(u64),
}

#[derive(Debug)]
enum Event {
    Tick,
    Message(usize, Message),
    Execute(Owner, Call),
    Answer(Owner, u64, Answer),
    Watched(Watched),
    Submit,
    Sample,
}

#[derive(Debug)]
struct Node {
    follower: Follower,
    submissions: BTreeMap<u64, Submission>,
    watch: Option<Watch>,
    in_force: u64,
    bytes: u64,
}

/// Number of calls to the store by kind.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    reads: u64,
    writes: u64,
    watches: u64,
}

#[derive(Debug)]
struct Fleet {
    loss: f64,
    random: SmallRng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, (usize, Event)>,
    sequence: u64,
    nodes: Vec<Node>,
    keys: BTreeMap<String, Pair>,
    revision: u64,
    sealer: Sealer,
    steady_calls: Calls,
    outage_calls: Calls,
    recovery: [u64; RECOVERY_SECONDS],
    /// When each version was stored, and when its patch was answered.
    stored_at: HashMap<u64, Instant>,
    accepted_at: HashMap<u64, Instant>,
    /// Number of routers that have put each version in force, and when all had.
    holders: HashMap<u64, usize>,
    in_force_everywhere: HashMap<u64, Instant>,
    refused: usize,
    /// Samples of the time since the store confirmed the version of a router, directly or through others.
    ages: Vec<Duration>,
    next_patch: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let sizes: Vec<usize> =
        std::env::args().skip(1).map(|size| size.parse()).collect::<Result<_, _>>()?;
    let sizes = if sizes.is_empty() { SIZES.to_vec() } else { sizes };
    println!(
        "routers loss | reads/s writes/s watch starts/s waiting | B/s mean busiest | changes other | \
         stored to answered, s: p50 p95 p99 max | answered to in force everywhere, s: p50 p95 p99 max | \
         confirmed ago, s: p50 p95 p99 max | outage: calls/s | calls in each second after it"
    );
    for size in sizes {
        for loss in LOSSES {
            Fleet::new(size, loss)?.run()?;
        }
    }
    Ok(())
}

impl Fleet {
    fn new(size: usize, loss: f64) -> Result<Self, Box<dyn Error>> {
        let ranked = (0..size).map(node_id).collect::<Result<Vec<_>, _>>()?;
        let mut fleet = Self {
            loss,
            random: SmallRng::seed_from_u64(SEED),
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            keys: BTreeMap::new(),
            revision: 1,
            sealer: Sealer::new(id::Node(1), 1, Key::derive(b"fleet")),
            steady_calls: Calls::default(),
            outage_calls: Calls::default(),
            recovery: [0; RECOVERY_SECONDS],
            stored_at: HashMap::new(),
            accepted_at: HashMap::new(),
            holders: HashMap::new(),
            in_force_everywhere: HashMap::new(),
            refused: 0,
            ages: Vec::new(),
            next_patch: 0,
        };
        for number in 0..size {
            let options = follower::Options { seed: number as u64, ..Default::default() };
            let follower = Follower::new(options);
            let submissions = BTreeMap::new();
            fleet.nodes.push(Node { follower, submissions, watch: None, in_force: 0, bytes: 0 });
        }
        for number in 0..size {
            let target = &mut fleet.nodes[number].follower;
            let mut actions = target.members(Instant::ZERO, node_id(number)?, ranked.clone(), size);
            actions.extend(
                target.set_watcher_rank(Instant::ZERO, (number < WATCHERS).then_some(number)),
            );
            fleet.run_follower_actions(number, actions);
            let offset = fleet.random_micros((0, 100_000));
            fleet.schedule(number, offset, Event::Tick);
        }
        fleet.schedule(0, START, Event::Submit);
        fleet.schedule(0, START, Event::Sample);
        Ok(fleet)
    }

    fn random_micros(&mut self, (from, to): (u64, u64)) -> Duration {
        Duration::from_micros(self.random.random_range(from..to))
    }

    fn schedule(&mut self, node: usize, after: Duration, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, (node, event));
    }

    fn elapsed(&self) -> Duration {
        self.now - Instant::ZERO
    }

    fn is_store_up(&self) -> bool {
        !(OUTAGE_START..OUTAGE_END).contains(&self.elapsed())
    }

    fn run(mut self) -> Result<(), Box<dyn Error>> {
        let mut broken = false;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            self.now = at;
            if self.elapsed() >= END {
                break;
            }
            if !self.is_store_up() && !std::mem::replace(&mut broken, true) {
                self.break_watches();
            }
            if let Some((node, event)) = self.events.remove(&sequence) {
                self.handle(node, event);
            }
        }
        self.report()
    }

    fn break_watches(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch.take().is_some() {
                self.schedule(node, Duration::ZERO, Event::Watched(Watched::Broken));
            }
        }
    }

    fn view(&self) -> View {
        View { visible: self.nodes.len(), known: self.nodes.len() }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let (now, view) = (self.now, self.view());
        match event {
            Event::Tick => {
                self.schedule(node, TICK, Event::Tick);
                let actions = self.nodes[node].follower.tick(now);
                self.run_follower_actions(node, actions);
                let numbers: Vec<_> = self.nodes[node].submissions.keys().copied().collect();
                for number in numbers {
                    self.with_submission(node, number, |submission, follower| {
                        submission.tick(now, follower, view)
                    });
                }
            }
            Event::Message(from, message) => {
                let Ok(from) = node_id(from) else { return };
                let actions = self.nodes[node].follower.receive_message(now, from, &message);
                self.run_follower_actions(node, actions);
            }
            Event::Execute(owner, call) => self.execute(node, owner, call),
            Event::Answer(Owner::Follower, number, answer) => {
                let actions = self.nodes[node].follower.receive_answer(now, number, answer);
                self.run_follower_actions(node, actions);
            }
            Event::Answer(Owner::Submission(key), number, answer) => {
                self.with_submission(node, key, |submission, follower| {
                    submission.receive_answer(now, follower, view, number, answer)
                });
            }
            Event::Watched(watched) => {
                let actions = self.nodes[node].follower.watched(now, &watched);
                self.run_follower_actions(node, actions);
            }
            Event::Submit => self.submit_patch(),
            Event::Sample => self.sample_ages(),
        }
    }

    fn sample_ages(&mut self) {
        if self.elapsed() < OUTAGE_START {
            self.schedule(0, SAMPLE_INTERVAL, Event::Sample);
            let now = self.now;
            let ages = self.nodes.iter().map(|node| node.follower.confirmation_age(now));
            self.ages.extend(ages.map(Option::unwrap_or_default));
        }
    }

    /// Submits a patch at a random router, and schedules the next one (a Poisson process).
    fn submit_patch(&mut self) {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let interval = Duration::from_secs_f64(-draw.ln() * 86_400.0 / CHANGES_PER_DAY);
        self.schedule(0, interval, Event::Submit);
        let node = self.random.random_range(0..self.nodes.len());
        self.next_patch += 1;
        let number = self.next_patch;
        let name = format!("customer-{}", number % 16);
        let customer = serde_json::json!({
            "id": number % 16, "weight": number, "max_in_flight": 64, "max_queue": 256
        });
        let (now, view) = (self.now, self.view());
        let target = &mut self.nodes[node];
        let patch = Patch {
            id: format!("patch-{number}"),
            base: target.follower.version(),
            author: "operator".to_owned(),
            changes: serde_json::json!({ "customers": { name: customer } }),
        };
        let options = submit::Options { patch, time_ms: now.as_micros() / 1_000 };
        let (submission, actions) = Submission::start(now, options, &mut target.follower, view);
        target.submissions.insert(number, submission);
        self.run_submission_actions(node, number, actions);
    }

    fn with_submission(
        &mut self,
        node: usize,
        key: u64,
        event: impl FnOnce(&mut Submission, &mut Follower) -> Vec<submit::Action>,
    ) {
        let target = &mut self.nodes[node];
        let Some(submission) = target.submissions.get_mut(&key) else { return };
        let actions = event(submission, &mut target.follower);
        self.run_submission_actions(node, key, actions);
    }

    fn run_submission_actions(&mut self, node: usize, key: u64, actions: Vec<submit::Action>) {
        for action in actions {
            match action {
                submit::Action::Store(call) => self.send_call(node, Owner::Submission(key), call),
                submit::Action::Follower(action) => self.run_follower_actions(node, vec![action]),
                submit::Action::Finish(result) => {
                    self.nodes[node].submissions.remove(&key);
                    self.record_result(&result);
                }
            }
        }
    }

    fn record_result(&mut self, result: &Result<submit::Accepted, Refusal>) {
        let counted = (START..OUTAGE_START).contains(&self.elapsed());
        match result {
            Ok(accepted) if counted => {
                self.accepted_at.insert(accepted.version, self.now);
            }
            Err(_) if counted => self.refused += 1,
            Ok(_) | Err(_) => {}
        }
    }

    fn run_follower_actions(&mut self, node: usize, actions: Vec<follower::Action>) {
        for action in actions {
            match action {
                follower::Action::Store(call) => self.send_call(node, Owner::Follower, call),
                follower::Action::Watch(watch) => self.start_watch(node, watch),
                follower::Action::Send { to, message } => self.send(node, to.0 as usize, message),
                follower::Action::Announce { fanout, announcement } => {
                    let others = self.nodes.len() - 1;
                    for other in index::sample(&mut self.random, others, fanout.min(others)) {
                        let to = other + usize::from(other >= node);
                        self.send(node, to, Message::Announcement(announcement));
                    }
                }
                follower::Action::Changed { version } => self.record_version(node, version),
                follower::Action::Diverged(divergence) => eprintln!("{divergence}"),
            }
        }
    }

    fn record_version(&mut self, node: usize, version: u64) {
        let before = std::mem::replace(&mut self.nodes[node].in_force, version);
        for version in before + 1..=version {
            let holders = self.holders.entry(version).or_insert(0);
            *holders += 1;
            if *holders == self.nodes.len() {
                self.in_force_everywhere.insert(version, self.now);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if (START..OUTAGE_START).contains(&self.elapsed()) {
            let sealed = self.sealer.seal(&Envelope::Config(message.clone()));
            let length = sealed.map_or(0, |frame| frame.len());
            let datagram = length <= MAX_DATAGRAM_BYTES;
            let header = if datagram { DATAGRAM_HEADER_BYTES } else { CONNECTION_HEADER_BYTES };
            self.nodes[from].bytes += (length + header) as u64;
        }
        if !self.random.random_bool(self.loss) {
            let after = self.random_micros(LATENCY_RANGE_US);
            self.schedule(to, after, Event::Message(from, message));
        }
    }

    fn count_call(&mut self, kind: fn(&mut Calls) -> &mut u64) {
        let elapsed = self.elapsed();
        if (START..OUTAGE_START).contains(&elapsed) {
            *kind(&mut self.steady_calls) += 1;
        } else if !self.is_store_up() {
            *kind(&mut self.outage_calls) += 1;
        } else if let Some(since) = elapsed.checked_sub(OUTAGE_END)
            && let Some(second) =
                self.recovery.get_mut(usize::try_from(since.as_secs()).unwrap_or(RECOVERY_SECONDS))
        {
            *second += 1;
        }
    }

    fn start_watch(&mut self, node: usize, watch: Option<Watch>) {
        self.nodes[node].watch.clone_from(&watch);
        let Some(Watch { key, from_revision }) = watch else { return };
        self.count_call(|calls| &mut calls.watches);
        if !self.is_store_up() {
            self.nodes[node].watch = None;
            let after = self.random_micros(STORE_LATENCY_RANGE_US);
            self.schedule(node, after, Event::Watched(Watched::Broken));
        } else if let Some(pair) = self.keys.get(&key).filter(|pair| pair.revision >= from_revision)
        {
            let event = Event::Watched(Watched::Changed(vec![pair.clone()]));
            let after = self.random_micros(STORE_LATENCY_RANGE_US);
            self.schedule(node, after, event);
        }
    }

    fn send_call(&mut self, node: usize, owner: Owner, call: Call) {
        let read = matches!(call.request, Request::Range { .. });
        self.count_call(if read { |calls| &mut calls.reads } else { |calls| &mut calls.writes });
        let after = self.random_micros(STORE_LATENCY_RANGE_US);
        self.schedule(node, after, Event::Execute(owner, call));
    }

    fn execute(&mut self, node: usize, owner: Owner, call: Call) {
        if !self.is_store_up() {
            return self.schedule(
                node,
                CALL_TIMEOUT,
                Event::Answer(owner, call.number, Answer::Unknown),
            );
        }
        let answer = match call.request {
            Request::Range { start, end, limit } => {
                let pairs = self.keys.range(start..end).take(limit).map(|(_, pair)| pair.clone());
                Answer::Range { pairs: pairs.collect(), revision: self.revision }
            }
            Request::Create { key, value } => {
                let absent = !self.keys.contains_key(&key);
                if absent {
                    self.store_pair(key, value);
                }
                Answer::Created(absent)
            }
            Request::Swap { key, revision, value } => {
                let matches = self.keys.get(&key).map_or(0, |pair| pair.revision) == revision;
                if matches {
                    self.store_pair(key, value);
                }
                Answer::Swapped(matches)
            }
            Request::Delete { start, end } => {
                self.keys.retain(|key, _| !(&start <= key && key < &end));
                Answer::Deleted
            }
        };
        let after = self.random_micros(STORE_LATENCY_RANGE_US);
        self.schedule(node, after, Event::Answer(owner, call.number, answer));
    }

    fn store_pair(&mut self, key: String, value: std::sync::Arc<[u8]>) {
        self.revision += 1;
        if let Some(version) = entry::version(&key) {
            self.stored_at.insert(version, self.now);
        }
        let pair = Pair { key: key.clone(), value, revision: self.revision };
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch.as_ref().is_some_and(|watch| watch.key == key) {
                let event = Event::Watched(Watched::Changed(vec![pair.clone()]));
                let after = self.random_micros(STORE_LATENCY_RANGE_US);
                self.schedule(node, after, event);
            }
        }
        self.keys.insert(key, pair);
    }

    fn report(self) -> Result<(), Box<dyn Error>> {
        let seconds = OUTAGE_START.saturating_sub(START).as_secs_f64();
        let rate = |calls: u64| f64::from(u32::try_from(calls).unwrap_or(u32::MAX)) / seconds;
        let bytes: Vec<_> = self.nodes.iter().map(|node| rate(node.bytes)).collect();
        let mean = bytes.iter().sum::<f64>() / f64::from(u32::try_from(bytes.len())?);
        let busiest = bytes.iter().copied().fold(0.0, f64::max);
        let waiting = self.nodes.iter().filter(|node| node.watch.is_some()).count();
        let mut answer_times = Vec::new();
        let mut in_force_times = Vec::new();
        for (version, at) in &self.accepted_at {
            let stored_at =
                self.stored_at.get(version).ok_or("an accepted version is not stored")?;
            answer_times.push(*at - *stored_at);
            let everywhere =
                self.in_force_everywhere.get(version).ok_or("a version is not in force")?;
            in_force_times.push(*everywhere.max(at) - *at);
        }
        let outage = OUTAGE_END.saturating_sub(OUTAGE_START).as_secs();
        let during =
            (self.outage_calls.reads + self.outage_calls.writes + self.outage_calls.watches)
                / outage;
        println!(
            "{:>7} {:>4} | {:.2} {:.2} {:.2} {waiting} | {mean:.0} {busiest:.0} | {} {} | {} | {} | {} | \
             {during} | {:?}",
            self.nodes.len(),
            self.loss,
            rate(self.steady_calls.reads),
            rate(self.steady_calls.writes),
            rate(self.steady_calls.watches),
            self.accepted_at.len(),
            self.refused,
            distribution(answer_times),
            distribution(in_force_times),
            distribution(self.ages),
            self.recovery,
        );
        Ok(())
    }
}

fn node_id(number: usize) -> Result<id::Node, std::num::TryFromIntError> {
    u32::try_from(number).map(id::Node)
}

/// Formats the median, the 95th and 99th percentiles and the maximum.
fn distribution(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let places = [last / 2, last * 95 / 100, last * 99 / 100, last];
    let shown = places.map(|place| {
        times.get(place).map_or_else(String::new, |time| format!("{:.2}", time.as_secs_f64()))
    });
    shown.join(" ")
}
