//! The configuration in force, in the form that the request path reads.

use {
    siskin_config::{
        document::{Document, Endpoint, Service},
        follower::State,
        index::Index,
    },
    siskin_sched::pool::{self, Rate},
    siskin_types::id::{self, Model},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Burst of a rate limit, as seconds of its rate.
const RATE_BURST_SECONDS: u32 = 2;

/// Route numbers have this bit, so that they differ from model numbers.
const ROUTE_BIT: u32 = 1 << 31;

/// A version of the configuration.
#[derive(Debug)]
pub struct View {
    state: Arc<State>,
    addresses: HashMap<id::Endpoint, SocketAddr>,
    /// For each model and route, the endpoints that serve it and are not leaving.
    servers: HashMap<Model, Vec<id::Endpoint>>,
}

impl View {
    /// Makes the view of a version.
    #[must_use]
    pub fn new(state: Arc<State>) -> Self {
        let endpoints = state.document.endpoints.iter();
        let addresses = endpoints.map(|(_, endpoint)| (endpoint.id, endpoint.address)).collect();
        let mut view = Self { state, addresses, servers: HashMap::new() };
        let endpoints = view.document().endpoints.iter().map(|(_, endpoint)| endpoint.as_ref());
        let mut servers: HashMap<_, Vec<_>> = HashMap::new();
        for endpoint in endpoints.filter(|endpoint| !endpoint.leaving) {
            for model in view.models(endpoint) {
                servers.entry(model).or_default().push(endpoint.id);
            }
        }
        view.servers = servers;
        view
    }

    /// Its number.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state.version
    }

    /// The document.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.state.document
    }

    /// Look-ups in the document.
    #[must_use]
    pub fn index(&self) -> &Index {
        &self.state.index
    }

    /// Where an endpoint listens.
    #[must_use]
    pub fn address(&self, endpoint: id::Endpoint) -> Option<SocketAddr> {
        self.addresses.get(&endpoint).copied()
    }

    /// The endpoints of a pool.
    pub fn endpoints<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.document().endpoints.iter().map(|(_, endpoint)| endpoint.as_ref());
        endpoints.filter(move |endpoint| endpoint.pool == pool)
    }

    /// What the scheduler knows of an endpoint.
    #[must_use]
    pub fn scheduled(&self, endpoint: &Endpoint, leaving: bool) -> pool::Endpoint {
        let models = self.models(endpoint);
        pool::Endpoint {
            leaving: endpoint.leaving || leaving,
            ..pool::Endpoint::new(endpoint.id, endpoint.slots, models)
        }
    }

    /// Whether an endpoint serves a model or route that is not leaving by the configuration.
    #[must_use]
    pub fn is_served(&self, model: Model) -> bool {
        !self.servers(model).is_empty()
    }

    /// The endpoints that serve a model or route and are not leaving.
    #[must_use]
    pub fn servers(&self, model: Model) -> &[id::Endpoint] {
        self.servers.get(&model).map_or(&[], Vec::as_slice)
    }

    /// The endpoints of a pool that serve a model or route and are not leaving.
    pub fn servers_in<'a>(
        &'a self,
        pool: &'a str,
        model: Model,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let servers = self.servers(model).iter().filter_map(|id| self.endpoint(*id));
        servers.filter(move |endpoint| endpoint.pool == pool)
    }

    /// An endpoint as the configuration has it.
    #[must_use]
    pub fn endpoint(&self, id: id::Endpoint) -> Option<&Endpoint> {
        self.document().endpoints.get(self.index().endpoint(id)?)
    }

    /// The models or the route that the configuration wants of an endpoint.
    #[must_use]
    pub fn models(&self, endpoint: &Endpoint) -> Vec<Model> {
        match endpoint.kind {
            Service::Engine => endpoint.models.iter().filter_map(|name| self.model(name)).collect(),
            Service::Application => endpoint.route.iter().map(|name| route_number(name)).collect(),
        }
    }

    /// What the scheduler knows of the customers.
    #[must_use]
    pub fn customers(&self) -> Vec<pool::Customer> {
        self.document()
            .customers
            .iter()
            .map(|(_, customer)| pool::Customer {
                weight: customer.weight,
                max_in_flight: customer.max_in_flight,
                max_queued: customer.max_queue,
                rate: customer.rate_per_second.map(|per_second| Rate {
                    per_second,
                    burst: per_second.saturating_mul(RATE_BURST_SECONDS),
                }),
                ..pool::Customer::new(customer.id)
            })
            .collect()
    }

    /// The number of a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<Model> {
        self.document().models.get(name).map(|model| model.id)
    }
}

/// The number of a route in tickets, which name a model or a route. It is derived from the name, so that all routers
/// agree without a number in the configuration.
///
/// ```
/// use siskin_router::view::route_number;
/// assert_eq!(route_number("bookings"), route_number("bookings"));
/// assert_ne!(route_number("bookings"), route_number("stock"));
/// ```
#[must_use]
pub fn route_number(name: &str) -> Model {
    let hash = blake3::hash(name.as_bytes());
    let bytes = hash.as_bytes();
    Model(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) | ROUTE_BIT)
}
