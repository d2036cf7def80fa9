//! What the owner knows of one router.

use {
    siskin_types::{cost::Units, id, time::Instant},
    siskin_wire::sched,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Slots of one router at one endpoint, as totals of its account.
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
pub(super) struct Line {
    pub(super) waiting: u32,
    /// Slots granted for these requests that the router has not yet heard of.
    pub(super) promised: u32,
    pub(super) estimate: Units,
    pub(super) prefer: Option<id::Endpoint>,
    pub(super) exclude: Vec<id::Endpoint>,
}

impl Line {
    /// Requests for which no slot is under way, of those that `room` permits to run.
    pub(super) fn open(&self, room: u32) -> u32 {
        self.waiting.min(room).saturating_sub(self.promised)
    }
}

/// One customer at one router.
#[derive(Debug, Default)]
pub(super) struct Queue {
    pub(super) charged: i64,
    pub(super) lines: BTreeMap<id::Model, Line>,
    /// Permits, if the router says that it needs them.
    pub(super) permits: Option<Ledger>,
    /// The share of a scarce cap that the router was told.
    pub(super) share: Option<u32>,
}

impl Queue {
    /// Permits held. Requests that started before the cap was bound count as if they had one.
    pub(super) fn permitted(&self) -> u32 {
        self.permits.as_ref().map_or(0, |ledger| ledger.held().max(ledger.busy()))
    }

    /// Requests that the router may start.
    pub(super) fn room(&self) -> u32 {
        let idle = |ledger: &Ledger| ledger.held().saturating_sub(ledger.busy());
        self.permits.as_ref().map_or(u32::MAX, idle)
    }

    /// Permits that the router can use.
    pub(super) fn wanted(&self) -> u32 {
        let Some(ledger) = &self.permits else { return 0 };
        let waiting = self.lines.values().map(|line| line.waiting);
        waiting.fold(ledger.busy(), u32::saturating_add)
    }
}

/// A slot granted but not yet heard of, and the request for which it was meant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    pub(super) sequence: u64,
    pub(super) customer: id::Customer,
    pub(super) model: id::Model,
    pub(super) units: Units,
}

/// One router.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) account: u64,
    /// Sequence of the newest report applied.
    pub(super) sequence: u64,
    /// When that report arrived.
    pub(super) received: Instant,
    /// Whether its slots were taken back; the account is then dead.
    pub(super) lapsed: bool,
    /// Whether membership cannot see it, so that it gets no slots until it reports again.
    pub(super) away: bool,
    /// Sequence of the last grant sent.
    pub(super) sent: u64,
    pub(super) ledgers: BTreeMap<id::Endpoint, Ledger>,
    pub(super) queues: BTreeMap<id::Customer, Queue>,
    pub(super) promises: VecDeque<Promise>,
    /// Endpoints whose entry the router has not acknowledged, with the grant that first carries it.
    changed: BTreeMap<id::Endpoint, u64>,
    /// Customers whose permits the router has not acknowledged, likewise.
    permitted: BTreeMap<id::Customer, u64>,
    /// Models for which the router was told that others wait.
    pub(super) told: BTreeSet<id::Model>,
    /// Customers whose virtual time the next grant carries.
    pub(super) mention: BTreeSet<id::Customer>,
    /// Last customer mentioned in turn.
    pub(super) cursor: id::Customer,
    /// When an answer is due at the latest.
    pub(super) due: Option<Instant>,
}

impl Peer {
    pub(super) fn new(account: u64, now: Instant) -> Self {
        Self {
            account,
            sequence: 0,
            received: now,
            lapsed: false,
            away: false,
            sent: 0,
            ledgers: BTreeMap::new(),
            queues: BTreeMap::new(),
            promises: VecDeque::new(),
            changed: BTreeMap::new(),
            permitted: BTreeMap::new(),
            told: BTreeSet::new(),
            mention: BTreeSet::new(),
            cursor: id::Customer(0),
            due: None,
        }
    }

    /// Notes that the entry of `endpoint` goes into grants until acknowledged.
    pub(super) fn touch(&mut self, endpoint: id::Endpoint) {
        self.changed.insert(endpoint, self.sent + 1);
    }

    /// Notes that the permits of `customer` go into grants until acknowledged.
    pub(super) fn touch_permits(&mut self, customer: id::Customer) {
        self.permitted.insert(customer, self.sent + 1);
    }

    /// Permits that the next grant carries.
    pub(super) fn permits(&self) -> Vec<sched::Permitted> {
        let entry = |customer: &id::Customer| {
            let queue = self.queues.get(customer)?;
            let granted = queue.permits.as_ref()?.granted();
            Some(sched::Permitted { customer: *customer, granted, share: queue.share })
        };
        self.permitted.keys().filter_map(entry).collect()
    }

    pub(super) fn changed(&self) -> impl Iterator<Item = id::Endpoint> {
        self.changed.keys().copied()
    }

    pub(super) fn heard(&mut self, sequence: u64) {
        self.changed.retain(|_, first| *first > sequence);
        self.permitted.retain(|_, first| *first > sequence);
    }

    /// Slots held at `endpoint`.
    pub(super) fn held(&self, endpoint: id::Endpoint) -> u32 {
        self.ledgers.get(&endpoint).map_or(0, Ledger::held)
    }

    /// The customers to mention next: those asked for, then some of those queued here in turn.
    pub(super) fn mentions(&mut self, most: usize, in_turn: usize) -> Vec<id::Customer> {
        let waits = |queue: &Queue| !queue.lines.is_empty();
        let mut names: Vec<_> = std::mem::take(&mut self.mention)
            .into_iter()
            .filter(|customer| self.queues.get(customer).is_some_and(waits))
            .take(most)
            .collect();
        let start = id::Customer(self.cursor.0.wrapping_add(1));
        let later = self.queues.range(start..);
        let turn: Vec<_> = later
            .chain(self.queues.range(..start))
            .filter(|(_, queue)| waits(queue))
            .map(|(customer, _)| *customer)
            .take(in_turn)
            .collect();
        self.cursor = turn.last().copied().unwrap_or(self.cursor);
        names.extend(turn);
        names.sort_unstable();
        names.dedup();
        names
    }
}
