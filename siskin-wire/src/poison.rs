//! Requests suspected of crashing endpoints.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::{Endpoint, Pool},
};

/// Keyed hash of a customer and the content of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// Identifies one crash across all routers that observe it: an instance of an endpoint crashes at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The instance of the endpoint, as in its load report.
    pub instance: u64,
}

/// A request in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was dispatched in isolation: a suspect must be the only request at its endpoint.
    pub alone: bool,
}

/// A fact about suspects. Facts may arrive repeatedly and in any order.
///
/// Ages are given in place of times because the clocks of two processes cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// Requests were in flight at an endpoint when it crashed.
    Crashed {
        /// The crash.
        crash: Crash,
        /// Milliseconds since the crash.
        age_ms: u32,
        /// Some or all of the requests.
        in_flight: Vec<InFlight>,
    },
    /// A request was completed, so it is no longer suspected.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Milliseconds since its completion.
        age_ms: u32,
    },
    /// An operator lifted the suspicion.
    Lifted {
        /// The request.
        fingerprint: Fingerprint,
        /// Milliseconds since the suspicion was lifted.
        age_ms: u32,
    },
}

/// A message about suspects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// New facts, from a router to the owner of the pool or from the owner to a router. Repeated until
    /// acknowledged.
    Tell {
        /// The pool that the message refers to.
        pool: Pool,
        /// Sequence number among the sender's messages, to match the acknowledgement.
        serial: u64,
        /// The facts.
        facts: Vec<Fact>,
    },
    /// Acknowledges that the facts were merged and, by the owner, that they were sent to all routers.
    Ack {
        /// The pool that the message refers to.
        pool: Pool,
        /// Serial of the message acknowledged.
        serial: u64,
    },
    /// Requests all facts, after a restart. Repeated until answered.
    Ask {
        /// The pool that the message refers to.
        pool: Pool,
    },
    /// All facts that the sender knows, in parts.
    Answer {
        /// The pool that the message refers to.
        pool: Pool,
        /// Index of this part, from zero.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// The facts.
        facts: Vec<Fact>,
    },
}
