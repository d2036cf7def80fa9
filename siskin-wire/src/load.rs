//! What routers that forward requests tell each other about the load that they put on endpoints.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::{Customer, Endpoint},
};

/// Load that one router has put on one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Requests sent and not answered to the end.
    pub in_flight: u32,
    /// Prompt tokens of requests that have not begun to answer.
    pub backlog: u32,
    /// Prompt tokens sent since the router started, modulo 2^32.
    pub read: u32,
}

/// A part of a prompt that an endpoint now keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Hash of the model and of all parts up to and including this one.
    pub chain: u32,
}

/// Costs of a customer's requests since the router's last digest, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The customer.
    pub customer: Customer,
    /// All requests, the refused ones included.
    pub asked: u32,
    /// Requests sent to an endpoint.
    pub begun: u32,
}

/// What a router tells the others a few times a second. A lost digest is not repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Configuration version in force, 0 for none.
    pub config_version: u64,
    /// Revision of the newest change to the list of endpoints that the router has seen.
    pub directory_revision: u64,
    /// All endpoints on which the router has load.
    pub loads: Vec<Load>,
    /// Parts sent to endpoints that were not known to keep them.
    pub kept: Vec<Kept>,
    /// Costs by customer.
    pub usages: Vec<Usage>,
}
