//! Death of owners and routers, partitions, and pairs of them; caps over the fleet with and without faults.

use crate::harness::{Arrivals, CI_SEEDS, Fleet, Net, SECOND, Setup, Source, seeds};

/// Time that membership takes to see a death or a partition.
const DETECTION: u64 = 2_500_000;

struct Case {
    name: &'static str,
    /// What happens from second 10 to second 40.
    script: fn(&mut Fleet),
    /// Excess over an endpoint's limit that the design allows, as a multiple of the limit.
    excess: u32,
    /// Least utilisation from second 5 to second 60.
    utilisation: f64,
}

const LIMIT: u32 = 6;
const ROUTERS: usize = 6;

fn setup(seed: u64, drift: i64) -> Setup {
    let mut setup = Setup::new(ROUTERS, &[LIMIT; 4], 8);
    setup.seed = seed;
    setup.drift = drift;
    setup.net = Net { delay: 500, jitter: 1_000, loss: 0.01, repeat: 0.01 };
    for customer in 0..8 {
        for router in 0..ROUTERS {
            if customer == 0 || (customer as usize + router).is_multiple_of(2) {
                setup.sources.push(Source::new(customer, router, Arrivals::Backlog(8)));
            }
        }
    }
    setup
}

/// Cuts the first two routers, one of them the owner, off the others for 15 s.
fn partition(fleet: &mut Fleet) {
    fleet.partition(|node| u8::from(node < 2));
    fleet.run(fleet.now + DETECTION);
    fleet.membership();
    fleet.run(fleet.now + 15 * SECOND);
    fleet.partition(|_| 0);
    fleet.run(fleet.now + DETECTION);
    fleet.membership();
}

fn kill_owner(fleet: &mut Fleet) {
    fleet.kill(0);
    fleet.run(fleet.now + DETECTION);
    fleet.membership();
}

const CASES: &[Case] = &[
    Case { name: "owner dies", script: kill_owner, excess: 0, utilisation: 0.93 },
    Case {
        name: "owner dies and returns",
        script: |fleet| {
            kill_owner(fleet);
            fleet.run(fleet.now + SECOND);
            fleet.restart(0);
            fleet.membership();
        },
        excess: 1,
        utilisation: 0.9,
    },
    Case {
        name: "owner restarts unnoticed by membership",
        script: |fleet| {
            fleet.restart(0);
            fleet.membership();
        },
        excess: 0,
        utilisation: 0.93,
    },
    Case {
        name: "router restarts without memory while backlogged",
        script: |fleet| {
            fleet.restart(4);
            fleet.membership();
            fleet.run(fleet.now + SECOND / 10);
            fleet.restart(4);
            fleet.membership();
        },
        excess: 0,
        utilisation: 0.95,
    },
    Case { name: "partition opens and heals", script: partition, excess: 1, utilisation: 0.85 },
    Case {
        name: "owner dies during a partition",
        script: |fleet| {
            fleet.partition(|node| u8::from(node < 2));
            fleet.run(fleet.now + DETECTION);
            fleet.membership();
            kill_owner(fleet);
            fleet.partition(|_| 0);
            fleet.membership();
        },
        excess: 1,
        utilisation: 0.85,
    },
    Case {
        name: "two owners die one after the other",
        script: |fleet| {
            kill_owner(fleet);
            fleet.kill(1);
            fleet.run(fleet.now + DETECTION);
            fleet.membership();
        },
        excess: 0,
        utilisation: 0.85,
    },
];

/// Guards against lost, doubled or stuck requests, slots used twice, and capacity lost for good.
#[test]
fn faults_lose_no_request_and_no_slot() {
    for seed in seeds(CI_SEEDS) {
        for (case, drift) in CASES.iter().flat_map(|case| [(case, 0), (case, 25_000)]) {
            let name = format!("{} (seed {seed}, drift {drift})", case.name);
            let mut fleet = Fleet::new(setup(seed, drift));
            fleet.measure_from = 5 * SECOND;
            fleet.run(10 * SECOND);
            (case.script)(&mut fleet);
            assert!(fleet.now <= 40 * SECOND, "{name}: the script is too long");
            fleet.run(60 * SECOND);
            let figures = fleet.figures();
            assert!(
                figures.excess <= case.excess * LIMIT,
                "{name}: {} requests above the limit",
                figures.excess
            );
            assert!(
                figures.utilisation() >= case.utilisation,
                "{name}: utilisation {}",
                figures.utilisation()
            );
            // After the fault the fleet is as good as before it.
            fleet.restart_measurement();
            fleet.run(80 * SECOND);
            let after = fleet.figures();
            assert_eq!(after.excess, 0, "{name}: above the limit after the fault");
            assert!(after.utilisation() > 0.97, "{name}: {} afterwards", after.utilisation());
            fleet.drain(60 * SECOND);
        }
    }
}

