//! Reference schedulers for comparison: a global queue with exact information, and independent fair schedulers at the
//! routers with a fixed part of the slots each.
//!
//! Both are deliberately simple, with linear scans and no messages.
//!
//! ```
//! use {
//!     siskin_sched::{baseline::Baseline, pool, ticket::Ticket},
//!     siskin_types::{cost::Units, id, time::Instant},
//! };
//!
//! let node = id::Node(1);
//! let options = pool::Options::new(id::Pool(1), node, 1);
//! let endpoints = [pool::Endpoint::new(id::Endpoint(1), 1, vec![id::Model(1)])];
//! let customers = [pool::Customer::new(id::Customer(1))];
//! let mut baseline = Baseline::global(options, &endpoints, &customers);
//! let now = Instant::ZERO;
//! let request = |sequence| id::Request { node, incarnation: 1, sequence };
//! let ticket = |sequence| {
//!     let deadline = Instant::from_micros(1_000_000);
//!     Ticket::new(request(sequence), id::Customer(1), id::Model(1), Units(10), deadline)
//! };
//! assert_eq!(baseline.submit(now, node, ticket(1)).len(), 1);
//! assert_eq!(baseline.submit(now, node, ticket(2)).len(), 0);
//! assert_eq!(baseline.finish(now, node, request(1), Units(12)).len(), 1);
//! ```

use {
    crate::{pool, ticket::Ticket},
    siskin_types::{
        cost::{Units, Virtual, Weight},
        id,
        time::Instant,
    },
    std::collections::BTreeMap,
};

/// A dispatch decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: id::Request,
    /// The endpoint that runs it.
    pub endpoint: id::Endpoint,
}

/// The scheduler of a whole fleet, without messages.
#[derive(Debug)]
pub enum Baseline {
    /// One scheduler for all routers.
    Global(Box<Scheduler>),
    /// One scheduler for each router, with a part of every endpoint's slots.
    Split(BTreeMap<id::Node, Scheduler>),
}

/// A fair scheduler with its own slots.
#[derive(Debug)]
pub struct Scheduler {
    options: pool::Options,
    endpoints: Vec<Slots>,
    customers: BTreeMap<id::Customer, Customer>,
    in_flight: BTreeMap<id::Request, InFlight>,
    /// Virtual time of the customer served last.
    last_served: Virtual,
}

#[derive(Debug)]
struct Slots {
    config: pool::Endpoint,
    busy: u32,
}

#[derive(Debug)]
struct Customer {
    weight: Weight,
    virtual_time: Virtual,
    waiting: BTreeMap<(Instant, id::Request), Ticket>,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    customer: id::Customer,
    endpoint: id::Endpoint,
    charged: Units,
}

impl Baseline {
    /// Creates one scheduler with exact information for all routers.
    #[must_use]
    pub fn global(
        options: pool::Options,
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        Self::Global(Box::new(Scheduler::new(options, endpoints, customers)))
    }

    /// Creates a scheduler for each router, with an equal part of every endpoint's slots.
    #[must_use]
    pub fn split(
        options: &pool::Options,
        routers: &[id::Node],
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        let count = u32::try_from(routers.len().max(1)).unwrap_or(u32::MAX);
        let part = |router: u32| -> Vec<pool::Endpoint> {
            let limited = |(index, endpoint): (u32, &pool::Endpoint)| {
                // Remainders go to different routers at different endpoints.
                let rank = (router + index) % count;
                let limit = endpoint.limit / count + u32::from(rank < endpoint.limit % count);
                pool::Endpoint { limit, ..endpoint.clone() }
            };
            (0..).zip(endpoints).map(limited).collect()
        };
        let scheduler = |index| Scheduler::new(options.clone(), &part(index), customers);
        Self::Split((0..).zip(routers).map(|(index, router)| (*router, scheduler(index))).collect())
    }

    /// Queues a ticket and returns the requests to dispatch now.
    pub fn submit(&mut self, now: Instant, router: id::Node, ticket: Ticket) -> Vec<Dispatch> {
        self.scheduler_of(router).map_or_else(Vec::new, |scheduler| scheduler.submit(now, ticket))
    }

    /// Ends a request, charges its actual cost and returns the requests to dispatch now.
    pub fn finish(
        &mut self,
        _now: Instant,
        router: id::Node,
        request: id::Request,
        units: Units,
    ) -> Vec<Dispatch> {
        self.scheduler_of(router)
            .map_or_else(Vec::new, |scheduler| scheduler.finish(request, units))
    }

