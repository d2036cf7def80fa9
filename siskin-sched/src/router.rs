//! The router's side: queues, dispatch and reports.

use {
    crate::{pool, refusal::Refusal, ticket::Ticket},
    floor::Floor,
    outbox::Outbox,
    queue::{Place, Queue},
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

/// Waiting requests that the owner should know of. With fewer, slots that become free together would be
/// granted one report after the other.
const KNOWN_WAITING: u32 = 4;

/// Shifts of a router's turn, in thousandths of a round. Without shifts the gap was 23,106 at 120 routers, against
/// 1,595 of the global queue; wider ones add to the gap of small fleets.
const PHASES: Range<i32> = -150..150;

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request at the endpoint.
    Dispatch {
        /// The request.
        request: id::Request,
        /// Where it runs.
        endpoint: id::Endpoint,
    },
    /// Tell the caller that the request did not run: its deadline passed in the queue.
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

/// One customer's requests at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The customer.
    pub customer: id::Customer,
    /// Requests waiting.
    pub queued: u32,
    /// Requests in flight.
    pub in_flight: u32,
}

/// This router's slots at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
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
    /// Term that the account is bound to; none until the owner answers.
    term: Option<Term>,
    /// Sequence of the newest grant applied.
    heard: u64,
    /// When the slots held lapse.
    valid_until: Instant,
    floors: BTreeMap<id::Model, Floor>,
    reserve: u32,
    queues: BTreeMap<id::Customer, Queue>,
    /// Customers with tickets that may run, by virtual time.
    ready: BTreeMap<id::Model, BTreeSet<(Virtual, id::Customer)>>,
    /// Tickets that may run.
    waiting: BTreeMap<id::Model, u32>,
    /// Waiting tickets that the owner knows of and has not granted a slot for.
    announced: BTreeMap<id::Model, u32>,
    /// Customers with permits to give back.
    surplus: BTreeSet<id::Customer>,
    slots: BTreeMap<id::Endpoint, Slots>,
    /// Endpoints with idle slots.
    idle: BTreeSet<id::Endpoint>,
    tickets: HashMap<id::Request, Position>,
    deadlines: BTreeSet<(Instant, id::Request)>,
    flights: HashMap<id::Request, Flight>,
    outbox: Outbox,
    rng: SmallRng,
}

/// Where a ticket waits.
#[derive(Clone, Copy, Debug)]
struct Position {
    customer: id::Customer,
    model: id::Model,
    place: Place,
    deadline: Instant,
}

/// A request in flight.
#[derive(Clone, Copy, Debug)]
struct Flight {
    customer: id::Customer,
    endpoint: id::Endpoint,
    charged: Units,
    alone: bool,
}

/// A ticket that can run now.
#[derive(Clone, Copy, Debug)]
struct Choice {
    turn: Virtual,
    customer: id::Customer,
    place: Place,
    endpoint: id::Endpoint,
}

