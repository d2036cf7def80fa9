//! Measures the claim writer in virtual time: how many claims are granted within a limit of store writes, how long
//! they wait, and how many writes retention takes.
//!
//! Claims arrive as a Poisson process. The result of each call is recorded two seconds after its claim was granted,
//! through the same writer. The store responds after 3 ms.

#![expect(clippy::cast_precision_loss, reason = "approximate figures for display")]

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_claim::{
        format::Name,
        key::bucket,
        writer::{Action, Call, Counts, Options, Response, Writer},
    },
    siskin_types::{
        id::{Node, Request},
        time::Instant,
    },
    siskin_wire::claim::{BodyHash, Decision, Ended, Key, Record, Token},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

const CLAIMS_PER_S: f64 = 1_200.0;
const WRITES_PER_S: f64 = 300.0;
const BUCKETS: u8 = 64;
const STORE_LATENCY_US: u64 = 3_000;
const CALL_DURATION_US: u64 = 2_000_000;
const SECOND_US: u64 = 1_000_000;

enum Event {
    Claim,
    Record { writer: usize, key: Key, token: Token },
    Stored { writer: usize, call: Call, response: Response },
    Tick { writer: usize },
}

struct Simulation {
    now_us: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    writers: Vec<Writer>,
    scheduled_ticks: Vec<u64>,
    values: HashMap<Name, (u64, Vec<u8>)>,
    revision: u64,
    arrived_at: HashMap<Token, u64>,
    wait_times: Vec<u64>,
    unavailable: u64,
    writes_in_second: u64,
    second: u64,
    max_writes_in_second: u64,
    random: SmallRng,
}

impl Simulation {
    fn new(writers: usize, retention: Duration) -> Self {
        let writer = |index: usize| {
            let buckets: Vec<u8> =
                (0..BUCKETS).filter(|bucket| usize::from(*bucket) % writers == index).collect();
            let options = Options {
                node: Node(u32::try_from(index).unwrap_or(0)),
                incarnation: 1_796_000_000_000_000,
                unix_at_zero_ms: 1_796_000_000_000,
                writes_per_s: WRITES_PER_S / f64::from(u32::try_from(writers).unwrap_or(1)),
                write_burst: 1,
                retention,
                retention_interval: Duration::from_secs(5),
                ..Options::default()
            };
            let mut writer = Writer::new(options);
            let actions = writer.owned(Instant::ZERO, &buckets);
            (writer, actions)
        };
        let (writers, actions): (Vec<_>, Vec<_>) = (0..writers).map(writer).unzip();
        let mut simulation = Self {
            now_us: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            scheduled_ticks: vec![u64::MAX; writers.len()],
            writers,
            values: HashMap::new(),
            revision: 0,
            arrived_at: HashMap::new(),
            wait_times: Vec::new(),
            unavailable: 0,
            writes_in_second: 0,
            second: 0,
            max_writes_in_second: 0,
            random: SmallRng::seed_from_u64(1),
        };
        for (index, actions) in actions.into_iter().enumerate() {
            simulation.perform_actions(index, actions);
        }
        simulation.schedule(0, Event::Claim);
        simulation
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at_us, self.sequence), event);
    }

    fn run_until(&mut self, end_us: u64) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 < end_us
        {
            let ((at_us, _), event) = entry.remove_entry();
            self.now_us = at_us;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = Instant::from_micros(self.now_us);
        let (writer, actions) = match event {
            Event::Claim => {
                let gap = -self.random.random::<f64>().max(1e-12).ln() / CLAIMS_PER_S;
                let next = Instant::from_micros(self.now_us) + Duration::from_secs_f64(gap);
                self.schedule(next.as_micros(), Event::Claim);
                let key = Key(self.random.random());
                let writer = usize::from(bucket(&key, BUCKETS)) % self.writers.len();
                let sequence = self.sequence;
                let node = Node(self.random.random_range(0..1_200));
                let token = Token(Request { node, incarnation: 1_796_000_000_000_000, sequence });
                self.arrived_at.insert(token, self.now_us);
                let body = BodyHash(self.random.random());
                let deadline = now + Duration::from_secs(30);
                (writer, self.writers[writer].claim(now, key, body, token, deadline))
            }
            Event::Record { writer, key, token } => {
                let record = Record { ended: Ended::Completed, status: 200, body: None };
                (writer, self.writers[writer].record(now, key, token, record))
            }
            Event::Stored { writer, call, response } => {
                (writer, self.writers[writer].handle_response(now, call, response))
            }
            Event::Tick { writer } => {
                self.scheduled_ticks[writer] = u64::MAX;
                (writer, self.writers[writer].tick(now))
            }
        };
        self.perform_actions(writer, actions);
    }

    fn perform_actions(&mut self, writer: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Decide { key, token, decision } => {
                    let wait = self.now_us - self.arrived_at.remove(&token).unwrap_or(self.now_us);
                    if decision == Decision::Granted {
                        self.wait_times.push(wait);
                        self.schedule(
                            self.now_us + CALL_DURATION_US,
                            Event::Record { writer, key, token },
                        );
                    } else {
                        self.unavailable += 1;
                    }
                }
                Action::Settled { .. } => {}
                call => self.call_store(writer, &call),
            }
        }
        if let Some(next) = self.writers[writer].next_tick() {
            let next = next.as_micros().max(self.now_us + 1);
            if next < self.scheduled_ticks[writer] {
                self.scheduled_ticks[writer] = next;
                self.schedule(next, Event::Tick { writer });
            }
        }
    }

    fn call_store(&mut self, writer: usize, action: &Action) {
        let (call, response) = match action {
            Action::Read { call, name } => {
                let found = self.values.get(name).cloned();
                let found = found.map(|(revision, value)| Response::Found { revision, value });
                (*call, found.unwrap_or(Response::Absent))
            }
            Action::Swap { call, name, expected, value } => {
                self.count_write();
                let current = self.values.get(name).map_or(0, |(revision, _)| *revision);
                if current == *expected {
                    self.revision += 1;
                    self.values.insert(*name, (self.revision, value.clone()));
                    (*call, Response::Swapped { revision: self.revision })
                } else {
                    (*call, Response::Conflict)
                }
            }
            Action::Remove { call, name } => {
                self.count_write();
                self.values.remove(name);
                (*call, Response::Removed)
            }
            _ => return,
        };
        self.schedule(self.now_us + STORE_LATENCY_US, Event::Stored { writer, call, response });
    }

    fn count_write(&mut self) {
        if self.now_us / SECOND_US != self.second {
            self.second = self.now_us / SECOND_US;
            self.writes_in_second = 0;
        }
        self.writes_in_second += 1;
        self.max_writes_in_second = self.max_writes_in_second.max(self.writes_in_second);
    }

    fn total_counts(&self) -> Counts {
        let mut sum = Counts::default();
        for counts in self.writers.iter().map(Writer::counts) {
            sum.reads += counts.reads;
            sum.writes += counts.writes;
            sum.removes += counts.removes;
            sum.bytes += counts.bytes;
            sum.granted += counts.granted;
        }
        sum
    }
}

