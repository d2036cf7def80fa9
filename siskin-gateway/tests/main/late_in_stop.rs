//! Requests whose bodies arrive late in a planned stop. Guards against passing them on when the process ends before the endpoint
//! can have answered: a request that must not repeat would be lost.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{TestRouter, catalog, gateway_with_options, options},
    },
    googletest::prelude::*,
    hyper::Request,
    siskin_gateway::{catalog::Kind, exchange},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

const HEAD: &[u8] =
    b"POST /app/x HTTP/1.1\r\nhost: example\r\nid: late\r\ncontent-length: 5\r\n\r\n";

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

/// Time from the stop signal to the end of the process, less its reserve of 400 ms.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

struct Case {
    name: &'static str,
    kind: Kind,
    /// Time from the stop signal to the body.
    body_after: Duration,
    want_status: &'static str,
    want_received: usize,
}

const CASES: [Case; 3] = [
    Case {
        name: "in time",
        kind: Kind::AtMostOnce,
        body_after: Duration::from_millis(300),
        want_status: "200",
        want_received: 1,
    },
    Case {
        name: "late, must not repeat",
        kind: Kind::AtMostOnce,
        body_after: Duration::from_millis(1_300),
        want_status: "503",
        want_received: 0,
    },
    Case {
        name: "late, idempotent",
        kind: Kind::Idempotent,
        body_after: Duration::from_millis(1_300),
        want_status: "503",
        want_received: 0,
    },
];

#[googletest::test]
#[tokio::test]
async fn request_that_cannot_be_answered_before_the_end_is_not_sent() {
    for case in CASES {
        let engine = Endpoint::start(&[OK_RESPONSE]).await;
        let mut options = options(SocketAddr::from(([127, 0, 0, 1], 0)));
        options.stop_timeout = STOP_TIMEOUT;
        let mut catalog = catalog(case.kind);
        catalog.routes[0].timeout = Duration::from_secs(5);
        let gateway = gateway_with_options(options);
        let router = TestRouter::start_configured(gateway, catalog, &[engine.address]).await;
        let mut stream = TcpStream::connect(router.address()).await.unwrap();
        stream.write_all(HEAD).await.unwrap();
        sleep(Duration::from_millis(50)).await;
        let stop = tokio::spawn(router.stop());
        sleep(case.body_after).await;
        stream.write_all(b"hello").await.unwrap();
        let mut reply = Vec::new();
        let read = timeout(STOP_TIMEOUT, stream.read_to_end(&mut reply)).await;
        expect_that!(read.is_ok(), eq(true), "{}: the connection ends", case.name);
        let reply = String::from_utf8_lossy(&reply).into_owned();
        let status = reply.split(' ').nth(1).unwrap_or_default().to_owned();
        expect_that!(status, eq(case.want_status), "{}", case.name);
        expect_that!(engine.received().len(), eq(case.want_received), "{}", case.name);
        stop.await.unwrap();
    }
}

/// Guards against requests that are relayed to a router which does not know that this one ends before they are answered.
#[googletest::test]
#[tokio::test]
async fn request_that_cannot_be_answered_before_the_end_is_not_relayed() {
    struct Case {
        name: &'static str,
        head: &'static str,
        want: Option<Duration>,
        want_late: Option<Duration>,
    }
    const TIMEOUT: Duration = Duration::from_secs(5);
    let cases = [
        Case { name: "regular", head: "/app/x", want: Some(TIMEOUT), want_late: None },
        Case { name: "without a route", head: "/other/x", want: None, want_late: None },
    ];
    let engine = Endpoint::start(&[OK_RESPONSE]).await;
    let mut options = options(SocketAddr::from(([127, 0, 0, 1], 0)));
    options.stop_timeout = STOP_TIMEOUT;
    let mut catalog = catalog(Kind::AtMostOnce);
    catalog.routes[0].timeout = TIMEOUT;
    let gateway = gateway_with_options(options);
    let router =
        TestRouter::start_configured(Arc::clone(&gateway), catalog, &[engine.address]).await;
    let time_allowed = |path: &str| {
        let request = Request::get(path).header("host", "example").header("id", "r");
        exchange::relay_terms(&gateway, request.body(()).unwrap())
            .filter(|terms| terms.in_time)
            .map(|terms| terms.allowed)
    };
    for case in &cases {
        expect_that!(time_allowed(case.head), eq(case.want), "{}: before the stop", case.name);
    }
    let stop = tokio::spawn(router.stop());
    sleep(Duration::from_millis(1_300)).await;
    for case in &cases {
        expect_that!(time_allowed(case.head), eq(case.want_late), "{}: late in it", case.name);
    }
    stop.await.unwrap();
}
