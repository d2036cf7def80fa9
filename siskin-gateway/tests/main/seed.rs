//! A router that starts during a store outage.

use {
    crate::{
        crashing_requests::Member,
        fixture::{TestRouter, catalog, endpoint, gateway_at},
        previous,
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind, WarmUp},
        directory::{Directory, Endpoint},
        gateway::{Gateway, Server, Source},
        peers::Listing,
        seed,
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, timeout},
    },
};

/// Address at which nothing listens.
const UNREACHABLE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Guards against refusing requests for the whole store outage although another router has the configuration.
#[googletest::test]
#[tokio::test]
async fn configuration_is_fetched_from_a_seed() {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
    let router = TestRouter::start(Kind::AtMostOnce, &[endpoint]).await;
    let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = Server::start(Arc::clone(&starting)).await.unwrap();
    expect_that!(starting.ready(), eq(false));
    tokio::spawn(seed::run(Arc::clone(&starting), vec![unreachable, router.control()]));
    let start = Instant::now();
    while !starting.ready() && start.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(10)).await;
    }
    expect_that!(starting.ready(), eq(true));
    expect_that!(starting.directory().endpoints().len(), eq(1));
    server.stop().await;
    router.stop().await;
}

/// Guards against using a revoked key or a removed endpoint after a restart because the first seed had been cut off from the
/// store.
#[googletest::test]
#[tokio::test]
async fn newest_snapshot_is_used() {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let outdated = TestRouter::start(Kind::AtMostOnce, &[endpoint, endpoint]).await;
    let gateway = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let catalog = Catalog { version: 2, ..catalog(Kind::AtMostOnce) };
    gateway.set_catalog(catalog, Source::Store);
    gateway.set_directory(Directory::new(7, Vec::new()), Source::Store);
    let newer = Server::start(gateway).await.unwrap();
    for seeds in [
        [outdated.control(), newer.control().unwrap()],
        [newer.control().unwrap(), outdated.control()],
    ] {
        let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
        let asking = tokio::spawn(seed::run(Arc::clone(&starting), seeds.to_vec()));
        wait_for_version(&starting, 2).await;
        asking.abort();
        expect_that!(starting.catalog().unwrap().version, eq(2));
        expect_that!(starting.directory().endpoints().len(), eq(0));
    }
}

/// Waits until a gateway has this configuration version.
async fn wait_for_version(gateway: &Gateway, version: u64) {
    let start = Instant::now();
    let has_version = || gateway.catalog().is_some_and(|catalog| catalog.version >= version);
    while !has_version() && start.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a revoked key or a removed endpoint that a router uses for as long as the store turns it away, because it asked its
/// seeds only at its start.
#[googletest::test]
#[tokio::test]
async fn newer_versions_are_fetched_from_seeds_while_the_store_is_away() {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let gateway = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let router = TestRouter::start_with(Arc::clone(&gateway), Kind::AtMostOnce, &[endpoint]).await;
    let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let asking = tokio::spawn(seed::run(Arc::clone(&starting), vec![router.control()]));
    wait_for_version(&starting, 1).await;
    expect_that!(starting.directory().endpoints().len(), eq(1));
    gateway.set_catalog(Catalog { version: 2, ..catalog(Kind::AtMostOnce) }, Source::Store);
    gateway.set_directory(Directory::new(7, Vec::new()), Source::Store);
    wait_for_version(&starting, 2).await;
    expect_that!(starting.catalog().unwrap().version, eq(2));
    expect_that!(starting.directory().endpoints().len(), eq(0));
    starting.set_watching_store(true);
    expect_that!(timeout(Duration::from_secs(3), asking).await.is_ok(), eq(true), "it ends");
    router.stop().await;
}

/// Guards against a withdrawn key that an added router uses for as long as the store turns it away, because its seeds have left and
/// it knows no other routers.
#[googletest::test]
#[tokio::test]
async fn newer_versions_are_fetched_from_routers_that_a_seed_names() {
    let directory = Directory::new(1, Vec::new());
    let first = Member::start(0, catalog(Kind::AtMostOnce), &directory).await;
    let other = Member::start(1, catalog(Kind::AtMostOnce), &directory).await;
    let listings = [&first, &other].map(|member| {
        let snapshots = Some(member.router.control());
        Listing { snapshots, ..member.listing.clone() }
    });
    first.peers.list(&listings);
    let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    tokio::spawn(seed::run(Arc::clone(&starting), vec![first.router.control()]));
    wait_for_version(&starting, 1).await;
    expect_that!(starting.catalog().map(|catalog| catalog.version), some(eq(1)));
    first.router.stop().await;
    let newer = Catalog { version: 2, ..catalog(Kind::AtMostOnce) };
    other.gateway.set_catalog(newer, Source::Store);
    wait_for_version(&starting, 2).await;
    expect_that!(starting.catalog().unwrap().version, eq(2));
    other.router.stop().await;
}

/// A configuration in which a service warms up.
fn catalog_with_warm_up() -> (Catalog, WarmUp) {
    let warm_up = WarmUp { duration: Duration::from_secs(3), requests_per_second: 18.0 };
    let mut catalog = catalog(Kind::AtMostOnce);
    catalog.services["app"].warm_up = Some(warm_up);
    (catalog, warm_up)
}

/// Two endpoints of different software versions.
fn list_of_two_versions() -> Directory {
    let of_version = |name: &str, version: &str| Endpoint {
        software: Some(version.into()),
        ..endpoint(name, UNREACHABLE)
    };
    Directory::new(7, vec![of_version("old", "1"), of_version("new", "2")]).with_drained(["west"])
}

/// Starts a gateway that serves snapshots of two software versions.
async fn serve_two_versions() -> Server {
    let gateway = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    gateway.set_catalog(catalog_with_warm_up().0, Source::Store);
    gateway.set_directory(list_of_two_versions(), Source::Store);
    Server::start(gateway).await.unwrap()
}

/// Starts a router of the previous version that serves this snapshot.
async fn serve_previous_version(snapshot: &previous::Snapshot) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = snapshot.encode();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = [0; 4_096];
            let _ = stream.read(&mut head).await.unwrap();
            let length = body.len();
            let head =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
    });
    address
}

