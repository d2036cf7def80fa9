//! Acquires and keeps the lease of a pool.
//!
//! The lease is a key that exists at most once and vanishes with the store's lease attached to it. The holder acts
//! only during the first two thirds of the lease time, counted on its own clock from before the request that last
//! extended the lease was sent. Clock rates may differ by 5%, so it stops acting well before anybody else can acquire.
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
//!     actions = holder.stored(now, call, Ok(answer));
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
    /// The own node; with the incarnation it makes tokens unique.
    pub node: Node,
    /// The own incarnation.
    pub incarnation: u64,
    /// Time after which the store drops a lease that is not extended.
    pub lease_time: Duration,
    /// Time after which a store call without an answer counts as lost.
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
    /// Make a store lease. Answered by [`Answer::Granted`].
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
        /// The lease that it vanishes with.
        lease: i64,
    },
    /// Extend a lease. Answered by [`Answer::Extended`] or [`Answer::Lapsed`].
    KeepAlive {
        /// The lease.
        lease: i64,
    },
    /// Drop a lease and its keys. The answer does not matter.
    Revoke {
        /// The lease.
        lease: i64,
    },
}

/// A key's value.
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
    /// What the key holds.
    Value(Option<Entry>),
    /// A lease was made.
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
    /// The lease was extended.
    Extended,
    /// The lease does not exist any more.
    Lapsed,
}

/// A call failed, or its answer was lost; whether it took effect is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("store call has no answer; it is settled by reading back")]
pub struct Unanswered;

/// Why a lease is no longer held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was not extended in time.
    Expired,
    /// The store has dropped it.
    Lapsed,
    /// The key holds something else.
    Replaced,
    /// An engine knows a later holder.
    Superseded,
    /// The role went to another router.
    Resigned,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the store and pass the answer to [`Holder::stored`].
    Store {
        /// To be passed with the answer.
        call: u64,
        /// The call.
        operation: Operation,
    },
    /// The lease is held.
    Acquired {
        /// The fencing number.
        fencing: u64,
    },
    /// The lease is no longer held.
    Lost {
        /// Why.
        reason: Reason,
    },
}

/// The time in which the holder may act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The number that orders carry: the revision of the acquisition.
    pub fencing: u64,
    /// When the lease was acquired.
    pub since: Instant,
    /// When the holder must stop acting unless the lease is extended.
    pub until: Instant,
    /// The lease time.
    pub lease_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    id: i64,
    fencing: u64,
    since: Instant,
    /// When the request that last extended it was sent.
    extended: Instant,
}

/// A store lease to which the key is not known to be attached yet.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    lease: i64,
    /// When the lease was requested.
    requested: Instant,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// See whether the key is free.
    Look,
    /// Get a store lease.
    Grant,
    /// Create the key.
    Create(Attempt),
    /// Read back whether it was created.
    Settle(Attempt),
    /// Extend the lease.
    Extend,
    /// See whether the key is still the own one. The extension was sent at the given time.
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
    /// The step that follows at `next`.
    step: Step,
    next: Instant,
    backoff: Backoff,
    calls: u64,
    attempts: u64,
    rng: SmallRng,
}

