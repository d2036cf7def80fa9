//! Operators' patches: accepted once, in force everywhere, refused when stale, and never undone by failures.

use {
    crate::support::{get, operator_call, options, patch, runs, start},
    googletest::prelude::*,
    hyper::Method,
    serde_json::{Value, json},
    siskin_site::{
        Customer, Options, Site,
        client::{Call, send},
    },
    siskin_standin::kv,
    siskin_types::id::Node,
    std::time::{Duration, Instant},
    tokio::time,
};

/// Time in which an accepted version has to be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Time after which a leaving endpoint gets no new work from any router.
const LEAVING: Duration = Duration::from_secs(3);

/// Waits until all running routers have a version in force.
async fn in_force(site: &Site, version: u64) -> bool {
    let everywhere = async {
        while !site.running().all(|router| router.config_version() >= version) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(IN_FORCE, everywhere).await.is_ok()
}

fn weight(weight: u32) -> Value {
    json!({ "customers": { "planner": { "weight": weight } } })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn patches_follow_one_history() {
    let site = start(Options { routers: 4, ..options() }).await;
    let accepted = patch(&site, 0, "one", 1, &weight(3)).await;
    expect_that!((accepted.status.as_u16(), &*accepted.body), eq((200, r#"{"version":2}"#)));
    expect_true!(in_force(&site, 2).await);
    let stale = patch(&site, 1, "two", 1, &weight(4)).await;
    expect_that!(stale.status.as_u16(), eq(409), "{stale:?}");
    let told: Value = serde_json::from_str(&stale.body).unwrap();
    expect_that!(told["current"], eq(&json!(2)), "{told}");
    expect_that!(told["changes_since"][0]["patch"], eq(&json!("one")), "{told}");
    let again = patch(&site, 2, "one", 1, &weight(3)).await;
    expect_that!(again.body, eq(&accepted.body), "a repeated patch returns its first result");
    let reused = patch(&site, 2, "one", 2, &weight(9)).await;
    expect_that!(reused.status.as_u16(), eq(422), "{reused:?}");
    expect_that!(reused.body, contains_substring("use a new identifier"));
    let invalid = json!({ "customers": { "planner": { "max_queue": "many" } } });
    let invalid = patch(&site, 0, "three", 2, &invalid).await;
    expect_that!(invalid.status.as_u16(), eq(422), "{invalid:?}");
    expect_that!(invalid.body, contains_substring("remedy"));
    let config = get(&site, 3, "/v1/config").await;
    expect_that!(config["version"], eq(&json!(2)));
    expect_that!(config["document"]["customers"]["planner"]["weight"], eq(&json!(3)));
    let diff = get(&site, 3, "/v1/config/diff?from=1&to=2").await;
    expect_that!(diff["changes"], eq(&weight(3)));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins() {
    let site = start(Options { routers: 3, ..options() }).await;
    for base in 1..=5_u64 {
        let (one, two) = (format!("one-{base}"), format!("two-{base}"));
        let (first, second) = (weight(10), weight(20));
        let (first, second) =
            tokio::join!(patch(&site, 0, &one, base, &first), patch(&site, 1, &two, base, &second));
        let mut codes = [first.status.as_u16(), second.status.as_u16()];
        codes.sort_unstable();
        expect_that!(codes, eq([200, 409]), "{first:?} {second:?}");
        expect_true!(in_force(&site, base + 1).await);
    }
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_the_token_are_refused() {
    let site = start(options()).await;
    let wrong =
        Call { key: "wrong".to_owned(), ..operator_call(&site, 0, Method::GET, "/v1/config", "") };
    let answer = send(&wrong).await.unwrap();
    expect_that!(answer.status.as_u16(), eq(401), "{answer:?}");
    expect_that!(answer.body, not(contains_substring("customers")));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_new_work_and_ends_what_it_runs() {
    let site = start(options()).await;
    let key = Customer::new("agency").key();
    let long = Call::chat(site.router(0).callers(), &key, "long", 1_500, true);
    let streams: Vec<_> = (0..4)
        .map(|_| {
            let call = long.clone();
            tokio::spawn(async move { send(&call).await })
        })
        .collect();
    time::sleep(Duration::from_millis(200)).await;
    let leaving = json!({ "endpoints": { "engine-1": { "leaving": true } } });
    let accepted = patch(&site, 0, "drain", 1, &leaving).await;
    expect_that!(accepted.status.as_u16(), eq(200), "{accepted:?}");
    time::sleep(LEAVING).await;
    let started = site.engines[0].log().len();
    for index in 0..40 {
        let router = site.router(index % 2).callers();
        let answer = send(&Call::chat(router, &key, "short", 3, false)).await.unwrap();
        expect_that!(answer.outcome(), eq("completed"), "{answer:?}");
    }
    expect_that!(site.engines[0].log().len(), eq(started));
    for stream in streams {
        let answer = stream.await.unwrap().unwrap();
        expect_true!(answer.body.trim_end().ends_with("data: [DONE]"), "a stream was cut off");
    }
    let empty = async {
        loop {
            let listed = get(&site, 1, "/v1/endpoints").await;
            let listed = listed["endpoints"].as_array().unwrap().clone();
            let engine = listed.iter().find(|endpoint| endpoint["name"] == "engine-1").unwrap();
            if engine["empty"] == json!(true) {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_true!(
        time::timeout(IN_FORCE, empty).await.is_ok(),
        "the operator sees that it is empty"
    );
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_stops_patches_but_not_requests() {
    let mut site = start(Options { routers: 3, ..options() }).await;
    expect_that!(patch(&site, 0, "before", 1, &weight(7)).await.status.as_u16(), eq(200));
    expect_true!(in_force(&site, 2).await);
    site.store.command(&kv::Command::Unavailable).unwrap();
    let refused = patch(&site, 0, "during", 2, &weight(8)).await;
    expect_that!(refused.status.as_u16(), eq(503), "{refused:?}");
    site.kill_router(2);
    site.restart_router(2, |settings| settings).await.unwrap();
    let ready = async {
        while !site.router(2).ready() {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    let ready = time::timeout(Duration::from_secs(10), ready).await;
    expect_true!(ready.is_ok(), "a restarted router gets the configuration from its peers");
    expect_that!(site.router(2).config_version(), eq(2));
    let key = Customer::new("agency").key();
    let answer = send(&Call::chat(site.router(2).callers(), &key, "x", 3, false)).await.unwrap();
    expect_that!(answer.outcome(), eq("completed"), "{answer:?}");
    site.store.command(&kv::Command::Up).unwrap();
    let accepted = async {
        while patch(&site, 1, "after", 2, &weight(9)).await.status.as_u16() != 200 {
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(20), accepted).await.is_ok());
    expect_true!(in_force(&site, 3).await);
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_store_and_members_stops_taking_work() {
    let site = start(Options { routers: 3, ..options() }).await;
    site.store.command(&kv::Command::Unavailable).unwrap();
    site.router(0).block(&[Node(2), Node(3)]);
    site.router(1).block(&[Node(1)]);
    site.router(2).block(&[Node(1)]);
    let cut = Instant::now();
    while site.router(0).ready() && cut.elapsed() < Duration::from_secs(20) {
        time::sleep(Duration::from_millis(20)).await;
    }
    let key = Customer::new("agency").key();
    let alone = send(&Call::chat(site.router(0).callers(), &key, "alone", 3, false)).await.unwrap();
    expect_that!(alone.reason(), eq("isolated"), "{alone:?}");
    expect_that!(runs(&site, alone.request()), eq(0));
    let majority = send(&Call::chat(site.router(1).callers(), &key, "x", 3, false)).await.unwrap();
    expect_that!(majority.outcome(), eq("completed"), "{majority:?}");
    for router in 0..3 {
        site.router(router).block(&[]);
    }
    let healed = async {
        while !site.router(0).ready() {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(40), healed).await.is_ok(), "it serves again");
    site.stop().await;
}

/// Waits until the routers see each other.
async fn joined(site: &Site, members: usize) -> bool {
    let everywhere = async {
        for router in 0..members {
            while get(site, router, "/v1/status").await["visible"] != json!(members) {
                time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    time::timeout(Duration::from_secs(10), everywhere).await.is_ok()
}

/// Cuts the first of three routers off from the others.
fn cut_off(site: &Site) {
    site.router(0).block(&[Node(2), Node(3)]);
    site.router(1).block(&[Node(1)]);
    site.router(2).block(&[Node(1)]);
}

/// Guards against a decision that a side which reaches the store, but no other member, never learns of.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_decision_reaches_the_other_side_through_the_store() {
    let site = start(Options { routers: 3, ..options() }).await;
    expect_true!(joined(&site, 3).await);
    cut_off(&site);
    let accepted = patch(&site, 0, "cut-off", 1, &weight(5)).await;
    expect_that!((accepted.status.as_u16(), &*accepted.body), eq((200, r#"{"version":2}"#)));
    expect_true!(in_force(&site, 2).await);
    site.stop().await;
}

/// Guards against a patch that is put in force, or reported as accepted, although the side without the
/// store does not know of it, and against one that is applied twice when it is sent again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_patch_that_too_few_members_hold_waits() {
    let mut site = start(Options { routers: 3, ..options() }).await;
    for router in [1, 2] {
        site.kill_router(router);
        let no_store = vec!["127.0.0.1:1".parse().unwrap()];
        let change =
            |settings| siskin_router::settings::Settings { store: no_store.clone(), ..settings };
        site.restart_router(router, change).await.unwrap();
    }
    expect_true!(joined(&site, 3).await && in_force(&site, 1).await);
    cut_off(&site);
    let pending = patch(&site, 0, "early", 1, &weight(5)).await;
    expect_that!(pending.status.as_u16(), eq(503), "{pending:?}");
    expect_that!(pending.body, contains_substring("stored as version 2, but not yet confirmed"));
    expect_true!(site.running().all(|router| router.config_version() == 1), "it is in force");
    for router in 0..3 {
        site.router(router).block(&[]);
    }
    let again = async {
        while patch(&site, 0, "early", 1, &weight(5)).await.body != r#"{"version":2}"# {
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(40), again).await.is_ok());
    expect_true!(in_force(&site, 2).await);
    site.stop().await;
}

/// Guards against settings that wait for a restart, and against a page that does not tell who holds the lease.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changed_limits_apply_at_once_and_gauges_are_shown() {
    let site = start(options()).await;
    let page = |router: usize| site.router(router).metrics().page();
    let call = |bytes: usize| {
        let key = Customer::new("agency").key();
        let call = Call::chat(site.router(0).callers(), &key, "short", 2, false);
        call.header("x-long", &"x".repeat(bytes))
    };
    expect_that!(send(&call(2_000)).await.unwrap().outcome(), eq("completed"));
    let limits = json!({ "fleet": { "max_head_bytes": 1_024, "retry_budget_percent": 0 } });
    expect_that!(patch(&site, 0, "limits", 1, &limits).await.status.as_u16(), eq(200));
    expect_true!(in_force(&site, 2).await);
    let refused = send(&call(2_000)).await.unwrap();
    expect_that!((refused.status.as_u16(), refused.reason()), eq((431, "head_too_large")));
    expect_that!(refused.body, contains_substring("send fewer or shorter headers"));
    expect_that!(send(&call(100)).await.unwrap().outcome(), eq("completed"));
    let holders = async {
        loop {
            let mut held = 0;
            for router in 0..2 {
                // The page of the operators' interface reads the gauges anew.
                let address = site.router(router).operators();
                let call = Call { method: Method::GET, ..Call::post(address, "/metrics", "", "") };
                let text = send(&call).await.map(|answer| answer.body).unwrap_or_default();
                held += text.matches("siskin_lease_held{pool=\"chat\"} 1").count();
            }
            if held == 1 {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(60), holders).await.is_ok(), "one holder");
    for line in [
        "siskin_lease_fencing{pool=\"chat\"}",
        "siskin_lease_seconds_left{pool=\"chat\"}",
        "siskin_suspects{pool=\"chat\"} 0",
        "siskin_config_age_seconds ",
        "siskin_config_versions_behind 0",
    ] {
        expect_that!(page(0), contains_substring(line));
    }
    site.stop().await;
}
