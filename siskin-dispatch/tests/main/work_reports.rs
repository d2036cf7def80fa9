//! Load: a fleet in which each endpoint answers a router only now and then, but changes its speed several times a second.

use {
    crate::{
        fixture::{NOW, demand, engines},
        fleet::{Fleet, RouterNode},
    },
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::{
        cost::Request,
        pool::{Demand, End, Pool},
        spread::{Exchange, Router},
        work::Load,
    },
    siskin_types::id::{Endpoint, Node},
    siskin_wire::work::Report,
    std::{collections::HashSet, time::Duration},
};

const SLOW: Load = Load { running: 3, waiting: 0, slots: 64, percent: Some(240) };

/// Guards against figures that reach routers when they no longer hold, that circulate for longer than they hold, and against
/// reports that take more than the bandwidth for them.
#[googletest::test]
fn figures_reach_all_routers_and_expire() {
    for routers in [8, 73, 300] {
        let mut fleet = Fleet::new(routers);
        fleet.run(Duration::from_secs(2));
        let now = fleet.now;
        // All routers place by work from the first figure on.
        fleet.nodes[5].pools["engines"].record_load(now, Endpoint(4), SLOW);
        fleet.run(Duration::from_secs(2));
        for node in &mut fleet.nodes {
            expect_that!(node.pools["engines"].places_by_work(), eq(true), "of {routers}");
            node.work_bytes_sent = 0;
        }
        let now = fleet.now;
        fleet.nodes[5].pools["engines"].record_load(now, Endpoint(2), SLOW);
        fleet.run(Duration::from_millis(500));
        let slow = |node: &RouterNode| node.pools["engines"].slower_than(fleet.now, 1.3);
        expect_that!(fleet.nodes.iter().map(slow).sum::<usize>(), eq(fleet.nodes.len()));
        fleet.run(Duration::from_millis(550));
        let slow = |node: &RouterNode| node.pools["engines"].slower_than(fleet.now, 1.01);
        expect_that!(fleet.nodes.iter().map(slow).sum::<usize>(), eq(0), "of {routers}");
        let bytes: usize = fleet.nodes.iter().map(|node| node.work_bytes_sent).sum();
        expect_that!(bytes / fleet.nodes.len(), le(3_200), "of {routers}");
    }
}

/// Guards against a router that places requests without knowledge of their cost after a restart.
#[googletest::test]
fn restarted_router_knows_the_routes_within_a_second() {
    let mut fleet = Fleet::new(73);
    fleet.run(Duration::from_secs(2));
    let cost = Request { route: 7, ..Request::default() };
    for _ in 0..10 {
        let now = fleet.now;
        let pool = &mut fleet.nodes[5].pools["engines"];
        pool.record_load(now, Endpoint(2), SLOW);
        let mut attempt = pool.sent_request(now, Endpoint(2), &demand(1, 500).prompt, cost);
        attempt.record_stream(Some(380));
        fleet.run(Duration::from_millis(300));
        let now = fleet.now;
        fleet.nodes[5].pools["engines"].record_end(now, &attempt, End::Completed);
    }
    fleet.restart(60);
    fleet.run(Duration::from_secs(1));
    let demand = Demand { cost, ..demand(1, 500) };
    let placement = fleet.nodes[60].pools["engines"].choose_endpoint(fleet.now, &demand, &[]);
    expect_that!(placement.unwrap().cost.tokens, eq(380));
}

/// Guards against endpoints that are never reported where there are more than fit a datagram.
#[googletest::test]
fn endpoints_are_reported_in_turn() {
    let router = |node| Router { node: Node(node), data_centre: "a".to_owned(), millicores: 250 };
    let mut exchange = Exchange::new(Node(1));
    exchange.list(&[router(1), router(2)]);
    let mut pools: IndexMap<String, Pool> = [("engines".to_owned(), engines(100))].into();
    for id in 1..=100 {
        pools["engines"].record_load(NOW, Endpoint(id), SLOW);
    }
    let mut reported = HashSet::new();
    for round in 0..20 {
        let now = NOW + Duration::from_millis(50) * round;
        for (_, report) in exchange.due(now, &mut pools, IndexMap::new()).works {
            expect_that!(report.works.len(), le(Report::WORKS_MAX));
            reported.extend(report.works.iter().map(|work| work.endpoint));
        }
    }
    expect_that!(reported.len(), eq(100));
}
