//! Counts of recent events.

use {super::MEMORY, siskin_types::time::Instant};

/// A count of events in which each one decays exponentially with [`MEMORY`] as its time constant. A constant rate of events
/// brings it to that rate times the constant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Count {
    value: f64,
    at: Instant,
}

impl Count {
    /// Counts an event.
    pub(super) fn add(&mut self, now: Instant) {
        *self = Self { value: self.value(now) + 1.0, at: now };
    }

    /// The count at a time.
    pub(super) fn value(&self, now: Instant) -> f64 {
        self.value * (-(now - self.at).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
