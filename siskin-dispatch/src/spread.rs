//! Which routers send load digests to which others.
//!
//! In a small fleet, the routers form a full mesh. In a larger one, the routers of a data centre form groups, and each
//! group has a hub: members report their own load to their hub, hubs report their group's load to each other, and each
//! hub reports the load of the whole fleet to its members. The number of digests that a router sends and receives then
//! grows with the square root of the fleet's size, so digests stay frequent, and few of them cross between data
//! centres.
//!
//! No coordination is needed. A router acts as a hub for every router that reports to it. All routers compute the same
//! order of preference for each group, and choose its first router that has not fallen silent.

mod changes;
mod exchange;
mod limits;
mod permits;
mod works;

use {
    crate::prompt::mix,
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::load::Scope,
    std::{cmp::Reverse, time::Duration},
};

pub use {
    changes::Changes,
    exchange::{Due, Exchange},
};

/// Largest fleet that forms a full mesh, in which every router is a group of its own.
const MESH_MAX: usize = 12;

/// Largest group.
const GROUP_MAX: usize = 24;

/// Shortest interval between digests.
const INTERVAL_MIN: Duration = Duration::from_millis(50);

/// Interval between digests per receiver, which limits a hub to about 300 digests a second.
const INTERVAL_PER_TARGET: Duration = Duration::from_millis(3);

/// Time without a digest after which a hub is skipped until it sends one again. Longer than the interval between
/// digests of an idle hub in a large fleet.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// Initial interval between probes: digests sent to a silent router to find out whether it is back. Doubled with each
/// probe.
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Longest interval between probes.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(4);

/// A router that has not reported for this long has chosen another hub or has stopped.
const REPORT_LIFETIME: Duration = Duration::from_secs(1);

/// Whether a fleet of this many routers has hubs.
///
/// ```
/// use siskin_dispatch::spread::has_hubs;
/// assert!(!has_hubs(8));
/// assert!(has_hubs(200));
/// ```
#[must_use]
pub const fn has_hubs(routers: usize) -> bool {
    routers > MESH_MAX
}

/// A router's role in the exchange of load digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It exchanges load with all other groups and has no members.
    #[default]
    Peer,
    /// It collects the load of its group's members and reports the fleet's load to them.
    Hub,
    /// It reports to the hub of its group.
    Member,
}

/// A router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Router {
    /// The router.
    pub node: Node,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// Thousandths of a core that it may use. Routers with more are preferred as hubs.
    pub millicores: u32,
}

/// The receiver and scope of a digest that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The receiver.
    pub node: Node,
    /// Which routers' load the digest covers.
    pub scope: Scope,
}

/// The result of planning a round of digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The digests to send.
    pub targets: Vec<Target>,
    /// The hub of this router; the router itself if it is a hub or a group of its own.
    pub hub: Node,
    /// Routers that were newly detected as silent.
    pub silent: Vec<Node>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// Scope and time of its last digest.
    last: Option<(Scope, Instant)>,
    /// Since when digests are expected of it, if they are.
    expected: Option<Instant>,
    /// The next probe, if it has fallen silent.
    probe: Option<Probe>,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    at: Instant,
    interval: Duration,
}

/// Chooses the hub of one router and the receivers of its digests, and queues changes for them.
///
/// ```
/// use {
///     siskin_dispatch::spread::{Router, Routing},
///     siskin_types::{id::Node, time::Instant},
///     siskin_wire::load::Scope,
/// };
/// let router = |node| Router { node: Node(node), data_centre: "a".to_owned(), millicores: 250 };
/// let mut routing = Routing::new(Node(1));
/// routing.set_routers(&[router(1), router(2), router(3)]);
/// let targets = routing.plan_digests(Instant::from_micros(1)).targets;
/// assert_eq!(targets.len(), 2, "a small fleet is a full mesh");
/// assert!(targets.iter().all(|target| target.scope == Scope::Group));
/// ```
#[derive(Debug)]
pub struct Routing {
    own: Node,
    /// The groups of the fleet; in each, the preferred hub comes first.
    groups: Vec<Vec<Node>>,
    hub: Node,
    /// The previous hub, whose load counts until the new one has sent a digest.
    previous_hub: Option<Node>,
    peers: IndexMap<Node, Peer>,
    targets: Vec<Target>,
    /// Changes not yet sent to each receiver.
    pending: IndexMap<Node, Changes>,
    last_planned: Option<Instant>,
}

impl Routing {
    /// Creates the state of a router that knows no others yet.
    #[must_use]
    pub fn new(own: Node) -> Self {
        Self {
            own,
            groups: Vec::new(),
            hub: own,
            previous_hub: None,
            peers: IndexMap::new(),
            targets: Vec::new(),
            pending: IndexMap::new(),
            last_planned: None,
        }
    }

    /// Replaces the list of the fleet's routers.
    pub fn set_routers(&mut self, routers: &[Router]) {
        self.groups = form_groups(routers);
    }

