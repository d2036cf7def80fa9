//! Guards against using endpoints that are down, and against a prefix table that grows without bound or returns wrong
//! endpoints.

use {
    googletest::prelude::*,
    siskin_route::{
        health::{Change, Options, Report, Tracker},
        prefix::{Chain, Table, place},
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
        Case { name: "two of one crash", failures_ms: &[0, 10], down_at_ms: 249, up_at_ms: 250 },
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
            tracker.record_failure(at(failure), ENDPOINT);
        }
        expect_false!(tracker.usable(at(case.down_at_ms), ENDPOINT), "{}", case.name);
        expect_true!(tracker.usable(at(case.up_at_ms), ENDPOINT), "{}", case.name);
    }
}

#[gtest]
fn changed_instance_is_a_restart_and_old_reports_expire() {
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
fn prefix_table_is_bounded_and_keeps_used_blocks() {
    const CAPACITY: usize = 100;
    let mut table = Table::new(CAPACITY);
    let used = Chain::new(1, &"k".repeat(2_048));
    for prompt in 0..1_000_u32 {
        table.record(&used, ENDPOINT);
        table.record(&Chain::new(prompt, &"x".repeat(1_024)), Endpoint(2));
        assert_that!(table.len(), le(CAPACITY + 1));
    }
    expect_that!(table.likely_endpoints(&used), elements_are![eq(&ENDPOINT)]);
    expect_that!(table.likely_endpoints(&Chain::new(0, &"x".repeat(1_024))), is_empty());
    table.forget(ENDPOINT);
    expect_that!(table.likely_endpoints(&used), is_empty());
}

/// Guards against routers that spread one prefix over all endpoints, and against moving prefixes of other endpoints
/// when one is lost.
#[gtest]
fn prefix_is_placed_on_the_same_endpoints_by_every_router() {
    let engines = || (1..=40).map(Endpoint);
    let mut used = Vec::new();
    for prefix in 0..200 {
        let shared = format!("{prefix:<512}");
        let order = place(&Chain::new(1, &format!("{shared}{}", "a".repeat(512))), engines());
        let again = place(&Chain::new(1, &format!("{shared}{}", "b".repeat(512))), engines());
        expect_that!(again, eq(&order), "prefix {prefix}");
        expect_that!(order.len(), eq(4), "prefix {prefix}");
        let chain = Chain::new(1, &shared);
        let lost = place(&chain, engines().filter(|&engine| engine != order[0]));
        expect_that!(lost[..3], eq(&order[1..]), "prefix {prefix} without its first endpoint");
        used.push(order[0]);
    }
    used.sort_unstable();
    used.dedup();
    expect_that!(used.len(), ge(35), "prefixes are spread over the engines");
    expect_true!(place(&Chain::new(1, "short"), engines()).is_empty());
}
