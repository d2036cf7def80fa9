//! How much a gateway can take: processor time, descriptors, and whether it is ready for more.

use {
    super::Gateway,
    crate::{exchange, room, strain},
    siskin_dispatch::reading::Reading,
    siskin_net::{clock::boot_time, lock},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

/// Time between two measurements from which the process has stood still, and its peers and the store have gone on.
const STOOD_STILL: Duration = Duration::from_secs(1);

impl Gateway {
    /// Whether requests can be served.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.stopping()
            && self.strain() == strain::State::Calm
            && self.room() < room::State::Full
            && self.catalog().is_some()
            && !self.directory().endpoints().is_empty()
    }

    /// Whether callers' connections leave descriptors for endpoints.
    fn room(&self) -> room::State {
        let open = self.open.count();
        self.metrics.connections.set(i64::try_from(open).unwrap_or(i64::MAX));
        room::state(open, self.figures().descriptors)
    }

    /// Whether callers should close their connections after the next answer. While new ones would still come here, that
    /// only costs more.
    pub(super) fn sheds_connections(&self) -> bool {
        let noticed = || lock(&self.strain).noticed(self.clock.now());
        self.stopping() || self.room() != room::State::Free || noticed()
    }

    /// How far the process is behind with its work.
    fn strain(&self) -> strain::State {
        lock(&self.strain).state()
    }

    /// Whether there is processor time for the next request.
    pub(crate) fn admits(&self) -> bool {
        lock(&self.strain).admits(self.clock.now())
    }

    /// Measures how late timers are, until the process ends.
    pub(super) async fn watch_strain(self: Arc<Self>) {
        let mut before = strain::State::Calm;
        let mut awake = boot_time();
        loop {
            let begin = time::Instant::now();
            let due = begin + strain::INTERVAL;
            time::sleep_until(due).await;
            let stood = boot_time().saturating_sub(std::mem::replace(&mut awake, boot_time()));
            if stood >= STOOD_STILL {
                self.note_suspension(stood.saturating_sub(begin.elapsed()));
                log::warn!(stood_ms = exchange::millis(stood); "the process stood still; what it knows is read anew");
                // Connections may have ended meanwhile, without a word to this process.
                self.upstream.purge_all();
                self.reading(Reading::forget);
                self.woken.notify_waiters();
            }
            let (state, mean) = self.note_lateness(due.elapsed());
            if state != before {
                log::warn!(
                    state:? = state, before:? = before, late_ms = exchange::millis(mean),
                    in_flight = self.metrics.in_flight.get();
                    "processor time is short or enough again"
                );
                before = state;
            }
        }
    }

    /// Whether the process is stopping.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// A timer was late by this much.
    pub fn note_lateness(&self, late: Duration) -> (strain::State, Duration) {
        let mut meter = lock(&self.strain);
        meter.sample(self.clock.now(), late);
        (meter.state(), meter.mean())
    }
}
