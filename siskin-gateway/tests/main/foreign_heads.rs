//! Streams that break and whose next endpoint answers with something other than the rest of the stream, and responses with the
//! head of another response in the middle.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::TestRouter,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
};

/// A stream that breaks inside its second event.
const BROKEN: Step = Step::RespondAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ntransfer-encoding: chunked\r\n\r\n\
     14\r\nid: 1\ndata: a\n\nid: 2\r\n",
);

/// The event of that stream that is complete.
const FIRST_EVENT: &str = "id: 1\ndata: a\n\n";

struct Resumed {
    name: &'static str,
    /// Response of the endpoint at which the stream is resumed.
    response: &'static str,
}

const RESUMED: [Resumed; 8] = [
    Resumed {
        name: "signed error",
        response: "HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: b\r\ncontent-length: 7\r\n\r\nerror\n\n",
    },
    Resumed {
        name: "error that looks like an event",
        response: "HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: b\r\ncontent-length: 15\r\n\r\nid: 2\ndata: b\n\n",
    },
    Resumed {
        name: "refusal",
        response: "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    },
    Resumed {
        name: "not signed",
        response: "HTTP/1.1 200 OK\r\nid: {id}\r\ncontent-length: 15\r\n\r\nid: 2\ndata: b\n\n",
    },
    Resumed {
        name: "another request's",
        response: "HTTP/1.1 200 OK\r\nid: other\r\nsigned: b\r\ncontent-length: 15\r\n\r\nid: 2\ndata: b\n\n",
    },
    Resumed {
        name: "encoded",
        response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\ncontent-encoding: gzip\r\n\
                   content-length: 15\r\n\r\nid: 2\ndata: b\n\n",
    },
    Resumed {
        name: "not a stream of events",
        response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\ncontent-type: application/json\r\n\
                   content-length: 13\r\n\r\n{\"error\": 1}\n",
    },
    Resumed {
        name: "an error's head in the stream",
        response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\n\r\n\
                   HTTP/1.1 500 Error\r\nid: {id}\r\n\r\nerror\n\n",
    },
];

/// Guards against an error's text or head in the middle of a stream, and against a stream that ends there as if it were complete.
#[googletest::test]
#[tokio::test]
async fn only_the_rest_of_a_stream_follows_its_beginning() {
    for case in RESUMED {
        let endpoint = Endpoint::start(&[BROKEN, Step::RespondAndClose(case.response)]).await;
        let kind = Kind::Stream { resumable: true };
        let router = TestRouter::start(kind, &[endpoint.address; 2]).await;
        let reply = router.send_request("s1", "").await;
        expect_that!(endpoint.received().len(), eq(2), "{}: sends", case.name);
        expect_that!(reply.body, eq(FIRST_EVENT), "{}", case.name);
        expect_that!(reply.complete, eq(false), "{}", case.name);
        router.stop().await;
    }
}

/// Guards against a second response that is taken for the rest of a body without a length, which ends with its connection.
#[googletest::test]
#[tokio::test]
async fn a_second_response_is_no_part_of_a_body_without_length() {
    struct Case {
        name: &'static str,
        kind: Kind,
        response: &'static str,
        want_status: u16,
        want_body: &'static str,
        want_complete: bool,
    }
    let stream = Kind::Stream { resumable: false };
    let cases = [
        Case {
            name: "body without length",
            kind: Kind::AtMostOnce,
            response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\n\r\nwhole",
            want_status: 200,
            want_body: "whole",
            want_complete: true,
        },
        Case {
            name: "body without length that quotes a head",
            kind: Kind::AtMostOnce,
            response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n\r\n",
            want_status: 200,
            want_body: "HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
            want_complete: true,
        },
        Case {
            name: "second response after a body without length",
            kind: Kind::AtMostOnce,
            response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\n\r\nwhole\
                       HTTP/1.1 200 OK\r\nid: other\r\nsigned: a\r\ncontent-length: 1\r\n\r\nx",
            want_status: 502,
            want_body: "the endpoint broke off; the request may have run\n",
            want_complete: true,
        },
        Case {
            name: "events without length",
            kind: stream,
            response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ncontent-type: text/event-stream\r\n\r\n\
                       id: 1\ndata: a\n\n",
            want_status: 200,
            want_body: FIRST_EVENT,
            want_complete: true,
        },
        Case {
            name: "second response after events without length",
            kind: stream,
            response: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ncontent-type: text/event-stream\r\n\r\n\
                       id: 1\ndata: a\n\nHTTP/1.1 500 Error\r\nid: other\r\n\r\nerror\n\n",
            want_status: 200,
            want_body: FIRST_EVENT,
            want_complete: false,
        },
    ];
    for case in cases {
        let endpoint = Endpoint::start(&[Step::RespondAndClose(case.response)]).await;
        let router = TestRouter::start(case.kind, &[endpoint.address]).await;
        let reply = router.send_request("s1", "").await;
        expect_that!(reply.status, eq(case.want_status), "{}", case.name);
        expect_that!(reply.body, eq(case.want_body), "{}", case.name);
        expect_that!(reply.complete, eq(case.want_complete), "{}", case.name);
        router.stop().await;
    }
}
