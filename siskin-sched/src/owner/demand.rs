//! The order of customers by virtual time, and the routers at which their requests wait.

use {
    siskin_types::{
        cost::{Units, Virtual, Weight},
        id,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Requests of one customer for one model that wait and for which no slot has been granted.
#[derive(Debug, Default)]
struct Demand {
    total: u32,
    /// Routers ordered by number of waiting requests.
    routers: BTreeSet<(u32, id::Node)>,
}

/// Virtual time and demand of one customer.
#[derive(Debug, Default)]
struct Customer {
    weight: Weight,
    virtual_time: Virtual,
    /// Charges expected for granted slots that the routers have not acknowledged.
    expected_charges: Units,
    /// Requests that wait according to the routers' reports, whether or not a slot has been granted for them.
    reported: u32,
    demands: BTreeMap<id::Model, Demand>,
    /// Whether routers want more permits for the customer than its cap on requests in flight allows.
    capped: bool,
}

impl Customer {
    /// The virtual time including the expected charges.
    fn expected_virtual_time(&self) -> Virtual {
        self.virtual_time.advanced(self.expected_charges, self.weight)
    }
}

/// Virtual times of all customers and the order in which they are served.
#[derive(Debug, Default)]
pub(super) struct Table {
    customers: BTreeMap<id::Customer, Customer>,
    /// Waiting customers of each model, ordered by expected virtual time.
    order: BTreeMap<id::Model, BTreeSet<(Virtual, id::Customer)>>,
    /// Waiting requests without a granted slot, by model and router.
    waiting_by_router: BTreeMap<id::Model, BTreeMap<id::Node, u32>>,
    /// Highest virtual time served while no request waited.
    last_served: Virtual,
}

impl Table {
    pub(super) fn set_weight(&mut self, customer: id::Customer, weight: Weight) {
        self.update_customer(customer, |state| state.weight = weight);
    }

    pub(super) fn virtual_time(&self, customer: id::Customer) -> Virtual {
        self.customers.get(&customer).map_or(Virtual::ZERO, |state| state.virtual_time)
    }

    /// Number of routers at which the customer waits.
    pub(super) fn waiting_routers(&self, customer: id::Customer) -> u32 {
        let demands = self.customers.get(&customer).into_iter().flat_map(|a| a.demands.values());
        demands
            .map(|demand| u32::try_from(demand.routers.len()).unwrap_or(u32::MAX))
            .max()
            .unwrap_or(0)
    }

    /// Models with waiting requests.
    pub(super) fn waiting_models(&self) -> impl Iterator<Item = id::Model> {
        self.order.iter().filter(|(_, order)| !order.is_empty()).map(|(model, _)| *model)
    }

    /// Whether requests for `model` wait at routers other than `node`.
    pub(super) fn waits_elsewhere(&self, model: id::Model, node: id::Node) -> bool {
        let nodes = self.waiting_by_router.get(&model);
        nodes.is_some_and(|nodes| nodes.keys().any(|other| *other != node))
    }

    /// Customers that wait for `model`, in the order of service.
    pub(super) fn customers_in_order(
        &self,
        model: id::Model,
    ) -> impl Iterator<Item = (Virtual, id::Customer)> + '_ {
        self.order.get(&model).into_iter().flatten().copied()
    }

    /// The customer served next for `model`.
    pub(super) fn next_customer(&self, model: id::Model) -> Option<(Virtual, id::Customer)> {
        self.order.get(&model)?.first().copied()
    }

    /// The router at which most of the customer's requests for the model wait.
    pub(super) fn router_with_most_waiting(
        &self,
        customer: id::Customer,
        model: id::Model,
    ) -> Option<id::Node> {
        let demand = self.customers.get(&customer)?.demands.get(&model)?;
        demand.routers.last().map(|(_, node)| *node)
    }

    /// Applies the change of a router's total of charges.
    pub(super) fn apply_charge(&mut self, customer: id::Customer, delta: i64) {
        let units = Units(delta.unsigned_abs());
        self.update_customer(customer, |state| {
            let before = state.virtual_time;
            state.virtual_time = if delta < 0 {
                state.virtual_time.reduced(units, state.weight)
            } else {
                state.virtual_time.advanced(units, state.weight)
            };
            debug_assert!(delta < 0 || state.virtual_time >= before, "virtual time went down");
        });
        if self.waiting_by_router.values().all(BTreeMap::is_empty) {
            self.last_served = self.last_served.max(self.virtual_time(customer));
        }
    }

    /// Adds to the expected charges.
    pub(super) fn add_expected_charge(&mut self, customer: id::Customer, units: Units) {
        self.update_customer(customer, |state| state.expected_charges += units);
    }

    pub(super) fn remove_expected_charge(&mut self, customer: id::Customer, units: Units) {
        self.update_customer(customer, |state| {
            debug_assert!(
                state.expected_charges >= units,
                "removed more charges than were expected"
            );
            state.expected_charges = state.expected_charges - units;
        });
    }

    /// Raises the customer's virtual time to `clock` if that is larger.
    pub(super) fn merge_virtual_time(&mut self, customer: id::Customer, clock: Virtual) {
        self.update_customer(customer, |state| state.virtual_time = state.virtual_time.max(clock));
    }

    /// Raises the virtual times of waiting customers that lag more than `most` behind the highest one, so that
    /// differences from a merge are evened out over a bounded amount of service.
    pub(super) fn limit_lead(&mut self, most: Units) {
        let Some(highest) = self.order.values().filter_map(|order| order.last()).max().copied()
        else {
            return;
        };
        let lowest_allowed = highest.0.reduced(most, Weight::ONE);
        let lagging_in = |order: &BTreeSet<(Virtual, id::Customer)>| -> Vec<id::Customer> {
            order
                .iter()
                .take_while(|(clock, _)| *clock < lowest_allowed)
                .map(|(_, name)| *name)
                .collect()
        };
        let lagging: BTreeSet<_> = self.order.values().flat_map(lagging_in).collect();
        for customer in lagging {
            self.merge_virtual_time(customer, lowest_allowed);
        }
    }

    /// Records whether routers want more permits for a customer than its cap on requests in flight allows.
    pub(super) fn set_capped(&mut self, customer: id::Customer, capped: bool) {
        self.customers.entry(customer).or_default().capped = capped;
    }

    /// Updates the number of requests that wait at a router without a granted slot. A customer that was held back by
    /// its cap is raised to the floor: it accumulates no credit while capped, just as it accumulates none while idle.
    pub(super) fn update_waiting(
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
        self.update_customer(customer, |state| {
            let demand = state.demands.entry(model).or_default();
            if state.capped && demand.total == 0 && after > 0 {
                state.virtual_time = state.virtual_time.max(floor);
            }
            demand.routers.remove(&(before, node));
            if after > 0 {
                demand.routers.insert((after, node));
            }
            debug_assert!(demand.total >= before, "more requests stopped waiting than waited");
            demand.total = demand.total - before + after;
        });
        let nodes = self.waiting_by_router.entry(model).or_default();
        let waiting = nodes.entry(node).or_default();
        *waiting = *waiting - before + after;
        if *waiting == 0 {
            nodes.remove(&node);
        }
    }

    /// Updates the number of waiting requests that a router reports. A customer that begins to wait is raised to the
    /// floor, because it accumulates no credit while idle; a customer whose virtual time comes from an earlier owner
    /// is not raised.
    pub(super) fn update_reported(
        &mut self,
        customer: id::Customer,
        model: id::Model,
        before: u32,
        after: u32,
        merged: bool,
    ) {
        let floor = self.floor(model);
        self.update_customer(customer, |state| {
            if state.reported == 0 && after > 0 && !merged {
                state.virtual_time = state.virtual_time.max(floor);
            }
            state.reported = state.reported - before + after;
        });
    }

    /// The virtual time to which an idle customer is raised when it begins to wait for `model`: the lowest one of the
    /// customers that wait.
    fn floor(&self, model: id::Model) -> Virtual {
        self.next_customer(model).map_or(self.last_served, |(clock, _)| clock)
    }

    fn update_customer(&mut self, customer: id::Customer, change: impl FnOnce(&mut Customer)) {
        let state = self.customers.entry(customer).or_default();
        let key = (state.expected_virtual_time(), customer);
        for (model, demand) in &state.demands {
            if let Some(order) = self.order.get_mut(model).filter(|_| demand.total > 0) {
                order.remove(&key);
            }
        }
        change(state);
        let key = (state.expected_virtual_time(), customer);
        for (model, demand) in &state.demands {
            if demand.total > 0 {
                self.order.entry(*model).or_default().insert(key);
            }
        }
        state.demands.retain(|_, demand| demand.total > 0);
    }
}
