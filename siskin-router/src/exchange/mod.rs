//! Carries one request from the queue to an endpoint and its answer back to the caller.
//!
//! [`Lifecycle`] decides what is done; an [`Exchange`] does it: it waits for a slot, connects, sends, reads, probes
//! silent endpoints, and reports each event back.

mod deliver;
mod event_size;
mod read;
mod send;
mod software;
mod stage;

use {
    crate::{
        caller::{
            answer,
            chat::{Chat, Usage},
            respond::Responder,
        },
        pool::{Assignment, Pool},
        shared::Shared,
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, Response, body::Incoming},
    siskin_net::upstream,
    siskin_outcome::{
        life::{self, Action, Attempt, Lifecycle},
        outcome::{Outcome, Reason},
        poison::{Fingerprint, InFlight, Verdict, copies::Decision},
    },
    siskin_route::prefix::Chain,
    siskin_sched::{pool as scheduled, ticket::Ticket},
    siskin_types::{
        cost::Units,
        id::{Customer, Endpoint, Model, Request},
        process::Process,
        time::Instant,
    },
    stage::{Event, Stage},
    std::{sync::Arc, time::Duration},
    tokio::{sync::watch, time},
};

pub use deliver::Summary;
pub(crate) use deliver::passed_headers;

/// A caller's request after it was checked.
#[derive(Debug)]
pub struct Call {
    /// Identifier of the request.
    pub request: Request,
    /// Who pays.
    pub customer: Customer,
    /// The pool that serves it.
    pub pool: Arc<Pool>,
    /// The model, or the number of the route.
    pub model: Model,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Expected cost.
    pub estimate: Units,
    /// Keyed hash of customer and content.
    pub fingerprint: Fingerprint,
    /// What is asked for.
    pub kind: Kind,
}

/// What a call asks for.
#[derive(Debug)]
pub enum Kind {
    /// A chat completion by an engine.
    Chat {
        /// The request.
        chat: Chat,
        /// Blocks of the prompt, by which engines that hold its prefix are found.
        chain: Chain,
        /// Most output tokens that the pool allows for it.
        limit: Units,
    },
    /// A call of an application.
    Application(Application),
}

/// A call of an application, passed through.
#[derive(Clone, Debug)]
pub struct Application {
    /// Method of the call.
    pub method: Method,
    /// Path and query below the route.
    pub target: String,
    /// Headers without those that concern only the caller's connection.
    pub headers: HeaderMap,
    /// Body of the call.
    pub body: Bytes,
    /// Whether it may run twice.
    pub idempotent: bool,
}

impl Kind {
    /// Whether the call may run twice.
    #[must_use]
    pub const fn idempotent(&self) -> bool {
        match self {
            Self::Chat { .. } => true,
            Self::Application(application) => application.idempotent,
        }
    }
}

/// Time without any event of a stream before its first token, as a multiple of the progress timeout: the engine may
/// be busy with a long prompt.
const FIRST_EVENT_FACTOR: u32 = 5;

/// Part of its time that an idempotent application call may take before the path is suspected, as a divisor.
const APPLICATION_PATIENCE_DIVISOR: u32 = 3;

/// Time for which calls wait for an endpoint to come back after the last one that could serve them stopped to answer.
/// An endpoint is probed 0.25 s, 0.75 s and 1.75 s after its death, so one that restarts within that time is found.
const DEAD_GRACE: Duration = Duration::from_secs(2);

/// Wait for a slot after which the router looks whether any endpoint that could serve the request is alive, and time
/// between further looks.
const LOOK_AFTER: Duration = Duration::from_millis(500);

/// Service that is reported to the scheduler at once while a stream runs.
const PROGRESS_STEP: Units = Units(32);

