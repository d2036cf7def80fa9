//! List of VMs.

use {
    crate::call::call,
    googletest::prelude::*,
    siskin_standin::vms::{List, Options, Server, State, Vm},
    std::time::Duration,
};

/// Guards against a list that is always current, or never.
#[gtest]
#[tokio::test]
async fn lag() {
    let vms = vec![Vm { address: "127.0.0.1:7000".to_owned(), state: State::Leaving }];
    for (name, lag, want) in
        [("at once", Duration::ZERO, vms.clone()), ("late", Duration::from_secs(600), Vec::new())]
    {
        let server = Server::start(Options { lag, control: true, ..Options::default() }).unwrap();
        let body = serde_json::to_string(&List { vms: vms.clone() }).unwrap();
        call(server.address(), "POST", "/vms", &[], &body).await.unwrap();
        let got = call(server.address(), "GET", "/vms", &[], "").await.unwrap();
        expect_that!(serde_json::from_str::<List>(&got.text).unwrap().vms, eq(&want), "{name}");
    }
}
