//! What a claim is answered, by the state of its key.

use {
    crate::store::Store,
    siskin_claim::writer::{Action, Options, Writer},
    siskin_types::{
        id::{Node, Request},
        time::Instant,
    },
    siskin_wire::claim::{BodyHash, Decision, Ended, Key, Record, Token},
    std::time::Duration,
};

pub(crate) fn token(sequence: u64) -> Token {
    Token(Request { node: Node(1), incarnation: 1, sequence })
}

pub(crate) fn key(number: u16) -> Key {
    let mut bytes = [0; 16];
    bytes[..2].copy_from_slice(&number.to_be_bytes());
    Key(bytes)
}

pub(crate) const BODY: BodyHash = BodyHash([1; 16]);

pub(crate) fn record(body: Option<Vec<u8>>) -> Record {
    Record { ended: Ended::Completed, status: 200, body }
}

/// A writer with a store that answers at once. Returns what is not for the store.
pub(crate) struct Bench {
    pub(crate) writer: Writer,
    pub(crate) store: Store,
    pub(crate) now: Instant,
}

impl Bench {
    pub(crate) fn new(options: Options) -> Self {
        Self { writer: Writer::new(options), store: Store::default(), now: Instant::ZERO }
    }

    pub(crate) fn settle(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let mut left = Vec::new();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if matches!(action, Action::Decide { .. } | Action::Settled { .. }) {
                left.push(action);
                continue;
            }
            let (call, answer) = self.store.apply(&action);
            queue.extend(self.writer.stored(self.now, call, answer));
        }
        left
    }

    pub(crate) fn claim(&mut self, key: Key, body: BodyHash, token: Token) -> Vec<Decision> {
        let deadline = self.now + Duration::from_secs(5);
        let actions = self.writer.claim(self.now, key, body, token, deadline);
        let actions = self.settle(actions);
        let decisions = actions.into_iter().filter_map(|action| match action {
            Action::Decide { decision, .. } => Some(decision),
            _ => None,
        });
        decisions.collect()
    }

    fn record(&mut self, key: Key, token: Token, record: Record) {
        let actions = self.writer.record(self.now, key, token, record);
        assert_eq!(self.settle(actions), [Action::Settled { key, token }]);
    }

    fn release(&mut self, key: Key, token: Token) {
        let actions = self.writer.release(self.now, key, token);
        assert_eq!(self.settle(actions), [Action::Settled { key, token }]);
    }
}

fn unlimited() -> Options {
    Options { writes_per_s: 1e6, write_burst: 1_000_000, ..Options::default() }
}

enum Before {
    Claimed,
    ClaimedLongAgo,
    Recorded,
    RecordedLong,
    Released,
    RecordedAfterRelease,
    ReleasedAfterRecord,
    ReleasedByOther,
    Expired,
}

