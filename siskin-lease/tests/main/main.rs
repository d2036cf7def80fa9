//! Tests of leases and orders in virtual time.

mod budget;
mod faults;
mod holder;
mod orders;
mod world;

/// Seeds of the randomised tests: a fixed list, or the one in `SISKIN_SEED`.
fn seeds(count: u64) -> Vec<u64> {
    let given = std::env::var("SISKIN_SEED").ok().and_then(|seed| seed.parse().ok());
    given.map_or_else(|| (1..=count).collect(), |seed| vec![seed])
}
