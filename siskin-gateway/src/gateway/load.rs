//! Load limits of a gateway: processor time, file descriptors, and readiness for new connections.

use {
    super::{Dispatch, Gateway, delay::Delays},
    crate::{descriptors, exchange, overload},
    siskin_dispatch::{pool::Pool, reading::Freshness},
    siskin_net::{clock::boot_time, lock},
    siskin_types::time::Instant,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// Time between two measurements above which the process counts as suspended, while its peers and the store went on.
const SUSPENSION_MIN: Duration = Duration::from_secs(1);

/// In a stop, a request is sent only if this many times the mean time of its service is left, and the time below.
const STOP_TIME_FACTOR: u32 = 2;

/// See [`STOP_TIME_FACTOR`].
const STOP_TIME_MIN: Duration = Duration::from_millis(500);

impl Dispatch {
    /// Measures the capacity of the endpoints that say how busy they are, if there are any.
    pub(crate) fn measure_capacity(&mut self, now: Instant) {
        let mut pools = self.pools.values().filter(|pool| pool.places_by_work()).peekable();
        if pools.peek().is_some() {
            let waiting = pools.all(|pool| pool.is_saturated(now));
            self.ledger.measure_capacity(now, waiting);
        }
    }
}

/// Time in which a request of a service is expected to be answered, with a reserve.
fn longest_time(pool: &Pool) -> Duration {
    pool.mean_time() * STOP_TIME_FACTOR + STOP_TIME_MIN
}

impl Gateway {
    /// Whether this router is ready for new connections and can serve requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.stopping()
            && self.overload() == overload::State::Calm
            && self.descriptor_state() < descriptors::State::Full
            && self.catalog().is_some()
            && !self.directory().endpoints().is_empty()
    }

    /// Whether callers' connections leave enough file descriptors for connections to endpoints.
    fn descriptor_state(&self) -> descriptors::State {
        let caller_connections = self.caller_connections.count();
        self.metrics.connections.set(i64::try_from(caller_connections).unwrap_or(i64::MAX));
        descriptors::state(caller_connections, self.parameters().descriptors)
    }

    /// Whether callers should close their connections after the next response. While the platform would send the new
    /// connections to this router again, closing them only costs more.
    pub(super) fn should_close_connections(&self) -> bool {
        let unready_noticed = || lock(&self.overload).unready_noticed(self.clock.now());
        self.stopping()
            || self.descriptor_state() != descriptors::State::Free
            || unready_noticed()
            || self.should_offload_connections()
    }

    /// Since when the process has been short of processor time, if it is.
    pub(crate) fn strained_since(&self) -> Option<Instant> {
        lock(&self.overload).strained_since()
    }

    /// Returns to readiness at once if the process has recovered.
    pub(crate) fn end_strain(&self) {
        if lock(&self.overload).end_strain() {
            log::warn!(
                "ready again before the usual time: too many routers of this data centre are short of processor time"
            );
        }
    }

    /// How far the process is behind for lack of processor time.
    fn overload(&self) -> overload::State {
        lock(&self.overload).state()
    }

    /// Whether there is processor time for the next request. Each call counts as a request.
    pub(crate) fn admit_request(&self) -> bool {
        lock(&self.overload).admit_request(self.clock.now())
    }

    /// Measures the lateness of timers and detects suspensions of the process, until the process ends.
    pub(super) async fn monitor_overload(self: Arc<Self>) {
        let mut before = overload::State::Calm;
        let mut last_boot_time = boot_time();
        let mut delays = Delays::start();
        loop {
            let begin = time::Instant::now();
            let due = begin + overload::INTERVAL;
            time::sleep_until(due).await;
            let suspended_for =
                boot_time().saturating_sub(std::mem::replace(&mut last_boot_time, boot_time()));
            if suspended_for >= SUSPENSION_MIN {
                self.record_suspension(suspended_for.saturating_sub(begin.elapsed()));
                log::warn!(stood_ms = exchange::saturating_millis(suspended_for); "the process stood still; reading configuration and endpoints again");
                // Connections may have been closed meanwhile, and this process did not receive it.
                self.upstream.purge_all();
                self.reading(Freshness::reset);
                self.resumed.notify_waiters();
            }
            self.sample_utilisation();
            delays.record(due.elapsed());
            let (state, mean) = self.record_timer_lateness(due.elapsed());
            if state != before {
                log::warn!(
                    state:? = state, before:? = before, late_ms = exchange::saturating_millis(mean),
                    in_flight = self.metrics.in_flight.get();
                    "processor time is short or enough again"
                );
                before = state;
            }
        }
    }

    /// Whether the process is expected to be there when an endpoint of this service has answered a request that is sent now, or
    /// when the request's time is over.
    pub(crate) fn outlasts_request(&self, service: &str, left: Duration) -> bool {
        let Some(end) = *lock(&self.stop_end) else { return true };
        let expected = self.with_dispatch(|state| state.pools.get(service).map(longest_time));
        let expected = expected.unwrap_or(STOP_TIME_MIN);
        end.saturating_duration_since(time::Instant::now()) >= expected.min(left)
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Records the lateness of a timer. Returns the overload state and the mean lateness.
    pub fn record_timer_lateness(&self, lateness: Duration) -> (overload::State, Duration) {
        let mut meter = lock(&self.overload);
        meter.sample(self.clock.now(), lateness);
        (meter.state(), meter.mean())
    }
}
