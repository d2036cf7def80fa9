//! The scheduler of one pool at this router, and the pool's owner while this router has the role.
//!
//! Both state machines stand behind one lock. Messages between them on the same router are handed over directly;
//! messages to other routers are sent after the lock is released.

use {
    crate::{orders::Orders, shared::Shared, suspect::Suspects},
    indexmap::IndexMap,
    siskin_config::document::{self, Unit},
    siskin_outcome::{
        outcome::Reason,
        retry::{self, Budget},
    },
    siskin_sched::{
        owner::{self, Owner},
        pool::{self, Load, Measure},
        refusal::Refusal,
        router::{self, Counts, Occupancy, Scheduler},
        ticket::Ticket,
    },
    siskin_types::{
        cost::Units,
        id::{Endpoint, Node, Pool as Id, Request},
        time::Instant,
    },
    siskin_wire::{Message, sched},
    std::{
        collections::VecDeque,
        fmt,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        sync::{Notify, oneshot},
        time,
    },
};

/// The scheduler's answer to a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// Run it at this endpoint.
    Endpoint(Endpoint),
    /// Its deadline passed in the queue.
    Expired,
}

/// One pool at this router.
pub struct Pool {
    id: Id,
    name: String,
    options: pool::Options,
    budget: Mutex<Budget>,
    suspects: Arc<Suspects>,
    orders: Orders,
    state: Mutex<State>,
    wake: Notify,
}

struct State {
    scheduler: Scheduler,
    owner: Option<Owner>,
    waiting: IndexMap<Request, oneshot::Sender<Assignment>>,
    /// Endpoints as the scheduler knows them.
    endpoints: Vec<pool::Endpoint>,
    /// Endpoints as the owner knows them.
    granted: Vec<pool::Endpoint>,
    customers: Vec<pool::Customer>,
    visible: Vec<Node>,
    known: usize,
}

/// Messages for other routers.
type Outgoing = Vec<(Node, Message)>;

impl Pool {
    /// Makes a pool as the configuration has it.
    pub(crate) fn new(
        name: &str,
        config: &document::Pool,
        node: Node,
        incarnation: u64,
        fleet: &document::Fleet,
    ) -> Self {
        let retries =
            retry::Options { percent: fleet.retry_budget_percent, ..retry::Options::default() };
        let options = pool::Options {
            measure: measure(config.unit),
            max_request: config.max_request,
            reuse_slack: config.reuse_slack,
            max_catch_up: config.catch_up(),
            seed: incarnation ^ u64::from(config.id.0),
            ..pool::Options::new(config.id, node, incarnation)
        };
        let state = State {
            scheduler: Scheduler::new(options.clone()),
            owner: None,
            waiting: IndexMap::new(),
            endpoints: Vec::new(),
            granted: Vec::new(),
            customers: Vec::new(),
            visible: Vec::new(),
            known: 0,
        };
        Self {
            id: config.id,
            name: name.to_owned(),
            options,
            budget: Mutex::new(Budget::new(retries)),
            suspects: Arc::new(Suspects::new(config.id, node, fleet.poison_expiry())),
            orders: Orders::new(config.id, node, incarnation, fleet.load_spacing()),
            state: Mutex::new(state),
            wake: Notify::new(),
        }
    }

    /// Whether the configuration still describes this pool. Otherwise the pool is made anew.
    pub(crate) fn matches(&self, name: &str, config: &document::Pool) -> bool {
        let measure = measure(config.unit);
        self.name == name
            && self.options.measure == measure
            && self.options.max_request == config.max_request
            && self.options.reuse_slack == config.reuse_slack
            && self.options.max_catch_up == config.catch_up()
    }

    /// Applies settings of the fleet that may change while the pool stays.
    pub(crate) fn set_limits(&self, fleet: &document::Fleet) {
        self.budget().set_percent(fleet.retry_budget_percent);
        self.suspects.set_suspicion_ttl(fleet.poison_expiry());
        self.orders.set_load_spacing(fleet.load_spacing());
    }

    /// The pool's number.
    #[must_use]
    pub const fn id(&self) -> Id {
        self.id
    }

    /// The pool's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Largest charge for one request.
    #[must_use]
    pub const fn max_request(&self) -> Units {
        self.options.max_request
    }

