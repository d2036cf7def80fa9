//! Tests of leases and orders, with simulated time.

mod budget;
mod faults;
mod holder;
mod orders;
mod world;

/// Seeds of the randomised tests: the numbers from 1 to `count` and the seeds in `found`, which once found a fault; or
/// only the seed in the environment variable `SISKIN_SEED`.
fn seeds(count: u64, found: &[u64]) -> Vec<u64> {
    let given = std::env::var("SISKIN_SEED").ok().and_then(|seed| seed.parse().ok());
    let fixed = || (1..=count).chain(found.iter().copied()).collect();
    given.map_or_else(fixed, |seed| vec![seed])
}
