//! Tests of the schedulers in simulated time. `SISKIN_SEED` runs one seed, `SISKIN_SEEDS` sets the number of seeds.

mod faults;
mod fleet;
mod harness;
mod leaving;
mod owner;
mod rules;
