//! A customer's permits for requests in flight at this router.

use siskin_wire::sched;

/// Permits held for one customer, as running totals of the current account.
#[derive(Debug, Default)]
pub(super) struct Permits {
    opening: u32,
    granted: u64,
    returned: u64,
    /// The number of permits that the router may keep; none while permits are not scarce.
    pub(super) share: Option<u32>,
}

impl Permits {
    fn held(&self) -> u32 {
        let total = u64::from(self.opening) + self.granted;
        debug_assert!(total >= self.returned, "more permits returned than granted");
        u32::try_from(total - self.returned).unwrap_or(u32::MAX)
    }

    /// Permits not in use. Requests that started before the customer needed permits hold none.
    pub(super) fn idle(&self, busy: u32) -> u32 {
        self.held().saturating_sub(busy)
    }

    /// Idle permits that may be used. Those beyond the share are to be returned.
    pub(super) fn usable(&self, busy: u32) -> u32 {
        let share = self.share.map_or(u32::MAX, |share| share.saturating_sub(busy));
        self.idle(busy).min(share)
    }

    /// Idle permits beyond the share. While permits are not scarce, idle ones are kept: the next request needs one,
    /// and returning each took up to five times the traffic.
    pub(super) fn surplus(&self, busy: u32) -> u32 {
        let above = self.share.map_or(0, |share| self.held().saturating_sub(share));
        above.min(self.idle(busy))
    }

    pub(super) fn return_idle(&mut self, count: u32) {
        self.returned += u64::from(count);
    }

    /// Applies the owner's total of granted permits. Returns false if it is lower than the total already known.
    pub(super) fn apply_grant(&mut self, entry: &sched::Permitted) -> bool {
        if entry.granted < self.granted {
            return false;
        }
        self.granted = entry.granted;
        self.share = entry.share;
        true
    }

    /// Starts a new account. If the grants have expired, only permits in use are carried over.
    pub(super) fn open_account(&mut self, busy: u32, expired: bool) {
        let opening = if expired { busy } else { self.held().max(busy) };
        *self = Self { opening, ..Self::default() };
    }

    pub(super) fn to_report(&self, busy: u32) -> sched::Permits {
        sched::Permits { opening: self.opening, returned: self.returned, busy }
    }
}
