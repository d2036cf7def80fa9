//! A request that crashes each endpoint that runs it, sent again and again through any router, takes down a bounded
//! number of endpoints and leaves innocent requests alone.

use {
    crate::support::{options, start},
    googletest::prelude::*,
    siskin_site::{
        Customer, Site,
        client::{Call, send},
    },
    siskin_standin::{
        engine,
        fault::{Command, Fault},
        kv,
    },
    std::{collections::HashSet, time::Duration},
};

/// Endpoints that one crashing request may take down; see the section on outcomes in the design.
const CRASHES_MAX: usize = 3;

/// How often the caller sends it again.
const RESENDS: usize = 12;

const CRASHING: &str = "crash-me";

/// Instances of engines that died.
fn crashes(site: &Site) -> usize {
    let runs = site.engines.iter().flat_map(engine::Server::log);
    let crashed = runs.filter(|run| run.end == siskin_standin::run::End::Crashed);
    crashed.map(|run| run.instance).collect::<HashSet<_>>().len()
}

/// Guards against a crashing request that takes down more engines than stated, also while the store is down.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_takes_down_a_bounded_number_of_engines() {
    struct Case {
        name: &'static str,
        outage: bool,
    }
    let cases =
        [Case { name: "store up", outage: false }, Case { name: "store down", outage: true }];
    for case in cases {
        crashing_request(case.name, case.outage).await;
    }
}

async fn crashing_request(name: &str, outage: bool) {
    let mut setup = options();
    setup.engines = vec![setup.engines[0].clone(); 6];
    setup.routers = 3;
    let site = start(setup).await;
    for engine in &site.engines {
        let fault = Fault::CrashOn { text: CRASHING.to_owned(), restart_ms: 50 };
        engine.command(Command::always(fault));
    }
    if outage {
        site.store.command(&kv::Command::Unavailable).unwrap();
    }
    let key = Customer::new("agency").key();
    let mut last = None;
    for resend in 0..RESENDS {
        let router = site.router(resend % 3).callers();
        let innocent = Call::chat(router, &Customer::new("planner").key(), "innocent", 40, false);
        let innocent = tokio::spawn(async move { send(&innocent).await });
        let answer = send(&Call::chat(router, &key, CRASHING, 40, false)).await.expect("an answer");
        let innocent = innocent.await.unwrap().expect("an answer");
        expect_that!(innocent.outcome(), eq("completed"), "{name}, resend {resend}: {innocent:?}");
        last = Some(answer);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    expect_that!(crashes(&site), all!(ge(1), le(CRASHES_MAX)), "{name}");
    let last = last.unwrap();
    expect_that!(last.reason(), eq("suspect_refused"), "{name}: {last:?}");
    expect_that!(last.header("retry-after"), not(eq("")), "{name}: {last:?}");
    site.stop().await;
}

/// Guards against copies that are held for good: each copy of a harmless and of a crashing request that are sent at
/// the same moment gets its answer, and the crashing one is refused in the end.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn copies_sent_at_the_same_moment_are_all_answered() {
    let mut setup = options();
    setup.engines = vec![setup.engines[0].clone(); 6];
    let site = start(setup).await;
    for engine in &site.engines {
        let fault = Fault::CrashOn { text: CRASHING.to_owned(), restart_ms: 50 };
        engine.command(Command::always(fault));
    }
    let key = Customer::new("agency").key();
    let copies = |content: &'static str| {
        let copy =
            |index: usize| Call::chat(site.router(index % 2).callers(), &key, content, 40, false);
        let calls: Vec<Call> = (0..12).map(copy).collect();
        calls.into_iter().map(|call| tokio::spawn(async move { send(&call).await }))
    };
    for answer in copies("harmless").collect::<Vec<_>>() {
        let answer = answer.await.unwrap().expect("an answer");
        expect_that!(answer.outcome(), eq("completed"), "{answer:?}");
    }
    for answer in copies(CRASHING).collect::<Vec<_>>() {
        let answer = answer.await.unwrap().expect("an answer");
        expect_that!(answer.outcome(), not(eq("completed")), "{answer:?}");
    }
    let call = Call::chat(site.router(0).callers(), &key, CRASHING, 40, false);
    let mut reason = String::new();
    for _ in 0..CRASHES_MAX {
        reason = send(&call).await.expect("an answer").reason().to_owned();
    }
    expect_that!(reason, eq("suspect_refused"));
    site.stop().await;
}
