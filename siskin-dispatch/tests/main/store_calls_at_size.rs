//! Load: endpoints of a large fleet are added and removed all the time. If every router read every change, the calls to
//! the store would grow with the fleet, although all routers read the same. If only some read, a change must not be
//! late where one of them cannot reach the store.

use {
    crate::fixture::NOW,
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::{
        reading::{Freshness, Limits},
        share::Ledger,
        spread::{Exchange, Role, Router},
    },
    siskin_types::{id::Node, time::Instant},
    siskin_wire::load::{Digest, Scope},
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(10);
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);
const LIMITS: Limits = Limits { propagation: PROPAGATION_LIMIT, recovery: Duration::from_secs(5) };
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
const ZONES: u32 = 6;

/// Delay after a failed call.
const BACKOFF: Duration = Duration::from_millis(1_200);

/// What a router is doing with the store.
enum Mode {
    /// Relies on its hub.
    Delegating,
    /// The store holds its watch until this time.
    Watching(Instant),
    /// Waits until this time for further changes.
    Pausing(Instant),
}

struct RouterNode {
    router: Router,
    exchange: Exchange,
    reading: Freshness,
    mode: Mode,
    /// Number of the last change that it knows.
    known: u64,
    next_digest: Instant,
    /// Whether the store can be reached.
    store_reachable: bool,
}

struct Fleet {
    now: Instant,
    nodes: Vec<RouterNode>,
    /// Digests in transit, with the time of their arrival.
    in_transit: Vec<(Instant, Node, usize, Digest)>,
    /// Network delay of a digest.
    network_delay: Duration,
    /// When each change was made.
    changes: Vec<Instant>,
    calls: u64,
    /// Longest time until a router knew a change, among the routers that can reach the store.
    longest_delay: Duration,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let router = |node| Router {
            node: Node(node),
            data_centre: format!("zone-{}", node % ZONES),
            millicores: 120,
        };
        let routers: Vec<Router> = (0..count).map(router).collect();
        let node = |router: &Router| {
            let mut exchange = Exchange::new(router.node);
            exchange.list(&routers);
            RouterNode {
                router: router.clone(),
                exchange,
                reading: Freshness::new(LIMITS),
                mode: Mode::Watching(NOW),
                known: 0,
                next_digest: NOW + Duration::from_millis(u64::from(router.node.0 % 50)),
                store_reachable: true,
            }
        };
        Self {
            now: NOW,
            nodes: routers.iter().map(node).collect(),
            in_transit: Vec::new(),
            network_delay: STEP,
            changes: Vec::new(),
            calls: 0,
            longest_delay: Duration::ZERO,
        }
    }

    fn newest(&self) -> u64 {
        self.changes.len() as u64
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            if self.changes.last().is_none_or(|last| self.now - *last >= CHANGE_INTERVAL) {
                self.changes.push(self.now);
            }
            self.deliver();
            for index in 0..self.nodes.len() {
                self.step_store_reads(index);
                self.send_digests(index);
                self.record_delay(index);
            }
        }
    }

    /// Runs for this time and returns the number of store calls of all routers.
    fn count_calls_during(&mut self, time: Duration) -> u64 {
        let before = self.calls;
        self.run(time);
        self.calls - before
    }

    fn step_store_reads(&mut self, index: usize) {
        let (now, newest, routers) = (self.now, self.newest(), self.nodes.len());
        let node = &mut self.nodes[index];
        let hub_read_suffices = node.reading.hub_read_suffices(now);
        match node.mode {
            Mode::Delegating if hub_read_suffices => return,
            Mode::Pausing(until) if now < until => return,
            Mode::Watching(until)
                if now < until && (node.known == newest || !node.store_reachable) =>
            {
                return;
            }
            _ => {}
        }
        if node.store_reachable && !matches!(node.mode, Mode::Delegating) {
            node.reading.read(now);
        }
        let changed = node.store_reachable && node.known < newest;
        if changed {
            node.known = newest;
        }
        node.reading.set_delegates_to_hub(hub_read_suffices);
        node.mode = match node.mode {
            _ if hub_read_suffices => Mode::Delegating,
            Mode::Watching(_) if changed => Mode::Pausing(now + node.reading.pause(routers)),
            _ if !node.store_reachable => {
                self.calls += 1;
                Mode::Pausing(now + BACKOFF)
            }
            _ => {
                self.calls += 1;
                Mode::Watching(now + node.reading.watch_timeout(now))
            }
        };
    }

    fn send_digests(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if now < node.next_digest {
            return;
        }
        let due = node.exchange.due(now, &mut IndexMap::new(), IndexMap::new());
        node.next_digest = now + node.exchange.interval();
        node.reading.set_role(due.role);
        for (to, digest) in due.digests {
            let age = node.reading.age(now, digest.scope);
            let store_age_ms =
                age.map_or(Digest::NEVER, |age| u16::try_from(age.as_millis()).unwrap());
            let digest = Digest { directory_position: node.known.into(), store_age_ms, ..digest };
            let arrives = now + self.network_delay;
            self.in_transit.push((arrives, node.router.node, to.0 as usize, digest));
        }
    }

    fn deliver(&mut self) {
        let mut ledger = Ledger::new(PROPAGATION_LIMIT, 1.0);
        let arrived = |(arrives, ..): &mut (Instant, Node, usize, Digest)| *arrives <= self.now;
        let digests: Vec<_> = self.in_transit.extract_if(.., arrived).collect();
        for (_, from, to, digest) in digests {
            let node = &mut self.nodes[to];
            let pools = std::iter::empty();
            let counted = node.exchange.take(self.now, from, &digest, pools, &mut ledger);
            if !counted || digest.scope == Scope::Own {
                continue;
            }
            if digest.directory_position.number() > node.known {
                // It asks the hub, which answers at once. A router that reads the store itself asks only if the store
                // does not answer.
                if node.reading.delegates_to_hub() || !node.store_reachable {
                    node.known = digest.directory_position.number();
                }
            } else if digest.store_age_ms != Digest::NEVER {
                let age = Duration::from_millis(u64::from(digest.store_age_ms));
                node.reading.told(self.now, age);
            }
        }
    }

    fn record_delay(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(missed) = self.changes.get(usize::try_from(node.known).unwrap()) else { return };
        if node.store_reachable {
            self.longest_delay = self.longest_delay.max(self.now - *missed);
        }
    }

    /// The routers that read the store themselves, which are the hubs.
    fn hubs(&self) -> Vec<usize> {
        let reads = |node: &RouterNode| !matches!(node.mode, Mode::Delegating);
        (0..self.nodes.len()).filter(|&index| reads(&self.nodes[index])).collect()
    }
}

