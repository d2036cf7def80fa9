//! Load: requests of many routes and customers, whose cost differs by an order of magnitude, and hints that are right or wrong.

use {
    googletest::prelude::*,
    siskin_dispatch::cost::{Model, Request, Sample},
    siskin_types::id::Customer,
    std::time::Duration,
};

fn request(route: u32, customer: u32, hint: u32) -> Request {
    Request { route, customer: Customer(customer), hint }
}

fn sample(tokens: u32) -> Sample {
    Sample { time: Duration::from_millis(3) * tokens, tokens: Some(tokens) }
}

struct Case {
    name: &'static str,
    /// The hint given for a number of tokens.
    hint: fn(u32) -> u32,
    /// The least and most that is expected for a request that will generate 600 tokens, among others that generate 28.
    want: (u32, u32),
}

const CASES: [Case; 3] = [
    Case { name: "no hint", hint: |_| 0, want: (200, 420) },
    Case { name: "right hint", hint: |tokens| tokens, want: (590, 600) },
    Case { name: "upper bound", hint: |_| 4_096, want: (200, 700) },
];

/// Guards against callers whose hints are wrong, for example the most tokens that they allow.
#[googletest::test]
fn hints_count_as_far_as_they_have_been_right() {
    for case in &CASES {
        let mut model = Model::default();
        for round in 0..100 {
            let tokens = if round % 2 == 0 { 600 } else { 28 };
            model.record(&request(1, 1, (case.hint)(tokens)), None, sample(tokens));
        }
        let tokens = model.estimate(&request(1, 1, (case.hint)(600))).tokens;
        expect_that!(tokens, all!(ge(case.want.0), le(case.want.1)), "{}", case.name);
    }
}

/// Guards against a model that grows with the number of customers, and against evicting those in use.
#[googletest::test]
fn memory_is_bounded() {
    let mut model = Model::default();
    for customer in 1..10_000 {
        model.record(&request(customer % 3, customer, 0), None, sample(380));
        for _ in 0..2 {
            model.record(&request(0, 0, 0), None, sample(28));
        }
    }
    expect_that!(model.pairs(), all!(ge(512), le(1_024)));
    expect_that!(model.estimate(&request(0, 0, 0)).tokens, eq(28));
    expect_that!(model.estimate(&request(1, 77_777, 0)).tokens, eq(380), "mean of the route");
}

/// Guards against a router that knows nothing after a restart, and against means of peers that replace its own.
#[googletest::test]
fn means_of_peers_apply_until_own_are_known() {
    let (mut known, mut restarted) = (Model::default(), Model::default());
    for _ in 0..50 {
        known.record(&request(1, 1, 0), None, sample(380));
    }
    let mean = known.means(1).next().unwrap();
    restarted.merge(&mean);
    expect_that!(restarted.estimate(&request(1, 5, 0)).tokens, eq(380));
    for _ in 0..50 {
        restarted.record(&request(1, 5, 0), None, sample(28));
    }
    restarted.merge(&mean);
    expect_that!(restarted.estimate(&request(1, 6, 0)).tokens, le(60));
}
