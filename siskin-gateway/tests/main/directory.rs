//! Precedence between lists of endpoints from the store and from peers.

use {
    crate::fixture::{catalog, endpoint, gateway},
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind, WarmUp},
        directory::{Directory, Endpoint},
        gateway::Source,
    },
    siskin_types::time::Instant,
    std::{net::SocketAddr, time::Duration},
};

const NOW: Instant = Instant::from_micros(5_000_000);

fn endpoint_named(name: &str) -> Endpoint {
    endpoint(name, SocketAddr::from(([127, 0, 0, 1], 9)))
}

struct Case {
    name: &'static str,
    /// Whether the router receives changes from the store.
    watching_store: bool,
    source: Source,
    revision: u64,
    /// Whether the list is accepted, after one of revision 10 from the store.
    want: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "newer, store",
        watching_store: true,
        source: Source::Store,
        revision: 11,
        want: true,
    },
    Case {
        name: "older, store",
        watching_store: true,
        source: Source::Store,
        revision: 9,
        want: false,
    },
    Case {
        name: "newer, peer",
        watching_store: true,
        source: Source::Peer,
        revision: 11,
        want: false,
    },
    Case {
        name: "newer, peer, store unreachable",
        watching_store: false,
        source: Source::Peer,
        revision: 11,
        want: true,
    },
    Case {
        name: "older, peer, store unreachable",
        watching_store: false,
        source: Source::Peer,
        revision: 9,
        want: false,
    },
];

/// Guards against using a removed endpoint again because a peer that was cut off from the store still lists it.
#[googletest::test]
fn store_takes_precedence_over_peers() {
    for case in CASES {
        let gateway = gateway();
        gateway.set_directory(Directory::new(10, vec![]), Source::Store);
        gateway.set_watching_store(case.watching_store);
        let list = Directory::new(case.revision, vec![endpoint_named("e")]);
        let accepted = gateway.set_directory(list, case.source);
        expect_that!(accepted, eq(case.want), "{}", case.name);
        expect_that!(
            gateway.directory().endpoints().len(),
            eq(usize::from(case.want)),
            "{}",
            case.name
        );
    }
}

/// Guards against sending expired entries to peers: a peer may know that these endpoints are gone for good.
#[googletest::test]
fn expired_endpoints_are_not_sent_to_peers() {
    let expired = Endpoint { expired: true, ..endpoint_named("lapsed") };
    let directory = Directory::new(3, vec![endpoint_named("sound"), expired]);
    let list = directory.without_expired();
    expect_that!(list.endpoints(), elements_are![eq(&endpoint_named("sound"))]);
    expect_that!(list.position(), eq(3.into()));
}

/// The list as a router of the previous version encodes it: without the drained data centres.
fn encode_as_previous_version(list: &Directory) -> Vec<u8> {
    postcard::to_stdvec(&(list.position(), list.endpoints())).unwrap()
}

/// Guards against lists that cannot be read while the routers of a fleet are upgraded, and against a drain that is forgotten because
/// of the list of a router that does not know drains.
#[googletest::test]
fn lists_of_the_previous_version_are_read() {
    struct Case {
        name: &'static str,
        revision: u64,
        want_drained: usize,
    }
    let cold_until = (Endpoint::number("e"), NOW + Duration::from_secs(2));
    let whole = |revision| {
        let list = Directory::new(revision, vec![endpoint_named("e")]);
        list.with_drained(["b", "a"]).with_cold([cold_until])
    };
    let decode = |bytes: &[u8]| Directory::decode(bytes, NOW);
    expect_that!(decode(&whole(10).encode(NOW).unwrap()).unwrap(), eq(&whole(10)));
    let encoded = whole(10).encode(NOW).unwrap();
    let readable = encoded.starts_with(&encode_as_previous_version(&whole(10)));
    expect_that!(readable, eq(true), "by the previous version");
    expect_that!(decode(&encoded[..encoded.len() - 1]).is_err(), eq(true), "cut off");
    let (sent, received) = (NOW + Duration::from_millis(500), Instant::from_micros(9));
    let list = Directory::decode(&whole(10).encode(sent).unwrap(), received).unwrap();
    let left = Duration::from_millis(1_500);
    expect_that!(list.cold_for(received, cold_until.0), eq(left), "by another clock");
    let cases = [
        Case { name: "an older list", revision: 9, want_drained: 2 },
        Case { name: "the same list", revision: 10, want_drained: 2 },
        Case { name: "a newer list", revision: 11, want_drained: 0 },
    ];
    for case in cases {
        let gateway = gateway();
        gateway.set_directory(whole(10), Source::Store);
        let list = decode(&encode_as_previous_version(&whole(case.revision))).unwrap();
        gateway.set_directory(list, Source::Peer);
        expect_that!(gateway.directory().drained().len(), eq(case.want_drained), "{}", case.name);
        let gauge = usize::try_from(gateway.metrics.data_centres_drained.get()).unwrap();
        expect_that!(gauge, eq(case.want_drained), "{}", case.name);
        let left = gateway.directory().cold_for(NOW, cold_until.0);
        expect_that!(left, eq(Duration::from_secs(2)), "{}", case.name);
    }
}

/// Guards against a configuration that cannot be read while the routers of a fleet are upgraded, and against services whose cold
/// endpoints get full load because a router that does not know them has sent the configuration.
#[googletest::test]
fn configurations_of_the_previous_version_are_read() {
    let warm_up = WarmUp { duration: Duration::from_secs(3), requests_per_second: 18.0 };
    let mut whole = catalog(Kind::Idempotent);
    let without = whole.clone();
    whole.services["app"].warm_up = Some(warm_up);
    let (encoded, previous) = (whole.encode().unwrap(), postcard::to_stdvec(&without).unwrap());
    expect_that!(Catalog::decode(&encoded, None), ok(eq(&whole)));
    expect_that!(encoded.starts_with(&previous), eq(true), "by the previous version");
    expect_that!(Catalog::decode(&previous, None), ok(eq(&without)), "nothing is known");
    expect_that!(Catalog::decode(&previous, Some(&whole)), ok(eq(&whole)), "known");
    let off = Catalog::decode(&without.encode().unwrap(), Some(&whole));
    expect_that!(off, ok(eq(&without)), "switched off");
}
