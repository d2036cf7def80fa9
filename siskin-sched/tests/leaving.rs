//! Endpoints that leave get no new requests and complete those in flight.

use crate::harness::{Arrivals, CI_SEEDS, Fleet, SECOND, Setup, Source, seeds};

/// Time within which every router must stop dispatching to the endpoint.
const LIMIT: u64 = 3 * SECOND;
/// The same with clock rates up to 5% apart, which lengthen the 3 s validity of a router's slots.
const WITH_DRIFT: u64 = LIMIT + LIMIT * 25 / 1_000;

struct Case {
    name: &'static str,
    /// Routers that cannot reach the others when the endpoint leaves.
    cut_off: fn(usize) -> bool,
    /// Whether membership detects at once that they are cut off.
    detected: bool,
    drift: i64,
    latest: u64,
}

const CASES: &[Case] = &[
    Case { name: "all connected", cut_off: |_| false, detected: true, drift: 0, latest: 20_000 },
    Case { name: "router cut off", cut_off: |n| n == 5, detected: false, drift: 0, latest: LIMIT },
    Case { name: "owner cut off", cut_off: |n| n == 0, detected: false, drift: 0, latest: LIMIT },
    Case { name: "partition", cut_off: |n| n < 2, detected: true, drift: 0, latest: LIMIT },
    Case { name: "drift", cut_off: |n| n == 5, detected: false, drift: 25_000, latest: WITH_DRIFT },
];

/// Guards against requests dispatched to an endpoint more than 3 s after it began to leave.
#[test]
fn leaving_endpoint_gets_no_requests() {
    for seed in seeds(CI_SEEDS) {
        for case in CASES {
            let mut setup = Setup::new(6, &[4; 4], 6);
            setup.seed = seed;
            setup.drift = case.drift;
            for (customer, router) in (0..6).zip(0..6) {
                setup.sources.push(Source::new(customer, router, Arrivals::Backlog(8)));
            }
            let mut fleet = Fleet::new(setup);
            fleet.run(5 * SECOND);
            fleet.partition(|node| u8::from((case.cut_off)(node)));
            if case.detected {
                fleet.update_membership();
            }
            fleet.start_leaving(1);
            fleet.run(15 * SECOND);
            let late = fleet.measurements().dispatch_after_leaving;
            assert!(
                late <= case.latest,
                "{} (seed {seed}): dispatched {late} us after it began to leave",
                case.name
            );
            assert_eq!(
                fleet.in_flight(1),
                0,
                "{} (seed {seed}): requests still in flight",
                case.name
            );
            fleet.partition(|_| 0);
            fleet.update_membership();
            fleet.drain(120 * SECOND);
        }
    }
}
