//! What a gateway knows: the configuration and the endpoints in force, and where it has them from.

use {
    super::{Gateway, LIMITS_FIRST, Source, USER_TIMEOUT},
    crate::{
        catalog::Catalog,
        directory::{Directory, numbered},
    },
    siskin_dispatch::{pool::Info, reading::Reading},
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
    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The endpoints listed by the platform.
    #[must_use]
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// What this router and its hub have read of the store.
    pub fn reading<T>(&self, change: impl FnOnce(&mut Reading) -> T) -> T {
        change(&mut lock(&self.reading))
    }

    /// Says whether the store tells this router of changes. If not, it follows its peers.
    pub fn set_following(&self, following: bool) {
        self.following.store(following, Ordering::Relaxed);
        if following {
            *lock(&self.news) = None;
        }
    }

    /// A peer knows something newer. While the store does not serve this router, that means that it serves others.
    pub fn note_news(&self) {
        if !self.following() {
            lock(&self.news).get_or_insert_with(time::Instant::now);
        }
    }

    /// Time since a peer first told of something newer while the store did not serve this router.
    #[must_use]
    pub fn news_age(&self) -> Option<Duration> {
        lock(&self.news).map(|at| at.elapsed())
    }

    /// Whether the store tells this router of changes.
    #[must_use]
    pub fn following(&self) -> bool {
        self.following.load(Ordering::Relaxed)
    }

    /// Brings a configuration into force unless a newer one is.
    pub fn set_catalog(&self, catalog: Catalog, source: Source) -> bool {
        let before = self.catalog().map(|catalog| catalog.version);
        if before.is_some_and(|before| before >= catalog.version) {
            return false;
        }
        log::info!(
            version = catalog.version, before = before.unwrap_or(0), source = source.label(),
            routes = catalog.routes.len(), services = catalog.services.len();
            "configuration in force"
        );
        self.metrics.config_version.set(i64::try_from(catalog.version).unwrap_or(i64::MAX));
        #[expect(clippy::cast_precision_loss)]
        let capacity = catalog.limits.tokens_per_second as f64;
        let catalog = Arc::new(catalog);
        *self.catalog.write().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&catalog));
        self.table(|table| table.ledger.set_capacity(capacity));
        self.sync_pools();
        true
    }

    /// Takes over a list of endpoints unless a newer one is known. A peer's list counts only while the store does not
    /// tell this router of changes, or while this router leaves the reading to its hub.
    pub fn set_directory(&self, directory: Directory, source: Source) -> bool {
        let before = self.directory();
        let foreign = source == Source::Peer
            && self.following()
            && !self.reading(|reading| reading.resting());
        if foreign || directory.revision() < before.revision() {
            return false;
        }
        if directory.endpoints() != before.endpoints() {
            log_changes(&before, &directory, source.label());
        }
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
        *self.directory.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(directory);
        self.sync_pools();
        true
    }

    /// Routers in the fleet, this one included.
    pub fn set_routers(&self, routers: u32) {
        self.routers.store(routers.max(1), Ordering::Relaxed);
    }

    /// Tells the pools which endpoints they have.
    fn sync_pools(&self) {
        let Some(catalog) = self.catalog() else { return };
        let directory = self.directory();
        lock(&self.heard).retain(|id, _| directory.get(*id).is_some());
        let now = self.clock.now();
        let salt = u64::from(numbered(&self.options.listen.to_string()));
        self.table(|table| {
            for (name, service) in &catalog.services {
                let infos: Vec<Info> = directory
                    .endpoints()
                    .iter()
                    .filter(|endpoint| endpoint.service == *name)
                    .map(|endpoint| Info {
                        id: endpoint.id,
                        slots: endpoint.slots,
                        memory_tokens: service.memory_tokens.unwrap_or(0),
                        near: endpoint.data_centre == self.options.data_centre,
                        leaving: endpoint.leaving,
                    })
                    .collect();
                let pool = table.pools.entry(name.clone()).or_default();
                pool.set_salt(salt);
                pool.set_endpoints(now, &infos);
            }
        });
        self.report_conditions();
    }

    pub(super) fn limits(&self) -> Limits {
        self.catalog().map_or(LIMITS_FIRST, |catalog| Limits {
            head_timeout: catalog.limits.idle_timeout,
            head_bytes: catalog.limits.head_bytes,
            user_timeout: Some(USER_TIMEOUT),
        })
    }
}

/// Logs what changed between two lists.
fn log_changes(before: &Directory, after: &Directory, source: &str) {
    for endpoint in after.endpoints() {
        let known = before.get(endpoint.id);
        if known == Some(endpoint) {
            continue;
        }
        log::info!(
            instance:% = endpoint.instance, endpoint:% = endpoint.id,
            service:% = endpoint.service, address:% = endpoint.address,
            state = if endpoint.leaving { "leaving" } else { "ready" }, known = known.is_some(),
            revision = after.revision(), source;
            "endpoint listed"
        );
    }
    for endpoint in before.endpoints() {
        if after.get(endpoint.id).is_none() {
            log::info!(
                endpoint:% = endpoint.instance, service:% = endpoint.service, revision = after.revision(),
                source;
                "endpoint gone from the list"
            );
        }
    }
}
