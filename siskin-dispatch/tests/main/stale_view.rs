//! Load: many routers choose among the same engines. With views that are half a second old, all send to the engine that
//! was free then, and callers of some customers wait behind the rush.

use {
    crate::fixture::{NOW, demand, infos},
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::{
        pool::{End, Flight, Pool},
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

const STEP: Duration = Duration::from_millis(5);
const CUSTOMER: Customer = Customer(7);
const ZONES: u32 = 4;

/// A router and what it knows.
struct Site {
    router: Router,
    exchange: Exchange,
    pools: IndexMap<String, Pool>,
    ledger: Ledger,
    usages: IndexMap<Customer, Usage>,
    next: Instant,
    alive: bool,
    sent: usize,
    received: usize,
}

/// A fleet whose digests arrive one step after they were sent.
struct Fleet {
    now: Instant,
    sites: Vec<Site>,
    on_the_way: Vec<(Node, Node, Digest)>,
}

impl Fleet {
    fn new(count: u32) -> Self {
        let routers: Vec<Router> = (0..count).map(router).collect();
        let site = |router: &Router| {
            let mut pool = Pool::new();
            pool.set_endpoints(&infos(4));
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

    fn run(&mut self, time: Duration) {
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
    fn send(&mut self, site: usize, engine: u32) -> Flight {
        let site = &mut self.sites[site];
        let usage = Usage { asked: 1_000, begun: 1_000 };
        site.ledger.add(self.now, CUSTOMER, usage);
        let told = site.usages.entry(CUSTOMER).or_default();
        told.asked += usage.asked;
        told.begun += usage.begun;
        site.pools["engines"].sent(self.now, Endpoint(engine), &demand(1, 500).prompt)
    }

    /// Requests that each living router believes to be at an engine.
    fn views(&self, engine: u32) -> Vec<u32> {
        let load = |site: &Site| {
            let loads: Vec<_> = site.pools["engines"].loads(|_| true).collect();
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

struct Case {
    name: &'static str,
    routers: u32,
    /// Time within which all routers know of a request.
    known_within: Duration,
    /// Most digests that a router sends and receives in a second.
    digests_max: usize,
}

const CASES: [Case; 3] = [
    Case { name: "small", routers: 8, known_within: Duration::from_millis(70), digests_max: 290 },
    Case { name: "grown", routers: 73, known_within: Duration::from_millis(280), digests_max: 800 },
    Case {
        name: "large",
        routers: 300,
        known_within: Duration::from_millis(400),
        digests_max: 800,
    },
];

/// Guards against views that grow old with the fleet, and against an exchange that grows with its square.
#[googletest::test]
fn views_are_fresh_and_digests_few() {
    for case in &CASES {
        let mut fleet = Fleet::new(case.routers);
        fleet.run(Duration::from_secs(2));
        for site in &mut fleet.sites {
            (site.sent, site.received) = (0, 0);
        }
        for site in 0..4 {
            fleet.send(site, 1);
        }
        fleet.run(case.known_within);
        let views = fleet.views(1);
        expect_that!(views, each(eq(&4)), "{}", case.name);
        for round in 0..20 {
            fleet.send(round % 4, 2);
            fleet.run(Duration::from_millis(50));
        }
        let most = fleet.sites.iter().map(|site| site.sent + site.received).max();
        expect_that!(most, some(le(case.digests_max)), "{}", case.name);
    }
}

/// Guards against loads and costs that are counted twice on their way, or never.
#[googletest::test]
fn loads_and_costs_are_counted_once() {
    let mut fleet = Fleet::new(73);
    fleet.run(Duration::from_secs(2));
    let flights: Vec<Flight> = (0..73).map(|site| fleet.send(site, 3)).collect();
    fleet.run(Duration::from_millis(600));
    expect_that!(fleet.views(3), each(eq(&73)));
    let now = fleet.now;
    for site in &mut fleet.sites {
        let usage = site.ledger.standing(now, CUSTOMER).usage;
        expect_that!(usage, eq(Usage { asked: 73_000, begun: 73_000 }), "{}", site.router.node);
    }
    for (site, flight) in flights.iter().enumerate() {
        fleet.sites[site].pools["engines"].ended(now, flight, End::Completed);
    }
    fleet.run(Duration::from_millis(600));
    expect_that!(fleet.views(3), each(eq(&0)));
}

/// Guards against a fleet that goes blind when hubs die, and against hubs that never serve again.
#[googletest::test]
fn views_recover_from_lost_hubs() {
    let mut fleet = Fleet::new(73);
    fleet.run(Duration::from_secs(2));
    // The preferred hubs are among the large VMs.
    for site in 0..6 {
        fleet.sites[site].alive = false;
    }
    fleet.run(Duration::from_millis(2_500));
    fleet.send(40, 1);
    fleet.send(41, 1);
    fleet.run(Duration::from_millis(500));
    expect_that!(fleet.views(1), each(eq(&2)), "hubs lost");
    for site in 0..6 {
        fleet.sites[site].alive = true;
    }
    fleet.run(Duration::from_secs(6));
    fleet.send(42, 1);
    fleet.run(Duration::from_millis(500));
    expect_that!(fleet.views(1), each(eq(&3)), "hubs back");
}
