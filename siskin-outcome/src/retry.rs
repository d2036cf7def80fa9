//! Limits on retries: a retry budget shared by the requests of a pool, and exponential backoff.

use {
    crate::outcome::Reason,
    indexmap::IndexMap,
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Settings of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries allowed per hundred requests.
    pub percent: u32,
    /// Maximum number of unused retries that accumulate; a new budget starts with as many.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        // 10 retries cover the requests in flight at one endpoint of a small site when it crashes.
        Self { percent: 10, burst: 10 }
    }
}

/// Number of retries for one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Retries that were allowed.
    pub allowed: u64,
    /// Retries that the budget did not cover.
    pub denied: u64,
}

/// Retry budget: limits the retries of one router in one pool to a percentage of its requests.
///
/// ```
/// use siskin_outcome::{outcome::Reason, retry::{Budget, Options}};
/// let mut budget = Budget::new(Options { percent: 10, burst: 1 });
/// assert!(budget.try_take_retry(Reason::Broken));
/// assert!(!budget.try_take_retry(Reason::Broken));
/// for _ in 0..10 {
///     budget.request();
/// }
/// assert!(budget.try_take_retry(Reason::Broken));
/// assert_eq!(budget.counts()[&Reason::Broken].denied, 1);
/// ```
#[derive(Debug)]
pub struct Budget {
    options: Options,
    /// Available retries, in hundredths of a retry.
    balance: u64,
    counts: IndexMap<Reason, Count>,
}

/// Amount of `balance` that one retry takes.
const HUNDREDTHS_PER_RETRY: u64 = 100;

impl Budget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            balance: u64::from(options.burst) * HUNDREDTHS_PER_RETRY,
            counts: IndexMap::new(),
        }
    }

    /// Changes the percentage of requests that may be retried; accumulated retries are kept.
    ///
    /// ```
    /// use siskin_outcome::{outcome::Reason, retry::{Budget, Options}};
    /// let mut budget = Budget::new(Options { percent: 10, burst: 1 });
    /// assert!(budget.try_take_retry(Reason::Broken));
    /// budget.set_percent(100);
    /// budget.request();
    /// assert!(budget.try_take_retry(Reason::Broken), "one request now gives one retry");
    /// ```
    pub const fn set_percent(&mut self, percent: u32) {
        self.options.percent = percent;
    }

    /// Adds the share of a retry that an accepted request allows.
    pub fn request(&mut self) {
        let max_balance = u64::from(self.options.burst) * HUNDREDTHS_PER_RETRY;
        self.balance = max_balance.min(self.balance + u64::from(self.options.percent));
    }

    /// Takes one retry from the budget; returns whether one was available.
    pub fn try_take_retry(&mut self, reason: Reason) -> bool {
        let count = self.counts.entry(reason).or_default();
        let allowed = self.balance >= HUNDREDTHS_PER_RETRY;
        if allowed {
            self.balance -= HUNDREDTHS_PER_RETRY;
            count.allowed += 1;
        } else {
            count.denied += 1;
        }
        allowed
    }

    /// Numbers of retries allowed and denied, by reason.
    #[must_use]
    pub fn counts(&self) -> &IndexMap<Reason, Count> {
        &self.counts
    }
}

/// Exponential backoff with jitter: the delay doubles with each retry and is drawn from the upper half of the
/// interval, so that requests that failed together are not retried together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Delay before the first retry.
    pub initial: Duration,
    /// Upper limit of the delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { initial: Duration::from_millis(20), max: Duration::from_secs(1) }
    }
}

impl Backoff {
    /// Draws the delay before a retry; `retry` counts from zero.
    ///
    /// ```
    /// use {rand::{SeedableRng, rngs::SmallRng}, siskin_outcome::retry::Backoff, std::time::Duration};
    /// let mut random = SmallRng::seed_from_u64(1);
    /// let delay = Backoff::default().delay(1, &mut random);
    /// assert!(delay >= Duration::from_millis(20) && delay <= Duration::from_millis(40));
    /// ```
    pub fn delay(&self, retry: u32, random: &mut SmallRng) -> Duration {
        let exponential = self.initial.saturating_mul(1u32.checked_shl(retry).unwrap_or(u32::MAX));
        let upper_bound = exponential.min(self.max);
        upper_bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
