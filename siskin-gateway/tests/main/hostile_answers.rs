//! Endpoints that send malformed or endless responses, or bytes that belong to another request. Guards against unbounded
//! memory and connections, against callers that wait beyond their deadline, and against responses that reach the wrong
//! caller or look complete although they are not.

use {
    crate::{
        endpoint::{Endpoint, Step, header_value, read_head},
        fixture::{Reply, TestRouter, gateway_with_memory},
    },
    googletest::prelude::*,
    siskin_gateway::{catalog::Kind, seed},
    std::{
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
        time::{Instant, sleep, timeout},
    },
};

/// Requests at the same time.
const CONCURRENT_REQUESTS: usize = 64;

/// Memory limit of the gateway.
const MEMORY_BYTES: usize = 32 << 20;

/// Longest time to the response: the route's timeout, plus what a loaded machine may need.
const RESPONSE_TIME_MAX: Duration = Duration::from_secs(4);

/// What an endpoint sends: a beginning, in which `{id}` stands for the request's identifier, and then a text that is repeated
/// until the connection is closed.
#[derive(Clone, Copy)]
struct Script {
    begin: &'static str,
    repeated: &'static str,
    pause: Duration,
}

/// An endpoint that follows a script.
struct EndlessEndpoint {
    address: SocketAddr,
    /// Number of connections on which it is sending.
    sending: Arc<AtomicUsize>,
    /// Most bytes that were taken of it on one connection.
    most_sent: Arc<AtomicUsize>,
}

impl EndlessEndpoint {
    async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let sending = Arc::new(AtomicUsize::new(0));
        let most_sent = Arc::new(AtomicUsize::new(0));
        let (counted, most) = (Arc::clone(&sending), Arc::clone(&most_sent));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (counted, most) = (Arc::clone(&counted), Arc::clone(&most));
                tokio::spawn(async move {
                    let sent = send_script(stream, script, counted).await;
                    most.fetch_max(sent, Ordering::Relaxed);
                });
            }
        });
        Self { address, sending, most_sent }
    }
}

