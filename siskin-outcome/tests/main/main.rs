//! Tests of outcomes, the lifecycle of a request, poison detection, and the versions that began streams.

mod fleet;
mod life;
mod origin;
mod outcome;
mod poison;
mod poison_fleet;
mod quarantine;

/// Seeds for a randomised test: the one in `SISKIN_SEED`, otherwise 1 to `count`.
fn seeds(count: u64) -> Vec<u64> {
    match std::env::var("SISKIN_SEED") {
        Ok(seed) => vec![seed.parse().expect("SISKIN_SEED is a number")],
        Err(_) => (1..=count).collect(),
    }
}
