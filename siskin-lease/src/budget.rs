//! Rate limit and back-off for a router's calls to the store.
//!
//! ```
//! use {siskin_lease::budget::{Budget, Options}, siskin_types::time::Instant, std::time::Duration};
//! let mut budget = Budget::new(Options::default());
//! let start = Instant::from_micros(7);
//! assert_eq!((0..100).filter(|_| budget.try_take(start)).count(), 20);
//! assert!(budget.try_take(start + Duration::from_millis(50)), "tokens are refilled at 20 per second");
//! ```

use {
    rand::{Rng, rngs::SmallRng},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Shortest delay before a failed call is repeated.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest delay before a failed call is repeated.
pub const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Rate limit of a router's store calls.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Calls per second on average.
    pub calls_per_second: u32,
    /// Calls that may be made at once after an idle period.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { calls_per_second: 20, burst: 20 }
    }
}

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket for store calls.
#[derive(Debug)]
pub struct Budget {
    options: Options,
    /// Millionths of a token, as of `refilled_at`.
    tokens: u64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let tokens = u64::from(options.burst) * MICROS_PER_SECOND;
        Self { options, tokens, refilled_at: None }
    }

    /// Takes a token for a call; `false` if the call must wait.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= MICROS_PER_SECOND;
        if allowed {
            self.tokens -= MICROS_PER_SECOND;
        }
        allowed
    }

    /// Time until the next token is available.
    pub fn delay(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let missing = MICROS_PER_SECOND.saturating_sub(self.tokens);
        Duration::from_micros(missing.div_ceil(u64::from(self.options.calls_per_second).max(1)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self.refilled_at.map_or(Duration::ZERO, |at| now - at);
        self.refilled_at = Some(self.refilled_at.map_or(now, |at| at.max(now)));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(self.options.calls_per_second.into());
        let full = u64::from(self.options.burst) * MICROS_PER_SECOND;
        self.tokens = self.tokens.saturating_add(refill).min(full);
    }
}

/// Delays before the retries of a failing call, with decorrelated jitter.
///
/// Each is random between the shortest delay and three times the previous one, so that routers do not retry in step
/// after an outage.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    previous: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { previous: MIN_RETRY_DELAY }
    }
}

impl Backoff {
    /// Draws the delay before the next retry.
    pub fn next_delay(&mut self, rng: &mut SmallRng) -> Duration {
        let max = (self.previous * 3).min(MAX_RETRY_DELAY);
        self.previous = rng.random_range(MIN_RETRY_DELAY..=max);
        self.previous
    }

    /// Starts over after a successful call.
    pub const fn reset(&mut self) {
        self.previous = MIN_RETRY_DELAY;
    }
}