    /// Records that a digest arrived. Returns whether its content applies; if not, the sender uses other groups or
    /// another hub than this router.
    pub fn record_digest(&mut self, now: Instant, from: Node, scope: Scope) -> bool {
        let peer = self.peers.entry(from).or_default();
        peer.last = Some((scope, now));
        peer.probe = None;
        if scope == Scope::Fleet && self.hub == from {
            self.previous_hub = None;
        }
        self.applies(from, scope)
    }

    /// Whether the content of a message applies to this router; if not, the sender uses other groups or another hub.
    #[must_use]
    pub fn applies(&self, from: Node, scope: Scope) -> bool {
        match scope {
            Scope::Own => true,
            Scope::Group => self.hub == self.own,
            Scope::Fleet => self.hub == from,
        }
    }

    /// Queues changes for the receivers that should get them: those of a digest, or this router's own (`from` is
    /// `None`).
    pub fn queue_changes(&mut self, from: Option<(Node, Scope)>, changes: &Changes) {
        for target in &self.targets {
            let included = match from {
                None => true,
                Some((node, Scope::Own)) => target.node != node,
                Some((_, Scope::Group)) => target.scope == Scope::Fleet,
                Some((_, Scope::Fleet)) => false,
            };
            if included {
                self.pending.entry(target.node).or_default().merge(changes);
            }
        }
    }

    /// Takes the changes not yet sent to a receiver.
    pub fn take_pending(&mut self, node: Node) -> Changes {
        self.pending.swap_remove(&node).unwrap_or_default()
    }

    /// Chooses the hub and the receivers of the digests that are due now.
    pub fn plan_digests(&mut self, now: Instant) -> Plan {
        let stalled =
            self.last_planned.replace(now).is_some_and(|before| now - before > SILENCE_TIMEOUT);
        if stalled {
            // This process was suspended, so the age of the last digests says nothing about their senders.
            for peer in self.peers.values_mut() {
                peer.expected = peer.expected.map(|_| now);
            }
        }
        let silent = self.detect_silent(now);
        let hub = self.choose_hub(now);
        if hub != self.hub {
            self.previous_hub = Some(std::mem::replace(&mut self.hub, hub));
        }
        let targets = self.choose_targets(now);
        for (node, peer) in &mut self.peers {
            let expected =
                targets.iter().any(|target| target.node == *node && target.scope != Scope::Fleet);
            peer.expected = expected.then(|| peer.expected.unwrap_or(now));
        }
        self.pending.retain(|node, _| targets.iter().any(|target| target.node == *node));
        self.targets.clone_from(&targets);
        Plan { targets, hub, silent }
    }

