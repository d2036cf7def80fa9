//! How much of their processor time the routers of a data centre use.

use serde::{Deserialize, Serialize};

/// Processor time of the routers of the receiver's data centre, sent a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {}
