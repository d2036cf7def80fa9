//! Messages that are repeated until they are acknowledged.

use {
    super::{
        Action, FINGERPRINTS_PER_MESSAGE, Options,
        table::{Change, Time},
    },
    indexmap::{IndexMap, IndexSet},
    siskin_types::{
        id::{Node, Pool},
        time::Instant,
    },
    siskin_wire::poison::{Crash, Fact, Fingerprint, InFlight, Message},
    std::{sync::Arc, time::Duration},
};

/// A fact by this process's clock; the age is worked out when it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Note {
    Struck { crash: Crash, at: Time, in_flight: Vec<InFlight> },
    Cleared { fingerprint: Fingerprint, at: Time, change: Change },
}

impl Note {
    fn fact(&self, now: Time) -> Fact {
        match self {
            Self::Struck { crash, at, in_flight } => Fact::Struck {
                crash: *crash,
                age_ms: now.age_ms(*at),
                in_flight: in_flight.clone(),
            },
            Self::Cleared { fingerprint, at, change: Change::Cleared } => {
                Fact::Cleared { fingerprint: *fingerprint, age_ms: now.age_ms(*at) }
            }
            Self::Cleared { fingerprint, at, change: Change::Lifted } => {
                Fact::Lifted { fingerprint: *fingerprint, age_ms: now.age_ms(*at) }
            }
        }
    }
}

#[derive(Debug)]
struct Pending {
    to: IndexSet<Node>,
    notes: Arc<[Note]>,
    repeat_at: Instant,
    delay: Duration,
    until: Instant,
}

#[derive(Debug)]
pub(crate) struct Outbox {
    pool: Pool,
    repeat: (Duration, Duration),
    /// Facts older than this are of no use.
    hold: Duration,
    next_serial: u64,
    pending: IndexMap<u64, Pending>,
}

impl Outbox {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            pool: options.pool,
            repeat: options.repeat,
            hold: options.hold,
            next_serial: 0,
            pending: IndexMap::new(),
        }
    }

    pub(crate) const fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
    }

    /// Sends notes to some routers now, and again until they acknowledge them.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        to: &[Node],
        notes: &[Note],
        actions: &mut Vec<Action>,
    ) {
        if to.is_empty() {
            return;
        }
        for notes in split(notes) {
            self.next_serial += 1;
            let pending = Pending {
                to: to.iter().copied().collect(),
                notes: notes.into(),
                repeat_at: now + self.repeat.0,
                delay: self.repeat.0,
                until: now + self.hold,
            };
            send(self.pool, now, self.next_serial, &pending, actions);
            self.pending.insert(self.next_serial, pending);
        }
    }

    /// All notes as facts, in parts that fit into a message; at least one part.
    pub(crate) fn facts(now: Instant, notes: &[Note]) -> Vec<Vec<Fact>> {
        let time = Time::from(now);
        let parts: Vec<Vec<Fact>> = split(notes)
            .into_iter()
            .map(|part| part.iter().map(|note| note.fact(time)).collect())
            .collect();
        if parts.is_empty() { vec![Vec::new()] } else { parts }
    }

    pub(crate) fn acknowledged(&mut self, from: Node, serial: u64) {
        let Some(pending) = self.pending.get_mut(&serial) else { return };
        pending.to.swap_remove(&from);
        if pending.to.is_empty() {
            self.pending.swap_remove(&serial);
        }
    }

    /// Whether news of a crash is not acknowledged.
    pub(crate) fn has(&self, wanted: &Crash) -> bool {
        let mut notes = self.pending.values().flat_map(|pending| pending.notes.iter());
        notes.any(|note| matches!(note, Note::Struck { crash, .. } if crash == wanted))
    }

    /// Forgets routers that are gone.
    pub(crate) fn retain(&mut self, members: &IndexSet<Node>) {
        self.pending.retain(|_, pending| {
            pending.to.retain(|node| members.contains(node));
            !pending.to.is_empty()
        });
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    pub(crate) fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.pending.retain(|_, pending| now < pending.until);
        for (serial, pending) in &mut self.pending {
            if now >= pending.repeat_at {
                pending.delay = (pending.delay * 2).min(self.repeat.1);
                pending.repeat_at = now + pending.delay;
                send(self.pool, now, *serial, pending, actions);
            }
        }
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        self.pending.values().map(|pending| pending.repeat_at).min()
    }
}

fn send(pool: Pool, now: Instant, serial: u64, pending: &Pending, actions: &mut Vec<Action>) {
    let time = Time::from(now);
    let facts: Vec<Fact> = pending.notes.iter().map(|note| note.fact(time)).collect();
    for to in &pending.to {
        let message = Message::Tell { pool, serial, facts: facts.clone() };
        actions.push(Action::Send { to: *to, message });
    }
}

/// Splits notes so that each part fits into a message.
fn split(notes: &[Note]) -> Vec<Vec<Note>> {
    let mut parts: Vec<Vec<Note>> = Vec::new();
    let mut room = 0;
    let mut add = |note: Note, size: usize| {
        if parts.is_empty() || size > room {
            parts.push(Vec::new());
            room = FINGERPRINTS_PER_MESSAGE;
        }
        room = room.saturating_sub(size);
        if let Some(part) = parts.last_mut() {
            part.push(note);
        }
    };
    for note in notes {
        match note {
            Note::Struck { crash, at, in_flight } => {
                // One place of a fingerprint is taken by the crash itself.
                for chunk in in_flight.chunks(FINGERPRINTS_PER_MESSAGE - 1) {
                    let in_flight = chunk.to_vec();
                    let note = Note::Struck { crash: *crash, at: *at, in_flight };
                    add(note, chunk.len() + 1);
                }
            }
            // A cleared fingerprint has an age of its own.
            Note::Cleared { .. } => add(note.clone(), 2),
        }
    }
    parts
}
