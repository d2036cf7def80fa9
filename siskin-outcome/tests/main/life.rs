//! Each way a request can end.

use {
    siskin_outcome::{
        life::{Action, Attempt, AttemptOver, Life, Options, Probe},
        outcome::{Outcome, Reason},
        retry::{self, Budget},
    },
    siskin_types::{
        cost::Units,
        id::{Endpoint, Node, Request},
        time::Instant,
    },
};

const REQUEST: Request = Request { node: Node(1), incarnation: 2, sequence: 3 };

/// An event; the number is the attempt.
#[derive(Clone, Copy, Debug)]
enum On {
    Dispatched(u32),
    Sent(u32),
    /// Writing must not be allowed.
    Stale(u32),
    Started(u32),
    StartedOther(u32),
    /// Offset and length.
    Chunk(u32, u64, u64),
    Refused(u32),
    /// Without a request identifier.
    RefusedUnnamed(u32),
    RefusedOther(u32),
    ConnectFailed(u32),
    Broken(u32),
    Completed(u32, u64),
    Failed(u32),
    Silent(u32, Probe),
    Cancelled,
    Deadline,
    /// Lets the time of a retry pass.
    Later,
    Rejected(Reason),
}

#[derive(Clone, Copy, Default)]
struct Kind {
    idempotent: bool,
    resumable: bool,
}

const ONCE: Kind = Kind { idempotent: false, resumable: false };
const IDEMPOTENT: Kind = Kind { idempotent: true, resumable: false };
const ENGINE: Kind = Kind { idempotent: true, resumable: true };

struct Case {
    name: &'static str,
    kind: Kind,
    events: &'static [On],
    want: Option<Outcome>,
    /// Retries, resumptions with their offsets, and cancellations, in order.
    actions: &'static str,
    /// Dispatches, the first included.
    dispatches: usize,
}

fn budget() -> Budget {
    Budget::new(retry::Options::default())
}

fn run(life: &mut Life, events: &[On], budget: &mut Budget) -> Vec<Action> {
    let mut now = Instant::from_micros(1_000);
    let mut actions = life.accepted(now);
    for event in events {
        now = Instant::from_micros(now.as_micros() + 1_000);
        let done = Units(2);
        actions.extend(match *event {
            On::Dispatched(n) => life.dispatched(now, Attempt(n), Endpoint(n)),
            On::Sent(n) => {
                life.bytes_sent(now, Attempt(n)).expect("may be written");
                Vec::new()
            }
            On::Stale(n) => {
                assert_eq!(life.bytes_sent(now, Attempt(n)), Err(AttemptOver));
                Vec::new()
            }
            On::Started(n) => life.started(now, Attempt(n), Some(REQUEST), budget),
            On::StartedOther(n) => {
                let other = Request { sequence: 9, ..REQUEST };
                life.started(now, Attempt(n), Some(other), budget)
            }
            On::Chunk(n, at, length) => life.chunk(now, Attempt(n), at, length, Units(1), budget),
            On::Refused(n) => life.endpoint_refused(now, Attempt(n), Some(REQUEST), budget),
            On::RefusedUnnamed(n) => life.endpoint_refused(now, Attempt(n), None, budget),
            On::RefusedOther(n) => {
                let other = Request { sequence: 9, ..REQUEST };
                life.endpoint_refused(now, Attempt(n), Some(other), budget)
            }
            On::ConnectFailed(n) => life.connect_failed(now, Attempt(n), budget),
            On::Broken(n) => life.broken(now, Attempt(n), budget),
            On::Completed(n, end) => {
                life.completed(now, Attempt(n), end, Outcome::Completed, done, budget)
            }
            On::Failed(n) => life.completed(now, Attempt(n), 0, Outcome::Failed, done, budget),
            On::Silent(n, probe) => life.silent(now, Attempt(n), probe, budget),
            On::Cancelled => life.cancelled(now),
            On::Deadline => life.deadline(now),
            On::Later => {
                now = life.next_tick().expect("a retry is due");
                life.tick(now)
            }
            On::Rejected(reason) => life.refused(now, reason),
        });
    }
    actions
}