/// Guards against store calls that grow as fast as the fleet while changes are frequent.
#[googletest::test]
fn store_calls_grow_slower_than_the_fleet() {
    struct Case {
        name: &'static str,
        routers: u32,
        /// Most calls of the whole fleet per second.
        calls_max: u64,
    }
    let cases = [
        Case { name: "200 routers", routers: 200, calls_max: 50 },
        Case { name: "300 routers", routers: 300, calls_max: 70 },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.routers);
        fleet.run(Duration::from_secs(3));
        fleet.longest_delay = Duration::ZERO;
        let calls = fleet.count_calls_during(Duration::from_secs(20));
        expect_that!(calls, le(20 * case.calls_max), "{}", case.name);
        expect_that!(fleet.longest_delay, le(PROPAGATION_LIMIT.mul_f64(0.6)), "{}", case.name);
    }
}

/// Guards against members that rely on a hub which no longer receives changes from the store.
#[googletest::test]
fn change_is_in_force_in_time_while_hubs_are_cut_off_from_the_store() {
    let mut fleet = Fleet::new(200);
    fleet.run(Duration::from_secs(3));
    for hub in fleet.hubs() {
        fleet.nodes[hub].store_reachable = false;
    }
    fleet.longest_delay = Duration::ZERO;
    fleet.run(Duration::from_secs(6));
    expect_that!(fleet.longest_delay, le(PROPAGATION_LIMIT));
}

