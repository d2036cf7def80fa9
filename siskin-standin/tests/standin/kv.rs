//! Key-value service: the gateway's messages, limits and faults.

use {
    crate::call::{Answer, PATIENCE, call, open, until},
    googletest::prelude::*,
    http_body_util::BodyExt,
    hyper::{Response, body::Incoming},
    serde_json::{Value, json},
    siskin_standin::kv::{Command, Options, Server, VALUE_LIMIT_BYTES},
    std::time::Duration,
};

fn quick() -> Options {
    Options { latency: Duration::ZERO, control: true, ..Options::default() }
}

async fn post(server: &Server, path: &str, body: &Value) -> Option<Answer> {
    call(server.address(), "POST", path, &[], &body.to_string()).await
}

async fn answer(server: &Server, path: &str, body: Value) -> Value {
    post(server, path, &body).await.unwrap().json()
}

// Base64 of the keys and values below.
const A: &str = "YQ==";
const B: &str = "Yg==";
const ONE: &str = "MQ==";
const TWO: &str = "Mg==";

fn swap(key: &str, revision: u64, value: &str) -> Value {
    json!({
        "compare": [{"target": "MOD", "key": key, "mod_revision": revision.to_string()}],
        "success": [{"request_put": {"key": key, "value": value}}],
        "failure": [{"request_range": {"key": key}}],
    })
}

/// Guards against messages that differ from the published gateway.
#[gtest]
#[tokio::test]
async fn messages() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: Value,
        want: Vec<(&'static str, Value)>,
    }
    let server = Server::start(quick()).unwrap();
    let text = |text: &'static str| Value::from(text);
    let cases = [
        Case {
            name: "empty range",
            path: "/v3/kv/range",
            body: json!({"key": A}),
            want: vec![("/kvs", Value::Null)],
        },
        Case {
            name: "create",
            path: "/v3/kv/txn",
            body: swap(A, 0, ONE),
            want: vec![
                ("/succeeded", json!(true)),
                ("/header/revision", text("2")),
                ("/responses/0/response_put/header/revision", text("2")),
            ],
        },
        Case {
            name: "create again",
            path: "/v3/kv/txn",
            body: swap(A, 0, TWO),
            want: vec![
                ("/succeeded", Value::Null),
                ("/responses/0/response_range/kvs/0/mod_revision", text("2")),
                ("/responses/0/response_range/kvs/0/value", text(ONE)),
            ],
        },
        Case {
            name: "swap",
            path: "/v3/kv/txn",
            body: swap(A, 2, TWO),
            want: vec![("/succeeded", json!(true))],
        },
        Case {
            name: "put",
            path: "/v3/kv/put",
            body: json!({"key": B, "value": ONE, "prevKv": true}),
            want: vec![("/header/revision", text("4")), ("/prev_kv", Value::Null)],
        },
        Case {
            name: "prefix",
            path: "/v3/kv/range",
            body: json!({"key": A, "range_end": "Yw==", "limit": "1"}),
            want: vec![
                ("/count", text("2")),
                ("/more", json!(true)),
                ("/kvs/0/key", text(A)),
                ("/kvs/0/version", text("2")),
                ("/kvs/0/create_revision", text("2")),
                ("/kvs/1", Value::Null),
            ],
        },
        Case {
            name: "delete",
            path: "/v3/kv/deleterange",
            body: json!({"key": B}),
            want: vec![("/deleted", text("1"))],
        },
        Case {
            name: "delete again",
            path: "/v3/kv/deleterange",
            body: json!({"key": B}),
            want: vec![("/deleted", Value::Null), ("/header/revision", text("5"))],
        },
        Case {
            name: "unknown lease",
            path: "/v3/lease/revoke",
            body: json!({"ID": "77"}),
            want: vec![("/code", json!(5))],
        },
        Case {
            name: "dead lease",
            path: "/v3/lease/keepalive",
            body: json!({"ID": "77"}),
            want: vec![("/result/TTL", Value::Null)],
        },
    ];
    for case in cases {
        let got = answer(&server, case.path, case.body).await;
        for (pointer, want) in case.want {
            let value = got.pointer(pointer).cloned().unwrap_or_default();
            expect_that!(value, eq(&want), "{}: {pointer} of {got}", case.name);
        }
    }
}

/// Guards against keys that outlive their lease, or a lease that ends although it is renewed.
#[gtest]
#[tokio::test]
async fn leases() {
    let server = Server::start(quick()).unwrap();
    let lease = answer(&server, "/v3/lease/grant", json!({"TTL": "1"})).await["ID"].clone();
    let put = json!({"key": A, "value": ONE, "lease": lease});
    answer(&server, "/v3/kv/put", put).await;
    let renewed = answer(&server, "/v3/lease/keepalive", json!({"ID": lease})).await;
    expect_that!(renewed["result"]["TTL"], eq(&json!("1")));
    until("expiry", || server.revision() == 3).await;
    let gone = answer(&server, "/v3/kv/range", json!({"key": A})).await;
    expect_that!(gone["kvs"], eq(&Value::Null));
    let refused = post(&server, "/v3/kv/put", &json!({"key": A, "lease": lease})).await.unwrap();
    expect_that!(refused.status, eq(404));
}

