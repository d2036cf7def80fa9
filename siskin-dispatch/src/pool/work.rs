//! Expected cost of requests and remaining work of endpoints. They count once an endpoint of the service says how long work takes on its machine.

use {
    super::{Attempt, End, Pool, endpoint::State},
    crate::{
        cost::{self, Estimate, Model, Sample},
        prompt::Prompt,
        work::{Load, Typical, View},
    },
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::work,
    std::time::Duration,
};

/// Weight of a new sample in the mean memory of requests.
const MEMORY_WEIGHT: f64 = 0.05;

/// Requests of which only the number is known are on average halfway through.
const TYPICAL_REST_DIVISOR: u32 = 2;

/// What a pool knows of the cost of requests.
#[derive(Debug, Default)]
pub(super) struct WorkState {
    /// Whether an endpoint of the service has said how long work takes on its machine, which it shares with others.
    active: bool,
    costs: Model,
    /// Number of the last request.
    last_number: u64,
    /// Moving average of the memory of a request, in tokens.
    mean_memory: f64,
    /// Memory that is free at every endpoint, in tokens, so that most choices need not look at each.
    free_memory_min: u64,
}

impl WorkState {
    #[expect(clippy::cast_precision_loss)]
    fn add_memory(&mut self, tokens: u64) {
        let weight = if self.last_number == 0 { 1.0 } else { MEMORY_WEIGHT };
        self.mean_memory += (tokens as f64 - self.mean_memory) * weight;
    }
}

/// What a router notes of the work of a request that it has sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestWork {
    /// Number of the request among those of the pool; 0 if its work is not counted.
    number: u64,
    cost: cost::Request,
    expected: Option<Duration>,
    /// When the prefill was complete, and how slow the endpoint was.
    start: Option<(Instant, f64)>,
    is_stream: bool,
    /// Whether the response is only the rest of a stream, which says little of the cost of a request.
    is_resumed: bool,
    tokens: Option<u32>,
}

impl Attempt {
    /// Records that the response is a stream that is complete, and the number of its tokens if that is known.
    pub const fn record_stream(&mut self, tokens: Option<u32>) {
        self.work.is_stream = true;
        self.work.tokens = tokens;
    }

    /// Records that the response is the rest of a stream that another endpoint began.
    pub const fn record_resumed_stream(&mut self) {
        self.work.is_stream = true;
        self.work.is_resumed = true;
    }

    /// Time for which the request was expected to occupy a slot and for which it did until `now`; `None` if nothing was expected.
    #[must_use]
    pub fn expected_and_actual(&self, now: Instant) -> Option<(Duration, Duration)> {
        let expected = self.work.expected.filter(|_| !self.work.is_resumed)?;
        Some((expected, self.work.time(now, self.since)))
    }
}

impl RequestWork {
    /// Time for which the request has occupied a slot. Only streams show when the prefill was complete.
    fn time(&self, now: Instant, sent: Instant) -> Duration {
        let start = self.start.filter(|_| self.is_stream).map_or(sent, |(at, _)| at);
        now - start
    }
}

impl Pool {
    /// Whether endpoints of the service say how long work takes, so that requests are placed by expected cost and remaining work.
    #[must_use]
    pub const fn places_by_work(&self) -> bool {
        self.works.active
    }

