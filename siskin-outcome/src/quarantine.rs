//! Finds out which requests crash endpoints, and refuses them.
//!
//! A crash shows as broken connections; which of the waiting requests caused it does not show. Each request is described
//! by [`Features`]: a hash of its content, and one for each part of its prompt that other requests may share. When an
//! endpoint crashes, the features of all requests whose response had not begun there are recorded. When an endpoint begins
//! to respond to a request, its features are cleared. A feature that was present at several crashes and has not been
//! cleared since is the cause ([`Verdict::Refuse`]). Several features that always occur together are a cause only
//! together, so a request that shares just some of them still runs.
//!
//! All routers of a fleet exchange what they recorded ([`Register::report`], [`Register::merge`]) and draw the same
//! conclusions from it. There is no owner: the facts may arrive repeatedly and in any order. In contrast to
//! [`crate::poison`], which isolates requests with the help of the owner of a pool, this needs no view of the requests
//! that other routers have sent.
//!
//! Endpoints that crash at the same moment count as one crash: an outage ends them together, whatever they were running.
//!
//! What is refused gets no response that could clear it. Some time after its last crash, one request with the cause is
//! therefore let through ([`Verdict::Trial`]). A response to it clears the cause at all routers. Another crash makes the
//! next trial later, until the cause has had as many crashes as it may have.
//!
//! **Bound.** Requests with the same cause, sent one after another, crash two endpoints, or three if a part of the
//! prompt is the cause and the same request was sent twice. Trials take a request to three, and a part to five. Each
//! request that was sent before its router learned of the last crash may add one.
//!
//! **Limits.** The state is lost when all routers restart at the same time. A request that was present at three crashes
//! by chance, or a part at five, is refused until [`Options::refusal_ttl`] has passed.

mod cause;
mod options;
mod table;
mod trial;

pub use {cause::Cause, options::Options, siskin_wire::crash::Report};

use {
    crate::{features::Features, timestamp::Timestamp},
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    std::time::Duration,
    table::Table,
    trial::{Trials, Turn},
};

/// Decision on whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may run.
    Run,
    /// It was waiting at an endpoint that crashed. It may run, but apart from other such requests, which would be involved
    /// in the next crash as well, and at the same endpoint as its copies, which would crash further ones.
    RunApart,
    /// It has the features of a cause, and may run to show whether they still crash endpoints: at the endpoint that `number`
    /// chooses, as all trials of this cause, and at no other one if that fails.
    Trial {
        /// Number that identifies the cause.
        number: u64,
    },
    /// It crashes endpoints, so it may not run.
    Refuse {
        /// How long it is refused.
        retry_after: Duration,
        /// Number of crashes that its features have caused, of those that this router has recorded or received.
        crashes: usize,
    },
}

/// What was last sent to a receiver.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    /// Version of the table.
    version: u64,
    /// When everything was last sent.
    at: Option<Instant>,
}

/// Progress of a router that has just started in receiving the facts of its peers.
#[derive(Clone, Copy, Debug)]
enum Synchronization {
    /// It has made no report yet.
    NotStarted,
    /// It requests all facts until this time.
    InProgress { until: Instant },
    /// It has received facts, or has stopped waiting for them.
    Done,
}

/// The crashes that one router has recorded or received, and the causes that follow from them.
///
/// ```
/// use {
///     siskin_outcome::{features::Features, quarantine::{Options, Register, Verdict}},
///     siskin_types::{id::{Customer, Endpoint}, time::Instant},
/// };
/// let request = |body: &[u8]| Features::new(Customer(1), &[body], "engines", [7]);
/// let (crashing, sound) = (request(b"a"), request(b"b"));
/// let mut register = Register::new(Options::default());
/// let now = Instant::from_micros(1_000_000);
/// register.record_crash(now, Endpoint(1), &crashing);
/// assert_eq!(register.verdict(now, &crashing), Verdict::RunApart);
/// let later = Instant::from_micros(2_000_000);
/// register.record_start(later, &sound);
/// register.record_crash(later, Endpoint(2), &crashing);
/// assert!(matches!(register.verdict(later, &crashing), Verdict::Refuse { .. }));
/// assert_eq!(register.verdict(later, &sound), Verdict::Run, "it shares a part, which is cleared");
/// ```
#[derive(Debug)]
pub struct Register {
    options: Options,
    table: Table,
    causes: Vec<Cause>,
    /// Version of the table from which the causes were concluded.
    causes_version: u64,
    sent: IndexMap<Node, Sent>,
    sync: Synchronization,
    trials: Trials,
}

