//! Claims of one router, through the writer of their bucket on another router where there is one.
//!
//! The attempt's token makes repeats harmless: a claim that reaches the store twice, through the bucket's
//! writer and through the router's own, is one claim. Only the router that made the attempt releases it,
//! because only that router knows whether the call was run.

use {
    crate::writer::{self, Answer, Call, Writer},
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::claim::{BodyHash, Decision, Key, Message, Record, Token},
    std::time::Duration,
};

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings of the router's own writer.
    pub writer: writer::Options,
    /// Time between repeats of a message.
    pub repeat: Duration,
    /// Time after which the router's own writer is used too.
    pub fallback: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            writer: writer::Options::default(),
            repeat: Duration::from_millis(200),
            // Longer than a group waits at the highest load that the write limit is meant for (250 ms at 64
            // writers sharing 300 writes per second), so that a busy writer is not taken for a dead one.
            fallback: Duration::from_millis(600),
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the store: one of `Read`, `Swap` and `Remove`.
    Store(writer::Action),
    /// Send a message to a router.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Answer to [`Service::claim`]; given once.
    Decide {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
        /// The answer.
        decision: Decision,
    },
    /// A record or release is in the store, or is no longer needed.
    Settled {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
    },
}

#[derive(Clone, Debug)]
enum Job {
    Claim(BodyHash),
    Record(Record),
    Release,
}

/// Something that this router wants of the writer of a bucket.
#[derive(Debug)]
struct Wanted {
    job: Job,
    key: Key,
    deadline: Instant,
    /// The bucket's writer; `None` once only the router's own writer is used.
    to: Option<Node>,
    repeat_at: Instant,
    fallback_at: Instant,
    /// Whether the router's own writer works on it.
    own: bool,
}

/// The claims that this router makes, and those that others send to its writer.
///
/// ```
/// use {
///     siskin_claim::{key::Hasher, remote::{Action, Options, Service}},
///     siskin_types::{id::{Customer, Node, Request}, time::Instant},
///     siskin_wire::claim::{Decision, Message, Token},
/// };
/// let hasher = Hasher::new(&[7; 32]);
/// let key = hasher.key(Customer(1), b"order-17");
/// let body = hasher.body("POST", "/orders", b"{}");
/// let token = Token(Request { node: Node(1), incarnation: 1, sequence: 1 });
/// let (now, deadline) = (Instant::ZERO, Instant::from_micros(5_000_000));
/// let mut service = Service::new(Options::default());
/// let actions = service.claim(now, Some(Node(2)), key, body, token, deadline);
/// assert!(matches!(actions[..], [Action::Send { to: Node(2), .. }]));
/// let decided = Message::Decided { token, decision: Decision::Granted };
/// let actions = service.receive(now, Node(2), &decided);
/// assert_eq!(actions, [Action::Decide { key, token, decision: Decision::Granted }]);
/// ```
#[derive(Debug)]
pub struct Service {
    options: Options,
    writer: Writer,
    wanted: IndexMap<Token, Wanted>,
}