/// Guards against a second grant for a key, and against a wrong answer to a repeat.
#[test]
fn repeats() {
    struct Case {
        name: &'static str,
        before: Before,
        body: BodyHash,
        attempt: u64,
        want: Decision,
    }
    let other = BodyHash([2; 16]);
    let short = record(Some(b"done".to_vec()));
    #[rustfmt::skip]
    let cases = [
        Case { name: "own repeat", before: Before::Claimed, body: BODY, attempt: 1, want: Decision::Granted },
        Case { name: "held", before: Before::Claimed, body: BODY, attempt: 2, want: Decision::InProgress },
        Case { name: "held, other body", before: Before::Claimed, body: other, attempt: 2, want: Decision::BodyDiffers },
        Case { name: "held too long", before: Before::ClaimedLongAgo, body: BODY, attempt: 2, want: Decision::Unknown },
        Case { name: "recorded", before: Before::Recorded, body: BODY, attempt: 2, want: Decision::Recorded(short.clone()) },
        Case { name: "recorded, other body", before: Before::Recorded, body: other, attempt: 2, want: Decision::BodyDiffers },
        Case { name: "long body left out", before: Before::RecordedLong, body: BODY, attempt: 2, want: Decision::Recorded(record(None)) },
        Case { name: "released", before: Before::Released, body: other, attempt: 2, want: Decision::Granted },
        Case { name: "late repeat of released", before: Before::Released, body: BODY, attempt: 1, want: Decision::Unavailable },
        Case { name: "record after release", before: Before::RecordedAfterRelease, body: BODY, attempt: 2, want: Decision::Granted },
        Case { name: "release after record", before: Before::ReleasedAfterRecord, body: BODY, attempt: 2, want: Decision::Recorded(short.clone()) },
        Case { name: "release by another attempt", before: Before::ReleasedByOther, body: BODY, attempt: 2, want: Decision::InProgress },
        Case { name: "past retention", before: Before::Expired, body: other, attempt: 2, want: Decision::Granted },
    ];
    for case in cases {
        for spilled in [false, true] {
            // A head without room for two claims moves the first one to a segment.
            let head_bytes = if spilled { 100 } else { 16_384 };
            let mut bench = Bench::new(Options { head_bytes, ..unlimited() });
            assert_eq!(bench.claim(key(1), BODY, token(1)), [Decision::Granted], "{}", case.name);
            match case.before {
                Before::Claimed | Before::Expired => {}
                Before::ClaimedLongAgo => bench.now = Instant::from_micros(602_000_000),
                Before::Recorded => bench.record(key(1), token(1), short.clone()),
                Before::RecordedLong => {
                    bench.record(key(1), token(1), record(Some(vec![0; 1_025])));
                }
                Before::Released => bench.release(key(1), token(1)),
                Before::RecordedAfterRelease => {
                    bench.release(key(1), token(1));
                    bench.record(key(1), token(1), short.clone());
                }
                Before::ReleasedAfterRecord => {
                    bench.record(key(1), token(1), short.clone());
                    bench.release(key(1), token(1));
                }
                Before::ReleasedByOther => bench.release(key(1), token(9)),
            }
            if spilled {
                assert_eq!(bench.claim(key(64 * 256), BODY, token(50)), [Decision::Granted]);
                bench.claim(key(128 * 256), BODY, token(51));
                assert!(bench.store.segments() > 0, "{}", case.name);
            }
            if matches!(case.before, Before::Expired) {
                bench.now = Instant::from_micros(86_402_000_000);
            }
            let got = bench.claim(key(1), case.body, token(case.attempt));
            assert_eq!(got, std::slice::from_ref(&case.want), "{}, spilled: {spilled}", case.name);
        }
    }
}

fn in_first_bucket(number: u16) -> Key {
    let mut key = Key([0; 16]);
    key.0[4..6].copy_from_slice(&number.to_be_bytes());
    key
}

/// Guards against the claim of a given-up attempt that arrives after its release and blocks the key.
#[test]
fn release_first() {
    let mut bench = Bench::new(unlimited());
    bench.release(key(1), token(1));
    assert_eq!(bench.claim(key(1), BODY, token(1)), [Decision::Unavailable]);
    assert_eq!(bench.claim(key(1), BODY, token(2)), [Decision::Granted]);
}

/// Guards against answers from a head that another writer has changed since.
#[test]
fn changed_by_other_writer() {
    struct Case {
        name: &'static str,
        record: bool,
        attempt: u64,
        want: Decision,
    }
    let done = record(Some(b"done".to_vec()));
    #[rustfmt::skip]
    let cases = [
        Case { name: "recorded", record: true, attempt: 2, want: Decision::Recorded(done.clone()) },
        Case { name: "released", record: false, attempt: 2, want: Decision::Granted },
        Case { name: "own claim released", record: false, attempt: 1, want: Decision::Unavailable },
    ];
    for case in cases {
        let mut first = Bench::new(unlimited());
        assert_eq!(first.claim(key(1), BODY, token(1)), [Decision::Granted]);
        let store = std::mem::take(&mut first.store);
        let mut second = Bench { store, ..Bench::new(Options { incarnation: 2, ..unlimited() }) };
        if case.record {
            second.record(key(1), token(1), done.clone());
        } else {
            second.release(key(1), token(1));
        }
        first.store = second.store;
        first.now = Instant::from_micros(1);
        let got = first.claim(key(1), BODY, token(case.attempt));
        assert_eq!(got, [case.want], "{}", case.name);
    }
}

/// Guards against a writer that takes over a bucket and lets the first claim wait for all its segments.
#[test]
fn takeover() {
    let options = Options { head_bytes: 1_024, segment_bytes: 1_024, ..unlimited() };
    let mut first = Bench::new(options.clone());
    for number in 0..1_000 {
        first.claim(in_first_bucket(number), BODY, token(number.into()));
    }
    let segments = first.store.segments();
    assert!(segments > 30, "{segments} segments");
    let mut second = Bench { store: first.store, ..Bench::new(options) };
    let actions = second.writer.owned(second.now, &[0]);
    second.settle(actions);
    let reads = second.writer.counts().reads;
    assert_eq!(reads, 1 + segments as u64);
    assert_eq!(second.claim(in_first_bucket(5_000), BODY, token(5_000)), [Decision::Granted]);
    assert_eq!(second.writer.counts().reads, reads);
}

