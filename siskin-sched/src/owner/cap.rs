//! A customer's cap on requests in flight and how routers share it.

use {siskin_types::id, std::collections::BTreeMap};

/// Permits of one customer.
#[derive(Debug)]
pub(super) struct Cap {
    /// Requests in flight over all routers.
    pub(super) limit: u32,
    /// Permits of all routers.
    pub(super) held: u32,
    /// Requests waiting and in flight, by router.
    wants: BTreeMap<id::Node, u32>,
    wanted: u64,
    /// Whether some router lacks permits that are not free, so that every router was told its share. Otherwise no
    /// router lacks any.
    pub(super) scarce: bool,
}

impl Cap {
    pub(super) fn new(limit: u32) -> Self {
        Self { limit, held: 0, wants: BTreeMap::new(), wanted: 0, scarce: false }
    }

    /// Notes how many permits a router can use.
    pub(super) fn want(&mut self, node: id::Node, count: u32) {
        let before =
            if count == 0 { self.wants.remove(&node) } else { self.wants.insert(node, count) };
        self.wanted = self.wanted - u64::from(before.unwrap_or(0)) + u64::from(count);
    }

    /// Whether routers want more than the cap.
    pub(super) fn exceeded(&self) -> bool {
        self.wanted > u64::from(self.limit)
    }

    /// Permits that nobody holds.
    pub(super) fn free(&self) -> u32 {
        self.limit.saturating_sub(self.held)
    }

    /// What a router wants.
    pub(super) fn wanted(&self, node: id::Node) -> u32 {
        self.wants.get(&node).copied().unwrap_or(0)
    }

    pub(super) fn nodes(&self) -> impl Iterator<Item = id::Node> {
        self.wants.keys().copied()
    }

    /// Equal shares of a scarce cap. Routers that want less get what they want, and the rest goes to the others.
    /// Routers that want the same come in the order of their names, so shares are stable.
    pub(super) fn shares(&self) -> BTreeMap<id::Node, u32> {
        let mut order: Vec<_> = self.wants.iter().map(|(node, want)| (*want, *node)).collect();
        order.sort_unstable();
        let mut rest = self.limit;
        let mut shares = BTreeMap::new();
        for (index, (want, node)) in order.iter().enumerate() {
            let left = u32::try_from(order.len() - index).unwrap_or(u32::MAX);
            let share = rest.div_ceil(left).min(*want);
            rest -= share;
            shares.insert(*node, share);
        }
        let total: u32 = shares.values().sum();
        debug_assert!(total <= self.limit, "shares of {total} exceed the cap of {}", self.limit);
        shares
    }
}
