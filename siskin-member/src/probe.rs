//! Which member is probed next, and probes under way.

use {
    indexmap::IndexMap,
    rand::{Rng, rngs::SmallRng, seq::SliceRandom},
    siskin_types::{id::Node, time::Instant},
    std::{net::SocketAddr, time::Duration},
};

/// Most probes made for other members at a time.
const MAX_RELAYS: usize = 64;

/// A probe of the own schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub(crate) target: Node,
    pub(crate) number: u32,
    pub(crate) sent: Instant,
    pub(crate) indirect: bool,
}

/// A probe made for another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    pub(crate) requester: SocketAddr,
    pub(crate) number: u32,
    at: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// The probe that has not been answered.
    pub(crate) current: Option<Probe>,
    /// When the next one starts.
    pub(crate) next: Instant,
    /// When an unreachable member was last probed.
    pub(crate) last_unreachable: Instant,
    /// Members still to be probed in this round, the next one last.
    order: Vec<Node>,
    relays: IndexMap<u32, Relay>,
    numbers: u32,
}

impl Schedule {
    /// A number for a ping or a request.
    pub(crate) const fn number(&mut self) -> u32 {
        self.numbers = self.numbers.wrapping_add(1);
        self.numbers
    }

    /// Puts a new member at a random place of this round, so that it is soon probed by somebody.
    pub(crate) fn insert(&mut self, node: Node, rng: &mut SmallRng) {
        let place = rng.random_range(0..=self.order.len());
        self.order.insert(place, node);
    }

    /// Makes a member the next one to be probed.
    pub(crate) fn put_first(&mut self, node: Node) {
        self.order.push(node);
    }

    /// The next member of the round for which `wanted` holds; starts a new round over `all` when one is over.
    pub(crate) fn pick(
        &mut self,
        all: impl Iterator<Item = Node>,
        wanted: impl Fn(Node) -> bool,
        rng: &mut SmallRng,
    ) -> Option<Node> {
        if let Some(node) = self.pop(&wanted) {
            return Some(node);
        }
        self.order.extend(all);
        self.order.shuffle(rng);
        self.pop(&wanted)
    }

    fn pop(&mut self, wanted: &impl Fn(Node) -> bool) -> Option<Node> {
        while let Some(node) = self.order.pop() {
            if wanted(node) {
                return Some(node);
            }
        }
        None
    }

    /// Notes a probe made for another member; `None` if there are too many.
    pub(crate) fn relay(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        number: u32,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let own = self.number();
        self.relays.insert(own, Relay { requester, number, at: now });
        Some(own)
    }

    /// An answer to `number` has arrived: ends the own probe, or returns whom to tell.
    pub(crate) fn answered(&mut self, number: u32) -> Option<Relay> {
        if self.current.is_some_and(|probe| probe.number == number) {
            self.current = None;
        }
        self.relays.swap_remove(&number)
    }

    /// Forgets probes made for others that are older than `limit`.
    pub(crate) fn expire(&mut self, now: Instant, limit: Duration) {
        self.relays.retain(|_, relay| now - relay.at < limit);
    }
}
