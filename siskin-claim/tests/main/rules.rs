//! Decisions on claims, by the state of their keys.

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

/// A writer with an in-memory store that responds at once.
pub(crate) struct Harness {
    pub(crate) writer: Writer,
    pub(crate) store: Store,
    pub(crate) now: Instant,
}

impl Harness {
    pub(crate) fn new(options: Options) -> Self {
        Self { writer: Writer::new(options), store: Store::default(), now: Instant::ZERO }
    }

    /// Runs all store calls, including those that follow from responses; returns the other actions.
    pub(crate) fn run_actions(&mut self, actions: Vec<Action>) -> Vec<Action> {
        let mut results = Vec::new();
        let mut queue = std::collections::VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            if matches!(action, Action::Decide { .. } | Action::Settled { .. }) {
                results.push(action);
                continue;
            }
            let (call, response) = self.store.apply(&action);
            queue.extend(self.writer.handle_response(self.now, call, response));
        }
        results
    }

    pub(crate) fn claim(&mut self, key: Key, body: BodyHash, token: Token) -> Vec<Decision> {
        let deadline = self.now + Duration::from_secs(5);
        let actions = self.writer.claim(self.now, key, body, token, deadline);
        let actions = self.run_actions(actions);
        let decisions = actions.into_iter().filter_map(|action| match action {
            Action::Decide { decision, .. } => Some(decision),
            _ => None,
        });
        decisions.collect()
    }

    fn record(&mut self, key: Key, token: Token, record: Record) {
        let actions = self.writer.record(self.now, key, token, record);
        assert_eq!(self.run_actions(actions), [Action::Settled { key, token }]);
    }

    fn release(&mut self, key: Key, token: Token) {
        let actions = self.writer.release(self.now, key, token);
        assert_eq!(self.run_actions(actions), [Action::Settled { key, token }]);
    }
}

fn unlimited() -> Options {
    Options { writes_per_s: 1e6, write_burst: 1_000_000, ..Options::default() }
}

