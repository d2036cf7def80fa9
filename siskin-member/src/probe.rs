//! Selects the next member to probe and keeps track of probes under way.

use {
    indexmap::IndexMap,
    rand::{Rng, rngs::SmallRng, seq::SliceRandom},
    siskin_types::{id::Node, time::Instant},
    std::{net::SocketAddr, time::Duration},
};

/// Most probes under way on behalf of other members.
const MAX_RELAYS: usize = 64;

/// A probe that this member makes for itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Node,
    pub(crate) number: u32,
    pub(crate) sent: Instant,
    /// Other members have been asked to probe the target too.
    pub(crate) indirect: bool,
}

/// A probe made on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) requester: SocketAddr,
    /// Number of the requester's probe.
    pub(crate) number: u32,
    started_at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// The latest probe, until it is answered.
    pub(crate) current: Option<Probe>,
    /// When the next probe starts.
    pub(crate) next_at: Instant,
    /// When an unreachable member was last probed.
    pub(crate) unreachable_probed_at: Instant,
    /// Members still to be probed in this round, the next one last.
    round: Vec<Node>,
    /// Relayed probes by their own number.
    relays: IndexMap<u32, Relay>,
    last_number: u32,
}

impl Schedule {
    /// Returns a new number for a ping or a request.
    pub(crate) const fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Inserts a new member at a random place of this round, so that some member of the fleet probes it soon.
    pub(crate) fn insert_member(&mut self, node: Node, rng: &mut SmallRng) {
        let place = rng.random_range(0..=self.round.len());
        self.round.insert(place, node);
    }

    /// Makes a member the next one to be probed.
    pub(crate) fn set_next_target(&mut self, node: Node) {
        self.round.push(node);
    }

    /// Returns the next member of the round for which `wanted` holds. Starts a new round over `all` when the round is
    /// over.
    pub(crate) fn next_target(
        &mut self,
        all: impl Iterator<Item = Node>,
        wanted: impl Fn(Node) -> bool,
        rng: &mut SmallRng,
    ) -> Option<Node> {
        if let Some(node) = self.pop_wanted(&wanted) {
            return Some(node);
        }
        self.round.extend(all);
        self.round.shuffle(rng);
        self.pop_wanted(&wanted)
    }

    fn pop_wanted(&mut self, wanted: &impl Fn(Node) -> bool) -> Option<Node> {
        while let Some(node) = self.round.pop() {
            if wanted(node) {
                return Some(node);
            }
        }
        None
    }

    /// Records a probe on behalf of another member and returns its number; `None` if there are too many.
    pub(crate) fn add_relay(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        number: u32,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own_number = self.next_number();
        self.relays.insert(own_number, Relay { requester, number, started_at: now });
        Some(own_number)
    }

    /// Handles an answer to the probe `number`: ends the own probe, or returns the relay whose requester must be told.
    pub(crate) fn handle_answer(&mut self, number: u32) -> Option<Relay> {
        if self.current.is_some_and(|probe| probe.number == number) {
            self.current = None;
        }
        self.relays.swap_remove(&number)
    }

    /// Removes relayed probes that are older than `limit`.
    pub(crate) fn expire_relays(&mut self, now: Instant, limit: Duration) {
        self.relays.retain(|_, relay| now - relay.started_at < limit);
    }
}