    /// Time until the next digests are due.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let targets = u32::try_from(self.targets.len()).unwrap_or(u32::MAX);
        INTERVAL_MIN.max(INTERVAL_PER_TARGET.saturating_mul(targets))
    }

    /// Whether this router is a hub or a group of its own.
    #[must_use]
    pub fn is_hub(&self) -> bool {
        self.hub == self.own
    }

    /// This router's role.
    #[must_use]
    pub fn role(&self) -> Role {
        let shares_group = |group: &Vec<Node>| group.len() > 1 && group.contains(&self.own);
        match self.is_hub() {
            false => Role::Member,
            true if self.groups.iter().any(shares_group) => Role::Hub,
            true => Role::Peer,
        }
    }

    /// Whether a router reports to this one as its hub.
    #[must_use]
    pub fn is_member(&self, now: Instant, node: Node) -> bool {
        self.sent_recently(now, node, Scope::Own)
    }

    /// Whether the load that a router has reported still counts.
    #[must_use]
    pub fn counts_load_of(&self, now: Instant, node: Node) -> bool {
        if self.is_hub() {
            self.is_member(now, node) || self.is_other_hub(node)
        } else {
            node == self.hub || self.previous_hub == Some(node)
        }
    }

    /// Whether what a peer has reported is part of what the receiver of a message gets.
    fn covers(&self, now: Instant, target: Target, peer: Node) -> bool {
        match target.scope {
            Scope::Own => false,
            Scope::Group => self.is_member(now, peer),
            Scope::Fleet => peer != target.node,
        }
    }

    /// Whether this router, as a hub, hears from more than half of the fleet, directly or through other hubs.
    fn hears_most(&self, now: Instant) -> bool {
        let heard = |node: &Node| {
            *node == self.own || self.is_member(now, *node) || self.is_heard_hub(now, *node)
        };
        let counted = |group: &Vec<Node>| {
            if group.iter().any(|node| self.is_heard_hub(now, *node)) {
                return group.len();
            }
            group.iter().filter(|node| heard(node)).count()
        };
        let known: usize = self.groups.iter().map(counted).sum();
        let fleet: usize = self.groups.iter().map(Vec::len).sum();
        2 * known > fleet
    }

    fn is_heard_hub(&self, now: Instant, node: Node) -> bool {
        self.sent_recently(now, node, Scope::Group)
    }

    /// Whether a router's last digest was one from hub to hub. How long its load counts is the pool's decision.
    fn is_other_hub(&self, node: Node) -> bool {
        self.peers.get(&node).is_some_and(|peer| matches!(peer.last, Some((Scope::Group, _))))
    }

    fn sent_recently(&self, now: Instant, node: Node, scope: Scope) -> bool {
        let last = self.peers.get(&node).and_then(|peer| peer.last);
        last.is_some_and(|(last_scope, at)| last_scope == scope && now - at < REPORT_LIFETIME)
    }

    /// Detects routers that should have sent digests and did not, and schedules probes to them.
    fn detect_silent(&mut self, now: Instant) -> Vec<Node> {
        let mut silent = Vec::new();
        for (node, peer) in &mut self.peers {
            let Some(expected) = peer.expected else { continue };
            let heard = peer.last.map_or(expected, |(_, at)| at.max(expected));
            if now - heard > SILENCE_TIMEOUT && peer.probe.is_none() {
                peer.probe =
                    Some(Probe { at: now + PROBE_INTERVAL_MIN, interval: PROBE_INTERVAL_MIN });
                silent.push(*node);
            }
        }
        silent
    }

    /// The preferred hub of the own group: the first router that has not fallen silent, where this router never counts
    /// as silent. A router that has members stays their hub, whatever it would prefer.
    fn choose_hub(&self, now: Instant) -> Node {
        if self.peers.keys().any(|node| self.is_member(now, *node)) {
            return self.own;
        }
        let group = self.groups.iter().find(|group| group.contains(&self.own));
        group.and_then(|group| self.first_alive(group)).unwrap_or(self.own)
    }

    fn choose_targets(&mut self, now: Instant) -> Vec<Target> {
        let probed = self.take_due_probes(now);
        if !self.is_hub() {
            self.peers.entry(self.hub).or_default();
            let target = |node| Target { node, scope: Scope::Own };
            let probed = probed.into_iter().filter(|node| self.in_own_group(*node));
            return std::iter::once(self.hub).chain(probed).map(target).collect();
        }
        let mut hubs: Vec<Node> =
            self.groups.iter().filter_map(|group| self.first_alive(group)).chain(probed).collect();
        hubs.extend(
            self.peers.keys().copied().filter(|node| self.sent_recently(now, *node, Scope::Group)),
        );
        hubs.sort_unstable();
        hubs.dedup();
        hubs.retain(|node| *node != self.own && !self.is_member(now, *node));
        for hub in &hubs {
            self.peers.entry(*hub).or_default();
        }
        let members = self.peers.keys().filter(|node| self.is_member(now, **node));
        let members = members.map(|node| Target { node: *node, scope: Scope::Fleet });
        let hubs = hubs.into_iter().map(|node| Target { node, scope: Scope::Group });
        hubs.chain(members).collect()
    }

    /// Takes the silent routers for which a probe is due.
    fn take_due_probes(&mut self, now: Instant) -> Vec<Node> {
        let mut due = Vec::new();
        for (node, peer) in &mut self.peers {
            let Some(probe) = peer.probe.as_mut().filter(|probe| probe.at <= now) else { continue };
            probe.interval = (probe.interval * 2).min(PROBE_INTERVAL_MAX);
            probe.at = now + probe.interval;
            due.push(*node);
        }
        due.retain(|node| self.groups.iter().any(|group| group.contains(node)));
        due
    }

    /// The first router of a group that has not fallen silent; the most preferred one if all have.
    fn first_alive(&self, group: &[Node]) -> Option<Node> {
        let alive = |node: &Node| *node == self.own || !self.is_silent(*node);
        group.iter().copied().find(alive).or_else(|| group.first().copied())
    }

    fn is_silent(&self, node: Node) -> bool {
        self.peers.get(&node).is_some_and(|peer| peer.probe.is_some())
    }

    fn in_own_group(&self, node: Node) -> bool {
        self.groups.iter().any(|group| group.contains(&self.own) && group.contains(&node))
    }
}

/// Divides a fleet into groups, alike on all routers that know the same list. Each group is in order of preference for
/// its hub.
fn form_groups(routers: &[Router]) -> Vec<Vec<Node>> {
    if routers.len() <= MESH_MAX {
        return routers.iter().map(|router| vec![router.node]).collect();
    }
    let mut sizes: IndexMap<&str, usize> = IndexMap::new();
    for router in routers {
        *sizes.entry(&router.data_centre).or_default() += 1;
    }
    let mut groups: IndexMap<(&str, u64), Vec<&Router>> = IndexMap::new();
    for router in routers {
        let count = sizes[router.data_centre.as_str()].div_ceil(GROUP_MAX) as u64;
        let group_index = mix(0, u64::from(router.node.0)) % count;
        groups.entry((&router.data_centre, group_index)).or_default().push(router);
    }
    let preferred = |group: &mut Vec<&Router>| {
        group.sort_by_key(|router| (Reverse(router.millicores), mix(1, u64::from(router.node.0))));
        group.iter().map(|router| router.node).collect()
    };
    groups.values_mut().map(preferred).collect()
}
