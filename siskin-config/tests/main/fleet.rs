//! Simulation of a fleet of followers and submissions in virtual time, with faults drawn from a seed.

use {
    crate::store::{Reference, Store},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    siskin_config::{
        entry,
        follower::{self, Follower, Serving, View, Watch, Watched},
        patch::Patch,
        snapshot::HEAD_KEY,
        store::{Answer, Call, Pair},
        submit::{self, Accepted, Refusal, Submission},
    },
    siskin_types::{id, time::Instant},
    siskin_wire::config::Message,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        time::Duration,
    },
};

/// Kind of fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fault {
    StalePatch,
    Race,
    LostAnswer,
    BadWatch,
    Restart,
    Partition,
    Outage,
    Rollback,
}

pub(crate) const ALL_FAULTS: [Fault; 8] = [
    Fault::StalePatch,
    Fault::Race,
    Fault::LostAnswer,
    Fault::BadWatch,
    Fault::Restart,
    Fault::Partition,
    Fault::Outage,
    Fault::Rollback,
];

/// Default number of routers.
const NODES: usize = 6;
const WATCHERS: usize = 3;
/// Small enough that snapshots are written, loaded and lost during a run, but larger than the number of
/// entries that are accepted while a call is delayed.
const SNAPSHOT_INTERVAL: u64 = 32;
const TICK: Duration = Duration::from_millis(100);
/// Time during which patches are submitted and faults injected. After that, all faults are repaired.
const FAULT_TIME: Duration = Duration::from_secs(60);
/// Duration of a run.
const END: Duration = Duration::from_secs(80);
/// A change must be in force within this time (section 1 of the design).
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// As [`IN_FORCE_LIMIT`], in a large fleet.
const IN_FORCE_LIMIT_LARGE: Duration = Duration::from_secs(19);
/// Maximum time until membership detects a change.
const DETECTION_LIMIT: Duration = Duration::from_millis(1_500);
/// A router that reaches neither the store nor half of the members stops serving within this time: the
/// grace period and the timer interval.
const ISOLATION_LIMIT: Duration = Duration::from_millis(3_200);
/// Maximum latency of a message between two routers, without and with [`Fault::BadWatch`].
const MAX_LATENCY: Duration = Duration::from_millis(5);
const MAX_SLOW_LATENCY: Duration = Duration::from_millis(400);
/// Maximum delay until a delayed call takes effect.
const MAX_CALL_DELAY: Duration = Duration::from_secs(3);
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Results of a run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) accepted: usize,
    pub(crate) stale: usize,
    pub(crate) unknown: usize,
    pub(crate) unavailable: usize,
    /// Number of snapshots written to the store.
    pub(crate) snapshots: usize,
    /// Number of pieces of snapshots received from peers.
    pub(crate) pieces: usize,
    /// Number of entries that followers created again in the store.
    pub(crate) repairs: usize,
    /// Whether two entries were created for one version.
    pub(crate) forked: bool,
    /// Whether a router detected that histories have diverged.
    pub(crate) divergence_detected: bool,
    /// Whether an accepted entry is neither in the store nor at any router.
    pub(crate) lost: bool,
}

/// Runs each combination of faults with the fixed seeds of CI and, if set, with `SISKIN_SEED`.
pub(crate) fn check(table: &[&[Fault]], seeds: u64) -> Report {
    check_fleet(NODES, table, seeds)
}

/// As [`check`], with another number of routers.
pub(crate) fn check_fleet(size: usize, table: &[&[Fault]], seeds: u64) -> Report {
    let mut total = Report::default();
    let extra = std::env::var("SISKIN_SEED").ok().map(|seed| seed.parse().unwrap());
    for faults in table {
        for seed in (0..seeds).chain(extra) {
            println!("{size} routers, faults {faults:?}, SISKIN_SEED={seed}");
            let report = Fleet::new(size, faults, seed).run();
            total.accepted += report.accepted;
            total.stale += report.stale;
            total.unknown += report.unknown;
            total.unavailable += report.unavailable;
            total.snapshots += report.snapshots;
            total.pieces += report.pieces;
            total.repairs += report.repairs;
            total.forked |= report.forked;
            total.lost |= report.lost;
        }
    }
    total
}

