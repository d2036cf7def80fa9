//! A router that starts during a store outage.

use {
    crate::{
        crashing_requests::Member,
        fixture::{TestRouter, catalog, gateway_at},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind},
        directory::Directory,
        gateway::{Gateway, Server, Source},
        peers::Listing,
        seed,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

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
