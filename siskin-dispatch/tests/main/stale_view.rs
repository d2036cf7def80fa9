//! Load: many routers choose among the same engines. With views that are half a second old, all send to the engine that
//! was free then, and callers of some customers wait behind the rush.

use {
    crate::fleet::{CUSTOMER, Fleet},
    googletest::prelude::*,
    siskin_dispatch::{
        pool::{End, Flight},
        share::Usage,
    },
    std::time::Duration,
};

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