/// The fault `first` alone, and with each fault after it.
pub(crate) fn fault_pairs(first: Fault) -> Vec<Vec<Fault>> {
    ALL_FAULTS
        .into_iter()
        .filter(|second| *second >= first)
        .map(|second| if second == first { vec![first] } else { vec![first, second] })
        .collect()
}

#[derive(Debug)]
struct Node {
    follower: Follower,
    submissions: BTreeMap<u64, Submission>,
    incarnation: u64,
    since: Instant,
    alive: bool,
    side: usize,
    side_since: Instant,
    view: View,
    peers: Vec<usize>,
    watch: Option<Watch>,
    highest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Follower,
    Submission(u64),
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Message(usize, Message),
    Execute(Owner, Call),
    Answer(Owner, u64, Answer),
    Watched(Watched),
    UpdateView,
}

/// An event at one incarnation of a node.
#[derive(Clone, Debug)]
struct Scheduled {
    node: usize,
    incarnation: u64,
    event: Event,
}

#[derive(Clone, Debug)]
struct Success {
    version: u64,
    at: Instant,
    node: usize,
    incarnation: u64,
}

#[derive(Debug)]
struct Fleet {
    faults: Vec<Fault>,
    random: SmallRng,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Scheduled>,
    sequence: u64,
    nodes: Vec<Node>,
    store: Store,
    backups: Vec<(Instant, Store)>,
    store_up: bool,
    store_since: Instant,
    /// Whether each side of a partition reaches the store.
    store_sides: [bool; 2],
    reference: Reference,
    /// Patches by identifier, with the version of the first acceptance.
    patches: BTreeMap<String, (Patch, Option<u64>)>,
    refused: BTreeSet<String>,
    accepted: Vec<Success>,
    /// When the entry of each version was first created in the store.
    created: BTreeMap<u64, Instant>,
    size: usize,
    /// The highest version that any router has put in force.
    highest: u64,
    submitting: BTreeMap<u64, String>,
    next_patch: u64,
    report: Report,
}

impl Fleet {
    fn new(size: usize, faults: &[Fault], seed: u64) -> Self {
        let mut fleet = Self {
            faults: faults.to_vec(),
            random: SmallRng::seed_from_u64(seed),
            now: Instant::ZERO,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            nodes: Vec::new(),
            store: Store::default(),
            backups: Vec::new(),
            store_up: true,
            store_since: Instant::ZERO,
            store_sides: [true; 2],
            reference: Reference::default(),
            patches: BTreeMap::new(),
            refused: BTreeSet::new(),
            accepted: Vec::new(),
            created: BTreeMap::new(),
            size,
            highest: 0,
            submitting: BTreeMap::new(),
            next_patch: 0,
            report: Report::default(),
        };
        for node in 0..size {
            let empty = fleet.new_node(node, 1, seed);
            fleet.nodes.push(empty);
            fleet.schedule(node, Duration::ZERO, Event::UpdateView);
            fleet.schedule(node, Duration::ZERO, Event::Tick);
        }
        fleet
    }

    fn new_node(&self, node: usize, incarnation: u64, seed: u64) -> Node {
        let side = self.nodes.get(node).map_or(0, |node| node.side);
        Node {
            follower: Follower::new(follower::Options {
                seed: seed ^ node as u64 ^ incarnation << 8,
                snapshot_interval: SNAPSHOT_INTERVAL,
            }),
            submissions: BTreeMap::new(),
            incarnation,
            since: self.now,
            alive: true,
            side,
            side_since: self.now,
            view: View { visible: 1, known: self.size },
            peers: Vec::new(),
            watch: None,
            highest: 0,
        }
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn random_micros(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.random.random_range(from..to))
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }

