//! Endpoints in trouble that send a response with an invalid status. Guards against a caller that gets it as a response, or is told
//! that the request has not run.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::TestRouter,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

const RESPONSES: [Step; 6] = [
    Step::Respond("HTTP/1.1 000 \r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok"),
    Step::Respond("HTTP/1.1 099 No\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok"),
    Step::Respond("HTTP/1.1 101 No\r\nid: {id}\r\nsigned: s\r\n\r\n"),
    Step::Respond("HTTP/1.1 600 No\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok"),
    Step::Respond("HTTP/1.1 999 No\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok"),
    Step::Respond("HTTP/1.1 999 No\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"),
];

#[googletest::test]
#[tokio::test]
async fn response_with_an_invalid_status_is_a_broken_attempt() {
    for response in RESPONSES {
        for kind in [Kind::AtMostOnce, Kind::Idempotent, Kind::Stream { resumable: false }] {
            let engine = Endpoint::start(&[OK_RESPONSE, response.clone()]).await;
            let router = TestRouter::start(kind, &[engine.address]).await;
            expect_that!(router.send_request("before", "").await.status, eq(200));
            let kept = router.send_request("kept connection", "").await;
            let new = router.send_request("new connection", "").await;
            expect_that!([kept.status, new.status], eq([502, 502]), "{kind:?}: {response:?}");
            expect_that!(engine.received().len(), eq(3), "{kind:?}: {response:?}");
        }
    }
}
