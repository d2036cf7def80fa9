//! Discrete-event simulation of a fleet: routers, pool owners, endpoints and a network that may lose, duplicate and
//! reorder messages.

// Tests and the control traffic example use different parts; statistics need floating point.
#![allow(
    dead_code,
    unreachable_pub,
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]

use {
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_sched::{
        baseline::{Baseline, Dispatch},
        owner::{self, Owner},
        pool, router,
        router::Scheduler,
        ticket::Ticket,
    },
    siskin_types::{
        cost::{Units, Weight},
        id,
        time::Instant,
    },
    siskin_wire::sched::{Grant, Report},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Default model of sources.
const MODEL: u32 = 1;
pub const SECOND: u64 = 1_000_000;
const SAMPLE_INTERVAL: u64 = 20_000;
/// Largest number of customers that are compared pairwise.
const MAX_COMPARED: usize = 40;
/// Default number of seeds, for fast and for slow tests.
pub const CI_SEEDS: u64 = 8;
pub const CI_SEEDS_SLOW: u64 = 2;
const LOAD_INTERVAL: u64 = 500_000;
/// Bytes of IP, UDP and frame headers per message.
const HEADER_BYTES: usize = 60;

#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// One-way delay and the largest random addition to it, in microseconds.
    pub delay: u64,
    pub jitter: u64,
    pub loss: f64,
    pub duplication: f64,
}

impl Default for Net {
    fn default() -> Self {
        Self { delay: 500, jitter: 0, loss: 0.0, duplication: 0.0 }
    }
}

/// A source of requests.
#[derive(Clone, Debug)]
pub struct Source {
    pub customer: u32,
    pub router: usize,
    pub model: u32,
    pub arrivals: Arrivals,
    pub cost: (u64, u64),
    /// Estimate as a multiple of the cost.
    pub estimate_factor: f64,
    /// Start and end of the arrivals.
    pub from: u64,
    pub until: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// Keeps this many requests waiting.
    Backlog(u32),
    /// Requests per second, as a Poisson process.
    Rate(f64),
}

impl Source {
    pub fn new(customer: u32, router: usize, arrivals: Arrivals) -> Self {
        Self {
            customer,
            router,
            model: MODEL,
            arrivals,
            cost: (100, 900),
            estimate_factor: 1.0,
            from: 0,
            until: u64::MAX,
        }
    }
}

/// Configuration of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    pub endpoints: Vec<u32>,
    /// Models of each endpoint.
    pub models: Vec<Vec<u32>>,
    pub weights: Vec<u32>,
    /// Caps on requests in flight of the first customers.
    pub caps: Vec<u32>,
    pub sources: Vec<Source>,
    pub net: Net,
    /// Largest deviation of a node's clock rate, in millionths.
    pub drift: i64,
    pub seed: u64,
    pub deadline: u64,
    /// Time that a slot takes to serve one unit.
    pub micros_per_unit: u64,
    /// Options of the pool.
    pub options: pool::Options,
}

impl Setup {
    pub fn new(routers: usize, endpoints: &[u32], customers: usize) -> Self {
        let mut options = pool::Options::new(id::Pool(1), node_id(0), 0);
        options.max_request = Units(2_000);
        options.max_catch_up = Units(20_000);
        Self {
            micros_per_unit: 1_000,
            options,
            routers,
            endpoints: endpoints.to_vec(),
            models: vec![vec![MODEL]; endpoints.len()],
            weights: vec![1; customers],
            caps: Vec::new(),
            sources: Vec::new(),
            net: Net::default(),
            drift: 0,
            seed: 1,
            deadline: 3_600 * SECOND,
        }
    }

    pub fn options(&self, node: usize, incarnation: u64) -> pool::Options {
        pool::Options { node: node_id(node), incarnation, ..self.options.clone() }
    }