impl Service {
    /// Makes a service without any claims.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let writer = Writer::new(options.writer.clone());
        Self { options, writer, wanted: IndexMap::new() }
    }

    /// Changes how many writes the own writer may make per second.
    pub fn set_write_rate(&mut self, now: Instant, writes_per_s: f64) {
        self.writer.set_write_rate(now, writes_per_s);
    }

    /// Changes how long claims are kept and how long a call may last.
    pub fn set_limits(&mut self, retention: Duration, longest_deadline: Duration) {
        self.writer.set_limits(retention, longest_deadline);
    }

    /// Claims a key through the writer of its bucket; `None` or this router for its own writer.
    pub fn claim(
        &mut self,
        now: Instant,
        to: Option<Node>,
        key: Key,
        body: BodyHash,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        if now >= deadline {
            return vec![Action::Decide { key, token, decision: Decision::Unavailable }];
        }
        self.want(now, to, Job::Claim(body), key, token, deadline)
    }

    /// Records the result of a call whose claim was granted.
    pub fn record(
        &mut self,
        now: Instant,
        to: Option<Node>,
        key: Key,
        token: Token,
        record: Record,
    ) -> Vec<Action> {
        let deadline = now + self.options.writer.settle_for;
        self.want(now, to, Job::Record(record), key, token, deadline)
    }

    /// Releases the claim of a call that did not run, whether or not the claim was decided.
    pub fn release(
        &mut self,
        now: Instant,
        to: Option<Node>,
        key: Key,
        token: Token,
    ) -> Vec<Action> {
        let deadline = now + self.options.writer.settle_for;
        self.want(now, to, Job::Release, key, token, deadline)
    }

    /// A message of another router arrived.
    pub fn receive(&mut self, now: Instant, from: Node, message: &Message) -> Vec<Action> {
        let actions = match message {
            Message::Claim { key, body, token, remaining_ms } => {
                let deadline = now + Duration::from_millis(u64::from(*remaining_ms));
                self.writer.claim(now, *key, *body, *token, deadline)
            }
            Message::Record { key, token, record } => {
                self.writer.record(now, *key, *token, record.clone())
            }
            Message::Release { key, token } => self.writer.release(now, *key, *token),
            Message::Decided { token, decision } => {
                return self.decided(now, Some(from), *token, decision.clone());
            }
            Message::Settled { token } => return self.settled(*token),
        };
        self.handle(now, actions)
    }

    /// The store answered a call.
    pub fn stored(&mut self, now: Instant, call: Call, answer: Answer) -> Vec<Action> {
        let actions = self.writer.stored(now, call, answer);
        self.handle(now, actions)
    }

    /// Names the buckets whose writer is on this router.
    pub fn owned(&mut self, now: Instant, buckets: &[u8]) -> Vec<Action> {
        let actions = self.writer.owned(now, buckets);
        self.handle(now, actions)
    }

    /// Handles deadlines, repeats, the fallback and the writer's timers.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let actions = self.writer.tick(now);
        let mut actions = self.handle(now, actions);
        let due = |wanted: &Wanted| {
            let repeat = wanted.to.is_some() && now >= wanted.repeat_at;
            now >= wanted.deadline || repeat || (!wanted.own && now >= wanted.fallback_at)
        };
        let tokens: Vec<Token> =
            self.wanted.iter().filter(|(_, wanted)| due(wanted)).map(|(token, _)| *token).collect();
        for token in tokens {
            self.advance(now, token, &mut actions);
        }
        actions
    }

    /// When [`Service::tick`] is next needed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let wanted = self.wanted.values().map(|wanted| {
            let repeat = wanted.to.map(|_| wanted.repeat_at);
            let fallback = (!wanted.own).then_some(wanted.fallback_at);
            let times = [Some(wanted.deadline), repeat, fallback];
            times.into_iter().flatten().min().unwrap_or(wanted.deadline)
        });
        wanted.chain(self.writer.next_tick()).min()
    }

    /// The router's own writer.
    #[must_use]
    pub fn writer(&self) -> &Writer {
        &self.writer
    }

    fn want(
        &mut self,
        now: Instant,
        to: Option<Node>,
        job: Job,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        let to = to.filter(|node| *node != self.options.writer.node);
        let fallback_at = if to.is_some() { now + self.options.fallback } else { now };
        let wanted = Wanted { job, key, deadline, to, repeat_at: now, fallback_at, own: false };
        if let Some(old) = self.wanted.insert(token, wanted)
            && old.own
            && matches!(old.job, Job::Claim(_))
        {
            self.writer.withdraw(&key, token);
        }
        let mut actions = Vec::new();
        self.advance(now, token, &mut actions);
        actions
    }

    /// Sends, repeats, falls back or gives up.
    fn advance(&mut self, now: Instant, token: Token, actions: &mut Vec<Action>) {
        let Some(wanted) = self.wanted.get_mut(&token) else { return };
        if now >= wanted.deadline {
            self.give_up(now, token, actions);
            return;
        }
        let key = wanted.key;
        if let Some(to) = wanted.to
            && now >= wanted.repeat_at
        {
            wanted.repeat_at = now + self.options.repeat;
            let message = message(wanted, now, token);
            actions.push(Action::Send { to, message });
        }
        if wanted.own || now < wanted.fallback_at {
            return;
        }
        wanted.own = true;
        let job = wanted.job.clone();
        let deadline = wanted.deadline;
        let done = match job {
            Job::Claim(body) => self.writer.claim(now, key, body, token, deadline),
            Job::Record(record) => self.writer.record(now, key, token, record),
            Job::Release => self.writer.release(now, key, token),
        };
        actions.extend(self.handle(now, done));
    }

    fn give_up(&mut self, now: Instant, token: Token, actions: &mut Vec<Action>) {
        let Some(wanted) = self.wanted.swap_remove(&token) else { return };
        let key = wanted.key;
        if !matches!(wanted.job, Job::Claim(_)) {
            actions.push(Action::Settled { key, token });
            return;
        }
        if wanted.own {
            self.writer.withdraw(&key, token);
        }
        actions.push(Action::Decide { key, token, decision: Decision::Unavailable });
        // A writer may have stored the claim without its answer having arrived.
        let deadline = now + self.options.writer.settle_for;
        actions.extend(self.want(now, wanted.to, Job::Release, key, token, deadline));
    }

    /// A writer decided a claim of this router. `from` is `None` for its own writer.
    fn decided(
        &mut self,
        now: Instant,
        from: Option<Node>,
        token: Token,
        decision: Decision,
    ) -> Vec<Action> {
        let Some(wanted) = self.wanted.get(&token) else { return Vec::new() };
        if !matches!(wanted.job, Job::Claim(_)) {
            return Vec::new();
        }
        let key = wanted.key;
        if now >= wanted.deadline {
            let mut actions = Vec::new();
            self.give_up(now, token, &mut actions);
            return actions;
        }
        if decision == Decision::Unavailable {
            // The writer has too much to do or its clock is ahead; the router's own may still succeed.
            return self.refused(now, from, token);
        }
        if wanted.own && from.is_some() {
            self.writer.withdraw(&key, token);
        }
        self.wanted.swap_remove(&token);
        vec![Action::Decide { key, token, decision }]
    }

    fn refused(&mut self, now: Instant, from: Option<Node>, token: Token) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(wanted) = self.wanted.get_mut(&token) else { return actions };
        match from {
            Some(_) if !wanted.own => {
                wanted.to = None;
                wanted.fallback_at = now;
                self.advance(now, token, &mut actions);
            }
            _ => self.give_up(now, token, &mut actions),
        }
        actions
    }

    fn settled(&mut self, token: Token) -> Vec<Action> {
        match self.wanted.get(&token) {
            Some(wanted) if !matches!(wanted.job, Job::Claim(_)) => {
                let key = wanted.key;
                self.wanted.swap_remove(&token);
                vec![Action::Settled { key, token }]
            }
            _ => Vec::new(),
        }
    }

    /// Passes on what the writer wants: to the store, to this router's calls, or to another router.
    fn handle(&mut self, now: Instant, actions: Vec<writer::Action>) -> Vec<Action> {
        let mut passed = Vec::new();
        for action in actions {
            match action {
                writer::Action::Decide { token, decision, .. } => {
                    if self.is_own(token) {
                        passed.extend(self.decided(now, None, token, decision));
                    } else {
                        let message = Message::Decided { token, decision };
                        passed.push(Action::Send { to: token.0.node, message });
                    }
                }
                writer::Action::Settled { token, .. } => {
                    if self.is_own(token) {
                        passed.extend(self.settled(token));
                    } else {
                        let message = Message::Settled { token };
                        passed.push(Action::Send { to: token.0.node, message });
                    }
                }
                store => passed.push(Action::Store(store)),
            }
        }
        passed
    }

    fn is_own(&self, token: Token) -> bool {
        token.0.node == self.options.writer.node
    }
}

fn message(wanted: &Wanted, now: Instant, token: Token) -> Message {
    let key = wanted.key;
    match &wanted.job {
        Job::Claim(body) => {
            let remaining = (wanted.deadline - now).as_millis();
            let remaining_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
            Message::Claim { key, body: *body, token, remaining_ms }
        }
        Job::Record(record) => Message::Record { key, token, record: record.clone() },
        Job::Release => Message::Release { key, token },
    }
}
