//! How much of their time engines may read prompts.
//!
//! An engine that always has a prompt to read makes a token of each of its streams only after each chunk of a prompt.
//! Where an event holds many tokens, its streams then pause for longer than they may. The share of the time in which
//! engines are given prompts falls with each pause that was too long and rises slowly otherwise.

use std::time::Duration;

/// Factor for each pause that was too long.
const DECREASE: f64 = 0.99;

/// Increase for each pause that was not. With [`DECREASE`], about three pauses in a thousand are too long in the end.
const INCREASE: f64 = 0.000_03;

/// Smallest share.
const SHARE_MIN: f64 = 0.35;

/// A pause from this share of the longest one allowed on counts as too long.
const LATE: f64 = 0.95;

/// The share, adapted to the pauses of streams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace(f64);

impl Default for Pace {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Pace {
    pub(super) fn sample(&mut self, pause: Duration, aim: Duration) {
        self.0 = if pause > aim.mul_f64(LATE) {
            (self.0 * DECREASE).max(SHARE_MIN)
        } else {
            (self.0 + INCREASE).min(1.0)
        };
    }

    pub(super) const fn share(self) -> f64 {
        self.0
    }
}
