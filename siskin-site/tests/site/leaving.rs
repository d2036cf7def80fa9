//! An endpoint that leaves gets no new work from any router, whoever says that it leaves.

use {
    crate::support::{options, patch, start},
    googletest::prelude::*,
    serde_json::json,
    siskin_site::{
        Customer, Options, Site,
        client::{Call, send},
    },
    siskin_standin::{
        fault::{Command, Fault},
        vms::{self, State, Vm},
    },
    std::time::Duration,
    tokio::time,
};

/// Time after which a leaving endpoint gets no new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Age of the platform's list and time between two reads of it.
const LIST_LAG: Duration = Duration::from_millis(1_200);

/// Who says that the endpoint leaves.
enum Source {
    /// The endpoint, in its load report.
    Report,
    /// The platform's list of VMs.
    List,
}

async fn check(name: &str, source: Source) {
    let list = vms::Server::start(vms::Options { lag: Duration::ZERO, ..Default::default() });
    let list = list.expect("the list starts");
    let with_list = list.address();
    let site = Site::start_with(Options { routers: 3, ..options() }, |settings| {
        siskin_router::settings::Settings { vm_list: Some(with_list), ..settings }
    });
    let site = site.await.expect("the site starts");
    site.ready().await.expect("the site becomes ready");
    let engine = &site.engines[0];
    match source {
        Source::Report => engine.command(Command::always(Fault::Leaving { on: true })),
        Source::List => {
            let address = engine.address().to_string();
            list.set(vec![Vm { address, state: State::Leaving }]);
        }
    }
    time::sleep(LEAVING + LIST_LAG).await;
    let before = engine.log().len();
    let key = Customer::new("agency").key();
    for index in 0..30 {
        let router = site.router(index % 3).callers();
        let answer = send(&Call::chat(router, &key, "short", 3, false)).await.expect("an answer");
        expect_that!(answer.outcome(), eq("completed"), "{name}: {answer:?}");
    }
    expect_that!(engine.log().len(), eq(before), "{name}: new work at a leaving engine");
    site.stop().await;
}

/// A call that no endpoint will serve used to wait until its deadline.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_model_without_endpoints_is_refused_at_once() {
    let site = start(options()).await;
    let drain = json!({ "endpoints": {
        "engine-1": { "leaving": true }, "engine-2": { "leaving": true }
    } });
    expect_that!(patch(&site, 0, "drain", 1, &drain).await.status.as_u16(), eq(200));
    let in_force = async {
        while site.running().any(|router| router.config_version() < 2) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    expect_true!(time::timeout(LEAVING, in_force).await.is_ok());
    let call = Call::chat(site.router(1).callers(), &Customer::new("agency").key(), "x", 3, false);
    let answer = time::timeout(LEAVING, send(&call)).await.expect("an answer at once").unwrap();
    expect_that!((answer.outcome(), answer.reason()), eq(("not_run", "no_endpoint")), "{answer:?}");
    expect_that!(answer.header("retry-after"), not(eq("")));
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_new_work_whoever_says_that_it_leaves() {
    tokio::join!(check("own report", Source::Report), check("platform's list", Source::List));
}
