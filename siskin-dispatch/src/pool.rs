//! The endpoints of one service, their load as this router sees it, and the choice of an endpoint for a request.

mod choose;
mod cold;
mod endpoint;
mod limits;
mod place;
mod work;

use {
    crate::{
        condition::{Availability, Change, Conditions, Listed, Source},
        cost,
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
    choose::{Cause, Placement, Refusal},
    endpoint::Info,
};

/// How long a peer's load counts after its last digest. A router that has stopped or is partitioned has no requests in
/// flight that matter for longer.
const PEER_LOAD_LIFETIME: Duration = Duration::from_secs(3);

/// Most newly cached parts that are queued for the next digest.
const PENDING_PARTS_MAX: usize = 64;

/// What a request requires of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// The prompt; empty for services that take none.
    pub prompt: Prompt,
    /// Target latency: time within which the answer has to begin to be worth its full value.
    pub aim: Duration,
    /// Time left until the request's deadline.
    pub allowed: Duration,
    /// Share of the target latency that the request may wait at an endpoint. A request that would wait longer is
    /// refused.
    pub patience: f64,
    /// Weight of the prefill time of the request's own prompt when its wait is compared with this limit.
    pub own_weight: f64,
    /// Set for a request that may crash its endpoint. All routers send requests with the same number to the same endpoint, if
    /// they may run there, so that they crash few of them, and requests with other numbers are mostly elsewhere.
    pub isolation: Option<u64>,
    /// What is known of the request's cost.
    pub cost: cost::Request,
    /// Number that differs between requests, by which one of several endpoints that are about equally good is chosen.
    pub number: u64,
}

/// A request that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// When it was sent.
    pub since: Instant,
    /// Prompt tokens that the endpoint has to prefill for it.
    tokens: u64,
    /// Backlog of the endpoint in tokens when the request was sent.
    backlog_ahead: u64,
    /// Whether the response has begun.
    response_begun: bool,
    /// What this router notes of the request's work.
    work: work::RequestWork,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a complete response.
    Completed,
    /// With a response that reports a failure.
    Failed,
    /// The endpoint said that it did not run the request.
    NotRun,
    /// The connection broke, or the response was malformed.
    Broken,
    /// The caller disconnected, or the deadline passed.
    Abandoned,
}

/// The endpoints of one service.
#[derive(Debug)]
pub struct Pool {
    endpoints: IndexMap<Endpoint, State>,
    conditions: Conditions,
    health: Tracker,
    /// Moving average of the time that a request takes at an endpoint.
    mean_time: Duration,
    kept: Vec<load::Kept>,
    /// Costs and numbers of requests, once endpoints say how busy they are.
    works: work::WorkState,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            endpoints: IndexMap::new(),
            conditions: Conditions::default(),
            health: Tracker::new(health::Options {
                backoff_min: endpoint::UNREACHABLE_BACKOFF_MIN,
                backoff_max: endpoint::UNREACHABLE_BACKOFF_MAX,
                ..health::Options::default()
            }),
            mean_time: endpoint::MEAN_TIME_INITIAL,
            kept: Vec::new(),
            works: work::WorkState::default(),
        }
    }
}

impl Pool {
    /// A pool without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the number that distinguishes this router from others, for the jitter of back-offs.
    pub const fn set_salt(&mut self, salt: u64) {
        self.conditions.set_salt(salt);
    }

    /// Replaces the list of endpoints. The state of those that remain listed is kept; an unlisted one is dropped once
    /// it has no requests in flight.
    pub fn set_endpoints(&mut self, now: Instant, infos: &[Info]) {
        let said = |info: &Info| Listed {
            endpoint: info.id,
            leaving: info.leaving,
            drained: info.drained,
        };
        self.conditions.update_listed(now, infos.iter().map(said));
        for info in infos {
            let in_use = self.endpoints.contains_key(&info.id);
            self.conditions.update_cold(now, info.id, info.cold_for, in_use);
        }
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
        self.refresh_works(now);
    }

