//! A customer's waiting tickets, charges and limits at one router.

use {
    super::permits::Permits,
    crate::{pool, refusal::Refusal, ticket::Ticket},
    siskin_types::{
        cost::{Units, Virtual},
        id,
        time::Instant,
    },
    siskin_wire::sched,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Sort key of a ticket in its model queue: arrival time plus penalty, then request identifier.
pub(super) type Key = (Instant, id::Request);

/// Retry delay when a queue is full: about the time in which a queue becomes noticeably shorter.
const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// Largest number of unanswered reports per customer whose charges are stored.
const MAX_SENT_CHARGES: usize = 64;

/// Queue of one customer at one router.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) config: pool::Customer,
    /// Whether the configuration in force names the customer.
    pub(super) known: bool,
    /// Virtual time as last received from the owner or raised to the floor.
    base_virtual_time: Virtual,
    /// Whether an owner has sent the customer's virtual time. A restarted router has no information about its
    /// customers.
    received_from_owner: bool,
    /// Value of `charged` up to which `base_virtual_time` includes this router's charges.
    base_charged: i64,
    /// Number of routers at which the customer waits, according to the owner.
    waiting_routers: u32,
    /// Random shift of `order_key`, in thousandths of a round: one request at each other router at which the customer
    /// waits.
    order_shift: i32,
    /// Cost of the request that finished last.
    pub(super) last_cost: Units,
    /// Units charged in the current account.
    pub(super) charged: i64,
    pub(super) in_flight: u32,
    pub(super) queued: u32,
    /// Whether a request needs a permit to run.
    pub(super) needs_permits: bool,
    pub(super) permits: Permits,
    /// Waiting requests that were reported to the owner.
    announced: u32,
    model_queues: BTreeMap<id::Model, BTreeMap<Key, Ticket>>,
    /// Sequences of reports and the charges that they carried, from the last answered report on.
    sent_charges: VecDeque<(u64, i64)>,
    bucket: Bucket,
}

/// Token bucket of accepted requests, stored as the time at which it is full.
#[derive(Debug, Default)]
struct Bucket {
    /// When the bucket is full again.
    full_at: Instant,
}

impl Bucket {
    fn take_token(&mut self, now: Instant, rate: pool::Rate) -> Result<(), Duration> {
        let spacing = Duration::from_secs(1) / rate.per_second.max(1);
        let burst_time = spacing * rate.burst.max(1);
        let next = self.full_at.max(now) + spacing;
        if next - now > burst_time {
            return Err((next - now).saturating_sub(burst_time));
        }
        self.full_at = next;
        Ok(())
    }
}

impl Queue {
    pub(super) fn new(config: pool::Customer) -> Self {
        Self {
            config,
            known: true,
            base_virtual_time: Virtual::ZERO,
            received_from_owner: false,
            base_charged: 0,
            waiting_routers: 1,
            order_shift: 0,
            last_cost: Units(0),
            charged: 0,
            in_flight: 0,
            queued: 0,
            needs_permits: false,
            permits: Permits::default(),
            announced: 0,
            model_queues: BTreeMap::new(),
            sent_charges: VecDeque::new(),
            bucket: Bucket::default(),
        }
    }

    /// Checks the queue limit and takes a token for one request.
    pub(super) fn admit(&mut self, now: Instant) -> Result<(), Refusal> {
        let customer = self.config.id;
        if self.queued >= self.config.max_queued && self.held_back_by_cap() {
            return Err(Refusal::InFlightCap {
                customer,
                limit: self.config.max_in_flight,
                retry_after: QUEUE_RETRY,
            });
        }
        if self.queued >= self.config.max_queued {
            return Err(Refusal::QueueFull {
                customer,
                limit: self.config.max_queued,
                retry_after: QUEUE_RETRY,
            });
        }
        let Some(rate) = self.config.rate else { return Ok(()) };
        self.bucket
            .take_token(now, rate)
            .map_err(|retry_after| Refusal::RateLimited { customer, retry_after })
    }

    pub(super) fn push(&mut self, queue_key: Key, ticket: Ticket) {
        self.queued += 1;
        self.model_queues.entry(ticket.model).or_default().insert(queue_key, ticket);
    }

    pub(super) fn remove(&mut self, model: id::Model, queue_key: Key) -> Option<Ticket> {
        let model_queue = self.model_queues.get_mut(&model)?;
        let ticket = model_queue.remove(&queue_key)?;
        if model_queue.is_empty() {
            self.model_queues.remove(&model);
        }
        self.queued -= 1;
        self.announced = self.announced.min(self.queued);
        Some(ticket)
    }

    /// Tickets for `model`, in order.
    pub(super) fn tickets(&self, model: id::Model) -> impl Iterator<Item = (Key, &Ticket)> {
        self.model_queues
            .get(&model)
            .into_iter()
            .flatten()
            .map(|(queue_key, ticket)| (*queue_key, ticket))
    }

    pub(super) fn models(&self) -> impl Iterator<Item = id::Model> {
        self.model_queues.keys().copied()
    }

    /// How many more requests the cap allows in flight, regardless of which routers hold the permits.
    fn cap_left(&self) -> u32 {
        self.config.max_in_flight.saturating_sub(self.in_flight)
    }

    /// How many more requests may start at this router.
    fn startable(&self) -> u32 {
        let permitted =
            if self.needs_permits { self.permits.usable(self.in_flight) } else { u32::MAX };
        self.cap_left().min(permitted)
    }

