//! Streams of a service whose endpoints run several software versions. A stream may go on only at the version that began it.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{Reply, TestRouter, catalog, endpoint, gateway, serve_lookups},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Account, Catalog, Kind, Service, Target},
        directory::{self, Directory},
        gateway::{Gateway, Source},
    },
    siskin_outcome::origin::{Batch, Group, Options, Register, Stream},
    siskin_types::id::Customer,
    std::{sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

const BROKEN: Step = Step::RespondAndClose(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ntransfer-encoding: chunked\r\n\r\n\
     14\r\nid: 1\ndata: a\n\nid: 2\r\n",
);
const REST: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: b\r\ncontent-length: 22\r\n\r\nid: 2\ndata: b\n\nid: 3\n\n",
);

/// Continuations sent in each case: the choice of an endpoint is partly random.
const CONTINUATIONS: usize = 6;

/// A listed endpoint of the service `app` with this software version.
fn listed(name: &str, at: &Endpoint, software: Option<&str>) -> directory::Endpoint {
    directory::Endpoint { software: software.map(Arc::from), ..endpoint(name, at.address) }
}

/// A configuration with resumable streams and the customers `a` and `b`, whose keys are their names.
fn two_customers() -> Catalog {
    let account = |(number, name): (u32, &str)| {
        (name.to_owned(), Account { id: Customer(number), name: name.to_owned() })
    };
    let accounts = [(1, "a"), (2, "b")].into_iter().map(account).collect();
    Catalog { accounts: Some(accounts), ..catalog(Kind::Stream { resumable: true }) }
}

struct Resumption {
    name: &'static str,
    software: [Option<&'static str>; 2],
    want_sends: usize,
}

const RESUMPTIONS: [Resumption; 4] = [
    Resumption { name: "one version", software: [Some("1"), Some("1")], want_sends: 2 },
    Resumption { name: "two versions", software: [Some("1"), Some("2")], want_sends: 1 },
    Resumption { name: "one not known", software: [Some("1"), None], want_sends: 1 },
    Resumption { name: "none known", software: [None, None], want_sends: 1 },
];

/// Guards against one response with events of two software versions, after the endpoint that began it broke off.
#[googletest::test]
#[tokio::test]
async fn streams_are_resumed_only_at_their_version() {
    for case in RESUMPTIONS {
        let first = Endpoint::start(&[BROKEN, REST]).await;
        let second = Endpoint::start(&[BROKEN, REST]).await;
        let gateway = gateway();
        gateway.origins(|register, _| register.set_notes_complete());
        let router = TestRouter::start_configured(Arc::clone(&gateway), two_customers(), &[]).await;
        let endpoints =
            vec![listed("e0", &first, case.software[0]), listed("e1", &second, case.software[1])];
        gateway.set_directory(Directory::new(2, endpoints), Source::Store);
        // Whichever endpoint begins, the other one is next. The first response of that one breaks as well.
        let reply = router.send_request("s1", "key: a\r\n").await;
        let sends = first.received().len() + second.received().len();
        expect_that!(reply.complete, eq(false), "{}", case.name);
        expect_that!(sends, eq(case.want_sends), "{}", case.name);
        router.stop().await;
    }
}

struct Continuation {
    name: &'static str,
    /// Versions of the endpoints that are listed.
    software: &'static [Option<&'static str>],
    /// Whether the last endpoint is leaving.
    last_leaves: bool,
    /// Whether what other routers recorded can be read.
    store: bool,
    headers: &'static str,
    want: u16,
    /// The endpoints that may get the requests.
    want_at: &'static [usize],
}

const CASE: Continuation = Continuation {
    name: "",
    software: &[Some("1"), Some("2")],
    last_leaves: false,
    store: true,
    headers: "key: a\r\norigin: s1\r\nlast-event: 1\r\n",
    want: 200,
    want_at: &[0],
};

