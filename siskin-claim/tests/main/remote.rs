//! Claims submitted to the writer on another router.

use {
    crate::rules::{BODY, key, record, token},
    siskin_claim::{
        remote::{Action, Options, Service},
        writer,
    },
    siskin_types::{id::Node, time::Instant},
    siskin_wire::claim::{Decision, Message},
};

const LOCAL: Node = Node(1);
const REMOTE: Node = Node(2);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn service() -> Service {
    let writer = writer::Options { node: LOCAL, ..writer::Options::default() };
    Service::new(Options { writer, ..Options::default() })
}

fn label(action: &Action) -> &'static str {
    match action {
        Action::Store(_) => "store",
        Action::Send { message: Message::Claim { .. }, .. } => "claim",
        Action::Send { message: Message::Release { .. }, .. } => "release",
        Action::Send { .. } => "send",
        Action::Decide { decision: Decision::Granted, .. } => "granted",
        Action::Decide { decision: Decision::Unavailable, .. } => "unavailable",
        Action::Decide { .. } => "decide",
        Action::Settled { .. } => "settled",
    }
}

/// Guards against a claim that is granted after its deadline, is decided twice, or stays in the store although
/// its caller is told that the call did not run.
#[test]
fn decides_claim_once() {
    struct Case {
        name: &'static str,
        /// Times in milliseconds, each with a decision of the bucket's writer, or `None` for a tick.
        events: &'static [(u64, Option<Decision>)],
        want: &'static [&'static str],
    }
    use Decision::{Granted, InProgress, Unavailable};
    #[rustfmt::skip]
    let cases = [
        Case { name: "granted", events: &[(5, Some(Granted))], want: &["claim", "granted"] },
        Case { name: "granted twice", events: &[(5, Some(Granted)), (6, Some(Granted))], want: &["claim", "granted"] },
        Case { name: "in progress, then granted", events: &[(5, Some(InProgress)), (6, Some(Granted))], want: &["claim", "decide"] },
        Case { name: "retransmitted", events: &[(200, None), (201, Some(Granted))], want: &["claim", "claim", "granted"] },
        Case { name: "fallback", events: &[(600, None)], want: &["claim", "claim", "store"] },
        Case { name: "fallback, then granted", events: &[(600, None), (601, Some(Granted))], want: &["claim", "claim", "store", "granted"] },
        Case { name: "writer refuses", events: &[(5, Some(Unavailable))], want: &["claim", "store"] },
        Case { name: "deadline", events: &[(3_000, None)], want: &["claim", "unavailable", "release"] },
        Case { name: "granted at the deadline", events: &[(3_000, Some(Granted))], want: &["claim", "unavailable", "release"] },
        Case { name: "granted after the deadline", events: &[(3_000, None), (3_001, Some(Granted))], want: &["claim", "unavailable", "release"] },
    ];
    for case in cases {
        let mut service = service();
        let mut got = service.claim(at(0), Some(REMOTE), key(1), BODY, token(1), at(3_000));
        for (millis, decision) in case.events {
            let now = at(*millis);
            got.extend(match decision {
                None => service.tick(now),
                Some(decision) => {
                    let decision = decision.clone();
                    service.receive(now, REMOTE, &Message::Decided { token: token(1), decision })
                }
            });
        }
        let got: Vec<_> = got.iter().map(label).collect();
        assert_eq!(got, case.want, "{}", case.name);
    }
}

/// Guards against records that are abandoned before they are confirmed, and against endless retransmission.
#[test]
fn retransmits_records_until_confirmed() {
    let mut service = service();
    let sent = service.record(at(0), Some(REMOTE), key(1), token(1), record(None));
    assert_eq!(sent.len(), 1);
    assert_eq!(service.tick(at(200)), sent);
    let settled = service.receive(at(210), REMOTE, &Message::Settled { token: token(1) });
    assert_eq!(settled, [Action::Settled { key: key(1), token: token(1) }]);
    assert_eq!(service.next_tick(), None);
}