    /// Records what an endpoint says of its load in a response.
    pub fn record_load(&mut self, now: Instant, endpoint: Endpoint, load: Load) {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            self.works.active |= load.percent.is_some();
            state.work.record_load(now, load, None);
            state.work.mark_changed(now);
        }
    }

    /// Applies a peer's report of remaining work, that of other services excepted.
    pub fn apply_work(&mut self, now: Instant, node: Node, works: &[work::Work]) {
        for work in works {
            let Some(state) = self.endpoints.get_mut(&work.endpoint) else { continue };
            self.works.active |= work.load.is_some_and(|load| load.slowness > 0);
            state.work.merge(now, node, work, state.slots);
        }
    }

    /// Takes over the mean cost of a route from a peer, unless this router knows it.
    pub fn merge_cost(&mut self, mean: &work::Mean) {
        self.works.costs.merge(mean);
    }

    /// Endpoints whose remaining work is of interest to other routers, and when it last changed; that of this router only if `own`.
    pub fn changed_works(
        &self,
        now: Instant,
        own: bool,
    ) -> impl Iterator<Item = (Instant, Endpoint)> {
        let active = self.works.active;
        let endpoints = self.endpoints.iter().filter(move |_| active);
        endpoints.filter_map(move |(id, state)| Some((state.work.changed(now, own)?, *id)))
    }

    /// Remaining work of an endpoint to report to other routers. It covers this router and the peers that are `included`.
    #[must_use]
    pub fn work_to_report(
        &self,
        now: Instant,
        endpoint: Endpoint,
        included: impl Fn(Node) -> bool,
    ) -> Option<work::Work> {
        self.endpoints.get(&endpoint)?.work.report(now, endpoint, included)
    }

    /// Mean costs of routes to report to other routers, for the service with this number.
    pub fn costs_to_report(&self, service: u32) -> impl Iterator<Item = work::Mean> {
        self.works.costs.means(service)
    }

    /// Number of endpoints on which work takes at least this many times as long as usual, as far as that is known.
    #[must_use]
    pub fn slower_than(&self, now: Instant, factor: f64) -> usize {
        let slowness = self.endpoints.values().map(|state| state.work.slowness(now));
        slowness.filter(|slowness| *slowness >= factor).count()
    }

    /// Whether requests wait: at least half of the open endpoints have no free slot.
    #[must_use]
    pub fn is_saturated(&self, now: Instant) -> bool {
        let (mut open, mut full) = (0, 0);
        for (_, state) in self.open_endpoints() {
            open += 1;
            full += u32::from(
                state.work.occupancy(now, state.total_in_flight()).requests
                    >= f64::from(state.slots),
            );
        }
        open > 0 && full * 2 >= open
    }

    /// Expected cost of a request.
    pub(super) fn estimate(&self, cost: &cost::Request) -> Estimate {
        self.works.costs.estimate(cost)
    }

    /// The work of an endpoint.
    pub(super) fn view(&self, now: Instant, state: &State) -> View {
        let known = (state.total_in_flight(), state.slots);
        state.work.view(now, known, self.works.costs.trust(), self.typical())
    }

    /// Whether a request fits an endpoint's memory beside those in flight. One that may be too large by itself is sent to an
    /// endpoint without others, as its output is only expected.
    pub(super) fn fits(state: &State, prompt_tokens: u64, estimate: &Estimate) -> bool {
        let memory = prompt_tokens + u64::from(estimate.tokens);
        let alone = state.total_in_flight() == 0 && prompt_tokens <= state.memory_tokens;
        alone || memory <= state.free_memory()
    }

    /// Whether a request fits the memory of every endpoint.
    pub(super) fn fits_everywhere(&self, prompt_tokens: u64, estimate: &Estimate) -> bool {
        prompt_tokens + u64::from(estimate.tokens) <= self.works.free_memory_min
    }

    fn typical(&self) -> Typical {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let memory = self.works.mean_memory as u64;
        Typical { rest: self.mean_time / TYPICAL_REST_DIVISOR, memory }
    }

    pub(super) fn record_work(
        &mut self,
        now: Instant,
        attempt: &mut Attempt,
        prompt: &Prompt,
        cost: cost::Request,
    ) {
        if !self.works.active {
            return;
        }
        let estimate = self.estimate(&cost);
        let memory = prompt.tokens() + u64::from(estimate.tokens);
        self.works.add_memory(memory);
        self.works.last_number += 1;
        let expected = Some(estimate.time).filter(|time| !time.is_zero());
        let number = self.works.last_number;
        attempt.work = RequestWork { number, cost, expected, ..RequestWork::default() };
        let (typical, mean_time) = (self.typical(), self.mean_time);
        let Some(state) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        state.work.sent(number, expected.unwrap_or(mean_time), memory);
        if prompt.parts().is_empty() {
            state.work.record_start(now, number);
        }
        state.work.mark_changed(now);
        state.refresh_work(now, typical);
        self.works.free_memory_min = self.works.free_memory_min.min(state.free_memory());
    }

    pub(super) fn record_work_start(&mut self, now: Instant, attempt: &mut Attempt) {
        let typical = self.typical();
        let Some(state) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        attempt.work.start = Some((now, state.work.slowness(now)));
        if attempt.work.number > 0 {
            state.work.record_start(now, attempt.work.number);
            state.refresh_work(now, typical);
        }
    }

    /// Records the end of a request at an endpoint that is this much slower than usual now.
    pub(super) fn record_work_end(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        end: End,
        slowness: f64,
    ) {
        let note = &attempt.work;
        if note.number == 0 {
            return;
        }
        if end == End::Completed && !note.is_resumed {
            let slowness_at_start = note.start.map_or(slowness, |(_, slowness)| slowness);
            let mean_slowness = f64::midpoint(slowness_at_start, slowness);
            let time = note.time(now, attempt.since).div_f64(mean_slowness);
            let sample = Sample { time, tokens: note.tokens };
            self.works.costs.record(&note.cost, note.expected, sample);
        }
        let typical = self.typical();
        let Some(state) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        state.work.record_end(note.number);
        state.work.mark_changed(now);
        state.refresh_work(now, typical);
    }

    pub(super) fn refresh_works(&mut self, now: Instant) {
        if !self.works.active {
            return;
        }
        let typical = self.typical();
        for state in self.endpoints.values_mut() {
            state.refresh_work(now, typical);
        }
        let free = self.endpoints.values().map(State::free_memory);
        self.works.free_memory_min = free.min().unwrap_or(0);
    }
}
