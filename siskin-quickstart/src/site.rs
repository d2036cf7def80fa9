//! A small site: stand-in engines, an application and routers.

use {
    anyhow::Context,
    serde_json::json,
    siskin_config::document::{Document, Hash},
    siskin_router::{
        router::Router,
        settings::{Scheduling, Secret, Settings},
    },
    siskin_standin::{application, engine},
    siskin_types::id::Node,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time,
};

/// API key of the customer in the examples.
pub(crate) const CUSTOMER_KEY: &str = "quickstart-key";

/// Secrets of a site that listens on loopback only.
const FLEET_KEY: &str = "quickstart-fleet-key";
const OPERATOR_TOKEN: &str = "quickstart-operator-token";

/// Engines of the site.
const ENGINES: u32 = 3;

/// Longest time for all routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Everything that runs.
pub(crate) struct Site {
    pub(crate) engines: Vec<engine::Server>,
    pub(crate) bookings: application::Server,
    pub(crate) routers: Vec<Router>,
}

impl Site {
    pub(crate) async fn start(routers: u32) -> anyhow::Result<Self> {
        let engines = (0..ENGINES)
            .map(|_| engine::Server::start(engine::Options::default()))
            .collect::<Result<Vec<_>, _>>()
            .context("stand-in engines cannot start")?;
        let bookings = application::Server::start(application::Options::default())
            .context("stand-in application cannot start")?;
        let document = document(&engines, &bookings)?;
        let mut site = Self { engines, bookings, routers: Vec::new() };
        for node in 1..=routers {
            let seeds = site.routers.iter().map(Router::control).collect();
            let settings = settings(node, seeds, document.clone());
            site.routers.push(Router::start(settings).await?);
        }
        Ok(site)
    }

    /// Waits until all routers take requests and see each other.
    pub(crate) async fn ready(&self) -> anyhow::Result<()> {
        let count = self.routers.len();
        let ready = async {
            while !self.routers.iter().all(|router| router.ready() && router.visible() == count) {
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready).await.context("the routers did not become ready")
    }

    pub(crate) async fn stop(self) {
        for router in self.routers {
            router.stop().await;
        }
    }
}

fn settings(node: u32, seeds: Vec<SocketAddr>, document: Document) -> Settings {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        node: Node(node),
        data_centre: "loopback".to_owned(),
        listen: any,
        control: any,
        operator: any,
        seeds,
        store: Vec::new(),
        vm_list: None,
        bootstrap: Some(document),
        stop_timeout: Duration::from_secs(5),
        stop_notice: Duration::ZERO,
        scheduling: Scheduling::Fleet,
        fleet_size: 1,
        fleet_key: Secret::new(FLEET_KEY),
        fleet_key_next: None,
        operator_token: Secret::new(OPERATOR_TOKEN),
        log: String::new(),
    }
}

/// The configuration of the site.
fn document(
    engines: &[engine::Server],
    bookings: &application::Server,
) -> anyhow::Result<Document> {
    let mut endpoints = serde_json::Map::new();
    for (number, engine) in (1..).zip(engines) {
        let endpoint = json!({
            "id": number, "kind": "engine", "pool": "chat", "address": engine.address(),
            "data_centre": "loopback", "models": ["small"], "slots": 8
        });
        endpoints.insert(format!("engine-{number}"), endpoint);
    }
    let endpoint = json!({
        "id": 100, "kind": "application", "pool": "bookings", "address": bookings.address(),
        "data_centre": "loopback", "route": "bookings", "slots": 8
    });
    endpoints.insert("bookings-1".to_owned(), endpoint);
    let document = json!({
        "customers": {
            "agency": {
                "id": 1, "weight": 1, "max_in_flight": 64, "max_queue": 500,
                "key_hashes": [Hash::of(CUSTOMER_KEY.as_bytes())]
            }
        },
        "pools": {
            "chat": { "id": 1, "unit": "tokens", "max_request": 8000 },
            "bookings": { "id": 2, "unit": "milliseconds", "max_request": 30000 }
        },
        "models": { "small": { "id": 1, "pool": "chat" } },
        "routes": { "bookings": { "pool": "bookings" } },
        "endpoints": endpoints
    });
    serde_json::from_value(document).context("the site's configuration is malformed")
}
