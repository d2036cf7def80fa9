//! Expected cost of requests, learned from completed ones.
//!
//! Requests of one route and customer resemble each other: [`Model`] keeps the mean time and the mean number of generated tokens
//! for each such pair, for each route, and for all requests. A caller's hint of the number of tokens counts to the extent that
//! the hints of the same route and customer have been right.

use {
    indexmap::IndexMap,
    siskin_types::id::Customer,
    siskin_wire::work,
    std::{hash::Hash, time::Duration},
};

/// Most pairs of route and customer that are remembered.
const PAIRS_MAX: usize = 1_024;

/// Most routes that are remembered.
const ROUTES_MAX: usize = 256;

/// Part of a full table that is evicted at a time, because each eviction scans the table.
const EVICTED_PART: usize = 8;

/// Weight of a new sample in moving averages, once there are many.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Fewest samples from which the mean of a pair is used instead of that of its route.
const PAIR_SAMPLES_MIN: u32 = 4;

/// Error relative to the mean up to which estimates count fully, and from which they count for nothing. Times that vary as widely
/// as exponentially distributed ones have an error of 0.74 times the mean, and their mean is still of use.
const ERROR_TRUSTED: f64 = 0.8;
const ERROR_USELESS: f64 = 1.6;

/// What is known of a request's cost before it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Number of the route.
    pub route: u32,
    /// The customer.
    pub customer: Customer,
    /// The caller's estimate of the number of tokens that will be generated; 0 if unknown.
    pub hint: u32,
}

/// Expected cost of a request. Zero if nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Time for which the request will occupy a slot after the prefill of its prompt.
    pub time: Duration,
    /// Mean absolute error of `time`.
    pub time_error: Duration,
    /// Tokens that will be generated.
    pub tokens: u32,
    /// Mean absolute error of `tokens`.
    pub tokens_error: u32,
}

/// What a completed request has cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time for which it occupied a slot after the prefill of its prompt.
    pub time: Duration,
    /// Tokens that were generated, if known.
    pub tokens: Option<u32>,
}

/// Expected cost of the requests of one service.
///
/// ```
/// use {
///     siskin_dispatch::cost::{Model, Request, Sample},
///     siskin_types::id::Customer,
///     std::time::Duration,
/// };
/// let mut model = Model::default();
/// let request = |customer, hint| Request { route: 1, customer: Customer(customer), hint };
/// for tokens in [100, 300, 100, 300, 100, 300, 100, 300] {
///     let sample = Sample { time: Duration::from_millis(3) * tokens, tokens: Some(tokens) };
///     model.record(&request(7, 0), None, sample);
///     model.record(&request(8, tokens), None, sample);
/// }
/// let estimate = model.estimate(&request(7, 300));
/// assert!((180..=220).contains(&estimate.tokens), "no hints are known: {estimate:?}");
/// assert_eq!(model.estimate(&request(8, 300)).tokens, 300, "hints have been right");
/// assert!((180..=220).contains(&model.estimate(&request(9, 0)).tokens), "mean of the route");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Model {
    pairs: Table<(u32, Customer)>,
    routes: Table<u32>,
    service: Entry,
    /// Time of requests, and absolute error of their estimates, in milliseconds.
    times: Mean,
    errors: Mean,
}

impl Model {
    /// The expected cost of a request.
    #[must_use]
    pub fn estimate(&self, request: &Request) -> Estimate {
        let pair = self.pairs.entries.get(&(request.route, request.customer));
        let entry = pair
            .filter(|entry| entry.time.samples >= PAIR_SAMPLES_MIN)
            .or_else(|| self.routes.entries.get(&request.route))
            .unwrap_or(&self.service);
        entry.estimate(request.hint)
    }

    /// Records what a request has cost, and the time that was expected of it, if any was.
    pub fn record(&mut self, request: &Request, expected: Option<Duration>, sample: Sample) {
        self.pairs.entry((request.route, request.customer), PAIRS_MAX).add(request.hint, sample);
        self.routes.entry(request.route, ROUTES_MAX).add(request.hint, sample);
        self.service.add(request.hint, sample);
        if let Some(expected) = expected {
            let (actual, expected) = (millis(sample.time), millis(expected));
            self.times.add(actual);
            self.errors.add((actual - expected).abs());
        }
    }

    /// How far estimates can be relied on: 1 fully, 0 not at all.
    ///
    /// ```
    /// use {siskin_dispatch::cost::{Model, Request, Sample}, std::time::Duration};
    /// let mut model = Model::default();
    /// assert_eq!(model.trust(), 1.0);
    /// let sample = Sample { time: Duration::from_millis(100), tokens: None };
    /// for _ in 0..20 {
    ///     model.record(&Request::default(), Some(Duration::from_secs(1)), sample);
    /// }
    /// assert_eq!(model.trust(), 0.0);
    /// ```
    #[must_use]
    pub fn trust(&self) -> f64 {
        if self.times.value <= 0.0 {
            return 1.0;
        }
        let error = self.errors.value / self.times.value;
        ((ERROR_USELESS - error) / (ERROR_USELESS - ERROR_TRUSTED)).clamp(0.0, 1.0)
    }

