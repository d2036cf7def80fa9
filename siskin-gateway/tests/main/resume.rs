//! Streams that break: resumable ones are resumed at another endpoint without a gap or a repetition, others end with an
//! error.

use {
    crate::{
        endpoint::{Endpoint, Step, header_value},
        fixture::TestRouter,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
};

const COMPLETE: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ncontent-length: 37\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
);
const BROKEN: Step = Step::RespondAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ntransfer-encoding: chunked\r\n\r\n\
     14\r\nid: 1\ndata: a\n\nid: 2\r\n",
);
const REMAINDER: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\ncontent-length: 22\r\n\r\nid: 2\ndata: b\n\nid: 3\n\n",
);

struct Case {
    name: &'static str,
    resumable: bool,
    steps: &'static [Step],
    want_body: &'static str,
    /// Whether the response ends as complete.
    want_complete: bool,
    want_sends: usize,
}

const CASES: [Case; 4] = [
    Case {
        name: "complete",
        resumable: true,
        steps: &[COMPLETE],
        want_body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
        want_complete: true,
        want_sends: 1,
    },
    Case {
        name: "broken inside an event, resumable",
        resumable: true,
        steps: &[BROKEN, REMAINDER],
        want_body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
        want_complete: true,
        want_sends: 2,
    },
    Case {
        name: "broken, not resumable",
        resumable: false,
        steps: &[BROKEN, REMAINDER],
        want_body: "id: 1\ndata: a\n\nid: 2",
        want_complete: false,
        want_sends: 1,
    },
    Case {
        name: "broken twice",
        resumable: true,
        steps: &[BROKEN, Step::Close],
        want_body: "id: 1\ndata: a\n\n",
        want_complete: false,
        want_sends: 2,
    },
];

/// Guards against streams with a gap, a repetition, data of two responses mixed, or a truncation that looks complete.
#[googletest::test]
#[tokio::test]
async fn streams_end_complete_or_with_an_error() {
    for case in CASES {
        let endpoint = Endpoint::start(case.steps).await;
        let kind = Kind::Stream { resumable: case.resumable };
        let router = TestRouter::start(kind, &[endpoint.address; 2]).await;
        let reply = router.send_request("s1", "").await;
        expect_that!(reply.status, eq(200), "{}", case.name);
        expect_that!(reply.body, eq(case.want_body), "{}", case.name);
        expect_that!(reply.complete, eq(case.want_complete), "{}", case.name);
        expect_that!(header_value(&reply.head, "signed"), some(eq("a")), "{}", case.name);
        let received = endpoint.received();
        expect_that!(received.len(), eq(case.want_sends), "{}", case.name);
        if let Some(second) = received.get(1) {
            expect_that!(header_value(second, "last-event"), some(eq("1")), "{}", case.name);
        }
        router.stop().await;
    }
}
