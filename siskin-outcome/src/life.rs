//! Lifecycle of one request at the router that accepted it.

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

/// Number of an attempt of one request. Dispatches and resumptions are numbered together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Properties and limits of a request, known when it is accepted.
#[derive(Clone, Debug)]
pub struct Options {
    /// The request.
    pub request: Request,
    /// Whether the request is idempotent, so that it may be run twice.
    pub idempotent: bool,
    /// Whether the endpoint can resume its answer from an offset.
    pub resumable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Dispatches allowed, the first included.
    pub max_dispatches: u32,
    /// Consecutive resumptions allowed without progress.
    pub max_resumes: u32,
    /// Backoff between retries.
    pub backoff: Backoff,
    /// Seed for the jitter of the backoff.
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

/// An action that the caller of [`Lifecycle`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Queue the request for an endpoint that is not excluded, and report the choice to
    /// [`Lifecycle::dispatched`]. The poison detector must admit the request before each dispatch: if the last
    /// attempt ended with a crash of the endpoint, the request has become a suspect.
    Dispatch {
        /// Number for the events of this attempt.
        attempt: Attempt,
        /// Endpoints that have failed this request.
        exclude: Vec<Endpoint>,
    },
    /// Reconnect to the same endpoint and request the rest of the answer from an offset.
    Resume {
        /// Number for the events of this attempt.
        attempt: Attempt,
        /// The endpoint that runs the request.
        endpoint: Endpoint,
        /// First position that has not been delivered to the caller.
        offset: u64,
    },
    /// Call [`Lifecycle::tick`] after this delay; it returns the next dispatch.
    Retry {
        /// Delay from now.
        after: Duration,
        /// Why the last attempt failed.
        reason: Reason,
    },
    /// Deliver the chunk to the caller without its first `skip` positions, which were delivered before.
    Deliver {
        /// Number of positions to skip.
        skip: u64,
    },
    /// Cancel an attempt: close its connection without reusing it, and make an engine stop the run.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint it was dispatched to; `None` while it is queued.
        endpoint: Option<Endpoint>,
    },
    /// Charge the customer this total cost of all attempts. Returned once, before the outcome.
    Charge(Units),
    /// The final outcome. Returned once.
    Finish(Outcome),
}

/// Numbers of events that were ignored because they did not belong to the current attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ignored {
    /// Events of an earlier attempt, or after the final outcome.
    pub stale: u64,
    /// Answers that belonged to another request or did not continue the part already delivered.
    pub mismatched_answers: u64,
}

/// Error: the attempt is over, so nothing may be written to its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt is over; close its connection without writing the request")]
pub struct Stale;

/// Result of probing an endpoint that made no progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probe {
    /// The endpoint answered on a new connection, so only the connection of the attempt is dead.
    Answered,
    /// The endpoint did not answer.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not dispatched yet.
    New,
    /// Queued for an endpoint.
    Queued,
    /// An endpoint was chosen; nothing has been sent.
    Assigned(Endpoint),
    /// The first byte of the request has been, or is about to be, written.
    Sent(Endpoint),
    /// Reconnecting to resume the answer.
    Resuming(Endpoint),
    /// The request to resume has been, or is about to be, written.
    ResumeSent(Endpoint),
    /// The next dispatch is due at this time.
    AwaitingRetry(Instant),
    Finished(Outcome),
}

/// State machine of one request. It tracks whether any endpoint may have run the request, and never sends a
/// request that is not idempotent to a second endpoint after one may have run it.
///
/// ```
/// use {
///     siskin_outcome::{life::{Action, Attempt, Lifecycle, Options}, outcome::Outcome, retry},
///     siskin_types::{cost::Units, id::{Endpoint, Node, Request}, time::Instant},
/// };
/// let now = Instant::ZERO;
/// let mut budget = retry::Budget::new(retry::Options::default());
/// let request = Request { node: Node(1), incarnation: 1, sequence: 1 };
/// let mut life = Lifecycle::new(Options::new(request, Instant::from_micros(5_000_000)));
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
pub struct Lifecycle {
    options: Options,
    random: SmallRng,
    state: State,
    attempt: u32,
    dispatches: u32,
    resumes: u32,
    /// Dispatches of which a byte was sent and which the endpoint did not report as not started.
    possible_runs: u32,
    /// Whether the endpoint has begun to answer in the current run.
    answer_started: bool,
    /// The connection makes no progress, and the request can be neither resumed nor repeated: wait for the answer
    /// until the deadline.
    path_silent: bool,
    delivered: u64,
    cost_of_earlier_runs: Units,
    cost_of_current_run: Units,
    failed_endpoints: Vec<Endpoint>,
    last_failure: Option<Reason>,
    ignored: Ignored,
}

