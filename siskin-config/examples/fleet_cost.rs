//! Prints what following the configuration costs by the size of the fleet, and how long a change takes,
//! with the state machines of all routers in virtual time. Run it in release mode:
//!
//! ```text
//! cargo run --release -p siskin-config --example fleet_cost
//! ```
//!
//! Arguments are the sizes; without any, 8 to 1,200 routers are run.

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
/// The fleet starts and loads the configuration in this time, which is not counted.
const START: Duration = Duration::from_secs(30);
const OUTAGE_START: Duration = Duration::from_secs(1_230);
const OUTAGE_END: Duration = Duration::from_secs(1_290);
const END: Duration = Duration::from_secs(1_320);
/// Time between two looks at the ages of the configuration.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(7);
/// The seconds after the outage whose calls are shown one by one.
const RUSH: usize = 5;
/// Time of a message, up to that between two distant regions, and of half a call to the store.
const TRANSIT_US: (u64, u64) = (500, 40_000);
const STORE_US: (u64, u64) = (1_000, 5_000);
/// Time after which the runtime gives up a call to the store.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of IP and UDP header of a datagram, and of a short TCP connection, as the routers count them.
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

/// Calls to the store by kind.
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
    order: u64,
    nodes: Vec<Node>,
    keys: BTreeMap<String, Pair>,
    revision: u64,
    sealer: Sealer,
    steady: Calls,
    during: Calls,
    rush: [u64; RUSH],
    /// When each version was stored, and when its patch was answered.
    stored: HashMap<u64, Instant>,
    accepted: HashMap<u64, Instant>,
    /// Routers that have a version in force, and when all had it.
    holders: HashMap<u64, usize>,
    everywhere: HashMap<u64, Instant>,
    refused: usize,
    /// Time since the store confirmed the version of a router, directly or through others.
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
            order: 0,
            nodes: Vec::new(),
            keys: BTreeMap::new(),
            revision: 1,
            sealer: Sealer::new(id::Node(1), 1, Key::derive(b"fleet")),
            steady: Calls::default(),
            during: Calls::default(),
            rush: [0; RUSH],
            stored: HashMap::new(),
            accepted: HashMap::new(),
            holders: HashMap::new(),
            everywhere: HashMap::new(),
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
            actions.extend(target.watcher(Instant::ZERO, (number < WATCHERS).then_some(number)));
            fleet.follow(number, actions);
            let offset = fleet.micros((0, 100_000));
            fleet.schedule(number, offset, Event::Tick);
        }
        fleet.schedule(0, START, Event::Submit);
        fleet.schedule(0, START, Event::Sample);
        Ok(fleet)
    }

    fn micros(&mut self, (from, to): (u64, u64)) -> Duration {
        Duration::from_micros(self.random.random_range(from..to))
    }

    fn schedule(&mut self, node: usize, after: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((self.now + after, self.order)));
        self.events.insert(self.order, (node, event));
    }

    fn elapsed(&self) -> Duration {
        self.now - Instant::ZERO
    }

    fn store_up(&self) -> bool {
        !(OUTAGE_START..OUTAGE_END).contains(&self.elapsed())
    }

    fn run(mut self) -> Result<(), Box<dyn Error>> {
        let mut broken = false;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            self.now = at;
            if self.elapsed() >= END {
                break;
            }
            if !self.store_up() && !std::mem::replace(&mut broken, true) {
                self.break_watches();
            }
            if let Some((node, event)) = self.events.remove(&order) {
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
                self.follow(node, actions);
                let numbers: Vec<_> = self.nodes[node].submissions.keys().copied().collect();
                for number in numbers {
                    self.with_submission(node, number, |submission, follower| {
                        submission.tick(now, follower, view)
                    });
                }
            }
            Event::Message(from, message) => {
                let Ok(from) = node_id(from) else { return };
                let actions = self.nodes[node].follower.received(now, from, &message);
                self.follow(node, actions);
            }
            Event::Execute(owner, call) => self.execute(node, owner, call),
            Event::Answer(Owner::Follower, number, answer) => {
                let actions = self.nodes[node].follower.stored(now, number, answer);
                self.follow(node, actions);
            }
            Event::Answer(Owner::Submission(key), number, answer) => {
                self.with_submission(node, key, |submission, follower| {
                    submission.stored(now, follower, view, number, answer)
                });
            }
            Event::Watched(watched) => {
                let actions = self.nodes[node].follower.watched(now, &watched);
                self.follow(node, actions);
            }
            Event::Submit => self.submit(),
            Event::Sample => self.sample(),
        }
    }

    fn sample(&mut self) {
        if self.elapsed() < OUTAGE_START {
            self.schedule(0, SAMPLE_INTERVAL, Event::Sample);
            let now = self.now;
            let ages = self.nodes.iter().map(|node| node.follower.freshness(now));
            self.ages.extend(ages.map(Option::unwrap_or_default));
        }
    }

    /// Submits a patch at a random router. Operators come at random times.
    fn submit(&mut self) {
        let draw: f64 = self.random.random_range(f64::EPSILON..1.0);
        let pause = Duration::from_secs_f64(-draw.ln() * 86_400.0 / CHANGES_PER_DAY);
        self.schedule(0, pause, Event::Submit);
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
        self.carry_out(node, number, actions);
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
        self.carry_out(node, key, actions);
    }

    fn carry_out(&mut self, node: usize, key: u64, actions: Vec<submit::Action>) {
        for action in actions {
            match action {
                submit::Action::Store(call) => self.call(node, Owner::Submission(key), call),
                submit::Action::Follower(action) => self.follow(node, vec![action]),
                submit::Action::Finish(result) => {
                    self.nodes[node].submissions.remove(&key);
                    self.finished(&result);
                }
            }
        }
    }

    fn finished(&mut self, result: &Result<submit::Accepted, Refusal>) {
        let counted = (START..OUTAGE_START).contains(&self.elapsed());
        match result {
            Ok(accepted) if counted => {
                self.accepted.insert(accepted.version, self.now);
            }
            Err(_) if counted => self.refused += 1,
            Ok(_) | Err(_) => {}
        }
    }

    fn follow(&mut self, node: usize, actions: Vec<follower::Action>) {
        for action in actions {
            match action {
                follower::Action::Store(call) => self.call(node, Owner::Follower, call),
                follower::Action::Watch(watch) => self.watch(node, watch),
                follower::Action::Send { to, message } => self.send(node, to.0 as usize, message),
                follower::Action::Announce { fanout, announcement } => {
                    let others = self.nodes.len() - 1;
                    for other in index::sample(&mut self.random, others, fanout.min(others)) {
                        let to = other + usize::from(other >= node);
                        self.send(node, to, Message::Announcement(announcement));
                    }
                }
                follower::Action::Changed { version } => self.changed(node, version),
                follower::Action::Diverged(divergence) => eprintln!("{divergence}"),
            }
        }
    }

    fn changed(&mut self, node: usize, version: u64) {
        let before = std::mem::replace(&mut self.nodes[node].in_force, version);
        for version in before + 1..=version {
            let holders = self.holders.entry(version).or_insert(0);
            *holders += 1;
            if *holders == self.nodes.len() {
                self.everywhere.insert(version, self.now);
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
            let after = self.micros(TRANSIT_US);
            self.schedule(to, after, Event::Message(from, message));
        }
    }

    fn count(&mut self, kind: fn(&mut Calls) -> &mut u64) {
        let elapsed = self.elapsed();
        if (START..OUTAGE_START).contains(&elapsed) {
            *kind(&mut self.steady) += 1;
        } else if !self.store_up() {
            *kind(&mut self.during) += 1;
        } else if let Some(since) = elapsed.checked_sub(OUTAGE_END)
            && let Some(second) =
                self.rush.get_mut(usize::try_from(since.as_secs()).unwrap_or(RUSH))
        {
            *second += 1;
        }
    }

    fn watch(&mut self, node: usize, watch: Option<Watch>) {
        self.nodes[node].watch.clone_from(&watch);
        let Some(Watch { key, from_revision }) = watch else { return };
        self.count(|calls| &mut calls.watches);
        if !self.store_up() {
            self.nodes[node].watch = None;
            let after = self.micros(STORE_US);
            self.schedule(node, after, Event::Watched(Watched::Broken));
        } else if let Some(pair) = self.keys.get(&key).filter(|pair| pair.revision >= from_revision)
        {
            let event = Event::Watched(Watched::Changed(vec![pair.clone()]));
            let after = self.micros(STORE_US);
            self.schedule(node, after, event);
        }
    }

    fn call(&mut self, node: usize, owner: Owner, call: Call) {
        let read = matches!(call.request, Request::Range { .. });
        self.count(if read { |calls| &mut calls.reads } else { |calls| &mut calls.writes });
        let after = self.micros(STORE_US);
        self.schedule(node, after, Event::Execute(owner, call));
    }

    fn execute(&mut self, node: usize, owner: Owner, call: Call) {
        if !self.store_up() {
            return self.schedule(
                node,
                CALL_LIMIT,
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
                    self.put(key, value);
                }
                Answer::Created(absent)
            }
            Request::Swap { key, revision, value } => {
                let matches = self.keys.get(&key).map_or(0, |pair| pair.revision) == revision;
                if matches {
                    self.put(key, value);
                }
                Answer::Swapped(matches)
            }
            Request::Delete { start, end } => {
                self.keys.retain(|key, _| !(&start <= key && key < &end));
                Answer::Deleted
            }
        };
        let after = self.micros(STORE_US);
        self.schedule(node, after, Event::Answer(owner, call.number, answer));
    }

    fn put(&mut self, key: String, value: std::sync::Arc<[u8]>) {
        self.revision += 1;
        if let Some(version) = entry::version(&key) {
            self.stored.insert(version, self.now);
        }
        let pair = Pair { key: key.clone(), value, revision: self.revision };
        for node in 0..self.nodes.len() {
            if self.nodes[node].watch.as_ref().is_some_and(|watch| watch.key == key) {
                let event = Event::Watched(Watched::Changed(vec![pair.clone()]));
                let after = self.micros(STORE_US);
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
        let mut answered = Vec::new();
        let mut force = Vec::new();
        for (version, at) in &self.accepted {
            let stored = self.stored.get(version).ok_or("an accepted version is not stored")?;
            answered.push(*at - *stored);
            let everywhere = self.everywhere.get(version).ok_or("a version is not in force")?;
            force.push(*everywhere.max(at) - *at);
        }
        let outage = OUTAGE_END.saturating_sub(OUTAGE_START).as_secs();
        let during = (self.during.reads + self.during.writes + self.during.watches) / outage;
        println!(
            "{:>7} {:>4} | {:.2} {:.2} {:.2} {waiting} | {mean:.0} {busiest:.0} | {} {} | {} | {} | {} | \
             {during} | {:?}",
            self.nodes.len(),
            self.loss,
            rate(self.steady.reads),
            rate(self.steady.writes),
            rate(self.steady.watches),
            self.accepted.len(),
            self.refused,
            distribution(answered),
            distribution(force),
            distribution(self.ages),
            self.rush,
        );
        Ok(())
    }
}

fn node_id(number: usize) -> Result<id::Node, std::num::TryFromIntError> {
    u32::try_from(number).map(id::Node)
}

/// The median, two high percentiles and the maximum.
fn distribution(mut times: Vec<Duration>) -> String {
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let places = [last / 2, last * 95 / 100, last * 99 / 100, last];
    let shown = places.map(|place| {
        times.get(place).map_or_else(String::new, |time| format!("{:.2}", time.as_secs_f64()))
    });
    shown.join(" ")
}
