//! Precedence between lists of endpoints from the store and from peers.

use {
    crate::{
        fixture::{catalog, endpoint, gateway},
        previous,
    },
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

/// An endpoint with the software version that a list gives it.
fn endpoint_of_version(name: &str, software: Option<&str>) -> Endpoint {
    Endpoint { software: software.map(Into::into), ..endpoint_named(name) }
}

/// A list of endpoints named `e0`, `e1` and so on with these software versions.
fn list_of_versions(revision: u64, versions: &[Option<&str>]) -> Directory {
    let versions = versions.iter().copied().enumerate();
    let endpoints =
        versions.map(|(index, version)| endpoint_of_version(&format!("e{index}"), version));
    Directory::new(revision, endpoints.collect())
}

/// The software versions in the order of the list.
fn versions_of(list: &Directory) -> Vec<Option<&str>> {
    list.endpoints().iter().map(|endpoint| endpoint.software.as_deref()).collect()
}

/// Guards against a stream that goes on at another software version because a peer takes an endpoint for one of that version.
#[googletest::test]
fn software_versions_reach_peers() {
    struct Case {
        name: &'static str,
        versions: &'static [Option<&'static str>],
    }
    let cases = [
        Case { name: "no endpoint", versions: &[] },
        Case { name: "one version", versions: &[Some("1"); 3] },
        Case {
            name: "several versions",
            versions: &[Some("2"), Some("1"), Some("2"), Some(""), Some("1"), Some("3")],
        },
        Case { name: "some are not known", versions: &[None, Some("1"), None, Some("2")] },
        Case { name: "none is known", versions: &[None; 3] },
    ];
    for case in cases {
        let list = list_of_versions(10, case.versions);
        let read = Directory::decode(&list.encode(NOW).unwrap(), NOW);
        expect_that!(read, ok(eq(&list)), "{}", case.name);
    }
}

/// Guards against a list of a large fleet that outgrows the message to a peer because of the software versions: a byte an endpoint.
#[googletest::test]
fn software_versions_of_a_large_fleet_are_short() {
    const ENDPOINTS: usize = 5_300;
    let versions: Vec<_> =
        ["v1", "v1.1", "v1.2"].into_iter().map(Some).cycle().take(ENDPOINTS).collect();
    let list = list_of_versions(10, &versions);
    let added = list.encode(NOW).unwrap().len() - previous::List::new(&list).encode().len();
    expect_that!(added, le(ENDPOINTS + 32));
}

/// Guards against a list that a router of the previous version cannot read, or reads in part, while the routers of a fleet are
/// upgraded.
#[googletest::test]
fn previous_version_reads_lists_with_software_versions() {
    let cold_until = (Endpoint::number("e0"), NOW + Duration::from_secs(2));
    let list = list_of_versions(10, &[Some("1"), Some("2"), None]);
    let list = list.with_drained(["b", "a"]).with_cold([cold_until]);
    let want = previous::List { cold: vec![(cold_until.0, 2_000)], ..previous::List::new(&list) };
    expect_that!(previous::List::decode(&list.encode(NOW).unwrap()), eq(&want));
}

/// Guards against a stream that goes on at another software version because of the list of a router that does not know versions: what
/// is known of an endpoint holds, and nothing is guessed for another one.
#[googletest::test]
fn software_versions_are_kept_over_lists_of_the_previous_version() {
    let gateway = gateway();
    gateway.set_directory(list_of_versions(10, &[Some("1"), Some("2")]), Source::Store);
    let newer = list_of_versions(11, &[Some("1"), Some("2"), Some("2")]).with_drained(["a"]);
    let read = Directory::decode(&previous::List::new(&newer).encode(), NOW).unwrap();
    expect_that!(versions_of(&read), eq(&vec![None; 3]));
    gateway.set_directory(read, Source::Peer);
    let directory = gateway.directory();
    expect_that!(directory.drained(), elements_are![eq("a")]);
    for (name, want) in [("e0", Some("1")), ("e1", Some("2")), ("e2", None)] {
        let software = &directory.get(Endpoint::number(name)).unwrap().software;
        expect_that!(software.as_deref(), eq(want), "{name}");
    }
}

