//! Prints the control traffic per router by fleet size, number of backlogged customers and request rate, in simulated
//! time. Bytes include the encoded messages sent and received and 60 bytes of headers for each.

// Statistics need floating point.
#![allow(clippy::cast_precision_loss)]

#[path = "../tests/harness.rs"]
mod harness;

use harness::{Arrivals, Fleet, SECOND, Setup, Source};

/// Mean cost of a request; a unit takes 4 ms, so a request takes a second.
const MEAN_UNITS: u64 = 250;
const MICROS_PER_UNIT: u64 = 4_000;
const WARM_UP: u64 = 3 * SECOND;
const MEASURED_SECONDS: u64 = 10;

struct Case {
    routers: usize,
    /// Customers whose requests wait all the time. If there are none, slots are 70% busy.
    backlogged: usize,
    /// Requests per second and router.
    rate: u32,
}

fn main() {
    let max_routers =
        std::env::args().nth(1).and_then(|max| max.parse().ok()).unwrap_or(usize::MAX);
    println!(
        "Means over all routers except the owner; then the router with most bytes; then the owner."
    );
    println!(
        "routers backlogged |  req/s  msgs/s bytes/s | most: req/s bytes/s | owner: bytes/s |     gap idle ms  util"
    );
    for rate in [10, 41] {
        for routers in [8, 40, 120, 300].into_iter().filter(|routers| *routers <= max_routers) {
            for backlogged in [0, 10, 100, 870] {
                print(&Case { routers, backlogged, rate });
            }
        }
    }
}

fn print(case: &Case) {
    let mut fleet = Fleet::new(setup(case));
    fleet.measure_from = WARM_UP;
    fleet.run(WARM_UP + MEASURED_SECONDS * SECOND);
    let measurements = fleet.measurements();
    let mean = |measurements: &[u64]| {
        let sum: u64 = measurements[1..].iter().sum();
        sum as f64 / (measurements.len() - 1) as f64 / MEASURED_SECONDS as f64
    };
    let busiest = (1..case.routers).max_by_key(|router| measurements.bytes[*router]).unwrap_or(0);
    println!(
        "{:>7} {:>10} | {:>6.1} {:>7.1} {:>7.0} | {:>11} {:>7} | {:>14} | {:>7.0} {:>7.1} {:>5.3}",
        case.routers,
        case.backlogged,
        mean(&measurements.started),
        mean(&measurements.messages),
        mean(&measurements.bytes),
        measurements.started[busiest] / MEASURED_SECONDS,
        measurements.bytes[busiest] / MEASURED_SECONDS,
        measurements.bytes[0] / MEASURED_SECONDS,
        measurements.gap,
        measurements.longest_idle as f64 / 1_000.0,
        measurements.utilisation(),
    );
}

/// A fleet with slots for `rate` requests per second at each router. A tenth of the customers send requests to all
/// routers, the others to two.
fn setup(case: &Case) -> Setup {
    let slots = u32::try_from(case.routers).unwrap() * case.rate;
    let endpoints = (slots / 64).max(4);
    let limits: Vec<_> = (0..endpoints)
        .map(|index| slots / endpoints + u32::from(index < slots % endpoints))
        .collect();
    let customers = if case.backlogged > 0 { case.backlogged } else { 100 };
    let mut setup = Setup::new(case.routers, &limits, customers);
    setup.micros_per_unit = MICROS_PER_UNIT;
    let mut add = |customer: usize, router: usize, arrivals| {
        let customer = u32::try_from(customer).unwrap();
        let cost = (MEAN_UNITS / 5, MEAN_UNITS * 9 / 5);
        setup.sources.push(Source { cost, ..Source::new(customer, router, arrivals) });
    };
    for customer in 0..customers {
        let everywhere = customer % 10 == 0;
        let routers = if everywhere { case.routers } else { 2 };
        // Each customer keeps twice its share of the slots waiting.
        let queued = (2 * slots).div_ceil(u32::try_from(customers * routers).unwrap());
        for copy in 0..routers {
            let router = (customer + copy * 7) % case.routers;
            if case.backlogged > 0 {
                add(customer, router, Arrivals::Backlog(queued));
            } else {
                let share = f64::from(slots) * 0.7 / 2.0;
                let part = if everywhere { share / 10.0 } else { share / 90.0 };
                add(customer, router, Arrivals::Rate(part / routers as f64));
            }
        }
    }
    setup
}
