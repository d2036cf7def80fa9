//! Connections that one router relays to another one. Guards against responses that are cut off and look complete, against
//! requests of callers that have left, and against refusals when the other router is gone.

use {
    super::stop::{LIMITS, REQUEST, echo},
    googletest::prelude::*,
    hyper::Request,
    siskin_net::{
        relay::Terms,
        server::{self, Open, Placement, Placing},
    },
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{Instant, timeout},
    },
};

/// Longest time in which a connection ends.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Time in which relayed requests have to be answered.
const TIME_ALLOWED: Duration = Duration::from_millis(800);

/// Longest time to a final answer: the time of the request, and half a second.
const ANSWER_TIME_MAX: Duration = Duration::from_millis(800 + 500);

/// Starts a server that places all connections alike. It runs as long as the returned sender lives.
async fn start_server(placement: Placement) -> (SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (address, serve(listener, placement))
}

/// Serves a listener. It runs as long as the returned sender lives.
fn serve(listener: TcpListener, placement: Placement) -> watch::Sender<bool> {
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let (open, finish) = (Open::default(), Duration::from_secs(3));
        let placing = Placing {
            place: move |_| placement,
            terms: |_: Request<()>| {
                Some(Terms { id: String::new(), allowed: TIME_ALLOWED, in_time: true })
            },
        };
        server::run_with_placement(listener, || LIMITS, echo, stopped, finish, &open, placing).await
    });
    stop
}

/// Sends a request and reads until the connection ends.
async fn send_request(address: SocketAddr) -> (String, io::Result<()>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    read_to_end(&mut stream).await
}

/// Reads until the connection ends. Returns what was read and how it ended.
pub(crate) async fn read_to_end(stream: &mut TcpStream) -> (String, io::Result<()>) {
    let mut received = Vec::new();
    let read = timeout(READ_TIMEOUT, stream.read_to_end(&mut received)).await;
    let end = read.unwrap_or_else(|elapsed| Err(elapsed.into())).map(|_| ());
    (String::from_utf8_lossy(&received).into_owned(), end)
}

/// Guards against relayed connections that stay open and take file descriptors at the relaying router.
#[googletest::test]
#[tokio::test]
async fn relayed_request_is_answered_and_its_connection_closed() {
    let (target, _running) = start_server(Placement::Once).await;
    let (relay, _relaying) = start_server(Placement::Relay(target)).await;
    let (response, end) = send_request(relay).await;
    expect_that!(response, contains_substring("200 OK"));
    expect_that!(response, contains_substring("hello"));
    expect_that!(response.to_lowercase(), contains_substring("connection: close"));
    expect_that!(end, ok(anything()));
}

/// Guards against callers that are refused because a larger router is gone.
#[googletest::test]
#[tokio::test]
async fn connection_is_served_here_if_the_target_is_gone() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let (relay, stop) = start_server(Placement::Relay(gone)).await;
    let request = tokio::spawn(send_request(relay));
    tokio::time::sleep(Duration::from_millis(200)).await;
    stop.send(true).unwrap();
    let (response, _) = request.await.unwrap();
    expect_that!(response, contains_substring("hello"));
}

/// A response without a length that the target breaks off must end with a reset, as an orderly close would complete it.
#[googletest::test]
#[tokio::test]
async fn broken_response_does_not_look_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhal").await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    });
    let (relay, _relaying) = start_server(Placement::Relay(target)).await;
    let (response, end) = send_request(relay).await;
    expect_that!(response, contains_substring("hal"));
    expect_that!(end, err(anything()), "the connection is reset");
}

/// A target that refuses a request before it has read it closes its side; the refusal must reach the caller.
#[googletest::test]
#[tokio::test]
async fn refusal_during_an_upload_is_relayed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 64];
        let _ = stream.read(&mut head).await.unwrap();
        let refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull";
        stream.write_all(refusal).await.unwrap();
        stream.shutdown().await.unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
    });
    let (relay, _relaying) = start_server(Placement::Relay(target)).await;
    let mut caller = TcpStream::connect(relay).await.unwrap();
    caller.write_all(b"POST / HTTP/1.1\r\nContent-Length: 9999999\r\n\r\nabc").await.unwrap();
    let mut received = [0; 64];
    let length = timeout(Duration::from_secs(5), caller.read(&mut received)).await.unwrap();
    let received = String::from_utf8_lossy(&received[..length.unwrap()]).into_owned();
    expect_that!(received, starts_with("HTTP/1.1 503"));
}

