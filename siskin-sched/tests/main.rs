//! Tests of the scheduler in virtual time. `SISKIN_SEED` repeats one seed, `SISKIN_SEEDS` runs more of them.

mod faults;
mod fleet;
mod harness;
mod leaving;
mod owner;
mod rules;
