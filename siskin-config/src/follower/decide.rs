//! Determines whether an entry is decided: whether more than half of the known members hold it.
//!
//! An entry comes into force only once it is known to be decided. A network partition that may serve
//! without the store has at least half of the members, so one of them holds the entry and the partition
//! learns of it.
//!
//! Holders are counted by a two-level aggregation tree: every router reports to two aggregators of its
//! group that it holds the entry, the group aggregators send their counts to the root aggregators, and
//! these add up the groups. No router receives messages from the whole fleet.

use {
    super::{Action, Follower, task::Task},
    crate::{entry, store::Pair, store::Request},
    siskin_types::{id, time::Instant},
    siskin_wire::config::{Acknowledgement, Message, Tally},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of routers that add up the group counts, so that the loss of one or two does not delay a
/// decision.
const ROOT_AGGREGATORS: usize = 3;

/// Number of aggregators of each group.
const GROUP_AGGREGATORS: usize = 2;

/// Number of groups of a large fleet, which limits the messages that each root aggregator receives.
const GROUPS: u16 = 24;

/// Largest fleet without groups, whose routers report to the root aggregators directly.
const MAX_UNGROUPED: usize = 32;

/// Interval at which a router repeats its report of an entry until it learns that the entry is decided.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval between the counts that a group aggregator sends.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Number of reads without a decision record after which a watcher other than the first writes it.
const READS_WITHOUT_RECORD: u32 = 2;

/// Multiplier that spreads consecutive node numbers over the groups (2^32 divided by the golden ratio).
const GROUP_MULTIPLIER: u32 = 0x9e37_79b9;

/// Count of the routers that hold the newest entry.
#[derive(Debug)]
pub(super) struct Holders {
    own: id::Node,
    ranked: Vec<id::Node>,
    /// Number of known members; zero until this router knows any.
    known: usize,
    version: u64,
    hash: u64,
    nodes: BTreeSet<id::Node>,
    groups: BTreeMap<u16, usize>,
    report_at: Instant,
    send_counts_at: Instant,
    sent_counts: BTreeMap<u16, usize>,
    record_due: bool,
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
            nodes: BTreeSet::new(),
            groups: BTreeMap::new(),
            report_at: Instant::ZERO,
            send_counts_at: Instant::ZERO,
            sent_counts: BTreeMap::new(),
            record_due: false,
            reads_without_record: 0,
        }
    }
}

impl Holders {
    /// Number of known members.
    pub(super) const fn known(&self) -> usize {
        self.known
    }

    /// Number of groups of the fleet. It is part of every count message, since routers' views of the
    /// fleet may differ and only disjoint groups may be added up.
    const fn group_count(&self) -> u16 {
        if self.known > MAX_UNGROUPED { GROUPS } else { 1 }
    }

    fn group(&self, node: id::Node) -> u16 {
        let spread = node.0.wrapping_mul(GROUP_MULTIPLIER) >> 16;
        u16::try_from(spread % u32::from(self.group_count())).unwrap_or(0)
    }

    fn root_aggregators(&self) -> &[id::Node] {
        &self.ranked[..self.ranked.len().min(ROOT_AGGREGATORS)]
    }

    fn is_root_aggregator(&self) -> bool {
        self.root_aggregators().contains(&self.own)
    }

    /// The routers that count the holders of a group. Without groups these are the root aggregators.
    fn group_aggregators(&self, group: u16) -> Vec<id::Node> {
        if self.group_count() == 1 {
            return self.root_aggregators().to_vec();
        }
        let first = ROOT_AGGREGATORS + usize::from(group) * GROUP_AGGREGATORS;
        let places =
            (first..first + GROUP_AGGREGATORS).map(|place| place % self.ranked.len().max(1));
        places.filter_map(|place| self.ranked.get(place).copied()).collect()
    }