/// Guards against hubs that report each other's reads back, so that no read ever looks old: digests are slow, and their
/// network delay is not added to the age.
#[googletest::test]
fn age_of_a_read_is_not_reset_by_hubs_that_repeat_it() {
    let mut fleet = Fleet::new(200);
    fleet.network_delay = Duration::from_millis(200);
    fleet.run(Duration::from_secs(3));
    for hub in fleet.hubs() {
        fleet.nodes[hub].store_reachable = false;
    }
    fleet.longest_delay = Duration::ZERO;
    fleet.run(Duration::from_secs(12));
    expect_that!(fleet.longest_delay, le(PROPAGATION_LIMIT));
}

/// Guards against members that all read the store themselves because it rejects their hub but serves the other hubs.
#[googletest::test]
fn hub_rejected_by_the_store_relies_on_other_hubs() {
    let mut fleet = Fleet::new(200);
    fleet.run(Duration::from_secs(3));
    let calls_before = fleet.count_calls_during(Duration::from_secs(20));
    for hub in fleet.hubs().into_iter().step_by(2) {
        fleet.nodes[hub].store_reachable = false;
    }
    fleet.run(Duration::from_secs(2));
    fleet.longest_delay = Duration::ZERO;
    expect_that!(fleet.count_calls_during(Duration::from_secs(20)), le(calls_before));
    expect_that!(fleet.longest_delay, le(PROPAGATION_LIMIT.mul_f64(0.6)));
}

/// Guards against a hub that resumes after a suspension and still reports a read from before it.
#[googletest::test]
fn read_before_a_suspension_does_not_count() {
    let mut reading = Freshness::new(LIMITS);
    reading.read(NOW);
    reading.reset();
    expect_that!(reading.age(NOW, Scope::Fleet), none());
}

/// Guards against time limits of calls that are longer than the time in which a router has to know all changes again: a call
/// that reaches the store during an outage has no response.
#[googletest::test]
fn lost_reads_are_repeated_within_the_recovery_limit() {
    struct Case {
        name: &'static str,
        propagation_ms: u64,
        recovery_ms: u64,
    }
    let cases = [
        Case { name: "8 routers", propagation_ms: 2_000, recovery_ms: 3_000 },
        Case { name: "73 routers", propagation_ms: 3_000, recovery_ms: 4_000 },
        Case { name: "195 routers", propagation_ms: 4_000, recovery_ms: 5_000 },
        Case { name: "short recovery", propagation_ms: 2_000, recovery_ms: 1_500 },
        Case { name: "long recovery", propagation_ms: 2_000, recovery_ms: 30_000 },
    ];
    for case in cases {
        let recovery = Duration::from_millis(case.recovery_ms);
        let propagation = Duration::from_millis(case.propagation_ms);
        let mut reading = Freshness::new(Limits { propagation, recovery });
        // Part of the limit that is left for the read that succeeds.
        let most = recovery.mul_f64(0.7);
        let list_lost = reading.response_timeout().max(reading.retry_delay_max());
        expect_that!(list_lost, le(most), "{}: list", case.name);
        for role in [Role::Peer, Role::Member, Role::Hub] {
            reading.set_role(role);
            let watch_lost = reading.watch_timeout(NOW) + reading.response_timeout();
            expect_that!(watch_lost, le(most), "{}: watch of {role:?}", case.name);
            let known_late = reading.watch_timeout(NOW);
            expect_that!(known_late, le(propagation.mul_f64(1.5)), "{}: {role:?}", case.name);
        }
    }
}

/// Guards against a router that calls the store without a pause because its settings name no time.
#[googletest::test]
fn watches_are_held_for_a_while_without_time_limits() {
    let limits = Limits { propagation: Duration::ZERO, recovery: Duration::ZERO };
    let mut reading = Freshness::new(limits);
    for role in [Role::Peer, Role::Member, Role::Hub] {
        reading.set_role(role);
        expect_that!(reading.watch_timeout(NOW), ge(Duration::from_millis(100)), "{role:?}");
        expect_that!(reading.response_timeout(), ge(Duration::from_millis(300)), "{role:?}");
    }
}
