//! Types that the owner and the routers of a pool share: options, endpoints, customers and load reports.

use {
    siskin_types::{
        cost::{Units, Weight},
        id,
    },
    std::time::Duration,
};

/// Options of a pool, the same at its owner and its routers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The pool.
    pub pool: id::Pool,
    /// The node that runs the state machine.
    pub node: id::Node,
    /// The node's incarnation.
    pub incarnation: u64,
    /// When the node became owner, in microseconds of its clock; orders the terms of one incarnation.
    pub start: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Unit in which service is counted.
    pub measure: Measure,
    /// Largest charge for a request when it is dispatched.
    pub max_request: Units,
    /// Lead of a customer over the floor, in units per unit of weight, up to which a router reuses a slot for it.
    pub reuse_slack: Units,
    /// Largest lead between customers, in units per unit of weight, that is evened out after a partition heals.
    pub max_catch_up: Units,
    /// Minimum time between two reports of a router.
    pub min_report_interval: Duration,
    /// Minimum time between two reports if the second only changes the order of service: one more customer waits at a
    /// router whose other waiting requests the owner knows of, or a charge exceeds its estimate.
    pub min_reorder_report_interval: Duration,
    /// Time between reports while requests wait or entries are unacknowledged.
    pub report_interval: Duration,
    /// Time between reports otherwise.
    pub keep_alive_interval: Duration,
    /// Longest time for which an owner delays the answer to a report if it has no slot to grant.
    pub max_answer_delay: Duration,
    /// Validity of granted slots, counted from the sending of the newest report that a grant has answered.
    pub grant_validity: Duration,
    /// Longest time for which a new owner collects reports before it grants slots.
    pub collection_period: Duration,
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
    /// Creates the default options.
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
            min_report_interval: Duration::from_millis(5),
            min_reorder_report_interval: Duration::from_millis(50),
            report_interval: Duration::from_millis(250),
            keep_alive_interval: Duration::from_secs(1),
            max_answer_delay: Duration::from_millis(50),
            grant_validity: Duration::from_secs(3),
            collection_period: Duration::from_millis(250),
        }
    }

    /// Time after the receipt of a router's last report at which the owner reclaims its slots: the validity of grants
    /// plus 10%, so that clock rates may differ by up to 10%.
    #[must_use]
    pub fn reclaim_timeout(&self) -> Duration {
        self.grant_validity + self.grant_validity / 10
    }

    /// Time added to the arrival of a request to order its customer's queue, so that short requests overtake long
    /// ones: half a millisecond per token, or half the estimated time.
    #[must_use]
    pub fn queue_penalty(&self, estimate: Units) -> Duration {
        match self.measure {
            Measure::Tokens | Measure::Milliseconds => {
                Duration::from_micros(estimate.0.saturating_mul(500))
            }
        }
    }
}

/// An endpoint of a pool, as configured.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The endpoint.
    pub id: id::Endpoint,
    /// Number of requests that it runs concurrently.
    pub limit: u32,
    /// Models that it serves.
    pub models: Vec<id::Model>,
    /// Those of its models that it cannot serve now. Requests for them wait, but are not refused.
    pub unready_models: Vec<id::Model>,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

impl Endpoint {
    /// Whether it can serve the model now.
    #[must_use]
    pub fn serves(&self, model: id::Model) -> bool {
        self.models.contains(&model) && !self.unready_models.contains(&model)
    }

    /// Creates an endpoint that is not leaving and can serve all its models.
    #[must_use]
    pub fn new(id: id::Endpoint, limit: u32, models: Vec<id::Model>) -> Self {
        Self { id, limit, models, unready_models: Vec::new(), leaving: false }
    }
}

/// A customer, as configured. The cap on requests in flight applies to the whole fleet, the other limits to each
/// router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// The customer.
    pub id: id::Customer,
    /// Its share of the pool relative to other customers.
    pub weight: Weight,
    /// Largest number of requests in flight in the pool; further ones wait.
    pub max_in_flight: u32,
    /// Largest number of waiting requests; further ones are refused.
    pub max_queued: u32,
    /// Limit on the rate of accepted requests; unlimited if absent.
    pub rate: Option<Rate>,
}

impl Customer {
    /// Creates a customer of weight one without rate limit and cap on requests in flight, and with a queue of 1,000
    /// requests.
    #[must_use]
    pub fn new(id: id::Customer) -> Self {
        Self { id, weight: Weight::ONE, max_in_flight: u32::MAX, max_queued: 1_000, rate: None }
    }
}

/// Parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Requests per second.
    pub per_second: u32,
    /// Requests accepted at once while the bucket is full.
    pub burst: u32,
}

/// An endpoint's report of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests of all routers that run or wait at the endpoint.
    pub running: u32,
    /// Whether the endpoint is leaving.
    pub leaving: bool,
}