/// Where a request stands among its copies at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Turn {
    /// It has not asked to go on.
    New,
    /// It waits since then, as a suspect or not.
    Waiting(Instant, bool),
    /// It counts as in flight.
    InFlight,
}

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Exchange {
    shared: Arc<Shared>,
    call: Call,
    life: Lifecycle,
    stage: Stage,
    responder: Responder,
    delivery: deliver::Delivery,
    /// Endpoint whose slot the request holds.
    slot: Option<Endpoint>,
    /// Whether the request is a suspect and runs alone.
    alone: bool,
    /// When the slot was taken.
    slot_since: time::Instant,
    /// Service of the current dispatch.
    used: Units,
    /// Service last reported to the scheduler.
    reported: Units,
    /// Last event of the current attempt.
    progress_at: time::Instant,
    /// Whether the endpoint was already found alive during the present silence.
    probed: bool,
    started_at: time::Instant,
    resuming: bool,
    /// What began the present answer.
    began: Process,
    /// Deaths of endpoints.
    deaths: watch::Receiver<()>,
    /// When a queued request is refused, if no endpoint that could serve it comes back.
    dead_at: Option<time::Instant>,
    /// Where it stands among the copies of its request.
    turn: Turn,
    /// Departures of copies.
    departures: watch::Receiver<()>,
    /// When a queued request next looks for a live endpoint.
    look_at: time::Instant,
}

/// Runs a request to its end.
pub(crate) async fn run(shared: Arc<Shared>, call: Call, responder: Responder) -> Summary {
    let options = life::Options {
        idempotent: call.kind.idempotent(),
        resumable: matches!(call.kind, Kind::Chat { .. }),
        ..life::Options::new(call.request, call.deadline)
    };
    let delivery = deliver::Delivery::new(&call, shared.answer_memory.empty_reservation());
    let exchange = Exchange {
        life: Lifecycle::new(options),
        deaths: shared.deaths.subscribe(),
        dead_at: None,
        turn: Turn::New,
        departures: call.pool.suspects().departures(),
        look_at: time::Instant::now(),
        shared,
        call,
        stage: Stage::Idle,
        responder,
        delivery,
        slot: None,
        alone: false,
        slot_since: time::Instant::now(),
        used: Units(0),
        reported: Units(0),
        progress_at: time::Instant::now(),
        probed: false,
        started_at: time::Instant::now(),
        resuming: false,
        began: Process::default(),
    };
    exchange.run().await
}

impl Exchange {
    async fn run(mut self) -> Summary {
        self.call.pool.budget().request();
        let now = self.now();
        let actions = self.life.accepted(now);
        let mut outcome = self.perform(actions).await;
        while outcome.is_none() {
            let event = self.next_event().await;
            let actions = self.handle(event).await;
            outcome = self.perform(actions).await;
        }
        let outcome = outcome.unwrap_or(Outcome::Unknown(Reason::Broken));
        self.finish(outcome).await
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }

    /// Waits for the next thing that happens to the request.
    async fn next_event(&mut self) -> Event {
        let clock = self.shared.clock;
        let timer = clock.deadline(self.life.next_tick().unwrap_or(self.call.deadline));
        let quiet = self.quiet_at();
        let queued = matches!(self.stage, Stage::Queued { .. });
        let dead = self.dead_at.filter(|_| queued);
        let held = matches!(self.stage, Stage::Held { .. });
        let turn = self.stage.turn().map(|turn| clock.deadline(turn));
        tokio::select! {
            biased;
            event = self.stage.advance() => event,
            () = self.responder.gone() => Event::CallerGone,
            () = time::sleep_until(timer) => Event::Timer,
            Ok(()) = self.deaths.changed(), if queued => Event::EndpointDied,
            Ok(()) = self.departures.changed(), if held => Event::CopyLeft,
            () = time::sleep_until(turn.unwrap_or(timer)), if turn.is_some() => Event::CopyLeft,
            () = time::sleep_until(self.look_at), if queued => Event::Waited,
            () = time::sleep_until(dead.unwrap_or(timer)), if dead.is_some() => Event::EndpointDied,
            () = time::sleep_until(quiet.unwrap_or(timer)), if quiet.is_some() => Event::Quiet,
        }
    }

    /// When the present silence of the endpoint becomes suspicious.
    fn quiet_at(&self) -> Option<time::Instant> {
        if self.probed || !self.stage.waits_for_endpoint() {
            return None;
        }
        let timeout = self.shared.view().document().fleet.progress_timeout();
        let patience = match &self.call.kind {
            Kind::Chat { .. } if self.delivery.received() == 0 => timeout * FIRST_EVENT_FACTOR,
            Kind::Application(_) if self.delivery.received() == 0 => {
                let allowed = self.shared.clock.deadline(self.call.deadline) - self.started_at;
                timeout.max(allowed / APPLICATION_PATIENCE_DIVISOR)
            }
            Kind::Chat { .. } | Kind::Application(_) => timeout,
        };
        Some(self.progress_at + patience)
    }

