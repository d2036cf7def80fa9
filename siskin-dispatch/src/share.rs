//! Max-min fair shares of the capacity by customer.
//!
//! A customer that asks for less than an equal share gets all it asks for, and what it leaves is divided among the
//! others. Costs are counted over a sliding window and summed over all routers.

use {
    crate::work::Capacity,
    indexmap::IndexMap,
    siskin_types::{id::Customer, time::Instant},
    std::{collections::VecDeque, time::Duration},
};

/// Number of buckets in a window.
const BUCKETS: u32 = 8;

/// Shortest time that counts as elapsed after the start of the process, in buckets.
const BUCKETS_MIN: u32 = 2;

/// Costs of one customer, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Cost of all requests, the refused ones included.
    pub asked: u64,
    /// Cost of the requests that were sent to an endpoint.
    pub begun: u64,
}

/// A customer's usage compared with its fair share and with other customers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// The customer's usage within the window.
    pub usage: Usage,
    /// The max-min fair share: the most that any customer is entitled to within the window, in tokens; infinite while
    /// the capacity suffices for all.
    pub fair_share: f64,
    /// The least that any other customer got, of those that asked for at least as much as this one got.
    pub rival: Option<u64>,
    /// Unmet demand of the other customers, as a share of the capacity.
    pub unmet: f64,
}

impl Standing {
    /// The customer's usage as a share of the max-min fair share. A customer that asks for little stays far below 1,
    /// even if it got everything.
    ///
    /// ```
    /// use siskin_dispatch::share::{Standing, Usage};
    /// let usage = Usage { asked: 400, begun: 50 };
    /// assert_eq!(Standing { usage, fair_share: 100.0, rival: None, unmet: 0.0 }.used_share(), 0.5);
    /// ```
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn used_share(&self) -> f64 {
        self.usage.begun as f64 / self.fair_share.max(1.0)
    }
}

/// Costs by customer over a sliding window.
///
/// ```
/// use {
///     siskin_dispatch::share::{Ledger, Usage},
///     siskin_types::{id::Customer, time::Instant},
///     std::time::Duration,
/// };
/// let mut ledger = Ledger::new(Duration::from_secs(4), 100.0);
/// let now = Instant::from_micros(1);
/// ledger.add(now, Customer(1), Usage { asked: 1_000, begun: 300 });
/// ledger.add(now, Customer(2), Usage { asked: 50, begun: 20 });
/// let now = now + Duration::from_secs(3);
/// ledger.add(now, Customer(2), Usage::default());
/// assert_eq!(ledger.standing(now, Customer(1)).fair_share, 250.0, "customer 2 asked for 50 of 300");
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    window: Duration,
    /// Tokens per second that all endpoints together process, as configured.
    capacity: f64,
    /// The capacity as measured.
    measured: Capacity,
    /// Cost of all requests that were sent to an endpoint.
    begun: u64,
    /// When costs were first counted.
    start: Option<Instant>,
    buckets: VecDeque<(Instant, IndexMap<Customer, Usage>)>,
    totals: IndexMap<Customer, Usage>,
}

impl Ledger {
    /// Creates an empty ledger for a capacity in tokens per second.
    #[must_use]
    pub fn new(window: Duration, capacity: f64) -> Self {
        Self {
            window,
            capacity,
            measured: Capacity::default(),
            begun: 0,
            start: None,
            buckets: VecDeque::new(),
            totals: IndexMap::new(),
        }
    }

    /// Changes the capacity in tokens per second.
    pub const fn set_capacity(&mut self, capacity: f64) {
        self.capacity = capacity;
    }

    /// Measures the capacity, given whether requests wait at the endpoints.
    ///
    /// ```
    /// use {
    ///     siskin_dispatch::share::{Ledger, Usage},
    ///     siskin_types::{id::Customer, time::Instant},
    ///     std::time::Duration,
    /// };
    /// let mut ledger = Ledger::new(Duration::from_secs(4), 100.0);
    /// for step in 0..30 {
    ///     let now = Instant::from_micros(1) + Duration::from_millis(100) * step;
    ///     ledger.add(now, Customer(1), Usage { asked: 10, begun: 7 });
    ///     ledger.measure_capacity(now, step < 20);
    ///     assert_eq!(ledger.capacity(), 100.0, "requests have waited for less than two seconds");
    /// }
    /// for step in 30..40 {
    ///     let now = Instant::from_micros(1) + Duration::from_millis(100) * step;
    ///     ledger.add(now, Customer(1), Usage { asked: 10, begun: 7 });
    ///     ledger.measure_capacity(now, true);
    /// }
    /// assert!((69.0..71.0).contains(&ledger.capacity()));
    /// ledger.measure_capacity(Instant::from_micros(1) + Duration::from_secs(40), false);
    /// assert_eq!(ledger.capacity(), 100.0, "the measurement is old");
    /// ```
    pub fn measure_capacity(&mut self, now: Instant, waiting: bool) {
        self.measured.record(now, self.begun, waiting);
    }

