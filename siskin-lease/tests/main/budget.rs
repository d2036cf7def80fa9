use {
    googletest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    siskin_lease::budget::{Backoff, Budget, MAX_RETRY_DELAY, MIN_RETRY_DELAY, Options},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Guards against a router that exceeds its rate of store calls and overloads the store.
#[gtest]
fn calls_are_limited_on_average() {
    let mut budget = Budget::new(Options::default());
    let mut now = Instant::from_micros(3);
    let mut allowed = 0;
    for _ in 0..10_000 {
        allowed += u32::from(budget.try_take(now));
        now = now + Duration::from_millis(1);
    }
    expect_that!(allowed, all![ge(219), le(220)], "20 per second for 10 s and the burst of 20");
    while budget.try_take(now) {}
    let delay = budget.delay(now);
    expect_that!(delay, le(Duration::from_millis(50)));
    expect_that!(budget.try_take(now + delay), eq(true));
    expect_that!(budget.try_take(now), eq(false), "an earlier time refills no tokens");
}

/// Guards against routers that retry in step or too fast.
#[gtest]
fn retries_are_jittered_between_the_limits() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::default();
    let delays: Vec<_> = (0..200).map(|_| backoff.next_delay(&mut rng)).collect();
    expect_that!(delays, each(all![ge(&MIN_RETRY_DELAY), le(&MAX_RETRY_DELAY)]));
    let distinct: std::collections::BTreeSet<_> = delays.iter().collect();
    expect_that!(distinct.len(), gt(150));
    expect_that!(delays.iter().max(), some(gt(&Duration::from_secs(3))));
    backoff.reset();
    expect_that!(backoff.next_delay(&mut rng), le(MIN_RETRY_DELAY * 3));
}
