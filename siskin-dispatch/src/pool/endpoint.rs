//! What is known of one endpoint.

use {
    super::PEER_LIFETIME,
    crate::{cache::Cache, prompt::Prompt},
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load::Load,
    std::time::Duration,
};

/// Time without requests after an endpoint could not be reached; doubled with each further failure.
pub(super) const DOWN_MIN: Duration = Duration::from_millis(500);

/// Longest time without requests.
pub(super) const DOWN_MAX: Duration = Duration::from_secs(3);

/// Expected time of a request before any has ended.
pub(super) const MEAN_TIME_FIRST: Duration = Duration::from_millis(50);

/// Time in which an endpoint that said it was full is avoided.
const FULL_TIME: Duration = Duration::from_millis(100);

/// Time in which an idle connection is likely still open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);

/// Weight of a new sample in running averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Weight of a new sample in the share of failed answers: about the last ten answers count.
const FAILURE_WEIGHT: f64 = 0.1;

/// Prompt tokens below which the time of an answer says little about the speed of reading.
const RATE_TOKENS_MIN: u64 = 4_000;

/// Answers after which a learned reading speed counts.
const SAMPLES_MIN: u32 = 20;

/// Reading speed assumed before it is known, in tokens per millisecond.
const RATE_FIRST: f64 = 40.0;

/// Bounds of the learned reading speed, in tokens per millisecond.
const RATE_MIN: f64 = 2.0;
const RATE_MAX: f64 = 2_000.0;

/// What the directory says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Info {
    /// The endpoint.
    pub id: Endpoint,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Tokens that its memory holds; 0 for services without prompts.
    pub memory_tokens: u64,
    /// Whether it is in this router's data centre.
    pub near: bool,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
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
    pub(super) near: bool,
    pub(super) listed: bool,
    pub(super) cache: Cache,
    in_flight: u32,
    backlog: u64,
    /// Prompt tokens sent by this router that its peers have not been told of.
    read: u32,
    peers: IndexMap<Node, Peer>,
    /// Sums over `peers`, kept up to date because every choice asks every endpoint for them.
    peers_in_flight: u32,
    peers_backlog: u64,
    peers_backing_off: u32,
    /// Tokens per millisecond, as this router has seen.
    rate: f64,
    /// Answers from which `rate` was learned.
    samples: u32,
    /// Mean of what all routers have seen. All reckon with the same speed, or the customers of one would get more.
    shared_rate: f64,
    /// Share of recent answers that were failures.
    failing: f64,
    full_until: Option<Instant>,
    /// When this router last sent it a request.
    sent_at: Option<Instant>,
}

impl State {
    pub(super) fn new(info: &Info) -> Self {
        Self {
            slots: info.slots.max(1),
            near: info.near,
            listed: true,
            cache: Cache::new(info.memory_tokens),
            in_flight: 0,
            backlog: 0,
            read: 0,
            peers: IndexMap::new(),
            peers_in_flight: 0,
            peers_backlog: 0,
            peers_backing_off: 0,
            rate: RATE_FIRST,
            samples: 0,
            shared_rate: RATE_FIRST,
            failing: 0.0,
            full_until: None,
            sent_at: None,
        }
    }

    pub(super) fn update(&mut self, info: &Info) {
        self.slots = info.slots.max(1);
        self.near = info.near;
    }

    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Requests of all routers.
    pub(super) const fn in_flight_all(&self) -> u32 {
        self.in_flight + self.peers_in_flight
    }

    /// Prompt tokens of all routers' requests that have not begun to answer.
    pub(super) const fn backlog(&self) -> u64 {
        self.backlog + self.peers_backlog
    }

    /// Other routers that it has asked to back off.
    pub(super) const fn peers_backing_off(&self) -> u32 {
        self.peers_backing_off
    }

