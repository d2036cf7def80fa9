//! Calls per second.

use std::time::Instant;

/// Seconds of unused calls that may be made at once.
const BURST_SECONDS: f64 = 0.25;

/// Token bucket.
#[derive(Debug)]
pub(crate) struct Limit {
    per_second: f64,
    left: f64,
    at: Instant,
}

impl Limit {
    pub(crate) fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self { per_second, left: burst(per_second), at: now }
    }

    /// Takes one call, if there is one; `reserved` calls per second are taken by others.
    pub(crate) fn take(&mut self, now: Instant, reserved: u32) -> bool {
        let rate = (self.per_second - f64::from(reserved)).max(0.0);
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.left = (self.left + elapsed * rate).min(burst(rate));
        self.at = now;
        let allowed = self.left >= 1.0;
        if allowed {
            self.left -= 1.0;
        }
        allowed
    }
}

/// At least one call, or none at all if the rate is zero.
fn burst(rate: f64) -> f64 {
    if rate > 0.0 { (rate * BURST_SECONDS).max(1.0) } else { 0.0 }
}
