//! Options of a member and their defaults.

use {siskin_types::id::Node, std::net::SocketAddr, std::time::Duration};

/// What a member is told at start.
#[derive(Clone, Debug)]
pub struct Options {
    /// The own node.
    pub node: Node,
    /// Where the own process receives datagrams.
    pub address: SocketAddr,
    /// Name of the own data centre; cut after [`siskin_wire::member::MAX_DATA_CENTRE_BYTES`] bytes.
    pub data_centre: String,
    /// Start time in microseconds. Must be larger than that of an earlier process of the node; if it is not, the
    /// member raises it as soon as another member contradicts.
    pub incarnation: u64,
    /// Addresses to join through. The own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Intervals and time limits.
    pub timing: Timing,
}

impl Options {
    /// Options without seed addresses and with the default timing. The random seed is derived from the identity.
    #[must_use]
    pub fn new(node: Node, address: SocketAddr, data_centre: &str, incarnation: u64) -> Self {
        Self {
            node,
            address,
            data_centre: data_centre.to_owned(),
            incarnation,
            seeds: Vec::new(),
            seed: incarnation ^ (u64::from(node.0) << 32),
            timing: Timing::default(),
        }
    }
}

/// Intervals and time limits.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between the starts of two probes.
    pub probe_interval: Duration,
    /// Time after which other members are asked to probe the target too.
    pub indirect_after: Duration,
    /// Time in which a suspected member may refute.
    pub suspicion: Duration,
    /// Additional time granted by members that only heard of a suspicion, unless they also hear that the member has
    /// been found unreachable. Whoever suspects first decides; the others decide only if its verdict does not come.
    pub hearsay_grace: Duration,
    /// Time for which an unreachable member remains known.
    pub keep_unreachable: Duration,
    /// Shortest time between two probes of unreachable members. The fleet as a whole probes each of them about once
    /// in this time, however many routers there are.
    pub unreachable_probe: Duration,
    /// Time between attempts to join.
    pub join_retry: Duration,
    /// Time between attempts to reach a seed address that no visible member has.
    pub seed_retry: Duration,
    /// Time without changes after which a view that differs from a peer's is compared in full.
    pub settle: Duration,
    /// Shortest time between two requests for a full view.
    pub pull_interval: Duration,
    /// Shortest time between two questions to members with another view about unreachable members.
    pub recheck_interval: Duration,
    /// A pause between two ticks that is taken for a suspension of the process: all time limits are then extended,
    /// because answers may be waiting unread.
    pub stall: Duration,
    /// Time for which an address must be missing from the platform's list before its member counts as dropped.
    pub drop_grace: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            indirect_after: Duration::from_millis(200),
            suspicion: Duration::from_secs(2),
            hearsay_grace: Duration::from_secs(2),
            keep_unreachable: Duration::from_secs(3_600),
            unreachable_probe: Duration::from_secs(1),
            join_retry: Duration::from_secs(1),
            seed_retry: Duration::from_secs(30),
            settle: Duration::from_secs(3),
            pull_interval: Duration::from_secs(2),
            recheck_interval: Duration::from_secs(1),
            stall: Duration::from_secs(1),
            drop_grace: Duration::from_secs(30),
        }
    }
}
