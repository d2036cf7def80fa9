//! Load, and newer configurations, from the other routers.
//!
//! Routers tell each other many times a second what they have put on the endpoints and what their customers asked for;
//! [`siskin_dispatch::spread`] decides who tells whom. The digests also say which configuration is in force; a router
//! that stays behind asks for the newer one, so a router that cannot read the store follows the others.

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
    },
    indexmap::IndexMap,
    serde::{Serialize, de::DeserializeOwned},
    siskin_dispatch::spread::{Due, Exchange, Router},
    siskin_net::{
        control::{Control, Received},
        lock,
    },
    siskin_types::id::Node,
    siskin_wire::{
        Message,
        load::{Digest, Scope},
        relay,
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
};

/// A router that the platform does not list is known as long as it was heard of this recently.
const HEARD_LIFETIME: Duration = Duration::from_secs(10);

/// Time that a router is behind a peer before it asks for what is newer. The store usually tells both at once.
const BEHIND: Duration = Duration::from_millis(300);

/// Time in which a peer that was asked has to answer before it is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Received frames that wait to be handled.
const QUEUE_FRAMES: usize = 1_024;

/// The other routers.
#[derive(Debug)]
pub struct Peers {
    gateway: Arc<Gateway>,
    node: Node,
    control: Arc<Control>,
    members: Mutex<IndexMap<Node, Member>>,
    newest: Mutex<Newest>,
    exchange: Mutex<Exchange>,
}

/// A router that the platform lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The router, where it runs, and what it may use.
    pub router: Router,
    /// Where it exchanges frames with the others.
    pub address: SocketAddr,
}

#[derive(Debug)]
struct Member {
    address: SocketAddr,
    listed: bool,
    heard: Option<Instant>,
}

/// The newest versions that peers have told of.
#[derive(Debug, Default)]
struct Newest {
    config_version: u64,
    directory_revision: u64,
    from: Option<SocketAddr>,
    behind_since: Option<Instant>,
    asked: Option<Instant>,
}

impl Peers {
    /// Starts to exchange digests on bound sockets, until the process ends.
    #[must_use]
    pub fn start(
        gateway: Arc<Gateway>,
        node: Node,
        control: Control,
        listener: TcpListener,
    ) -> Arc<Self> {
        let control = Arc::new(control);
        let peers = Arc::new(Self {
            gateway,
            node,
            control: Arc::clone(&control),
            members: Mutex::default(),
            newest: Mutex::default(),
            exchange: Mutex::new(Exchange::new(node)),
        });
        let (queue, received) = mpsc::channel(QUEUE_FRAMES);
        tokio::spawn(control.run(listener, queue));
        tokio::spawn(Arc::clone(&peers).receive(received));
        tokio::spawn(Arc::clone(&peers).tell());
        peers
    }

    /// Takes over the routers that the platform lists, this one included.
    pub fn list(&self, routers: &[Listed]) {
        let fleet: Vec<Router> = routers.iter().map(|listed| listed.router.clone()).collect();
        lock(&self.exchange).list(&fleet);
        let mut members = lock(&self.members);
        for member in members.values_mut() {
            member.listed = false;
        }
        for listed in routers.iter().filter(|listed| listed.router.node != self.node) {
            let (node, address) = (listed.router.node, listed.address);
            let known = members.get(&node).map(|member| member.address);
            if known != Some(address) {
                log::info!(peer:% = node, address:% = address; "router listed");
            }
            let member =
                members.entry(node).or_insert(Member { address, listed: true, heard: None });
            member.address = address;
            member.listed = true;
        }
        members.retain(|node, member| {
            let kept = member.listed || member.heard_lately();
            if !kept {
                log::info!(peer:% = node; "router gone from the list");
            }
            kept
        });
        let count = u32::try_from(members.len() + 1).unwrap_or(u32::MAX);
        drop(members);
        self.gateway.set_routers(count);
        self.gateway.metrics.peers.set(i64::from(count) - 1);
    }

    async fn receive(self: Arc<Self>, mut received: mpsc::Receiver<Received>) {
        while let Some(Received { from, opened }) = received.recv().await {
            match opened.message {
                Message::Load(digest) => self.hear(opened.node, from, &digest),
                Message::Relay(message) => self.relay(from, message),
                other => {
                    log::debug!(from:% = from; "message of another program ignored: {other:?}");
                }
            }
        }
    }

    fn hear(&self, node: Node, from: SocketAddr, digest: &Digest) {
        {
            let mut members = lock(&self.members);
            let member = members.entry(node).or_insert_with(|| {
                log::info!(peer:% = node, address:% = from; "router heard of");
                Member { address: from, listed: false, heard: None }
            });
            member.heard = Some(Instant::now());
        }
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        let counted = self.gateway.table(|table| {
            let pools = table.pools.values_mut();
            exchange.take(now, node, digest, pools, &mut table.ledger)
        });
        drop(exchange);
        self.gateway.report_conditions();
        if counted && digest.scope != Scope::Own {
            self.note_reading(digest);
        }
        let mut newest = lock(&self.newest);
        let newer = digest.config_version > newest.config_version
            || digest.directory_revision > newest.directory_revision;
        if newer {
            newest.from = Some(from);
            self.gateway.note_news();
        }
        newest.config_version = newest.config_version.max(digest.config_version);
        newest.directory_revision = newest.directory_revision.max(digest.directory_revision);
    }

