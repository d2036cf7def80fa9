//! Membership probes and gossip.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Node,
    std::net::SocketAddr,
};

/// Most updates that ride on a message.
pub const MAX_UPDATES: usize = 8;

/// Longest name of a data centre, in bytes. It bounds the size of an update.
pub const MAX_DATA_CENTRE_BYTES: usize = 32;

/// Identity of a router process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its VM.
    pub node: Node,
    /// Start time in microseconds plus the number of refutations.
    pub incarnation: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
}

/// What is believed about a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspect,
    /// It did not answer and did not refute.
    Unreachable {
        /// Seconds since it was found unreachable, so that all routers forget it at about the same time.
        for_s: u16,
    },
    /// It announced its stop.
    Left {
        /// Seconds since the announcement.
        for_s: u16,
    },
}

/// A belief about a process, passed on from router to router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The process.
    pub about: Identity,
    /// What is believed about it.
    pub status: Status,
}

/// A membership message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The sender, which is alive unless the message says that it leaves.
    pub from: Identity,
    /// Version of the configuration that the sender follows.
    pub config_version: u64,
    /// Milliseconds since the store last confirmed that version to the sender; `None` if it never did.
    pub config_age_ms: Option<u32>,
    /// Combined hash of the members that the sender takes for alive. Different digests show that views differ.
    pub digest: u32,
    /// Number of members that the sender knows. A much larger number than the receiver's calls for a full view.
    pub known: u32,
    /// At most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
    /// The purpose of the message.
    pub body: Body,
}

impl Message {
    /// A message without updates and configuration.
    #[must_use]
    pub const fn new(from: Identity, body: Body) -> Self {
        Self {
            from,
            config_version: 0,
            config_age_ms: None,
            digest: 0,
            known: 0,
            updates: Vec::new(),
            body,
        }
    }
}

/// A member that is taken for unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The member.
    pub node: Node,
    /// The last bits of its incarnation. Only a later one would change the belief.
    pub incarnation: u16,
}

impl Missing {
    /// Names a process.
    #[must_use]
    pub fn new(about: &Identity) -> Self {
        let [.., high, low] = about.incarnation.to_be_bytes();
        Self { node: about.node, incarnation: u16::from_be_bytes([high, low]) }
    }

    /// Whether a process has a later incarnation than this one. A restarted process, whose incarnation differs in more
    /// than the last bits, is taken for older half of the time; gossip tells of it.
    #[must_use]
    pub fn is_older_than(&self, about: &Identity) -> bool {
        let ahead = Self::new(about).incarnation.wrapping_sub(self.incarnation);
        ahead != 0 && ahead <= u16::MAX / 2
    }
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Ping {
        /// To be repeated in the answer.
        number: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        number: u32,
    },
    /// Asks the receiver to ping `target` and to tell whether it answered.
    PingRequest {
        /// To be repeated in the answer.
        number: u32,
        /// The member to ping.
        target: Node,
        /// Its address.
        address: SocketAddr,
    },
    /// The target of a ping request has answered.
    Relayed {
        /// The request's number.
        number: u32,
    },
    /// Asks for the receiver's full view.
    Pull {
        /// To be repeated in the answer.
        number: u32,
    },
    /// Asks which of the members that the sender takes for unreachable the receiver sees.
    Recheck {
        /// Some of these members.
        unreachable: Vec<Missing>,
    },
    /// A piece of the sender's view.
    State {
        /// The pull's number.
        number: u32,
        /// Index of this piece.
        piece: u16,
        /// Number of pieces; more than are sent if the sender is too busy to send them all.
        pieces: u16,
        /// Entries of this piece.
        entries: Vec<Update>,
    },
    /// The sender stops.
    Leave,
}