/// The stream `s1` of customer `a` began at version 1, `s2` at version 2, `s3` at version 3, as another router recorded.
const CONTINUATIONS_BY_CALLERS: [Continuation; 14] = [
    Continuation { name: "first version", ..CASE },
    Continuation {
        name: "second version",
        headers: "key: a\r\norigin: s2\r\nlast-event: 1\r\n",
        want_at: &[1],
        ..CASE
    },
    Continuation {
        name: "version that serves no more",
        headers: "key: a\r\norigin: s3\r\nlast-event: 1\r\n",
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation {
        name: "version that is leaving",
        headers: "key: a\r\norigin: s2\r\nlast-event: 1\r\n",
        last_leaves: true,
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation {
        name: "no stream named",
        headers: "key: a\r\nlast-event: 1\r\n",
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation {
        name: "stream that nobody recorded",
        headers: "key: a\r\norigin: s0\r\nlast-event: 1\r\n",
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation {
        name: "stream of another customer",
        headers: "key: b\r\norigin: s1\r\nlast-event: 1\r\n",
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation {
        name: "stream named without an event",
        headers: "key: a\r\norigin: s1\r\n",
        ..CASE
    },
    Continuation {
        name: "endpoint whose version is not known",
        software: &[Some("1"), None],
        ..CASE
    },
    Continuation {
        name: "only endpoints whose version is not known",
        software: &[None, None],
        want: 503,
        want_at: &[],
        ..CASE
    },
    Continuation { name: "recorded, and the store cannot be read", store: false, ..CASE },
    Continuation {
        name: "not recorded, one version",
        software: &[Some("1"), Some("1")],
        headers: "key: a\r\norigin: s0\r\nlast-event: 1\r\n",
        want_at: &[0, 1],
        ..CASE
    },
    Continuation {
        name: "not named, one version",
        software: &[Some("1"), Some("1")],
        headers: "key: a\r\nlast-event: 1\r\n",
        want_at: &[0, 1],
        ..CASE
    },
    Continuation {
        name: "not recorded, one version, and the store cannot be read",
        software: &[Some("1"), Some("1")],
        store: false,
        headers: "key: a\r\norigin: s0\r\nlast-event: 1\r\n",
        want: 503,
        want_at: &[],
        ..CASE
    },
];

/// Guards against a stream that goes on at another software version than the one that began it, when its caller takes it up again
/// at a router that did not begin it.
#[googletest::test]
#[tokio::test]
async fn streams_taken_up_again_stay_at_their_version() {
    for case in CONTINUATIONS_BY_CALLERS {
        let mut endpoints = Vec::new();
        for _ in case.software {
            endpoints.push(Endpoint::start(&[REST]).await);
        }
        let (gateway, router) = start(&case, &endpoints).await;
        let recorded = |request: &str, version: &str| Group {
            version: version.to_owned(),
            streams: vec![Stream::new("a", request)],
        };
        let groups = vec![recorded("s1", "1"), recorded("s2", "2"), recorded("s3", "3")];
        gateway.origins(|register, now| register.learn(now, &Batch { groups }));
        for number in 0..CONTINUATIONS {
            let reply = router.send_request(&format!("t{number}"), case.headers).await;
            expect_that!(reply.status, eq(case.want), "{}", case.name);
        }
        for (index, endpoint) in endpoints.iter().enumerate() {
            let may_receive = case.want_at.contains(&index);
            let received = endpoint.received().len();
            expect_that!(
                received,
                le(if may_receive { CONTINUATIONS } else { 0 }),
                "{}",
                case.name
            );
        }
        router.stop().await;
    }
}

/// Starts a router for a case.
async fn start(case: &Continuation, endpoints: &[Endpoint]) -> (Arc<Gateway>, TestRouter) {
    let gateway = gateway();
    gateway.origins(|register, _| register.set_notes_complete());
    if case.store {
        serve_lookups(&gateway);
    }
    let router = TestRouter::start_configured(Arc::clone(&gateway), two_customers(), &[]).await;
    let list = endpoints.iter().zip(case.software).enumerate().map(|(index, (at, software))| {
        let leaving = case.last_leaves && index + 1 == endpoints.len();
        directory::Endpoint { leaving, ..listed(&format!("e{index}"), at, *software) }
    });
    gateway.set_directory(Directory::new(2, list.collect()), Source::Store);
    (gateway, router)
}

/// Guards against a chain of continuations that leaves the version which began the stream: the caller may name the first request or
/// one that went on with it.
#[googletest::test]
#[tokio::test]
async fn chains_of_continuations_stay_at_their_version() {
    let (old, new) = (Endpoint::start(&[REST]).await, Endpoint::start(&[REST]).await);
    let endpoints = [old, new];
    let (gateway, router) = start(&CASE, &endpoints).await;
    let group = Group { version: "1".to_owned(), streams: vec![Stream::new("a", "s1")] };
    gateway.origins(|register, now| register.learn(now, &Batch { groups: vec![group] }));
    for (request, origin) in [("t1", "s1"), ("t2", "s1"), ("t3", "t2"), ("t4", "t3"), ("t5", "s1")]
    {
        let headers = format!("key: a\r\norigin: {origin}\r\nlast-event: 1\r\n");
        let reply: Reply = router.send_request(request, &headers).await;
        expect_that!(reply.status, eq(200), "{request}");
    }
    expect_that!(endpoints[0].received().len(), eq(5));
    expect_that!(endpoints[1].received().len(), eq(0));
    router.stop().await;
}

/// Guards against a continuation that reaches another service than its stream, as requests are divided among the services of a
/// route by their identifiers.
#[googletest::test]
#[tokio::test]
async fn continuations_reach_the_service_of_their_stream() {
    let (first, second) = (Endpoint::start(&[REST]).await, Endpoint::start(&[REST]).await);
    let mut catalog = two_customers();
    catalog.routes[0].targets.push(Target { service: "other".to_owned(), weight: 1 });
    let service = Service { max_connections: 100, memory_tokens: None, warm_up: None };
    catalog.services.insert("other".to_owned(), service);
    let gateway = gateway();
    gateway.origins(|register, _| register.set_notes_complete());
    serve_lookups(&gateway);
    let router = TestRouter::start_configured(Arc::clone(&gateway), catalog, &[]).await;
    let other =
        directory::Endpoint { service: "other".to_owned(), ..listed("e1", &second, Some("1")) };
    let list = vec![listed("e0", &first, Some("1")), other];
    gateway.set_directory(Directory::new(2, list), Source::Store);
    router.send_request("s1", "key: a\r\n").await;
    let began_at_first = first.received().len() == 1;
    for number in 0..2 * CONTINUATIONS {
        let headers = "key: a\r\norigin: s1\r\nlast-event: 1\r\n";
        router.send_request(&format!("t{number}"), headers).await;
    }
    let strayed = if began_at_first { second } else { first };
    expect_that!(strayed.received().len(), eq(0));
    router.stop().await;
}

/// The head and the first event of a response whose connection is closed after it.
const FIRST_EVENT: &[u8] =
    b"HTTP/1.1 200 OK\r\nid: s1\r\nsigned: a\r\ncontent-length: 30\r\n\r\nid: 1\ndata: a\n\n";

/// Serves the stream `s1` up to its first event, and ends the connection of the next request when another version is listed.
async fn serve_until_release(listener: TcpListener, gateway: Arc<Gateway>, released: Directory) {
    let mut buffer = [0; 4096];
    let (mut first, _) = listener.accept().await.unwrap();
    let _ = first.read(&mut buffer).await;
    first.write_all(FIRST_EVENT).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    drop(first);
    let (mut second, _) = listener.accept().await.unwrap();
    let _ = second.read(&mut buffer).await;
    gateway.set_directory(released, Source::Store);
}

/// Guards against a continuation that goes on at another version on a retry, as that version came after its own was looked up.
#[googletest::test]
#[tokio::test]
async fn retries_of_continuations_stay_at_their_version() {
    for is_known in [true, false] {
        let newer = Endpoint::start(&[REST]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let old = endpoint("e0", listener.local_addr().unwrap());
        let gateway = gateway();
        gateway.origins(|register, _| register.set_notes_complete());
        serve_lookups(&gateway);
        let router = TestRouter::start_configured(Arc::clone(&gateway), two_customers(), &[]).await;
        gateway.set_directory(Directory::new(2, vec![old.clone()]), Source::Store);
        let released = Directory::new(3, vec![old, listed("e1", &newer, Some("2"))]);
        tokio::spawn(serve_until_release(listener, Arc::clone(&gateway), released));
        let begun = router.send_request("s1", "key: a\r\n").await;
        expect_that!((begun.status, begun.complete), eq((200, false)), "known: {is_known}");
        if !is_known {
            // As at another router, which has no record of the stream while one version serves.
            gateway.origins(|register, now| {
                *register = Register::new(Options::default());
                register.set_notes_complete();
                register.set_listed(now, [("app", Some("1"))]);
            });
        }
        router.send_request("t1", "key: a\r\norigin: s1\r\nlast-event: 1\r\n").await;
        expect_that!(newer.received().len(), eq(0), "known: {is_known}");
        router.stop().await;
    }
}
