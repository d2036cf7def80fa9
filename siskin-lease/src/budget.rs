//! How often a router may call the store, and when it repeats a failed call.
//!
//! ```
//! use {siskin_lease::budget::{Budget, Options}, siskin_types::time::Instant, std::time::Duration};
//! let mut budget = Budget::new(Options::default());
//! let start = Instant::from_micros(7);
//! assert_eq!((0..100).filter(|_| budget.take(start)).count(), 20);
//! assert!(budget.take(start + Duration::from_millis(50)), "20 calls per second come back one by one");
//! ```

use {
    rand::{Rng, rngs::SmallRng},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Shortest time before a failed call is repeated.
pub const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// Longest time before a failed call is repeated.
pub const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// Limits of a router's store calls.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Calls per second on average.
    pub calls_per_second: u32,
    /// Calls that may be made at once after a pause.
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
    /// Tokens in millionths, at `at`.
    tokens: u64,
    at: Option<Instant>,
}

impl Budget {
    /// Makes a full bucket.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let tokens = u64::from(options.burst) * MICROS_PER_SECOND;
        Self { options, tokens, at: None }
    }

    /// Takes a token for a call; `false` if the call must wait.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let allowed = self.tokens >= MICROS_PER_SECOND;
        if allowed {
            self.tokens -= MICROS_PER_SECOND;
        }
        allowed
    }

    /// How long a call that was not allowed has to wait.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        let missing = MICROS_PER_SECOND.saturating_sub(self.tokens);
        Duration::from_micros(missing.div_ceil(u64::from(self.options.calls_per_second).max(1)))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now - at);
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(self.options.calls_per_second.into());
        let full = u64::from(self.options.burst) * MICROS_PER_SECOND;
        self.tokens = self.tokens.saturating_add(refill).min(full);
    }
}

/// Times between the repetitions of a failing call.
///
/// Each is random between the shortest and three times the previous one, so that routers do not repeat in step after
/// an outage.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    previous: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { previous: SHORTEST_RETRY }
    }
}

impl Backoff {
    /// The time before the next repetition.
    pub fn next(&mut self, rng: &mut SmallRng) -> Duration {
        let longest = (self.previous * 3).min(LONGEST_RETRY);
        self.previous = rng.random_range(SHORTEST_RETRY..=longest);
        self.previous
    }

    /// A call has succeeded.
    pub const fn reset(&mut self) {
        self.previous = SHORTEST_RETRY;
    }
}
