//! The configuration and the list of endpoints in force, and their sources.

use {
    super::{Gateway, INITIAL_LIMITS, Parameters, Source, USER_TIMEOUT},
    crate::{
        catalog::{Catalog, WarmUp},
        directory::{Directory, Endpoint, hash_to_u32},
    },
    siskin_dispatch::{pool::Info, reading::Freshness, warm_up},
    siskin_net::{lock, server::Limits},
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, PoisonError, atomic::Ordering},
        time::Duration,
    },
    tokio::time,
};

impl Gateway {
    /// The configuration in force, if any is known.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The endpoints listed by the platform.
    #[must_use]
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Accesses the record of when this router and its hub last read the store.
    pub fn reading<T>(&self, change: impl FnOnce(&mut Freshness) -> T) -> T {
        change(&mut lock(&self.reading))
    }

    /// The metrics page, with the gauges that are read just now.
    #[must_use]
    pub fn metrics_page(&self) -> String {
        let now = self.clock.now();
        if let Some(age) = self.reading(|reading| reading.view_age(now)) {
            let millis = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
            self.metrics.store.view_age.set(millis);
        }
        let (streams, mixed) =
            self.origins(|register, now| (register.streams(), register.any_mixed(now)));
        self.metrics.origins.streams.set(i64::try_from(streams).unwrap_or(i64::MAX));
        self.metrics.origins.mixed.set(i64::from(mixed));
        self.metrics.page()
    }

    /// Sets whether this router receives changes from the store. If not, it takes them from its peers.
    pub fn set_watching_store(&self, watching_store: bool) {
        let was_watching = self.watching_store.swap(watching_store, Ordering::Relaxed);
        if was_watching && !watching_store {
            *lock(&self.peer_ahead_since) = None;
        }
    }

    /// Records that a peer has newer versions. If this router receives no changes from the store, this shows that others do.
    pub fn record_newer_version_at_peer(&self) {
        if !self.watching_store() {
            lock(&self.peer_ahead_since).get_or_insert_with(time::Instant::now);
        }
    }

    /// Time since a peer first reported newer versions in the time in which this router last received none from the store.
    #[must_use]
    pub fn time_since_newer_version_at_peer(&self) -> Option<Duration> {
        lock(&self.peer_ahead_since).map(|at| at.elapsed())
    }

    /// Whether this router currently receives changes from the store.
    #[must_use]
    pub fn watching_store(&self) -> bool {
        self.watching_store.load(Ordering::Relaxed)
    }

