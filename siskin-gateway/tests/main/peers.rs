//! Newer versions that a router takes from its peers.

use {
    crate::{crashing_requests::Member, fixture::catalog},
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind},
        directory::Directory,
        gateway::Source,
        metrics::Metrics,
    },
    siskin_net::control::{Control, Options},
    siskin_types::id::Node,
    siskin_wire::{Message, frame::Key, load::Digest},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Sends a digest several times from a router that does not respond to anything.
async fn send_digests_of_lost_router(to: SocketAddr, digest: Digest) {
    let options = Options {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        node: Node(99),
        incarnation: 1,
        key: Key::derive(b"test"),
        next_key: None,
    };
    let metrics = Metrics::new().unwrap().control;
    let (control, _listener) = Control::bind(options, metrics).await.unwrap();
    let control = Arc::new(control);
    // The first ones are dropped until the socket is known to be writable.
    for _ in 0..5 {
        sleep(Duration::from_millis(20)).await;
        control.send(None, to, &Message::Load(digest.clone()));
    }
}

/// Guards against a withdrawn key that stays in use while other routers have the newer configuration, because the first one that
/// told of it is gone and no other one is asked.
#[googletest::test]
#[tokio::test]
async fn newer_configuration_is_requested_from_another_router_if_the_first_is_lost() {
    struct Case {
        name: &'static str,
        version_of_lost: u64,
        version_of_other: u64,
    }
    let cases = [
        Case { name: "the other has the same", version_of_lost: 2, version_of_other: 2 },
        Case { name: "the other has an older one", version_of_lost: 3, version_of_other: 2 },
    ];
    for Case { name, version_of_lost, version_of_other } in cases {
        let directory = Directory::new(1, Vec::new());
        let turned_away = Member::start(0, catalog(Kind::AtMostOnce), &directory).await;
        let other = Member::start(1, catalog(Kind::AtMostOnce), &directory).await;
        let listings = [turned_away.listing.clone(), other.listing.clone()];
        turned_away.peers.list(&listings);
        let digest = Digest {
            config_version: version_of_lost,
            directory_position: directory.position(),
            ..Digest::default()
        };
        send_digests_of_lost_router(turned_away.listing.address, digest).await;
        sleep(Duration::from_millis(500)).await;
        let newer = Catalog { version: version_of_other, ..catalog(Kind::AtMostOnce) };
        other.gateway.set_catalog(newer, Source::Store);
        other.peers.list(&listings);
        let start = Instant::now();
        let version = || turned_away.gateway.catalog().unwrap().version;
        while version() < version_of_other && start.elapsed() < Duration::from_secs(3) {
            sleep(Duration::from_millis(10)).await;
        }
        expect_that!(version(), eq(version_of_other), "{name}");
    }
}
