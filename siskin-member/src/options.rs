//! Options of a member and their defaults.

use {siskin_types::id::Node, std::net::SocketAddr, std::time::Duration};

/// Options of a member.
#[derive(Clone, Debug)]
pub struct Options {
    /// The own node.
    pub node: Node,
    /// Address at which the own process receives datagrams.
    pub address: SocketAddr,
    /// Name of the own data centre, truncated to [`siskin_wire::member::MAX_DATA_CENTRE_BYTES`] bytes.
    pub data_centre: String,
    /// Start time in microseconds. Must be higher than the incarnation of any earlier process of the node; if it is
    /// not, the member raises it as soon as another member reports a higher one.
    pub incarnation: u64,
    /// Addresses of members to join through. The own address may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Intervals and time limits.
    pub timing: Timing,
}

impl Options {
    /// Options without seed addresses and with the default timing. The random seed is derived from
    /// the node and the incarnation.
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
    /// Time without an answer after which other members are asked to probe the target too.
    pub indirect_probe_delay: Duration,
    /// Time in which a suspected member may refute the suspicion.
    pub suspicion_timeout: Duration,
    /// Additional time before a member declares another one unreachable whose suspicion was only reported to it, unless
    /// it is also reported as unreachable. The member whose probe failed decides; the others decide only if its
    /// decision does not reach them.
    pub reported_suspicion_grace: Duration,
    /// Time after which an unreachable member is forgotten.
    pub unreachable_retention: Duration,
    /// Shortest time between two probes of unreachable members. The fleet as a whole probes each of them about once in
    /// this time, regardless of the number of routers.
    pub unreachable_probe_interval: Duration,
    /// Time between attempts to join.
    pub join_retry_interval: Duration,
    /// Time between attempts to contact a seed address that no visible member has.
    pub seed_retry_interval: Duration,
    /// Time without changes after which a full view is requested from a peer whose view differs.
    pub settle_time: Duration,
    /// Shortest time between two requests for a full view.
    pub pull_interval: Duration,
    /// Shortest time between two requests that ask members with a different view about unreachable members.
    pub recheck_interval: Duration,
    /// A longer time between two ticks counts as a suspension of the process: running time limits are then extended,
    /// because answers may be waiting unread.
    pub stall_threshold: Duration,
    /// Time for which an address must be missing from the platform's list before it counts as dropped.
    pub drop_grace: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            indirect_probe_delay: Duration::from_millis(200),
            suspicion_timeout: Duration::from_secs(2),
            reported_suspicion_grace: Duration::from_secs(2),
            unreachable_retention: Duration::from_secs(3_600),
            unreachable_probe_interval: Duration::from_secs(1),
            join_retry_interval: Duration::from_secs(1),
            seed_retry_interval: Duration::from_secs(30),
            settle_time: Duration::from_secs(3),
            pull_interval: Duration::from_secs(2),
            recheck_interval: Duration::from_secs(1),
            stall_threshold: Duration::from_secs(1),
            drop_grace: Duration::from_secs(30),
        }
    }
}
