//! Detects requests that crash endpoints and limits how many endpoints they crash.
//!
//! When an endpoint crashes, the requests in flight there become suspects. A suspect is dispatched only to an endpoint
//! that runs no other suspect. If the endpoint crashes during such a run, the suspect is refused for some time.
//!
//! **Bound.** Copies of a crashing request that are sent one after another crash at most 2 endpoints if each router
//! learns of the first crash before it dispatches the next copy, and at most 3 if one dispatch of a suspect happens
//! before its router learns of a crash; each further such dispatch adds at most one. Copies that are sent at the same
//! moment are limited by [`copies::Limiter`] to one endpoint for each router that has a copy, and one more. This
//! assumes that the scheduler never assigns two suspects to the same endpoint. After [`Detector::crashed`],
//! [`Action::Confirmed`] reports that the owner of the pool has sent the crash to all routers. If a router answers
//! the caller only then, the caller has no reason to resend before that.
//!
//! **Innocent requests.** A request that was in flight at a crash runs as the only suspect at its endpoint until it
//! completes or until [`Options::suspicion_ttl`] has passed. A second crash counts against it only if it had been
//! dispatched with [`Verdict::RunAlone`] and no other request in flight there was a suspect at that time, whether or
//! not the router of that request knew. Therefore a request is not refused for being in flight next to the crashing
//! request, even twice, nor for having copies at two endpoints that fail together. It waits for an endpoint without a
//! suspect: with `k` suspects and `n` endpoints at most `k / n`, rounded up, times the longest run, and never longer
//! than [`Options::suspicion_ttl`].

pub mod copies;
mod outbox;
mod table;

pub use siskin_wire::poison::{Crash, Fact, Fingerprint, InFlight, Message};

use {
    crate::timestamp::Timestamp,
    indexmap::IndexSet,
    outbox::{Outbox, TimedFact},
    siskin_types::{
        id::{Customer, Endpoint, Node, Pool},
        time::Instant,
    },
    std::time::Duration,
    table::{Clearance, Table},
};

/// Computes fingerprints of requests. All routers of a fleet use the same secret.
///
/// ```
/// use {siskin_outcome::poison::Hasher, siskin_types::id::Customer};
/// let hasher = Hasher::new(&[7; 32]);
/// let one = hasher.fingerprint(Customer(1), b"{}");
/// assert_ne!(one, hasher.fingerprint(Customer(2), b"{}"));
/// ```
#[derive(Clone, Debug)]
pub struct Hasher {
    key: [u8; 32],
}

/// Context for deriving the fingerprint key, so that it differs from other keys derived from the fleet's secret.
const FINGERPRINT_CONTEXT: &[u8] = b"siskinroute fingerprint 1";

impl Hasher {
    /// Creates a hasher from the fleet's secret.
    #[must_use]
    pub fn new(secret: &[u8; 32]) -> Self {
        Self { key: *blake3::keyed_hash(secret, FINGERPRINT_CONTEXT).as_bytes() }
    }

    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn fingerprint(&self, customer: Customer, content: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&customer.0.to_le_bytes());
        hasher.update(content);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(bytes)
    }
}

/// Settings of a [`Detector`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The pool whose suspects are tracked.
    pub pool: Pool,
    /// The router that the detector runs on.
    pub node: Node,
    /// How long a suspicion lasts after the crash that caused it, and a refusal after the second crash.
    pub suspicion_ttl: Duration,
    /// How long a refusal is provisional after the second crash, because another router may still report that
    /// another suspect was in flight there.
    pub provisional_refusal: Duration,
    /// Maximum number of suspects. Cleared ones are evicted first, then those with one crash, then those with
    /// several, the oldest first.
    pub max_suspects: usize,
    /// Maximum number of crashes; the oldest is evicted first.
    pub max_crashes: usize,
    /// Longest wait for the confirmation of a crash.
    pub confirmation_timeout: Duration,
    /// If the owner has not acknowledged a crash after this time, the router that observed it notifies all
    /// routers itself. The time doubles with each repeat, until the crash is confirmed.
    pub direct_broadcast_after: Duration,
    /// Longest wait of a restarted router for the facts of the other routers.
    pub sync_timeout: Duration,
    /// How long completions are collected before they are sent in one batch.
    pub completion_batch_delay: Duration,
    /// Initial and maximum time between repeats of an unacknowledged message.
    pub repeat_interval: (Duration, Duration),
}

