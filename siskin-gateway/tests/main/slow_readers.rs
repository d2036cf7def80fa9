//! Callers that read large answers slowly.

use {
    crate::{
        endpoint::{header_value, read_head},
        fixture::{TestRouter, gateway_with_memory},
        hostile_answers::resident_bytes,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        time::sleep,
    },
};

/// Callers that do not read their answers for a while.
const SLOW_READERS: usize = 40;

/// Size of their answers.
const LARGE_BYTES: usize = 4 << 20;

/// Memory limit of the gateway.
const MEMORY_BYTES: usize = 32 << 20;

/// Time in which an answer is read from the endpoint, before the next request.
const BETWEEN_REQUESTS: Duration = Duration::from_millis(30);

/// Time in which the callers do not read.
const PAUSE: Duration = Duration::from_secs(1);

/// An endpoint whose answers have the size that the request names.
async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let content: Arc<[u8]> = vec![b'a'; LARGE_BYTES].into();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, Arc::clone(&content)));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, content: Arc<[u8]>) {
    while let Some(head) = read_head(&mut stream).await {
        let id = header_value(&head, "id").unwrap_or_default();
        let size: usize = header_value(&head, "size").unwrap_or_default().parse().unwrap_or(0);
        let head =
            format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: {size}\r\n\r\n");
        if stream.write_all(head.as_bytes()).await.is_err()
            || stream.write_all(&content[..size]).await.is_err()
        {
            return;
        }
    }
}

/// Sends a request for a large answer on a connection with a small receive buffer.
async fn request_large(address: SocketAddr, number: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let request = format!(
        "GET /app/large HTTP/1.1\r\nhost: example\r\nid: l{number}\r\nsize: {LARGE_BYTES}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Guards against answers that wait for slow readers and take more memory than the process has, and against other callers
/// that are not served meanwhile.
#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_that_wait_for_slow_readers_are_bounded() {
    let endpoint = start_endpoint().await;
    let gateway = gateway_with_memory(MEMORY_BYTES);
    let router = TestRouter::start_with(gateway, Kind::Idempotent, &[endpoint]).await;
    let before = resident_bytes();
    let mut slow = Vec::new();
    for number in 0..SLOW_READERS {
        slow.push(request_large(router.address(), number).await);
        sleep(BETWEEN_REQUESTS).await;
    }
    sleep(PAUSE).await;
    let taken = resident_bytes().saturating_sub(before);
    expect_that!(taken, le(2 * MEMORY_BYTES), "memory while {SLOW_READERS} answers wait");
    for number in 0..5 {
        let reply = router.send_request(&format!("s{number}"), "size: 1000\r\n").await;
        expect_that!(reply.status, eq(200), "a small answer beside them");
    }
    let mut whole = 0;
    for mut stream in slow {
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes).await;
        let text = String::from_utf8_lossy(&bytes[..12]).into_owned();
        // What finds no memory before its deadline is answered as any request whose time is over.
        expect_that!(text.as_str(), any!(eq("HTTP/1.1 200"), eq("HTTP/1.1 504")));
        whole += usize::from(bytes.len() > LARGE_BYTES);
    }

    expect_that!(whole, gt(0), "answers that slow readers received whole");
}
