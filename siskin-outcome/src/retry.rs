//! Limits on retries: a budget shared by the requests of a pool, and the delay before each retry.

use {
    crate::outcome::Reason,
    indexmap::IndexMap,
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Settings of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries allowed for each hundred requests.
    pub percent: u32,
    /// Retries that may be saved up, also available at the start.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        // A burst of 10 covers the requests in flight at one endpoint of a small site when it dies.
        Self { percent: 10, burst: 10 }
    }
}

/// Counts of one reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Retries that were allowed.
    pub allowed: u64,
    /// Retries that the budget did not cover.
    pub denied: u64,
}

/// Limits the retries of one router in one pool to a share of its traffic.
///
/// ```
/// use siskin_outcome::{outcome::Reason, retry::{Budget, Options}};
/// let mut budget = Budget::new(Options { percent: 10, burst: 1 });
/// assert!(budget.take(Reason::Broken));
/// assert!(!budget.take(Reason::Broken));
/// for _ in 0..10 {
///     budget.request();
/// }
/// assert!(budget.take(Reason::Broken));
/// assert_eq!(budget.counts()[&Reason::Broken].denied, 1);
/// ```
#[derive(Debug)]
pub struct Budget {
    options: Options,
    /// In hundredths of a retry.
    balance: u64,
    counts: IndexMap<Reason, Count>,
}

/// Hundredths of a retry in a retry.
const RETRY: u64 = 100;

impl Budget {
    /// Makes a budget that starts full.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, balance: u64::from(options.burst) * RETRY, counts: IndexMap::new() }
    }

    /// Changes the share of the requests that may be retried. What is saved up stays.
    ///
    /// ```
    /// use siskin_outcome::{outcome::Reason, retry::{Budget, Options}};
    /// let mut budget = Budget::new(Options { percent: 10, burst: 1 });
    /// assert!(budget.take(Reason::Broken));
    /// budget.set_percent(100);
    /// budget.request();
    /// assert!(budget.take(Reason::Broken), "one request now gives one retry");
    /// ```
    pub const fn set_percent(&mut self, percent: u32) {
        self.options.percent = percent;
    }

    /// A request was accepted.
    pub fn request(&mut self) {
        let full = u64::from(self.options.burst) * RETRY;
        self.balance = full.min(self.balance + u64::from(self.options.percent));
    }

    /// Takes one retry if there is one.
    pub fn take(&mut self, reason: Reason) -> bool {
        let count = self.counts.entry(reason).or_default();
        let allowed = self.balance >= RETRY;
        if allowed {
            self.balance -= RETRY;
            count.allowed += 1;
        } else {
            count.denied += 1;
        }
        allowed
    }

    /// Retries allowed and denied, by reason.
    #[must_use]
    pub fn counts(&self) -> &IndexMap<Reason, Count> {
        &self.counts
    }
}

/// Delays before retries: doubled each time and drawn from the upper half, so that requests which failed
/// together do not return together.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Delay before the first retry.
    pub first: Duration,
    /// Longest delay.
    pub longest: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { first: Duration::from_millis(20), longest: Duration::from_secs(1) }
    }
}

impl Backoff {
    /// Draws the delay before retry number `retry`, counted from zero.
    ///
    /// ```
    /// use {rand::{SeedableRng, rngs::SmallRng}, siskin_outcome::retry::Backoff, std::time::Duration};
    /// let mut random = SmallRng::seed_from_u64(1);
    /// let delay = Backoff::default().delay(1, &mut random);
    /// assert!(delay >= Duration::from_millis(20) && delay <= Duration::from_millis(40));
    /// ```
    pub fn delay(&self, retry: u32, random: &mut SmallRng) -> Duration {
        let doubled = self.first.saturating_mul(1u32.checked_shl(retry).unwrap_or(u32::MAX));
        let bound = doubled.min(self.longest);
        bound.mul_f64(random.random_range(0.5..=1.0))
    }
}
