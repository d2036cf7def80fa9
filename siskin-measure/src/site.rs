//! Stand-ins and routers of one run, in this process.

use {
    crate::{Options, caller, mode::Mode, page::Page, workload::Customer},
    anyhow::Context,
    serde_json::{Map, json},
    siskin_config::document::{Document, Hash},
    siskin_router::{router::Router, settings::Settings},
    siskin_standin::{application, engine, kv, vms},
    siskin_types::id::Node,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time,
};

/// Longest time for all routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between looks at the routers while they become ready.
const READY_CHECK: Duration = Duration::from_millis(20);

/// Attempts at starting a router.
const START_ATTEMPTS: u32 = 20;

/// Time for routers to stop at the end; what is still in flight is cancelled.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest cost of one model call, in tokens.
pub(crate) const MAX_REQUEST: u64 = 1_000;

/// Lead up to which a router reuses a slot, in tokens per unit of weight.
pub(crate) const REUSE_SLACK: u64 = 2_000;

/// Slots of the application.
const APPLICATION_SLOTS: u32 = 16;

/// Requests of a customer that wait at one router.
const MAX_QUEUE: u32 = 100;

/// Data centres that routers and endpoints are spread over.
const DATA_CENTRES: u32 = 4;

/// Router that a restart kills; not the only one, and seldom the owner of a pool.
const VICTIM: usize = 1;

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) engines: Vec<engine::Server>,
    pub(crate) bookings: application::Server,
    pub(crate) store: kv::Server,
    _vms: vms::Server,
    seats: Mutex<Vec<Seat>>,
    callers: Vec<SocketAddr>,
}

/// A router with what is needed to start it again.
#[derive(Debug)]
struct Seat {
    settings: Settings,
    router: Option<Router>,
    /// Starts of this router.
    starts: u32,
    /// Counters of its killed predecessors.
    lost: Page,
}

impl Seat {
    /// Counters of the router, those of its killed predecessors included.
    fn page(&self) -> Page {
        let mut page = self.lost.clone();
        if let Some(router) = &self.router {
            page.add(&router.metrics().page());
        }
        page
    }
}

/// What a router says about itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Version {
    pub(crate) router: usize,
    pub(crate) start: u32,
    pub(crate) in_force: u64,
}

impl Site {
    pub(crate) async fn start(
        options: &Options,
        mode: Mode,
        customers: &[Customer],
    ) -> anyhow::Result<Self> {
        let engine = engine::Options {
            slots: options.engine_slots,
            token_interval: options.token_interval,
            prompt_token: Duration::from_micros(20),
            ..engine::Options::default()
        };
        let engines = (0..options.engines)
            .map(|_| engine::Server::start(engine.clone()))
            .collect::<Result<Vec<_>, _>>()
            .context("the stand-in engines do not start")?;
        let bookings = application::Options { slots: APPLICATION_SLOTS, ..Default::default() };
        let bookings = application::Server::start(bookings)
            .context("the stand-in application does not start")?;
        let store = kv::Server::start(kv::Options::default())
            .context("the stand-in store does not start")?;
        let vms = vms::Server::start(vms::Options::default())
            .context("the stand-in list of VMs does not start")?;
        let document = document(&engines, &bookings, options, customers)?;
        let mut seats: Vec<Seat> = Vec::new();
        for number in 0..mode.routers(options.routers) {
            let seeds = seats.iter().map(|seat| seat.settings.control).take(3).collect();
            let mut settings = settings(number, mode, seeds, document.clone());
            settings.store = vec![store.address()];
            settings.vm_list = Some(vms.address());
            settings.fleet_size = mode.routers(options.routers);
            let router = start_router(&settings).await?;
            settings.listen = router.callers();
            settings.control = router.control();
            settings.operator = router.operators();
            seats.push(Seat { settings, router: Some(router), starts: 1, lost: Page::default() });
        }
        let callers = seats.iter().map(|seat| seat.settings.listen).collect();
        let seats = Mutex::new(seats);
        Ok(Self { engines, bookings, store, _vms: vms, seats, callers })
    }

