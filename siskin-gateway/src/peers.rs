//! Exchange of load, and of newer configurations, with the other routers.
//!
//! Many times a second, routers send each other digests of the load that they have put on endpoints and of the demand of
//! their customers; [`siskin_dispatch::spread`] chooses the receivers. Digests also carry the versions of the configuration
//! and of the list of endpoints. A router with an older version requests the newer one from the sender, so a router that
//! cannot read the store stays up to date through its peers.
//!
//! The same receivers get what is known of crashes of endpoints, of their limits and of their remaining work, permits for cold
//! endpoints, and which routers of the data centre are short of processor time.

mod readiness;
mod versions;

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
    },
    indexmap::IndexMap,
    readiness::Readiness,
    siskin_dispatch::spread::{Due, Exchange, Router},
    siskin_net::{
        control::{Control, Received},
        lock,
    },
    siskin_types::{id::Node, position::Position},
    siskin_wire::{
        Message, crash, limit,
        load::{Digest, Scope},
        permit, relay, work,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::mpsc,
        time::{self, Instant},
    },
    versions::{Need, Pair, Request, Versions},
};

/// Time after its last digest for which a router that the platform does not list counts as a peer.
const UNLISTED_PEER_LIFETIME: Duration = Duration::from_secs(10);

/// Most received frames that wait in the queue.
const QUEUE_FRAMES: usize = 1_024;

/// Exchange with the other routers.
#[derive(Debug)]
pub struct Peers {
    gateway: Arc<Gateway>,
    node: Node,
    control: Arc<Control>,
    by_node: Mutex<IndexMap<Node, Peer>>,
    versions: Mutex<Versions>,
    exchange: Mutex<Exchange>,
    readiness: Mutex<Readiness>,
}

/// A router that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The router, its data centre and its share of processor time.
    pub router: Router,
    /// Address at which it exchanges frames with other routers.
    pub address: SocketAddr,
    /// Address at which it serves callers; `None` for a router of an earlier version.
    pub callers: Option<SocketAddr>,
    /// Address at which it serves snapshots to routers that start; `None` for a router of an earlier version.
    pub snapshots: Option<SocketAddr>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    listed: bool,
    last_heard: Option<Instant>,
}

impl Peers {
    /// Starts the exchange on bound sockets. It runs until the process ends.
    #[must_use]
    pub fn start(
        gateway: Arc<Gateway>,
        node: Node,
        control: Control,
        listener: TcpListener,
    ) -> Arc<Self> {
        gateway.set_node(node);
        let control = Arc::new(control);
        let peers = Arc::new(Self {
            gateway,
            node,
            control: Arc::clone(&control),
            by_node: Mutex::default(),
            versions: Mutex::default(),
            exchange: Mutex::new(Exchange::new(node)),
            readiness: Mutex::new(Readiness::new(node)),
        });
        let (queue, received) = mpsc::channel(QUEUE_FRAMES);
        tokio::spawn(control.run(listener, queue));
        tokio::spawn(Arc::clone(&peers).receive_messages(received));
        tokio::spawn(Arc::clone(&peers).send_digests());
        peers
    }

    /// Replaces the list of routers that the platform publishes, which includes this one.
    pub fn list(&self, routers: &[Listing]) {
        let fleet: Vec<Router> = routers.iter().map(|listed| listed.router.clone()).collect();
        lock(&self.exchange).list(&fleet);
        lock(&self.readiness).set_routers(&fleet, &self.gateway.options.data_centre);
        self.gateway.set_offload_targets(self.node, routers);
        let others = routers.iter().filter(|listed| listed.router.node != self.node);
        self.gateway.set_snapshot_sources(others.filter_map(|listed| listed.snapshots).collect());
        let mut peers = lock(&self.by_node);
        for peer in peers.values_mut() {
            peer.listed = false;
        }
        for listed in routers.iter().filter(|listed| listed.router.node != self.node) {
            let (node, address) = (listed.router.node, listed.address);
            let known = peers.get(&node).map(|peer| peer.address);
            if known != Some(address) {
                log::info!(peer:% = node, address:% = address; "router listed");
            }
            let peer =
                peers.entry(node).or_insert(Peer { address, listed: true, last_heard: None });
            peer.address = address;
            peer.listed = true;
        }
        peers.retain(|node, peer| {
            let kept = peer.listed || peer.heard_recently();
            if !kept {
                log::info!(peer:% = node; "router gone from the list");
            }
            kept
        });
        let count = u32::try_from(peers.len() + 1).unwrap_or(u32::MAX);
        drop(peers);
        self.gateway.set_routers(count);
        self.gateway.metrics.peers.set(i64::from(count) - 1);
    }

