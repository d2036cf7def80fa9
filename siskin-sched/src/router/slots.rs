//! A router's slots at one endpoint.

use {crate::pool, siskin_wire::sched};

/// Slots held by this router at one endpoint, as totals of the present account.
#[derive(Debug)]
pub(super) struct Slots {
    pub(super) config: pool::Endpoint,
    opening: u32,
    granted: u64,
    returned: u64,
    pub(super) busy: u32,
    /// Suspected requests in flight.
    pub(super) suspects: u32,
    /// Whether the owner lets the router keep or reuse slots here.
    pub(super) keep: bool,
    /// Granted slots that have not been used yet: the owner chose this router for them.
    pub(super) fresh: u32,
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
            fresh: 0,
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
    pub(super) fn open(&self) -> bool {
        self.keep && !self.config.leaving
    }

    pub(super) fn dispatch(&mut self, alone: bool) {
        debug_assert!(self.idle() > 0, "dispatch without an idle slot");
        self.busy += 1;
        self.suspects += u32::from(alone);
        self.fresh = self.fresh.saturating_sub(1);
    }

    pub(super) fn finish(&mut self, alone: bool) {
        debug_assert!(self.busy > 0, "finish without a request in flight");
        self.busy -= 1;
        self.suspects -= u32::from(alone);
    }

    /// Gives back `count` idle slots.
    pub(super) fn give_back(&mut self, count: u32) {
        debug_assert!(count <= self.idle(), "returning slots that are in use");
        self.returned += u64::from(count);
        self.fresh = self.fresh.min(self.idle());
    }

    /// Applies the owner's total. Returns false if the total contradicts the account.
    pub(super) fn grant(&mut self, entry: &sched::Granted) -> bool {
        if entry.granted < self.granted {
            return false;
        }
        let more = entry.granted - self.granted;
        self.granted = entry.granted;
        self.fresh += u32::try_from(more).unwrap_or(u32::MAX);
        self.keep = entry.keep;
        true
    }

    /// Starts a new account. Only slots in use survive a lapse.
    pub(super) fn reopen(&mut self, lapsed: bool) {
        let held = if lapsed { self.busy } else { self.idle() + self.busy };
        self.opening = held;
        self.granted = 0;
        self.returned = 0;
        self.fresh = 0;
    }

    /// Whether a full report can leave the endpoint out.
    pub(super) fn is_blank(&self) -> bool {
        self.opening == 0 && self.granted == 0 && self.returned == 0
    }

    pub(super) fn report(&self) -> sched::Slots {
        sched::Slots {
            endpoint: self.config.id,
            opening: self.opening,
            returned: self.returned,
            busy: self.busy,
        }
    }
}
