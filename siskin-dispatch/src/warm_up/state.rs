//! The cold time of one endpoint, the permits of this router, and those that it has issued.

use {
    super::{
        COLD_MAX, LINGER, Options, PERMIT_LIFETIME, Part, QUIET_TIME, REQUEST_INTERVAL,
        issue::Issued,
    },
    siskin_types::time::Instant,
    std::{collections::VecDeque, time::Duration},
};

/// Difference between two reports of the end that is no news: it comes from the time that messages take.
const END_TOLERANCE: Duration = Duration::from_millis(250);

/// Most permits of one router for an endpoint, more than it can use while they last: bounds what a message makes it remember.
const PERMITS_MAX: usize = 1_024;

/// How long news are announced to other routers.
const ANNOUNCED_FOR: Duration = Duration::from_millis(700);

/// State of one endpoint; kept while it is cold and for a while after.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    /// End of the cold time according to the platform's list.
    listed_until: Instant,
    /// End of the cold time according to responses and to other routers.
    reported_until: Instant,
    /// Whether the last change that was taken said that it is cold.
    was_cold: bool,
    /// Before this time, no permits are issued.
    quiet_until: Instant,
    /// When a response or another router reported a later end.
    news_at: Option<Instant>,
    /// When the permits of this router expire, in the order of their arrival.
    permits: VecDeque<Instant>,
    issued: Issued,
}

impl State {
    /// Applies the cold time in the platform's list.
    pub(crate) fn list(&mut self, now: Instant, time: Duration) {
        self.listed_until = now + time.min(COLD_MAX);
    }

    /// Applies the cold time in a response to this router, which replaces what was reported before.
    pub(crate) fn record(&mut self, now: Instant, time: Duration) {
        let until = now + time.min(COLD_MAX);
        if until > self.until() + END_TOLERANCE {
            self.news_at = Some(now);
        }
        self.reported_until = until;
    }

    /// Applies the cold time that another router has reported, unless the known end is about as late.
    pub(crate) fn merge(&mut self, now: Instant, time: Duration) {
        if now + time.min(COLD_MAX) > self.until() + END_TOLERANCE {
            self.record(now, time);
        }
    }

    /// Whether the endpoint is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.until()
    }

    /// Takes the change since the last call: whether the endpoint has become cold (`true`) or warm. `in_use` says that requests may
    /// have been sent before.
    pub(crate) fn take_change(&mut self, now: Instant, in_use: bool) -> Option<bool> {
        let is_cold = self.is_cold(now);
        if is_cold == self.was_cold {
            return None;
        }
        self.was_cold = is_cold;
        if is_cold {
            self.quiet_until = if in_use { now + QUIET_TIME } else { now };
        }
        Some(is_cold)
    }

    /// Time for which the endpoint remains cold.
    pub(crate) fn remaining(&self, now: Instant) -> Duration {
        self.until() - now
    }

    /// The cold time to announce to other routers, if it is news.
    pub(crate) fn news(&self, now: Instant) -> Option<Duration> {
        let is_news = self.news_at.is_some_and(|at| now - at < ANNOUNCED_FOR);
        (is_news && self.is_cold(now)).then(|| self.remaining(now))
    }

    /// The time at which to try again, if no request may be sent now.
    pub(crate) fn blocked_until(&self, now: Instant) -> Option<Instant> {
        let blocked = self.is_cold(now) && self.permits(now) == 0;
        blocked.then(|| self.until().min(now + REQUEST_INTERVAL))
    }

    /// Number of permits that this router has.
    pub(crate) fn permits(&self, now: Instant) -> usize {
        self.permits.iter().filter(|expires| now < **expires).count()
    }

    /// Adds permits that were requested at the time `requested`.
    pub(crate) fn add_permits(&mut self, now: Instant, requested: Instant, count: u32) {
        self.permits.retain(|expires| now < *expires);
        let expires = requested + PERMIT_LIFETIME;
        let room = PERMITS_MAX.saturating_sub(self.permits.len());
        let count = usize::try_from(count).unwrap_or(usize::MAX).min(room);
        self.permits.extend(std::iter::repeat_n(expires, count));
    }

    /// Records that a request is about to be sent, which takes the oldest permit.
    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.permits.retain(|expires| now < *expires);
        self.permits.pop_front();
    }

    /// Issues up to `wanted` permits of this router's part.
    pub(crate) fn issue(
        &mut self,
        now: Instant,
        options: &Options,
        part: Part,
        wanted: u32,
    ) -> u32 {
        if now < self.quiet_until || !self.is_kept(now) {
            return 0;
        }
        self.issued.issue(now, options, part, wanted)
    }

    /// Whether the state is still needed.
    pub(crate) fn is_kept(&self, now: Instant) -> bool {
        now < self.until() + LINGER
    }

    /// Accounts for a suspension of the process that its clock did not count. Permits have expired elsewhere.
    pub(crate) fn suspended(&mut self, time: Duration) {
        self.listed_until = self.listed_until.saturating_sub(time);
        self.reported_until = self.reported_until.saturating_sub(time);
        self.permits.clear();
    }

    fn until(&self) -> Instant {
        self.listed_until.max(self.reported_until)
    }
}
