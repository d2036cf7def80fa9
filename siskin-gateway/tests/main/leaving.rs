//! Endpoints that say in an answer that they leave. Guards against new requests there, whatever else is told of them.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{Site, catalog, endpoint, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::Kind,
        directory::Directory,
        gateway::{Gateway, Source},
    },
    std::sync::Arc,
};

const DONE: Step =
    Step::Answer("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

/// Requests after the endpoint has said that it leaves.
const LATER: usize = 8;

/// An endpoint alone, and then beside another one that the list gains.
struct Pair {
    gateway: Arc<Gateway>,
    site: Site,
    leaving: Endpoint,
    other: Endpoint,
}

impl Pair {
    async fn start(kind: Kind, steps: &[Step], other: &[Step]) -> Self {
        let leaving = Endpoint::start(steps).await;
        let other = Endpoint::start(other).await;
        let gateway = gateway();
        let site =
            Site::start_configured(Arc::clone(&gateway), catalog(kind), &[leaving.address]).await;
        Self { gateway, site, leaving, other }
    }

    /// The list, which still has the first endpoint as ready, under the name of one of its starts.
    fn list(&self, revision: u64, first: &str, source: Source) {
        let endpoints =
            vec![endpoint(first, self.leaving.address), endpoint("other", self.other.address)];
        self.gateway.set_directory(Directory::new(revision, endpoints), source);
    }

    async fn ask(&self, count: usize) {
        for request in 0..count {
            self.site.ask(&format!("later{request}"), "").await;
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
        name: "in a success",
        kind: Kind::Idempotent,
        first: Step::Answer(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok",
        ),
        want_status: 200,
    },
    Case {
        name: "in the head of a stream",
        kind: Kind::Stream { resumable: false },
        first: Step::Answer(
            "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\n\
             content-type: text/event-stream\r\ncontent-length: 16\r\n\r\nid: 1\ndata: ab\n\n",
        ),
        want_status: 200,
    },
    Case {
        name: "in a failure",
        kind: Kind::Once,
        first: Step::Answer(
            "HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nno",
        ),
        want_status: 500,
    },
    Case {
        name: "in a rejection",
        kind: Kind::Once,
        first: Step::Answer(
            "HTTP/1.1 404 Unknown\r\nid: {id}\r\nsigned: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nno",
        ),
        want_status: 404,
    },
    Case {
        name: "in a refusal",
        kind: Kind::Once,
        first: Step::Answer(
            "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n",
        ),
        want_status: 503,
    },
];

#[googletest::test]
#[tokio::test]
async fn nothing_new_is_sent_to_an_endpoint_that_leaves() {
    for case in CASES {
        let pair = Pair::start(case.kind, &[case.first, DONE], &[DONE]).await;
        let reply = pair.site.ask("first", "").await;
        expect_that!(reply.status, eq(case.want_status), "{}", case.name);
        expect_that!(reply.complete, eq(true), "{}", case.name);
        expect_that!(reply.head, not(contains_substring("leaving")), "{}", case.name);
        pair.list(2, "e0", Source::Store);
        pair.ask(LATER).await;
        expect_that!(pair.leaving.received().len(), eq(1), "{}", case.name);
        expect_that!(pair.other.received().len(), eq(LATER), "{}", case.name);
    }
}

struct Told {
    name: &'static str,
    /// Lists that come afterwards: the first endpoint's name and the source.
    lists: &'static [(&'static str, Source)],
}

const TOLD: [Told; 3] = [
    Told { name: "the store says ready", lists: &[("e0", Source::Store)] },
    Told { name: "a peer says ready", lists: &[("e0", Source::Peer)] },
    Told {
        name: "its entry is lost and comes back",
        lists: &[("gone", Source::Store), ("e0", Source::Store)],
    },
];

/// Guards against a notice that is forgotten.
#[googletest::test]
#[tokio::test]
async fn notice_is_not_taken_back() {
    for told in TOLD {
        let first = CASES[0].first.clone();
        let pair = Pair::start(Kind::Idempotent, &[first, DONE], &[DONE]).await;
        pair.site.ask("first", "").await;
        for (index, (name, source)) in told.lists.iter().enumerate() {
            pair.list(index as u64 + 2, name, *source);
        }
        pair.ask(LATER).await;
        expect_that!(pair.leaving.received().len(), eq(1), "{}", told.name);
    }
}

/// Guards against a notice that outlives the start of the endpoint that gave it.
#[googletest::test]
#[tokio::test]
async fn another_start_is_used() {
    let first = CASES[0].first.clone();
    let pair = Pair::start(Kind::Idempotent, &[first, DONE], &[DONE]).await;
    pair.site.ask("first", "").await;
    let again = endpoint("e0-again", pair.leaving.address);
    pair.gateway.set_directory(Directory::new(2, vec![again]), Source::Store);
    let reply = pair.site.ask("second", "").await;
    expect_that!(reply.status, eq(200));
    expect_that!(pair.leaving.received().len(), eq(2));
}

/// Guards against resuming a stream at an endpoint that has said that it leaves.
#[googletest::test]
#[tokio::test]
async fn stream_is_not_resumed_at_an_endpoint_that_leaves() {
    let broken = Step::AnswerAndClose(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n",
    );
    let kind = Kind::Stream { resumable: true };
    let pair = Pair::start(kind, &[CASES[1].first.clone(), DONE], &[broken]).await;
    pair.site.ask("first", "").await;
    pair.list(2, "e0", Source::Store);
    let reply = pair.site.ask("second", "").await;
    expect_that!(reply.complete, eq(false));
    expect_that!(pair.leaving.received().len(), eq(1));
    expect_that!(pair.other.received().len(), eq(1));
}
