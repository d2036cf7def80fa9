//! Which new connections a loaded router relays to larger routers of its data centre.
//!
//! The platform sends all connections of a caller to one router, whatever its size, and needs seconds to notice that the router
//! is not ready. Most routers are small, so the next one is often as small. Therefore a router that uses much of its processor
//! time relays a part of its new connections to larger routers. Relaying bytes costs a fraction of serving the requests. A
//! relayed connection is not relayed again.

use {
    crate::prompt::mix,
    indexmap::IndexMap,
    siskin_types::id::Node,
    std::{collections::HashSet, net::SocketAddr},
};

/// Utilisation above which more connections are relayed. It leaves processor time for relaying and for a sudden rise.
const RELAYING_ABOVE: f64 = 0.5;

/// Utilisation below which fewer connections are relayed.
const RELIEVED_BELOW: f64 = 0.4;

/// Utilisation above which callers also close open connections, if all new ones are relayed already: their next ones are relayed.
const CLOSING_ABOVE: f64 = 0.7;

/// Increase of the relayed share with each sample; samples are taken every 50 ms. The load of a caller can rise to several times the
/// capacity at once.
const INCREASE: f64 = 0.35;

/// Decrease of the relayed share with each sample, so that relaying fades out over 5 s and does not oscillate.
const DECREASE: f64 = 0.01;

/// Weight of a new sample in the moving average of the utilisation.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Smallest capacity of a larger router, relative to the capacity of the router that relays to it.
const LARGER_FACTOR: u32 = 2;

/// A router to which connections can be relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The router.
    pub node: Node,
    /// Address on which it serves callers.
    pub address: SocketAddr,
    /// Thousandths of a core that it may use.
    pub millicores: u32,
}

/// A change in whether connections are relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// New connections are relayed from now on.
    Began,
    /// No new connections are relayed from now on.
    Ended,
}

/// The larger routers of a data centre, and the share of new connections that this router relays to them.
///
/// ```
/// use {siskin_dispatch::offload::{Change, Offload, Target}, siskin_types::id::Node};
/// let address = "10.0.0.2:80".parse().unwrap();
/// let mut offload = Offload::default();
/// offload.set_targets(120, [Target { node: Node(2), address, millicores: 500 }]);
/// assert_eq!(offload.choose(1), None);
/// let changes: Vec<_> = (0..20).filter_map(|_| offload.record_utilisation(0.9)).collect();
/// assert_eq!(changes, [Change::Began]);
/// assert_eq!(offload.choose(1), Some(address));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Offload {
    targets: IndexMap<Node, Target>,
    /// Routers that are short of processor time themselves.
    strained: HashSet<Node>,
    utilisation: f64,
    /// Share of new connections that is relayed.
    share: f64,
    /// Accumulated relayed share; a connection is relayed when it reaches 1.
    credit: f64,
}

impl Offload {
    /// Replaces the list of the data centre's other routers. Only those that are much larger than this one, which may use
    /// `millicores`, are kept.
    pub fn set_targets(&mut self, millicores: u32, routers: impl IntoIterator<Item = Target>) {
        let larger = routers.into_iter().filter(|target| is_larger(target.millicores, millicores));
        self.targets = larger.map(|target| (target.node, target)).collect();
    }

    /// Replaces the list of the routers that are short of processor time.
    pub fn set_strained(&mut self, strained: impl IntoIterator<Item = Node>) {
        self.strained.clear();
        self.strained.extend(strained);
    }

    /// Records which share of its processor time this router has used since the last call, and adapts the relayed share.
    pub fn record_utilisation(&mut self, sample: f64) -> Option<Change> {
        self.utilisation += (sample.clamp(0.0, 1.0) - self.utilisation) * SAMPLE_WEIGHT;
        let before = self.share > 0.0;
        if self.utilisation > RELAYING_ABOVE && !self.targets.is_empty() {
            self.share = (self.share + INCREASE).min(1.0);
        } else if self.utilisation < RELIEVED_BELOW || self.targets.is_empty() {
            self.share = (self.share - DECREASE).max(0.0);
        }
        match (before, self.share > 0.0) {
            (false, true) => Some(Change::Began),
            (true, false) => Some(Change::Ended),
            _ => None,
        }
    }

    /// Mean utilisation of the last few samples.
    #[must_use]
    pub const fn utilisation(&self) -> f64 {
        self.utilisation
    }

    /// Whether callers should close their connections after the next response, as relaying all new ones is not enough.
    #[must_use]
    pub fn should_close_connections(&self) -> bool {
        self.share >= 1.0 && self.utilisation > CLOSING_ABOVE
    }

    /// Decides whether the next new connection is relayed, and where. `random` differs between connections. Larger routers get
    /// more of them.
    pub fn choose(&mut self, random: u64) -> Option<SocketAddr> {
        self.credit = (self.credit + self.share).min(2.0);
        if self.credit < 1.0 {
            return None;
        }
        let usable = || self.targets.values().filter(|one| !self.strained.contains(&one.node));
        let total: u64 = usable().map(|target| u64::from(target.millicores)).sum();
        let mut offset = mix(random, total).checked_rem(total)?;
        self.credit -= 1.0;
        for target in usable() {
            match offset.checked_sub(u64::from(target.millicores)) {
                Some(rest) => offset = rest,
                None => return Some(target.address),
            }
        }
        None
    }
}

/// Whether a router is so much larger than another one that the other one relays connections to it; both in thousandths of a
/// core.
///
/// ```
/// use siskin_dispatch::offload::is_larger;
/// assert!(is_larger(300, 90));
/// assert!(!is_larger(500, 300));
/// ```
#[must_use]
pub const fn is_larger(router: u32, other: u32) -> bool {
    router >= other.saturating_mul(LARGER_FACTOR)
}