    async fn handle(&mut self, event: Event) -> Vec<Action> {
        let now = self.now();
        match event {
            Event::Assigned(attempt, assignment) => self.assigned(now, attempt, assignment),
            Event::Connected(attempt, Ok(connection)) => self.connected(now, attempt, connection),
            Event::Connected(attempt, Err(error)) => {
                log::debug!(request:% = self.call.request; "{error}");
                self.endpoint_failed();
                self.life.connect_failed(now, attempt, &mut self.call.pool.budget())
            }
            Event::Answered(attempt, connection, answer) => {
                self.answered(now, attempt, connection, answer).await
            }
            Event::Part(attempt, part) => self.part(now, attempt, part).await,
            Event::Quiet => self.quiet().await,
            Event::Timer => self.life.tick(now),
            Event::EndpointDied => self.endpoint_died(now),
            Event::CopyLeft => match std::mem::replace(&mut self.stage, Stage::Idle) {
                Stage::Held { attempt, exclude, .. } => self.submit(attempt, exclude),
                stage => {
                    self.stage = stage;
                    Vec::new()
                }
            },
            Event::Waited => {
                self.look_at = time::Instant::now() + LOOK_AFTER;
                self.shared.look_for_life(&self.call.pool, self.call.model);
                Vec::new()
            }
            Event::CallerGone => self.life.cancelled(now),
        }
    }

    /// Carries out actions in order; returns the outcome once there is one.
    async fn perform(&mut self, actions: Vec<Action>) -> Option<Outcome> {
        let mut outcome = None;
        let mut pending = actions;
        while !pending.is_empty() {
            let resumes = pending.iter().any(|action| matches!(action, Action::Resume { .. }));
            let mut next = Vec::new();
            for action in pending {
                match action {
                    Action::Dispatch { attempt, exclude } => {
                        next.extend(self.submit(attempt, exclude));
                    }
                    Action::Resume { attempt, endpoint, offset } => {
                        self.resume(attempt, endpoint, offset);
                    }
                    Action::Retry { after, reason } => self.retry(after, reason),
                    Action::Deliver { .. } => next.extend(self.deliver().await),
                    Action::Cancel { endpoint, .. } => self.cancel(endpoint, resumes),
                    Action::Charge(_) => {}
                    Action::Finish(result) => outcome = Some(result),
                }
            }
            pending = next;
        }
        outcome
    }

    /// Queues the request for a slot.
    fn submit(&mut self, attempt: Attempt, exclude: Vec<Endpoint>) -> Vec<Action> {
        let now = self.now();
        if !self.shared.view().is_served(self.call.model) {
            return self.life.refused(now, Reason::NoEndpoint);
        }
        if self.is_dead(now) {
            return self.life.refused(now, Reason::EndpointsDown);
        }
        let verdict = self.call.pool.suspects().admit(now, self.call.fingerprint);
        if let Verdict::Refuse { retry_after } = verdict {
            self.delivery.retry_after = Some(retry_after);
            return self.life.refused(now, Reason::SuspectRefused);
        }
        self.alone = verdict == Verdict::RunAlone;
        if let Decision::Wait { until } = self.try_start_copy(now) {
            self.stage = Stage::Held { attempt, exclude, until };
            return Vec::new();
        }
        let prefer = match &self.call.kind {
            Kind::Chat { chain, .. } => self.shared.preferred(self.call.model, chain),
            Kind::Application(_) => Vec::new(),
        };
        let ticket = Ticket {
            prefer,
            exclude: self.possible_exclusions(exclude),
            alone: self.alone,
            ..Ticket::new(
                self.call.request,
                self.call.customer,
                self.call.model,
                self.call.estimate,
                self.call.deadline,
            )
        };
        match self.call.pool.submit(&self.shared, now, ticket) {
            Ok(assignment) => {
                self.look_at = time::Instant::now() + LOOK_AFTER;
                self.stage = Stage::Queued { attempt, assignment };
                Vec::new()
            }
            Err(refusal) => {
                log::debug!(request:% = self.call.request; "{refusal}");
                self.delivery.retry_after = Some(refusal.retry_after());
                self.life.refused(now, crate::pool::reason(&refusal))
            }
        }
    }

