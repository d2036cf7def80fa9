//! Permits to send requests to cold endpoints, requested from the router that issues them, and notices that endpoints are cold.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Endpoint,
};

/// Permits for one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permits {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Number of requests.
    pub count: u32,
}

/// An endpoint that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Milliseconds for which it remains cold.
    pub remaining_ms: u32,
}

/// A message about cold endpoints. Datagrams are not retransmitted: lost permits are not used, and are requested again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests permits of the router that issues them.
    Request {
        /// The sender's clock in milliseconds, from which the permits' lifetime counts.
        at_ms: u32,
        /// Permits that the sender can use.
        permits: Vec<Permits>,
    },
    /// Issues permits.
    Issue {
        /// The clock in the request.
        at_ms: u32,
        /// The permits; fewer than requested if there are no more.
        permits: Vec<Permits>,
    },
    /// Reports endpoints that have said in a response that they are cold.
    Notice(Vec<Cold>),
}

impl Message {
    /// Most endpoints in one datagram of 1,200 bytes. An encoded one takes up to 10 bytes.
    pub const ENDPOINTS_MAX: usize = 64;
}
