//! Rate limit for the store writes of one writer.

use {siskin_types::time::Instant, std::time::Duration};

/// Token bucket.
#[derive(Debug)]
pub(crate) struct Limiter {
    rate_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Limiter {
    pub(crate) fn new(rate_per_second: f64, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self { rate_per_second, burst, tokens: burst, refilled_at: Instant::ZERO }
    }

    pub(crate) fn set_rate(&mut self, now: Instant, rate_per_second: f64) {
        self.refill(now);
        self.rate_per_second = rate_per_second;
    }

    fn refill(&mut self, now: Instant) {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate_per_second;
        self.tokens = self.burst.min(self.tokens + gained);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Earliest time at which a token is available.
    pub(crate) fn next_allowed(&self) -> Instant {
        if self.tokens >= 1.0 {
            return self.refilled_at;
        }
        let missing = (1.0 - self.tokens) / self.rate_per_second;
        // Adds one microsecond, because the conversion to `Duration` rounds down.
        self.refilled_at + Duration::from_secs_f64(missing) + Duration::from_micros(1)
    }
}
