//! An engine that answers model calls with bytes without end. Guards against a router that keeps them until its memory is exhausted.

use {
    super::process::{Fleet, PATIENCE, ask, document, exchange, ready},
    googletest::prelude::*,
    serde_json::json,
    siskin_standin::{engine, kv},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Calls at the same time.
const CALLS: usize = 8;

/// Most memory by which the router may grow.
const GROWTH_MAX: usize = 96 << 20;

/// Time in which the memory is watched.
const WATCHED: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    begin: &'static str,
    repeated: &'static str,
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

const CASES: [Case; 4] = [
    Case { name: "line without end", begin: HEAD, repeated: "data: aaaaaaaa" },
    Case { name: "event without end", begin: HEAD, repeated: "data: aaaaaaaa\n" },
    Case {
        name: "events without end in an answer that is collected",
        begin: HEAD,
        repeated: "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"aaaaaaaaaaaaaaaa\"}}]}\n\n",
    },
    Case {
        name: "body that is no stream",
        begin: "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n",
        repeated: "aaaaaaaa",
    },
];

/// Starts a relay in front of an engine, which answers model calls itself.
async fn start_relay(engine: SocketAddr, case: Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay(stream, engine, case));
        }
    });
    address
}

async fn relay(mut stream: TcpStream, engine: SocketAddr, case: Case) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    if !request.starts_with(b"POST /v1/chat") {
        let mut engine = TcpStream::connect(engine).await?;
        engine.write_all(&request).await?;
        return copy_bidirectional(&mut stream, &mut engine).await.map(|_| ());
    }
    stream.write_all(case.begin.as_bytes()).await?;
    let repeated = case.repeated.repeat(256);
    loop {
        stream.write_all(repeated.as_bytes()).await?;
    }
}

/// Resident memory of a process in bytes.
fn resident_bytes(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a size");
    line.split_whitespace().nth(1).and_then(|size| size.parse::<usize>().ok()).expect("a size")
        << 10
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_take_bounded_memory() {
    for case in CASES {
        let store = kv::Server::start(kv::Options::default()).expect("the store starts");
        let engine = engine::Server::start(engine::Options::default()).expect("an engine starts");
        let address = start_relay(engine.address(), case).await;
        let fleet = Fleet::start(1, &store, &document(&[address], &json!({})));
        let router = &fleet.routers[0];
        let listen = router.listen;
        expect_true!(ready(listen).await, "{}: it becomes ready", case.name);
        let process = router.process.id().expect("it runs");
        let before = resident_bytes(process);
        let calls: Vec<_> = (0..CALLS)
            .map(|_| tokio::spawn(async move { timeout(WATCHED, ask(listen, "small")).await }))
            .collect();
        let mut growth = 0;
        while !calls.iter().all(tokio::task::JoinHandle::is_finished) {
            growth = growth.max(resident_bytes(process).saturating_sub(before));
            sleep(Duration::from_millis(20)).await;
        }
        expect_that!(growth, le(GROWTH_MAX), "{}", case.name);
        let alive = timeout(PATIENCE, exchange(listen, "GET /healthz HTTP/1.0\r\n\r\n")).await;
        expect_true!(alive.is_ok_and(|answer| answer.is_ok()), "{}: it lives", case.name);
        println!("{}: {growth}", case.name);
    }
}