/// Guards against missed, doubled or unselected events, from the past and from the future.
#[gtest]
#[tokio::test]
async fn watches() {
    let server = Server::start(quick()).unwrap();
    for value in [ONE, TWO] {
        answer(&server, "/v3/kv/put", json!({"key": A, "value": value})).await;
    }
    let create = json!({"create_request": {"key": A, "start_revision": "3"}}).to_string();
    let stream = open(server.address(), "POST", "/v3/watch", &[], &create).await.unwrap();
    until("watch", || server.counters().waiting == 1).await;
    answer(&server, "/v3/kv/put", json!({"key": B, "value": ONE})).await;
    answer(&server, "/v3/kv/deleterange", json!({"key": A})).await;
    let lines = tokio::time::timeout(PATIENCE, read_lines(stream, 3)).await.unwrap();
    let results: Vec<_> = lines.iter().map(|line| &line["result"]).collect();
    expect_that!(results[0]["created"], eq(&json!(true)));
    expect_that!(results[1]["events"][0]["kv"]["value"], eq(&json!(TWO)));
    expect_that!(results[2]["events"][0]["type"], eq(&json!("DELETE")));
    expect_that!(results[2]["events"].as_array().unwrap().len(), eq(1));
    until("end of the watch", || server.counters().waiting == 0).await;
}

/// Guards against a late watch that is on time or that loses changes.
#[gtest]
#[tokio::test]
async fn late_watch() {
    let server = Server::start(quick()).unwrap();
    let delay_ms = 100;
    server.command(&Command::LateWatch { delay_ms }).unwrap();
    let create = json!({"create_request": {"key": A}}).to_string();
    let stream = open(server.address(), "POST", "/v3/watch", &[], &create).await.unwrap();
    let written = std::time::Instant::now();
    answer(&server, "/v3/kv/put", json!({"key": A, "value": ONE})).await;
    let lines = tokio::time::timeout(PATIENCE, read_lines(stream, 2)).await.unwrap();
    expect_that!(written.elapsed(), ge(Duration::from_millis(delay_ms)));
    expect_that!(lines[1]["result"]["events"][0]["kv"]["value"], eq(&json!(ONE)));
}

async fn read_lines(response: Response<Incoming>, count: usize) -> Vec<Value> {
    let mut body = response.into_body();
    let mut text = String::new();
    while text.matches('\n').count() < count {
        let frame = body.frame().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&frame.into_data().unwrap()).unwrap());
    }
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Guards against faults that change what took effect.
#[gtest]
#[tokio::test]
async fn faults() {
    struct Case {
        name: &'static str,
        command: Command,
        status: Option<u16>,
        applied: bool,
    }
    let cases = [
        Case {
            name: "unavailable",
            command: Command::Unavailable,
            status: Some(503),
            applied: false,
        },
        Case {
            name: "refuse",
            command: Command::Refuse { for_ms: 600_000 },
            status: None,
            applied: false,
        },
        Case {
            name: "lost answer",
            command: Command::LoseAnswers { times: 1 },
            status: None,
            applied: true,
        },
        Case {
            name: "slow",
            command: Command::Slow { delay_ms: 5 },
            status: Some(200),
            applied: true,
        },
    ];
    for case in cases {
        let server = Server::start(quick()).unwrap();
        server.command(&case.command).unwrap();
        let got = post(&server, "/v3/kv/txn", &swap(A, 0, ONE)).await;
        let status = got.filter(|answer| answer.complete).map(|answer| answer.status);
        expect_that!(status, eq(case.status), "{}", case.name);
        expect_that!(server.revision() == 2, eq(case.applied), "{}", case.name);
        server.command(&Command::Up).unwrap();
        let mut after = None;
        while after.is_none() {
            after = post(&server, "/v3/kv/range", &json!({"key": A})).await;
        }
        let found = !after.unwrap().json()["kvs"].is_null();
        expect_that!(found, eq(case.applied), "{}", case.name);
    }
}

/// Guards against a roll-back that keeps later writes or goes beyond the history.
#[gtest]
#[tokio::test]
async fn roll_back() {
    let server = Server::start(quick()).unwrap();
    for value in [ONE, TWO] {
        answer(&server, "/v3/kv/put", json!({"key": A, "value": value})).await;
    }
    answer(&server, "/v3/kv/deleterange", json!({"key": A})).await;
    expect_true!(server.command(&Command::RollBack { revision: 9 }).is_err());
    server.command(&Command::RollBack { revision: 2 }).unwrap();
    let mut range = None;
    while range.is_none() {
        range = post(&server, "/v3/kv/range", &json!({"key": A})).await;
    }
    let range = range.unwrap().json();
    expect_that!(range["kvs"][0]["value"], eq(&json!(ONE)));
    expect_that!(range["header"]["revision"], eq(&json!("2")));
}

/// Guards against a service that takes more or larger writes than the platform's.
#[gtest]
#[tokio::test]
async fn limits() {
    let options = Options { writes_per_second: 1, reads_per_second: 1, ..quick() };
    let server = Server::start(options).unwrap();
    for (path, body) in [("put", json!({"key": A})), ("range", json!({"key": A}))] {
        let mut statuses = Vec::new();
        for _ in 0..3 {
            statuses.push(post(&server, &format!("/v3/kv/{path}"), &body).await.unwrap().status);
        }
        expect_that!(statuses, contains(eq(&429)), "{path}");
        expect_that!(statuses[0], eq(200), "{path}");
    }
    expect_that!(server.counters().limited, ge(2));
    let server = Server::start(quick()).unwrap();
    let large = "A".repeat(VALUE_LIMIT_BYTES.div_ceil(3) * 4 + 4);
    let refused = post(&server, "/v3/kv/put", &json!({"key": A, "value": large})).await.unwrap();
    expect_that!(refused.status, eq(400));
    expect_that!(server.revision(), eq(1));
}
