//! Schedules of calls.

use {
    googletest::prelude::*,
    siskin_measure::{
        Options,
        fault::Fault,
        workload::{Call, Kind, Scenario, customers, schedule},
    },
    std::{collections::HashSet, time::Duration},
};

fn options(scenario: Scenario) -> Options {
    Options { scenario, duration: Duration::from_secs(30), ..Options::default() }
}

fn calls(options: &Options) -> Vec<Call> {
    schedule(&options.workload(), &options.faults)
}

/// Guards against modes that are given different calls, and against seeds that do nothing.
#[gtest]
fn repeatable() {
    for scenario in Scenario::ALL {
        let first = options(scenario);
        let other = Options { seed: 2, ..first.clone() };
        expect_that!(calls(&first) == calls(&first), eq(true), "{}", scenario.name());
        expect_that!(calls(&first) == calls(&other), eq(false), "{}", scenario.name());
        let nonces: HashSet<_> = calls(&first).iter().map(|call| call.nonce).collect();
        expect_that!(nonces.len(), eq(calls(&first).len()), "{}", scenario.name());
        expect_true!(calls(&first).is_sorted_by_key(|call| call.at), "{}", scenario.name());
    }
}

/// Guards against workloads that are not what their names say.
#[gtest]
fn shapes() {
    let thistlebank = options(Scenario::Thistlebank);
    let parties = customers(&thistlebank.workload());
    expect_that!(parties.len(), eq(16));
    expect_that!(parties[0].share, gt(parties[1].share));
    let own = calls(&thistlebank);
    for kind in [Kind::Plan, Kind::Tag, Kind::Confirmation] {
        expect_true!(own.iter().any(|call| call.kind == kind), "{kind:?}");
    }
    let egirdir = calls(&options(Scenario::Egirdir));
    let (rush, after): (Vec<&Call>, Vec<&Call>) =
        egirdir.iter().partition(|call| call.at < Duration::from_secs(12));
    expect_true!(rush.iter().all(|call| call.router < 2));
    expect_true!(after.iter().any(|call| call.router > 2));
    expect_that!(rush.len(), gt(after.len()));
    let paced = options(Scenario::Paced);
    let expected = 41 * 8 * 30;
    let models = calls(&paced).iter().filter(|call| call.kind != Kind::Confirmation).count();
    expect_that!(models.abs_diff(expected), lt(expected / 10));
}

/// Guards against faults that are not in the schedule.
#[gtest]
fn faults() {
    let plain = options(Scenario::Thistlebank);
    let flood = Options { faults: vec![Fault::Flood], ..plain.clone() };
    expect_that!(calls(&flood).len(), gt(calls(&plain).len()));
    let crash = Options { faults: vec![Fault::Crash], ..plain };
    let crashes = calls(&crash).iter().filter(|call| call.kind == Kind::Crash).count();
    expect_that!(crashes, eq(5));
}
