//! The pool owner: orders customers by virtual time and grants slots to routers.

use {
    crate::pool,
    cap::Cap,
    demand::Table,
    peer::{Ledger, Peer, Reservation},
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

/// Age beyond which a load report is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// Customers examined for one slot. A customer is skipped only if its next request excludes all free endpoints.
const MAX_CANDIDATES: usize = 16;
/// Largest number of virtual times per grant of customers that were just reported or given slots.
const MAX_CHANGED_CLOCKS: usize = 16;
/// Largest number of virtual times per grant that are sent in rotation.
const MAX_ROTATED_CLOCKS: usize = 4;

/// Grants the slots of one pool.
#[derive(Debug)]
pub struct Owner {
    options: pool::Options,
    term: Term,
    /// Time of the first event; the collection of reports starts then.
    started: Option<Instant>,
    collecting: bool,
    /// Routers that membership sees.
    visible: BTreeSet<id::Node>,
    /// Number of routers that membership knows of, whether or not it sees them.
    known_members: usize,
    endpoints: BTreeMap<id::Endpoint, Endpoint>,
    peers: BTreeMap<id::Node, Peer>,
    demands: Table,
    /// Caps on requests in flight of all configured customers.
    caps: BTreeMap<id::Customer, Cap>,
    /// Customers whose permits have to be redistributed, and the routers whose demand for permits changed.
    caps_to_share: BTreeMap<id::Customer, BTreeSet<id::Node>>,
    /// Models for which every router with slots has been told that requests wait at other routers.
    announced_models: BTreeSet<id::Model>,
    /// Routers to which a grant is sent immediately.
    urgent_nodes: BTreeSet<id::Node>,
}

/// An endpoint and the slots granted there.
#[derive(Debug)]
struct Endpoint {
    config: pool::Endpoint,
    /// Time of the last load report, and the requests in it that no router has reported to this owner.
    external_load: Option<(Instant, u32)>,
    /// Whether the endpoint's load report says that it is leaving.
    leaving: bool,
    /// Slots held by all routers.
    held: u32,
    /// Requests in flight, according to the routers' reports.
    busy: u32,
    /// Whether routers may keep or reuse slots.
    may_keep: bool,
}

impl Endpoint {
    /// Slots that the owner may grant. On one side of a partition this is the share of the visible routers, or what
    /// the external load leaves free if that is more.
    fn usable_slots(&self, now: Instant, coverage: Coverage) -> u32 {
        if self.leaving || self.config.leaving {
            return 0;
        }
        let limit = self.config.limit;
        let external_load = match self.external_load {
            Some((at, external_load)) if now - at <= MAX_LOAD_AGE => external_load,
            _ => limit,
        };
        let rest = limit.saturating_sub(external_load);
        match coverage {
            Coverage::Full => limit,
            Coverage::MissingReports => rest,
            Coverage::Partial { visible, known } => {
                let share = u64::from(limit) * visible as u64 / known as u64;
                u32::try_from(share).unwrap_or(limit).max(rest)
            }
        }
    }
}

/// Which part of the fleet the owner has information about.
#[derive(Clone, Copy, Debug)]
enum Coverage {
    /// Every known router.
    Full,
    /// Every known router is visible, but some that may hold slots of an earlier term have not reported.
    MissingReports,
    /// The routers of one side of a partition.
    Partial { visible: usize, known: usize },
}

/// A slot that can be granted now.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    customer: id::Customer,
    model: id::Model,
    node: id::Node,
    endpoint: id::Endpoint,
}

impl Owner {
    /// Creates an owner without state, which collects reports before it grants slots.
    #[must_use]
    pub fn new(options: pool::Options) -> Self {
        Self {
            term: Term { incarnation: options.incarnation, start: options.start },
            options,
            started: None,
            collecting: true,
            visible: BTreeSet::new(),
            known_members: 0,
            endpoints: BTreeMap::new(),
            peers: BTreeMap::new(),
            demands: Table::default(),
            caps: BTreeMap::new(),
            caps_to_share: BTreeMap::new(),
            announced_models: BTreeSet::new(),
            urgent_nodes: BTreeSet::new(),
        }
    }

