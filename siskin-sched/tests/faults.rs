//! Failures of owners and routers, partitions and combinations of them; fleet-wide caps with and without faults.

use crate::harness::{Arrivals, CI_SEEDS, Fleet, Net, SECOND, Setup, Source, seeds};

/// Time that membership takes to detect a failure or a partition.
const DETECTION_TIME: u64 = 2_500_000;

struct Case {
    name: &'static str,
    /// The fault, injected between seconds 10 and 40.
    inject_fault: fn(&mut Fleet),
    /// Largest permitted excess over an endpoint's limit, as a multiple of the limit.
    excess: u32,
    /// Lowest permitted utilisation from second 5 to second 60.
    utilisation: f64,
}

const LIMIT: u32 = 6;
const ROUTERS: usize = 6;

fn setup(seed: u64, drift: i64) -> Setup {
    let mut setup = Setup::new(ROUTERS, &[LIMIT; 4], 8);
    setup.seed = seed;
    setup.drift = drift;
    setup.net = Net { delay: 500, jitter: 1_000, loss: 0.01, duplication: 0.01 };
    for customer in 0..8 {
        for router in 0..ROUTERS {
            if customer == 0 || (customer as usize + router).is_multiple_of(2) {
                setup.sources.push(Source::new(customer, router, Arrivals::Backlog(8)));
            }
        }
    }
    setup
}

/// Partitions the first two routers, one of them the owner, from the others for 15 s.
fn partition(fleet: &mut Fleet) {
    fleet.partition(|node| u8::from(node < 2));
    fleet.run(fleet.now + DETECTION_TIME);
    fleet.update_membership();
    fleet.run(fleet.now + 15 * SECOND);
    fleet.partition(|_| 0);
    fleet.run(fleet.now + DETECTION_TIME);
    fleet.update_membership();
}

fn kill_owner(fleet: &mut Fleet) {
    fleet.kill(0);
    fleet.run(fleet.now + DETECTION_TIME);
    fleet.update_membership();
}

const CASES: &[Case] = &[
    Case { name: "owner dies", inject_fault: kill_owner, excess: 0, utilisation: 0.93 },
    Case {
        name: "owner dies and returns",
        inject_fault: |fleet| {
            kill_owner(fleet);
            fleet.run(fleet.now + SECOND);
            fleet.restart(0);
            fleet.update_membership();
        },
        excess: 1,
        utilisation: 0.9,
    },
    Case {
        name: "owner restarts unnoticed by membership",
        inject_fault: |fleet| {
            fleet.restart(0);
            fleet.update_membership();
        },
        excess: 0,
        utilisation: 0.93,
    },
    Case {
        name: "router restarts without memory while backlogged",
        inject_fault: |fleet| {
            fleet.restart(4);
            fleet.update_membership();
            fleet.run(fleet.now + SECOND / 10);
            fleet.restart(4);
            fleet.update_membership();
        },
        excess: 0,
        utilisation: 0.95,
    },
    Case {
        name: "partition opens and heals",
        inject_fault: partition,
        excess: 1,
        utilisation: 0.85,
    },
    Case {
        name: "owner dies during a partition",
        inject_fault: |fleet| {
            fleet.partition(|node| u8::from(node < 2));
            fleet.run(fleet.now + DETECTION_TIME);
            fleet.update_membership();
            kill_owner(fleet);
            fleet.partition(|_| 0);
            fleet.update_membership();
        },
        excess: 1,
        utilisation: 0.85,
    },
    Case {
        name: "two owners die one after the other",
        inject_fault: |fleet| {
            kill_owner(fleet);
            fleet.kill(1);
            fleet.run(fleet.now + DETECTION_TIME);
            fleet.update_membership();
        },
        excess: 0,
        utilisation: 0.85,
    },
];

/// Guards against lost, duplicated or stuck requests, slots used twice, and permanently lost capacity.
#[test]
fn faults_lose_no_requests_or_slots() {
    for seed in seeds(CI_SEEDS) {
        for (case, drift) in CASES.iter().flat_map(|case| [(case, 0), (case, 25_000)]) {
            let name = format!("{} (seed {seed}, drift {drift})", case.name);
            let mut fleet = Fleet::new(setup(seed, drift));
            fleet.measure_from = 5 * SECOND;
            fleet.run(10 * SECOND);
            (case.inject_fault)(&mut fleet);
            assert!(fleet.now <= 40 * SECOND, "{name}: the script is too long");
            fleet.run(60 * SECOND);
            let measurements = fleet.measurements();
            assert!(
                measurements.excess <= case.excess * LIMIT,
                "{name}: {} requests above the limit",
                measurements.excess
            );
            assert!(
                measurements.utilisation() >= case.utilisation,
                "{name}: utilisation {}",
                measurements.utilisation()
            );
            // After the fault, the fleet must perform as before it.
            fleet.restart_measurement();
            fleet.run(80 * SECOND);
            let after = fleet.measurements();
            assert_eq!(after.excess, 0, "{name}: above the limit after the fault");
            assert!(after.utilisation() > 0.97, "{name}: {} afterwards", after.utilisation());
            fleet.drain(60 * SECOND);
        }
    }
}

