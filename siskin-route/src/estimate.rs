//! Estimates of the cost of requests, learned from earlier ones.
//!
//! Callers' hints are rough: `max_tokens` is an upper limit that most answers do not reach. The estimate is the
//! prompt's length plus a moving average of the output lengths of the same customer and model, never above the limit.
//! The charge is corrected when the request ends, so a wrong estimate only affects the order of requests temporarily.

use {
    indexmap::IndexMap,
    siskin_types::{
        cost::Units,
        id::{Customer, Model},
    },
};

/// Inverse of the newest value's weight in the moving average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Bytes of text in a token, on average.
const BYTES_PER_TOKEN: u64 = 4;

/// Learns output lengths by customer and model.
#[derive(Debug)]
pub struct Estimator {
    capacity: usize,
    default: Units,
    averages: IndexMap<(Customer, Model), Units>,
}

impl Estimator {
    /// Creates an estimator that remembers at most `capacity` pairs of customer and model, and returns `default` for
    /// unknown ones.
    #[must_use]
    pub fn new(capacity: usize, default: Units) -> Self {
        Self { capacity, default, averages: IndexMap::new() }
    }

    /// Estimated output of a request, at most `limit`.
    ///
    /// ```
    /// use {
    ///     siskin_route::estimate::Estimator,
    ///     siskin_types::{cost::Units, id::{Customer, Model}},
    /// };
    /// let mut estimator = Estimator::new(100, Units(64));
    /// assert_eq!(estimator.output(Customer(1), Model(1), Units(4_096)), Units(64));
    /// for _ in 0..40 {
    ///     estimator.record_output(Customer(1), Model(1), Units(800));
    /// }
    /// assert!(estimator.output(Customer(1), Model(1), Units(4_096)) > Units(700));
    /// assert_eq!(estimator.output(Customer(1), Model(1), Units(10)), Units(10));
    /// ```
    #[must_use]
    pub fn output(&self, customer: Customer, model: Model, limit: Units) -> Units {
        self.averages.get(&(customer, model)).copied().unwrap_or(self.default).min(limit)
    }

    /// Records the output of a finished request.
    pub fn record_output(&mut self, customer: Customer, model: Model, actual: Units) {
        let key = (customer, model);
        if !self.averages.contains_key(&key) && self.averages.len() >= self.capacity {
            // The first entry is the oldest one. Evicting it costs one estimate, which is then the default.
            self.averages.shift_remove_index(0);
        }
        let average = self.averages.entry(key).or_insert(actual);
        // Rounding up lets the average reach larger values that differ by less than the divisor.
        average.0 = (average.0 * (SMOOTHING_DIVISOR - 1) + actual.0).div_ceil(SMOOTHING_DIVISOR);
    }
}

/// Estimated number of tokens in `bytes` of text.
#[must_use]
pub fn tokens(bytes: usize) -> Units {
    Units((bytes as u64).div_ceil(BYTES_PER_TOKEN))
}
