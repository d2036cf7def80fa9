//! Remaining work of an endpoint: for how long the requests in flight will occupy its slots, the memory that they take, and how
//! busy and how slow the endpoint says it is.
//!
//! Requests of this router count with their expected cost. Peers report sums. Both these reports and the figures of the endpoint
//! count less with their age ([`weight`]); requests of which nothing else is known count as a typical one.

use {
    indexmap::IndexMap,
    siskin_types::{
        id::{self, Node},
        time::Instant,
    },
    siskin_wire::work,
    std::time::Duration,
};

mod capacity;

pub use capacity::Capacity;

/// Age at which a figure counts half, and age from which it counts for nothing. Endpoints change their speed several times a second.
const HALF_AGE_MICROS: f64 = 300_000.0;
const LIFETIME_MICROS: f64 = 1_000_000.0;
const LIFETIME: Duration = Duration::from_secs(1);

/// Part of the time by which a request is overdue that it is expected to take in addition.
const OVERDUE_PART: u32 = 4;

/// Bounds of what an endpoint says of its slowness, in percent.
const PERCENT_MIN: u16 = 10;
const PERCENT_MAX: u16 = 255 * work::Load::PERCENT_UNIT;

/// Difference by which a figure that a peer reports has to be newer to replace a known one. Times of peers are inexact.
const NEWER_BY: Duration = Duration::from_millis(20);

/// Weight of a figure of this age.
///
/// ```
/// use {siskin_dispatch::work::weight, std::time::Duration};
/// assert_eq!(weight(Duration::ZERO), 1.0);
/// assert_eq!(weight(Duration::from_millis(300)), 0.5);
/// assert_eq!(weight(Duration::from_millis(650)), 0.25);
/// assert_eq!(weight(Duration::from_secs(1)), 0.0);
/// ```
#[must_use]
pub fn weight(age: Duration) -> f64 {
    #[expect(clippy::cast_precision_loss)]
    let micros = age.as_micros() as f64;
    weight_of_micros(micros)
}

/// See [`weight`]. Each choice of an endpoint needs it for all endpoints.
fn weight_of_micros(age: f64) -> f64 {
    if age <= HALF_AGE_MICROS {
        return 1.0 - 0.5 / HALF_AGE_MICROS * age;
    }
    (0.5 / (LIFETIME_MICROS - HALF_AGE_MICROS) * (LIFETIME_MICROS - age)).max(0.0)
}

/// What an endpoint says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// How long work takes on its machine now, in percent of the usual time.
    pub percent: Option<u16>,
}

/// What a request costs of which only the existence is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Typical {
    /// Remaining time in its slot.
    pub rest: Duration,
    /// Memory in tokens.
    pub memory: u64,
}

/// How fast an endpoint works, and for how many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Time that work takes, relative to the usual one.
    pub slowness: f64,
    /// Requests at the endpoint, running or waiting.
    pub requests: f64,
}

/// The work of an endpoint at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Time that work takes, relative to the usual one.
    pub slowness: f64,
    /// Requests at the endpoint, running or waiting.
    pub requests: f64,
    /// Time for which they will occupy slots, at the usual speed.
    pub rest: Duration,
}

impl View {
    /// Expected wait for a free slot of a request that is sent now, if the remaining times of the running requests are distributed
    /// uniformly.
    ///
    /// ```
    /// use {siskin_dispatch::work::View, std::time::Duration};
    /// let view = |requests, millis| View { slowness: 1.0, requests, rest: Duration::from_millis(millis) };
    /// assert_eq!(view(11.0, 9_000).wait(12), Duration::ZERO);
    /// let (short, long) = (view(12.0, 1_200).wait(12), view(12.0, 12_000).wait(12));
    /// assert!(short < Duration::from_millis(20) && long > Duration::from_millis(140));
    /// assert!(view(14.0, 12_000).wait(12) > long);
    /// ```
    #[must_use]
    pub fn wait(&self, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let releases = self.requests + 1.0 - slots;
        if releases <= 0.0 {
            return Duration::ZERO;
        }
        // A waiting request has its whole time to run, twice the mean rest of a running one.
        let waiting = (self.requests - slots).max(0.0);
        let mean_rest = self.rest.div_f64(slots + 2.0 * waiting);
        mean_rest.mul_f64(2.0 * releases / (slots + 1.0) * self.slowness)
    }
}

