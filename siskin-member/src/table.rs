//! The states of the other members, and the rules that merge received updates into them.

use {
    crate::options::Timing,
    indexmap::{IndexMap, IndexSet},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::member::{Identity, Status, Update},
    std::{cmp::Ordering, time::Duration},
};

/// Most members that are kept, to bound memory. The largest planned fleet has 1,200.
const MAX_RECORDS: usize = 8_192;

/// The identity and the state of another member.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) about: Identity,
    pub(crate) state: State,
}

#[derive(Debug)]
pub(crate) enum State {
    /// `disputed`: another member reports it as unreachable, which a probe will check.
    Alive {
        disputed: bool,
    },
    Suspect(Suspicion),
    /// Forgotten at `forget_at`.
    Unreachable {
        forget_at: Instant,
    },
    /// Kept until `forget_at`, so that late messages do not make the stopped process visible again.
    Left {
        forget_at: Instant,
    },
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    /// An own probe of the member failed.
    pub(crate) own_probe_failed: bool,
    /// Another member reports it as unreachable.
    pub(crate) reported_unreachable: bool,
    /// When the member is pinged again, so that it can refute.
    pub(crate) next_ping_at: Instant,
    /// When the member was pinged because the suspicion timed out although no own probe had failed.
    pub(crate) final_ping_at: Option<Instant>,
}

/// The result of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// Nothing that is to be disseminated has changed.
    Unchanged,
    /// The state has changed and is to be disseminated.
    Updated,
    /// As `Updated`, and the member has become visible.
    Appeared,
    /// As `Appeared`, and it was unreachable before.
    Returned,
    /// The update reports a member as unreachable that is alive here; a probe will check it.
    Disputed,
}

/// The other members, with indexes by state.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: IndexMap<Node, Record>,
    visible: IndexSet<Node>,
    suspects: IndexSet<Node>,
    unreachable: IndexSet<Node>,
    /// Exclusive or of the digests of the visible members.
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

    /// Number of changes of the visible or the known members.
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

    /// Replaces the record of a member and updates the indexes.
    fn set_record(&mut self, about: Identity, state: State) {
        let node = about.node;
        self.remove_from_indexes(node);
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
            self.digest ^= identity_digest(&about);
        }
        let same = self.records.get(&node).is_some_and(|old| {
            old.about == about
                && old.state.is_visible() == state.is_visible()
                && old.state.is_known() == state.is_known()
        });
        if !same {
            self.generation += 1;
        }
        self.records.insert(node, Record { about, state });
    }

    fn remove_from_indexes(&mut self, node: Node) {
        if self.visible.swap_remove(&node) {
            self.digest ^=
                self.records.get(&node).map_or(0, |record| identity_digest(&record.about));
        }
        self.suspects.swap_remove(&node);
        self.unreachable.swap_remove(&node);
    }

    pub(crate) fn remove(&mut self, node: Node) {
        self.remove_from_indexes(node);
        if self.records.swap_remove(&node).is_some_and(|record| record.state.is_known()) {
            self.generation += 1;
        }
    }

    /// Records that an own probe of a member failed. Returns whether the member was alive and is now suspected.
    pub(crate) fn mark_suspect(&mut self, now: Instant, node: Node) -> bool {
        let Some(record) = self.records.get_mut(&node) else {
            return false;
        };
        match &mut record.state {
            State::Alive { disputed } => {
                let reported_unreachable = *disputed;
                let suspicion = Suspicion {
                    since: now,
                    own_probe_failed: true,
                    reported_unreachable,
                    next_ping_at: now,
                    final_ping_at: None,
                };
                let about = record.about.clone();
                self.set_record(about, State::Suspect(suspicion));
                true
            }
            State::Suspect(suspicion) => {
                suspicion.own_probe_failed = true;
                false
            }
            State::Unreachable { .. } | State::Left { .. } => false,
        }
    }

    /// Marks a member unreachable because it did not refute a suspicion in time.
    pub(crate) fn mark_unreachable(&mut self, node: Node, forget_at: Instant) {
        if let Some(record) = self.records.get(&node) {
            let about = record.about.clone();
            self.set_record(about, State::Unreachable { forget_at });
        }
    }

    pub(crate) fn suspicion(&mut self, node: Node) -> Option<&mut Suspicion> {
        match &mut self.records.get_mut(&node)?.state {
            State::Suspect(suspicion) => Some(suspicion),
            _ => None,
        }
    }

    /// Merges an update. It takes precedence over the record if its incarnation is higher; within an incarnation, left
    /// takes precedence over unreachable, unreachable over suspect and suspect over alive. A member that is alive here
    /// does not become unreachable by an update alone, so that after a partition the halves do not adopt each other's
    /// view.
    pub(crate) fn merge(&mut self, now: Instant, update: &Update, timing: &Timing) -> Merge {
        let Some(old) = self.records.get_mut(&update.about.node) else {
            return self.insert_record(now, update, timing);
        };
        let newer = match update.about.incarnation.cmp(&old.about.incarnation) {
            Ordering::Less => return Merge::Unchanged,
            Ordering::Equal => false,
            Ordering::Greater => true,
        };
        let was_unreachable = matches!(old.state, State::Unreachable { .. });
        let was_visible = old.state.is_visible();
        let next = match (update.status, &mut old.state) {
            (Status::Alive, _) if newer => State::Alive { disputed: false },
            (Status::Suspect, State::Alive { disputed }) => {
                State::reported_suspect(now, *disputed && !newer)
            }
            (Status::Suspect, _) if newer => State::reported_suspect(now, false),
            (Status::Unreachable { .. }, State::Alive { disputed }) => {
                let first = !std::mem::replace(disputed, true);
                if newer {
                    self.set_record(update.about.clone(), State::Alive { disputed: true });
                }
                return if first || newer { Merge::Disputed } else { Merge::Unchanged };
            }
            (Status::Unreachable { .. }, State::Suspect(suspicion)) => {
                suspicion.reported_unreachable = true;
                let suspicion = *suspicion;
                if newer {
                    self.set_record(update.about.clone(), State::Suspect(suspicion));
                }
                return Merge::Unchanged;
            }
            (Status::Unreachable { for_s }, State::Unreachable { .. } | State::Left { .. })
                if newer =>
            {
                State::Unreachable { forget_at: forget_time(now, for_s, timing) }
            }
            (Status::Left { for_s }, state) if newer || !matches!(state, State::Left { .. }) => {
                State::Left { forget_at: forget_time(now, for_s, timing) }
            }
            _ => return Merge::Unchanged,
        };
        let visible = next.is_visible();
        self.set_record(update.about.clone(), next);
        match (was_visible, visible) {
            (false, true) if was_unreachable => Merge::Returned,
            (false, true) => Merge::Appeared,
            _ => Merge::Updated,
        }
    }

    fn insert_record(&mut self, now: Instant, update: &Update, timing: &Timing) -> Merge {
        if self.records.len() >= MAX_RECORDS {
            log::warn!(limit = MAX_RECORDS; "member table is full; remove stale routers from the platform's list");
            return Merge::Unchanged;
        }
        let state = match update.status {
            Status::Alive => State::Alive { disputed: false },
            Status::Suspect => State::reported_suspect(now, false),
            Status::Unreachable { for_s } => {
                State::Unreachable { forget_at: forget_time(now, for_s, timing) }
            }
            Status::Left { for_s } => State::Left { forget_at: forget_time(now, for_s, timing) },
        };
        if state.forget_at().is_some_and(|at| at <= now) {
            return Merge::Unchanged;
        }
        let merge = if state.is_visible() { Merge::Appeared } else { Merge::Updated };
        self.set_record(update.about.clone(), state);
        merge
    }
}

