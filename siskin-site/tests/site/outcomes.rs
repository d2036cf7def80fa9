//! Each way a request can end: the caller is told the truth, and gets the whole of its own answer or none.

use {
    crate::support::{chat_text, command_all, command_one, options, runs, start},
    googletest::prelude::*,
    siskin_site::{
        Customer, Site,
        client::{Answer, Call, Client, send},
    },
    siskin_standin::{
        engine,
        fault::{Command, Fault},
    },
    std::ops::RangeInclusive,
};

const TOKENS: u32 = 20;

/// What is called.
#[derive(Clone, Copy, Debug)]
enum Target {
    Stream,
    Chat,
    /// An application route whose calls may not be repeated.
    Bookings,
    /// An application route whose calls may be repeated.
    Search,
}

/// Which endpoints have a fault.
#[derive(Clone, Copy, Debug)]
enum Reach {
    /// The first attempt that reaches each endpoint.
    Once,
    /// The first attempt that reaches one of the endpoints.
    One,
    /// Every request at every endpoint.
    Always,
}

struct Case {
    name: &'static str,
    target: Target,
    fault: Option<(Reach, Fault)>,
    want: &'static str,
    reason: &'static str,
    runs: RangeInclusive<u64>,
}

impl Case {
    const fn completed(name: &'static str, target: Target, runs: RangeInclusive<u64>) -> Self {
        Self { name, target, fault: None, want: "completed", reason: "", runs }
    }

    fn fault(self, reach: Reach, fault: Fault) -> Self {
        Self { fault: Some((reach, fault)), ..self }
    }

    fn ends(self, want: &'static str, reason: &'static str) -> Self {
        Self { want, reason, ..self }
    }
}

fn cases() -> Vec<Case> {
    use {Fault::*, Reach::*, Target::*};
    vec![
        Case::completed("stream", Stream, 1..=1),
        Case::completed("chat", Chat, 1..=1),
        Case::completed("application", Bookings, 1..=1),
        Case::completed("stream cut in the middle is resumed", Stream, 1..=1)
            .fault(Once, Cut { after_events: 3 }),
        Case::completed("chat cut in the middle is resumed", Chat, 1..=1)
            .fault(Once, Cut { after_events: 3 }),
        Case::completed("silent stream is resumed", Stream, 1..=1)
            .fault(Once, Silence { after_events: 3 }),
        Case::completed("stream that is silent from the start", Stream, 1..=2)
            .fault(Once, Silence { after_events: 0 }),
        Case::completed("doubled events are delivered once", Stream, 1..=1).fault(Once, Doubled),
        Case::completed("crossed chat is not delivered", Chat, 1..=3).fault(Once, Crossed),
        Case::completed("crossed stream is not delivered", Stream, 1..=3).fault(Once, Crossed),
        Case::completed("chat refused once", Chat, 1..=1).fault(Once, Refuse),
        Case::completed("late answer", Bookings, 1..=1).fault(Once, Late { delay_ms: 300 }),
        Case::completed("chat refused everywhere", Chat, 0..=0)
            .fault(Always, Refuse)
            .ends("not_run", "endpoint_refused"),
        Case::completed("repeatable call cut in the middle", Search, 3..=3)
            .fault(Once, Cut { after_events: 0 }),
        Case::completed("crossed answer of a call", Bookings, 1..=1)
            .fault(Once, Crossed)
            .ends("unknown", "crossed"),
        Case::completed("call cut in the middle", Bookings, 1..=1)
            .fault(Once, Cut { after_events: 0 })
            .ends("unknown", "broken"),
        Case::completed("silent call", Bookings, 1..=1)
            .fault(Once, Silence { after_events: 0 })
            .ends("unknown", "silent"),
        Case::completed("endpoint dies while it runs a call", Bookings, 1..=1)
            .fault(Once, CrashOn { text: "call 17".to_owned(), restart_ms: 100 })
            .ends("unknown", "broken"),
        Case::completed("endpoint dies while it runs a repeatable call", Search, 1..=2)
            .fault(One, CrashOn { text: "call 18".to_owned(), restart_ms: 100 }),
        Case::completed("call refused once", Bookings, 1..=1).fault(One, Refuse),
        Case::completed("call refused everywhere", Bookings, 0..=0)
            .fault(Always, Refuse)
            .ends("not_run", "endpoint_refused"),
    ]
}

