//! Requests suspected of crashing endpoints.

use serde::{Deserialize, Serialize};

/// A message of this kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {}