impl Lifecycle {
    /// Creates the state of an accepted request.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            random: SmallRng::seed_from_u64(options.seed),
            options,
            state: State::New,
            attempt: 0,
            dispatches: 0,
            resumes: 0,
            possible_runs: 0,
            answer_started: false,
            path_silent: false,
            delivered: 0,
            cost_of_earlier_runs: Units(0),
            cost_of_current_run: Units(0),
            failed_endpoints: Vec::new(),
            last_failure: None,
            ignored: Ignored::default(),
        }
    }

    /// The request was admitted, and its claim granted if it needs one.
    pub fn accepted(&mut self, now: Instant) -> Vec<Action> {
        if self.state != State::New {
            return self.count_stale_event();
        }
        if now >= self.options.deadline {
            return self.finish_with_reason(Reason::QueueDeadline);
        }
        vec![self.queue_dispatch()]
    }

    /// The request was refused before it was dispatched to an endpoint.
    pub fn refused(&mut self, _now: Instant, reason: Reason) -> Vec<Action> {
        match self.state {
            State::New | State::Queued | State::AwaitingRetry(_) => self.finish_with_reason(reason),
            _ => self.count_stale_event(),
        }
    }

    /// An endpoint was chosen for a queued attempt.
    pub fn dispatched(
        &mut self,
        now: Instant,
        attempt: Attempt,
        endpoint: Endpoint,
    ) -> Vec<Action> {
        if !self.is_current(attempt) || self.state != State::Queued {
            self.ignored.stale += 1;
            return vec![Action::Cancel { attempt, endpoint: Some(endpoint) }];
        }
        if now >= self.options.deadline {
            return self.deadline(now);
        }
        self.state = State::Assigned(endpoint);
        Vec::new()
    }

    /// The first byte is about to be written to the connection. Must be called before the write.
    ///
    /// # Errors
    ///
    /// The attempt is over or the deadline has passed; nothing may be written.
    ///
    /// # Panics
    ///
    /// A bug in this module would send a request that is not idempotent a second time.
    pub fn bytes_sent(&mut self, now: Instant, attempt: Attempt) -> Result<(), Stale> {
        if !self.is_current(attempt) || now >= self.options.deadline {
            self.ignored.stale += 1;
            return Err(Stale);
        }
        match self.state {
            State::Assigned(endpoint) => {
                assert!(
                    self.options.idempotent || self.possible_runs == 0,
                    "a request that is not idempotent would be sent twice"
                );
                self.possible_runs += 1;
                self.state = State::Sent(endpoint);
                Ok(())
            }
            State::Resuming(endpoint) => {
                self.state = State::ResumeSent(endpoint);
                Ok(())
            }
            _ => {
                self.ignored.stale += 1;
                Err(Stale)
            }
        }
    }

    /// The endpoint began to answer; `echoed` is the request identifier in the answer, if the protocol has one.
    pub fn started(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.reject_unexpected_answer(now, attempt, echoed, budget) {
            return actions;
        }
        self.answer_started = true;
        Vec::new()
    }

    /// A chunk of the answer arrived. Positions are event numbers for engine streams, byte offsets otherwise;
    /// `cost_so_far` is the cost of the current run.
    pub fn chunk(
        &mut self,
        now: Instant,
        attempt: Attempt,
        offset: u64,
        length: u64,
        cost_so_far: Units,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.reject_unexpected_answer(now, attempt, None, budget) {
            return actions;
        }
        // If an engine restarted a resumed stream from the beginning, the caller would get parts of two runs.
        let resumed = matches!(self.state, State::ResumeSent(_));
        if offset > self.delivered || (resumed && offset != self.delivered) {
            return self.handle_mismatched_answer(now, attempt, budget);
        }
        self.answer_started = true;
        self.path_silent = false;
        self.cost_of_current_run = self.cost_of_current_run.max(cost_so_far);
        let end = offset + length;
        if end <= self.delivered {
            return Vec::new();
        }
        let skip = self.delivered - offset;
        self.delivered = end;
        self.resumes = 0;
        vec![Action::Deliver { skip }]
    }

    /// The endpoint's answer is complete and ends at position `end`. `outcome` is `Completed` or `Failed`.
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
        cost_so_far: Units,
        budget: &mut Budget,
    ) -> Vec<Action> {
        assert!(
            outcome.reason().is_none(),
            "outcome of an endpoint's answer must be completed or failed"
        );
        if let Some(actions) = self.reject_unexpected_answer(now, attempt, None, budget) {
            return actions;
        }
        self.cost_of_current_run = self.cost_of_current_run.max(cost_so_far);
        if end != self.delivered {
            return self.handle_mismatched_answer(now, attempt, budget);
        }
        self.finish_with_outcome(outcome)
    }

    /// The endpoint answered that it did not start the request, or that it no longer has the stream to resume.
    /// `echoed` is the request identifier in the answer; without one, a request that is not idempotent may be running.
    pub fn endpoint_refused(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Vec<Action> {
        if let Some(actions) = self.reject_unexpected_answer(now, attempt, echoed, budget) {
            return actions;
        }
        match self.state {
            // Without the identifier, the answer may belong to another request, and this one may be running.
            State::Sent(_) if !self.options.idempotent && echoed.is_none() => {
                self.handle_mismatched_answer(now, attempt, budget)
            }
            State::Sent(endpoint) if !self.answer_started => {
                self.possible_runs -= 1;
                self.exclude_endpoint(endpoint);
                self.schedule_retry(now, Reason::EndpointRefused, budget)
            }
            State::ResumeSent(endpoint) => {
                self.handle_lost_run(now, endpoint, Reason::ResumeRefused, budget)
            }
            // The endpoint had begun to answer, so it did start the request.
            _ => self.handle_mismatched_answer(now, attempt, budget),
        }
    }

    /// No connection could be made for the attempt.
    pub fn connect_failed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        budget: &mut Budget,
    ) -> Vec<Action> {
        match self.state_if_current(attempt) {
            Some(State::Assigned(endpoint)) => {
                self.exclude_endpoint(endpoint);
                self.schedule_retry(now, Reason::ConnectFailed, budget)
            }
            Some(State::Resuming(endpoint)) => {
                self.handle_lost_run(now, endpoint, Reason::Broken, budget)
            }
            _ => self.count_stale_event(),
        }
    }

    /// The connection of the attempt broke.
    pub fn broken(&mut self, now: Instant, attempt: Attempt, budget: &mut Budget) -> Vec<Action> {
        self.handle_connection_loss(now, attempt, Reason::Broken, budget)
    }

    /// The attempt made no progress and its endpoint was probed.
    pub fn silent(
        &mut self,
        now: Instant,
        attempt: Attempt,
        probe: Probe,
        budget: &mut Budget,
    ) -> Vec<Action> {
        let endpoint = match self.state_if_current(attempt) {
            Some(State::Assigned(_) | State::Resuming(_)) => {
                return self.connect_failed(now, attempt, budget);
            }
            Some(State::Sent(endpoint) | State::ResumeSent(endpoint)) => endpoint,
            _ => return self.count_stale_event(),
        };
        if probe == Probe::Answered && !self.options.idempotent && !self.options.resumable {
            // The answer may still arrive; otherwise the request ends as unknown at the deadline.
            self.path_silent = true;
            return Vec::new();
        }
        let cancel = Action::Cancel { attempt, endpoint: Some(endpoint) };
        let mut actions = vec![cancel];
        actions.extend(match probe {
            Probe::Answered => self.handle_connection_loss(now, attempt, Reason::Silent, budget),
            Probe::Failed => self.handle_lost_run(now, endpoint, Reason::Silent, budget),
        });
        actions
    }

    /// The caller closed its connection.
    pub fn cancelled(&mut self, _now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return self.count_stale_event();
        }
        self.cancel_and_finish(Reason::CallerGone)
    }

    /// The deadline passed.
    pub fn deadline(&mut self, _now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return self.count_stale_event();
        }
        let reason = match (self.possible_runs, self.path_silent) {
            (0, _) => Reason::QueueDeadline,
            (_, true) => Reason::Silent,
            (_, false) => Reason::DeadlineAfterSend,
        };
        self.cancel_and_finish(reason)
    }

    /// Handles timers: the deadline and the next retry.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.outcome().is_some() {
            return Vec::new();
        }
        if now >= self.options.deadline {
            return self.deadline(now);
        }
        match self.state {
            State::AwaitingRetry(at) if now >= at => vec![self.queue_dispatch()],
            _ => Vec::new(),
        }
    }

    /// When [`Lifecycle::tick`] must be called next; `None` after the final outcome.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        match self.state {
            State::Finished(_) => None,
            State::AwaitingRetry(at) => Some(at.min(self.options.deadline)),
            _ => Some(self.options.deadline),
        }
    }

    /// The final outcome, once the request has ended.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Finished(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Number of positions delivered to the caller.
    #[must_use]
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether an endpoint may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Numbers of events that were ignored.
    #[must_use]
    pub fn ignored(&self) -> Ignored {
        self.ignored
    }

    fn is_current(&self, attempt: Attempt) -> bool {
        attempt.0 == self.attempt && self.outcome().is_none()
    }

    /// The state, if the attempt is the current one.
    fn state_if_current(&self, attempt: Attempt) -> Option<State> {
        self.is_current(attempt).then_some(self.state)
    }

    /// Counts an event that does not belong to the current attempt.
    fn count_stale_event(&mut self) -> Vec<Action> {
        self.ignored.stale += 1;
        Vec::new()
    }

    /// Rejects an answer to an attempt that is over or that has sent nothing yet, or an answer to another request.
    /// Returns `None` if the answer belongs to the current attempt.
    fn reject_unexpected_answer(
        &mut self,
        now: Instant,
        attempt: Attempt,
        echoed: Option<Request>,
        budget: &mut Budget,
    ) -> Option<Vec<Action>> {
        match self.state_if_current(attempt) {
            Some(State::Sent(_) | State::ResumeSent(_)) => {
                let mismatched = echoed.is_some_and(|echoed| echoed != self.options.request);
                mismatched.then(|| self.handle_mismatched_answer(now, attempt, budget))
            }
            // Nothing was sent yet: this is the unread answer to an earlier request on a reused connection.
            Some(State::Assigned(_) | State::Resuming(_)) => {
                Some(self.handle_mismatched_answer(now, attempt, budget))
            }
            _ => Some(self.count_stale_event()),
        }
    }

    fn current_endpoint(&self) -> Option<Endpoint> {
        match self.state {
            State::Assigned(endpoint)
            | State::Sent(endpoint)
            | State::Resuming(endpoint)
            | State::ResumeSent(endpoint) => Some(endpoint),
            State::New | State::Queued | State::AwaitingRetry(_) | State::Finished(_) => None,
        }
    }

    /// The answer belongs to another request or has a gap, so its connection is closed.
    fn handle_mismatched_answer(
        &mut self,
        now: Instant,
        attempt: Attempt,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.ignored.mismatched_answers += 1;
        let mut actions = vec![Action::Cancel { attempt, endpoint: self.current_endpoint() }];
        actions.extend(self.handle_connection_loss(now, attempt, Reason::Crossed, budget));
        actions
    }

    /// The connection is lost, but the endpoint may still be alive: resumes the answer if possible.
    fn handle_connection_loss(
        &mut self,
        now: Instant,
        attempt: Attempt,
        reason: Reason,
        budget: &mut Budget,
    ) -> Vec<Action> {
        match self.state_if_current(attempt) {
            Some(State::Assigned(_) | State::Resuming(_)) => {
                self.connect_failed(now, attempt, budget)
            }
            Some(State::Sent(endpoint) | State::ResumeSent(endpoint)) => {
                if self.options.resumable
                    && self.answer_started
                    && self.resumes < self.options.max_resumes
                {
                    self.resumes += 1;
                    return vec![self.start_resumption(endpoint)];
                }
                self.handle_lost_run(now, endpoint, reason, budget)
            }
            _ => self.count_stale_event(),
        }
    }

    /// The rest of the answer of the run at `endpoint` cannot be received: retries if that is safe.
    fn handle_lost_run(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        reason: Reason,
        budget: &mut Budget,
    ) -> Vec<Action> {
        self.last_failure = Some(reason);
        self.exclude_endpoint(endpoint);
        if self.options.idempotent && self.delivered == 0 {
            self.schedule_retry(now, reason, budget)
        } else {
            self.finish_with_reason(reason)
        }
    }

    fn exclude_endpoint(&mut self, endpoint: Endpoint) {
        if !self.failed_endpoints.contains(&endpoint) {
            self.failed_endpoints.push(endpoint);
        }
    }

    fn schedule_retry(&mut self, now: Instant, reason: Reason, budget: &mut Budget) -> Vec<Action> {
        assert!(
            self.options.idempotent || self.possible_runs == 0,
            "retry of a request that is not idempotent and may have run"
        );
        assert!(self.delivered == 0, "retry of a request whose answer was partly delivered");
        let after = self.options.backoff.delay(self.dispatches - 1, &mut self.random);
        let past_deadline = now + after >= self.options.deadline;
        if past_deadline
            || self.dispatches >= self.options.max_dispatches
            || !budget.try_take_retry(reason)
        {
            return self.finish_with_reason(reason);
        }
        self.reset_for_next_run();
        // From now on, events of the failed attempt are ignored.
        self.attempt += 1;
        self.state = State::AwaitingRetry(now + after);
        vec![Action::Retry { after, reason }]
    }

    fn reset_for_next_run(&mut self) {
        self.cost_of_earlier_runs += self.cost_of_current_run;
        self.cost_of_current_run = Units(0);
        self.answer_started = false;
        self.path_silent = false;
        self.resumes = 0;
    }

    fn queue_dispatch(&mut self) -> Action {
        assert!(
            self.options.idempotent || self.possible_runs == 0,
            "second dispatch of a request that is not idempotent and may have run"
        );
        self.attempt += 1;
        self.dispatches += 1;
        self.state = State::Queued;
        Action::Dispatch { attempt: Attempt(self.attempt), exclude: self.failed_endpoints.clone() }
    }

    fn start_resumption(&mut self, endpoint: Endpoint) -> Action {
        self.attempt += 1;
        self.state = State::Resuming(endpoint);
        Action::Resume { attempt: Attempt(self.attempt), endpoint, offset: self.delivered }
    }

    /// Cancels the current attempt and ends the request.
    fn cancel_and_finish(&mut self, reason: Reason) -> Vec<Action> {
        let attempt = Attempt(self.attempt);
        let cancel = match self.state {
            State::New | State::AwaitingRetry(_) | State::Finished(_) => None,
            _ => Some(Action::Cancel { attempt, endpoint: self.current_endpoint() }),
        };
        let mut actions: Vec<_> = cancel.into_iter().collect();
        actions.extend(self.finish_with_reason(reason));
        actions
    }

    /// Ends the request as unknown if an endpoint may have run it, and as not run otherwise.
    fn finish_with_reason(&mut self, reason: Reason) -> Vec<Action> {
        let outcome = if self.possible_runs > 0 {
            let reason = match self.last_failure {
                Some(failure) if !reason.may_have_run() && reason != Reason::CallerGone => failure,
                _ => reason,
            };
            Outcome::Unknown(reason)
        } else if reason.may_have_run() {
            Outcome::NotRun(Reason::ConnectFailed)
        } else {
            Outcome::NotRun(reason)
        };
        self.finish_with_outcome(outcome)
    }

    fn finish_with_outcome(&mut self, outcome: Outcome) -> Vec<Action> {
        assert!(self.outcome().is_none(), "a request has exactly one final outcome");
        if matches!(outcome, Outcome::NotRun(_)) {
            assert!(
                self.possible_runs == 0 && self.delivered == 0,
                "outcome is not run, but bytes were sent to an endpoint"
            );
        }
        self.state = State::Finished(outcome);
        vec![
            Action::Charge(self.cost_of_earlier_runs + self.cost_of_current_run),
            Action::Finish(outcome),
        ]
    }
}
