//! Entries that the owner has not acknowledged, and the time of the next report.

use {
    crate::pool,
    siskin_types::{id, time::Instant},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Changed entries that the owner has not acknowledged, and the send times of reports.
///
/// An entry is repeated in every report until one that carries its last change is answered. A report therefore
/// supersedes all earlier ones, and an answer to the newest report received acknowledges all of them.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Sequence of the last report sent.
    pub(super) last_sequence: u64,
    /// Sequence of the newest report answered.
    pub(super) answered: u64,
    customers: BTreeMap<id::Customer, u64>,
    endpoints: BTreeMap<id::Endpoint, u64>,
    sent: VecDeque<(u64, Instant)>,
    last_sent: Option<Instant>,
    urgent: bool,
    /// Whether a report is due before the regular interval, but not urgently.
    low_priority: bool,
    immediate: bool,
}

impl Outbox {
    pub(super) fn mark_customer(&mut self, customer: id::Customer) {
        self.customers.insert(customer, self.last_sequence + 1);
    }

    pub(super) fn mark_endpoint(&mut self, endpoint: id::Endpoint) {
        self.endpoints.insert(endpoint, self.last_sequence + 1);
    }

    /// Requests a report as soon as the minimum interval allows.
    pub(super) fn request_urgent(&mut self) {
        self.urgent = true;
    }

    /// Requests a report of a change that affects the order of service but leaves no slot idle.
    pub(super) fn request_low_priority(&mut self) {
        self.low_priority = true;
    }

    /// Requests a report immediately, regardless of the minimum interval. Only for slots that are returned because
    /// the owner just announced requests at other routers, or because their grant could not be used: the number of
    /// grants bounds how often that happens.
    pub(super) fn request_immediate(&mut self) {
        self.immediate = true;
    }

    pub(super) fn changed_customers(&self) -> impl Iterator<Item = id::Customer> {
        self.customers.keys().copied()
    }

    pub(super) fn changed_endpoints(&self) -> impl Iterator<Item = id::Endpoint> {
        self.endpoints.keys().copied()
    }

    /// When the next report is due; `waiting` tells whether tickets are queued.
    pub(super) fn next_report(&self, options: &pool::Options, waiting: bool) -> Instant {
        let Some(last_sent) = self.last_sent.filter(|_| !self.immediate) else {
            return Instant::ZERO;
        };
        let changed = waiting || !self.customers.is_empty() || !self.endpoints.is_empty();
        last_sent
            + match (self.urgent, self.low_priority, changed) {
                (true, ..) => options.min_report_interval,
                (false, true, _) => options.min_reorder_report_interval,
                (false, false, true) => options.report_interval,
                (false, false, false) => options.keep_alive_interval,
            }
    }

    /// Records that a report is sent now, and returns its sequence.
    pub(super) fn record_report(&mut self, now: Instant) -> u64 {
        self.last_sequence += 1;
        self.sent.push_back((self.last_sequence, now));
        self.last_sent = Some(now);
        self.urgent = false;
        self.low_priority = false;
        self.immediate = false;
        self.last_sequence
    }

    /// Drops the entries that report `sequence` carried and returns the time at which it was sent, if it is newer
    /// than those answered so far.
    pub(super) fn acknowledge(&mut self, sequence: u64) -> Option<Instant> {
        if sequence <= self.answered || sequence > self.last_sequence {
            return None;
        }
        self.answered = sequence;
        self.customers.retain(|_, changed| *changed > sequence);
        self.endpoints.retain(|_, changed| *changed > sequence);
        let mut sent = None;
        while self.sent.front().is_some_and(|(number, _)| *number <= sequence) {
            sent = self.sent.pop_front().map(|(_, at)| at);
        }
        sent
    }

    /// When the oldest unanswered report was sent.
    pub(super) fn oldest_unanswered(&self) -> Option<Instant> {
        self.sent.front().map(|(_, at)| *at)
    }

    /// Starts a new account, whose first report is urgent.
    pub(super) fn open_account(&mut self) {
        *self = Self { last_sent: self.last_sent, urgent: true, ..Self::default() };
    }

    /// Drops send times that are too old to extend the validity of slots.
    pub(super) fn drop_expired(&mut self, now: Instant, validity: Duration) {
        while self.sent.front().is_some_and(|(_, at)| now - *at > validity) {
            self.sent.pop_front();
        }
    }
}
