//! Endpoints that say how busy they are. Guards against figures and costs that do not reach the placement of requests, and against
//! counting costs where endpoints say nothing.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{TestRouter, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::{slice, sync::Arc},
};

const STREAM: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
     content-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
);

const STREAM_WITH_LOAD: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nload: 1\r\ncontent-type: text/event-stream\r\n\
     content-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
);

#[googletest::test]
#[tokio::test]
async fn costs_are_learned_where_endpoints_say_how_busy_they_are() {
    for (step, want) in [(STREAM, false), (STREAM_WITH_LOAD, true)] {
        let engine = Endpoint::start(slice::from_ref(&step)).await;
        let gateway = gateway();
        let kind = Kind::Stream { resumable: true };
        let addresses = [engine.address];
        let router = TestRouter::start_with(Arc::clone(&gateway), kind, &addresses).await;
        // The first response says how busy the endpoint is, the second one what a request costs.
        for request in 0..3 {
            let reply = router.send_request(&format!("r{request}"), "tokens: 100\r\n").await;
            expect_that!((reply.status, reply.complete), eq((200, true)));
        }
        let page = gateway.metrics.page();
        let cost = "siskin_request_cost_milliseconds_total{kind=\"expected\"}";
        expect_that!(page.contains(cost), eq(want));
        router.stop().await;
    }
}
