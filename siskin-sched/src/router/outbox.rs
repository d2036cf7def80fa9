//! What a router still has to tell the owner, and when.

use {
    crate::pool,
    siskin_types::{id, time::Instant},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Entries not acknowledged by the owner and the times of the reports sent.
///
/// An entry is repeated in every report until one that carries its last change is answered. A report
/// therefore covers all earlier ones, and an answer to the newest one received settles all of them.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Sequence of the last report sent.
    pub(super) sequence: u64,
    /// Sequence of the newest report answered.
    pub(super) answered: u64,
    customers: BTreeMap<id::Customer, u64>,
    endpoints: BTreeMap<id::Endpoint, u64>,
    sent: VecDeque<(u64, Instant)>,
    last: Option<Instant>,
    urgent: bool,
    /// A report is wanted earlier than the interval asks for.
    soon: bool,
    recalled: bool,
}

impl Outbox {
    pub(super) fn customer(&mut self, customer: id::Customer) {
        self.customers.insert(customer, self.sequence + 1);
    }

    pub(super) fn endpoint(&mut self, endpoint: id::Endpoint) {
        self.endpoints.insert(endpoint, self.sequence + 1);
    }

    /// Asks for a report as soon as the spacing allows.
    pub(super) fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Asks for a report of something that changes the order of service but leaves no slot idle.
    pub(super) fn soon(&mut self) {
        self.soon = true;
    }

    /// Asks for a report at once, whatever the spacing. Only for slots returned because the owner just said
    /// that others wait, or just granted them in vain: the number of grants bounds how often that happens.
    pub(super) fn answer_recall(&mut self) {
        self.recalled = true;
    }

    pub(super) fn customers(&self) -> impl Iterator<Item = id::Customer> {
        self.customers.keys().copied()
    }

    pub(super) fn endpoints(&self) -> impl Iterator<Item = id::Endpoint> {
        self.endpoints.keys().copied()
    }

    /// When the next report is due; `waiting` tells whether tickets wait for slots.
    pub(super) fn due(&self, options: &pool::Options, waiting: bool) -> Instant {
        let Some(last) = self.last.filter(|_| !self.recalled) else { return Instant::ZERO };
        let changed = waiting || !self.customers.is_empty() || !self.endpoints.is_empty();
        last + match (self.urgent, self.soon, changed) {
            (true, ..) => options.report_spacing,
            (false, true, _) => options.order_spacing,
            (false, false, true) => options.report_interval,
            (false, false, false) => options.keep_alive,
        }
    }

    /// Numbers a report that is sent now.
    pub(super) fn send(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        self.last = Some(now);
        self.urgent = false;
        self.soon = false;
        self.recalled = false;
        self.sequence
    }

    /// Settles the entries of report `sequence` and returns the time at which it was sent, if the answer
    /// is news.
    pub(super) fn answer(&mut self, sequence: u64) -> Option<Instant> {
        if sequence <= self.answered || sequence > self.sequence {
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

    /// Since when a report has been without an answer.
    pub(super) fn unanswered(&self) -> Option<Instant> {
        self.sent.front().map(|(_, at)| *at)
    }

    /// Starts a new account, whose first report is due at once.
    pub(super) fn reopen(&mut self) {
        *self = Self { last: self.last, urgent: true, ..Self::default() };
    }

    /// Forgets send times that can no longer renew anything.
    pub(super) fn forget(&mut self, now: Instant, lapse: Duration) {
        while self.sent.front().is_some_and(|(_, at)| now - *at > lapse) {
            self.sent.pop_front();
        }
    }
}
