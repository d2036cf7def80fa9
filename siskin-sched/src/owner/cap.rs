//! Distribution of a customer's cap on requests in flight over the routers.

use {siskin_types::id, std::collections::BTreeMap};

/// Cap of one customer. A router needs a permit for each request in flight.
#[derive(Debug)]
pub(super) struct Cap {
    /// Largest number of requests in flight over all routers.
    pub(super) limit: u32,
    /// Permits held by all routers.
    pub(super) held: u32,
    /// Permits that each router can use: its requests waiting and in flight.
    wanted_by_router: BTreeMap<id::Node, u32>,
    total_wanted: u64,
    /// Whether routers lack more permits than are free, so that every router was sent its share. Otherwise no router
    /// lacks any.
    pub(super) scarce: bool,
}

impl Cap {
    pub(super) fn new(limit: u32) -> Self {
        Self { limit, held: 0, wanted_by_router: BTreeMap::new(), total_wanted: 0, scarce: false }
    }

    /// Records how many permits a router can use.
    pub(super) fn set_wanted(&mut self, node: id::Node, count: u32) {
        let before = if count == 0 {
            self.wanted_by_router.remove(&node)
        } else {
            self.wanted_by_router.insert(node, count)
        };
        self.total_wanted = self.total_wanted - u64::from(before.unwrap_or(0)) + u64::from(count);
    }

    /// Whether routers want more than the cap.
    pub(super) fn exceeded(&self) -> bool {
        self.total_wanted > u64::from(self.limit)
    }

    /// Permits that no router holds.
    pub(super) fn free(&self) -> u32 {
        self.limit.saturating_sub(self.held)
    }

    /// Permits that a router can use.
    pub(super) fn wanted_by(&self, node: id::Node) -> u32 {
        self.wanted_by_router.get(&node).copied().unwrap_or(0)
    }

    pub(super) fn wanting_routers(&self) -> impl Iterator<Item = id::Node> {
        self.wanted_by_router.keys().copied()
    }

    /// Divides a scarce cap equally. Routers that want less than an equal share get what they want, and the rest goes
    /// to the others. Routers that want the same number are ordered by node identifier, so shares are stable.
    pub(super) fn compute_shares(&self) -> BTreeMap<id::Node, u32> {
        let mut order: Vec<_> =
            self.wanted_by_router.iter().map(|(node, wanted)| (*wanted, *node)).collect();
        order.sort_unstable();
        let mut remaining = self.limit;
        let mut shares = BTreeMap::new();
        for (index, (wanted, node)) in order.iter().enumerate() {
            let routers_left = u32::try_from(order.len() - index).unwrap_or(u32::MAX);
            let share = remaining.div_ceil(routers_left).min(*wanted);
            remaining -= share;
            shares.insert(*node, share);
        }
        let total: u32 = shares.values().sum();
        debug_assert!(total <= self.limit, "shares of {total} exceed the cap of {}", self.limit);
        shares
    }
}