    pub fn pool_endpoints(&self) -> Vec<pool::Endpoint> {
        let endpoint = |(index, limit): (u32, &u32)| {
            let models = self.models[index as usize].iter().copied().map(id::Model).collect();
            pool::Endpoint::new(id::Endpoint(index), *limit, models)
        };
        (0..).zip(&self.endpoints).map(endpoint).collect()
    }

    fn customers(&self) -> Vec<pool::Customer> {
        let customer = |(index, weight): (u32, &u32)| pool::Customer {
            weight: Weight::new(*weight).unwrap(),
            max_queued: 100_000,
            max_in_flight: self.caps.get(index as usize).copied().unwrap_or(u32::MAX),
            ..pool::Customer::new(id::Customer(index))
        };
        (0..).zip(&self.weights).map(customer).collect()
    }
}

/// The seeds to run: `SISKIN_SEED`, or the numbers up to `SISKIN_SEEDS` or `default`.
pub fn seeds(default: u64) -> Vec<u64> {
    seeds_with(default, &[])
}

/// The seeds to run: `SISKIN_SEED`, or the numbers up to `SISKIN_SEEDS` or `default`, and those of `more`.
pub fn seeds_with(default: u64, more: &[u64]) -> Vec<u64> {
    let from_env =
        |name| std::env::var(name).ok().map(|text| text.parse().expect("a seed is a number"));
    if let Some(seed) = from_env("SISKIN_SEED") {
        return vec![seed];
    }
    let most = from_env("SISKIN_SEEDS").unwrap_or(default);
    (1..=most).chain(more.iter().copied().filter(|seed| *seed > most)).collect()
}

pub fn node_id(node: usize) -> id::Node {
    id::Node(u32::try_from(node).unwrap())
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Finish { node: usize, incarnation: u64, request: id::Request },
    Tick { node: usize },
    Report { from: usize, to: usize, message: Report },
    Grant { from: usize, to: usize, message: Grant },
    Load,
    Sample,
}

#[derive(Debug)]
struct RouterProcess {
    scheduler: Scheduler,
    owner: Option<Owner>,
    alive: bool,
    /// Side of the partition; nodes on different sides cannot reach each other.
    side: u8,
    incarnation: u64,
    /// Clock rate in millionths of real time, and clock reading in microseconds at time zero.
    clock_rate: u64,
    clock_offset: u64,
    /// Simulation time of the next tick.
    next_tick: u64,
}

impl RouterProcess {
    fn clock(&self, now: u64) -> Instant {
        Instant::from_micros(self.clock_offset + now * self.clock_rate / 1_000_000)
    }

    /// First simulation time at which the clock reads at least `at`.
    fn time_of(&self, at: Instant) -> u64 {
        let micros = at.as_micros().saturating_sub(self.clock_offset);
        if micros > u64::MAX / 2_000_000 {
            u64::MAX
        } else {
            (micros * 1_000_000).div_ceil(self.clock_rate)
        }
    }
}

#[derive(Debug)]
struct RequestState {
    source: usize,
    customer: u32,
    cost: u64,
    estimate: u64,
    submitted: u64,
    /// Start time, endpoint and router of a request in flight.
    started: Option<(u64, u32, usize)>,
}

#[derive(Debug, Default)]
struct EndpointState {
    limit: u32,
    running: u32,
    leaving: Option<u64>,
    idle_since: VecDeque<u64>,
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    pub completed: u64,
    pub expired: u64,
    pub refused: u64,
    /// Largest number of requests in flight above an endpoint's limit.
    pub excess: u32,
    /// Largest number of a customer's requests in flight above its cap.
    pub cap_excess: u32,
    /// Longest time in microseconds that a slot was idle while requests of uncapped customers waited.
    pub longest_idle: u64,
    /// Largest change of the difference in weighted service between two customers while both stayed backlogged.
    pub gap: f64,
    /// Slot time in use and available, in microseconds.
    pub busy: u64,
    pub capacity: u64,
    /// Longest time from an endpoint's start of leaving to a dispatch there.
    pub dispatch_after_leaving: u64,
    pub served: Vec<f64>,
    /// Longest time in the queue, by customer.
    pub longest_wait: Vec<u64>,
    /// Requests started by each router.
    pub started: Vec<u64>,
    /// Messages and bytes sent and received by each router.
    pub messages: Vec<u64>,
    pub bytes: Vec<u64>,
}