    /// Asks to go on among the copies of the request.
    fn try_start_copy(&mut self, now: Instant) -> Decision {
        self.departures.mark_unchanged();
        let since = match self.turn {
            Turn::Waiting(since, suspect) if suspect == self.alone => since,
            _ => now,
        };
        let suspects = self.call.pool.suspects();
        let decision = suspects.try_start_copy(now, self.call.fingerprint, self.alone, since);
        if decision == Decision::Start {
            self.turn = Turn::InFlight;
            return decision;
        }
        if self.turn == Turn::New {
            self.shared.metrics.held_copies.inc();
        }
        self.turn = Turn::Waiting(since, self.alone);
        decision
    }

    /// Whether no endpoint that could serve the request has answered for the grace. Notes when that will be so.
    fn is_dead(&mut self, now: Instant) -> bool {
        self.deaths.mark_unchanged();
        let view = self.shared.view();
        let since = self.shared.dead_since(&view, &self.call.pool, self.call.model);
        let until = since.map(|since| since + DEAD_GRACE);
        self.dead_at = until.map(|until| self.shared.clock.deadline(until));
        until.is_some_and(|until| now >= until)
    }

    /// Takes the request from the queue if no endpoint that could serve it is left.
    fn endpoint_died(&mut self, now: Instant) -> Vec<Action> {
        if !self.is_dead(now) {
            return Vec::new();
        }
        self.call.pool.cancel(&self.shared, now, self.call.request);
        self.stage = Stage::Idle;
        self.life.refused(now, Reason::EndpointsDown)
    }

    /// The endpoints to avoid; none if no other endpoint serves the request, which would then wait for nothing.
    fn possible_exclusions(&self, exclude: Vec<Endpoint>) -> Vec<Endpoint> {
        if exclude.is_empty() {
            return exclude;
        }
        let view = self.shared.view();
        let serves = |endpoint: &scheduled::Endpoint| {
            !endpoint.leaving && endpoint.models.contains(&self.call.model)
        };
        let endpoints = self.shared.scheduled_endpoints(&view, &self.call.pool);
        let other = endpoints.iter().any(|one| serves(one) && !exclude.contains(&one.id));
        if other { exclude } else { Vec::new() }
    }

    fn assigned(&mut self, now: Instant, attempt: Attempt, assignment: Assignment) -> Vec<Action> {
        match assignment {
            Assignment::Endpoint(endpoint) => {
                self.slot = Some(endpoint);
                self.slot_since = time::Instant::now();
                self.used = Units(0);
                self.reported = Units(0);
                let actions = self.life.dispatched(now, attempt, endpoint);
                if actions.is_empty() {
                    self.shared.learn_instance(&self.call.pool, endpoint);
                    let in_flight =
                        InFlight { fingerprint: self.call.fingerprint, alone: self.alone };
                    self.call.pool.suspects().started(endpoint, self.call.request, in_flight);
                    self.connect(attempt, endpoint);
                }
                actions
            }
            Assignment::Expired => self.life.deadline(now),
        }
    }

    fn retry(&mut self, after: Duration, reason: Reason) {
        log::info!(
            request:% = self.call.request, reason = reason.label(), after_ms = after.as_millis();
            "request is sent again"
        );
        self.shared.metrics.retries.with_label_values(&[reason.label()]).inc();
        self.stop_run();
        self.release();
        self.stage = Stage::Idle;
    }

    fn cancel(&mut self, endpoint: Option<Endpoint>, resumes: bool) {
        if endpoint.is_none() {
            self.call.pool.cancel(&self.shared, self.now(), self.call.request);
        } else if !resumes {
            self.stop_run();
        }
        // Dropping the stage closes its connection, so an answer that comes later reaches nobody.
        self.stage = Stage::Idle;
    }

