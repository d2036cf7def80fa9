//! A faulty endpoint writes the refusal of an earlier request once more on a connection that is in use again.

use {
    crate::{
        endpoint::{header_value, read_head},
        fixture::TestRouter,
    },
    googletest::prelude::*,
    siskin_gateway::catalog::Kind,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

struct Case {
    name: &'static str,
    /// Refusal of the first request; it is sent again in response to the second one. `{id}` stands for the identifier of the
    /// first request.
    refusal: &'static str,
}

const CASES: [Case; 3] = [
    Case {
        name: "with its identifier",
        refusal: "HTTP/1.1 503 Busy\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    },
    Case {
        name: "without an identifier",
        refusal: "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    },
    Case {
        name: "with a back-off, without an identifier",
        refusal: "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nbackoff-ms: 1\r\ncontent-length: 0\r\n\r\n",
    },
];

/// Identifiers of the requests that an endpoint received.
type Received = Arc<Mutex<Vec<String>>>;

/// Starts an endpoint that refuses the first request of each connection, and sends the same refusal for all others.
async fn start_endpoint(refusal: &'static str) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Received::default();
    let recorded = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(refuse_always(stream, refusal, Arc::clone(&recorded)));
        }
    });
    (address, received)
}

async fn refuse_always(mut stream: TcpStream, refusal: &'static str, received: Received) {
    let mut first = None;
    while let Some(head) = read_head(&mut stream).await {
        let id = header_value(&head, "id").unwrap_or_default().to_owned();
        received.lock().unwrap().push(id.clone());
        let first_id = first.get_or_insert(id).clone();
        let _ = stream.write_all(refusal.replace("{id}", &first_id).as_bytes()).await;
    }
}

/// Guards against telling a caller that a request has not run, or sending it to another endpoint, although the refusal belongs
/// to an earlier request on the same connection.
#[googletest::test]
#[tokio::test]
async fn an_earlier_refusal_is_not_believed() {
    for case in CASES {
        let (address, received) = start_endpoint(case.refusal).await;
        let router = TestRouter::start(Kind::AtMostOnce, &[address]).await;
        let first = router.send_request("one", "").await;
        expect_that!(first.status, eq(503), "{}: refused on a new connection", case.name);
        sleep(Duration::from_millis(150)).await;
        let second = router.send_request("two", "").await;
        expect_that!(second.status, eq(502), "{}: {second:?}", case.name);
        let sends = received.lock().unwrap().iter().filter(|id| *id == "two").count();
        expect_that!(sends, eq(1), "{}", case.name);
        router.stop().await;
    }
}
