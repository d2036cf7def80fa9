//! Endpoints of a service that are cold.

use {
    super::Pool,
    crate::warm_up,
    siskin_types::{id::Endpoint, time::Instant},
    siskin_wire::permit,
    std::time::Duration,
};

impl Pool {
    /// Sets how the service's endpoints warm up; `None` if they need not.
    pub fn set_warm_up(&mut self, options: Option<warm_up::Options>) {
        self.conditions.set_warm_up(options);
    }

    /// Records the time for which an endpoint is still cold, as reported by its response to this router.
    pub fn record_cold(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        self.conditions.record_cold(now, endpoint, time);
    }

    /// Applies a peer's report of a cold endpoint, unless it belongs to another service.
    pub fn apply_cold(&mut self, now: Instant, cold: &permit::Cold) {
        if self.endpoints.contains_key(&cold.endpoint) {
            let remaining = Duration::from_millis(u64::from(cold.remaining_ms));
            self.conditions.merge_cold(now, cold.endpoint, remaining);
        }
    }

    /// Number of listed endpoints that are cold.
    #[must_use]
    pub fn cold(&self, now: Instant) -> usize {
        self.conditions.cold(now)
    }

    /// Whether an endpoint is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant, endpoint: Endpoint) -> bool {
        self.conditions.is_cold(now, endpoint)
    }

    /// Whether the time has passed in which a request that was counted at the time `since` may be sent to a cold endpoint.
    #[must_use]
    pub fn is_permit_lapsed(&self, now: Instant, endpoint: Endpoint, since: Instant) -> bool {
        self.is_cold(now, endpoint) && now - since >= warm_up::SEND_TIME
    }

    /// Cold endpoints to announce to other routers.
    pub fn cold_to_announce(&self, now: Instant) -> impl Iterator<Item = permit::Cold> {
        self.conditions.cold_to_announce(now)
    }

    /// Permits to request for cold endpoints. `round` differs between calls. `scarce` says that few are issued.
    #[must_use]
    pub fn permits_to_request(
        &self,
        now: Instant,
        round: u64,
        scarce: bool,
    ) -> Vec<permit::Permits> {
        self.conditions.permits_to_request(now, round, self.open(), scarce)
    }

    /// Issues permits for a cold endpoint, up to the number `wanted`, of the part that this router issues; none for an endpoint of
    /// another service.
    pub fn issue_permits(
        &mut self,
        now: Instant,
        part: warm_up::Part,
        wanted: permit::Permits,
    ) -> u32 {
        self.conditions.issue_permits(now, part, wanted)
    }

    /// Adds permits that this router requested at the time `requested`; those for other services are skipped.
    pub fn add_permits(&mut self, now: Instant, requested: Instant, permits: permit::Permits) {
        self.conditions.add_permits(now, requested, permits);
    }
}
