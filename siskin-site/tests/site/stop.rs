//! A router that is stopped finishes what is in flight; a caller that goes away frees its engine.

use {
    crate::support::{chat_text, get, options, start},
    googletest::prelude::*,
    siskin_site::{
        Customer,
        client::{Call, Client, send},
    },
    siskin_standin::engine,
    std::time::Duration,
    tokio::time,
};

const TOKENS: u32 = 200;

/// The stop timeout of the routers of a site.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_router_finishes_streams() {
    let mut site = start(options()).await;
    let router = site.router(0).callers();
    let call =
        Call::chat(router, &Customer::new("agency").key(), "long plan", u64::from(TOKENS), true);
    let stream = tokio::spawn(async move { send(&call).await });
    time::sleep(Duration::from_millis(100)).await;
    let stopped = site.routers[0].take().expect("the router runs");
    stopped.stop().await;
    let answer = stream.await.unwrap().expect("the stream is answered");
    expect_that!(chat_text(&answer), eq(&engine::text(answer.request(), "long plan", TOKENS)));
    expect_true!(answer.body.trim_end().ends_with("data: [DONE]"));
    site.stop().await;
}

/// Guards against a stop that waits for connections and then as long again for their requests. The stop is compared
/// with a timer of the same run that takes twice the timeout.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_takes_one_timeout() {
    let mut site = start(options()).await;
    let router = site.router(0).callers();
    let call = Call::chat(router, &Customer::new("agency").key(), "endless", 1_000_000, true);
    let response = Client::new().begin(&call).await.expect("the stream begins");
    let stopped = site.routers[0].take().expect("the router runs");
    let twice = STOP_TIMEOUT * 2;
    let in_time = tokio::select! {
        () = stopped.stop() => true,
        () = time::sleep(twice) => false,
    };
    expect_true!(in_time, "the stop takes twice the timeout");
    drop(response);
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_its_engine() {
    let site = start(options()).await;
    let router = site.router(0).callers();
    let call = Call::chat(router, &Customer::new("agency").key(), "abandoned", 100_000, true);
    let response = Client::new().begin(&call).await.expect("the stream begins");
    drop(response);
    let idle = async {
        while site.engines.iter().any(|engine| engine.load().running > 0) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let freed = time::timeout(Duration::from_secs(5), idle).await;
    expect_true!(freed.is_ok(), "the engine still runs the abandoned request");
    site.stop().await;
}

/// A slot that was assigned in the moment in which its caller went away used to stay taken for ever.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_leave_the_queue_leave_no_slot_taken() {
    let mut setup = options();
    setup.engines.truncate(1);
    setup.engines[0].slots = 2;
    let site = start(setup).await;
    let key = Customer::new("agency").key();
    let calls = (0..300_u64).map(|index| {
        let router = site.router(usize::try_from(index % 2).unwrap_or(0)).callers();
        let call = Call::chat(router, &key, "impatient", 2, false);
        tokio::spawn(async move {
            let patience = Duration::from_micros(500 + index * 137 % 40_000);
            let _ = time::timeout(patience, Client::new().send(&call)).await;
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("the caller ends");
    }
    let idle = async {
        loop {
            let mut taken = 0;
            for router in 0..2 {
                let listed = get(&site, router, "/v1/endpoints").await;
                let endpoints = listed["endpoints"].as_array().expect("a list").clone();
                taken += endpoints.iter().filter(|one| one["in_flight"] != 0).count();
            }
            if taken == 0 {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(10), idle).await.is_ok(), "a slot stays taken");
    let call = Call::chat(site.router(0).callers(), &key, "patient", 2, false);
    expect_that!(send(&call).await.unwrap().outcome(), eq("completed"));
    site.stop().await;
}

/// A port that is free for UDP may be taken for TCP. Starting many routers at once used to fail on that.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn many_routers_find_free_ports() {
    let site = start(siskin_site::Options { routers: 12, ..options() }).await;
    expect_that!(site.running().count(), eq(12));
    site.stop().await;
}
