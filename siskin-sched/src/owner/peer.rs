//! The owner's state for one router.

use {
    siskin_types::{cost::Units, id, time::Instant},
    siskin_wire::sched,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Slots of one router at one endpoint, or permits of one customer at one router, as running totals of the router's
/// account.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    opening: u32,
    granted: u64,
    returned: u64,
    busy: u32,
}

impl Ledger {
    pub(super) fn held(&self) -> u32 {
        debug_assert!(
            u64::from(self.opening) + self.granted >= self.returned,
            "more slots returned than granted"
        );
        let held = (u64::from(self.opening) + self.granted).saturating_sub(self.returned);
        u32::try_from(held).unwrap_or(u32::MAX)
    }

    pub(super) fn busy(&self) -> u32 {
        self.busy
    }

    pub(super) fn grant(&mut self, count: u32) {
        self.granted += u64::from(count);
    }

    pub(super) fn granted(&self) -> u64 {
        self.granted
    }

    pub(super) fn report(&mut self, opening: u32, returned: u64, busy: u32) {
        debug_assert!(returned >= self.returned, "the total of returned slots went down");
        self.opening = opening;
        self.returned = returned.max(self.returned);
        self.busy = busy;
    }
}

/// Waiting requests of one customer for one model at one router.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    pub(super) waiting: u32,
    /// Slots granted for these requests in grants that the router has not acknowledged.
    pub(super) pending_slots: u32,
    pub(super) estimate: Units,
    pub(super) prefer: Option<id::Endpoint>,
    pub(super) exclude: Vec<id::Endpoint>,
}

impl Backlog {
    /// Number of requests without a granted slot, of at most `startable` requests that may start.
    pub(super) fn lacking_slots(&self, startable: u32) -> u32 {
        self.waiting.min(startable).saturating_sub(self.pending_slots)
    }
}

/// One customer at one router.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Total of units charged by the router in its account.
    pub(super) charged: i64,
    pub(super) model_queues: BTreeMap<id::Model, Backlog>,
    /// Permits, if the router reports that the customer's requests need them.
    pub(super) permits: Option<Ledger>,
    /// The router's share of a scarce cap, as last sent to it.
    pub(super) share: Option<u32>,
}

impl Queue {
    /// Permits held. Requests that started before the customer needed permits count as if they held one.
    pub(super) fn permits_held(&self) -> u32 {
        self.permits.as_ref().map_or(0, |ledger| ledger.held().max(ledger.busy()))
    }

    /// Requests that the router may start.
    pub(super) fn startable(&self) -> u32 {
        let idle = |ledger: &Ledger| ledger.held().saturating_sub(ledger.busy());
        self.permits.as_ref().map_or(u32::MAX, idle)
    }

    /// Permits that the router can use for its requests waiting and in flight.
    pub(super) fn permits_wanted(&self) -> u32 {
        let Some(ledger) = &self.permits else { return 0 };
        let waiting = self.model_queues.values().map(|model_queue| model_queue.waiting);
        waiting.fold(ledger.busy(), u32::saturating_add)
    }
}

/// A granted slot that the router has not acknowledged, and the customer and model that it was granted for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    pub(super) sequence: u64,
    pub(super) customer: id::Customer,
    pub(super) model: id::Model,
    pub(super) units: Units,
}

