//! A fleet in virtual time: routers, owners, endpoints and a network that may lose, repeat and reorder.

// Tests and the traffic example use different parts; statistics need floating point.
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

/// The model of sources that name none.
const MODEL: u32 = 1;
pub const SECOND: u64 = 1_000_000;
const SAMPLE: u64 = 20_000;
/// Customers compared pairwise.
const PAIRED: usize = 40;
/// Seeds run in CI, and where runs are slow.
pub const CI_SEEDS: u64 = 8;
pub const CI_SEEDS_SLOW: u64 = 2;
const LOAD_EVERY: u64 = 500_000;
/// Bytes of IP, UDP and frame headers per message.
const HEADER: usize = 60;

#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// One-way delay and the largest addition to it, in microseconds.
    pub delay: u64,
    pub jitter: u64,
    pub loss: f64,
    pub repeat: f64,
}

impl Default for Net {
    fn default() -> Self {
        Self { delay: 500, jitter: 0, loss: 0.0, repeat: 0.0 }
    }
}

/// Where requests come from.
#[derive(Clone, Debug)]
pub struct Source {
    pub customer: u32,
    pub router: usize,
    pub model: u32,
    pub load: Arrivals,
    pub cost: (u64, u64),
    /// Estimate as a multiple of the cost.
    pub hint: f64,
    pub from: u64,
    pub until: u64,
}

#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// Keeps this many requests waiting.
    Backlog(u32),
    /// Requests per second, at random times.
    Rate(f64),
}

impl Source {
    pub fn new(customer: u32, router: usize, load: Arrivals) -> Self {
        Self {
            customer,
            router,
            model: MODEL,
            load,
            cost: (100, 900),
            hint: 1.0,
            from: 0,
            until: u64::MAX,
        }
    }
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub routers: usize,
    pub endpoints: Vec<u32>,
    /// Models of each endpoint.
    pub models: Vec<Vec<u32>>,
    pub weights: Vec<u32>,
    /// Caps on requests in flight, of the first customers.
    pub caps: Vec<u32>,
    pub sources: Vec<Source>,
    pub net: Net,
    /// How far clock rates lie apart, in millionths.
    pub drift: i64,
    pub seed: u64,
    pub deadline: u64,
    /// Time that a slot takes for one unit.
    pub micros_per_unit: u64,
    /// Rules of the pool.
    pub options: pool::Options,
}

