//! Notices of endpoints that they leave or need a back-off: read from response heads, logged and counted.

use {
    super::Gateway,
    crate::{
        exchange::{Call, saturating_millis},
        protocol::Answer,
    },
    siskin_dispatch::{
        condition::{Availability, Change, Reason, Source},
        limit::Notice,
        pool::Pool,
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Labels of speeds in metrics, and from which slowness on they apply.
const SPEEDS: [(&str, f64); 3] = [("usual", 0.0), ("slow", 1.25), ("very_slow", 2.0)];

impl Gateway {
    /// Why a request that was counted at an endpoint at the time `counted` may no longer be sent there; `None` if it may. It is
    /// itself the trial request after a back-off, and has its part of a limit. Its permit for a cold endpoint lapses.
    pub(crate) fn not_accepting_reason(
        &self,
        service: &str,
        endpoint: Endpoint,
        counted: Instant,
    ) -> Option<Reason> {
        let now = self.clock.now();
        self.with_dispatch(|state| {
            let pool = state.pools.get(service)?;
            match pool.availability(now, endpoint) {
                Availability::Open
                | Availability::Trial
                | Availability::Blocked(Reason::Trial | Reason::Limited(_)) => {
                    let is_lapsed = pool.is_permit_lapsed(now, endpoint, counted);
                    is_lapsed.then_some(Reason::Limited(now))
                }
                Availability::Blocked(reason) => Some(reason),
            }
        })
    }

    /// Applies the notices in the response head that an endpoint has sent to a request. One that belongs to another request may
    /// be an old copy, so it ends no limit and no cold
    /// time.
    pub(crate) fn record_endpoint_notices(
        &self,
        call: &Call,
        endpoint: Endpoint,
        response: &Answer<'_>,
    ) {
        let now = self.clock.now();
        let is_own = response.id == Some(call.id.as_str());
        self.with_dispatch(|state| {
            let Some(pool) = state.pools.get_mut(&call.service) else { return };
            if is_own || response.limit != Notice::Unlimited {
                pool.record_limit(now, endpoint, response.limit);
            }
            if let Some(time) = response.cold.filter(|_| is_own) {
                pool.record_cold(now, endpoint, time);
            }
            if response.leaving {
                pool.record_leaving(now, endpoint);
            }
            if let Some(load) = response.load.filter(|_| is_own) {
                pool.record_load(now, endpoint, load);
            }
            match response.backoff {
                Some(time) => pool.record_backoff(now, endpoint, time),
                None if !response.not_run => pool.record_acceptance(now, endpoint),
                None => {}
            }
        });
        self.log_condition_changes();
    }

    /// Accounts for a suspension of the process, which its clock does not count, in the times of the notices.
    pub(super) fn record_suspension(&self, time: Duration) {
        self.with_dispatch(|state| state.pools.values_mut().for_each(|pool| pool.suspended(time)));
    }

    /// Logs the notices of endpoints since the last call.
    pub(crate) fn log_condition_changes(&self) {
        let changes: Vec<_> = self.with_dispatch(|state| {
            state.pools.values_mut().flat_map(Pool::take_condition_changes).collect()
        });
        if changes.is_empty() {
            return;
        }
        let directory = self.directory();
        for (endpoint, change) in changes {
            let listed = directory.get(endpoint);
            let instance = listed.map_or("", |listed| listed.instance.as_str());
            match change {
                Change::Leaving { source, age } => {
                    log::info!(
                        endpoint:% = endpoint, instance, source = source.label(), age_ms = saturating_millis(age);
                        "endpoint leaves; it gets no more requests"
                    );
                    if let Some(listed) = listed {
                        self.upstream.purge(listed.address);
                    }
                }
                Change::BackingOff { time } => {
                    self.metrics.backoffs.inc();
                    log::info!(
                        endpoint:% = endpoint, instance, time_ms = saturating_millis(time);
                        "endpoint asked to back off; it gets no requests until the back-off ends"
                    );
                }
                Change::Resumed => log::info!(
                    endpoint:% = endpoint, instance; "endpoint takes requests again"
                ),
                Change::Limited { rate, source } => log::info!(
                    endpoint:% = endpoint, instance, source = source.label(), per_second:% = rate.per_second();
                    "endpoint named a limit on the requests of all routers together"
                ),
                Change::LimitEnded { source } => log::info!(
                    endpoint:% = endpoint, instance, source = source.label();
                    "endpoint no longer names a limit"
                ),
                Change::Cold { time, source } => log::info!(
                    endpoint:% = endpoint, instance, source = source.label(), time_ms = saturating_millis(time);
                    "endpoint is cold; it gets only requests with a permit"
                ),
                Change::Warm => log::info!(
                    endpoint:% = endpoint, instance; "endpoint is warm"
                ),
            }
        }
    }

    /// Number of listed endpoints that name a limit.
    #[must_use]
    pub fn limited_endpoints(&self) -> usize {
        self.with_dispatch(|state| state.pools.values().map(Pool::limited).sum())
    }

    /// Sets the gauges of endpoints by speed, of services whose endpoints say how busy they are.
    fn update_speed_metrics(&self) {
        let now = self.clock.now();
        let counts = SPEEDS.map(|(_, slowness)| {
            self.with_dispatch(|state| {
                let pools = state.pools.values().filter(|pool| pool.places_by_work());
                pools.map(|pool| pool.slower_than(now, slowness)).sum::<usize>()
            })
        });
        for (index, (speed, _)) in SPEEDS.iter().enumerate() {
            let slower = counts.get(index + 1).copied().unwrap_or_default();
            let count = counts[index].saturating_sub(slower);
            let gauge = self.metrics.endpoints_by_speed.with_label_values(&[speed]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Sets the gauges of endpoints that are leaving or drained, that have asked this router to back off, that name a limit, that
    /// are cold, and of endpoints by speed.
    pub(crate) fn update_condition_metrics(&self) {
        let now = self.clock.now();
        let (leaving, backing_off, cold) = self.with_dispatch(|state| {
            let leaving: Vec<Source> =
                state.pools.values().flat_map(Pool::closed_sources).collect();
            let backing_off = state.pools.values().map(|pool| pool.backing_off(now)).sum::<usize>();
            let cold = state.pools.values().map(|pool| pool.cold(now)).sum::<usize>();
            (leaving, backing_off, cold)
        });
        for source in Source::ALL {
            let count = leaving.iter().filter(|one| **one == source).count();
            let gauge = self.metrics.endpoints_leaving.with_label_values(&[source.label()]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        self.metrics.endpoints_backing_off.set(i64::try_from(backing_off).unwrap_or(i64::MAX));
        self.metrics.endpoints_cold.set(i64::try_from(cold).unwrap_or(i64::MAX));
        let limited = self.limited_endpoints();
        self.metrics.endpoints_limited.set(i64::try_from(limited).unwrap_or(i64::MAX));
        self.update_speed_metrics();
    }
}
