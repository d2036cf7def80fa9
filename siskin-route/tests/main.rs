//! Guards against endpoints that are used while down, and against a prefix table that grows or misleads.

use {
    googletest::prelude::*,
    siskin_route::{
        health::{Change, Options, Report, Tracker},
        prefix::{Chain, Table},
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

const ENDPOINT: Endpoint = Endpoint(1);

fn at(millis: u64) -> Instant {
    Instant::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn repeated_failures_back_off_up_to_the_limit() {
    struct Case {
        name: &'static str,
        failures_ms: &'static [u64],
        down_at_ms: u64,
        up_at_ms: u64,
    }
    let cases = [
        Case { name: "first", failures_ms: &[0], down_at_ms: 249, up_at_ms: 250 },
        Case { name: "two of one death", failures_ms: &[0, 10], down_at_ms: 249, up_at_ms: 250 },
        Case { name: "again", failures_ms: &[0, 300], down_at_ms: 799, up_at_ms: 800 },
        Case {
            name: "limit",
            failures_ms: &[0, 1_000, 3_000, 6_000, 12_000, 20_000, 30_000],
            down_at_ms: 34_999,
            up_at_ms: 35_000,
        },
    ];
    for case in cases {
        let mut tracker = Tracker::new(Options::default());
        for &failure in case.failures_ms {
            tracker.failed(at(failure), ENDPOINT);
        }
        expect_false!(tracker.usable(at(case.down_at_ms), ENDPOINT), "{}", case.name);
        expect_true!(tracker.usable(at(case.up_at_ms), ENDPOINT), "{}", case.name);
    }
}

#[gtest]
fn a_changed_instance_is_a_restart_and_old_reports_expire() {
    let mut tracker = Tracker::new(Options::default());
    let report = Report { slots: 8, instance: 1, ..Report::default() };
    expect_that!(tracker.reported(at(0), ENDPOINT, report), eq(Change::None));
    let again = Report { instance: 2, leaving: true, ..report };
    expect_that!(tracker.reported(at(100), ENDPOINT, again), eq(Change::Restarted));
    expect_that!(tracker.report(at(2_100), ENDPOINT), some(eq(again)));
    expect_that!(tracker.report(at(2_101), ENDPOINT), none());
    expect_true!(tracker.leaving(ENDPOINT));
}

#[gtest]
fn the_prefix_table_is_bounded_and_keeps_what_is_used() {
    const CAPACITY: usize = 100;
    let mut table = Table::new(CAPACITY);
    let kept = Chain::new(1, &"k".repeat(2_048));
    for prompt in 0..1_000_u32 {
        table.record(&kept, ENDPOINT);
        table.record(&Chain::new(prompt, &"x".repeat(1_024)), Endpoint(2));
        assert_that!(table.len(), le(CAPACITY + 1));
    }
    expect_that!(table.prefer(&kept), elements_are![eq(&ENDPOINT)]);
    expect_that!(table.prefer(&Chain::new(0, &"x".repeat(1_024))), is_empty());
    table.forget(ENDPOINT);
    expect_that!(table.prefer(&kept), is_empty());
}