impl Register {
    /// Creates a register without crashes.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            options,
            table: Table::new(options),
            causes: Vec::new(),
            causes_version: 0,
            sent: IndexMap::new(),
            sync: Synchronization::NotStarted,
            trials: Trials::default(),
        }
    }

    /// Sets the router that this register belongs to. Routers with different numbers make trials at different times.
    pub const fn set_node(&mut self, node: Node) {
        self.trials.set_node(node);
    }

    /// Records that a request was waiting for its response at an endpoint that crashed.
    pub fn record_crash(&mut self, now: Instant, endpoint: Endpoint, features: &Features) {
        let now = Timestamp::from(now);
        self.table.record_involvement(now, now, endpoint, features.as_slice());
        self.enforce_limit();
    }

    /// Records that an endpoint has begun to respond to a request.
    pub fn record_start(&mut self, now: Instant, features: &Features) {
        let now = Timestamp::from(now);
        for feature in features.as_slice() {
            self.table.record_start(now, *feature);
        }
    }

    /// Whether a crash of the endpoint was recorded just now.
    #[must_use]
    pub fn has_just_crashed(&self, now: Instant, endpoint: Endpoint) -> bool {
        self.table.has_crash(Timestamp::from(now), endpoint)
    }

    /// Decides whether a request may be sent to an endpoint. A trial that is allowed counts as made.
    pub fn verdict(&mut self, now: Instant, features: &Features) -> Verdict {
        let now = Timestamp::from(now);
        self.update_causes();
        let Options { provisional_refusal, refusal_ttl, .. } = self.options;
        let is_in_force = |cause: &&Cause| now.duration_since(cause.last) < refusal_ttl;
        let present = |cause: &&Cause| is_in_force(cause) && features.include(&cause.features);
        let causes: Vec<&Cause> = self.causes.iter().filter(present).collect();
        let Some(last) = causes.iter().map(|cause| cause.last).max() else {
            return match features.content() {
                Some(content) if self.table.is_involved(content) => Verdict::RunApart,
                _ => Verdict::Run,
            };
        };
        let crashes = causes.iter().map(|cause| cause.crashes.len()).max().unwrap_or(0);
        let provisional = provisional_refusal.saturating_sub(now.duration_since(last));
        if !provisional.is_zero() {
            return Verdict::Refuse { retry_after: provisional, crashes };
        }
        match self.trials.take_turn(now, &self.options, features, &causes) {
            Turn::Now { number } => Verdict::Trial { number },
            Turn::After(retry_after) => Verdict::Refuse { retry_after, crashes },
        }
    }

    /// Merges what another router has recorded.
    pub fn merge(&mut self, now: Instant, from: Node, report: &Report) {
        let now = Timestamp::from(now);
        if report.requests_all {
            self.sent.swap_remove(&from);
        }
        if !(report.involvements.is_empty() && report.clearances.is_empty()) {
            self.sync = Synchronization::Done;
        }
        for clearance in &report.clearances {
            self.table.clear(now.minus_ms(clearance.age_ms), clearance.feature);
        }
        for involvement in &report.involvements {
            let (at, endpoint) = (now.minus_ms(involvement.age_ms), involvement.endpoint);
            self.table.record_involvement(now, at, endpoint, &involvement.features);
            self.enforce_limit();
        }
    }

    /// What a receiver has to be sent now: new facts at once, and all that may still matter at intervals.
    pub fn report(&mut self, now: Instant, receiver: Node) -> Report {
        let time = Timestamp::from(now);
        self.update_causes();
        let requests_all = self.is_synchronizing(now);
        let sent = self.sent.entry(receiver).or_default();
        let repeat_is_due = sent.at.is_none_or(|at| now - at >= self.options.repeat_interval);
        let since = if repeat_is_due { 0 } else { sent.version };
        if repeat_is_due {
            sent.at = Some(now);
        }
        sent.version = self.table.version();
        Report { requests_all, ..self.table.report(time, since, &self.causes) }
    }

    /// Whether the facts of the peers have to be requested.
    fn is_synchronizing(&mut self, now: Instant) -> bool {
        match self.sync {
            Synchronization::NotStarted => {
                self.sync = Synchronization::InProgress { until: now + self.options.sync_timeout };
                true
            }
            Synchronization::InProgress { until } => now < until,
            Synchronization::Done => false,
        }
    }

    /// Forgets what is too old, and receivers for which `kept` is false.
    pub fn expire(&mut self, now: Instant, kept: impl Fn(Node) -> bool) {
        self.sent.retain(|receiver, _| kept(*receiver));
        let now = Timestamp::from(now);
        self.table.expire(now);
        self.trials.expire(now, &self.options);
    }

    /// The causes of crashes that were found.
    pub fn causes(&mut self) -> &[Cause] {
        self.update_causes();
        &self.causes
    }

    /// Number of the last change to what is known.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.table.version()
    }

    /// Number of crashes that are remembered.
    #[must_use]
    pub fn crashes(&self) -> usize {
        self.table.crashes().len()
    }

    /// Concludes the causes from the crashes if these have changed.
    fn update_causes(&mut self) {
        if self.causes_version != self.table.version() {
            self.causes = cause::find_causes(self.table.crashes(), self.options.outage_window);
            self.causes_version = self.table.version();
        }
    }

    fn enforce_limit(&mut self) {
        if self.table.exceeds_limit() {
            self.update_causes();
            self.table.evict(&self.causes);
        }
    }
}