impl Setup {
    pub fn new(routers: usize, endpoints: &[u32], customers: usize) -> Self {
        let mut options = pool::Options::new(id::Pool(1), name(0), 0);
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
        pool::Options { node: name(node), incarnation, ..self.options.clone() }
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
    let number =
        |name| std::env::var(name).ok().map(|text| text.parse().expect("a seed is a number"));
    if let Some(seed) = number("SISKIN_SEED") {
        return vec![seed];
    }
    let most = number("SISKIN_SEEDS").unwrap_or(default);
    (1..=most).chain(more.iter().copied().filter(|seed| *seed > most)).collect()
}

pub fn name(node: usize) -> id::Node {
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
struct Machine {
    scheduler: Scheduler,
    owner: Option<Owner>,
    alive: bool,
    side: u8,
    incarnation: u64,
    /// Clock rate in millionths and reading at time zero.
    rate: u64,
    offset: u64,
    tick: u64,
}

impl Machine {
    fn clock(&self, now: u64) -> Instant {
        Instant::from_micros(self.offset + now * self.rate / 1_000_000)
    }

    /// First time at which the clock reads at least `at`.
    fn when(&self, at: Instant) -> u64 {
        let micros = at.as_micros().saturating_sub(self.offset);
        if micros > u64::MAX / 2_000_000 {
            u64::MAX
        } else {
            (micros * 1_000_000).div_ceil(self.rate)
        }
    }
}

#[derive(Debug)]
struct Run {
    source: usize,
    customer: u32,
    cost: u64,
    estimate: u64,
    submitted: u64,
    /// Start, endpoint and router of a request in flight.
    started: Option<(u64, u32, usize)>,
}

#[derive(Debug, Default)]
struct Place {
    limit: u32,
    running: u32,
    leaving: Option<u64>,
    idle_since: VecDeque<u64>,
}

/// What a run measured.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub completed: u64,
    pub expired: u64,
    pub refused: u64,
    /// Most requests in flight above an endpoint's limit.
    pub excess: u32,
    /// Most requests of one customer in flight above its cap.
    pub cap_excess: u32,
    /// Longest time in microseconds that a slot was idle while work of uncapped customers waited.
    pub idle: u64,
    /// Largest difference in weighted service of two customers that both stayed backlogged.
    pub gap: f64,
    /// Slot time in use and available, in microseconds.
    pub busy: u64,
    pub capacity: u64,
    /// Longest time from `leaving` to a dispatch at that endpoint.
    pub late: u64,
    pub served: Vec<f64>,
    /// Longest time in the queue, by customer.
    pub longest_wait: Vec<u64>,
    /// Requests started by each router.
    pub started: Vec<u64>,
    /// Messages and bytes sent and received by each router.
    pub messages: Vec<u64>,
    pub bytes: Vec<u64>,
}

impl Figures {
    pub fn utilisation(&self) -> f64 {
        self.busy as f64 / self.capacity as f64
    }
}

/// Largest swing of the service difference of each pair while both are backlogged.
#[derive(Debug, Default)]
struct Pairs {
    range: HashMap<(usize, usize), (f64, f64)>,
    /// Customers whose queue was empty since the last sample.
    broken: BTreeSet<usize>,
}

#[derive(Debug)]
pub struct Fleet {
    pub setup: Setup,
    pub now: u64,
    pub figures: Figures,
    /// Start of the measurement; earlier service does not count.
    pub measure_from: u64,
    rng: SmallRng,
    sources: Vec<SmallRng>,
    events: BTreeMap<(u64, u64), Event>,
    counter: u64,
    machines: Vec<Machine>,
    baseline: Option<Baseline>,
    runs: HashMap<id::Request, Run>,
    places: Vec<Place>,
    waiting: Vec<u32>,
    /// Requests waiting by source.
    queued: Vec<u32>,
    /// For each router and model, since when it has had 1, 2 and more requests waiting.
    waits: BTreeMap<(usize, u32), VecDeque<u64>>,
    served: Vec<f64>,
    /// Requests in flight by customer.
    running: Vec<u32>,
    pairs: Pairs,
}

impl Fleet {
    pub fn new(setup: Setup) -> Self {
        Self::build(setup, None)
    }

    /// A fleet driven by the global queue.
    pub fn global(setup: Setup) -> Self {
        let options = setup.options(0, 1);
        let baseline = Baseline::global(options, &setup.pool_endpoints(), &setup.customers());
        Self::build(setup, Some(baseline))
    }

    /// A fleet whose routers are fair on their own.
    pub fn split(setup: Setup) -> Self {
        let options = setup.options(0, 1);
        let names: Vec<_> = (0..setup.routers).map(name).collect();
        let baseline =
            Baseline::split(&options, &names, &setup.pool_endpoints(), &setup.customers());
        Self::build(setup, Some(baseline))
    }

    fn build(setup: Setup, baseline: Option<Baseline>) -> Self {
        let seeded = |stream: u64| SmallRng::seed_from_u64(setup.seed * 1_000_003 + stream);
        let place = |limit: &u32| Place {
            limit: *limit,
            idle_since: (0..*limit).map(|_| 0).collect(),
            ..Place::default()
        };
        let mut fleet = Self {
            now: 0,
            figures: Figures {
                messages: vec![0; setup.routers],
                bytes: vec![0; setup.routers],
                started: vec![0; setup.routers],
                longest_wait: vec![0; setup.weights.len()],
                ..Figures::default()
            },
            measure_from: 0,
            rng: seeded(0),
            sources: (1..).zip(&setup.sources).map(|(stream, _)| seeded(stream)).collect(),
            events: BTreeMap::new(),
            counter: 0,
            machines: Vec::new(),
            baseline,
            runs: HashMap::new(),
            places: setup.endpoints.iter().map(place).collect(),
            waiting: vec![0; setup.weights.len()],
            queued: vec![0; setup.sources.len()],
            waits: BTreeMap::new(),
            served: vec![0.0; setup.weights.len()],
            running: vec![0; setup.weights.len()],
            pairs: Pairs::default(),
            setup,
        };
        for node in 0..fleet.setup.routers {
            let machine = fleet.machine(node, 1_000 + node as u64);
            fleet.machines.push(machine);
        }
        if fleet.baseline.is_none() {
            fleet.membership();
            fleet.after(0, Event::Load);
        }
        fleet.after(0, Event::Sample);
        for source in 0..fleet.setup.sources.len() {
            let from = fleet.setup.sources[source].from;
            fleet.after(from, Event::Arrive(source));
        }
        fleet
    }

