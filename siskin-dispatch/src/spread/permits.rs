//! Permits for cold endpoints, requested from and issued by the routers of the fleet.
//!
//! The two issuers of an endpoint follow from the list of routers: among the preferred hubs of all groups, those that rendezvous
//! hashing gives. They do not depend on which routers are reachable, or two sides of a partition would have issuers each; the half
//! of an issuer that has stopped is lost until the list says so. An issuer that hears from at most half of the fleet issues
//! nothing, as the others may have dropped it from their lists.

use {
    super::{Routing, Target},
    crate::{
        pool::Pool,
        prompt::mix,
        warm_up::{PERMIT_LIFETIME, Part, REQUEST_INTERVAL},
    },
    indexmap::{IndexMap, IndexSet},
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::permit::{Message, Permits},
    std::{collections::VecDeque, time::Duration},
};

/// Increase of the longest interval between requests for permits for each router of the fleet, as all ask the same issuers.
const REQUEST_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(500);

/// Upper bound of the interval between requests while no permits are issued.
const REQUEST_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// Most issuers from which permits are requested at a time.
const ISSUERS_MAX: usize = 4;

/// Time for which a router has to have been the issuer of an endpoint before it issues permits: the previous issuer's permits have
/// to expire, and routers learn of changes to the list at different times. It also covers what this router issued before a restart.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// Time between notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);

/// One router's side of the exchange of permits.
#[derive(Debug)]
pub(super) struct Exchange {
    /// Possible issuers by the lists in force within [`TAKEOVER_TIME`], and since when; the current ones come last.
    issuers: VecDeque<(Instant, Vec<Node>)>,
    interval: Duration,
    /// Whether the last requests brought fewer than half of the permits.
    scarce: bool,
    last_round: Instant,
    next_round: Instant,
    round: u64,
    /// Permits requested in the last round, and those that have arrived since.
    wanted: u32,
    received: u32,
    /// Requests that have no answer yet, by the clock at which they were sent.
    requested: IndexSet<(Node, u32)>,
    next_notice: Instant,
}

impl Default for Exchange {
    fn default() -> Self {
        Self {
            issuers: VecDeque::new(),
            interval: REQUEST_INTERVAL,
            scarce: false,
            last_round: Instant::ZERO,
            next_round: Instant::ZERO,
            round: 0,
            wanted: 0,
            received: 0,
            requested: IndexSet::new(),
            next_notice: Instant::ZERO,
        }
    }
}

impl Exchange {
    /// Requests permits, issues those that this router needs itself, and builds the messages that are due; none while no endpoint
    /// is cold.
    pub(super) fn due(
        &mut self,
        now: Instant,
        routing: &Routing,
        targets: &[Target],
        pools: &mut IndexMap<String, Pool>,
    ) -> Vec<(Node, Message)> {
        self.update_issuers(now, routing);
        let mut messages = self.notices(now, targets, pools);
        if now < self.next_round {
            return messages;
        }
        self.round += 1;
        let round = self.round;
        let scarce = self.scarce.then(|| now - self.last_round);
        self.last_round = now;
        let wanted: Vec<Permits> =
            pools.values().flat_map(|pool| pool.permits_to_request(now, round, scarce)).collect();
        if self.wanted > 0 {
            self.scarce = 2 * self.received < self.wanted;
            let is_unmet = self.received == 0;
            self.interval = if is_unmet { self.interval * 2 } else { REQUEST_INTERVAL };
            self.interval = self.interval.min(interval_max(routing));
        }
        self.next_round = now + self.interval.mul_f64(interval_factor(routing.own, round));
        self.wanted = wanted.iter().map(|permits| permits.count).sum();
        self.received = 0;
        messages.extend(self.request(now, routing, wanted, pools));
        messages
    }

    /// Applies a message. Returns the permits that it requests.
    pub(super) fn take(
        &mut self,
        now: Instant,
        from: Node,
        message: &Message,
        routing: &Routing,
        pools: &mut IndexMap<String, Pool>,
    ) -> Option<Message> {
        self.update_issuers(now, routing);
        match message {
            Message::Request { at_ms, permits } => {
                let permits: Vec<Permits> = permits
                    .iter()
                    .filter_map(|wanted| self.issue(now, routing, *wanted, pools))
                    .collect();
                return (!permits.is_empty()).then_some(Message::Issue { at_ms: *at_ms, permits });
            }
            Message::Issue { at_ms, permits } => {
                let age = Duration::from_millis(u64::from(millis(now).wrapping_sub(*at_ms)));
                if self.requested.swap_remove(&(from, *at_ms)) && age < PERMIT_LIFETIME {
                    self.add(now, now.saturating_sub(age), permits, pools);
                }
            }
            Message::Notice(cold) => {
                for pool in pools.values_mut() {
                    for cold in cold {
                        pool.apply_cold(now, cold);
                    }
                }
            }
        }
        None
    }

