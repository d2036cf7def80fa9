//! The state of one endpoint, as this router knows it.

use {
    super::PEER_LOAD_LIFETIME,
    crate::{
        cache::Cache,
        prompt::Prompt,
        work::{self, Typical},
    },
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load::Load,
    std::time::Duration,
};

/// Time without requests after an endpoint could not be reached; doubled with each further failure.
pub(super) const UNREACHABLE_BACKOFF_MIN: Duration = Duration::from_millis(500);

/// Longest time without requests to an unreachable endpoint.
pub(super) const UNREACHABLE_BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Expected time of a request before any has completed.
pub(super) const MEAN_TIME_INITIAL: Duration = Duration::from_millis(50);

/// How long an endpoint that rejected a request as full is avoided.
const FULL_AVOIDED_FOR: Duration = Duration::from_millis(100);

/// How long an idle connection is likely to stay open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);

/// Weight of a new sample in moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the share of failed responses: roughly the last ten responses count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Time since its last response after which the share of failed responses of an endpoint counts less and less: an endpoint that is
/// avoided gets no requests, so no response can show that it works again.
const FAILURES_VALID_FOR: Duration = Duration::from_secs(5);

/// Fewest prompt tokens for which the time to the response says something about the prefill rate.
const RATE_TOKENS_MIN: u64 = 4_000;

/// Fewest samples from which a learned prefill rate is used.
const SAMPLES_MIN: u32 = 20;

/// Prefill rate assumed before any is known, in tokens per millisecond.
const RATE_INITIAL: f64 = 40.0;

/// Bounds of a sample of the prefill rate, in tokens per millisecond.
const RATE_MIN: f64 = 2.0;
const RATE_MAX: f64 = 2_000.0;

/// An endpoint as listed in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Info {
    /// The endpoint.
    pub id: Endpoint,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Tokens that its prefix cache and running requests can hold; 0 for services without prompts.
    pub memory_tokens: u64,
    /// Whether it is in this router's data centre.
    pub same_data_centre: bool,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Whether its data centre is drained, so that it accepts no new requests until the drain ends.
    pub drained: bool,
    /// Time for which it is still cold according to the list; zero if it is warm.
    pub cold_for: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    at: Instant,
    in_flight: u32,
    backlog: u64,
    rate: u16,
    rated: u16,
    backing_off: u16,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) slots: u32,
    pub(super) same_data_centre: bool,
    pub(super) listed: bool,
    pub(super) cache: Cache,
    /// Tokens that the prefix cache and running requests can hold; 0 if unknown.
    pub(super) memory_tokens: u64,
    pub(super) work: work::Endpoint,
    in_flight: u32,
    backlog: u64,
    /// Prompt tokens sent by this router and not yet reported to its peers.
    unreported_tokens: u32,
    peers: IndexMap<Node, Peer>,
    /// Sums over `peers`, maintained incrementally because every choice of an endpoint needs them for all endpoints.
    peers_in_flight: u32,
    peers_backlog: u64,
    peers_backing_off: u32,
    /// Prefill rate in tokens per millisecond, as measured by this router.
    rate: f64,
    /// Number of samples in `rate`.
    samples: u32,
    /// Mean of the rates that all routers measured. All routers use the same rate, or the customers of a router with a
    /// higher one would get more.
    shared_rate: f64,
    /// Share of recent responses that were failures.
    failure_share: f64,
    /// When the last response arrived or broke off.
    last_response: Option<Instant>,
    full_until: Option<Instant>,
    /// When this router last sent a request to the endpoint.
    last_sent: Option<Instant>,
}

impl State {
    pub(super) fn new(info: &Info) -> Self {
        Self {
            slots: info.slots.max(1),
            same_data_centre: info.same_data_centre,
            listed: true,
            cache: Cache::new(info.memory_tokens),
            memory_tokens: info.memory_tokens,
            work: work::Endpoint::default(),
            in_flight: 0,
            backlog: 0,
            unreported_tokens: 0,
            peers: IndexMap::new(),
            peers_in_flight: 0,
            peers_backlog: 0,
            peers_backing_off: 0,
            rate: RATE_INITIAL,
            samples: 0,
            shared_rate: RATE_INITIAL,
            failure_share: 0.0,
            last_response: None,
            full_until: None,
            last_sent: None,
        }
    }

