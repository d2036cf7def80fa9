//! Endpoints that ask for a back-off. Guards against requests during it, against a rush after it, and against callers that take
//! an endpoint's notice for the router's.

use {
    crate::{
        endpoint::{Endpoint, Step, field},
        fixture::{Reply, Site},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const DONE: Step =
    Step::Answer("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

const EVENT: Step = Step::Answer(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
     content-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
);

/// Asks for a back-off of 600 ms, which a router prolongs by a quarter at most.
const REFUSED: Step = Step::Answer(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nbackoff-ms: 600\r\ncontent-length: 0\r\n\r\n",
);

/// As [`REFUSED`], for 100 ms.
const REFUSED_SHORTLY: Step = Step::Answer(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nbackoff-ms: 100\r\ncontent-length: 0\r\n\r\n",
);

/// As [`REFUSED`], but the request may have run.
const FAILED: Step = Step::Answer(
    "HTTP/1.1 503 Busy\r\nid: {id}\r\nsigned: s\r\nbackoff-ms: 600\r\ncontent-length: 2\r\n\r\nno",
);

const BACKOFF: Duration = Duration::from_millis(600);
const BACKOFF_MAX: Duration = Duration::from_millis(750);

/// Requests during the back-off.
const DURING: usize = 6;

async fn ask(site: &Site, name: &str, count: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for request in 0..count {
        replies.push(site.ask(&format!("{name}{request}"), "").await);
    }
    replies
}

fn retry_after(reply: &Reply) -> Option<Duration> {
    field(&reply.head, "retry-after")?.parse().ok().map(Duration::from_secs_f64)
}

struct Case {
    name: &'static str,
    kind: Kind,
    steps: &'static [Step],
    /// The status that the first caller gets.
    want_first: u16,
}

const CASES: [Case; 6] = [
    Case { name: "once, not run", kind: Kind::Once, steps: &[REFUSED, DONE], want_first: 503 },
    Case {
        name: "again, not run",
        kind: Kind::Idempotent,
        steps: &[REFUSED, DONE],
        want_first: 503,
    },
    Case { name: "once, may have run", kind: Kind::Once, steps: &[FAILED, DONE], want_first: 503 },
    Case {
        name: "again, may have run",
        kind: Kind::Idempotent,
        steps: &[FAILED, DONE],
        want_first: 503,
    },
    Case {
        name: "stream, not run",
        kind: Kind::Stream { resumable: true },
        steps: &[REFUSED, EVENT],
        want_first: 503,
    },
    Case {
        name: "stream, may have run",
        kind: Kind::Stream { resumable: false },
        steps: &[FAILED, EVENT],
        want_first: 503,
    },
];

/// One endpoint alone: callers are refused at once during the back-off, and served after it.
#[googletest::test]
#[tokio::test]
async fn nothing_is_sent_during_a_back_off() {
    for case in CASES {
        let engine = Endpoint::start(case.steps).await;
        let site = Site::start(case.kind, &[engine.address]).await;
        let first = site.ask("first", "").await;
        let asked = Instant::now();
        expect_that!(first.status, eq(case.want_first), "{}", case.name);
        expect_that!(first.head, not(contains_substring("backoff-ms")), "{}", case.name);
        for reply in ask(&site, "during", DURING).await {
            expect_that!(reply.status, eq(503), "{}", case.name);
            // Within a third of the 600 ms that the route allows, and a half more for the spread.
            let back = retry_after(&reply);
            expect_that!(back, some(gt(Duration::ZERO)), "{}", case.name);
            expect_that!(back, some(le(Duration::from_millis(300))), "{}", case.name);
        }
        expect_that!(asked.elapsed(), lt(BACKOFF), "{}: refusals came late", case.name);
        expect_that!(engine.received().len(), eq(1), "{}", case.name);
        sleep(BACKOFF_MAX.saturating_sub(asked.elapsed())).await;
        let later = ask(&site, "later", 2).await;
        expect_that!(later[1].status, eq(200), "{}", case.name);
        expect_that!(engine.received().len(), eq(3), "{}", case.name);
    }
}

/// Guards against passing on a refusal although another endpoint has room.
#[googletest::test]
#[tokio::test]
async fn another_endpoint_serves_meanwhile() {
    let refusing = Endpoint::start(&[REFUSED]).await;
    let other = Endpoint::start(&[DONE]).await;
    let site = Site::start(Kind::Once, &[refusing.address, other.address]).await;
    for reply in ask(&site, "r", 12).await {
        expect_that!(reply.status, eq(200));
        expect_that!(reply.head, not(contains_substring("retry-after")));
    }
    expect_that!(refusing.received().len(), le(1));
}

/// Guards against a shorter back-off that ends a longer one, told by requests that were on their way together.
#[googletest::test]
#[tokio::test]
async fn latest_end_counts() {
    for steps in [[REFUSED, REFUSED_SHORTLY, DONE], [REFUSED_SHORTLY, REFUSED, DONE]] {
        let engine = Endpoint::start(&steps).await;
        let site = Site::start(Kind::Once, &[engine.address]).await;
        tokio::join!(site.ask("a", ""), site.ask("b", ""));
        sleep(Duration::from_millis(200)).await;
        expect_that!(site.ask("c", "").await.status, eq(503));
        expect_that!(engine.received().len(), le(2));
    }
}

/// Guards against sending all that waits to an endpoint whose back-off has just ended.
#[googletest::test]
#[tokio::test]
async fn one_request_is_tried_after_a_back_off() {
    let engine = Endpoint::start(&[REFUSED_SHORTLY, Step::Silence]).await;
    let site = Site::start(Kind::Once, &[engine.address]).await;
    site.ask("first", "").await;
    sleep(Duration::from_millis(150)).await;
    let ids: Vec<String> = (0..DURING).map(|request| format!("r{request}")).collect();
    let asked = ids.iter().map(|id| site.ask(id, ""));
    let replies = futures_util::future::join_all(asked).await;
    let refused = replies.iter().filter(|reply| reply.status == 503).count();
    expect_that!(refused, eq(DURING - 1));
    expect_that!(engine.received().len(), eq(2));
}
