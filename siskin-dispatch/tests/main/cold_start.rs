//! Load: all routers restart, and all callers reconnect at once. No customer has any usage yet, so none exceeds its
//! fair share. If each could therefore take the capacity of a whole window at once, the engines would be late for all.

use {
    crate::fixture::NOW,
    googletest::prelude::*,
    siskin_dispatch::{
        admit::patience,
        share::{Ledger, Usage},
    },
    siskin_types::id::Customer,
    std::time::Duration,
};

const WINDOW: Duration = Duration::from_secs(4);
const CAPACITY: u32 = 100_000;
const COST: u64 = 1_000;

/// Guards against a burst of requests to the engines just after the start.
#[googletest::test]
fn capacity_is_not_exceeded_just_after_the_start() {
    struct Case {
        name: &'static str,
        customers: u32,
        /// Demand as a multiple of the capacity.
        demand: u32,
    }
    let cases = [
        Case { name: "a few large ones", customers: 4, demand: 4 },
        Case { name: "many", customers: 20, demand: 3 },
        Case { name: "within the capacity", customers: 10, demand: 1 },
    ];
    for case in cases {
        let mut ledger = Ledger::new(WINDOW, f64::from(CAPACITY));
        let mut begun = 0.0;
        let requests = CAPACITY * case.demand / 1_000;
        for request in 0..requests {
            let now = NOW + Duration::from_secs(1) * request / requests;
            let customer = Customer(request % case.customers);
            let waits_long = patience(&ledger.standing(now, customer)) > 0.5;
            let got = if waits_long { COST } else { 0 };
            ledger.add(now, customer, Usage { asked: COST, begun: got });
            begun += if waits_long { 1_000.0 } else { 0.0 };
        }
        // One second's capacity, plus what a patience above one half allows beyond the fair share, plus one request per
        // customer.
        let most = 1.26 * f64::from(CAPACITY) + f64::from(case.customers) * 1_000.0;
        expect_that!(begun, le(most), "{}", case.name);
        expect_that!(begun, ge(0.9 * f64::from(CAPACITY)), "{}", case.name);
    }
}
