//! Submission of one patch.
//!
//! A patch against version N is submitted by creating the key of entry N + 1 if it is absent, so only one
//! of several concurrent patches succeeds. Before that, the log is read from entry N on, to check that N
//! is the newest version and that the store has not lost entries. After a lost answer, the log is read
//! again and the identifier of the patch is compared. The patch is accepted once more than half of the
//! known members hold the entry.

use {
    crate::{
        document,
        entry::{self, Entry},
        follower::{
            self, Divergence, Follower, View,
            task::{Reading, log_request},
        },
        patch::{self, Patch},
        snapshot::{HEAD_KEY, Head},
        store::{Answer, Call, Request},
    },
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// Timeout of the whole submission.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Initial and maximum backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Number of reads after which a version that other routers know but the store lacks counts as lost by
/// the store.
const MAX_READS_BEHIND: u32 = 4;

/// Settings of a submission.
#[derive(Clone, Debug)]
pub struct Options {
    /// The patch.
    pub patch: Patch,
    /// Milliseconds since the Unix epoch, shown in the history.
    pub time_ms: u64,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to the store and pass the answer to [`Submission::receive_answer`].
    Store(Call),
    /// Carry out an action of the follower.
    Follower(follower::Action),
    /// The submission has ended.
    Finish(Result<Accepted, Refusal>),
}

/// The patch was accepted into the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The resulting version.
    pub version: u64,
}

/// Why a patch was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The patch violates a validation rule.
    #[error(transparent)]
    Invalid(#[from] document::Error),
    /// The patch was made against another version.
    #[error(
        "the patch is not made against version {current}; look at the changes and make it anew"
    )]
    Stale {
        /// The version in force.
        current: u64,
        /// The entries after the patch's base version, oldest first.
        changes_since: Vec<Entry>,
        /// Whether entries are missing because they are no longer kept.
        truncated: bool,
    },
    /// The store does not answer.
    #[error("the store does not answer; try again later")]
    StoreUnavailable,
    /// The store or this router is missing entries.
    #[error("the store or this router is catching up with the history; try again in a few seconds")]
    CatchingUp,
    /// At most half of the known members are reachable.
    #[error(
        "only {} of {} known members are visible and patches need more than half; use a router that \
         sees more members",
        .0.visible, .0.known
    )]
    Minority(View),
    /// Histories have diverged.
    #[error("{}", match .0 {
        Some(divergence) => divergence.to_string(),
        None => "another router reports that histories have diverged; look at its status".to_owned(),
    })]
    Diverged(Option<Divergence>),
    /// The previous patch is not yet decided.
    #[error(
        "version {0} is not yet confirmed by more than half of the known members, so this patch was \
         not applied; try again in a few seconds"
    )]
    Unconfirmed(u64),
    /// The patch is stored but not yet decided, and may come into force later.
    #[error(
        "the patch is stored as version {version}, but not yet confirmed by more than half of the \
         known members ({} of {} are visible), so it is not known yet whether and when it comes into \
         force; send it again with the same identifier", .view.visible, .view.known
    )]
    Pending {
        /// The version that the patch would create.
        version: u64,
        /// Numbers of reachable and of known members.
        view: View,
    },
    /// It is unknown whether the patch was accepted.
    #[error(
        "the answer of the store was lost, so the patch may be accepted or not; send it again with \
         the same identifier"
    )]
    Unknown,
}

#[derive(Debug)]
enum Step {
    Reading {
        from: u64,
    },
    /// Reads the snapshot head, to check whether the snapshot contains an entry that is missing from the
    /// log.
    ReadingHead {
        missing: u64,
    },
    Creating {
        version: u64,
        bytes: Arc<[u8]>,
    },
    Waiting {
        until: Instant,
    },
    /// The entry is in the log and waits to be decided.
    Confirming {
        version: u64,
    },
    Done,
}

/// State machine that submits one patch. The caller keeps it until [`Action::Finish`].
///
/// ```
/// use {
///     siskin_config::{
///         follower::{Follower, Options, View},
///         patch::Patch,
///         submit::{self, Action, Submission},
///     },
///     siskin_types::time::Instant,
/// };
/// let mut follower = Follower::new(Options { seed: 1, ..Options::default() });
/// let patch = Patch {
///     id: "a1".to_owned(),
///     base: 0,
///     author: "ann".to_owned(),
///     changes: serde_json::json!({ "fleet": { "retry_budget_percent": 5 } }),
/// };
/// let options = submit::Options { patch, time_ms: 0 };
/// let view = View { visible: 3, known: 3 };
/// let (_submission, actions) = Submission::start(Instant::ZERO, options, &mut follower, view);
/// assert!(matches!(actions.as_slice(), [Action::Store(_)]));
/// ```
#[derive(Debug)]
pub struct Submission {
    options: Options,
    started: Instant,
    sent: Instant,
    number: u64,
    failures: u32,
    reads_behind: u32,
    step: Step,
    /// Whether a call to create the entry has an unknown result: it may have taken effect or still do so.
    result_unknown: bool,
}

