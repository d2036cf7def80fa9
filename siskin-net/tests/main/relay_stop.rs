//! Stops of a router that relays connections to another one. Guards against requests that are passed on and cut off without an
//! answer when the process ends.

use {
    super::{relay::read_to_end, stop::LIMITS},
    bytes::Bytes,
    googletest::prelude::*,
    http_body_util::{BodyExt, Full, StreamBody},
    hyper::{
        Request, Response,
        body::{Frame, Incoming},
    },
    siskin_net::{
        relay::Terms,
        server::{self, Open, Placement, Placing},
    },
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Time for the servers' tasks to process what was sent or changed.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time from the stop to the end of the process.
const FINISH: Duration = Duration::from_millis(1_500);

/// Time after the stop at which idle connections are still open.
const SOON: Duration = Duration::from_millis(100);

/// Time after the stop at which idle connections are closed.
const LATE: Duration = Duration::from_millis(800);

/// Time in which relayed requests have to be answered; longer than a stop.
const TIME_ALLOWED: Duration = Duration::from_secs(15);

const HEAD_START: &str = "POST /a HTTP/1.1\r\nHost: h\r\n";
const HEAD_END: &str = "Content-Length: 5\r\n\r\n";
const BODY_START: &str = "he";
const BODY_END: &str = "llo";

/// A router: where it listens, how often its handler ran, and the sender of its stop.
struct Router {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    stop: watch::Sender<bool>,
}

impl Router {
    /// Starts a router whose handler answers after `work`, with `events` events at that interval after the first.
    async fn start(placement: Placement, work: Duration, events: usize) -> Self {
        Self::start_with(placement, work, events, true).await
    }

    /// Starts a router that is there until its requests have to be answered, or not.
    async fn start_with(
        placement: Placement,
        work: Duration,
        events: usize,
        in_time: bool,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let runs = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&runs);
        let handle = move |request| answer(request, Arc::clone(&counted), work, events);
        tokio::spawn(async move {
            let placing = Placing {
                place: move |_| placement,
                terms: move |_: Request<()>| {
                    Some(Terms { id: String::new(), allowed: TIME_ALLOWED, in_time })
                },
            };
            let open = Open::default();
            server::run_with_placement(listener, || LIMITS, handle, stopped, FINISH, &open, placing)
                .await
        });
        Self { address, runs, stop }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::Relaxed)
    }
}

/// Answers a request that was received completely.
async fn answer(
    request: Request<Incoming>,
    runs: Arc<AtomicUsize>,
    work: Duration,
    events: usize,
) -> Response<http_body_util::combinators::UnsyncBoxBody<Bytes, Infallible>> {
    if request.into_body().collect().await.is_err() {
        return Response::new(Full::default().boxed_unsync());
    }
    runs.fetch_add(1, Ordering::Relaxed);
    sleep(work).await;
    let parts = futures_util::stream::unfold(0, move |sent| async move {
        if sent > events {
            return None;
        }
        if sent > 0 {
            sleep(work).await;
        }
        Some((Ok(Frame::data(Bytes::from_static(b"event\n"))), sent + 1))
    });
    Response::new(StreamBody::new(parts).boxed_unsync())
}

struct Case {
    name: &'static str,
    /// Sent before the stop.
    before: &'static [&'static str],
    /// Sent after the stop.
    after: &'static [&'static str],
    delay: Duration,
    work: Duration,
    events: usize,
    /// Status of the answer; empty if the connection is closed without one.
    want_status: &'static str,
    /// Whether the body ends with its last chunk or with its stated length.
    want_complete: bool,
    /// Requests that the other router runs.
    want_runs: usize,
}

const BASE: Case = Case {
    name: "",
    before: &[HEAD_START, HEAD_END, BODY_START, BODY_END],
    after: &[],
    delay: Duration::ZERO,
    work: Duration::from_millis(200),
    events: 0,
    want_status: "200",
    want_complete: true,
    want_runs: 1,
};

const ALL: &[&str] = &[HEAD_START, HEAD_END, BODY_START, BODY_END];

const CASES: [Case; 11] = [
    Case {
        name: "nothing read, request soon after",
        before: &[],
        after: ALL,
        delay: SOON,
        want_runs: 0,
        ..BASE
    },
    Case {
        name: "nothing read, request late",
        before: &[],
        after: ALL,
        delay: LATE,
        want_status: "",
        want_complete: false,
        want_runs: 0,
        ..BASE
    },
    Case {
        name: "part of a head, rest soon after",
        before: &[HEAD_START],
        after: &[HEAD_END, BODY_START, BODY_END],
        delay: SOON,
        want_runs: 0,
        ..BASE
    },
    Case {
        name: "part of a head, rest late",
        before: &[HEAD_START],
        after: &[HEAD_END, BODY_START, BODY_END],
        delay: LATE,
        want_runs: 0,
        ..BASE
    },
    Case {
        name: "part of an upload, rest soon after",
        before: &[HEAD_START, HEAD_END, BODY_START],
        after: &[BODY_END],
        delay: SOON,
        ..BASE
    },
    Case {
        name: "part of an upload, rest late",
        before: &[HEAD_START, HEAD_END, BODY_START],
        after: &[BODY_END],
        delay: LATE,
        want_status: "503",
        want_runs: 0,
        ..BASE
    },
    Case { name: "passed on, answered in time", ..BASE },
    Case {
        name: "passed on, answered too late",
        work: Duration::from_secs(3),
        want_status: "502",
        ..BASE
    },
    Case { name: "stream that ends in time", work: Duration::from_millis(100), events: 5, ..BASE },
    Case {
        name: "stream that ends too late",
        work: Duration::from_millis(100),
        events: 50,
        want_complete: false,
        ..BASE
    },
    Case {
        name: "pipelined behind the first",
        before: &[HEAD_START, HEAD_END, BODY_START, BODY_END, HEAD_START, HEAD_END, BODY_START],
        after: &[BODY_END],
        delay: SOON,
        ..BASE
    },
];

