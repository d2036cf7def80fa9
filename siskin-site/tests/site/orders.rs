//! Orders that follow from the configuration: engines load and unload models without a request failing.

use {
    crate::support::{get, options, patch, start},
    googletest::prelude::*,
    serde_json::json,
    siskin_site::{
        Customer, Options, Site,
        client::{Answer, CHAT_PATH, Call, send},
    },
    siskin_standin::engine::Server,
    std::time::Duration,
    tokio::time,
};

/// Longest wait for an order to be carried out: a lease time for engines that ignore fencing numbers, a drain and
/// the load itself.
const CARRIED_OUT: Duration = Duration::from_secs(60);

/// Time for which nothing must be ordered; longer than orders take in the other tests.
const OBSERVED: Duration = Duration::from_secs(12);

fn site_options(check_fencing: bool) -> Options {
    let mut options = options();
    for engine in &mut options.engines {
        engine.models = vec!["small".to_owned()];
        engine.check_fencing = check_fencing;
        engine.load_time = Duration::from_millis(100);
    }
    options.fleet = json!({ "load_spacing_ms": 100 });
    options
}

fn loaded(site: &Site, engine: usize) -> Vec<String> {
    let mut models = site.engines[engine].load().models;
    models.sort();
    models
}

async fn wait_for(site: &Site, engine: usize, models: &[&str]) -> bool {
    let carried_out = async {
        while loaded(site, engine) != models {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(CARRIED_OUT, carried_out).await.is_ok()
}

async fn ask(site: &Site, model: &str) -> Answer {
    ask_router(site, 0, model).await
}

async fn ask_router(site: &Site, router: usize, model: &str) -> Answer {
    let body = json!({
        "model": model, "max_tokens": 3, "messages": [{ "role": "user", "content": "x" }]
    });
    let key = Customer::new("agency").key();
    let router = site.router(router).callers();
    send(&Call::post(router, CHAT_PATH, &key, &body.to_string())).await.expect("an answer")
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn engines_load_and_unload_what_the_configuration_says() {
    struct Case {
        name: &'static str,
        check_fencing: bool,
    }
    let cases = [
        Case { name: "engines that check fencing numbers", check_fencing: true },
        Case { name: "engines that ignore fencing numbers", check_fencing: false },
    ];
    let checks = cases.map(|case| async move {
        let site = start(site_options(case.check_fencing)).await;
        let load = json!({
            "models": { "large": { "id": 2, "pool": "chat" } },
            "endpoints": {
                "engine-1": { "models": ["small", "large"] },
                "engine-2": { "models": ["small", "large"] }
            }
        });
        expect_that!(patch(&site, 0, "load", 1, &load).await.status.as_u16(), eq(200));
        for engine in 0..2 {
            expect_true!(wait_for(&site, engine, &["large", "small"]).await, "{}", case.name);
        }
        let answer = ask(&site, "large").await;
        expect_that!(answer.outcome(), eq("completed"), "{}: {answer:?}", case.name);
        let unload = json!({ "endpoints": { "engine-1": { "models": ["large"] } } });
        expect_that!(patch(&site, 1, "unload", 2, &unload).await.status.as_u16(), eq(200));
        let mut failed = Vec::new();
        let unloaded = async {
            while loaded(&site, 0) != ["large"] {
                let answer = ask(&site, "small").await;
                if answer.outcome() != "completed" {
                    failed.push(answer);
                }
            }
        };
        let unloaded = time::timeout(CARRIED_OUT, unloaded).await.is_ok();
        expect_true!(unloaded, "{}", case.name);
        expect_that!(failed, is_empty(), "{}", case.name);
        expect_that!(loaded(&site, 1), eq(&["large", "small"]), "{}", case.name);
        site.stop().await;
    });
    let [checked, ignored] = checks;
    tokio::join!(checked, ignored);
}

/// Sends calls for the first model through both routers until `done`, and returns those that were not completed.
async fn failed_until(site: &Site, name: &str, done: impl Fn() -> bool) -> Vec<Answer> {
    let mut failed = Vec::new();
    let calls = async {
        while !done() {
            for router in 0..2 {
                let answer = ask_router(site, router, "small").await;
                if answer.outcome() != "completed" {
                    failed.push(answer);
                }
            }
        }
    };
    let in_time = time::timeout(CARRIED_OUT, calls).await.is_ok();
    expect_true!(
        in_time,
        "{name}: {:?}",
        site.engines.iter().map(Server::load).collect::<Vec<_>>()
    );
    failed
}

/// Guards against a change of version, adapter or role that cuts calls off, takes an engine of a model while another is
/// out, or leaves calls at an engine that cannot serve them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn versions_adapters_and_roles_change_under_calls() {
    let checks = [true, false].map(|check_fencing| async move {
        let name = if check_fencing { "checked" } else { "ignored" };
        let mut options = site_options(check_fencing);
        options.engines.iter_mut().for_each(|engine| engine.version = "1".to_owned());
        let site = start(options).await;
        let upgrade = json!({
            "models": {
                "small": { "version": "2" },
                "small:legal": { "id": 3, "pool": "chat", "base": "small" }
            },
            "endpoints": {
                "engine-1": { "models": ["small", "small:legal"] },
                "engine-2": { "models": ["small", "small:legal"] }
            }
        });
        expect_that!(patch(&site, 0, "upgrade", 1, &upgrade).await.status.as_u16(), eq(200));
        let upgraded = || {
            (0..2).all(|engine| {
                let versions = site.engines[engine].load().versions;
                let version = versions.get("small").is_some_and(|version| version == "2");
                version && loaded(&site, engine) == ["small", "small:legal"]
            })
        };
        let failed = failed_until(&site, name, upgraded).await;
        expect_that!(failed, is_empty(), "{name}: new version");
        for router in 0..2 {
            let answer = ask_router(&site, router, "small:legal").await;
            expect_that!(answer.outcome(), eq("completed"), "{name}: {answer:?}");
        }
        let unload = json!({ "endpoints": { "engine-2": { "models": ["small"] } } });
        expect_that!(patch(&site, 1, "unload", 2, &unload).await.status.as_u16(), eq(200));
        let unloaded = || site.engines[1].load().models == ["small"];
        let failed = failed_until(&site, name, unloaded).await;
        expect_that!(failed, is_empty(), "{name}: adapter unloaded");
        let decode = json!({
            "models": { "small:legal": null },
            "endpoints": { "engine-1": { "role": "decode", "models": ["small"] } }
        });
        expect_that!(patch(&site, 1, "decode", 3, &decode).await.status.as_u16(), eq(200));
        let decodes = || site.engines[0].load().role == "decode";
        let failed = failed_until(&site, name, decodes).await;
        expect_that!(failed, is_empty(), "{name}: role");
        let before = site.engines[0].log().len();
        for router in (0..2).cycle().take(20) {
            let answer = ask_router(&site, router, "small").await;
            expect_that!(answer.outcome(), eq("completed"), "{name}: {answer:?}");
        }
        expect_that!(site.engines[0].log().len(), eq(before), "{name}: no calls in role decode");
        expect_that!(site.engines[1].load().role, eq("both"), "{name}");
        site.stop().await;
    });
    let [checked, ignored] = checks;
    tokio::join!(checked, ignored);
}

/// Guards against calls that go to an engine which does not report their model, over and over, while it waits for its
/// load: a router that does not know the engine may try once, and each such call is sent to another engine.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_go_where_their_model_is_loaded() {
    let mut options = site_options(true);
    options.engines[1].models.push("large".to_owned());
    // The other engine does not load the model within the test.
    options.fleet = json!({ "load_spacing_ms": 600_000 });
    let site = start(options).await;
    let large = json!({
        "models": { "large": { "id": 2, "pool": "chat" } },
        "endpoints": {
            "engine-1": { "models": ["small", "large"] },
            "engine-2": { "models": ["small", "large"] }
        }
    });
    expect_that!(patch(&site, 0, "large", 1, &large).await.status.as_u16(), eq(200));
    let known = async {
        while (0..2).any(|router| site.router(router).config_version() < 2) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(CARRIED_OUT, known).await.expect("the patch is in force");
    for router in (0..2).cycle().take(100) {
        let (small, large) =
            tokio::join!(ask_router(&site, router, "small"), ask_router(&site, router, "large"));
        expect_that!(small.outcome(), eq("completed"), "{small:?}");
        expect_that!(large.outcome(), eq("completed"), "{large:?}");
    }
    for router in 0..2 {
        let retries = &site.router(router).metrics().retries;
        let refused = retries.with_label_values(&["endpoint_refused"]).get();
        expect_that!(refused, le(1), "router {router}");
    }
    expect_that!(loaded(&site, 0), eq(&["small"]));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_last_engine_of_a_model_keeps_it() {
    let site = start(site_options(true)).await;
    site.engines[1].stop();
    let unload = json!({
        "models": { "large": { "id": 2, "pool": "chat" } },
        "endpoints": { "engine-1": { "models": ["large"] } }
    });
    expect_that!(patch(&site, 0, "unload", 1, &unload).await.status.as_u16(), eq(200));
    let lost = async {
        while loaded(&site, 0).contains(&"small".to_owned()) {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    let lost = time::timeout(OBSERVED, lost).await.is_ok();
    expect_false!(lost, "no engine serves the model any more");
    let told = async {
        loop {
            for router in 0..2 {
                let alarms = get(&site, router, "/v1/status").await["alarms"].to_string();
                if alarms.contains("last ready engine") {
                    return;
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_true!(time::timeout(CARRIED_OUT, told).await.is_ok(), "operators are told");
    site.stop().await;
}