fn percentile(values: &mut [u64], percent: usize) -> f64 {
    values.sort_unstable();
    let index = (values.len() * percent / 100).min(values.len().saturating_sub(1));
    values.get(index).map_or(0.0, |value_us| *value_us as f64 / 1e3)
}

/// Measures for `duration_s` seconds after a warm-up of `warm_up_s` seconds, and prints one row of the table.
fn measure(writers: usize, retention: Duration, warm_up_s: u64, duration_s: u64) {
    let mut simulation = Simulation::new(writers, retention);
    simulation.run_until(warm_up_s * SECOND_US);
    let before = simulation.total_counts();
    simulation.wait_times.clear();
    simulation.unavailable = 0;
    simulation.max_writes_in_second = 0;
    let start = std::time::Instant::now();
    simulation.run_until((warm_up_s + duration_s) * SECOND_US);
    let elapsed = start.elapsed();
    let after = simulation.total_counts();
    let rate = |after: u64, before: u64| (after - before) as f64 / duration_s as f64;
    let segments =
        simulation.values.keys().filter(|name| matches!(name, Name::Segment(..))).count();
    let stored_bytes: usize = simulation.values.values().map(|(_, value)| value.len()).sum();
    println!(
        "{writers:>7} {:>9.0} {:>9.0} {:>7.0} {:>9.0} {:>9.1} {:>9.1} {:>9.2} {:>8} {:>9.1} {:>9.2}",
        rate(after.granted, before.granted),
        rate(after.writes + after.removes, before.writes + before.removes),
        rate(after.removes, before.removes),
        simulation.max_writes_in_second,
        percentile(&mut simulation.wait_times, 50),
        percentile(&mut simulation.wait_times, 99),
        rate(after.bytes, before.bytes) / 1e6,
        segments,
        stored_bytes as f64 / 1e6,
        elapsed.as_secs_f64() / duration_s as f64 / writers as f64 * 100.0,
    );
    assert_eq!(simulation.unavailable, 0, "claims were refused");
}

fn main() {
    println!(
        "{CLAIMS_PER_S} claims/s offered, limit of {WRITES_PER_S} writes/s shared by the writers"
    );
    let header = || {
        println!(
            "{:>7} {:>9} {:>9} {:>7} {:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9}",
            "writers",
            "claims/s",
            "writes/s",
            "removes",
            "most/s",
            "p50 ms",
            "p99 ms",
            "MB/s",
            "segments",
            "stored MB",
            "core %"
        );
    };
    println!("\nwithout retention, 60 s after 30 s:");
    header();
    for writers in [1, 8, 64] {
        measure(writers, Duration::from_secs(86_400), 30, 60);
    }
    println!("\nretention of 60 s, 60 s after 120 s; removals are part of the writes:");
    header();
    for writers in [1, 8, 64] {
        measure(writers, Duration::from_secs(60), 120, 60);
    }
}
