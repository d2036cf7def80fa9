//! Streams that break: resumable ones go on at another endpoint without a gap or a repetition, others end as broken.

use {
    crate::{
        endpoint::{Endpoint, Step, field},
        fixture::Site,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
};

const WHOLE: Step = Step::Answer(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ncontent-length: 37\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
);
const BROKEN: Step = Step::AnswerAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ntransfer-encoding: chunked\r\n\r\n\
     14\r\nid: 1\ndata: a\n\nid: 2\r\n",
);
const REST: Step = Step::Answer(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\ncontent-length: 22\r\n\r\nid: 2\ndata: b\n\nid: 3\n\n",
);

struct Case {
    name: &'static str,
    resumable: bool,
    steps: &'static [Step],
    want_body: &'static str,
    /// Whether the answer ends as complete.
    want_complete: bool,
    want_sends: usize,
}

const CASES: [Case; 4] = [
    Case {
        name: "whole",
        resumable: true,
        steps: &[WHOLE],
        want_body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
        want_complete: true,
        want_sends: 1,
    },
    Case {
        name: "broken inside an event, resumable",
        resumable: true,
        steps: &[BROKEN, REST],
        want_body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n",
        want_complete: true,
        want_sends: 2,
    },
    Case {
        name: "broken, not resumable",
        resumable: false,
        steps: &[BROKEN, REST],
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

/// Guards against streams with a gap, a repetition, pieces of two runs, or an end that looks complete and is not.
#[googletest::test]
#[tokio::test]
async fn streams_end_whole_or_visibly_broken() {
    for case in CASES {
        let endpoint = Endpoint::start(case.steps).await;
        let kind = Kind::Stream { resumable: case.resumable };
        let site = Site::start(kind, &[endpoint.address; 2]).await;
        let answer = site.ask("s1", "").await;
        expect_that!(answer.status, eq(200), "{}", case.name);
        expect_that!(answer.body, eq(case.want_body), "{}", case.name);
        expect_that!(answer.complete, eq(case.want_complete), "{}", case.name);
        expect_that!(field(&answer.head, "signed"), some(eq("a")), "{}", case.name);
        let received = endpoint.received();
        expect_that!(received.len(), eq(case.want_sends), "{}", case.name);
        if let Some(second) = received.get(1) {
            expect_that!(field(second, "last-event"), some(eq("1")), "{}", case.name);
        }
        site.stop().await;
    }
}
