//! What is believed about the other members, and which of two beliefs wins.

use {
    crate::options::Timing,
    indexmap::{IndexMap, IndexSet},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::member::{Identity, Status, Update},
    std::{cmp::Ordering, time::Duration},
};

/// Most members that are kept, against unbounded memory. The largest planned fleet has 1,200.
const MAX_RECORDS: usize = 8_192;

/// A belief about one member.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) about: Identity,
    pub(crate) state: State,
}

#[derive(Debug)]
pub(crate) enum State {
    /// `doubted`: another member claims that it is unreachable, which a probe is to settle.
    Alive {
        doubted: bool,
    },
    Suspect(Suspicion),
    /// Forgotten at `until`.
    Unreachable {
        until: Instant,
    },
    /// Kept until then so that late messages do not bring the process back.
    Left {
        until: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    /// An own probe failed.
    pub(crate) own: bool,
    /// Another member has found it unreachable.
    pub(crate) verdict: bool,
    /// When it is pinged again to give it a chance to refute.
    pub(crate) next_ping: Instant,
    /// When it was pinged because the time for refuting was over, without an own probe having failed.
    pub(crate) last_chance: Option<Instant>,
}

/// What a merge did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The own belief wins or is the same.
    Nothing,
    /// The belief is to be passed on.
    News,
    /// News, and the member is newly visible.
    Appeared,
    /// As `Appeared`, and it was unreachable before.
    Returned,
    /// A probe is to settle whether the member is unreachable.
    Doubted,
}

#[derive(Debug, Default)]
pub(crate) struct Table {
    records: IndexMap<Node, Record>,
    visible: IndexSet<Node>,
    suspects: IndexSet<Node>,
    unreachable: IndexSet<Node>,
    digest: u32,
    generation: u64,
}

impl Table {
    pub(crate) fn get(&self, node: Node) -> Option<&Record> {
        self.records.get(&node)
    }

    pub(crate) fn records(&self) -> impl ExactSizeIterator<Item = &Record> {
        self.records.values()
    }

    pub(crate) const fn visible(&self) -> &IndexSet<Node> {
        &self.visible
    }

    pub(crate) const fn suspects(&self) -> &IndexSet<Node> {
        &self.suspects
    }

    pub(crate) const fn unreachable(&self) -> &IndexSet<Node> {
        &self.unreachable
    }

    /// Counts the changes of what callers can see.
    pub(crate) const fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) const fn digest(&self) -> u32 {
        self.digest
    }

    pub(crate) fn update(&self, now: Instant, node: Node, timing: &Timing) -> Option<Update> {
        let record = self.records.get(&node)?;
        Some(Update { about: record.about.clone(), status: record.status(now, timing) })
    }

    /// Replaces the belief about a member.
    fn set(&mut self, about: Identity, state: State) {
        let node = about.node;
        self.unindex(node);
        match &state {
            State::Alive { .. } => {
                self.visible.insert(node);
            }
            State::Suspect(_) => {
                self.visible.insert(node);
                self.suspects.insert(node);
            }
            State::Unreachable { .. } => {
                self.unreachable.insert(node);
            }
            State::Left { .. } => {}
        }
        if self.visible.contains(&node) {
            self.digest ^= digest_of(&about);
        }
        let same = self.records.get(&node).is_some_and(|old| {
            old.about == about
                && old.state.visible() == state.visible()
                && old.state.known() == state.known()
        });
        if !same {
            self.generation += 1;
        }
        self.records.insert(node, Record { about, state });
    }

    fn unindex(&mut self, node: Node) {
        if self.visible.swap_remove(&node) {
            self.digest ^= self.records.get(&node).map_or(0, |record| digest_of(&record.about));
        }
        self.suspects.swap_remove(&node);
        self.unreachable.swap_remove(&node);
    }

    pub(crate) fn remove(&mut self, node: Node) {
        self.unindex(node);
        if self.records.swap_remove(&node).is_some_and(|record| record.state.known()) {
            self.generation += 1;
        }
    }

    /// An own probe of a visible member failed. Returns whether this is news.
    pub(crate) fn suspect(&mut self, now: Instant, node: Node) -> bool {
        let Some(record) = self.records.get_mut(&node) else {
            return false;
        };
        match &mut record.state {
            State::Alive { doubted } => {
                let verdict = *doubted;
                let suspicion =
                    Suspicion { since: now, own: true, verdict, next_ping: now, last_chance: None };
                let about = record.about.clone();
                self.set(about, State::Suspect(suspicion));
                true
            }
            State::Suspect(suspicion) => {
                suspicion.own = true;
                false
            }
            State::Unreachable { .. } | State::Left { .. } => false,
        }
    }

    /// The time for refuting a suspicion is over.
    pub(crate) fn give_up(&mut self, node: Node, until: Instant) {
        if let Some(record) = self.records.get(&node) {
            let about = record.about.clone();
            self.set(about, State::Unreachable { until });
        }
    }

    pub(crate) fn suspicion(&mut self, node: Node) -> Option<&mut Suspicion> {
        match &mut self.records.get_mut(&node)?.state {
            State::Suspect(suspicion) => Some(suspicion),
            _ => None,
        }
    }

    /// Takes a belief over if it wins against the own one: a higher incarnation wins; within an incarnation, alive
    /// loses to suspect, suspect to unreachable and everything to left. A member that is taken for alive does not
    /// become unreachable by hearsay, so that a healed partition does not spread each half's view of the other.
    pub(crate) fn merge(&mut self, now: Instant, update: &Update, timing: &Timing) -> Merge {
        let Some(old) = self.records.get_mut(&update.about.node) else {
            return self.insert(now, update, timing);
        };
        let newer = match update.about.incarnation.cmp(&old.about.incarnation) {
            Ordering::Less => return Merge::Nothing,
            Ordering::Equal => false,
            Ordering::Greater => true,
        };
        let was_unreachable = matches!(old.state, State::Unreachable { .. });
        let was_visible = old.state.visible();
        let next = match (update.status, &mut old.state) {
            (Status::Alive, _) if newer => State::Alive { doubted: false },
            (Status::Suspect, State::Alive { doubted }) => State::hearsay(now, *doubted && !newer),
            (Status::Suspect, _) if newer => State::hearsay(now, false),
            (Status::Unreachable { .. }, State::Alive { doubted }) => {
                let first = !std::mem::replace(doubted, true);
                if newer {
                    self.set(update.about.clone(), State::Alive { doubted: true });
                }
                return if first || newer { Merge::Doubted } else { Merge::Nothing };
            }
            (Status::Unreachable { .. }, State::Suspect(suspicion)) => {
                suspicion.verdict = true;
                let suspicion = *suspicion;
                if newer {
                    self.set(update.about.clone(), State::Suspect(suspicion));
                }
                return Merge::Nothing;
            }
            (Status::Unreachable { for_s }, State::Unreachable { .. } | State::Left { .. })
                if newer =>
            {
                State::Unreachable { until: until_after(now, for_s, timing) }
            }
            (Status::Left { for_s }, state) if newer || !matches!(state, State::Left { .. }) => {
                State::Left { until: until_after(now, for_s, timing) }
            }
            _ => return Merge::Nothing,
        };
        let visible = next.visible();
        self.set(update.about.clone(), next);
        match (was_visible, visible) {
            (false, true) if was_unreachable => Merge::Returned,
            (false, true) => Merge::Appeared,
            _ => Merge::News,
        }
    }

    fn insert(&mut self, now: Instant, update: &Update, timing: &Timing) -> Merge {
        if self.records.len() >= MAX_RECORDS {
            log::warn!(limit = MAX_RECORDS; "member table is full; remove stale routers from the platform's list");
            return Merge::Nothing;
        }
        let state = match update.status {
            Status::Alive => State::Alive { doubted: false },
            Status::Suspect => State::hearsay(now, false),
            Status::Unreachable { for_s } => {
                State::Unreachable { until: until_after(now, for_s, timing) }
            }
            Status::Left { for_s } => State::Left { until: until_after(now, for_s, timing) },
        };
        if state.until().is_some_and(|until| until <= now) {
            return Merge::Nothing;
        }
        let merge = if state.visible() { Merge::Appeared } else { Merge::News };
        self.set(update.about.clone(), state);
        merge
    }
}