    /// Applies a router's report.
    pub fn receive(&mut self, now: Instant, from: id::Node, report: &Report) -> Vec<Action> {
        if report.pool != self.options.pool {
            return Vec::new();
        }
        let known = self.peers.get(&from).map(|peer| (peer.account, peer.expired));
        match known {
            Some((account, _)) if account > report.account => return Vec::new(),
            Some((account, false)) if account == report.account => {}
            Some((account, true)) if account == report.account => {
                return self.request_full_report(from, report);
            }
            _ if report.full => self.open_account(now, from, report.account),
            _ => return self.request_full_report(from, report),
        }
        self.apply_report(now, from, report);
        self.advance(now)
    }

    /// Applies an endpoint's load report.
    pub fn load(&mut self, now: Instant, endpoint: id::Endpoint, load: pool::Load) -> Vec<Action> {
        if let Some(state) = self.endpoints.get_mut(&endpoint) {
            state.external_load = Some((now, load.running.saturating_sub(state.busy)));
            state.leaving = load.leaving;
        }
        self.advance(now)
    }

    /// Sets the routers that membership sees, and the number of routers that it knows of.
    pub fn members(&mut self, now: Instant, visible: &[id::Node], known: usize) -> Vec<Action> {
        self.visible = visible.iter().copied().collect();
        self.known_members = known;
        let nodes: Vec<_> = self.peers.keys().copied().collect();
        for node in nodes {
            if !self.visible.contains(&node) {
                self.set_unreachable(node, true);
            }
        }
        self.advance(now)
    }

    /// Sets the endpoints of the configuration in force. Endpoints no longer configured count as leaving.
    pub fn endpoints(&mut self, now: Instant, endpoints: &[pool::Endpoint]) -> Vec<Action> {
        for state in self.endpoints.values_mut() {
            state.config.leaving = true;
        }
        for endpoint in endpoints {
            let config = endpoint.clone();
            self.endpoint_state(endpoint.id).config = config;
        }
        self.advance(now)
    }

    /// Sets the customers of the configuration in force.
    pub fn customers(&mut self, now: Instant, customers: &[pool::Customer]) -> Vec<Action> {
        for customer in customers {
            self.demands.set_weight(customer.id, customer.weight);
            let cap = self.caps.entry(customer.id).or_insert_with(|| {
                // Routers may have reported the customer before its configuration arrived here.
                let mut cap = Cap::new(customer.max_in_flight);
                for (node, peer) in &self.peers {
                    let Some(queue) = peer.queues.get(&customer.id) else { continue };
                    cap.held += queue.permits_held();
                    cap.set_wanted(
                        *node,
                        if peer.unreachable { 0 } else { queue.permits_wanted() },
                    );
                }
                self.caps_to_share.entry(customer.id).or_default().extend(cap.wanting_routers());
                cap
            });
            if cap.limit != customer.max_in_flight {
                cap.limit = customer.max_in_flight;
                self.caps_to_share.entry(customer.id).or_default().extend(cap.wanting_routers());
            }
        }
        self.advance(now)
    }