/// One router.
#[derive(Debug)]
pub(super) struct Peer {
    /// Number of the router's current account.
    pub(super) account: u64,
    /// Sequence of the newest report applied.
    pub(super) last_report: u64,
    /// When that report arrived.
    pub(super) last_report_at: Instant,
    /// Whether its slots were reclaimed, after which the account is no longer valid.
    pub(super) expired: bool,
    /// Whether it is missing from the visible members, so that it gets no slots until it reports again.
    pub(super) unreachable: bool,
    /// Sequence of the last grant sent.
    pub(super) last_grant: u64,
    pub(super) ledgers: BTreeMap<id::Endpoint, Ledger>,
    pub(super) queues: BTreeMap<id::Customer, Queue>,
    pub(super) pending_grants: VecDeque<Reservation>,
    /// Endpoints whose latest entry the router has not acknowledged, with the sequence of the grant that first
    /// carries it.
    changed_slots: BTreeMap<id::Endpoint, u64>,
    /// Customers whose permits the router has not acknowledged, likewise.
    changed_permits: BTreeMap<id::Customer, u64>,
    /// Models for which the router was told that requests wait at other routers.
    pub(super) announced_models: BTreeSet<id::Model>,
    /// Customers whose virtual time the next grant should carry.
    pub(super) pending_clocks: BTreeSet<id::Customer>,
    /// Last customer whose virtual time was sent in rotation.
    pub(super) rotation_cursor: id::Customer,
    /// Latest time for the answer to a report.
    pub(super) answer_due: Option<Instant>,
}

impl Peer {
    pub(super) fn new(account: u64, now: Instant) -> Self {
        Self {
            account,
            last_report: 0,
            last_report_at: now,
            expired: false,
            unreachable: false,
            last_grant: 0,
            ledgers: BTreeMap::new(),
            queues: BTreeMap::new(),
            pending_grants: VecDeque::new(),
            changed_slots: BTreeMap::new(),
            changed_permits: BTreeMap::new(),
            announced_models: BTreeSet::new(),
            pending_clocks: BTreeSet::new(),
            rotation_cursor: id::Customer(0),
            answer_due: None,
        }
    }

    /// Includes the entry of `endpoint` in grants until the router acknowledges it.
    pub(super) fn mark_slots_changed(&mut self, endpoint: id::Endpoint) {
        self.changed_slots.insert(endpoint, self.last_grant + 1);
    }

    /// Includes the permits of `customer` in grants until the router acknowledges them.
    pub(super) fn mark_permits_changed(&mut self, customer: id::Customer) {
        self.changed_permits.insert(customer, self.last_grant + 1);
    }

    /// Permits that the next grant carries.
    pub(super) fn permits(&self) -> Vec<sched::Permitted> {
        let entry = |customer: &id::Customer| {
            let queue = self.queues.get(customer)?;
            let granted = queue.permits.as_ref()?.granted();
            Some(sched::Permitted { customer: *customer, granted, share: queue.share })
        };
        self.changed_permits.keys().filter_map(entry).collect()
    }

    pub(super) fn changed_slots(&self) -> impl Iterator<Item = id::Endpoint> {
        self.changed_slots.keys().copied()
    }

    pub(super) fn acknowledge_grants(&mut self, sequence: u64) {
        self.changed_slots.retain(|_, first| *first > sequence);
        self.changed_permits.retain(|_, first| *first > sequence);
    }

    /// Slots held at `endpoint`.
    pub(super) fn held(&self, endpoint: id::Endpoint) -> u32 {
        self.ledgers.get(&endpoint).map_or(0, Ledger::held)
    }

    /// The customers whose virtual times the next grant carries: those that are pending, then some of the others
    /// queued here in rotation.
    pub(super) fn take_clock_updates(&mut self, most: usize, rotated: usize) -> Vec<id::Customer> {
        let waits = |queue: &Queue| !queue.model_queues.is_empty();
        let mut customers: Vec<_> = std::mem::take(&mut self.pending_clocks)
            .into_iter()
            .filter(|customer| self.queues.get(customer).is_some_and(waits))
            .take(most)
            .collect();
        let start = id::Customer(self.rotation_cursor.0.wrapping_add(1));
        let later = self.queues.range(start..);
        let rotation: Vec<_> = later
            .chain(self.queues.range(..start))
            .filter(|(_, queue)| waits(queue))
            .map(|(customer, _)| *customer)
            .take(rotated)
            .collect();
        self.rotation_cursor = rotation.last().copied().unwrap_or(self.rotation_cursor);
        customers.extend(rotation);
        customers.sort_unstable();
        customers.dedup();
        customers
    }
}