    /// Notes how old a hub's reading of the store is, if this router is not behind it.
    fn note_reading(&self, digest: &Digest) {
        let (config_version, directory_revision) = self.versions();
        let behind = digest.config_version > config_version
            || digest.directory_revision > directory_revision;
        if !behind && digest.store_age_ms != Digest::NEVER {
            let age = Duration::from_millis(u64::from(digest.store_age_ms));
            let now = self.gateway.clock.now();
            self.gateway.reading(|reading| reading.told(now, age));
        }
    }

    fn relay(&self, from: SocketAddr, message: relay::Message) {
        let (version, revision) = self.versions();
        match message {
            relay::Message::Ask { config_version, directory_revision } => {
                if let Some(catalog) = self.gateway.catalog().filter(|_| version > config_version) {
                    self.give(from, relay::Message::Catalog, &*catalog);
                }
                if revision > directory_revision {
                    self.give(
                        from,
                        relay::Message::Directory,
                        &self.gateway.directory().confirmed(),
                    );
                }
            }
            relay::Message::Catalog(bytes) => {
                if let Some(catalog) = read::<Catalog>(from, &bytes) {
                    self.gateway.set_catalog(catalog, Source::Peer);
                }
            }
            relay::Message::Directory(bytes) => {
                if let Some(directory) = read::<Directory>(from, &bytes) {
                    self.gateway.set_directory(directory, Source::Peer);
                }
            }
        }
    }

    fn give<T: Serialize>(
        &self,
        to: SocketAddr,
        message: impl Fn(Vec<u8>) -> relay::Message,
        content: &T,
    ) {
        match postcard::to_stdvec(content) {
            Ok(bytes) => self.control.send(None, to, &Message::Relay(message(bytes))),
            Err(error) => log::error!("content for a peer cannot be encoded: {error}"),
        }
    }

    /// Sends digests, and asks for what is newer.
    async fn tell(self: Arc<Self>) {
        let mut hub = self.node;
        loop {
            let interval = lock(&self.exchange).interval();
            time::sleep(interval).await;
            self.catch_up();
            let Due { digests, part, hub: chosen, silent } = self.due();
            for node in silent {
                log::info!(peer:% = node; "no digests of a router for a while; it is passed over until it is heard of");
            }
            self.gateway.count_conditions();
            self.gateway.reading(|reading| reading.set_part(part));
            if chosen != hub {
                log::info!(hub:% = chosen, before:% = hub; "hub for load changed");
                hub = chosen;
            }
            for (node, digest) in digests {
                self.send(node, digest);
            }
        }
    }

    fn due(&self) -> Due {
        let now = self.gateway.clock.now();
        let mut exchange = lock(&self.exchange);
        self.gateway.table(|table| {
            let usages = std::mem::take(&mut table.usages);
            exchange.due(now, &mut table.pools, usages)
        })
    }

    fn send(&self, node: Node, digest: Digest) {
        let Some(address) = lock(&self.members).get(&node).map(|member| member.address) else {
            return;
        };
        let (config_version, directory_revision) = self.versions();
        let now = self.gateway.clock.now();
        let age = self.gateway.reading(|reading| reading.age(now, digest.scope));
        let store_age_ms =
            age.and_then(|age| u16::try_from(age.as_millis()).ok()).unwrap_or(Digest::NEVER);
        let digest = Digest { config_version, directory_revision, store_age_ms, ..digest };
        for part in digest.split() {
            self.control.send(Some(node), address, &Message::Load(part));
        }
    }

    /// Asks for what is newer: at once if this router leaves the reading of the store to its hub, otherwise if the store
    /// has not told of it for a while.
    fn catch_up(&self) {
        let (config_version, directory_revision) = self.versions();
        let mut newest = lock(&self.newest);
        let resting = self.gateway.reading(|reading| reading.resting());
        let follows_peers = resting || !self.gateway.following();
        let behind = newest.config_version > config_version
            || (newest.directory_revision > directory_revision && follows_peers);
        let now = Instant::now();
        if !behind {
            newest.behind_since = None;
            return;
        }
        let since = *newest.behind_since.get_or_insert(now);
        let patience = if resting { Duration::ZERO } else { BEHIND };
        let asked = newest.asked.is_some_and(|asked| now - asked < ASK_INTERVAL);
        let Some(from) = newest.from.filter(|_| now - since >= patience && !asked) else { return };
        newest.asked = Some(now);
        log::info!(
            config_version, newest = newest.config_version, directory_revision,
            newest_directory = newest.directory_revision, peer:% = from;
            "behind a peer; asking it"
        );
        let ask = relay::Message::Ask { config_version, directory_revision };
        drop(newest);
        self.control.send(None, from, &Message::Relay(ask));
    }

    fn versions(&self) -> (u64, u64) {
        let version = self.gateway.catalog().map_or(0, |catalog| catalog.version);
        (version, self.gateway.directory().revision())
    }
}

impl Member {
    fn heard_lately(&self) -> bool {
        self.heard.is_some_and(|heard| heard.elapsed() < HEARD_LIFETIME)
    }
}

fn read<T: DeserializeOwned>(from: SocketAddr, bytes: &[u8]) -> Option<T> {
    match postcard::from_bytes(bytes) {
        Ok(content) => Some(content),
        Err(error) => {
            log::warn!(from:% = from; "content of a peer cannot be read: {error}");
            None
        }
    }
}
