//! Admission of large prompts.
//!
//! A long prompt takes the capacity of several short ones, so under load it is refused first, and the longest prompts
//! of a route would be starved. This module tracks how often requests of each size class are served and adapts the
//! weight of a request's own prompt at admission, so that of the large requests the smaller ones are admitted first.

use {siskin_types::time::Instant, std::time::Duration};

/// Quantiles of the sizes that separate the classes: most requests, the large ones, and the largest tenth.
const QUANTILES: [f64; 2] = [0.7, 0.9];

/// Number of size classes.
const CLASSES: usize = QUANTILES.len() + 1;

/// Step of the running quantile estimates, relative to the mean size.
const QUANTILE_STEP: f64 = 0.05;

/// Weight of a new size in the moving average.
const MEAN_WEIGHT: f64 = 0.02;

/// Time constant of the exponential decay of the counts: they fall to about a third in this time.
const DECAY_TIME: Duration = Duration::from_secs(12);

/// A class is underserved if its share of requests served is below this factor times the share of all requests.
const UNDERSERVED_RATIO: f64 = 0.55;

/// Least patience (share of the target latency that a request may wait) of a request of an underserved class, also for
/// a customer beyond its fair share.
const UNDERSERVED_PATIENCE_MIN: f64 = 0.5;

/// Change of a class's weight with each of its requests.
const WEIGHT_STEP: f64 = 0.08;

/// Bounds of the weight of a request's own prompt.
const WEIGHT_MIN: f64 = 0.2;
const WEIGHT_MAX: f64 = 1.0;

/// Service rates of requests by size class, for one route.
///
/// ```
/// use {siskin_dispatch::sizes::Classes, siskin_types::time::Instant};
/// let mut sizes = Classes::default();
/// let now = Instant::from_micros(1);
/// for round in 0..200 {
///     let class = sizes.asked(now, if round % 10 == 0 { 50_000 } else { 1_000 });
///     if round % 10 > 0 {
///         sizes.served(class);
///     }
/// }
/// let large = sizes.asked(now, 60_000);
/// assert!(sizes.is_underserved(large));
/// assert!(sizes.own_weight(large) < 1.0);
/// ```
#[derive(Clone, Debug)]
pub struct Classes {
    /// Weight of the own prompt for requests of each class.
    weights: [f64; CLASSES],
    mean: f64,
    bounds: [f64; QUANTILES.len()],
    counts: [Count; CLASSES],
    last: Option<Instant>,
}

impl Default for Classes {
    fn default() -> Self {
        Self {
            weights: [WEIGHT_MAX; CLASSES],
            mean: 0.0,
            bounds: Default::default(),
            counts: Default::default(),
            last: None,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: f64,
    served: f64,
}

/// A size class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Class(usize);

impl Class {
    /// Name in metrics.
    ///
    /// ```
    /// assert_eq!(siskin_dispatch::sizes::Class::default().label(), "most");
    /// ```
    #[must_use]
    pub const fn label(self) -> &'static str {
        const LABELS: [&str; CLASSES] = ["most", "large", "largest"];
        LABELS[self.0]
    }
}

impl Classes {
    /// Records a request of this size and returns its class.
    pub fn asked(&mut self, now: Instant, tokens: u64) -> Class {
        self.decay_counts(now);
        #[expect(clippy::cast_precision_loss)]
        let size = tokens as f64;
        if self.mean == 0.0 {
            self.mean = size;
            self.bounds = [size; QUANTILES.len()];
        }
        self.mean += (size - self.mean) * MEAN_WEIGHT;
        let class = self.bounds.iter().filter(|&&bound| size > bound).count();
        for (bound, quantile) in self.bounds.iter_mut().zip(QUANTILES) {
            let step = if size > *bound { quantile } else { quantile - 1.0 };
            *bound = (*bound + step * QUANTILE_STEP * self.mean).max(0.0);
        }
        self.counts[class].asked += 1.0;
        if class > 0 {
            let step = if self.is_underserved(Class(class)) { -WEIGHT_STEP } else { WEIGHT_STEP };
            let weight = &mut self.weights[class];
            *weight = (*weight + step).clamp(WEIGHT_MIN, WEIGHT_MAX);
        }
        Class(class)
    }

    /// Records that a request of the class was sent to an endpoint.
    pub fn served(&mut self, class: Class) {
        self.counts[class.0].served += 1.0;
    }

    /// Weight of the prefill time of the own prompt of a request of the class, relative to the time that it waits for
    /// others.
    #[must_use]
    pub const fn own_weight(&self, class: Class) -> f64 {
        self.weights[class.0]
    }

    /// Patience of a request of the class, at least `UNDERSERVED_PATIENCE_MIN` if the class is underserved.
    /// `patience` is what the customer's share allows; if that is 0, the request stays refused.
    ///
    /// ```
    /// use siskin_dispatch::sizes::{Class, Classes};
    /// assert_eq!(Classes::default().patience(Class::default(), 0.1), 0.1);
    /// ```
    #[must_use]
    pub fn patience(&self, class: Class, patience: f64) -> f64 {
        let floor = if self.is_underserved(class) && patience > 0.0 {
            UNDERSERVED_PATIENCE_MIN
        } else {
            0.0
        };
        patience.max(floor)
    }

    /// Whether requests of the class were served much less often than all requests. The smallest class never counts as
    /// underserved.
    #[must_use]
    pub fn is_underserved(&self, class: Class) -> bool {
        if class.0 == 0 {
            return false;
        }
        let count = self.counts[class.0];
        let asked: f64 = self.counts.iter().map(|count| count.asked).sum();
        let served: f64 = self.counts.iter().map(|count| count.served).sum();
        count.served / count.asked.max(1.0) < UNDERSERVED_RATIO * served / asked.max(1.0)
    }

    fn decay_counts(&mut self, now: Instant) {
        let since = self.last.replace(now).map_or(Duration::ZERO, |last| now - last);
        let kept = (-since.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for count in &mut self.counts {
            count.asked *= kept;
            count.served *= kept;
        }
    }
}
