//! The router's scheduler: queues and dispatches requests, and reports to the pool's owner.

use {
    crate::{pool, refusal::Refusal, ticket::Ticket},
    floor::Floor,
    outbox::Outbox,
    queue::{Key, Queue},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_types::{
        cost::{Units, Virtual},
        id,
        time::Instant,
    },
    siskin_wire::sched::{self, Clock, Grant, Line, Permitted, Report, Term},
    slots::Slots,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        ops::Range,
    },
};

mod floor;
mod outbox;
mod permits;
mod queue;
mod slots;

/// Number of waiting requests that the owner should know of. With fewer, slots that become free at the same time
/// would be granted one per report.
const MIN_KNOWN_WAITING: u32 = 4;

/// Range of the random shifts that [`Queue::order_key`] applies, in thousandths of a round. Without shifts the
/// service gap between customers was 23,106 units at 120 routers, against 1,595 with the global queue; wider shifts
/// add to the gap of small fleets.
const ORDER_SHIFTS: Range<i32> = -150..150;

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request at the endpoint.
    Dispatch {
        /// The request.
        request: id::Request,
        /// The endpoint that runs it.
        endpoint: id::Endpoint,
    },
    /// Tell the caller that the request did not run because its deadline passed in the queue.
    Expire {
        /// The request.
        request: id::Request,
    },
    /// Send a report to the pool's owner, which may be this node.
    Send {
        /// The owner.
        to: id::Node,
        /// The report.
        message: Report,
    },
}

/// Number of one customer's requests at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// The customer.
    pub customer: id::Customer,
    /// Requests waiting.
    pub queued: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// This router's slots at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occupancy {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Requests in flight.
    pub in_flight: u32,
    /// Slots held and not in use.
    pub idle: u32,
}

/// Queues and dispatches the requests of one pool at one router.
#[derive(Debug)]
pub struct Scheduler {
    options: pool::Options,
    owner: Option<id::Node>,
    account: u64,
    /// The owner's term that the account belongs to; none until the owner answers.
    term: Option<Term>,
    /// Sequence of the newest grant applied.
    last_grant: u64,
    /// When the slots held expire.
    valid_until: Instant,
    floors: BTreeMap<id::Model, Floor>,
    idle_reserve: u32,
    queues: BTreeMap<id::Customer, Queue>,
    /// Customers with tickets that may run, ordered by [`Queue::order_key`].
    order: BTreeMap<id::Model, BTreeSet<(Virtual, id::Customer)>>,
    /// Tickets that may run.
    runnable: BTreeMap<id::Model, u32>,
    /// Waiting tickets that were reported to the owner and for which it has not granted a slot.
    announced_waiting: BTreeMap<id::Model, u32>,
    /// Customers with permits to return.
    surplus_permits: BTreeSet<id::Customer>,
    slots: BTreeMap<id::Endpoint, Slots>,
    /// Endpoints with idle slots.
    idle_endpoints: BTreeSet<id::Endpoint>,
    tickets: HashMap<id::Request, Position>,
    deadlines: BTreeSet<(Instant, id::Request)>,
    in_flight: HashMap<id::Request, InFlight>,
    outbox: Outbox,
    rng: SmallRng,
}

/// Where a ticket waits.
#[derive(Clone, Copy, Debug)]
struct Position {
    customer: id::Customer,
    model: id::Model,
    queue_key: Key,
    deadline: Instant,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    customer: id::Customer,
    endpoint: id::Endpoint,
    charged: Units,
    alone: bool,
}

/// A ticket that can run now.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    order_key: Virtual,
    customer: id::Customer,
    queue_key: Key,
    endpoint: id::Endpoint,
}

