//! The versions at which resumable streams began, and reads of what other routers recorded of them.

use {
    super::Gateway,
    crate::{
        catalog::{Catalog, Kind, Route},
        directory::Directory,
    },
    siskin_net::lock,
    siskin_outcome::origin::{Options, Register, Stream},
    siskin_types::time::Instant,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Time for which streams are kept, relative to the longest duration of one. Its caller takes it up within that duration; the rest covers the
/// time until all routers know of a change.
const RETENTION_FACTOR: f64 = 1.5;

/// Shortest time for which streams are kept.
const RETENTION_MIN: Duration = Duration::from_secs(10);

/// The register of streams, and the reads of what other routers recorded.
#[derive(Debug)]
pub(super) struct State {
    register: Mutex<Register>,
    /// Time for which streams are kept, once a configuration says it. A shorter one would forget the versions of streams that are older
    /// than that configuration, so it only grows.
    retention: Mutex<Option<Duration>>,
    /// Notified when the versions of the listed endpoints were set, and when a stream was recorded that other routers have to know.
    changed: Notify,
    lookups: watch::Sender<Lookups>,
}

/// Progress of the reads, which are numbered from 1.
#[derive(Clone, Copy, Debug, Default)]
struct Lookups {
    /// Number of the last read that a request waits for.
    wanted: u64,
    /// Number of the last read that has begun.
    begun: u64,
    /// Number of the last read that has ended.
    ended: u64,
    /// Whether the last read that has ended succeeded.
    succeeded: bool,
}

impl Default for State {
    fn default() -> Self {
        Self {
            register: Mutex::new(Register::new(Options::default())),
            retention: Mutex::default(),
            changed: Notify::new(),
            lookups: watch::Sender::default(),
        }
    }
}

impl Gateway {
    /// Access to the register of streams and their versions.
    pub fn origins<T>(&self, change: impl FnOnce(&mut Register, Instant) -> T) -> T {
        let now = self.clock.now();
        change(&mut lock(&self.origins.register), now)
    }

    /// Longest time after its beginning in which a stream may be taken up.
    #[must_use]
    pub fn origin_retention(&self) -> Duration {
        lock(&self.origins.retention).unwrap_or_else(|| Options::default().retention)
    }

    /// Waits until the versions of the listed endpoints are set anew, or a stream is recorded that other routers have to know. A
    /// change between two calls is not missed.
    pub async fn wait_for_origin_change(&self) {
        self.origins.changed.notified().await;
    }

    /// Records the version at which streams begin or go on.
    pub(crate) fn record_origins(
        &self,
        service: &str,
        streams: impl Iterator<Item = Stream>,
        version: &Arc<str>,
    ) {
        let mixed = self.origins(|register, now| {
            for stream in streams {
                register.record(now, stream, service, version);
            }
            register.is_mixed(now, service)
        });
        if mixed {
            self.origins.changed.notify_one();
        }
    }

    /// Waits until a request has to know more of the streams that other routers recorded. The read that serves it begins
    /// when this returns; [`Gateway::end_origin_lookup`] ends it.
    pub async fn wait_for_origin_lookup(&self) {
        let mut lookups = self.origins.lookups.subscribe();
        // The sender lives as long as the gateway, so that the wait ends only with a request.
        let _ = lookups.wait_for(|lookups| lookups.wanted > lookups.begun).await;
        self.origins.lookups.send_modify(|lookups| lookups.begun = lookups.wanted);
    }

    /// Says that such a read has ended, and whether it succeeded.
    pub fn end_origin_lookup(&self, succeeded: bool) {
        let result = if succeeded { "read" } else { "failed" };
        self.metrics.origins.lookups.with_label_values(&[result]).inc();
        self.origins.lookups.send_modify(|lookups| {
            lookups.ended = lookups.begun;
            lookups.succeeded = succeeded;
        });
    }

    /// Asks for a read of what other routers recorded, and waits until one that began after this call has ended, at most for
    /// `limit`. Requests that wait at the same time share a read. Returns whether a read succeeded.
    pub async fn look_up_origins(&self, limit: Duration) -> bool {
        let mut lookups = self.origins.lookups.subscribe();
        let mut number = 0;
        self.origins.lookups.send_modify(|lookups| {
            number = lookups.begun + 1;
            lookups.wanted = number;
        });
        let ended = lookups.wait_for(|lookups| lookups.ended >= number);
        matches!(timeout(limit, ended).await, Ok(Ok(lookups)) if lookups.succeeded)
    }

    /// Records the versions of a list that is about to be in force.
    pub(super) fn record_listed_versions(&self, directory: &Directory) {
        let versions = directory
            .endpoints()
            .iter()
            .map(|endpoint| (endpoint.service.as_str(), endpoint.software.as_deref()));
        self.origins(|register, now| register.set_listed(now, versions));
        self.origins.changed.notify_one();
    }

    /// Adapts the time for which streams are kept to a configuration.
    pub(super) fn adapt_origin_retention(&self, catalog: &Catalog) {
        let mut known = lock(&self.origins.retention);
        let longest = retention(catalog).max(*known);
        if longest != *known {
            *known = longest;
            self.origins(|register, _| register.set_retention(longest.unwrap_or_default()));
        }
    }
}

/// Time for which streams are kept under a configuration; `None` if it has no resumable streams.
fn retention(catalog: &Catalog) -> Option<Duration> {
    let is_resumable = |route: &&Route| matches!(route.kind, Kind::Stream { resumable: true });
    let longest = catalog.routes.iter().filter(is_resumable).map(|route| route.timeout).max()?;
    Some(longest.mul_f64(RETENTION_FACTOR).max(RETENTION_MIN))
}
