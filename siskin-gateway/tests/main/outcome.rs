//! Status that a caller receives, and number of times that a request is sent, for each behaviour of an endpoint.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{Reply, TestRouter},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");
const SERVER_ERROR: Step =
    Step::Respond("HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nno");
const NOT_RUN: Step =
    Step::Respond("HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n");
const BUSY_WITHOUT_NOT_RUN: Step =
    Step::Respond("HTTP/1.1 503 Busy\r\nid: {id}\r\nsigned: s\r\ncontent-length: 0\r\n\r\n");
const OTHER_REQUEST_ID: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: other\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");
const UNSIGNED: Step = Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 2\r\n\r\nok");
const TRUNCATED: Step = Step::RespondAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 20\r\n\r\nonly this",
);
const ENCODED: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nok",
);
const GARBAGE: Step = Step::RespondAndClose("this is no answer\r\n\r\n");

struct Case {
    name: &'static str,
    kind: Kind,
    steps: &'static [Step],
    /// Number of endpoints; they share one list of steps.
    endpoints: usize,
    want_status: u16,
    want_sends: usize,
}

const ONCE: Kind = Kind::AtMostOnce;
const IDEMPOTENT: Kind = Kind::Idempotent;

const CASES: [Case; 22] = [
    Case {
        name: "idempotent, closed, then not run",
        kind: IDEMPOTENT,
        steps: &[Step::Close, NOT_RUN],
        endpoints: 2,
        want_status: 502,
        want_sends: 2,
    },
    Case {
        name: "idempotent, closed, none left",
        kind: IDEMPOTENT,
        steps: &[Step::Close],
        endpoints: 1,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, answered",
        kind: ONCE,
        steps: &[OK_RESPONSE],
        endpoints: 2,
        want_status: 200,
        want_sends: 1,
    },
    Case {
        name: "once, failed",
        kind: ONCE,
        steps: &[SERVER_ERROR, OK_RESPONSE],
        endpoints: 2,
        want_status: 500,
        want_sends: 1,
    },
    Case {
        name: "once, not run",
        kind: ONCE,
        steps: &[NOT_RUN, OK_RESPONSE],
        endpoints: 2,
        want_status: 200,
        want_sends: 2,
    },
    Case {
        name: "once, never run",
        kind: ONCE,
        steps: &[NOT_RUN],
        endpoints: 2,
        want_status: 503,
        want_sends: 2,
    },
    Case {
        name: "once, closed",
        kind: ONCE,
        steps: &[Step::Close, OK_RESPONSE],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, truncated",
        kind: ONCE,
        steps: &[TRUNCATED, OK_RESPONSE],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, response to another request",
        kind: ONCE,
        steps: &[OTHER_REQUEST_ID, OK_RESPONSE],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, unsigned",
        kind: ONCE,
        steps: &[UNSIGNED],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, content-encoding",
        kind: ONCE,
        steps: &[ENCODED],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, garbage",
        kind: ONCE,
        steps: &[GARBAGE],
        endpoints: 2,
        want_status: 502,
        want_sends: 1,
    },
    Case {
        name: "once, 503 without not-run",
        kind: ONCE,
        steps: &[BUSY_WITHOUT_NOT_RUN, OK_RESPONSE],
        endpoints: 2,
        want_status: 503,
        want_sends: 1,
    },
    Case {
        name: "once, silent",
        kind: ONCE,
        steps: &[Step::Silence],
        endpoints: 2,
        want_status: 504,
        want_sends: 1,
    },
    Case {
        name: "idempotent, closed",
        kind: IDEMPOTENT,
        steps: &[Step::Close, OK_RESPONSE],
        endpoints: 2,
        want_status: 200,
        want_sends: 2,
    },
    Case {
        name: "idempotent, truncated",
        kind: IDEMPOTENT,
        steps: &[TRUNCATED, OK_RESPONSE],
        endpoints: 2,
        want_status: 200,
        want_sends: 2,
    },
    Case {
        name: "idempotent, failed",
        kind: IDEMPOTENT,
        steps: &[SERVER_ERROR, OK_RESPONSE],
        endpoints: 2,
        want_status: 200,
        want_sends: 2,
    },
    Case {
        name: "idempotent, failed, none left",
        kind: IDEMPOTENT,
        steps: &[SERVER_ERROR],
        endpoints: 1,
        want_status: 500,
        want_sends: 1,
    },
    Case {
        name: "idempotent, failed, then not run",
        kind: IDEMPOTENT,
        steps: &[SERVER_ERROR, NOT_RUN],
        endpoints: 2,
        want_status: 500,
        want_sends: 2,
    },
    Case {
        name: "idempotent, failed, then closed",
        kind: IDEMPOTENT,
        steps: &[SERVER_ERROR, Step::Close],
        endpoints: 2,
        want_status: 500,
        want_sends: 2,
    },
    Case {
        name: "idempotent, failed twice",
        kind: IDEMPOTENT,
        steps: &[SERVER_ERROR],
        endpoints: 2,
        want_status: 500,
        want_sends: 2,
    },
    Case {
        name: "idempotent, attempts used up",
        kind: IDEMPOTENT,
        steps: &[Step::Close],
        endpoints: 3,
        want_status: 502,
        want_sends: 2,
    },
];

