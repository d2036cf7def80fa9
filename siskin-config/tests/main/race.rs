//! Of racing operators one wins, and stale patches are refused.

use {
    crate::{
        fleet::{Fault, check, pairs},
        outage::Alone,
        store::Store,
    },
    siskin_config::{
        follower::View,
        patch::Patch,
        submit::{Action, Options, Refusal, Submission},
    },
    std::time::Duration,
};

/// Guards against a stale patch that is applied.
#[test]
fn stale_patch() {
    let table = pairs(Fault::StalePatch);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no patch was stale: {report:?}");
}

/// Guards against two winners for one version.
#[test]
fn race() {
    let table = pairs(Fault::Race);
    let table: Vec<_> = table.iter().map(Vec::as_slice).collect();
    let report = check(&table, 8);
    assert!(report.stale > 0, "no race took place: {report:?}");
}

/// Guards against a loser of a race that is told to wait for the history because the winner's entry arrived
/// from another router while the log was read.
#[test]
fn the_winner_arrives_during_the_read() {
    let mut router = Alone::new(Store::default());
    router.pass(1);
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
                    actions.extend(submission.stored(
                        router.now,
                        follower,
                        view,
                        call.number,
                        answer,
                    ));
                }
                Action::Finish(result) => {
                    let stale = matches!(result, Err(Refusal::Stale { current: 2, .. }));
                    assert!(stale, "the loser got {result:?}");
                    return;
                }
                Action::Follower(_) => {}
            }
        }
        router.now = router.now + Duration::from_millis(100);
        actions.extend(submission.tick(router.now, &mut router.follower, view));
    }
    panic!("the submission has not ended");
}