fn previous_snapshot(sources: Vec<SocketAddr>) -> previous::Snapshot {
    let (catalog, warm_up) = catalog_with_warm_up();
    let list = previous::List::new(&list_of_two_versions());
    previous::Snapshot { catalog, list, warm_ups: [("app".to_owned(), warm_up)].into(), sources }
}

/// The software versions of the endpoints `old` and `new`.
fn versions_at(gateway: &Gateway) -> [Option<String>; 2] {
    let directory = gateway.directory();
    ["old", "new"].map(|name| {
        directory.get(Endpoint::number(name)).unwrap().software.as_deref().map(str::to_owned)
    })
}

/// Guards against a stream that goes on at another software version after all routers have lost power, because a router that starts
/// without the store does not know the versions, or because one of the previous version answered first.
#[googletest::test]
#[tokio::test]
async fn software_versions_are_fetched_from_a_seed() {
    let server = serve_two_versions().await;
    let current = server.control().unwrap();
    let previous = serve_previous_version(&previous_snapshot(Vec::new())).await;
    for seeds in [vec![current], vec![current, previous], vec![previous, current]] {
        let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
        let asking = tokio::spawn(seed::run(Arc::clone(&starting), seeds.clone()));
        wait_for_version(&starting, 1).await;
        asking.abort();
        let want = ["1", "2"].map(|version| Some(version.to_owned()));
        expect_that!(versions_at(&starting), eq(&want), "{seeds:?}");
        expect_that!(starting.directory().drained(), elements_are![eq("west")]);
        expect_that!(starting.catalog().unwrap().services["app"].warm_up, some(anything()));
    }
    server.stop().await;
}

/// Guards against a snapshot of the previous version that cannot be read while the routers of a fleet are upgraded: the versions are
/// not known, and everything else is, the other sources too.
#[googletest::test]
#[tokio::test]
async fn snapshots_of_the_previous_version_are_read() {
    let newer = Catalog { version: 2, ..catalog_with_warm_up().0 };
    let newer = previous::Snapshot { catalog: newer, ..previous_snapshot(Vec::new()) };
    let named = serve_previous_version(&newer).await;
    let first = serve_previous_version(&previous_snapshot(vec![named])).await;
    let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    tokio::spawn(seed::run(Arc::clone(&starting), vec![first]));
    wait_for_version(&starting, 1).await;
    expect_that!(versions_at(&starting), eq(&[None, None]));
    expect_that!(starting.directory().drained(), elements_are![eq("west")]);
    expect_that!(starting.catalog().unwrap().services["app"].warm_up, some(anything()));
    wait_for_version(&starting, 2).await;
    expect_that!(starting.catalog().unwrap().version, eq(2), "from a named source");
}

/// Guards against a snapshot that a router of the previous version cannot read, or reads in part, while the routers of a fleet are
/// upgraded.
#[googletest::test]
#[tokio::test]
async fn previous_version_reads_snapshots_with_software_versions() {
    let member = Member::start(0, catalog_with_warm_up().0, &list_of_two_versions()).await;
    let other = Member::start(1, catalog_with_warm_up().0, &list_of_two_versions()).await;
    let named = other.router.control();
    let listings = [&member, &other].map(|member| {
        let snapshots = Some(member.router.control());
        Listing { snapshots, ..member.listing.clone() }
    });
    member.peers.list(&listings);
    let mut stream = TcpStream::connect(member.router.control()).await.unwrap();
    let request = "GET /snapshot HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n").unwrap();
    let read = previous::Snapshot::decode(&response[head_end + 4..]);
    expect_that!(read.list, eq(&previous::List::new(&list_of_two_versions())));
    expect_that!(read.warm_ups.get("app"), some(eq(&catalog_with_warm_up().1)));
    expect_that!(read.sources, elements_are![eq(&named)]);
    member.router.stop().await;
    other.router.stop().await;
}
