//! The outcome of a request for each sequence of events that can end it.

use {
    siskin_outcome::{
        life::{Action, Attempt, Lifecycle, Options, Probe, Stale},
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

/// An event. The first number is the attempt.
#[derive(Clone, Copy, Debug)]
enum Event {
    Dispatched(u32),
    BytesSent(u32),
    /// The router wants to send, which must be denied.
    SendDenied(u32),
    Started(u32),
    StartedOtherRequest(u32),
    /// Offset and length.
    Chunk(u32, u64, u64),
    EndpointRefused(u32),
    /// The refusal has no request identifier.
    RefusedWithoutId(u32),
    RefusedOtherRequest(u32),
    ConnectFailed(u32),
    Broken(u32),
    Completed(u32, u64),
    Failed(u32),
    Silent(u32, Probe),
    Cancelled,
    Deadline,
    /// Time passes until the next timer, which is that of a retry.
    AwaitRetry,
    RefusedByRouter(Reason),
}

#[derive(Clone, Copy, Default)]
struct RequestKind {
    idempotent: bool,
    resumable: bool,
}

const NOT_IDEMPOTENT: RequestKind = RequestKind { idempotent: false, resumable: false };
const IDEMPOTENT: RequestKind = RequestKind { idempotent: true, resumable: false };
const ENGINE: RequestKind = RequestKind { idempotent: true, resumable: true };

struct Case {
    name: &'static str,
    kind: RequestKind,
    events: &'static [Event],
    want: Option<Outcome>,
    /// Retries, resumptions with their offsets, and cancellations, in order.
    actions: &'static str,
    /// Dispatches, the first included.
    dispatches: usize,
}

fn default_budget() -> Budget {
    Budget::new(retry::Options::default())
}

fn apply_events(life: &mut Lifecycle, events: &[Event], budget: &mut Budget) -> Vec<Action> {
    let mut now = Instant::from_micros(1_000);
    let mut actions = life.accepted(now);
    for event in events {
        now = Instant::from_micros(now.as_micros() + 1_000);
        let final_cost = Units(2);
        actions.extend(match *event {
            Event::Dispatched(n) => life.dispatched(now, Attempt(n), Endpoint(n)),
            Event::BytesSent(n) => {
                life.bytes_sent(now, Attempt(n)).expect("sending is allowed");
                Vec::new()
            }
            Event::SendDenied(n) => {
                assert_eq!(life.bytes_sent(now, Attempt(n)), Err(Stale));
                Vec::new()
            }
            Event::Started(n) => life.started(now, Attempt(n), Some(REQUEST), budget),
            Event::StartedOtherRequest(n) => {
                let other = Request { sequence: 9, ..REQUEST };
                life.started(now, Attempt(n), Some(other), budget)
            }
            Event::Chunk(n, at, length) => {
                life.chunk(now, Attempt(n), at, length, Units(1), budget)
            }
            Event::EndpointRefused(n) => {
                life.endpoint_refused(now, Attempt(n), Some(REQUEST), budget)
            }
            Event::RefusedWithoutId(n) => life.endpoint_refused(now, Attempt(n), None, budget),
            Event::RefusedOtherRequest(n) => {
                let other = Request { sequence: 9, ..REQUEST };
                life.endpoint_refused(now, Attempt(n), Some(other), budget)
            }
            Event::ConnectFailed(n) => life.connect_failed(now, Attempt(n), budget),
            Event::Broken(n) => life.broken(now, Attempt(n), budget),
            Event::Completed(n, end) => {
                life.completed(now, Attempt(n), end, Outcome::Completed, final_cost, budget)
            }
            Event::Failed(n) => {
                life.completed(now, Attempt(n), 0, Outcome::Failed, final_cost, budget)
            }
            Event::Silent(n, probe) => life.silent(now, Attempt(n), probe, budget),
            Event::Cancelled => life.cancelled(now),
            Event::Deadline => life.deadline(now),
            Event::AwaitRetry => {
                now = life.next_tick().expect("a retry is due");
                life.tick(now)
            }
            Event::RefusedByRouter(reason) => life.refused(now, reason),
        });
    }
    actions
}

fn describe_actions(actions: &[Action]) -> String {
    let texts = actions.iter().filter_map(|action| match action {
        Action::Retry { reason, .. } => Some(format!("retry:{reason}")),
        Action::Resume { offset, .. } => Some(format!("resume:{offset}")),
        Action::Cancel { attempt, .. } => Some(format!("cancel:{}", attempt.0)),
        _ => None,
    });
    texts.collect::<Vec<_>>().join(" ")
}

use {
    Event::{
        AwaitRetry, Broken, BytesSent, Cancelled, Chunk, Completed, ConnectFailed, Deadline,
        Dispatched, EndpointRefused, Failed, RefusedByRouter, RefusedOtherRequest,
        RefusedWithoutId, Silent, Started, StartedOtherRequest,
    },
    Probe::{Answered, Failed as Dead},
};

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "completed", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Started(1), Chunk(1, 0, 5), Completed(1, 5)], want: Some(Outcome::Completed), actions: "", dispatches: 1 },
    Case { name: "failed", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Failed(1)], want: Some(Outcome::Failed), actions: "", dispatches: 1 },
    Case { name: "refused by the router", kind: NOT_IDEMPOTENT, events: &[RefusedByRouter(Reason::QueueFull)], want: Some(Outcome::NotRun(Reason::QueueFull)), actions: "", dispatches: 1 },
    Case { name: "deadline in queue", kind: ENGINE, events: &[Deadline], want: Some(Outcome::NotRun(Reason::QueueDeadline)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline before first byte", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), Deadline, Event::SendDenied(1)], want: Some(Outcome::NotRun(Reason::QueueDeadline)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline after first byte", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Deadline], want: Some(Outcome::Unknown(Reason::DeadlineAfterSend)), actions: "cancel:1", dispatches: 1 },
    Case { name: "deadline while waiting for a retry", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Broken(1), Deadline], want: Some(Outcome::Unknown(Reason::DeadlineAfterSend)), actions: "retry:broken", dispatches: 1 },
    Case { name: "connect failed, retried", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), ConnectFailed(1), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:connect_failed", dispatches: 2 },
    Case { name: "connect failed three times", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), ConnectFailed(1), AwaitRetry, Dispatched(3), ConnectFailed(3), AwaitRetry, Dispatched(5), ConnectFailed(5)], want: Some(Outcome::NotRun(Reason::ConnectFailed)), actions: "retry:connect_failed retry:connect_failed", dispatches: 3 },
    Case { name: "no other endpoint", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Broken(1), AwaitRetry, RefusedByRouter(Reason::NoEndpoint)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:broken", dispatches: 2 },
    Case { name: "connection broken, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Broken(1)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "", dispatches: 1 },
    Case { name: "connection broken, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Broken(1), AwaitRetry, Dispatched(3), BytesSent(3), Chunk(3, 0, 2), Completed(3, 2)], want: Some(Outcome::Completed), actions: "retry:broken", dispatches: 2 },
    Case { name: "connection broken after delivery, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "", dispatches: 1 },
    Case { name: "connection broken after delivery, engine", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1), BytesSent(2), Chunk(2, 2, 3), Completed(2, 5)], want: Some(Outcome::Completed), actions: "resume:2", dispatches: 1 },
    Case { name: "resume cannot connect", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1), ConnectFailed(2)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "resume:2", dispatches: 1 },
    Case { name: "resume cannot connect, nothing delivered", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Started(1), Broken(1), ConnectFailed(2), AwaitRetry, Dispatched(4), BytesSent(4), Completed(4, 0)], want: Some(Outcome::Completed), actions: "resume:0 retry:broken", dispatches: 2 },
    Case { name: "resume refused", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1), BytesSent(2), EndpointRefused(2)], want: Some(Outcome::Unknown(Reason::ResumeRefused)), actions: "resume:2", dispatches: 1 },
    Case { name: "resumed stream restarts from the beginning", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1), BytesSent(2), Chunk(2, 0, 2), BytesSent(3), EndpointRefused(3)], want: Some(Outcome::Unknown(Reason::ResumeRefused)), actions: "resume:2 cancel:2 resume:2", dispatches: 1 },
    Case { name: "resumed without progress", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Broken(1), BytesSent(2), Broken(2), BytesSent(3), Broken(3), BytesSent(4), Broken(4)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "resume:2 resume:2 resume:2", dispatches: 1 },
    Case { name: "refused, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused by all", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), EndpointRefused(3), AwaitRetry, Dispatched(5), BytesSent(5), EndpointRefused(5)], want: Some(Outcome::NotRun(Reason::EndpointRefused)), actions: "retry:endpoint_refused retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused after a broken attempt", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Broken(1), AwaitRetry, Dispatched(3), BytesSent(3), EndpointRefused(3), AwaitRetry, Dispatched(5), BytesSent(5), EndpointRefused(5)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:broken retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused by all, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), EndpointRefused(3), AwaitRetry, Dispatched(5), BytesSent(5), EndpointRefused(5)], want: Some(Outcome::NotRun(Reason::EndpointRefused)), actions: "retry:endpoint_refused retry:endpoint_refused", dispatches: 3 },
    Case { name: "refused, then broken, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), Broken(3)], want: Some(Outcome::Unknown(Reason::Broken)), actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused twice by one attempt, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), EndpointRefused(1), EndpointRefused(1), AwaitRetry, Dispatched(3), BytesSent(3), EndpointRefused(1)], want: None, actions: "retry:endpoint_refused", dispatches: 2 },
    Case { name: "refused without an identifier, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), RefusedWithoutId(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "refused without an identifier, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), RefusedWithoutId(1)], want: None, actions: "retry:endpoint_refused", dispatches: 1 },
    Case { name: "refusal of another request, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), RefusedOtherRequest(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "refusal of another request, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), RefusedOtherRequest(1)], want: None, actions: "cancel:1 retry:crossed", dispatches: 1 },
    Case { name: "refused after the answer began", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Started(1), EndpointRefused(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "answer to another request, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), StartedOtherRequest(1)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "answer to another request, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), StartedOtherRequest(1), Chunk(1, 0, 4), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "cancel:1 retry:crossed", dispatches: 2 },
    Case { name: "answer before the request was sent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), Started(1), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "cancel:1 retry:connect_failed", dispatches: 2 },
    Case { name: "answer to another request, caller gone", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Cancelled, StartedOtherRequest(1), Completed(1, 0)], want: Some(Outcome::Unknown(Reason::CallerGone)), actions: "cancel:1", dispatches: 1 },
    Case { name: "gap in the answer", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Chunk(1, 3, 2)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "truncated answer", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Completed(1, 5)], want: Some(Outcome::Unknown(Reason::Crossed)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent connection, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Silent(1, Answered)], want: None, actions: "", dispatches: 1 },
    Case { name: "silent connection, late answer", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Silent(1, Answered), Completed(1, 0)], want: Some(Outcome::Completed), actions: "", dispatches: 1 },
    Case { name: "silent connection, deadline", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Silent(1, Answered), Deadline], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent endpoint, not idempotent", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Silent(1, Dead)], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent connection, idempotent", kind: IDEMPOTENT, events: &[Dispatched(1), BytesSent(1), Silent(1, Answered), AwaitRetry, Dispatched(3), BytesSent(3), Completed(1, 0)], want: None, actions: "cancel:1 retry:silent", dispatches: 2 },
    Case { name: "silent connection, engine", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 7), Silent(1, Answered), BytesSent(2), Chunk(1, 7, 1), Chunk(2, 7, 1), Completed(2, 8)], want: Some(Outcome::Completed), actions: "cancel:1 resume:7", dispatches: 1 },
    Case { name: "silent endpoint, engine", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 7), Silent(1, Dead)], want: Some(Outcome::Unknown(Reason::Silent)), actions: "cancel:1", dispatches: 1 },
    Case { name: "silent while connecting", kind: NOT_IDEMPOTENT, events: &[Dispatched(1), Silent(1, Dead), AwaitRetry, Dispatched(3), BytesSent(3), Completed(3, 0)], want: Some(Outcome::Completed), actions: "retry:connect_failed", dispatches: 2 },
    Case { name: "caller gone in queue", kind: NOT_IDEMPOTENT, events: &[Cancelled, Dispatched(1)], want: Some(Outcome::NotRun(Reason::CallerGone)), actions: "cancel:1 cancel:1", dispatches: 1 },
    Case { name: "caller gone in stream", kind: ENGINE, events: &[Dispatched(1), BytesSent(1), Chunk(1, 0, 2), Cancelled, Chunk(1, 2, 2), Deadline], want: Some(Outcome::Unknown(Reason::CallerGone)), actions: "cancel:1", dispatches: 1 },
];