    fn machine(&mut self, node: usize, incarnation: u64) -> Machine {
        let drift = self.setup.drift;
        let rate = 1_000_000 + if drift > 0 { self.rng.random_range(-drift..=drift) } else { 0 };
        let offset = self.rng.random_range(1..SECOND);
        let mut scheduler = Scheduler::new(self.setup.options(node, incarnation));
        let now = Instant::from_micros(offset + self.now);
        scheduler.endpoints(now, &self.setup.pool_endpoints());
        scheduler.customers(now, &self.setup.customers());
        Machine {
            scheduler,
            owner: None,
            alive: true,
            side: 0,
            incarnation,
            rate: u64::try_from(rate).unwrap(),
            offset,
            tick: u64::MAX,
        }
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.counter += 1;
        self.events.insert((self.now.saturating_add(delay), self.counter), event);
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(source) => self.arrive(source),
            Event::Finish { node, incarnation, request } => self.finish(node, incarnation, request),
            Event::Tick { node } => {
                if self.machines[node].alive && self.machines[node].tick == self.now {
                    self.machines[node].tick = u64::MAX;
                    self.at(node, Scheduler::tick);
                    self.own(node, Owner::tick);
                }
            }
            Event::Report { from, to, message } => {
                self.count(to, message.encoded_len());
                self.own(to, |owner, now| owner.receive(now, name(from), &message));
            }
            Event::Grant { from, to, message } => {
                self.count(to, message.encoded_len());
                self.at(to, |scheduler, now| scheduler.receive(now, name(from), &message));
            }
            Event::Load => self.load(),
            Event::Sample => self.sample(),
        }
    }

    fn count(&mut self, node: usize, length: usize) {
        if self.now >= self.measure_from {
            self.figures.messages[node] += 1;
            self.figures.bytes[node] += (length + HEADER) as u64;
        }
    }

