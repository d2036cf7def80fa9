//! Evaluates the pending operations (claims, records and releases) of a bucket against its head, and computes
//! the next head.

use {
    crate::{
        cache::{Cache, Lookup},
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

/// A pending claim, record or release in a bucket.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) id: u64,
    pub(crate) kind: Kind,
    pub(crate) key: Key,
    pub(crate) token: Token,
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
}

/// Result of an operation.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Outcome {
    Decided(Decision),
    /// The record or release is in the store, or is no longer needed.
    Settled,
}

/// The head of a bucket as this writer last read or wrote it.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) revision: u64,
    pub(crate) head: Head,
    /// Start time of the store call that last confirmed this head as current.
    pub(crate) confirmed_at: Instant,
}

/// Result of evaluating the pending operations against a head.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    pub(crate) next_head: Head,
    pub(crate) changed: bool,
    /// Outcomes that are final once `next_head` is stored, or at once if nothing changed.
    pub(crate) outcomes: Vec<(u64, Outcome)>,
    /// Outcomes that need a newer head to be confirmed, because another writer may have changed the head.
    pub(crate) unconfirmed: Vec<(u64, Outcome)>,
    /// Segments that must be read before the remaining operations can be evaluated.
    pub(crate) unread_segments: Vec<SegmentId>,
    /// Whether expired entries or segments were left out of `next_head`.
    pub(crate) expired: bool,
    /// The entries do not fit into the head; those of the current head must be moved to a segment first.
    pub(crate) full: bool,
}

/// Effect of an operation on the head.
enum Effect {
    /// The entry is added or replaced; the outcome is final once the head is stored.
    Write(Entry, Outcome),
    /// The head stays unchanged; the outcome is final.
    Respond(Outcome),
    /// The head stays unchanged; the outcome is valid only if no other writer has changed the head in the meantime.
    RespondIfCurrent(Outcome),
}

pub(crate) fn plan<'a>(
    head: &Head,
    confirmed_at: Instant,
    operations: impl IntoIterator<Item = &'a Operation>,
    cache: &mut Cache,
    now_s: u32,
    options: &Options,
) -> Plan {
    let mut plan = Plan { next_head: head.clone(), ..Plan::default() };
    remove_expired(&mut plan, now_s, options);
    let mut bytes: usize = plan.next_head.entries.iter().map(Entry::encoded_bytes).sum();
    let mut blocked_keys: Vec<Key> = Vec::new();
    for operation in operations {
        if blocked_keys.contains(&operation.key) {
            continue;
        }
        let entry = match find_entry(&plan.next_head, &operation.key, cache) {
            Ok(entry) => entry,
            Err(segment) => {
                blocked_keys.push(operation.key);
                if !plan.unread_segments.contains(&segment) {
                    plan.unread_segments.push(segment);
                }
                continue;
            }
        };
        match evaluate_operation(operation, entry, now_s, options) {
            Effect::Respond(outcome) => plan.outcomes.push((operation.id, outcome)),
            Effect::RespondIfCurrent(outcome) if confirmed_at >= operation.arrived_at => {
                plan.outcomes.push((operation.id, outcome));
            }
            Effect::RespondIfCurrent(outcome) => plan.unconfirmed.push((operation.id, outcome)),
            Effect::Write(entry, outcome) => {
                let position = plan.next_head.entries.iter().position(|old| old.key == entry.key);
                let old_bytes =
                    position.map_or(0, |position| plan.next_head.entries[position].encoded_bytes());
                let new_bytes = bytes - old_bytes + entry.encoded_bytes();
                if new_bytes > options.head_bytes {
                    plan.full = true;
                    return plan;
                }
                bytes = new_bytes;
                match position {
                    Some(position) => plan.next_head.entries[position] = entry,
                    None => plan.next_head.entries.push(entry),
                }
                plan.changed = true;
                plan.outcomes.push((operation.id, outcome));
            }
        }
    }
    plan
}

fn expiry_cutoff_s(now_s: u32, options: &Options) -> u32 {
    let retention_s = u32::try_from(options.retention.as_secs()).unwrap_or(u32::MAX);
    now_s.saturating_sub(retention_s)
}