struct CappedCase {
    name: &'static str,
    cap: u32,
    /// Routers at which the capped customer is backlogged.
    at: fn(usize) -> bool,
    inject_fault: fn(&mut Fleet),
    net: Net,
    /// Largest permitted excess over the cap, as a multiple of the cap.
    excess: u32,
    /// Smallest part of the cap that the customer must use after the fault.
    used: f64,
}

const RELIABLE: Net = Net { delay: 500, jitter: 0, loss: 0.0, duplication: 0.0 };
const LOSSY: Net = Net { delay: 500, jitter: 20_000, loss: 0.1, duplication: 0.1 };

fn capped_cases() -> Vec<CappedCase> {
    let base = CappedCase {
        name: "one router",
        cap: 7,
        at: |router| router == 3,
        inject_fault: |_| (),
        net: RELIABLE,
        excess: 0,
        used: 0.98,
    };
    vec![
        CappedCase { name: "all routers", at: |_| true, ..base },
        CappedCase { name: "fewer permits than routers", cap: 2, at: |_| true, ..base },
        CappedCase { name: "lost messages", at: |_| true, net: LOSSY, used: 0.9, ..base },
        CappedCase { name: "owner dies", at: |_| true, inject_fault: kill_owner, ..base },
        CappedCase {
            name: "owner dies, lost messages",
            at: |_| true,
            inject_fault: kill_owner,
            net: LOSSY,
            used: 0.9,
            ..base
        },
        CappedCase {
            name: "owner restarts unnoticed by membership",
            at: |_| true,
            inject_fault: |fleet| {
                fleet.restart(0);
                fleet.update_membership();
            },
            ..base
        },
        CappedCase {
            name: "partition opens and heals",
            at: |_| true,
            inject_fault: partition,
            excess: 1,
            ..base
        },
        CappedCase {
            name: "partition, requests on one side",
            inject_fault: partition,
            excess: 1,
            ..base
        },
        base,
    ]
}

/// A fleet with a capped customer, a customer with few requests and one that is backlogged at a single router.
fn capped_fleet(case: &CappedCase, seed: u64, caps: Vec<u32>) -> Fleet {
    let mut setup = Setup::new(ROUTERS, &[LIMIT; 4], 3);
    setup.seed = seed;
    setup.net = case.net;
    setup.caps = caps;
    for router in 0..ROUTERS {
        if (case.at)(router) {
            setup.sources.push(Source::new(0, router, Arrivals::Backlog(8)));
        }
        setup.sources.push(Source::new(1, router, Arrivals::Rate(1.0)));
    }
    setup.sources.push(Source::new(2, 2, Arrivals::Backlog(24)));
    let mut fleet = Fleet::new(setup);
    fleet.run(10 * SECOND);
    (case.inject_fault)(&mut fleet);
    assert!(fleet.now <= 40 * SECOND, "{}: the script is too long", case.name);
    fleet.run(50 * SECOND);
    fleet
}

/// Guards against a customer that exceeds its cap by spreading its requests over routers, and against permits that
/// stay unused or get lost at a router.
#[test]
fn caps_hold_across_the_fleet() {
    for seed in seeds(CI_SEEDS) {
        for case in capped_cases() {
            let name = format!("{} (seed {seed})", case.name);
            let mut fleet = capped_fleet(&case, seed, vec![case.cap]);
            let excess = fleet.measurements().cap_excess;
            assert!(excess <= case.excess * case.cap, "{name}: {excess} above the cap");
            let measure = |fleet: &mut Fleet| {
                let before = fleet.measurements().served[0];
                fleet.restart_measurement();
                fleet.run(80 * SECOND);
                let measurements = fleet.measurements();
                (measurements.served[0] - before, measurements)
            };
            let (served, measurements) = measure(&mut fleet);
            fleet.drain(120 * SECOND);
            assert_eq!(measurements.cap_excess, 0, "{name}: above the cap after the fault");
            let used = served / (30_000.0 * f64::from(case.cap));
            assert!(used >= case.used, "{name}: the customer uses {used} of its cap");
            // The same fleet with the same faults but without caps, so any difference is due to the permits.
            let (_, uncapped) = measure(&mut capped_fleet(&case, seed, Vec::new()));
            let (with, without) = (measurements.utilisation(), uncapped.utilisation());
            assert!(with >= 0.98 * without, "{name}: utilisation {with}, without caps {without}");
            let undisturbed =
                case.net.loss == 0.0 && case.excess == 0 && fleet.live_routers() == ROUTERS;
            assert!(
                !undisturbed || measurements.longest_idle <= 7_000,
                "{name}: slot idle for {} us",
                measurements.longest_idle
            );
        }
    }
}