/// The remaining work of one endpoint, as one router knows it.
///
/// ```
/// use {
///     siskin_dispatch::work::{Endpoint, Load, Typical},
///     siskin_types::time::Instant,
///     std::time::Duration,
/// };
/// let mut work = Endpoint::default();
/// let now = Instant::from_micros(1);
/// work.sent(1, Duration::from_millis(900), 12_380);
/// work.record_start(now, 1);
/// let later = now + Duration::from_millis(300);
/// work.refresh(later, [].into_iter(), Typical::default());
/// let load = Load { running: 2, waiting: 0, slots: 12, percent: Some(250) };
/// work.record_load(later, load, None);
/// let view = work.view(later, (1, 12), 1.0, Typical::default());
/// assert_eq!(view.slowness, 2.5);
/// assert_eq!(view.rest, Duration::from_millis(1_200), "the other request is taken to be alike");
/// assert_eq!(work.memory(), 12_380);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    own: Vec<Own>,
    peers: IndexMap<Node, Peer>,
    figures: Option<Figures>,
    /// Sums over `own` and `peers`, kept because every choice of an endpoint needs them for all endpoints.
    sums: Sums,
    /// When the work of this router's requests or what the endpoint said to this router last changed.
    own_changed: Instant,
    /// When a peer last reported.
    peers_changed: Instant,
}

/// A request of this router.
#[derive(Clone, Copy, Debug)]
struct Own {
    number: u64,
    /// When its prefill was complete.
    start: Option<Instant>,
    expected: Duration,
    memory: u64,
}

impl Own {
    fn rest(&self, now: Instant) -> Duration {
        let elapsed = self.start.map_or(Duration::ZERO, |start| now - start);
        let overdue = elapsed.saturating_sub(self.expected);
        self.expected.saturating_sub(elapsed) + overdue / OVERDUE_PART
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    /// When it reported; zero if it did not.
    at: Instant,
    reported: Amount,
    /// What counts of that, with typical requests for the rest.
    counted: Amount,
}

/// Remaining time in slots in milliseconds, and memory in tokens. A hub keeps two of them for each endpoint and peer.
#[derive(Clone, Copy, Debug, Default)]
struct Amount {
    rest_ms: u32,
    memory: u32,
}

impl Amount {
    const fn rest(self) -> Duration {
        Duration::from_millis(self.rest_ms as u64)
    }
}

/// What the endpoint said.
#[derive(Clone, Copy, Debug)]
struct Figures {
    load: Load,
    /// Time that work took, relative to the usual one.
    slowness: f64,
    at: Instant,
    /// The peer that passed it on; `None` if this router got the response.
    source: Option<Node>,
    /// Requests that this router has sent since, less those that have ended.
    sent_since: i32,
}

impl Figures {
    /// Requests at the endpoint, with those that this router has sent since.
    fn requests(&self) -> f64 {
        f64::from(self.load.running) + f64::from(self.load.waiting) + f64::from(self.sent_since)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    at: Instant,
    rest: Duration,
    memory: u64,
}

impl Endpoint {
    /// Records a request of this router, with the time for which it will occupy a slot and its memory in tokens. The next
    /// [`Endpoint::refresh`] adds it to the sums.
    pub fn sent(&mut self, number: u64, expected: Duration, memory: u64) {
        self.own.push(Own { number, start: None, expected, memory });
        if let Some(figures) = &mut self.figures {
            figures.sent_since += 1;
        }
    }

    /// Records that the prefill of a request is complete.
    pub fn record_start(&mut self, now: Instant, number: u64) {
        if let Some(own) = self.own.iter_mut().find(|own| own.number == number) {
            own.start.get_or_insert(now);
        }
    }

    /// Records that a request is no longer at the endpoint.
    pub fn record_end(&mut self, number: u64) {
        let Some(at) = self.own.iter().position(|own| own.number == number) else { return };
        self.own.swap_remove(at);
        if let Some(figures) = &mut self.figures {
            figures.sent_since -= 1;
        }
    }

