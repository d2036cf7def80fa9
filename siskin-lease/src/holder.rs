//! Acquires and renews the lease of a pool.
//!
//! The lease is a key in the store, created only if it is absent and attached to a lease of the store: the store
//! deletes the key when that lease expires. The holder acts only during the first two thirds of the lease time, counted
//! on its own clock from the sending of the last successful renewal request. Clock rates may differ by 5%, so it stops
//! acting well before another router can acquire the lease.
//!
//! ```
//! use {
//!     siskin_lease::holder::{Action, Answer, Holder, Operation, Options},
//!     siskin_types::{id::{Node, Pool}, time::Instant},
//!     std::time::Duration,
//! };
//! let mut holder = Holder::new(Options::new(Pool(1), Node(2), 1_700_000_000_000_000));
//! let now = Instant::from_micros(5);
//! let mut actions = holder.set_candidate(now, true);
//! while let Some(Action::Store { call, operation }) = actions.pop() {
//!     let answer = match operation {
//!         Operation::Read { .. } => Answer::Value(None),
//!         Operation::Grant { .. } => Answer::Granted { lease: 77 },
//!         Operation::Create { .. } => Answer::Created { revision: 900 },
//!         other => unreachable!("{other:?}"),
//!     };
//!     actions = holder.handle_store_answer(now, call, Ok(answer));
//! }
//! assert_eq!(holder.tenure(now).unwrap().fencing, 900);
//! assert!(holder.tenure(now + Duration::from_secs(10)).is_none(), "not renewed for two thirds of the lease time");
//! ```

use {
    crate::budget::Backoff,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_types::{
        id::{Node, Pool},
        time::Instant,
    },
    std::time::Duration,
};

/// Options of a holder.
#[derive(Clone, Debug)]
pub struct Options {
    /// The pool whose orders the lease covers.
    pub pool: Pool,
    /// The own node; node and incarnation make tokens unique.
    pub node: Node,
    /// The own incarnation.
    pub incarnation: u64,
    /// Time after which the store expires a lease that is not renewed.
    pub lease_time: Duration,
    /// Time after which a store call without an answer counts as failed.
    pub call_timeout: Duration,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Options {
    /// Options with a lease time of 15 s and calls that time out after 2 s.
    #[must_use]
    pub fn new(pool: Pool, node: Node, incarnation: u64) -> Self {
        Self {
            pool,
            node,
            incarnation,
            lease_time: Duration::from_secs(15),
            call_timeout: Duration::from_secs(2),
            seed: incarnation ^ (u64::from(node.0) << 32) ^ u64::from(pool.0),
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read a key. Answered by [`Answer::Value`].
    Read {
        /// The key.
        key: String,
    },
    /// Create a lease in the store. Answered by [`Answer::Granted`].
    Grant {
        /// Its time to live.
        lease_time: Duration,
    },
    /// Create a key if it is absent, attached to a lease. Answered by [`Answer::Created`], [`Answer::Exists`] or
    /// [`Answer::Lapsed`].
    Create {
        /// The key.
        key: String,
        /// Its value.
        token: String,
        /// The lease whose expiry deletes it.
        lease: i64,
    },
    /// Renew a lease. Answered by [`Answer::Renewed`] or [`Answer::Lapsed`].
    KeepAlive {
        /// The lease.
        lease: i64,
    },
    /// Revoke a lease, which deletes its keys. The answer does not matter.
    Revoke {
        /// The lease.
        lease: i64,
    },
}

/// A key's value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub token: String,
    /// Revision at which it was written.
    pub revision: u64,
}

/// The store's answer to an [`Operation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value of the key; `None` if it does not exist.
    Value(Option<Entry>),
    /// A lease was created.
    Granted {
        /// Its identifier.
        lease: i64,
    },
    /// The key was created.
    Created {
        /// The revision of the creation.
        revision: u64,
    },
    /// The key exists already.
    Exists,
    /// The lease was renewed.
    Renewed,
    /// The lease has expired or was revoked.
    Lapsed,
}

/// A call failed or its answer was lost; it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("store call got no answer and may have taken effect; the key is read back")]
pub struct Unanswered;

/// Why a lease is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was not renewed in time.
    Expired,
    /// The store no longer has it.
    Lapsed,
    /// The key is missing or was written by another acquisition.
    Replaced,
    /// An engine refused an order because it has seen a higher fencing number.
    Superseded,
    /// Another router has become the owner of the role.
    Resigned,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the store and pass the answer to [`Holder::handle_store_answer`].
    Store {
        /// Number of the call, to be passed with the answer.
        call: u64,
        /// The call.
        operation: Operation,
    },
    /// The lease has been acquired.
    Acquired {
        /// The fencing number.
        fencing: u64,
    },
    /// The lease is no longer held.
    Lost {
        /// The cause.
        reason: Reason,
    },
}

