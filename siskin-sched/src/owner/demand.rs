//! Customers by virtual time, and where their requests wait.

use {
    siskin_types::{
        cost::{Units, Virtual, Weight},
        id,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Requests of one customer for one model that wait without a slot under way.
#[derive(Debug, Default)]
struct Demand {
    total: u32,
    /// Routers by number of waiting requests.
    holders: BTreeSet<(u32, id::Node)>,
}

/// One customer.
#[derive(Debug, Default)]
struct Account {
    weight: Weight,
    clock: Virtual,
    /// Charges expected for slots that their routers have not heard of.
    promised: Units,
    /// Requests that wait by the routers' reports, whether or not a slot is under way.
    reported: u32,
    demands: BTreeMap<id::Model, Demand>,
    /// Whether the customer uses its whole cap on requests in flight.
    capped: bool,
}

impl Account {
    /// The virtual time with the expected charges.
    fn expected(&self) -> Virtual {
        self.clock.advanced(self.promised, self.weight)
    }
}

/// Virtual times of all customers and the order in which they are served.
#[derive(Debug, Default)]
pub(super) struct Table {
    accounts: BTreeMap<id::Customer, Account>,
    ready: BTreeMap<id::Model, BTreeSet<(Virtual, id::Customer)>>,
    waiting: BTreeMap<id::Model, BTreeMap<id::Node, u32>>,
    /// Highest virtual time served while nobody waited.
    last: Virtual,
}

impl Table {
    pub(super) fn weight(&mut self, customer: id::Customer, weight: Weight) {
        self.change(customer, |account| account.weight = weight);
    }

    pub(super) fn clock(&self, customer: id::Customer) -> Virtual {
        self.accounts.get(&customer).map_or(Virtual::ZERO, |account| account.clock)
    }

    /// Number of routers at which the customer waits.
    pub(super) fn holders(&self, customer: id::Customer) -> u32 {
        let demands = self.accounts.get(&customer).into_iter().flat_map(|a| a.demands.values());
        demands
            .map(|demand| u32::try_from(demand.holders.len()).unwrap_or(u32::MAX))
            .max()
            .unwrap_or(0)
    }

    /// Models that someone waits for.
    pub(super) fn models(&self) -> impl Iterator<Item = id::Model> {
        self.ready.iter().filter(|(_, ready)| !ready.is_empty()).map(|(model, _)| *model)
    }

    /// Whether requests for `model` wait at routers other than `node`.
    pub(super) fn elsewhere(&self, model: id::Model, node: id::Node) -> bool {
        let nodes = self.waiting.get(&model);
        nodes.is_some_and(|nodes| nodes.keys().any(|other| *other != node))
    }

    /// Customers that wait for `model`, in the order of service.
    pub(super) fn order(
        &self,
        model: id::Model,
    ) -> impl Iterator<Item = (Virtual, id::Customer)> + '_ {
        self.ready.get(&model).into_iter().flatten().copied()
    }

    /// The customer served next for `model`.
    pub(super) fn first(&self, model: id::Model) -> Option<(Virtual, id::Customer)> {
        self.ready.get(&model)?.first().copied()
    }

    /// The router with most waiting requests of the customer.
    pub(super) fn holder(&self, customer: id::Customer, model: id::Model) -> Option<id::Node> {
        let demand = self.accounts.get(&customer)?.demands.get(&model)?;
        demand.holders.last().map(|(_, node)| *node)
    }

    /// Applies a change of a router's total of charges.
    pub(super) fn charge(&mut self, customer: id::Customer, delta: i64) {
        let units = Units(delta.unsigned_abs());
        self.change(customer, |account| {
            let before = account.clock;
            account.clock = if delta < 0 {
                account.clock.reduced(units, account.weight)
            } else {
                account.clock.advanced(units, account.weight)
            };
            debug_assert!(delta < 0 || account.clock >= before, "virtual time went down");
        });
        if self.waiting.values().all(BTreeMap::is_empty) {
            self.last = self.last.max(self.clock(customer));
        }
    }

    /// Adds to or takes from the charges expected.
    pub(super) fn promise(&mut self, customer: id::Customer, units: Units) {
        self.change(customer, |account| account.promised += units);
    }

    pub(super) fn redeem(&mut self, customer: id::Customer, units: Units) {
        self.change(customer, |account| {
            debug_assert!(account.promised >= units, "redeemed more than was promised");
            account.promised = account.promised - units;
        });
    }

    /// Takes the larger of two virtual times of the customer.
    pub(super) fn merge(&mut self, customer: id::Customer, clock: Virtual) {
        self.change(customer, |account| account.clock = account.clock.max(clock));
    }

    /// Raises waiting customers that are too far behind the foremost one, so that a merge is evened out
    /// over a bounded amount of service.
    pub(super) fn limit_lead(&mut self, most: Units) {
        let Some(top) = self.ready.values().filter_map(|ready| ready.last()).max().copied() else {
            return;
        };
        let least = top.0.reduced(most, Weight::ONE);
        let behind = |ready: &BTreeSet<(Virtual, id::Customer)>| -> Vec<id::Customer> {
            ready.iter().take_while(|(clock, _)| *clock < least).map(|(_, name)| *name).collect()
        };
        let late: BTreeSet<_> = self.ready.values().flat_map(behind).collect();
        for customer in late {
            self.merge(customer, least);
        }
    }

    /// Notes whether a customer uses its whole cap on requests in flight.
    pub(super) fn cap(&mut self, customer: id::Customer, capped: bool) {
        self.accounts.entry(customer).or_default().capped = capped;
    }

    /// Sets the number of requests that wait at a router without a slot under way. A customer that its cap held
    /// back is raised to the floor: like idleness, the cap gives no credit.
    pub(super) fn wait(
        &mut self,
        customer: id::Customer,
        model: id::Model,
        node: id::Node,
        before: u32,
        after: u32,
    ) {
        if before == after {
            return;
        }
        let floor = self.floor(model);
        self.change(customer, |account| {
            let demand = account.demands.entry(model).or_default();
            if account.capped && demand.total == 0 && after > 0 {
                account.clock = account.clock.max(floor);
            }
            demand.holders.remove(&(before, node));
            if after > 0 {
                demand.holders.insert((after, node));
            }
            debug_assert!(demand.total >= before, "more requests left than waited");
            demand.total = demand.total - before + after;
        });
        let nodes = self.waiting.entry(model).or_default();
        let waiting = nodes.entry(node).or_default();
        *waiting = *waiting - before + after;
        if *waiting == 0 {
            nodes.remove(&node);
        }
    }

    /// Applies a change of the number of requests that a router reports. A customer that begins to wait is
    /// raised to the floor, because idleness gives no credit; one that waited under another owner is not.
    pub(super) fn reported(
        &mut self,
        customer: id::Customer,
        model: id::Model,
        before: u32,
        after: u32,
        merged: bool,
    ) {
        let floor = self.floor(model);
        self.change(customer, |account| {
            if account.reported == 0 && after > 0 && !merged {
                account.clock = account.clock.max(floor);
            }
            account.reported = account.reported - before + after;
        });
    }

    /// What an idle customer is raised to when it begins to wait for `model`.
    fn floor(&self, model: id::Model) -> Virtual {
        self.first(model).map_or(self.last, |(clock, _)| clock)
    }

    fn change(&mut self, customer: id::Customer, change: impl FnOnce(&mut Account)) {
        let account = self.accounts.entry(customer).or_default();
        let key = (account.expected(), customer);
        for (model, demand) in &account.demands {
            if let Some(ready) = self.ready.get_mut(model).filter(|_| demand.total > 0) {
                ready.remove(&key);
            }
        }
        change(account);
        let key = (account.expected(), customer);
        for (model, demand) in &account.demands {
            if demand.total > 0 {
                self.ready.entry(*model).or_default().insert(key);
            }
        }
        account.demands.retain(|_, demand| demand.total > 0);
    }
}
