//! Where the floor of a model is between grants.

use {
    siskin_types::{cost::Virtual, time::Instant},
    siskin_wire::sched,
    std::time::Duration,
};

/// Time over which the pace is averaged.
const SPAN_MICROS: i64 = 1_000_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// The floor of one model and its pace.
///
/// The floor in a grant grows old, while the virtual times of the router's own customers include every request.
/// Comparing the two makes a lead look larger than it is, so the router returns slots that it could keep. With a
/// slack of 1,000 units this took up to 1.9 times the traffic.
#[derive(Debug)]
pub(super) struct Floor {
    /// As the owner's last grant says.
    pub(super) told: sched::Floor,
    at: Instant,
    /// Thousandths of a unit per unit of weight and second. Corrections of charges may make it negative.
    pace: i64,
}

impl Floor {
    pub(super) fn new(now: Instant, told: sched::Floor) -> Self {
        Self { told, at: now, pace: 0 }
    }

    /// Takes the floor of another grant.
    pub(super) fn update(&mut self, now: Instant, told: &sched::Floor) {
        let elapsed = i64::try_from((now - self.at).as_micros()).unwrap_or(i64::MAX);
        if elapsed > 0 {
            let part = elapsed.min(SPAN_MICROS);
            let before = i128::from(self.told.floor.as_millis());
            let advance = i128::from(told.floor.as_millis()) - before;
            let new = advance * i128::from(MICROS_PER_SECOND) / i128::from(elapsed);
            let old = i128::from(self.pace);
            let mean = old + (new - old) * i128::from(part) / i128::from(SPAN_MICROS);
            self.pace = i64::try_from(mean).unwrap_or_default();
            self.at = now;
        }
        self.told = told.clone();
    }

    /// The floor to expect now, advanced for `most` at the longest.
    pub(super) fn expected(&self, now: Instant, most: Duration) -> Virtual {
        let age = (now - self.at).min(most).as_micros();
        let pace = u128::try_from(self.pace).unwrap_or_default();
        let advance = pace * age / u128::from(MICROS_PER_SECOND.unsigned_abs());
        let advance = u64::try_from(advance).unwrap_or(u64::MAX);
        let expected = Virtual::from_millis(self.told.floor.as_millis().saturating_add(advance));
        debug_assert!(expected >= self.told.floor, "the floor is put below the owner's word");
        expected
    }
}
