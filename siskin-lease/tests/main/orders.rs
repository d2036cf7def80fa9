use {
    googletest::prelude::*,
    siskin_lease::{
        holder::Tenure,
        orders::{Action, Answer, Engine, Options, Planner, Report},
    },
    siskin_types::{
        id::{Endpoint, Model},
        time::Instant,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// What happens before a tick. Times are in seconds since the lease was acquired; engines are given by number.
#[derive(Clone, Copy)]
enum Event {
    /// Advances the clock.
    At(u64),
    /// An engine has reported: its ready models, models being loaded and role, asked for at the present time.
    Report(u32, &'static [u32], &'static [u32], &'static str),
    /// As `Report`, by a restarted process.
    Restarted(u32, &'static [u32]),
    Answered(u32, Answer),
    Drained(u32),
    /// The configuration does not name the engine any more.
    Removed(u32),
}

use Event::{Answered, At, Drained, Removed, Report as Reports, Restarted};

/// An engine with the models and the role wanted of it, and whether it checks fencing numbers.
type Want = (u32, &'static [u32], &'static str, bool);

struct Case {
    name: &'static str,
    engines: &'static [Want],
    /// Events and the actions that the following tick returns.
    steps: &'static [(&'static [Event], &'static [&'static str])],
}

const OK: Answer = Answer::Accepted;

/// Two engines with model 1, of which the first is to get role b, up to the drain of the first.
const PAIR: &[Want] = &[(1, &[1], "b", true), (2, &[1], "a", true)];
const HELLO: &[Event] = &[Reports(1, &[1], &[], "a"), Reports(2, &[1], &[], "a")];
const CONFIRMS: &[&str] = &["order 1 [1] a", "order 2 [1] a"];
const CONFIRMED: &[Event] = &[
    Answered(1, OK),
    Answered(2, OK),
    At(1),
    Reports(1, &[1], &[], "a"),
    Reports(2, &[1], &[], "a"),
];

const CASES: &[Case] = &[
    Case {
        name: "engine that has not accepted the new number is not relied on",
        engines: PAIR,
        steps: &[
            (HELLO, CONFIRMS),
            (&[Answered(1, OK), At(1), HELLO[0], HELLO[1]], &[]),
            (&[At(10), Answered(2, OK), At(11), HELLO[0], HELLO[1]], &["drain 1"]),
        ],
    },
    Case {
        name: "report from before the acceptance does not count",
        engines: PAIR,
        steps: &[
            (HELLO, CONFIRMS),
            (&[At(1), HELLO[0], HELLO[1], At(2), Answered(1, OK), Answered(2, OK)], &[]),
            (&[At(3), HELLO[0], HELLO[1]], &["drain 1"]),
        ],
    },
    Case {
        name: "drain precedes the order and ends when the role has changed",
        engines: PAIR,
        steps: &[
            (HELLO, CONFIRMS),
            (CONFIRMED, &["drain 1"]),
            (&[At(3), HELLO[0], HELLO[1]], &[]),
            (&[At(4), HELLO[0], HELLO[1], Drained(1)], &["order 1 [1] b"]),
            (&[At(5), Reports(1, &[], &[1], "b"), HELLO[1]], &["undrain 1"]),
        ],
    },
    Case {
        name: "drain is given up when the other engine dies",
        engines: PAIR,
        steps: &[
            (HELLO, CONFIRMS),
            (CONFIRMED, &["drain 1"]),
            (&[At(5), HELLO[0], Drained(1)], &["undrain 1"]),
        ],
    },
    Case {
        name: "order on its way keeps the engine out until it must be lost",
        engines: PAIR,
        steps: &[
            (HELLO, CONFIRMS),
            (CONFIRMED, &["drain 1"]),
            (&[At(2), HELLO[0], HELLO[1], Drained(1)], &["order 1 [1] b"]),
            // Engine 2 is silent, but the order to engine 1 may still arrive.
            (&[At(8), HELLO[0]], &[]),
            (&[At(12), HELLO[0]], &["undrain 1"]),
        ],
    },
    Case {
        name: "one engine of a model at a time",
        engines: &[(1, &[1], "b", true), (2, &[1], "b", true), (3, &[1], "a", true)],
        steps: &[
            (
                &[HELLO[0], HELLO[1], Reports(3, &[1], &[], "a")],
                &["order 1 [1] a", "order 2 [1] a", "order 3 [1] a"],
            ),
            (
                &[
                    Answered(1, OK),
                    Answered(2, OK),
                    Answered(3, OK),
                    At(1),
                    HELLO[0],
                    HELLO[1],
                    Reports(3, &[1], &[], "a"),
                ],
                &["drain 1"],
            ),
            (&[At(3), HELLO[0], HELLO[1], Reports(3, &[1], &[], "a")], &[]),
            (&[Drained(1)], &["order 1 [1] b"]),
            (
                &[At(4), Reports(1, &[1], &[], "b"), HELLO[1], Reports(3, &[1], &[], "a")],
                &["undrain 1", "drain 2"],
            ),
        ],
    },
    Case {
        name: "engine that ignores fencing numbers waits for a lease time and a new report",
        engines: &[(1, &[1], "a", false)],
        steps: &[
            (&[At(14), Reports(1, &[], &[], "a")], &[]),
            (&[At(15)], &["read 1"]),
            (&[At(16)], &[]),
            (&[Reports(1, &[], &[], "a")], &["order 1 [1] a"]),
        ],
    },
    Case {
        name: "loads are spaced from the start of the tenure",
        engines: &[(1, &[1, 2], "a", true)],
        steps: &[
            (&[Reports(1, &[], &[], "a")], &["order 1 [] a"]),
            (&[Answered(1, OK), At(1), Reports(1, &[], &[], "a")], &[]),
            (&[At(10), Reports(1, &[], &[], "a")], &["order 1 [1] a"]),
            (&[At(12), Reports(1, &[1], &[], "a")], &[]),
            (&[At(20), Reports(1, &[1], &[], "a")], &["order 1 [1, 2] a"]),
            (&[At(29), Reports(1, &[1], &[], "a")], &[]),
            (&[At(30), Reports(1, &[1], &[], "a")], &["order 1 [1, 2] a"]),
            (&[At(42), Reports(1, &[1], &[2], "a")], &[]),
        ],
    },
    Case {
        name: "restarted engine is told the number again",
        engines: &[(1, &[1], "a", true)],
        steps: &[
            (&[Reports(1, &[1], &[], "a")], &["order 1 [1] a"]),
            (&[Answered(1, OK), At(1), Reports(1, &[1], &[], "a")], &[]),
            (&[At(12), Restarted(1, &[])], &["order 1 [] a"]),
        ],
    },
    Case {
        name: "refused order ends the tenure",
        engines: &[(1, &[1], "a", true)],
        steps: &[
            (&[Reports(1, &[1], &[], "a")], &["order 1 [1] a"]),
            (&[Answered(1, Answer::Stale)], &["superseded"]),
        ],
    },
    Case {
        name: "failed load is tried again later",
        engines: &[(1, &[1], "a", true)],
        steps: &[
            (&[Reports(1, &[], &[], "a")], &["order 1 [] a"]),
            (&[Answered(1, OK), At(10), Reports(1, &[], &[], "a")], &["order 1 [1] a"]),
            (&[Answered(1, Answer::Failed), At(39), Reports(1, &[], &[], "a")], &[]),
            (&[At(40), Reports(1, &[], &[], "a")], &["order 1 [1] a"]),
        ],
    },
    Case {
        name: "removed engine is not left drained",
        engines: PAIR,
        steps: &[(HELLO, CONFIRMS), (CONFIRMED, &["drain 1"]), (&[Removed(1)], &["undrain 1"])],
    },
];

fn models(numbers: &[u32]) -> BTreeSet<Model> {
    numbers.iter().copied().map(Model).collect()
}

fn text(action: &Action) -> String {
    match action {
        Action::Order { endpoint, wanted, .. } => {
            let models: Vec<_> = wanted.models.iter().map(|model| model.0).collect();
            format!("order {} {models:?} {}", endpoint.0, wanted.role)
        }
        Action::Drain { endpoint } => format!("drain {}", endpoint.0),
        Action::Undrain { endpoint } => format!("undrain {}", endpoint.0),
        Action::Read { endpoint } => format!("read {}", endpoint.0),
        Action::Superseded => "superseded".to_owned(),
    }
}

/// Guards against orders that come too early, in the wrong order or without a drain.
#[gtest]
fn orders_follow_the_rules() {
    let start = Instant::from_micros(1_000_000);
    for Case { name, engines, steps } in CASES {
        let mut engines: Vec<_> = engines
            .iter()
            .map(|(number, wanted, role, checks_fencing)| Engine {
                endpoint: Endpoint(*number),
                models: models(wanted),
                role: (*role).to_owned(),
                checks_fencing: *checks_fencing,
            })
            .collect();
        let mut planner = Planner::new(Options::default());
        let _ = planner.configure(&engines);
        let until = start + Duration::from_secs(1_000);
        let lease_time = Duration::from_secs(15);
        let tenure = Some(Tenure { fencing: 7, since: start, until, lease_time });
        let reads = planner.tick(start, tenure).len();
        expect_that!(reads, eq(engines.len()), "{name}: every engine is read");
        let mut now = start;
        for (step, (events, want)) in steps.iter().enumerate() {
            let mut actions = Vec::new();
            for event in *events {
                match *event {
                    At(second) => now = start + Duration::from_secs(second),
                    Reports(number, ready, loading, role) => {
                        let (ready, loading, role) =
                            (models(ready), models(loading), role.to_owned());
                        let report = Report { ready, loading, role, ..Report::default() };
                        planner.reported(Endpoint(number), now, &report);
                    }
                    Restarted(number, ready) => {
                        let (ready, role) = (models(ready), "a".to_owned());
                        let report = Report { ready, role, instance: 2, ..Report::default() };
                        planner.reported(Endpoint(number), now, &report);
                    }
                    Answered(number, answer) => {
                        actions.extend(planner.order_answered(now, Endpoint(number), 7, answer));
                    }
                    Drained(number) => planner.drained(Endpoint(number)),
                    Removed(number) => {
                        engines.retain(|engine| engine.endpoint.0 != number);
                        actions.extend(planner.configure(&engines));
                    }
                }
            }
            actions.extend(planner.tick(now, tenure));
            let got: Vec<_> = actions.iter().map(text).collect();
            expect_that!(got, eq(*want), "{name}: step {step}");
        }
    }
}
