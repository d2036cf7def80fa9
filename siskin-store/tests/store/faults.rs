//! Outages, lost responses, rollbacks and rate limits.

use {
    crate::behaviour::{applied_revision, options, start_service},
    googletest::prelude::*,
    siskin_standin::kv::{self, Command},
    siskin_store::{
        Effect, Error, LeaseId, Revision, Scope, Store, Write,
        count::Kind,
        http::{self, Client},
        memory::{self, Faults},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinSet,
    },
};

/// Guards against a failed write that is reported with the wrong effect.
#[gtest]
#[tokio::test]
async fn failed_write_reports_its_effect() {
    struct Case {
        name: &'static str,
        command: Command,
        effect: Effect,
        written: bool,
    }
    let cases = [
        Case {
            name: "refused connection",
            command: Command::Refuse { for_ms: 600_000 },
            effect: Effect::NotApplied,
            written: false,
        },
        Case {
            name: "unavailable",
            command: Command::Unavailable,
            effect: Effect::Unknown,
            written: false,
        },
        Case { name: "hang", command: Command::Hang, effect: Effect::Unknown, written: false },
        Case {
            name: "lost response",
            command: Command::LoseAnswers { times: 1 },
            effect: Effect::Unknown,
            written: true,
        },
    ];
    for case in cases {
        let server = start_service();
        server.command(&case.command).unwrap();
        let mut options = options(&server);
        if case.command == Command::Hang {
            options.timeout = Duration::from_millis(300);
        }
        let client = Client::new(options.clone());
        let failed = client.create("k", b"v", None).await.unwrap_err();
        expect_that!(failed.effect(), eq(case.effect), "{}: {failed}", case.name);
        expect_that!(server.revision() == 2, eq(case.written), "{}", case.name);
        server.command(&Command::Up).unwrap();
        let client = Client::new(options);
        let mut found = client.get("k").await;
        while found.is_err() {
            found = client.get("k").await;
        }
        expect_that!(found.unwrap().entry.is_some(), eq(case.written), "{}", case.name);
    }
}

/// Guards against writes that are retried, and against reads that are not.
#[gtest]
#[tokio::test]
async fn only_reads_are_retried() {
    let server = start_service();
    let client = Client::new(options(&server));
    server.command(&Command::Unavailable).unwrap();
    expect_true!(client.get("k").await.is_err());
    expect_true!(client.create("k", b"v", None).await.is_err());
    let (get, create) = (client.counts().of(Kind::Get), client.counts().of(Kind::Create));
    expect_that!((get.sent, get.retries, get.unknown), eq((3, 2, 3)));
    expect_that!((create.sent, create.retries, create.unknown), eq((1, 0, 1)));
    expect_that!(client.counts().sent(), eq(4));
}

/// Guards against one unreachable address that makes the store unreachable although other addresses work.
#[gtest]
#[tokio::test]
async fn unreachable_address_is_skipped() {
    let (server, down) = (start_service(), start_service());
    down.command(&Command::Refuse { for_ms: 600_000 }).unwrap();
    let addresses = vec![down.address(), server.address()];
    let client = Client::new(http::Options { addresses, ..options(&server) });
    for key in ["a", "b"] {
        applied_revision(&client.create(key, b"", None).await.unwrap()).unwrap();
    }
    let none = Client::new(http::Options::default());
    let refused = none.create("a", b"", None).await.unwrap_err();
    expect_that!(refused, matches_pattern!(Error::Unreachable { .. }));
}

/// Guards against a client that exceeds its own rate limit.
#[gtest]
#[tokio::test(start_paused = true)]
async fn client_limits_its_call_rate() {
    struct Case {
        name: &'static str,
        timeout: Duration,
        sent: u64,
    }
    let cases = [
        Case { name: "waits", timeout: Duration::from_secs(2), sent: 20 },
        Case { name: "refuses", timeout: Duration::from_millis(450), sent: 14 },
    ];
    for case in cases {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let options = http::Options {
            addresses: vec![address],
            timeout: case.timeout,
            calls_per_second: 10,
            burst: 10,
            ..http::Options::default()
        };
        let client = Arc::new(Client::new(options));
        let mut calls = JoinSet::new();
        for _ in 0..20 {
            let client = Arc::clone(&client);
            calls.spawn(async move { client.revoke(LeaseId(1)).await });
        }
        let results = calls.join_all().await;
        let rejected =
            results.iter().filter(|result| **result == Err(Error::Budget)).count() as u64;
        expect_that!(
            (client.counts().sent(), rejected),
            eq((case.sent, 20 - case.sent)),
            "{}",
            case.name
        );
    }
}

