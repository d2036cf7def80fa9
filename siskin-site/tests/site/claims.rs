//! A call with an idempotency key runs at most once, whatever fails and however often it is sent.

use {
    crate::support::{command_all, command_one, options, runs, start},
    googletest::prelude::*,
    siskin_site::{
        Customer, Site,
        client::{Answer, Call, send},
    },
    siskin_standin::{
        fault::{Command, Fault},
        kv,
    },
    std::time::Duration,
    tokio::time,
};

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(20);

fn booking(site: &Site, router: usize, key: &str, body: &str) -> Call {
    let router = site.router(router).callers();
    Call::post(router, "/apps/bookings/crews", &Customer::new("agency").key(), body)
        .header("idempotency-key", key)
        .header("x-siskin-timeout-ms", "3000")
}

async fn book(site: &Site, router: usize, key: &str, body: &str) -> Answer {
    send(&booking(site, router, key, body)).await.expect("the call is answered")
}

/// Sends a call until its claim is no longer in progress.
async fn settled(site: &Site, router: usize, key: &str, body: &str) -> Answer {
    let settled = async {
        loop {
            let answer = book(site, router, key, body).await;
            if answer.reason() != "claim_in_progress" {
                return answer;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    time::timeout(PATIENCE, settled).await.expect("the claim is settled")
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gives_the_recorded_answer() {
    let site = start(options()).await;
    let first = book(&site, 0, "crew-7", "confirm").await;
    expect_that!(first.outcome(), eq("completed"), "{first:?}");
    for router in [0, 1] {
        let again = settled(&site, router, "crew-7", "confirm").await;
        expect_that!(again.outcome(), eq("completed"), "{again:?}");
        expect_that!(again.header("x-siskin-replayed"), eq("true"));
        expect_that!(again.body, eq(&first.body));
    }
    let other = book(&site, 1, "crew-7", "cancel").await;
    expect_that!(other.status.as_u16(), eq(422), "{other:?}");
    expect_that!(other.reason(), eq("claim_body_differs"));
    let customer = Customer::new("planner").key();
    let call = Call { key: customer, ..booking(&site, 0, "crew-7", "confirm") };
    let own = send(&call).await.unwrap();
    expect_that!(own.header("x-siskin-replayed"), eq(""), "keys of two customers are two keys");
    expect_that!(runs(&site, "crew-7"), eq(2));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_to_all_routers_at_once_runs_once() {
    let site = start(options()).await;
    for round in 0..10 {
        let key = format!("round-{round}");
        let calls = (0..8).map(|index| {
            let call = booking(&site, index % 2, &key, "confirm");
            tokio::spawn(async move { send(&call).await })
        });
        for call in calls.collect::<Vec<_>>() {
            let answer = call.await.unwrap().expect("the call is answered");
            let told = (answer.outcome(), answer.reason());
            let allowed = [("completed", ""), ("unknown", "claim_in_progress")];
            expect_true!(allowed.contains(&told), "{answer:?}");
        }
        expect_that!(runs(&site, &key), eq(1));
    }
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_waits_for_the_store_and_is_then_not_run() {
    let site = start(options()).await;
    site.store.command(&kv::Command::Unavailable).unwrap();
    let answer = book(&site, 0, "outage", "confirm").await;
    expect_that!(answer.outcome(), eq("not_run"), "{answer:?}");
    expect_that!(answer.reason(), eq("claim_store_unavailable"));
    expect_that!(runs(&site, "outage"), eq(0));
    let chat = Call::chat(site.router(0).callers(), &Customer::new("agency").key(), "x", 5, false);
    let chat = send(&chat).await.unwrap();
    expect_that!(chat.outcome(), eq("completed"), "calls without a claim go on: {chat:?}");
    site.store.command(&kv::Command::Up).unwrap();
    let again = settled(&site, 1, "outage", "confirm").await;
    expect_that!(again.outcome(), eq("completed"), "{again:?}");
    expect_that!(runs(&site, "outage"), eq(1));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_store_does_not_run_a_call_twice() {
    let site = start(options()).await;
    for index in 0..5 {
        let key = format!("lost-{index}");
        site.store.command(&kv::Command::LoseAnswers { times: 1 }).unwrap();
        let answer = settled(&site, index % 2, &key, "confirm").await;
        expect_that!(answer.outcome(), eq("completed"), "{answer:?}");
        let again = settled(&site, (index + 1) % 2, &key, "confirm").await;
        expect_that!(again.outcome(), eq("completed"), "{again:?}");
        expect_that!(runs(&site, &key), eq(1));
    }
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_router_died_is_not_run_by_another() {
    let mut site = start(options()).await;
    command_all(&site, &Command::always(Fault::Late { delay_ms: 500 }));
    let call = booking(&site, 0, "killed", "confirm");
    let lost = tokio::spawn(async move { send(&call).await });
    let started = async {
        while runs(&site, "killed") == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(PATIENCE, started).await.expect("the call reaches an endpoint");
    site.kill_router(0);
    let _ = lost.await.unwrap();
    let again = book(&site, 1, "killed", "confirm").await;
    expect_that!(again.outcome(), eq("unknown"), "{again:?}");
    expect_that!(runs(&site, "killed"), eq(1));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_did_not_run_releases_its_claim() {
    let site = start(options()).await;
    command_all(&site, &Command::always(Fault::Refuse));
    let refused = book(&site, 0, "refused", "confirm").await;
    expect_that!(refused.outcome(), eq("not_run"), "{refused:?}");
    command_all(&site, &Command::always(Fault::Clear));
    let again = settled(&site, 1, "refused", "confirm").await;
    expect_that!(again.outcome(), eq("completed"), "{again:?}");
    expect_that!(again.header("x-siskin-replayed"), eq(""));
    expect_that!(runs(&site, "refused"), eq(1));
    site.stop().await;
}

/// Guards against a call that is sent elsewhere after a refusal without its claim, or whose second copy runs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_one_endpoint_refuses_runs_once_at_another() {
    let site = start(options()).await;
    for index in 0..4 {
        let key = format!("moved-{index}");
        command_one(&site, &Command::once(Fault::Refuse));
        let calls = [0, 1].map(|router| {
            let call = booking(&site, router, &key, "confirm");
            tokio::spawn(async move { send(&call).await })
        });
        for call in calls {
            let answer = call.await.unwrap().expect("the call is answered");
            let told = (answer.outcome(), answer.reason());
            let allowed = [("completed", ""), ("unknown", "claim_in_progress")];
            expect_true!(allowed.contains(&told), "{answer:?}");
        }
        expect_that!(runs(&site, &key), eq(1));
    }
    site.stop().await;
}
