//! A router that starts during a store outage.

use {
    crate::fixture::{TestRouter, catalog, gateway_at},
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind},
        directory::Directory,
        gateway::{Server, Source},
        seed,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
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
        seed::run(Arc::clone(&starting), seeds.to_vec()).await;
        expect_that!(starting.catalog().unwrap().version, eq(2));
        expect_that!(starting.directory().endpoints().len(), eq(0));
    }
}
