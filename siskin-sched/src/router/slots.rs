//! A router's slots at one endpoint.

use {crate::pool, siskin_wire::sched};

/// Slots held by this router at one endpoint, as running totals of the current account.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) config: pool::Endpoint,
    opening: u32,
    granted: u64,
    returned: u64,
    pub(super) busy: u32,
    /// Requests in flight that are suspected of crashing endpoints.
    pub(super) suspects: u32,
    /// Whether the owner lets the router keep or reuse slots here.
    pub(super) keep: bool,
    /// Granted slots that have not been used yet. They may run any request, because the owner chose this router for
    /// them.
    pub(super) unused_grants: u32,
}

impl Slots {
    pub(super) fn new(config: pool::Endpoint) -> Self {
        Self {
            config,
            opening: 0,
            granted: 0,
            returned: 0,
            busy: 0,
            suspects: 0,
            keep: true,
            unused_grants: 0,
        }
    }

    fn held(&self) -> u64 {
        debug_assert!(
            u64::from(self.opening) + self.granted >= self.returned,
            "more slots returned than granted at {}",
            self.config.id
        );
        u64::from(self.opening) + self.granted - self.returned
    }

    /// Slots held and not in use.
    pub(super) fn idle(&self) -> u32 {
        debug_assert!(self.held() >= u64::from(self.busy), "slot in use without being held");
        u32::try_from(self.held()).unwrap_or(u32::MAX) - self.busy
    }

    /// Whether idle slots may run new requests.
    pub(super) fn usable(&self) -> bool {
        self.keep && !self.config.leaving
    }

    pub(super) fn start_request(&mut self, alone: bool) {
        debug_assert!(self.idle() > 0, "dispatch without an idle slot");
        self.busy += 1;
        self.suspects += u32::from(alone);
        self.unused_grants = self.unused_grants.saturating_sub(1);
    }

    pub(super) fn finish_request(&mut self, alone: bool) {
        debug_assert!(self.busy > 0, "finish without a request in flight");
        self.busy -= 1;
        self.suspects -= u32::from(alone);
    }

    /// Returns `count` idle slots to the owner.
    pub(super) fn return_idle(&mut self, count: u32) {
        debug_assert!(count <= self.idle(), "returning slots that are in use");
        self.returned += u64::from(count);
        self.unused_grants = self.unused_grants.min(self.idle());
    }

    /// Applies the owner's total of granted slots. Returns false if it is lower than the total already known.
    pub(super) fn apply_grant(&mut self, entry: &sched::Granted) -> bool {
        if entry.granted < self.granted {
            return false;
        }
        let more = entry.granted - self.granted;
        self.granted = entry.granted;
        self.unused_grants += u32::try_from(more).unwrap_or(u32::MAX);
        self.keep = entry.keep;
        true
    }

    /// Starts a new account. If the slots have expired, only those in use are carried over.
    pub(super) fn open_account(&mut self, expired: bool) {
        let held = if expired { self.busy } else { self.idle() + self.busy };
        self.opening = held;
        self.granted = 0;
        self.returned = 0;
        self.unused_grants = 0;
    }

    /// Whether a full report can omit the endpoint.
    pub(super) fn is_empty_account(&self) -> bool {
        self.opening == 0 && self.granted == 0 && self.returned == 0
    }

    pub(super) fn to_report(&self) -> sched::Slots {
        sched::Slots {
            endpoint: self.config.id,
            opening: self.opening,
            returned: self.returned,
            busy: self.busy,
        }
    }
}
