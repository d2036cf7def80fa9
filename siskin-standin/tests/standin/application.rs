//! Application: true counts of runs, and faults.

use {
    crate::call::{Answer, call, open, until},
    googletest::prelude::*,
    siskin_standin::{
        application::{Options, Server},
        fault::{Command, Fault},
        run::End,
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

fn quick() -> Options {
    Options { load_lag: Duration::ZERO, ..Options::default() }
}

async fn confirm(server: &Server, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    call(server.address(), "POST", "/orders/confirm?x=1", headers, body).await
}

/// Guards against miscounted runs, whichever name a call has.
#[gtest]
#[tokio::test]
async fn runs() {
    struct Case {
        name: &'static str,
        headers: &'static [(&'static str, &'static str)],
        key: &'static str,
    }
    let cases = [
        Case { name: "key", headers: &[("idempotency-key", "k"), ("x-request-id", "r")], key: "k" },
        Case { name: "request", headers: &[("x-request-id", "r")], key: "r" },
        Case { name: "body", headers: &[], key: "pay" },
    ];
    for case in cases {
        let server = Server::start(quick()).unwrap();
        for run in 1..=2 {
            let answer = confirm(&server, case.headers, "pay").await.unwrap().json();
            expect_that!(answer["runs"].as_u64(), some(eq(run)), "{}", case.name);
            expect_that!(answer["path"].as_str(), some(eq("/orders/confirm?x=1")), "{}", case.name);
        }
        expect_that!(server.runs(case.key), eq(2), "{}", case.name);
        expect_that!(server.log().len(), eq(2), "{}", case.name);
    }
}

/// Guards against a run that is forgotten because its answer was lost.
#[gtest]
#[tokio::test]
async fn lost_answers() {
    struct Case {
        name: &'static str,
        fault: Fault,
        runs: u64,
        end: Option<End>,
    }
    let cases = [
        Case {
            name: "cut",
            fault: Fault::Cut { after_events: 0 },
            runs: 1,
            end: Some(End::Completed),
        },
        Case {
            name: "crash",
            fault: Fault::CrashOn { text: "pay".to_owned(), restart_ms: 10 },
            runs: 1,
            end: Some(End::Crashed),
        },
        Case { name: "refuse", fault: Fault::Refuse, runs: 0, end: None },
    ];
    for case in cases {
        let server = Server::start(quick()).unwrap();
        server.command(Command::always(case.fault));
        let answer = confirm(&server, &[("idempotency-key", "k")], "pay").await;
        expect_true!(answer.is_none_or(|answer| !answer.complete || answer.not_started));
        expect_that!(server.runs("k"), eq(case.runs), "{}", case.name);
        let end = server.log().first().map(|run| run.end);
        expect_that!(end, eq(case.end), "{}", case.name);
    }
    let server = Server::start(quick()).unwrap();
    server.command(Command::once(Fault::Silence { after_events: 0 }));
    let waiting = open(server.address(), "POST", "/pay", &[("idempotency-key", "k")], "pay");
    let silent = tokio::time::timeout(Duration::from_millis(50), waiting).await;
    expect_true!(silent.is_err());
    until("run", || server.log()[0].end == End::Completed).await;
}

/// Guards against a doubled answer that does not reach the connection as two answers.
#[gtest]
#[tokio::test]
async fn doubled() {
    let server = Server::start(quick()).unwrap();
    server.command(Command::once(Fault::Doubled));
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let request = b"POST /pay HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\npay";
    stream.write_all(request).await.unwrap();
    let mut received = String::new();
    while received.matches("HTTP/1.1 200").count() < 2 || !received.ends_with('}') {
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        assert!(count > 0, "closed after {received}");
        received.push_str(std::str::from_utf8(&buffer[..count]).unwrap());
    }
    expect_that!(server.runs("pay"), eq(1));
}
