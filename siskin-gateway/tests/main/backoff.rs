//! Endpoints that ask for a back-off. Guards against requests during it, against a burst of requests after it, and against
//! forwarding an endpoint's back-off to callers, who would apply it to the router.

use {
    crate::{
        endpoint::{Endpoint, Step, header_value},
        fixture::{Reply, TestRouter},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

const EVENT_STREAM: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
     content-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
);

/// Asks for a back-off of 600 ms, which a router extends by a quarter at most.
const REFUSED: Step = Step::Respond(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nbackoff-ms: 600\r\ncontent-length: 0\r\n\r\n",
);

/// As [`REFUSED`], for 100 ms.
const REFUSED_SHORTLY: Step = Step::Respond(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nbackoff-ms: 100\r\ncontent-length: 0\r\n\r\n",
);

/// As [`REFUSED`], but the request may have run.
const MAY_HAVE_RUN: Step = Step::Respond(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nsigned: s\r\nbackoff-ms: 600\r\ncontent-length: 2\r\n\r\nno",
);

const BACKOFF: Duration = Duration::from_millis(600);
const BACKOFF_MAX: Duration = Duration::from_millis(750);

/// Requests during the back-off.
const REQUESTS_DURING_BACKOFF: usize = 6;

async fn send_requests(router: &TestRouter, name: &str, count: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for request in 0..count {
        replies.push(router.send_request(&format!("{name}{request}"), "").await);
    }
    replies
}

fn retry_after(reply: &Reply) -> Option<Duration> {
    header_value(&reply.head, "retry-after")?.parse().ok().map(Duration::from_secs_f64)
}

struct Case {
    name: &'static str,
    kind: Kind,
    steps: &'static [Step],
    /// The status that the first caller gets.
    want_first: u16,
}

const CASES: [Case; 6] = [
    Case {
        name: "once, not run",
        kind: Kind::AtMostOnce,
        steps: &[REFUSED, OK_RESPONSE],
        want_first: 503,
    },
    Case {
        name: "idempotent, not run",
        kind: Kind::Idempotent,
        steps: &[REFUSED, OK_RESPONSE],
        want_first: 503,
    },
    Case {
        name: "once, may have run",
        kind: Kind::AtMostOnce,
        steps: &[MAY_HAVE_RUN, OK_RESPONSE],
        want_first: 503,
    },
    Case {
        name: "idempotent, may have run",
        kind: Kind::Idempotent,
        steps: &[MAY_HAVE_RUN, OK_RESPONSE],
        want_first: 503,
    },
    Case {
        name: "stream, not run",
        kind: Kind::Stream { resumable: true },
        steps: &[REFUSED, EVENT_STREAM],
        want_first: 503,
    },
    Case {
        name: "stream, may have run",
        kind: Kind::Stream { resumable: false },
        steps: &[MAY_HAVE_RUN, EVENT_STREAM],
        want_first: 503,
    },
];

/// With one endpoint, callers are refused at once during the back-off and served after it.
#[googletest::test]
#[tokio::test]
async fn nothing_is_sent_during_a_back_off() {
    for case in CASES {
        let engine = Endpoint::start(case.steps).await;
        let router = TestRouter::start(case.kind, &[engine.address]).await;
        let first = router.send_request("first", "").await;
        let backoff_start = Instant::now();
        expect_that!(first.status, eq(case.want_first), "{}", case.name);
        expect_that!(first.head, not(contains_substring("backoff-ms")), "{}", case.name);
        for reply in send_requests(&router, "during", REQUESTS_DURING_BACKOFF).await {
            expect_that!(reply.status, eq(503), "{}", case.name);
            // At most a third of the route's timeout of 600 ms, and half as much again for the jitter.
            let back = retry_after(&reply);
            expect_that!(back, some(gt(Duration::ZERO)), "{}", case.name);
            expect_that!(back, some(le(Duration::from_millis(300))), "{}", case.name);
        }
        expect_that!(backoff_start.elapsed(), lt(BACKOFF), "{}: refusals were late", case.name);
        expect_that!(engine.received().len(), eq(1), "{}", case.name);
        sleep(BACKOFF_MAX.saturating_sub(backoff_start.elapsed())).await;
        let later = send_requests(&router, "later", 2).await;
        expect_that!(later[1].status, eq(200), "{}", case.name);
        expect_that!(engine.received().len(), eq(3), "{}", case.name);
    }
}

/// Guards against refusing a request although another endpoint could serve it.
#[googletest::test]
#[tokio::test]
async fn another_endpoint_serves_during_a_back_off() {
    let refusing = Endpoint::start(&[REFUSED]).await;
    let other = Endpoint::start(&[OK_RESPONSE]).await;
    let router = TestRouter::start(Kind::AtMostOnce, &[refusing.address, other.address]).await;
    for reply in send_requests(&router, "r", 12).await {
        expect_that!(reply.status, eq(200));
        expect_that!(reply.head, not(contains_substring("retry-after")));
    }
    expect_that!(refusing.received().len(), le(1));
}

/// Guards against ending a long back-off early because of a shorter one in the response to a concurrent request.
#[googletest::test]
#[tokio::test]
async fn latest_end_of_back_offs_applies() {
    for steps in [[REFUSED, REFUSED_SHORTLY, OK_RESPONSE], [REFUSED_SHORTLY, REFUSED, OK_RESPONSE]]
    {
        let engine = Endpoint::start(&steps).await;
        let router = TestRouter::start(Kind::AtMostOnce, &[engine.address]).await;
        tokio::join!(router.send_request("a", ""), router.send_request("b", ""));
        sleep(Duration::from_millis(200)).await;
        expect_that!(router.send_request("c", "").await.status, eq(503));
        expect_that!(engine.received().len(), le(2));
    }
}

/// Guards against sending all waiting requests at once to an endpoint whose back-off has just ended.
#[googletest::test]
#[tokio::test]
async fn one_trial_request_is_sent_after_a_back_off() {
    let engine = Endpoint::start(&[REFUSED_SHORTLY, Step::Silence]).await;
    let router = TestRouter::start(Kind::AtMostOnce, &[engine.address]).await;
    router.send_request("first", "").await;
    sleep(Duration::from_millis(150)).await;
    let ids: Vec<String> =
        (0..REQUESTS_DURING_BACKOFF).map(|request| format!("r{request}")).collect();
    let requests = ids.iter().map(|id| router.send_request(id, ""));
    let replies = futures_util::future::join_all(requests).await;
    let refused = replies.iter().filter(|reply| reply.status == 503).count();
    expect_that!(refused, eq(REQUESTS_DURING_BACKOFF - 1));
    expect_that!(engine.received().len(), eq(2));
}
