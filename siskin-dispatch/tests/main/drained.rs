//! Endpoints of drained data centres.

use {
    crate::fixture::{NOW, demand, infos},
    googletest::prelude::*,
    siskin_dispatch::{
        condition::{Availability, Reason, Source},
        pool::{Cause, Info, Pool},
    },
    siskin_types::id::Endpoint,
    std::time::Duration,
};

/// Two endpoints, of which the first has these marks.
fn list(drained: bool, leaving: bool) -> Vec<Info> {
    let mut infos = infos(2);
    infos[0] = Info { drained, leaving, ..infos[0].clone() };
    infos
}

/// Guards against requests to a drained endpoint, the trial after a back-off included, and against one that stays out of use when
/// the drain ends, or comes into use although it is leaving.
#[googletest::test]
fn drained_endpoints_are_blocked_until_the_drain_ends() {
    struct Case {
        name: &'static str,
        /// Whether the endpoint leaves on its own.
        leaving: bool,
        /// Whether it has asked for a back-off, which is over.
        backed_off: bool,
        want: Reason,
        want_after: Availability,
    }
    const LEAVING: Reason = Reason::Leaving(Source::Store);
    let cases = [
        Case {
            name: "open",
            leaving: false,
            backed_off: false,
            want: Reason::Drained,
            want_after: Availability::Open,
        },
        Case {
            name: "after a back-off",
            leaving: false,
            backed_off: true,
            want: Reason::Drained,
            want_after: Availability::Trial,
        },
        Case {
            name: "leaving",
            leaving: true,
            backed_off: false,
            want: LEAVING,
            want_after: Availability::Blocked(LEAVING),
        },
    ];
    for case in cases {
        let mut pool = Pool::new();
        pool.set_endpoints(NOW, &list(true, case.leaving));
        if case.backed_off {
            pool.record_backoff(NOW, Endpoint(1), Duration::from_millis(1));
        }
        let later = NOW + Duration::from_secs(10);
        let blocked = Availability::Blocked(case.want);
        expect_that!(pool.availability(later, Endpoint(1)), eq(blocked), "{}", case.name);
        expect_that!(pool.closed_sources().count(), eq(1), "{}", case.name);
        for subject in 0..20 {
            let chosen = pool.choose_endpoint(later, &demand(subject, 100), &[]).unwrap();
            expect_that!(chosen.endpoint, eq(Endpoint(2)), "{}", case.name);
        }
        pool.set_endpoints(later, &list(false, case.leaving));
        let after = pool.availability(later, Endpoint(1));
        expect_that!(after, eq(case.want_after), "{}: drain ended", case.name);
    }
}

/// Guards against requests that wait, or that are refused without a time to retry, while all endpoints are drained.
#[googletest::test]
fn requests_are_refused_while_all_endpoints_are_drained() {
    let mut pool = Pool::new();
    let drained = |info| Info { drained: true, ..info };
    pool.set_endpoints(NOW, &infos(2).into_iter().map(drained).collect::<Vec<_>>());
    let refusal = pool.choose_endpoint(NOW, &demand(1, 100), &[]).unwrap_err();
    expect_that!(refusal.cause, eq(Cause::NoEndpoint));
    expect_that!(refusal.retry_after, gt(Duration::ZERO));
    expect_that!(pool.closed_sources().collect::<Vec<_>>(), eq(&vec![Source::Drain; 2]));
}
