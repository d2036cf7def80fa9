//! The fleet's retry budget.
//!
//! The limit applies to all routers together. Each router uses only the part that its own requests earn and an equal
//! part of the fixed allowance, so the sum stays within the limit without coordination, however unevenly requests are
//! distributed.

use {
    siskin_types::time::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Number of buckets in a window.
const BUCKETS: u32 = 10;

/// Share of the limit that is used. The rest covers requests that arrive later than they were counted, and routers that
/// have restarted and lost their counts.
const LIMIT_SHARE: f64 = 0.7;

/// The fleet's limit on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries that the whole fleet may make in a window beyond the ratio.
    pub allowance: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// One router's part of the retry budget for one service.
///
/// ```
/// use {siskin_dispatch::budget::{Budget, Options}, siskin_types::time::Instant, std::time::Duration};
/// let window = Duration::from_secs(10);
/// let mut budget = Budget::new(Options { ratio: 0.2, allowance: 20.0, window });
/// let now = Instant::from_micros(1_000_000);
/// let taken = (0..50).filter(|_| budget.try_take(now, 4)).count();
/// assert_eq!(taken, 3, "a quarter of the allowance, less the reserve");
/// assert!(budget.try_take(now + window + window, 4), "a new window");
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl Budget {
    /// Creates an unused budget.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self { options, buckets: VecDeque::new() }
    }

    /// Changes the fleet's limit.
    pub const fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Records an accepted request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry from the budget if one is left; `routers` share the allowance.
    pub fn try_take(&mut self, now: Instant, routers: u32) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowance = self.options.allowance / f64::from(routers.max(1));
        let limit = (f64::from(requests) * self.options.ratio + allowance) * LIMIT_SHARE;
        let allowed = f64::from(retries + 1) <= limit;
        if allowed {
            self.current_bucket(now).retries += 1;
        }
        allowed
    }

    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let span = self.options.window / BUCKETS;
        // Keeps one bucket more than the window, so that every sliding window of that length is covered.
        while self
            .buckets
            .front()
            .is_some_and(|front| now - front.start > self.options.window + span)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|back| now - back.start >= span) {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
