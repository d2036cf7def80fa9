//! Submits the claims of one router to the writer of their bucket, which may be on another router.
//!
//! The attempt's token makes operations idempotent: a claim that is submitted both to the bucket's writer and
//! to the router's local writer counts as one claim. Only the router that made the attempt releases its claim,
//! because only that router can tell whether the call was run.

use {
    crate::writer::{self, Call, Response, Writer},
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::claim::{BodyHash, Decision, Key, Message, Record, Token},
    std::time::Duration,
};

/// Settings of a service.
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings of the router's local writer.
    pub writer: writer::Options,
    /// Time between retransmissions of a message to the bucket's writer.
    pub retry_interval: Duration,
    /// Time without a response after which the router's local writer is used as well.
    pub fallback_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            writer: writer::Options::default(),
            retry_interval: Duration::from_millis(200),
            // Longer than a batch waits at the highest load that the write limit is designed for (250 ms with 64
            // writers sharing 300 writes per second), so that a busy writer is not taken for a failed one.
            fallback_delay: Duration::from_millis(600),
        }
    }
}

/// Action that the caller of the service must perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a store call: `Read`, `Swap` or `Remove`.
    Store(writer::Action),
    /// Send a message to a router.
    Send {
        /// The receiver.
        to: Node,
        /// The message.
        message: Message,
    },
    /// Report the decision on a claim made with [`Service::claim`]; issued once for each claim.
    Decide {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
        /// The decision.
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
enum Kind {
    Claim(BodyHash),
    Record(Record),
    Release,
}

/// A claim, record or release of this router that its bucket's writer has not confirmed yet.
#[derive(Debug)]
struct Operation {
    kind: Kind,
    key: Key,
    deadline: Instant,
    /// Router of the bucket's writer; `None` if only the local writer is used.
    writer_node: Option<Node>,
    retry_at: Instant,
    fallback_at: Instant,
    /// Whether it has been submitted to the local writer.
    local: bool,
}

/// The claims that this router makes, and those that other routers send to its writer.
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
    pending: IndexMap<Token, Operation>,
}