impl Scheduler {
    /// A scheduler without owner, endpoints and customers.
    #[must_use]
    pub fn new(options: pool::Options) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed ^ u64::from(options.node.0));
        Self {
            account: options.incarnation,
            options,
            owner: None,
            term: None,
            heard: 0,
            valid_until: Instant::ZERO,
            floors: BTreeMap::new(),
            reserve: 0,
            queues: BTreeMap::new(),
            ready: BTreeMap::new(),
            waiting: BTreeMap::new(),
            announced: BTreeMap::new(),
            surplus: BTreeSet::new(),
            slots: BTreeMap::new(),
            idle: BTreeSet::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            flights: HashMap::new(),
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
        self.check(now, &ticket)?;
        let customer = ticket.customer;
        let model = ticket.model;
        let floor = self.floors.get(&model).map(|floor| floor.told.floor);
        let Some(queue) = self.queues.get_mut(&customer).filter(|queue| queue.known) else {
            return Err(Refusal::UnknownCustomer { customer });
        };
        queue.admit(now)?;
        let estimate = ticket.estimate.min(self.options.max_request);
        let place = (now + self.options.penalty(estimate), ticket.request);
        let position = Position { customer, model, place, deadline: ticket.deadline };
        self.tickets.insert(ticket.request, position);
        self.deadlines.insert((ticket.deadline, ticket.request));
        self.change(customer, |queue| {
            if queue.queued == 0 {
                queue.raise(floor.unwrap_or_default());
            }
            queue.push(place, ticket);
        });
        let mut actions = Vec::new();
        self.settle(now, &mut actions);
        if let Some(queue) = self.queues.get(&customer) {
            if queue.queued == 1 {
                self.outbox.soon();
            }
            if queue.lacks_permits(KNOWN_WAITING) {
                self.outbox.hurry();
            }
        }
        self.report(now, &mut actions);
        Ok(actions)
    }

    /// Removes a queued ticket. A request in flight ends with [`Self::finish`].
    pub fn cancel(&mut self, now: Instant, request: id::Request) -> Vec<Action> {
        let mut actions = Vec::new();
        self.withdraw(request);
        self.settle(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    /// Notes the service that a request has had so far.
    pub fn progress(&mut self, now: Instant, request: id::Request, units: Units) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(flight) = self.flights.get_mut(&request) {
            let more = units - flight.charged;
            flight.charged += more;
            let customer = flight.customer;
            if more > Units(0) {
                self.change(customer, |queue| queue.charge(more));
                // The estimate was too low, so the owner orders customers by wrong virtual times.
                self.outbox.soon();
            }
        }
        self.report(now, &mut actions);
        actions
    }

    /// Ends a request in flight, whatever its outcome, and charges its true cost.
    pub fn finish(&mut self, now: Instant, request: id::Request, units: Units) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(flight) = self.flights.remove(&request) {
            self.change(flight.customer, |queue| {
                queue.in_flight -= 1;
                queue.typical = units;
                queue.charge(units - flight.charged);
                queue.refund(flight.charged - units);
            });
            self.change_slots(flight.endpoint, |slots| slots.finish(flight.alone));
            self.settle(now, &mut actions);
        }
        self.report(now, &mut actions);
        actions
    }

    /// Applies a grant.
    pub fn receive(&mut self, now: Instant, from: id::Node, grant: &Grant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.owner == Some(from) && grant.pool == self.options.pool {
            self.apply(now, grant);
            self.settle(now, &mut actions);
        }
        self.report(now, &mut actions);
        actions
    }

    /// Follows the owner that membership names.
    pub fn owner_changed(&mut self, now: Instant, owner: Option<id::Node>) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.owner != owner {
            self.owner = owner;
            self.term = None;
            self.reopen(now);
        }
        self.settle(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    /// Takes the endpoints of the configuration in force. Endpoints that are gone count as leaving.
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
        self.bind();
        self.settle(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    /// Takes the customers of the configuration in force.
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
                self.change(customer.id, |queue| queue.config = customer.clone());
            }
        }
        self.bind();
        self.settle(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    /// Expires tickets, drops lapsed slots and sends the report that is due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.withdraw(request);
            actions.push(Action::Expire { request });
        }
        self.outbox.forget(now, self.options.lapse);
        self.settle(now, &mut actions);
        self.report(now, &mut actions);
        actions
    }

    /// The earliest time at which [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let report = self.owner.map(|_| self.outbox.due(&self.options, !self.tickets.is_empty()));
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline);
        let lapse = (!self.idle.is_empty()).then_some(self.valid_until);
        let times = [report, deadline, lapse];
        times.into_iter().flatten().min().unwrap_or(Instant::from_micros(u64::MAX))
    }

    /// Queue length and requests in flight of every customer that has any.
    #[must_use]
    pub fn standings(&self) -> Vec<Standing> {
        self.queues
            .iter()
            .filter(|(_, queue)| queue.queued > 0 || queue.in_flight > 0)
            .map(|(customer, queue)| Standing {
                customer: *customer,
                queued: queue.queued,
                in_flight: queue.in_flight,
            })
            .collect()
    }

    /// Requests in flight and idle slots at every endpoint. A drained endpoint has none in flight.
    #[must_use]
    pub fn usage(&self) -> Vec<Usage> {
        self.slots
            .iter()
            .map(|(endpoint, slots)| Usage {
                endpoint: *endpoint,
                in_flight: slots.busy,
                idle: slots.idle(),
            })
            .collect()
    }

    /// Decides which customers need permits: those whose cap is below the slots of the pool.
    fn bind(&mut self) {
        let limits = self.slots.values().map(|slots| slots.config.limit);
        let slots = limits.fold(0, u32::saturating_add);
        let bound = |queue: &Queue| queue.config.max_in_flight < slots;
        let changed = self.queues.iter().filter(|(_, queue)| queue.bound != bound(queue));
        let changed: Vec<_> = changed.map(|(customer, _)| *customer).collect();
        for customer in changed {
            self.change(customer, |queue| queue.bound = !queue.bound);
        }
    }

    fn check(&self, now: Instant, ticket: &Ticket) -> Result<(), Refusal> {
        let request = ticket.request;
        if self.tickets.contains_key(&request) || self.flights.contains_key(&request) {
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

    /// Changes a customer's queue in a way that the owner has to hear of.
    fn change(&mut self, customer: id::Customer, change: impl FnOnce(&mut Queue)) {
        self.reorder(customer, change);
        self.outbox.customer(customer);
    }

    /// Changes a customer's queue and keeps the indexes in step.
    fn reorder(&mut self, customer: id::Customer, change: impl FnOnce(&mut Queue)) {
        let Some(queue) = self.queues.get_mut(&customer) else { return };
        for model in queue.models() {
            let waiting = queue.waiting(model);
            if let Some(ready) = self.ready.get_mut(&model).filter(|_| waiting > 0) {
                let removed = ready.remove(&(queue.turn(), customer));
                debug_assert!(removed, "{customer} waits under an old virtual time");
                *self.waiting.entry(model).or_default() -= waiting;
            }
        }
        change(queue);
        for model in queue.models() {
            let waiting = queue.waiting(model);
            if waiting > 0 {
                self.ready.entry(model).or_default().insert((queue.turn(), customer));
                *self.waiting.entry(model).or_default() += waiting;
            }
        }
        if queue.surplus() > 0 {
            self.surplus.insert(customer);
        } else {
            self.surplus.remove(&customer);
        }
    }

    fn change_slots(&mut self, endpoint: id::Endpoint, change: impl FnOnce(&mut Slots)) {
        let Some(slots) = self.slots.get_mut(&endpoint) else { return };
        change(slots);
        if slots.idle() > 0 {
            self.idle.insert(endpoint);
        } else {
            self.idle.remove(&endpoint);
        }
        self.outbox.endpoint(endpoint);
    }

    fn withdraw(&mut self, request: id::Request) {
        let Some(position) = self.tickets.remove(&request) else { return };
        self.deadlines.remove(&(position.deadline, request));
        self.change(position.customer, |queue| {
            queue.remove(position.model, position.place);
        });
    }

    fn apply(&mut self, now: Instant, grant: &Grant) {
        if self.term.is_some_and(|term| grant.term < term) {
            return;
        }
        if self.term.is_some_and(|term| grant.term > term) {
            self.term = Some(grant.term);
            self.reopen(now);
            return;
        }
        if grant.account != self.account {
            return;
        }
        self.term = Some(grant.term);
        if grant.answers == 0 {
            self.reopen(now);
            return;
        }
        if grant.sequence <= self.heard {
            return;
        }
        self.heard = grant.sequence;
        if let Some(sent) = self.outbox.answer(grant.answers) {
            self.valid_until = self.valid_until.max(sent + self.options.lapse);
        }
        self.reserve = grant.reserve;
        let recalled = self.apply_floors(now, &grant.floors);
        self.apply_clocks(grant.answers, &grant.clocks);
        self.apply_slots(now, grant);
        self.apply_permits(now, &grant.permits);
        if recalled && !self.idle.is_empty() {
            self.outbox.answer_recall();
        }
    }

    /// Returns whether others wait for a model that nobody else waited for before.
    fn apply_floors(&mut self, now: Instant, floors: &[sched::Floor]) -> bool {
        let waited = |floor: &sched::Floor| floor.elsewhere.then_some(floor.model);
        let told = self.floors.values().map(|floor| &floor.told);
        let before: BTreeSet<_> = told.filter_map(waited).collect();
        for floor in self.floors.values_mut() {
            floor.told.elsewhere = false;
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
            let phase = self.rng.random_range(PHASES);
            self.reorder(entry.customer, |queue| queue.told(answers, entry, phase));
        }
    }

    fn apply_slots(&mut self, now: Instant, grant: &Grant) {
        let mut consistent = true;
        for entry in &grant.slots {
            self.slots.entry(entry.endpoint).or_insert_with(|| {
                // The configuration that names the endpoint has not arrived: its slots go back.
                let mut config = pool::Endpoint::new(entry.endpoint, 0, Vec::new());
                config.leaving = true;
                Slots::new(config)
            });
            self.change_slots(entry.endpoint, |slots| consistent &= slots.grant(entry));
        }
        if !consistent {
            self.reopen(now);
        }
    }

    fn apply_permits(&mut self, now: Instant, entries: &[Permitted]) {
        let mut consistent = true;
        for entry in entries {
            let mut recalled = false;
            self.reorder(entry.customer, |queue| {
                consistent &= queue.permits.grant(entry);
                recalled = queue.surplus() > 0;
            });
            if recalled {
                self.outbox.answer_recall();
            }
        }
        if !consistent {
            self.reopen(now);
        }
    }

    /// Opens a new slot account, so that grants under way in the old one are void.
    fn reopen(&mut self, now: Instant) {
        self.account += 1;
        self.heard = 0;
        self.outbox.reopen();
        let lapsed = now >= self.valid_until;
        let endpoints: Vec<_> = self.slots.keys().copied().collect();
        for endpoint in endpoints {
            self.change_slots(endpoint, |slots| slots.reopen(lapsed));
        }
        let customers: Vec<_> = self.queues.keys().copied().collect();
        for customer in customers {
            self.change(customer, |queue| queue.reopen(lapsed));
        }
    }

    /// Dispatches what may run and returns the slots that may not be kept.
    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let silent = self.owner_is_silent(now);
        if now < self.valid_until {
            while let Some(choice) = self.choose(now, silent) {
                actions.push(self.dispatch(choice));
            }
        }
        self.release(now, silent);
        self.release_permits();
        for (model, waiting) in &self.waiting {
            let known = self.announced.get(model).copied().unwrap_or(0);
            if known < (*waiting).min(KNOWN_WAITING) {
                self.outbox.hurry();
            }
        }
    }

    /// Whether the owner leaves reports unanswered. Slots returned to it would be lost until it lapses or is
    /// replaced, so the router reuses what it holds.
    fn owner_is_silent(&self, now: Instant) -> bool {
        let patience = self.options.report_interval * 2;
        self.outbox.unanswered().is_some_and(|since| now - since > patience)
    }

    /// The ticket of the lowest customer that an idle slot may run.
    fn choose(&self, now: Instant, silent: bool) -> Option<Choice> {
        let open = || self.idle.iter().filter_map(|id| self.slots.get(id)).filter(|s| s.open());
        let models: BTreeSet<_> = open().flat_map(|slots| &slots.config.models).collect();
        let mut best: Option<Choice> = None;
        for model in models {
            let candidate = self.first_of(now, *model, silent);
            let key = |choice: &Choice| (choice.turn, choice.customer, choice.place);
            if let Some(found) = candidate
                && best.as_ref().is_none_or(|best| key(&found) < key(best))
            {
                best = Some(found);
            }
        }
        best
    }

    /// The first ticket for `model` that has an idle slot.
    fn first_of(&self, now: Instant, model: id::Model, silent: bool) -> Option<Choice> {
        for (turn, customer) in self.ready.get(&model)? {
            let queue = self.queues.get(customer)?;
            let usable: Vec<_> = self
                .idle
                .iter()
                .filter_map(|id| self.slots.get(id))
                .filter(|slots| slots.open() && slots.config.serves(model))
                .filter(|slots| silent || self.may_reuse(now, slots, queue.clock()))
                .collect();
            if usable.is_empty() {
                return None;
            }
            for (place, ticket) in queue.lane(model) {
                if let Some(endpoint) = pick_endpoint(&usable, ticket) {
                    return Some(Choice { turn: *turn, customer: *customer, place, endpoint });
                }
            }
        }
        None
    }

    /// Whether a slot may serve a customer at `clock`: the owner just granted it, nobody else waits, or the
    /// customer is close to the floor.
    fn may_reuse(&self, now: Instant, slots: &Slots, clock: Virtual) -> bool {
        if slots.fresh > 0 {
            return true;
        }
        // While requests wait here, the owner answers at least this often.
        let most = self.options.report_interval + self.options.answer_delay;
        let floor = self.contested(slots).map(|floor| floor.expected(now, most)).min();
        floor.is_none_or(|floor| clock <= floor.plus(self.options.reuse_slack))
    }

    /// Floors of the models that the endpoint serves and that others wait for.
    fn contested(&self, slots: &Slots) -> impl Iterator<Item = &Floor> {
        let floors = slots.config.models.iter().filter_map(|model| self.floors.get(model));
        floors.filter(|floor| floor.told.elsewhere)
    }

    fn dispatch(&mut self, choice: Choice) -> Action {
        let (_, request) = choice.place;
        let endpoint = choice.endpoint;
        let position = self.tickets.remove(&request);
        debug_assert!(position.is_some(), "{request} dispatched twice");
        debug_assert!(!self.flights.contains_key(&request), "{request} is in flight already");
        let mut charged = Units(0);
        let mut alone = false;
        if let Some(position) = position {
            self.deadlines.remove(&(position.deadline, request));
            let max_request = self.options.max_request;
            self.change(choice.customer, |queue| {
                let Some(ticket) = queue.remove(position.model, position.place) else { return };
                charged = ticket.estimate.min(max_request);
                alone = ticket.alone;
                queue.in_flight += 1;
                queue.charge(charged);
            });
            let fresh = self.slots.get(&endpoint).is_some_and(|slots| slots.fresh > 0);
            if let Some(known) = self.announced.get_mut(&position.model).filter(|_| fresh) {
                *known = known.saturating_sub(1);
            }
        }
        self.change_slots(endpoint, |slots| slots.dispatch(alone));
        let flight = Flight { customer: choice.customer, endpoint, charged, alone };
        self.flights.insert(request, flight);
        Action::Dispatch { request, endpoint }
    }

    /// Returns idle slots that lapsed, are unwanted here, or are needed elsewhere.
    fn release(&mut self, now: Instant, silent: bool) {
        let lapsed = now >= self.valid_until;
        let mut reserve = if silent { u32::MAX } else { self.reserve };
        let idle: Vec<_> = self.idle.iter().copied().collect();
        for endpoint in idle {
            let Some(slots) = self.slots.get(&endpoint) else { continue };
            let contested = !silent && self.contested(slots).next().is_some();
            let keep =
                if lapsed || !slots.open() || contested { 0 } else { slots.idle().min(reserve) };
            reserve -= keep;
            let surplus = slots.idle() - keep;
            if surplus > 0 {
                let unused = slots.fresh > 0;
                self.change_slots(endpoint, |slots| slots.give_back(surplus));
                self.outbox.hurry();
                if unused {
                    // The request that the slot was granted for runs on another one. The slot has waited for the
                    // spacing once already: a second time kept it idle for 8.6 ms.
                    self.outbox.answer_recall();
                }
            }
        }
    }

    /// Returns the permits beyond the shares of scarce caps.
    fn release_permits(&mut self) {
        for customer in std::mem::take(&mut self.surplus) {
            self.change(customer, |queue| queue.permits.give_back(queue.surplus()));
            self.outbox.hurry();
        }
    }

    fn report(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(to) = self.owner else { return };
        if now < self.outbox.due(&self.options, !self.tickets.is_empty()) {
            return;
        }
        let full = self.outbox.answered == 0;
        let sequence = self.outbox.send(now);
        let floor = self.floors.values().map(|floor| floor.told.floor).max().unwrap_or_default();
        let customers: Vec<_> = self.outbox.customers().collect();
        let mut queues = Vec::new();
        for customer in customers {
            let Some(queue) = self.queues.get_mut(&customer) else { continue };
            // An idle customer that is not ahead of the others is raised to the floor anyway.
            let blank = queue.queued == 0
                && (!queue.bound || queue.in_flight == 0)
                && queue.charged == 0
                && queue.clock() <= floor;
            if full && blank {
                continue;
            }
            queue.reported(sequence);
            queues.push(entry(queue, full, &self.slots));
        }
        let slots = self
            .outbox
            .endpoints()
            .filter_map(|endpoint| self.slots.get(&endpoint))
            .filter(|slots| !(full && slots.is_blank()))
            .map(Slots::report)
            .collect();
        self.announced.clone_from(&self.waiting);
        let message = Report {
            pool: self.options.pool,
            account: self.account,
            sequence,
            heard: self.heard,
            full,
            queues,
            slots,
        };
        actions.push(Action::Send { to, message });
    }
}

/// The endpoint for `ticket` among those with idle slots: the first preferred one, else the one with most
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

/// What a report says about a customer. A suspect excludes the endpoints that run another one.
fn entry(
    queue: &Queue,
    full: bool,
    slots: &BTreeMap<id::Endpoint, Slots>,
) -> siskin_wire::sched::Queue {
    let suspected = |alone: bool| {
        let busy = slots.values().filter(move |slots| alone && slots.suspects > 0);
        busy.map(|slots| slots.config.id)
    };
    let mut lines = Vec::new();
    for model in queue.models() {
        let waiting = queue.demand(model);
        if let Some((_, next)) = queue.lane(model).next().filter(|_| waiting > 0) {
            lines.push(Line {
                model,
                waiting,
                estimate: next.estimate,
                prefer: next.prefer.first().copied(),
                exclude: next.exclude.iter().copied().chain(suspected(next.alone)).collect(),
            });
        }
    }
    siskin_wire::sched::Queue {
        customer: queue.config.id,
        charged: queue.charged,
        clock: queue.remembered().filter(|_| full),
        permits: queue.bound.then(|| queue.permits.report(queue.in_flight)),
        lines,
    }
}
