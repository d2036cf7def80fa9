//! Remaining work of endpoints, exchanged by routers that forward requests unchanged.

use {
    crate::load::Scope,
    serde::{Deserialize, Serialize},
    siskin_types::id::Endpoint,
};

/// How busy an endpoint says it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running requests; 255 stands for more.
    pub running: u8,
    /// Requests that wait for a slot; 255 stands for more.
    pub waiting: u8,
    /// How long work takes on the endpoint's machine, in units of [`Load::PERCENT_UNIT`]; 0 if unknown.
    pub slowness: u8,
    /// Age of these figures, in units of [`Load::AGE_UNIT_MS`].
    pub age: u8,
}

impl Load {
    /// Unit of `slowness`, in percent of the usual time.
    pub const PERCENT_UNIT: u16 = 4;

    /// Unit of `age`, in milliseconds.
    pub const AGE_UNIT_MS: u16 = 4;
}

/// Remaining work of one endpoint. An encoded one takes at most 16 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Time for which the requests in flight will occupy slots, summed over the requests, in units of [`Work::REST_UNIT_MS`].
    pub rest: u16,
    /// Memory that the requests in flight take, in units of [`Work::MEMORY_UNIT`].
    pub memory: u16,
    /// What the endpoint said last, if that is known and recent.
    pub load: Option<Load>,
}

impl Work {
    /// Unit of `rest`, in milliseconds.
    pub const REST_UNIT_MS: u16 = 16;

    /// Unit of `memory`, in tokens.
    pub const MEMORY_UNIT: u16 = 256;
}

/// Mean cost of the requests of one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mean {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of the route.
    pub route: u32,
    /// Time for which a request occupies a slot, in milliseconds.
    pub time_ms: u32,
    /// Mean absolute error of `time_ms`.
    pub time_error_ms: u32,
    /// Generated tokens; 0 if unknown.
    pub tokens: u32,
    /// Mean absolute error of `tokens`.
    pub tokens_error: u32,
    /// Time per generated token, in microseconds.
    pub token_us: u32,
}

/// Remaining work of endpoints, sent along with load digests while endpoints say how busy they are. Later reports replace earlier
/// ones, so a lost datagram is not retransmitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whose work the report describes.
    pub scope: Scope,
    /// Remaining work of endpoints: those with news first, then others in turn.
    pub works: Vec<Work>,
    /// Mean costs of routes, sent now and then.
    pub means: Vec<Mean>,
}

impl Report {
    /// Most endpoints in one datagram of 1,400 bytes.
    pub const WORKS_MAX: usize = 40;

    /// Most routes in one datagram. An encoded one takes up to 35 bytes.
    pub const MEANS_MAX: usize = 16;
}
