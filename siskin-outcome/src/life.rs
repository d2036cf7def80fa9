//! Life of one request at the router that accepted it.

use {
    crate::{
        outcome::{Outcome, Reason},
        retry::{Backoff, Budget},
    },
    rand::{SeedableRng, rngs::SmallRng},
    siskin_types::{
        cost::Units,
        id::{Endpoint, Request},
        time::Instant,
    },
    std::time::Duration,
};

/// Numbers the attempts of one request, resumed connections included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// What is known about a request when it is accepted.
#[derive(Clone, Debug)]
pub struct Options {
    /// The request.
    pub request: Request,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether the endpoint can resume its answer at an offset.
    pub resumable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Dispatches allowed, the first included.
    pub max_dispatches: u32,
    /// Resumptions allowed in a row without any progress.
    pub max_resumes: u32,
    /// Delays before retries.
    pub backoff: Backoff,
    /// Seed of the random part of the delays.
    pub seed: u64,
}

impl Options {
    /// Options with the default limits.
    #[must_use]
    pub fn new(request: Request, deadline: Instant) -> Self {
        Self {
            request,
            idempotent: false,
            resumable: false,
            deadline,
            max_dispatches: 3,
            max_resumes: 3,
            backoff: Backoff::default(),
            seed: request.sequence ^ request.incarnation.rotate_left(32),
        }
    }
}

/// What is to be done for the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Queue the request for an endpoint that is not excluded, and report [`Life::dispatched`]. Before each
    /// dispatch the poison detector has to admit the request: if the last attempt ended with a crash, the
    /// request has become a suspect.
    Dispatch {
        /// Number for the events of this attempt.
        attempt: Attempt,
        /// Endpoints that have failed this request.
        exclude: Vec<Endpoint>,
    },
    /// Connect again to the same endpoint and ask for the answer from an offset on.
    Resume {
        /// Number for the events of this attempt.
        attempt: Attempt,
        /// The endpoint that runs the request.
        endpoint: Endpoint,
        /// First position that the caller does not have.
        offset: u64,
    },
    /// Nothing until [`Life::tick`] at this time; a dispatch follows then.
    Retry {
        /// Delay from now.
        after: Duration,
        /// Why the last attempt failed.
        reason: Reason,
    },
    /// Hand the chunk to the caller without its first `skip` positions, which the caller has.
    Deliver {
        /// Positions to leave out.
        skip: u64,
    },
    /// Abandon an attempt: close its connection, never reuse it, and tell an engine to stop.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// Where it runs; `None` while it is queued.
        endpoint: Option<Endpoint>,
    },
    /// Charge this total for all attempts; given once, before the result.
    Charge(Units),
    /// The final result; given once.
    Finish(Outcome),
}

/// Events that were ignored because they did not belong to the current attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ignored {
    /// Events of an earlier attempt, or after the end.
    pub stale: u64,
    /// Answers that belonged to another request or did not join the part already delivered.
    pub crossed: u64,
}

/// The attempt is over; nothing may be written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt is over; close its connection without writing the request")]
pub struct Stale;

/// Answer to the probe of a silent endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The endpoint answered on a fresh connection, so only the path is dead.
    Answered,
    /// The endpoint did not answer.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Accepted, no attempt yet.
    New,
    /// Queued for an endpoint.
    Queued,
    /// An endpoint was chosen; nothing was sent.
    Assigned(Endpoint),
    /// The first byte has been, or is about to be, written.
    Sent(Endpoint),
    /// Connecting to resume.
    Resuming(Endpoint),
    /// Asked to resume.
    Resumed(Endpoint),
    /// Waiting for the time of a retry.
    Waiting(Instant),
    Finished(Outcome),
}