    /// Number of pairs of route and customer that are remembered.
    #[must_use]
    pub fn pairs(&self) -> usize {
        self.pairs.entries.len()
    }

    /// Means of the routes, to report to other routers, for the service with this number.
    pub fn means(&self, service: u32) -> impl Iterator<Item = work::Mean> {
        self.routes.entries.iter().map(move |(route, entry)| entry.report(service, *route))
    }

    /// Takes over the mean of a route from a peer, unless this router knows the route from own requests or has no room for it.
    pub fn merge(&mut self, mean: &work::Mean) {
        let entries = &self.routes.entries;
        if entries.len() >= ROUTES_MAX && !entries.contains_key(&mean.route) {
            return;
        }
        let entry = self.routes.entry(mean.route, ROUTES_MAX);
        if entry.time.samples <= 1 {
            entry.replace(mean);
        }
    }
}

/// Entries of a bounded number, the least recently updated of which are evicted.
#[derive(Clone, Debug)]
struct Table<Key> {
    entries: IndexMap<Key, Entry>,
    uses: u64,
}

impl<Key> Default for Table<Key> {
    fn default() -> Self {
        Self { entries: IndexMap::new(), uses: 0 }
    }
}

impl<Key: Copy + Eq + Hash> Table<Key> {
    fn entry(&mut self, key: Key, max: usize) -> &mut Entry {
        if self.entries.len() >= max && !self.entries.contains_key(&key) {
            let mut uses: Vec<u64> = self.entries.values().map(|entry| entry.used).collect();
            let (_, oldest_kept, _) = uses.select_nth_unstable(max / EVICTED_PART);
            let oldest_kept = *oldest_kept;
            self.entries.retain(|_, entry| entry.used >= oldest_kept);
        }
        self.uses += 1;
        let entry = self.entries.entry(key).or_default();
        entry.used = self.uses;
        entry
    }
}

/// Costs of the requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Time, in milliseconds.
    time: Mean,
    tokens: Mean,
    /// Time per token, in milliseconds.
    token_time: Mean,
    /// Absolute error of the callers' hints, in tokens.
    hint_error: Mean,
    /// Number of the last update.
    used: u64,
}

impl Entry {
    fn add(&mut self, hint: u32, sample: Sample) {
        self.time.add(millis(sample.time));
        let Some(tokens) = sample.tokens.filter(|tokens| *tokens > 0) else { return };
        self.tokens.add(f64::from(tokens));
        self.token_time.add(millis(sample.time) / f64::from(tokens));
        if hint > 0 {
            self.hint_error.add((f64::from(hint) - f64::from(tokens)).abs());
        }
    }

    fn estimate(&self, hint: u32) -> Estimate {
        if self.tokens.samples == 0 {
            let (time, time_error) = (duration(self.time.value), duration(self.time.error));
            return Estimate { time, time_error, tokens: hint, tokens_error: 0 };
        }
        let weight = if hint > 0 { self.hint_weight() } else { 0.0 };
        let blend = |mean: f64, hinted: f64| mean + (hinted - mean) * weight;
        let tokens = blend(self.tokens.value, f64::from(hint));
        let tokens_error = blend(self.tokens.error, self.hint_error.value);
        let time = tokens * self.token_time.value;
        let time_error = tokens_error * self.token_time.value + tokens * self.token_time.error;
        Estimate {
            time: duration(time),
            time_error: duration(time_error),
            tokens: whole(tokens),
            tokens_error: whole(tokens_error),
        }
    }

    /// Weight of a hint relative to the mean: by the squares of their errors.
    fn hint_weight(&self) -> f64 {
        let (of_mean, of_hint) = (self.tokens.error.powi(2), self.hint_error.value.powi(2));
        if self.hint_error.samples == 0 || of_mean + of_hint == 0.0 {
            return 0.0;
        }
        of_mean / (of_mean + of_hint)
    }

    fn report(&self, service: u32, route: u32) -> work::Mean {
        work::Mean {
            service,
            route,
            time_ms: whole(self.time.value),
            time_error_ms: whole(self.time.error),
            tokens: whole(self.tokens.value),
            tokens_error: whole(self.tokens.error),
            token_us: whole(self.token_time.value * 1_000.0),
        }
    }

    fn replace(&mut self, mean: &work::Mean) {
        let one = |value, error| Mean { value, error, samples: 1 };
        self.time = one(f64::from(mean.time_ms), f64::from(mean.time_error_ms));
        if mean.tokens > 0 {
            self.tokens = one(f64::from(mean.tokens), f64::from(mean.tokens_error));
            self.token_time = one(f64::from(mean.token_us) / 1_000.0, 0.0);
        }
    }
}

/// Moving average and mean absolute error.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    error: f64,
    samples: u32,
}

impl Mean {
    fn add(&mut self, sample: f64) {
        if self.samples > 0 {
            let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
            self.error += ((sample - self.value).abs() - self.error) * weight;
        }
        self.samples = self.samples.saturating_add(1);
        self.value += (sample - self.value) * SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn duration(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
}

/// Rounds a value to the whole number that reports carry.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u32 {
    value.round().clamp(0.0, f64::from(u32::MAX)) as u32
}
