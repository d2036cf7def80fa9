//! Endpoints that are cold, as part of what is known of them.

use {
    super::{Change, Condition, Conditions, Source, random_share},
    crate::{
        prompt::mix,
        warm_up::{self, PERMIT_LIFETIME, REQUEST_INTERVAL},
    },
    siskin_types::{id::Endpoint, time::Instant},
    siskin_wire::permit,
    std::time::Duration,
};

impl Conditions {
    /// Sets how endpoints warm up; `None` if they need not.
    pub fn set_warm_up(&mut self, options: Option<warm_up::Options>) {
        self.warm_up = options;
        if options.is_none() {
            self.by_endpoint.values_mut().for_each(|condition| condition.cold = None);
        }
    }

    /// Applies the platform's list: the time for which an endpoint is still cold. `in_use` says that it was listed before.
    pub fn update_cold(&mut self, now: Instant, endpoint: Endpoint, time: Duration, in_use: bool) {
        let is_known = self.by_endpoint.get(&endpoint).is_some_and(|known| known.cold.is_some());
        if is_known || !time.is_zero() {
            self.change_cold(now, endpoint, Source::Store, in_use, |cold| cold.list(now, time));
        }
    }

    /// Records the time for which an endpoint is still cold, as reported by its response to this router.
    pub fn record_cold(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        let is_known = self.by_endpoint.get(&endpoint).is_some_and(|known| known.cold.is_some());
        if is_known || !time.is_zero() {
            self.change_cold(now, endpoint, Source::Answer, true, |cold| cold.record(now, time));
        }
    }

    /// Applies the time for which an endpoint is still cold, as reported by another router.
    pub fn merge_cold(&mut self, now: Instant, endpoint: Endpoint, time: Duration) {
        self.change_cold(now, endpoint, Source::Peer, true, |cold| cold.merge(now, time));
    }

    /// Number of listed endpoints that are cold.
    #[must_use]
    pub fn cold(&self, now: Instant) -> usize {
        let is_cold = |one: &&Condition| one.unlisted.is_none() && one.is_cold(now);
        self.by_endpoint.values().filter(is_cold).count()
    }

    /// Cold endpoints to announce to other routers.
    pub fn cold_to_announce(&self, now: Instant) -> impl Iterator<Item = permit::Cold> {
        self.by_endpoint.iter().filter_map(move |(endpoint, condition)| {
            let remaining = condition.cold.as_ref()?.news(now)?;
            let remaining_ms = u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX);
            Some(permit::Cold { endpoint: *endpoint, remaining_ms })
        })
    }

    /// Permits to request now: as many as callers are expected to need until they expire, and one if there is none for a request
    /// that has just come. `open` is the number of endpoints that accept requests; `round` differs between calls. While permits
    /// are scarce, only as many are requested as callers have come in the time `scarce` since the last call, so that they are divided
    /// by demand and few expire unused.
    #[must_use]
    pub fn permits_to_request(
        &self,
        now: Instant,
        round: u64,
        open: usize,
        scarce: Option<Duration>,
    ) -> Vec<permit::Permits> {
        let cold = self.permits_held(now, round);
        let held: u32 = cold.iter().map(|(_, held)| held).sum();
        let expected = self.demand.requests_per_second(now) * PERMIT_LIFETIME.as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "numbers of endpoints")]
        let (count, open) = (cold.len() as f64, open.max(cold.len()) as f64);
        let each_max = round_up(expected / open);
        let missing = expected * count / open - f64::from(held);
        let recent = scarce.unwrap_or(2 * REQUEST_INTERVAL);
        let just_asked = self.demand.last_request().is_some_and(|at| now - at < recent);
        let missing = scarce.map_or(missing, |time| {
            let arrived = self.demand.requests_per_second(now) * time.as_secs_f64();
            if arrived < 1.0 { 0.0 } else { missing.min(arrived) }
        });
        let random = random_share(mix(self.demand.salt(), round), Endpoint(0));
        let mut left = round_randomly(missing, random).max(u32::from(just_asked && held == 0));
        let wanted = cold.into_iter().map(|(endpoint, held)| {
            let count = each_max.saturating_sub(held).min(left);
            left -= count;
            permit::Permits { endpoint, count }
        });
        wanted.filter(|permits| permits.count > 0).collect()
    }

    /// Cold endpoints that accept requests, and this router's permits for them, in an order that differs between rounds.
    fn permits_held(&self, now: Instant, round: u64) -> Vec<(Endpoint, u32)> {
        let salt = mix(self.demand.salt(), round);
        let held = |(endpoint, condition): (&Endpoint, &Condition)| {
            let cold = condition.cold.as_ref().filter(|_| condition.needs_permits(now))?;
            Some((*endpoint, u32::try_from(cold.permits(now)).unwrap_or(u32::MAX)))
        };
        let mut cold: Vec<(Endpoint, u32)> = self.by_endpoint.iter().filter_map(held).collect();
        cold.sort_by_key(|(endpoint, _)| mix(salt, u64::from(endpoint.0)));
        cold
    }

    /// Issues permits for an endpoint, up to the number `wanted`, of the part that this router issues.
    pub fn issue_permits(
        &mut self,
        now: Instant,
        part: warm_up::Part,
        wanted: permit::Permits,
    ) -> u32 {
        let Some(options) = self.warm_up else { return 0 };
        let condition = self.by_endpoint.get_mut(&wanted.endpoint);
        let cold = condition.and_then(|condition| condition.cold.as_mut());
        cold.map_or(0, |cold| cold.issue(now, &options, part, wanted.count))
    }

    /// Adds permits that this router requested at the time `requested`.
    pub fn add_permits(&mut self, now: Instant, requested: Instant, permits: permit::Permits) {
        let condition = self.by_endpoint.get_mut(&permits.endpoint);
        if let Some(cold) = condition.and_then(|condition| condition.cold.as_mut()) {
            cold.add_permits(now, requested, permits.count);
        }
    }

    /// Records endpoints whose cold time has ended.
    pub(super) fn expire_cold(&mut self, now: Instant) {
        for (endpoint, condition) in &mut self.by_endpoint {
            let Some(cold) = &mut condition.cold else { continue };
            if cold.take_change(now, true).is_some() {
                self.changes.push((*endpoint, Change::Warm));
            }
            condition.cold.take_if(|cold| !cold.is_kept(now));
        }
        self.by_endpoint.retain(|_, condition| !condition.is_empty());
    }

    fn change_cold(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        source: Source,
        in_use: bool,
        apply: impl FnOnce(&mut warm_up::State),
    ) {
        if self.warm_up.is_none() {
            return;
        }
        let cold = self.by_endpoint.entry(endpoint).or_default().cold.get_or_insert_default();
        if cold.take_change(now, in_use).is_some() {
            self.changes.push((endpoint, Change::Warm));
        }
        apply(cold);
        let change = cold.take_change(now, in_use).map(|is_cold| {
            let time = cold.remaining(now);
            if is_cold { Change::Cold { time, source } } else { Change::Warm }
        });
        self.changes.extend(change.map(|change| (endpoint, change)));
    }
}

impl Condition {
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    fn needs_permits(&self, now: Instant) -> bool {
        let backs_off = self.backoff.is_some_and(|backoff| now < backoff.until);
        self.is_cold(now) && self.unlisted.is_none() && self.closed_by().is_none() && !backs_off
    }
}

/// Rounds up with the probability of the fraction. `random` is below 1.
fn round_randomly(number: f64, random: f64) -> u32 {
    round_up(number - random)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative numbers become 0"
)]
fn round_up(number: f64) -> u32 {
    number.ceil() as u32
}
