//! Claims on idempotency keys, sent to the writer of their bucket.

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

/// Identifies the attempt that holds a claim. A restarted router makes new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token(pub Request);

/// How a claimed call ended. A call that did not run leaves no record; its claim is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// The endpoint gave a complete answer.
    Completed,
    /// The endpoint ran the call and reported a failure.
    Failed,
    /// The call may have run.
    Unknown,
}

/// Result of a claimed call, kept for repeats of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// How it ended.
    pub ended: Ended,
    /// HTTP status given to the caller.
    pub status: u16,
    /// The body given to the caller, if it was short.
    pub body: Option<Vec<u8>>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt holds the claim and may run the call.
    Granted,
    /// An earlier attempt ended with this result.
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

/// A message of this kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the writer for a claim. May be repeated.
    Claim {
        /// What is claimed.
        key: Key,
        /// The call's body.
        body: BodyHash,
        /// The attempt.
        token: Token,
        /// Milliseconds left until the caller's deadline.
        remaining_ms: u32,
    },
    /// The writer's answer to a claim.
    Decided {
        /// The attempt that asked.
        token: Token,
        /// The answer.
        decision: Decision,
    },
    /// Asks the writer to record a result. Repeated until confirmed.
    Record {
        /// The claim.
        key: Key,
        /// The attempt that holds it.
        token: Token,
        /// The result.
        record: Record,
    },
    /// Asks the writer to release the claim of a call that did not run. Repeated until confirmed.
    Release {
        /// The claim.
        key: Key,
        /// The attempt that holds it.
        token: Token,
    },
    /// The writer's confirmation that a record or release is in the store.
    Settled {
        /// The attempt.
        token: Token,
    },
}