/// Guards against a stream that goes on at an endpoint that has come back under its name with another software version and is taken
/// for one of the version that it had.
#[googletest::test]
fn endpoint_that_came_back_has_its_new_version() {
    struct Case {
        name: &'static str,
        /// Name from which the identifier is derived, after `i#1`.
        incarnation: &'static str,
        /// Whether the list comes from a router of the previous version.
        previous: bool,
        want: Option<&'static str>,
    }
    let cases = [
        Case { name: "started again", incarnation: "i#2", previous: false, want: Some("2") },
        Case { name: "started again, not known", incarnation: "i#2", previous: true, want: None },
        Case { name: "same start", incarnation: "i#1", previous: false, want: Some("2") },
        Case { name: "same start, known", incarnation: "i#1", previous: true, want: Some("1") },
    ];
    let instance = |incarnation: &str, version| Endpoint {
        id: Endpoint::number(incarnation),
        ..endpoint_of_version("i", Some(version))
    };
    for case in cases {
        let gateway = gateway();
        gateway.set_directory(Directory::new(10, vec![instance("i#1", "1")]), Source::Store);
        let list = Directory::new(11, vec![instance(case.incarnation, "2")]);
        let bytes = if case.previous {
            previous::List::new(&list).encode()
        } else {
            list.encode(NOW).unwrap()
        };
        gateway.set_directory(Directory::decode(&bytes, NOW).unwrap(), Source::Peer);
        expect_that!(
            versions_of(&gateway.directory()),
            elements_are![eq(&case.want)],
            "{}",
            case.name
        );
    }
}

/// Guards against a list that cannot be used because of malformed software versions, and against versions of other endpoints.
#[googletest::test]
fn malformed_software_versions_are_not_used() {
    struct Case {
        name: &'static str,
        /// Encoded versions and their places.
        bytes: &'static [u8],
        /// The versions of the two endpoints; `None` if the bytes are cut off.
        want: Option<[Option<&'static str>; 2]>,
    }
    let cases = [
        Case { name: "sound", bytes: &[1, 1, b'x', 2, 0, 1], want: Some([None, Some("x")]) },
        Case {
            name: "more bytes",
            bytes: &[1, 1, b'x', 2, 0, 1, 9],
            want: Some([None, Some("x")]),
        },
        Case { name: "no such version", bytes: &[1, 1, b'x', 2, 1, 2], want: Some([None; 2]) },
        Case { name: "too few endpoints", bytes: &[1, 1, b'x', 1, 1], want: Some([None; 2]) },
        Case {
            name: "too many endpoints",
            bytes: &[1, 1, b'x', 3, 1, 1, 1],
            want: Some([None; 2]),
        },
        Case { name: "not text", bytes: &[1, 1, 0xff, 2, 1, 1], want: Some([None; 2]) },
        Case { name: "no number", bytes: &[0xff; 16], want: Some([None; 2]) },
        Case { name: "cut off", bytes: &[1, 1, b'x', 2, 0], want: None },
    ];
    let list = list_of_versions(10, &[Some("1"), Some("2")]).with_drained(["a"]);
    for case in cases {
        let mut bytes = previous::List::new(&list).encode();
        bytes.extend(case.bytes);
        let read = Directory::decode(&bytes, NOW).ok();
        let versions = read.as_ref().map(versions_of);
        expect_that!(versions, eq(&case.want.map(Vec::from)), "{}", case.name);
        if let Some(read) = &read {
            expect_that!(
                previous::List::new(read),
                eq(&previous::List::new(&list)),
                "{}",
                case.name
            );
        }
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
