//! Guards against a program that does not start with the settings that its help names, takes bad ones, or does
//! not end when it is told to.

use {
    googletest::prelude::*,
    serde_json::json,
    siskin_config::document::Hash,
    siskin_standin::{engine, kv, loopback},
    std::{
        net::{SocketAddr, TcpListener},
        process::Stdio,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        process::{Child, Command},
        time,
    },
};

const PATIENCE: Duration = Duration::from_secs(20);

/// Time for which a router is frozen: longer than grants last.
const FREEZE: Duration = Duration::from_secs(4);

const DOCUMENT: &str = r#"{
    "customers": { "one": { "id": 1, "max_in_flight": 8, "max_queue": 8 } },
    "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 1000 } },
    "models": { "small": { "id": 1, "pool": "chat" } }
}"#;

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskin-router"));
    command
        .args(arguments)
        .env_clear()
        .env("SISKIN_FLEET_KEY", "fleet-key-of-the-test")
        .env("SISKIN_HASH_KEY", "hash-key-of-the-test")
        .env("SISKIN_OPERATOR_TOKEN", "operator-token-of-the-test")
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// A port that nothing else uses, on an address of its own.
fn free() -> SocketAddr {
    let listener = TcpListener::bind((loopback::address(), 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

async fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    exchange(address, &request).await
}

/// Sends a request on a connection of its own and returns the whole answer.
async fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn starts_with_its_settings_and_ends_on_a_signal() {
    let store = kv::Server::start(kv::Options::default()).expect("the store starts");
    let document = std::env::temp_dir().join(format!("siskin-{}.json", std::process::id()));
    std::fs::write(&document, DOCUMENT).expect("the document is written");
    let (listen, control, operator) = (free(), free(), free());
    let settings = [
        "--node",
        "7",
        "--listen",
        &listen.to_string(),
        "--control",
        &control.to_string(),
        "--operator",
        &operator.to_string(),
        "--store",
        &store.address().to_string(),
        "--bootstrap",
        &document.display().to_string(),
        "--stop-notice-ms",
        "100",
        "--stop-timeout-ms",
        "1000",
    ]
    .map(str::to_owned);
    let arguments: Vec<&str> = settings.iter().map(String::as_str).collect();
    let mut router = command(&arguments).spawn().expect("the program starts");
    expect_true!(ready(listen).await, "the router becomes ready");
    let metrics = get(operator, "/metrics").await.unwrap_or_default();
    expect_that!(metrics, contains_substring("siskin_config_version 1"));
    expect_that!(stop(&mut router).await, some(eq(0)));
    std::fs::remove_file(document).expect("the document is removed");
}

/// Sends a signal with the shell's own `kill`.
async fn send_signal(router: &Child, signal: &str) {
    let process = router.id().expect("the router runs");
    let command = format!("kill -{signal} {process}");
    let sent = Command::new("/bin/sh").args(["-c", &command]).status().await;
    expect_true!(sent.is_ok_and(|status| status.success()));
}

/// Sends SIGTERM and returns the exit code.
async fn stop(router: &mut Child) -> Option<i32> {
    send_signal(router, "TERM").await;
    time::timeout(PATIENCE, router.wait()).await.ok()?.ok()?.code()
}

/// Waits until a router takes requests.
async fn ready(listen: SocketAddr) -> bool {
    let ready = async {
        while !get(listen, "/readyz").await.is_ok_and(|answer| answer.contains("200 OK")) {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(PATIENCE, ready).await.is_ok()
}

/// Sends a model call and returns the whole answer.
async fn ask(router: SocketAddr) -> std::io::Result<String> {
    let body =
        r#"{"model": "small", "max_tokens": 2, "messages": [{"role": "user", "content": "x"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer one-key\r\n\
         x-siskin-timeout-ms: 15000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(router, &request).await
}

/// Guards against a fleet that depends on one process: each of two routers is frozen, woken and killed in turn, and the
/// other serves on. One of them owns the pool, so the role moves both ways.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn two_processes_survive_each_other() {
    let store = kv::Server::start(kv::Options::default()).expect("the store starts");
    let engines: Vec<_> = (0..2)
        .map(|_| engine::Server::start(engine::Options::default()).expect("an engine starts"))
        .collect();
    let document = fleet_document(&engines);
    let path = std::env::temp_dir().join(format!("siskin-fleet-{}.json", std::process::id()));
    std::fs::write(&path, document).expect("the document is written");
    let nodes = [(free(), free()), (free(), free())];
    let mut routers = Vec::new();
    for (number, (listen, control)) in (1..).zip(&nodes) {
        let seeds = format!("{},{}", nodes[0].1, nodes[1].1);
        let settings = [
            "--node",
            &number.to_string(),
            "--listen",
            &listen.to_string(),
            "--control",
            &control.to_string(),
            "--operator",
            &free().to_string(),
            "--store",
            &store.address().to_string(),
            "--seeds",
            &seeds,
            "--bootstrap",
            &path.display().to_string(),
            "--log",
            "error",
        ]
        .map(str::to_owned);
        let arguments: Vec<&str> = settings.iter().map(String::as_str).collect();
        routers.push(command(&arguments).spawn().expect("the program starts"));
    }
    for (listen, _) in &nodes {
        expect_true!(ready(*listen).await, "{listen} becomes ready");
        for _ in 0..5 {
            let answer = ask(*listen).await.expect("an answer");
            expect_that!(answer, contains_substring("x-siskin-outcome: completed"));
        }
    }
    for frozen in 0..2 {
        let other = nodes[1 - frozen].0;
        send_signal(&routers[frozen], "STOP").await;
        let answer = ask(other).await.expect("an answer");
        expect_that!(
            answer,
            contains_substring("x-siskin-outcome: completed"),
            "while {frozen} is frozen"
        );
        time::sleep(FREEZE).await;
        send_signal(&routers[frozen], "CONT").await;
        expect_true!(ready(nodes[frozen].0).await, "{frozen} is ready after it was woken");
        let answer = ask(nodes[frozen].0).await.expect("an answer");
        expect_that!(answer, contains_substring("x-siskin-outcome: completed"), "{frozen} woken");
    }
    send_signal(&routers[0], "KILL").await;
    let answer = ask(nodes[1].0).await.expect("an answer");
    expect_that!(answer, contains_substring("x-siskin-outcome: completed"), "after a kill");
    std::fs::remove_file(path).expect("the document is removed");
}

fn fleet_document(engines: &[engine::Server]) -> String {
    let endpoint = |(id, engine): (u32, &engine::Server)| {
        let value = json!({
            "id": id, "kind": "engine", "pool": "chat", "address": engine.address(),
            "data_centre": "loopback", "models": ["small"], "slots": 8
        });
        (format!("engine-{id}"), value)
    };
    let endpoints: serde_json::Map<_, _> = (1..).zip(engines).map(endpoint).collect();
    json!({
        "customers": { "one": {
            "id": 1, "max_in_flight": 8, "max_queue": 8, "key_hashes": [Hash::of(b"one-key")]
        } },
        "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 1000 } },
        "models": { "small": { "id": 1, "pool": "chat" } },
        "endpoints": endpoints
    })
    .to_string()
}

#[gtest]
#[tokio::test]
async fn bad_usage_ends_with_code_2_and_a_remedy() {
    struct Case {
        name: &'static str,
        arguments: &'static [&'static str],
        want: &'static str,
    }
    let cases = [
        Case {
            name: "no node",
            arguments: &["--store", "127.0.0.1:1"],
            want: "--node (SISKIN_NODE) is missing",
        },
        Case { name: "no store", arguments: &["--node", "1"], want: "--store (SISKIN_STORE)" },
        Case {
            name: "range",
            arguments: &["--node", "1", "--store", "127.0.0.1:1", "--stop-timeout-ms", "x"],
            want: "use a number from 0 to 600000",
        },
        Case { name: "unknown flag", arguments: &["--nodes", "1"], want: "nodes" },
    ];
    for case in cases {
        let output = command(case.arguments).output().await.expect(case.name);
        expect_that!(output.status.code(), some(eq(2)), "{}", case.name);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(text, contains_substring(case.want), "{}", case.name);
    }
    let help = command(&["--help"]).stdout(Stdio::piped()).output().await.expect("the help");
    expect_that!(help.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    for setting in siskin_router::settings::TABLE {
        expect_that!(text, contains_substring(setting.variable));
    }
}