impl Submission {
    /// Starts a submission.
    pub fn start(
        now: Instant,
        options: Options,
        follower: &mut Follower,
        view: View,
    ) -> (Self, Vec<Action>) {
        let mut submission = Self {
            options,
            started: now,
            sent: now,
            number: 0,
            failures: 0,
            reads_behind: 0,
            step: Step::Done,
            result_unknown: false,
        };
        let actions = match submission.options.patch.check() {
            Err(error) => vec![submission.finish(Err(error.into()))],
            Ok(()) => submission.begin_reading(now, follower, view),
        };
        (submission, actions)
    }

    fn begin_reading(&mut self, now: Instant, follower: &Follower, view: View) -> Vec<Action> {
        if let Some(actions) = self.finish_repeated_patch(follower) {
            return actions;
        }
        match check_preconditions(now, follower, view) {
            Err(refusal) => vec![self.finish(Err(refusal))],
            Ok(()) => vec![self.read_log(now, follower)],
        }
    }

    /// Ends a submission whose patch identifier is in the history already: with the earlier result, or
    /// with an error if the changes differ.
    fn finish_repeated_patch(&mut self, follower: &Follower) -> Option<Vec<Action>> {
        match follower.history().find_repeated(&self.options.patch) {
            Ok(version) => Some(self.await_decision(follower, version?)),
            Err(reused) => {
                let remedy = format!("{reused} with other changes; use a new identifier");
                let id = &self.options.patch.id;
                let error = document::Error::new(document::Kind::Duplicate, "id", id, remedy);
                Some(vec![self.finish(Err(error.into()))])
            }
        }
    }

    /// Ends the submission if the entry is decided, or waits for the decision.
    fn await_decision(&mut self, follower: &Follower, version: u64) -> Vec<Action> {
        if version <= follower.decided() {
            return vec![self.finish(Ok(Accepted { version }))];
        }
        self.step = Step::Confirming { version };
        Vec::new()
    }

    /// Processes timers. Call it about every 100 ms.
    pub fn tick(&mut self, now: Instant, follower: &mut Follower, view: View) -> Vec<Action> {
        if let Step::Done = self.step {
            return Vec::new();
        }
        if let Step::Confirming { version } = self.step {
            let actions = self.await_decision(follower, version);
            if actions.is_empty() && now - self.started >= SUBMISSION_TIMEOUT {
                return vec![self.finish(Err(Refusal::Pending { version, view }))];
            }
            return actions;
        }
        if now - self.started >= SUBMISSION_TIMEOUT {
            let refusal = if follower.undecided() {
                Refusal::Unconfirmed(follower.newest())
            } else {
                Refusal::StoreUnavailable
            };
            return vec![self.finish_refused(refusal)];
        }
        match self.step {
            Step::Waiting { until } if now >= until => vec![self.read_log(now, follower)],
            Step::Reading { .. } | Step::ReadingHead { .. } | Step::Creating { .. }
                if now - self.sent >= CALL_TIMEOUT =>
            {
                self.receive_answer(now, follower, view, self.number, Answer::Unknown)
            }
            _ => Vec::new(),
        }
    }

