use {
    googletest::prelude::*,
    siskin_lease::holder::{Action, Answer, Entry, Holder, Operation, Options, Reason, Unanswered},
    siskin_types::{
        id::{Node, Pool},
        time::Instant,
    },
    std::time::Duration,
};

const START: Instant = Instant::from_micros(1_000_000);

/// An answer to a store call. `Own` is a read of the key that returns the holder's own token.
enum Reply {
    Answer(Answer),
    Own { revision: u64 },
    Lost,
}

fn entry(token: &str, revision: u64) -> Answer {
    Answer::Value(Some(Entry { token: token.to_owned(), revision }))
}

/// Guards against a holder that takes its own acquisition, whose answer was lost, for another router's, or the reverse.
#[gtest]
fn acquisition_without_answer_is_resolved_by_reading_back() {
    struct Case {
        name: &'static str,
        /// Answers after the key was found free and a lease was granted.
        replies: Vec<Reply>,
        want: Option<u64>,
    }
    use Reply::{Answer as Is, Lost, Own};
    let free = || Is(Answer::Value(None));
    let created = |revision| Is(Answer::Created { revision });
    let case = |name, replies, want| Case { name, replies, want };
    let cases = [
        case("created", vec![created(5)], Some(5)),
        case("lost, was created", vec![Lost, Own { revision: 5 }], Some(5)),
        case("lost, was not created", vec![Lost, free(), created(6)], Some(6)),
        case("lost twice", vec![Lost, Lost, Own { revision: 5 }], Some(5)),
        case("lost, other router", vec![Lost, Is(entry("x", 5))], None),
        case("exists, own", vec![Is(Answer::Exists), Own { revision: 5 }], Some(5)),
        case("exists, other router", vec![Is(Answer::Exists), Is(entry("x", 5))], None),
        case(
            "delayed request created the key",
            vec![Lost, free(), Is(Answer::Exists), Own { revision: 5 }],
            Some(5),
        ),
        case("lease lapsed", vec![Is(Answer::Lapsed)], None),
    ];
    for Case { name, replies, want } in cases {
        let mut holder = Holder::new(Options::new(Pool(1), Node(2), 77));
        let mut now = START;
        let mut actions = holder.set_candidate(now, true);
        let mut token = String::new();
        let granted = [Is(Answer::Value(None)), Is(Answer::Granted { lease: 9 })];
        for reply in granted.into_iter().chain(replies) {
            let Some((call, operation)) = wait_for_store_call(&mut holder, &mut now, actions)
            else {
                panic!("{name}: no store call within 10 s");
            };
            if let Operation::Create { token: used, .. } = operation {
                token = used;
            }
            let answer = match reply {
                Is(answer) => Ok(answer),
                Own { revision } => Ok(entry(&token, revision)),
                Lost => Err(Unanswered),
            };
            actions = holder.handle_store_answer(now, call, answer);
        }
        let fencing = holder.tenure(now).map(|tenure| tenure.fencing);
        expect_that!(fencing, eq(want), "{name}");
    }
}

/// Waits for the next store call and returns it.
fn wait_for_store_call(
    holder: &mut Holder,
    now: &mut Instant,
    mut actions: Vec<Action>,
) -> Option<(u64, Operation)> {
    for _ in 0..100 {
        for action in actions {
            if let Action::Store { call, operation } = action
                && !matches!(operation, Operation::Revoke { .. })
            {
                return Some((call, operation));
            }
        }
        *now = *now + Duration::from_millis(100);
        actions = holder.tick(*now);
    }
    None
}

fn acquired_holder() -> Holder {
    let mut holder = Holder::new(Options::new(Pool(1), Node(2), 77));
    let mut now = START;
    let mut actions = holder.set_candidate(now, true);
    let answers =
        [Answer::Value(None), Answer::Granted { lease: 9 }, Answer::Created { revision: 5 }];
    for answer in answers {
        let (call, _) = wait_for_store_call(&mut holder, &mut now, actions).unwrap();
        actions = holder.handle_store_answer(now, call, Ok(answer));
    }
    holder
}

/// Guards against a holder that continues to act although a renewal does not confirm its lease.
#[gtest]
fn failed_renewal_ends_the_tenure() {
    struct Case {
        name: &'static str,
        /// Answers to the renewal and to the read of the key.
        replies: Vec<Result<Answer, Unanswered>>,
        want: Option<Reason>,
    }
    let case = |name, replies, want| Case { name, replies, want };
    let renewed = || Ok(Answer::Renewed);
    let cases = [
        case("renewed", vec![renewed(), Ok(entry("2-77-1", 5))], None),
        case("renewal lost once", vec![Err(Unanswered), renewed()], None),
        case("lapsed", vec![Ok(Answer::Lapsed)], Some(Reason::Lapsed)),
        case("key gone", vec![renewed(), Ok(Answer::Value(None))], Some(Reason::Replaced)),
        case("other token", vec![renewed(), Ok(entry("3-1-1", 6))], Some(Reason::Replaced)),
        case(
            "store lost its latest writes",
            vec![renewed(), Ok(entry("2-77-1", 4))],
            Some(Reason::Replaced),
        ),
    ];
    for Case { name, replies, want } in cases {
        let mut holder = acquired_holder();
        let mut now = START;
        let mut actions = Vec::new();
        for reply in replies {
            let (call, _) = wait_for_store_call(&mut holder, &mut now, actions).unwrap();
            actions = holder.handle_store_answer(now, call, reply);
        }
        let lost = actions.iter().find_map(|action| match action {
            Action::Lost { reason } => Some(*reason),
            _ => None,
        });
        expect_that!(lost, eq(want), "{name}");
        expect_that!(holder.tenure(now).is_some(), eq(want.is_none()), "{name}");
    }
}

/// Guards against a lease time that is counted from the answer instead of the request.
#[gtest]
fn tenure_is_counted_from_the_sending_of_the_request() {
    let mut holder = Holder::new(Options::new(Pool(1), Node(2), 77));
    let mut now = START;
    let actions = holder.set_candidate(now, true);
    let (call, _) = wait_for_store_call(&mut holder, &mut now, actions).unwrap();
    let granting = holder.handle_store_answer(now, call, Ok(Answer::Value(None)));
    let (call, _) = wait_for_store_call(&mut holder, &mut now, granting).unwrap();
    let later = START + Duration::from_millis(1_500);
    let creating = holder.handle_store_answer(later, call, Ok(Answer::Granted { lease: 9 }));
    now = later;
    let (call, _) = wait_for_store_call(&mut holder, &mut now, creating).unwrap();
    let _ = holder.handle_store_answer(later, call, Ok(Answer::Created { revision: 5 }));
    let until = holder.tenure(later).map(|tenure| tenure.until);
    expect_that!(until, some(eq(START + Duration::from_secs(10))));
    expect_that!(holder.tenure(START + Duration::from_secs(10)), none());
    let resigned = holder.set_candidate(later, false);
    expect_that!(resigned.contains(&Action::Lost { reason: Reason::Resigned }), eq(true));
    expect_that!(holder.tenure(later), none());
}
