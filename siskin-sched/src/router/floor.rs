//! Extrapolation of a model's floor between grants.

use {
    siskin_types::{cost::Virtual, time::Instant},
    siskin_wire::sched,
    std::time::Duration,
};

/// Time over which the rate is averaged.
const RATE_WINDOW_MICROS: i64 = 1_000_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The floor of one model and the rate at which it advances.
///
/// The floor of the last grant becomes outdated, while the virtual times of the router's own customers include every
/// request. Comparing the two overestimates a customer's lead, so the router returns slots that it could keep. With a
/// slack of 1,000 units this took up to 1.9 times the traffic.
#[derive(Debug)]
pub(super) struct Floor {
    /// The floor in the owner's last grant.
    pub(super) latest: sched::Floor,
    updated_at: Instant,
    /// Thousandths of a unit per unit of weight and second. Corrections of charges may make it negative.
    rate: i64,
}

impl Floor {
    pub(super) fn new(now: Instant, latest: sched::Floor) -> Self {
        Self { latest, updated_at: now, rate: 0 }
    }

    /// Applies the floor of a newer grant and updates the rate.
    pub(super) fn update(&mut self, now: Instant, latest: &sched::Floor) {
        let elapsed = i64::try_from((now - self.updated_at).as_micros()).unwrap_or(i64::MAX);
        if elapsed > 0 {
            let part = elapsed.min(RATE_WINDOW_MICROS);
            let before = i128::from(self.latest.floor.as_millis());
            let advance = i128::from(latest.floor.as_millis()) - before;
            let new = advance * i128::from(MICROS_PER_SECOND) / i128::from(elapsed);
            let old = i128::from(self.rate);
            let mean = old + (new - old) * i128::from(part) / i128::from(RATE_WINDOW_MICROS);
            self.rate = i64::try_from(mean).unwrap_or_default();
            self.updated_at = now;
        }
        self.latest = latest.clone();
    }

    /// The floor extrapolated to `now`, advanced for at most `max_age`.
    pub(super) fn extrapolate(&self, now: Instant, max_age: Duration) -> Virtual {
        let age = (now - self.updated_at).min(max_age).as_micros();
        let rate = u128::try_from(self.rate).unwrap_or_default();
        let advance = rate * age / u128::from(MICROS_PER_SECOND.unsigned_abs());
        let advance = u64::try_from(advance).unwrap_or(u64::MAX);
        let expected = Virtual::from_millis(self.latest.floor.as_millis().saturating_add(advance));
        debug_assert!(
            expected >= self.latest.floor,
            "the extrapolated floor is below the owner's floor"
        );
        expected
    }
}