    /// Records what the endpoint said at a time, in a response to this router or according to a peer.
    pub fn record_load(&mut self, at: Instant, load: Load, source: Option<Node>) {
        let margin = if source.is_some() { NEWER_BY } else { Duration::ZERO };
        if self.figures.is_none_or(|known| at >= known.at + margin) {
            let percent = load.percent.unwrap_or(100).clamp(PERCENT_MIN, PERCENT_MAX);
            let slowness = f64::from(percent) / 100.0;
            self.figures = Some(Figures { load, slowness, at, source, sent_since: 0 });
        }
    }

    /// Applies a peer's report.
    pub fn merge(&mut self, now: Instant, node: Node, work: &work::Work, slots: u32) {
        let peer = self.peers.entry(node).or_default();
        peer.at = now;
        peer.reported = Amount {
            rest_ms: u32::from(work.rest) * u32::from(work::Work::REST_UNIT_MS),
            memory: u32::from(work.memory) * u32::from(work::Work::MEMORY_UNIT),
        };
        self.peers_changed = now;
        let Some(load) = work.load else { return };
        let age = Duration::from_millis(u64::from(load.age) * u64::from(work::Load::AGE_UNIT_MS));
        let percent = u16::from(load.slowness) * work::Load::PERCENT_UNIT;
        let load = Load {
            running: u32::from(load.running),
            waiting: u32::from(load.waiting),
            slots,
            percent: (percent > 0).then_some(percent),
        };
        self.record_load(now.saturating_sub(age), load, Some(node));
    }

    /// Drops the reports of peers that are not `kept`.
    pub fn retain_peers(&mut self, kept: impl Fn(Node) -> bool) {
        self.peers.retain(|node, _| kept(*node));
    }

    /// Marks that there is news for other routers.
    pub const fn mark_changed(&mut self, now: Instant) {
        self.own_changed = now;
    }

    /// Sums up own and peers' work, given the number of requests that each peer has in flight.
    pub fn refresh(
        &mut self,
        now: Instant,
        counts: impl Iterator<Item = (Node, u32)>,
        typical: Typical,
    ) {
        let mut sums = Sums { at: now, rest: Duration::ZERO, memory: 0 };
        for own in &self.own {
            sums.rest += own.rest(now);
            sums.memory += own.memory;
        }
        for (node, count) in counts {
            if count == 0 && !self.peers.contains_key(&node) {
                continue;
            }
            let peer = self.peers.entry(node).or_default();
            peer.update(now, count, typical);
            sums.rest += peer.counted.rest();
            sums.memory += u64::from(peer.counted.memory);
        }
        self.peers.retain(|_, peer| peer.counted.rest_ms > 0 || now - peer.at < LIFETIME);
        self.sums = sums;
    }

    /// Time that work takes now, relative to the usual one.
    #[must_use]
    pub fn slowness(&self, now: Instant) -> f64 {
        self.occupancy(now, 0).slowness
    }

    /// Speed and number of requests by the endpoint's own figures and by the number of requests that routers know of.
    #[must_use]
    pub fn occupancy(&self, now: Instant, known: u32) -> Occupancy {
        let known = f64::from(known);
        let Some(figures) = &self.figures else {
            return Occupancy { slowness: 1.0, requests: known };
        };
        let age = now.as_micros().saturating_sub(figures.at.as_micros());
        #[expect(clippy::cast_precision_loss)]
        let weight = weight_of_micros(age as f64);
        Occupancy {
            slowness: 1.0 + (figures.slowness - 1.0) * weight,
            requests: known + (figures.requests().max(0.0) - known) * weight,
        }
    }

    /// Memory in tokens of the requests in flight.
    #[must_use]
    pub const fn memory(&self) -> u64 {
        self.sums.memory
    }

