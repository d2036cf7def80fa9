//! A short run over the real sockets.

use {
    googletest::prelude::*,
    siskin_measure::{Options, mode::Mode, run, workload::Scenario},
    std::time::Duration,
};

/// Guards against calls that end wrongly, and against a report without its figures.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn short() {
    let options = Options {
        scenario: Scenario::Paced,
        modes: vec![Mode::Fleet, Mode::Global],
        duration: Duration::from_secs(1),
        routers: 2,
        ..Options::default()
    };
    let report = run(&options).await.unwrap();
    for figures in &report.modes {
        let broken: Vec<_> = figures.broken.all().collect();
        expect_that!(broken, is_empty(), "{}", figures.mode);
        expect_that!(figures.outcomes["completed"], gt(0), "{}", figures.mode);
    }
    expect_true!(report.kept());
    expect_that!(report.table(), contains_substring("fleet/global"));
    let targets: Vec<_> = report.targets.iter().map(|target| target.name).collect();
    expect_that!(targets, contains(eq(&"control B/s per router, at most")));
    expect_that!(report.json().unwrap(), contains_substring("\"control_bytes_per_second\""));
}