/// The period in which the holder may act, and the fencing number of its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The number that orders carry: the revision of the acquisition.
    pub fencing: u64,
    /// When the lease was acquired.
    pub since: Instant,
    /// When the holder must stop acting unless the lease is renewed.
    pub until: Instant,
    /// The lease time.
    pub lease_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    fencing: u64,
    since: Instant,
    /// When the last successful renewal request, or the request for the lease, was sent.
    renewed: Instant,
}

/// An acquisition under way: the store lease exists, but the key is not known to be created yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    lease: i64,
    /// When the lease was requested.
    requested: Instant,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// Read the key to see whether another router holds the lease.
    Check,
    /// Request a lease of the store.
    Grant,
    /// Create the key.
    Create(Attempt),
    /// Read the key back to see whether this attempt created it.
    ReadBack(Attempt),
    /// Renew the lease.
    Renew,
    /// Read the key to see whether it is still the own one. The renewal was sent at the given time.
    Verify(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    call: u64,
    sent: Instant,
    step: Step,
}

/// State machine of one candidate for one lease.
#[derive(Debug)]
pub struct Holder {
    options: Options,
    key: String,
    candidate: bool,
    lease: Option<Lease>,
    pending: Option<Pending>,
    /// The step that starts at `next_at`.
    next_step: Step,
    next_at: Instant,
    backoff: Backoff,
    /// Number of the last store call.
    last_call: u64,
    /// Acquisitions attempted so far.
    attempts: u64,
    rng: SmallRng,
}

