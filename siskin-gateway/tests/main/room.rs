//! Load: callers of a hot customer open a connection for each request, all at one router, and leave them idle.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{Site, options, with_options},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

const DONE: Step =
    Step::Answer("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

struct Case {
    name: &'static str,
    /// Idle connections of callers.
    idle: usize,
    want_close: bool,
}

const CASES: [Case; 2] = [
    Case { name: "a few", idle: 10, want_close: false },
    Case { name: "most of the descriptors", idle: 60, want_close: true },
];

/// Guards against descriptors that all go to idle connections of callers, so that no endpoint can be reached and new
/// callers wait unheard until they leave.
#[googletest::test]
#[tokio::test]
async fn idle_connections_leave_descriptors_for_endpoints() {
    for case in &CASES {
        let endpoint = Endpoint::start(&[DONE]).await;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut options = options(any);
        options.figures.descriptors = 300;
        let gateway = with_options(options);
        let site = Site::start_with(gateway, Kind::Idempotent, &[endpoint.address]).await;
        let mut idle = Vec::new();
        for _ in 0..case.idle {
            idle.push(TcpStream::connect(site.address()).await.unwrap());
        }
        // Each connection is accepted before the next one, so this request sees all of them.
        let reply = site.ask("r1", "").await;
        expect_that!(reply.status, eq(200), "{}", case.name);
        let closes = reply.head.to_lowercase().contains("connection: close");
        expect_that!(closes, eq(case.want_close), "{}", case.name);
    }
}