impl Options {
    /// Options with the default limits.
    #[must_use]
    pub fn new(pool: Pool, node: Node) -> Self {
        Self {
            pool,
            node,
            suspicion_ttl: Duration::from_secs(600),
            provisional_refusal: Duration::from_millis(500),
            max_suspects: 4_096,
            max_crashes: 256,
            confirmation_timeout: Duration::from_secs(1),
            // An owner normally acknowledges within a few milliseconds. Membership takes 2.5 s to replace one that
            // is dead or frozen, but callers are answered after 1 s.
            direct_broadcast_after: Duration::from_millis(100),
            sync_timeout: Duration::from_secs(1),
            completion_batch_delay: Duration::from_millis(500),
            // A caller may resend within milliseconds, so a lost message must be repeated soon. The routers of a
            // pool are in one region and answer within a few milliseconds.
            repeat_interval: (Duration::from_millis(25), Duration::from_secs(2)),
        }
    }
}

/// Decision on whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run: it is not a suspect.
    Run,
    /// It is a suspect and may run only at an endpoint without another suspect.
    RunAlone,
    /// It may not run now.
    Refuse {
        /// How long to wait before trying again.
        retry_after: Duration,
    },
}

/// An action that the caller of [`Detector`] must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a router.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
    /// The crash has been sent to all routers, or [`Options::confirmation_timeout`] has passed. The callers of
    /// requests that failed in the crash may be answered now.
    Confirmed(Crash),
}

/// A suspect, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of crashes at which it was in flight.
    pub crashes: usize,
    /// The verdict if it is sent again.
    pub verdict: Verdict,
}

/// State machine for the suspects of one pool at one router, which may be the owner of the pool.
///
/// ```
/// use {
///     siskin_outcome::poison::{Detector, Fingerprint, InFlight, Options, Verdict},
///     siskin_types::{id::{Endpoint, Node, Pool}, time::Instant},
/// };
/// let mut detector = Detector::new(Options::new(Pool(1), Node(1)));
/// let now = Instant::ZERO;
/// detector.members(now, &[Node(1)]);
/// detector.owner_changed(now, Some(Node(1)));
/// let (crashing, innocent) = (Fingerprint([1; 16]), Fingerprint([2; 16]));
/// assert_eq!(detector.admit(now, crashing), Verdict::Run);
/// let both = [crashing, innocent].map(|fingerprint| InFlight { fingerprint, alone: false });
/// detector.crashed(now, Endpoint(1), 100, &both);
/// assert_eq!(detector.admit(now, crashing), Verdict::RunAlone);
/// let later = Instant::from_micros(1);
/// detector.completed(later, innocent);
/// assert_eq!(detector.admit(later, innocent), Verdict::Run);
/// detector.crashed(later, Endpoint(2), 200, &[InFlight { fingerprint: crashing, alone: true }]);
/// assert!(matches!(detector.admit(later, crashing), Verdict::Refuse { .. }));
/// ```
#[derive(Debug)]
pub struct Detector {
    options: Options,
    table: Table,
    outbox: Outbox,
    owner: Option<Node>,
    members: IndexSet<Node>,
    /// Completions that wait for the next batch.
    batched_completions: Vec<TimedFact>,
    batch_due_at: Option<Instant>,
    sync: Synchronization,
    unconfirmed: Vec<Unconfirmed>,
    cleanup_at: Instant,
}