    /// Starts to count the holders of an entry, unless they are being counted already.
    fn count_entry(&mut self, now: Instant, version: u64, hash: u64) {
        if (self.version, self.hash) == (version, hash) {
            return;
        }
        (self.version, self.hash) = (version, hash);
        self.reset(now);
        self.reads_without_record = 0;
        self.record_due = false;
    }

    fn reset(&mut self, now: Instant) {
        self.nodes.clear();
        self.groups.clear();
        self.sent_counts.clear();
        self.report_at = now;
        self.send_counts_at = now;
    }

    /// Number of holders of each group that reported to this router directly.
    fn direct_counts(&self) -> BTreeMap<u16, usize> {
        let mut counts = BTreeMap::new();
        for node in &self.nodes {
            *counts.entry(self.group(*node)).or_insert(0) += 1;
        }
        counts
    }

    /// A lower bound of the number of routers that hold the entry. The counts of the two aggregators of
    /// a group overlap, so only the larger one is added.
    fn total(&self) -> usize {
        let mut counts = self.groups.clone();
        for (group, count) in self.direct_counts() {
            let known = counts.entry(group).or_insert(0);
            *known = count.max(*known);
        }
        counts.values().sum()
    }
}

impl Follower {
    /// The highest version that is known to be held by more than half of the known members.
    #[must_use]
    pub const fn decided(&self) -> u64 {
        self.decided
    }

    /// Whether the newest entry is not yet known to be decided.
    #[must_use]
    pub fn undecided(&self) -> bool {
        self.decided < self.newest()
    }

    /// Sets the reachable members, this router included, in the order of their rank for the
    /// configuration, and the number of known members.
    pub fn members(
        &mut self,
        now: Instant,
        own: id::Node,
        ranked: Vec<id::Node>,
        known: usize,
    ) -> Vec<Action> {
        let before = self.known_versions();
        let holders = &mut self.holders;
        let groups = holders.group_count();
        (holders.own, holders.ranked, holders.known) = (own, ranked, known.max(1));
        if holders.group_count() != groups {
            holders.reset(now);
        }
        holders.report_at = holders.report_at.min(now);
        holders.sent_counts.clear();
        let mut actions = Vec::new();
        self.count_holders(now, &mut actions);
        self.report_changes(now, before, &mut actions);
        actions
    }

    /// Records that a version is decided.
    pub(super) fn mark_decided(&mut self, version: u64) {
        if version <= self.decided {
            return;
        }
        self.decided = version;
        self.holders.record_due = self.rank == Some(0) && version == self.newest();
        self.put_latest_in_force();
    }

    /// Reports the newest entry to the aggregators, and marks it as decided if a majority holds it.
    pub(super) fn count_holders(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let version = self.newest();
        // A starting router does not count before it knows the members.
        if !self.ready || !self.undecided() || self.holders.known == 0 {
            return;
        }
        let hash = self.latest.hash.short();
        let holders = &mut self.holders;
        holders.count_entry(now, version, hash);
        if now >= holders.report_at {
            holders.report_at = now + REPORT_INTERVAL;
            let holding = Acknowledgement { version, hash };
            for to in holders.group_aggregators(holders.group(holders.own)) {
                if to != holders.own {
                    actions.push(Action::Send { to, message: Message::Acknowledgement(holding) });
                }
            }
            holders.sent_counts.clear();
        }
        holders.nodes.insert(holders.own);
        if now >= holders.send_counts_at && holders.group_count() > 1 {
            holders.send_counts_at = now + COUNT_INTERVAL;
            self.send_counts(actions);
        }
        let holders = &self.holders;
        if holders.is_root_aggregator() && holders.total() * 2 > holders.known {
            self.mark_decided(version);
        }
    }