    async fn receive_messages(self: Arc<Self>, mut received: mpsc::Receiver<Received>) {
        while let Some(Received { from, opened }) = received.recv().await {
            match opened.message {
                Message::Load(digest) => self.handle_digest(opened.node, from, &digest),
                Message::Relay(message) => self.handle_relay(from, message),
                Message::Strain(report) => {
                    lock(&self.readiness).merge(self.gateway.clock.now(), &report);
                }
                Message::Limit(report) => self.handle_limits(opened.node, &report),
                Message::Permit(message) => self.handle_permits(opened.node, &message),
                Message::Work(report) => self.handle_works(opened.node, &report),
                Message::Crash(report) => self.gateway.merge_crashes(opened.node, &report),
                other => {
                    log::debug!(from:% = from; "message that this program does not handle: {other:?}");
                }
            }
        }
    }

    fn handle_digest(&self, node: Node, from: SocketAddr, digest: &Digest) {
        {
            let mut peers = lock(&self.by_node);
            let peer = peers.entry(node).or_insert_with(|| {
                log::info!(peer:% = node, address:% = from; "first digest of a router that is not listed");
                Peer { address: from, listed: false, last_heard: None }
            });
            peer.last_heard = Some(Instant::now());
        }
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        let counted = self.gateway.with_dispatch(|state| {
            let pools = state.pools.values_mut();
            exchange.take(now, node, digest, pools, &mut state.ledger)
        });
        drop(exchange);
        self.gateway.log_condition_changes();
        if digest.store_age_ms != Digest::NEVER {
            let age = Duration::from_millis(u64::from(digest.store_age_ms));
            self.gateway.reading(|reading| reading.record_peer_read(now, age));
        }
        if counted && digest.scope != Scope::Own {
            self.record_hub_reading(digest);
        }
        let reported = Pair::new(digest.config_version, digest.directory_position);
        let is_newer = lock(&self.versions).record(from, reported, self.own_versions());
        if is_newer {
            self.gateway.record_newer_version_at_peer();
        }
    }

    fn handle_limits(&self, node: Node, report: &limit::Report) {
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        self.gateway.with_dispatch(|state| {
            exchange.take_limits(now, node, report, &mut state.pools);
        });
        drop(exchange);
        self.gateway.log_condition_changes();
    }

    fn handle_permits(&self, node: Node, message: &permit::Message) {
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        let answer = self
            .gateway
            .with_dispatch(|state| exchange.take_permits(now, node, message, &mut state.pools));
        drop(exchange);
        if let Some(answer) = answer {
            self.send_to(node, &Message::Permit(answer));
        }
    }

    fn handle_works(&self, node: Node, report: &work::Report) {
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        self.gateway.with_dispatch(|state| {
            exchange.take_works(now, node, report, &mut state.pools);
        });
    }

    /// Records how long ago a hub read the store, unless this router has older versions than the hub.
    fn record_hub_reading(&self, digest: &Digest) {
        let (config_version, directory_position) = self.known_versions();
        let behind = digest.config_version > config_version
            || digest.directory_position > directory_position;
        if !behind && digest.store_age_ms != Digest::NEVER {
            let age = Duration::from_millis(u64::from(digest.store_age_ms));
            let now = self.gateway.clock.now();
            self.gateway.reading(|reading| reading.told(now, age));
        }
    }

    fn handle_relay(&self, from: SocketAddr, message: relay::Message) {
        let (version, position) = self.known_versions();
        let now = self.gateway.clock.now();
        match message {
            relay::Message::Ask { config_version, directory_position } => {
                if let Some(catalog) = self.gateway.catalog().filter(|_| version > config_version) {
                    self.send_content(from, relay::Message::Catalog, catalog.encode());
                }
                if position > directory_position {
                    self.send_content(
                        from,
                        relay::Message::Directory,
                        self.gateway.directory().without_expired().encode(now),
                    );
                }
            }
            relay::Message::Catalog(bytes) => {
                let known = self.gateway.catalog();
                let decoded = Catalog::decode(&bytes, known.as_deref());
                if let Some(catalog) = read_content(from, decoded) {
                    self.gateway.set_catalog(catalog, Source::Peer);
                }
            }
            relay::Message::Directory(bytes) => {
                if let Some(directory) = read_content(from, Directory::decode(&bytes, now)) {
                    self.gateway.set_directory(directory, Source::Peer);
                }
            }
        }
    }

    fn send_content(
        &self,
        to: SocketAddr,
        message: impl Fn(Vec<u8>) -> relay::Message,
        encoded: postcard::Result<Vec<u8>>,
    ) {
        match encoded {
            Ok(bytes) => self.control.send(None, to, &Message::Relay(message(bytes))),
            Err(error) => log::error!("data for a peer cannot be encoded: {error}"),
        }
    }

