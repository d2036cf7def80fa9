//! Load: two customers of the same size, each with all its connections to one router. Routers that measured different
//! prefill rates of the same engines would refuse one customer at a wait at which they serve the other.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::{End, Pool},
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load::Digest,
    std::time::Duration,
};

/// Lets a router measure the prefill rate with prompts of 20,000 tokens. Returns the time after the last one.
fn measure_rate(pool: &mut Pool, tokens_per_ms: u64, requests: u64) -> Instant {
    let mut now = NOW;
    for subject in 0..requests {
        let prompt = demand(1_000 + subject, 15_000).prompt;
        let mut attempt = pool.sent(now, Endpoint(1), &prompt);
        now = now + Duration::from_millis(20_000 / tokens_per_ms);
        pool.record_response_start(now, &mut attempt);
        pool.record_end(now, &attempt, End::Completed);
    }
    now
}

fn digest(pool: &mut Pool, now: Instant) -> Digest {
    // A digest lists only endpoints with load.
    pool.sent(now, Endpoint(1), &demand(1, 0).prompt);
    Digest { loads: pool.loads(now, |_| false).collect(), ..Digest::default() }
}

/// Guards against a capacity share that depends on the router to which a customer's connections go.
#[googletest::test]
fn routers_use_the_same_prefill_rate() {
    let (mut fast, mut slow) = (engines(1), engines(1));
    let now = measure_rate(&mut fast, 80, 200).max(measure_rate(&mut slow, 40, 200));
    let (from_fast, from_slow) = (digest(&mut fast, now), digest(&mut slow, now));
    fast.apply_digest(now, Node(2), &from_slow);
    slow.apply_digest(now, Node(1), &from_fast);
    fast.expire(now, |_| true);
    slow.expire(now, |_| true);
    let wait =
        |pool: &Pool| pool.choose_endpoint(now, &demand(7, 500), &[]).unwrap().wait.as_millis();
    expect_that!(wait(&fast).abs_diff(wait(&slow)), le(3), "{} and {}", wait(&fast), wait(&slow));
}
