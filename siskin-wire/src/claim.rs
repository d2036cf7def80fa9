//! Claims on idempotency keys, sent to the router that writes the key's bucket.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Request,
};

/// Keyed hash of a customer and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub [u8; 16]);

/// Hash of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BodyHash(pub [u8; 16]);

/// Identifies the attempt that holds a claim. A restarted router never reuses tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub Request);

/// Outcome of a claimed call. A call that did not run leaves no record; its claim is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// The endpoint sent a complete response.
    Completed,
    /// The endpoint ran the call and reported a failure.
    Failed,
    /// The call may have run.
    Unknown,
}

/// Result of a claimed call, kept to answer later calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The outcome.
    pub ended: Ended,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// The response body sent to the caller, if it was short.
    pub body: Option<Vec<u8>>,
}

/// Response to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt holds the claim and may run the call.
    Granted,
    /// An earlier attempt finished with this result.
    Recorded(Record),
    /// Another attempt holds the claim.
    InProgress,
    /// Another attempt held the claim for longer than any call may last and recorded no result.
    Unknown,
    /// The key is in use with a different body.
    BodyDiffers,
    /// The store did not answer before the deadline; the attempt does not hold the claim.
    Unavailable,
}

/// A message about claims.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a claim from the writer. May be repeated.
    Claim {
        /// The idempotency key to claim.
        key: Key,
        /// Hash of the request body.
        body: BodyHash,
        /// The attempt that requests the claim.
        token: Token,
        /// Milliseconds left until the caller's deadline.
        remaining_ms: u32,
    },
    /// The writer's response to a claim.
    Decided {
        /// The attempt that requested the claim.
        token: Token,
        /// The decision.
        decision: Decision,
    },
    /// Requests that the writer record a result. Repeated until confirmed.
    Record {
        /// The claimed key.
        key: Key,
        /// The attempt that holds it.
        token: Token,
        /// The result.
        record: Record,
    },
    /// Requests that the writer release the claim of a call that did not run. Repeated until confirmed.
    Release {
        /// The claimed key.
        key: Key,
        /// The attempt that holds it.
        token: Token,
    },
    /// The writer's confirmation that a record or release is in the store.
    Settled {
        /// The attempt whose result or release was stored.
        token: Token,
    },
}
