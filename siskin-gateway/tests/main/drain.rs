//! Requests while a data centre is drained. Guards against first attempts, retries and resumed streams that reach it.

use {
    crate::{
        endpoint::{Endpoint, Step, header_value},
        fixture::{TestRouter, catalog, endpoint, gateway, gateway_at},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::Kind,
        directory::{self, Directory},
        gateway::{Gateway, Source},
        seed,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// A complete response, also of a stream.
const OK_RESPONSE: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
     content-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
);

const NOT_RUN: Step =
    Step::Respond("HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");

const BROKEN_STREAM: Step = Step::RespondAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
     transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n",
);

/// Sets a list with one endpoint in each data centre, of which these are drained.
fn set_list(gateway: &Gateway, revision: u64, east: &Endpoint, west: &Endpoint, drained: &[&str]) {
    let west =
        directory::Endpoint { data_centre: "west".to_owned(), ..endpoint("west", west.address) };
    let list = Directory::new(revision, vec![endpoint("east", east.address), west]);
    gateway.set_directory(list.with_drained(drained.iter().copied()), Source::Store);
}

struct Case {
    name: &'static str,
    kind: Kind,
    /// How the endpoint of the data centre in use answers.
    east: Step,
}

const CASES: [Case; 4] = [
    Case { name: "first attempt", kind: Kind::Idempotent, east: OK_RESPONSE },
    Case { name: "retry after a break", kind: Kind::Idempotent, east: Step::Close },
    Case { name: "retry, not run", kind: Kind::AtMostOnce, east: NOT_RUN },
    Case { name: "resumed stream", kind: Kind::Stream { resumable: true }, east: BROKEN_STREAM },
];

#[googletest::test]
#[tokio::test]
async fn drained_data_centre_gets_no_requests() {
    for case in CASES {
        let (east, west) =
            (Endpoint::start(&[case.east]).await, Endpoint::start(&[OK_RESPONSE]).await);
        let gateway = gateway();
        gateway.set_catalog(catalog(case.kind), Source::Store);
        gateway.set_routers(1);
        set_list(&gateway, 1, &east, &west, &["west"]);
        let router = TestRouter::serve(Arc::clone(&gateway)).await;
        for number in 0..4 {
            router.send_request(&format!("r{number}"), "").await;
        }
        expect_that!(west.received().len(), eq(0), "{}", case.name);
        expect_that!(east.received().len(), ge(1), "{}", case.name);
        set_list(&gateway, 2, &east, &west, &["east"]);
        let reply = router.send_request("moved", "").await;
        expect_that!(west.received().len(), eq(1), "{}: the drain has moved", case.name);
        expect_that!(reply.status, eq(200), "{}", case.name);
        set_list(&gateway, 3, &east, &west, &["east", "west"]);
        let reply = router.send_request("refused", "").await;
        expect_that!(reply.status, eq(503), "{}: all are drained", case.name);
        let retry_after = header_value(&reply.head, "retry-after");
        let seconds: Option<f64> = retry_after.and_then(|text| text.parse().ok());
        expect_that!(seconds, some(gt(0.0)), "{}", case.name);
        router.stop().await;
    }
}

/// Guards against requests to a drained data centre from a router that the store does not serve when it starts, or while it runs.
#[googletest::test]
#[tokio::test]
async fn drains_are_fetched_from_a_seed() {
    let (east, west) =
        (Endpoint::start(&[OK_RESPONSE]).await, Endpoint::start(&[OK_RESPONSE]).await);
    let known = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    known.set_catalog(catalog(Kind::Idempotent), Source::Store);
    set_list(&known, 1, &east, &west, &["west"]);
    let router = TestRouter::serve(Arc::clone(&known)).await;
    let starting = gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)));
    tokio::spawn(seed::run(Arc::clone(&starting), vec![router.control()]));
    for (revision, drained) in [(1, "west"), (2, "east")] {
        set_list(&known, revision, &east, &west, &[drained]);
        let start = Instant::now();
        let has_drain = || starting.directory().is_drained(drained);
        while !has_drain() && start.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(10)).await;
        }
        expect_that!(has_drain(), eq(true), "{drained}");
    }
    router.stop().await;
}
