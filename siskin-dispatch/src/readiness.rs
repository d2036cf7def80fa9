//! How many routers of a data centre may fail their readiness checks at the same time.
//!
//! A router that is short of processor time says that it is not ready, and stays so for a while after it has recovered, so
//! that its callers find a router with more capacity. If fewer than half of the routers of a data centre are ready, the
//! platform uses all of them again, and sends the same callers to the same strained router for as long as that lasts.
//! Therefore the routers of a data centre report to each other which of them are strained, and the ones strained for longest
//! return when there would be too many.

use {
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::strain::{Report, Strain},
    std::time::Duration,
};

/// Time after which a router that has not said again that it is strained does not count as such.
const STRAIN_LIFETIME: Duration = Duration::from_secs(3);

/// Interval between reports to a receiver.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Instant,
    heard: Instant,
}

/// The strained routers of a data centre, according to the reports that one of its routers has received.
///
/// ```
/// use {
///     siskin_dispatch::readiness::Strained,
///     siskin_types::{id::Node, time::Instant},
///     std::time::Duration,
/// };
/// let routers = [Node(1), Node(2), Node(3), Node(4)];
/// let at = |secs: u64| Instant::from_micros(1_000_000 * secs);
/// let mut strained = Strained::new(Node(1));
/// strained.set_routers(&routers);
/// strained.record_own(at(10), Some(at(10)));
/// assert!(!strained.must_return(at(10)));
/// let mut later = Strained::new(Node(2));
/// later.set_routers(&routers);
/// later.record_own(at(11), Some(at(11)));
/// strained.merge(at(11), &later.report(at(11)));
/// assert!(!strained.must_return(at(11)), "half of the routers are ready");
/// let mut last = Strained::new(Node(3));
/// last.set_routers(&routers);
/// last.record_own(at(12), Some(at(12)));
/// strained.merge(at(12), &last.report(at(12)));
/// assert!(strained.must_return(at(12)), "it has been strained for longest");
/// ```
#[derive(Clone, Debug)]
pub struct Strained {
    own: Node,
    /// The routers of the data centre.
    routers: Vec<Node>,
    entries: IndexMap<Node, Entry>,
}

impl Strained {
    /// Creates the state of a router that has no list of routers yet.
    #[must_use]
    pub fn new(own: Node) -> Self {
        Self { own, routers: Vec::new(), entries: IndexMap::new() }
    }

    /// Replaces the list of the data centre's routers, which includes this one.
    pub fn set_routers(&mut self, routers: &[Node]) {
        self.routers = routers.to_vec();
        self.entries.retain(|node, _| routers.contains(node));
    }

    /// Records since when this router has been strained; `None` if it is ready.
    pub fn record_own(&mut self, now: Instant, since: Option<Instant>) {
        match since {
            Some(since) => drop(self.entries.insert(self.own, Entry { since, heard: now })),
            None => drop(self.entries.swap_remove(&self.own)),
        }
        self.entries.retain(|_, entry| now - entry.heard < STRAIN_LIFETIME);
    }

    /// Merges a report. Of two statements on a router, the one that was made later counts.
    pub fn merge(&mut self, now: Instant, report: &Report) {
        let before = |millis: u32| now.saturating_sub(Duration::from_millis(u64::from(millis)));
        for strain in &report.strained {
            let entry = Entry { since: before(strain.age_ms), heard: before(strain.heard_ms) };
            let is_known = self.routers.contains(&strain.node) && strain.node != self.own;
            let known = self.entries.get(&strain.node);
            if is_known && known.is_none_or(|known| known.heard < entry.heard) {
                self.entries.insert(strain.node, entry);
            }
        }
    }

    /// The strained routers, for the other routers of the data centre.
    #[must_use]
    pub fn report(&self, now: Instant) -> Report {
        let millis = |since: Instant| u32::try_from((now - since).as_millis()).unwrap_or(u32::MAX);
        let strained = self.entries.iter().map(|(node, entry)| Strain {
            node: *node,
            age_ms: millis(entry.since),
            heard_ms: millis(entry.heard),
        });
        Report { strained: strained.collect() }
    }

    /// The other routers that are strained.
    pub fn others(&self, now: Instant) -> impl Iterator<Item = Node> {
        let is_strained = move |entry: &Entry| now - entry.heard < STRAIN_LIFETIME;
        let others = self.entries.iter().filter(|(node, _)| **node != self.own);
        others.filter(move |(_, entry)| is_strained(entry)).map(|(node, _)| *node)
    }

    /// Whether this router has to say that it is ready, if it has recovered, as too many others became strained after it.
    #[must_use]
    pub fn must_return(&self, now: Instant) -> bool {
        let Some(own) = self.entries.get(&self.own) else { return false };
        let later = self.entries.iter().filter(|(node, entry)| {
            (entry.since, **node) > (own.since, self.own) && now - entry.heard < STRAIN_LIFETIME
        });
        later.count() >= self.routers.len().max(1) / 2
    }
}
