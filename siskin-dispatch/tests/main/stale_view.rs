//! Load: many routers choose among the same engines. If their views were half a second old, all would send to the
//! engine that was free then, and some customers' requests would wait behind that burst.

use {
    crate::fleet::{CUSTOMER, Fleet},
    googletest::prelude::*,
    siskin_dispatch::{
        pool::{Attempt, End},
        share::Usage,
    },
    std::time::Duration,
};

struct Case {
    name: &'static str,
    routers: u32,
    /// Time within which all routers know of a request.
    known_within: Duration,
    /// Most digests that a router sends and receives per second.
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

/// Guards against views whose age grows with the fleet, and against a number of digests that grows with the square of
/// its size.
#[googletest::test]
fn views_are_fresh_and_digests_few() {
    for case in &CASES {
        let mut fleet = Fleet::new(case.routers);
        fleet.run(Duration::from_secs(2));
        for node in &mut fleet.nodes {
            (node.digests_sent, node.digests_received) = (0, 0);
        }
        for node in 0..4 {
            fleet.send(node, 1);
        }
        fleet.run(case.known_within);
        let in_flight_views = fleet.in_flight_views(1);
        expect_that!(in_flight_views, each(eq(&4)), "{}", case.name);
        for round in 0..20 {
            fleet.send(round % 4, 2);
            fleet.run(Duration::from_millis(50));
        }
        let most = fleet.nodes.iter().map(|node| node.digests_sent + node.digests_received).max();
        expect_that!(most, some(le(case.digests_max)), "{}", case.name);
    }
}

/// Guards against loads and costs that are lost or counted twice when digests are relayed.
#[googletest::test]
fn loads_and_costs_are_counted_once() {
    let mut fleet = Fleet::new(73);
    fleet.run(Duration::from_secs(2));
    let attempts: Vec<Attempt> = (0..73).map(|node| fleet.send(node, 3)).collect();
    fleet.run(Duration::from_millis(600));
    expect_that!(fleet.in_flight_views(3), each(eq(&73)));
    let now = fleet.now;
    for node in &mut fleet.nodes {
        let usage = node.ledger.standing(now, CUSTOMER).usage;
        expect_that!(usage, eq(Usage { asked: 73_000, begun: 73_000 }), "{}", node.router.node);
    }
    for (node, attempt) in attempts.iter().enumerate() {
        fleet.nodes[node].pools["engines"].record_end(now, attempt, End::Completed);
    }
    fleet.run(Duration::from_millis(600));
    expect_that!(fleet.in_flight_views(3), each(eq(&0)));
}

/// Guards against a fleet without views of the load after hubs have failed, and against hubs that are not used again
/// after recovery.
#[googletest::test]
fn views_recover_after_hub_failures() {
    let mut fleet = Fleet::new(73);
    fleet.run(Duration::from_secs(2));
    // The preferred hubs are among the large VMs.
    for node in 0..6 {
        fleet.nodes[node].alive = false;
    }
    fleet.run(Duration::from_millis(2_500));
    fleet.send(40, 1);
    fleet.send(41, 1);
    fleet.run(Duration::from_millis(500));
    expect_that!(fleet.in_flight_views(1), each(eq(&2)), "hubs lost");
    for node in 0..6 {
        fleet.nodes[node].alive = true;
    }
    fleet.run(Duration::from_secs(6));
    fleet.send(42, 1);
    fleet.run(Duration::from_millis(500));
    expect_that!(fleet.in_flight_views(1), each(eq(&3)), "hubs back");
}
