//! The requests that callers make for a service, by which its endpoints' limits are divided among the routers.

use {
    super::{MEMORY, count::Count, from_thousandths, to_thousandths},
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::limit,
    std::time::Duration,
};

/// How long a peer's demand counts after its last report.
const PEER_LIFETIME: Duration = Duration::from_secs(3);

/// Shortest time over which the rate of requests is taken: a single one shows no rate.
const RATE_TIME_MIN: Duration = Duration::from_secs(1);

/// The parts of a limit that routers may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Part {
    /// The part of this router.
    pub(super) own: f64,
    /// The part of all routers whose reports are known, this one included.
    pub(super) known: f64,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Instant,
    routers: u32,
    asked: f64,
}

/// The demand for one service.
#[derive(Debug)]
pub(crate) struct Demand {
    asked: Count,
    /// When the first request arrived.
    first_asked: Option<Instant>,
    /// When the last request arrived.
    last_asked: Option<Instant>,
    /// Number of routers in the fleet, as listed.
    routers: u32,
    /// Differs between routers, so that they send to an endpoint at different times.
    salt: u64,
    peers: IndexMap<Node, Peer>,
    /// Sums over `peers`.
    others_routers: u32,
    others_asked: f64,
}

impl Default for Demand {
    fn default() -> Self {
        Self {
            asked: Count::default(),
            first_asked: None,
            last_asked: None,
            routers: 1,
            salt: 0,
            peers: IndexMap::new(),
            others_routers: 0,
            others_asked: 0.0,
        }
    }
}

impl Demand {
    pub(crate) const fn set_salt(&mut self, salt: u64) {
        self.salt = salt;
    }

    pub(crate) const fn salt(&self) -> u64 {
        self.salt
    }

    pub(crate) const fn set_routers(&mut self, routers: u32) {
        self.routers = routers;
    }

    /// Counts a request of a caller.
    pub(crate) fn record_request(&mut self, now: Instant) {
        self.asked.add(now);
        self.first_asked.get_or_insert(now);
        self.last_asked = Some(now);
    }

    /// Requests per second that callers of this router make.
    pub(crate) fn requests_per_second(&self, now: Instant) -> f64 {
        let Some(first) = self.first_asked else { return 0.0 };
        let counted = (now - first).max(RATE_TIME_MIN).div_duration_f64(MEMORY);
        self.asked.value(now) / MEMORY.as_secs_f64() / (1.0 - (-counted).exp())
    }

    /// When the last request arrived.
    pub(crate) const fn last_request(&self) -> Option<Instant> {
        self.last_asked
    }

    /// The parts of a limit that this router and all known ones may use.
    pub(crate) fn part(&self, now: Instant) -> Part {
        let known_routers = 1 + self.others_routers;
        let fleet = self.routers.max(known_routers);
        // If most of the fleet reports, the others have probably stopped.
        let known = if known_routers > fleet / 2 {
            1.0
        } else {
            f64::from(known_routers) / f64::from(fleet)
        };
        let own = self.asked.value(now);
        let asked = own + self.others_asked;
        let share = if asked > 0.0 { own / asked } else { 1.0 / f64::from(known_routers) };
        Part { own: known * share, known }
    }

    /// Applies a peer's report, which replaces what it reported before.
    pub(crate) fn merge(&mut self, now: Instant, node: Node, demand: &limit::Demand) {
        let asked = from_thousandths(demand.asked);
        self.peers.insert(node, Peer { at: now, routers: demand.routers, asked });
        self.sum_peers();
    }

    /// Drops the demand of peers that sent no report lately, and of those for which `kept` is false.
    pub(crate) fn expire(&mut self, now: Instant, kept: impl Fn(Node) -> bool) {
        self.peers.retain(|node, peer| now - peer.at < PEER_LIFETIME && kept(*node));
        self.sum_peers();
    }

    /// The demand of this router and of the peers that are `included`.
    pub(crate) fn report(
        &self,
        now: Instant,
        service: u32,
        included: impl Fn(Node) -> bool,
    ) -> limit::Demand {
        let mut routers = 1;
        let mut asked = self.asked.value(now);
        for (_, peer) in self.peers.iter().filter(|(node, _)| included(**node)) {
            routers += peer.routers;
            asked += peer.asked;
        }
        limit::Demand { service, routers, asked: to_thousandths(asked) }
    }

    fn sum_peers(&mut self) {
        self.others_routers = self.peers.values().map(|peer| peer.routers).sum();
        self.others_asked = self.peers.values().map(|peer| peer.asked).sum();
    }
}
