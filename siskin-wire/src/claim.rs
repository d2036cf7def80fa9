//! Claims on idempotency keys, sent to the writer of their bucket.

use serde::{Deserialize, Serialize};

/// A message of this kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}
