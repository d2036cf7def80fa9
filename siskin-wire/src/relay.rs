//! Configuration and endpoint list, relayed to a router that cannot read the platform's store by one that can.

use {
    serde::{Deserialize, Serialize},
    siskin_types::position::Position,
};

/// A relay message. The byte vectors hold values encoded with `postcard`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests what is newer than the versions that the sender has.
    Ask {
        /// The sender's configuration version, 0 for none.
        config_version: u64,
        /// Position of the sender's list of endpoints.
        directory_position: Position,
    },
    /// The configuration in force at the sender.
    Catalog(Vec<u8>),
    /// The sender's list of endpoints.
    Directory(Vec<u8>),
}