impl Holder {
    /// Creates a holder that is not a candidate yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            key: format!("lease/orders/{}", options.pool.0),
            candidate: false,
            lease: None,
            pending: None,
            next_step: Step::Check,
            next_at: Instant::ZERO,
            backoff: Backoff::default(),
            last_call: 0,
            attempts: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        }
    }

    /// The period in which orders may be sent; `None` if the lease is not held or has not been renewed in time. To be
    /// checked right before each order is sent.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        let lease = self.lease?;
        let until = self.acting_deadline(lease.renewed);
        (now < until).then_some(Tenure {
            fencing: lease.fencing,
            since: lease.since,
            until,
            lease_time: self.options.lease_time,
        })
    }

    /// Sets whether this router owns the role of the holder by rendezvous hashing. A holder that no longer owns the
    /// role revokes the lease.
    pub fn set_candidate(&mut self, now: Instant, candidate: bool) -> Vec<Action> {
        self.candidate = candidate;
        if !candidate && self.lease.is_some() {
            return self.give_up_lease(now, Reason::Resigned);
        }
        self.tick(now)
    }

    /// Gives up the lease because an engine refused an order: it has seen a higher fencing number.
    pub fn handle_superseded(&mut self, now: Instant) -> Vec<Action> {
        self.give_up_lease(now, Reason::Superseded)
    }

    /// Advances timers. To be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if let Some(lease) = self.lease
            && now >= self.acting_deadline(lease.renewed)
        {
            return self.give_up_lease(now, Reason::Expired);
        }
        match self.pending {
            Some(pending) if now - pending.sent >= self.options.call_timeout => {
                self.handle_store_answer(now, pending.call, Err(Unanswered))
            }
            None if now >= self.next_at && (self.lease.is_some() || self.candidate) => {
                vec![self.start_step(now, self.next_step)]
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Handles the store's answer to a call, or its failure. Answers that come after the time-out are ignored.
    pub fn handle_store_answer(
        &mut self,
        now: Instant,
        call: u64,
        answer: Result<Answer, Unanswered>,
    ) -> Vec<Action> {
        let Some(pending) = self.pending.take_if(|pending| pending.call == call) else {
            return Vec::new();
        };
        match answer {
            Ok(answer) => {
                self.backoff.reset();
                self.handle_answer(now, pending, answer)
            }
            Err(Unanswered) => self.handle_failure(now, pending.step),
        }
    }

    fn handle_answer(&mut self, now: Instant, pending: Pending, answer: Answer) -> Vec<Action> {
        match (pending.step, answer) {
            (Step::Check, Answer::Value(None)) => vec![self.start_step(now, Step::Grant)],
            (Step::Grant, Answer::Granted { lease }) => {
                self.attempts += 1;
                vec![self.start_step(now, Step::Create(Attempt { lease, requested: pending.sent }))]
            }
            (Step::Create(attempt), Answer::Created { revision }) => {
                self.acquire_lease(now, attempt, revision)
            }
            // An earlier request of this attempt, whose answer was lost, may have created it.
            (Step::Create(attempt), Answer::Exists) => {
                vec![self.start_step(now, Step::ReadBack(attempt))]
            }
            (Step::ReadBack(attempt), Answer::Value(Some(entry)))
                if entry.token == self.token() =>
            {
                self.acquire_lease(now, attempt, entry.revision)
            }
            (Step::ReadBack(attempt), Answer::Value(None)) if self.is_usable(now, attempt) => {
                vec![self.start_step(now, Step::Create(attempt))]
            }
            (Step::Create(attempt) | Step::ReadBack(attempt), _) => {
                self.abandon_attempt(now, attempt)
            }
            (Step::Renew, Answer::Renewed) => {
                vec![self.start_step(now, Step::Verify(pending.sent))]
            }
            (Step::Renew, _) => self.give_up_lease(now, Reason::Lapsed),
            (Step::Verify(sent), Answer::Value(Some(entry))) if self.is_own(&entry) => {
                self.record_renewal(now, sent);
                Vec::new()
            }
            (Step::Verify(_), _) => self.give_up_lease(now, Reason::Replaced),
            (Step::Check | Step::Grant, _) => self.schedule_check(now),
        }
    }

    /// A creation without an answer is read back; all other calls are repeated.
    fn handle_failure(&mut self, now: Instant, step: Step) -> Vec<Action> {
        self.next_at = now + self.backoff.next_delay(&mut self.rng);
        self.next_step = match step {
            Step::Check | Step::Grant => Step::Check,
            Step::Create(attempt) | Step::ReadBack(attempt) => {
                if !self.is_usable(now, attempt) {
                    return self.abandon_attempt(now, attempt);
                }
                Step::ReadBack(attempt)
            }
            Step::Renew | Step::Verify(_) => Step::Renew,
        };
        Vec::new()
    }

    fn acquire_lease(&mut self, now: Instant, attempt: Attempt, fencing: u64) -> Vec<Action> {
        if !self.candidate || !self.is_usable(now, attempt) {
            return self.abandon_attempt(now, attempt);
        }
        let renewed = attempt.requested;
        self.lease = Some(Lease { id: attempt.lease, fencing, since: now, renewed });
        self.next_step = Step::Renew;
        self.next_at = renewed + self.renewal_interval();
        vec![Action::Acquired { fencing }]
    }

    fn record_renewal(&mut self, now: Instant, sent: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.renewed = lease.renewed.max(sent);
        }
        self.next_step = Step::Renew;
        self.next_at = now + self.renewal_interval();
    }

    fn give_up_lease(&mut self, now: Instant, reason: Reason) -> Vec<Action> {
        let Some(lease) = self.lease.take() else {
            return Vec::new();
        };
        self.pending = None;
        self.next_step = Step::Check;
        self.next_at = now + self.backoff.next_delay(&mut self.rng);
        let revoke = self.issue_call(Operation::Revoke { lease: lease.id });
        vec![Action::Lost { reason }, revoke]
    }

    /// Gives up an attempt whose lease is too old or whose key belongs to another router.
    fn abandon_attempt(&mut self, now: Instant, attempt: Attempt) -> Vec<Action> {
        let revoke = self.issue_call(Operation::Revoke { lease: attempt.lease });
        let mut actions = self.schedule_check(now);
        actions.push(revoke);
        actions
    }

    /// Schedules the next check of the key, in case its holder has stopped renewing the lease.
    fn schedule_check(&mut self, now: Instant) -> Vec<Action> {
        self.next_step = Step::Check;
        let jitter = self.rng.random_range(0.5..1.0);
        self.next_at = now + (self.options.lease_time / 3).mul_f64(jitter);
        Vec::new()
    }

    fn start_step(&mut self, now: Instant, step: Step) -> Action {
        let key = self.key.clone();
        let operation = match step {
            Step::Check | Step::ReadBack(_) | Step::Verify(_) => Operation::Read { key },
            Step::Grant => Operation::Grant { lease_time: self.options.lease_time },
            Step::Create(attempt) => {
                Operation::Create { key, token: self.token(), lease: attempt.lease }
            }
            Step::Renew => Operation::KeepAlive { lease: self.lease.map_or(0, |lease| lease.id) },
        };
        let action = self.issue_call(operation);
        self.pending = Some(Pending { call: self.last_call, sent: now, step });
        action
    }

    const fn issue_call(&mut self, operation: Operation) -> Action {
        self.last_call += 1;
        Action::Store { call: self.last_call, operation }
    }

    /// The value of the key, unique to the attempt: the incarnation distinguishes successive processes of a node.
    fn token(&self) -> String {
        format!("{}-{}-{}", self.options.node.0, self.options.incarnation, self.attempts)
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let fencing = self.lease.map(|lease| lease.fencing);
        entry.token == self.token() && Some(entry.revision) == fencing
    }

    fn is_usable(&self, now: Instant, attempt: Attempt) -> bool {
        now < self.acting_deadline(attempt.requested)
    }

    /// When the holder must stop acting: a third of the lease time before the lease can have expired.
    fn acting_deadline(&self, renewed: Instant) -> Instant {
        renewed + self.options.lease_time * 2 / 3
    }

    fn renewal_interval(&self) -> Duration {
        self.options.lease_time / 6
    }
}
