//! A customer's waiting tickets, charges and caps at one router.

use {
    crate::{pool, refusal::Refusal, ticket::Ticket},
    siskin_types::{
        cost::{Units, Virtual},
        id,
        time::Instant,
    },
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
    pub(super) clock: Virtual,
    /// Units charged in the present account.
    pub(super) charged: i64,
    pub(super) in_flight: u32,
    pub(super) queued: u32,
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
            clock: Virtual::ZERO,
            charged: 0,
            in_flight: 0,
            queued: 0,
            lanes: BTreeMap::new(),
            sent: VecDeque::new(),
            bucket: Bucket::default(),
        }
    }

    /// Takes one request from the caps.
    pub(super) fn admit(&mut self, now: Instant) -> Result<(), Refusal> {
        let customer = self.config.id;
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
        Some(ticket)
    }

    /// Tickets for `model`, in order.
    pub(super) fn lane(&self, model: id::Model) -> impl Iterator<Item = (Place, &Ticket)> {
        self.lanes.get(&model).into_iter().flatten().map(|(place, ticket)| (*place, ticket))
    }

    pub(super) fn models(&self) -> impl Iterator<Item = id::Model> {
        self.lanes.keys().copied()
    }

    /// How many more requests the cap allows in flight.
    pub(super) fn room(&self) -> u32 {
        self.config.max_in_flight.saturating_sub(self.in_flight)
    }

    /// Tickets for `model` that the cap on requests in flight lets run.
    pub(super) fn waiting(&self, model: id::Model) -> u32 {
        let queued = self.lanes.get(&model).map_or(0, BTreeMap::len);
        u32::try_from(queued).unwrap_or(u32::MAX).min(self.room())
    }

    pub(super) fn charge(&mut self, units: Units) {
        self.charged += signed(units);
        self.clock = self.clock.advanced(units, self.config.weight);
    }

    /// Takes back what an estimate charged too much.
    pub(super) fn refund(&mut self, units: Units) {
        self.charged -= signed(units);
        self.clock = self.clock.reduced(units, self.config.weight);
    }

    /// Raises the virtual time of a customer that was idle: idleness gives no credit.
    pub(super) fn raise(&mut self, floor: Virtual) {
        self.clock = self.clock.max(floor);
    }

    /// Notes that report `sequence` carries the present charge.
    pub(super) fn reported(&mut self, sequence: u64) {
        if self.sent.len() >= MAX_SENT {
            // The oldest covers what the owner knows; a later one missing makes its figure a little old.
            self.sent.remove(1);
        }
        self.sent.push_back((sequence, self.charged));
    }

    /// Takes the owner's virtual time, which covers the charges up to report `answered`.
    pub(super) fn told(&mut self, answered: u64, clock: Virtual) {
        while self.sent.get(1).is_some_and(|(sequence, _)| *sequence <= answered) {
            self.sent.pop_front();
        }
        let covered = match self.sent.front() {
            Some((sequence, charged)) if *sequence <= answered => *charged,
            _ => 0,
        };
        let since = self.charged - covered;
        let units = Units(since.unsigned_abs());
        self.clock = if since < 0 {
            clock.reduced(units, self.config.weight)
        } else {
            clock.advanced(units, self.config.weight)
        };
    }

    /// Starts a new account with nothing charged.
    pub(super) fn reopen(&mut self) {
        self.charged = 0;
        self.sent.clear();
    }
}

fn signed(units: Units) -> i64 {
    i64::try_from(units.0).unwrap_or(i64::MAX)
}
