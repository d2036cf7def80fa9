//! Limits that endpoints have named, and how many requests the routers send to these endpoints, exchanged by routers that
//! forward requests unchanged.

use {
    crate::load::Scope,
    serde::{Deserialize, Serialize},
    siskin_types::id::Endpoint,
};

/// The limit of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Thousandths of a request per second that the endpoint takes from all routers together; `None` if it has stopped naming a
    /// limit.
    pub rate: Option<u32>,
    /// Milliseconds since the newest answer that said so.
    pub age_ms: u32,
    /// Requests that the routers of the report have sent to it within the last seconds, in thousandths.
    pub sent: u32,
}

/// Requests of callers for one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of routers of the report that know their demand.
    pub routers: u32,
    /// Requests for the service that these routers have received within the last seconds, in thousandths.
    pub asked: u32,
}

/// Limits and demands, sent a few times per second while endpoints name limits. Later reports replace earlier ones, so a lost
/// datagram is not retransmitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Which routers the counts cover.
    pub scope: Scope,
    /// Demand for the services that have endpoints with limits.
    pub demands: Vec<Demand>,
    /// Limits; if there are more than fit a datagram, some of them.
    pub limits: Vec<Limit>,
}

impl Report {
    /// Most limits in one datagram of 1,400 bytes. An encoded one takes up to 21 bytes.
    pub const LIMITS_MAX: usize = 48;

    /// Most demands in one datagram. An encoded one takes up to 15 bytes.
    pub const DEMANDS_MAX: usize = 16;
}
