//! The endpoints of one service, their load as this router sees it, and the choice among them.

mod choose;
mod endpoint;

use {
    crate::{
        condition::{Gate, News, Register, Source},
        prompt::Prompt,
        spread::Changes,
    },
    endpoint::State,
    indexmap::IndexMap,
    siskin_route::health::{self, Tracker},
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load,
    std::{collections::HashSet, time::Duration},
};

pub use {
    choose::{Placement, Refusal, Why},
    endpoint::Info,
};

/// A peer's load counts until this long after its last digest: a router that is gone, or cut off, has no requests
/// in flight that matter for long.
const PEER_LIFETIME: Duration = Duration::from_secs(3);

/// Parts and endpoints told to peers that wait for the next digest.
const KEPT_MAX: usize = 64;

/// What a request asks of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The prompt to read; empty for services that read none.
    pub prompt: Prompt,
    /// Time within which the answer has to begin to be worth its full value.
    pub aim: Duration,
    /// Time that is left for the whole answer.
    pub allowed: Duration,
    /// Share of the aim that the request may wait at an endpoint. Beyond it, the request is refused.
    pub patience: f64,
    /// How much the time to read the request's own prompt counts as waiting.
    pub own_weight: f64,
}

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it was sent.
    pub since: Instant,
    /// Tokens that the endpoint has to read for it.
    tokens: u64,
    /// Tokens that were to be read before it.
    ahead: u64,
    /// Whether the answer has begun.
    answering: bool,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete answer.
    Completed,
    /// With an answer that reports a failure.
    Failed,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// The connection broke, or the answer was no answer.
    Broken,
    /// The caller left, or its time was over.
    Abandoned,
}

/// The endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    endpoints: IndexMap<Endpoint, State>,
    conditions: Register,
    health: Tracker,
    /// Expected time of one request at an endpoint.
    mean_time: Duration,
    kept: Vec<load::Kept>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            endpoints: IndexMap::new(),
            conditions: Register::default(),
            health: Tracker::new(health::Options {
                backoff_min: endpoint::DOWN_MIN,
                backoff_max: endpoint::DOWN_MAX,
                ..health::Options::default()
            }),
            mean_time: endpoint::MEAN_TIME_FIRST,
            kept: Vec::new(),
        }
    }
}

impl Pool {
    /// A pool without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number that tells this router from the others.
    pub const fn set_salt(&mut self, salt: u64) {
        self.conditions.set_salt(salt);
    }

    /// Brings the list of endpoints up to date. What is known of those that stay is kept.
    pub fn set_endpoints(&mut self, now: Instant, infos: &[Info]) {
        self.conditions.list(now, infos.iter().map(|info| (info.id, info.leaving)));
        let listed: HashSet<Endpoint> = infos.iter().map(|info| info.id).collect();
        self.endpoints.retain(|id, state| {
            state.listed = listed.contains(id);
            state.listed || state.in_flight() > 0
        });
        for info in infos {
            match self.endpoints.get_mut(&info.id) {
                Some(state) => state.update(info),
                None => drop(self.endpoints.insert(info.id, State::new(info))),
            }
        }
        self.health.retain(|id| self.endpoints.contains_key(&id));
    }

