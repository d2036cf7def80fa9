//! Reports of routers to the owner of a pool, and the owner's grants.
//!
//! Counts are cumulative, so a lost, repeated or reordered message does no harm: the next message carries
//! every change that the other side has not acknowledged.

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
    /// The pool that the message refers to.
    pub pool: Pool,
    /// Number of the account in which slots are counted. The first one equals the router's incarnation, and each account
    /// that the router opens gets a larger number, so an account of an earlier process never compares as newer.
    pub account: u64,
    /// Sequence number of the report within the account, from 1.
    pub sequence: u64,
    /// Acknowledgement: sequence number of the newest grant that the router has applied in this account.
    pub heard: u64,
    /// Whether the report is a full one; otherwise it carries only the entries that changed.
    pub full: bool,
    /// Customers whose queue or charge changed since the last acknowledged report.
    pub queues: Vec<Queue>,
    /// Endpoints whose slots changed since the last acknowledged report.
    pub slots: Vec<Slots>,
}

/// One customer's queue at a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The customer.
    pub customer: Customer,
    /// Units charged by this router in this account; corrections may make it negative.
    pub charged: i64,
    /// The customer's virtual time; set only in full reports, if an owner has sent it to this router.
    pub clock: Option<Virtual>,
    /// Permits for requests in flight; `None` if the customer's cap exceeds the slots of the pool.
    pub permits: Option<Permits>,
    /// Waiting requests by model; models without waiting requests are left out.
    pub lines: Vec<Line>,
}

/// Waiting requests of one customer for one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The model.
    pub model: Model,
    /// Number of waiting requests that may be dispatched.
    pub waiting: u32,
    /// Estimated cost of the request at the head of the queue.
    pub estimate: Units,
    /// The endpoint that probably has the prompt prefix of the head request in its cache.
    pub prefer: Option<Endpoint>,
    /// Endpoints to which the head request must not be sent.
    pub exclude: Vec<Endpoint>,
}

/// A router's permits for requests of one customer in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    /// Permits that the router held when it opened the account.
    pub opening: u32,
    /// Cumulative number of permits returned in this account.
    pub returned: u64,
    /// Requests in flight.
    pub busy: u32,
}

/// A router's slots at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slots {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Slots that the router held when it opened the account.
    pub opening: u32,
    /// Cumulative number of slots returned in this account.
    pub returned: u64,
    /// Requests in flight.
    pub busy: u32,
}

/// Identifies a term of an owner; terms of one node are ordered.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term {
    /// The owner's incarnation.
    pub incarnation: u64,
    /// When the node became the owner, in microseconds of its clock.
    pub start: u64,
}

/// An owner's grant to a router.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The pool that the message refers to.
    pub pool: Pool,
    /// The owner's term.
    pub term: Term,
    /// The router's account to which the grant belongs.
    pub account: u64,
    /// Sequence number among the grants to this router in this term, from 1.
    pub sequence: u64,
    /// Acknowledgement: sequence number of the newest report received in this account, 0 to request a full report.
    pub answers: u64,
    /// Idle slots that the router may keep while no request waits.
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
    /// Cumulative number of permits granted in this account.
    pub granted: u64,
    /// The router's share: permits beyond it are returned as they become idle. `None` while no router lacks permits.
    pub share: Option<u32>,
}

/// The lowest virtual time of the customers that wait for a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Floor {
    /// The model.
    pub model: Model,
    /// Lowest virtual time of a customer that waits for it.
    pub floor: Virtual,
    /// Whether requests for the model wait at other routers.
    pub elsewhere: bool,
}

/// A customer's virtual time, including this router's charges up to the acknowledged report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Clock {
    /// The customer.
    pub customer: Customer,
    /// Its virtual time.
    pub clock: Virtual,
    /// Number of routers at which the customer has waiting requests.
    pub holders: u32,
}

/// Slots granted to a router at one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Cumulative number of slots granted in this account.
    pub granted: u64,
    /// Whether slots may be kept idle or reused; otherwise they are returned when they become idle.
    pub keep: bool,
}

impl Report {
    /// Length of the encoded report in bytes, without the frame.
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
    /// Length of the encoded grant in bytes, without the frame.
    ///
    /// ```
    /// assert!(siskin_wire::sched::Grant::default().encoded_len() < 12);
    /// ```
    #[must_use]
    pub fn encoded_len(&self) -> usize {
        encoded_len(self)
    }
}

/// Encoded length of a message. Encoding numbers and vectors cannot fail; a failure would give zero.
fn encoded_len(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