    /// Replaces the configuration in force if the new one has a higher version. Returns whether it did. A version that was lost
    /// with a restored store may be given out again with another content, so the store may also replace one of the same version.
    pub fn set_catalog(&self, catalog: Catalog, source: Source) -> bool {
        if let Some(known) = self.catalog() {
            let reissued =
                source == Source::Store && known.version == catalog.version && *known != catalog;
            if known.version >= catalog.version && !reissued {
                return false;
            }
        }
        let before = self.catalog().map(|catalog| catalog.version);
        log::info!(
            version = catalog.version, before = before.unwrap_or(0), source = source.label(),
            routes = catalog.routes.len(), services = catalog.services.len();
            "configuration in force"
        );
        self.metrics.config_version.set(i64::try_from(catalog.version).unwrap_or(i64::MAX));
        #[expect(clippy::cast_precision_loss)]
        let capacity = catalog.limits.tokens_per_second as f64;
        self.adapt_origin_retention(&catalog);
        let catalog = Arc::new(catalog);
        *self.catalog.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&catalog));
        self.with_dispatch(|state| state.ledger.set_capacity(capacity));
        self.update_pools();
        true
    }

    /// Replaces the list of endpoints unless a newer one is known. Returns whether it did. A peer's list is accepted only
    /// while this router receives no changes from the store, or while it leaves reading the store to its hub.
    pub fn set_directory(&self, mut directory: Directory, source: Source) -> bool {
        let before = self.directory();
        let peer_ignored = source == Source::Peer
            && self.watching_store()
            && !self.reading(|reading| reading.delegates_to_hub());
        if peer_ignored || directory.position() < before.position() {
            return false;
        }
        directory.complete_from(&before);
        if directory.endpoints() != before.endpoints() {
            log_changes(&before, &directory, source.label());
        }
        log_drains(&before, &directory, source.label());
        let addresses: HashSet<SocketAddr> =
            directory.endpoints().iter().map(|endpoint| endpoint.address).collect();
        for gone in before.endpoints().iter().filter(|one| !addresses.contains(&one.address)) {
            self.upstream.purge(gone.address);
        }
        let leaving = directory.endpoints().iter().filter(|endpoint| endpoint.leaving).count();
        let ready = directory.endpoints().len() - leaving;
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.metrics.endpoints.with_label_values(&["ready"]).set(count(ready));
        self.metrics.endpoints.with_label_values(&["leaving"]).set(count(leaving));
        self.metrics.data_centres_drained.set(count(directory.drained().len()));
        // Before a request can reach an endpoint of another version.
        self.record_listed_versions(&directory);
        *self.directory.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(directory);
        self.update_pools();
        true
    }

    /// Sets the number of routers in the fleet, including this one.
    pub fn set_routers(&self, routers: u32) {
        let routers = routers.max(1);
        self.routers.store(routers, Ordering::Relaxed);
        self.with_dispatch(|state| {
            state.pools.values_mut().for_each(|pool| pool.set_routers(routers));
        });
    }

    /// Updates the endpoint pools from the configuration and the list in force.
    pub(super) fn update_pools(&self) {
        let Some(catalog) = self.catalog() else { return };
        let directory = self.directory();
        lock(&self.last_heard).retain(|id, _| directory.get(*id).is_some());
        let now = self.clock.now();
        let parameters = self.parameters();
        let salt = u64::from(hash_to_u32(&self.options.listen.to_string()));
        self.with_dispatch(|state| {
            for (name, service) in &catalog.services {
                let warm_up = service.warm_up.map(|warm_up| warm_up_options(warm_up, &parameters));
                let infos: Vec<Info> = directory
                    .endpoints()
                    .iter()
                    .filter(|endpoint| endpoint.service == *name)
                    .map(|endpoint| Info {
                        id: endpoint.id,
                        slots: endpoint.slots,
                        memory_tokens: service.memory_tokens.unwrap_or(0),
                        same_data_centre: endpoint.data_centre == self.options.data_centre,
                        leaving: endpoint.leaving,
                        drained: directory.is_drained(&endpoint.data_centre),
                        cold_for: match warm_up {
                            Some(_) => directory.cold_for(now, endpoint.id),
                            None => Duration::ZERO,
                        },
                    })
                    .collect();
                let pool = state.pools.entry(name.clone()).or_default();
                pool.set_salt(salt);
                pool.set_routers(self.routers.load(Ordering::Relaxed));
                pool.set_warm_up(warm_up);
                pool.set_endpoints(now, &infos);
            }
        });
        self.log_condition_changes();
    }

    pub(super) fn limits(&self) -> Limits {
        self.catalog().map_or(INITIAL_LIMITS, |catalog| Limits {
            head_timeout: catalog.limits.idle_timeout,
            head_bytes: catalog.limits.head_bytes,
            user_timeout: Some(USER_TIMEOUT),
        })
    }
}

/// How the endpoints of a service warm up, with the bursts that the platform allows.
fn warm_up_options(warm_up: WarmUp, parameters: &Parameters) -> warm_up::Options {
    warm_up::Options {
        duration: warm_up.duration,
        requests_per_second: warm_up.requests_per_second,
        burst_factor: parameters.cold_burst_factor,
        burst_requests: parameters.cold_burst_requests,
    }
}

/// Logs which data centres are drained in one list and not in the other.
fn log_drains(before: &Directory, after: &Directory, source: &str) {
    for (list, other, message) in [
        (after, before, "data centre drained; its endpoints get no more requests"),
        (before, after, "data centre in use again"),
    ] {
        let changed = |name: &&String| !other.is_drained(name);
        let names: Vec<&str> = list.drained().iter().filter(changed).map(String::as_str).collect();
        if names.is_empty() {
            continue;
        }
        let affected = |one: &&Endpoint| names.contains(&one.data_centre.as_str());
        log::info!(
            names:% = names.join(","), endpoints = after.endpoints().iter().filter(affected).count(),
            era = after.position().era(), revision = after.position().revision(), source;
            "{message}"
        );
    }
}

/// Logs the differences between two lists of endpoints.
fn log_changes(before: &Directory, after: &Directory, source: &str) {
    for endpoint in after.endpoints() {
        let known = before.get(endpoint.id);
        if known == Some(endpoint) {
            continue;
        }
        log::info!(
            instance:% = endpoint.instance, endpoint:% = endpoint.id,
            service:% = endpoint.service, address:% = endpoint.address,
            software = endpoint.software.as_deref().unwrap_or("unknown"),
            state = if endpoint.leaving { "leaving" } else { "ready" }, known = known.is_some(),
            era = after.position().era(), revision = after.position().revision(), source;
            "endpoint listed"
        );
    }
    for endpoint in before.endpoints() {
        if after.get(endpoint.id).is_none() {
            log::info!(
                endpoint:% = endpoint.instance, service:% = endpoint.service, era = after.position().era(),
                revision = after.position().revision(), source;
                "endpoint gone from the list"
            );
        }
    }
}
