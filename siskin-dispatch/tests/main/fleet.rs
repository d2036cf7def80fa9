//! A fleet of routers that exchange digests, in virtual time.

use {
    crate::fixture::{NOW, demand, infos},
    indexmap::IndexMap,
    siskin_dispatch::{
        pool::{Flight, Pool},
        share::{Ledger, Usage},
        spread::{Exchange, Router},
    },
    siskin_types::{
        id::{Customer, Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load::Digest,
    std::time::Duration,
};

pub(crate) const STEP: Duration = Duration::from_millis(5);
pub(crate) const CUSTOMER: Customer = Customer(7);
const ZONES: u32 = 4;

/// A router and what it knows.
pub(crate) struct Site {
    pub(crate) router: Router,
    pub(crate) exchange: Exchange,
    pub(crate) pools: IndexMap<String, Pool>,
    pub(crate) ledger: Ledger,
    pub(crate) usages: IndexMap<Customer, Usage>,
    pub(crate) next: Instant,
    pub(crate) alive: bool,
    pub(crate) sent: usize,
    pub(crate) received: usize,
}

/// A fleet whose digests arrive one step after they were sent.
pub(crate) struct Fleet {
    pub(crate) now: Instant,
    pub(crate) sites: Vec<Site>,
    on_the_way: Vec<(Node, Node, Digest)>,
}

impl Fleet {
    pub(crate) fn new(count: u32) -> Self {
        let routers: Vec<Router> = (0..count).map(router).collect();
        let site = |router: &Router| {
            let mut pool = Pool::new();
            pool.set_endpoints(NOW, &infos(4));
            let mut exchange = Exchange::new(router.node);
            exchange.list(&routers);
            Site {
                router: router.clone(),
                exchange,
                pools: [("engines".to_owned(), pool)].into(),
                ledger: Ledger::new(Duration::from_secs(60), 1e9),
                usages: IndexMap::new(),
                next: NOW + Duration::from_millis(u64::from(router.node.0 % 50)),
                alive: true,
                sent: 0,
                received: 0,
            }
        };
        Self { now: NOW, sites: routers.iter().map(site).collect(), on_the_way: Vec::new() }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for site in self.sites.iter_mut().filter(|site| site.alive && site.next <= self.now) {
                let usages = std::mem::take(&mut site.usages);
                let due = site.exchange.due(self.now, &mut site.pools, usages);
                site.next = self.now + site.exchange.interval();
                site.sent += due.digests.len();
                let from = site.router.node;
                let digests = due.digests.into_iter().map(|(to, digest)| (from, to, digest));
                self.on_the_way.extend(digests);
            }
        }
    }

    fn deliver(&mut self) {
        for (from, to, digest) in std::mem::take(&mut self.on_the_way) {
            let Some(site) = self.sites.iter_mut().find(|site| site.router.node == to) else {
                continue;
            };
            if site.alive {
                site.received += 1;
                let pools = site.pools.values_mut();
                site.exchange.take(self.now, from, &digest, pools, &mut site.ledger);
            }
        }
    }

    /// A router sends a request to an engine.
    pub(crate) fn send(&mut self, site: usize, engine: u32) -> Flight {
        let site = &mut self.sites[site];
        let usage = Usage { asked: 1_000, begun: 1_000 };
        site.ledger.add(self.now, CUSTOMER, usage);
        let told = site.usages.entry(CUSTOMER).or_default();
        told.asked += usage.asked;
        told.begun += usage.begun;
        site.pools["engines"].sent(self.now, Endpoint(engine), &demand(1, 500).prompt)
    }

    /// Requests that each living router believes to be at an engine.
    pub(crate) fn views(&self, engine: u32) -> Vec<u32> {
        let load = |site: &Site| {
            let loads: Vec<_> = site.pools["engines"].loads(self.now, |_| true).collect();
            let load = loads.iter().find(|load| load.endpoint == Endpoint(engine));
            load.map_or(0, |load| load.in_flight)
        };
        self.sites.iter().filter(|site| site.alive).map(load).collect()
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
