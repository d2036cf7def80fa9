//! Messages that are sent repeatedly until they are acknowledged.

use {
    super::{Action, FINGERPRINTS_PER_MESSAGE, Options, table::Clearance},
    crate::timestamp::Timestamp,
    indexmap::{IndexMap, IndexSet},
    siskin_types::{
        id::{Node, Pool},
        time::Instant,
    },
    siskin_wire::poison::{Crash, Fact, Fingerprint, InFlight, Message},
    std::{sync::Arc, time::Duration},
};

/// A fact with its time on this process's clock; converted to a [`Fact`] with an age when it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TimedFact {
    Crashed { crash: Crash, at: Timestamp, in_flight: Vec<InFlight> },
    Cleared { fingerprint: Fingerprint, at: Timestamp, reason: Clearance },
}

impl TimedFact {
    fn to_fact(&self, now: Timestamp) -> Fact {
        match self {
            Self::Crashed { crash, at, in_flight } => Fact::Crashed {
                crash: *crash,
                age_ms: now.age_ms(*at),
                in_flight: in_flight.clone(),
            },
            Self::Cleared { fingerprint, at, reason: Clearance::Completed } => {
                Fact::Cleared { fingerprint: *fingerprint, age_ms: now.age_ms(*at) }
            }
            Self::Cleared { fingerprint, at, reason: Clearance::Lifted } => {
                Fact::Lifted { fingerprint: *fingerprint, age_ms: now.age_ms(*at) }
            }
        }
    }
}

/// A message that some routers have not acknowledged.
#[derive(Debug)]
struct Pending {
    unacknowledged_by: IndexSet<Node>,
    facts: Arc<[TimedFact]>,
    repeat_at: Instant,
    interval: Duration,
    repeat_until: Instant,
}

/// Sends facts to other routers and repeats them until they are acknowledged.
#[derive(Debug)]
pub(crate) struct Outbox {
    pool: Pool,
    repeat_interval: (Duration, Duration),
    /// How long a message is repeated at most; its facts have expired then.
    suspicion_ttl: Duration,
    next_serial: u64,
    pending: IndexMap<u64, Pending>,
}

impl Outbox {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            pool: options.pool,
            repeat_interval: options.repeat_interval,
            suspicion_ttl: options.suspicion_ttl,
            next_serial: 0,
            pending: IndexMap::new(),
        }
    }

    pub(crate) const fn set_suspicion_ttl(&mut self, suspicion_ttl: Duration) {
        self.suspicion_ttl = suspicion_ttl;
    }

    /// Sends facts to routers now and repeats them until each router has acknowledged them.
    pub(crate) fn send_until_acknowledged(
        &mut self,
        now: Instant,
        to: &[Node],
        facts: &[TimedFact],
        actions: &mut Vec<Action>,
    ) {
        if to.is_empty() {
            return;
        }
        for facts in split_by_size(facts) {
            self.next_serial += 1;
            let pending = Pending {
                unacknowledged_by: to.iter().copied().collect(),
                facts: facts.into(),
                repeat_at: now + self.repeat_interval.0,
                interval: self.repeat_interval.0,
                repeat_until: now + self.suspicion_ttl,
            };
            send_to_unacknowledged(self.pool, now, self.next_serial, &pending, actions);
            self.pending.insert(self.next_serial, pending);
        }
    }

    /// Converts facts for sending, in parts that each fit into a message; at least one part.
    pub(crate) fn split_into_messages(now: Instant, facts: &[TimedFact]) -> Vec<Vec<Fact>> {
        let time = Timestamp::from(now);
        let parts: Vec<Vec<Fact>> = split_by_size(facts)
            .into_iter()
            .map(|part| part.iter().map(|fact| fact.to_fact(time)).collect())
            .collect();
        if parts.is_empty() { vec![Vec::new()] } else { parts }
    }

    pub(crate) fn record_acknowledgement(&mut self, from: Node, serial: u64) {
        let Some(pending) = self.pending.get_mut(&serial) else { return };
        pending.unacknowledged_by.swap_remove(&from);
        if pending.unacknowledged_by.is_empty() {
            self.pending.swap_remove(&serial);
        }
    }

    /// Whether a message about the crash still waits for an acknowledgement.
    pub(crate) fn has_unacknowledged(&self, wanted: &Crash) -> bool {
        let mut facts = self.pending.values().flat_map(|pending| pending.facts.iter());
        facts.any(|fact| matches!(fact, TimedFact::Crashed { crash, .. } if crash == wanted))
    }

    /// Stops repeating messages to routers that are no longer members.
    pub(crate) fn retain_members(&mut self, members: &IndexSet<Node>) {
        self.pending.retain(|_, pending| {
            pending.unacknowledged_by.retain(|node| members.contains(node));
            !pending.unacknowledged_by.is_empty()
        });
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pending.retain(|_, pending| now < pending.repeat_until);
        for (serial, pending) in &mut self.pending {
            if now >= pending.repeat_at {
                pending.interval = (pending.interval * 2).min(self.repeat_interval.1);
                pending.repeat_at = now + pending.interval;
                send_to_unacknowledged(self.pool, now, *serial, pending, actions);
            }
        }
    }

    pub(crate) fn next_repeat(&self) -> Option<Instant> {
        self.pending.values().map(|pending| pending.repeat_at).min()
    }
}

fn send_to_unacknowledged(
    pool: Pool,
    now: Instant,
    serial: u64,
    pending: &Pending,
    actions: &mut Vec<Action>,
) {
    let time = Timestamp::from(now);
    let facts: Vec<Fact> = pending.facts.iter().map(|fact| fact.to_fact(time)).collect();
    for to in &pending.unacknowledged_by {
        let message = Message::Tell { pool, serial, facts: facts.clone() };
        actions.push(Action::Send { to: *to, message });
    }
}

/// Splits facts into parts that each fit into a message.
fn split_by_size(facts: &[TimedFact]) -> Vec<Vec<TimedFact>> {
    let mut parts: Vec<Vec<TimedFact>> = Vec::new();
    let mut remaining = 0;
    let mut add_fact = |fact: TimedFact, size: usize| {
        if parts.is_empty() || size > remaining {
            parts.push(Vec::new());
            remaining = FINGERPRINTS_PER_MESSAGE;
        }
        remaining = remaining.saturating_sub(size);
        if let Some(part) = parts.last_mut() {
            part.push(fact);
        }
    };
    for fact in facts {
        match fact {
            TimedFact::Crashed { crash, at, in_flight } => {
                // The crash itself takes the space of one fingerprint.
                for chunk in in_flight.chunks(FINGERPRINTS_PER_MESSAGE - 1) {
                    let in_flight = chunk.to_vec();
                    let fact = TimedFact::Crashed { crash: *crash, at: *at, in_flight };
                    add_fact(fact, chunk.len() + 1);
                }
            }
            // Counted as two fingerprints, because of the age.
            TimedFact::Cleared { .. } => add_fact(fact.clone(), 2),
        }
    }
    parts
}