impl Measurements {
    pub fn utilisation(&self) -> f64 {
        self.busy as f64 / self.capacity as f64
    }
}

/// Lowest and highest service difference of each pair of customers while both are backlogged.
#[derive(Debug, Default)]
struct PairwiseGaps {
    ranges: HashMap<(usize, usize), (f64, f64)>,
    /// Customers whose queue has been empty since the last sample.
    interrupted: BTreeSet<usize>,
}

#[derive(Debug)]
pub struct Fleet {
    pub setup: Setup,
    pub now: u64,
    pub measurements: Measurements,
    /// Start of the measurement; earlier service is ignored.
    pub measure_from: u64,
    rng: SmallRng,
    sources: Vec<SmallRng>,
    events: BTreeMap<(u64, u64), Event>,
    next_number: u64,
    routers: Vec<RouterProcess>,
    baseline: Option<Baseline>,
    requests: HashMap<id::Request, RequestState>,
    endpoints: Vec<EndpointState>,
    waiting: Vec<u32>,
    /// Requests waiting by source.
    queued: Vec<u32>,
    /// For each router and model, the times since which at least 1, 2, 3 and so on requests have waited.
    waiting_since: BTreeMap<(usize, u32), VecDeque<u64>>,
    served: Vec<f64>,
    /// Requests in flight by customer.
    running: Vec<u32>,
    pairs: PairwiseGaps,
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        Self::build(setup, None)
    }

    /// A fleet scheduled by the global queue.
    pub fn global(setup: Setup) -> Self {
        let options = setup.options(0, 1);
        let baseline = Baseline::global(options, &setup.pool_endpoints(), &setup.customers());
        Self::build(setup, Some(baseline))
    }

    /// A fleet whose routers schedule independently, with a part of the slots each.
    pub fn split(setup: Setup) -> Self {
        let options = setup.options(0, 1);
        let nodes: Vec<_> = (0..setup.routers).map(node_id).collect();
        let baseline =
            Baseline::split(&options, &nodes, &setup.pool_endpoints(), &setup.customers());
        Self::build(setup, Some(baseline))
    }

    fn build(setup: Setup, baseline: Option<Baseline>) -> Self {
        let seeded = |stream: u64| SmallRng::seed_from_u64(setup.seed * 1_000_003 + stream);
        let endpoint = |limit: &u32| EndpointState {
            limit: *limit,
            idle_since: (0..*limit).map(|_| 0).collect(),
            ..EndpointState::default()
        };
        let mut fleet = Self {
            now: 0,
            measurements: Measurements {
                messages: vec![0; setup.routers],
                bytes: vec![0; setup.routers],
                started: vec![0; setup.routers],
                longest_wait: vec![0; setup.weights.len()],
                ..Measurements::default()
            },
            measure_from: 0,
            rng: seeded(0),
            sources: (1..).zip(&setup.sources).map(|(stream, _)| seeded(stream)).collect(),
            events: BTreeMap::new(),
            next_number: 0,
            routers: Vec::new(),
            baseline,
            requests: HashMap::new(),
            endpoints: setup.endpoints.iter().map(endpoint).collect(),
            waiting: vec![0; setup.weights.len()],
            queued: vec![0; setup.sources.len()],
            waiting_since: BTreeMap::new(),
            served: vec![0.0; setup.weights.len()],
            running: vec![0; setup.weights.len()],
            pairs: PairwiseGaps::default(),
            setup,
        };
        for node in 0..fleet.setup.routers {
            let router = fleet.new_router(node, 1_000 + node as u64);
            fleet.routers.push(router);
        }
        if fleet.baseline.is_none() {
            fleet.update_membership();
            fleet.schedule(0, Event::Load);
        }
        fleet.schedule(0, Event::Sample);
        for source in 0..fleet.setup.sources.len() {
            let from = fleet.setup.sources[source].from;
            fleet.schedule(from, Event::Arrive(source));
        }
        fleet
    }

    fn new_router(&mut self, node: usize, incarnation: u64) -> RouterProcess {
        let drift = self.setup.drift;
        let rate = 1_000_000 + if drift > 0 { self.rng.random_range(-drift..=drift) } else { 0 };
        let offset = self.rng.random_range(1..SECOND);
        let mut scheduler = Scheduler::new(self.setup.options(node, incarnation));
        let now = Instant::from_micros(offset + self.now);
        scheduler.endpoints(now, &self.setup.pool_endpoints());
        scheduler.customers(now, &self.setup.customers());
        RouterProcess {
            scheduler,
            owner: None,
            alive: true,
            side: 0,
            incarnation,
            clock_rate: u64::try_from(rate).unwrap(),
            clock_offset: offset,
            next_tick: u64::MAX,
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_number += 1;
        self.events.insert((self.now.saturating_add(delay), self.next_number), event);
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(source) => self.handle_arrival(source),
            Event::Finish { node, incarnation, request } => self.finish(node, incarnation, request),
            Event::Tick { node } => {
                if self.routers[node].alive && self.routers[node].next_tick == self.now {
                    self.routers[node].next_tick = u64::MAX;
                    self.call_scheduler(node, Scheduler::tick);
                    self.call_owner(node, Owner::tick);
                }
            }
            Event::Report { from, to, message } => {
                self.count_message(to, message.encoded_len());
                self.call_owner(to, |owner, now| owner.receive(now, node_id(from), &message));
            }
            Event::Grant { from, to, message } => {
                self.count_message(to, message.encoded_len());
                self.call_scheduler(to, |scheduler, now| {
                    scheduler.receive(now, node_id(from), &message)
                });
            }
            Event::Load => self.report_load(),
            Event::Sample => self.take_sample(),
        }
    }

    fn count_message(&mut self, node: usize, length: usize) {
        if self.now >= self.measure_from {
            self.measurements.messages[node] += 1;
            self.measurements.bytes[node] += (length + HEADER_BYTES) as u64;
        }
    }

    /// Calls a router's scheduler and executes the returned actions.
    fn call_scheduler(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Scheduler, Instant) -> Vec<router::Action>,
    ) {
        if !self.routers[node].alive || self.baseline.is_some() {
            return;
        }
        let now = self.routers[node].clock(self.now);
        for action in call(&mut self.routers[node].scheduler, now) {
            match action {
                router::Action::Dispatch { request, endpoint } => {
                    self.start_request(node, request, endpoint);
                }
                router::Action::Expire { request } => {
                    let request_state =
                        self.requests.remove(&request).expect("expired request is known");
                    assert!(request_state.started.is_none(), "{request} expired in flight");
                    self.measurements.expired += 1;
                    self.stop_waiting(request_state.source);
                }
                router::Action::Send { to, message } => {
                    let to = to.0 as usize;
                    self.count_message(node, message.encoded_len());
                    self.send_message(node, to, || Event::Report {
                        from: node,
                        to,
                        message: message.clone(),
                    });
                }
            }
        }
        self.schedule_tick(node);
    }

    /// Calls the owner at a node, if the node is the owner, and executes the returned actions.
    fn call_owner(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Owner, Instant) -> Vec<owner::Action>,
    ) {
        if !self.routers[node].alive {
            return;
        }
        let now = self.routers[node].clock(self.now);
        let Some(owner) = &mut self.routers[node].owner else { return };
        for owner::Action::Send { to, message } in call(owner, now) {
            let to = to.0 as usize;
            self.count_message(node, message.encoded_len());
            self.send_message(node, to, || Event::Grant {
                from: node,
                to,
                message: message.clone(),
            });
        }
        self.schedule_tick(node);
    }

    fn schedule_tick(&mut self, node: usize) {
        let router = &mut self.routers[node];
        let owner = router.owner.as_ref().map(Owner::next_tick);
        let next = owner.into_iter().chain([router.scheduler.next_tick()]).min().unwrap();
        let at = router.time_of(next).max(self.now + 1);
        if at < router.next_tick {
            router.next_tick = at;
            self.schedule(at - self.now, Event::Tick { node });
        }
    }

    fn send_message(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        if self.routers[from].side != self.routers[to].side {
            return;
        }
        let net = self.setup.net;
        let copies = 1 + usize::from(from != to && self.rng.random_bool(net.duplication));
        for _ in 0..copies {
            if from == to {
                self.schedule(1, event());
            } else if !self.rng.random_bool(net.loss) {
                let jitter = self.rng.random_range(0..=net.jitter);
                self.schedule(net.delay + jitter, event());
            }
        }
    }

    /// Updates the members that each node sees: the live nodes on its side of a partition, of which the first owns
    /// the pool.
    pub fn update_membership(&mut self) {
        let known = self.routers.len();
        for node in 0..known {
            let side = self.routers[node].side;
            let seen = |router: &&RouterProcess| router.alive && router.side == side;
            let visible: Vec<_> =
                (0..known).filter(|index| seen(&&self.routers[*index])).map(node_id).collect();
            let Some(owner) = visible.first().copied() else { continue };
            if owner != node_id(node) {
                self.routers[node].owner = None;
            } else if self.routers[node].alive && self.routers[node].owner.is_none() {
                let mut options = self.setup.options(node, self.routers[node].incarnation);
                options.start = self.routers[node].clock(self.now).as_micros();
                self.routers[node].owner = Some(Owner::new(options));
                let (endpoints, customers) = (self.setup.pool_endpoints(), self.setup.customers());
                self.call_owner(node, |owner, now| owner.members(now, &visible, known));
                self.call_owner(node, |owner, now| owner.endpoints(now, &endpoints));
                self.call_owner(node, |owner, now| owner.customers(now, &customers));
            }
            self.call_owner(node, |owner, now| owner.members(now, &visible, known));
            self.call_scheduler(node, |scheduler, now| scheduler.owner_changed(now, Some(owner)));
        }
    }

    /// Assigns nodes to sides that cannot reach each other.
    pub fn partition(&mut self, side: impl Fn(usize) -> u8) {
        for node in 0..self.routers.len() {
            self.routers[node].side = side(node);
        }
    }

    /// Kills a router process; its requests end with it.
    pub fn kill(&mut self, node: usize) {
        self.routers[node].alive = false;
        self.routers[node].owner = None;
        let mut lost: Vec<_> =
            self.requests.keys().filter(|r| r.node == node_id(node)).copied().collect();
        lost.sort_unstable();
        for request in lost {
            let request_state = self.requests.remove(&request).unwrap();
            match request_state.started {
                Some((started, endpoint, _)) => self.free_slot(&request_state, started, endpoint),
                None => self.stop_waiting(request_state.source),
            }
        }
    }

    /// Kills a router process and starts a new one without its state.
    pub fn restart(&mut self, node: usize) {
        self.kill(node);
        let incarnation = self.routers[node].incarnation + 1_000_000;
        self.routers[node] = self.new_router(node, incarnation);
        for source in 0..self.setup.sources.len() {
            let Source { router, arrivals, .. } = self.setup.sources[source];
            if router == node && matches!(arrivals, Arrivals::Backlog(_)) {
                self.schedule(0, Event::Arrive(source));
            }
        }
    }

    /// Marks an endpoint as leaving. Only its load report announces this.
    pub fn start_leaving(&mut self, endpoint: usize) {
        self.endpoints[endpoint].leaving = Some(self.now);
        self.report_load();
    }

    fn report_load(&mut self) {
        for endpoint in 0..self.endpoints.len() {
            let state = &self.endpoints[endpoint];
            let load = pool::Load { running: state.running, leaving: state.leaving.is_some() };
            let endpoint = id::Endpoint(u32::try_from(endpoint).unwrap());
            for node in 0..self.routers.len() {
                self.call_owner(node, |owner, now| owner.load(now, endpoint, load));
            }
        }
        self.schedule(LOAD_INTERVAL, Event::Load);
    }

    fn handle_arrival(&mut self, index: usize) {
        let source = self.setup.sources[index].clone();
        if self.now >= source.until {
            return;
        }
        match source.arrivals {
            Arrivals::Rate(rate) => {
                self.submit(index);
                let random: f64 = self.sources[index].random_range(1e-9..1.0);
                self.schedule((-random.ln() / rate * SECOND as f64) as u64, Event::Arrive(index));
            }
            Arrivals::Backlog(count) => {
                for _ in self.queued[index]..count {
                    self.submit(index);
                }
            }
        }
    }

    pub fn submit(&mut self, index: usize) {
        let source = self.setup.sources[index].clone();
        let node = source.router;
        if !self.routers[node].alive {
            return;
        }
        self.next_number += 1;
        let incarnation = self.routers[node].incarnation;
        let request = id::Request { node: node_id(node), incarnation, sequence: self.next_number };
        let cost = self.sources[index].random_range(source.cost.0..=source.cost.1);
        let estimate = Units(((cost as f64 * source.estimate_factor) as u64).max(1));
        let now = self.routers[node].clock(self.now);
        let deadline = now + Duration::from_micros(self.setup.deadline);
        let customer = id::Customer(source.customer);
        let ticket = Ticket::new(request, customer, id::Model(source.model), estimate, deadline);
        self.requests.insert(
            request,
            RequestState {
                source: index,
                customer: source.customer,
                cost,
                estimate: estimate.0,
                submitted: self.now,
                started: None,
            },
        );
        self.waiting[source.customer as usize] += 1;
        self.queued[index] += 1;
        if !self.has_cap(source.customer) {
            self.waiting_since.entry((node, source.model)).or_default().push_back(self.now);
        }
        if let Some(baseline) = &mut self.baseline {
            for Dispatch { request, endpoint } in baseline.submit(now, node_id(node), ticket) {
                self.start_request(request.node.0 as usize, request, endpoint);
            }
            return;
        }
        let mut refused = false;
        self.call_scheduler(node, |scheduler, now| {
            scheduler.submit(now, ticket).unwrap_or_else(|_| {
                refused = true;
                Vec::new()
            })
        });
        if refused {
            self.measurements.refused += 1;
            self.requests.remove(&request);
            self.stop_waiting(index);
        }
    }

    /// Whether a customer has a cap, so that its requests may wait while slots are idle.
    fn has_cap(&self, customer: u32) -> bool {
        self.setup.caps.get(customer as usize).is_some_and(|cap| *cap < u32::MAX)
    }

    fn stop_waiting(&mut self, source: usize) {
        self.record_idle();
        let Source { router, model, customer, .. } = self.setup.sources[source];
        if !self.has_cap(customer) {
            self.waiting_since.entry((router, model)).or_default().pop_front();
        }
        let customer = customer as usize;
        self.queued[source] -= 1;
        self.waiting[customer] -= 1;
        if self.waiting[customer] == 0 {
            self.pairs.interrupted.insert(customer);
        }
    }

    /// Records how long a slot has been idle while requests waited. Slots of an endpoint are interchangeable, and so
    /// are the requests of a router: if a later one overtakes by virtual time, the slot does not count as idle.
    fn record_idle(&mut self) {
        for (state, models) in self.endpoints.iter().zip(&self.setup.models) {
            let Some(idle) = state.idle_since.front().filter(|_| state.leaving.is_none()) else {
                continue;
            };
            let served = self.waiting_since.iter().filter(|((_, model), _)| models.contains(model));
            if let Some(since) = served.filter_map(|(_, since)| since.front()).min() {
                let begin = *since.max(idle).max(&self.measure_from);
                self.measurements.longest_idle =
                    self.measurements.longest_idle.max(self.now.saturating_sub(begin));
            }
        }
    }

    fn start_request(&mut self, node: usize, request: id::Request, endpoint: id::Endpoint) {
        self.record_idle();
        let request_state = self.requests.get_mut(&request).expect("dispatched request is known");
        assert!(request_state.started.is_none(), "{request} was dispatched twice");
        request_state.started = Some((self.now, endpoint.0, node));
        self.measurements.started[node] += u64::from(self.now >= self.measure_from);
        let (cost, source) = (request_state.cost, request_state.source);
        let wait = &mut self.measurements.longest_wait[request_state.customer as usize];
        *wait =
            (*wait).max(self.now.saturating_sub(request_state.submitted.max(self.measure_from)));
        let customer = request_state.customer as usize;
        self.running[customer] += 1;
        let cap = self.setup.caps.get(customer).copied().unwrap_or(u32::MAX);
        let above = self.running[customer].saturating_sub(cap);
        self.measurements.cap_excess = self.measurements.cap_excess.max(above);
        let state = &mut self.endpoints[endpoint.0 as usize];
        state.running += 1;
        state.idle_since.pop_front();
        self.measurements.excess =
            self.measurements.excess.max(state.running.saturating_sub(state.limit));
        if let Some(leaving) = state.leaving {
            self.measurements.dispatch_after_leaving =
                self.measurements.dispatch_after_leaving.max(self.now - leaving);
        }
        self.stop_waiting(source);
        let incarnation = self.routers[node].incarnation;
        self.schedule(
            cost * self.setup.micros_per_unit,
            Event::Finish { node, incarnation, request },
        );
        let Source { arrivals, until, .. } = self.setup.sources[source];
        if matches!(arrivals, Arrivals::Backlog(_)) && self.now < until {
            self.submit(source);
        }
    }

    /// Frees the slot of a request and adds up its service.
    fn free_slot(&mut self, request_state: &RequestState, started: u64, endpoint: u32) {
        self.running[request_state.customer as usize] -= 1;
        let state = &mut self.endpoints[endpoint as usize];
        state.running -= 1;
        if state.running < state.limit {
            state.idle_since.push_back(self.now);
        }
        let from = started.max(self.measure_from);
        self.measurements.busy += self.now.saturating_sub(from);
        self.served[request_state.customer as usize] +=
            (self.now - started) as f64 / self.setup.micros_per_unit as f64;
    }

    fn finish(&mut self, node: usize, incarnation: u64, request: id::Request) {
        if self.routers[node].incarnation != incarnation || !self.routers[node].alive {
            return;
        }
        let request_state = self.requests.remove(&request).expect("finished request is known");
        let (started, endpoint, _) = request_state.started.expect("finished request was started");
        self.free_slot(&request_state, started, endpoint);
        self.measurements.completed += 1;
        let units = Units(request_state.cost);
        if let Some(baseline) = &mut self.baseline {
            let now = Instant::from_micros(self.now);
            for Dispatch { request, endpoint } in
                baseline.finish(now, node_id(node), request, units)
            {
                self.start_request(request.node.0 as usize, request, endpoint);
            }
        } else {
            self.call_scheduler(node, |scheduler, now| scheduler.finish(now, request, units));
        }
    }

    /// Service of each customer so far, per unit of weight.
    fn weighted_service(&self) -> Vec<f64> {
        let mut served = self.served.clone();
        for request_state in self.requests.values() {
            if let Some((started, ..)) = request_state.started {
                served[request_state.customer as usize] +=
                    (self.now - started) as f64 / self.setup.micros_per_unit as f64;
            }
        }
        let weights = &self.setup.weights;
        served.iter().zip(weights).map(|(units, weight)| units / f64::from(*weight)).collect()
    }

    fn take_sample(&mut self) {
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        let unit = self.setup.micros_per_unit;
        let stream = |(request, request_state): (&id::Request, &RequestState)| {
            let (started, _, node) = request_state.started?;
            let units = (self.now - started) / unit;
            // Progress below the estimate has no effect.
            (units > request_state.estimate).then_some((*request, node, units))
        };
        let mut streams: Vec<_> = self.requests.iter().filter_map(stream).collect();
        streams.sort_unstable();
        for (request, node, units) in streams {
            if let Some(baseline) = &mut self.baseline {
                baseline.progress(
                    Instant::from_micros(self.now),
                    node_id(node),
                    request,
                    Units(units),
                );
            } else {
                self.call_scheduler(node, |scheduler, now| {
                    scheduler.progress(now, request, Units(units))
                });
            }
        }
        self.record_idle();
        if self.now < self.measure_from {
            return;
        }
        let served = self.weighted_service();
        let interrupted = std::mem::take(&mut self.pairs.interrupted);
        let backlogged =
            |customer: &usize| self.waiting[*customer] > 0 && !interrupted.contains(customer);
        let present: Vec<_> = (0..served.len()).filter(backlogged).take(MAX_COMPARED).collect();
        let model = |customer: &usize| {
            let mut sources = self.setup.sources.iter();
            sources.find(|source| source.customer as usize == *customer).map(|source| source.model)
        };
        let models: Vec<_> = present.iter().map(model).collect();
        let mut ranges = HashMap::new();
        for (index, a) in present.iter().enumerate() {
            for (other, b) in present.iter().enumerate().skip(index + 1) {
                // Customers of different models do not compete for the same endpoints: even the global queue exceeds
                // the bound between them.
                if models[index] != models[other] {
                    continue;
                }
                let lead = served[*a] - served[*b];
                let (low, high) = self.pairs.ranges.get(&(*a, *b)).copied().unwrap_or((lead, lead));
                let (low, high) = (low.min(lead), high.max(lead));
                self.measurements.gap = self.measurements.gap.max(high - low);
                ranges.insert((*a, *b), (low, high));
            }
        }
        self.pairs.ranges = ranges;
    }

    /// Stops the arrivals and runs for `most` microseconds, by the end of which every request must have completed or
    /// expired.
    pub fn drain(&mut self, most: u64) {
        let now = self.now;
        for source in &mut self.setup.sources {
            source.until = now;
        }
        self.run(now + most);
        let left: Vec<_> = self.requests.iter().take(3).collect();
        assert!(left.is_empty(), "requests without outcome, such as {left:?}");
    }

    /// Restarts the measurement.
    pub fn restart_measurement(&mut self) {
        self.measure_from = self.now;
        self.measurements.busy = 0;
        self.measurements.excess = 0;
        self.measurements.cap_excess = 0;
        self.measurements.longest_idle = 0;
        self.measurements.gap = 0.0;
    }

    /// The measurements so far.
    pub fn measurements(&self) -> Measurements {
        let mut measurements = self.measurements.clone();
        let slots: u32 = self.setup.endpoints.iter().sum();
        for request_state in self.requests.values() {
            if let Some((started, ..)) = request_state.started {
                measurements.busy += self.now - started.max(self.measure_from);
            }
        }
        measurements.capacity = u64::from(slots) * (self.now - self.measure_from);
        measurements.served = self.weighted_service();
        measurements
    }

    /// Number of live routers.
    pub fn live_routers(&self) -> usize {
        self.routers.iter().filter(|router| router.alive).count()
    }

    /// Requests in flight at an endpoint, as counted by the routers.
    pub fn in_flight(&self, endpoint: u32) -> u32 {
        let occupancy = self.routers.iter().flat_map(|router| router.scheduler.occupancy());
        occupancy
            .filter(|occupancy| occupancy.endpoint.0 == endpoint)
            .map(|occupancy| occupancy.in_flight)
            .sum()
    }
}
