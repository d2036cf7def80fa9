//! Bodies of endpoints that are expensive to examine. Guards against a process that serves nobody else meanwhile.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::TestRouter,
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::Kind,
        events::{EVENT_BYTES_MAX, Splitter},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep_until},
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

/// Longest time to a final answer: the route's timeout, and half a second.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(600 + 500);

/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

/// Requests that are sent while the wrong bytes are examined.
const REQUESTS: usize = 10;

struct Case {
    name: &'static str,
    kind: Kind,
    head: &'static str,
    /// Repeated to [`BODY_BYTES`].
    repeated: &'static str,
}

const BODY_BYTES: usize = 1_000_000;

const CASES: [Case; 3] = [
    Case {
        name: "beginnings of status lines",
        kind: Kind::Idempotent,
        head: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n\r\n",
        repeated: "HTTP/1.1 200 OK ",
    },
    Case {
        name: "status lines",
        kind: Kind::Idempotent,
        head: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n\r\n",
        repeated: "HTTP/1.1 200 OK\r\n",
    },
    Case {
        name: "headers that quote status lines",
        kind: Kind::Idempotent,
        head: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n\r\nHTTP/1.1 200 OK\r\n",
        repeated: "a: HTTP/1.1 200 OK\r\n",
    },
];

/// Guards against a search whose time grows faster than the body: other requests were not answered in time, nor at all.
#[googletest::test]
#[tokio::test]
async fn wrong_bytes_for_one_request_delay_no_other_one() {
    for case in CASES {
        let repeated = case.repeated.repeat(BODY_BYTES / case.repeated.len());
        let wrong = Step::RespondAndClose(format!("{}{repeated}", case.head).leak());
        let endpoint = Endpoint::start(&[wrong, OK_RESPONSE]).await;
        let router = TestRouter::start(case.kind, &[endpoint.address]).await;
        let requests = async {
            for number in 0..REQUESTS {
                // Counted from when the request is due: a blocked process also delays this timer.
                let due = Instant::now() + INTERVAL;
                sleep_until(due).await;
                let reply = router.send_request(&format!("sound-{number}"), "").await;
                // On a loaded machine some are refused as overloaded, which is a final answer too.
                let is_final = reply.status == 200 || reply.body.contains("overloaded");
                expect_that!(is_final, eq(true), "{}: request {number}: {reply:?}", case.name);
                expect_that!(due.elapsed(), lt(ANSWER_TIME_MAX), "{}: request {number}", case.name);
            }
        };
        let (reply, ()) = tokio::join!(router.send_request("wrong", ""), requests);
        expect_that!(reply.complete, eq(true), "{}", case.name);
        router.stop().await;
    }
}

/// Guards against a line of a stream that is searched from its beginning again with each of its bytes.
#[googletest::test]
fn a_line_in_single_bytes_takes_no_time() {
    let mut splitter = Splitter::default();
    let started = Instant::now();
    for _ in 0..EVENT_BYTES_MAX {
        expect_that!(splitter.push(b"a"), ok(is_empty()));
        expect_that!(splitter.is_at_other_response(), eq(false));
    }
    expect_that!(started.elapsed(), lt(Duration::from_millis(500)));
}

/// Guards against a status line that is missed because it arrives in pieces.
#[googletest::test]
fn status_lines_in_pieces_are_recognised() {
    struct Case {
        name: &'static str,
        text: &'static str,
        want: bool,
    }
    let cases = [
        Case { name: "at the start", text: "HTTP/1.1 200 OK\r\n", want: true },
        Case {
            name: "after the beginning of a field",
            text: "dataHTTP/1.1 200 OK\r\n",
            want: true,
        },
        Case { name: "in the value of a field", text: "data: HTTP/1.1 200 OK\r\n", want: false },
        Case { name: "in a later line", text: "data\r\nHTTP/1.1 200 OK\r\n", want: false },
        Case { name: "after an event", text: "id: 1\n\nHTTP/1.1", want: true },
    ];
    for case in cases {
        for length in 1..=case.text.len() {
            let mut splitter = Splitter::default();
            for piece in case.text.as_bytes().chunks(length) {
                splitter.push(piece).unwrap();
            }
            let found = splitter.is_at_other_response();
            expect_that!(found, eq(case.want), "{} in pieces of {length}", case.name);
        }
    }
}