    /// Processes the answer to a call.
    pub fn receive_answer(
        &mut self,
        now: Instant,
        follower: &mut Follower,
        view: View,
        number: u64,
        answer: Answer,
    ) -> Vec<Action> {
        if number != self.number {
            return Vec::new();
        }
        match (std::mem::replace(&mut self.step, Step::Done), answer) {
            (Step::Reading { from }, Answer::Range { pairs, .. }) => {
                let (reading, actions) =
                    follower.process_submission_read(now, self.sent, from, &pairs);
                let next = self.handle_log_read(now, follower, view, reading);
                actions.into_iter().map(Action::Follower).chain(next).collect()
            }
            (Step::ReadingHead { missing }, Answer::Range { pairs, .. }) => {
                let head = pairs.first().and_then(|pair| Head::decode(&pair.value).ok());
                if head.is_some_and(|head| head.version >= missing) {
                    return self.create_or_refuse(now, follower, view);
                }
                self.retry_missing_version(now)
            }
            (Step::Creating { version, bytes }, Answer::Created(true)) => {
                self.handle_entry_created(now, follower, version, &bytes)
            }
            (Step::Creating { .. }, Answer::Created(false)) => vec![self.read_log(now, follower)],
            (Step::Creating { .. }, _) => {
                self.result_unknown = true;
                self.back_off(now);
                Vec::new()
            }
            (Step::Reading { .. } | Step::ReadingHead { .. }, _) => {
                self.back_off(now);
                Vec::new()
            }
            (step @ (Step::Waiting { .. } | Step::Confirming { .. } | Step::Done), _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    fn start_call(&mut self, now: Instant, step: Step, request: Request) -> Action {
        self.number += 1;
        self.sent = now;
        self.step = step;
        Action::Store(Call { number: self.number, request })
    }

    fn read_log(&mut self, now: Instant, follower: &Follower) -> Action {
        let from = follower.first_version_to_read();
        self.start_call(now, Step::Reading { from }, log_request(from))
    }

    fn back_off(&mut self, now: Instant) {
        let backoff = MIN_BACKOFF.saturating_mul(1 << self.failures.min(8)).min(MAX_BACKOFF);
        self.failures += 1;
        self.step = Step::Waiting { until: now + backoff };
    }

    fn finish(&mut self, result: Result<Accepted, Refusal>) -> Action {
        self.step = Step::Done;
        Action::Finish(result)
    }

    /// Ends the submission with a refusal, or with [`Refusal::Unknown`] if the patch may have been accepted.
    fn finish_refused(&mut self, refusal: Refusal) -> Action {
        let refusal = if self.result_unknown { Refusal::Unknown } else { refusal };
        self.finish(Err(refusal))
    }

    fn handle_log_read(
        &mut self,
        now: Instant,
        follower: &mut Follower,
        view: View,
        reading: Reading,
    ) -> Vec<Action> {
        match reading {
            Reading::Current => self.create_or_refuse(now, follower, view),
            Reading::More => vec![self.read_log(now, follower)],
            Reading::Missing(missing) => {
                let step = Step::ReadingHead { missing: missing.version };
                vec![self.start_call(now, step, Request::read(HEAD_KEY))]
            }
            Reading::Gap | Reading::Refused => {
                let diverged = |divergence: &Divergence| Refusal::Diverged(Some(*divergence));
                let refusal = follower.divergence().map_or(Refusal::CatchingUp, diverged);
                vec![self.finish_refused(refusal)]
            }
        }
    }

    /// Refuses the patch, waits or creates its entry, now that the newest version is known.
    fn create_or_refuse(&mut self, now: Instant, follower: &Follower, view: View) -> Vec<Action> {
        let current = follower.newest();
        if let Some(actions) = self.finish_repeated_patch(follower) {
            return actions;
        }
        if let Err(refusal) = check_preconditions(now, follower, view) {
            return vec![self.finish_refused(refusal)];
        }
        if follower.announced_version(now) > current {
            return self.retry_missing_version(now);
        }
        if follower.undecided() {
            self.back_off(now);
            return Vec::new();
        }
        let patch = &self.options.patch;
        if patch.base != current {
            // Final even after a create call with an unknown result: another patch has its key now.
            let (changes_since, truncated) = follower.history().entries_since(patch.base);
            let refusal = Refusal::Stale { current, changes_since, truncated };
            return vec![self.finish(Err(refusal))];
        }
        vec![match self.encode_entry(follower) {
            Ok(bytes) => self.create_entry(now, current + 1, bytes),
            Err(refusal) => self.finish_refused(refusal),
        }]
    }

    /// Retries after another router announced or sent a version that the read did not return. Either it
    /// was created after the read, or the store has lost it; further reads show which.
    fn retry_missing_version(&mut self, now: Instant) -> Vec<Action> {
        self.reads_behind += 1;
        if self.reads_behind >= MAX_READS_BEHIND {
            return vec![self.finish_refused(Refusal::CatchingUp)];
        }
        self.back_off(now);
        Vec::new()
    }

    fn encode_entry(&self, follower: &Follower) -> Result<Arc<[u8]>, Refusal> {
        let Options { patch, time_ms } = &self.options;
        let mut document = follower.newest_document().clone();
        patch::apply(&mut document, &patch.changes)?;
        document::validate(&document)?;
        let entry = Entry::new(patch, follower.newest() + 1, *time_ms, document.hash());
        entry.encode().map_err(|error| {
            let remedy = "split the change into smaller patches";
            let kind = document::Kind::OutOfRange;
            document::Error::new(kind, "changes", error, remedy).into()
        })
    }

    fn create_entry(&mut self, now: Instant, version: u64, bytes: Arc<[u8]>) -> Action {
        let request = Request::Create { key: entry::key(version), value: Arc::clone(&bytes) };
        self.start_call(now, Step::Creating { version, bytes }, request)
    }

    fn handle_entry_created(
        &mut self,
        now: Instant,
        follower: &mut Follower,
        version: u64,
        bytes: &Arc<[u8]>,
    ) -> Vec<Action> {
        let Ok(actions) = follower.receive_entry(now, version, bytes) else {
            // The follower cannot apply the entry, for example because it has moved to another history.
            self.result_unknown = true;
            self.back_off(now);
            return Vec::new();
        };
        let next = self.await_decision(follower, version);
        actions.into_iter().map(Action::Follower).chain(next).collect()
    }
}

/// Checks that patches can be accepted at present.
fn check_preconditions(now: Instant, follower: &Follower, view: View) -> Result<(), Refusal> {
    if follower.diverged(now) {
        return Err(Refusal::Diverged(follower.divergence().copied()));
    }
    if !view.has_majority() {
        return Err(Refusal::Minority(view));
    }
    Ok(())
}