    /// Whether the cap, rather than a lack of slots, keeps requests waiting here.
    fn held_back_by_cap(&self) -> bool {
        self.startable() == 0 && (self.cap_left() == 0 || self.permits.share.is_some())
    }

    fn queue_length(&self, model: id::Model) -> u32 {
        self.model_queues
            .get(&model)
            .map_or(0, |model_queue| u32::try_from(model_queue.len()).unwrap_or(u32::MAX))
    }

    /// Number of tickets for `model` that may start at this router.
    pub(super) fn runnable(&self, model: id::Model) -> u32 {
        self.queue_length(model).min(self.startable())
    }

    /// Number of tickets for `model` that could start if this router held all free permits of the fleet.
    pub(super) fn demand(&self, model: id::Model) -> u32 {
        self.queue_length(model).min(self.cap_left())
    }

    /// Number of permits to return.
    pub(super) fn surplus_permits(&self) -> u32 {
        self.permits.surplus(self.in_flight)
    }

    /// Whether tickets wait for permits and fewer than `known` of them were reported to the owner.
    pub(super) fn lacks_permits(&self, known: u32) -> bool {
        let wanted = self.queued.min(self.cap_left());
        self.needs_permits
            && wanted > self.permits.usable(self.in_flight)
            && self.announced < wanted.min(known)
    }

    /// The virtual time including this router's charges.
    pub(super) fn virtual_time(&self) -> Virtual {
        self.virtual_time_with(1)
    }

    /// The virtual time to report to a new owner; none if no owner has ever sent one.
    pub(super) fn reported_virtual_time(&self) -> Option<Virtual> {
        self.received_from_owner.then(|| self.virtual_time())
    }

    /// The virtual time to expect if half of the other routers at which the customer waits have served it as much as
    /// this one since the owner's last grant. Counting none of them lets all routers serve the same customer until
    /// the owner's next grant; counting all of them multiplies the random differences between requests.
    pub(super) fn expected_virtual_time(&self) -> Virtual {
        self.virtual_time_with(1 + self.waiting_routers.saturating_sub(1) / 2)
    }

    /// The sort key in the order of service. Routers that receive the same virtual time would serve the same customer
    /// at the same moment, each with a whole request; shifting the keys at random over one round of requests keeps
    /// the total service close to what one router would give.
    pub(super) fn order_key(&self) -> Virtual {
        let round =
            self.last_cost.0.saturating_mul(u64::from(self.waiting_routers.saturating_sub(1)));
        let shift = Units(round.saturating_mul(u64::from(self.order_shift.unsigned_abs())) / 1_000);
        if self.order_shift < 0 {
            self.expected_virtual_time().reduced(shift, self.config.weight)
        } else {
            self.expected_virtual_time().advanced(shift, self.config.weight)
        }
    }

    fn virtual_time_with(&self, times: u32) -> Virtual {
        let since = self.charged - self.base_charged;
        let units = Units(since.unsigned_abs().saturating_mul(u64::from(times)));
        if since < 0 {
            self.base_virtual_time.reduced(units, self.config.weight)
        } else {
            self.base_virtual_time.advanced(units, self.config.weight)
        }
    }

    pub(super) fn charge(&mut self, units: Units) {
        self.charged += to_signed(units);
    }

    /// Refunds the part of an estimate that exceeded the actual cost.
    pub(super) fn refund(&mut self, units: Units) {
        self.charged -= to_signed(units);
    }

    /// Raises the virtual time of a customer that was idle, since it accumulates no credit while idle.
    pub(super) fn raise_to_floor(&mut self, floor: Virtual) {
        if self.virtual_time() < floor {
            self.base_virtual_time = floor;
            self.base_charged = self.charged;
        }
    }

    /// Records that report `sequence` carries the current charge.
    pub(super) fn record_report(&mut self, sequence: u64) {
        if self.sent_charges.len() >= MAX_SENT_CHARGES {
            // The oldest entry is the last one that the owner has answered. Dropping a later one only makes
            // `base_charged` slightly outdated.
            self.sent_charges.remove(1);
        }
        self.sent_charges.push_back((sequence, self.charged));
        self.announced = self.queued;
    }

    /// Applies the owner's virtual time, which includes the charges up to report `answered`.
    pub(super) fn apply_clock(&mut self, answered: u64, entry: &sched::Clock, order_shift: i32) {
        self.order_shift = order_shift;
        while self.sent_charges.get(1).is_some_and(|(sequence, _)| *sequence <= answered) {
            self.sent_charges.pop_front();
        }
        self.base_charged = match self.sent_charges.front() {
            Some((sequence, charged)) if *sequence <= answered => *charged,
            _ => 0,
        };
        self.base_virtual_time = entry.clock;
        self.received_from_owner = true;
        self.waiting_routers = entry.holders;
    }

    /// Starts a new account with a charge of zero.
    pub(super) fn open_account(&mut self, expired: bool) {
        self.permits.open_account(self.in_flight, expired);
        self.announced = 0;
        self.base_virtual_time = self.virtual_time();
        self.charged = 0;
        self.base_charged = 0;
        self.sent_charges.clear();
    }
}

fn to_signed(units: Units) -> i64 {
    i64::try_from(units.0).unwrap_or(i64::MAX)
}
