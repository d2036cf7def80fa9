//! The owner's side: virtual times and slot grants.

use {
    crate::pool,
    cap::Cap,
    demand::Table,
    peer::{Ledger, Peer, Promise},
    siskin_types::{id, time::Instant},
    siskin_wire::sched::{self, Clock, Floor, Grant, Granted, Report, Term},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

mod cap;
mod demand;
mod peer;

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a grant to a router, which may be this node.
    Send {
        /// The router.
        to: id::Node,
        /// The grant.
        message: Grant,
    },
}

/// Age beyond which a load report says nothing.
const LOAD_VALID: Duration = Duration::from_secs(2);
/// Customers tried for one slot. One is passed over only if its next request excludes all free endpoints.
const CANDIDATES: usize = 16;
/// Virtual times of customers just reported or granted to, at most per grant.
const MENTIONS: usize = 16;
/// Virtual times told in turn, at most per grant.
const MENTIONS_IN_TURN: usize = 4;

/// Grants the slots of one pool.
#[derive(Debug)]
pub struct Owner {
    options: pool::Options,
    term: Term,
    /// When the first event came; the collection of reports starts then.
    started: Option<Instant>,
    collecting: bool,
    visible: BTreeSet<id::Node>,
    known: usize,
    sites: BTreeMap<id::Endpoint, Site>,
    peers: BTreeMap<id::Node, Peer>,
    table: Table,
    /// Caps on requests in flight of all configured customers.
    caps: BTreeMap<id::Customer, Cap>,
    /// Customers whose permits have to be shared out, and the routers whose wants changed.
    unshared: BTreeMap<id::Customer, BTreeSet<id::Node>>,
    /// Models for which all routers with slots know that others wait.
    announced: BTreeSet<id::Model>,
    /// Routers that get a grant at once.
    urgent: BTreeSet<id::Node>,
}

/// An endpoint and its slots.
#[derive(Debug)]
struct Site {
    config: pool::Endpoint,
    /// Requests that are not this side's, by the last load report.
    foreign: Option<(Instant, u32)>,
    /// Whether the endpoint itself says that it is leaving.
    leaving: bool,
    /// Slots held by all routers.
    held: u32,
    /// Requests in flight, by the routers' reports.
    busy: u32,
    /// Whether routers may keep slots.
    keep: bool,
}

impl Site {
    fn usable(&self, now: Instant, view: View) -> u32 {
        if self.leaving || self.config.leaving {
            return 0;
        }
        let limit = self.config.limit;
        let foreign = match self.foreign {
            Some((at, foreign)) if now - at <= LOAD_VALID => foreign,
            _ => limit,
        };
        let rest = limit.saturating_sub(foreign);
        match view {
            View::Whole => limit,
            View::Unreported => rest,
            View::Part { visible, known } => {
                let share = u64::from(limit) * visible as u64 / known as u64;
                u32::try_from(share).unwrap_or(limit).max(rest)
            }
        }
    }
}

/// How much of the fleet the owner speaks for.
#[derive(Clone, Copy, Debug)]
enum View {
    /// Every known router.
    Whole,
    /// Every known router, but some that may hold slots of an earlier term have not reported.
    Unreported,
    /// The routers of one side of a partition.
    Part { visible: usize, known: usize },
}

/// A grant that can be given now.
#[derive(Clone, Copy, Debug)]
struct Pick {
    customer: id::Customer,
    model: id::Model,
    node: id::Node,
    endpoint: id::Endpoint,
}

impl Owner {
    /// An owner that knows nothing yet and collects reports first.
    #[must_use]
    pub fn new(options: pool::Options) -> Self {
        Self {
            term: Term { incarnation: options.incarnation, start: options.start },
            options,
            started: None,
            collecting: true,
            visible: BTreeSet::new(),
            known: 0,
            sites: BTreeMap::new(),
            peers: BTreeMap::new(),
            table: Table::default(),
            caps: BTreeMap::new(),
            unshared: BTreeMap::new(),
            announced: BTreeSet::new(),
            urgent: BTreeSet::new(),
        }
    }

    /// Applies a router's report.
    pub fn receive(&mut self, now: Instant, from: id::Node, report: &Report) -> Vec<Action> {
        if report.pool != self.options.pool {
            return Vec::new();
        }
        let known = self.peers.get(&from).map(|peer| (peer.account, peer.lapsed));
        match known {
            Some((account, _)) if account > report.account => return Vec::new(),
            Some((account, false)) if account == report.account => {}
            Some((account, true)) if account == report.account => return self.reject(from, report),
            _ if report.full => self.adopt(now, from, report.account),
            _ => return self.reject(from, report),
        }
        self.update(now, from, report);
        self.step(now)
    }

