//! What both sides know about a pool: options, endpoints, customers and load.

use {
    siskin_types::{
        cost::{Units, Weight},
        id,
    },
    std::time::Duration,
};

/// Rules of a pool, the same at its owner and its routers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The pool.
    pub pool: id::Pool,
    /// The node that runs the state machine.
    pub node: id::Node,
    /// The node's incarnation.
    pub incarnation: u64,
    /// When an owner took the role, in microseconds of its clock; numbers its terms.
    pub start: u64,
    /// Seed of random choices.
    pub seed: u64,
    /// Unit in which service is counted.
    pub measure: Measure,
    /// Largest charge for one request.
    pub max_request: Units,
    /// Lead over the floor, in units per unit of weight, up to which a router reuses a slot.
    pub reuse_slack: Units,
    /// Lead, in units per unit of weight, that is evened out at most after a partition heals.
    pub max_catch_up: Units,
    /// Least time between two reports of a router.
    pub report_spacing: Duration,
    /// Least time between two reports if the second only says that one more customer waits at a router whose
    /// other waiting requests the owner knows of.
    pub order_spacing: Duration,
    /// Time between reports while something changes.
    pub report_interval: Duration,
    /// Time between reports while nothing changes.
    pub keep_alive: Duration,
    /// Longest time for which an owner holds back an answer that carries no slot.
    pub answer_delay: Duration,
    /// Validity of a grant from the sending of the report that it answers.
    pub lapse: Duration,
    /// Longest time for which a new owner collects reports before it grants.
    pub collect: Duration,
}

/// Unit of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// Tokens of a model engine.
    Tokens,
    /// Milliseconds of an occupied slot.
    Milliseconds,
}

/// Default of [`Options::max_request`].
const MAX_REQUEST: Units = Units(8_000);
/// Default of [`Options::reuse_slack`]. With 2,000 the gap between customers at one router each was up to 2.25
/// times the global queue's.
const REUSE_SLACK: Units = Units(1_000);
/// [`Options::max_catch_up`] as a multiple of the largest request.
const CATCH_UP_REQUESTS: u64 = 10;

impl Options {
    /// The default rules.
    ///
    /// ```
    /// use {siskin_sched::pool::Options, siskin_types::id};
    /// let options = Options::new(id::Pool(1), id::Node(2), 3);
    /// assert_eq!(options.max_catch_up.0, 10 * options.max_request.0);
    /// ```
    #[must_use]
    pub fn new(pool: id::Pool, node: id::Node, incarnation: u64) -> Self {
        Self {
            pool,
            node,
            incarnation,
            start: 0,
            seed: 0,
            measure: Measure::Tokens,
            max_request: MAX_REQUEST,
            reuse_slack: REUSE_SLACK,
            max_catch_up: Units(MAX_REQUEST.0 * CATCH_UP_REQUESTS),
            report_spacing: Duration::from_millis(5),
            order_spacing: Duration::from_millis(50),
            report_interval: Duration::from_millis(250),
            keep_alive: Duration::from_secs(1),
            answer_delay: Duration::from_millis(50),
            lapse: Duration::from_secs(3),
            collect: Duration::from_millis(250),
        }
    }

    /// Time after the receipt of a report at which the owner takes back the router's slots: the lapse plus
    /// 10%, so that clocks may run at rates up to 10% apart.
    #[must_use]
    pub fn owner_lapse(&self) -> Duration {
        self.lapse + self.lapse / 10
    }

    /// Handicap of a request in its customer's queue: half a millisecond per token, or half the estimated
    /// time.
    #[must_use]
    pub fn penalty(&self, estimate: Units) -> Duration {
        match self.measure {
            Measure::Tokens | Measure::Milliseconds => {
                Duration::from_micros(estimate.0.saturating_mul(500))
            }
        }
    }
}

/// An endpoint of a pool as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint.
    pub id: id::Endpoint,
    /// Requests that it runs at a time.
    pub limit: u32,
    /// Models that it serves.
    pub models: Vec<id::Model>,
    /// Those of its models that it cannot serve now. Requests for them wait, but are not refused.
    pub unready: Vec<id::Model>,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

impl Endpoint {
    /// Whether it can serve a model now.
    #[must_use]
    pub fn serves(&self, model: id::Model) -> bool {
        self.models.contains(&model) && !self.unready.contains(&model)
    }

    /// An endpoint that stays.
    #[must_use]
    pub fn new(id: id::Endpoint, limit: u32, models: Vec<id::Model>) -> Self {
        Self { id, limit, models, unready: Vec::new(), leaving: false }
    }
}

/// A customer as the configuration has it. The cap on requests in flight holds over the fleet, the others at each
/// router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: id::Customer,
    /// Its share relative to others.
    pub weight: Weight,
    /// Requests in flight in the pool; further ones wait.
    pub max_in_flight: u32,
    /// Requests waiting; further ones are refused.
    pub max_queued: u32,
    /// Rate of accepted requests, unlimited if absent.
    pub rate: Option<Rate>,
}

impl Customer {
    /// A customer of weight one with generous caps.
    #[must_use]
    pub fn new(id: id::Customer) -> Self {
        Self { id, weight: Weight::ONE, max_in_flight: u32::MAX, max_queued: 1_000, rate: None }
    }
}

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: u32,
    /// Requests accepted at once after a pause.
    pub burst: u32,
}

/// An endpoint's own report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running or waiting at the endpoint, of all routers.
    pub running: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}
