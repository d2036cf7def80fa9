//! Store calls with one fault each: a lost request or response, a conflict, a pause or an outage.

use {
    crate::{
        rules::{BODY, Harness, key, token},
        store::Store,
    },
    siskin_claim::writer::{Action, Call, Options, Response, Writer},
    siskin_types::time::Instant,
    siskin_wire::claim::Decision,
    std::time::Duration,
};

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn call(actions: &[Action]) -> Call {
    match actions {
        [Action::Read { call, .. } | Action::Swap { call, .. }] => *call,
        other => panic!("expected one store call, got {other:?}"),
    }
}

/// Fault of the store call that writes the claim.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    ResponseLost,
    RequestLost,
    OtherWriterFirst,
    SameClaimByOtherWriter,
    /// The process is paused until after the deadline; the write succeeds.
    Paused,
    StoreDown,
}

/// Guards against a claim that is granted twice or after its deadline, and against one that stays in the
/// store although its caller was told that the call did not run.
#[test]
fn decides_claim_despite_store_fault() {
    struct Case {
        name: &'static str,
        fault: Fault,
        want: Decision,
        /// Decision on the next attempt's claim once the store is available again.
        next: Decision,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "response lost", fault: Fault::ResponseLost, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "request lost", fault: Fault::RequestLost, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "conflict with another claim", fault: Fault::OtherWriterFirst, want: Decision::InProgress, next: Decision::InProgress },
        Case { name: "conflict with the same claim", fault: Fault::SameClaimByOtherWriter, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "process paused", fault: Fault::Paused, want: Decision::Unavailable, next: Decision::Granted },
        Case { name: "store down", fault: Fault::StoreDown, want: Decision::Unavailable, next: Decision::Granted },
    ];
    for case in cases {
        let mut harness = Harness::new(Options::default());
        let actions = harness.writer.claim(harness.now, key(1), BODY, token(1), at(3_000));
        let (read, response) = harness.store.apply(&actions[0]);
        let actions = harness.writer.handle_response(harness.now, read, response);
        let swap = call(&actions);
        let claim_from_other_writer = |store: &mut Store, attempt| {
            let mut writer = Writer::new(Options { incarnation: 9, ..Options::default() });
            let mut queue = writer.claim(at(0), key(1), BODY, token(attempt), at(3_000));
            while let Some(action) = queue.pop() {
                if !matches!(action, Action::Decide { .. }) {
                    let (call, response) = store.apply(&action);
                    queue.extend(writer.handle_response(at(0), call, response));
                }
            }
        };
        let mut response = Response::Failed;
        match case.fault {
            Fault::ResponseLost => drop(harness.store.apply(&actions[0])),
            Fault::RequestLost | Fault::StoreDown => {}
            Fault::OtherWriterFirst => claim_from_other_writer(&mut harness.store, 2),
            Fault::SameClaimByOtherWriter => claim_from_other_writer(&mut harness.store, 1),
            Fault::Paused => {
                response = harness.store.apply(&actions[0]).1;
                harness.now = at(60_000);
            }
        }
        if response == Response::Failed && case.fault == Fault::SameClaimByOtherWriter {
            response = harness.store.apply(&actions[0]).1;
            assert_eq!(response, Response::Conflict, "{}", case.name);
        }
        let mut decided = Vec::new();
        let actions = harness.writer.handle_response(harness.now, swap, response);
        decided.extend(harness.run_actions(actions));
        for _ in 0..20 {
            let Some(next) = harness.writer.next_tick().filter(|next| *next <= at(3_000)) else {
                break;
            };
            harness.now = harness.now.max(next);
            let mut actions = harness.writer.tick(harness.now);
            if case.fault == Fault::StoreDown {
                while !actions.is_empty() && !matches!(actions[0], Action::Decide { .. }) {
                    actions = harness.writer.handle_response(
                        harness.now,
                        call(&actions),
                        Response::Failed,
                    );
                }
            }
            decided.extend(harness.run_actions(actions));
        }
        let decision = |action: &Action| match action {
            Action::Decide { decision, .. } => Some(decision.clone()),
            _ => None,
        };
        let decisions: Vec<_> = decided.iter().filter_map(decision).collect();
        assert_eq!(decisions, [case.want], "{}", case.name);
        // An attempt whose claim was unavailable releases it, whether or not it was stored.
        if decisions == [Decision::Unavailable] {
            let actions = harness.writer.release(harness.now, key(1), token(1));
            harness.run_actions(actions);
        }
        harness.now = harness.now + Duration::from_secs(20);
        let actions = harness.writer.tick(harness.now);
        harness.run_actions(actions);
        assert_eq!(harness.claim(key(1), BODY, token(3)), [case.next], "{}", case.name);
    }
}