    /// The budget for retries in this pool. Its lock is held for one call only.
    pub(crate) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests suspected of crashing this pool's endpoints.
    pub(crate) fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Orders to this pool's engines.
    pub(crate) const fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Queues a request. The receiver gets its assignment.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not queued.
    pub(crate) fn submit(
        &self,
        shared: &Shared,
        now: Instant,
        ticket: Ticket,
    ) -> Result<oneshot::Receiver<Assignment>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let request = ticket.request;
        let mut state = self.lock();
        let actions = state.scheduler.submit(now, ticket)?;
        state.waiting.insert(request, sender);
        let outgoing = state.apply(now, self.options.node, actions, Vec::new());
        self.after(shared, state, outgoing);
        Ok(receiver)
    }

    /// Withdraws a request from its queue. If a slot was assigned a moment ago and nobody has taken notice, the slot
    /// is given back.
    pub(crate) fn cancel(&self, shared: &Shared, now: Instant, request: Request) {
        self.change(shared, now, |state| {
            state.waiting.swap_remove(&request);
            let mut actions = state.scheduler.cancel(now, request);
            actions.extend(state.scheduler.finish(now, request, Units(0)));
            actions
        });
    }

    /// Notes the service of a running request.
    pub(crate) fn progress(&self, shared: &Shared, now: Instant, request: Request, used: Units) {
        self.change(shared, now, |state| state.scheduler.progress(now, request, used));
    }

    /// Ends a request and frees its slot.
    pub(crate) fn finish(&self, shared: &Shared, now: Instant, request: Request, used: Units) {
        shared.metrics.service.with_label_values(&[&self.name]).inc_by(used.0);
        self.change(shared, now, |state| state.scheduler.finish(now, request, used));
    }

    /// Takes a grant of the owner.
    pub(crate) fn granted(&self, shared: &Shared, now: Instant, from: Node, grant: &sched::Grant) {
        self.change(shared, now, |state| state.scheduler.receive(now, from, grant));
    }

    /// Takes a report, if this router owns the pool.
    pub(crate) fn reported(
        &self,
        shared: &Shared,
        now: Instant,
        from: Node,
        report: &sched::Report,
    ) {
        self.change_owner(shared, now, |owner| owner.receive(now, from, report));
    }

    /// Takes an endpoint's load, if this router owns the pool.
    pub(crate) fn load(&self, shared: &Shared, now: Instant, endpoint: Endpoint, load: Load) {
        self.change_owner(shared, now, |owner| owner.load(now, endpoint, load));
    }

    /// Takes the members that this router sees, and the owner among them.
    pub(crate) fn members(
        &self,
        shared: &Shared,
        now: Instant,
        owner: Node,
        visible: &[Node],
        known: usize,
    ) {
        self.suspects.members(shared, now, owner, visible);
        let mut state = self.lock();
        state.visible = visible.to_vec();
        state.known = known;
        if owner != self.options.node {
            state.owner = None;
        } else if state.owner.is_none() {
            log::info!(pool = self.name; "this router becomes the owner of the pool");
            let options = pool::Options { start: now.as_micros(), ..self.options.clone() };
            let mut owner = Owner::new(options);
            // A new owner sends nothing before it has heard from the routers.
            owner.endpoints(now, &state.granted);
            owner.customers(now, &state.customers);
            state.owner = Some(owner);
        }
        let replies = state.owner.as_mut().map(|owner| owner.members(now, visible, known));
        let actions = state.scheduler.owner_changed(now, Some(owner));
        let outgoing = state.apply(now, self.options.node, actions, replies.unwrap_or_default());
        self.after(shared, state, outgoing);
    }

    /// Takes endpoints and customers of a new configuration, or a change of their health.
    pub(crate) fn configure(
        &self,
        shared: &Shared,
        now: Instant,
        endpoints: Vec<pool::Endpoint>,
        granted: Vec<pool::Endpoint>,
        customers: Option<Vec<pool::Customer>>,
    ) {
        let mut state = self.lock();
        let mut actions = Vec::new();
        let mut replies = Vec::new();
        if let Some(customers) = customers {
            actions.extend(state.scheduler.customers(now, &customers));
            if let Some(owner) = &mut state.owner {
                replies.extend(owner.customers(now, &customers));
            }
            state.customers = customers;
        }
        if endpoints != state.endpoints {
            actions.extend(state.scheduler.endpoints(now, &endpoints));
            state.endpoints = endpoints;
        }
        if granted != state.granted {
            if let Some(owner) = &mut state.owner {
                replies.extend(owner.endpoints(now, &granted));
            }
            state.granted = granted;
        }
        let outgoing = state.apply(now, self.options.node, actions, replies);
        self.after(shared, state, outgoing);
    }

    /// Whether this router owns the pool.
    #[must_use]
    pub fn owned(&self) -> bool {
        self.lock().owner.is_some()
    }

    /// Requests waiting and in flight, by customer.
    #[must_use]
    pub fn customer_counts(&self) -> Vec<Counts> {
        self.lock().scheduler.customer_counts()
    }

    /// Slots of this router, by endpoint.
    #[must_use]
    pub fn occupancy(&self) -> Vec<Occupancy> {
        self.lock().scheduler.occupancy()
    }

    /// Serves the timers of the pool until the router stops.
    pub(crate) async fn run(self: Arc<Self>, shared: Arc<Shared>) {
        loop {
            let next = self.next_tick();
            let woken = self.wake.notified();
            tokio::select! {
                () = time::sleep_until(shared.clock.deadline(next)) => {}
                () = woken => continue,
            }
            let now = shared.clock.now();
            let mut state = self.lock();
            let actions = state.scheduler.tick(now);
            let replies = state.owner.as_mut().map(|owner| owner.tick(now)).unwrap_or_default();
            let outgoing = state.apply(now, self.options.node, actions, replies);
            drop(state);
            shared.send_all(outgoing);
        }
    }

    fn next_tick(&self) -> Instant {
        let state = self.lock();
        let scheduler = state.scheduler.next_tick();
        state.owner.as_ref().map_or(scheduler, |owner| owner.next_tick().min(scheduler))
    }

    fn change(
        &self,
        shared: &Shared,
        now: Instant,
        event: impl FnOnce(&mut State) -> Vec<router::Action>,
    ) {
        let mut state = self.lock();
        let actions = event(&mut state);
        let outgoing = state.apply(now, self.options.node, actions, Vec::new());
        self.after(shared, state, outgoing);
    }

    fn change_owner(
        &self,
        shared: &Shared,
        now: Instant,
        event: impl FnOnce(&mut Owner) -> Vec<owner::Action>,
    ) {
        let mut state = self.lock();
        let replies = state.owner.as_mut().map(event).unwrap_or_default();
        let outgoing = state.apply(now, self.options.node, Vec::new(), replies);
        self.after(shared, state, outgoing);
    }

    fn after(&self, shared: &Shared, state: MutexGuard<'_, State>, outgoing: Outgoing) {
        drop(state);
        self.wake.notify_one();
        shared.send_all(outgoing);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Carries out actions; messages between the two state machines of this router are delivered here.
    fn apply(
        &mut self,
        now: Instant,
        node: Node,
        actions: Vec<router::Action>,
        replies: Vec<owner::Action>,
    ) -> Outgoing {
        let mut outgoing = Vec::new();
        let mut actions = VecDeque::from(actions);
        let mut replies = VecDeque::from(replies);
        loop {
            if let Some(action) = actions.pop_front() {
                match action {
                    router::Action::Dispatch { request, endpoint } => {
                        self.assign(request, Assignment::Endpoint(endpoint));
                    }
                    router::Action::Expire { request } => self.assign(request, Assignment::Expired),
                    router::Action::Send { to, message } if to == node => {
                        if let Some(owner) = &mut self.owner {
                            replies.extend(owner.receive(now, node, &message));
                        }
                    }
                    router::Action::Send { to, message } => {
                        outgoing.push((to, Message::Report(message)));
                    }
                }
            } else if let Some(owner::Action::Send { to, message }) = replies.pop_front() {
                if to == node {
                    actions.extend(self.scheduler.receive(now, node, &message));
                } else {
                    outgoing.push((to, Message::Grant(message)));
                }
            } else {
                return outgoing;
            }
        }
    }

    fn assign(&mut self, request: Request, assignment: Assignment) {
        if let Some(waiting) = self.waiting.swap_remove(&request) {
            // An exchange that has ended withdraws its request itself.
            let _ = waiting.send(assignment);
        }
    }
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("id", &self.id)
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

const fn measure(unit: Unit) -> Measure {
    match unit {
        Unit::Tokens => Measure::Tokens,
        Unit::Milliseconds => Measure::Milliseconds,
    }
}

/// What the caller is told when the scheduler refuses its request.
#[must_use]
pub const fn reason(refusal: &Refusal) -> Reason {
    match refusal {
        Refusal::QueueFull { .. } | Refusal::Duplicate { .. } => Reason::QueueFull,
        Refusal::InFlightCap { .. } => Reason::InFlightCap,
        Refusal::RateLimited { .. } => Reason::RateLimit,
        Refusal::UnknownCustomer { .. } | Refusal::NoEndpoint { .. } => Reason::NoEndpoint,
        Refusal::DeadlinePassed { .. } => Reason::QueueDeadline,
    }
}
