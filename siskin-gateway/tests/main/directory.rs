//! Which list of endpoints counts when the store and peers tell different things.

use {
    crate::fixture::{endpoint, gateway},
    googletest::prelude::*,
    siskin_gateway::{
        directory::{Directory, Endpoint},
        gateway::Source,
    },
    std::net::SocketAddr,
};

fn named(name: &str) -> Endpoint {
    endpoint(name, SocketAddr::from(([127, 0, 0, 1], 9)))
}

struct Case {
    name: &'static str,
    /// Whether the store tells the router of changes.
    following: bool,
    source: Source,
    revision: u64,
    /// Whether the list counts, after one of revision 10 from the store.
    want: bool,
}

const CASES: [Case; 5] = [
    Case { name: "newer, store", following: true, source: Source::Store, revision: 11, want: true },
    Case { name: "older, store", following: true, source: Source::Store, revision: 9, want: false },
    Case { name: "newer, peer", following: true, source: Source::Peer, revision: 11, want: false },
    Case {
        name: "newer, cut off",
        following: false,
        source: Source::Peer,
        revision: 11,
        want: true,
    },
    Case {
        name: "older, cut off",
        following: false,
        source: Source::Peer,
        revision: 9,
        want: false,
    },
];

/// Guards against a peer that was cut off from the store bringing back an endpoint that is gone.
#[googletest::test]
fn store_counts_before_peers() {
    for case in CASES {
        let gateway = gateway();
        gateway.set_directory(Directory::new(10, vec![]), Source::Store);
        gateway.set_following(case.following);
        let told = Directory::new(case.revision, vec![named("e")]);
        let taken = gateway.set_directory(told, case.source);
        expect_that!(taken, eq(case.want), "{}", case.name);
        expect_that!(
            gateway.directory().endpoints().len(),
            eq(usize::from(case.want)),
            "{}",
            case.name
        );
    }
}

/// Guards against telling peers of endpoints whose entries lapsed: a peer may know that they are gone for good.
#[googletest::test]
fn lapsed_endpoints_are_not_told() {
    let lapsed = Endpoint { lapsed: true, ..named("lapsed") };
    let directory = Directory::new(3, vec![named("sound"), lapsed]);
    let told = directory.confirmed();
    expect_that!(told.endpoints(), elements_are![eq(&named("sound"))]);
    expect_that!(told.revision(), eq(3));
}