    /// Time to read this many tokens.
    pub(super) fn reading_time(&self, tokens: u64) -> Duration {
        #[expect(clippy::cast_precision_loss)]
        Duration::from_secs_f64(tokens as f64 / self.shared_rate / 1_000.0)
    }

    /// Share of recent answers that were failures.
    pub(super) const fn failing(&self) -> f64 {
        self.failing
    }

    /// Whether this router likely has an open connection to it.
    pub(super) fn connected(&self, now: Instant) -> bool {
        self.in_flight > 0 || self.sent_at.is_some_and(|at| now - at < CONNECTION_LIFETIME)
    }

    pub(super) fn full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    pub(super) fn sent(&mut self, now: Instant, prompt: &Prompt, tokens: u64) {
        self.sent_at = Some(now);
        self.in_flight += 1;
        self.backlog += tokens;
        self.read = self.read.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
        self.cache.record(prompt);
    }

    pub(super) const fn read(&mut self, tokens: u64) {
        self.backlog = self.backlog.saturating_sub(tokens);
    }

    pub(super) const fn ended(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.read(tokens);
    }

    pub(super) fn learn_rate(&mut self, tokens: u64, time: Duration) {
        if tokens < RATE_TOKENS_MIN || time.is_zero() {
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let sample = tokens as f64 / time.as_secs_f64() / 1_000.0;
        self.samples = self.samples.saturating_add(1);
        self.rate += (sample.clamp(RATE_MIN, RATE_MAX) - self.rate) * SAMPLE_WEIGHT;
    }

    pub(super) fn note_answer(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failing += (sample - self.failing) * FAILURE_WEIGHT;
    }

    pub(super) fn note_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_TIME);
    }

    pub(super) fn hear(&mut self, now: Instant, node: Node, load: Option<&Load>) {
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
        self.cache.advance(u64::from(load.read));
    }

    /// The load of this router, which may be `backing_off`, and of the peers that are `included`.
    pub(super) fn load(
        &self,
        endpoint: Endpoint,
        backing_off: bool,
        included: impl Fn(Node) -> bool,
    ) -> Load {
        let mut rates = Rates::default();
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
            rate: rates.mean().map_or(0, whole),
            rated: rates.count,
            backing_off,
        }
    }

    /// Prompt tokens sent by this router since this was last asked.
    pub(super) const fn take_read(&mut self) -> u32 {
        std::mem::replace(&mut self.read, 0)
    }

    /// Forgets what other peers have told.
    pub(super) fn retain_peers(&mut self, kept: impl Fn(Node) -> bool) {
        self.peers.retain(|node, _| kept(*node));
    }

    /// What this router has learned of the reading speed, once that says something.
    fn learned_rate(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.rate)
    }

    /// Forgets the load of peers that have not been heard of for a while, and takes the mean of the learned speeds.
    pub(super) fn expire(&mut self, now: Instant) {
        let (mut in_flight, mut backlog, mut backing_off) = (0, 0, 0);
        let mut rates = Rates::default();
        rates.add(self.learned_rate(), 1);
        for peer in self.peers.values_mut() {
            if now - peer.at >= PEER_LIFETIME {
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
    /// The speed that the peer tells, if it knows one.
    fn known_rate(&self) -> Option<f64> {
        (self.rate > 0).then(|| f64::from(self.rate))
    }
}

/// The mean of speeds that several routers have learned.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    sum: f64,
    count: u16,
}

impl Rates {
    /// Adds the mean of `count` routers.
    fn add(&mut self, rate: Option<f64>, count: u16) {
        let Some(rate) = rate else { return };
        self.sum += rate * f64::from(count);
        self.count = self.count.saturating_add(count);
    }

    fn mean(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

/// A rate as a whole number.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(rate: f64) -> u16 {
    rate.clamp(1.0, f64::from(u16::MAX)) as u16
}

/// A running average of times.
pub(super) fn averaged(mean: Duration, sample: Duration) -> Duration {
    mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT)
}
