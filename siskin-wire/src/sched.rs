//! Reports of routers to the owner of a pool, and the owner's grants.
//!
//! Every number that matters is a running total, so a lost, repeated or reordered message does no harm:
//! the next message carries everything that the other side has not acknowledged.

use {
    serde::{Deserialize, Serialize},
    siskin_types::{
        cost::{Units, Virtual},
        id::{Customer, Endpoint, Model, Pool},
    },
};

/// A router's report to the owner of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The pool it is about.
    pub pool: Pool,
    /// Number of the slot account. It starts at the router's incarnation and grows with every account
    /// that the router opens, so an account of an earlier process never compares as newer.
    pub account: u64,
    /// Counts the reports of this account, from 1.
    pub sequence: u64,
    /// Sequence of the newest grant that the router has applied in this account.
    pub heard: u64,
    /// Whether the report carries every entry rather than those that changed.
    pub full: bool,
    /// Customers whose queue or charge changed since the last acknowledged report.
    pub queues: Vec<Queue>,
    /// Endpoints whose slots changed since the last acknowledged report.
    pub slots: Vec<Slots>,
}

/// What a router says about one customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The customer.
    pub customer: Customer,
    /// Units charged by this router in this account; corrections may take it below zero.
    pub charged: i64,
    /// The customer's virtual time, in full reports of routers that an owner has told of it.
    pub clock: Option<Virtual>,
    /// Permits for requests in flight; none if the customer's cap exceeds the slots of the pool.
    pub permits: Option<Permits>,
    /// Waiting requests by model; models without waiting requests are left out.
    pub lines: Vec<Line>,
}

/// Waiting requests of one customer for one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The model.
    pub model: Model,
    /// How many requests wait and may be dispatched.
    pub waiting: u32,
    /// Estimate of the request that goes next.
    pub estimate: Units,
    /// The endpoint that likely holds the prefix of the request that goes next.
    pub prefer: Option<Endpoint>,
    /// Endpoints that must not get the request that goes next.
    pub exclude: Vec<Endpoint>,
}

/// What a router says about a customer's permits for requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    /// Permits that the router held when it opened the account.
    pub opening: u32,
    /// Total of permits returned in this account.
    pub returned: u64,
    /// Requests in flight.
    pub busy: u32,
}

/// What a router says about its slots at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slots {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Slots that the router held when it opened the account.
    pub opening: u32,
    /// Total of slots returned in this account.
    pub returned: u64,
    /// Requests in flight.
    pub busy: u32,
}

/// Numbers the terms of one owner node.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// The owner's incarnation.
    pub incarnation: u64,
    /// When the owner took the role, in microseconds of its clock.
    pub start: u64,
}

/// An owner's grant to a router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The pool it is about.
    pub pool: Pool,
    /// The owner's term.
    pub term: Term,
    /// The router's account that it belongs to.
    pub account: u64,
    /// Counts the grants to this router in this term, from 1.
    pub sequence: u64,
    /// Sequence of the newest report received in this account, 0 if a full report is needed.
    pub answers: u64,
    /// Idle slots that the router may keep while nobody waits.
    pub reserve: u32,
    /// Models with waiting requests.
    pub floors: Vec<Floor>,
    /// Virtual times of customers queued at the router.
    pub clocks: Vec<Clock>,
    /// Endpoints whose entry changed since the last grant that the router acknowledged.
    pub slots: Vec<Granted>,
    /// Customers whose permits changed since the last grant that the router acknowledged.
    pub permits: Vec<Permitted>,
}

/// Permits of a router for requests of one customer in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permitted {
    /// The customer.
    pub customer: Customer,
    /// Total of permits granted in this account.
    pub granted: u64,
    /// The router's share: permits beyond it are returned as they become idle. None while nobody lacks permits.
    pub share: Option<u32>,
}

/// The lowest virtual time of the customers that wait for a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    /// The model.
    pub model: Model,
    /// Lowest virtual time of a customer that waits for it.
    pub floor: Virtual,
    /// Whether requests for it wait at other routers.
    pub elsewhere: bool,
}

/// A customer's virtual time, with this router's charges up to the report answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Clock {
    /// The customer.
    pub customer: Customer,
    /// Its virtual time.
    pub clock: Virtual,
    /// Routers at which it waits.
    pub holders: u32,
}

/// Slots granted to a router at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Total of slots granted in this account.
    pub granted: u64,
    /// Whether slots may be kept or reused; otherwise they are returned as they become idle.
    pub keep: bool,
}

impl Report {
    /// Length of the encoded report in bytes, without frame.
    ///
    /// ```
    /// assert!(siskin_wire::sched::Report::default().encoded_len() < 10);
    /// ```
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

impl Grant {
    /// Length of the encoded grant in bytes, without frame.
    ///
    /// ```
    /// assert!(siskin_wire::sched::Grant::default().encoded_len() < 12);
    /// ```
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

/// Encoding a value made of numbers and vectors cannot fail; a failure would count as empty.
fn encoded_len(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