    /// Tokens per second that all endpoints together process: the configured ones, or less if less was measured.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.measured.limit(self.capacity)
    }

    /// Changes the window over which costs are counted.
    pub const fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Adds to a customer's costs.
    pub fn add(&mut self, now: Instant, customer: Customer, usage: Usage) {
        self.expire(now);
        self.start.get_or_insert(now);
        self.begun = self.begun.saturating_add(usage.begun);
        let needs_new_bucket =
            self.buckets.back().is_none_or(|(start, _)| now - *start >= self.window / BUCKETS);
        if needs_new_bucket {
            self.buckets.push_back((now, IndexMap::new()));
        }
        if let Some((_, bucket)) = self.buckets.back_mut() {
            let entry = bucket.entry(customer).or_default();
            entry.asked += usage.asked;
            entry.begun += usage.begun;
        }
        let total = self.totals.entry(customer).or_default();
        total.asked += usage.asked;
        total.begun += usage.begun;
    }

    /// The current standing of a customer.
    pub fn standing(&mut self, now: Instant, customer: Customer) -> Standing {
        self.expire(now);
        let usage = self.totals.get(&customer).copied().unwrap_or_default();
        let rivals = self
            .totals
            .iter()
            .filter(|(other, rival)| **other != customer && rival.asked >= usage.begun);
        let rival = rivals.map(|(_, rival)| rival.begun).min();
        Standing {
            usage,
            fair_share: self.fair_share(now),
            rival,
            unmet: self.unmet(now, customer),
        }
    }

    /// Unmet demand of all customers other than this one, as a share of the capacity.
    #[expect(clippy::cast_precision_loss)]
    fn unmet(&self, now: Instant, customer: Customer) -> f64 {
        let others = self.totals.iter().filter(|(other, _)| **other != customer);
        let not_served: u64 =
            others.map(|(_, usage)| usage.asked.saturating_sub(usage.begun)).sum();
        not_served as f64 / self.available_tokens(now).max(1.0)
    }

    /// The max-min fair share: the limit per customer at which all capacity is given out, if no customer gets more than
    /// the limit or more than it asked for. Infinite if the capacity exceeds the demand.
    #[expect(clippy::cast_precision_loss)]
    fn fair_share(&self, now: Instant) -> f64 {
        let mut remaining = self.available_tokens(now);
        let mut demands: Vec<f64> = self.totals.values().map(|usage| usage.asked as f64).collect();
        demands.sort_by(f64::total_cmp);
        let mut customers = demands.len();
        for amount in demands {
            let fair_share = remaining / customers as f64;
            if amount >= fair_share {
                return fair_share;
            }
            remaining -= amount;
            customers -= 1;
        }
        f64::INFINITY
    }

    /// Tokens that all endpoints together could process in the part of the window for which costs are known. Shortly
    /// after a start that is less than the window; otherwise callers who all return at once would be granted the
    /// capacity of a whole window.
    fn available_tokens(&self, now: Instant) -> f64 {
        let known = self.start.map_or(Duration::ZERO, |start| now - start);
        let span = known.clamp(self.window * BUCKETS_MIN / BUCKETS, self.window);
        self.capacity() * span.as_secs_f64()
    }

    fn expire(&mut self, now: Instant) {
        while self.buckets.front().is_some_and(|(start, _)| now - *start > self.window) {
            let Some((_, bucket)) = self.buckets.pop_front() else { return };
            for (customer, usage) in bucket {
                let Some(total) = self.totals.get_mut(&customer) else { continue };
                total.asked -= usage.asked;
                total.begun -= usage.begun;
                if *total == Usage::default() {
                    self.totals.swap_remove(&customer);
                }
            }
        }
    }
}