    /// Takes an endpoint's load report.
    pub fn load(&mut self, now: Instant, endpoint: id::Endpoint, load: pool::Load) -> Vec<Action> {
        if let Some(site) = self.sites.get_mut(&endpoint) {
            site.foreign = Some((now, load.running.saturating_sub(site.busy)));
            site.leaving = load.leaving;
        }
        self.step(now)
    }

    /// Takes the routers that membership sees, and how many it knows.
    pub fn members(&mut self, now: Instant, visible: &[id::Node], known: usize) -> Vec<Action> {
        self.visible = visible.iter().copied().collect();
        self.known = known;
        let nodes: Vec<_> = self.peers.keys().copied().collect();
        for node in nodes {
            if !self.visible.contains(&node) {
                self.set_away(node, true);
            }
        }
        self.step(now)
    }

    /// Takes the endpoints of the configuration in force. Endpoints that are gone count as leaving.
    pub fn endpoints(&mut self, now: Instant, endpoints: &[pool::Endpoint]) -> Vec<Action> {
        for site in self.sites.values_mut() {
            site.config.leaving = true;
        }
        for endpoint in endpoints {
            let config = endpoint.clone();
            self.site(endpoint.id).config = config;
        }
        self.step(now)
    }

    /// Takes the customers of the configuration in force.
    pub fn customers(&mut self, now: Instant, customers: &[pool::Customer]) -> Vec<Action> {
        for customer in customers {
            self.table.weight(customer.id, customer.weight);
            let cap = self.caps.entry(customer.id).or_insert_with(|| {
                // Routers may have heard of the customer earlier.
                let mut cap = Cap::new(customer.max_in_flight);
                for (node, peer) in &self.peers {
                    let Some(queue) = peer.queues.get(&customer.id) else { continue };
                    cap.held += queue.permitted();
                    cap.want(*node, if peer.away { 0 } else { queue.wanted() });
                }
                self.unshared.entry(customer.id).or_default().extend(cap.nodes());
                cap
            });
            if cap.limit != customer.max_in_flight {
                cap.limit = customer.max_in_flight;
                self.unshared.entry(customer.id).or_default().extend(cap.nodes());
            }
        }
        self.step(now)
    }

