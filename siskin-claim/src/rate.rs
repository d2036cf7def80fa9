//! Limit on the writes of one writer.

use {siskin_types::time::Instant, std::time::Duration};

/// Token bucket.
#[derive(Debug)]
pub(crate) struct Rate {
    per_second: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Rate {
    pub(crate) fn new(per_second: f64, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self { per_second, burst, level: burst, at: Instant::ZERO }
    }

    pub(crate) fn set(&mut self, now: Instant, per_second: f64) {
        self.refill(now);
        self.per_second = per_second;
    }

    fn refill(&mut self, now: Instant) {
        let gained = (now - self.at).as_secs_f64() * self.per_second;
        self.level = self.burst.min(self.level + gained);
        self.at = self.at.max(now);
    }

    pub(crate) fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }

    /// When the next write is allowed.
    pub(crate) fn next(&self) -> Instant {
        if self.level >= 1.0 {
            return self.at;
        }
        let missing = (1.0 - self.level) / self.per_second;
        // One microsecond more, because the time is rounded down.
        self.at + Duration::from_secs_f64(missing) + Duration::from_micros(1)
    }
}
