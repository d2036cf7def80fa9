//! Store answers that are lost, late or refused, one at a time.

use {
    crate::{
        rules::{BODY, Bench, key, token},
        store::Store,
    },
    siskin_claim::writer::{Action, Answer, Call, Options, Writer},
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
        other => panic!("one call to the store expected: {other:?}"),
    }
}

/// What happens to the write that holds the claim.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    AnswerLost,
    RequestLost,
    OtherWriterFirst,
    SameClaimByOtherWriter,
    /// The process sleeps until after the deadline; the answer is good.
    Paused,
    StoreDown,
}

/// Guards against a claim that is granted twice or after its deadline, and against one that stays in the
/// store although its caller was told that the call did not run.
#[test]
fn faults() {
    struct Case {
        name: &'static str,
        fault: Fault,
        want: Decision,
        /// What the next attempt gets once the store is back.
        next: Decision,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "answer lost", fault: Fault::AnswerLost, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "request lost", fault: Fault::RequestLost, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "conflict", fault: Fault::OtherWriterFirst, want: Decision::InProgress, next: Decision::InProgress },
        Case { name: "own token", fault: Fault::SameClaimByOtherWriter, want: Decision::Granted, next: Decision::InProgress },
        Case { name: "paused", fault: Fault::Paused, want: Decision::Unavailable, next: Decision::Granted },
        Case { name: "store down", fault: Fault::StoreDown, want: Decision::Unavailable, next: Decision::Granted },
    ];
    for case in cases {
        let mut bench = Bench::new(Options::default());
        let actions = bench.writer.claim(bench.now, key(1), BODY, token(1), at(3_000));
        let (read, answer) = bench.store.apply(&actions[0]);
        let actions = bench.writer.stored(bench.now, read, answer);
        let swap = call(&actions);
        let other = |store: &mut Store, attempt| {
            let mut writer = Writer::new(Options { incarnation: 9, ..Options::default() });
            let mut queue = writer.claim(at(0), key(1), BODY, token(attempt), at(3_000));
            while let Some(action) = queue.pop() {
                if !matches!(action, Action::Decide { .. }) {
                    let (call, answer) = store.apply(&action);
                    queue.extend(writer.stored(at(0), call, answer));
                }
            }
        };
        let mut answer = Answer::Failed;
        match case.fault {
            Fault::AnswerLost => drop(bench.store.apply(&actions[0])),
            Fault::RequestLost | Fault::StoreDown => {}
            Fault::OtherWriterFirst => other(&mut bench.store, 2),
            Fault::SameClaimByOtherWriter => other(&mut bench.store, 1),
            Fault::Paused => {
                answer = bench.store.apply(&actions[0]).1;
                bench.now = at(60_000);
            }
        }
        if answer == Answer::Failed && case.fault == Fault::SameClaimByOtherWriter {
            answer = bench.store.apply(&actions[0]).1;
            assert_eq!(answer, Answer::Conflict, "{}", case.name);
        }
        let mut decided = Vec::new();
        let actions = bench.writer.stored(bench.now, swap, answer);
        decided.extend(bench.settle(actions));
        for _ in 0..20 {
            let Some(next) = bench.writer.next_tick().filter(|next| *next <= at(3_000)) else {
                break;
            };
            bench.now = bench.now.max(next);
            let mut actions = bench.writer.tick(bench.now);
            if case.fault == Fault::StoreDown {
                while !actions.is_empty() && !matches!(actions[0], Action::Decide { .. }) {
                    actions = bench.writer.stored(bench.now, call(&actions), Answer::Failed);
                }
            }
            decided.extend(bench.settle(actions));
        }
        let decision = |action: &Action| match action {
            Action::Decide { decision, .. } => Some(decision.clone()),
            _ => None,
        };
        let decisions: Vec<_> = decided.iter().filter_map(decision).collect();
        assert_eq!(decisions, [case.want], "{}", case.name);
        // The attempt releases what it gave up, whether or not the claim was stored.
        if decisions == [Decision::Unavailable] {
            let actions = bench.writer.release(bench.now, key(1), token(1));
            bench.settle(actions);
        }
        bench.now = bench.now + Duration::from_secs(20);
        let actions = bench.writer.tick(bench.now);
        bench.settle(actions);
        assert_eq!(bench.claim(key(1), BODY, token(3)), [case.next], "{}", case.name);
    }
}