/// What happened to the key before the claim.
enum History {
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

/// Guards against a second grant for a key, and against a wrong decision on a repeated claim.
#[test]
fn answers_repeated_claims() {
    struct Case {
        name: &'static str,
        history: History,
        body: BodyHash,
        attempt: u64,
        want: Decision,
    }
    let other = BodyHash([2; 16]);
    let short = record(Some(b"done".to_vec()));
    #[rustfmt::skip]
    let cases = [
        Case { name: "repeated by the same attempt", history: History::Claimed, body: BODY, attempt: 1, want: Decision::Granted },
        Case { name: "held by another attempt", history: History::Claimed, body: BODY, attempt: 2, want: Decision::InProgress },
        Case { name: "held by another attempt, other body", history: History::Claimed, body: other, attempt: 2, want: Decision::BodyDiffers },
        Case { name: "held for longer than a call may take", history: History::ClaimedLongAgo, body: BODY, attempt: 2, want: Decision::Unknown },
        Case { name: "recorded", history: History::Recorded, body: BODY, attempt: 2, want: Decision::Recorded(short.clone()) },
        Case { name: "recorded, other body", history: History::Recorded, body: other, attempt: 2, want: Decision::BodyDiffers },
        Case { name: "recorded without a long body", history: History::RecordedLong, body: BODY, attempt: 2, want: Decision::Recorded(record(None)) },
        Case { name: "released", history: History::Released, body: other, attempt: 2, want: Decision::Granted },
        Case { name: "released, repeated by the same attempt", history: History::Released, body: BODY, attempt: 1, want: Decision::Unavailable },
        Case { name: "record after release", history: History::RecordedAfterRelease, body: BODY, attempt: 2, want: Decision::Granted },
        Case { name: "release after record", history: History::ReleasedAfterRecord, body: BODY, attempt: 2, want: Decision::Recorded(short.clone()) },
        Case { name: "release by another attempt", history: History::ReleasedByOther, body: BODY, attempt: 2, want: Decision::InProgress },
        Case { name: "past retention", history: History::Expired, body: other, attempt: 2, want: Decision::Granted },
    ];
    for case in cases {
        for spilled in [false, true] {
            // A head without room for two claims moves the first one to a segment.
            let head_bytes = if spilled { 100 } else { 16_384 };
            let mut harness = Harness::new(Options { head_bytes, ..unlimited() });
            assert_eq!(harness.claim(key(1), BODY, token(1)), [Decision::Granted], "{}", case.name);
            match case.history {
                History::Claimed | History::Expired => {}
                History::ClaimedLongAgo => harness.now = Instant::from_micros(602_000_000),
                History::Recorded => harness.record(key(1), token(1), short.clone()),
                History::RecordedLong => {
                    harness.record(key(1), token(1), record(Some(vec![0; 1_025])));
                }
                History::Released => harness.release(key(1), token(1)),
                History::RecordedAfterRelease => {
                    harness.release(key(1), token(1));
                    harness.record(key(1), token(1), short.clone());
                }
                History::ReleasedAfterRecord => {
                    harness.record(key(1), token(1), short.clone());
                    harness.release(key(1), token(1));
                }
                History::ReleasedByOther => harness.release(key(1), token(9)),
            }
            if spilled {
                assert_eq!(harness.claim(key(64 * 256), BODY, token(50)), [Decision::Granted]);
                harness.claim(key(128 * 256), BODY, token(51));
                assert!(harness.store.segment_count() > 0, "{}", case.name);
            }
            if matches!(case.history, History::Expired) {
                harness.now = Instant::from_micros(86_402_000_000);
            }
            let got = harness.claim(key(1), case.body, token(case.attempt));
            assert_eq!(got, std::slice::from_ref(&case.want), "{}, spilled: {spilled}", case.name);
        }
    }
}

fn key_in_first_bucket(number: u16) -> Key {
    let mut key = Key([0; 16]);
    key.0[4..6].copy_from_slice(&number.to_be_bytes());
    key
}

/// Guards against the claim of an abandoned attempt that arrives after its release and blocks the key.
#[test]
fn refuses_claim_that_arrives_after_its_release() {
    let mut harness = Harness::new(unlimited());
    harness.release(key(1), token(1));
    assert_eq!(harness.claim(key(1), BODY, token(1)), [Decision::Unavailable]);
    assert_eq!(harness.claim(key(1), BODY, token(2)), [Decision::Granted]);
}

/// Guards against decisions that are based on a head which another writer has changed since it was read.
#[test]
fn rereads_head_changed_by_other_writer() {
    struct Case {
        name: &'static str,
        record: bool,
        attempt: u64,
        want: Decision,
    }
    let recorded = record(Some(b"done".to_vec()));
    #[rustfmt::skip]
    let cases = [
        Case { name: "recorded", record: true, attempt: 2, want: Decision::Recorded(recorded.clone()) },
        Case { name: "released", record: false, attempt: 2, want: Decision::Granted },
        Case { name: "own claim released", record: false, attempt: 1, want: Decision::Unavailable },
    ];
    for case in cases {
        let mut first = Harness::new(unlimited());
        assert_eq!(first.claim(key(1), BODY, token(1)), [Decision::Granted]);
        let store = std::mem::take(&mut first.store);
        let mut second =
            Harness { store, ..Harness::new(Options { incarnation: 2, ..unlimited() }) };
        if case.record {
            second.record(key(1), token(1), recorded.clone());
        } else {
            second.release(key(1), token(1));
        }
        first.store = second.store;
        first.now = Instant::from_micros(1);
        let got = first.claim(key(1), BODY, token(case.attempt));
        assert_eq!(got, [case.want], "{}", case.name);
    }
}

/// Guards against a writer that takes over a bucket and makes the first claim wait for reads of all segments.
#[test]
fn owner_reads_segments_before_first_claim() {
    let options = Options { head_bytes: 1_024, segment_bytes: 1_024, ..unlimited() };
    let mut first = Harness::new(options.clone());
    for number in 0..1_000 {
        first.claim(key_in_first_bucket(number), BODY, token(number.into()));
    }
    let segments = first.store.segment_count();
    assert!(segments > 30, "{segments} segments");
    let mut second = Harness { store: first.store, ..Harness::new(options) };
    let actions = second.writer.owned(second.now, &[0]);
    second.run_actions(actions);
    let reads = second.writer.counts().reads;
    assert_eq!(reads, 1 + segments as u64);
    assert_eq!(second.claim(key_in_first_bucket(5_000), BODY, token(5_000)), [Decision::Granted]);
    assert_eq!(second.writer.counts().reads, reads);
}

/// Guards against lost claims and orphaned segments when a writer crashes after any of its store calls.
#[test]
fn next_writer_recovers_from_crash() {
    let options =
        |incarnation| Options { incarnation, head_bytes: 150, segment_bytes: 300, ..unlimited() };
    let mut orphans = 0;
    for case in 0..120 {
        let mut first = Harness::new(options(1));
        // The head that the next writer takes over has one, two or three entries; three fill it.
        let (crash_after, claims) = (case / 3, 20 + case % 3);
        let mut held: Vec<u16> = (0..claims).collect();
        for number in &held {
            first.claim(key_in_first_bucket(*number), BODY, token(u64::from(*number)));
        }
        let mut second = Harness { store: first.store, ..Harness::new(options(2)) };
        let mut calls = 0;
        for number in 100..140 {
            let (key, deadline) = (key_in_first_bucket(number), Instant::from_micros(5_000_000));
            let mut queue =
                second.writer.claim(second.now, key, BODY, token(number.into()), deadline);
            queue.extend(second.writer.tick(second.now));
            while let Some(action) = queue.pop().filter(|_| calls < crash_after) {
                match action {
                    Action::Decide { .. } => held.push(number),
                    Action::Settled { .. } => {}
                    call => {
                        calls += 1;
                        let (call, response) = second.store.apply(&call);
                        queue.extend(second.writer.handle_response(second.now, call, response));
                    }
                }
            }
        }
        orphans += usize::from(!second.store.unused_segments().is_empty());
        let mut third = Harness { store: second.store, ..Harness::new(options(3)) };
        let actions = third.writer.owned(third.now, &[0]);
        third.run_actions(actions);
        for number in 200..220 {
            third.claim(key_in_first_bucket(number), BODY, token(number.into()));
            let actions = third.writer.tick(third.now);
            third.run_actions(actions);
        }
        assert_eq!(third.store.unused_segments(), [], "after {crash_after} calls");
        assert!(
            third.store.garbage_count() <= 2,
            "after {crash_after} calls: {} listed",
            third.store.garbage_count()
        );
        for number in held {
            let got = third.claim(key_in_first_bucket(number), BODY, token(10_000));
            assert_eq!(got, [Decision::InProgress], "claim {number} after {crash_after} calls");
        }
    }
    assert!(orphans > 10, "{orphans} crashes left a segment to be removed");
}

/// Guards against batches that lose or reorder claims, and against heads above their size limit.
#[test]
fn batches_pending_claims() {
    let mut harness = Harness::new(unlimited());
    let deadline = Instant::from_micros(5_000_000);
    let mut first = Vec::new();
    for number in 0..2_000 {
        let (key, token) = (key_in_first_bucket(number), token(number.into()));
        first.extend(harness.writer.claim(harness.now, key, BODY, token, deadline));
    }
    assert_eq!(first.len(), 1, "a bucket has one outstanding store call");
    let decided = harness.run_actions(first);
    let granted =
        |action: &&Action| matches!(action, Action::Decide { decision: Decision::Granted, .. });
    assert_eq!(decided.iter().filter(granted).count(), 2_000);
    let writes = harness.writer.counts().writes;
    // 2,000 claims of at most 64 bytes fill 8 heads of 16 KB; each head is moved to a segment by one write.
    assert!(writes <= 16, "{writes} writes");
    assert_eq!(harness.claim(key_in_first_bucket(7), BODY, token(9_999)), [Decision::InProgress]);
}

/// Guards against claims that never expire, or that expire too early.
#[test]
fn expires_claims_after_retention() {
    let options = Options {
        head_bytes: 1_024,
        segment_bytes: 2_048,
        retention: Duration::from_secs(60),
        retention_batch: 4,
        retention_interval: Duration::from_secs(10),
        ..unlimited()
    };
    let mut harness = Harness::new(options);
    let actions = harness.writer.owned(harness.now, &[0, 1]);
    harness.run_actions(actions);
    for number in 0..500u16 {
        harness.claim(key(number), BODY, token(number.into()));
    }
    let full = harness.store.segment_count();
    assert!(full >= 10, "{full} segments");
    harness.now = Instant::from_micros(59_000_000);
    let actions = harness.writer.tick(harness.now);
    harness.run_actions(actions);
    assert_eq!(harness.claim(key(3), BODY, token(1_000)), [Decision::InProgress]);
    for second in 62..400 {
        harness.now = Instant::from_micros(second * 1_000_000);
        let before = harness.store.segment_count();
        let actions = harness.writer.tick(harness.now);
        harness.run_actions(actions);
        let removed = before.saturating_sub(harness.store.segment_count());
        assert!(removed <= 8, "{removed} segments removed at once");
    }
    assert_eq!(harness.store.segment_count(), 0);
    assert_eq!(harness.claim(key(3), BODY, token(1_001)), [Decision::Granted]);
}