    /// Requests permits of their issuers, at most [`ISSUERS_MAX`] at a time.
    fn request(
        &mut self,
        now: Instant,
        routing: &Routing,
        wanted: Vec<Permits>,
        pools: &mut IndexMap<String, Pool>,
    ) -> impl Iterator<Item = (Node, Message)> + use<> {
        let at_ms = millis(now);
        let mut by_issuer: IndexMap<Node, Vec<Permits>> = IndexMap::new();
        for permits in wanted {
            let Some(issuer) = self.issuer(permits.endpoint) else { continue };
            if issuer == routing.own {
                let own = self.issue(now, routing, permits, pools);
                self.add(now, now, own.as_slice(), pools);
            } else if by_issuer.len() < ISSUERS_MAX || by_issuer.contains_key(&issuer) {
                let permits_of_issuer = by_issuer.entry(issuer).or_default();
                if permits_of_issuer.len() < Message::ENDPOINTS_MAX {
                    permits_of_issuer.push(permits);
                }
            }
        }
        let lifetime_ms = u32::try_from(PERMIT_LIFETIME.as_millis()).unwrap_or(u32::MAX);
        self.requested.retain(|(_, sent_ms)| at_ms.wrapping_sub(*sent_ms) < lifetime_ms);
        self.requested.extend(by_issuer.keys().map(|issuer| (*issuer, at_ms)));
        let message = move |(issuer, permits)| (issuer, Message::Request { at_ms, permits });
        by_issuer.into_iter().map(message)
    }

    /// Issues permits for an endpoint if this router is its issuer.
    fn issue(
        &self,
        now: Instant,
        routing: &Routing,
        wanted: Permits,
        pools: &mut IndexMap<String, Pool>,
    ) -> Option<Permits> {
        if !routing.hears_most(now) {
            return None;
        }
        let part = self.part(now, routing.own, wanted.endpoint)?;
        let issue = |pool: &mut Pool| pool.issue_permits(now, part, wanted);
        let count = pools.values_mut().map(issue).find(|count| *count > 0)?;
        Some(Permits { count, ..wanted })
    }

    fn add(
        &mut self,
        now: Instant,
        requested: Instant,
        permits: &[Permits],
        pools: &mut IndexMap<String, Pool>,
    ) {
        self.received += permits.iter().map(|permits| permits.count).sum::<u32>();
        for pool in pools.values_mut() {
            for permits in permits {
                pool.add_permits(now, requested, *permits);
            }
        }
    }

    /// Notices of endpoints that have lately said that they are cold.
    fn notices(
        &mut self,
        now: Instant,
        targets: &[Target],
        pools: &IndexMap<String, Pool>,
    ) -> Vec<(Node, Message)> {
        if now < self.next_notice {
            return Vec::new();
        }
        self.next_notice = now + NOTICE_INTERVAL;
        let news = pools.values().flat_map(|pool| pool.cold_to_announce(now));
        let news: Vec<_> = news.take(Message::ENDPOINTS_MAX).collect();
        if news.is_empty() {
            return Vec::new();
        }
        targets.iter().map(|target| (target.node, Message::Notice(news.clone()))).collect()
    }

    /// One of the routers that issue permits for an endpoint, by the list in force; another one in other rounds.
    fn issuer(&self, endpoint: Endpoint) -> Option<Node> {
        let (_, issuers) = self.issuers.back()?;
        match choose(endpoint, issuers) {
            [first, Some(_)] if mix(self.round, u64::from(endpoint.0)).is_multiple_of(2) => first,
            [first, second] => second.or(first),
        }
    }

    /// The part of an endpoint's permits that a router has had by all lists for [`TAKEOVER_TIME`].
    fn part(&self, now: Instant, node: Node, endpoint: Endpoint) -> Option<Part> {
        let (since, _) = self.issuers.front()?;
        if now - *since < TAKEOVER_TIME {
            return None;
        }
        let part = |(_, issuers): &(Instant, Vec<Node>)| match choose(endpoint, issuers) {
            [Some(first), None] if first == node => Some(Part::Whole),
            [Some(first), _] if first == node => Some(Part::LargerHalf),
            [_, Some(second)] if second == node => Some(Part::SmallerHalf),
            _ => None,
        };
        // The smallest part of all lists; `None`, which is the least, if it was not an issuer by one of them.
        self.issuers.iter().map(part).min().flatten()
    }

    fn update_issuers(&mut self, now: Instant, routing: &Routing) {
        let current = self.issuers.back().map(|(_, issuers)| issuers);
        let preferred = || routing.groups.iter().filter_map(|group| group.first().copied());
        if !current.is_some_and(|current| preferred().eq(current.iter().copied())) {
            self.issuers.push_back((now, preferred().collect()));
        }
        while self.issuers.get(1).is_some_and(|(since, _)| now - *since >= TAKEOVER_TIME) {
            self.issuers.pop_front();
        }
    }
}

/// The first two of the routers in the endpoint's order of preference, the same on all routers.
fn choose(endpoint: Endpoint, routers: &[Node]) -> [Option<Node>; 2] {
    let rank = |node: &Node| mix(u64::from(endpoint.0), u64::from(node.0));
    let first = routers.iter().copied().max_by_key(rank);
    let others = routers.iter().copied().filter(|node| Some(*node) != first);
    [first, others.max_by_key(rank)]
}

fn interval_max(routing: &Routing) -> Duration {
    let routers: usize = routing.groups.iter().map(Vec::len).sum();
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    (REQUEST_INTERVAL + REQUEST_INTERVAL_PER_ROUTER.saturating_mul(routers))
        .min(REQUEST_INTERVAL_MAX)
}

/// Factor on the interval between rounds, from 0.75 to 1.25, so that routers do not keep the order in which they request permits.
fn interval_factor(node: Node, round: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "below 1,024")]
    let random = (mix(u64::from(node.0), round) % 1_024) as f64;
    0.75 + random / 2_048.0
}

/// The clock in milliseconds, of which a message carries the lower half.
#[expect(clippy::cast_possible_truncation, reason = "only differences count")]
fn millis(now: Instant) -> u32 {
    (now.as_micros() / 1_000) as u32
}
