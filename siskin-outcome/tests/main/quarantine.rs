//! What a router concludes from crashes of endpoints and from responses.

use {
    googletest::prelude::*,
    siskin_outcome::{
        features::Features,
        quarantine::{Options, Register, Verdict},
    },
    siskin_types::{
        id::{Customer, Endpoint, Node},
        time::Instant,
    },
    std::time::Duration,
};

/// An event, one second after the one before. Requests are named by their content.
enum Step {
    /// An endpoint crashed at which these requests waited.
    Crash(u32, &'static [&'static str]),
    /// An endpoint began to respond to a request.
    Start(&'static str),
    /// Nothing happened for this time.
    Pause(Duration),
}

use Step::{Crash, Pause, Start};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// Requests that are refused at the end.
    want_refused: &'static [&'static str],
    /// Requests that run apart from each other at the end.
    want_apart: &'static [&'static str],
}

const REQUESTS: [&str; 4] = ["a", "b", "c", "d"];

const CASES: [Case; 9] = [
    Case { name: "one crash", steps: &[Crash(1, &["a"])], want_refused: &[], want_apart: &["a"] },
    Case {
        name: "two crashes",
        steps: &[Crash(1, &["a", "b"]), Crash(2, &["a", "c"])],
        want_refused: &["a"],
        want_apart: &["b", "c"],
    },
    Case {
        name: "one crash, seen by two requests",
        steps: &[Crash(1, &["a", "a"])],
        want_refused: &[],
        want_apart: &["a"],
    },
    Case {
        name: "a response between the crashes",
        steps: &[Crash(1, &["a"]), Start("a"), Crash(2, &["a"])],
        want_refused: &[],
        want_apart: &["a"],
    },
    Case {
        name: "two requests at the same two crashes",
        steps: &[Crash(1, &["a", "b"]), Crash(2, &["a", "b"])],
        want_refused: &[],
        want_apart: &["a", "b"],
    },
    Case {
        name: "two requests at the same two crashes, one gets a response",
        steps: &[Crash(1, &["a", "b"]), Crash(2, &["a", "b"]), Start("b")],
        want_refused: &["a"],
        want_apart: &[],
    },
    Case {
        name: "a third crash shows which of two it is",
        steps: &[Crash(1, &["a", "b"]), Crash(2, &["a", "b"]), Crash(3, &["a", "c"])],
        want_refused: &["a"],
        want_apart: &["b", "c"],
    },
    Case {
        name: "two crashing requests",
        steps: &[Crash(1, &["a", "c"]), Crash(2, &["b", "d"]), Crash(3, &["a"]), Crash(4, &["b"])],
        want_refused: &["a", "b"],
        want_apart: &["c", "d"],
    },
    Case {
        name: "long ago",
        steps: &[Crash(1, &["a"]), Crash(2, &["a"]), Pause(Duration::from_secs(600))],
        want_refused: &[],
        want_apart: &[],
    },
];

fn request(content: &str) -> Features {
    Features::new(Customer(1), &[content.as_bytes()], "engines", [])
}

fn play(steps: &[Step], register: &mut Register) -> Instant {
    let mut now = Instant::from_micros(100_000_000);
    for step in steps {
        now = now + Duration::from_secs(1);
        match step {
            Crash(endpoint, waiting) => {
                for content in *waiting {
                    register.record_crash(now, Endpoint(*endpoint), &request(content));
                }
            }
            Start(content) => register.record_start(now, &request(content)),
            Pause(time) => now = now + *time,
        }
    }
    register.expire(now, |_| true);
    now
}

/// Guards against crashing requests that are not recognised, and sound ones that are refused for their neighbours.
#[googletest::test]
fn crashing_requests_are_refused_and_sound_ones_run() {
    for case in CASES {
        let mut register = Register::new(Options::default());
        let now = play(case.steps, &mut register);
        let verdicts = REQUESTS.map(|content| register.verdict(now, &request(content)));
        let with_verdict = |wanted: fn(&Verdict) -> bool| {
            let both = REQUESTS.iter().zip(&verdicts);
            both.filter(|(_, verdict)| wanted(verdict)).map(|(content, _)| content).collect()
        };
        let refused: Vec<_> = with_verdict(|verdict| matches!(verdict, Verdict::Refuse { .. }));
        let apart: Vec<_> = with_verdict(|verdict| *verdict == Verdict::RunApart);
        expect_that!(refused, eq(&case.want_refused.iter().collect::<Vec<_>>()), "{}", case.name);
        expect_that!(apart, eq(&case.want_apart.iter().collect::<Vec<_>>()), "{}", case.name);
    }
}