    /// Waits until all routers take requests and see each other.
    pub(crate) async fn ready(&self) -> anyhow::Result<()> {
        let ready = async {
            while !self.is_ready() {
                time::sleep(READY_CHECK).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready).await.context("the routers did not become ready")
    }

    fn is_ready(&self) -> bool {
        let seats = self.lock();
        let count = seats.len();
        let mut routers = seats.iter().filter_map(|seat| seat.router.as_ref());
        routers.all(|router| router.ready() && router.visible() == count)
    }

    /// Addresses for callers.
    pub(crate) fn callers(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Counters of each router.
    pub(crate) fn pages(&self) -> Vec<Page> {
        self.lock().iter().map(Seat::page).collect()
    }

    /// Configuration versions in force.
    pub(crate) fn versions(&self) -> Vec<Version> {
        let seats = self.lock();
        let running = seats.iter().enumerate().filter_map(|(index, seat)| {
            let in_force = seat.router.as_ref()?.config_version();
            Some(Version { router: index, start: seat.starts, in_force })
        });
        running.collect()
    }

    /// Kills a router, as the loss of its VM does.
    pub(crate) fn kill_router(&self) {
        let mut seats = self.lock();
        let index = VICTIM.min(seats.len() - 1);
        let seat = &mut seats[index];
        seat.lost = seat.page();
        if let Some(router) = seat.router.take() {
            router.kill();
        }
    }

    /// Starts the killed router again at its addresses, without memory.
    pub(crate) async fn start_router(&self) -> anyhow::Result<()> {
        let (index, mut settings) = {
            let seats = self.lock();
            let index = VICTIM.min(seats.len() - 1);
            (index, seats[index].settings.clone())
        };
        settings.seeds = {
            let seats = self.lock();
            let others = seats.iter().enumerate().filter(|(other, _)| *other != index);
            others.map(|(_, seat)| seat.settings.control).take(3).collect()
        };
        let router = start_router(&settings).await?;
        let seat = &mut self.lock()[index];
        seat.router = Some(router);
        seat.starts += 1;
        Ok(())
    }

    /// Cuts the first half of the data centres off from the second.
    pub(crate) fn partition(&self) {
        let seats = self.lock();
        let half = |seat: &Seat| seat.settings.node.0 % DATA_CENTRES < DATA_CENTRES / 2;
        for seat in seats.iter() {
            let other = seats.iter().filter(|other| half(other) != half(seat));
            let nodes: Vec<_> = other.map(|other| other.settings.node).collect();
            if let Some(router) = &seat.router {
                router.block(&nodes);
            }
        }
    }

    /// Ends the partition.
    pub(crate) fn heal(&self) {
        for seat in self.lock().iter() {
            if let Some(router) = &seat.router {
                router.block(&[]);
            }
        }
    }

    pub(crate) async fn stop(self) {
        let seats = self.seats.into_inner().unwrap_or_else(PoisonError::into_inner);
        let mut stopping = tokio::task::JoinSet::new();
        for router in seats.into_iter().filter_map(|seat| seat.router) {
            stopping.spawn(router.stop());
        }
        stopping.join_all().await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seat>> {
        crate::lock(&self.seats)
    }
}

/// Starts a router. A router needs the same port number for UDP and TCP, which another connection of this
/// process may have taken for one of them, so it is tried again.
async fn start_router(settings: &Settings) -> anyhow::Result<Router> {
    for _ in 1..START_ATTEMPTS {
        match Router::start(settings.clone()).await {
            Ok(router) => return Ok(router),
            Err(error) => log::debug!("a router did not start: {error:#}"),
        }
        time::sleep(READY_CHECK).await;
    }
    Router::start(settings.clone()).await
}

fn settings(number: u32, mode: Mode, seeds: Vec<SocketAddr>, document: Document) -> Settings {
    let store = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        data_centre: data_centre(number),
        stop_timeout: STOP_TIMEOUT,
        scheduling: mode.scheduling(),
        ..siskin_site::settings(Node(number), seeds, store, document)
    }
}

fn data_centre(number: u32) -> String {
    format!("dc{}", number % DATA_CENTRES + 1)
}

/// The configuration of the site.
fn document(
    engines: &[engine::Server],
    bookings: &application::Server,
    options: &Options,
    customers: &[Customer],
) -> anyhow::Result<Document> {
    let mut endpoints = Map::new();
    for (number, engine) in (1..).zip(engines) {
        let endpoint = json!({
            "id": number, "kind": "engine", "pool": "chat", "address": engine.address(),
            "data_centre": data_centre(number), "models": ["small"], "slots": options.engine_slots,
        });
        endpoints.insert(format!("engine-{number}"), endpoint);
    }
    let endpoint = json!({
        "id": 1_000, "kind": "application", "pool": "bookings", "address": bookings.address(),
        "data_centre": data_centre(0), "route": "bookings", "slots": APPLICATION_SLOTS,
    });
    endpoints.insert("bookings-1".to_owned(), endpoint);
    let mut parties = Map::new();
    for (index, customer) in customers.iter().enumerate() {
        let party = json!({
            "id": index + 1, "weight": customer.weight,
            "max_in_flight": 10_000, "max_queue": MAX_QUEUE,
            "key_hashes": [Hash::of(caller::key(index).as_bytes())],
        });
        parties.insert(caller::user(index), party);
    }
    let document = json!({
        "customers": parties,
        "pools": {
            "chat": {
                "id": 1, "unit": "tokens", "max_request": MAX_REQUEST, "reuse_slack": REUSE_SLACK,
            },
            "bookings": { "id": 2, "unit": "milliseconds", "max_request": 30_000 },
        },
        "models": { "small": { "id": 1, "pool": "chat" } },
        "routes": { "bookings": { "pool": "bookings" } },
        "endpoints": endpoints,
    });
    serde_json::from_value(document).context("the site's configuration is malformed")
}
