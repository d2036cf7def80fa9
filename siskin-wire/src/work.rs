//! Remaining work of endpoints, exchanged by routers that forward requests unchanged.

use {
    crate::load::Scope,
    serde::{Deserialize, Serialize},
};

/// Remaining work of endpoints, sent with load digests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whose work the report describes.
    pub scope: Scope,
}
