//! Recovery after a fault, and runs with routers as processes.

use {
    googletest::prelude::*,
    siskin_measure::phase::{Phases, WINDOW},
    siskin_standin::kv::Counters,
    std::time::{Duration, Instant},
};

/// Guards against a recovery that is read from the wrong windows, and a rush of store calls that is missed.
#[gtest]
fn recovery() {
    struct Case {
        name: &'static str,
        /// Part of the slots in use, by window. The fault lasts from the 10th to the 20th.
        used: fn(u32) -> f64,
        after_begin: f64,
        after_end: f64,
    }
    let cases = [
        Case { name: "no dip", used: |_| 0.9, after_begin: 0.0, after_end: 0.0 },
        Case {
            name: "a dip at the begin",
            used: |window| if (10..14).contains(&window) { 0.0 } else { 0.9 },
            after_begin: 0.6,
            after_end: 0.0,
        },
        Case {
            name: "a dip at the end",
            used: |window| if (20..25).contains(&window) { 0.1 } else { 0.9 },
            after_begin: 0.0,
            after_end: 0.7,
        },
        Case {
            name: "never back",
            used: |window| if window < 10 { 0.9 } else { 0.4 },
            after_begin: 1.0,
            after_end: 2.0,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let faults = Some((WINDOW * 10, WINDOW * 20));
        let mut phases = Phases::new(start, faults);
        for window in 0..40 {
            let rush = if window >= 20 { 50 } else { 0 };
            let store =
                Counters { reads: u64::from(window) + rush, limited: rush, ..Counters::default() };
            phases.sample(start + WINDOW * window, store, (1.0, (case.used)(window)));
        }
        let aftermath = phases.aftermath(7.0).unwrap();
        expect_that!(aftermath.utilisation_before, near(0.9, 1e-9), "{}", case.name);
        let (begin, end) = (aftermath.below_after_begin_seconds, aftermath.below_after_end_seconds);
        expect_that!(begin, near(case.after_begin, 1e-9), "{}", case.name);
        expect_that!(end, near(case.after_end, 1e-9), "{}", case.name);
        expect_that!(aftermath.store_calls_before, near(9.0, 1e-9), "{}", case.name);
        expect_that!(aftermath.store_calls_after_begin, ge(10), "{}", case.name);
        expect_that!(aftermath.store_calls_after_end, eq(60), "{}", case.name);
        expect_that!(aftermath.store_refused_after_end, eq(50), "{}", case.name);
    }
    let calm = Phases::new(Instant::now(), None);
    expect_false!(calm.after_fault(Instant::now() + Duration::from_secs(9)));
    expect_that!(calm.aftermath(0.0), none());
}