    /// Calls a router's scheduler and carries out its actions.
    fn at(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut Scheduler, Instant) -> Vec<router::Action>,
    ) {
        if !self.machines[node].alive || self.baseline.is_some() {
            return;
        }
        let now = self.machines[node].clock(self.now);
        for action in call(&mut self.machines[node].scheduler, now) {
            match action {
                router::Action::Dispatch { request, endpoint } => {
                    self.start(node, request, endpoint);
                }
                router::Action::Expire { request } => {
                    let run = self.runs.remove(&request).expect("expired request is known");
                    assert!(run.started.is_none(), "{request} expired in flight");
                    self.figures.expired += 1;
                    self.stop_waiting(run.source);
                }
                router::Action::Send { to, message } => {
                    let to = to.0 as usize;
                    self.count(node, message.encoded_len());
                    self.post(node, to, || Event::Report {
                        from: node,
                        to,
                        message: message.clone(),
                    });
                }
            }
        }
        self.wake(node);
    }

    /// Calls a node's owner, if it is one, and carries out its actions.
    fn own(&mut self, node: usize, call: impl FnOnce(&mut Owner, Instant) -> Vec<owner::Action>) {
        if !self.machines[node].alive {
            return;
        }
        let now = self.machines[node].clock(self.now);
        let Some(owner) = &mut self.machines[node].owner else { return };
        for owner::Action::Send { to, message } in call(owner, now) {
            let to = to.0 as usize;
            self.count(node, message.encoded_len());
            self.post(node, to, || Event::Grant { from: node, to, message: message.clone() });
        }
        self.wake(node);
    }

    fn wake(&mut self, node: usize) {
        let machine = &mut self.machines[node];
        let owner = machine.owner.as_ref().map(Owner::next_tick);
        let next = owner.into_iter().chain([machine.scheduler.next_tick()]).min().unwrap();
        let at = machine.when(next).max(self.now + 1);
        if at < machine.tick {
            machine.tick = at;
            self.after(at - self.now, Event::Tick { node });
        }
    }

    fn post(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        if self.machines[from].side != self.machines[to].side {
            return;
        }
        let net = self.setup.net;
        let copies = 1 + usize::from(from != to && self.rng.random_bool(net.repeat));
        for _ in 0..copies {
            if from == to {
                self.after(1, event());
            } else if !self.rng.random_bool(net.loss) {
                let jitter = self.rng.random_range(0..=net.jitter);
                self.after(net.delay + jitter, event());
            }
        }
    }

    /// Applies what membership sees: nodes of the same side that are alive; the first one owns the pool.
    pub fn membership(&mut self) {
        let known = self.machines.len();
        for node in 0..known {
            let side = self.machines[node].side;
            let seen = |machine: &&Machine| machine.alive && machine.side == side;
            let visible: Vec<_> =
                (0..known).filter(|index| seen(&&self.machines[*index])).map(name).collect();
            let Some(owner) = visible.first().copied() else { continue };
            if owner != name(node) {
                self.machines[node].owner = None;
            } else if self.machines[node].alive && self.machines[node].owner.is_none() {
                let mut options = self.setup.options(node, self.machines[node].incarnation);
                options.start = self.machines[node].clock(self.now).as_micros();
                self.machines[node].owner = Some(Owner::new(options));
                let (endpoints, customers) = (self.setup.pool_endpoints(), self.setup.customers());
                self.own(node, |owner, now| owner.members(now, &visible, known));
                self.own(node, |owner, now| owner.endpoints(now, &endpoints));
                self.own(node, |owner, now| owner.customers(now, &customers));
            }
            self.own(node, |owner, now| owner.members(now, &visible, known));
            self.at(node, |scheduler, now| scheduler.owner_changed(now, Some(owner)));
        }
    }

    /// Assigns nodes to sides that cannot reach each other.
    pub fn partition(&mut self, side: impl Fn(usize) -> u8) {
        for node in 0..self.machines.len() {
            self.machines[node].side = side(node);
        }
    }

    /// Ends a router process; its requests end with it.
    pub fn kill(&mut self, node: usize) {
        self.machines[node].alive = false;
        self.machines[node].owner = None;
        let mut lost: Vec<_> = self.runs.keys().filter(|r| r.node == name(node)).copied().collect();
        lost.sort_unstable();
        for request in lost {
            let run = self.runs.remove(&request).unwrap();
            match run.started {
                Some((started, endpoint, _)) => self.vacate(&run, started, endpoint),
                None => self.stop_waiting(run.source),
            }
        }
    }

    /// Starts a fresh process in place of a killed one.
    pub fn restart(&mut self, node: usize) {
        self.kill(node);
        let incarnation = self.machines[node].incarnation + 1_000_000;
        self.machines[node] = self.machine(node, incarnation);
        for source in 0..self.setup.sources.len() {
            let Source { router, load, .. } = self.setup.sources[source];
            if router == node && matches!(load, Arrivals::Backlog(_)) {
                self.after(0, Event::Arrive(source));
            }
        }
    }

    /// Marks an endpoint as leaving. Only its own load report says so.
    pub fn leave(&mut self, endpoint: usize) {
        self.places[endpoint].leaving = Some(self.now);
        self.load();
    }

    fn load(&mut self) {
        for endpoint in 0..self.places.len() {
            let place = &self.places[endpoint];
            let load = pool::Load { running: place.running, leaving: place.leaving.is_some() };
            let endpoint = id::Endpoint(u32::try_from(endpoint).unwrap());
            for node in 0..self.machines.len() {
                self.own(node, |owner, now| owner.load(now, endpoint, load));
            }
        }
        self.after(LOAD_EVERY, Event::Load);
    }

    fn arrive(&mut self, index: usize) {
        let source = self.setup.sources[index].clone();
        if self.now >= source.until {
            return;
        }
        match source.load {
            Arrivals::Rate(rate) => {
                self.submit(index);
                let random: f64 = self.sources[index].random_range(1e-9..1.0);
                self.after((-random.ln() / rate * SECOND as f64) as u64, Event::Arrive(index));
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
        if !self.machines[node].alive {
            return;
        }
        self.counter += 1;
        let incarnation = self.machines[node].incarnation;
        let request = id::Request { node: name(node), incarnation, sequence: self.counter };
        let cost = self.sources[index].random_range(source.cost.0..=source.cost.1);
        let estimate = Units(((cost as f64 * source.hint) as u64).max(1));
        let now = self.machines[node].clock(self.now);
        let deadline = now + Duration::from_micros(self.setup.deadline);
        let customer = id::Customer(source.customer);
        let ticket = Ticket::new(request, customer, id::Model(source.model), estimate, deadline);
        self.runs.insert(
            request,
            Run {
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
        if !self.capped(source.customer) {
            self.waits.entry((node, source.model)).or_default().push_back(self.now);
        }
        if let Some(baseline) = &mut self.baseline {
            for Dispatch { request, endpoint } in baseline.submit(now, name(node), ticket) {
                self.start(request.node.0 as usize, request, endpoint);
            }
            return;
        }
        let mut refused = false;
        self.at(node, |scheduler, now| {
            scheduler.submit(now, ticket).unwrap_or_else(|_| {
                refused = true;
                Vec::new()
            })
        });
        if refused {
            self.figures.refused += 1;
            self.runs.remove(&request);
            self.stop_waiting(index);
        }
    }

    /// Whether a customer has a cap, so that its requests may wait while slots are idle.
    fn capped(&self, customer: u32) -> bool {
        self.setup.caps.get(customer as usize).is_some_and(|cap| *cap < u32::MAX)
    }

    fn stop_waiting(&mut self, source: usize) {
        self.note_idle();
        let Source { router, model, customer, .. } = self.setup.sources[source];
        if !self.capped(customer) {
            self.waits.entry((router, model)).or_default().pop_front();
        }
        let customer = customer as usize;
        self.queued[source] -= 1;
        self.waiting[customer] -= 1;
        if self.waiting[customer] == 0 {
            self.pairs.broken.insert(customer);
        }
    }

    /// Records how long a slot has been idle while work waited. Slots of an endpoint are interchangeable, and
    /// so are the requests of a router: a later one may overtake by virtual time, which is no idleness.
    fn note_idle(&mut self) {
        for (place, models) in self.places.iter().zip(&self.setup.models) {
            let Some(idle) = place.idle_since.front().filter(|_| place.leaving.is_none()) else {
                continue;
            };
            let served = self.waits.iter().filter(|((_, model), _)| models.contains(model));
            if let Some(waits) = served.filter_map(|(_, waits)| waits.front()).min() {
                let begin = *waits.max(idle).max(&self.measure_from);
                self.figures.idle = self.figures.idle.max(self.now.saturating_sub(begin));
            }
        }
    }

    fn start(&mut self, node: usize, request: id::Request, endpoint: id::Endpoint) {
        self.note_idle();
        let run = self.runs.get_mut(&request).expect("dispatched request is known");
        assert!(run.started.is_none(), "{request} was dispatched twice");
        run.started = Some((self.now, endpoint.0, node));
        self.figures.started[node] += u64::from(self.now >= self.measure_from);
        let (cost, source) = (run.cost, run.source);
        let wait = &mut self.figures.longest_wait[run.customer as usize];
        *wait = (*wait).max(self.now.saturating_sub(run.submitted.max(self.measure_from)));
        let customer = run.customer as usize;
        self.running[customer] += 1;
        let cap = self.setup.caps.get(customer).copied().unwrap_or(u32::MAX);
        let above = self.running[customer].saturating_sub(cap);
        self.figures.cap_excess = self.figures.cap_excess.max(above);
        let place = &mut self.places[endpoint.0 as usize];
        place.running += 1;
        place.idle_since.pop_front();
        self.figures.excess = self.figures.excess.max(place.running.saturating_sub(place.limit));
        if let Some(leaving) = place.leaving {
            self.figures.late = self.figures.late.max(self.now - leaving);
        }
        self.stop_waiting(source);
        let incarnation = self.machines[node].incarnation;
        self.after(cost * self.setup.micros_per_unit, Event::Finish { node, incarnation, request });
        let Source { load, until, .. } = self.setup.sources[source];
        if matches!(load, Arrivals::Backlog(_)) && self.now < until {
            self.submit(source);
        }
    }

    /// Frees the slot of a request and counts its service.
    fn vacate(&mut self, run: &Run, started: u64, endpoint: u32) {
        self.running[run.customer as usize] -= 1;
        let place = &mut self.places[endpoint as usize];
        place.running -= 1;
        if place.running < place.limit {
            place.idle_since.push_back(self.now);
        }
        let from = started.max(self.measure_from);
        self.figures.busy += self.now.saturating_sub(from);
        self.served[run.customer as usize] +=
            (self.now - started) as f64 / self.setup.micros_per_unit as f64;
    }

    fn finish(&mut self, node: usize, incarnation: u64, request: id::Request) {
        if self.machines[node].incarnation != incarnation || !self.machines[node].alive {
            return;
        }
        let run = self.runs.remove(&request).expect("finished request is known");
        let (started, endpoint, _) = run.started.expect("finished request was started");
        self.vacate(&run, started, endpoint);
        self.figures.completed += 1;
        let units = Units(run.cost);
        if let Some(baseline) = &mut self.baseline {
            let now = Instant::from_micros(self.now);
            for Dispatch { request, endpoint } in baseline.finish(now, name(node), request, units) {
                self.start(request.node.0 as usize, request, endpoint);
            }
        } else {
            self.at(node, |scheduler, now| scheduler.finish(now, request, units));
        }
    }

    /// Service of each customer so far, per unit of weight.
    fn progress(&self) -> Vec<f64> {
        let mut served = self.served.clone();
        for run in self.runs.values() {
            if let Some((started, ..)) = run.started {
                served[run.customer as usize] +=
                    (self.now - started) as f64 / self.setup.micros_per_unit as f64;
            }
        }
        let weights = &self.setup.weights;
        served.iter().zip(weights).map(|(units, weight)| units / f64::from(*weight)).collect()
    }

    fn sample(&mut self) {
        self.after(SAMPLE, Event::Sample);
        let unit = self.setup.micros_per_unit;
        let stream = |(request, run): (&id::Request, &Run)| {
            let (started, _, node) = run.started?;
            let units = (self.now - started) / unit;
            // Progress below the estimate changes nothing.
            (units > run.estimate).then_some((*request, node, units))
        };
        let mut streams: Vec<_> = self.runs.iter().filter_map(stream).collect();
        streams.sort_unstable();
        for (request, node, units) in streams {
            if let Some(baseline) = &mut self.baseline {
                baseline.progress(
                    Instant::from_micros(self.now),
                    name(node),
                    request,
                    Units(units),
                );
            } else {
                self.at(node, |scheduler, now| scheduler.progress(now, request, Units(units)));
            }
        }
        self.note_idle();
        if self.now < self.measure_from {
            return;
        }
        let served = self.progress();
        let broken = std::mem::take(&mut self.pairs.broken);
        let backlogged =
            |customer: &usize| self.waiting[*customer] > 0 && !broken.contains(customer);
        let present: Vec<_> = (0..served.len()).filter(backlogged).take(PAIRED).collect();
        let model = |customer: &usize| {
            let mut sources = self.setup.sources.iter();
            sources.find(|source| source.customer as usize == *customer).map(|source| source.model)
        };
        let models: Vec<_> = present.iter().map(model).collect();
        let mut range = HashMap::new();
        for (index, a) in present.iter().enumerate() {
            for (other, b) in present.iter().enumerate().skip(index + 1) {
                // Customers of different models do not compete for the same endpoints: the global queue
                // itself exceeds the bound between them.
                if models[index] != models[other] {
                    continue;
                }
                let lead = served[*a] - served[*b];
                let (low, high) = self.pairs.range.get(&(*a, *b)).copied().unwrap_or((lead, lead));
                let (low, high) = (low.min(lead), high.max(lead));
                self.figures.gap = self.figures.gap.max(high - low);
                range.insert((*a, *b), (low, high));
            }
        }
        self.pairs.range = range;
    }

    /// Ends the arrivals and runs until every request has its outcome.
    pub fn drain(&mut self, most: u64) {
        let now = self.now;
        for source in &mut self.setup.sources {
            source.until = now;
        }
        self.run(now + most);
        let left: Vec<_> = self.runs.iter().take(3).collect();
        assert!(left.is_empty(), "requests without outcome, such as {left:?}");
    }

    /// Starts the measurement anew.
    pub fn restart_measurement(&mut self) {
        self.measure_from = self.now;
        self.figures.busy = 0;
        self.figures.excess = 0;
        self.figures.cap_excess = 0;
        self.figures.idle = 0;
        self.figures.gap = 0.0;
    }

    /// The figures up to now.
    pub fn figures(&self) -> Figures {
        let mut figures = self.figures.clone();
        let slots: u32 = self.setup.endpoints.iter().sum();
        for run in self.runs.values() {
            if let Some((started, ..)) = run.started {
                figures.busy += self.now - started.max(self.measure_from);
            }
        }
        figures.capacity = u64::from(slots) * (self.now - self.measure_from);
        figures.served = self.progress();
        figures
    }

    /// Number of routers that run.
    pub fn alive(&self) -> usize {
        self.machines.iter().filter(|machine| machine.alive).count()
    }

    /// Requests in flight at an endpoint as the routers count them.
    pub fn in_flight(&self, endpoint: u32) -> u32 {
        let usage = self.machines.iter().flat_map(|machine| machine.scheduler.usage());
        usage.filter(|usage| usage.endpoint.0 == endpoint).map(|usage| usage.in_flight).sum()
    }
}