fn text(actions: &[Action]) -> String {
    let texts = actions.iter().filter_map(|action| match action {
        Action::Retry { reason, .. } => Some(format!("retry:{reason}")),
        Action::Resume { offset, .. } => Some(format!("resume:{offset}")),
        Action::Cancel { attempt, .. } => Some(format!("cancel:{}", attempt.0)),
        _ => None,
    });
    texts.collect::<Vec<_>>().join(" ")
}

use {
    On::{
        Broken, Cancelled, Chunk, Completed, ConnectFailed, Deadline, Dispatched, Failed, Later,
        Refused, RefusedOther, RefusedUnnamed, Rejected, Sent, Silent, Started, StartedOther,
    },
    Probe::{Answered, Failed as Dead},
};

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "completed", kind: ONCE, events: &[Dispatched(1), Sent(1), Started(1), Chunk(1, 0, 5), Completed(1, 5)], want: Some(Outcome::Completed), actions: "", dispatches: 1 },
    Case { name: "failed", kind: ENGINE, events: &[Dispatched(1), Sent(1), Failed(1)], want: Some(Outcome::Failed), actions: "", dispatches: 1 },
    Case { name: "rejected", kind: ONCE, events: &[Rejected(Reason::QueueFull)], want: Some(Outcome::NotRun(Reason::QueueFull)), actions: "", dispatches: 1 },
    Case { name: "deadline in queue", kind: ENGINE, events: &[Deadline], want: Some(Outcome::NotRun(Reason::QueueDeadline)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline before first byte", kind: ONCE, events: &[Dispatched(1), Deadline, On::Stale(1)], want: Some(Outcome::NotRun(Reason::QueueDeadline)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline after first byte", kind: ONCE, events: &[Dispatched(1), Sent(1), Deadline], want: Some(Outcome::Unknown(Reason::DeadlineAfterSend)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline while waiting for a retry", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Broken(1), Deadline], want: Some(Outcome::Unknown(Reason::DeadlineAfterSend)), actions: "retry:broken", dispatches: 1 },
    Case { name: "connect failed, retried", kind: ONCE, events: &[Dispatched(1), ConnectFailed(1), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:connect_failed", dispatches: 2 },
    Case { name: "connect failed thrice", kind: ONCE, events: &[Dispatched(1), ConnectFailed(1), Later, Dispatched(3), ConnectFailed(3), Later, Dispatched(5), ConnectFailed(5)], want: Some(Outcome::NotRun(Reason::ConnectFailed)), actions: "retry:connect_failed retry:connect_failed", dispatches: 3 },
    Case { name: "no other endpoint", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Broken(1), Later, Rejected(Reason::NoEndpoint)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:broken", dispatches: 2 },
    Case { name: "broken, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Broken(1)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "", dispatches: 1 },
    Case { name: "broken, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Broken(1), Later, Dispatched(3), Sent(3), Chunk(3, 0, 2), Completed(3, 2)], want: Some(Outcome::Completed), actions: "retry:broken", dispatches: 2 },
    Case { name: "broken after delivery, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "", dispatches: 1 },
    Case { name: "broken after delivery, engine", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1), Sent(2), Chunk(2, 2, 3), Completed(2, 5)], want: Some(Outcome::Completed), actions: "resume:2", dispatches: 1 },
    Case { name: "resume cannot connect", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1), ConnectFailed(2)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "resume:2", dispatches: 1 },
    Case { name: "resume cannot connect, nothing delivered", kind: ENGINE, events: &[Dispatched(1), Sent(1), Started(1), Broken(1), ConnectFailed(2), Later, Dispatched(4), Sent(4), Completed(4, 0)], want: Some(Outcome::Completed), actions: "resume:0 retry:broken", dispatches: 2 },
    Case { name: "resume refused", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1), Sent(2), Refused(2)], want: Some(Outcome::Unknown(Reason::ResumeRefused)), actions: "resume:2", dispatches: 1 },
    Case { name: "resumed stream starts anew", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1), Sent(2), Chunk(2, 0, 2), Sent(3), Refused(3)], want: Some(Outcome::Unknown(Reason::ResumeRefused)), actions: "resume:2 cancel:2 resume:2", dispatches: 1 },
    Case { name: "resumed without progress", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Broken(1), Sent(2), Broken(2), Sent(3), Broken(3), Sent(4), Broken(4)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "resume:2 resume:2 resume:2", dispatches: 1 },
    Case { name: "refused, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Refused(1), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused by all", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Refused(1), Later, Dispatched(3), Sent(3), Refused(3), Later, Dispatched(5), Sent(5), Refused(5)], want: Some(Outcome::NotRun(Reason::EndpointRefused)), actions: "retry:endpoint_refused retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused after a broken attempt", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Broken(1), Later, Dispatched(3), Sent(3), Refused(3), Later, Dispatched(5), Sent(5), Refused(5)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:broken retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Refused(1), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused by all, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Refused(1), Later, Dispatched(3), Sent(3), Refused(3), Later, Dispatched(5), Sent(5), Refused(5)], want: Some(Outcome::NotRun(Reason::EndpointRefused)), actions: "retry:endpoint_refused retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused, then broken, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Refused(1), Later, Dispatched(3), Sent(3), Broken(3)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused twice by one attempt, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Refused(1), Refused(1), Later, Dispatched(3), Sent(3), Refused(1)], want: None, actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused without an identifier, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), RefusedUnnamed(1)], want: Some(Outcome::NotRun(Reason::EndpointRefused)), actions: "", dispatches: 1 },
    Case { name: "refused without an identifier, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), RefusedUnnamed(1)], want: None, actions: "retry:endpoint_refused", dispatches: 1 },
    Case { name: "refusal of another request, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), RefusedOther(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "refusal of another request, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), RefusedOther(1)], want: None, actions: "cancel:1 retry:crossed", dispatches: 1 },
    Case { name: "refused after the answer began", kind: ONCE, events: &[Dispatched(1), Sent(1), Started(1), Refused(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "crossed, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), StartedOther(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "crossed, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), StartedOther(1), Chunk(1, 0, 4), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "cancel:1 retry:crossed", dispatches: 2 },
    Case { name: "answer before the question", kind: ONCE, events: &[Dispatched(1), Started(1), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "cancel:1 retry:connect_failed", dispatches: 2 },
    Case { name: "crossed, caller gone", kind: ONCE, events: &[Dispatched(1), Sent(1), Cancelled, StartedOther(1), Completed(1, 0)], want: Some(Outcome::Unknown(Reason::CallerGone)), actions: "cancel:1", dispatches: 1 },
    Case { name: "gap", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Chunk(1, 3, 2)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "truncated", kind: ONCE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Completed(1, 5)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent path, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Silent(1, Answered)], want: None, actions: "", dispatches: 1 },
    Case { name: "silent path, late answer", kind: ONCE, events: &[Dispatched(1), Sent(1), Silent(1, Answered), Completed(1, 0)], want: Some(Outcome::Completed), actions: "", dispatches: 1 },
    Case { name: "silent path, deadline", kind: ONCE, events: &[Dispatched(1), Sent(1), Silent(1, Answered), Deadline], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent endpoint, once only", kind: ONCE, events: &[Dispatched(1), Sent(1), Silent(1, Dead)], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent path, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), Sent(1), Silent(1, Answered), Later, Dispatched(3), Sent(3), Completed(1, 0)], want: None, actions: "cancel:1 retry:silent", dispatches: 2 },
    Case { name: "silent path, engine", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 7), Silent(1, Answered), Sent(2), Chunk(1, 7, 1), Chunk(2, 7, 1), Completed(2, 8)], want: Some(Outcome::Completed), actions: "cancel:1 resume:7", dispatches: 1 },
    Case { name: "silent endpoint, engine", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 7), Silent(1, Dead)], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent connect", kind: ONCE, events: &[Dispatched(1), Silent(1, Dead), Later, Dispatched(3), Sent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:connect_failed", dispatches: 2 },
    Case { name: "caller gone in queue", kind: ONCE, events: &[Cancelled, Dispatched(1)], want: Some(Outcome::NotRun(Reason::CallerGone)), actions: "cancel:1 cancel:1", dispatches: 1 },
    Case { name: "caller gone in stream", kind: ENGINE, events: &[Dispatched(1), Sent(1), Chunk(1, 0, 2), Cancelled, Chunk(1, 2, 2), Deadline], want: Some(Outcome::Unknown(Reason::CallerGone)), actions: "cancel:1", dispatches: 1 },
];