/// Guards against claims that are lost, and segments that are left behind, when a writer dies after any of
/// its store calls.
#[test]
fn writer_dies() {
    let options =
        |incarnation| Options { incarnation, head_bytes: 150, segment_bytes: 300, ..unlimited() };
    let mut spills = 0;
    for case in 0..120 {
        let mut first = Bench::new(options(1));
        // The head that the next writer takes over has one, two or three entries; three fill it.
        let (stop, claims) = (case / 3, 20 + case % 3);
        let mut held: Vec<u16> = (0..claims).collect();
        for number in &held {
            first.claim(in_first_bucket(*number), BODY, token(u64::from(*number)));
        }
        let mut second = Bench { store: first.store, ..Bench::new(options(2)) };
        let mut calls = 0;
        for number in 100..140 {
            let (key, deadline) = (in_first_bucket(number), Instant::from_micros(5_000_000));
            let mut queue =
                second.writer.claim(second.now, key, BODY, token(number.into()), deadline);
            queue.extend(second.writer.tick(second.now));
            while let Some(action) = queue.pop().filter(|_| calls < stop) {
                match action {
                    Action::Decide { .. } => held.push(number),
                    Action::Settled { .. } => {}
                    call => {
                        calls += 1;
                        let (call, answer) = second.store.apply(&call);
                        queue.extend(second.writer.stored(second.now, call, answer));
                    }
                }
            }
        }
        spills += usize::from(!second.store.unused_segments().is_empty());
        let mut third = Bench { store: second.store, ..Bench::new(options(3)) };
        let actions = third.writer.owned(third.now, &[0]);
        third.settle(actions);
        for number in 200..220 {
            third.claim(in_first_bucket(number), BODY, token(number.into()));
            let actions = third.writer.tick(third.now);
            third.settle(actions);
        }
        assert_eq!(third.store.unused_segments(), [], "after {stop} calls");
        assert!(third.store.garbage() <= 2, "after {stop} calls: {} listed", third.store.garbage());
        for number in held {
            let got = third.claim(in_first_bucket(number), BODY, token(10_000));
            assert_eq!(got, [Decision::InProgress], "claim {number} after {stop} calls");
        }
    }
    assert!(spills > 10, "{spills} deaths left a segment to be removed");
}

/// Guards against groups that lose or reorder claims, and against heads above their limit.
#[test]
fn groups() {
    let mut bench = Bench::new(unlimited());
    let deadline = Instant::from_micros(5_000_000);
    let mut first = Vec::new();
    for number in 0..2_000 {
        let (key, token) = (in_first_bucket(number), token(number.into()));
        first.extend(bench.writer.claim(bench.now, key, BODY, token, deadline));
    }
    assert_eq!(first.len(), 1, "one outstanding call for a bucket");
    let decided = bench.settle(first);
    let granted =
        |action: &&Action| matches!(action, Action::Decide { decision: Decision::Granted, .. });
    assert_eq!(decided.iter().filter(granted).count(), 2_000);
    let writes = bench.writer.counts().writes;
    // 2,000 claims of at most 64 bytes fill 8 heads of 16 KB; each head is moved to a segment by one write.
    assert!(writes <= 16, "{writes} writes");
    assert_eq!(bench.claim(in_first_bucket(7), BODY, token(9_999)), [Decision::InProgress]);
}

/// Guards against retention that never ends, or that removes claims too early.
#[test]
fn retention() {
    let options = Options {
        head_bytes: 1_024,
        segment_bytes: 2_048,
        retention: Duration::from_secs(60),
        retention_batch: 4,
        retention_interval: Duration::from_secs(10),
        ..unlimited()
    };
    let mut bench = Bench::new(options);
    let actions = bench.writer.owned(bench.now, &[0, 1]);
    bench.settle(actions);
    for number in 0..500u16 {
        bench.claim(key(number), BODY, token(number.into()));
    }
    let full = bench.store.segments();
    assert!(full >= 10, "{full} segments");
    bench.now = Instant::from_micros(59_000_000);
    let actions = bench.writer.tick(bench.now);
    bench.settle(actions);
    assert_eq!(bench.claim(key(3), BODY, token(1_000)), [Decision::InProgress]);
    for second in 62..400 {
        bench.now = Instant::from_micros(second * 1_000_000);
        let before = bench.store.segments();
        let actions = bench.writer.tick(bench.now);
        bench.settle(actions);
        let removed = before.saturating_sub(bench.store.segments());
        assert!(removed <= 8, "{removed} segments removed at once");
    }
    assert_eq!(bench.store.segments(), 0);
    assert_eq!(bench.claim(key(3), BODY, token(1_001)), [Decision::Granted]);
}
