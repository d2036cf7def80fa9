//! Reports of routers to the owner of a pool, and the owner's grants.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Pool,
};

/// A router's report to the owner of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The pool it is about.
    pub pool: Pool,
}

/// An owner's grant to a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The pool it is about.
    pub pool: Pool,
}
