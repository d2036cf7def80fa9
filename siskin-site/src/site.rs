//! Starts and stops a site.

use {
    crate::options::Options,
    anyhow::Context,
    siskin_config::document::Document,
    siskin_router::{
        router::Router,
        settings::{Scheduling, Secret, Settings},
    },
    siskin_standin::{application, engine, kv},
    siskin_types::id::Node,
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// Secrets of a site that listens on loopback only.
const FLEET_KEY: &str = "loopback-fleet-key";
const HASH_KEY: &str = "loopback-hash-key";

/// Token of the operators' interface of every router of a site.
pub const OPERATOR_TOKEN: &str = "loopback-operator-token";

/// Longest time for all routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between looks at the routers while they become ready.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The engines.
    pub engines: Vec<engine::Server>,
    /// The endpoints of each application, in the order of the options.
    pub applications: Vec<Vec<application::Server>>,
    /// The key-value service.
    pub store: kv::Server,
    /// The routers, by index; `None` for one that was stopped or killed.
    pub routers: Vec<Option<Router>>,
    /// The configuration that the routers started with.
    pub document: Document,
}

impl Site {
    /// Starts the stand-ins and the routers, without waiting for the routers to become ready.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot bind its port.
    pub async fn start(options: Options) -> anyhow::Result<Self> {
        Self::start_with(options, |settings| settings).await
    }

    /// As [`Site::start`], with changed settings of the routers.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot bind its port.
    pub async fn start_with(
        options: Options,
        change: impl Fn(Settings) -> Settings,
    ) -> anyhow::Result<Self> {
        let engines = options
            .engines
            .iter()
            .map(|options| engine::Server::start(options.clone()))
            .collect::<Result<Vec<_>, _>>()
            .context("engines cannot start")?;
        let applications = options
            .applications
            .iter()
            .map(|application| {
                let endpoints = application.endpoints.iter();
                endpoints.map(|options| application::Server::start(options.clone())).collect()
            })
            .collect::<Result<Vec<Vec<_>>, _>>()
            .context("applications cannot start")?;
        let store = kv::Server::start(options.store.clone()).context("the store cannot start")?;
        let engine_addresses: Vec<_> = engines.iter().map(engine::Server::address).collect();
        let application_addresses: Vec<Vec<_>> = applications
            .iter()
            .map(|servers| servers.iter().map(application::Server::address).collect())
            .collect();
        let document = options.document(&engine_addresses, &application_addresses);
        let document =
            serde_json::from_value(document).context("the site's configuration is malformed")?;
        let mut site = Self { engines, applications, store, routers: Vec::new(), document };
        for _ in 0..options.routers {
            site.add_router(&change).await?;
        }
        Ok(site)
    }

    /// Starts one more router that joins through the running ones.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot bind its ports.
    pub async fn add_router(
        &mut self,
        change: impl Fn(Settings) -> Settings,
    ) -> anyhow::Result<usize> {
        let index = self.routers.len();
        self.routers.push(None);
        self.restart_router(index, change).await?;
        Ok(index)
    }

    /// Starts the router of this index anew, with no memory of the earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot bind its ports.
    pub async fn restart_router(
        &mut self,
        index: usize,
        change: impl Fn(Settings) -> Settings,
    ) -> anyhow::Result<()> {
        let seeds = self.running().map(Router::control).collect();
        let node = Node(u32::try_from(index).context("too many routers")? + 1);
        let settings = settings(node, seeds, self.store.address(), self.document.clone());
        self.routers[index] = Some(Router::start(change(settings)).await?);
        Ok(())
    }

    /// The running routers.
    pub fn running(&self) -> impl Iterator<Item = &Router> {
        self.routers.iter().flatten()
    }

    /// A running router.
    ///
    /// # Panics
    ///
    /// Panics if there is no running router of this index.
    #[must_use]
    pub fn router(&self, index: usize) -> &Router {
        self.routers[index].as_ref().expect("the router is running")
    }

    /// Waits until all running routers take requests and see each other.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn ready(&self) -> anyhow::Result<()> {
        let count = self.running().count();
        let ready = async {
            while !self.running().all(|router| router.ready() && router.visible() == count) {
                time::sleep(READY_INTERVAL).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready).await.context("the routers did not become ready")
    }

    /// Kills a router at once, as a crash of its VM would.
    pub fn kill_router(&mut self, index: usize) {
        if let Some(router) = self.routers[index].take() {
            router.kill();
        }
    }

    /// Stops the routers in order, then the stand-ins.
    pub async fn stop(self) {
        for router in self.routers.into_iter().flatten() {
            router.stop().await;
        }
    }
}

/// Settings of a router of a site on loopback, at the address of the store.
#[must_use]
pub fn settings(
    node: Node,
    seeds: Vec<SocketAddr>,
    store: SocketAddr,
    document: Document,
) -> Settings {
    let any = SocketAddr::from((store.ip(), 0));
    Settings {
        node,
        data_centre: "loopback".to_owned(),
        listen: any,
        control: any,
        operator: any,
        seeds,
        store: vec![store],
        vm_list: None,
        bootstrap: Some(document),
        stop_timeout: Duration::from_secs(5),
        stop_notice: Duration::ZERO,
        scheduling: Scheduling::Fleet,
        fleet_size: 1,
        fleet_key: Secret::new(FLEET_KEY),
        fleet_key_next: None,
        hash_key: Secret::new(HASH_KEY),
        operator_token: Secret::new(OPERATOR_TOKEN),
        log: String::new(),
    }
}
