//! Placement of requests that may crash their endpoint.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::{Demand, Pool},
    siskin_types::id::Endpoint,
    std::collections::HashSet,
};

fn place(pool: &Pool, number: u64, tried: &[Endpoint]) -> Endpoint {
    let demand = Demand { isolation: Some(number), ..demand(number % 3, 500) };
    pool.choose_endpoint(NOW, &demand, tried).unwrap().endpoint
}

/// Guards against copies of a crashing request that crash one endpoint each, and against its neighbours following it.
#[googletest::test]
fn copies_share_an_endpoint_and_others_are_elsewhere() {
    let (mut first, second) = (engines(12), engines(12));
    for _ in 0..20 {
        // Load that only one of the routers sees yet.
        first.sent(NOW, Endpoint(3), &demand(1, 100).prompt);
    }
    let placed: Vec<Endpoint> = (0..12).map(|number| place(&first, number, &[])).collect();
    let at_second: Vec<Endpoint> = (0..12).map(|number| place(&second, number, &[])).collect();
    expect_that!(placed, eq(&at_second));
    expect_that!(placed.iter().collect::<HashSet<_>>().len(), ge(6));
    for number in 0..12 {
        let next = place(&first, number, &[placed[usize::try_from(number).unwrap()]]);
        expect_that!(next, not(eq(placed[usize::try_from(number).unwrap()])));
    }
}

/// Guards against a request that is refused although only the endpoint that its number leads to is busy.
#[googletest::test]
fn a_busy_endpoint_is_passed_over() {
    let mut pool = engines(4);
    let first = place(&pool, 7, &[]);
    for subject in 10..74 {
        pool.sent(NOW, first, &demand(subject, 6_000).prompt);
    }
    expect_that!(place(&pool, 7, &[]), not(eq(first)));
}
