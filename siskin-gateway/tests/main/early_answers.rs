//! Endpoints that answer a long upload at once, without a length, and close the connection while it is still being written. Such
//! a response ends with the connection, so it cannot be told from a part of one. Guards against a part that the caller gets as a
//! complete response.

use {
    crate::{
        endpoint::header_value,
        fixture::{Reply, TestRouter, catalog, gateway, read_reply},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Length of the upload: more than the socket buffers of both sides take.
const UPLOAD_BYTES: usize = 24 << 20;

/// How the endpoint ends the connection after the part.
#[derive(Clone, Copy, Debug)]
enum Close {
    /// With a reset, though all that arrived was read.
    Reset,
    /// With a reset, as bytes of the upload are unread.
    Unread,
    /// With the end of its own side only.
    Shutdown,
    /// With the end of its own side after it has read the whole upload.
    AfterUpload,
}

async fn start_endpoint(close: Close, kind: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, close, kind));
        }
    });
    address
}

async fn answer(mut stream: TcpStream, close: Close, kind: &'static str) {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    if matches!(close, Close::AfterUpload) {
        while bytes.len() < end + UPLOAD_BYTES {
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
        }
    }
    let id = header_value(&head, "id").unwrap_or_default();
    let part = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\n{kind}\r\npart of it\n\n");
    let _ = stream.write_all(part.as_bytes()).await;
    sleep(Duration::from_millis(30)).await;
    match close {
        Close::Reset => {
            let _ = stream.set_zero_linger();
        }
        Close::Unread => {}
        Close::Shutdown | Close::AfterUpload => {
            let _ = stream.shutdown().await;
            sleep(Duration::from_millis(300)).await;
        }
    }
}

async fn upload(router: &TestRouter) -> Reply {
    let mut stream = TcpStream::connect(router.address()).await.unwrap();
    let head = format!(
        "POST /app/x HTTP/1.1\r\nhost: example\r\nid: one\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'u'; UPLOAD_BYTES]).await.unwrap();
    read_reply(&mut stream).await
}

async fn reply_to(kind: Kind, close: Close, headers: &'static str) -> Reply {
    let address = start_endpoint(close, headers).await;
    let mut catalog = catalog(kind);
    catalog.limits.body_bytes = 2 * UPLOAD_BYTES as u64;
    catalog.routes[0].timeout = Duration::from_secs(5);
    let router = TestRouter::start_configured(gateway(), catalog, &[address]).await;
    upload(&router).await
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_that_ends_before_the_upload_is_not_complete() {
    let cases = [
        (Kind::AtMostOnce, ""),
        (Kind::Stream { resumable: false }, ""),
        (Kind::Stream { resumable: false }, "content-type: text/event-stream\r\n"),
    ];
    for (kind, headers) in cases {
        for close in [Close::Reset, Close::Unread, Close::Shutdown] {
            let reply = reply_to(kind, close, headers).await;
            let is_success = reply.complete && reply.status == 200;
            expect_that!(is_success, eq(false), "{kind:?}, {close:?}, {headers}: {reply:?}");
            expect_that!(reply.status, not(eq(503)), "{kind:?}, {close:?}: it may have run");
        }
        let reply = reply_to(kind, Close::AfterUpload, headers).await;
        expect_that!((reply.status, reply.complete), eq((200, true)), "{kind:?}, {headers}");
    }
}
