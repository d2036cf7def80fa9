//! Guards against a program that does not start with the settings that its help names, takes bad ones, or does
//! not end when it is told to.

use {
    crate::process::{Fleet, PATIENCE, ask, command, document, free, get, ready, send_signal},
    googletest::prelude::*,
    serde_json::json,
    siskin_standin::{engine, kv},
    std::{process::Stdio, time::Duration},
    tokio::{process::Child, time},
};

/// Time for which a router is frozen: longer than grants last.
const FREEZE: Duration = Duration::from_secs(4);

const DOCUMENT: &str = r#"{
    "customers": { "one": { "id": 1, "max_in_flight": 8, "max_queue": 8 } },
    "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 1000 } },
    "models": { "small": { "id": 1, "pool": "chat" } }
}"#;

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

/// Sends SIGTERM and returns the exit code.
async fn stop(router: &mut Child) -> Option<i32> {
    send_signal(router, "TERM").await;
    time::timeout(PATIENCE, router.wait()).await.ok()?.ok()?.code()
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
    let addresses: Vec<_> = engines.iter().map(engine::Server::address).collect();
    let mut fleet = Fleet::start(2, &store, &document(&addresses, &json!({})));
    let nodes = &mut fleet.routers;
    for router in &*nodes {
        let listen = router.listen;
        expect_true!(ready(listen).await, "{listen} becomes ready");
        for _ in 0..5 {
            let answer = ask(listen, "small").await.expect("an answer");
            expect_that!(answer, contains_substring("x-siskin-outcome: completed"));
        }
    }
    for frozen in 0..2 {
        let other = nodes[1 - frozen].listen;
        send_signal(&nodes[frozen].process, "STOP").await;
        let answer = ask(other, "small").await.expect("an answer");
        expect_that!(
            answer,
            contains_substring("x-siskin-outcome: completed"),
            "while {frozen} is frozen"
        );
        time::sleep(FREEZE).await;
        send_signal(&nodes[frozen].process, "CONT").await;
        expect_true!(ready(nodes[frozen].listen).await, "{frozen} is ready after it was woken");
        let answer = ask(nodes[frozen].listen, "small").await.expect("an answer");
        expect_that!(answer, contains_substring("x-siskin-outcome: completed"), "{frozen} woken");
    }
    send_signal(&nodes[0].process, "KILL").await;
    let answer = ask(nodes[1].listen, "small").await.expect("an answer");
    expect_that!(answer, contains_substring("x-siskin-outcome: completed"), "after a kill");
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
