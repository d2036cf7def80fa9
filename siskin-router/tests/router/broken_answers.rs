//! Applications that answer a long upload at once, without a length, and close the connection while it is still being written.
//! Guards against a part of an answer that the caller gets as a whole one. And applications that answer with an invalid status,
//! which is no answer.

use {
    super::process::{Fleet, document, ready},
    googletest::prelude::*,
    serde_json::json,
    siskin_standin::{application, kv},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Length of the upload: more than the socket buffers of both sides take.
const UPLOAD_BYTES: usize = 24 << 20;

/// Beginning of an answer.
const PART: &str = "HTTP/1.1 200 OK\r\n\r\npart of it";

const STATUS_000: &str = "HTTP/1.1 000 \r\ncontent-length: 2\r\n\r\nok";

const STATUS_600: &str = "HTTP/1.1 600 No\r\ncontent-length: 2\r\n\r\nok";

const STATUS_101: &str = "HTTP/1.1 101 No\r\n\r\n";

/// How the connection ends after the answer.
#[derive(Clone, Copy, Debug)]
enum Close {
    /// With a reset.
    Reset,
    /// With the end of the application's side only.
    Shutdown,
}

struct Case {
    answer: &'static str,
    close: Close,
    upload_bytes: usize,
    want: &'static str,
}

const CASES: [Case; 6] = [
    Case { answer: PART, close: Close::Reset, upload_bytes: UPLOAD_BYTES, want: " 502 " },
    Case { answer: PART, close: Close::Shutdown, upload_bytes: UPLOAD_BYTES, want: " 502 " },
    Case { answer: PART, close: Close::Shutdown, upload_bytes: 2, want: " 200 " },
    Case { answer: STATUS_000, close: Close::Shutdown, upload_bytes: 2, want: " 502 " },
    Case { answer: STATUS_600, close: Close::Shutdown, upload_bytes: 2, want: " 502 " },
    Case { answer: STATUS_101, close: Close::Shutdown, upload_bytes: 2, want: " 502 " },
];

/// Starts a relay in front of an application, which answers uploads itself.
async fn start_relay(application: SocketAddr, case: &'static Case) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(relay(stream, application, case));
        }
    });
    address
}

async fn relay(mut stream: TcpStream, application: SocketAddr, case: &Case) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    if !request.starts_with(b"PUT ") {
        let mut application = TcpStream::connect(application).await?;
        application.write_all(&request).await?;
        return copy_bidirectional(&mut stream, &mut application).await.map(|_| ());
    }
    // A short upload is read whole.
    sleep(Duration::from_millis(30)).await;
    let _ = stream.try_read(&mut [0; 64]);
    stream.write_all(case.answer.as_bytes()).await?;
    sleep(Duration::from_millis(30)).await;
    match case.close {
        Close::Reset => stream.set_zero_linger(),
        Close::Shutdown => {
            stream.shutdown().await?;
            sleep(Duration::from_millis(300)).await;
            Ok(())
        }
    }
}

async fn upload(router: SocketAddr, bytes: usize) -> String {
    let mut stream = TcpStream::connect(router).await.expect("it listens");
    let head = format!(
        "PUT /apps/files/one HTTP/1.1\r\nhost: test\r\nauthorization: Bearer one-key\r\n\
         connection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it reads");
    stream.write_all(&vec![b'u'; bytes]).await.expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("it answers");
    answer
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_not_taken_for_whole_ones() {
    for case in &CASES {
        let store = kv::Server::start(kv::Options::default()).expect("the store starts");
        let options = application::Options::default();
        let application = application::Server::start(options).expect("an application starts");
        let address = start_relay(application.address(), case).await;
        let mut document = document(&[], &json!({}));
        document["pools"]["files"] =
            json!({ "id": 2, "unit": "milliseconds", "max_request": 10_000 });
        document["routes"]["files"] = json!({ "pool": "files", "max_body_bytes": 32 << 20 });
        document["endpoints"]["file-1"] = json!({
            "id": 1_000, "kind": "application", "pool": "files", "address": address,
            "data_centre": "loopback", "route": "files", "slots": 8
        });
        let fleet = Fleet::start(1, &store, &document);
        let listen = fleet.routers[0].listen;
        expect_true!(ready(listen).await, "{:?}: it becomes ready", case.close);
        let answer = upload(listen, case.upload_bytes).await;
        let first_line = answer.lines().next().unwrap_or_default();
        expect_that!(
            first_line,
            contains_substring(case.want),
            "{:?}, {}",
            case.close,
            case.answer
        );
    }
}
