//! Which routers are short of processor time and fail their readiness checks.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Node,
};

/// A router that is short of processor time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Strain {
    /// The router.
    pub node: Node,
    /// Milliseconds since it began to fail its readiness checks.
    pub age_ms: u32,
    /// Milliseconds since it last said so.
    pub heard_ms: u32,
}

/// The strained routers of the receiver's data centre, sent a few times a second while there are any.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The routers.
    pub strained: Vec<Strain>,
}