/// Guards against a false "not run", a repeat of a call that may have run, a lost or second result, and
/// resumption at a wrong offset, for each way a request can end.
#[test]
fn ways_to_end() {
    for case in CASES {
        let deadline = Instant::from_micros(10_000_000);
        let options = Options {
            idempotent: case.kind.idempotent,
            resumable: case.kind.resumable,
            ..Options::new(REQUEST, deadline)
        };
        let mut life = Life::new(options);
        let actions = run(&mut life, case.events, &mut budget());
        assert_eq!(life.outcome(), case.want, "{}", case.name);
        assert_eq!(text(&actions), case.actions, "{}", case.name);
        let count =
            |wanted: fn(&Action) -> bool| actions.iter().filter(|action| wanted(action)).count();
        let dispatches = count(|action| matches!(action, Action::Dispatch { .. }));
        assert_eq!(dispatches, case.dispatches, "{}", case.name);
        let finished = usize::from(case.want.is_some());
        assert_eq!(count(|action| matches!(action, Action::Finish(_))), finished, "{}", case.name);
        assert_eq!(count(|action| matches!(action, Action::Charge(_))), finished, "{}", case.name);
    }
}

/// Guards against retries beyond the budget, without delay, or to an endpoint that failed.
#[test]
fn retries() {
    let mut budget = Budget::new(retry::Options { percent: 10, burst: 1 });
    let deadline = Instant::from_micros(10_000_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Life::new(options.clone());
    let actions = run(&mut life, &[Dispatched(1), Sent(1), Broken(1), Later], &mut budget);
    let after = actions.iter().find_map(|action| match action {
        Action::Retry { after, .. } => Some(after.as_millis()),
        _ => None,
    });
    assert!(after.is_some_and(|millis| (10..=20).contains(&millis)), "{after:?}");
    let attempt = Attempt(3);
    assert_eq!(actions.last(), Some(&Action::Dispatch { attempt, exclude: vec![Endpoint(1)] }));
    let mut second = Life::new(options);
    run(&mut second, &[Dispatched(1), Sent(1), Broken(1)], &mut budget);
    assert_eq!(second.outcome(), Some(Outcome::Unknown(Reason::Broken)));
    let counts = budget.counts()[&Reason::Broken];
    assert_eq!((counts.allowed, counts.denied), (1, 1));
}

/// Guards against units of an abandoned run that are not charged.
#[test]
fn charges() {
    let deadline = Instant::from_micros(10_000_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Life::new(options);
    #[rustfmt::skip]
    let events = [Dispatched(1), Sent(1), Chunk(1, 0, 0), StartedOther(1), Later, Dispatched(3), Sent(3), Chunk(3, 0, 1), Cancelled];
    let actions = run(&mut life, &events, &mut budget());
    assert!(actions.contains(&Action::Charge(Units(2))), "{actions:?}");
    assert_eq!(life.ignored().crossed, 1);
}

/// Guards against a first byte that is written after the deadline, and against a retry for which there is no
/// time, which would only hold back the result.
#[test]
fn near_the_deadline() {
    let deadline = Instant::from_micros(3_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Life::new(options.clone());
    run(&mut life, &[Dispatched(1)], &mut budget());
    assert_eq!(life.bytes_sent(deadline, Attempt(1)), Err(AttemptOver));
    let mut life = Life::new(options);
    run(&mut life, &[Dispatched(1), ConnectFailed(1)], &mut budget());
    assert_eq!(life.outcome(), Some(Outcome::NotRun(Reason::ConnectFailed)));
}
