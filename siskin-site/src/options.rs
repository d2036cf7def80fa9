//! What a site consists of.

use {
    serde_json::{Map, Value, json},
    siskin_config::document::Hash,
    siskin_standin::{application, engine, kv},
    std::net::SocketAddr,
};

/// Largest cost of one model call in tokens.
const MAX_CHAT_TOKENS: u64 = 8_000;

/// Data centre of everything on a site without data centres.
const DATA_CENTRE: &str = "loopback";

/// Longest application call in milliseconds.
const MAX_CALL_MS: u64 = 30_000;

/// A customer of the site. Its API key is `<name>-key`.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name in the configuration.
    pub name: String,
    /// Share relative to others.
    pub weight: u32,
    /// Requests that may wait at one router.
    pub max_queue: u32,
    /// Requests that may be in flight.
    pub max_in_flight: u32,
}

impl Customer {
    /// A customer of weight one.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self { name: name.to_owned(), weight: 1, max_queue: 1_000, max_in_flight: 100_000 }
    }

    /// The API key.
    ///
    /// ```
    /// assert_eq!(siskin_site::Customer::new("agency").key(), "agency-key");
    /// ```
    #[must_use]
    pub fn key(&self) -> String {
        format!("{}-key", self.name)
    }

    /// Its section of the configuration.
    ///
    /// ```
    /// let section = siskin_site::Customer::new("agency").section(7);
    /// assert_eq!(section["id"], 7);
    /// ```
    #[must_use]
    pub fn section(&self, id: u32) -> Value {
        json!({
            "id": id, "weight": self.weight, "max_in_flight": self.max_in_flight,
            "max_queue": self.max_queue, "key_hashes": [Hash::of(self.key().as_bytes())]
        })
    }
}

/// An endpoint of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint<'a> {
    /// Number, unique in the site.
    pub id: u32,
    /// Name of its pool.
    pub pool: &'a str,
    /// Address of the stand-in.
    pub address: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: &'a str,
    /// Requests that it serves at the same time.
    pub slots: u32,
}

impl Endpoint<'_> {
    /// Section of an engine that serves one model. `fencing`: the routers may rely on it to reject orders with an old
    /// number.
    #[must_use]
    pub fn engine(&self, model: &str, fencing: bool) -> Value {
        json!({
            "id": self.id, "kind": "engine", "pool": self.pool, "address": self.address,
            "data_centre": self.data_centre, "models": [model], "slots": self.slots,
            "fencing": if fencing { "checked" } else { "ignored" }
        })
    }

    /// Section of an application that serves one route.
    #[must_use]
    pub fn application(&self, route: &str) -> Value {
        json!({
            "id": self.id, "kind": "application", "pool": self.pool, "address": self.address,
            "data_centre": self.data_centre, "route": route, "slots": self.slots
        })
    }
}

/// Section of a pool of application endpoints.
#[must_use]
pub fn application_pool(id: u32) -> Value {
    json!({ "id": id, "unit": "milliseconds", "max_request": MAX_CALL_MS })
}

/// An application of the site, served by one endpoint each.
#[derive(Clone, Debug)]
pub struct Application {
    /// Name of its route.
    pub route: String,
    /// Whether its calls may be repeated.
    pub idempotent: bool,
    /// Endpoints that serve it.
    pub endpoints: Vec<application::Options>,
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of routers.
    pub routers: u32,
    /// Engines that serve the model `small`.
    pub engines: Vec<engine::Options>,
    /// Applications.
    pub applications: Vec<Application>,
    /// Customers.
    pub customers: Vec<Customer>,
    /// The key-value service.
    pub store: kv::Options,
    /// Settings of the fleet that differ from their defaults, as in the configuration.
    pub fleet: Value,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            routers: 2,
            engines: vec![engine::Options::default(); 3],
            applications: vec![
                Application {
                    route: "bookings".to_owned(),
                    idempotent: false,
                    endpoints: vec![application::Options::default(); 2],
                },
                Application {
                    route: "search".to_owned(),
                    idempotent: true,
                    endpoints: vec![application::Options::default(); 2],
                },
            ],
            customers: vec![Customer::new("agency"), Customer::new("planner")],
            store: kv::Options::default(),
            fleet: json!({}),
        }
    }
}

/// First number of the endpoints that serve applications.
pub(crate) const FIRST_APPLICATION: u32 = 1_000;

impl Options {
    /// The configuration document for endpoints at these addresses.
    pub(crate) fn document(
        &self,
        engines: &[SocketAddr],
        applications: &[Vec<SocketAddr>],
    ) -> Value {
        let mut endpoints = Map::new();
        let mut pools = Map::new();
        let mut routes = Map::new();
        pools.insert(
            "chat".to_owned(),
            json!({ "id": 1, "unit": "tokens", "max_request": MAX_CHAT_TOKENS }),
        );
        for (number, (address, options)) in (1..).zip(engines.iter().zip(&self.engines)) {
            let endpoint = Endpoint {
                id: number,
                pool: "chat",
                address: *address,
                data_centre: DATA_CENTRE,
                slots: options.slots,
            };
            let section = endpoint.engine("small", options.check_fencing);
            endpoints.insert(format!("engine-{number}"), section);
        }
        let mut number = FIRST_APPLICATION;
        for (index, (application, addresses)) in
            (2..).zip(self.applications.iter().zip(applications))
        {
            let route = &application.route;
            pools.insert(route.clone(), application_pool(index));
            routes.insert(
                route.clone(),
                json!({ "pool": route, "idempotent": application.idempotent }),
            );
            for (options, address) in application.endpoints.iter().zip(addresses) {
                let endpoint = Endpoint {
                    id: number,
                    pool: route,
                    address: *address,
                    data_centre: DATA_CENTRE,
                    slots: options.slots,
                };
                endpoints.insert(format!("{route}-{number}"), endpoint.application(route));
                number += 1;
            }
        }
        json!({
            "customers": self.customer_section(),
            "pools": pools,
            "models": { "small": { "id": 1, "pool": "chat" } },
            "routes": routes,
            "endpoints": endpoints,
            "fleet": self.fleet
        })
    }

    fn customer_section(&self) -> Map<String, Value> {
        let section =
            |(id, customer): (u32, &Customer)| (customer.name.clone(), customer.section(id));
        (1..).zip(&self.customers).map(section).collect()
    }
}