    /// Sends digests and requests newer versions, in a loop.
    async fn send_digests(self: Arc<Self>) {
        let mut hub = self.node;
        loop {
            let interval = lock(&self.exchange).interval();
            time::sleep(interval).await;
            self.request_newer_versions();
            let Due { digests, limits, permits, works, targets, role, hub: chosen, silent } =
                self.take_due_digests();
            self.gateway.log_condition_changes();
            for node in silent {
                log::info!(peer:% = node; "no digests of a router for a while; it is not used as a hub until it sends one");
            }
            self.gateway.update_condition_metrics();
            self.gateway.reading(|reading| reading.set_role(role));
            if chosen != hub {
                log::info!(hub:% = chosen, before:% = hub; "hub for load changed");
                hub = chosen;
            }
            for (node, digest) in digests {
                self.send_digest(node, digest);
            }
            for (node, report) in limits {
                self.send_to(node, &Message::Limit(report));
            }
            for (node, message) in permits {
                self.send_to(node, &Message::Permit(message));
            }
            for (node, report) in works {
                self.send_to(node, &Message::Work(report));
            }
            self.balance_readiness(&targets);
            for (node, report) in self.gateway.crash_reports(&targets) {
                self.send_crash_report(node, report);
            }
        }
    }

    fn take_due_digests(&self) -> Due {
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        self.gateway.with_dispatch(|state| {
            let usages = std::mem::take(&mut state.usages);
            state.measure_capacity(now);
            exchange.due(now, &mut state.pools, usages)
        })
    }

    fn send_digest(&self, node: Node, digest: Digest) {
        let Some(address) = self.address(node) else { return };
        let (config_version, directory_position) = self.known_versions();
        let now = self.gateway.clock.now();
        let age = self.gateway.reading(|reading| reading.age(now, digest.scope));
        let store_age_ms =
            age.and_then(|age| u16::try_from(age.as_millis()).ok()).unwrap_or(Digest::NEVER);
        let digest = Digest { config_version, directory_position, store_age_ms, ..digest };
        for part in digest.split() {
            self.control.send(Some(node), address, &Message::Load(part));
        }
    }

    /// Reports to the routers of this data centre which of them are short of processor time, and returns to readiness if there
    /// are too many.
    fn balance_readiness(&self, targets: &[Node]) {
        let now = self.gateway.clock.now();
        let mut readiness = lock(&self.readiness);
        if readiness.must_return(now, self.gateway.strained_since()) {
            self.gateway.end_strain();
        }
        self.gateway.set_strained_targets(readiness.strained(now));
        let Some((receivers, report)) = readiness.due_report(now, targets) else { return };
        drop(readiness);
        for node in receivers {
            self.send_to(node, &Message::Strain(report.clone()));
        }
    }

    fn send_crash_report(&self, node: Node, report: crash::Report) {
        if report.is_empty() {
            return;
        }
        for part in report.split() {
            self.send_to(node, &Message::Crash(part));
        }
    }

    /// Sends a message to a router, if its address is known.
    fn send_to(&self, node: Node, message: &Message) {
        if let Some(address) = self.address(node) {
            self.control.send(Some(node), address, message);
        }
    }

    fn address(&self, node: Node) -> Option<SocketAddr> {
        lock(&self.by_node).get(&node).map(|peer| peer.address)
    }

    /// Requests newer versions from a peer that reported them: at once if this router leaves reading the store to its hub,
    /// otherwise once the store has not delivered them for a while.
    fn request_newer_versions(&self) {
        let own = self.own_versions();
        let delegates_to_hub = self.gateway.reading(|reading| reading.delegates_to_hub());
        let need = Need {
            directory: delegates_to_hub || !self.gateway.watching_store(),
            at_once: delegates_to_hub,
        };
        let due = lock(&self.versions).take_due_request(Instant::now(), own, need);
        let Some(Request { from, newest }) = due else { return };
        log::info!(
            config_version = own.config, newest = newest.config, directory = own.directory.number(),
            newest_directory = newest.directory.number(), peer:% = from;
            "versions are older than those of a peer; requesting newer ones"
        );
        let request =
            relay::Message::Ask { config_version: own.config, directory_position: own.directory };
        self.control.send(None, from, &Message::Relay(request));
    }

    fn own_versions(&self) -> Pair {
        let (config, directory) = self.known_versions();
        Pair::new(config, directory)
    }

    fn known_versions(&self) -> (u64, Position) {
        let version = self.gateway.catalog().map_or(0, |catalog| catalog.version);
        (version, self.gateway.directory().position())
    }
}

impl Peer {
    fn heard_recently(&self) -> bool {
        self.last_heard.is_some_and(|last_heard| last_heard.elapsed() < UNLISTED_PEER_LIFETIME)
    }
}

fn read_content<T>(from: SocketAddr, decoded: postcard::Result<T>) -> Option<T> {
    match decoded {
        Ok(content) => Some(content),
        Err(error) => {
            log::warn!(from:% = from; "data from a peer cannot be read: {error}");
            None
        }
    }
}
