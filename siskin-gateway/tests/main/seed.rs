//! A router that starts while the store is away.

use {
    crate::fixture::{Site, catalog, gateway_at},
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

/// Guards against refusing requests for as long as the store is away, although another router knows the configuration.
#[googletest::test]
#[tokio::test]
async fn configuration_comes_from_another_router() {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let site = Site::start(Kind::Once, &[endpoint]).await;
    let fresh = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = Server::start(Arc::clone(&fresh)).await.unwrap();
    expect_that!(fresh.ready(), eq(false));
    tokio::spawn(seed::run(Arc::clone(&fresh), vec![dead, site.control()]));
    let start = Instant::now();
    while !fresh.ready() && start.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(10)).await;
    }
    expect_that!(fresh.ready(), eq(true));
    expect_that!(fresh.directory().endpoints().len(), eq(1));
    server.stop().await;
    site.stop().await;
}

/// Guards against a key that was withdrawn, or an endpoint that left, in use again after a restart because the first seed had
/// been cut off from the store.
#[googletest::test]
#[tokio::test]
async fn newest_seed_counts() {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let old = Site::start(Kind::Once, &[endpoint, endpoint]).await;
    let gateway = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let catalog = Catalog { version: 2, ..catalog(Kind::Once) };
    gateway.set_catalog(catalog, Source::Store);
    gateway.set_directory(Directory::new(7, Vec::new()), Source::Store);
    let newer = Server::start(gateway).await.unwrap();
    for seeds in
        [[old.control(), newer.control().unwrap()], [newer.control().unwrap(), old.control()]]
    {
        let fresh = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
        seed::run(Arc::clone(&fresh), seeds.to_vec()).await;
        expect_that!(fresh.catalog().unwrap().version, eq(2));
        expect_that!(fresh.directory().endpoints().len(), eq(0));
    }
}
