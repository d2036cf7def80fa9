//! A customer's waiting tickets, charges and caps at one router.

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

/// Place of a ticket in its lane: arrival plus penalty, then identifier.
pub(super) type Place = (Instant, id::Request);

/// Wait that is advised when a queue is full: about the time in which a queue moves noticeably.
const QUEUE_RETRY: Duration = Duration::from_secs(1);

/// Charges remembered for reports that have no answer, per customer.
const MAX_SENT: usize = 64;

/// One customer at one router.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) config: pool::Customer,
    /// Whether the configuration in force names the customer.
    pub(super) known: bool,
    /// Virtual time as last told by the owner or raised to the floor.
    told: Virtual,
    /// Whether `told` rests on an owner's word. A restarted router knows nothing about its customers.
    informed: bool,
    /// Charges that `told` includes.
    covered: i64,
    /// Routers at which the customer waits, by the owner's count.
    holders: u32,
    /// Shift of this router's turn, in thousandths of a round of all routers at which the customer waits.
    phase: i32,
    /// Cost of the request that ended last.
    pub(super) typical: Units,
    /// Units charged in the present account.
    pub(super) charged: i64,
    pub(super) in_flight: u32,
    pub(super) queued: u32,
    /// Whether a request needs a permit to run.
    pub(super) bound: bool,
    pub(super) permits: Permits,
    /// Waiting requests that the owner knows of.
    announced: u32,
    lanes: BTreeMap<id::Model, BTreeMap<Place, Ticket>>,
    /// Charges at the reports that are not yet superseded by an answered one.
    sent: VecDeque<(u64, i64)>,
    bucket: Bucket,
}

/// Token bucket of accepted requests, in microseconds of credit.
#[derive(Debug, Default)]
struct Bucket {
    /// When the bucket is full again.
    full_at: Instant,
}

impl Bucket {
    fn take(&mut self, now: Instant, rate: pool::Rate) -> Result<(), Duration> {
        let spacing = Duration::from_secs(1) / rate.per_second.max(1);
        let depth = spacing * rate.burst.max(1);
        let next = self.full_at.max(now) + spacing;
        if next - now > depth {
            return Err((next - now).saturating_sub(depth));
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
            told: Virtual::ZERO,
            informed: false,
            covered: 0,
            holders: 1,
            phase: 0,
            typical: Units(0),
            charged: 0,
            in_flight: 0,
            queued: 0,
            bound: false,
            permits: Permits::default(),
            announced: 0,
            lanes: BTreeMap::new(),
            sent: VecDeque::new(),
            bucket: Bucket::default(),
        }
    }