/// A crash whose confirmation is awaited.
#[derive(Debug)]
struct Unconfirmed {
    crash: Crash,
    /// When the crash is reported as confirmed at the latest.
    until: Instant,
    /// When this router next notifies all routers itself, and the interval between repeats.
    broadcast_at: Instant,
    broadcast_interval: Duration,
}

/// Serial number of messages that need no acknowledgement; the serial numbers of the outbox start at one.
const NO_ACKNOWLEDGEMENT: u64 = 0;

/// Progress of a restarted router in fetching the facts of the other routers.
#[derive(Debug)]
enum Synchronization {
    /// No event has been handled yet.
    NotStarted,
    /// Waiting for answers from other routers.
    InProgress {
        until: Instant,
        repeat_at: Instant,
        /// Senders and numbers of the parts received.
        parts: IndexSet<(Node, u16)>,
        /// Routers from which all parts were received.
        answered: IndexSet<Node>,
    },
    Done,
}

/// Time between removals of expired crashes and suspects.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of fingerprints in a message, so that it fits into a datagram of 1,400 bytes.
pub(crate) const FINGERPRINTS_PER_MESSAGE: usize = 64;

impl Detector {
    /// Creates a detector without suspects.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            table: Table::new(&options),
            outbox: Outbox::new(&options),
            owner: None,
            members: IndexSet::new(),
            batched_completions: Vec::new(),
            batch_due_at: None,
            sync: Synchronization::NotStarted,
            unconfirmed: Vec::new(),
            cleanup_at: Instant::ZERO,
            options,
        }
    }

    /// Changes how long suspicions and refusals last, including those of existing suspects.
    pub fn set_suspicion_ttl(&mut self, suspicion_ttl: Duration) {
        self.options.suspicion_ttl = suspicion_ttl;
        self.table.set_suspicion_ttl(suspicion_ttl);
        self.outbox.set_suspicion_ttl(suspicion_ttl);
    }

    /// An instance of an endpoint died unannounced. `in_flight` are this router's requests there, with `alone` set
    /// for those dispatched with [`Verdict::RunAlone`]. If the endpoint reports no instance number, the caller must
    /// choose one that is never reused; a crash that several routers observe then counts as several crashes.
    pub fn crashed(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        instance: u64,
        in_flight: &[InFlight],
    ) -> Vec<Action> {
        self.ensure_sync_started(now);
        let crash = Crash { endpoint, instance };
        let timed_facts =
            self.table.record_crash(Timestamp::from(now), crash, Timestamp::from(now), in_flight);
        let mut actions = Vec::new();
        self.unconfirmed.push(Unconfirmed {
            crash,
            until: now + self.options.confirmation_timeout,
            broadcast_at: now + self.options.direct_broadcast_after,
            broadcast_interval: self.options.direct_broadcast_after,
        });
        self.send_facts(now, None, &timed_facts, &mut actions);
        self.report_confirmed_crashes(now, &mut actions);
        actions
    }

    /// An endpoint completed a request, so it is no longer a suspect.
    pub fn completed(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Action> {
        self.ensure_sync_started(now);
        if let Some(timed_fact) =
            self.table.clear_suspect(Timestamp::from(now), fingerprint, Clearance::Completed)
        {
            self.batch_completions(now, [timed_fact]);
        }
        Vec::new()
    }

    /// Decides whether a request may run. A restarted router refuses all requests until it has the facts of the
    /// other routers, for at most [`Options::sync_timeout`]; it should not report itself ready before
    /// [`Detector::synced`].
    pub fn admit(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.ensure_sync_started(now);
        if let Synchronization::InProgress { until, .. } = &self.sync
            && now < *until
        {
            return Verdict::Refuse { retry_after: *until - now };
        }
        self.table.decide_verdict(Timestamp::from(now), &fingerprint)
    }

    /// Whether the router has received the facts that the others had when it started, or has stopped waiting.
    #[must_use]
    pub fn synced(&self) -> bool {
        matches!(self.sync, Synchronization::Done)
    }

    /// An operator lifts the suspicion from a request.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Action> {
        self.ensure_sync_started(now);
        let mut actions = Vec::new();
        if let Some(timed_fact) =
            self.table.clear_suspect(Timestamp::from(now), fingerprint, Clearance::Lifted)
        {
            self.send_facts(now, None, &[timed_fact], &mut actions);
        }
        actions
    }

    /// The suspects, for operators.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Suspect> {
        self.table.list_suspects(Timestamp::from(now))
    }

    /// Merges facts that were not received in a message.
    pub fn merge_facts(&mut self, now: Instant, facts: &[Fact]) -> Vec<Action> {
        self.ensure_sync_started(now);
        let mut actions = Vec::new();
        self.merge_facts_from(now, None, facts, &mut actions);
        actions
    }

    /// The live members changed: `alive` are the routers that are alive, including this one.
    pub fn members(&mut self, now: Instant, alive: &[Node]) -> Vec<Action> {
        self.ensure_sync_started(now);
        let alive: IndexSet<Node> = alive.iter().copied().collect();
        let joined: Vec<Node> = alive
            .iter()
            .filter(|node| **node != self.options.node && !self.members.contains(*node))
            .copied()
            .collect();
        self.members = alive;
        if self.is_owner() {
            self.outbox.retain_members(&self.members);
        }
        let mut actions = Vec::new();
        if self.is_owner() && !joined.is_empty() {
            let timed_facts = self.table.all_facts();
            self.outbox.send_until_acknowledged(now, &joined, &timed_facts, &mut actions);
        }
        self.request_facts(now, &mut actions);
        self.report_confirmed_crashes(now, &mut actions);
        actions
    }

    /// The owner of the pool changed.
    pub fn owner_changed(&mut self, now: Instant, owner: Option<Node>) -> Vec<Action> {
        self.ensure_sync_started(now);
        let mut actions = Vec::new();
        if self.owner == owner {
            return actions;
        }
        self.owner = owner;
        self.outbox.clear();
        if let Synchronization::InProgress { repeat_at, .. } = &mut self.sync {
            *repeat_at = now;
        }
        // The previous owner may have notified only some of the routers. Therefore the new owner sends all facts
        // to all routers, and every router sends all its facts to the new owner.
        let timed_facts = self.table.all_facts();
        self.send_facts(now, None, &timed_facts, &mut actions);
        self.request_facts(now, &mut actions);
        self.report_confirmed_crashes(now, &mut actions);
        actions
    }

    /// A message from another router arrived.
    pub fn receive(&mut self, now: Instant, from: Node, message: &Message) -> Vec<Action> {
        self.ensure_sync_started(now);
        let mut actions = Vec::new();
        match message {
            Message::Tell { pool, serial, facts } if *pool == self.options.pool => {
                self.merge_facts_from(now, Some(from), facts, &mut actions);
                // A sender that mistakes this router for the owner gets no acknowledgement, because its facts have
                // not been sent to all routers.
                if self.is_owner() || self.owner == Some(from) {
                    let message = Message::Ack { pool: *pool, serial: *serial };
                    actions.push(Action::Send { to: from, message });
                }
            }
            Message::Ack { pool, serial } if *pool == self.options.pool => {
                self.outbox.record_acknowledgement(from, *serial);
                self.report_confirmed_crashes(now, &mut actions);
            }
            Message::Ask { pool } if *pool == self.options.pool => {
                self.send_all_facts(now, from, &mut actions);
            }
            Message::Answer { pool, part, parts, facts } if *pool == self.options.pool => {
                self.merge_facts_from(now, Some(from), facts, &mut actions);
                self.record_answer_part(from, *part, *parts);
            }
            _ => {}
        }
        actions
    }

    /// Handles timers: repeats, batches, time-outs and expiry.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.ensure_sync_started(now);
        let mut actions = Vec::new();
        if self.batch_due_at.is_some_and(|at| now >= at) {
            self.batch_due_at = None;
            let timed_facts = std::mem::take(&mut self.batched_completions);
            self.send_facts(now, None, &timed_facts, &mut actions);
        }
        self.outbox.tick(now, &mut actions);
        self.broadcast_unacknowledged_crashes(now, &mut actions);
        self.request_facts(now, &mut actions);
        self.report_confirmed_crashes(now, &mut actions);
        if now >= self.cleanup_at {
            self.cleanup_at = now + CLEANUP_INTERVAL;
            self.table.remove_expired(Timestamp::from(now));
        }
        actions
    }

    /// When [`Detector::tick`] must be called next.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let next_sync = match &self.sync {
            Synchronization::InProgress { until, repeat_at, .. } => Some(*until.min(repeat_at)),
            Synchronization::NotStarted | Synchronization::Done => None,
        };
        let unconfirmed_crashes = self.unconfirmed.iter();
        let next_confirmation = unconfirmed_crashes
            .map(|unconfirmed| unconfirmed.until.min(unconfirmed.broadcast_at))
            .min();
        let times = [
            self.batch_due_at,
            self.outbox.next_repeat(),
            next_sync,
            next_confirmation,
            Some(self.cleanup_at),
        ];
        times.into_iter().flatten().min()
    }

    fn is_owner(&self) -> bool {
        self.owner == Some(self.options.node)
    }

    fn ensure_sync_started(&mut self, now: Instant) {
        if matches!(self.sync, Synchronization::NotStarted) {
            self.sync = Synchronization::InProgress {
                until: now + self.options.sync_timeout,
                repeat_at: now,
                parts: IndexSet::new(),
                answered: IndexSet::new(),
            };
        }
    }

    fn merge_facts_from(
        &mut self,
        now: Instant,
        from: Option<Node>,
        facts: &[Fact],
        actions: &mut Vec<Action>,
    ) {
        let time = Timestamp::from(now);
        let mut new_facts = Vec::new();
        for fact in facts {
            match fact {
                Fact::Crashed { crash, age_ms, in_flight } => {
                    let at = time.minus_ms(*age_ms);
                    new_facts.extend(self.table.record_crash(time, *crash, at, in_flight));
                }
                Fact::Cleared { fingerprint, age_ms } => {
                    let at = time.minus_ms(*age_ms);
                    let timed_fact =
                        self.table.clear_suspect(at, *fingerprint, Clearance::Completed);
                    if self.is_owner() {
                        self.batch_completions(now, timed_fact);
                    }
                }
                Fact::Lifted { fingerprint, age_ms } => {
                    let at = time.minus_ms(*age_ms);
                    new_facts.extend(self.table.clear_suspect(at, *fingerprint, Clearance::Lifted));
                }
            }
        }
        if self.is_owner() {
            self.send_facts(now, from, &new_facts, actions);
        }
    }

    fn batch_completions(
        &mut self,
        now: Instant,
        timed_facts: impl IntoIterator<Item = TimedFact>,
    ) {
        self.batched_completions.extend(timed_facts);
        if !self.batched_completions.is_empty() && self.batch_due_at.is_none() {
            self.batch_due_at = Some(now + self.options.completion_batch_delay);
        }
    }

    /// Sends facts to the owner or, if this router is the owner, to all other routers except the source.
    fn send_facts(
        &mut self,
        now: Instant,
        except: Option<Node>,
        timed_facts: &[TimedFact],
        actions: &mut Vec<Action>,
    ) {
        if timed_facts.is_empty() {
            return;
        }
        let to: Vec<Node> = match self.owner {
            Some(owner) if owner == self.options.node => {
                let others = self.members.iter().filter(|node| **node != self.options.node);
                others.filter(|node| Some(**node) != except).copied().collect()
            }
            Some(owner) => vec![owner],
            // All facts are sent as soon as an owner is known.
            None => return,
        };
        self.outbox.send_until_acknowledged(now, &to, timed_facts, actions);
    }

    /// Confirms crashes that have been sent to all routers, or whose wait has timed out. The owner sends a crash to
    /// all routers as soon as it learns of it; other routers wait for the acknowledgement of the owner.
    fn report_confirmed_crashes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_owner = self.is_owner();
        let owner = self.owner;
        let outbox = &self.outbox;
        self.unconfirmed.retain(|Unconfirmed { crash, until, .. }| {
            let confirmed = is_owner || (owner.is_some() && !outbox.has_unacknowledged(crash));
            let done = confirmed || now >= *until;
            if done {
                actions.push(Action::Confirmed(*crash));
            }
            !done
        });
    }

    /// Sends crashes that the owner has not acknowledged to all routers, so that they know of the crash when a caller
    /// that had to be answered before the acknowledgement resends its request.
    fn broadcast_unacknowledged_crashes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for unconfirmed in
            self.unconfirmed.iter_mut().filter(|unconfirmed| now >= unconfirmed.broadcast_at)
        {
            unconfirmed.broadcast_interval *= 2;
            unconfirmed.broadcast_at = now + unconfirmed.broadcast_interval;
            due.push(unconfirmed.crash);
        }
        if due.is_empty() {
            return;
        }
        let mut timed_facts = self.table.all_facts();
        timed_facts
            .retain(|fact| matches!(fact, TimedFact::Crashed { crash, .. } if due.contains(crash)));
        let others = self.members.iter().filter(|node| **node != self.options.node);
        for facts in Outbox::split_into_messages(now, &timed_facts) {
            for to in others.clone().filter(|node| Some(**node) != self.owner) {
                let facts = facts.clone();
                let pool = self.options.pool;
                let message = Message::Tell { pool, serial: NO_ACKNOWLEDGEMENT, facts };
                actions.push(Action::Send { to: *to, message });
            }
        }
    }

    fn send_all_facts(&self, now: Instant, to: Node, actions: &mut Vec<Action>) {
        let parts = Outbox::split_into_messages(now, &self.table.all_facts());
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        for (part, facts) in (0..count).zip(parts) {
            let pool = self.options.pool;
            let message = Message::Answer { pool, part, parts: count, facts };
            actions.push(Action::Send { to, message });
        }
    }

    fn record_answer_part(&mut self, from: Node, part: u16, parts: u16) {
        let Synchronization::InProgress { parts: received_parts, answered, .. } = &mut self.sync
        else {
            return;
        };
        received_parts.insert((from, part));
        let received_count = received_parts.iter().filter(|(node, _)| *node == from).count();
        if received_count >= usize::from(parts) {
            answered.insert(from);
        }
    }

    /// Requests all facts from the owner; a restarted owner requests them from all other routers.
    fn request_facts(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let is_owner = self.is_owner();
        let Synchronization::InProgress { until, repeat_at, answered, .. } = &mut self.sync else {
            return;
        };
        let Some(owner) = self.owner else {
            if now >= *until {
                self.sync = Synchronization::Done;
            }
            return;
        };
        let others = self.members.iter().filter(|node| **node != self.options.node);
        let sources: Vec<Node> = if is_owner { others.copied().collect() } else { vec![owner] };
        let missing: Vec<Node> =
            sources.into_iter().filter(|node| !answered.contains(node)).collect();
        let members_known = !self.members.is_empty();
        if now >= *until || (members_known && missing.is_empty()) {
            self.sync = Synchronization::Done;
            return;
        }
        if now >= *repeat_at {
            *repeat_at = now + self.options.repeat_interval.0;
            let pool = self.options.pool;
            let send = |to| Action::Send { to, message: Message::Ask { pool } };
            actions.extend(missing.into_iter().map(send));
        }
    }
}