struct Capped {
    name: &'static str,
    cap: u32,
    /// Routers at which the capped customer has work.
    at: fn(usize) -> bool,
    script: fn(&mut Fleet),
    net: Net,
    /// Excess over the cap that the design allows, as a multiple of the cap.
    excess: u32,
    /// Least part of the cap that the customer uses after the fault.
    used: f64,
}

const QUIET: Net = Net { delay: 500, jitter: 0, loss: 0.0, repeat: 0.0 };
const LOSSY: Net = Net { delay: 500, jitter: 20_000, loss: 0.1, repeat: 0.1 };

fn capped_cases() -> Vec<Capped> {
    let base = Capped {
        name: "one router",
        cap: 7,
        at: |router| router == 3,
        script: |_| (),
        net: QUIET,
        excess: 0,
        used: 0.98,
    };
    vec![
        Capped { name: "all routers", at: |_| true, ..base },
        Capped { name: "fewer permits than routers", cap: 2, at: |_| true, ..base },
        Capped { name: "lost messages", at: |_| true, net: LOSSY, used: 0.9, ..base },
        Capped { name: "owner dies", at: |_| true, script: kill_owner, ..base },
        Capped {
            name: "owner dies, lost messages",
            at: |_| true,
            script: kill_owner,
            net: LOSSY,
            used: 0.9,
            ..base
        },
        Capped {
            name: "owner restarts unnoticed by membership",
            at: |_| true,
            script: |fleet| {
                fleet.restart(0);
                fleet.membership();
            },
            ..base
        },
        Capped {
            name: "partition opens and heals",
            at: |_| true,
            script: partition,
            excess: 1,
            ..base
        },
        Capped { name: "partition, work on one side", script: partition, excess: 1, ..base },
        base,
    ]
}

/// A capped customer, one with few requests and one that is backlogged at a single router.
fn capped_fleet(case: &Capped, seed: u64, caps: Vec<u32>) -> Fleet {
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
    (case.script)(&mut fleet);
    assert!(fleet.now <= 40 * SECOND, "{}: the script is too long", case.name);
    fleet.run(50 * SECOND);
    fleet
}

/// Guards against a customer that exceeds its cap by spreading over routers, and against permits that idle or get
/// lost at the wrong router.
#[test]
fn caps_hold_over_the_fleet() {
    for seed in seeds(CI_SEEDS) {
        for case in capped_cases() {
            let name = format!("{} (seed {seed})", case.name);
            let mut fleet = capped_fleet(&case, seed, vec![case.cap]);
            let excess = fleet.figures().cap_excess;
            assert!(excess <= case.excess * case.cap, "{name}: {excess} above the cap");
            let measure = |fleet: &mut Fleet| {
                let before = fleet.figures().served[0];
                fleet.restart_measurement();
                fleet.run(80 * SECOND);
                let figures = fleet.figures();
                (figures.served[0] - before, figures)
            };
            let (served, figures) = measure(&mut fleet);
            fleet.drain(120 * SECOND);
            assert_eq!(figures.cap_excess, 0, "{name}: above the cap after the fault");
            let used = served / (30_000.0 * f64::from(case.cap));
            assert!(used >= case.used, "{name}: the customer uses {used} of its cap");
            // Without caps the same fleet has the same faults, so any difference is due to the permits.
            let (_, free) = measure(&mut capped_fleet(&case, seed, Vec::new()));
            let (with, without) = (figures.utilisation(), free.utilisation());
            assert!(with >= 0.98 * without, "{name}: utilisation {with}, without caps {without}");
            let quiet = case.net.loss == 0.0 && case.excess == 0 && fleet.alive() == ROUTERS;
            assert!(!quiet || figures.idle <= 7_000, "{name}: slot idle for {} us", figures.idle);
        }
    }
}