    /// Takes back lapsed slots, ends the collection of reports and sends the answers that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.step(now)
    }

    /// The earliest time at which [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let collected =
            self.started.filter(|_| self.collecting).map(|at| at + self.options.collect);
        let lapse = self.options.owner_lapse();
        let peers = self.peers.values().filter(|peer| !peer.lapsed);
        let times = peers.flat_map(|peer| [Some(peer.received + lapse), peer.due]);
        times.chain([collected]).flatten().min().unwrap_or(Instant::from_micros(u64::MAX))
    }

    fn step(&mut self, now: Instant) -> Vec<Action> {
        self.collect(now);
        self.take_back(now);
        self.review(now);
        if !self.collecting {
            self.share_caps(now);
            self.allocate(now);
            self.announce();
        }
        self.flush(now)
    }

    fn site(&mut self, endpoint: id::Endpoint) -> &mut Site {
        self.sites.entry(endpoint).or_insert_with(|| {
            // A router reported the endpoint before the configuration named it.
            let mut config = pool::Endpoint::new(endpoint, 0, Vec::new());
            config.leaving = true;
            Site { config, foreign: None, leaving: false, held: 0, busy: 0, keep: true }
        })
    }

    fn collect(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        if !self.collecting {
            return;
        }
        let all = self.visible.iter().all(|node| self.peers.contains_key(node));
        if (all && !self.visible.is_empty()) || now - started >= self.options.collect {
            self.collecting = false;
        }
    }

    fn view(&self, now: Instant) -> View {
        let (visible, known) = (self.visible.len(), self.known);
        if visible < known {
            return View::Part { visible, known };
        }
        if self.unreported(now) { View::Unreported } else { View::Whole }
    }

    /// Whether a visible router that has not reported may hold slots or permits of an earlier term.
    fn unreported(&self, now: Instant) -> bool {
        // What was granted in an earlier term has lapsed after this time.
        let young = self.started.is_none_or(|at| now - at < self.options.owner_lapse());
        young && self.visible.iter().any(|node| !self.peers.contains_key(node))
    }

    /// Asks the router for a full report in a new account.
    fn reject(&self, to: id::Node, report: &Report) -> Vec<Action> {
        let message = Grant {
            pool: self.options.pool,
            term: self.term,
            account: report.account,
            ..Grant::default()
        };
        vec![Action::Send { to, message }]
    }

    fn adopt(&mut self, now: Instant, node: id::Node, account: u64) {
        self.forget(node);
        self.peers.insert(node, Peer::new(account, now));
        self.announced.clear();
    }

    /// Drops everything that the router reported and held.
    fn forget(&mut self, node: id::Node) {
        self.set_away(node, true);
        let Some(peer) = self.peers.get_mut(&node) else { return };
        for promise in peer.promises.drain(..) {
            self.table.redeem(promise.customer, promise.units);
        }
        for (customer, queue) in std::mem::take(&mut peer.queues) {
            if let Some(cap) = self.caps.get_mut(&customer) {
                cap.held -= queue.permitted();
                cap.want(node, 0);
                self.unshared.entry(customer).or_default().insert(node);
            }
            for (model, line) in queue.lines {
                self.table.reported(customer, model, line.waiting, 0, false);
            }
        }
        for (endpoint, ledger) in std::mem::take(&mut peer.ledgers) {
            if let Some(site) = self.sites.get_mut(&endpoint) {
                site.held -= ledger.held();
                site.busy -= ledger.busy();
            }
        }
        peer.lapsed = true;
        peer.due = None;
        self.urgent.remove(&node);
    }

    fn set_away(&mut self, node: id::Node, away: bool) {
        let Some(peer) = self.peers.get_mut(&node).filter(|peer| peer.away != away) else { return };
        peer.away = away;
        for (customer, queue) in &peer.queues {
            if let Some(cap) = self.caps.get_mut(customer) {
                cap.want(node, if away { 0 } else { queue.wanted() });
                self.unshared.entry(*customer).or_default().insert(node);
            }
            for (model, line) in &queue.lines {
                let open = line.open(queue.room());
                let (before, after) = if away { (open, 0) } else { (0, open) };
                self.table.wait(*customer, *model, node, before, after);
            }
        }
    }

    fn update(&mut self, now: Instant, from: id::Node, report: &Report) {
        self.set_away(from, false);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if report.sequence <= peer.sequence {
            return;
        }
        let first = peer.sequence == 0;
        peer.sequence = report.sequence;
        peer.received = now;
        peer.due.get_or_insert(now + self.options.answer_delay);
        peer.heard(report.heard);
        self.redeem(from, report.heard);
        for entry in &report.queues {
            self.update_queue(from, entry, first);
        }
        for entry in &report.slots {
            self.update_slots(from, entry);
        }
        if first {
            self.table.limit_lead(self.options.max_catch_up);
        }
    }

    /// Drops the promises that the router has heard: its report now shows their effect.
    fn redeem(&mut self, node: id::Node, heard: u64) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        while let Some(promise) = peer.promises.front().copied() {
            if promise.sequence > heard {
                break;
            }
            peer.promises.pop_front();
            self.table.redeem(promise.customer, promise.units);
            let Some(queue) = peer.queues.get_mut(&promise.customer) else { continue };
            let room = queue.room();
            if let Some(line) = queue.lines.get_mut(&promise.model) {
                let before = line.open(room);
                line.promised = line.promised.saturating_sub(1);
                self.table.wait(promise.customer, promise.model, node, before, line.open(room));
            }
        }
    }

    fn update_queue(&mut self, node: id::Node, entry: &sched::Queue, first: bool) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let queue = peer.queues.entry(entry.customer).or_default();
        let merged = first && entry.clock.is_some();
        match entry.clock {
            Some(clock) if first => self.table.merge(entry.customer, clock),
            _ => self.table.charge(entry.customer, entry.charged - queue.charged),
        }
        queue.charged = entry.charged;
        if !entry.lines.is_empty() {
            peer.mention.insert(entry.customer);
        }
        let (held, old_room) = (queue.permitted(), queue.room());
        match &entry.permits {
            Some(permits) => {
                let ledger = queue.permits.get_or_insert_default();
                ledger.report(permits.opening, permits.returned, permits.busy);
            }
            None => queue.permits = None,
        }
        let room = queue.room();
        let after = queue.permitted();
        let old = queue.lines.keys().copied();
        let models: BTreeSet<_> = old.chain(entry.lines.iter().map(|line| line.model)).collect();
        for model in models {
            let line = queue.lines.entry(model).or_default();
            let (waited, open) = (line.waiting, line.open(old_room));
            match entry.lines.iter().find(|line| line.model == model) {
                Some(news) => {
                    line.waiting = news.waiting;
                    line.estimate = news.estimate.min(self.options.max_request);
                    line.prefer = news.prefer;
                    line.exclude.clone_from(&news.exclude);
                }
                None => line.waiting = 0,
            }
            self.table.reported(entry.customer, model, waited, line.waiting, merged);
            self.table.wait(entry.customer, model, node, open, line.open(room));
            if line.waiting == 0 && line.promised == 0 {
                queue.lines.remove(&model);
            }
        }
        if let Some(cap) = self.caps.get_mut(&entry.customer) {
            debug_assert!(cap.held >= held, "permits are not conserved for {}", entry.customer);
            cap.held = cap.held - held + after;
            cap.want(node, queue.wanted());
            self.unshared.entry(entry.customer).or_default().insert(node);
        }
    }

    /// Shares out the permits of customers whose wants or permits changed.
    fn share_caps(&mut self, now: Instant) {
        if self.unreported(now) {
            return;
        }
        for (customer, nodes) in std::mem::take(&mut self.unshared) {
            self.share_cap(customer, nodes);
        }
    }

    /// While the free permits suffice, each router gets what it wants. Otherwise each is told an equal share or, if
    /// it wants less, what it wants, and gives back what it holds beyond that as it becomes idle.
    fn share_cap(&mut self, customer: id::Customer, mut nodes: BTreeSet<id::Node>) {
        let Some(cap) = self.caps.get_mut(&customer) else { return };
        let was_scarce = cap.scarce;
        if was_scarce {
            nodes.extend(cap.nodes());
        }
        let lack = |node: &id::Node| {
            let queue = self.peers.get(node).and_then(|peer| peer.queues.get(&customer));
            queue.map_or(0, |queue| cap.wanted(*node).saturating_sub(queue.permitted()))
        };
        let lacking = nodes.iter().map(lack).fold(0, u32::saturating_add);
        let scarce = cap.exceeded() || lacking > cap.free();
        cap.scarce = scarce;
        if scarce {
            // Routers that want nothing may hold idle permits.
            let holds = |peer: &Peer| peer.queues.get(&customer).is_some_and(|q| q.permitted() > 0);
            let holders = self.peers.iter().filter(|(_, peer)| holds(peer));
            nodes.extend(holders.map(|(node, _)| *node));
            nodes.extend(cap.nodes());
        }
        let shares = if scarce { cap.shares() } else { BTreeMap::new() };
        self.table.cap(customer, cap.exceeded());
        for node in nodes {
            let share = scarce.then(|| shares.get(&node).copied().unwrap_or(0));
            self.permit(customer, node, share);
        }
    }

    /// Tells a router its share, and grants the permits that it lacks and that are free.
    fn permit(&mut self, customer: id::Customer, node: id::Node, share: Option<u32>) {
        let Some(cap) = self.caps.get_mut(&customer) else { return };
        let Some(peer) = self.peers.get_mut(&node).filter(|peer| !peer.lapsed && !peer.away) else {
            return;
        };
        let Some(queue) = peer.queues.get_mut(&customer) else { return };
        let (held, old_room) = (queue.permitted(), queue.room());
        let Some(ledger) = queue.permits.as_mut() else { return };
        let target = share.unwrap_or(cap.wanted(node)).min(held.saturating_add(cap.free()));
        let more = target.saturating_sub(ledger.held());
        ledger.grant(more);
        let recalled = share.is_some_and(|share| share < held) && queue.share != share;
        if more > 0 || queue.share != share {
            queue.share = share;
            peer.touch_permits(customer);
        }
        if more > 0 || recalled {
            self.urgent.insert(node);
        }
        let Some(queue) = peer.queues.get(&customer) else { return };
        cap.held = cap.held - held + queue.permitted();
        debug_assert!(more == 0 || cap.held <= cap.limit, "{customer} exceeds its cap");
        let room = queue.room();
        for (model, line) in &queue.lines {
            self.table.wait(customer, *model, node, line.open(old_room), line.open(room));
        }
    }

    fn update_slots(&mut self, node: id::Node, entry: &sched::Slots) {
        self.site(entry.endpoint);
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let ledger = peer.ledgers.entry(entry.endpoint).or_default();
        let (before, was_busy) = (ledger.held(), ledger.busy());
        ledger.report(entry.opening, entry.returned, entry.busy);
        let after = ledger.held();
        if after > 0 && self.sites.get(&entry.endpoint).is_some_and(|site| !site.keep) {
            peer.touch(entry.endpoint);
        }
        if let Some(site) = self.sites.get_mut(&entry.endpoint) {
            debug_assert!(site.held >= before, "slots are not conserved at {}", entry.endpoint);
            site.held = site.held - before + after;
            site.busy = site.busy - was_busy + entry.busy;
        }
    }

    /// Takes back the slots of routers that have been silent for the lapse.
    fn take_back(&mut self, now: Instant) {
        let lapse = self.options.owner_lapse();
        let lapsed = |peer: &Peer| !peer.lapsed && now - peer.received >= lapse;
        let silent: Vec<_> =
            self.peers.iter().filter(|(_, peer)| lapsed(peer)).map(|(node, _)| *node).collect();
        for node in silent {
            self.forget(node);
        }
    }

    /// Tells routers about endpoints whose slots they may no longer keep, or may keep again.
    fn review(&mut self, now: Instant) {
        let view = self.view(now);
        for (endpoint, site) in &mut self.sites {
            let usable = site.usable(now, view);
            let keep = usable > 0 && site.held <= usable;
            if keep == site.keep {
                continue;
            }
            site.keep = keep;
            for (node, peer) in &mut self.peers {
                if !peer.lapsed && peer.held(*endpoint) > 0 {
                    peer.touch(*endpoint);
                    self.urgent.insert(*node);
                }
            }
        }
    }

    /// Grants free slots to the customers with the lowest virtual time.
    fn allocate(&mut self, now: Instant) {
        let view = self.view(now);
        let mut free: BTreeMap<id::Endpoint, u32> = BTreeMap::new();
        for (endpoint, site) in &self.sites {
            let count = site.usable(now, view).saturating_sub(site.held);
            if count > 0 {
                free.insert(*endpoint, count);
            }
        }
        while let Some(pick) = self.pick(&free) {
            self.grant(pick);
            if let Some(count) = free.get_mut(&pick.endpoint) {
                *count -= 1;
            }
            free.retain(|_, count| *count > 0);
        }
    }

    fn pick(&self, free: &BTreeMap<id::Endpoint, u32>) -> Option<Pick> {
        let sites = free.keys().filter_map(|endpoint| self.sites.get(endpoint));
        let models: BTreeSet<_> = sites.flat_map(|site| &site.config.models).copied().collect();
        let firsts = models.iter().filter_map(|model| {
            let mut order = self.table.order(*model).take(CANDIDATES);
            order.find_map(|(clock, customer)| {
                Some((clock, customer, self.pick_for(customer, *model, free)?))
            })
        });
        firsts.min_by_key(|(clock, customer, _)| (*clock, *customer)).map(|(_, _, pick)| pick)
    }

    /// The router and the endpoint for a customer: where most of its requests wait, and the preferred
    /// endpoint if it is free.
    fn pick_for(
        &self,
        customer: id::Customer,
        model: id::Model,
        free: &BTreeMap<id::Endpoint, u32>,
    ) -> Option<Pick> {
        let node = self.table.holder(customer, model)?;
        let line = self.peers.get(&node)?.queues.get(&customer)?.lines.get(&model)?;
        let serves = |endpoint: &id::Endpoint| {
            let site = self.sites.get(endpoint);
            site.is_some_and(|site| site.config.models.contains(&model))
                && !line.exclude.contains(endpoint)
        };
        let preferred = line.prefer.filter(|endpoint| free.contains_key(endpoint));
        let endpoint = preferred.filter(serves).or_else(|| {
            let usable = free.iter().filter(|(endpoint, _)| serves(endpoint));
            usable.max_by_key(|(_, count)| **count).map(|(endpoint, _)| *endpoint)
        })?;
        Some(Pick { customer, model, node, endpoint })
    }

    fn grant(&mut self, pick: Pick) {
        let Some(peer) = self.peers.get_mut(&pick.node) else { return };
        peer.ledgers.entry(pick.endpoint).or_default().grant(1);
        peer.touch(pick.endpoint);
        peer.mention.insert(pick.customer);
        if let Some(site) = self.sites.get_mut(&pick.endpoint) {
            site.held += 1;
        }
        let Some(queue) = peer.queues.get_mut(&pick.customer) else { return };
        let room = queue.room();
        let Some(line) = queue.lines.get_mut(&pick.model) else { return };
        let open = line.open(room);
        line.promised += 1;
        let units = line.estimate;
        let sequence = peer.sent + 1;
        peer.promises.push_back(Promise {
            sequence,
            customer: pick.customer,
            model: pick.model,
            units,
        });
        self.table.wait(pick.customer, pick.model, pick.node, open, line.open(room));
        self.table.promise(pick.customer, units);
        self.urgent.insert(pick.node);
    }

    /// Tells every router that holds slots that others wait. Which of them have idle slots is known too
    /// late to choose among them: a wrong choice would leave a slot idle beyond the limit.
    fn announce(&mut self) {
        let models: Vec<_> =
            self.table.models().filter(|model| !self.announced.contains(model)).collect();
        for model in models {
            let serves = |site: &&Site| site.config.models.contains(&model);
            let sites: Vec<_> =
                self.sites.values().filter(serves).map(|site| site.config.id).collect();
            for (node, peer) in &self.peers {
                let untold = !peer.told.contains(&model) && self.table.elsewhere(model, *node);
                if untold && sites.iter().any(|endpoint| peer.held(*endpoint) > 0) {
                    self.urgent.insert(*node);
                }
            }
            self.announced.insert(model);
        }
    }

    /// Sends the grants that are urgent or due.
    fn flush(&mut self, now: Instant) -> Vec<Action> {
        let late = |peer: &Peer| peer.due.is_some_and(|due| due <= now);
        let due = self.peers.iter().filter(|(_, peer)| late(peer)).map(|(node, _)| *node);
        let mut nodes = std::mem::take(&mut self.urgent);
        nodes.extend(due);
        if nodes.is_empty() {
            return Vec::new();
        }
        let reserve = self.reserve(now);
        nodes.into_iter().filter_map(|to| self.write(reserve, to)).collect()
    }

    fn write(&mut self, reserve: u32, to: id::Node) -> Option<Action> {
        let floors = self.floors(to);
        let peer = self.peers.get_mut(&to).filter(|peer| !peer.lapsed)?;
        peer.due = None;
        peer.sent += 1;
        peer.told =
            floors.iter().filter(|floor| floor.elsewhere).map(|floor| floor.model).collect();
        self.announced.retain(|model| peer.told.contains(model));
        let names = peer.mentions(MENTIONS, MENTIONS_IN_TURN);
        let clocks = names
            .into_iter()
            .map(|customer| Clock {
                customer,
                clock: self.table.clock(customer),
                holders: self.table.holders(customer),
            })
            .collect();
        let mut slots = Vec::new();
        for endpoint in peer.changed() {
            let granted = peer.ledgers.get(&endpoint).map_or(0, Ledger::granted);
            let keep = self.sites.get(&endpoint).is_some_and(|site| site.keep);
            slots.push(Granted { endpoint, granted, keep });
        }
        let message = Grant {
            pool: self.options.pool,
            term: self.term,
            account: peer.account,
            sequence: peer.sent,
            answers: peer.sequence,
            reserve,
            floors,
            clocks,
            slots,
            permits: peer.permits(),
        };
        Some(Action::Send { to, message })
    }

    /// Idle slots that each router may keep while nobody waits: an equal part of half the idle slots, so
    /// that the other half can be granted without being recalled first.
    fn reserve(&self, now: Instant) -> u32 {
        let view = self.view(now);
        let total: u32 = self.sites.values().map(|site| site.usable(now, view)).sum();
        let busy = self.sites.values().map(|site| site.busy).sum();
        let routers = u32::try_from(self.visible.len().max(1)).unwrap_or(u32::MAX);
        (total.saturating_sub(busy) / 2 / routers).max(1)
    }

    fn floors(&self, node: id::Node) -> Vec<Floor> {
        let floor = |model| {
            let (floor, _) = self.table.first(model)?;
            let elsewhere = self.table.elsewhere(model, node);
            Some(Floor { model, floor, elsewhere })
        };
        self.table.models().filter_map(floor).collect()
    }
}