/// Removes all expired entries and at most `retention_batch` expired segments from the next head.
fn remove_expired(plan: &mut Plan, now_s: u32, options: &Options) {
    let cutoff_s = expiry_cutoff_s(now_s, options);
    let Head { segments, entries, garbage, .. } = &mut plan.next_head;
    let (garbage_before, live_before) = (garbage.len(), segments.len() + entries.len());
    segments.retain(|segment| {
        let keep = segment.newest_s >= cutoff_s
            || garbage.len() - garbage_before >= options.retention_batch;
        if !keep {
            garbage.push(segment.id);
        }
        keep
    });
    entries.retain(|entry| entry.claimed_at_s >= cutoff_s);
    plan.expired = segments.len() + entries.len() < live_before;
}

/// The newest entry of a key. The error is the segment that must be read to find it.
fn find_entry(head: &Head, key: &Key, cache: &mut Cache) -> Result<Option<Entry>, SegmentId> {
    if let Some(entry) = head.entries.iter().find(|entry| entry.key == *key) {
        return Ok(Some(entry.clone()));
    }
    for segment in head.segments.iter().rev() {
        match cache.find(&segment.id, key) {
            Lookup::Absent => {}
            Lookup::Entry(entry) => return Ok(Some(entry.clone())),
            Lookup::Unread => return Err(segment.id),
        }
    }
    Ok(None)
}

fn evaluate_operation(
    operation: &Operation,
    entry: Option<Entry>,
    now_s: u32,
    options: &Options,
) -> Effect {
    match &operation.kind {
        Kind::Claim(body_hash) => evaluate_claim(operation, *body_hash, entry, now_s, options),
        Kind::Record(record) => match entry {
            Some(entry) if entry.token == operation.token && entry.state == State::Running => {
                let state = State::Ended(record.clone());
                Effect::Write(Entry { state, ..entry }, Outcome::Settled)
            }
            // Already recorded, or the claim has expired or belongs to another attempt.
            _ => Effect::RespondIfCurrent(Outcome::Settled),
        },
        Kind::Release => match entry {
            Some(entry) if entry.token == operation.token && entry.state == State::Running => {
                let state = State::Released;
                Effect::Write(Entry { state, ..entry }, Outcome::Settled)
            }
            Some(_) => Effect::RespondIfCurrent(Outcome::Settled),
            None => {
                // This entry causes the attempt's own claim to be refused if it arrives later.
                let entry = new_entry(operation, BodyHash([0; 16]), now_s, State::Released);
                Effect::Write(entry, Outcome::Settled)
            }
        },
    }
}

fn evaluate_claim(
    operation: &Operation,
    body_hash: BodyHash,
    entry: Option<Entry>,
    now_s: u32,
    options: &Options,
) -> Effect {
    let grant = || {
        let entry = new_entry(operation, body_hash, now_s, State::Running);
        Effect::Write(entry, Outcome::Decided(Decision::Granted))
    };
    let Some(entry) = entry else { return grant() };
    let same_attempt = entry.token == operation.token;
    match entry.state {
        State::Released if same_attempt => Effect::Respond(Outcome::Decided(Decision::Unavailable)),
        State::Released => grant(),
        _ if entry.body_hash != body_hash => {
            Effect::RespondIfCurrent(Outcome::Decided(Decision::BodyDiffers))
        }
        State::Ended(record) => Effect::Respond(Outcome::Decided(Decision::Recorded(record))),
        // The attempt's own claim, stored although the response was lost. Only the current head shows whether
        // it has been released since.
        State::Running if same_attempt => {
            Effect::RespondIfCurrent(Outcome::Decided(Decision::Granted))
        }
        State::Running => {
            let age_s = u64::from(now_s.saturating_sub(entry.claimed_at_s));
            let decision = if age_s > options.max_call_duration.as_secs() {
                Decision::Unknown
            } else {
                Decision::InProgress
            };
            Effect::RespondIfCurrent(Outcome::Decided(decision))
        }
    }
}

fn new_entry(operation: &Operation, body_hash: BodyHash, now_s: u32, state: State) -> Entry {
    Entry { key: operation.key, body_hash, token: operation.token, claimed_at_s: now_s, state }
}
