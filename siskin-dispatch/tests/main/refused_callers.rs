//! Load: the demand exceeds what engines can begin in time, so callers are refused and retry. The target latency counts
//! from the first attempt, so a caller whose retry time is later than that is late in any case.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::Demand,
    siskin_types::id::Endpoint,
    std::time::Duration,
};

/// Time from sending a request to the first part of its response, at an engine with free capacity.
const TIME_TO_FIRST_PART: Duration = Duration::from_millis(200);

/// Guards against a retry time that is too late, and against an immediate retry at an engine that is still busy.
#[googletest::test]
fn refused_caller_can_still_be_served_within_its_aim() {
    struct Case {
        name: &'static str,
        aim_ms: u64,
        /// Prompts in the backlog of the engine.
        waiting: u64,
        /// Whether the engine has free capacity within the target latency.
        want_in_time: bool,
    }
    let cases = [
        Case { name: "customer beyond its share", aim_ms: 800, waiting: 1, want_in_time: true },
        Case { name: "short aim", aim_ms: 500, waiting: 1, want_in_time: true },
        Case { name: "engine is far behind", aim_ms: 500, waiting: 20, want_in_time: false },
    ];
    for case in cases {
        let aim = Duration::from_millis(case.aim_ms);
        let mut pool = engines(1);
        let asked = |subject| Demand { patience: 0.05, aim, ..demand(subject, 500) };
        for waiting in 0..case.waiting {
            let endpoint = Endpoint(1);
            pool.sent(NOW, endpoint, &asked(100 + waiting).prompt);
        }
        let refusal = pool.choose_endpoint(NOW, &asked(1), &[]).unwrap_err();
        let in_time = refusal.retry_after + TIME_TO_FIRST_PART < aim;
        expect_that!(in_time, eq(case.want_in_time), "{}: {refusal:?}", case.name);
        expect_that!(refusal.retry_after, ge(aim / 5), "{}", case.name);
    }
}
