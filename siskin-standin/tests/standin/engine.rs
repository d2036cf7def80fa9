//! Engine: answers, batching, cache, orders and faults.

use {
    crate::call::{Answer, call, open, read, until},
    googletest::prelude::*,
    serde_json::{Value, json},
    siskin_standin::{
        engine::{Options, Server, text},
        fault::{Command, Fault},
        run::End,
    },
    std::time::Duration,
};

const CHAT: &str = "/v1/chat/completions";

fn quick() -> Options {
    Options {
        token_interval: Duration::from_millis(2),
        load_lag: Duration::ZERO,
        events_lag: Duration::ZERO,
        control: true,
        ..Options::default()
    }
}

fn body(message: &str, tokens: u32, stream: bool) -> String {
    json!({
        "model": "m", "stream": stream, "max_tokens": tokens, "user": "c1",
        "messages": [{"role": "user", "content": message}],
    })
    .to_string()
}

async fn chat(server: &Server, id: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    let mut all = vec![("x-request-id", id)];
    all.extend_from_slice(headers);
    call(server.address(), "POST", CHAT, &all, body).await
}

fn joined(events: &[(u32, String)]) -> String {
    events.iter().map(|(_, text)| text.as_str()).collect()
}

/// Guards against answers that do not show whose they are or differ between the two forms.
#[gtest]
#[tokio::test]
async fn answers() {
    let server = Server::start(quick()).unwrap();
    let whole = chat(&server, "a", &[], &body("hello", 5, false)).await.unwrap();
    let value = whole.json();
    expect_that!(whole.request, eq("a"));
    expect_that!(value["choices"][0]["message"]["content"], eq(&json!(text("a", "hello", 5))));
    expect_that!(value["usage"]["completion_tokens"], eq(&json!(5)));
    let stream = chat(&server, "b", &[], &body("hello", 5, true)).await.unwrap();
    let events = stream.events();
    expect_that!(joined(&events), eq(&text("b", "hello", 5)));
    expect_that!(events.iter().map(|(id, _)| *id).collect::<Vec<_>>(), eq(&vec![1, 2, 3, 4, 5, 6]));
    expect_true!(stream.done() && stream.complete);
    expect_that!(server.runs("a"), eq(1));
    let service = server.service()["c1"];
    expect_that!((service.units, service.running), (ge(10), eq(0)));
}

/// Guards against lost and doubled tokens when a stream is resumed at any offset.
#[gtest]
#[tokio::test]
async fn resume() {
    struct Case {
        name: &'static str,
        fault: Fault,
    }
    let cases = [
        Case { name: "cut", fault: Fault::Cut { after_events: 3 } },
        Case { name: "cut at once", fault: Fault::Cut { after_events: 0 } },
        Case { name: "cut before the last event", fault: Fault::Cut { after_events: 8 } },
    ];
    for case in cases {
        let server = Server::start(quick()).unwrap();
        server.command(Command::once(case.fault));
        let request = body("hello", 8, true);
        let first = chat(&server, "r", &[], &request).await.unwrap();
        expect_false!(first.complete, "{}", case.name);
        let mut events = first.events();
        let last = events.last().map_or(0, |(id, _)| *id).to_string();
        let headers = [("last-event-id", last.as_str())];
        let second = chat(&server, "r", &headers, &request).await.unwrap();
        events.extend(second.events());
        expect_that!(joined(&events), eq(&text("r", "hello", 8)), "{}", case.name);
        expect_true!(second.done(), "{}", case.name);
        expect_that!(server.runs("r"), eq(1), "{}", case.name);
    }
    let server = Server::start(quick()).unwrap();
    let unknown = chat(&server, "x", &[("last-event-id", "2")], &body("hello", 8, true)).await;
    let unknown = unknown.unwrap();
    expect_true!(unknown.status == 404 && unknown.not_started);
}

