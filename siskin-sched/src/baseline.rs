//! Schedulers to compare with: one global queue with exact knowledge, and routers that are fair on their own
//! with slots split in advance.
//!
//! Both are naive on purpose, with linear scans and no messages.
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

/// A request to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: id::Request,
    /// Where it runs.
    pub endpoint: id::Endpoint,
}

/// A fleet without messages.
#[derive(Debug)]
pub enum Baseline {
    /// One queue for all routers.
    Global(Box<Share>),
    /// One queue for each router, with its part of every endpoint.
    Split(BTreeMap<id::Node, Share>),
}

/// A queue with endpoints of its own.
#[derive(Debug)]
pub struct Share {
    options: pool::Options,
    endpoints: Vec<Slots>,
    accounts: BTreeMap<id::Customer, Account>,
    flights: BTreeMap<id::Request, Flight>,
    /// Virtual time of the customer served last.
    last: Virtual,
}

#[derive(Debug)]
struct Slots {
    config: pool::Endpoint,
    busy: u32,
}

#[derive(Debug)]
struct Account {
    weight: Weight,
    clock: Virtual,
    waiting: BTreeMap<(Instant, id::Request), Ticket>,
}

#[derive(Clone, Copy, Debug)]
struct Flight {
    customer: id::Customer,
    endpoint: id::Endpoint,
    charged: Units,
}

impl Baseline {
    /// One queue with exact knowledge.
    #[must_use]
    pub fn global(
        options: pool::Options,
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        Self::Global(Box::new(Share::new(options, endpoints, customers)))
    }

    /// A queue for each router, with an equal part of every endpoint's slots.
    #[must_use]
    pub fn split(
        options: &pool::Options,
        routers: &[id::Node],
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        let count = u32::try_from(routers.len().max(1)).unwrap_or(u32::MAX);
        let part = |router: u32| -> Vec<pool::Endpoint> {
            let cut = |(index, endpoint): (u32, &pool::Endpoint)| {
                // Remainders go to different routers at different endpoints.
                let rank = (router + index) % count;
                let limit = endpoint.limit / count + u32::from(rank < endpoint.limit % count);
                pool::Endpoint { limit, ..endpoint.clone() }
            };
            (0..).zip(endpoints).map(cut).collect()
        };
        let share = |index| Share::new(options.clone(), &part(index), customers);
        Self::Split((0..).zip(routers).map(|(index, router)| (*router, share(index))).collect())
    }

    /// Queues a ticket and returns what runs now.
    pub fn submit(&mut self, now: Instant, router: id::Node, ticket: Ticket) -> Vec<Dispatch> {
        self.share(router).map_or_else(Vec::new, |share| share.submit(now, ticket))
    }

    /// Ends a request, charges its true cost and returns what runs now.
    pub fn finish(
        &mut self,
        _now: Instant,
        router: id::Node,
        request: id::Request,
        units: Units,
    ) -> Vec<Dispatch> {
        self.share(router).map_or_else(Vec::new, |share| share.finish(request, units))
    }

    /// Notes the service that a request has had so far.
    pub fn progress(
        &mut self,
        _now: Instant,
        router: id::Node,
        request: id::Request,
        units: Units,
    ) {
        if let Some(share) = self.share(router) {
            share.progress(request, units);
        }
    }

    fn share(&mut self, router: id::Node) -> Option<&mut Share> {
        match self {
            Self::Global(share) => Some(share),
            Self::Split(shares) => shares.get_mut(&router),
        }
    }
}

impl Share {
    fn new(
        options: pool::Options,
        endpoints: &[pool::Endpoint],
        customers: &[pool::Customer],
    ) -> Self {
        let slots = |config: &pool::Endpoint| Slots { config: config.clone(), busy: 0 };
        let account = |customer: &pool::Customer| {
            let account =
                Account { weight: customer.weight, clock: Virtual::ZERO, waiting: BTreeMap::new() };
            (customer.id, account)
        };
        Self {
            options,
            endpoints: endpoints.iter().map(slots).collect(),
            accounts: customers.iter().map(account).collect(),
            flights: BTreeMap::new(),
            last: Virtual::ZERO,
        }
    }

    fn submit(&mut self, now: Instant, ticket: Ticket) -> Vec<Dispatch> {
        let waiting = self.accounts.values().filter(|account| !account.waiting.is_empty());
        let floor = waiting.map(|account| account.clock).min().unwrap_or(self.last);
        let Some(account) = self.accounts.get_mut(&ticket.customer) else { return Vec::new() };
        if account.waiting.is_empty() {
            account.clock = account.clock.max(floor);
        }
        let place = now + self.options.penalty(ticket.estimate.min(self.options.max_request));
        account.waiting.insert((place, ticket.request), ticket);
        self.settle()
    }

    fn progress(&mut self, request: id::Request, units: Units) {
        let Some(flight) = self.flights.get_mut(&request) else { return };
        let Some(account) = self.accounts.get_mut(&flight.customer) else { return };
        account.clock = account.clock.advanced(units - flight.charged, account.weight);
        flight.charged = flight.charged.max(units);
    }

    fn finish(&mut self, request: id::Request, units: Units) -> Vec<Dispatch> {
        self.progress(request, units);
        let Some(flight) = self.flights.remove(&request) else { return Vec::new() };
        if let Some(account) = self.accounts.get_mut(&flight.customer) {
            account.clock = account.clock.reduced(flight.charged - units, account.weight);
        }
        for slots in &mut self.endpoints {
            if slots.config.id == flight.endpoint {
                slots.busy -= 1;
            }
        }
        self.settle()
    }

    fn settle(&mut self) -> Vec<Dispatch> {
        let mut dispatches = Vec::new();
        while let Some(dispatch) = self.next() {
            dispatches.push(dispatch);
        }
        dispatches
    }

    /// Starts the first ticket of the lowest customer that has a free endpoint.
    fn next(&mut self) -> Option<Dispatch> {
        if self.endpoints.iter().all(|slots| slots.busy >= slots.config.limit) {
            return None;
        }
        let mut order: Vec<_> =
            self.accounts.iter().filter(|(_, account)| !account.waiting.is_empty()).collect();
        order.sort_by_key(|(customer, account)| (account.clock, **customer));
        let (customer, place, endpoint) = order.into_iter().find_map(|(customer, account)| {
            let mut tickets = account.waiting.iter();
            tickets.find_map(|(place, ticket)| Some((*customer, *place, self.free(ticket)?)))
        })?;
        let account = self.accounts.get_mut(&customer)?;
        let ticket = account.waiting.remove(&place)?;
        let charged = ticket.estimate.min(self.options.max_request);
        self.last = self.last.max(account.clock);
        account.clock = account.clock.advanced(charged, account.weight);
        for slots in &mut self.endpoints {
            slots.busy += u32::from(slots.config.id == endpoint);
        }
        self.flights.insert(ticket.request, Flight { customer, endpoint, charged });
        Some(Dispatch { request: ticket.request, endpoint })
    }

    /// The endpoint with most free slots that may run the ticket.
    fn free(&self, ticket: &Ticket) -> Option<id::Endpoint> {
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