    /// Endpoints that take requests, whether they are reachable or not.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open_endpoints().count()
    }

    /// Endpoints that take new requests, now or after a while.
    fn open_endpoints(&self) -> impl Iterator<Item = (Endpoint, &State)> {
        let endpoints = self.endpoints.iter().map(|(id, state)| (*id, state));
        endpoints.filter(|(id, state)| state.listed && !self.conditions.is_leaving(*id))
    }

    /// Whether a request may be sent to an endpoint now.
    #[must_use]
    pub fn gate(&self, now: Instant, endpoint: Endpoint) -> Gate {
        self.conditions.gate(now, endpoint)
    }

    /// An endpoint said in an answer to this router that it leaves.
    pub fn leaves(&mut self, now: Instant, endpoint: Endpoint) {
        self.conditions.leaves(now, endpoint, Source::Answer, Duration::ZERO);
    }

    /// An endpoint asked this router to send nothing for a while.
    pub fn backs_off(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        self.conditions.backs_off(now, endpoint, time);
    }

    /// An endpoint has taken a request, and said nothing against more.
    pub fn accepts(&mut self, now: Instant, endpoint: Endpoint) {
        self.conditions.accepts(now, endpoint);
    }

    /// This process was suspended for a while that its clock does not count.
    pub fn suspended(&mut self, time: Duration) {
        self.conditions.suspended(time);
    }

    /// What endpoints have said of themselves since this was last asked.
    pub fn take_news(&mut self) -> Vec<(Endpoint, News)> {
        self.conditions.take_news()
    }

    /// Listed endpoints that leave, by who said so.
    pub fn leaving(&self) -> impl Iterator<Item = Source> {
        self.conditions.leaving()
    }

    /// Endpoints that have asked this router to back off.
    #[must_use]
    pub fn backing_off(&self, now: Instant) -> usize {
        self.conditions.backing_off(now)
    }

    /// What other routers are to be told of endpoints that leave.
    pub fn told(&self, now: Instant) -> impl Iterator<Item = load::Leaving> {
        self.conditions.told(now)
    }

    /// The request is about to be sent.
    pub fn sent(&mut self, now: Instant, endpoint: Endpoint, prompt: &Prompt) -> Flight {
        let mut flight = Flight { endpoint, since: now, tokens: 0, ahead: 0, answering: false };
        self.conditions.sent(now, endpoint);
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return flight };
        flight.ahead = state.backlog();
        flight.tokens = prompt.tokens() - state.cache.cached(prompt);
        let shared = prompt.parts().len().saturating_sub(1);
        for part in &prompt.parts()[..shared] {
            if self.kept.len() < KEPT_MAX && !state.cache.holds(part.chain) {
                self.kept.push(load::Kept { endpoint, chain: part.chain });
            }
        }
        state.sent(now, prompt, flight.tokens);
        flight
    }

    /// The answer has begun: the prompt has been read.
    pub fn began(&mut self, now: Instant, flight: &mut Flight) {
        if std::mem::replace(&mut flight.answering, true) {
            return;
        }
        let Some(state) = self.endpoints.get_mut(&flight.endpoint) else { return };
        state.read(flight.tokens);
        state.learn_rate(flight.ahead + flight.tokens, now - flight.since);
    }

    /// The request is no longer at the endpoint.
    pub fn ended(&mut self, now: Instant, flight: &Flight, end: End) {
        let Some(state) = self.endpoints.get_mut(&flight.endpoint) else { return };
        state.ended(if flight.answering { 0 } else { flight.tokens });
        match end {
            End::Completed | End::Failed => {
                state.note_answer(end == End::Failed);
                self.mean_time = endpoint::averaged(self.mean_time, now - flight.since);
                self.health.succeeded(flight.endpoint);
            }
            End::Broken => state.note_answer(true),
            End::NotRun => state.note_full(now),
            End::Abandoned => {}
        }
    }

    /// The endpoint cannot be reached.
    pub fn unreachable(&mut self, now: Instant, endpoint: Endpoint) -> health::Change {
        self.health.failed(now, endpoint)
    }

    /// A peer's load. It replaces what the peer said before.
    pub fn hear(&mut self, now: Instant, node: Node, digest: &load::Digest) {
        let covered = self.endpoints.iter_mut().filter(|(id, _)| digest.covers.contains(&id.0));
        for (id, state) in covered {
            let load = digest.loads.iter().find(|load| load.endpoint == *id);
            state.hear(now, node, load);
        }
        for leaving in &digest.leaving {
            // Those of other services, and those not listed yet, are told again.
            if self.endpoints.contains_key(&leaving.endpoint) {
                let age = Duration::from_millis(u64::from(leaving.age_ms));
                self.conditions.leaves(now, leaving.endpoint, Source::Peer, age);
            }
        }
        for kept in &digest.kept {
            if let Some(state) = self.endpoints.get_mut(&kept.endpoint) {
                state.cache.note(kept.chain);
            }
        }
    }

    /// Forgets the load of peers that fell silent, and of those that are not to be kept.
    pub fn expire(&mut self, now: Instant, kept: impl Fn(Node) -> bool) {
        for state in self.endpoints.values_mut() {
            state.retain_peers(&kept);
            state.expire(now);
        }
        self.conditions.expire(now);
    }

    /// What this router has added since this was last asked.
    pub fn take_changes(&mut self, changes: &mut Changes) {
        changes.kept.append(&mut self.kept);
        for (id, state) in &mut self.endpoints {
            let read = state.take_read();
            if read > 0 {
                *changes.reads.entry(*id).or_default() += read;
            }
        }
    }

    /// The load of this router and of the peers that are `included`, on endpoints on which they have some or which have asked
    /// them to back off.
    pub fn loads(
        &self,
        now: Instant,
        included: impl Fn(Node) -> bool,
    ) -> impl Iterator<Item = load::Load> {
        let load = move |(id, state): (&Endpoint, &State)| {
            state.load(*id, self.conditions.is_backing_off(now, *id), &included)
        };
        let spoken_of = |load: &load::Load| load.in_flight > 0 || load.backing_off > 0;
        self.endpoints.iter().map(load).filter(spoken_of)
    }

    /// Requests of this router that are at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: Endpoint) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, State::in_flight)
    }
}