impl Scheduler {
    /// Creates a scheduler without owner, endpoints and customers.
    #[must_use]
    pub fn new(options: pool::Options) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed ^ u64::from(options.node.0));
        Self {
            account: options.incarnation,
            options,
            owner: None,
            term: None,
            last_grant: 0,
            valid_until: Instant::ZERO,
            floors: BTreeMap::new(),
            idle_reserve: 0,
            queues: BTreeMap::new(),
            order: BTreeMap::new(),
            runnable: BTreeMap::new(),
            announced_waiting: BTreeMap::new(),
            surplus_permits: BTreeSet::new(),
            slots: BTreeMap::new(),
            idle_endpoints: BTreeSet::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            in_flight: HashMap::new(),
            outbox: Outbox::default(),
            rng,
        }
    }

    /// Queues a ticket.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if a cap, the configuration or the deadline forbids it.
    pub fn submit(&mut self, now: Instant, ticket: Ticket) -> Result<Vec<Action>, Refusal> {
        self.check_ticket(now, &ticket)?;
        let customer = ticket.customer;
        let model = ticket.model;
        let floor = self.floors.get(&model).map(|floor| floor.latest.floor);
        let Some(queue) = self.queues.get_mut(&customer).filter(|queue| queue.known) else {
            return Err(Refusal::UnknownCustomer { customer });
        };
        queue.admit(now)?;
        let estimate = ticket.estimate.min(self.options.max_request);
        let queue_key = (now + self.options.queue_penalty(estimate), ticket.request);
        let position = Position { customer, model, queue_key, deadline: ticket.deadline };
        self.tickets.insert(ticket.request, position);
        self.deadlines.insert((ticket.deadline, ticket.request));
        self.change_queue(customer, |queue| {
            if queue.queued == 0 {
                queue.raise_to_floor(floor.unwrap_or_default());
            }
            queue.push(queue_key, ticket);
        });
        let mut actions = Vec::new();
        self.dispatch_and_release(now, &mut actions);
        if let Some(queue) = self.queues.get(&customer) {
            if queue.queued == 1 {
                self.outbox.request_low_priority();
            }
            if queue.lacks_permits(MIN_KNOWN_WAITING) {
                self.outbox.request_urgent();
            }
        }
        self.send_report_if_due(now, &mut actions);
        Ok(actions)
    }

    /// Removes a queued ticket. For a request in flight, call [`Self::finish`] instead.
    pub fn cancel(&mut self, now: Instant, request: id::Request) -> Vec<Action> {
        let mut actions = Vec::new();
        self.remove_ticket(request);
        self.dispatch_and_release(now, &mut actions);
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Charges the service that a request in flight has used so far.
    pub fn progress(&mut self, now: Instant, request: id::Request, units: Units) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(running) = self.in_flight.get_mut(&request) {
            let more = units - running.charged;
            running.charged += more;
            let customer = running.customer;
            if more > Units(0) {
                self.change_queue(customer, |queue| queue.charge(more));
                // The estimate was too low, so the owner orders customers by wrong virtual times.
                self.outbox.request_low_priority();
            }
        }
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Ends a request in flight, whatever its outcome, and charges its actual cost.
    pub fn finish(&mut self, now: Instant, request: id::Request, units: Units) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(running) = self.in_flight.remove(&request) {
            self.change_queue(running.customer, |queue| {
                queue.in_flight -= 1;
                queue.last_cost = units;
                queue.charge(units - running.charged);
                queue.refund(running.charged - units);
            });
            self.change_slots(running.endpoint, |slots| slots.finish_request(running.alone));
            self.dispatch_and_release(now, &mut actions);
        }
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Applies a grant.
    pub fn receive(&mut self, now: Instant, from: id::Node, grant: &Grant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.owner == Some(from) && grant.pool == self.options.pool {
            self.apply_grant(now, grant);
            self.dispatch_and_release(now, &mut actions);
        }
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Switches to the owner that membership names.
    pub fn owner_changed(&mut self, now: Instant, owner: Option<id::Node>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.owner != owner {
            self.owner = owner;
            self.term = None;
            self.open_account(now);
        }
        self.dispatch_and_release(now, &mut actions);
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Sets the endpoints of the configuration in force. Endpoints no longer configured count as leaving.
    pub fn endpoints(&mut self, now: Instant, endpoints: &[pool::Endpoint]) -> Vec<Action> {
        let mut actions = Vec::new();
        for slots in self.slots.values_mut() {
            slots.config.leaving = true;
        }
        for endpoint in endpoints {
            self.slots
                .entry(endpoint.id)
                .and_modify(|slots| slots.config = endpoint.clone())
                .or_insert_with(|| Slots::new(endpoint.clone()));
        }
        self.update_permit_use();
        self.dispatch_and_release(now, &mut actions);
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Sets the customers of the configuration in force.
    pub fn customers(&mut self, now: Instant, customers: &[pool::Customer]) -> Vec<Action> {
        let mut actions = Vec::new();
        for queue in self.queues.values_mut() {
            queue.known = false;
        }
        for customer in customers {
            let queue =
                self.queues.entry(customer.id).or_insert_with(|| Queue::new(customer.clone()));
            queue.known = true;
            if queue.config != *customer {
                self.change_queue(customer.id, |queue| queue.config = customer.clone());
            }
        }
        self.update_permit_use();
        self.dispatch_and_release(now, &mut actions);
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// Expires tickets, returns expired slots and sends the report if one is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.remove_ticket(request);
            actions.push(Action::Expire { request });
        }
        self.outbox.drop_expired(now, self.options.grant_validity);
        self.dispatch_and_release(now, &mut actions);
        self.send_report_if_due(now, &mut actions);
        actions
    }

    /// The earliest time at which [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let report =
            self.owner.map(|_| self.outbox.next_report(&self.options, !self.tickets.is_empty()));
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let expiry = (!self.idle_endpoints.is_empty()).then_some(self.valid_until);
        let times = [report, deadline, expiry];
        times.into_iter().flatten().min().unwrap_or(Instant::from_micros(u64::MAX))
    }

    /// Numbers of queued requests and requests in flight of every customer that has any.
    #[must_use]
    pub fn customer_counts(&self) -> Vec<Counts> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.queued > 0 || queue.in_flight > 0)
            .map(|(customer, queue)| Counts {
                customer: *customer,
                queued: queue.queued,
                in_flight: queue.in_flight,
            })
            .collect()
    }

    /// Requests in flight and idle slots at every endpoint. A drained endpoint has no requests in flight.
    #[must_use]
    pub fn occupancy(&self) -> Vec<Occupancy> {
        self.slots
            .iter()
            .map(|(endpoint, slots)| Occupancy {
                endpoint: *endpoint,
                in_flight: slots.busy,
                idle: slots.idle(),
            })
            .collect()
    }

    /// Updates which customers need permits: those whose cap is below the number of slots of the pool.
    fn update_permit_use(&mut self) {
        let limits = self.slots.values().map(|slots| slots.config.limit);
        let slots = limits.fold(0, u32::saturating_add);
        let needs_permits = |queue: &Queue| queue.config.max_in_flight < slots;
        let changed =
            self.queues.iter().filter(|(_, queue)| queue.needs_permits != needs_permits(queue));
        let changed: Vec<_> = changed.map(|(customer, _)| *customer).collect();
        for customer in changed {
            self.change_queue(customer, |queue| queue.needs_permits = !queue.needs_permits);
        }
    }

    fn check_ticket(&self, now: Instant, ticket: &Ticket) -> Result<(), Refusal> {
        let request = ticket.request;
        if self.tickets.contains_key(&request) || self.in_flight.contains_key(&request) {
            return Err(Refusal::Duplicate { request });
        }
        if ticket.deadline <= now {
            return Err(Refusal::DeadlinePassed { request });
        }
        let model = ticket.model;
        if !self.slots.values().any(|slots| slots.config.models.contains(&model)) {
            return Err(Refusal::NoEndpoint { model });
        }
        Ok(())
    }

    /// Changes a customer's queue and marks it for the next report.
    fn change_queue(&mut self, customer: id::Customer, change: impl FnOnce(&mut Queue)) {
        self.reorder_queue(customer, change);
        self.outbox.mark_customer(customer);
    }

    /// Changes a customer's queue and updates the indexes, without marking it for the next report.
    fn reorder_queue(&mut self, customer: id::Customer, change: impl FnOnce(&mut Queue)) {
        let Some(queue) = self.queues.get_mut(&customer) else { return };
        for model in queue.models() {
            let waiting = queue.runnable(model);
            if let Some(order) = self.order.get_mut(&model).filter(|_| waiting > 0) {
                let removed = order.remove(&(queue.order_key(), customer));
                debug_assert!(removed, "{customer} waits under an old virtual time");
                *self.runnable.entry(model).or_default() -= waiting;
            }
        }
        change(queue);
        for model in queue.models() {
            let waiting = queue.runnable(model);
            if waiting > 0 {
                self.order.entry(model).or_default().insert((queue.order_key(), customer));
                *self.runnable.entry(model).or_default() += waiting;
            }
        }
        if queue.surplus_permits() > 0 {
            self.surplus_permits.insert(customer);
        } else {
            self.surplus_permits.remove(&customer);
        }
    }

    fn change_slots(&mut self, endpoint: id::Endpoint, change: impl FnOnce(&mut Slots)) {
        let Some(slots) = self.slots.get_mut(&endpoint) else { return };
        change(slots);
        if slots.idle() > 0 {
            self.idle_endpoints.insert(endpoint);
        } else {
            self.idle_endpoints.remove(&endpoint);
        }
        self.outbox.mark_endpoint(endpoint);
    }

    fn remove_ticket(&mut self, request: id::Request) {
        let Some(position) = self.tickets.remove(&request) else { return };
        self.deadlines.remove(&(position.deadline, request));
        self.change_queue(position.customer, |queue| {
            queue.remove(position.model, position.queue_key);
        });
    }

    fn apply_grant(&mut self, now: Instant, grant: &Grant) {
        if self.term.is_some_and(|term| grant.term < term) {
            return;
        }
        if self.term.is_some_and(|term| grant.term > term) {
            self.term = Some(grant.term);
            self.open_account(now);
            return;
        }
        if grant.account != self.account {
            return;
        }
        self.term = Some(grant.term);
        if grant.answers == 0 {
            self.open_account(now);
            return;
        }
        if grant.sequence <= self.last_grant {
            return;
        }
        self.last_grant = grant.sequence;
        if let Some(sent) = self.outbox.acknowledge(grant.answers) {
            self.valid_until = self.valid_until.max(sent + self.options.grant_validity);
        }
        self.idle_reserve = grant.reserve;
        let recalled = self.apply_floors(now, &grant.floors);
        self.apply_clocks(grant.answers, &grant.clocks);
        self.apply_slots(now, grant);
        self.apply_permits(now, &grant.permits);
        if recalled && !self.idle_endpoints.is_empty() {
            self.outbox.request_immediate();
        }
    }

    /// Returns whether requests wait at other routers for a model for which none waited there before.
    fn apply_floors(&mut self, now: Instant, floors: &[sched::Floor]) -> bool {
        let waited = |floor: &sched::Floor| floor.elsewhere.then_some(floor.model);
        let latest = self.floors.values().map(|floor| &floor.latest);
        let before: BTreeSet<_> = latest.filter_map(waited).collect();
        for floor in self.floors.values_mut() {
            floor.latest.elsewhere = false;
        }
        for floor in floors {
            self.floors
                .entry(floor.model)
                .and_modify(|known| known.update(now, floor))
                .or_insert_with(|| Floor::new(now, floor.clone()));
        }
        floors.iter().filter_map(waited).any(|model| !before.contains(&model))
    }

    fn apply_clocks(&mut self, answers: u64, clocks: &[Clock]) {
        for entry in clocks {
            let shift = self.rng.random_range(ORDER_SHIFTS);
            self.reorder_queue(entry.customer, |queue| queue.apply_clock(answers, entry, shift));
        }
    }

    fn apply_slots(&mut self, now: Instant, grant: &Grant) {
        let mut consistent = true;
        for entry in &grant.slots {
            self.slots.entry(entry.endpoint).or_insert_with(|| {
                // The configuration that names the endpoint has not arrived, so its slots are returned.
                let mut config = pool::Endpoint::new(entry.endpoint, 0, Vec::new());
                config.leaving = true;
                Slots::new(config)
            });
            self.change_slots(entry.endpoint, |slots| consistent &= slots.apply_grant(entry));
        }
        if !consistent {
            self.open_account(now);
        }
    }

    fn apply_permits(&mut self, now: Instant, entries: &[Permitted]) {
        let mut consistent = true;
        for entry in entries {
            let mut recalled = false;
            self.reorder_queue(entry.customer, |queue| {
                consistent &= queue.permits.apply_grant(entry);
                recalled = queue.surplus_permits() > 0;
            });
            if recalled {
                self.outbox.request_immediate();
            }
        }
        if !consistent {
            self.open_account(now);
        }
    }

    /// Opens a new account, which invalidates grants of the old one that are still in transit.
    fn open_account(&mut self, now: Instant) {
        self.account += 1;
        self.last_grant = 0;
        self.outbox.open_account();
        let expired = now >= self.valid_until;
        let endpoints: Vec<_> = self.slots.keys().copied().collect();
        for endpoint in endpoints {
            self.change_slots(endpoint, |slots| slots.open_account(expired));
        }
        let customers: Vec<_> = self.queues.keys().copied().collect();
        for customer in customers {
            self.change_queue(customer, |queue| queue.open_account(expired));
        }
    }

    /// Dispatches the tickets that may run, and returns the slots and permits that may not be kept.
    fn dispatch_and_release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let owner_silent = self.owner_is_silent(now);
        if now < self.valid_until {
            while let Some(candidate) = self.next_candidate(now, owner_silent) {
                actions.push(self.dispatch(candidate));
            }
        }
        self.release_slots(now, owner_silent);
        self.release_permits();
        for (model, waiting) in &self.runnable {
            let known = self.announced_waiting.get(model).copied().unwrap_or(0);
            if known < (*waiting).min(MIN_KNOWN_WAITING) {
                self.outbox.request_urgent();
            }
        }
    }

    /// Whether the owner does not answer reports. Slots returned to it would stay unused until they expire or the
    /// owner is replaced, so the router reuses the slots that it holds.
    fn owner_is_silent(&self, now: Instant) -> bool {
        let answer_timeout = self.options.report_interval * 2;
        self.outbox.oldest_unanswered().is_some_and(|since| now - since > answer_timeout)
    }

    /// The next ticket to run on an idle slot: that of the customer with the lowest [`Queue::order_key`].
    fn next_candidate(&self, now: Instant, owner_silent: bool) -> Option<Candidate> {
        let usable = || {
            self.idle_endpoints.iter().filter_map(|id| self.slots.get(id)).filter(|s| s.usable())
        };
        let models: BTreeSet<_> = usable().flat_map(|slots| &slots.config.models).collect();
        let mut best: Option<Candidate> = None;
        for model in models {
            let found = self.first_candidate(now, *model, owner_silent);
            let key = |candidate: &Candidate| {
                (candidate.order_key, candidate.customer, candidate.queue_key)
            };
            if let Some(found) = found
                && best.as_ref().is_none_or(|best| key(&found) < key(best))
            {
                best = Some(found);
            }
        }
        best
    }

    /// The first ticket for `model` that may run on an idle slot.
    fn first_candidate(
        &self,
        now: Instant,
        model: id::Model,
        owner_silent: bool,
    ) -> Option<Candidate> {
        for (order_key, customer) in self.order.get(&model)? {
            let queue = self.queues.get(customer)?;
            let usable: Vec<_> = self
                .idle_endpoints
                .iter()
                .filter_map(|id| self.slots.get(id))
                .filter(|slots| slots.usable() && slots.config.serves(model))
                .filter(|slots| owner_silent || self.may_reuse(now, slots, queue.virtual_time()))
                .collect();
            if usable.is_empty() {
                return None;
            }
            for (queue_key, ticket) in queue.tickets(model) {
                if let Some(endpoint) = pick_endpoint(&usable, ticket) {
                    return Some(Candidate {
                        order_key: *order_key,
                        customer: *customer,
                        queue_key,
                        endpoint,
                    });
                }
            }
        }
        None
    }

    /// Whether a slot may serve a customer with virtual time `clock`: the owner just granted it, no requests wait at
    /// other routers, or the customer is close to the floor.
    fn may_reuse(&self, now: Instant, slots: &Slots, clock: Virtual) -> bool {
        if slots.unused_grants > 0 {
            return true;
        }
        // While requests wait here, the owner answers at least this often.
        let max_age = self.options.report_interval + self.options.max_answer_delay;
        let floor = self.floors_elsewhere(slots).map(|floor| floor.extrapolate(now, max_age)).min();
        floor.is_none_or(|floor| clock <= floor.plus(self.options.reuse_slack))
    }

    /// Floors of the models that the endpoint serves and for which requests wait at other routers.
    fn floors_elsewhere(&self, slots: &Slots) -> impl Iterator<Item = &Floor> {
        let floors = slots.config.models.iter().filter_map(|model| self.floors.get(model));
        floors.filter(|floor| floor.latest.elsewhere)
    }

    fn dispatch(&mut self, candidate: Candidate) -> Action {
        let (_, request) = candidate.queue_key;
        let endpoint = candidate.endpoint;
        let position = self.tickets.remove(&request);
        debug_assert!(position.is_some(), "{request} dispatched twice");
        debug_assert!(!self.in_flight.contains_key(&request), "{request} is in flight already");
        let mut charged = Units(0);
        let mut alone = false;
        if let Some(position) = position {
            self.deadlines.remove(&(position.deadline, request));
            let max_request = self.options.max_request;
            self.change_queue(candidate.customer, |queue| {
                let Some(ticket) = queue.remove(position.model, position.queue_key) else { return };
                charged = ticket.estimate.min(max_request);
                alone = ticket.alone;
                queue.in_flight += 1;
                queue.charge(charged);
            });
            let fresh = self.slots.get(&endpoint).is_some_and(|slots| slots.unused_grants > 0);
            if let Some(known) = self.announced_waiting.get_mut(&position.model).filter(|_| fresh) {
                *known = known.saturating_sub(1);
            }
        }
        self.change_slots(endpoint, |slots| slots.start_request(alone));
        let running = InFlight { customer: candidate.customer, endpoint, charged, alone };
        self.in_flight.insert(request, running);
        Action::Dispatch { request, endpoint }
    }

    /// Returns idle slots that expired, may not be kept, exceed the reserve, or are needed at other routers.
    fn release_slots(&mut self, now: Instant, owner_silent: bool) {
        let expired = now >= self.valid_until;
        let mut reserve = if owner_silent { u32::MAX } else { self.idle_reserve };
        let idle: Vec<_> = self.idle_endpoints.iter().copied().collect();
        for endpoint in idle {
            let Some(slots) = self.slots.get(&endpoint) else { continue };
            let needed_elsewhere = !owner_silent && self.floors_elsewhere(slots).next().is_some();
            let keep = if expired || !slots.usable() || needed_elsewhere {
                0
            } else {
                slots.idle().min(reserve)
            };
            reserve -= keep;
            let surplus = slots.idle() - keep;
            if surplus > 0 {
                let unused = slots.unused_grants > 0;
                self.change_slots(endpoint, |slots| slots.return_idle(surplus));
                self.outbox.request_urgent();
                if unused {
                    // The request for which the slot was granted runs on another slot. The granted slot was already
                    // delayed by the minimum report interval once; a second delay kept it idle for 8.6 ms.
                    self.outbox.request_immediate();
                }
            }
        }
    }

    /// Returns the permits that exceed this router's shares of scarce caps.
    fn release_permits(&mut self) {
        for customer in std::mem::take(&mut self.surplus_permits) {
            self.change_queue(customer, |queue| queue.permits.return_idle(queue.surplus_permits()));
            self.outbox.request_urgent();
        }
    }

    fn send_report_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(to) = self.owner else { return };
        if now < self.outbox.next_report(&self.options, !self.tickets.is_empty()) {
            return;
        }
        let full = self.outbox.answered == 0;
        let sequence = self.outbox.record_report(now);
        let floor = self.floors.values().map(|floor| floor.latest.floor).max().unwrap_or_default();
        let customers: Vec<_> = self.outbox.changed_customers().collect();
        let mut queues = Vec::new();
        for customer in customers {
            let Some(queue) = self.queues.get_mut(&customer) else { continue };
            // An idle customer that is not ahead of the others is raised to the floor anyway, so its entry can be
            // omitted.
            let omissible = queue.queued == 0
                && (!queue.needs_permits || queue.in_flight == 0)
                && queue.charged == 0
                && queue.virtual_time() <= floor;
            if full && omissible {
                continue;
            }
            queue.record_report(sequence);
            queues.push(queue_entry(queue, full, &self.slots));
        }
        let slots = self
            .outbox
            .changed_endpoints()
            .filter_map(|endpoint| self.slots.get(&endpoint))
            .filter(|slots| !(full && slots.is_empty_account()))
            .map(Slots::to_report)
            .collect();
        self.announced_waiting.clone_from(&self.runnable);
        let message = Report {
            pool: self.options.pool,
            account: self.account,
            sequence,
            heard: self.last_grant,
            full,
            queues,
            slots,
        };
        actions.push(Action::Send { to, message });
    }
}