/// Guards against a silent connection that blocks new ones or that cannot be taken over.
#[gtest]
#[tokio::test]
async fn silence() {
    let server = Server::start(quick()).unwrap();
    server.command(Command::once(Fault::Silence { after_events: 2 }));
    let request = body("hello", 6, true);
    let headers = [("x-request-id", "s")];
    let silent = open(server.address(), "POST", CHAT, &headers, &request).await.unwrap();
    let mut length = 0;
    for index in 0..2 {
        length += text("s", "hello", index + 1).len();
    }
    let first = read(silent, length).await;
    let load = call(server.address(), "GET", "/load", &[], "").await.unwrap();
    expect_that!(load.json()["slots"], eq(&json!(8)));
    let mut events = first.events();
    let last = events.last().unwrap().0.to_string();
    let second = chat(&server, "s", &[("last-event-id", &last)], &request).await.unwrap();
    events.extend(second.events());
    expect_that!(joined(&events), eq(&text("s", "hello", 6)));
}

/// Guards against more running requests than slots and against a waiting list out of order.
///
/// The first two requests run until they are cancelled, so the counts do not depend on the machine's speed.
#[gtest]
#[tokio::test]
async fn batching() {
    let options = Options { slots: 2, ..quick() };
    let server = Server::start(options).unwrap();
    let mut calls = Vec::new();
    for index in 0..6_u32 {
        let (address, id) = (server.address(), format!("q{index}"));
        let tokens = if index < 2 { 50_000 } else { 10 };
        let request = body("hello", tokens, false);
        calls.push(tokio::spawn(async move {
            call(address, "POST", CHAT, &[("x-request-id", &id)], &request).await
        }));
        until("arrival", || {
            let load = server.load();
            load.running + load.waiting == index + 1
        })
        .await;
    }
    expect_that!(server.load().running, eq(2));
    expect_that!(server.load().waiting, eq(4));
    for (index, waiting) in calls.into_iter().enumerate() {
        if index < 2 {
            let path = format!("/v1/requests/q{index}");
            let answer = call(server.address(), "DELETE", &path, &[], "").await.unwrap();
            expect_that!(answer.status, eq(200));
            continue;
        }
        expect_that!(waiting.await.unwrap().unwrap().status, eq(200));
    }
    let mut log = server.log();
    log.sort_by_key(|run| run.started);
    let order: Vec<_> = log.iter().map(|run| run.request.as_str()).collect();
    expect_that!(order, eq(&vec!["q0", "q1", "q2", "q3", "q4", "q5"]));
}

/// Guards against work that goes on after the caller has left.
#[gtest]
#[tokio::test]
async fn cancel() {
    let server = Server::start(Options { slots: 1, ..quick() }).unwrap();
    for way in ["close", "delete"] {
        let request = body("hello", 5_000, true);
        let headers = [("x-request-id", way)];
        let response = open(server.address(), "POST", CHAT, &headers, &request).await.unwrap();
        if way == "delete" {
            let path = format!("/v1/requests/{way}");
            let answer = call(server.address(), "DELETE", &path, &[], "").await.unwrap();
            expect_that!(answer.status, eq(200));
            expect_false!(read(response, usize::MAX).await.complete);
        } else {
            drop(response);
        }
        until(way, || server.load().running == 0).await;
        expect_that!(server.log().last().unwrap().end, eq(End::Cancelled), "{way}");
    }
}

/// Guards against a cache that does not shorten prompts, is unlimited or does not report itself.
#[gtest]
#[tokio::test]
async fn cache() {
    let server = Server::start(Options { cache_tokens: 64, ..quick() }).unwrap();
    let long = "p".repeat(200);
    let cached = |answer: &Answer| answer.json()["usage"]["prompt_tokens_details"].clone();
    let mut seen = Vec::new();
    for (id, prompt) in [("1", &long), ("2", &long), ("3", &"q".repeat(400)), ("4", &long)] {
        let answer = chat(&server, id, &[], &body(prompt, 1, false)).await.unwrap();
        seen.push(cached(&answer)["cached_tokens"].as_u64().unwrap());
    }
    expect_that!(seen, eq(&vec![0, 48, 0, 0]));
    let events = call(server.address(), "GET", "/cache/events?after=1", &[], "").await.unwrap();
    let events = events.json()["events"].as_array().unwrap().clone();
    expect_true!(events.iter().any(|event| event["kind"] == "removed" && event["request"] == "3"));
    expect_true!(events.iter().all(|event| event["number"].as_u64() > Some(1)));
}