/// State of one request. It knows whether any endpoint may have run it, and never lets a request that must
/// not be repeated reach a second endpoint.
///
/// ```
/// use {
///     siskin_outcome::{life::{Action, Attempt, Life, Options}, outcome::Outcome, retry},
///     siskin_types::{cost::Units, id::{Endpoint, Node, Request}, time::Instant},
/// };
/// let now = Instant::ZERO;
/// let mut budget = retry::Budget::new(retry::Options::default());
/// let request = Request { node: Node(1), incarnation: 1, sequence: 1 };
/// let mut life = Life::new(Options::new(request, Instant::from_micros(5_000_000)));
/// let attempt = Attempt(1);
/// assert_eq!(life.accepted(now), [Action::Dispatch { attempt, exclude: vec![] }]);
/// life.dispatched(now, attempt, Endpoint(7));
/// life.bytes_sent(now, attempt).unwrap();
/// life.started(now, attempt, Some(request), &mut budget);
/// let deliver = life.chunk(now, attempt, 0, 10, Units(3), &mut budget);
/// assert_eq!(deliver, [Action::Deliver { skip: 0 }]);
/// assert_eq!(
///     life.completed(now, attempt, 10, Outcome::Completed, Units(3), &mut budget),
///     [Action::Charge(Units(3)), Action::Finish(Outcome::Completed)],
/// );
/// ```
#[derive(Debug)]
pub struct Life {
    options: Options,
    random: SmallRng,
    state: State,
    attempt: u32,
    dispatches: u32,
    resumes: u32,
    /// Runs that got a byte and were not answered as not started.
    exposed: u32,
    /// Whether the endpoint of the current run has begun to answer.
    answering: bool,
    /// A silent path of a request that can be neither resumed nor repeated: wait for the deadline.
    silent: bool,
    delivered: u64,
    used_before: Units,
    used_now: Units,
    exclude: Vec<Endpoint>,
    cause: Option<Reason>,
    ignored: Ignored,
}