    /// Takes one request from the caps.
    pub(super) fn admit(&mut self, now: Instant) -> Result<(), Refusal> {
        let customer = self.config.id;
        if self.queued >= self.config.max_queued && self.at_cap() {
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
            .take(now, rate)
            .map_err(|retry_after| Refusal::RateLimited { customer, retry_after })
    }

    pub(super) fn push(&mut self, place: Place, ticket: Ticket) {
        self.queued += 1;
        self.lanes.entry(ticket.model).or_default().insert(place, ticket);
    }

    pub(super) fn remove(&mut self, model: id::Model, place: Place) -> Option<Ticket> {
        let lane = self.lanes.get_mut(&model)?;
        let ticket = lane.remove(&place)?;
        if lane.is_empty() {
            self.lanes.remove(&model);
        }
        self.queued -= 1;
        self.announced = self.announced.min(self.queued);
        Some(ticket)
    }

    /// Tickets for `model`, in order.
    pub(super) fn lane(&self, model: id::Model) -> impl Iterator<Item = (Place, &Ticket)> {
        self.lanes.get(&model).into_iter().flatten().map(|(place, ticket)| (*place, ticket))
    }

    pub(super) fn models(&self) -> impl Iterator<Item = id::Model> {
        self.lanes.keys().copied()
    }

    /// How many more requests the cap allows in flight, wherever the permits are.
    fn limit(&self) -> u32 {
        self.config.max_in_flight.saturating_sub(self.in_flight)
    }

    /// How many more requests may run at this router.
    fn room(&self) -> u32 {
        let permitted = if self.bound { self.permits.usable(self.in_flight) } else { u32::MAX };
        self.limit().min(permitted)
    }

    /// Whether the cap, rather than a lack of slots, keeps requests waiting here.
    fn at_cap(&self) -> bool {
        self.room() == 0 && (self.limit() == 0 || self.permits.share.is_some())
    }

    fn length(&self, model: id::Model) -> u32 {
        self.lanes.get(&model).map_or(0, |lane| u32::try_from(lane.len()).unwrap_or(u32::MAX))
    }

    /// Tickets for `model` that may run at this router.
    pub(super) fn waiting(&self, model: id::Model) -> u32 {
        self.length(model).min(self.room())
    }

    /// Tickets for `model` that could run with all permits of the fleet.
    pub(super) fn demand(&self, model: id::Model) -> u32 {
        self.length(model).min(self.limit())
    }

    /// Permits to give back.
    pub(super) fn surplus(&self) -> u32 {
        self.permits.surplus(self.in_flight)
    }

    /// Whether tickets wait for permits and the owner knows of fewer than `known`.
    pub(super) fn lacks_permits(&self, known: u32) -> bool {
        let wanted = self.queued.min(self.limit());
        self.bound
            && wanted > self.permits.usable(self.in_flight)
            && self.announced < wanted.min(known)
    }

    /// The virtual time with this router's charges.
    pub(super) fn clock(&self) -> Virtual {
        self.clock_with(1)
    }

    /// The virtual time for a new owner; none if this router has never heard of it.
    pub(super) fn remembered(&self) -> Option<Virtual> {
        self.informed.then(|| self.clock())
    }

    /// The virtual time to expect if half of the other routers at which the customer waits have served it as
    /// much as this one since the owner's last word. Counting none of them lets all routers serve the same
    /// customer until the owner's next word; counting all of them multiplies the random differences between
    /// requests.
    pub(super) fn expected(&self) -> Virtual {
        self.clock_with(1 + self.holders.saturating_sub(1) / 2)
    }

    /// The place in the order of service. Routers that hear the same virtual time would serve the same customer
    /// at the same moment, each with a whole request; shifting their turns at random over one round of
    /// requests keeps the sum close to what one router would do.
    pub(super) fn turn(&self) -> Virtual {
        let round = self.typical.0.saturating_mul(u64::from(self.holders.saturating_sub(1)));
        let shift = Units(round.saturating_mul(u64::from(self.phase.unsigned_abs())) / 1_000);
        if self.phase < 0 {
            self.expected().reduced(shift, self.config.weight)
        } else {
            self.expected().advanced(shift, self.config.weight)
        }
    }

    fn clock_with(&self, times: u32) -> Virtual {
        let since = self.charged - self.covered;
        let units = Units(since.unsigned_abs().saturating_mul(u64::from(times)));
        if since < 0 {
            self.told.reduced(units, self.config.weight)
        } else {
            self.told.advanced(units, self.config.weight)
        }
    }

    pub(super) fn charge(&mut self, units: Units) {
        self.charged += signed(units);
    }

    /// Takes back what an estimate charged too much.
    pub(super) fn refund(&mut self, units: Units) {
        self.charged -= signed(units);
    }

    /// Raises the virtual time of a customer that was idle: idleness gives no credit.
    pub(super) fn raise(&mut self, floor: Virtual) {
        if self.clock() < floor {
            self.told = floor;
            self.covered = self.charged;
        }
    }

    /// Notes that report `sequence` carries the present charge.
    pub(super) fn reported(&mut self, sequence: u64) {
        if self.sent.len() >= MAX_SENT {
            // The oldest covers what the owner knows; a later one missing makes its figure a little old.
            self.sent.remove(1);
        }
        self.sent.push_back((sequence, self.charged));
        self.announced = self.queued;
    }

    /// Takes the owner's word, which covers the charges up to report `answered`.
    pub(super) fn told(&mut self, answered: u64, entry: &sched::Clock, phase: i32) {
        self.phase = phase;
        while self.sent.get(1).is_some_and(|(sequence, _)| *sequence <= answered) {
            self.sent.pop_front();
        }
        self.covered = match self.sent.front() {
            Some((sequence, charged)) if *sequence <= answered => *charged,
            _ => 0,
        };
        self.told = entry.clock;
        self.informed = true;
        self.holders = entry.holders;
    }

    /// Starts a new account with nothing charged.
    pub(super) fn reopen(&mut self, lapsed: bool) {
        self.permits.reopen(self.in_flight, lapsed);
        self.announced = 0;
        self.told = self.clock();
        self.charged = 0;
        self.covered = 0;
        self.sent.clear();
    }
}

fn signed(units: Units) -> i64 {
    i64::try_from(units.0).unwrap_or(i64::MAX)
}
