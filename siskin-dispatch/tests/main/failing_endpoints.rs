//! Endpoints that fail requests for a while.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::{End, Pool},
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

const FAILING: Endpoint = Endpoint(1);
const SOUND: Endpoint = Endpoint(2);

/// Lets an endpoint end a request.
fn end_request(pool: &mut Pool, now: Instant, endpoint: Endpoint, end: End) {
    let attempt = pool.sent(now, endpoint, &demand(1, 100).prompt);
    pool.record_end(now, &attempt, end);
}

/// The endpoint of the next request, or `None` if it is refused.
fn place(pool: &Pool, now: Instant) -> Option<Endpoint> {
    pool.choose_endpoint(now, &demand(3, 500), &[]).ok().map(|placement| placement.endpoint)
}

/// Guards against an endpoint that is avoided for good after some failures, as it gets no request that could show that it works.
#[googletest::test]
fn an_endpoint_that_failed_is_tried_again() {
    for end in [End::Failed, End::Broken] {
        let mut pool = engines(2);
        for _ in 0..10 {
            end_request(&mut pool, NOW, FAILING, end);
        }
        // The other endpoint has no free slot.
        for subject in 10..80 {
            pool.sent(NOW, SOUND, &demand(subject, 100).prompt);
        }
        let soon = NOW + Duration::from_secs(1);
        expect_that!(place(&pool, soon), not(eq(Some(FAILING))), "{end:?}: just after");
        let later = NOW + Duration::from_secs(30);
        expect_that!(place(&pool, later), some(eq(FAILING)), "{end:?}: later");
        end_request(&mut pool, later, FAILING, End::Completed);
        expect_that!(place(&pool, later), some(eq(FAILING)), "{end:?}: after a response");
        for _ in 0..3 {
            end_request(&mut pool, later, FAILING, end);
        }
        expect_that!(place(&pool, later), not(eq(Some(FAILING))), "{end:?}: after more failures");
    }
}
