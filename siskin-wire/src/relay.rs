//! What a router that cannot read the platform's store gets from one that can.

use serde::{Deserialize, Serialize};

/// A message of this kind. Contents are encoded with `postcard`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for what is newer than the sender's own.
    Ask {
        /// The sender's configuration version, 0 for none.
        config_version: u64,
        /// Revision of the sender's list of endpoints.
        directory_revision: u64,
    },
    /// The configuration in force at the sender.
    Catalog(Vec<u8>),
    /// The sender's list of endpoints.
    Directory(Vec<u8>),
}