    fn schedule(&mut self, node: usize, after: Duration, event: Event) {
        let incarnation = self.nodes[node].incarnation;
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence)));
        self.events.insert(self.sequence, Scheduled { node, incarnation, event });
    }

    fn run(mut self) -> Report {
        let mut next_step = Instant::ZERO;
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at - Instant::ZERO >= END {
                break;
            }
            self.now = at;
            while next_step <= at {
                next_step = next_step + TICK;
                self.inject_step();
            }
            let Scheduled { node, incarnation, event } = self.events.remove(&sequence).unwrap();
            let target = &self.nodes[node];
            if target.incarnation == incarnation
                && (target.alive || matches!(event, Event::Execute(..)))
            {
                self.handle(node, event);
                self.check_node(node);
            }
        }
        self.check_end();
        self.report
    }

    /// Draws the patches and faults of the next 100 ms.
    fn inject_step(&mut self) {
        let elapsed = self.now - Instant::ZERO;
        if elapsed.as_millis() % 1_000 < 100 {
            self.backups.push((self.now, self.store.clone()));
        }
        if elapsed < Duration::from_secs(3) {
            return;
        }
        if elapsed >= FAULT_TIME {
            self.repair_all_faults();
            return;
        }
        if self.random_bool(0.3) {
            self.submit_patch();
        }
        if self.has_fault(Fault::Race) && self.random_bool(0.1) {
            (0..4).for_each(|_| self.submit_patch());
        }
        if self.has_fault(Fault::Restart) && self.random_bool(0.03) {
            let node = self.random.random_range(0..self.size);
            self.restart_node(node);
        }
        if self.has_fault(Fault::Partition) && self.random_bool(0.01) {
            self.toggle_partition();
        }
        if self.has_fault(Fault::Outage)
            && self.random_bool(if self.store_up { 0.01 } else { 0.03 })
        {
            self.store_up = !self.store_up;
            self.break_watches();
        }
        if self.has_fault(Fault::Rollback) && self.random_bool(0.01) {
            self.roll_back_store();
        }
    }

    fn repair_all_faults(&mut self) {
        if !self.store_up || self.store_sides != [true; 2] {
            self.store_since = self.now;
        }
        let broken = !self.store_up || self.nodes.iter().any(|node| node.side != 0);
        self.store_up = true;
        self.store_sides = [true; 2];
        for node in 0..self.size {
            if self.nodes[node].side != 0 {
                self.nodes[node].side = 0;
                self.nodes[node].side_since = self.now;
            }
        }
        if broken {
            self.update_all_views();
        }
    }

    fn restart_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self.new_node(node, incarnation, self.sequence);
        let after = self.random_micros(0, 2_000_000);
        self.nodes[node].since = self.now + after;
        self.schedule(node, after, Event::UpdateView);
        self.schedule(node, after, Event::Tick);
    }

    fn toggle_partition(&mut self) {
        let joined = self.nodes.iter().all(|node| node.side == 0);
        for node in 0..self.size {
            let side = if joined { self.random.random_range(0..2) } else { 0 };
            self.nodes[node].side = side;
            self.nodes[node].side_since = self.now;
        }
        self.store_sides =
            if joined { [self.random_bool(0.6), self.random_bool(0.6)] } else { [true, true] };
        self.break_watches();
        self.update_all_views();
    }

    fn update_all_views(&mut self) {
        for node in 0..self.size {
            let after = self.random_micros(0, 1_500_000).min(DETECTION_LIMIT);
            self.schedule(node, after, Event::UpdateView);
        }
    }

    /// Restores the store from a backup that is two to six seconds old.
    fn roll_back_store(&mut self) {
        let age = self.random_micros(2_000_000, 6_000_000);
        let Some((_, backup)) = self.backups.iter().rev().find(|(at, _)| self.now - *at >= age)
        else {
            return;
        };
        self.store = backup.clone();
        self.break_watches();
    }

    fn break_watches(&mut self) {
        self.store_since = self.now;
        for node in 0..self.size {
            if self.nodes[node].watch.take().is_some() {
                self.schedule(node, TICK, Event::Watched(Watched::Broken));
            }
        }
    }

    fn reaches_store(&self, node: usize) -> bool {
        self.store_up && self.store_sides[self.nodes[node].side]
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now;
        let view = self.nodes[node].view;
        match event {
            Event::Tick => {
                self.schedule(node, TICK, Event::Tick);
                let actions = self.nodes[node].follower.tick(now);
                self.run_follower_actions(node, actions);
                for number in self.nodes[node].submissions.keys().copied().collect::<Vec<_>>() {
                    self.with_submission(node, number, |submission, follower| {
                        submission.tick(now, follower, view)
                    });
                }
            }
            Event::Message(from, message) => {
                if self.nodes[from].side == self.nodes[node].side {
                    self.report.pieces += usize::from(matches!(message, Message::Snapshot(_)));
                    let from = id::Node(u32::try_from(from).unwrap());
                    let actions = self.nodes[node].follower.receive_message(now, from, &message);
                    self.run_follower_actions(node, actions);
                }
            }
            Event::Execute(owner, call) => self.execute(node, owner, &call),
            Event::Answer(Owner::Follower, number, answer) => {
                let actions = self.nodes[node].follower.receive_answer(now, number, answer);
                self.run_follower_actions(node, actions);
            }
            Event::Answer(Owner::Submission(key), number, answer) => {
                self.with_submission(node, key, |submission, follower| {
                    submission.receive_answer(now, follower, view, number, answer)
                });
            }
            Event::Watched(watched) => {
                let actions = self.nodes[node].follower.watched(now, &watched);
                self.run_follower_actions(node, actions);
            }
            Event::UpdateView => self.update_view(node),
        }
    }

    /// Updates a node's view of the membership.
    fn update_view(&mut self, node: usize) {
        let side = self.nodes[node].side;
        let visible: Vec<_> =
            (0..self.size).filter(|other| self.nodes[*other].side == side).collect();
        self.nodes[node].view = View { visible: visible.len(), known: self.size };
        self.nodes[node].peers = visible.iter().copied().filter(|other| *other != node).collect();
        let rank = visible.iter().position(|other| *other == node).filter(|rank| *rank < WATCHERS);
        let ranked = visible.iter().map(|other| id::Node(u32::try_from(*other).unwrap())).collect();
        let own = id::Node(u32::try_from(node).unwrap());
        let follower = &mut self.nodes[node].follower;
        let mut actions = follower.members(self.now, own, ranked, self.size);
        actions.extend(follower.set_watcher_rank(self.now, rank));
        self.run_follower_actions(node, actions);
    }

    fn with_submission(
        &mut self,
        node: usize,
        key: u64,
        event: impl FnOnce(&mut Submission, &mut Follower) -> Vec<submit::Action>,
    ) {
        let target = &mut self.nodes[node];
        let Some(submission) = target.submissions.get_mut(&key) else { return };
        let actions = event(submission, &mut target.follower);
        self.run_submission_actions(node, key, actions);
    }

    fn run_submission_actions(&mut self, node: usize, key: u64, actions: Vec<submit::Action>) {
        for action in actions {
            match action {
                submit::Action::Store(call) => self.send_call(node, Owner::Submission(key), call),
                submit::Action::Follower(action) => self.run_follower_actions(node, vec![action]),
                submit::Action::Finish(result) => self.record_result(node, key, result),
            }
        }
    }

    fn run_follower_actions(&mut self, node: usize, actions: Vec<follower::Action>) {
        for action in actions {
            match action {
                follower::Action::Store(call) => self.send_call(node, Owner::Follower, call),
                follower::Action::Watch(watch) => self.start_watch(node, watch),
                follower::Action::Send { to, message } => self.send(node, to.0 as usize, message),
                follower::Action::Announce { fanout, announcement } => {
                    let peers = self.nodes[node].peers.clone();
                    for to in peers.choose_multiple(&mut self.random, fanout) {
                        self.send(node, *to, Message::Announcement(announcement));
                    }
                }
                follower::Action::Changed { .. } | follower::Action::Diverged(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.random_bool(0.02) {
            return;
        }
        let max_latency =
            if self.has_fault(Fault::BadWatch) { MAX_SLOW_LATENCY } else { MAX_LATENCY };
        let after = self.random_micros(500, u64::try_from(max_latency.as_micros()).unwrap());
        self.schedule(to, after, Event::Message(from, message));
    }

    fn start_watch(&mut self, node: usize, watch: Option<Watch>) {
        self.nodes[node].watch = watch;
        let Some(Watch { key, from_revision }) = &self.nodes[node].watch else { return };
        if !self.reaches_store(node) {
            self.nodes[node].watch = None;
            self.schedule(node, TICK, Event::Watched(Watched::Broken));
        } else if let Some((value, revision)) = self.store.keys.get(key)
            && revision >= from_revision
        {
            let pair = Pair { key: key.clone(), value: value.clone(), revision: *revision };
            self.send_watch_event(node, &pair);
        }
    }

    fn send_watch_event(&mut self, node: usize, pair: &Pair) {
        let bad = self.has_fault(Fault::BadWatch);
        if bad && self.random_bool(0.2) {
            return;
        }
        let copies = if bad && self.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let max_latency = if bad { 3_000_000 } else { 10_000 };
            let after = self.random_micros(500, max_latency);
            self.schedule(node, after, Event::Watched(Watched::Changed(vec![pair.clone()])));
        }
    }

    fn send_call(&mut self, node: usize, owner: Owner, call: Call) {
        let draw = if self.has_fault(Fault::LostAnswer) { self.random.random() } else { 1.0 };
        if draw < 0.2 {
            let unknown = Event::Answer(owner, call.number, Answer::Unknown);
            self.schedule(node, CALL_TIMEOUT, unknown);
        }
        if draw < 0.1 {
            // The request arrives after the caller's timeout.
            let after = self.random_micros(1_000_000, 3_000_000).min(MAX_CALL_DELAY);
            self.schedule(node, after, Event::Execute(owner, call));
        } else if draw >= 0.2 {
            let after = self.random_micros(500, 5_000);
            self.schedule(node, after, Event::Execute(owner, call));
        }
    }

    fn execute(&mut self, node: usize, owner: Owner, call: &Call) {
        if !self.reaches_store(node) {
            self.schedule(node, CALL_TIMEOUT, Event::Answer(owner, call.number, Answer::Unknown));
            return;
        }
        let (answer, written) = self.store.execute(&call.request);
        if let Some(pair) = written {
            if !self.reference.record_created(&pair) {
                self.record_fork(&pair);
            }
            self.report.snapshots += usize::from(pair.key == HEAD_KEY);
            let entry = entry::version(&pair.key).is_some();
            self.report.repairs += usize::from(entry && owner == Owner::Follower);
            if let Some(version) = entry::version(&pair.key) {
                self.created.entry(version).or_insert(self.now);
            }
            for other in 0..self.size {
                let watched = self.nodes[other].watch.as_ref().is_some_and(|watch| {
                    watch.key == pair.key && watch.from_revision <= pair.revision
                });
                if watched && self.reaches_store(other) {
                    self.send_watch_event(other, &pair);
                }
            }
        }
        let lost = self.has_fault(Fault::LostAnswer) && self.random_bool(0.2);
        let (answer, after) = if lost {
            (Answer::Unknown, CALL_TIMEOUT)
        } else {
            (answer, self.random_micros(500, 5_000))
        };
        self.schedule(node, after, Event::Answer(owner, call.number, answer));
    }

    /// Records that a second entry was created for one version, which only a rollback of the store permits.
    fn record_fork(&mut self, pair: &Pair) {
        assert!(self.has_fault(Fault::Rollback), "two entries have the key {}", pair.key);
        let version = entry::version(&pair.key).unwrap();
        let kept = self.nodes.iter().any(|node| node.follower.newest() >= version);
        let accepted = self.accepted.iter().any(|success| success.version >= version);
        match (kept, accepted) {
            (false, false) => self.reference.replace(pair),
            (true, _) => self.report.forked = true,
            // The store lost the entry, and the only router that had it was restarted.
            (false, true) => self.report.lost = true,
        }
    }

    fn submit_patch(&mut self) {
        let node = self.random.random_range(0..self.size);
        if !self.nodes[node].follower.ready() {
            return;
        }
        let repeated = self.random_bool(0.1);
        let known: Vec<_> = self
            .patches
            .values()
            .filter(|(_, result)| result.is_some() || self.report.unknown > 0)
            .map(|(patch, _)| patch.clone())
            .collect();
        let patch = match known.choose(&mut self.random) {
            Some(patch) if repeated => patch.clone(),
            _ => self.random_patch(node),
        };
        self.refused.remove(&patch.id);
        let key = self.sequence;
        self.submitting.insert(key, patch.id.clone());
        self.patches.entry(patch.id.clone()).or_insert((patch.clone(), None));
        let target = &mut self.nodes[node];
        let options = submit::Options { patch, time_ms: self.now.as_micros() / 1_000 };
        let (submission, actions) =
            Submission::start(self.now, options, &mut target.follower, target.view);
        target.submissions.insert(key, submission);
        self.sequence += 1;
        self.run_submission_actions(node, key, actions);
    }

    /// Creates a patch against the node's version. Some patches are stale and some are invalid.
    fn random_patch(&mut self, node: usize) -> Patch {
        self.next_patch += 1;
        let number = self.random.random_range(0..20);
        let name = format!("customer-{number}");
        let exists = self.nodes[node].follower.document().customers.contains(&name);
        // A weight of zero is invalid.
        let weight = if self.random_bool(0.05) { 0 } else { self.random.random_range(1..1_000) };
        let customer = match self.random.random_range(0..4) {
            0 if exists => serde_json::Value::Null,
            1 if exists => serde_json::json!({ "weight": weight }),
            _ => serde_json::json!({
                "id": number, "weight": weight, "max_in_flight": 4, "max_queue": 16
            }),
        };
        let late =
            if self.has_fault(Fault::StalePatch) { self.random.random_range(0..3) } else { 0 };
        Patch {
            id: format!("patch-{}", self.next_patch),
            base: self.nodes[node].follower.version().saturating_sub(late),
            author: "operator".to_owned(),
            changes: serde_json::json!({ "customers": { name: customer } }),
        }
    }

    fn record_result(&mut self, node: usize, key: u64, result: Result<Accepted, Refusal>) {
        self.nodes[node].submissions.remove(&key);
        let id = self.submitting.remove(&key).unwrap();
        match result {
            Ok(Accepted { version }) => self.record_success(node, &id, version),
            Err(Refusal::Unknown) => self.report.unknown += 1,
            Err(refusal @ (Refusal::Stale { .. } | Refusal::Invalid(_))) => {
                self.report.stale += usize::from(matches!(refusal, Refusal::Stale { .. }));
                self.refused.insert(id);
            }
            // The patch may have been accepted at another router with the same identifier.
            Err(_) => self.report.unavailable += 1,
        }
    }

    fn record_success(&mut self, node: usize, id: &str, version: u64) {
        let first = &mut self.patches.get_mut(id).unwrap().1;
        if let Some(first) = first {
            assert_eq!(*first, version, "{id} was accepted twice, at {first} and {version}");
            return;
        }
        *first = Some(version);
        if !self.report.forked && !self.report.lost {
            assert_eq!(
                self.reference.patch(version).as_deref(),
                Some(id),
                "accepted patch of version {version}"
            );
        }
        let incarnation = self.nodes[node].incarnation;
        self.report.accepted += 1;
        self.accepted.push(Success { version, at: self.now, node, incarnation });
    }

    fn check_node(&mut self, node: usize) {
        let now = self.now;
        let reaches = self.reaches_store(node);
        let Node { follower, view, highest, incarnation, .. } = &mut self.nodes[node];
        let serving = follower.serving(now, reaches, *view);
        let version = follower.version();
        let ready = follower.ready();
        let view_is_stable =
            !self.faults.iter().any(|f| [Fault::Partition, Fault::Restart].contains(f));
        assert!(
            serving == Serving::Serve || !ready || !view_is_stable || view.visible == 1,
            "node {node} refuses work although it reaches the whole fleet"
        );
        assert!(version >= *highest, "node {node} went from version {highest} to {version}");
        *highest = version;
        let incarnation = *incarnation;
        if version > self.highest {
            // A version that is in force at any router counts as accepted, regardless of the operator's answer.
            self.highest = version;
            self.accepted.push(Success { version, at: now, node, incarnation });
        }
        self.report.divergence_detected |= follower.divergence().is_some();
        if self.report.forked || self.report.lost {
            return;
        }
        if !self.has_fault(Fault::Rollback) {
            self.check_freshness(node);
        }
        let due = self.accepted.iter().rev().take_while(|success| now - success.at < END);
        for success in due.filter(|success| success.version > version) {
            self.check_missing(node, success, serving);
        }
    }

    /// Checks that a node does not report its version as confirmed at a time when a newer one existed.
    fn check_freshness(&self, node: usize) {
        let follower = &self.nodes[node].follower;
        let Some(age) = follower.confirmation_age(self.now) else { return };
        let Some(created) = self.created.get(&(follower.newest() + 1)) else { return };
        let claimed = Instant::from_micros(
            self.now.as_micros().saturating_sub(u64::try_from(age.as_micros()).unwrap()),
        );
        assert!(
            claimed <= *created,
            "node {node} reports its version as confirmed {age:?} ago, {:?} after a newer one was created",
            claimed - *created
        );
    }

    /// Checks a node that lacks an accepted version: either it cannot have received it, or the time limit has
    /// not passed.
    fn check_missing(&self, node: usize, success: &Success, serving: Serving) {
        let Success { version, at, .. } = success;
        let (here, there) = (&self.nodes[node], &self.nodes[success.node]);
        let late = self.now - *at;
        let joined = here.side == there.side
            && there.incarnation == success.incarnation
            && self.now - here.since.max(here.side_since).max(there.side_since) > IN_FORCE_LIMIT;
        assert!(
            !joined || late <= IN_FORCE_LIMIT,
            "node {node} lacks version {version}, accepted {late:?} ago by reachable node {}",
            success.node
        );
        // A restarted router cannot learn of an entry that the store has lost.
        let reaches = self.reaches_store(node);
        let known = !reaches || self.store.contains_version(*version);
        let changed = here.since.max(here.side_since).max(self.store_since);
        let bound = if reaches { IN_FORCE_LIMIT } else { DETECTION_LIMIT + ISOLATION_LIMIT };
        assert!(
            serving != Serving::Serve || !known || self.now - changed.max(*at) <= bound,
            "node {node} with {:?} and newest version {} still serves although version {version} was \
             accepted {late:?} ago",
            here.view,
            here.follower.newest()
        );
    }

    fn check_end(&mut self) {
        if self.report.lost {
            return;
        }
        if self.report.forked {
            // Another rollback may have removed the second entry before any router read it.
            let differs = (1..).zip(&self.reference.entries).any(|(version, ours)| {
                let stored_entry = self.store.keys.get(&entry::key(version));
                stored_entry.is_some_and(|(value, _)| value != ours)
            });
            assert!(
                !differs || self.report.divergence_detected,
                "no router detected that histories diverged"
            );
            return;
        }
        let newest = self.reference.entries.len() as u64;
        let want = self.reference.document(newest);
        for (number, node) in self.nodes.iter().enumerate() {
            assert_eq!(node.follower.version(), newest, "last version of node {number}");
            let document = serde_json::to_value(node.follower.document()).unwrap();
            let mut document = document;
            fill_defaults(&mut document);
            let mut want = want.clone();
            fill_defaults(&mut want);
            assert_eq!(document, want, "document of node {number}");
            let confirmed = node.follower.confirmation_age(self.now).unwrap();
            // Section 1 of the design: 5 s in a fleet of today's size, 19 s in a large fleet.
            let bound = if self.size > NODES { IN_FORCE_LIMIT_LARGE } else { IN_FORCE_LIMIT };
            // With a third of the calls to the store lost, all watchers may fail to confirm for seconds.
            assert!(
                confirmed <= bound || self.has_fault(Fault::LostAnswer),
                "node {number} confirmed its version {confirmed:?} ago"
            );
            assert!(!node.follower.diverged(self.now), "node {number} reports a divergence");
        }
        let snapshot = self.store.snapshot();
        let base = snapshot.as_ref().map_or(0, |snapshot| snapshot.version);
        for version in base + 1..=newest {
            let stored_entry = self.store.keys.get(&entry::key(version)).map(|(value, _)| value);
            let want = &self.reference.entries[usize::try_from(version - 1).unwrap()];
            assert_eq!(stored_entry, Some(want), "entry {version} in the store");
        }
        if let Some(snapshot) = snapshot {
            let mut document = serde_json::to_value(&snapshot.document).unwrap();
            let mut want = self.reference.document(base);
            fill_defaults(&mut document);
            fill_defaults(&mut want);
            assert_eq!(document, want, "document of the snapshot");
        }
        assert!(newest < base + 2 * SNAPSHOT_INTERVAL, "no snapshot of {newest} after {base}");
        for id in &self.refused {
            let found =
                (1..=newest).any(|version| self.reference.patch(version).as_ref() == Some(id));
            assert!(!found, "{id} was refused but is in the history");
        }
    }
}

/// Adds the default weights, which the document omits on serialisation but the reference merge keeps.
fn fill_defaults(document: &mut serde_json::Value) {
    let customers = document.as_object_mut().unwrap().entry("customers");
    let customers = customers.or_insert_with(|| serde_json::json!({}));
    for customer in customers.as_object_mut().unwrap().values_mut() {
        customer.as_object_mut().unwrap().entry("weight").or_insert_with(|| 1.into());
    }
}