impl Record {
    /// Whether an update has the same incarnation and status.
    pub(crate) fn matches(&self, update: &Update) -> bool {
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
            State::Unreachable { forget_at } => {
                Status::Unreachable { for_s: age_seconds(now, forget_at, timing) }
            }
            State::Left { forget_at } => {
                Status::Left { for_s: age_seconds(now, forget_at, timing) }
            }
        }
    }
}

impl State {
    /// A suspicion that another member reports.
    const fn reported_suspect(now: Instant, reported_unreachable: bool) -> Self {
        Self::Suspect(Suspicion {
            since: now,
            own_probe_failed: false,
            reported_unreachable,
            next_ping_at: now,
            final_ping_at: None,
        })
    }

    pub(crate) const fn is_visible(&self) -> bool {
        matches!(self, Self::Alive { .. } | Self::Suspect(_))
    }

    pub(crate) const fn is_known(&self) -> bool {
        !matches!(self, Self::Left { .. })
    }

    pub(crate) const fn forget_at(&self) -> Option<Instant> {
        match self {
            Self::Unreachable { forget_at } | Self::Left { forget_at } => Some(*forget_at),
            Self::Alive { .. } | Self::Suspect(_) => None,
        }
    }
}

fn forget_time(now: Instant, for_s: u16, timing: &Timing) -> Instant {
    now + timing.unreachable_retention.saturating_sub(Duration::from_secs(for_s.into()))
}

fn age_seconds(now: Instant, forget_at: Instant, timing: &Timing) -> u16 {
    let age = timing.unreachable_retention.saturating_sub(forget_at - now);
    u16::try_from(age.as_secs()).unwrap_or(u16::MAX)
}

/// Hashes node and incarnation with the finaliser of `splitmix64`, so that different sets of members have different
/// exclusive ors with high probability.
pub(crate) fn identity_digest(about: &Identity) -> u32 {
    let mut mixed = about.incarnation ^ (u64::from(about.node.0) << 40);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    u32::try_from((mixed ^ (mixed >> 31)) >> 32).unwrap_or(0)
}
