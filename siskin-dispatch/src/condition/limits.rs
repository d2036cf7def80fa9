//! Limits that endpoints name, as part of what they report of themselves.

use {
    super::{Change, Condition, Conditions, Source, random_share},
    crate::limit::{self, Notice, Rate},
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::limit as wire,
    std::time::Duration,
};

impl Conditions {
    /// Sets the number of routers in the fleet.
    pub const fn set_routers(&mut self, routers: u32) {
        self.demand.set_routers(routers);
    }

    /// Records that a caller's request for the service has arrived.
    pub fn record_request(&mut self, now: Instant) {
        self.demand.record_request(now);
    }

    /// Records what an answer of an endpoint to this router says of its limit.
    pub fn record_limit(&mut self, now: Instant, endpoint: Endpoint, notice: Notice) {
        match notice {
            Notice::Unknown => {}
            Notice::Unlimited => self.apply_limit(now, endpoint, now, None, Source::Answer),
            Notice::Limited(rate) => {
                self.apply_limit(now, endpoint, now, Some(rate), Source::Answer);
            }
        }
    }

    /// Applies a peer's report of a limit. What the peer and the routers it reports for have sent counts only if `counted`.
    pub fn merge_limit(&mut self, now: Instant, node: Node, limit: &wire::Limit, counted: bool) {
        let answered = now.saturating_sub(Duration::from_millis(u64::from(limit.age_ms)));
        self.apply_limit(now, limit.endpoint, answered, limit.rate.map(Rate), Source::Peer);
        let condition = self.by_endpoint.get_mut(&limit.endpoint);
        if let Some(known) = condition.and_then(|condition| condition.limit.as_mut())
            && counted
        {
            known.merge_sent(now, node, limit.sent);
        }
    }

    /// Applies a peer's report of the demand for the service.
    pub fn merge_demand(&mut self, now: Instant, node: Node, demand: &wire::Demand) {
        self.demand.merge(now, node, demand);
    }

    /// Number of listed endpoints that name a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let is_limited = |one: &&Condition| one.unlisted.is_none() && one.is_limited();
        self.by_endpoint.values().filter(is_limited).count()
    }

    /// Limits to report to other routers, and whether each is news. They cover this router and the peers that are `included`.
    pub fn limits_to_report(
        &self,
        now: Instant,
        included: impl Fn(Node) -> bool,
    ) -> impl Iterator<Item = (bool, wire::Limit)> {
        self.by_endpoint.iter().filter_map(move |(endpoint, condition)| {
            let limit = condition.limit.as_ref()?;
            Some((limit.is_news(now), limit.report(now, *endpoint, &included)))
        })
    }

    /// Demand to report to other routers, of this router and of the peers that are `included`, for the service with this number.
    #[must_use]
    pub fn demand_to_report(
        &self,
        now: Instant,
        service: u32,
        included: impl Fn(Node) -> bool,
    ) -> wire::Demand {
        self.demand.report(now, service, included)
    }

    /// Applies the limit in an answer that an endpoint sent at the time `answered`.
    fn apply_limit(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        answered: Instant,
        rate: Option<Rate>,
        source: Source,
    ) {
        let is_limited = self.by_endpoint.get(&endpoint).is_some_and(|known| known.limit.is_some());
        if rate.is_none() && !is_limited {
            return;
        }
        let part = self.demand.part(now);
        let phase = random_share(self.demand.salt(), endpoint);
        let condition = self.by_endpoint.entry(endpoint).or_default();
        let limit = condition.limit.get_or_insert_with(|| limit::Usage::new(now, phase));
        if !limit.record(now, answered, rate, part) {
            return;
        }
        self.changes.push((
            endpoint,
            match rate {
                Some(rate) => Change::Limited { rate, source },
                None => Change::LimitEnded { source },
            },
        ));
    }
}
