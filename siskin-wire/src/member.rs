//! Membership probes and gossip, after the SWIM protocol.

use {
    serde::{Deserialize, Serialize},
    siskin_types::id::Node,
    std::net::SocketAddr,
};

/// Most updates piggybacked on a message.
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
    /// It answers probes.
    Alive,
    /// It did not answer a probe and may still refute the suspicion.
    Suspect,
    /// It neither answered probes nor refuted the suspicion in time.
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

/// The status of a process, gossiped between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The process that the status refers to.
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
    /// Combined hash of the members that the sender considers alive. Different digests mean different views.
    pub digest: u32,
    /// Number of members that the sender knows. If it is much larger than the receiver's, the receiver pulls the full view.
    pub known: u32,
    /// Piggybacked updates, at most [`MAX_UPDATES`].
    pub updates: Vec<Update>,
    /// The purpose of the message.
    pub body: Body,
}

impl Message {
    /// Creates a message without updates or configuration.
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

/// A member that the sender considers unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Missing {
    /// The member.
    pub node: Node,
    /// The low 16 bits of its incarnation. Only a later incarnation would change its status.
    pub incarnation: u16,
}

impl Missing {
    /// Creates the entry for a process.
    #[must_use]
    pub fn new(about: &Identity) -> Self {
        let [.., high, low] = about.incarnation.to_be_bytes();
        Self { node: about.node, incarnation: u16::from_be_bytes([high, low]) }
    }

    /// Whether `about` has a later incarnation, by the low 16 bits. A restarted process, whose incarnation differs in more
    /// bits, is mistaken for an older one half of the time; it is then learnt by gossip.
    #[must_use]
    pub fn is_older_than(&self, about: &Identity) -> bool {
        let ahead = Self::new(about).incarnation.wrapping_sub(self.incarnation);
        ahead != 0 && ahead <= u16::MAX / 2
    }
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`].
    Ping {
        /// Echoed in the response.
        number: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        number: u32,
    },
    /// Indirect probe: requests that the receiver ping `target` and report whether it answered.
    PingRequest {
        /// Echoed in the response.
        number: u32,
        /// The member to ping.
        target: Node,
        /// Its address.
        address: SocketAddr,
    },
    /// Indirect acknowledgement: the target of a [`Body::PingRequest`] has answered.
    IndirectAck {
        /// The request's number.
        number: u32,
    },
    /// Requests the receiver's full view.
    Pull {
        /// Echoed in the response.
        number: u32,
    },
    /// Asks which of the members that the sender considers unreachable are alive for the receiver.
    Recheck {
        /// Some of these members.
        unreachable: Vec<Missing>,
    },
    /// A part of the sender's view, in response to a pull.
    State {
        /// The pull's number.
        number: u32,
        /// Index of this part.
        piece: u16,
        /// Number of parts of the view; an overloaded sender sends only some of them.
        pieces: u16,
        /// Entries of this part.
        entries: Vec<Update>,
    },
    /// The sender leaves the fleet.
    Leave,
}