    /// Reports the silence or its end: probes the endpoint on a fresh connection.
    async fn quiet(&mut self) -> Vec<Action> {
        let Some((attempt, endpoint)) = self.stage.attempt() else { return Vec::new() };
        self.shared.metrics.silent_connections.inc();
        let probe = self.shared.probe(&self.call.pool, endpoint).await;
        self.probed = true;
        log::info!(
            request:% = self.call.request, endpoint:% = endpoint, answered = probe.is_some();
            "endpoint was silent and has been probed"
        );
        let now = self.now();
        let result = if probe.is_some() {
            self.shared.purge_idle(endpoint);
            life::Probe::Answered
        } else {
            self.endpoint_failed();
            life::Probe::Failed
        };
        self.life.silent(now, attempt, result, &mut self.call.pool.budget())
    }

    /// Tells the health view that the endpoint of this request did not answer.
    fn endpoint_failed(&self) {
        if let Some(endpoint) = self.slot {
            self.shared.endpoint_failed(&self.call.pool, endpoint);
        }
    }

    /// Tells an engine to stop a run that nobody follows any more.
    fn stop_run(&self) {
        let Some(endpoint) = self.slot else { return };
        if matches!(self.call.kind, Kind::Chat { .. }) && self.stage.sent() {
            self.shared.stop_run(endpoint, self.call.request);
        }
    }

    /// Gives the slot back and settles the charge of this dispatch.
    fn release(&mut self) {
        if let Some(endpoint) = self.slot.take() {
            self.call.pool.suspects().ended(endpoint, self.call.request);
            self.call.pool.finish(&self.shared, self.now(), self.call.request, self.used);
        }
        if std::mem::replace(&mut self.turn, Turn::New) == Turn::InFlight {
            self.call.pool.suspects().copy_ended(self.call.fingerprint);
        }
    }

    /// Raises the service of this dispatch and reports it in steps.
    fn charge(&mut self, used: Units) {
        self.used = self.used.max(used);
        if self.used - self.reported >= PROGRESS_STEP {
            self.reported = self.used;
            self.call.pool.progress(&self.shared, self.now(), self.call.request, self.used);
        }
    }

    /// Learns from a finished chat what such requests cost and where its prefix is cached.
    fn learn(&self) {
        let (Some(endpoint), Some(usage)) = (self.slot, self.delivery.usage()) else { return };
        self.shared.learn(&self.call, endpoint, Units(usage.completion_tokens));
    }

    async fn finish(mut self, outcome: Outcome) -> Summary {
        if !matches!(outcome, Outcome::Completed | Outcome::Failed) {
            self.stop_run();
        }
        self.learn();
        if matches!(outcome, Outcome::Completed | Outcome::Failed) {
            let suspects = self.call.pool.suspects();
            suspects.completed(&self.shared, self.now(), self.call.fingerprint);
        }
        self.release();
        self.shared.metrics.crossed_answers.inc_by(self.life.ignored().mismatched_answers);
        let summary = self.conclude(outcome).await;
        self.shared.finished(&self.call, outcome, self.started_at.elapsed());
        summary
    }
}

impl Drop for Exchange {
    /// Gives back what a task that ended early, by a panic or with its router, still holds.
    fn drop(&mut self) {
        if matches!(self.stage, Stage::Queued { .. }) {
            self.call.pool.cancel(&self.shared, self.now(), self.call.request);
        }
        self.release();
    }
}

/// Answer of an endpoint to an attempt: the head, or why there is none.
type Answer = Result<Response<Incoming>, upstream::Error>;

/// Charge for a chat whose usage is not known yet.
fn running_cost(prompt: Units, events: u64) -> Units {
    prompt + Units(events)
}

/// Charge for a finished chat.
fn final_cost(usage: Option<Usage>, prompt: Units, events: u64) -> Units {
    usage.map_or_else(|| running_cost(prompt, events), |usage| usage.cost())
}

/// The error event at the end of a stream that broke off.
fn error_event(outcome: Outcome) -> Bytes {
    let data = answer::error_body(
        outcome.label(),
        outcome.reason().map(Reason::label),
        &answer::explain(outcome),
    );
    Bytes::from(format!("event: error\ndata: {data}\n\n"))
}
