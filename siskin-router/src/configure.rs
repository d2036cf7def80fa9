//! Brings a version of the configuration into force.

use {
    crate::{
        pool::Pool,
        shared::{Shared, lock},
        view::View,
    },
    indexmap::IndexMap,
    std::sync::Arc,
};

/// Follows the configuration until the router stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    if let Some(document) = &shared.settings.bootstrap {
        apply(&shared, View::new(1, document.clone()));
    }
    std::future::pending::<()>().await;
}

/// Brings a version into force: pools are added, changed and removed, and their owners placed.
pub(crate) fn apply(shared: &Arc<Shared>, view: View) {
    let now = shared.clock.now();
    let view = Arc::new(view);
    shared.metrics.config_version.set(i64::try_from(view.version).unwrap_or(i64::MAX));
    shared.set_view(Arc::clone(&view));
    let mut pools = IndexMap::new();
    let mut started = Vec::new();
    for (name, config) in view.document.pools.iter() {
        let known = shared.pool(config.id).filter(|pool| pool.matches(name, config));
        let pool = known.unwrap_or_else(|| {
            let node = shared.settings.node;
            let pool =
                Arc::new(Pool::new(name, config, node, shared.incarnation, &view.document.fleet));
            started.push(Arc::clone(&pool));
            pool
        });
        pools.insert(config.id, pool);
    }
    shared.set_pools(pools);
    for pool in started {
        shared.spawn(Arc::clone(pool.suspects()).run(Arc::clone(shared)));
        shared.spawn(Arc::clone(&pool).run(Arc::clone(shared)));
    }
    let customers = view.customers();
    for pool in shared.pools() {
        let endpoints = shared.scheduled_endpoints(&view, &pool);
        pool.configure(shared, now, endpoints, Some(customers.clone()));
    }
    shared.members_changed();
    log::info!(version = view.version; "configuration is in force");
}

impl Shared {
    /// Places the owners of all pools among the members that this router sees.
    pub(crate) fn members_changed(self: &Arc<Self>) {
        let now = self.clock.now();
        let (visible, known) = {
            let member = lock(&self.member);
            let visible: Vec<_> = member.alive().map(|identity| identity.node).collect();
            (visible, member.known())
        };
        let unreachable = known.saturating_sub(visible.len());
        let gauge = |state: &str, count: usize| {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.metrics.members.with_label_values(&[state]).set(count);
        };
        gauge("visible", visible.len());
        gauge("unreachable", unreachable);
        let mut owned_pools = 0;
        for pool in self.pools() {
            let owner = self.owner_of(&pool);
            owned_pools += i64::from(owner == self.settings.node);
            pool.members(self, now, owner, &visible, known);
        }
        self.claims.members_changed(self);
        self.metrics.owned_pools.set(owned_pools);
    }
}