    /// The work now. `known` is the number of requests in flight of all routers as far as this one knows, and the number of slots.
    /// `trust` says how far estimates can be relied on; the rest is counted in typical requests.
    #[must_use]
    pub fn view(&self, now: Instant, known: (u32, u32), trust: f64, typical: Typical) -> View {
        let (known, slots) = known;
        let running = known.min(slots);
        let rest = self.sums.rest.saturating_sub((now - self.sums.at) * running);
        let Occupancy { slowness, requests } = self.occupancy(now, known);
        let known = f64::from(known);
        let typical_rest = typical.rest.mul_f64(requests);
        let expected = if known > 0.0 { rest.mul_f64(requests / known) } else { typical_rest };
        View {
            slowness,
            requests,
            rest: expected.mul_f64(trust) + typical_rest.mul_f64(1.0 - trust),
        }
    }

    /// When the work of the endpoint last changed, if there is or was lately any to report; that of this router only if `own`.
    #[must_use]
    pub fn changed(&self, now: Instant, own: bool) -> Option<Instant> {
        let changed = if own { self.own_changed } else { self.own_changed.max(self.peers_changed) };
        let has_work = !self.own.is_empty() || (!own && !self.peers.is_empty());
        (has_work || now - changed < LIFETIME).then_some(changed)
    }

    /// The work of this router and of the peers that are `included`, to report to other routers; `None` if there is none and none
    /// was known lately.
    pub fn report(
        &self,
        now: Instant,
        endpoint: id::Endpoint,
        included: impl Fn(Node) -> bool,
    ) -> Option<work::Work> {
        let mut rest: Duration = self.own.iter().map(|own| own.rest(now)).sum();
        let mut memory: u64 = self.own.iter().map(|own| own.memory).sum();
        let mut is_news = !self.own.is_empty() || now - self.own_changed < LIFETIME;
        for (_, peer) in self.peers.iter().filter(|(node, _)| included(**node)) {
            rest += peer.counted.rest();
            memory += u64::from(peer.counted.memory);
            is_news = true;
        }
        let load = self.load_to_report(now, included);
        let rest = rest.as_millis() / u128::from(work::Work::REST_UNIT_MS);
        let memory = memory.div_ceil(u64::from(work::Work::MEMORY_UNIT));
        let work = work::Work {
            endpoint,
            rest: u16::try_from(rest).unwrap_or(u16::MAX),
            memory: u16::try_from(memory).unwrap_or(u16::MAX),
            load,
        };
        (is_news || load.is_some()).then_some(work)
    }

    fn load_to_report(&self, now: Instant, included: impl Fn(Node) -> bool) -> Option<work::Load> {
        let fresh = |figures: &Figures| now - figures.at < LIFETIME;
        let figures = self.figures.filter(fresh)?;
        if !figures.source.is_none_or(included) {
            return None;
        }
        let age = (now - figures.at).as_millis() / u128::from(work::Load::AGE_UNIT_MS);
        let slowness = figures.load.percent.map_or(0, |percent| {
            percent.clamp(PERCENT_MIN, PERCENT_MAX) / work::Load::PERCENT_UNIT
        });
        Some(work::Load {
            running: u8::try_from(figures.load.running).unwrap_or(u8::MAX),
            waiting: u8::try_from(figures.load.waiting).unwrap_or(u8::MAX),
            slowness: u8::try_from(slowness).unwrap_or(u8::MAX),
            age: u8::try_from(age).unwrap_or(u8::MAX),
        })
    }
}

impl Peer {
    fn update(&mut self, now: Instant, count: u32, typical: Typical) {
        let age = now - self.at;
        let weight = if self.at == Instant::ZERO { 0.0 } else { weight(age) };
        let rest = self.reported.rest().saturating_sub(age * count).as_secs_f64() * 1_000.0;
        let typical_rest = typical.rest.as_secs_f64() * 1_000.0 * f64::from(count);
        #[expect(clippy::cast_precision_loss)]
        let typical_memory = typical.memory as f64 * f64::from(count);
        let memory = f64::from(self.reported.memory);
        self.counted = Amount {
            rest_ms: whole(rest * weight + typical_rest * (1.0 - weight)),
            memory: whole(memory * weight + typical_memory * (1.0 - weight)),
        };
    }
}

/// Rounds an amount.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}