/// Guards against orders of an earlier lease holder and against loads that take no time.
#[gtest]
#[tokio::test]
async fn orders() {
    struct Case {
        name: &'static str,
        check: bool,
        fencing: u64,
        want: u16,
    }
    let cases = [
        Case { name: "newer", check: true, fencing: 8, want: 200 },
        Case { name: "same", check: true, fencing: 7, want: 200 },
        Case { name: "older, checked", check: true, fencing: 6, want: 409 },
        Case { name: "older, ignored", check: false, fencing: 6, want: 200 },
    ];
    for case in cases {
        let models = vec!["a".to_owned()];
        let options = Options { check_fencing: case.check, models, ..quick() };
        let server = Server::start(options).unwrap();
        expect_that!(order(&server, 7, json!(["a"])).await.status, eq(200), "{}", case.name);
        let early = chat(&server, "e", &[], &body("hello", 1, false)).await.unwrap();
        expect_true!(early.not_started, "{}", case.name);
        let answer = order(&server, case.fencing, json!(["a", "m"])).await;
        expect_that!(answer.status, eq(case.want), "{}", case.name);
        if case.want == 409 {
            expect_that!(answer.json()["fencing"], eq(&json!(7)), "{}", case.name);
        } else {
            expect_that!(answer.json()["loading"], eq(&json!(["m"])), "{}", case.name);
            until("load", || server.load().models.len() == 2).await;
            let late = chat(&server, "l", &[], &body("hello", 1, false)).await.unwrap();
            expect_that!(late.status, eq(200), "{}", case.name);
        }
    }
}

/// Guards against an engine that serves what it has unloaded, goes on with requests for it, or serves whole requests in
/// a role that does not.
#[gtest]
#[tokio::test]
async fn orders_of_versions_adapters_and_roles() {
    let models = vec!["m".to_owned()];
    let options = Options { models, version: "1".to_owned(), ..quick() };
    let server = Server::start(options).unwrap();
    let send = async |order: Value| {
        call(server.address(), "POST", "/orders", &[], &order.to_string()).await.unwrap()
    };
    let adapters = json!({"m:a": "m"});
    for order in [
        json!({"fencing": 1, "models": ["m"], "role": "serve"}),
        json!({"fencing": 1, "models": ["m:a"], "adapters": adapters}),
    ] {
        expect_that!(send(order).await.status, eq(400));
    }
    let stream = body("hello", 5_000, true);
    let running = async |id: &str| {
        open(server.address(), "POST", CHAT, &[("x-request-id", id)], &stream).await.unwrap()
    };
    let kept = running("r").await;
    let order = json!({"fencing": 1, "models": ["m", "m:a"], "adapters": adapters});
    send(order).await;
    until("adapter", || server.load().models.len() == 2).await;
    expect_that!(server.load().running, eq(1), "a load cuts nothing off");
    let order = json!({
        "fencing": 1, "models": ["m", "m:a"], "adapters": adapters, "versions": {"m": "2"}
    });
    let answer = send(order).await.json();
    expect_that!(answer["loading"], eq(&json!(["m", "m:a"])), "the adapter goes with its base");
    expect_that!(answer["versions"]["m"], eq(&json!("2")));
    expect_false!(read(kept, usize::MAX).await.complete, "a new version cuts requests off");
    until("version", || server.load().models.len() == 2).await;
    let kept = running("s").await;
    send(json!({"fencing": 1, "models": ["m"], "role": "prefill"})).await;
    expect_false!(read(kept, usize::MAX).await.complete, "a change of role cuts requests off");
    let refused = chat(&server, "p", &[], &body("hello", 1, false)).await.unwrap();
    expect_true!(refused.not_started);
    expect_that!(server.load().role, eq("prefill"));
}

async fn order(server: &Server, fencing: u64, models: Value) -> Answer {
    let order = json!({"fencing": fencing, "models": models}).to_string();
    call(server.address(), "POST", "/orders", &[], &order).await.unwrap()
}