/// Sends a script until the connection is closed. Returns the number of bytes that were taken.
async fn send_script(mut stream: TcpStream, script: Script, sending: Arc<AtomicUsize>) -> usize {
    let Some(head) = read_head(&mut stream).await else { return 0 };
    let mut sent = 0;
    sending.fetch_add(1, Ordering::Relaxed);
    let id = header_value(&head, "id").unwrap_or_default();
    let begin = script.begin.replace("{id}", id);
    let repeated =
        if script.pause.is_zero() { script.repeated.repeat(512) } else { script.repeated.into() };
    let mut open = stream.write_all(begin.as_bytes()).await.is_ok();
    while open && !repeated.is_empty() {
        if !script.pause.is_zero() {
            sleep(script.pause).await;
        }
        open = stream.write_all(repeated.as_bytes()).await.is_ok();
        sent += repeated.len();
    }
    sending.fetch_sub(1, Ordering::Relaxed);
    sent
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Want {
    /// The caller learns that the outcome is unknown.
    Unknown,
    /// The caller learns that the request has not run.
    NotRun,
    /// The caller gets the beginning of a stream that ends with an error.
    StreamError,
}

struct Case {
    name: &'static str,
    kind: Kind,
    begin: &'static str,
    repeated: &'static str,
    pause: Duration,
    want: Want,
}

const FULL_SPEED: Duration = Duration::ZERO;
const BYTE_BY_BYTE: Duration = Duration::from_millis(50);
const IDEMPOTENT: Kind = Kind::Idempotent;
const STREAM: Kind = Kind::Stream { resumable: false };

const CASES: [Case; 15] = [
    Case {
        name: "status line without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 ",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "header without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\nx: ",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "headers without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n",
        repeated: "a: b\r\n",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "head sent byte by byte",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nx: ",
        repeated: "a",
        pause: BYTE_BY_BYTE,
        want: Want::Unknown,
    },
    Case {
        name: "interim responses without end",
        kind: IDEMPOTENT,
        begin: "",
        repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
        pause: Duration::from_millis(2),
        want: Want::Unknown,
    },
    Case {
        name: "interim responses without end at full speed",
        kind: IDEMPOTENT,
        begin: "",
        repeated: "HTTP/1.1 100 \r\n\r\n",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "body without length",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n\r\n",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "chunks without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "4\r\naaaa\r\n",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "chunk size without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "00000000",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "chunk extension without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n4;",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "trailers without end",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        repeated: "a: b\r\n",
        pause: FULL_SPEED,
        want: Want::Unknown,
    },
    Case {
        name: "body without end after 'not run'",
        kind: IDEMPOTENT,
        begin: "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\n\r\n",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::NotRun,
    },
    Case {
        name: "event without end",
        kind: STREAM,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\r\n\
            id: 1\ndata: a\n\ndata: ",
        repeated: "aaaaaaaa",
        pause: FULL_SPEED,
        want: Want::StreamError,
    },
    Case {
        name: "event sent byte by byte",
        kind: STREAM,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\r\n\
            id: 1\ndata: a\n\ndata: ",
        repeated: "a",
        pause: BYTE_BY_BYTE,
        want: Want::StreamError,
    },
    Case {
        name: "stream that ends inside an event",
        kind: STREAM,
        begin: "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-type: text/event-stream\r\n\r\n\
            id: 1\ndata: a\n\nid: 2\nda",
        repeated: "",
        pause: FULL_SPEED,
        want: Want::StreamError,
    },
];

fn observed_outcome(reply: &Reply) -> Option<Want> {
    match (reply.status, reply.complete) {
        (502 | 504, true) => Some(Want::Unknown),
        (503, true) => Some(Want::NotRun),
        (200, false) if reply.body == "id: 1\ndata: a\n\n" => Some(Want::StreamError),
        _ => None,
    }
}

/// Resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn memory_time_and_connections_are_bounded() {
    for case in &CASES {
        let script = Script { begin: case.begin, repeated: case.repeated, pause: case.pause };
        let endpoint = EndlessEndpoint::start(script).await;
        let gateway = gateway_with_memory(MEMORY_BYTES);
        let router =
            Arc::new(TestRouter::start_with(gateway, case.kind, &[endpoint.address]).await);
        let before = resident_bytes();
        let requests: Vec<_> = (0..CONCURRENT_REQUESTS)
            .map(|number| {
                let router = Arc::clone(&router);
                tokio::spawn(async move { router.send_request(&format!("r{number}"), "").await })
            })
            .collect();
        let start = Instant::now();
        let mut peak = 0;
        while endpoint.sending.load(Ordering::Relaxed) > 0
            || !requests.iter().all(tokio::task::JoinHandle::is_finished)
        {
            peak = peak.max(resident_bytes().saturating_sub(before));
            if start.elapsed() > RESPONSE_TIME_MAX {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        let name = case.name;
        expect_that!(endpoint.sending.load(Ordering::Relaxed), eq(0), "{name}: still connected");
        expect_that!(peak, le(2 * MEMORY_BYTES), "{name}");
        for response in requests {
            let Ok(Ok(reply)) = timeout(RESPONSE_TIME_MAX, response).await else {
                expect_that!(true, eq(false), "{name}: no response");
                break;
            };
            // A request that arrived while all body memory was reserved is refused as not run.
            expect_that!(
                observed_outcome(&reply),
                some(any!(eq(case.want), eq(Want::NotRun))),
                "{name}: {reply:?}"
            );
        }
    }
}

/// Guards against a starting router that keeps all bytes of a seed's answer until its memory is exhausted.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_a_seed_without_end_is_bounded() {
    /// Most bytes that may be read of one answer, with what the sockets hold.
    const READ_BYTES_MAX: usize = 32 << 20;
    let begin = "HTTP/1.1 200 OK\r\n\r\n";
    let script = Script { begin, repeated: "aaaaaaaa", pause: FULL_SPEED };
    let seed = EndlessEndpoint::start(script).await;
    let starting = gateway_with_memory(MEMORY_BYTES);
    let asking = tokio::spawn(seed::run(starting, vec![seed.address]));
    let start = Instant::now();
    while seed.most_sent.load(Ordering::Relaxed) == 0 && start.elapsed() < RESPONSE_TIME_MAX {
        sleep(Duration::from_millis(10)).await;
    }
    asking.abort();
    expect_that!(seed.most_sent.load(Ordering::Relaxed), all![gt(0), le(READ_BYTES_MAX)]);
}

/// Guards against delivering a second copy of a response, or other bytes after a response, to the next caller on the
/// connection.
#[googletest::test]
#[tokio::test]
async fn late_bytes_reach_no_other_caller() {
    struct LateBytes {
        name: &'static str,
        /// Bytes that follow the response on the connection.
        follows: &'static str,
        /// Time from the response until these bytes, and until the next request.
        after: Duration,
        next: Duration,
    }
    const RESPONSE: &str =
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 5\r\n\r\nfirst";
    let soon = Duration::from_millis(30);
    let cases = [
        LateBytes { name: "copy at once", follows: RESPONSE, after: Duration::ZERO, next: soon },
        LateBytes { name: "copy while idle", follows: RESPONSE, after: soon, next: soon * 3 },
        LateBytes {
            name: "copy while in use again",
            follows: RESPONSE,
            after: soon * 2,
            next: soon,
        },
        LateBytes { name: "bytes while idle", follows: "garbage\r\n", after: soon, next: soon * 3 },
        LateBytes {
            name: "interim response",
            follows: "HTTP/1.1 100 Continue\r\n\r\n",
            after: soon * 2,
            next: soon,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    while let Some(head) = read_head(&mut stream).await {
                        let id = header_value(&head, "id").unwrap_or_default().to_owned();
                        let body = if id == "one" { "first" } else { "other" };
                        let response = RESPONSE.replace("{id}", &id).replace("first", body);
                        let _ = stream.write_all(response.as_bytes()).await;
                        if id == "one" {
                            sleep(case.after).await;
                            let _ = stream
                                .write_all(case.follows.replace("{id}", &id).as_bytes())
                                .await;
                        }
                    }
                });
            }
        });
        let router = TestRouter::start(IDEMPOTENT, &[address]).await;
        expect_that!(router.send_request("one", "").await.body, eq("first"), "{}", case.name);
        sleep(case.next).await;
        let next = router.send_request("two", "").await;
        expect_that!(next.body, not(eq("first")), "{}", case.name);
        let own = next.status == 200 && next.body == "other";
        expect_that!(own || next.status == 502, eq(true), "{}: {next:?}", case.name);
    }
}

/// Guards against sound responses that are cut off because interim ones precede them, on a connection that is used again.
#[googletest::test]
#[tokio::test]
async fn interim_responses_precede_a_response() {
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\n\r\n";
    const FINAL: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 90000\r\n\r\n";
    // The body is longer than all interim responses may be.
    let response =
        format!("{}{FINAL}{}", INTERIM.repeat(9), "HTTP/1.1 100 \r\n\r\n ".repeat(5_000));
    let endpoint = Endpoint::start(&[Step::Respond(response.leak())]).await;
    let router = TestRouter::start(IDEMPOTENT, &[endpoint.address]).await;
    for id in ["one", "two", "three"] {
        let reply = router.send_request(id, "").await;
        expect_that!((reply.status, reply.body.len()), eq((200, 90_000)), "{id}");
    }
}
