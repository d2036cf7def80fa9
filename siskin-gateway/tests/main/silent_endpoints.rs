//! Endpoints that are slow but healthy: they send nothing while they read a long prompt, or between the events of a stream.
//! Guards against taking them for dead, retrying their requests at another endpoint, and ending their streams early.

use {
    crate::{
        endpoint::{header_value, read_head},
        fixture::{TestRouter, catalog, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::catalog::{Catalog, Kind, Limits},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{io::AsyncWriteExt, net::TcpListener, time::sleep},
};

/// Longer than the time without data after which a gateway probes whether an endpoint still accepts connections.
const SILENCE: Duration = Duration::from_millis(900);

/// Starts an endpoint that sends nothing for a while before each part of its response. Counts the requests that it receives.
async fn slow_endpoint(parts: &'static [&'static str]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            tokio::spawn(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                counted.fetch_add(1, Ordering::Relaxed);
                let id = header_value(&head, "id").unwrap_or_default();
                for part in parts {
                    sleep(SILENCE).await;
                    let _ = stream.write_all(part.replace("{id}", id).as_bytes()).await;
                }
            });
        }
    });
    (address, requests)
}

#[googletest::test]
#[tokio::test]
async fn slow_endpoints_are_not_taken_for_dead() {
    struct Case {
        name: &'static str,
        kind: Kind,
        parts: &'static [&'static str],
        want: &'static str,
    }
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        Case {
            name: "slow before the response",
            kind: Kind::AtMostOnce,
            parts: &["HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok"],
            want: "ok",
        },
        Case {
            name: "slow within the response",
            kind: Kind::Idempotent,
            parts: &[HEAD, "2\r\nok\r\n", "0\r\n\r\n"],
            want: "ok",
        },
        Case {
            name: "slow between events",
            kind: Kind::Stream { resumable: true },
            parts: &[HEAD, "f\r\nid: 1\ndata: a\n\n\r\n", "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"],
            want: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        },
    ];
    for case in cases {
        let (address, requests) = slow_endpoint(case.parts).await;
        let mut catalog: Catalog = catalog(case.kind);
        catalog.routes[0].timeout = Duration::from_secs(8);
        catalog.limits = Limits { idle_timeout: Duration::from_secs(8), ..catalog.limits };
        let router = TestRouter::start_configured(gateway(), catalog, &[address, address]).await;
        let reply = router.send_request("slow", "").await;
        expect_that!(reply.status, eq(200), "{}", case.name);
        expect_that!(reply.body, eq(case.want), "{}", case.name);
        expect_that!(reply.complete, eq(true), "{}", case.name);
        expect_that!(requests.load(Ordering::Relaxed), eq(1), "{}", case.name);
    }
}

/// Starts an endpoint that serves its first connection and accepts no further one. It pauses before each part of its response.
async fn endpoint_at_its_connection_limit(parts: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        let Some(head) = read_head(&mut stream).await else { return };
        let id = header_value(&head, "id").unwrap_or_default();
        for part in parts {
            sleep(SILENCE).await;
            let _ = stream.write_all(part.replace("{id}", id).as_bytes()).await;
        }
    });
    address
}

/// Guards against ending an answer because its silent endpoint accepts no further connection, where nothing else can serve it.
#[googletest::test]
#[tokio::test]
async fn answers_of_endpoints_that_accept_no_further_connection_are_not_ended() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ntransfer-encoding: chunked\r\n\r\n";
    struct Case {
        name: &'static str,
        kind: Kind,
        max_attempts: u32,
    }
    let cases = [
        Case { name: "stream", kind: Kind::Stream { resumable: false }, max_attempts: 2 },
        Case { name: "not repeatable", kind: Kind::AtMostOnce, max_attempts: 2 },
        Case { name: "one attempt", kind: Kind::Idempotent, max_attempts: 1 },
    ];
    for case in cases {
        let address = endpoint_at_its_connection_limit(&[
            HEAD,
            "f\r\nid: 1\ndata: a\n\n\r\n",
            "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
        ])
        .await;
        let mut catalog: Catalog = catalog(case.kind);
        catalog.routes[0].timeout = Duration::from_secs(8);
        catalog.routes[0].max_attempts = case.max_attempts;
        let router = TestRouter::start_configured(gateway(), catalog, &[address]).await;
        let reply = router.send_request("slow", "").await;
        expect_that!(reply.status, eq(200), "{}", case.name);
        expect_that!(reply.body, eq("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "{}", case.name);
        expect_that!(reply.complete, eq(true), "{}", case.name);
    }
}