impl Holder {
    /// Makes a holder that is not a candidate yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            key: format!("lease/orders/{}", options.pool.0),
            candidate: false,
            lease: None,
            pending: None,
            step: Step::Look,
            next: Instant::ZERO,
            backoff: Backoff::default(),
            calls: 0,
            attempts: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            options,
        }
    }

    /// The time in which orders may be sent; `None` if the lease is not held or may be about to lapse. To be asked
    /// right before each order.
    #[must_use]
    pub fn tenure(&self, now: Instant) -> Option<Tenure> {
        let lease = self.lease?;
        let until = self.stop_at(lease.extended);
        (now < until).then_some(Tenure {
            fencing: lease.fencing,
            since: lease.since,
            until,
            lease_time: self.options.lease_time,
        })
    }

    /// Tells whether this router has the role of the holder by rendezvous order. A holder that loses the role gives
    /// the lease back.
    pub fn set_candidate(&mut self, now: Instant, candidate: bool) -> Vec<Action> {
        self.candidate = candidate;
        if !candidate && self.lease.is_some() {
            return self.lose(now, Reason::Resigned);
        }
        self.tick(now)
    }

    /// An engine has refused an order because it knows a later holder.
    pub fn superseded(&mut self, now: Instant) -> Vec<Action> {
        self.lose(now, Reason::Superseded)
    }

    /// Advances timers. To be called at least every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if let Some(lease) = self.lease
            && now >= self.stop_at(lease.extended)
        {
            return self.lose(now, Reason::Expired);
        }
        match self.pending {
            Some(pending) if now - pending.sent >= self.options.call_timeout => {
                self.stored(now, pending.call, Err(Unanswered))
            }
            None if now >= self.next && (self.lease.is_some() || self.candidate) => {
                vec![self.call(now, self.step)]
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// The store has answered, or will not answer. Answers that come after the time-out are ignored.
    pub fn stored(
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
                self.answered(now, pending, answer)
            }
            Err(Unanswered) => self.unanswered(now, pending.step),
        }
    }

    fn answered(&mut self, now: Instant, pending: Pending, answer: Answer) -> Vec<Action> {
        match (pending.step, answer) {
            (Step::Look, Answer::Value(None)) => vec![self.call(now, Step::Grant)],
            (Step::Grant, Answer::Granted { lease }) => {
                self.attempts += 1;
                vec![self.call(now, Step::Create(Attempt { lease, requested: pending.sent }))]
            }
            (Step::Create(attempt), Answer::Created { revision }) => {
                self.acquire(now, attempt, revision)
            }
            // An earlier request of this attempt may have created it.
            (Step::Create(attempt), Answer::Exists) => {
                vec![self.call(now, Step::Settle(attempt))]
            }
            (Step::Settle(attempt), Answer::Value(Some(entry))) if entry.token == self.token() => {
                self.acquire(now, attempt, entry.revision)
            }
            (Step::Settle(attempt), Answer::Value(None)) if self.usable(now, attempt) => {
                vec![self.call(now, Step::Create(attempt))]
            }
            (Step::Create(attempt) | Step::Settle(attempt), _) => self.abandon(now, attempt),
            (Step::Extend, Answer::Extended) => vec![self.call(now, Step::Verify(pending.sent))],
            (Step::Extend, _) => self.lose(now, Reason::Lapsed),
            (Step::Verify(sent), Answer::Value(Some(entry))) if self.is_own(&entry) => {
                self.extend(now, sent);
                Vec::new()
            }
            (Step::Verify(_), _) => self.lose(now, Reason::Replaced),
            (Step::Look | Step::Grant, _) => self.wait(now),
        }
    }

    /// A creation without an answer is read back; everything else is repeated.
    fn unanswered(&mut self, now: Instant, step: Step) -> Vec<Action> {
        self.next = now + self.backoff.next(&mut self.rng);
        self.step = match step {
            Step::Look | Step::Grant => Step::Look,
            Step::Create(attempt) | Step::Settle(attempt) => {
                if !self.usable(now, attempt) {
                    return self.abandon(now, attempt);
                }
                Step::Settle(attempt)
            }
            Step::Extend | Step::Verify(_) => Step::Extend,
        };
        Vec::new()
    }

    fn acquire(&mut self, now: Instant, attempt: Attempt, fencing: u64) -> Vec<Action> {
        if !self.candidate || !self.usable(now, attempt) {
            return self.abandon(now, attempt);
        }
        let extended = attempt.requested;
        self.lease = Some(Lease { id: attempt.lease, fencing, since: now, extended });
        self.step = Step::Extend;
        self.next = extended + self.extend_interval();
        vec![Action::Acquired { fencing }]
    }

    fn extend(&mut self, now: Instant, sent: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.extended = lease.extended.max(sent);
        }
        self.step = Step::Extend;
        self.next = now + self.extend_interval();
    }

    fn lose(&mut self, now: Instant, reason: Reason) -> Vec<Action> {
        let Some(lease) = self.lease.take() else {
            return Vec::new();
        };
        self.pending = None;
        self.step = Step::Look;
        self.next = now + self.backoff.next(&mut self.rng);
        let revoke = self.fire(Operation::Revoke { lease: lease.id });
        vec![Action::Lost { reason }, revoke]
    }

    /// Gives up an attempt whose lease is too old or whose key belongs to somebody else.
    fn abandon(&mut self, now: Instant, attempt: Attempt) -> Vec<Action> {
        let revoke = self.fire(Operation::Revoke { lease: attempt.lease });
        let mut actions = self.wait(now);
        actions.push(revoke);
        actions
    }

    /// Looks again when the present holder may be gone.
    fn wait(&mut self, now: Instant) -> Vec<Action> {
        self.step = Step::Look;
        let spread = self.rng.random_range(0.5..1.0);
        self.next = now + (self.options.lease_time / 3).mul_f64(spread);
        Vec::new()
    }

    fn call(&mut self, now: Instant, step: Step) -> Action {
        let key = self.key.clone();
        let operation = match step {
            Step::Look | Step::Settle(_) | Step::Verify(_) => Operation::Read { key },
            Step::Grant => Operation::Grant { lease_time: self.options.lease_time },
            Step::Create(attempt) => {
                Operation::Create { key, token: self.token(), lease: attempt.lease }
            }
            Step::Extend => Operation::KeepAlive { lease: self.lease.map_or(0, |lease| lease.id) },
        };
        let action = self.fire(operation);
        self.pending = Some(Pending { call: self.calls, sent: now, step });
        action
    }

    const fn fire(&mut self, operation: Operation) -> Action {
        self.calls += 1;
        Action::Store { call: self.calls, operation }
    }

    /// Unique to the attempt: the incarnation tells processes of a node apart.
    fn token(&self) -> String {
        format!("{}-{}-{}", self.options.node.0, self.options.incarnation, self.attempts)
    }

    fn is_own(&self, entry: &Entry) -> bool {
        let fencing = self.lease.map(|lease| lease.fencing);
        entry.token == self.token() && Some(entry.revision) == fencing
    }

    fn usable(&self, now: Instant, attempt: Attempt) -> bool {
        now < self.stop_at(attempt.requested)
    }

    /// A third of the lease time before the lease can have lapsed.
    fn stop_at(&self, extended: Instant) -> Instant {
        extended + self.options.lease_time * 2 / 3
    }

    fn extend_interval(&self) -> Duration {
        self.options.lease_time / 6
    }
}
