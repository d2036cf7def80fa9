//! Requests suspected of crashing endpoints.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::{Endpoint, Pool},
};

/// Keyed hash of a customer and the content of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// Identifies one crash, whichever routers see it: an instance of an endpoint dies once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its instance, as in its load report.
    pub instance: u64,
}

/// A request in flight at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was dispatched as a suspect that must run as the only one.
    pub alone: bool,
}

/// Something known about suspects. Facts may arrive repeatedly and in any order.
///
/// Ages are given in place of times because the clocks of two processes cannot be compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// Requests were in flight at an endpoint when it died.
    Struck {
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
        /// Milliseconds since then.
        age_ms: u32,
    },
}

/// A message of this kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// News from a router to the owner of the pool or from the owner to a router. Repeated until
    /// acknowledged.
    Tell {
        /// The pool it is about.
        pool: Pool,
        /// Counts the sender's messages, for the acknowledgement.
        serial: u64,
        /// The news.
        facts: Vec<Fact>,
    },
    /// The news was merged and, if the receiver is the owner, sent to all routers.
    Ack {
        /// The pool it is about.
        pool: Pool,
        /// Serial of the message acknowledged.
        serial: u64,
    },
    /// A restarted router asks for everything. Repeated until answered.
    Ask {
        /// The pool it is about.
        pool: Pool,
    },
    /// Everything that the sender knows, in parts.
    Answer {
        /// The pool it is about.
        pool: Pool,
        /// Number of this part, from zero.
        part: u16,
        /// Number of parts.
        parts: u16,
        /// The facts.
        facts: Vec<Fact>,
    },
}