    pub(super) fn update(&mut self, info: &Info) {
        self.slots = info.slots.max(1);
        self.same_data_centre = info.same_data_centre;
    }

    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests in flight of all routers.
    pub(super) const fn total_in_flight(&self) -> u32 {
        self.in_flight + self.peers_in_flight
    }

    /// Prompt tokens of all routers' requests whose response has not begun.
    pub(super) const fn backlog(&self) -> u64 {
        self.backlog + self.peers_backlog
    }

    /// Number of other routers that the endpoint has asked to back off.
    pub(super) const fn peers_backing_off(&self) -> u32 {
        self.peers_backing_off
    }

    /// Time to prefill this many tokens at the usual speed, in milliseconds.
    #[expect(clippy::cast_precision_loss)]
    pub(super) fn prefill_millis(&self, tokens: u64) -> f64 {
        tokens as f64 / self.shared_rate
    }

    /// Time to prefill this many tokens at the speed that the endpoint has now.
    pub(super) fn prefill_time(&self, now: Instant, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.prefill_millis(tokens) / 1_000.0 * self.work.slowness(now))
    }

    /// Share of recent responses that were failures. It decreases while there are no responses.
    pub(super) fn failure_share(&self, now: Instant) -> f64 {
        let age = self.last_response.map_or(Duration::ZERO, |at| now - at);
        if age <= FAILURES_VALID_FOR {
            return self.failure_share;
        }
        self.failure_share * FAILURES_VALID_FOR.div_duration_f64(age)
    }

    /// Whether this router likely has an open connection to the endpoint.
    pub(super) fn is_connected(&self, now: Instant) -> bool {
        self.in_flight > 0 || self.last_sent.is_some_and(|at| now - at < CONNECTION_LIFETIME)
    }

    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    pub(super) fn sent(&mut self, now: Instant, prompt: &Prompt, tokens: u64) {
        self.last_sent = Some(now);
        self.in_flight += 1;
        self.backlog += tokens;
        self.unreported_tokens =
            self.unreported_tokens.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
        self.cache.record_prompt(prompt);
    }

    /// Tokens of memory that requests in flight leave free; the maximum if the size of the memory is unknown.
    pub(super) fn free_memory(&self) -> u64 {
        match self.memory_tokens {
            0 => u64::MAX,
            size => size.saturating_sub(self.work.memory()),
        }
    }

    /// Sums up the remaining work of this router's and of peers' requests.
    pub(super) fn refresh_work(&mut self, now: Instant, typical: Typical) {
        let counts = self.peers.iter().map(|(node, peer)| (*node, peer.in_flight));
        self.work.refresh(now, counts, typical);
    }

    pub(super) const fn remove_backlog(&mut self, tokens: u64) {
        self.backlog = self.backlog.saturating_sub(tokens);
    }

    pub(super) const fn record_end(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.remove_backlog(tokens);
    }

    /// Records the time in which an endpoint that is this much slower than usual prefilled some tokens.
    pub(super) fn record_rate_sample(&mut self, tokens: u64, time: Duration, slowness: f64) {
        if tokens < RATE_TOKENS_MIN || time.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let sample = tokens as f64 / time.as_secs_f64() / 1_000.0 * slowness;
        self.samples = self.samples.saturating_add(1);
        self.rate += (sample.clamp(RATE_MIN, RATE_MAX) - self.rate) * SAMPLE_WEIGHT;
    }

    pub(super) fn record_answer(&mut self, now: Instant, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        let share = self.failure_share(now);
        self.failure_share = share + (sample - share) * FAILURE_WEIGHT;
        self.last_response = Some(now);
    }

    pub(super) fn mark_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_AVOIDED_FOR);
    }

    pub(super) fn update_peer(&mut self, now: Instant, node: Node, load: Option<&Load>) {
        let before = self.peers.get(&node).copied();
        let Some(load) = load else {
            if let Some(before) = before {
                let idle = Peer { at: now, in_flight: 0, backlog: 0, backing_off: 0, ..before };
                self.set_peer(node, idle);
            }
            return;
        };
        let peer = Peer {
            at: now,
            in_flight: load.in_flight,
            backlog: u64::from(load.backlog),
            rate: load.rate,
            rated: load.rated,
            backing_off: load.backing_off,
        };
        let known = before.filter(|_| load.rated == 0);
        let peer =
            known.map_or(peer, |known| Peer { rate: known.rate, rated: known.rated, ..peer });
        self.set_peer(node, peer);
        self.cache.record_processed(u64::from(load.read));
    }

    /// The load of this router, which may be `backing_off`, and of the peers that are `included`.
    pub(super) fn load(
        &self,
        endpoint: Endpoint,
        backing_off: bool,
        included: impl Fn(Node) -> bool,
    ) -> Load {
        let mut rates = Mean::default();
        rates.add(self.learned_rate(), 1);
        let (mut in_flight, mut backlog) = (self.in_flight, self.backlog);
        let mut backing_off = u16::from(backing_off);
        for (_, peer) in self.peers.iter().filter(|(node, _)| included(**node)) {
            in_flight += peer.in_flight;
            backlog += peer.backlog;
            backing_off = backing_off.saturating_add(peer.backing_off);
            rates.add(peer.known_rate(), peer.rated);
        }
        Load {
            endpoint,
            in_flight,
            backlog: u32::try_from(backlog).unwrap_or(u32::MAX),
            read: 0,
            rate: rates.mean().map_or(0, rate_to_u16),
            rated: rates.count,
            backing_off,
        }
    }

    /// Takes the prompt tokens sent by this router since the last call.
    pub(super) const fn take_unreported_tokens(&mut self) -> u32 {
        std::mem::replace(&mut self.unreported_tokens, 0)
    }

    /// Drops the load of peers that are not `kept`.
    pub(super) fn retain_peers(&mut self, kept: impl Fn(Node) -> bool) {
        self.peers.retain(|node, _| kept(*node));
        self.work.retain_peers(kept);
    }

    /// The prefill rate measured by this router, once there are enough samples.
    fn learned_rate(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.rate)
    }

    /// Clears the load of peers that sent no digest lately, and updates the mean of the measured rates.
    pub(super) fn expire(&mut self, now: Instant) {
        let (mut in_flight, mut backlog, mut backing_off) = (0, 0, 0);
        let mut rates = Mean::default();
        rates.add(self.learned_rate(), 1);
        for peer in self.peers.values_mut() {
            if now - peer.at >= PEER_LOAD_LIFETIME {
                peer.in_flight = 0;
                peer.backlog = 0;
                peer.backing_off = 0;
            }
            rates.add(peer.known_rate(), peer.rated);
            in_flight += peer.in_flight;
            backlog += peer.backlog;
            backing_off += u32::from(peer.backing_off);
        }
        if let Some(mean) = rates.mean() {
            self.shared_rate = mean;
        }
        self.peers_in_flight = in_flight;
        self.peers_backlog = backlog;
        self.peers_backing_off = backing_off;
    }

    fn set_peer(&mut self, node: Node, peer: Peer) {
        self.peers_in_flight += peer.in_flight;
        self.peers_backlog += peer.backlog;
        self.peers_backing_off += u32::from(peer.backing_off);
        if let Some(before) = self.peers.insert(node, peer) {
            self.peers_in_flight -= before.in_flight;
            self.peers_backlog -= before.backlog;
            self.peers_backing_off -= u32::from(before.backing_off);
        }
    }
}

impl Peer {
    /// The prefill rate that the peer reports, if it knows one.
    fn known_rate(&self) -> Option<f64> {
        (self.rate > 0).then(|| f64::from(self.rate))
    }
}

/// Mean of the prefill rates measured by several routers.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    count: u16,
}

impl Mean {
    /// Adds a rate that is the mean over `count` routers.
    fn add(&mut self, rate: Option<f64>, count: u16) {
        let Some(rate) = rate else { return };
        self.sum += rate * f64::from(count);
        self.count = self.count.saturating_add(count);
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

/// Converts a rate to the whole number that digests carry.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rate_to_u16(rate: f64) -> u16 {
    rate.clamp(1.0, f64::from(u16::MAX)) as u16
}

/// Adds a sample to a moving average.
pub(super) fn moving_average(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