    /// Number of endpoints that accept requests, reachable or not.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open_endpoints().count()
    }

    /// Endpoints that are listed and neither leaving nor drained. They may be backing off or unreachable.
    fn open_endpoints(&self) -> impl Iterator<Item = (Endpoint, &State)> {
        let endpoints = self.endpoints.iter().map(|(id, state)| (*id, state));
        endpoints.filter(|(id, state)| state.listed && !self.conditions.is_closed(*id))
    }

    /// Whether a request may be sent to an endpoint now.
    #[must_use]
    pub fn availability(&self, now: Instant, endpoint: Endpoint) -> Availability {
        self.conditions.availability(now, endpoint)
    }

    /// Records that an endpoint reported in an answer to this router that it is leaving.
    pub fn record_leaving(&mut self, now: Instant, endpoint: Endpoint) {
        self.conditions.record_leaving(now, endpoint, Source::Answer, Duration::ZERO);
    }

    /// Records that an endpoint asked this router to back off.
    pub fn record_backoff(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        self.conditions.record_backoff(now, endpoint, time);
    }

    /// Records that an endpoint accepted a request without asking for a back-off.
    pub fn record_acceptance(&mut self, now: Instant, endpoint: Endpoint) {
        self.conditions.record_acceptance(now, endpoint);
    }

    /// Accounts for a suspension of the process that its clock did not count.
    pub fn suspended(&mut self, time: Duration) {
        self.conditions.suspended(time);
    }

    /// Takes the changes in what endpoints report of themselves since the last call.
    pub fn take_condition_changes(&mut self) -> Vec<(Endpoint, Change)> {
        self.conditions.take_condition_changes()
    }

    /// Sources by which listed endpoints are leaving or drained, one for each endpoint.
    pub fn closed_sources(&self) -> impl Iterator<Item = Source> {
        self.conditions.closed_sources()
    }

    /// Number of endpoints whose back-off for this router has not ended.
    #[must_use]
    pub fn backing_off(&self, now: Instant) -> usize {
        self.conditions.backing_off(now)
    }

    /// Leaving endpoints to announce to other routers.
    pub fn leaving_to_announce(&self, now: Instant) -> impl Iterator<Item = load::Leaving> {
        self.conditions.leaving_to_announce(now)
    }

    /// Records that a request of unknown cost is about to be sent.
    pub fn sent(&mut self, now: Instant, endpoint: Endpoint, prompt: &Prompt) -> Attempt {
        self.sent_request(now, endpoint, prompt, cost::Request::default())
    }

    /// Records that a request is about to be sent.
    pub fn sent_request(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        prompt: &Prompt,
        cost: cost::Request,
    ) -> Attempt {
        let mut attempt = Attempt {
            endpoint,
            since: now,
            tokens: 0,
            backlog_ahead: 0,
            response_begun: false,
            work: work::RequestWork::default(),
        };
        self.conditions.sent(now, endpoint);
        let Some(state) = self.endpoints.get_mut(&endpoint) else { return attempt };
        attempt.backlog_ahead = state.backlog();
        attempt.tokens = prompt.tokens() - state.cache.cached_tokens(prompt);
        for part in prompt.shared_parts() {
            if self.kept.len() < PENDING_PARTS_MAX && !state.cache.contains(part.chain) {
                self.kept.push(load::Kept { endpoint, chain: part.chain });
            }
        }
        state.sent(now, prompt, attempt.tokens);
        self.record_work(now, &mut attempt, prompt, cost);
        attempt
    }

    /// Records that the response has begun, so the prefill of the prompt is complete.
    pub fn record_response_start(&mut self, now: Instant, attempt: &mut Attempt) {
        if std::mem::replace(&mut attempt.response_begun, true) {
            return;
        }
        let Some(state) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        state.remove_backlog(attempt.tokens);
        let slowness = state.work.slowness(now);
        let tokens = attempt.backlog_ahead + attempt.tokens;
        state.record_rate_sample(tokens, now - attempt.since, slowness);
        self.record_work_start(now, attempt);
    }

    /// Records that the request is no longer at the endpoint.
    pub fn record_end(&mut self, now: Instant, attempt: &Attempt, end: End) {
        let Some(state) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        state.record_end(if attempt.response_begun { 0 } else { attempt.tokens });
        let slowness = state.work.slowness(now);
        match end {
            End::Completed | End::Failed => {
                state.record_answer(now, end == End::Failed);
                self.mean_time = endpoint::moving_average(self.mean_time, now - attempt.since);
                self.health.record_success(attempt.endpoint);
            }
            End::Broken => state.record_answer(now, true),
            End::NotRun => state.mark_full(now),
            End::Abandoned => {}
        }
        self.record_work_end(now, attempt, end, slowness);
    }

    /// Records that the endpoint could not be reached.
    pub fn unreachable(&mut self, now: Instant, endpoint: Endpoint) -> health::Change {
        self.health.record_failure(now, endpoint)
    }

    /// Applies a peer's load digest. It replaces what the peer reported before.
    pub fn apply_digest(&mut self, now: Instant, node: Node, digest: &load::Digest) {
        let covered = self.endpoints.iter_mut().filter(|(id, _)| digest.covers.contains(&id.0));
        for (id, state) in covered {
            let load = digest.loads.iter().find(|load| load.endpoint == *id);
            state.update_peer(now, node, load);
        }
        for leaving in &digest.leaving {
            // Endpoints of other services are skipped. Those not listed yet are announced again.
            if self.endpoints.contains_key(&leaving.endpoint) {
                let age = Duration::from_millis(u64::from(leaving.age_ms));
                self.conditions.record_leaving(now, leaving.endpoint, Source::Peer, age);
            }
        }
        for kept in &digest.kept {
            if let Some(state) = self.endpoints.get_mut(&kept.endpoint) {
                state.cache.record_part(kept.chain);
            }
        }
    }

    /// Drops the load of peers that sent no digest lately, and all state of peers for which `kept` is false.
    pub fn expire(&mut self, now: Instant, kept: impl Fn(Node) -> bool) {
        for state in self.endpoints.values_mut() {
            state.retain_peers(&kept);
            state.expire(now);
        }
        self.refresh_works(now);
        self.conditions.expire(now, kept);
    }

    /// Moves what this router has added since the last call into `changes`.
    pub fn take_changes(&mut self, changes: &mut Changes) {
        changes.kept.append(&mut self.kept);
        for (id, state) in &mut self.endpoints {
            let read = state.take_unreported_tokens();
            if read > 0 {
                *changes.reads.entry(*id).or_default() += read;
            }
        }
    }

    /// The load of this router and of the peers that are `included`, for endpoints that have requests in flight or have
    /// asked one of these routers to back off.
    pub fn loads(
        &self,
        now: Instant,
        included: impl Fn(Node) -> bool,
    ) -> impl Iterator<Item = load::Load> {
        let load = move |(id, state): (&Endpoint, &State)| {
            state.load(*id, self.conditions.is_backing_off(now, *id), &included)
        };
        let has_load = |load: &load::Load| load.in_flight > 0 || load.backing_off > 0;
        self.endpoints.iter().map(load).filter(has_load)
    }

    /// Moving average of the time that a request takes at an endpoint.
    #[must_use]
    pub const fn mean_time(&self) -> Duration {
        self.mean_time
    }

    /// Number of this router's requests at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: Endpoint) -> u32 {
        self.endpoints.get(&endpoint).map_or(0, State::in_flight)
    }
}