/// Guards against running a request twice that may run once at most, against refusing a request as not run that may have
/// run, and against forwarding responses that belong to another request or are incomplete.
#[googletest::test]
#[tokio::test]
async fn caller_learns_the_actual_outcome() {
    for case in CASES {
        // All endpoints take their steps from one list, so the first attempt gets the first step.
        let endpoint = Endpoint::start(case.steps).await;
        let router = TestRouter::start(case.kind, &vec![endpoint.address; case.endpoints]).await;
        let Reply { status, head, .. } = router.send_request("r1", "").await;
        expect_that!(status, eq(case.want_status), "{}: {head}", case.name);
        expect_that!(endpoint.received().len(), eq(case.want_sends), "{}", case.name);
        let refused_as_not_run = head.to_ascii_lowercase().contains("retry-after");
        expect_that!(refused_as_not_run, eq(case.name == "once, never run"), "{}", case.name);
        router.stop().await;
    }
}

/// Guards against forwarding keys and headers that only the fleet may set, and against changing other headers.
#[googletest::test]
#[tokio::test]
async fn headers_are_forwarded_removed_or_replaced() {
    let endpoint = Endpoint::start(&[OK_RESPONSE]).await;
    let router = TestRouter::start(ONCE, &[endpoint.address]).await;
    router
        .send_request(
            "r2",
            "key: secret\r\nother: kept\r\nconnection: keep-alive, hop\r\nhop: 1\r\n",
        )
        .await;
    let received = endpoint.received().join("\n").to_ascii_lowercase();
    for (text, want) in [
        ("other: kept", true),
        ("id: r2", true),
        ("instance: e0", true),
        ("host: example", true),
        ("secret", false),
        ("hop: 1", false),
    ] {
        expect_that!(received.contains(text), eq(want), "{text} in {received}");
    }
    router.stop().await;
}

/// Guards against running a request on for a caller that has disconnected.
#[googletest::test]
#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let endpoint = Endpoint::start(&[Step::Silence]).await;
    let router = TestRouter::start(ONCE, &[endpoint.address]).await;
    let response =
        tokio::time::timeout(std::time::Duration::from_millis(100), router.send_request("r3", ""))
            .await;
    expect_that!(response.is_err(), eq(true));
    for _ in 0..100 {
        if endpoint.disconnected() == 1 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    expect_that!(endpoint.disconnected(), eq(1));
    router.stop().await;
}

/// Guards against rejecting requests for good before a configuration is known, and against serving unknown routes.
#[googletest::test]
#[tokio::test]
async fn unknown_route_malformed_head_and_missing_configuration_differ() {
    let endpoint = Endpoint::start(&[OK_RESPONSE]).await;
    let router = TestRouter::start(ONCE, &[endpoint.address]).await;
    expect_that!(router.get("/nowhere/", "id: r4\r\n").await.status, eq(404));
    expect_that!(router.get("/app/x", "").await.status, eq(400));
    router.stop().await;
    let unconfigured = TestRouter::start_without_configuration().await;
    let reply = unconfigured.send_request("r5", "").await;
    expect_that!(reply.status, eq(503));
    expect_that!(reply.head.to_ascii_lowercase(), contains_substring("retry-after"));
    expect_that!(endpoint.received().len(), eq(0));
    unconfigured.stop().await;
}
