//! The limit of one endpoint, and how much of it the routers use.

use {
    super::{MEMORY, Part, RATE_MIN, Rate, count::Count, from_thousandths, to_thousandths},
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::limit,
    std::time::Duration,
};

/// Time for which a request that this router may send can be sent later.
const SAVED_FOR: Duration = Duration::from_secs(2);

/// How much faster routers send for each part of the limit that all routers together have left unused, and slower for each
/// part beyond it.
const PACE_GAIN: f64 = 3.0;

/// Highest pace, as a multiple of the limit.
const PACE_MAX: f64 = 2.5;

/// Requests added to what a limit allows when its use is compared with it: a few requests more or less say little about the
/// pace.
const PACE_REQUESTS: f64 = 2.0;

/// Count of requests at which all routers pause, as a multiple of what the limit allows, and beyond that.
const PAUSE_FACTOR: f64 = 1.25;
const PAUSE_REQUESTS: f64 = 2.0;

/// Time until a router tries again when all routers together have used up a limit.
const USED_UP_RETRY: Duration = Duration::from_millis(250);

/// How long the end of a limit is reported to other routers.
const END_ANNOUNCED_FOR: Duration = Duration::from_secs(60);

/// How long a change is reported before other limits.
const REPORTED_FIRST_FOR: Duration = Duration::from_secs(2);

/// What a peer has last reported. It stands until the next report: decaying it would take for unsent what is not reported yet.
#[derive(Clone, Copy, Debug)]
struct Peer {
    at: Instant,
    sent: f64,
}

/// The limit of one endpoint and its use; kept while the endpoint names a limit and for a while after.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    /// The limit; `None` if the endpoint has stopped naming one.
    rate: Option<Rate>,
    /// When the endpoint sent the newest known answer.
    answered: Instant,
    changed: Instant,
    /// Requests of this router.
    sent: Count,
    /// Requests that this router may send, as a fraction, at the time `credited`.
    credit: f64,
    credited: Instant,
    peers: IndexMap<Node, Peer>,
    /// Sum over `peers`.
    others_sent: f64,
}

impl Usage {
    /// Creates the use of a limit that has just become known. `phase`, below 1, differs between routers, so that they do not
    /// all send at the same time.
    pub(crate) fn new(now: Instant, phase: f64) -> Self {
        Self {
            rate: None,
            answered: Instant::ZERO,
            changed: now,
            sent: Count::default(),
            credit: phase,
            credited: now,
            peers: IndexMap::new(),
            others_sent: 0.0,
        }
    }

    /// The limit, if the endpoint names one.
    pub(crate) const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Applies the limit in an answer that the endpoint sent at the time `answered`. Returns whether the limit has changed.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        answered: Instant,
        rate: Option<Rate>,
        part: Part,
    ) -> bool {
        if answered < self.answered {
            return false;
        }
        self.answered = answered;
        if self.rate == rate {
            return false;
        }
        self.settle(now, part);
        self.rate = rate;
        self.changed = now;
        true
    }

    /// The time from which a request may be sent, if that is not now.
    pub(crate) fn blocked_until(&self, now: Instant, part: Part) -> Option<Instant> {
        let rate = self.effective_rate()?;
        let allowed = rate * MEMORY.as_secs_f64() * part.known;
        if self.all_sent(now) >= allowed * PAUSE_FACTOR + PAUSE_REQUESTS {
            return Some(now + USED_UP_RETRY);
        }
        let missing = 1.0 - self.credit_at(now, part);
        let own_rate = rate * part.own * self.pace(now, rate, part);
        (missing > 0.0).then(|| {
            let wait = Duration::try_from_secs_f64(missing / own_rate).unwrap_or(Duration::MAX);
            now + wait.max(Duration::from_millis(1))
        })
    }

    /// Records that a request is about to be sent.
    pub(crate) fn record_sent(&mut self, now: Instant, part: Part) {
        self.settle(now, part);
        self.credit = (self.credit - 1.0).max(-1.0);
        self.sent.add(now);
    }

    /// Applies the number of requests that a peer has sent, in thousandths. It replaces what the peer reported before.
    pub(crate) fn merge_sent(&mut self, now: Instant, node: Node, sent: u32) {
        self.peers.insert(node, Peer { at: now, sent: from_thousandths(sent) });
        self.sum_peers();
    }

    /// Drops what has become old. Returns whether the state is still needed.
    pub(crate) fn expire(&mut self, now: Instant, part: Part, kept: impl Fn(Node) -> bool) -> bool {
        self.settle(now, part);
        self.peers.retain(|node, peer| now - peer.at < MEMORY && kept(*node));
        self.sum_peers();
        self.rate.is_some() || now - self.changed < END_ANNOUNCED_FOR
    }

    /// Shifts the times of answers to account for a suspension of the process that its clock did not count.
    pub(crate) fn suspended(&mut self, time: Duration) {
        self.answered = self.answered.saturating_sub(time);
        self.changed = self.changed.saturating_sub(time);
    }

    /// The limit, and what this router and the peers that are `included` have sent.
    pub(crate) fn report(
        &self,
        now: Instant,
        endpoint: Endpoint,
        included: impl Fn(Node) -> bool,
    ) -> limit::Limit {
        let peers = self.peers.iter().filter(|(node, _)| included(**node));
        let peers_sent: f64 = peers.map(|(_, peer)| peer.sent).sum();
        limit::Limit {
            endpoint,
            rate: self.rate.map(|rate| rate.0),
            age_ms: u32::try_from((now - self.answered).as_millis()).unwrap_or(u32::MAX),
            sent: to_thousandths(self.sent.value(now) + peers_sent),
        }
    }

    /// Whether a change is so recent that it is reported first.
    pub(crate) fn is_news(&self, now: Instant) -> bool {
        now - self.changed < REPORTED_FIRST_FOR
    }

    fn effective_rate(&self) -> Option<f64> {
        Some(self.rate?.max(RATE_MIN).per_second())
    }

    /// Requests that this router and the known others have sent lately.
    fn all_sent(&self, now: Instant) -> f64 {
        self.sent.value(now) + self.others_sent
    }

    /// The pace at which this router sends, as a multiple of its part of the limit: higher while some parts lapse elsewhere.
    fn pace(&self, now: Instant, rate: f64, part: Part) -> f64 {
        let allowed = rate * MEMORY.as_secs_f64() * part.known;
        let unused = allowed - self.all_sent(now);
        (1.0 + PACE_GAIN * unused / (allowed + PACE_REQUESTS)).clamp(0.0, PACE_MAX)
    }

    /// Brings the credit up to date.
    fn settle(&mut self, now: Instant, part: Part) {
        self.credit = self.credit_at(now, part);
        self.credited = now;
    }

    /// The credit at a time. A part that is worth several requests in [`SAVED_FOR`] is saved up to that number; a smaller one
    /// is saved up to one request, which lapses after that time and leaves what was accumulated since.
    fn credit_at(&self, now: Instant, part: Part) -> f64 {
        let Some(rate) = self.effective_rate() else { return self.credit };
        let own_rate = rate * part.own * self.pace(now, rate, part);
        let credit = self.credit + (now - self.credited).as_secs_f64() * own_rate;
        let saved = own_rate * SAVED_FOR.as_secs_f64();
        if saved >= 1.0 {
            return credit.min(saved);
        }
        let lapsed = (credit - saved).floor().max(0.0);
        credit - lapsed
    }

    fn sum_peers(&mut self) {
        self.others_sent = self.peers.values().map(|peer| peer.sent).sum();
    }
}