/// Guards against an engine whose software version cannot be told from its load report.
#[gtest]
#[tokio::test]
async fn software() {
    struct Case {
        software: Option<&'static str>,
        want: serde_json::Value,
    }
    let cases = [
        Case { software: None, want: json!("1") },
        Case { software: Some("2"), want: json!("2") },
        Case { software: Some(""), want: json!(null) },
    ];
    for case in cases {
        let mut options = quick();
        if let Some(software) = case.software {
            options.software = software.to_owned();
        }
        let server = Server::start(options).unwrap();
        let load = call(server.address(), "GET", "/load", &[], "").await.unwrap();
        expect_that!(load.json()["software"], eq(&case.want), "{:?}", case.software);
    }
}

/// Guards against a crash that leaves connections open or keeps the instance number.
#[gtest]
#[tokio::test]
async fn crash() {
    let server = Server::start(quick()).unwrap();
    let before = server.load().instance;
    let restart_ms = 600_000;
    server.command(Command::always(Fault::CrashOn { text: "poison".to_owned(), restart_ms }));
    let bystander = body("hello", 5_000, true);
    let headers = [("x-request-id", "by")];
    let response = open(server.address(), "POST", CHAT, &headers, &bystander).await.unwrap();
    expect_true!(chat(&server, "p", &[], &body("poison", 1, false)).await.is_none());
    expect_false!(read(response, usize::MAX).await.complete);
    expect_true!(call(server.address(), "GET", "/load", &[], "").await.is_none());
    expect_that!(server.log()[0].end, eq(End::Crashed));
    server.crash(Duration::ZERO);
    let mut load = None;
    while load.is_none() {
        load = call(server.address(), "GET", "/load", &[], "").await;
    }
    expect_that!(load.unwrap().json()["instance"].as_u64(), some(gt(before)));
}

/// Guards against an engine that still answers while it dies.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crash_gives_no_answer() {
    for round in 0..20 {
        let server = Server::start(quick()).unwrap();
        let (address, request) = (server.address(), body("hello", 5_000, false));
        let waiting =
            tokio::spawn(async move { call(address, "POST", CHAT, &[], &request).await.is_none() });
        until("start", || server.load().running == 1).await;
        server.crash(Duration::ZERO);
        expect_true!(waiting.await.unwrap(), "round {round}");
    }
}

/// Guards against faults that do not happen, or that last longer than asked.
#[gtest]
#[tokio::test]
async fn faults() {
    struct Case {
        name: &'static str,
        fault: Value,
        stream: bool,
        want: fn(&Answer) -> bool,
    }
    let cases = [
        Case {
            name: "crossed",
            fault: json!({"fault": "crossed", "times": 1}),
            stream: false,
            want: |answer| answer.request == "earlier" && answer.text.contains("earlier|"),
        },
        Case {
            name: "doubled events",
            fault: json!({"fault": "doubled", "times": 1}),
            stream: true,
            want: |answer| answer.events().len() == 8 && answer.done(),
        },
        Case {
            name: "cut",
            fault: json!({"fault": "cut", "after_events": 1, "times": 1}),
            stream: false,
            want: |answer| answer.status == 200 && !answer.complete,
        },
        Case {
            name: "refuse",
            fault: json!({"fault": "refuse", "times": 1}),
            stream: true,
            want: |answer| answer.status == 503 && answer.not_started,
        },
        Case {
            name: "only",
            fault: json!({"fault": "refuse", "only": "other", "times": 1}),
            stream: false,
            want: |answer| answer.status == 200,
        },
    ];
    for case in cases {
        let server = Server::start(quick()).unwrap();
        let first = chat(&server, "earlier", &[], &body("hello", 3, false)).await.unwrap();
        expect_that!(first.status, eq(200), "{}", case.name);
        let fault = case.fault.to_string();
        let control = call(server.address(), "POST", "/control", &[], &fault).await.unwrap();
        expect_that!(control.status, eq(200), "{}", case.name);
        let answer = chat(&server, "f", &[], &body("hello", 3, case.stream)).await.unwrap();
        expect_true!((case.want)(&answer), "{}: {}", case.name, answer.text);
        let after = chat(&server, "after", &[], &body("hello", 3, false)).await.unwrap();
        expect_true!(after.complete && after.request == "after", "{}", case.name);
    }
    let closed = Server::start(Options { control: false, ..quick() }).unwrap();
    let control = call(closed.address(), "POST", "/control", &[], r#"{"fault":"refuse"}"#).await;
    expect_that!(control.unwrap().status, eq(404));
}
