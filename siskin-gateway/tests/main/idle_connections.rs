//! File descriptors: callers of a busy customer open a connection for each request, all to one router, and leave them idle.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{TestRouter, gateway_with_options, options},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

struct Case {
    name: &'static str,
    /// Number of idle connections from callers.
    idle: usize,
    want_close: bool,
}

const CASES: [Case; 2] = [
    Case { name: "a few", idle: 10, want_close: false },
    Case { name: "most of the descriptors", idle: 60, want_close: true },
];

/// Guards against idle connections from callers that use up all descriptors: no endpoint could be reached, and new callers
/// would wait without a response until others disconnect.
#[googletest::test]
#[tokio::test]
async fn idle_connections_leave_descriptors_for_endpoints() {
    for case in &CASES {
        let endpoint = Endpoint::start(&[OK_RESPONSE]).await;
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut options = options(address);
        options.parameters.descriptors = 300;
        let gateway = gateway_with_options(options);
        let router = TestRouter::start_with(gateway, Kind::Idempotent, &[endpoint.address]).await;
        let mut idle = Vec::new();
        for _ in 0..case.idle {
            idle.push(TcpStream::connect(router.address()).await.unwrap());
        }
        // Each connection is accepted before the next one, so this request sees all of them.
        let reply = router.send_request("r1", "").await;
        expect_that!(reply.status, eq(200), "{}", case.name);
        let closes = reply.head.to_lowercase().contains("connection: close");
        expect_that!(closes, eq(case.want_close), "{}", case.name);
    }
}