/// Guards against a false "not run", a repeat of a request that may have run, a missing or second outcome, and
/// resumption at a wrong offset.
#[test]
fn request_outcomes() {
    for case in CASES {
        let deadline = Instant::from_micros(10_000_000);
        let options = Options {
            idempotent: case.kind.idempotent,
            resumable: case.kind.resumable,
            ..Options::new(REQUEST, deadline)
        };
        let mut life = Lifecycle::new(options);
        let actions = apply_events(&mut life, case.events, &mut default_budget());
        assert_eq!(life.outcome(), case.want, "{}", case.name);
        assert_eq!(describe_actions(&actions), case.actions, "{}", case.name);
        let count =
            |wanted: fn(&Action) -> bool| actions.iter().filter(|action| wanted(action)).count();
        let dispatches = count(|action| matches!(action, Action::Dispatch { .. }));
        assert_eq!(dispatches, case.dispatches, "{}", case.name);
        let finished = usize::from(case.want.is_some());
        assert_eq!(count(|action| matches!(action, Action::Finish(_))), finished, "{}", case.name);
        assert_eq!(count(|action| matches!(action, Action::Charge(_))), finished, "{}", case.name);
    }
}

/// Guards against retries beyond the budget, without a delay, or at an endpoint that failed.
#[test]
fn retry_limits() {
    let mut budget = Budget::new(retry::Options { percent: 10, burst: 1 });
    let deadline = Instant::from_micros(10_000_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Lifecycle::new(options.clone());
    let actions =
        apply_events(&mut life, &[Dispatched(1), BytesSent(1), Broken(1), AwaitRetry], &mut budget);
    let after = actions.iter().find_map(|action| match action {
        Action::Retry { after, .. } => Some(after.as_millis()),
        _ => None,
    });
    assert!(after.is_some_and(|millis| (10..=20).contains(&millis)), "{after:?}");
    let attempt = Attempt(3);
    assert_eq!(actions.last(), Some(&Action::Dispatch { attempt, exclude: vec![Endpoint(1)] }));
    let mut second = Lifecycle::new(options);
    apply_events(&mut second, &[Dispatched(1), BytesSent(1), Broken(1)], &mut budget);
    assert_eq!(second.outcome(), Some(Outcome::Unknown(Reason::Broken)));
    let counts = budget.counts()[&Reason::Broken];
    assert_eq!((counts.allowed, counts.denied), (1, 1));
}

/// Guards against the cost of a cancelled run that is not charged.
#[test]
fn charges_all_runs() {
    let deadline = Instant::from_micros(10_000_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Lifecycle::new(options);
    #[rustfmt::skip]
    let events = [Dispatched(1), BytesSent(1), Chunk(1, 0, 0), StartedOtherRequest(1), AwaitRetry, Dispatched(3), BytesSent(3), Chunk(3, 0, 1), Cancelled];
    let actions = apply_events(&mut life, &events, &mut default_budget());
    assert!(actions.contains(&Action::Charge(Units(2))), "{actions:?}");
    assert_eq!(life.ignored().mismatched_answers, 1);
}

/// Guards against a first byte that is sent after the deadline, and against a retry that cannot start before the
/// deadline and would only delay the outcome.
#[test]
fn near_the_deadline() {
    let deadline = Instant::from_micros(3_000);
    let options = Options { idempotent: true, ..Options::new(REQUEST, deadline) };
    let mut life = Lifecycle::new(options.clone());
    apply_events(&mut life, &[Dispatched(1)], &mut default_budget());
    assert_eq!(life.bytes_sent(deadline, Attempt(1)), Err(Stale));
    let mut life = Lifecycle::new(options);
    apply_events(&mut life, &[Dispatched(1), ConnectFailed(1)], &mut default_budget());
    assert_eq!(life.outcome(), Some(Outcome::NotRun(Reason::ConnectFailed)));
}
