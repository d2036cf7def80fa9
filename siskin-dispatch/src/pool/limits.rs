//! Limits that the endpoints of a service name.

use {
    super::Pool,
    crate::limit::Notice,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::limit,
};

impl Pool {
    /// Sets the number of routers in the fleet.
    pub const fn set_routers(&mut self, routers: u32) {
        self.conditions.set_routers(routers);
    }

    /// Records that a caller's request for the service has arrived.
    pub fn record_request(&mut self, now: Instant) {
        self.conditions.record_request(now);
    }

    /// Records what an answer of an endpoint to this router says of its limit.
    pub fn record_limit(&mut self, now: Instant, endpoint: Endpoint, notice: Notice) {
        self.conditions.record_limit(now, endpoint, notice);
    }

    /// Applies a peer's report of limits, those of other services excepted. Its counts apply only if `counted`.
    pub fn apply_limits(
        &mut self,
        now: Instant,
        node: Node,
        limits: &[limit::Limit],
        counted: bool,
    ) {
        // Endpoints that are not listed yet are reported again.
        for limit in limits.iter().filter(|limit| self.endpoints.contains_key(&limit.endpoint)) {
            self.conditions.merge_limit(now, node, limit, counted);
        }
    }

    /// Applies a peer's report of the demand for the service.
    pub fn apply_demand(&mut self, now: Instant, node: Node, demand: &limit::Demand) {
        self.conditions.merge_demand(now, node, demand);
    }

    /// Number of listed endpoints that name a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        self.conditions.limited()
    }

    /// Limits to report to other routers, and whether each is news. They cover this router and the peers that are `included`.
    pub fn limits_to_report(
        &self,
        now: Instant,
        included: impl Fn(Node) -> bool,
    ) -> impl Iterator<Item = (bool, limit::Limit)> {
        self.conditions.limits_to_report(now, included)
    }

    /// Demand to report to other routers, of this router and of the peers that are `included`, for the service with this number.
    #[must_use]
    pub fn demand_to_report(
        &self,
        now: Instant,
        service: u32,
        included: impl Fn(Node) -> bool,
    ) -> limit::Demand {
        self.conditions.demand_to_report(now, service, included)
    }
}
