//! Prints control traffic per router against the size of the fleet, the number of backlogged customers and the
//! rate of requests, in virtual time. Bytes are those of the encoded messages plus 60 bytes of headers each,
//! sent and received.

// Statistics need floating point.
#![allow(clippy::cast_precision_loss)]

#[path = "../tests/harness.rs"]
mod harness;

use harness::{Arrivals, Fleet, SECOND, Setup, Source};

/// Mean units of a request; a unit takes 4 ms, so a request takes a second.
const MEAN_UNITS: u64 = 250;
const MICROS_PER_UNIT: u64 = 4_000;
const WARM_UP: u64 = 3 * SECOND;
const MEASURED_SECONDS: u64 = 10;

struct Case {
    routers: usize,
    /// Customers with work waiting all the time; without any, slots are 70% busy.
    backlogged: usize,
    /// Requests per second and router.
    rate: u32,
}

fn main() {
    let most = std::env::args().nth(1).and_then(|most| most.parse().ok()).unwrap_or(usize::MAX);
    println!(
        "Means over the routers but the owner; then the router with most bytes; then the owner."
    );
    println!(
        "routers backlogged |  req/s  msgs/s bytes/s | most: req/s bytes/s | owner: bytes/s |     gap idle ms  util"
    );
    for rate in [10, 41] {
        for routers in [8, 40, 120, 300].into_iter().filter(|routers| *routers <= most) {
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
    let figures = fleet.figures();
    let mean = |figures: &[u64]| {
        let sum: u64 = figures[1..].iter().sum();
        sum as f64 / (figures.len() - 1) as f64 / MEASURED_SECONDS as f64
    };
    let most = (1..case.routers).max_by_key(|router| figures.bytes[*router]).unwrap_or(0);
    println!(
        "{:>7} {:>10} | {:>6.1} {:>7.1} {:>7.0} | {:>11} {:>7} | {:>14} | {:>7.0} {:>7.1} {:>5.3}",
        case.routers,
        case.backlogged,
        mean(&figures.started),
        mean(&figures.messages),
        mean(&figures.bytes),
        figures.started[most] / MEASURED_SECONDS,
        figures.bytes[most] / MEASURED_SECONDS,
        figures.bytes[0] / MEASURED_SECONDS,
        figures.gap,
        figures.idle as f64 / 1_000.0,
        figures.utilisation(),
    );
}

/// Slots for `rate` requests a second at each router. A tenth of the customers are present at all routers,
/// the others at two.
fn setup(case: &Case) -> Setup {
    let slots = u32::try_from(case.routers).unwrap() * case.rate;
    let endpoints = (slots / 64).max(4);
    let limits: Vec<_> = (0..endpoints)
        .map(|index| slots / endpoints + u32::from(index < slots % endpoints))
        .collect();
    let customers = if case.backlogged > 0 { case.backlogged } else { 100 };
    let mut setup = Setup::new(case.routers, &limits, customers);
    setup.micros_per_unit = MICROS_PER_UNIT;
    let mut add = |customer: usize, router: usize, load| {
        let customer = u32::try_from(customer).unwrap();
        let cost = (MEAN_UNITS / 5, MEAN_UNITS * 9 / 5);
        setup.sources.push(Source { cost, ..Source::new(customer, router, load) });
    };
    for customer in 0..customers {
        let large = customer % 10 == 0;
        let present = if large { case.routers } else { 2 };
        // Twice the customer's share of the slots waits.
        let queued = (2 * slots).div_ceil(u32::try_from(customers * present).unwrap());
        for copy in 0..present {
            let router = (customer + copy * 7) % case.routers;
            if case.backlogged > 0 {
                add(customer, router, Arrivals::Backlog(queued));
            } else {
                let share = f64::from(slots) * 0.7 / 2.0;
                let part = if large { share / 10.0 } else { share / 90.0 };
                add(customer, router, Arrivals::Rate(part / present as f64));
            }
        }
    }
    setup
}
