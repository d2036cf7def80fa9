//! Endpoints that state in a response that they are leaving. Guards against sending them new requests, whatever later lists
//! of endpoints say.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{TestRouter, catalog, endpoint, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::Kind,
        directory::Directory,
        gateway::{Gateway, Source},
    },
    std::sync::Arc,
};

const OK_RESPONSE: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

/// Requests after the endpoint has stated that it is leaving.
const LATER_REQUESTS: usize = 8;

/// A gateway with an endpoint that will leave, and another one that is added to the list later.
struct Pair {
    gateway: Arc<Gateway>,
    router: TestRouter,
    leaving: Endpoint,
    other: Endpoint,
}

impl Pair {
    async fn start(kind: Kind, steps: &[Step], other: &[Step]) -> Self {
        let leaving = Endpoint::start(steps).await;
        let other = Endpoint::start(other).await;
        let gateway = gateway();
        let router =
            TestRouter::start_configured(Arc::clone(&gateway), catalog(kind), &[leaving.address])
                .await;
        Self { gateway, router, leaving, other }
    }

    /// Sets a list with both endpoints as ready, the first one with this instance name.
    fn set_list(&self, revision: u64, first: &str, source: Source) {
        let endpoints =
            vec![endpoint(first, self.leaving.address), endpoint("other", self.other.address)];
        self.gateway.set_directory(Directory::new(revision, endpoints), source);
    }

    async fn send_later_requests(&self, count: usize) {
        for request in 0..count {
            self.router.send_request(&format!("later{request}"), "").await;
        }
    }
}

struct Case {
    name: &'static str,
    kind: Kind,
    first: Step,
    want_status: u16,
}

const CASES: [Case; 5] = [
    Case {
        name: "in a success response",
        kind: Kind::Idempotent,
        first: Step::Respond(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok",
        ),
        want_status: 200,
    },
    Case {
        name: "in the head of a stream",
        kind: Kind::Stream { resumable: false },
        first: Step::Respond(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\n\
             content-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
        ),
        want_status: 200,
    },
    Case {
        name: "in a server error",
        kind: Kind::AtMostOnce,
        first: Step::Respond(
            "HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nno",
        ),
        want_status: 500,
    },
    Case {
        name: "in a client error",
        kind: Kind::AtMostOnce,
        first: Step::Respond(
            "HTTP/1.1 404 Unknown\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nno",
        ),
        want_status: 404,
    },
    Case {
        name: "in a refusal (not run)",
        kind: Kind::AtMostOnce,
        first: Step::Respond(
            "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n",
        ),
        want_status: 503,
    },
];

#[googletest::test]
#[tokio::test]
async fn leaving_endpoint_gets_no_new_requests() {
    for case in CASES {
        let pair = Pair::start(case.kind, &[case.first, OK_RESPONSE], &[OK_RESPONSE]).await;
        let reply = pair.router.send_request("first", "").await;
        expect_that!(reply.status, eq(case.want_status), "{}", case.name);
        expect_that!(reply.complete, eq(true), "{}", case.name);
        expect_that!(reply.head, not(contains_substring("leaving")), "{}", case.name);
        pair.set_list(2, "e0", Source::Store);
        pair.send_later_requests(LATER_REQUESTS).await;
        expect_that!(pair.leaving.received().len(), eq(1), "{}", case.name);
        expect_that!(pair.other.received().len(), eq(LATER_REQUESTS), "{}", case.name);
    }
}

struct LaterLists {
    name: &'static str,
    /// Lists that are set afterwards: the instance name of the first endpoint, and the source.
    lists: &'static [(&'static str, Source)],
}

const LATER_LISTS: [LaterLists; 3] = [
    LaterLists { name: "the store lists it as ready", lists: &[("e0", Source::Store)] },
    LaterLists { name: "a peer lists it as ready", lists: &[("e0", Source::Peer)] },
    LaterLists {
        name: "its entry is removed and added again",
        lists: &[("gone", Source::Store), ("e0", Source::Store)],
    },
];

/// Guards against new requests to a leaving endpoint because a later list has it as ready.
#[googletest::test]
#[tokio::test]
async fn leaving_notice_is_not_overridden_by_later_lists() {
    for case in LATER_LISTS {
        let first = CASES[0].first.clone();
        let pair = Pair::start(Kind::Idempotent, &[first, OK_RESPONSE], &[OK_RESPONSE]).await;
        pair.router.send_request("first", "").await;
        for (index, (name, source)) in case.lists.iter().enumerate() {
            pair.set_list(index as u64 + 2, name, *source);
        }
        pair.send_later_requests(LATER_REQUESTS).await;
        expect_that!(pair.leaving.received().len(), eq(1), "{}", case.name);
    }
}

/// Guards against applying the notice of an endpoint to a restarted instance at the same address.
#[googletest::test]
#[tokio::test]
async fn restarted_endpoint_is_used() {
    let first = CASES[0].first.clone();
    let pair = Pair::start(Kind::Idempotent, &[first, OK_RESPONSE], &[OK_RESPONSE]).await;
    pair.router.send_request("first", "").await;
    let restarted = endpoint("e0-again", pair.leaving.address);
    pair.gateway.set_directory(Directory::new(2, vec![restarted]), Source::Store);
    let reply = pair.router.send_request("second", "").await;
    expect_that!(reply.status, eq(200));
    expect_that!(pair.leaving.received().len(), eq(2));
}

/// Guards against resuming a stream at an endpoint that has stated that it is leaving.
#[googletest::test]
#[tokio::test]
async fn stream_is_not_resumed_at_a_leaving_endpoint() {
    let broken = Step::RespondAndClose(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n",
    );
    let kind = Kind::Stream { resumable: true };
    let pair = Pair::start(kind, &[CASES[1].first.clone(), OK_RESPONSE], &[broken]).await;
    pair.router.send_request("first", "").await;
    pair.set_list(2, "e0", Source::Store);
    let reply = pair.router.send_request("second", "").await;
    expect_that!(reply.complete, eq(false));
    expect_that!(pair.leaving.received().len(), eq(1));
    expect_that!(pair.other.received().len(), eq(1));
}