    /// Reclaims expired slots, ends the collection of reports and sends the grants that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.advance(now)
    }

    /// The earliest time at which [`Self::tick`] has something to do.
    #[must_use]
    pub fn next_tick(&self) -> Instant {
        let collected =
            self.started.filter(|_| self.collecting).map(|at| at + self.options.collection_period);
        let timeout = self.options.reclaim_timeout();
        let peers = self.peers.values().filter(|peer| !peer.expired);
        let times = peers.flat_map(|peer| [Some(peer.last_report_at + timeout), peer.answer_due]);
        times.chain([collected]).flatten().min().unwrap_or(Instant::from_micros(u64::MAX))
    }

    fn advance(&mut self, now: Instant) -> Vec<Action> {
        self.update_collecting(now);
        self.reclaim_expired(now);
        self.update_may_keep(now);
        if !self.collecting {
            self.share_permits(now);
            self.allocate_slots(now);
            self.announce_waiting();
        }
        self.send_due_grants(now)
    }

    fn endpoint_state(&mut self, endpoint: id::Endpoint) -> &mut Endpoint {
        self.endpoints.entry(endpoint).or_insert_with(|| {
            // A router reported the endpoint before the configuration named it.
            let mut config = pool::Endpoint::new(endpoint, 0, Vec::new());
            config.leaving = true;
            Endpoint {
                config,
                external_load: None,
                leaving: false,
                held: 0,
                busy: 0,
                may_keep: true,
            }
        })
    }

    fn update_collecting(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        if !self.collecting {
            return;
        }
        let all = self.visible.iter().all(|node| self.peers.contains_key(node));
        if (all && !self.visible.is_empty()) || now - started >= self.options.collection_period {
            self.collecting = false;
        }
    }

    fn coverage(&self, now: Instant) -> Coverage {
        let (visible, known) = (self.visible.len(), self.known_members);
        if visible < known {
            return Coverage::Partial { visible, known };
        }
        if self.is_missing_reports(now) { Coverage::MissingReports } else { Coverage::Full }
    }

    /// Whether a visible router that has not reported may hold slots or permits of an earlier term.
    fn is_missing_reports(&self, now: Instant) -> bool {
        // Everything granted in an earlier term has expired after this time.
        let young = self.started.is_none_or(|at| now - at < self.options.reclaim_timeout());
        young && self.visible.iter().any(|node| !self.peers.contains_key(node))
    }

    /// Asks the router for a full report in a new account.
    fn request_full_report(&self, to: id::Node, report: &Report) -> Vec<Action> {
        let message = Grant {
            pool: self.options.pool,
            term: self.term,
            account: report.account,
            ..Grant::default()
        };
        vec![Action::Send { to, message }]
    }

    fn open_account(&mut self, now: Instant, node: id::Node, account: u64) {
        self.drop_account(node);
        self.peers.insert(node, Peer::new(account, now));
        self.announced_models.clear();
    }

    /// Discards what the router reported and reclaims the slots and permits that it held.
    fn drop_account(&mut self, node: id::Node) {
        self.set_unreachable(node, true);
        let Some(peer) = self.peers.get_mut(&node) else { return };
        for pending in peer.pending_grants.drain(..) {
            self.demands.remove_expected_charge(pending.customer, pending.units);
        }
        for (customer, queue) in std::mem::take(&mut peer.queues) {
            if let Some(cap) = self.caps.get_mut(&customer) {
                cap.held -= queue.permits_held();
                cap.set_wanted(node, 0);
                self.caps_to_share.entry(customer).or_default().insert(node);
            }
            for (model, model_queue) in queue.model_queues {
                self.demands.update_reported(customer, model, model_queue.waiting, 0, false);
            }
        }
        for (endpoint, ledger) in std::mem::take(&mut peer.ledgers) {
            if let Some(state) = self.endpoints.get_mut(&endpoint) {
                state.held -= ledger.held();
                state.busy -= ledger.busy();
            }
        }
        peer.expired = true;
        peer.answer_due = None;
        self.urgent_nodes.remove(&node);
    }

    fn set_unreachable(&mut self, node: id::Node, unreachable: bool) {
        let Some(peer) = self.peers.get_mut(&node).filter(|peer| peer.unreachable != unreachable)
        else {
            return;
        };
        peer.unreachable = unreachable;
        for (customer, queue) in &peer.queues {
            if let Some(cap) = self.caps.get_mut(customer) {
                cap.set_wanted(node, if unreachable { 0 } else { queue.permits_wanted() });
                self.caps_to_share.entry(*customer).or_default().insert(node);
            }
            for (model, model_queue) in &queue.model_queues {
                let lacking = model_queue.lacking_slots(queue.startable());
                let (before, after) = if unreachable { (lacking, 0) } else { (0, lacking) };
                self.demands.update_waiting(*customer, *model, node, before, after);
            }
        }
    }

    fn apply_report(&mut self, now: Instant, from: id::Node, report: &Report) {
        self.set_unreachable(from, false);
        let Some(peer) = self.peers.get_mut(&from) else { return };
        if report.sequence <= peer.last_report {
            return;
        }
        let first_report = peer.last_report == 0;
        peer.last_report = report.sequence;
        peer.last_report_at = now;
        peer.answer_due.get_or_insert(now + self.options.max_answer_delay);
        peer.acknowledge_grants(report.heard);
        self.drop_received_grants(from, report.heard);
        for entry in &report.queues {
            self.update_queue(from, entry, first_report);
        }
        for entry in &report.slots {
            self.update_slots(from, entry);
        }
        if first_report {
            self.demands.limit_lead(self.options.max_catch_up);
        }
    }

    /// Drops the pending grants that the router has received: its reports include their effect from now on.
    fn drop_received_grants(&mut self, node: id::Node, acknowledged: u64) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        while let Some(pending) = peer.pending_grants.front().copied() {
            if pending.sequence > acknowledged {
                break;
            }
            peer.pending_grants.pop_front();
            self.demands.remove_expected_charge(pending.customer, pending.units);
            let Some(queue) = peer.queues.get_mut(&pending.customer) else { continue };
            let startable = queue.startable();
            if let Some(model_queue) = queue.model_queues.get_mut(&pending.model) {
                let before = model_queue.lacking_slots(startable);
                model_queue.pending_slots = model_queue.pending_slots.saturating_sub(1);
                self.demands.update_waiting(
                    pending.customer,
                    pending.model,
                    node,
                    before,
                    model_queue.lacking_slots(startable),
                );
            }
        }
    }

    fn update_queue(&mut self, node: id::Node, entry: &sched::Queue, first_report: bool) {
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let queue = peer.queues.entry(entry.customer).or_default();
        let merged = first_report && entry.clock.is_some();
        match entry.clock {
            Some(clock) if first_report => self.demands.merge_virtual_time(entry.customer, clock),
            _ => self.demands.apply_charge(entry.customer, entry.charged - queue.charged),
        }
        queue.charged = entry.charged;
        if !entry.lines.is_empty() {
            peer.pending_clocks.insert(entry.customer);
        }
        let (held, old_startable) = (queue.permits_held(), queue.startable());
        match &entry.permits {
            Some(permits) => {
                let ledger = queue.permits.get_or_insert_default();
                ledger.report(permits.opening, permits.returned, permits.busy);
            }
            None => queue.permits = None,
        }
        let startable = queue.startable();
        let after = queue.permits_held();
        let old = queue.model_queues.keys().copied();
        let models: BTreeSet<_> =
            old.chain(entry.lines.iter().map(|model_queue| model_queue.model)).collect();
        for model in models {
            let model_queue = queue.model_queues.entry(model).or_default();
            let (waited, lacking) = (model_queue.waiting, model_queue.lacking_slots(old_startable));
            match entry.lines.iter().find(|model_queue| model_queue.model == model) {
                Some(reported) => {
                    model_queue.waiting = reported.waiting;
                    model_queue.estimate = reported.estimate.min(self.options.max_request);
                    model_queue.prefer = reported.prefer;
                    model_queue.exclude.clone_from(&reported.exclude);
                }
                None => model_queue.waiting = 0,
            }
            self.demands.update_reported(
                entry.customer,
                model,
                waited,
                model_queue.waiting,
                merged,
            );
            self.demands.update_waiting(
                entry.customer,
                model,
                node,
                lacking,
                model_queue.lacking_slots(startable),
            );
            if model_queue.waiting == 0 && model_queue.pending_slots == 0 {
                queue.model_queues.remove(&model);
            }
        }
        if let Some(cap) = self.caps.get_mut(&entry.customer) {
            debug_assert!(cap.held >= held, "permits are not conserved for {}", entry.customer);
            cap.held = cap.held - held + after;
            cap.set_wanted(node, queue.permits_wanted());
            self.caps_to_share.entry(entry.customer).or_default().insert(node);
        }
    }

    /// Redistributes the permits of customers for which a router's demand or permits changed.
    fn share_permits(&mut self, now: Instant) {
        if self.is_missing_reports(now) {
            return;
        }
        for (customer, nodes) in std::mem::take(&mut self.caps_to_share) {
            self.share_customer_permits(customer, nodes);
        }
    }

    /// While the free permits suffice, each router gets the permits that it wants. Otherwise each router is sent its
    /// share, which is an equal part of the cap or the number it wants if that is less, and returns permits beyond
    /// its share as they become idle.
    fn share_customer_permits(&mut self, customer: id::Customer, mut nodes: BTreeSet<id::Node>) {
        let Some(cap) = self.caps.get_mut(&customer) else { return };
        let was_scarce = cap.scarce;
        if was_scarce {
            nodes.extend(cap.wanting_routers());
        }
        let lack = |node: &id::Node| {
            let queue = self.peers.get(node).and_then(|peer| peer.queues.get(&customer));
            queue.map_or(0, |queue| cap.wanted_by(*node).saturating_sub(queue.permits_held()))
        };
        let lacking = nodes.iter().map(lack).fold(0, u32::saturating_add);
        let scarce = cap.exceeded() || lacking > cap.free();
        cap.scarce = scarce;
        if scarce {
            // Routers that want no permits may hold idle ones.
            let holds =
                |peer: &Peer| peer.queues.get(&customer).is_some_and(|q| q.permits_held() > 0);
            let holders = self.peers.iter().filter(|(_, peer)| holds(peer));
            nodes.extend(holders.map(|(node, _)| *node));
            nodes.extend(cap.wanting_routers());
        }
        let shares = if scarce { cap.compute_shares() } else { BTreeMap::new() };
        self.demands.set_capped(customer, cap.exceeded());
        for node in nodes {
            let share = scarce.then(|| shares.get(&node).copied().unwrap_or(0));
            self.grant_permits(customer, node, share);
        }
    }

    /// Sets a router's share, and grants the free permits that it lacks.
    fn grant_permits(&mut self, customer: id::Customer, node: id::Node, share: Option<u32>) {
        let Some(cap) = self.caps.get_mut(&customer) else { return };
        let Some(peer) =
            self.peers.get_mut(&node).filter(|peer| !peer.expired && !peer.unreachable)
        else {
            return;
        };
        let Some(queue) = peer.queues.get_mut(&customer) else { return };
        let (held, old_startable) = (queue.permits_held(), queue.startable());
        let Some(ledger) = queue.permits.as_mut() else { return };
        let target = share.unwrap_or(cap.wanted_by(node)).min(held.saturating_add(cap.free()));
        let more = target.saturating_sub(ledger.held());
        ledger.grant(more);
        let recalled = share.is_some_and(|share| share < held) && queue.share != share;
        if more > 0 || queue.share != share {
            queue.share = share;
            peer.mark_permits_changed(customer);
        }
        if more > 0 || recalled {
            self.urgent_nodes.insert(node);
        }
        let Some(queue) = peer.queues.get(&customer) else { return };
        cap.held = cap.held - held + queue.permits_held();
        debug_assert!(more == 0 || cap.held <= cap.limit, "{customer} exceeds its cap");
        let startable = queue.startable();
        for (model, model_queue) in &queue.model_queues {
            self.demands.update_waiting(
                customer,
                *model,
                node,
                model_queue.lacking_slots(old_startable),
                model_queue.lacking_slots(startable),
            );
        }
    }

    fn update_slots(&mut self, node: id::Node, entry: &sched::Slots) {
        self.endpoint_state(entry.endpoint);
        let Some(peer) = self.peers.get_mut(&node) else { return };
        let ledger = peer.ledgers.entry(entry.endpoint).or_default();
        let (before, was_busy) = (ledger.held(), ledger.busy());
        ledger.report(entry.opening, entry.returned, entry.busy);
        let after = ledger.held();
        if after > 0 && self.endpoints.get(&entry.endpoint).is_some_and(|state| !state.may_keep) {
            peer.mark_slots_changed(entry.endpoint);
        }
        if let Some(state) = self.endpoints.get_mut(&entry.endpoint) {
            debug_assert!(state.held >= before, "slots are not conserved at {}", entry.endpoint);
            state.held = state.held - before + after;
            state.busy = state.busy - was_busy + entry.busy;
        }
    }

    /// Reclaims the slots of routers that have not reported within the reclaim timeout.
    fn reclaim_expired(&mut self, now: Instant) {
        let timeout = self.options.reclaim_timeout();
        let expired = |peer: &Peer| !peer.expired && now - peer.last_report_at >= timeout;
        let silent: Vec<_> =
            self.peers.iter().filter(|(_, peer)| expired(peer)).map(|(node, _)| *node).collect();
        for node in silent {
            self.drop_account(node);
        }
    }

    /// Updates whether routers may keep slots at each endpoint, and schedules grants that tell them.
    fn update_may_keep(&mut self, now: Instant) {
        let coverage = self.coverage(now);
        for (endpoint, state) in &mut self.endpoints {
            let usable = state.usable_slots(now, coverage);
            let keep = usable > 0 && state.held <= usable;
            if keep == state.may_keep {
                continue;
            }
            state.may_keep = keep;
            for (node, peer) in &mut self.peers {
                if !peer.expired && peer.held(*endpoint) > 0 {
                    peer.mark_slots_changed(*endpoint);
                    self.urgent_nodes.insert(*node);
                }
            }
        }
    }

    /// Grants free slots to the customers with the lowest virtual time.
    fn allocate_slots(&mut self, now: Instant) {
        let coverage = self.coverage(now);
        let mut free: BTreeMap<id::Endpoint, u32> = BTreeMap::new();
        for (endpoint, state) in &self.endpoints {
            let count = state.usable_slots(now, coverage).saturating_sub(state.held);
            if count > 0 {
                free.insert(*endpoint, count);
            }
        }
        while let Some(grant) = self.next_slot_grant(&free) {
            self.grant_slot(grant);
            if let Some(count) = free.get_mut(&grant.endpoint) {
                *count -= 1;
            }
            free.retain(|_, count| *count > 0);
        }
    }

    fn next_slot_grant(&self, free: &BTreeMap<id::Endpoint, u32>) -> Option<Candidate> {
        let endpoints = free.keys().filter_map(|endpoint| self.endpoints.get(endpoint));
        let models: BTreeSet<_> =
            endpoints.flat_map(|state| &state.config.models).copied().collect();
        let candidates = models.iter().filter_map(|model| {
            let mut order = self.demands.customers_in_order(*model).take(MAX_CANDIDATES);
            order.find_map(|(clock, customer)| {
                Some((clock, customer, self.slot_grant_for(customer, *model, free)?))
            })
        });
        candidates.min_by_key(|(clock, customer, _)| (*clock, *customer)).map(|(_, _, grant)| grant)
    }

    /// Chooses the router at which most of the customer's requests wait, and the preferred endpoint if it has a free
    /// slot.
    fn slot_grant_for(
        &self,
        customer: id::Customer,
        model: id::Model,
        free: &BTreeMap<id::Endpoint, u32>,
    ) -> Option<Candidate> {
        let node = self.demands.router_with_most_waiting(customer, model)?;
        let model_queue = self.peers.get(&node)?.queues.get(&customer)?.model_queues.get(&model)?;
        let serves = |endpoint: &id::Endpoint| {
            let state = self.endpoints.get(endpoint);
            state.is_some_and(|state| state.config.models.contains(&model))
                && !model_queue.exclude.contains(endpoint)
        };
        let preferred = model_queue.prefer.filter(|endpoint| free.contains_key(endpoint));
        let endpoint = preferred.filter(serves).or_else(|| {
            let usable = free.iter().filter(|(endpoint, _)| serves(endpoint));
            usable.max_by_key(|(_, count)| **count).map(|(endpoint, _)| *endpoint)
        })?;
        Some(Candidate { customer, model, node, endpoint })
    }

    fn grant_slot(&mut self, grant: Candidate) {
        let Some(peer) = self.peers.get_mut(&grant.node) else { return };
        peer.ledgers.entry(grant.endpoint).or_default().grant(1);
        peer.mark_slots_changed(grant.endpoint);
        peer.pending_clocks.insert(grant.customer);
        if let Some(state) = self.endpoints.get_mut(&grant.endpoint) {
            state.held += 1;
        }
        let Some(queue) = peer.queues.get_mut(&grant.customer) else { return };
        let startable = queue.startable();
        let Some(model_queue) = queue.model_queues.get_mut(&grant.model) else { return };
        let lacking = model_queue.lacking_slots(startable);
        model_queue.pending_slots += 1;
        let units = model_queue.estimate;
        let sequence = peer.last_grant + 1;
        peer.pending_grants.push_back(Reservation {
            sequence,
            customer: grant.customer,
            model: grant.model,
            units,
        });
        self.demands.update_waiting(
            grant.customer,
            grant.model,
            grant.node,
            lacking,
            model_queue.lacking_slots(startable),
        );
        self.demands.add_expected_charge(grant.customer, units);
        self.urgent_nodes.insert(grant.node);
    }

    /// Tells every router that holds slots that requests wait at other routers. The owner learns too late which of
    /// these routers have idle slots to choose among them: a wrong choice would leave a slot idle beyond the limit.
    fn announce_waiting(&mut self) {
        let models: Vec<_> = self
            .demands
            .waiting_models()
            .filter(|model| !self.announced_models.contains(model))
            .collect();
        for model in models {
            let serves = |state: &&Endpoint| state.config.models.contains(&model);
            let endpoints: Vec<_> =
                self.endpoints.values().filter(serves).map(|state| state.config.id).collect();
            for (node, peer) in &self.peers {
                let unannounced = !peer.announced_models.contains(&model)
                    && self.demands.waits_elsewhere(model, *node);
                if unannounced && endpoints.iter().any(|endpoint| peer.held(*endpoint) > 0) {
                    self.urgent_nodes.insert(*node);
                }
            }
            self.announced_models.insert(model);
        }
    }

    /// Sends the grants that are urgent or due.
    fn send_due_grants(&mut self, now: Instant) -> Vec<Action> {
        let is_due = |peer: &Peer| peer.answer_due.is_some_and(|due| due <= now);
        let due = self.peers.iter().filter(|(_, peer)| is_due(peer)).map(|(node, _)| *node);
        let mut nodes = std::mem::take(&mut self.urgent_nodes);
        nodes.extend(due);
        if nodes.is_empty() {
            return Vec::new();
        }
        let reserve = self.idle_reserve(now);
        nodes.into_iter().filter_map(|to| self.build_grant(reserve, to)).collect()
    }

    fn build_grant(&mut self, reserve: u32, to: id::Node) -> Option<Action> {
        let floors = self.floors_for(to);
        let peer = self.peers.get_mut(&to).filter(|peer| !peer.expired)?;
        peer.answer_due = None;
        peer.last_grant += 1;
        peer.announced_models =
            floors.iter().filter(|floor| floor.elsewhere).map(|floor| floor.model).collect();
        self.announced_models.retain(|model| peer.announced_models.contains(model));
        let customers = peer.take_clock_updates(MAX_CHANGED_CLOCKS, MAX_ROTATED_CLOCKS);
        let clocks = customers
            .into_iter()
            .map(|customer| Clock {
                customer,
                clock: self.demands.virtual_time(customer),
                holders: self.demands.waiting_routers(customer),
            })
            .collect();
        let mut slots = Vec::new();
        for endpoint in peer.changed_slots() {
            let granted = peer.ledgers.get(&endpoint).map_or(0, Ledger::granted);
            let keep = self.endpoints.get(&endpoint).is_some_and(|state| state.may_keep);
            slots.push(Granted { endpoint, granted, keep });
        }
        let message = Grant {
            pool: self.options.pool,
            term: self.term,
            account: peer.account,
            sequence: peer.last_grant,
            answers: peer.last_report,
            reserve,
            floors,
            clocks,
            slots,
            permits: peer.permits(),
        };
        Some(Action::Send { to, message })
    }

    /// Number of idle slots that each router may keep while no request waits: an equal part of half the idle slots,
    /// so that the other half can be granted without being recalled first.
    fn idle_reserve(&self, now: Instant) -> u32 {
        let coverage = self.coverage(now);
        let total: u32 =
            self.endpoints.values().map(|state| state.usable_slots(now, coverage)).sum();
        let busy = self.endpoints.values().map(|state| state.busy).sum();
        let routers = u32::try_from(self.visible.len().max(1)).unwrap_or(u32::MAX);
        (total.saturating_sub(busy) / 2 / routers).max(1)
    }

    fn floors_for(&self, node: id::Node) -> Vec<Floor> {
        let floor = |model| {
            let (floor, _) = self.demands.next_customer(model)?;
            let elsewhere = self.demands.waits_elsewhere(model, node);
            Some(Floor { model, floor, elsewhere })
        };
        self.demands.waiting_models().filter_map(floor).collect()
    }
}
