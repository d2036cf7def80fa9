//! Measures claims in virtual time: how many are granted within a limit of store writes, how long they
//! wait, and what retention costs.
//!
//! Claims arrive at random; each call is recorded two seconds after its claim was granted, through the same
//! writer. The store answers after 3 ms.

#![expect(clippy::cast_precision_loss, reason = "figures for people")]

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_claim::{
        format::Name,
        key::bucket,
        writer::{Action, Answer, Call, Counts, Options, Writer},
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
const CALL_US: u64 = 2_000_000;
const SECOND_US: u64 = 1_000_000;

enum Event {
    Claim,
    Record { writer: usize, key: Key, token: Token },
    Stored { writer: usize, call: Call, answer: Answer },
    Tick { writer: usize },
}

struct Run {
    now: u64,
    sequence: u64,
    queue: BTreeMap<(u64, u64), Event>,
    writers: Vec<Writer>,
    ticks: Vec<u64>,
    values: HashMap<Name, (u64, Vec<u8>)>,
    revision: u64,
    arrived: HashMap<Token, u64>,
    waits: Vec<u64>,
    unavailable: u64,
    calls_in_second: u64,
    second: u64,
    most_writes_in_second: u64,
    random: SmallRng,
}

impl Run {
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
        let mut run = Self {
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            ticks: vec![u64::MAX; writers.len()],
            writers,
            values: HashMap::new(),
            revision: 0,
            arrived: HashMap::new(),
            waits: Vec::new(),
            unavailable: 0,
            calls_in_second: 0,
            second: 0,
            most_writes_in_second: 0,
            random: SmallRng::seed_from_u64(1),
        };
        for (index, actions) in actions.into_iter().enumerate() {
            run.act(index, actions);
        }
        run.push(0, Event::Claim);
        run
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    fn until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 < end
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Instant::from_micros(self.now);
        let (writer, actions) = match event {
            Event::Claim => {
                let gap = -self.random.random::<f64>().max(1e-12).ln() / CLAIMS_PER_S;
                let next = Instant::from_micros(self.now) + Duration::from_secs_f64(gap);
                self.push(next.as_micros(), Event::Claim);
                let key = Key(self.random.random());
                let writer = usize::from(bucket(&key, BUCKETS)) % self.writers.len();
                let sequence = self.sequence;
                let node = Node(self.random.random_range(0..1_200));
                let token = Token(Request { node, incarnation: 1_796_000_000_000_000, sequence });
                self.arrived.insert(token, self.now);
                let body = BodyHash(self.random.random());
                let deadline = now + Duration::from_secs(30);
                (writer, self.writers[writer].claim(now, key, body, token, deadline))
            }
            Event::Record { writer, key, token } => {
                let record = Record { ended: Ended::Completed, status: 200, body: None };
                (writer, self.writers[writer].record(now, key, token, record))
            }
            Event::Stored { writer, call, answer } => {
                (writer, self.writers[writer].stored(now, call, answer))
            }
            Event::Tick { writer } => {
                self.ticks[writer] = u64::MAX;
                (writer, self.writers[writer].tick(now))
            }
        };
        self.act(writer, actions);
    }

    fn act(&mut self, writer: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Decide { key, token, decision } => {
                    let wait = self.now - self.arrived.remove(&token).unwrap_or(self.now);
                    if decision == Decision::Granted {
                        self.waits.push(wait);
                        self.push(self.now + CALL_US, Event::Record { writer, key, token });
                    } else {
                        self.unavailable += 1;
                    }
                }
                Action::Settled { .. } => {}
                call => self.call(writer, &call),
            }
        }
        if let Some(next) = self.writers[writer].next_tick() {
            let next = next.as_micros().max(self.now + 1);
            if next < self.ticks[writer] {
                self.ticks[writer] = next;
                self.push(next, Event::Tick { writer });
            }
        }
    }

    fn call(&mut self, writer: usize, action: &Action) {
        let (call, answer) = match action {
            Action::Read { call, name } => {
                let found = self.values.get(name).cloned();
                let found = found.map(|(revision, value)| Answer::Found { revision, value });
                (*call, found.unwrap_or(Answer::Absent))
            }
            Action::Swap { call, name, expected, value } => {
                self.count_write();
                let current = self.values.get(name).map_or(0, |(revision, _)| *revision);
                if current == *expected {
                    self.revision += 1;
                    self.values.insert(*name, (self.revision, value.clone()));
                    (*call, Answer::Swapped { revision: self.revision })
                } else {
                    (*call, Answer::Conflict)
                }
            }
            Action::Remove { call, name } => {
                self.count_write();
                self.values.remove(name);
                (*call, Answer::Removed)
            }
            _ => return,
        };
        self.push(self.now + STORE_LATENCY_US, Event::Stored { writer, call, answer });
    }

    fn count_write(&mut self) {
        if self.now / SECOND_US != self.second {
            self.second = self.now / SECOND_US;
            self.calls_in_second = 0;
        }
        self.calls_in_second += 1;
        self.most_writes_in_second = self.most_writes_in_second.max(self.calls_in_second);
    }

    fn counts(&self) -> Counts {
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
    values.get(index).map_or(0.0, |micros| *micros as f64 / 1e3)
}

/// Measures `seconds` after a start of `warm_up` seconds.
fn measure(writers: usize, retention: Duration, warm_up: u64, seconds: u64) {
    let mut run = Run::new(writers, retention);
    run.until(warm_up * SECOND_US);
    let before = run.counts();
    run.waits.clear();
    run.unavailable = 0;
    run.most_writes_in_second = 0;
    let start = std::time::Instant::now();
    run.until((warm_up + seconds) * SECOND_US);
    let elapsed = start.elapsed();
    let after = run.counts();
    let rate = |after: u64, before: u64| (after - before) as f64 / seconds as f64;
    let segments = run.values.keys().filter(|name| matches!(name, Name::Segment(..))).count();
    let stored: usize = run.values.values().map(|(_, value)| value.len()).sum();
    println!(
        "{writers:>7} {:>9.0} {:>9.0} {:>7.0} {:>9.0} {:>9.1} {:>9.1} {:>9.2} {:>8} {:>9.1} {:>9.2}",
        rate(after.granted, before.granted),
        rate(after.writes + after.removes, before.writes + before.removes),
        rate(after.removes, before.removes),
        run.most_writes_in_second,
        percentile(&mut run.waits, 50),
        percentile(&mut run.waits, 99),
        rate(after.bytes, before.bytes) / 1e6,
        segments,
        stored as f64 / 1e6,
        elapsed.as_secs_f64() / seconds as f64 / writers as f64 * 100.0,
    );
    assert_eq!(run.unavailable, 0, "claims were refused");
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
