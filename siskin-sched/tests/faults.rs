//! Death of owners and routers, partitions, and pairs of them.

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