    /// Charges the service that a request has used so far.
    pub fn progress(
        &mut self,
        _now: Instant,
        router: id::Node,
        request: id::Request,
        units: Units,
    ) {
        if let Some(scheduler) = self.scheduler_of(router) {
            scheduler.progress(request, units);
        }
    }

    fn scheduler_of(&mut self, router: id::Node) -> Option<&mut Scheduler> {
        match self {
            Self::Global(scheduler) => Some(scheduler),
            Self::Split(schedulers) => schedulers.get_mut(&router),
        }
    }
}

impl Scheduler {
    fn new(
        options: pool::Options,
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        let slots = |config: &pool::Endpoint| Slots { config: config.clone(), busy: 0 };
        let state = |customer: &pool::Customer| {
            let state = Customer {
                weight: customer.weight,
                virtual_time: Virtual::ZERO,
                waiting: BTreeMap::new(),
            };
            (customer.id, state)
        };
        Self {
            options,
            endpoints: endpoints.iter().map(slots).collect(),
            customers: customers.iter().map(state).collect(),
            in_flight: BTreeMap::new(),
            last_served: Virtual::ZERO,
        }
    }

    fn submit(&mut self, now: Instant, ticket: Ticket) -> Vec<Dispatch> {
        let waiting = self.customers.values().filter(|state| !state.waiting.is_empty());
        let floor = waiting.map(|state| state.virtual_time).min().unwrap_or(self.last_served);
        let Some(state) = self.customers.get_mut(&ticket.customer) else { return Vec::new() };
        if state.waiting.is_empty() {
            state.virtual_time = state.virtual_time.max(floor);
        }
        let queue_key =
            now + self.options.queue_penalty(ticket.estimate.min(self.options.max_request));
        state.waiting.insert((queue_key, ticket.request), ticket);
        self.dispatch_ready()
    }

    fn progress(&mut self, request: id::Request, units: Units) {
        let Some(running) = self.in_flight.get_mut(&request) else { return };
        let Some(state) = self.customers.get_mut(&running.customer) else { return };
        state.virtual_time = state.virtual_time.advanced(units - running.charged, state.weight);
        running.charged = running.charged.max(units);
    }

    fn finish(&mut self, request: id::Request, units: Units) -> Vec<Dispatch> {
        self.progress(request, units);
        let Some(running) = self.in_flight.remove(&request) else { return Vec::new() };
        if let Some(state) = self.customers.get_mut(&running.customer) {
            state.virtual_time = state.virtual_time.reduced(running.charged - units, state.weight);
        }
        for slots in &mut self.endpoints {
            if slots.config.id == running.endpoint {
                slots.busy -= 1;
            }
        }
        self.dispatch_ready()
    }

    fn dispatch_ready(&mut self) -> Vec<Dispatch> {
        let mut dispatches = Vec::new();
        while let Some(dispatch) = self.dispatch_next() {
            dispatches.push(dispatch);
        }
        dispatches
    }

    /// Dispatches the first ticket that can run on a free slot, trying customers in the order of virtual time.
    fn dispatch_next(&mut self) -> Option<Dispatch> {
        if self.endpoints.iter().all(|slots| slots.busy >= slots.config.limit) {
            return None;
        }
        let mut order: Vec<_> =
            self.customers.iter().filter(|(_, state)| !state.waiting.is_empty()).collect();
        order.sort_by_key(|(customer, state)| (state.virtual_time, **customer));
        let (customer, queue_key, endpoint) = order.into_iter().find_map(|(customer, state)| {
            let mut tickets = state.waiting.iter();
            tickets.find_map(|(queue_key, ticket)| {
                Some((*customer, *queue_key, self.free_endpoint(ticket)?))
            })
        })?;
        let state = self.customers.get_mut(&customer)?;
        let ticket = state.waiting.remove(&queue_key)?;
        let charged = ticket.estimate.min(self.options.max_request);
        self.last_served = self.last_served.max(state.virtual_time);
        state.virtual_time = state.virtual_time.advanced(charged, state.weight);
        for slots in &mut self.endpoints {
            slots.busy += u32::from(slots.config.id == endpoint);
        }
        self.in_flight.insert(ticket.request, InFlight { customer, endpoint, charged });
        Some(Dispatch { request: ticket.request, endpoint })
    }

    /// The endpoint with most free slots that may run the ticket.
    fn free_endpoint(&self, ticket: &Ticket) -> Option<id::Endpoint> {
        let usable = self.endpoints.iter().filter(|slots| {
            let config = &slots.config;
            slots.busy < config.limit
                && config.models.contains(&ticket.model)
                && !config.leaving
                && !ticket.exclude.contains(&config.id)
        });
        usable.max_by_key(|slots| slots.config.limit - slots.busy).map(|slots| slots.config.id)
    }
}
