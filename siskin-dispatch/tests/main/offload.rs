//! A caller whose rate jumps to several times what its small router can serve. Guards against refusals there while larger routers
//! are idle, and against connections that are relayed to routers that are short of processor time themselves.

use {
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::offload::{Change, Offload, Target},
    siskin_types::id::Node,
    std::net::SocketAddr,
};

/// Processor time to relay a request, relative to serving it.
const RELAY_COST: f64 = 0.25;

/// Samples of the utilisation in a second.
const SAMPLES_PER_SECOND: u32 = 20;

fn target(node: u32, millicores: u32) -> Target {
    let address = SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 80));
    Target { node: Node(node), address, millicores }
}

/// Sends requests for some seconds, each on a new connection; `load` is their rate in multiples of what the router can serve.
/// Returns the last utilisation and where requests went.
fn send(
    offload: &mut Offload,
    load: f64,
    seconds: u32,
) -> (f64, IndexMap<Option<SocketAddr>, u32>) {
    const REQUESTS_PER_SAMPLE: f64 = 40.0;
    let (mut utilisation, mut counts) = (0.0, IndexMap::new());
    let mut random = 0;
    for _ in 0..seconds * SAMPLES_PER_SECOND {
        let mut used = 0.0;
        let mut due = load * REQUESTS_PER_SAMPLE;
        while due >= 1.0 {
            due -= 1.0;
            random += 1;
            let placed = offload.choose(random);
            used += if placed.is_some() { RELAY_COST } else { 1.0 };
            *counts.entry(placed).or_default() += 1;
        }
        utilisation = used / REQUESTS_PER_SAMPLE;
        offload.record_utilisation(utilisation);
    }
    (utilisation, counts)
}

struct Case {
    name: &'static str,
    millicores: u32,
    others: &'static [(u32, u32)],
    strained: &'static [u32],
    /// Nodes to which connections may be relayed.
    want: &'static [u32],
}

const CASES: [Case; 4] = [
    Case {
        name: "larger routers",
        millicores: 90,
        others: &[(2, 90), (3, 300), (4, 500)],
        strained: &[],
        want: &[3, 4],
    },
    Case {
        name: "one of them strained",
        millicores: 90,
        others: &[(2, 90), (3, 300), (4, 500)],
        strained: &[4],
        want: &[3],
    },
    Case {
        name: "equal routers",
        millicores: 250,
        others: &[(2, 250), (3, 250)],
        strained: &[],
        want: &[],
    },
    Case {
        name: "the largest one",
        millicores: 500,
        others: &[(2, 120)],
        strained: &[],
        want: &[],
    },
];

#[googletest::test]
fn load_of_a_small_router_goes_to_larger_ones() {
    for case in &CASES {
        let mut offload = Offload::default();
        offload.set_targets(case.millicores, case.others.iter().map(|one| target(one.0, one.1)));
        offload.set_strained(case.strained.iter().map(|node| Node(*node)));
        let (idle, counts) = send(&mut offload, 0.3, 2);
        expect_that!(counts.len(), eq(1), "{}: nothing is relayed at {idle:.2}", case.name);
        let (utilisation, counts) = send(&mut offload, 2.0, 2);
        let mut relayed: Vec<u8> = counts.keys().flatten().map(last_octet).collect();
        relayed.sort_unstable();
        let want: Vec<u8> = case.want.iter().map(|node| u8::try_from(*node).unwrap()).collect();
        expect_that!(relayed, eq(&want), "{}", case.name);
        if !case.want.is_empty() {
            expect_that!(utilisation, lt(1.0), "{}: the load fits", case.name);
        }
        send(&mut offload, 0.1, 10);
        expect_that!(offload.choose(0), none(), "{}: ends with the load", case.name);
    }
}

/// Guards against a share that is kept after the larger routers are gone.
#[googletest::test]
fn relaying_ends_when_no_larger_router_is_left() {
    let mut offload = Offload::default();
    offload.set_targets(90, [target(3, 300)]);
    send(&mut offload, 2.0, 1);
    offload.set_targets(90, []);
    expect_that!(offload.choose(1), none());
    let changes: Vec<Change> = (0..100).filter_map(|_| offload.record_utilisation(1.0)).collect();
    expect_that!(changes, eq(&[Change::Ended]));
}

fn last_octet(address: &SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => 0,
    }
}
