//! The endpoints of one service, their load as this router sees it, and the choice among them.

mod choose;
mod endpoint;

use {
    crate::{prompt::Prompt, spread::Changes},
    endpoint::State,
    indexmap::IndexMap,
    siskin_route::health::{self, Tracker},
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load,
    std::time::Duration,
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
    health: Tracker,
    /// Expected time of one request at an endpoint.
    mean_time: Duration,
    kept: Vec<load::Kept>,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            endpoints: IndexMap::new(),
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

    /// Brings the list of endpoints up to date. What is known of those that stay is kept.
    pub fn set_endpoints(&mut self, infos: &[Info]) {
        self.endpoints
            .retain(|id, state| infos.iter().any(|info| info.id == *id) || state.in_flight() > 0);
        for (id, state) in &mut self.endpoints {
            state.listed = infos.iter().any(|info| info.id == *id);
        }
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
        self.endpoints.values().filter(|state| state.open()).count()
    }

    /// The request is about to be sent.
    pub fn sent(&mut self, now: Instant, endpoint: Endpoint, prompt: &Prompt) -> Flight {
        let mut flight = Flight { endpoint, since: now, tokens: 0, ahead: 0, answering: false };
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

    /// The load of this router and of the peers that are `included`, on endpoints on which they have some.
    pub fn loads(&self, included: impl Fn(Node) -> bool) -> impl Iterator<Item = load::Load> {
        self.endpoints
            .iter()
            .map(move |(id, state)| state.load(*id, &included))
            .filter(|load| load.in_flight > 0)
    }

    /// Requests of this router that are at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: Endpoint) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, State::in_flight)
    }
}