fn call(site: &Site, index: usize, target: Target) -> Call {
    let router = site.router(index % 2).callers();
    let key = Customer::new("agency").key();
    let content = format!("call {index}");
    match target {
        Target::Stream | Target::Chat => {
            let stream = matches!(target, Target::Stream);
            Call::chat(router, &key, &content, u64::from(TOKENS), stream)
        }
        Target::Bookings => Call::post(router, "/apps/bookings/crews", &key, &content),
        Target::Search => Call::post(router, "/apps/search/venues", &key, &content),
    }
    .header("x-siskin-timeout-ms", "3000")
}

/// The call with a deadline that no machine reaches.
fn patient(mut call: Call) -> Call {
    call.headers.retain(|(name, _)| name != "x-siskin-timeout-ms");
    call.header("x-siskin-timeout-ms", "600000")
}

/// Whether the answer is the whole answer to this call and to no other.
fn is_own(answer: &Answer, target: Target, content: &str) -> bool {
    match target {
        Target::Stream | Target::Chat => {
            chat_text(answer) == engine::text(answer.request(), content, TOKENS)
        }
        Target::Bookings | Target::Search => {
            answer.body.contains(content) && answer.body.contains(answer.request())
        }
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_told_what_happened() {
    let site = start(options()).await;
    for (index, case) in cases().into_iter().enumerate() {
        if let Some((reach, fault)) = &case.fault {
            match reach {
                Reach::Once => command_all(&site, &Command::once(fault.clone())),
                Reach::One => command_one(&site, &Command::once(fault.clone())),
                Reach::Always => command_all(&site, &Command::always(fault.clone())),
            }
        }
        let answer = send(&call(&site, index, case.target)).await.expect(case.name);
        command_all(&site, &Command::always(Fault::Clear));
        let content = format!("call {index}");
        let completed = case.want == "completed";
        if matches!(case.target, Target::Stream) && completed {
            expect_true!(answer.body.trim_end().ends_with("data: [DONE]"), "{}", case.name);
        } else {
            expect_that!(answer.outcome(), eq(case.want), "{}: {answer:?}", case.name);
            expect_that!(answer.reason(), eq(case.reason), "{}", case.name);
        }
        let own = is_own(&answer, case.target, &content);
        expect_that!(own, eq(completed), "{}: {answer:?}", case.name);
        let count = runs(&site, answer.request());
        expect_true!(case.runs.contains(&count), "{}: {count} runs", case.name);
    }
    site.stop().await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_reached_no_endpoint_is_not_run() {
    let site = start(options()).await;
    kill(&site);
    let answer = send(&call(&site, 0, Target::Bookings)).await.unwrap();
    expect_that!(answer.outcome(), eq("not_run"), "{answer:?}");
    expect_that!(runs(&site, answer.request()), eq(0));
    site.stop().await;
}

/// Guards against a call that waits for its deadline although no endpoint that could serve it is alive.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_endpoints_are_dead_is_answered_before_its_deadline() {
    struct Case {
        name: &'static str,
        target: Target,
        key: &'static str,
    }
    let cases = [
        Case { name: "chat", target: Target::Chat, key: "" },
        Case { name: "call", target: Target::Bookings, key: "" },
        Case { name: "claimed call", target: Target::Bookings, key: "dead" },
    ];
    let site = start(options()).await;
    kill(&site);
    for case in cases {
        // The first calls find out that the endpoints are dead, and may end with their own attempts.
        for round in 0.. {
            assert_that!(round, lt(20), "{}: never refused as dead", case.name);
            let mut call = call(&site, 0, case.target).header("idempotency-key", case.key);
            call.headers.retain(|(_, value)| !value.is_empty());
            let answer = send(&patient(call)).await.unwrap();
            expect_that!(answer.outcome(), eq("not_run"), "{}: {answer:?}", case.name);
            expect_that!(answer.reason(), not(eq("queue_deadline")), "{}", case.name);
            if answer.reason() == "endpoints_down" {
                expect_that!(answer.status.as_u16(), eq(503), "{}", case.name);
                expect_that!(answer.header("retry-after"), eq("5"), "{}", case.name);
                break;
            }
        }
    }
    let metrics = get_metrics(&site).await;
    let counted = "siskin_refusals_total{reason=\"endpoints_down\"} 3";
    expect_true!(metrics.contains(counted), "{metrics}");
    let search = send(&call(&site, 0, Target::Search)).await.unwrap();
    expect_that!(search.outcome(), eq("completed"), "other pools go on: {search:?}");
    site.stop().await;
}

/// Kills the engines and the endpoints of the first application. They keep their ports, which another test's server
/// could get otherwise.
fn kill(site: &Site) {
    let command = Command::always(Fault::Crash { restart_ms: 600_000 });
    site.engines.iter().for_each(|engine| engine.command(command.clone()));
    site.applications[0].iter().for_each(|endpoint| endpoint.command(command.clone()));
}

async fn get_metrics(site: &Site) -> String {
    let address = site.router(0).callers();
    let call = Call { method: hyper::Method::GET, ..Call::post(address, "/metrics", "", "") };
    send(&call).await.unwrap().body
}

/// Guards against an answer that reaches another caller when a crossed answer and a caller that goes away meet on
/// the connections of one router.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_its_own_answer_when_another_one_goes_away() {
    let site = start(options()).await;
    for round in 0..20 {
        let target = if round % 2 == 0 { Target::Bookings } else { Target::Search };
        let gone = patient(call(&site, 2 * round, target));
        command_all(&site, &Command::once(Fault::Late { delay_ms: 50 }));
        command_all(&site, &Command::once(Fault::Crossed));
        let leaving = gone.clone();
        let leaving = tokio::spawn(async move { send(&leaving).await });
        let endpoints = site.applications.iter().flatten();
        let started = || endpoints.clone().any(|endpoint| endpoint.runs(&gone.body) > 0);
        while !started() && !leaving.is_finished() {
            tokio::task::yield_now().await;
        }
        leaving.abort();
        // The same router, so that it would use the connection of the caller that went away.
        let mut kept = patient(call(&site, 2 * round, target));
        kept.body = format!("kept {round}");
        let answer = send(&kept).await.expect("an answer");
        if answer.outcome() == "completed" {
            expect_true!(is_own(&answer, target, &kept.body), "round {round}: {answer:?}");
        } else {
            let told = (answer.outcome(), answer.reason());
            expect_that!(told, eq(("unknown", "crossed")), "round {round}: {answer:?}");
            expect_true!(matches!(target, Target::Bookings), "round {round}: {answer:?}");
        }
        if matches!(target, Target::Bookings) {
            expect_that!(runs(&site, &kept.body), eq(1), "round {round}");
            expect_that!(runs(&site, &gone.body), le(1), "round {round}");
        }
        command_all(&site, &Command::always(Fault::Clear));
    }
    site.stop().await;
}

/// Guards against answers that are mixed, cut or missing when calls of all kinds share one HTTP/2 connection, while
/// one of them is given up and endpoints refuse or break others.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn calls_over_one_http2_connection_get_their_own_answers() {
    let site = start(options()).await;
    let client = Client::http2();
    command_one(&site, &Command::once(Fault::Cut { after_events: 0 }));
    command_one(&site, &Command::once(Fault::Refuse));
    let targets = [Target::Chat, Target::Stream, Target::Search, Target::Bookings];
    let calls: Vec<_> = (0..40)
        .map(|index| {
            // All through one router, so that they share its connection.
            let (client, target) = (client.clone(), targets[index % targets.len()]);
            let call = patient(call(&site, 2 * index, target));
            let content = format!("call {}", 2 * index);
            tokio::spawn(async move { (target, content, client.send(&call).await) })
        })
        .collect();
    let given_up = Call {
        path: "/apps/search/given-up".to_owned(),
        ..patient(call(&site, 0, Target::Search))
    };
    let (other, given_up) = (client.clone(), given_up.header("x-standin-delay-ms", "600000"));
    let given_up = tokio::spawn(async move { other.send(&given_up).await });
    for call in calls {
        let (target, content, answer) = call.await.unwrap();
        let answer = answer.expect("an answer");
        let told = (answer.outcome().to_owned(), answer.reason().to_owned());
        let broken = matches!(target, Target::Bookings) && told.1 == "broken";
        expect_that!(answer.complete, eq(true), "{target:?}: {answer:?}");
        expect_that!(is_own(&answer, target, &content), eq(!broken), "{target:?}: {answer:?}");
        if matches!(target, Target::Bookings) {
            expect_that!(runs(&site, answer.request()), eq(1), "{answer:?}");
        }
    }
    given_up.abort();
    let after = client.send(&patient(call(&site, 0, Target::Chat))).await.expect("an answer");
    expect_that!(after.outcome(), eq("completed"), "the connection goes on: {after:?}");
    site.stop().await;
}