/// Guards against a rollback of the store that its clients cannot detect.
#[gtest]
#[tokio::test]
async fn rollback_is_detected() {
    let server = start_service();
    let client = Client::new(options(&server));
    let first = applied_revision(&client.create("k", b"1", None).await.unwrap()).unwrap();
    let second = applied_revision(&client.swap("k", first, b"2", None).await.unwrap()).unwrap();
    server.command(&Command::RollBack { revision: first.0 }).unwrap();
    let short = Duration::from_millis(30);
    let mut watched = client.watch(Scope::Key("k"), second.next(), short).await;
    while watched.is_err() {
        watched = client.watch(Scope::Key("k"), second.next(), short).await;
    }
    expect_that!(watched.unwrap().head, eq(first));
    let swapped = client.swap("k", second, b"3", None).await.unwrap();
    expect_that!(swapped, matches_pattern!(Write::Conflict { current: some(anything()), .. }));
    let fake = memory::Store::default();
    applied_revision(&fake.create("k", b"1", None).await.unwrap()).unwrap();
    fake.roll_back(Revision(0));
    expect_that!(fake.get("k").await.unwrap().entry, none());
}

/// Guards against a rejection by the service's rate limit that is mistaken for a lost response.
#[gtest]
#[tokio::test]
async fn rate_limit_of_the_service_is_reported() {
    let slow = kv::Options { writes_per_second: 1, ..kv::Options::default() };
    let server = kv::Server::start(slow).unwrap();
    let client = Client::new(options(&server));
    let mut errors = Vec::new();
    for key in ["a", "b", "c"] {
        errors.extend(client.create(key, b"", None).await.err());
    }
    expect_that!(errors, contains(eq(&Error::Limited)));
}

/// Guards against injected faults of the fake with effects other than those of the service.
#[gtest]
#[tokio::test]
async fn faults_of_the_fake_have_the_right_effect() {
    struct Case {
        name: &'static str,
        faults: Faults,
        effect: Effect,
        written: bool,
    }
    let cases = [
        Case {
            name: "down",
            faults: Faults { down: true, ..Faults::default() },
            effect: Effect::NotApplied,
            written: false,
        },
        Case {
            name: "lost response",
            faults: Faults { lose_answers: 1, ..Faults::default() },
            effect: Effect::Unknown,
            written: true,
        },
        Case {
            name: "lost call",
            faults: Faults { lose_calls: 1, ..Faults::default() },
            effect: Effect::Unknown,
            written: false,
        },
    ];
    for case in cases {
        let store = memory::Store::default();
        store.set(case.faults);
        let failed = store.create("k", b"v", None).await.unwrap_err();
        expect_that!(failed.effect(), eq(case.effect), "{}", case.name);
        store.set(Faults::default());
        let found = store.get("k").await.unwrap().entry.is_some();
        expect_that!(found, eq(case.written), "{}", case.name);
    }
}

/// Guards against a line of a watch that is searched from its beginning again with each of its bytes: it is not read in time.
#[gtest]
#[tokio::test]
async fn watch_takes_a_line_in_single_bytes() {
    const LINE_BYTES: usize = 200_000;
    const WATCH_TIME: Duration = Duration::from_secs(5);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let addresses = vec![listener.local_addr().unwrap()];
    let line = "1\r\na\r\n".repeat(LINE_BYTES);
    let response =
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{line}1\r\n\n\r\n");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            stream.write_all(response.as_bytes()).await.unwrap();
            // The connection stays open, so the watch does not end before its time unless the line was read.
            tokio::spawn(async move { stream.read_to_end(&mut Vec::new()).await });
        }
    });
    let client = Client::new(http::Options { addresses, ..http::Options::default() });
    let watched = client.watch(Scope::Key("k"), Revision(1), WATCH_TIME).await;
    expect_that!(watched, err(anything()), "the line is complete, and no message");
}
