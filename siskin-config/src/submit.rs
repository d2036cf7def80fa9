//! Submission of one patch.
//!
//! A patch against version N is accepted by creating the key of entry N + 1 if it is absent, so of two
//! operators who race, one wins. Before that, the log is read from entry N on: it shows whether N is
//! the newest version and whether the store has lost entries. A lost answer is settled by reading the
//! key back and comparing the identifier of the patch. The patch counts as accepted once more than
//! half of the known members hold the entry.

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

/// Time for the whole submission.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Time after which a call without an answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// First and longest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Reads of the store after which a version that only other routers know counts as lost by the store.
const MAX_READS_BEHIND: u32 = 4;

/// Settings of a submission.
#[derive(Clone, Debug)]
pub struct Options {
    /// The patch.
    pub patch: Patch,
    /// Milliseconds since 1970, for readers of the history.
    pub time_ms: u64,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Carry out a call and hand the answer to [`Submission::stored`].
    Store(Call),
    /// Carry out an action of the follower.
    Follower(follower::Action),
    /// The submission has ended.
    Finish(Result<Accepted, Refusal>),
}

/// The patch is in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The version that it led to.
    pub version: u64,
}

/// Why a patch was not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The patch breaks a rule.
    #[error(transparent)]
    Invalid(#[from] document::Error),
    /// The patch was made against another version.
    #[error(
        "the patch is not made against version {current}; look at the changes and make it anew"
    )]
    Stale {
        /// The version in force.
        current: u64,
        /// The entries since the base of the patch, oldest first.
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
    /// Not more than half of the known members are visible.
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
    /// The patch before it is not confirmed yet.
    #[error(
        "version {0} is not yet confirmed by more than half of the known members, so this patch was \
         not applied; try again in a few seconds"
    )]
    Unconfirmed(u64),
    /// The patch is stored and may come into force later.
    #[error(
        "the patch is stored as version {version}, but not yet confirmed by more than half of the \
         known members ({} of {} are visible), so it is not known yet whether and when it comes into \
         force; send it again with the same identifier", .view.visible, .view.known
    )]
    Pending {
        /// The version that it leads to.
        version: u64,
        /// The members that this router sees.
        view: View,
    },
    /// The patch may or may not be accepted.
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
    /// Reads whether the snapshot contains an entry that is missing from the log.
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
    /// The entry is in the log. It counts once more than half of the known members hold it.
    Confirming {
        version: u64,
    },
    Done,
}

/// The submission of one patch. The caller keeps it until [`Action::Finish`].
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
    /// Whether a call to create the entry may have taken effect, or may still.
    doubtful: bool,
}

