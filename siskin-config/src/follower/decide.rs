//! Whether more than half of the known members hold the newest entry.
//!
//! An entry is in force only once this is known. Any side that may serve without the store has at least
//! half of the members, so one of them holds the entry and the side learns of it.
//!
//! Every router tells two counters of its group that it holds the entry, the counters tell the tallies
//! how many there are, and the tallies add up the groups. No router hears from the whole fleet.

use {
    super::{Action, Follower, task::Task},
    crate::{entry, store::Pair, store::Request},
    siskin_types::{id, time::Instant},
    siskin_wire::config::{Held, Holding, Message},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Routers that add up the groups, so that the loss of one or two does not delay a decision.
const TALLIES: usize = 3;

/// Counters of each group.
const COUNTERS: usize = 2;

/// Groups of a fleet whose tallies would otherwise hear from too many routers.
const GROUPS: u16 = 24;

/// Largest fleet without groups, whose routers tell the tallies directly.
const UNGROUPED: usize = 32;

/// Time until a router repeats that it holds an entry whose decision it has not heard of.
const REPEAT: Duration = Duration::from_millis(500);

/// Shortest time between two counts that a counter sends.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Reads without the record of a decision after which a watcher that is not the first writes it.
const READS_WITHOUT_RECORD: u32 = 2;

/// Multiplier that spreads consecutive numbers of nodes over the groups (2^32 divided by the golden ratio).
const SPREAD: u32 = 0x9e37_79b9;

/// What is known of the holders of the newest entry.
#[derive(Debug)]
pub(super) struct Holders {
    own: id::Node,
    ranked: Vec<id::Node>,
    /// Known members; zero before this router knows any.
    known: usize,
    version: u64,
    hash: u64,
    holding: BTreeSet<id::Node>,
    groups: BTreeMap<u16, usize>,
    tell_at: Instant,
    count_at: Instant,
    counted: BTreeMap<u16, usize>,
    record: bool,
    reads_without_record: u32,
}

impl Default for Holders {
    fn default() -> Self {
        Self {
            own: id::Node(0),
            ranked: Vec::new(),
            known: 0,
            version: 0,
            hash: 0,
            holding: BTreeSet::new(),
            groups: BTreeMap::new(),
            tell_at: Instant::ZERO,
            count_at: Instant::ZERO,
            counted: BTreeMap::new(),
            record: false,
            reads_without_record: 0,
        }
    }
}

impl Holders {
    /// Members that are known.
    pub(super) const fn known(&self) -> usize {
        self.known
    }

    /// Groups of the fleet. The count is part of every message, since views of the fleet may differ and
    /// only disjoint groups may be added up.
    const fn group_count(&self) -> u16 {
        if self.known > UNGROUPED { GROUPS } else { 1 }
    }

    fn group(&self, node: id::Node) -> u16 {
        let spread = node.0.wrapping_mul(SPREAD) >> 16;
        u16::try_from(spread % u32::from(self.group_count())).unwrap_or(0)
    }

    fn tallies(&self) -> &[id::Node] {
        &self.ranked[..self.ranked.len().min(TALLIES)]
    }

    fn tallies_here(&self) -> bool {
        self.tallies().contains(&self.own)
    }

    /// The routers that count the holders of a group. Without groups these are the tallies.
    fn counters(&self, group: u16) -> Vec<id::Node> {
        if self.group_count() == 1 {
            return self.tallies().to_vec();
        }
        let first = TALLIES + usize::from(group) * COUNTERS;
        let places = (first..first + COUNTERS).map(|place| place % self.ranked.len().max(1));
        places.filter_map(|place| self.ranked.get(place).copied()).collect()
    }

    /// Begins to count the holders of another entry.
    fn count(&mut self, now: Instant, version: u64, hash: u64) {
        if (self.version, self.hash) == (version, hash) {
            return;
        }
        (self.version, self.hash) = (version, hash);
        self.restart(now);
        self.reads_without_record = 0;
        self.record = false;
    }

    fn restart(&mut self, now: Instant) {
        self.holding.clear();
        self.groups.clear();
        self.counted.clear();
        self.tell_at = now;
        self.count_at = now;
    }

    /// Holders of each group that this router has heard of directly.
    fn direct(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for node in &self.holding {
            *counts.entry(self.group(*node)).or_insert(0) += 1;
        }
        counts
    }

    /// A number of routers that hold the entry for certain. The counts of two counters of a group
    /// overlap, so the larger one counts.
    fn total(&self) -> usize {
        let mut counts = self.groups.clone();
        for (group, count) in self.direct() {
            let known = counts.entry(group).or_insert(0);
            *known = count.max(*known);
        }
        counts.values().sum()
    }
}

impl Follower {
    /// The highest version of which this router knows that more than half of the known members hold it.
    #[must_use]
    pub const fn decided(&self) -> u64 {
        self.decided
    }

    /// Whether the newest entry is not known to be decided.
    #[must_use]
    pub fn undecided(&self) -> bool {
        self.decided < self.newest()
    }

    /// Says which members this router sees, itself included, in the order of their rank for the
    /// configuration, and how many are known.
    pub fn members(
        &mut self,
        now: Instant,
        own: id::Node,
        ranked: Vec<id::Node>,
        known: usize,
    ) -> Vec<Action> {
        let before = self.mark();
        let holders = &mut self.holders;
        let groups = holders.group_count();
        (holders.own, holders.ranked, holders.known) = (own, ranked, known.max(1));
        if holders.group_count() != groups {
            holders.restart(now);
        }
        holders.tell_at = holders.tell_at.min(now);
        holders.counted.clear();
        let mut actions = Vec::new();
        self.count_holders(now, &mut actions);
        self.after_change(now, before, &mut actions);
        actions
    }

    /// Takes note that a version is decided.
    pub(super) fn decide(&mut self, version: u64) {
        if version <= self.decided {
            return;
        }
        self.decided = version;
        self.holders.record = self.rank == Some(0) && version == self.newest();
        self.put_in_force();
    }

    /// Tells others of the newest entry, and decides it if more than half hold it.
    pub(super) fn count_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let version = self.newest();
        // A router that starts counts nothing before it knows the members.
        if !self.ready || !self.undecided() || self.holders.known == 0 {
            return;
        }
        let hash = self.latest.hash.short();
        let holders = &mut self.holders;
        holders.count(now, version, hash);
        if now >= holders.tell_at {
            holders.tell_at = now + REPEAT;
            let holding = Holding { version, hash };
            for to in holders.counters(holders.group(holders.own)) {
                if to != holders.own {
                    actions.push(Action::Send { to, message: Message::Holding(holding) });
                }
            }
            holders.counted.clear();
        }
        holders.holding.insert(holders.own);
        if now >= holders.count_at && holders.group_count() > 1 {
            holders.count_at = now + COUNT_INTERVAL;
            self.send_counts(actions);
        }
        let holders = &self.holders;
        if holders.tallies_here() && holders.total() * 2 > holders.known {
            self.decide(version);
        }
    }

    /// Sends counts that have changed to the tallies.
    fn send_counts(&mut self, actions: &mut Vec<Action>) {
        let holders = &mut self.holders;
        for (group, count) in holders.direct() {
            let changed = holders.counted.get(&group) != Some(&count);
            if !changed || !holders.counters(group).contains(&holders.own) {
                continue;
            }
            holders.counted.insert(group, count);
            let held = Held {
                version: holders.version,
                hash: holders.hash,
                groups: holders.group_count(),
                group,
                count: u32::try_from(count).unwrap_or(u32::MAX),
            };
            let tallies = holders.tallies().iter().filter(|&&to| to != holders.own);
            actions.extend(tallies.map(|&to| Action::Send { to, message: Message::Held(held) }));
        }
    }

    /// Another router holds an entry. A router that knows of its decision answers with it; a counter
    /// that has no entry yet counts the next repetition.
    pub(super) fn holding(
        &mut self,
        now: Instant,
        from: id::Node,
        holding: Holding,
    ) -> Vec<Action> {
        let before = self.mark();
        let mut actions = Vec::new();
        if holding.version <= self.decided {
            let message = Message::Announcement(self.announcement(now));
            return vec![Action::Send { to: from, message }];
        }
        if (holding.version, holding.hash) == (self.newest(), self.latest.hash.short()) {
            self.holders.count(now, holding.version, holding.hash);
            self.holders.holding.insert(from);
            self.count_holders(now, &mut actions);
        } else if holding.version > self.newest() {
            self.newer(now, from, holding.version, &mut actions);
        }
        self.after_change(now, before, &mut actions);
        actions
    }

    /// A counter tells how many routers of its group hold an entry.
    pub(super) fn held(&mut self, now: Instant, from: id::Node, held: Held) -> Vec<Action> {
        let before = self.mark();
        let mut actions = Vec::new();
        if held.version <= self.decided {
            let message = Message::Announcement(self.announcement(now));
            return vec![Action::Send { to: from, message }];
        }
        let same = (held.version, held.hash) == (self.newest(), self.latest.hash.short());
        if same && held.groups == self.holders.group_count() {
            self.holders.count(now, held.version, held.hash);
            let count = usize::try_from(held.count).unwrap_or(usize::MAX);
            let known = self.holders.groups.entry(held.group).or_insert(0);
            *known = count.max(*known);
            self.count_holders(now, &mut actions);
        } else if held.version > self.newest() {
            self.newer(now, from, held.version, &mut actions);
        }
        self.after_change(now, before, &mut actions);
        actions
    }

    /// Takes the records of decisions among the keys that were read.
    pub(super) fn records_read(&mut self, pairs: &[Pair]) {
        let newest = pairs.iter().filter_map(|pair| entry::decided_version(&pair.key)).max();
        if let Some(version) = newest {
            self.decide(version);
        }
        let decided = self.decided >= self.newest() && self.newest() > 0;
        if newest == Some(self.newest()) || !decided {
            self.holders.record &= newest != Some(self.newest());
            self.holders.reads_without_record = 0;
            return;
        }
        self.holders.reads_without_record += 1;
        let missed = self.holders.reads_without_record > READS_WITHOUT_RECORD;
        self.holders.record |= self.rank == Some(0) || missed;
    }

    /// The call that records the latest decision, if one is due. A side of the fleet that reaches the
    /// store but no other side learns of the decision by it.
    pub(super) fn record_decision(&mut self, now: Instant) -> Option<Action> {
        let newest = self.newest();
        let due = std::mem::take(&mut self.holders.record) && self.decided >= newest && newest > 0;
        let hash: Box<[u8]> = self.latest.hash.short().to_be_bytes().into();
        let request = Request::Create { key: entry::decided_key(newest), value: hash.into() };
        due.then(|| self.call(now, Task::RecordDecision, request))
    }
}