impl Life {
    /// Makes the state of an accepted request.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            random: SmallRng::seed_from_u64(options.seed),
            options,
            state: State::New,
            attempt: 0,
            dispatches: 0,
            resumes: 0,
            exposed: 0,
            answering: false,
            silent: false,
            delivered: 0,
            used_before: Units(0),
            used_now: Units(0),
            exclude: Vec::new(),
            cause: None,
            ignored: Ignored::default(),
        }
    }

    /// The request was admitted, and its claim granted if it needs one.
    pub fn accepted(&mut self, now: Instant) -> Vec<Action> {
        if self.state != State::New {
            return self.ignore();
        }
        if now >= self.options.deadline {
            return self.finish(Reason::QueueDeadline);
        }
        vec![self.dispatch()]
    }

    /// The request was refused before it was given to an endpoint.
    pub fn refused(&mut self, _now: Instant, reason: Reason) -> Vec<Action> {
        match self.state {
            State::New | State::Queued | State::Waiting(_) => self.finish(reason),
            _ => self.ignore(),
        }
    }

    /// An endpoint was chosen for a queued attempt.
    pub fn dispatched(
        &mut self,
        now: Instant,
        attempt: Attempt,
        endpoint: Endpoint,
    ) -> Vec<Action> {
        if !self.current(attempt) || self.state != State::Queued {
            self.ignored.stale += 1;
            return vec![Action::Cancel { attempt, endpoint: Some(endpoint) }];
        }
        if now >= self.options.deadline {
            return self.deadline(now);
        }
        self.state = State::Assigned(endpoint);
        Vec::new()
    }

    /// The first byte is about to be handed to the connection. Must be called before the write.
    ///
    /// # Errors
    ///
    /// The attempt is over or the deadline has passed; nothing may be written.
    ///
    /// # Panics
    ///
    /// A fault in this module would let a request that must not be repeated be sent twice.
    pub fn bytes_sent(&mut self, now: Instant, attempt: Attempt) -> Result<(), Stale> {
        if !self.current(attempt) || now >= self.options.deadline {
            self.ignored.stale += 1;
            return Err(Stale);
        }
        match self.state {
            State::Assigned(endpoint) => {
                assert!(
                    self.options.idempotent || self.exposed == 0,
                    "a request that must not be repeated would be sent twice"
                );
                self.exposed += 1;
                self.state = State::Sent(endpoint);
                Ok(())
            }
            State::Resuming(endpoint) => {
                self.state = State::Resumed(endpoint);
                Ok(())
            }
            _ => {
                self.ignored.stale += 1;
                Err(Stale)
            }
        }
    }

    /// The answer began; `echoed` is the request identifier in it, if the protocol has one.
    pub fn started(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.misplaced(now, attempt, echoed, budget) {
            return actions;
        }
        self.answering = true;
        Vec::new()
    }

    /// A part of the answer arrived. Positions are event numbers for streams of engines, bytes otherwise;
    /// `used` is what this run has cost so far.
    pub fn chunk(
        &mut self,
        now: Instant,
        attempt: Attempt,
        offset: u64,
        length: u64,
        used: Units,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.misplaced(now, attempt, None, budget) {
            return actions;
        }
        // An engine that starts a resumed stream anew would have the caller get a mixture of two runs.
        let resumed = matches!(self.state, State::Resumed(_));
        if offset > self.delivered || (resumed && offset != self.delivered) {
            return self.crossed(now, attempt, budget);
        }
        self.answering = true;
        self.silent = false;
        self.used_now = self.used_now.max(used);
        let end = offset + length;
        if end <= self.delivered {
            return Vec::new();
        }
        let skip = self.delivered - offset;
        self.delivered = end;
        self.resumes = 0;
        vec![Action::Deliver { skip }]
    }

    /// The endpoint gave its complete answer of `end` positions. `outcome` is `Completed` or `Failed`.
    ///
    /// # Panics
    ///
    /// `outcome` is one that an endpoint cannot report.
    pub fn completed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        end: u64,
        outcome: Outcome,
        used: Units,
        budget: &mut Budget,
    ) -> Vec<Action> {
        assert!(outcome.reason().is_none(), "an endpoint's answer is completed or failed");
        if let Some(actions) = self.misplaced(now, attempt, None, budget) {
            return actions;
        }
        self.used_now = self.used_now.max(used);
        if end != self.delivered {
            return self.crossed(now, attempt, budget);
        }
        self.end(outcome)
    }

    /// The endpoint answered that it did not start the request, or does not have the stream to resume.
    /// `echoed` is the request identifier in the answer, if it has one.
    pub fn endpoint_refused(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.misplaced(now, attempt, echoed, budget) {
            return actions;
        }
        match self.state {
            State::Sent(endpoint) if !self.answering => {
                self.exposed -= 1;
                // Without the identifier, the answer may belong to another request. A second run would do
                // harm then.
                if !self.options.idempotent && echoed.is_none() {
                    return self.finish(Reason::EndpointRefused);
                }
                self.exclude(endpoint);
                self.retry(now, Reason::EndpointRefused, budget)
            }
            State::Resumed(endpoint) => self.run_lost(now, endpoint, Reason::ResumeRefused, budget),
            // It had begun to answer, so this cannot be true.
            _ => self.crossed(now, attempt, budget),
        }
    }

    /// No connection could be made for the attempt.
    pub fn connect_failed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        budget: &mut Budget,
    ) -> Vec<Action> {
        match self.state_of(attempt) {
            Some(State::Assigned(endpoint)) => {
                self.exclude(endpoint);
                self.retry(now, Reason::ConnectFailed, budget)
            }
            Some(State::Resuming(endpoint)) => self.run_lost(now, endpoint, Reason::Broken, budget),
            _ => self.ignore(),
        }
    }

    /// The connection of the attempt broke.
    pub fn broken(&mut self, now: Instant, attempt: Attempt, budget: &mut Budget) -> Vec<Action> {
        self.lost(now, attempt, Reason::Broken, budget)
    }

    /// The attempt made no progress and its endpoint was probed.
    pub fn silent(
        &mut self,
        now: Instant,
        attempt: Attempt,
        probe: Probe,
        budget: &mut Budget,
    ) -> Vec<Action> {
        let endpoint = match self.state_of(attempt) {
            Some(State::Assigned(_) | State::Resuming(_)) => {
                return self.connect_failed(now, attempt, budget);
            }
            Some(State::Sent(endpoint) | State::Resumed(endpoint)) => endpoint,
            _ => return self.ignore(),
        };
        if probe == Probe::Answered && !self.options.idempotent && !self.options.resumable {
            // The answer may still come; without it the deadline ends the request as unknown.
            self.silent = true;
            return Vec::new();
        }
        let cancel = Action::Cancel { attempt, endpoint: Some(endpoint) };
        let mut actions = vec![cancel];
        actions.extend(match probe {
            Probe::Answered => self.lost(now, attempt, Reason::Silent, budget),
            Probe::Failed => self.run_lost(now, endpoint, Reason::Silent, budget),
        });
        actions
    }

    /// The caller went away.
    pub fn cancelled(&mut self, _now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return self.ignore();
        }
        self.abandon(Reason::CallerGone)
    }

    /// The deadline passed.
    pub fn deadline(&mut self, _now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return self.ignore();
        }
        let reason = match (self.exposed, self.silent) {
            (0, _) => Reason::QueueDeadline,
            (_, true) => Reason::Silent,
            (_, false) => Reason::DeadlineAfterSend,
        };
        self.abandon(reason)
    }

    /// Handles the deadline and the time of a retry.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if now >= self.options.deadline {
            return self.deadline(now);
        }
        match self.state {
            State::Waiting(at) if now >= at => vec![self.dispatch()],
            _ => Vec::new(),
        }
    }

    /// When [`Life::tick`] is next needed; `None` after the end.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        match self.state {
            State::Finished(_) => None,
            State::Waiting(at) => Some(at.min(self.options.deadline)),
            _ => Some(self.options.deadline),
        }
    }

    /// The final result, once there is one.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Positions handed to the caller.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether an endpoint may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.exposed > 0
    }

    /// Events that were ignored.
    #[must_use]
    pub fn ignored(&self) -> Ignored {
        self.ignored
    }

    fn current(&self, attempt: Attempt) -> bool {
        attempt.0 == self.attempt && self.outcome().is_none()
    }

    /// The state, if the attempt is the current one.
    fn state_of(&self, attempt: Attempt) -> Option<State> {
        self.current(attempt).then_some(self.state)
    }

    /// Counts an event that does not belong to the current attempt.
    fn ignore(&mut self) -> Vec<Action> {
        self.ignored.stale += 1;
        Vec::new()
    }

    /// What follows from an answer to an attempt that is over or has not asked yet, or to another request;
    /// `None` if the answer is one to the current attempt.
    fn misplaced(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Option<Vec<Action>> {
        match self.state_of(attempt) {
            Some(State::Sent(_) | State::Resumed(_)) => {
                let other = echoed.is_some_and(|echoed| echoed != self.options.request);
                other.then(|| self.crossed(now, attempt, budget))
            }
            // The connection carried an answer that an earlier request had left unread.
            Some(State::Assigned(_) | State::Resuming(_)) => {
                Some(self.crossed(now, attempt, budget))
            }
            _ => Some(self.ignore()),
        }
    }

    fn endpoint(&self) -> Option<Endpoint> {
        match self.state {
            State::Assigned(endpoint)
            | State::Sent(endpoint)
            | State::Resuming(endpoint)
            | State::Resumed(endpoint) => Some(endpoint),
            State::New | State::Queued | State::Waiting(_) | State::Finished(_) => None,
        }
    }

    /// The answer does not belong to this request or has a gap, so its connection is abandoned.
    fn crossed(&mut self, now: Instant, attempt: Attempt, budget: &mut Budget) -> Vec<Action> {
        self.ignored.crossed += 1;
        let mut actions = vec![Action::Cancel { attempt, endpoint: self.endpoint() }];
        actions.extend(self.lost(now, attempt, Reason::Crossed, budget));
        actions
    }

    /// The connection is gone; the endpoint may be alive.
    fn lost(
        &mut self,
        now: Instant,
        attempt: Attempt,
        reason: Reason,
        budget: &mut Budget,
    ) -> Vec<Action> {
        match self.state_of(attempt) {
            Some(State::Assigned(_) | State::Resuming(_)) => {
                self.connect_failed(now, attempt, budget)
            }
            Some(State::Sent(endpoint) | State::Resumed(endpoint)) => {
                if self.options.resumable
                    && self.answering
                    && self.resumes < self.options.max_resumes
                {
                    self.resumes += 1;
                    return vec![self.resume(endpoint)];
                }
                self.run_lost(now, endpoint, reason, budget)
            }
            _ => self.ignore(),
        }
    }

    /// The run at `endpoint` cannot be followed any further.
    fn run_lost(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        reason: Reason,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.cause = Some(reason);
        self.exclude(endpoint);
        if self.options.idempotent && self.delivered == 0 {
            self.retry(now, reason, budget)
        } else {
            self.finish(reason)
        }
    }

    fn exclude(&mut self, endpoint: Endpoint) {
        if !self.exclude.contains(&endpoint) {
            self.exclude.push(endpoint);
        }
    }

    fn retry(&mut self, now: Instant, reason: Reason, budget: &mut Budget) -> Vec<Action> {
        assert!(
            self.options.idempotent || self.exposed == 0,
            "retry of a request that may have run"
        );
        assert!(self.delivered == 0, "retry of a request whose answer was partly delivered");
        let after = self.options.backoff.delay(self.dispatches - 1, &mut self.random);
        let late = now + after >= self.options.deadline;
        if late || self.dispatches >= self.options.max_dispatches || !budget.take(reason) {
            return self.finish(reason);
        }
        self.close_run();
        // Events of the failed attempt no longer count.
        self.attempt += 1;
        self.state = State::Waiting(now + after);
        vec![Action::Retry { after, reason }]
    }

    fn close_run(&mut self) {
        self.used_before += self.used_now;
        self.used_now = Units(0);
        self.answering = false;
        self.silent = false;
        self.resumes = 0;
    }

    fn dispatch(&mut self) -> Action {
        assert!(
            self.options.idempotent || self.exposed == 0,
            "second dispatch after the first byte"
        );
        self.attempt += 1;
        self.dispatches += 1;
        self.state = State::Queued;
        Action::Dispatch { attempt: Attempt(self.attempt), exclude: self.exclude.clone() }
    }

    fn resume(&mut self, endpoint: Endpoint) -> Action {
        self.attempt += 1;
        self.state = State::Resuming(endpoint);
        Action::Resume { attempt: Attempt(self.attempt), endpoint, offset: self.delivered }
    }

    /// Ends the request and stops whatever still runs for it.
    fn abandon(&mut self, reason: Reason) -> Vec<Action> {
        let attempt = Attempt(self.attempt);
        let cancel = match self.state {
            State::New | State::Waiting(_) | State::Finished(_) => None,
            _ => Some(Action::Cancel { attempt, endpoint: self.endpoint() }),
        };
        let mut actions: Vec<_> = cancel.into_iter().collect();
        actions.extend(self.finish(reason));
        actions
    }

    /// Ends the request as not run or unknown, whichever is true.
    fn finish(&mut self, reason: Reason) -> Vec<Action> {
        let outcome = if self.exposed > 0 {
            let cause = match self.cause {
                Some(cause) if !reason.may_have_run() && reason != Reason::CallerGone => cause,
                _ => reason,
            };
            Outcome::Unknown(cause)
        } else if reason.may_have_run() {
            Outcome::NotRun(Reason::ConnectFailed)
        } else {
            Outcome::NotRun(reason)
        };
        self.end(outcome)
    }

    fn end(&mut self, outcome: Outcome) -> Vec<Action> {
        assert!(self.outcome().is_none(), "a request has one final result");
        if matches!(outcome, Outcome::NotRun(_)) {
            assert!(
                self.exposed == 0 && self.delivered == 0,
                "not run, but an endpoint got a byte"
            );
        }
        self.state = State::Finished(outcome);
        vec![Action::Charge(self.used_before + self.used_now), Action::Finish(outcome)]
    }
}