/// A caller that gave up while its connection waited in the listen queue has its request dropped, or it would run for nobody.
#[googletest::test]
#[tokio::test]
async fn request_of_a_caller_that_left_is_not_relayed() {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front_address = front.local_addr().unwrap();
    let mut caller = TcpStream::connect(front_address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    drop(caller);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let placement = Placement::Relay(target.local_addr().unwrap());
    let _running = serve(front, placement);
    let (mut relayed, _) = timeout(READ_TIMEOUT, target.accept()).await.unwrap().unwrap();
    let (bytes, _) = read_to_end(&mut relayed).await;
    expect_that!(bytes, eq(""), "nothing is relayed");
    // The relay still works.
    let request = tokio::spawn(send_request(front_address));
    let relayed = timeout(Duration::from_secs(5), target.accept()).await;
    expect_that!(relayed.is_ok(), eq(true), "another request is relayed");
    drop((relayed, target));
    let _ = request.await.unwrap();
}

/// Requests whose head does not state where they end are served here: at a stop it would not be known whether they were passed on.
#[googletest::test]
#[tokio::test]
async fn requests_without_a_plain_length_are_served_here() {
    struct Case {
        name: &'static str,
        request: &'static str,
        want: &'static str,
    }
    let cases = [
        Case {
            name: "chunks",
            request: "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            want: "HTTP/1.1 200",
        },
        Case {
            name: "two lengths",
            request: "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
            want: "HTTP/1.1 400",
        },
        Case { name: "no request", request: "hello\r\n\r\n", want: "HTTP/1.1 400" },
    ];
    for case in cases {
        let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (relay, _running) = start_server(Placement::Relay(target.local_addr().unwrap())).await;
        let mut caller = TcpStream::connect(relay).await.unwrap();
        caller.write_all(case.request.as_bytes()).await.unwrap();
        let mut received = [0; 64];
        let length = timeout(Duration::from_secs(5), caller.read(&mut received)).await.unwrap();
        let received = String::from_utf8_lossy(&received[..length.unwrap()]).into_owned();
        expect_that!(received, starts_with(case.want), "{}", case.name);
        let relayed = timeout(Duration::from_millis(50), target.accept()).await;
        expect_that!(relayed.is_err(), eq(true), "{}: not relayed", case.name);
    }
}

/// Guards against callers that get no final answer in time because the router that their requests are relayed to is silent.
#[googletest::test]
#[tokio::test]
async fn requests_at_a_silent_router_are_answered_in_time() {
    struct Case {
        name: &'static str,
        request: &'static [u8],
        /// What the other router sends at once.
        response: &'static [u8],
        want: &'static str,
        want_reset: bool,
    }
    let cases = [
        Case {
            name: "no response",
            request: REQUEST,
            response: b"",
            want: "HTTP/1.1 504",
            want_reset: false,
        },
        Case {
            name: "part of an upload",
            request: b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhel",
            response: b"",
            want: "HTTP/1.1 503",
            want_reset: false,
        },
        Case {
            name: "part of a response",
            request: REQUEST,
            response: b"HTTP/1.1 200 OK\r\n\r\nhal",
            want: "HTTP/1.1 200 OK\r\n\r\nhal",
            want_reset: true,
        },
    ];
    for case in cases {
        let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (relay, _relaying) = start_server(Placement::Relay(silent.local_addr().unwrap())).await;
        let mut caller = TcpStream::connect(relay).await.unwrap();
        let sent = Instant::now();
        caller.write_all(case.request).await.unwrap();
        let (mut accepted, _) = silent.accept().await.unwrap();
        accepted.write_all(case.response).await.unwrap();
        let (answer, end) = read_to_end(&mut caller).await;
        expect_that!(sent.elapsed(), lt(ANSWER_TIME_MAX), "{}", case.name);
        expect_that!(answer, starts_with(case.want), "{}", case.name);
        expect_that!(end.is_err(), eq(case.want_reset), "{}: {end:?}", case.name);
    }
}
