//! Finds requests that crash endpoints and keeps them from crashing more.
//!
//! When an endpoint dies, the requests in flight there become suspects. A suspect runs only as the sole
//! suspect at an endpoint. If an endpoint dies while it runs there alone, it is refused for a while.
//!
//! **Bound.** Copies of a crashing request that are sent one after another take down at most 2 endpoints if
//! the news of the first crash reaches each router before it dispatches the next copy, and at most 3 if one
//! dispatch of a suspect overtakes the news of a crash; each further one that does adds at most one. Copies that
//! are sent at the same moment are held back by [`copies::Copies`]: one endpoint for each router that has one, and
//! one more. This assumes that the scheduler keeps two suspects from one endpoint.
//! [`Detector::crashed`] gives [`Action::Confirmed`] once the owner of the pool has sent the news to all
//! routers; a router that answers the caller only then gives the caller no cause to resend earlier.
//!
//! **Innocent requests.** A request that was in flight at a crash runs alone until it completes or until
//! [`Options::hold`] has passed. A second crash counts against it only if it had been dispatched to run alone
//! and no other request in flight there was a suspect at that time, whether or not its router knew. Being in
//! flight next to the crashing request, even twice, therefore does not get it refused, and neither does
//! having copies at two endpoints that fail together. It waits for an endpoint without a suspect: with `k` suspects and `n` endpoints at most
//! `k / n`, rounded up, times the longest run, and never for longer than the hold.

pub mod copies;
mod outbox;
mod table;

pub use siskin_wire::poison::{Crash, Fact, Fingerprint, InFlight, Message};

use {
    indexmap::IndexSet,
    outbox::{Note, Outbox},
    siskin_types::{
        id::{Customer, Endpoint, Node, Pool},
        time::Instant,
    },
    std::time::Duration,
    table::{Change, Table, Time},
};

/// Makes fingerprints. All routers of a fleet use the same secret.
///
/// ```
/// use {siskin_outcome::poison::Hasher, siskin_types::id::Customer};
/// let hasher = Hasher::new(&[7; 32]);
/// let one = hasher.fingerprint(Customer(1), b"{}");
/// assert_ne!(one, hasher.fingerprint(Customer(2), b"{}"));
/// ```
#[derive(Clone, Debug)]
pub struct Hasher {
    secret: [u8; 32],
}

/// Separates fingerprints from other uses of the fleet's secret.
const FINGERPRINT_CONTEXT: &[u8] = b"siskinroute fingerprint 1";

impl Hasher {
    /// Makes a hasher from the fleet's secret.
    #[must_use]
    pub fn new(secret: &[u8; 32]) -> Self {
        Self { secret: *blake3::keyed_hash(secret, FINGERPRINT_CONTEXT).as_bytes() }
    }

    /// Fingerprint of a request.
    #[must_use]
    pub fn fingerprint(&self, customer: Customer, content: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&customer.0.to_le_bytes());
        hasher.update(content);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(bytes)
    }
}

/// Settings of a detector.
#[derive(Clone, Debug)]
pub struct Options {
    /// The pool it watches.
    pub pool: Pool,
    /// The router it runs on.
    pub node: Node,
    /// How long a suspicion lasts after the crash that caused it, and a refusal after the second crash.
    pub hold: Duration,
    /// How long after a second crash the refusal is provisional, because another router may still report
    /// that a second suspect was in flight there.
    pub settle: Duration,
    /// Most suspects remembered. Cleared ones are forgotten first, then those with one crash, then those
    /// with several, the oldest first.
    pub max_suspects: usize,
    /// Most crashes remembered; the oldest is forgotten first.
    pub max_crashes: usize,
    /// Longest wait for the confirmation of a crash.
    pub confirm_limit: Duration,
    /// How long after a crash a router whose owner has not acknowledged it tells all routers itself; doubled
    /// with each repeat, until the crash is confirmed.
    pub direct_after: Duration,
    /// Longest wait of a restarted router for what the others know.
    pub sync_limit: Duration,
    /// Time for which completions are collected before they are told.
    pub batch: Duration,
    /// First and longest time between repeats of a message that is not acknowledged.
    pub repeat: (Duration, Duration),
}

