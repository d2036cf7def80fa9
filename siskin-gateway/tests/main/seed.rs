//! A router that starts while the store is away.

use {
    crate::fixture::{Site, gateway_at},
    googletest::prelude::*,
    siskin_gateway::{catalog::Kind, gateway::Server, seed},
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
    expect_that!(fresh.directory().endpoints.len(), eq(1));
    server.stop().await;
    site.stop().await;
}
