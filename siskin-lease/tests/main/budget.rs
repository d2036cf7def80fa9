use {
    googletest::prelude::*,
    rand::{SeedableRng, rngs::SmallRng},
    siskin_lease::budget::{Backoff, Budget, LONGEST_RETRY, Options, SHORTEST_RETRY},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Guards against a router that overloads the store.
#[gtest]
fn calls_are_limited_on_average() {
    let mut budget = Budget::new(Options::default());
    let mut now = Instant::from_micros(3);
    let mut allowed = 0;
    for _ in 0..10_000 {
        allowed += u32::from(budget.take(now));
        now = now + Duration::from_millis(1);
    }
    expect_that!(allowed, all![ge(219), le(220)], "20/s for 10 s and the burst");
    while budget.take(now) {}
    let wait = budget.wait(now);
    expect_that!(wait, le(Duration::from_millis(50)));
    expect_that!(budget.take(now + wait), eq(true));
    expect_that!(budget.take(now), eq(false), "time does not run backwards");
}

/// Guards against routers that repeat in step or too fast.
#[gtest]
fn retries_are_jittered_between_the_limits() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut backoff = Backoff::default();
    let waits: Vec<_> = (0..200).map(|_| backoff.next(&mut rng)).collect();
    expect_that!(waits, each(all![ge(&SHORTEST_RETRY), le(&LONGEST_RETRY)]));
    let distinct: std::collections::BTreeSet<_> = waits.iter().collect();
    expect_that!(distinct.len(), gt(150));
    expect_that!(waits.iter().max(), some(gt(&Duration::from_secs(3))));
    backoff.reset();
    expect_that!(backoff.next(&mut rng), le(SHORTEST_RETRY * 3));
}
