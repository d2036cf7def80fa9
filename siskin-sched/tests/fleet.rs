//! Fairness and utilisation of whole fleets, compared with the analytic bound and with the global queue.

// Statistics need floating point.
#![allow(clippy::cast_precision_loss)]

use {
    crate::harness::{
        Arrivals, CI_SEEDS, CI_SEEDS_SLOW, Fleet, Measurements, Net, SECOND, Setup, Source, seeds,
        seeds_with,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Longest idle time of a slot in microseconds while requests wait, without message loss: the minimum report interval
/// plus four message delays.
const IDLE_LIMIT: u64 = 7_000;
const WARM_UP: u64 = 10 * SECOND;
const END: u64 = 40 * SECOND;

/// The design's bound on the service gap, `2 * M / w + R * I / w + T`: M is the charge of requests in flight, w the
/// least weight, R the service rate, I the report interval and T the reuse slack.
fn bound(setup: &Setup) -> f64 {
    let slots: u32 = setup.endpoints.iter().sum();
    let weight = f64::from(*setup.weights.iter().min().unwrap());
    let in_flight = f64::from(slots) * setup.options.max_request.0 as f64;
    let rate = f64::from(slots) * 1e6 / setup.micros_per_unit as f64;
    let interval = setup.options.report_interval.as_secs_f64();
    (2.0 * in_flight + rate * interval) / weight + setup.options.reuse_slack.0 as f64
}

fn run(mut fleet: Fleet) -> Measurements {
    fleet.measure_from = WARM_UP;
    fleet.run(END);
    let measurements = fleet.measurements();
    fleet.drain(600 * SECOND);
    measurements
}

/// A random fleet of customers with different weights and loads, of which some are always backlogged.
fn random_fleet(seed: u64) -> Setup {
    let mut rng = SmallRng::seed_from_u64(seed);
    let routers = rng.random_range(1..=10);
    let endpoints: Vec<u32> =
        (0..rng.random_range(1..=6)).map(|_| rng.random_range(1..=12)).collect();
    let customers = rng.random_range(2..=12);
    let slots: u32 = endpoints.iter().sum();
    let mut setup = Setup::new(routers, &endpoints, customers as usize);
    setup.seed = seed;
    for customer in 0..customers {
        setup.weights[customer as usize] = rng.random_range(1..=4);
        let backlog = customer < 2 || rng.random_bool(0.5);
        for router in 0..routers {
            if router > 0 && rng.random_bool(0.5) {
                continue;
            }
            let arrivals = if backlog {
                Arrivals::Backlog(slots)
            } else {
                Arrivals::Rate(rng.random_range(0.1..4.0))
            };
            setup.sources.push(Source::new(customer, router, arrivals));
        }
    }
    setup
}

/// A random fleet with a second model at every other endpoint.
fn random_fleet_with_two_models(seed: u64) -> Setup {
    let mut setup = random_fleet(seed);
    for models in setup.models.iter_mut().step_by(2) {
        models.push(2);
    }
    for source in setup.sources.iter_mut().filter(|source| source.customer % 3 == 0) {
        source.model = 2;
    }
    setup
}

#[test]
fn random_fleets_stay_within_the_bounds() {
    let setups = seeds_with(CI_SEEDS, &[18])
        .into_iter()
        .flat_map(|seed| [random_fleet(seed), random_fleet_with_two_models(seed)]);
    for setup in setups {
        let seed = setup.seed;
        let (bound, fleet) = (bound(&setup), run(Fleet::new(setup.clone())));
        let global = run(Fleet::global(setup));
        assert!(
            fleet.gap <= bound,
            "seed {seed}: gap {} above the bound {bound}, global queue {}",
            fleet.gap,
            global.gap
        );
        assert!(
            fleet.longest_idle <= IDLE_LIMIT,
            "seed {seed}: slot idle for {} us",
            fleet.longest_idle
        );
        assert_eq!(fleet.excess, 0, "seed {seed}: endpoint above its limit");
        assert!(
            fleet.utilisation() >= 0.98 * global.utilisation(),
            "seed {seed}: utilisation {} against {}",
            fleet.utilisation(),
            global.utilisation()
        );
    }
}

#[test]
fn lossy_networks_neither_lose_nor_duplicate_requests() {
    for seed in seeds(CI_SEEDS) {
        let mut setup = random_fleet(seed);
        setup.net = Net { delay: 500, jitter: 20_000, loss: 0.1, duplication: 0.1 };
        setup.drift = 25_000;
        let (bound, fleet) = (bound(&setup), run(Fleet::new(setup)));
        assert!(fleet.gap <= bound, "seed {seed}: gap {} above the bound {bound}", fleet.gap);
        assert_eq!(fleet.excess, 0, "seed {seed}: endpoint above its limit");
        assert!(fleet.utilisation() > 0.9, "seed {seed}: utilisation {}", fleet.utilisation());
    }
}

struct Case {
    name: &'static str,
    setup: Setup,
    /// Seeds beyond the default ones that have failed.
    failed: &'static [u64],
}

/// A fleet of customers that are backlogged at the routers that `at` selects.
fn backlogged_at(
    routers: usize,
    endpoints: &[u32],
    weights: &[u32],
    at: fn(u32, usize) -> bool,
) -> Setup {
    let mut setup = Setup::new(routers, endpoints, weights.len());
    setup.weights = weights.to_vec();
    let slots: u32 = endpoints.iter().sum();
    for customer in 0..u32::try_from(weights.len()).unwrap() {
        for router in (0..routers).filter(|router| at(customer, *router)) {
            setup.sources.push(Source::new(customer, router, Arrivals::Backlog(slots)));
        }
    }
    setup
}

fn with_estimate_factor(mut setup: Setup, estimate_factor: f64) -> Setup {
    for source in &mut setup.sources {
        // Only half of the customers have wrong estimates, so that an advantage would show.
        if source.customer % 2 == 0 {
            source.estimate_factor = estimate_factor;
        }
    }
    setup
}

fn cases() -> Vec<Case> {
    let everywhere = backlogged_at(8, &[16; 4], &[1; 12], |_, _| true);
    let uneven = backlogged_at(8, &[16; 8], &[1; 12], |customer, router| {
        (customer as usize + router).is_multiple_of(3)
    });
    let one_each =
        backlogged_at(8, &[9; 4], &[1; 8], |customer, router| customer as usize == router);
    let weighted = backlogged_at(6, &[8; 5], &[1, 1, 2, 4, 8], |customer, router| {
        router == 0 || (customer as usize + router).is_multiple_of(2)
    });
    let one_router = backlogged_at(8, &[16; 4], &[1; 10], |_, router| router == 3);
    let large = backlogged_at(40, &[16; 12], &[1; 16], |customer, router| {
        customer == 0 || (customer as usize + router).is_multiple_of(5)
    });
    let case = |name, setup| Case { name, setup, failed: &[] };
    vec![
        case("everywhere", everywhere),
        case("uneven", uneven.clone()),
        Case { name: "one customer at each router", setup: one_each, failed: &[7, 8, 9, 12] },
        case("weighted", weighted),
        case("every request at one router", one_router),
        case("large", large),
        case("estimates 100 times too high", with_estimate_factor(uneven.clone(), 100.0)),
        case("estimates 100 times too low", with_estimate_factor(uneven, 0.01)),
    ]
}

/// Guards against unfairness that stays below the loose analytic bound.
#[test]
fn fleets_are_as_fair_as_the_global_queue() {
    let mut failures = Vec::new();
    let runs = cases().into_iter().flat_map(|case| {
        let seeds = seeds_with(CI_SEEDS_SLOW, case.failed);
        seeds.into_iter().map(move |seed| (seed, case.name, case.setup.clone()))
    });
    for (seed, name, mut setup) in runs {
        setup.seed = seed;
        let (fleet, global) = (run(Fleet::new(setup.clone())), run(Fleet::global(setup)));
        println!(
            "{name} (seed {seed}): gap {:.0} against {:.0}, utilisation {:.4} against {:.4}, idle {} us, {} B/s at a router",
            fleet.gap,
            global.gap,
            fleet.utilisation(),
            global.utilisation(),
            fleet.longest_idle,
            fleet.bytes.iter().skip(1).max().unwrap() / ((END - WARM_UP) / SECOND)
        );
        let fair = fleet.gap <= 2.0 * global.gap;
        let used = fleet.utilisation() >= 0.98 * global.utilisation();
        if !(fair && used && fleet.longest_idle <= IDLE_LIMIT && fleet.excess == 0) {
            failures.push((name, seed));
        }
    }
    assert!(failures.is_empty(), "failed: {failures:?}");
}

/// Guards against a customer that takes the share of others by flooding one router or all.
#[test]
fn flood_does_not_starve_other_customers() {
    for (name, flooded) in [("one router", 1), ("all routers", 8)] {
        let mut setup = Setup::new(8, &[8; 4], 3);
        for router in 0..flooded {
            setup.sources.push(Source::new(0, router, Arrivals::Rate(400.0)));
        }
        setup.deadline = 5 * SECOND;
        // Together 30% of the capacity, which is less than their shares.
        setup.sources.push(Source::new(1, 5, Arrivals::Rate(10.0)));
        setup.sources.push(Source::new(2, 0, Arrivals::Rate(10.0)));
        let mut fleet = Fleet::new(setup);
        fleet.measure_from = WARM_UP;
        fleet.run(END);
        let measurements = fleet.measurements();
        assert!(
            measurements.utilisation() > 0.98,
            "{name}: utilisation {}",
            measurements.utilisation()
        );
        for customer in [1, 2] {
            let wait = measurements.longest_wait[customer];
            assert!(wait < SECOND, "{name}: customer {customer} waited {wait} us");
        }
        fleet.drain(60 * SECOND);
    }
}
