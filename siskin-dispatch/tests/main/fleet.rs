//! A fleet of routers that exchange digests, in virtual time.

use {
    crate::fixture::{NOW, demand, infos},
    indexmap::IndexMap,
    rand::{Rng, SeedableRng, rngs::StdRng},
    siskin_dispatch::{
        pool::{Attempt, Pool},
        share::{Ledger, Usage},
        spread::{Exchange, Router},
    },
    siskin_types::{
        id::{Customer, Endpoint, Node},
        time::Instant,
    },
    siskin_wire::{limit, load::Digest, permit, work},
    std::time::Duration,
};

pub(crate) const STEP: Duration = Duration::from_millis(5);
pub(crate) const CUSTOMER: Customer = Customer(7);
const ZONES: u32 = 4;

/// A simulated router with its state.
pub(crate) struct RouterNode {
    pub(crate) router: Router,
    pub(crate) exchange: Exchange,
    pub(crate) pools: IndexMap<String, Pool>,
    pub(crate) ledger: Ledger,
    pub(crate) usages: IndexMap<Customer, Usage>,
    pub(crate) next_digest: Instant,
    pub(crate) alive: bool,
    /// Whether messages reach it and leave it.
    pub(crate) connected: bool,
    pub(crate) digests_sent: usize,
    pub(crate) digests_received: usize,
    /// Bytes of the reports of limits.
    pub(crate) limit_bytes_sent: usize,
    /// Bytes of the messages about permits, and their number.
    pub(crate) permit_bytes_sent: usize,
    pub(crate) permits_sent: usize,
    /// Bytes of the reports of remaining work.
    pub(crate) work_bytes_sent: usize,
}

impl RouterNode {
    fn start(router: &Router, fleet: &[Router], now: Instant) -> Self {
        let mut pool = Pool::new();
        pool.set_endpoints(now, &infos(4));
        pool.set_routers(u32::try_from(fleet.len()).unwrap());
        let mut exchange = Exchange::new(router.node);
        exchange.list(fleet);
        Self {
            router: router.clone(),
            exchange,
            pools: [("engines".to_owned(), pool)].into(),
            ledger: Ledger::new(Duration::from_secs(60), 1e9),
            usages: IndexMap::new(),
            next_digest: now + Duration::from_millis(u64::from(router.node.0 % 50)),
            alive: true,
            connected: true,
            digests_sent: 0,
            digests_received: 0,
            limit_bytes_sent: 0,
            permit_bytes_sent: 0,
            permits_sent: 0,
            work_bytes_sent: 0,
        }
    }
}

impl RouterNode {
    fn count_permits(&mut self, message: permit::Message) -> Content {
        self.permit_bytes_sent += postcard::to_stdvec(&message).unwrap().len();
        self.permits_sent += 1;
        Content::Permits(message)
    }
}

/// A simulated fleet, in which a digest arrives one step after it is sent.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<RouterNode>,
    /// Share of the messages that is lost.
    pub(crate) loss: f64,
    random: StdRng,
    routers: Vec<Router>,
    indexes: IndexMap<Node, usize>,
    in_transit: Vec<(Node, Node, Content)>,
}

/// Content of a message between routers.
enum Content {
    Load(Digest),
    Limits(limit::Report),
    Permits(permit::Message),
    Works(work::Report),
}

impl Fleet {
    pub(crate) fn new(count: u32) -> Self {
        let routers: Vec<Router> = (0..count).map(router).collect();
        Self {
            now: NOW,
            nodes: routers.iter().map(|router| RouterNode::start(router, &routers, NOW)).collect(),
            loss: 0.0,
            random: StdRng::seed_from_u64(1),
            indexes: routers.iter().enumerate().map(|(at, router)| (router.node, at)).collect(),
            routers,
            in_transit: Vec::new(),
        }
    }

    /// Restarts a router without its state.
    pub(crate) fn restart(&mut self, node: usize) {
        self.nodes[node] = RouterNode::start(&self.routers[node], &self.routers, self.now);
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for node in
                self.nodes.iter_mut().filter(|node| node.alive && node.next_digest <= self.now)
            {
                let usages = std::mem::take(&mut node.usages);
                let due = node.exchange.due(self.now, &mut node.pools, usages);
                node.next_digest = self.now + node.exchange.interval();
                node.digests_sent += due.digests.len();
                let from = node.router.node;
                let load = |(to, digest)| (from, to, Content::Load(digest));
                self.in_transit.extend(due.digests.into_iter().map(load));
                for (to, report) in due.limits {
                    node.limit_bytes_sent += postcard::to_stdvec(&report).unwrap().len();
                    self.in_transit.push((from, to, Content::Limits(report)));
                }
                for (to, message) in due.permits {
                    let content = node.count_permits(message);
                    self.in_transit.push((from, to, content));
                }
                for (to, report) in due.works {
                    node.work_bytes_sent += postcard::to_stdvec(&report).unwrap().len();
                    self.in_transit.push((from, to, Content::Works(report)));
                }
            }
        }
    }

    fn deliver(&mut self) {
        for (from, to, content) in std::mem::take(&mut self.in_transit) {
            let connected =
                |node| self.indexes.get(node).is_some_and(|at| self.nodes[*at].connected);
            if !connected(&from) || !connected(&to) || self.random.random_bool(self.loss) {
                continue;
            }
            let node = &mut self.nodes[self.indexes[&to]];
            if !node.alive {
                continue;
            }
            match content {
                Content::Load(digest) => {
                    node.digests_received += 1;
                    let pools = node.pools.values_mut();
                    node.exchange.take(self.now, from, &digest, pools, &mut node.ledger);
                }
                Content::Limits(report) => {
                    node.exchange.take_limits(self.now, from, &report, &mut node.pools);
                }
                Content::Permits(message) => {
                    let pools = &mut node.pools;
                    let answer = node.exchange.take_permits(self.now, from, &message, pools);
                    if let Some(answer) = answer {
                        let content = node.count_permits(answer);
                        self.in_transit.push((to, from, content));
                    }
                }
                Content::Works(report) => {
                    node.exchange.take_works(self.now, from, &report, &mut node.pools);
                }
            }
        }
    }

    /// Sends a request from a router to an engine.
    pub(crate) fn send(&mut self, node: usize, engine: u32) -> Attempt {
        let node = &mut self.nodes[node];
        let usage = Usage { asked: 1_000, begun: 1_000 };
        node.ledger.add(self.now, CUSTOMER, usage);
        let unreported = node.usages.entry(CUSTOMER).or_default();
        unreported.asked += usage.asked;
        unreported.begun += usage.begun;
        node.pools["engines"].sent(self.now, Endpoint(engine), &demand(1, 500).prompt)
    }

    /// Requests in flight at an engine, as each running router sees it.
    pub(crate) fn in_flight_views(&self, engine: u32) -> Vec<u32> {
        let load = |node: &RouterNode| {
            let loads: Vec<_> = node.pools["engines"].loads(self.now, |_| true).collect();
            let load = loads.iter().find(|load| load.endpoint == Endpoint(engine));
            load.map_or(0, |load| load.in_flight)
        };
        self.nodes.iter().filter(|node| node.alive).map(load).collect()
    }
}

fn router(index: u32) -> Router {
    Router {
        node: Node(1_000 + index * 7_919),
        data_centre: format!("zone-{}", index % ZONES),
        // A few VMs are larger than the others.
        millicores: if index < 2 * ZONES { 500 } else { 120 },
    }
}