impl Service {
    /// Makes a service without any claims.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let writer = Writer::new(options.writer.clone());
        Self { options, writer, pending: IndexMap::new() }
    }

    /// Changes how many writes the local writer may make per second.
    pub fn set_write_rate(&mut self, now: Instant, writes_per_s: f64) {
        self.writer.set_write_rate(now, writes_per_s);
    }

    /// Changes how long claims are kept and how long a call may last.
    pub fn set_limits(&mut self, retention: Duration, max_call_duration: Duration) {
        self.writer.set_limits(retention, max_call_duration);
    }

    /// Claims a key through the writer of its bucket, which runs on `writer_node`; `None` means the local writer.
    pub fn claim(
        &mut self,
        now: Instant,
        writer_node: Option<Node>,
        key: Key,
        body: BodyHash,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        if now >= deadline {
            return vec![Action::Decide { key, token, decision: Decision::Unavailable }];
        }
        self.submit_operation(now, writer_node, Kind::Claim(body), key, token, deadline)
    }

    /// Records the result of a call whose claim was granted.
    pub fn record(
        &mut self,
        now: Instant,
        writer_node: Option<Node>,
        key: Key,
        token: Token,
        record: Record,
    ) -> Vec<Action> {
        let deadline = now + self.options.writer.settle_timeout;
        self.submit_operation(now, writer_node, Kind::Record(record), key, token, deadline)
    }

    /// Releases the claim of a call that did not run, whether or not the claim has been decided.
    pub fn release(
        &mut self,
        now: Instant,
        writer_node: Option<Node>,
        key: Key,
        token: Token,
    ) -> Vec<Action> {
        let deadline = now + self.options.writer.settle_timeout;
        self.submit_operation(now, writer_node, Kind::Release, key, token, deadline)
    }

    /// Handles a message from another router.
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
                return self.handle_decision(now, Some(from), *token, decision.clone());
            }
            Message::Settled { token } => return self.handle_settled(*token),
        };
        self.route_actions(now, actions)
    }

    /// Handles the store's response to a call.
    pub fn handle_response(&mut self, now: Instant, call: Call, response: Response) -> Vec<Action> {
        let actions = self.writer.handle_response(now, call, response);
        self.route_actions(now, actions)
    }

    /// Sets the buckets whose writer is on this router.
    pub fn owned(&mut self, now: Instant, buckets: &[u8]) -> Vec<Action> {
        let actions = self.writer.owned(now, buckets);
        self.route_actions(now, actions)
    }

    /// Handles deadlines, retransmissions, the fallback to the local writer and that writer's timers.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let actions = self.writer.tick(now);
        let mut actions = self.route_actions(now, actions);
        let due = |operation: &Operation| {
            let retry = operation.writer_node.is_some() && now >= operation.retry_at;
            now >= operation.deadline || retry || (!operation.local && now >= operation.fallback_at)
        };
        let tokens: Vec<Token> = self
            .pending
            .iter()
            .filter(|(_, operation)| due(operation))
            .map(|(token, _)| *token)
            .collect();
        for token in tokens {
            self.advance_operation(now, token, &mut actions);
        }
        actions
    }

    /// When [`Service::tick`] is next needed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let times = self.pending.values().map(|operation| {
            let retry = operation.writer_node.map(|_| operation.retry_at);
            let fallback = (!operation.local).then_some(operation.fallback_at);
            let times = [Some(operation.deadline), retry, fallback];
            times.into_iter().flatten().min().unwrap_or(operation.deadline)
        });
        times.chain(self.writer.next_tick()).min()
    }

    /// The router's local writer.
    #[must_use]
    pub fn writer(&self) -> &Writer {
        &self.writer
    }

    fn submit_operation(
        &mut self,
        now: Instant,
        writer_node: Option<Node>,
        kind: Kind,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        let writer_node = writer_node.filter(|node| *node != self.options.writer.node);
        let fallback_at =
            if writer_node.is_some() { now + self.options.fallback_delay } else { now };
        let operation = Operation {
            kind,
            key,
            deadline,
            writer_node,
            retry_at: now,
            fallback_at,
            local: false,
        };
        if let Some(old) = self.pending.insert(token, operation)
            && old.local
            && matches!(old.kind, Kind::Claim(_))
        {
            self.writer.withdraw_claim(&key, token);
        }
        let mut actions = Vec::new();
        self.advance_operation(now, token, &mut actions);
        actions
    }

    /// Sends or retransmits an operation, falls back to the local writer, or abandons it at its deadline.
    fn advance_operation(&mut self, now: Instant, token: Token, actions: &mut Vec<Action>) {
        let Some(operation) = self.pending.get_mut(&token) else { return };
        if now >= operation.deadline {
            self.abandon_operation(now, token, actions);
            return;
        }
        let key = operation.key;
        if let Some(to) = operation.writer_node
            && now >= operation.retry_at
        {
            operation.retry_at = now + self.options.retry_interval;
            let message = build_message(operation, now, token);
            actions.push(Action::Send { to, message });
        }
        if operation.local || now < operation.fallback_at {
            return;
        }
        operation.local = true;
        let kind = operation.kind.clone();
        let deadline = operation.deadline;
        let writer_actions = match kind {
            Kind::Claim(body) => self.writer.claim(now, key, body, token, deadline),
            Kind::Record(record) => self.writer.record(now, key, token, record),
            Kind::Release => self.writer.release(now, key, token),
        };
        actions.extend(self.route_actions(now, writer_actions));
    }

    fn abandon_operation(&mut self, now: Instant, token: Token, actions: &mut Vec<Action>) {
        let Some(operation) = self.pending.swap_remove(&token) else { return };
        let key = operation.key;
        if !matches!(operation.kind, Kind::Claim(_)) {
            actions.push(Action::Settled { key, token });
            return;
        }
        if operation.local {
            self.writer.withdraw_claim(&key, token);
        }
        actions.push(Action::Decide { key, token, decision: Decision::Unavailable });
        // A writer may have stored the claim although its response did not arrive.
        let deadline = now + self.options.writer.settle_timeout;
        actions.extend(self.submit_operation(
            now,
            operation.writer_node,
            Kind::Release,
            key,
            token,
            deadline,
        ));
    }

    /// Handles a writer's decision on a claim of this router. `from` is `None` for the local writer.
    fn handle_decision(
        &mut self,
        now: Instant,
        from: Option<Node>,
        token: Token,
        decision: Decision,
    ) -> Vec<Action> {
        let Some(operation) = self.pending.get(&token) else { return Vec::new() };
        if !matches!(operation.kind, Kind::Claim(_)) {
            return Vec::new();
        }
        let key = operation.key;
        if now >= operation.deadline {
            let mut actions = Vec::new();
            self.abandon_operation(now, token, &mut actions);
            return actions;
        }
        if decision == Decision::Unavailable {
            // The bucket's writer is overloaded or its clock is ahead; the local writer may still succeed.
            return self.handle_unavailable(now, from, token);
        }
        if operation.local && from.is_some() {
            self.writer.withdraw_claim(&key, token);
        }
        self.pending.swap_remove(&token);
        vec![Action::Decide { key, token, decision }]
    }

    fn handle_unavailable(
        &mut self,
        now: Instant,
        from: Option<Node>,
        token: Token,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(operation) = self.pending.get_mut(&token) else { return actions };
        match from {
            Some(_) if !operation.local => {
                operation.writer_node = None;
                operation.fallback_at = now;
                self.advance_operation(now, token, &mut actions);
            }
            _ => self.abandon_operation(now, token, &mut actions),
        }
        actions
    }

    fn handle_settled(&mut self, token: Token) -> Vec<Action> {
        match self.pending.get(&token) {
            Some(operation) if !matches!(operation.kind, Kind::Claim(_)) => {
                let key = operation.key;
                self.pending.swap_remove(&token);
                vec![Action::Settled { key, token }]
            }
            _ => Vec::new(),
        }
    }

    /// Routes the local writer's actions to the store, to this router's operations or to another router.
    fn route_actions(&mut self, now: Instant, actions: Vec<writer::Action>) -> Vec<Action> {
        let mut routed = Vec::new();
        for action in actions {
            match action {
                writer::Action::Decide { token, decision, .. } => {
                    if self.is_local(token) {
                        routed.extend(self.handle_decision(now, None, token, decision));
                    } else {
                        let message = Message::Decided { token, decision };
                        routed.push(Action::Send { to: token.0.node, message });
                    }
                }
                writer::Action::Settled { token, .. } => {
                    if self.is_local(token) {
                        routed.extend(self.handle_settled(token));
                    } else {
                        let message = Message::Settled { token };
                        routed.push(Action::Send { to: token.0.node, message });
                    }
                }
                store => routed.push(Action::Store(store)),
            }
        }
        routed
    }

    fn is_local(&self, token: Token) -> bool {
        token.0.node == self.options.writer.node
    }
}

fn build_message(operation: &Operation, now: Instant, token: Token) -> Message {
    let key = operation.key;
    match &operation.kind {
        Kind::Claim(body) => {
            let remaining = (operation.deadline - now).as_millis();
            let remaining_ms = u32::try_from(remaining).unwrap_or(u32::MAX);
            Message::Claim { key, body: *body, token, remaining_ms }
        }
        Kind::Record(record) => Message::Record { key, token, record: record.clone() },
        Kind::Release => Message::Release { key, token },
    }
}