/// Chooses the endpoint for `ticket` among those with idle slots: the first preferred one, else the one with most
/// idle slots.
fn pick_endpoint(usable: &[&Slots], ticket: &Ticket) -> Option<id::Endpoint> {
    let fits = |slots: &&&Slots| {
        !(ticket.exclude.contains(&slots.config.id) || ticket.alone && slots.suspects > 0)
    };
    let rank = |slots: &&&Slots| {
        let preferred = ticket.prefer.iter().position(|endpoint| *endpoint == slots.config.id);
        (preferred.unwrap_or(usize::MAX), u32::MAX - slots.idle(), slots.config.id)
    };
    usable.iter().filter(fits).min_by_key(rank).map(|slots| slots.config.id)
}

/// The report's entry for a customer. A suspect excludes the endpoints where this router runs another suspect.
fn queue_entry(
    queue: &Queue,
    full: bool,
    slots: &BTreeMap<id::Endpoint, Slots>,
) -> siskin_wire::sched::Queue {
    let suspect_endpoints = |alone: bool| {
        let busy = slots.values().filter(move |slots| alone && slots.suspects > 0);
        busy.map(|slots| slots.config.id)
    };
    let mut lines = Vec::new();
    for model in queue.models() {
        let waiting = queue.demand(model);
        if let Some((_, next)) = queue.tickets(model).next().filter(|_| waiting > 0) {
            lines.push(Line {
                model,
                waiting,
                estimate: next.estimate,
                prefer: next.prefer.first().copied(),
                exclude: next
                    .exclude
                    .iter()
                    .copied()
                    .chain(suspect_endpoints(next.alone))
                    .collect(),
            });
        }
    }
    siskin_wire::sched::Queue {
        customer: queue.config.id,
        charged: queue.charged,
        clock: queue.reported_virtual_time().filter(|_| full),
        permits: queue.needs_permits.then(|| queue.permits.to_report(queue.in_flight)),
        lines,
    }
}
