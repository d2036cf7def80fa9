//! Concurrent patches: one is accepted, and stale ones are refused.

use {
    crate::{
        fleet::{Fault, check, fault_pairs},
        outage::Router,
        store::Store,
    },
    siskin_config::{
        follower::View,
        patch::Patch,
        submit::{Action, Options, Refusal, Submission},
    },
    std::time::Duration,
};

/// Guards against a stale patch being applied.
#[test]
fn stale_patch() {
    let table = fault_pairs(Fault::StalePatch);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no patch was stale: {report:?}");
}

/// Guards against two patches being accepted for one version.
#[test]
fn race() {
    let table = fault_pairs(Fault::Race);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no patches raced: {report:?}");
}

/// Guards against refusing a patch as `CatchingUp` instead of `Stale` when the entry of a concurrent patch
/// arrives from another router while the log is being read.
#[test]
fn concurrent_entry_arrives_during_the_read() {
    let mut router = Router::new(Store::default());
    router.advance(1);
    router.submit("p1").unwrap();
    let changes = serde_json::json!({ "fleet": { "poison_expiry_s": 60 } });
    let patch = Patch { id: "late".to_owned(), base: 1, author: "bob".to_owned(), changes };
    let options = Options { patch, time_ms: 0 };
    let view = View { visible: 1, known: 1 };
    let (mut submission, mut actions) =
        Submission::start(router.now, options, &mut router.follower, view);
    let mut raced = false;
    for _ in 0..20 {
        for action in std::mem::take(&mut actions) {
            match action {
                Action::Store(call) => {
                    let (answer, _) = router.store.execute(&call.request);
                    if !raced {
                        raced = true;
                        router.submit("p2").unwrap();
                    }
                    let follower = &mut router.follower;
                    actions.extend(submission.receive_answer(
                        router.now,
                        follower,
                        view,
                        call.number,
                        answer,
                    ));
                }
                Action::Finish(result) => {
                    let stale = matches!(result, Err(Refusal::Stale { current: 2, .. }));
                    assert!(stale, "the stale patch ended with {result:?}");
                    return;
                }
                Action::Follower(_) => {}
            }
        }
        router.now = router.now + Duration::from_millis(100);
        actions.extend(submission.tick(router.now, &mut router.follower, view));
    }
    panic!("the submission did not end");
}