impl Submission {
    /// Begins a submission.
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
            doubtful: false,
        };
        let actions = match submission.options.patch.check() {
            Err(error) => vec![submission.finish(Err(error.into()))],
            Ok(()) => submission.begin(now, follower, view),
        };
        (submission, actions)
    }

    fn begin(&mut self, now: Instant, follower: &Follower, view: View) -> Vec<Action> {
        if let Some(actions) = self.repeated(follower) {
            return actions;
        }
        match permitted(now, follower, view) {
            Err(refusal) => vec![self.finish(Err(refusal))],
            Ok(()) => vec![self.read(now, follower)],
        }
    }

    /// A patch whose identifier is in the history has its first result, unless its changes differ.
    fn repeated(&mut self, follower: &Follower) -> Option<Vec<Action>> {
        match follower.history().repeated(&self.options.patch) {
            Ok(version) => Some(self.confirm(follower, version?)),
            Err(reused) => {
                let remedy = format!("{reused} with other changes; use a new identifier");
                let id = &self.options.patch.id;
                let error = document::Error::new(document::Kind::Duplicate, "id", id, remedy);
                Some(vec![self.finish(Err(error.into()))])
            }
        }
    }

    /// Ends once the entry is decided.
    fn confirm(&mut self, follower: &Follower, version: u64) -> Vec<Action> {
        if version <= follower.decided() {
            return vec![self.finish(Ok(Accepted { version }))];
        }
        self.step = Step::Confirming { version };
        Vec::new()
    }

    /// Timers. Call it about every 100 ms.
    pub fn tick(&mut self, now: Instant, follower: &mut Follower, view: View) -> Vec<Action> {
        if let Step::Done = self.step {
            return Vec::new();
        }
        if let Step::Confirming { version } = self.step {
            let actions = self.confirm(follower, version);
            if actions.is_empty() && now - self.started >= TIME_LIMIT {
                return vec![self.finish(Err(Refusal::Pending { version, view }))];
            }
            return actions;
        }
        if now - self.started >= TIME_LIMIT {
            let refusal = if follower.undecided() {
                Refusal::Unconfirmed(follower.newest())
            } else {
                Refusal::StoreUnavailable
            };
            return vec![self.give_up(refusal)];
        }
        match self.step {
            Step::Waiting { until } if now >= until => vec![self.read(now, follower)],
            Step::Reading { .. } | Step::ReadingHead { .. } | Step::Creating { .. }
                if now - self.sent >= CALL_TIMEOUT =>
            {
                self.stored(now, follower, view, self.number, Answer::Unknown)
            }
            _ => Vec::new(),
        }
    }

    /// Takes the answer to a call.
    pub fn stored(
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
                let next = self.was_read(now, follower, view, reading);
                actions.into_iter().map(Action::Follower).chain(next).collect()
            }
            (Step::ReadingHead { missing }, Answer::Range { pairs, .. }) => {
                let head = pairs.first().and_then(|pair| Head::decode(&pair.value).ok());
                if head.is_some_and(|head| head.version >= missing) {
                    return self.decide(now, follower, view);
                }
                self.behind(now)
            }
            (Step::Creating { version, bytes }, Answer::Created(true)) => {
                self.was_created(now, follower, version, &bytes)
            }
            (Step::Creating { .. }, Answer::Created(false)) => vec![self.read(now, follower)],
            (Step::Creating { .. }, _) => {
                self.doubtful = true;
                self.wait(now);
                Vec::new()
            }
            (Step::Reading { .. } | Step::ReadingHead { .. }, _) => {
                self.wait(now);
                Vec::new()
            }
            (step @ (Step::Waiting { .. } | Step::Confirming { .. } | Step::Done), _) => {
                self.step = step;
                Vec::new()
            }
        }
    }

    fn call(&mut self, now: Instant, step: Step, request: Request) -> Action {
        self.number += 1;
        self.sent = now;
        self.step = step;
        Action::Store(Call { number: self.number, request })
    }

    fn read(&mut self, now: Instant, follower: &Follower) -> Action {
        let from = follower.first_version_to_read();
        self.call(now, Step::Reading { from }, log_request(from))
    }

    fn wait(&mut self, now: Instant) {
        let pause = MIN_PAUSE.saturating_mul(1 << self.failures.min(8)).min(MAX_PAUSE);
        self.failures += 1;
        self.step = Step::Waiting { until: now + pause };
    }

    fn finish(&mut self, result: Result<Accepted, Refusal>) -> Action {
        self.step = Step::Done;
        Action::Finish(result)
    }

    /// Ends with a refusal, unless the patch may have been accepted.
    fn give_up(&mut self, refusal: Refusal) -> Action {
        let refusal = if self.doubtful { Refusal::Unknown } else { refusal };
        self.finish(Err(refusal))
    }

    fn was_read(
        &mut self,
        now: Instant,
        follower: &mut Follower,
        view: View,
        reading: Reading,
    ) -> Vec<Action> {
        match reading {
            Reading::Current => self.decide(now, follower, view),
            Reading::More => vec![self.read(now, follower)],
            Reading::Missing(missing) => {
                let step = Step::ReadingHead { missing: missing.version };
                vec![self.call(now, step, Request::read(HEAD_KEY))]
            }
            Reading::Gap | Reading::Refused => {
                let diverged = |divergence: &Divergence| Refusal::Diverged(Some(*divergence));
                let refusal = follower.divergence().map_or(Refusal::CatchingUp, diverged);
                vec![self.give_up(refusal)]
            }
        }
    }

    /// Decides with the newest version in force.
    fn decide(&mut self, now: Instant, follower: &Follower, view: View) -> Vec<Action> {
        let current = follower.newest();
        if let Some(actions) = self.repeated(follower) {
            return actions;
        }
        if let Err(refusal) = permitted(now, follower, view) {
            return vec![self.give_up(refusal)];
        }
        if follower.announced_version(now) > current {
            return self.behind(now);
        }
        if follower.undecided() {
            self.wait(now);
            return Vec::new();
        }
        let patch = &self.options.patch;
        if patch.base != current {
            // If a call to create the entry was doubtful, its key is taken by another patch now.
            let (changes_since, truncated) = follower.history().since(patch.base);
            let refusal = Refusal::Stale { current, changes_since, truncated };
            return vec![self.finish(Err(refusal))];
        }
        vec![match self.entry(follower) {
            Ok(bytes) => self.create(now, current + 1, bytes),
            Err(refusal) => self.give_up(refusal),
        }]
    }

    /// Another router announced or sent a version that this read of the store did not show. Either it
    /// was created after the read, or the store has lost it; a repeated read tells.
    fn behind(&mut self, now: Instant) -> Vec<Action> {
        self.reads_behind += 1;
        if self.reads_behind >= MAX_READS_BEHIND {
            return vec![self.give_up(Refusal::CatchingUp)];
        }
        self.wait(now);
        Vec::new()
    }

    fn entry(&self, follower: &Follower) -> Result<Arc<[u8]>, Refusal> {
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

    fn create(&mut self, now: Instant, version: u64, bytes: Arc<[u8]>) -> Action {
        let request = Request::Create { key: entry::key(version), value: Arc::clone(&bytes) };
        self.call(now, Step::Creating { version, bytes }, request)
    }

    fn was_created(
        &mut self,
        now: Instant,
        follower: &mut Follower,
        version: u64,
        bytes: &Arc<[u8]>,
    ) -> Vec<Action> {
        let Ok(actions) = follower.entry(now, version, bytes) else {
            // The follower has moved on to another history in the meantime.
            self.doubtful = true;
            self.wait(now);
            return Vec::new();
        };
        let next = self.confirm(follower, version);
        actions.into_iter().map(Action::Follower).chain(next).collect()
    }
}

/// Whether patches are accepted at all at the moment.
fn permitted(now: Instant, follower: &Follower, view: View) -> Result<(), Refusal> {
    if follower.diverged(now) {
        return Err(Refusal::Diverged(follower.divergence().copied()));
    }
    if !view.majority() {
        return Err(Refusal::Minority(view));
    }
    Ok(())
}
