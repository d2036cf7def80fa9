//! Graceful shutdown while callers connect and send. Guards against dropping requests that are on their way: on connections
//! that are still in the listen queue, or that have sent nothing or only a part of a request.

use {
    bytes::Bytes,
    googletest::prelude::*,
    http_body_util::{BodyExt, Collected, Full},
    hyper::{Request, Response, body::Incoming},
    siskin_net::server::{self, Limits, Open},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

pub(crate) const LIMITS: Limits =
    Limits { head_timeout: Duration::from_secs(5), head_bytes: 16 * 1024, user_timeout: None };

/// Time for the server's tasks to process what was sent or changed.
const SETTLE_TIME: Duration = Duration::from_millis(50);

struct Running {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<bool>,
}

/// Answers each request with its body, after a delay.
pub(crate) async fn echo(request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = request.into_body().collect().await.map(Collected::to_bytes);
    sleep(Duration::from_millis(100)).await;
    Response::new(Full::new(body.unwrap_or_default()))
}

async fn start_server() -> Running {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let task = tokio::spawn(async move {
        let open = Open::default();
        server::run(listener, || LIMITS, echo, stopped, Duration::from_secs(3), &open).await
    });
    Running { address, stop, task }
}

pub(crate) const REQUEST: &[u8] = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

struct Case {
    name: &'static str,
    /// Bytes of the request sent before the stop; the rest is sent after it.
    sent_before: usize,
    /// Time between connecting and the stop; with zero, the connection may still be in the listen queue.
    delay: Duration,
    /// Requests answered on the connection before the stop.
    earlier_requests: usize,
}

const CASES: [Case; 7] = [
    Case {
        name: "in the listen queue",
        sent_before: 0,
        delay: Duration::ZERO,
        earlier_requests: 0,
    },
    Case {
        name: "whole request, not accepted",
        sent_before: REQUEST.len(),
        delay: Duration::ZERO,
        earlier_requests: 0,
    },
    Case {
        name: "accepted, nothing sent",
        sent_before: 0,
        delay: SETTLE_TIME,
        earlier_requests: 0,
    },
    Case { name: "half of the head", sent_before: 20, delay: SETTLE_TIME, earlier_requests: 0 },
    Case {
        name: "half of the body",
        sent_before: REQUEST.len() - 2,
        delay: SETTLE_TIME,
        earlier_requests: 0,
    },
    Case {
        name: "being answered",
        sent_before: REQUEST.len(),
        delay: SETTLE_TIME,
        earlier_requests: 0,
    },
    Case {
        name: "reused connection, request sent after the stop",
        sent_before: 0,
        delay: SETTLE_TIME,
        earlier_requests: 1,
    },
];

async fn read_response(stream: &mut TcpStream) -> String {
    let mut read = Vec::new();
    while !read.ends_with(b"hello") {
        let mut bytes = [0; 512];
        match timeout(Duration::from_secs(2), stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => read.extend_from_slice(&bytes[..count]),
            end => return format!("{end:?} after {:?}", String::from_utf8_lossy(&read)),
        }
    }
    String::from_utf8(read).unwrap()
}

#[googletest::test]
#[tokio::test]
async fn stop_drops_no_request() {
    for case in &CASES {
        let Running { address, stop, task } = start_server().await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        for _ in 0..case.earlier_requests {
            stream.write_all(REQUEST).await.unwrap();
            read_response(&mut stream).await;
        }
        stream.write_all(&REQUEST[..case.sent_before]).await.unwrap();
        sleep(case.delay).await;
        stop.send(true).unwrap();
        sleep(SETTLE_TIME).await;
        // Writing the rest fails if the server has closed the connection; the check of the response then reports it.
        let _ = stream.write_all(&REQUEST[case.sent_before..]).await;
        let response = read_response(&mut stream).await;
        expect_that!(response, starts_with("HTTP/1.1 200 OK\r\n"), "{}", case.name);
        expect_that!(response, contains_substring("connection: close"), "{}", case.name);
        expect_that!(task.await.unwrap(), eq(true), "{}", case.name);
    }
}

/// Guards against a shutdown that waits for callers that send nothing.
#[googletest::test]
#[tokio::test]
async fn idle_connections_do_not_delay_a_stop() {
    let Running { address, stop, task } = start_server().await;
    let _idle = TcpStream::connect(address).await.unwrap();
    sleep(SETTLE_TIME).await;
    stop.send(true).unwrap();
    let ended = timeout(Duration::from_secs(2), task).await;
    expect_that!(ended.map(|finished| finished.unwrap()).ok(), some(eq(true)));
}
