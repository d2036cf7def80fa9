//! Decides what the claims, records and releases that wait for a bucket change in its head.

use {
    crate::{
        cache::{Cache, Found},
        format::{Entry, Head, SegmentId, State},
        writer::Options,
    },
    siskin_types::time::Instant,
    siskin_wire::claim::{BodyHash, Decision, Key, Record, Token},
};

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Claim(BodyHash),
    Record(Record),
    Release,
}

/// Something that waits for a bucket.
#[derive(Clone, Debug)]
pub(crate) struct Op {
    pub(crate) id: u64,
    pub(crate) kind: Kind,
    pub(crate) key: Key,
    pub(crate) token: Token,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    Decide(Decision),
    Settled,
}

/// A head as read or written by this writer.
#[derive(Clone, Debug)]
pub(crate) struct Base {
    pub(crate) revision: u64,
    pub(crate) head: Head,
    /// When the call was made that showed this to be the current head.
    pub(crate) confirmed: Instant,
}

/// Result of evaluating the waiting operations against a head.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) next: Head,
    pub(crate) changed: bool,
    /// Verdicts that hold as soon as `next` is stored, or at once if nothing changed.
    pub(crate) verdicts: Vec<(u64, Verdict)>,
    /// Verdicts that need a newer head, because another writer may have changed it.
    pub(crate) unconfirmed: Vec<(u64, Verdict)>,
    /// Segments to be read first.
    pub(crate) unread: Vec<SegmentId>,
    /// Whether something expired is not in `next`.
    pub(crate) expired: bool,
    /// The entries do not fit; those of the current head have to move to a segment.
    pub(crate) full: bool,
}

enum Step {
    Put(Entry, Verdict),
    Answer(Verdict),
    /// An answer that another writer's change may have made wrong.
    AnswerIfCurrent(Verdict),
}

pub(crate) fn plan<'a>(
    base: &Head,
    confirmed: Instant,
    ops: impl IntoIterator<Item = &'a Op>,
    cache: &mut Cache,
    now_s: u32,
    options: &Options,
) -> Plan {
    let mut plan = Plan { next: base.clone(), ..Plan::default() };
    expire(&mut plan, now_s, options);
    let mut bytes: usize = plan.next.entries.iter().map(Entry::bytes).sum();
    let mut blocked: Vec<Key> = Vec::new();
    for op in ops {
        if blocked.contains(&op.key) {
            continue;
        }
        let entry = match find(&plan.next, &op.key, cache) {
            Ok(entry) => entry,
            Err(segment) => {
                blocked.push(op.key);
                if !plan.unread.contains(&segment) {
                    plan.unread.push(segment);
                }
                continue;
            }
        };
        match step(op, entry, now_s, options) {
            Step::Answer(verdict) => plan.verdicts.push((op.id, verdict)),
            Step::AnswerIfCurrent(verdict) if confirmed >= op.arrived => {
                plan.verdicts.push((op.id, verdict));
            }
            Step::AnswerIfCurrent(verdict) => plan.unconfirmed.push((op.id, verdict)),
            Step::Put(entry, verdict) => {
                let place = plan.next.entries.iter().position(|old| old.key == entry.key);
                let old_bytes = place.map_or(0, |place| plan.next.entries[place].bytes());
                let new_bytes = bytes - old_bytes + entry.bytes();
                if new_bytes > options.head_bytes {
                    plan.full = true;
                    return plan;
                }
                bytes = new_bytes;
                match place {
                    Some(place) => plan.next.entries[place] = entry,
                    None => plan.next.entries.push(entry),
                }
                plan.changed = true;
                plan.verdicts.push((op.id, verdict));
            }
        }
    }
    plan
}

fn oldest_kept(now_s: u32, options: &Options) -> u32 {
    let retention_s = u32::try_from(options.retention.as_secs()).unwrap_or(u32::MAX);
    now_s.saturating_sub(retention_s)
}

/// Leaves out expired entries and a bounded number of expired segments.
fn expire(plan: &mut Plan, now_s: u32, options: &Options) {
    let limit_s = oldest_kept(now_s, options);
    let Head { segments, entries, garbage, .. } = &mut plan.next;
    let (first, before) = (garbage.len(), segments.len() + entries.len());
    segments.retain(|segment| {
        let keep = segment.newest_s >= limit_s || garbage.len() - first >= options.retention_batch;
        if !keep {
            garbage.push(segment.id);
        }
        keep
    });
    entries.retain(|entry| entry.at_s >= limit_s);
    plan.expired = segments.len() + entries.len() < before;
}

/// The newest entry of a key, or the segment that has to be read to find it.
fn find(head: &Head, key: &Key, cache: &mut Cache) -> Result<Option<Entry>, SegmentId> {
    if let Some(entry) = head.entries.iter().find(|entry| entry.key == *key) {
        return Ok(Some(entry.clone()));
    }
    for segment in head.segments.iter().rev() {
        match cache.find(&segment.id, key) {
            Found::Absent => {}
            Found::Entry(entry) => return Ok(Some(entry.clone())),
            Found::Unread => return Err(segment.id),
        }
    }
    Ok(None)
}

fn step(op: &Op, entry: Option<Entry>, now_s: u32, options: &Options) -> Step {
    match &op.kind {
        Kind::Claim(body) => claim(op, *body, entry, now_s, options),
        Kind::Record(record) => match entry {
            Some(entry) if entry.token == op.token && entry.state == State::Running => {
                let state = State::Ended(record.clone());
                Step::Put(Entry { state, ..entry }, Verdict::Settled)
            }
            // Recorded before, or the claim is gone or another attempt's.
            _ => Step::AnswerIfCurrent(Verdict::Settled),
        },
        Kind::Release => match entry {
            Some(entry) if entry.token == op.token && entry.state == State::Running => {
                let state = State::Released;
                Step::Put(Entry { state, ..entry }, Verdict::Settled)
            }
            Some(_) => Step::AnswerIfCurrent(Verdict::Settled),
            None => {
                // Refuses the attempt's own claim if that arrives later.
                let entry = new_entry(op, BodyHash([0; 16]), now_s, State::Released);
                Step::Put(entry, Verdict::Settled)
            }
        },
    }
}

fn claim(op: &Op, body: BodyHash, entry: Option<Entry>, now_s: u32, options: &Options) -> Step {
    let granted = || {
        let entry = new_entry(op, body, now_s, State::Running);
        Step::Put(entry, Verdict::Decide(Decision::Granted))
    };
    let Some(entry) = entry else { return granted() };
    let own = entry.token == op.token;
    match entry.state {
        State::Released if own => Step::Answer(Verdict::Decide(Decision::Unavailable)),
        State::Released => granted(),
        _ if entry.body != body => Step::AnswerIfCurrent(Verdict::Decide(Decision::BodyDiffers)),
        State::Ended(record) => Step::Answer(Verdict::Decide(Decision::Recorded(record))),
        // The attempt's own claim, written before an answer was lost. Only the current head tells whether
        // it was released since.
        State::Running if own => Step::AnswerIfCurrent(Verdict::Decide(Decision::Granted)),
        State::Running => {
            let age_s = u64::from(now_s.saturating_sub(entry.at_s));
            let decision = if age_s > options.longest_deadline.as_secs() {
                Decision::Unknown
            } else {
                Decision::InProgress
            };
            Step::AnswerIfCurrent(Verdict::Decide(decision))
        }
    }
}

fn new_entry(op: &Op, body: BodyHash, now_s: u32, state: State) -> Entry {
    Entry { key: op.key, body, token: op.token, at_s: now_s, state }
}