/// Guards against requests on relayed connections that are cut off without an answer by a planned stop.
#[googletest::test]
#[tokio::test]
async fn stop_of_a_relaying_router_cuts_no_request() {
    let cases = CASES.iter().map(|case| async move { play(case).await });
    futures_util::future::join_all(cases).await;
}

async fn play(case: &Case) {
    let target = Router::start(Placement::Once, case.work, case.events).await;
    let relay = Router::start(Placement::Relay(target.address), case.work, case.events).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    caller.set_nodelay(true).unwrap();
    for part in case.before {
        caller.write_all(part.as_bytes()).await.unwrap();
        sleep(SETTLE_TIME / 4).await;
    }
    sleep(SETTLE_TIME).await;
    relay.stop.send(true).unwrap();
    sleep(case.delay).await;
    for part in case.after {
        // Writing fails if the connection was closed; the check of the answer then reports it.
        let _ = caller.write_all(part.as_bytes()).await;
    }
    let (answer, end) = read_to_end(&mut caller).await;
    let status = answer.split(' ').nth(1).unwrap_or_default();
    let complete = match answer.to_lowercase().split_once("\r\n\r\n") {
        Some((head, body)) if head.contains("chunked") => body.ends_with("0\r\n\r\n"),
        Some((head, body)) => head.contains(&format!("content-length: {}", body.len())),
        None => false,
    };
    let name = case.name;
    expect_that!(status, eq(case.want_status), "{name}: {answer:?} {end:?}");
    expect_that!(complete, eq(case.want_complete), "{name}: {answer:?} {end:?}");
    if complete {
        expect_that!(answer.to_lowercase(), contains_substring("connection: close"), "{name}");
    }
    expect_that!(target.runs(), eq(case.want_runs), "{name}: runs at the other router");
}

/// A connection that waits in the listen queue when the stop comes is served by the router that accepts it.
#[googletest::test]
#[tokio::test]
async fn nothing_is_relayed_after_the_stop_signal() {
    let target = Router::start(Placement::Once, SETTLE_TIME, 0).await;
    let relay = Router::start(Placement::Relay(target.address), SETTLE_TIME, 0).await;
    // Connects without letting the servers' tasks run.
    let caller = std::net::TcpStream::connect(relay.address).unwrap();
    relay.stop.send(true).unwrap();
    caller.set_nonblocking(true).unwrap();
    let mut caller = TcpStream::from_std(caller).unwrap();
    caller.write_all(ALL.concat().as_bytes()).await.unwrap();
    let (answer, _) = read_to_end(&mut caller).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!((relay.runs(), target.runs()), eq((1, 0)));
}

/// Other routers that do not answer: at the end of the stop the caller learns that the outcome is unknown.
#[googletest::test]
#[tokio::test]
async fn stop_ends_requests_at_a_silent_router_with_an_answer() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = Router::start(Placement::Relay(silent.local_addr().unwrap()), SETTLE_TIME, 0).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    caller.write_all(ALL.concat().as_bytes()).await.unwrap();
    sleep(SETTLE_TIME).await;
    relay.stop.send(true).unwrap();
    let (answer, _) = read_to_end(&mut caller).await;
    expect_that!(answer, starts_with("HTTP/1.1 502"));
    expect_that!(relay.runs(), eq(0), "the request may have run, so it must not run here");
}

/// Guards against requests that are cut off when the router that they were relayed to stops at the same time.
#[googletest::test]
#[tokio::test]
async fn request_is_answered_when_both_routers_stop() {
    let work = Duration::from_millis(600);
    let target = Router::start(Placement::Once, work, 0).await;
    let relay = Router::start(Placement::Relay(target.address), work, 0).await;
    let mut caller = TcpStream::connect(relay.address).await.unwrap();
    caller.write_all(ALL.concat().as_bytes()).await.unwrap();
    sleep(SETTLE_TIME).await;
    target.stop.send(true).unwrap();
    relay.stop.send(true).unwrap();
    let (answer, end) = read_to_end(&mut caller).await;
    expect_that!(answer, starts_with("HTTP/1.1 200"));
    expect_that!(answer, ends_with("0\r\n\r\n"), "{end:?}");
    expect_that!((relay.runs(), target.runs()), eq((0, 1)));
}

/// Guards against requests that a router which is about to stop relays although it cannot see them through.
#[googletest::test]
#[tokio::test]
async fn only_requests_in_time_are_relayed_before_a_stop() {
    struct Case {
        name: &'static str,
        in_time: bool,
        want_runs: usize,
    }
    let cases = [
        Case { name: "in time", in_time: true, want_runs: 1 },
        Case { name: "too late", in_time: false, want_runs: 0 },
    ];
    for case in cases {
        let target = Router::start(Placement::Once, SETTLE_TIME, 0).await;
        let placement = Placement::RelayInTime(target.address);
        let relay = Router::start_with(placement, SETTLE_TIME, 0, case.in_time).await;
        let mut caller = TcpStream::connect(relay.address).await.unwrap();
        caller.write_all(ALL.concat().as_bytes()).await.unwrap();
        sleep(4 * SETTLE_TIME).await;
        expect_that!(target.runs(), eq(case.want_runs), "{}", case.name);
        expect_that!(relay.runs(), eq(1 - case.want_runs), "{}", case.name);
    }
}
