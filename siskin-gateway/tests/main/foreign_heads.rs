//! Streams that break and whose next endpoint answers with something other than the rest of the stream.

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

const RESUMED: [Resumed; 7] = [
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
