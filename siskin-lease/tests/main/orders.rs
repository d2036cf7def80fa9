use {
    googletest::prelude::*,
    siskin_lease::{
        holder::Tenure,
        orders::{Action, Answer, Engine, Options, Planner, Report, Versions},
    },
    siskin_types::{
        id::{Endpoint, Model},
        role::Role,
        time::Instant,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// An event before a tick. Times are in seconds since the lease was acquired; engines are given by number. A model is
/// given by its number plus 100 times its version, where version 0 stands for an empty one. Models from number 10 are
/// adapters; the last digit is the number of their base.
#[derive(Clone, Copy)]
enum Event {
    /// Advances the clock.
    At(u64),
    /// An engine has reported its ready models, the models being loaded and its role. The report was requested now.
    Report(u32, &'static [u32], &'static [u32], &'static str),
    /// As `Report`, by a restarted process that has the role both and loads nothing.
    Restarted(u32, &'static [u32]),
    Answered(u32, Answer),
    Drained(u32),
    /// The configuration no longer names the engine.
    Removed(u32),
    /// The configuration has changed the shortest time between loads, in seconds.
    Spaced(u64),
}

use Event::{Answered, At, Drained, Removed, Report as Reports, Restarted, Spaced};

/// An engine, its wanted models, its wanted role and whether it checks fencing numbers.
type Wanted = (u32, &'static [u32], &'static str, bool);

struct Case {
    name: &'static str,
    engines: &'static [Wanted],
    /// Events, and the actions that they and the following tick return.
    steps: &'static [(&'static [Event], &'static [&'static str])],
}

const OK: Answer = Answer::Accepted;

/// Two engines with model 1, of which the first should change to the role prefill.
const PAIR: &[Wanted] = &[(1, &[1], "prefill", true), (2, &[1], "both", true)];
/// The first reports of both engines of `PAIR`.
const FIRST_REPORTS: &[Event] = &[Reports(1, &[1], &[], "both"), Reports(2, &[1], &[], "both")];
/// The orders that announce the fencing number.
const ANNOUNCEMENTS: &[&str] = &["order 1 [1] both", "order 2 [1] both"];
/// Both engines accept the announcement and report again.
const ANNOUNCED: &[Event] = &[
    Answered(1, OK),
    Answered(2, OK),
    At(1),
    Reports(1, &[1], &[], "both"),
    Reports(2, &[1], &[], "both"),
];

/// Reports of three engines with version 1 of model 1, of which two have an adapter.
const OLD_VERSION_REPORTS: &[Event] = &[
    Reports(1, &[101, 11], &[], "both"),
    Reports(2, &[101], &[], "both"),
    Reports(3, &[101, 11], &[], "both"),
];

const CASES: &[Case] = &[
    Case {
        name: "engine that has not accepted the new fencing number does not count as serving",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (&[Answered(1, OK), At(1), FIRST_REPORTS[0], FIRST_REPORTS[1]], &["blocked 1 by 1"]),
            (&[At(10), Answered(2, OK), At(11), FIRST_REPORTS[0], FIRST_REPORTS[1]], &["drain 1"]),
        ],
    },
    Case {
        name: "report requested before the engine accepted the fencing number does not count",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (
                &[
                    At(1),
                    FIRST_REPORTS[0],
                    FIRST_REPORTS[1],
                    At(2),
                    Answered(1, OK),
                    Answered(2, OK),
                ],
                &[],
            ),
            (&[At(3), FIRST_REPORTS[0], FIRST_REPORTS[1]], &["drain 1"]),
        ],
    },
    Case {
        name: "drain precedes the order and ends when the role has changed",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (ANNOUNCED, &["drain 1"]),
            (&[At(3), FIRST_REPORTS[0], FIRST_REPORTS[1]], &[]),
            (&[At(4), FIRST_REPORTS[0], FIRST_REPORTS[1], Drained(1)], &["order 1 [1] prefill"]),
            (&[At(5), Reports(1, &[], &[1], "prefill"), FIRST_REPORTS[1]], &["undrain 1"]),
        ],
    },
    Case {
        name: "drain is cancelled when the other engine dies",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (ANNOUNCED, &["drain 1"]),
            (&[At(5), FIRST_REPORTS[0], Drained(1)], &["undrain 1", "blocked 1 by 1"]),
        ],
    },
    Case {
        name: "engine stays drained while its order may still arrive",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (ANNOUNCED, &["drain 1"]),
            (&[At(2), FIRST_REPORTS[0], FIRST_REPORTS[1], Drained(1)], &["order 1 [1] prefill"]),
            // Engine 2 is silent, but the order to engine 1 may still arrive.
            (&[At(8), FIRST_REPORTS[0]], &[]),
            (&[At(12), FIRST_REPORTS[0]], &["undrain 1", "blocked 1 by 1"]),
        ],
    },
    Case {
        name: "only one engine of a model is changed at a time",
        engines: &[(1, &[1], "prefill", true), (2, &[1], "prefill", true), (3, &[1], "both", true)],
        steps: &[
            (
                &[FIRST_REPORTS[0], FIRST_REPORTS[1], Reports(3, &[1], &[], "both")],
                &["order 1 [1] both", "order 2 [1] both", "order 3 [1] both"],
            ),
            (
                &[
                    Answered(1, OK),
                    Answered(2, OK),
                    Answered(3, OK),
                    At(1),
                    FIRST_REPORTS[0],
                    FIRST_REPORTS[1],
                    Reports(3, &[1], &[], "both"),
                ],
                &["drain 1"],
            ),
            (&[At(3), FIRST_REPORTS[0], FIRST_REPORTS[1], Reports(3, &[1], &[], "both")], &[]),
            (&[Drained(1)], &["order 1 [1] prefill"]),
            (
                &[
                    At(4),
                    Reports(1, &[1], &[], "prefill"),
                    FIRST_REPORTS[1],
                    Reports(3, &[1], &[], "both"),
                ],
                &["undrain 1", "drain 2"],
            ),
        ],
    },
    Case {
        name: "engine that ignores fencing numbers gets orders only after a lease time and a new report",
        engines: &[(1, &[1], "both", false)],
        steps: &[
            (&[At(14), Reports(1, &[], &[], "both")], &[]),
            (&[At(15)], &["read 1"]),
            (&[At(16)], &[]),
            (&[Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
        ],
    },
    Case {
        name: "loads are spaced from the start of the tenure",
        engines: &[(1, &[1, 2], "both", true)],
        steps: &[
            (&[Reports(1, &[], &[], "both")], &["order 1 [] both"]),
            (&[Answered(1, OK), At(1), Reports(1, &[], &[], "both")], &[]),
            (&[At(10), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
            (&[At(12), Reports(1, &[1], &[], "both")], &[]),
            (&[At(20), Reports(1, &[1], &[], "both")], &["order 1 [1, 2] both"]),
            (&[At(29), Reports(1, &[1], &[], "both")], &[]),
            (&[At(30), Reports(1, &[1], &[], "both")], &["order 1 [1, 2] both"]),
            (&[At(42), Reports(1, &[1], &[2], "both")], &[]),
        ],
    },
    Case {
        name: "loads are spaced from the answer to the last one",
        engines: &[(1, &[1, 2], "both", true)],
        steps: &[
            (&[Reports(1, &[], &[], "both")], &["order 1 [] both"]),
            (&[Answered(1, OK), At(10), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
            (&[At(17), Answered(1, OK), At(20), Reports(1, &[1], &[], "both")], &[]),
            (&[At(27), Reports(1, &[1], &[], "both")], &["order 1 [1, 2] both"]),
        ],
    },
    Case {
        name: "changed spacing applies to a load that is already waiting",
        engines: &[(1, &[1, 2], "both", true)],
        steps: &[
            (&[Reports(1, &[], &[], "both")], &["order 1 [] both"]),
            (&[Answered(1, OK), At(1), Reports(1, &[], &[], "both")], &[]),
            (&[Spaced(2), At(2), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
            (&[Spaced(20), At(12), Reports(1, &[1], &[], "both")], &[]),
            (&[At(22), Reports(1, &[1], &[], "both")], &["order 1 [1, 2] both"]),
        ],
    },
    Case {
        name: "fencing number is announced again to a restarted engine",
        engines: &[(1, &[1], "both", true)],
        steps: &[
            (&[Reports(1, &[1], &[], "both")], &["order 1 [1] both"]),
            (&[Answered(1, OK), At(1), Reports(1, &[1], &[], "both")], &[]),
            (&[At(12), Restarted(1, &[])], &["order 1 [] both"]),
        ],
    },
    Case {
        name: "adapter is loaded after its base and without a drain",
        engines: &[(1, &[1, 11], "both", true)],
        steps: &[
            (&[Reports(1, &[], &[], "both")], &["order 1 [] both"]),
            (&[Answered(1, OK), At(10), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
            (&[At(20), Reports(1, &[], &[1], "both")], &[]),
            (&[At(21), Reports(1, &[1], &[], "both")], &["order 1 [1, 11] both"]),
        ],
    },
    Case {
        name: "new version takes a drain, an unload and a spaced load, one engine after the other",
        engines: &[
            (1, &[201, 11], "both", true),
            (2, &[201], "both", true),
            (3, &[1, 11], "both", true),
        ],
        steps: &[
            (
                OLD_VERSION_REPORTS,
                &["order 1 [11, 101] both", "order 2 [101] both", "order 3 [11, 101] both"],
            ),
            (
                &[
                    Answered(1, OK),
                    Answered(2, OK),
                    Answered(3, OK),
                    At(1),
                    OLD_VERSION_REPORTS[0],
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &["drain 1"],
            ),
            // The adapter is unloaded with its base.
            (
                &[
                    At(5),
                    OLD_VERSION_REPORTS[0],
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                    Drained(1),
                ],
                &["order 1 [] both"],
            ),
            // A report that does not show the effect yet does not end the change.
            (&[At(6), OLD_VERSION_REPORTS[0], OLD_VERSION_REPORTS[1], OLD_VERSION_REPORTS[2]], &[]),
            // Engine 1 has yet to load the model, so engine 2 is not drained.
            (
                &[
                    At(7),
                    Reports(1, &[], &[], "both"),
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &["undrain 1"],
            ),
            (
                &[
                    At(10),
                    Reports(1, &[], &[], "both"),
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &["order 1 [201] both"],
            ),
            (
                &[
                    At(11),
                    Reports(1, &[], &[201], "both"),
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &[],
            ),
            (
                &[
                    At(12),
                    Reports(1, &[201], &[], "both"),
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &["drain 2"],
            ),
            (
                &[
                    At(20),
                    Reports(1, &[201], &[], "both"),
                    OLD_VERSION_REPORTS[1],
                    OLD_VERSION_REPORTS[2],
                ],
                &["order 1 [11, 201] both"],
            ),
        ],
    },
    Case {
        name: "unknown version counts as the wanted one",
        engines: &[(1, &[201], "both", true), (2, &[201], "both", true)],
        steps: &[(FIRST_REPORTS, &["order 1 [1] both", "order 2 [1] both"]), (ANNOUNCED, &[])],
    },
    Case {
        name: "engine with role prefill does not count as serving, and may be changed although it has the only other copy",
        engines: &[(1, &[1], "decode", true), (2, &[1], "both", true)],
        steps: &[
            (
                &[FIRST_REPORTS[0], Reports(2, &[1], &[], "prefill")],
                &["order 1 [1] both", "order 2 [1] prefill"],
            ),
            (
                &[
                    Answered(1, OK),
                    Answered(2, OK),
                    At(1),
                    FIRST_REPORTS[0],
                    Reports(2, &[1], &[], "prefill"),
                ],
                &["drain 2", "blocked 1 by 1"],
            ),
        ],
    },
    Case {
        name: "order refused as stale ends the tenure",
        engines: &[(1, &[1], "both", true)],
        steps: &[
            (&[Reports(1, &[1], &[], "both")], &["order 1 [1] both"]),
            (&[Answered(1, Answer::Stale)], &["superseded"]),
        ],
    },
    Case {
        name: "failed load is repeated after the retry time",
        engines: &[(1, &[1], "both", true)],
        steps: &[
            (&[Reports(1, &[], &[], "both")], &["order 1 [] both"]),
            (&[Answered(1, OK), At(10), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
            (&[Answered(1, Answer::Failed), At(39), Reports(1, &[], &[], "both")], &[]),
            (&[At(40), Reports(1, &[], &[], "both")], &["order 1 [1] both"]),
        ],
    },
    Case {
        name: "drain of a removed engine is ended",
        engines: PAIR,
        steps: &[
            (FIRST_REPORTS, ANNOUNCEMENTS),
            (ANNOUNCED, &["drain 1"]),
            (&[Removed(1)], &["undrain 1"]),
        ],
    },
];

fn models(numbers: &[u32]) -> Versions {
    let version =
        |number: &u32| if *number < 100 { String::new() } else { (number / 100).to_string() };
    numbers.iter().map(|number| (Model(number % 100), version(number))).collect()
}

fn numbers(models: &Versions) -> Vec<u32> {
    let version = |version: &String| version.parse().unwrap_or(0);
    let mut numbers: Vec<_> =
        models.iter().map(|(model, text)| model.0 + 100 * version(text)).collect();
    numbers.sort_unstable();
    numbers
}

fn bases(models: &Versions) -> BTreeMap<Model, Model> {
    let adapters = models.keys().filter(|model| model.0 >= 10);
    adapters.map(|model| (*model, Model(model.0 % 10))).collect()
}

fn describe(action: &Action) -> String {
    match action {
        Action::Order { endpoint, wanted, .. } => {
            let role = wanted.role.map_or("unchanged", Role::name);
            format!("order {} {:?} {role}", endpoint.0, numbers(&wanted.models))
        }
        Action::Drain { endpoint } => format!("drain {}", endpoint.0),
        Action::Undrain { endpoint } => format!("undrain {}", endpoint.0),
        Action::Read { endpoint } => format!("read {}", endpoint.0),
        Action::Superseded => "superseded".to_owned(),
    }
}

/// Guards against orders that are sent too early, in the wrong sequence or without a drain.
#[gtest]
fn orders_are_drained_spaced_and_fenced() {
    let start = Instant::from_micros(1_000_000);
    for Case { name, engines, steps } in CASES {
        let mut engines: Vec<_> = engines
            .iter()
            .map(|(number, wanted, role, checks_fencing)| Engine {
                endpoint: Endpoint(*number),
                models: models(wanted),
                bases: bases(&models(wanted)),
                role: Role::named(role).expect(name),
                checks_fencing: *checks_fencing,
            })
            .collect();
        let mut planner = Planner::new(Options::default());
        let _ = planner.configure(&engines);
        let until = start + Duration::from_secs(1_000);
        let lease_time = Duration::from_secs(15);
        let tenure = Some(Tenure { fencing: 7, since: start, until, lease_time });
        let reads = planner.tick(start, tenure).len();
        expect_that!(reads, eq(engines.len()), "{name}: a new tenure reads every engine");
        let mut now = start;
        for (step, (events, want)) in steps.iter().enumerate() {
            let mut actions = Vec::new();
            for event in *events {
                match *event {
                    At(second) => now = start + Duration::from_secs(second),
                    Reports(number, ready, loading, role) => {
                        let (ready, loading, role) =
                            (models(ready), models(loading), Role::named(role));
                        let report = Report { ready, loading, role, ..Report::default() };
                        planner.reported(Endpoint(number), now, &report);
                    }
                    Restarted(number, ready) => {
                        let (ready, role) = (models(ready), Some(Role::Both));
                        let report = Report { ready, role, instance: 2, ..Report::default() };
                        planner.reported(Endpoint(number), now, &report);
                    }
                    Answered(number, answer) => {
                        actions.extend(planner.handle_order_answer(
                            now,
                            Endpoint(number),
                            7,
                            answer,
                        ));
                    }
                    Drained(number) => planner.record_drained(Endpoint(number)),
                    Spaced(second) => planner.set_load_spacing(Duration::from_secs(second)),
                    Removed(number) => {
                        engines.retain(|engine| engine.endpoint.0 != number);
                        actions.extend(planner.configure(&engines));
                    }
                }
            }
            actions.extend(planner.tick(now, tenure));
            let mut got: Vec<_> = actions.iter().map(describe).collect();
            let blocked = planner.blocked().iter();
            got.extend(blocked.map(|it| format!("blocked {} by {}", it.endpoint.0, it.model.0)));
            expect_that!(got, eq(*want), "{name}: step {step}");
        }
    }
}
