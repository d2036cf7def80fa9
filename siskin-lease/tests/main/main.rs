//! Tests of leases and orders in virtual time.

mod budget;
mod faults;
mod holder;
mod orders;
mod world;

/// Seeds of the randomised tests: the first `count` numbers and those that once found a fault, or the one in
/// `SISKIN_SEED`.
fn seeds(count: u64, found: &[u64]) -> Vec<u64> {
    let given = std::env::var("SISKIN_SEED").ok().and_then(|seed| seed.parse().ok());
    let fixed = || (1..=count).chain(found.iter().copied()).collect();
    given.map_or_else(fixed, |seed| vec![seed])
}
