//! Lookup tables for requests and messages: by API key, by number and by name.

use {
    crate::{
        document::{Document, Hash},
        patch::{Change, Changes},
    },
    siskin_types::id,
    std::{collections::HashMap, sync::Arc},
};

/// Lookup tables over a document. A patch updates them incrementally, and copies share the tables that a
/// patch does not change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Index {
    keys: Arc<HashMap<Hash, id::Customer>>,
    customers: Arc<HashMap<id::Customer, Arc<str>>>,
    pools: Arc<HashMap<id::Pool, Arc<str>>>,
    models: Arc<HashMap<id::Model, Arc<str>>>,
    endpoints: Arc<HashMap<id::Endpoint, Arc<str>>>,
    pools_by_name: Arc<HashMap<Arc<str>, id::Pool>>,
    pool_names_by_model: Arc<HashMap<Arc<str>, Arc<str>>>,
    pool_names_by_route: Arc<HashMap<Arc<str>, Arc<str>>>,
}

impl Index {
    /// Builds the lookup tables of a document.
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let mut index = Self::default();
        index.update(&Changes::between(&Document::default(), document));
        index
    }

    /// Updates the tables after a patch. All previous items are removed before any new one is inserted,
    /// because a patch may move a number or a key from one item to another.
    pub fn update(&mut self, changes: &Changes) {
        self.remove_previous(changes);
        self.insert_new(changes);
    }

    fn remove_previous(&mut self, changes: &Changes) {
        for (_, customer) in before(&changes.customers) {
            Arc::make_mut(&mut self.customers).remove(&customer.id);
            for hash in &customer.key_hashes {
                Arc::make_mut(&mut self.keys).remove(hash);
            }
        }
        for (name, pool) in before(&changes.pools) {
            Arc::make_mut(&mut self.pools).remove(&pool.id);
            Arc::make_mut(&mut self.pools_by_name).remove(name);
        }
        for (name, model) in before(&changes.models) {
            Arc::make_mut(&mut self.models).remove(&model.id);
            Arc::make_mut(&mut self.pool_names_by_model).remove(name);
        }
        for (_, endpoint) in before(&changes.endpoints) {
            Arc::make_mut(&mut self.endpoints).remove(&endpoint.id);
        }
        for (name, _) in before(&changes.routes) {
            Arc::make_mut(&mut self.pool_names_by_route).remove(name);
        }
    }

    fn insert_new(&mut self, changes: &Changes) {
        for (name, customer) in after(&changes.customers) {
            Arc::make_mut(&mut self.customers).insert(customer.id, Arc::clone(name));
            for hash in &customer.key_hashes {
                Arc::make_mut(&mut self.keys).insert(*hash, customer.id);
            }
        }
        for (name, pool) in after(&changes.pools) {
            Arc::make_mut(&mut self.pools).insert(pool.id, Arc::clone(name));
            Arc::make_mut(&mut self.pools_by_name).insert(Arc::clone(name), pool.id);
        }
        for (name, model) in after(&changes.models) {
            let pool = model.pool.as_str().into();
            Arc::make_mut(&mut self.models).insert(model.id, Arc::clone(name));
            Arc::make_mut(&mut self.pool_names_by_model).insert(Arc::clone(name), pool);
        }
        for (name, endpoint) in after(&changes.endpoints) {
            Arc::make_mut(&mut self.endpoints).insert(endpoint.id, Arc::clone(name));
        }
        for (name, route) in after(&changes.routes) {
            let pool = route.pool.as_str().into();
            Arc::make_mut(&mut self.pool_names_by_route).insert(Arc::clone(name), pool);
        }
    }

    /// The customer that an API key belongs to.
    #[must_use]
    pub fn customer_of_key(&self, key: &[u8]) -> Option<id::Customer> {
        self.keys.get(&Hash::of(key)).copied()
    }

    /// The name of a customer.
    #[must_use]
    pub fn customer(&self, id: id::Customer) -> Option<&str> {
        self.customers.get(&id).map(AsRef::as_ref)
    }

    /// The name of a pool.
    #[must_use]
    pub fn pool(&self, id: id::Pool) -> Option<&str> {
        self.pools.get(&id).map(AsRef::as_ref)
    }

    /// The name of a model.
    #[must_use]
    pub fn model(&self, id: id::Model) -> Option<&str> {
        self.models.get(&id).map(AsRef::as_ref)
    }

    /// The name of an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: id::Endpoint) -> Option<&str> {
        self.endpoints.get(&id).map(AsRef::as_ref)
    }

    /// The number of the pool of this name.
    #[must_use]
    pub fn pool_named(&self, name: &str) -> Option<id::Pool> {
        self.pools_by_name.get(name).copied()
    }

    /// The pool that serves a model.
    #[must_use]
    pub fn pool_of_model(&self, name: &str) -> Option<id::Pool> {
        self.pool_named(self.pool_names_by_model.get(name)?)
    }

    /// The pool that serves a route.
    #[must_use]
    pub fn pool_of_route(&self, name: &str) -> Option<id::Pool> {
        self.pool_named(self.pool_names_by_route.get(name)?)
    }
}

fn before<T>(changes: &[Change<T>]) -> impl Iterator<Item = (&Arc<str>, &T)> {
    changes.iter().filter_map(|change| Some((&change.name, change.before.as_deref()?)))
}

fn after<T>(changes: &[Change<T>]) -> impl Iterator<Item = (&Arc<str>, &T)> {
    changes.iter().filter_map(|change| Some((&change.name, change.after.as_deref()?)))
}
