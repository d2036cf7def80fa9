//! Measurements and sites that run the program.

use {
    googletest::prelude::*,
    siskin_config::document::Document,
    siskin_measure::{Options, fault::Fault, mode::Mode, workload::Scenario},
    siskin_site::{
        client::{Call, Client},
        process::{Process, Usage},
    },
    siskin_standin::kv,
    siskin_types::id::Node,
    std::{path::Path, time::Duration},
    tokio::time,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_siskin-router");

/// Guards against routers that a measurement cannot run as processes, and against a report without their cost. All
/// routers die and start again in the middle, which must break no promise.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn measured() {
    let options = Options {
        scenario: Scenario::Paced,
        faults: vec![Fault::SiteRestart],
        modes: vec![Mode::Fleet],
        duration: Duration::from_secs(3),
        routers: 2,
        models: 2,
        registered: 500,
        changes: 2.0,
        program: Some(PROGRAM.into()),
        ..Options::default()
    };
    let report = siskin_measure::run(&options).await.unwrap();
    let figures = &report.modes[0];
    expect_that!(figures.broken.all().collect::<Vec<_>>(), is_empty());
    expect_that!(figures.outcomes["completed"], gt(0));
    expect_that!(figures.cost_by_router.len(), eq(2));
    for cost in &figures.cost_by_router {
        expect_that!(cost.resident_mb, some(gt(1.0)));
        expect_that!(cost.processor_percent, some(ge(0.0)));
        expect_that!(cost.sent_bytes_per_second, gt(0.0));
    }
    expect_that!(figures.aftermath, some(anything()));
    expect_that!(report.table(), contains_substring("--processes"));
}

/// Guards against processes that outlive a measurement that was broken off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn ended() {
    let store = kv::Server::start(kv::Options::default()).unwrap();
    let document = Document::default();
    let path = std::env::temp_dir().join(format!("siskin-process-{}.json", std::process::id()));
    std::fs::write(&path, serde_json::to_vec(&document).unwrap()).unwrap();
    let settings = siskin_site::settings(Node(1), Vec::new(), store.address(), document);
    let start = || Process::start(Path::new(PROGRAM), &settings, &path);
    let dropped = start().await.unwrap();
    let killed = start().await.unwrap();
    let answer = Client::new().send(&Call::operator(dropped.operators(), "/healthz")).await;
    expect_that!(answer.unwrap().status.as_u16(), eq(200));
    let ids = [dropped.id(), killed.id()];
    for id in ids {
        expect_that!(Usage::of(id).unwrap().resident_bytes, gt(0));
    }
    drop(dropped);
    expect_false!(killed.kill().await.unwrap().success());
    // A process that has ended has no memory, or is gone.
    let gone = async {
        while ids.iter().any(|id| Usage::of(*id).is_ok()) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    expect_true!(time::timeout(Duration::from_secs(60), gone).await.is_ok());
    let missing = Process::start(Path::new("no-such-program"), &settings, &path).await;
    expect_that!(missing.unwrap_err().to_string(), contains_substring("build siskin-router"));
    std::fs::remove_file(path).unwrap();
}