    /// Sends counts that have changed to the root aggregators.
    fn send_counts(&mut self, actions: &mut Vec<Action>) {
        let holders = &mut self.holders;
        for (group, count) in holders.direct_counts() {
            let changed = holders.sent_counts.get(&group) != Some(&count);
            if !changed || !holders.group_aggregators(group).contains(&holders.own) {
                continue;
            }
            holders.sent_counts.insert(group, count);
            let held = Tally {
                version: holders.version,
                hash: holders.hash,
                groups: holders.group_count(),
                group,
                count: u32::try_from(count).unwrap_or(u32::MAX),
            };
            let root_aggregators =
                holders.root_aggregators().iter().filter(|&&to| to != holders.own);
            actions.extend(
                root_aggregators.map(|&to| Action::Send { to, message: Message::Tally(held) }),
            );
        }
    }

    /// Processes the report that another router holds an entry. If the entry is known to be decided, the
    /// answer says so. An aggregator that lacks the entry fetches it and counts the next repetition.
    pub(super) fn receive_holding(
        &mut self,
        now: Instant,
        from: id::Node,
        holding: Acknowledgement,
    ) -> Vec<Action> {
        let before = self.known_versions();
        let mut actions = Vec::new();
        if holding.version <= self.decided {
            let message = Message::Announcement(self.announcement(now));
            return vec![Action::Send { to: from, message }];
        }
        if (holding.version, holding.hash) == (self.newest(), self.latest.hash.short()) {
            self.holders.count_entry(now, holding.version, holding.hash);
            self.holders.nodes.insert(from);
            self.count_holders(now, &mut actions);
        } else if holding.version > self.newest() {
            self.fetch_newer(now, from, holding.version, &mut actions);
        }
        self.report_changes(now, before, &mut actions);
        actions
    }

    /// Processes a group aggregator's count of the routers that hold an entry.
    pub(super) fn receive_held(
        &mut self,
        now: Instant,
        from: id::Node,
        held: Tally,
    ) -> Vec<Action> {
        let before = self.known_versions();
        let mut actions = Vec::new();
        if held.version <= self.decided {
            let message = Message::Announcement(self.announcement(now));
            return vec![Action::Send { to: from, message }];
        }
        let same = (held.version, held.hash) == (self.newest(), self.latest.hash.short());
        if same && held.groups == self.holders.group_count() {
            self.holders.count_entry(now, held.version, held.hash);
            let count = usize::try_from(held.count).unwrap_or(usize::MAX);
            let known = self.holders.groups.entry(held.group).or_insert(0);
            *known = count.max(*known);
            self.count_holders(now, &mut actions);
        } else if held.version > self.newest() {
            self.fetch_newer(now, from, held.version, &mut actions);
        }
        self.report_changes(now, before, &mut actions);
        actions
    }

    /// Processes the decision records among the keys that were read.
    pub(super) fn process_decision_records(&mut self, pairs: &[Pair]) {
        let newest = pairs.iter().filter_map(|pair| entry::decided_version(&pair.key)).max();
        if let Some(version) = newest {
            self.mark_decided(version);
        }
        let decided = self.decided >= self.newest() && self.newest() > 0;
        if newest == Some(self.newest()) || !decided {
            self.holders.record_due &= newest != Some(self.newest());
            self.holders.reads_without_record = 0;
            return;
        }
        self.holders.reads_without_record += 1;
        let missed = self.holders.reads_without_record > READS_WITHOUT_RECORD;
        self.holders.record_due |= self.rank == Some(0) || missed;
    }

    /// The call that writes the record of the latest decision, if it is due. A network partition that
    /// reaches the store but no other partition learns of the decision from this record.
    pub(super) fn record_decision(&mut self, now: Instant) -> Option<Action> {
        let newest = self.newest();
        let due =
            std::mem::take(&mut self.holders.record_due) && self.decided >= newest && newest > 0;
        let hash: Box<[u8]> = self.latest.hash.short().to_be_bytes().into();
        let request = Request::Create { key: entry::decided_key(newest), value: hash.into() };
        due.then(|| self.start_call(now, Task::RecordDecision, request))
    }
}