/// A request: its content, and the shared parts of its prompt.
type Prompted = (&'static str, &'static [u64]);

/// An event as in [`Step`], with prompts.
enum PromptStep {
    Crash(&'static [Prompted]),
    Start(Prompted),
}

struct PromptCase {
    name: &'static str,
    steps: &'static [PromptStep],
    want_refused: &'static [Prompted],
    want_sent: &'static [Prompted],
}

const PROMPT_CASES: [PromptCase; 6] = [
    PromptCase {
        name: "a part in two requests, the other part in a sound one",
        steps: &[
            PromptStep::Crash(&[("a", &[1, 9])]),
            PromptStep::Start(("s", &[1, 2])),
            PromptStep::Crash(&[("b", &[1, 9])]),
            PromptStep::Start(("t", &[1, 3])),
        ],
        want_refused: &[("c", &[9]), ("d", &[1, 9]), ("e", &[2, 9])],
        want_sent: &[("c", &[1]), ("d", &[1, 2])],
    },
    PromptCase {
        name: "the same request twice says nothing of its parts",
        steps: &[PromptStep::Crash(&[("a", &[1, 9])]), PromptStep::Crash(&[("a", &[1, 9])])],
        want_refused: &[("a", &[1, 9])],
        want_sent: &[("b", &[1, 9]), ("c", &[9])],
    },
    PromptCase {
        name: "the same request twice, then another one with its part",
        steps: &[
            PromptStep::Crash(&[("a", &[1, 9])]),
            PromptStep::Crash(&[("a", &[1, 9])]),
            PromptStep::Crash(&[("b", &[2, 9])]),
        ],
        want_refused: &[("a", &[1, 9]), ("c", &[3, 9])],
        want_sent: &[("c", &[1]), ("c", &[2])],
    },
    PromptCase {
        name: "two parts that always come together are a cause only together",
        steps: &[PromptStep::Crash(&[("a", &[8, 9])]), PromptStep::Crash(&[("b", &[8, 9])])],
        want_refused: &[("c", &[8, 9])],
        want_sent: &[("c", &[8]), ("c", &[9])],
    },
    PromptCase {
        name: "a crash with one of two parts shows which it is",
        steps: &[
            PromptStep::Crash(&[("a", &[8, 9])]),
            PromptStep::Crash(&[("b", &[8, 9])]),
            PromptStep::Crash(&[("c", &[9])]),
        ],
        want_refused: &[("d", &[9])],
        want_sent: &[("d", &[8])],
    },
    PromptCase {
        name: "neighbours with a common part",
        steps: &[
            PromptStep::Crash(&[("a", &[9]), ("s", &[1])]),
            PromptStep::Crash(&[("b", &[9]), ("t", &[1])]),
            PromptStep::Crash(&[("c", &[9])]),
        ],
        want_refused: &[("d", &[9])],
        want_sent: &[("s", &[1]), ("u", &[1])],
    },
];

fn prompted((content, parts): Prompted) -> Features {
    Features::new(Customer(1), &[content.as_bytes()], "engines", parts.iter().copied())
}

/// Guards against parts of prompts that crash one endpoint after the other, and against refusing sound requests that share
/// another part with them.
#[googletest::test]
fn crashing_parts_are_refused_and_their_neighbours_run() {
    for case in PROMPT_CASES {
        let mut register = Register::new(Options::default());
        let mut now = Instant::from_micros(100_000_000);
        for (step, endpoint) in case.steps.iter().zip(1..) {
            now = now + Duration::from_secs(1);
            match step {
                PromptStep::Crash(waiting) => {
                    for request in *waiting {
                        register.record_crash(now, Endpoint(endpoint), &prompted(*request));
                    }
                }
                PromptStep::Start(request) => register.record_start(now, &prompted(*request)),
            }
        }
        let mut refuses = |request: Prompted| {
            matches!(register.verdict(now, &prompted(request)), Verdict::Refuse { .. })
        };
        for request in case.want_refused {
            expect_that!(refuses(*request), eq(true), "{}: {request:?}", case.name);
        }
        for request in case.want_sent {
            expect_that!(refuses(*request), eq(false), "{}: {request:?}", case.name);
        }
    }
}

/// Guards against a sound part that counts as involved because the news of the crash came later than a response to it.
#[googletest::test]
fn a_response_before_the_news_of_the_crash_clears() {
    let (mut first, mut second) =
        (Register::new(Options::default()), Register::new(Options::default()));
    let at = |millis: u64| Instant::from_micros(100_000_000 + 1_000 * millis);
    for (crash, name) in [(0, "a"), (300, "b")] {
        let endpoint = Endpoint(u32::try_from(crash).unwrap());
        first.record_crash(at(crash), endpoint, &prompted((name, &[1])));
    }
    second.record_start(at(350), &prompted(("s", &[1])));
    for part in first.report(at(400), Node(2)).split() {
        second.merge(at(400), Node(1), &part);
    }
    expect_that!(second.verdict(at(400), &prompted(("t", &[1]))), eq(Verdict::Run));
    // The first one does not know of the response yet; its callers may come back soon.
    let verdict = first.verdict(at(400), &prompted(("t", &[1])));
    let is_provisional = matches!(
        verdict,
        Verdict::Refuse { retry_after, .. } if retry_after <= Duration::from_secs(1)
    );
    expect_that!(is_provisional, eq(true), "{verdict:?}");
    for part in second.report(at(410), Node(1)).split() {
        first.merge(at(410), Node(2), &part);
    }
    expect_that!(first.verdict(at(410), &prompted(("t", &[1]))), eq(Verdict::Run));
}

/// Guards against a router that does not draw the conclusions of its peers, for example after a restart.
#[googletest::test]
fn a_new_router_learns_the_causes_from_one_report() {
    for case in CASES {
        let mut register = Register::new(Options::default());
        let now = play(case.steps, &mut register);
        let mut joined = Register::new(Options::default());
        // The clock of the new process began just now.
        let joined_at = Instant::from_micros(1_000);
        for part in register.report(now, Node(2)).split() {
            joined.merge(joined_at, Node(1), &part);
        }
        for content in REQUESTS {
            let refuses = |register: &mut Register, now| {
                matches!(register.verdict(now, &request(content)), Verdict::Refuse { .. })
            };
            let (want, got) = (refuses(&mut register, now), refuses(&mut joined, joined_at));
            expect_that!(got, eq(want), "{}: {content}", case.name);
        }
    }
}

/// Guards against memory and messages that grow with the number of crashes.
#[googletest::test]
fn many_crashes_take_bounded_memory_and_the_cause_stays_known() {
    let options = Options::default();
    let mut register = Register::new(options);
    let mut now = Instant::from_micros(100_000_000);
    for endpoint in 0..3 {
        register.record_crash(now, Endpoint(endpoint), &request("crashing"));
        now = now + options.outage_window;
    }
    for endpoint in 3..1_000 {
        now = now + Duration::from_millis(200);
        for index in 0..50 {
            let content = format!("sound {endpoint} {index}");
            register.record_crash(now, Endpoint(endpoint), &request(&content));
        }
        register.expire(now, |_| true);
    }
    expect_that!(register.crashes(), le(options.max_crashes));
    expect_that!(
        matches!(register.verdict(now, &request("crashing")), Verdict::Refuse { .. }),
        eq(true)
    );
    let _ = register.report(now, Node(2));
    let later = now + options.announcement_time;
    let report = register.report(later, Node(2));
    expect_that!(report.involvements.len(), eq(3), "only what the refusal needs is repeated");
}

/// Guards against facts that two routers send to each other without end, each time as a newer one.
#[googletest::test]
fn known_facts_are_not_passed_on_again() {
    let (mut first, mut second) =
        (Register::new(Options::default()), Register::new(Options::default()));
    let mut now = Instant::from_micros(100_000_000);
    first.record_crash(now, Endpoint(1), &request("a"));
    first.record_crash(now, Endpoint(1), &request("b"));
    now = now + Duration::from_millis(50);
    first.record_start(now, &request("b"));
    let mut facts = 0;
    for _ in 0..200 {
        let delay = Duration::from_millis(5);
        let (to_second, to_first) = (first.report(now, Node(2)), second.report(now, Node(1)));
        for report in [&to_second, &to_first] {
            facts += report.involvements.len() + report.clearances.len();
        }
        now = now + delay;
        second.merge(now, Node(1), &to_second);
        first.merge(now, Node(2), &to_first);
        now = now + Duration::from_millis(45);
    }
    // Ten seconds with one repeat a second of two facts in each direction, and the facts as news.
    expect_that!(facts, le(2 * 2 * 11 + 4));
}

/// Time of a test in milliseconds.
fn at(millis: u64) -> Instant {
    Instant::from_micros(100_000_000 + 1_000 * millis)
}

fn refuses(register: &mut Register, now: Instant, features: &Features) -> bool {
    matches!(register.verdict(now, features), Verdict::Refuse { .. })
}

/// Guards against sound requests that are refused because an outage ended several endpoints that ran them.
#[googletest::test]
fn endpoints_that_crash_together_are_no_evidence_against_a_shared_part() {
    struct Case {
        name: &'static str,
        /// When endpoints crash that all run a request with part 1.
        crashes_ms: &'static [u64],
        want_refused: bool,
    }
    let cases = [
        Case { name: "at the same moment", crashes_ms: &[0, 0, 0], want_refused: false },
        Case { name: "within the window", crashes_ms: &[0, 80, 149], want_refused: false },
        Case { name: "one after the other", crashes_ms: &[0, 900], want_refused: true },
        Case { name: "two outages", crashes_ms: &[0, 50, 5_000, 5_050], want_refused: true },
    ];
    for case in cases {
        let mut register = Register::new(Options::default());
        for (crash, endpoint) in case.crashes_ms.iter().zip(0..) {
            let content = format!("sound {endpoint}");
            let features = Features::new(Customer(1), &[content.as_bytes()], "engines", [1]);
            register.record_crash(at(*crash), Endpoint(endpoint), &features);
        }
        let now = at(*case.crashes_ms.last().unwrap());
        let refused = refuses(&mut register, now, &prompted(("next", &[1])));
        expect_that!(refused, eq(case.want_refused), "{}", case.name);
    }
}

/// A register of a router with part 9 or, if `same`, one request as the cause of two crashes; the last one at 1 s.
fn register_with_cause(node: Node, same: bool) -> Register {
    let mut register = Register::new(Options::default());
    register.set_node(node);
    let second = if same { "a" } else { "b" };
    register.record_crash(at(0), Endpoint(1), &prompted(("a", &[9])));
    register.record_crash(at(1_000), Endpoint(2), &prompted((second, &[9])));
    register
}

/// First time after `from` at which a request may run, in steps of 10 ms; `None` if there is none within two minutes.
fn first_trial(register: &mut Register, from: u64, request: Prompted) -> Option<u64> {
    let times = (from..from + 120_000).step_by(10);
    let mut tried = times.filter(|time| {
        matches!(register.verdict(at(*time), &prompted(request)), Verdict::Trial { .. })
    });
    tried.next()
}

/// Guards against a refusal that only time ends, as what is refused gets no response that could clear it.
#[googletest::test]
fn a_trial_with_a_response_clears_a_wrong_cause() {
    let mut register = register_with_cause(Node(3), false);
    let tried = first_trial(&mut register, 1_000, ("c", &[9])).unwrap();
    expect_that!(tried, all![ge(4_000), le(6_400)]);
    expect_that!(refuses(&mut register, at(tried + 10), &prompted(("d", &[9]))), eq(true));
    register.record_start(at(tried + 200), &prompted(("c", &[9])));
    expect_that!(register.verdict(at(tried + 200), &prompted(("d", &[9]))), eq(Verdict::Run));
}

/// Guards against trials that crash endpoints without end: a request gets three of them, a part five.
#[googletest::test]
fn trials_that_crash_endpoints_end() {
    for (same, want) in [(true, 3), (false, 5)] {
        let mut register = register_with_cause(Node(0), same);
        let (mut crashes, mut now) = (2, 1_000);
        let requests: [Prompted; 2] = [("a", &[9]), ("c", &[9])];
        let request = requests[usize::from(!same)];
        while let Some(tried) = first_trial(&mut register, now, request) {
            now = tried + 100;
            register.record_crash(at(now), Endpoint(10 + crashes), &prompted(request));
            crashes += 1;
        }
        expect_that!(crashes, eq(want), "one request: {same}");
    }
}

/// Guards against a trial by each router: they take turns, and all of them choose one endpoint.
#[googletest::test]
fn routers_take_turns_in_trials() {
    let mut made = Vec::new();
    let mut numbers = Vec::new();
    for node in 0..8 {
        let mut register = register_with_cause(Node(node), false);
        let tried = first_trial(&mut register, 1_000, ("c", &[9])).unwrap();
        made.push(tried);
        let mut register = register_with_cause(Node(node), false);
        if let Verdict::Trial { number } = register.verdict(at(tried), &prompted(("d", &[9]))) {
            numbers.push(number);
        }
    }
    let expected: Vec<u64> = (0..8).map(|node| 4_000 + 300 * node).collect();
    expect_that!(made, eq(&expected));
    expect_that!(numbers, eq(&vec![numbers[0]; 8]));
}