impl Options {
    /// Options with the default limits.
    #[must_use]
    pub fn new(pool: Pool, node: Node) -> Self {
        Self {
            pool,
            node,
            hold: Duration::from_secs(600),
            settle: Duration::from_millis(500),
            max_suspects: 4_096,
            max_crashes: 256,
            confirm_limit: Duration::from_secs(1),
            // An owner acknowledges within a few milliseconds. One that is dead or frozen is replaced only after
            // the 2.5 s that membership takes, and callers are answered after 1 s.
            direct_after: Duration::from_millis(100),
            sync_limit: Duration::from_secs(1),
            batch: Duration::from_millis(500),
            // A caller may resend within milliseconds, so a lost message is repeated soon. Routers of a pool are
            // in one region and answer within a few milliseconds.
            repeat: (Duration::from_millis(25), Duration::from_secs(2)),
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is not suspected.
    Run,
    /// It may run where no other suspect runs.
    RunAlone,
    /// It may not run.
    Refuse {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a router.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
    /// All routers have been sent the news of the crash, or waiting for that took too long. Requests that
    /// ended with the crash may be answered now.
    Confirmed(Crash),
}

/// A suspect, as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Crashes at which it was in flight.
    pub crashes: usize,
    /// What happens if it is sent again.
    pub verdict: Verdict,
}

/// State of one pool's suspects at one router, which may be the owner of the pool.
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
    /// Completions that wait to be told.
    batched: Vec<Note>,
    batch_at: Option<Instant>,
    sync: Sync,
    unconfirmed: Vec<Unconfirmed>,
    sweep_at: Instant,
}

/// A crash whose confirmation is awaited.
#[derive(Debug)]
struct Unconfirmed {
    crash: Crash,
    /// When waiting is given up.
    until: Instant,
    /// When all routers are told without the owner, and how long after that again.
    direct_at: Instant,
    delay: Duration,
}

/// Serial number of messages that need no acknowledgement; the outbox starts at one.
const UNACKNOWLEDGED: u64 = 0;

/// What a restarted router knows of the others' suspects.
#[derive(Debug)]
enum Sync {
    /// No event has been seen.
    New,
    /// Waiting for answers.
    Asking {
        until: Instant,
        repeat_at: Instant,
        /// Parts that have arrived, by sender.
        parts: IndexSet<(Node, u16)>,
        /// Routers whose answer is complete.
        answered: IndexSet<Node>,
    },
    Done,
}

/// Time between searches for expired suspects.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// Fingerprints in one message, so that it fits into a datagram of 1,400 bytes.
pub(crate) const FINGERPRINTS_PER_MESSAGE: usize = 64;

impl Detector {
    /// Makes a detector that knows no suspects.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            table: Table::new(&options),
            outbox: Outbox::new(&options),
            owner: None,
            members: IndexSet::new(),
            batched: Vec::new(),
            batch_at: None,
            sync: Sync::New,
            unconfirmed: Vec::new(),
            sweep_at: Instant::ZERO,
            options,
        }
    }

    /// Changes how long suspicions and refusals last, also for suspects that are known.
    pub fn set_hold(&mut self, hold: Duration) {
        self.options.hold = hold;
        self.table.set_hold(hold);
        self.outbox.set_hold(hold);
    }

    /// An instance of an endpoint died without having announced it. `in_flight` are this router's requests
    /// there, with `alone` set for those whose verdict was [`Verdict::RunAlone`]. If the endpoint reports no instance, the caller makes up a number that is not used twice;
    /// several routers then count one crash as several.
    pub fn crashed(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        instance: u64,
        in_flight: &[InFlight],
    ) -> Vec<Action> {
        self.start(now);
        let crash = Crash { endpoint, instance };
        let notes = self.table.struck(Time::from(now), crash, Time::from(now), in_flight);
        let mut actions = Vec::new();
        self.unconfirmed.push(Unconfirmed {
            crash,
            until: now + self.options.confirm_limit,
            direct_at: now + self.options.direct_after,
            delay: self.options.direct_after,
        });
        self.tell(now, None, &notes, &mut actions);
        self.confirm(now, &mut actions);
        actions
    }

    /// A request was completed by an endpoint.
    pub fn completed(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Action> {
        self.start(now);
        if let Some(note) = self.table.cleared(Time::from(now), fingerprint, Change::Cleared) {
            self.batch(now, [note]);
        }
        Vec::new()
    }

    /// Whether a request may run. A restarted router refuses for up to [`Options::sync_limit`], until it
    /// knows what the others know; it should not be ready for callers before [`Detector::synced`].
    pub fn admit(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.start(now);
        if let Sync::Asking { until, .. } = &self.sync
            && now < *until
        {
            return Verdict::Refuse { retry_after: *until - now };
        }
        self.table.verdict(Time::from(now), &fingerprint)
    }

    /// Whether the router knows what the others knew when it started.
    #[must_use]
    pub fn synced(&self) -> bool {
        matches!(self.sync, Sync::Done)
    }

    /// An operator lifts the suspicion of a request.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint) -> Vec<Action> {
        self.start(now);
        let mut actions = Vec::new();
        if let Some(note) = self.table.cleared(Time::from(now), fingerprint, Change::Lifted) {
            self.tell(now, None, &[note], &mut actions);
        }
        actions
    }

    /// The suspects, for operators.
    #[must_use]
    pub fn list(&self, now: Instant) -> Vec<Suspect> {
        self.table.list(Time::from(now))
    }

    /// Merges facts that were learnt by other means than messages.
    pub fn merge(&mut self, now: Instant, facts: &[Fact]) -> Vec<Action> {
        self.start(now);
        let mut actions = Vec::new();
        self.merge_from(now, None, facts, &mut actions);
        actions
    }

    /// The routers that are alive, this one included.
    pub fn members(&mut self, now: Instant, alive: &[Node]) -> Vec<Action> {
        self.start(now);
        let new: IndexSet<Node> = alive.iter().copied().collect();
        let joined: Vec<Node> = new
            .iter()
            .filter(|node| **node != self.options.node && !self.members.contains(*node))
            .copied()
            .collect();
        self.members = new;
        if self.owns() {
            self.outbox.retain(&self.members);
        }
        let mut actions = Vec::new();
        if self.owns() && !joined.is_empty() {
            let notes = self.table.notes();
            self.outbox.push(now, &joined, &notes, &mut actions);
        }
        self.ask(now, &mut actions);
        self.confirm(now, &mut actions);
        actions
    }

    /// The owner of the pool changed.
    pub fn owner_changed(&mut self, now: Instant, owner: Option<Node>) -> Vec<Action> {
        self.start(now);
        let mut actions = Vec::new();
        if self.owner == owner {
            return actions;
        }
        self.owner = owner;
        self.outbox.clear();
        if let Sync::Asking { repeat_at, .. } = &mut self.sync {
            *repeat_at = now;
        }
        // The earlier owner may have told some routers and not others, so everything is told again: by the
        // new owner to all routers, and by all routers to the new owner.
        let notes = self.table.notes();
        self.tell(now, None, &notes, &mut actions);
        self.ask(now, &mut actions);
        self.confirm(now, &mut actions);
        actions
    }

    /// A message arrived.
    pub fn receive(&mut self, now: Instant, from: Node, message: &Message) -> Vec<Action> {
        self.start(now);
        let mut actions = Vec::new();
        match message {
            Message::Tell { pool, serial, facts } if *pool == self.options.pool => {
                self.merge_from(now, Some(from), facts, &mut actions);
                // A sender that takes this router for the owner by mistake is not acknowledged, because its
                // news has not been sent to all.
                if self.owns() || self.owner == Some(from) {
                    let message = Message::Ack { pool: *pool, serial: *serial };
                    actions.push(Action::Send { to: from, message });
                }
            }
            Message::Ack { pool, serial } if *pool == self.options.pool => {
                self.outbox.acknowledged(from, *serial);
                self.confirm(now, &mut actions);
            }
            Message::Ask { pool } if *pool == self.options.pool => {
                self.answer(now, from, &mut actions);
            }
            Message::Answer { pool, part, parts, facts } if *pool == self.options.pool => {
                self.merge_from(now, Some(from), facts, &mut actions);
                self.answered(from, *part, *parts);
            }
            _ => {}
        }
        actions
    }

    /// Handles repeats, batches, waits and expiry.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.start(now);
        let mut actions = Vec::new();
        if self.batch_at.is_some_and(|at| now >= at) {
            self.batch_at = None;
            let notes = std::mem::take(&mut self.batched);
            self.tell(now, None, &notes, &mut actions);
        }
        self.outbox.tick(now, &mut actions);
        self.tell_directly(now, &mut actions);
        self.ask(now, &mut actions);
        self.confirm(now, &mut actions);
        if now >= self.sweep_at {
            self.sweep_at = now + SWEEP_INTERVAL;
            self.table.sweep(Time::from(now));
        }
        actions
    }

    /// When [`Detector::tick`] is next needed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let asking = match &self.sync {
            Sync::Asking { until, repeat_at, .. } => Some(*until.min(repeat_at)),
            Sync::New | Sync::Done => None,
        };
        let waits = self.unconfirmed.iter();
        let confirm = waits.map(|waiting| waiting.until.min(waiting.direct_at)).min();
        let times = [self.batch_at, self.outbox.next(), asking, confirm, Some(self.sweep_at)];
        times.into_iter().flatten().min()
    }

    fn owns(&self) -> bool {
        self.owner == Some(self.options.node)
    }

    fn start(&mut self, now: Instant) {
        if matches!(self.sync, Sync::New) {
            self.sync = Sync::Asking {
                until: now + self.options.sync_limit,
                repeat_at: now,
                parts: IndexSet::new(),
                answered: IndexSet::new(),
            };
        }
    }

    fn merge_from(
        &mut self,
        now: Instant,
        from: Option<Node>,
        facts: &[Fact],
        actions: &mut Vec<Action>,
    ) {
        let time = Time::from(now);
        let mut urgent = Vec::new();
        for fact in facts {
            match fact {
                Fact::Struck { crash, age_ms, in_flight } => {
                    let at = time.minus_ms(*age_ms);
                    urgent.extend(self.table.struck(time, *crash, at, in_flight));
                }
                Fact::Cleared { fingerprint, age_ms } => {
                    let at = time.minus_ms(*age_ms);
                    let note = self.table.cleared(at, *fingerprint, Change::Cleared);
                    if self.owns() {
                        self.batch(now, note);
                    }
                }
                Fact::Lifted { fingerprint, age_ms } => {
                    let at = time.minus_ms(*age_ms);
                    urgent.extend(self.table.cleared(at, *fingerprint, Change::Lifted));
                }
            }
        }
        if self.owns() {
            self.tell(now, from, &urgent, actions);
        }
    }

    fn batch(&mut self, now: Instant, notes: impl IntoIterator<Item = Note>) {
        self.batched.extend(notes);
        if !self.batched.is_empty() && self.batch_at.is_none() {
            self.batch_at = Some(now + self.options.batch);
        }
    }

    /// Sends news to the owner, or from the owner to everybody but the router that it came from.
    fn tell(
        &mut self,
        now: Instant,
        except: Option<Node>,
        notes: &[Note],
        actions: &mut Vec<Action>,
    ) {
        if notes.is_empty() {
            return;
        }
        let to: Vec<Node> = match self.owner {
            Some(owner) if owner == self.options.node => {
                let others = self.members.iter().filter(|node| **node != self.options.node);
                others.filter(|node| Some(**node) != except).copied().collect()
            }
            Some(owner) => vec![owner],
            // Told in full when an owner is known.
            None => return,
        };
        self.outbox.push(now, &to, notes, actions);
    }

    /// Reports crashes whose news has been sent to all routers. The owner has done so as soon as it knows.
    fn confirm(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let owns = self.owns();
        let owner = self.owner;
        let outbox = &self.outbox;
        self.unconfirmed.retain(|Unconfirmed { crash, until, .. }| {
            let told = owns || (owner.is_some() && !outbox.has(crash));
            let done = told || now >= *until;
            if done {
                actions.push(Action::Confirmed(*crash));
            }
            !done
        });
    }

    /// Tells all routers of crashes that the owner has not acknowledged, so that a caller whose answer cannot
    /// wait any longer does not send its request again to a router that does not know.
    fn tell_directly(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for waiting in self.unconfirmed.iter_mut().filter(|waiting| now >= waiting.direct_at) {
            waiting.delay *= 2;
            waiting.direct_at = now + waiting.delay;
            due.push(waiting.crash);
        }
        if due.is_empty() {
            return;
        }
        let mut notes = self.table.notes();
        notes.retain(|note| matches!(note, Note::Struck { crash, .. } if due.contains(crash)));
        let others = self.members.iter().filter(|node| **node != self.options.node);
        for facts in Outbox::facts(now, &notes) {
            for to in others.clone().filter(|node| Some(**node) != self.owner) {
                let facts = facts.clone();
                let pool = self.options.pool;
                let message = Message::Tell { pool, serial: UNACKNOWLEDGED, facts };
                actions.push(Action::Send { to: *to, message });
            }
        }
    }

    fn answer(&self, now: Instant, to: Node, actions: &mut Vec<Action>) {
        let parts = Outbox::facts(now, &self.table.notes());
        let count = u16::try_from(parts.len()).unwrap_or(u16::MAX);
        for (part, facts) in (0..count).zip(parts) {
            let pool = self.options.pool;
            let message = Message::Answer { pool, part, parts: count, facts };
            actions.push(Action::Send { to, message });
        }
    }

    fn answered(&mut self, from: Node, part: u16, parts: u16) {
        let Sync::Asking { parts: arrived, answered, .. } = &mut self.sync else { return };
        arrived.insert((from, part));
        let complete = arrived.iter().filter(|(node, _)| *node == from).count();
        if complete >= usize::from(parts) {
            answered.insert(from);
        }
    }

    /// Asks the owner for everything; a restarted owner asks all other routers.
    fn ask(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let owns = self.owns();
        let Sync::Asking { until, repeat_at, answered, .. } = &mut self.sync else { return };
        let Some(owner) = self.owner else {
            if now >= *until {
                self.sync = Sync::Done;
            }
            return;
        };
        let others = self.members.iter().filter(|node| **node != self.options.node);
        let sources: Vec<Node> = if owns { others.copied().collect() } else { vec![owner] };
        let missing: Vec<Node> =
            sources.into_iter().filter(|node| !answered.contains(node)).collect();
        let known = !self.members.is_empty();
        if now >= *until || (known && missing.is_empty()) {
            self.sync = Sync::Done;
            return;
        }
        if now >= *repeat_at {
            *repeat_at = now + self.options.repeat.0;
            let pool = self.options.pool;
            let send = |to| Action::Send { to, message: Message::Ask { pool } };
            actions.extend(missing.into_iter().map(send));
        }
    }
}