impl Record {
    /// Whether an update tells the same.
    pub(crate) fn says(&self, update: &Update) -> bool {
        let same = match self.state {
            State::Alive { .. } => update.status == Status::Alive,
            State::Suspect(_) => update.status == Status::Suspect,
            State::Unreachable { .. } => matches!(update.status, Status::Unreachable { .. }),
            State::Left { .. } => matches!(update.status, Status::Left { .. }),
        };
        same && self.about.incarnation == update.about.incarnation
    }

    pub(crate) fn status(&self, now: Instant, timing: &Timing) -> Status {
        match self.state {
            State::Alive { .. } => Status::Alive,
            State::Suspect(_) => Status::Suspect,
            State::Unreachable { until } => {
                Status::Unreachable { for_s: age_s(now, until, timing) }
            }
            State::Left { until } => Status::Left { for_s: age_s(now, until, timing) },
        }
    }
}

impl State {
    const fn hearsay(now: Instant, verdict: bool) -> Self {
        Self::Suspect(Suspicion {
            since: now,
            own: false,
            verdict,
            next_ping: now,
            last_chance: None,
        })
    }

    pub(crate) const fn visible(&self) -> bool {
        matches!(self, Self::Alive { .. } | Self::Suspect(_))
    }

    pub(crate) const fn known(&self) -> bool {
        !matches!(self, Self::Left { .. })
    }

    pub(crate) const fn until(&self) -> Option<Instant> {
        match self {
            Self::Unreachable { until } | Self::Left { until } => Some(*until),
            Self::Alive { .. } | Self::Suspect(_) => None,
        }
    }
}

fn until_after(now: Instant, for_s: u16, timing: &Timing) -> Instant {
    now + timing.keep_unreachable.saturating_sub(Duration::from_secs(for_s.into()))
}

fn age_s(now: Instant, until: Instant, timing: &Timing) -> u16 {
    let age = timing.keep_unreachable.saturating_sub(until - now);
    u16::try_from(age.as_secs()).unwrap_or(u16::MAX)
}

/// Mixes node and incarnation (the finaliser of `splitmix64`), so that the exclusive or over a set tells sets apart.
pub(crate) fn digest_of(about: &Identity) -> u32 {
    let mut mixed = about.incarnation ^ (u64::from(about.node.0) << 40);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    u32::try_from((mixed ^ (mixed >> 31)) >> 32).unwrap_or(0)
}
