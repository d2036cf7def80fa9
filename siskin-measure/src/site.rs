//! Stand-ins and routers of one run. The stand-ins run in this process, the routers as well or as processes.

use {
    crate::{
        Options, caller,
        mode::Mode,
        page::Page,
        workload::{self, Customer},
    },
    anyhow::Context,
    serde_json::{Map, Value, json},
    siskin_config::document::Document,
    siskin_router::{router, settings::Settings},
    siskin_site::{
        Endpoint,
        client::{Call, Client},
        options,
        process::{Process, Usage},
    },
    siskin_standin::{application, engine, fault, kv, vms},
    siskin_types::id::Node,
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        sync::{
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time},
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
pub(crate) const REUSE_SLACK: u64 = 1_000;

/// Slots of the application.
const APPLICATION_SLOTS: u32 = 16;

/// Requests of a customer that wait at one router.
const MAX_QUEUE: u32 = 100;

/// Requests of a customer in flight.
const MAX_IN_FLIGHT: u32 = 10_000;

/// Route of the application, and its pool.
const ROUTE: &str = "bookings";

/// Data centres that routers and endpoints are spread over.
const DATA_CENTRES: u32 = 4;

/// Time between reads of the versions of routers that run as processes. Each read costs the router a page of metrics,
/// so it is rarer than the samples.
const VERSION_CHECK: Duration = Duration::from_secs(2);

/// Customers without calls in one patch, which keeps it below the limit of 128 KB.
const CUSTOMERS_PER_PATCH: u32 = 400;

/// First number of the customers without calls.
const FIRST_REGISTERED: u32 = 10_000;

/// First number of the pools after the first.
const FIRST_POOL: u32 = 100;

/// Routers that join through the same seeds.
const SEEDS: usize = 3;

/// A running router.
#[derive(Debug)]
enum Router {
    /// In this process.
    Task(router::Router),
    /// As a process of the program.
    Process(Process),
}

impl Router {
    async fn start(settings: &Settings, launch: Option<&Launch>) -> anyhow::Result<Self> {
        Ok(match launch {
            None => Self::Task(router::Router::start(settings.clone()).await?),
            Some(Launch { program, document }) => {
                Self::Process(Process::start(program, settings, document).await?)
            }
        })
    }

    /// The settings with the addresses that the router has bound.
    const fn bound(&self, mut settings: Settings) -> Settings {
        let (callers, control, operators) = match self {
            Self::Task(router) => (router.callers(), router.control(), router.operators()),
            Self::Process(process) => (process.callers(), process.control(), process.operators()),
        };
        settings.listen = callers;
        settings.control = control;
        settings.operator = operators;
        settings
    }

    /// What the process has used; none for a router in this process.
    fn usage(&self) -> Option<Usage> {
        match self {
            Self::Task(_) => None,
            Self::Process(process) => match process.usage() {
                Ok(usage) => Some(usage),
                Err(error) => {
                    log::error!("the usage of a router cannot be read: {error}");
                    None
                }
            },
        }
    }

    async fn kill(self) {
        match self {
            Self::Task(router) => router.kill(),
            Self::Process(process) => {
                if let Err(error) = process.kill().await {
                    log::error!("a router cannot be ended: {error}");
                }
            }
        }
    }

    async fn stop(self) {
        match self {
            Self::Task(router) => router.stop().await,
            Self::Process(_) => self.kill().await,
        }
    }
}

/// How routers are run as processes. Dropping it removes the document.
#[derive(Debug)]
struct Launch {
    program: PathBuf,
    /// File with the configuration that the first router creates.
    document: PathBuf,
}

impl Launch {
    fn new(program: &Path, document: &Document) -> anyhow::Result<Self> {
        static FILES: AtomicU64 = AtomicU64::new(0);
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("siskin-measure-{}-{number}.json", std::process::id());
        let launch =
            Self { program: program.to_owned(), document: std::env::temp_dir().join(name) };
        let text = serde_json::to_vec(document)?;
        std::fs::write(&launch.document, text).with_context(|| {
            format!("cannot write {}; set TMPDIR to a writable folder", launch.document.display())
        })?;
        Ok(launch)
    }
}

impl Drop for Launch {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.document);
    }
}

/// Everything that runs.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) engines: Vec<engine::Server>,
    pub(crate) bookings: application::Server,
    pub(crate) store: kv::Server,
    _vms: vms::Server,
    launch: Option<Launch>,
    seats: Mutex<Vec<Seat>>,
    callers: Vec<SocketAddr>,
    operators: Vec<SocketAddr>,
    client: Client,
    /// Configuration version after the last accepted patch.
    version: AtomicU64,
    /// Engines that are lost with their data centre.
    lost_engines: Mutex<Vec<usize>>,
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
    /// Processor time of its killed predecessors.
    lost_processor: Duration,
    /// Version in force when it was last read.
    in_force: u64,
}

impl Seat {
    /// Usage of the router, the processor time of its killed predecessors included.
    fn usage(&self) -> Option<Usage> {
        let usage = match &self.router {
            Some(router) => router.usage()?,
            None => Usage::default(),
        };
        Some(Usage { processor: usage.processor + self.lost_processor, ..usage })
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
        let launch = options.program.as_deref().map(|program| Launch::new(program, &document));
        let launch = launch.transpose()?;
        let mut seats: Vec<Seat> = Vec::new();
        for number in 0..mode.routers(options.routers) {
            let seeds = seats.iter().map(|seat| seat.settings.control).take(SEEDS).collect();
            let mut settings = settings(number, mode, seeds, document.clone());
            settings.store = vec![store.address()];
            settings.vm_list = Some(vms.address());
            settings.fleet_size = mode.routers(options.routers);
            let router = start_router(&settings, launch.as_ref()).await?;
            seats.push(Seat {
                settings: router.bound(settings),
                router: Some(router),
                starts: 1,
                lost: Page::default(),
                lost_processor: Duration::ZERO,
                in_force: 0,
            });
        }
        let callers = seats.iter().map(|seat| seat.settings.listen).collect();
        let operators = seats.iter().map(|seat| seat.settings.operator).collect();
        Ok(Self {
            engines,
            bookings,
            store,
            _vms: vms,
            launch,
            seats: Mutex::new(seats),
            callers,
            operators,
            client: Client::new(),
            version: AtomicU64::new(1),
            lost_engines: Mutex::default(),
        })
    }

    /// Waits until all routers take requests, see each other and have the latest configuration.
    pub(crate) async fn ready(&self) -> anyhow::Result<()> {
        let ready = async {
            while !self.is_ready().await {
                time::sleep(READY_CHECK).await;
            }
        };
        time::timeout(READY_TIMEOUT, ready).await.context("the routers did not become ready")
    }

    async fn is_ready(&self) -> bool {
        let count = self.operators.len();
        if self.launch.is_none() {
            let seats = self.lock();
            let mut routers = seats.iter().filter_map(|seat| seat.router.as_ref());
            return routers.all(|router| match router {
                Router::Task(router) => {
                    router.ready()
                        && router.visible() == count
                        && router.config_version() >= self.version.load(Ordering::Relaxed)
                }
                Router::Process(_) => false,
            });
        }
        for operator in &self.operators {
            let ready = self.client.send(&Call::operator(*operator, "/readyz")).await;
            if !ready.is_ok_and(|answer| answer.status.is_success()) {
                return false;
            }
            let Some(page) = self.fetch(*operator).await else { return false };
            // A router alone is never told of a change of its members.
            let seen = page.sum("siskin_members", &[("state", "visible")]);
            if count > 1 && seen < f64::from(u32::try_from(count).unwrap_or(u32::MAX)) {
                return false;
            }
            if version_of(&page) < self.version.load(Ordering::Relaxed) {
                return false;
            }
        }
        true
    }

    /// Addresses for callers.
    pub(crate) fn callers(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Reads the counters of a router over its operators' interface.
    async fn fetch(&self, operator: SocketAddr) -> Option<Page> {
        let answer = self.client.send(&Call::operator(operator, "/metrics")).await.ok()?;
        let mut page = Page::default();
        page.add(&answer.body);
        (answer.complete && answer.status.is_success()).then_some(page)
    }

    /// Counters of each router, those of its killed predecessors included.
    pub(crate) async fn pages(&self) -> Vec<Page> {
        let mut pages = Vec::new();
        for index in 0..self.operators.len() {
            pages.push(self.page(index).await);
        }
        pages
    }

    async fn page(&self, index: usize) -> Page {
        let (mut page, operator) = {
            let seats = self.lock();
            let seat = &seats[index];
            let mut page = seat.lost.clone();
            let operator = match &seat.router {
                Some(Router::Task(router)) => {
                    page.add(&router.metrics().page());
                    None
                }
                Some(Router::Process(process)) => Some(process.operators()),
                None => None,
            };
            (page, operator)
        };
        if let Some(operator) = operator {
            match self.fetch(operator).await {
                Some(own) => page.merge(&own),
                None => log::error!("the metrics of router {index} cannot be read"),
            }
        }
        page
    }

    /// What each router has used; none for routers in this process.
    pub(crate) fn usage(&self) -> Vec<Option<Usage>> {
        let usage = |seat: &Seat| self.launch.as_ref().and_then(|_| seat.usage());
        self.lock().iter().map(usage).collect()
    }

    /// Configuration versions in force. Those of processes are the last that were read.
    pub(crate) fn versions(&self) -> Vec<Version> {
        let seats = self.lock();
        let running = seats.iter().enumerate().filter_map(|(index, seat)| {
            let in_force = match seat.router.as_ref()? {
                Router::Task(router) => router.config_version(),
                Router::Process(_) => seat.in_force,
            };
            Some(Version { router: index, start: seat.starts, in_force })
        });
        running.collect()
    }

    /// Reads the versions of routers that run as processes, again and again.
    pub(crate) async fn follow_versions(&self) {
        if self.launch.is_none() {
            return;
        }
        loop {
            for (index, operator) in self.operators.iter().enumerate() {
                let start = self.lock()[index].starts;
                let page = self.fetch(*operator).await;
                let mut seats = self.lock();
                let seat = &mut seats[index];
                // An answer of a predecessor says nothing about the router that runs now.
                if let Some(page) = page.filter(|_| seat.starts == start) {
                    seat.in_force = version_of(&page);
                }
            }
            time::sleep(VERSION_CHECK).await;
        }
    }

    /// Adds customers that send nothing.
    pub(crate) async fn register(&self, customers: u32) -> anyhow::Result<()> {
        for first in (0..customers).step_by(CUSTOMERS_PER_PATCH as usize) {
            let last = customers.min(first + CUSTOMERS_PER_PATCH);
            let section: Map<String, Value> = (first..last).map(registered).collect();
            self.patch(&json!({ "customers": section })).await?;
        }
        Ok(())
    }

    /// Changes the configuration as often as asked for, and returns how many changes were accepted.
    pub(crate) async fn change(&self, count: u32, start: time::Instant, spacing: Duration) -> u32 {
        let mut accepted = 0;
        for number in 0..count {
            time::sleep_until(start + spacing * number).await;
            // The limit is far above what waits, so the change alters nothing in the run.
            let limit = MAX_IN_FLIGHT + number % 2;
            let changes = json!({ "customers": { caller::user(0): { "max_in_flight": limit } } });
            match self.patch(&changes).await {
                Ok(()) => accepted += 1,
                Err(error) => {
                    log::warn!("a configuration change was not accepted: {error:#}");
                    if let Some(page) = self.fetch(self.operators[0]).await {
                        self.version.store(version_of(&page), Ordering::Relaxed);
                    }
                }
            }
        }
        accepted
    }

    /// Submits a patch at the first router.
    async fn patch(&self, changes: &Value) -> anyhow::Result<()> {
        let base = self.version.load(Ordering::Relaxed);
        let patch = Call::patch(self.operators[0], &format!("measure-{base}"), base, changes);
        let version = self.client.patch(&patch).await?;
        self.version.store(version, Ordering::Relaxed);
        Ok(())
    }

    /// Routers of a data centre, by number.
    pub(crate) fn routers_of(&self, data_centre: &str) -> Vec<usize> {
        let seats = self.lock();
        let inside = |(_, seat): &(usize, &Seat)| seat.settings.data_centre == data_centre;
        seats.iter().enumerate().filter(inside).map(|(index, _)| index).collect()
    }

    /// Kills routers at the same time, as the loss of their VMs does.
    pub(crate) async fn kill_routers(&self, victims: &[usize]) {
        for index in victims {
            let page = self.page(*index).await;
            let seat = &mut self.lock()[*index];
            seat.lost = page;
            seat.lost_processor = seat.usage().unwrap_or_default().processor;
        }
        let mut killing = JoinSet::new();
        for index in victims {
            if let Some(router) = self.lock()[*index].router.take() {
                killing.spawn(router.kill());
            }
        }
        killing.join_all().await;
    }

    /// Starts killed routers again at their addresses, without memory.
    pub(crate) async fn start_routers(&self, victims: &[usize]) -> anyhow::Result<()> {
        for index in victims {
            let mut settings = self.lock()[*index].settings.clone();
            settings.seeds = {
                let seats = self.lock();
                let others = seats.iter().enumerate().filter(|(other, _)| other != index);
                others.map(|(_, seat)| seat.settings.control).take(SEEDS).collect()
            };
            let router = start_router(&settings, self.launch.as_ref()).await?;
            let seat = &mut self.lock()[*index];
            seat.router = Some(router);
            seat.starts += 1;
            seat.in_force = 0;
        }
        Ok(())
    }

    /// Ends the engines of a data centre; they accept connections again after `pause`.
    pub(crate) fn lose_engines(&self, data_centre: &str, pause: Duration) {
        let restart_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        let mut lost = crate::lock(&self.lost_engines);
        for (index, engine) in self.engines.iter().enumerate() {
            if engine_data_centre(index) == data_centre {
                engine.command(fault::Command::always(fault::Fault::Crash { restart_ms }));
                lost.push(index);
            }
        }
    }

    /// The lost engines count again.
    pub(crate) fn engines_return(&self) {
        crate::lock(&self.lost_engines).clear();
    }

    /// Engines that are not lost with their data centre.
    pub(crate) fn running_engines(&self) -> Vec<&engine::Server> {
        let lost = crate::lock(&self.lost_engines);
        let running = self.engines.iter().enumerate().filter(|(index, _)| !lost.contains(index));
        running.map(|(_, engine)| engine).collect()
    }

    /// Cuts the first half of the data centres off from the second.
    pub(crate) fn partition(&self) {
        let seats = self.lock();
        let half = |seat: &Seat| seat.settings.node.0 % DATA_CENTRES < DATA_CENTRES / 2;
        for seat in seats.iter() {
            let other = seats.iter().filter(|other| half(other) != half(seat));
            let nodes: Vec<_> = other.map(|other| other.settings.node).collect();
            seat.block(&nodes);
        }
    }

    /// Ends the partition.
    pub(crate) fn heal(&self) {
        self.lock().iter().for_each(|seat| seat.block(&[]));
    }

    pub(crate) async fn stop(self) {
        let seats = self.seats.into_inner().unwrap_or_else(PoisonError::into_inner);
        let mut stopping = JoinSet::new();
        for router in seats.into_iter().filter_map(|seat| seat.router) {
            stopping.spawn(router.stop());
        }
        stopping.join_all().await;
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seat>> {
        crate::lock(&self.seats)
    }
}

impl Seat {
    /// Cuts the router off from others. The options refuse a partition of processes.
    fn block(&self, nodes: &[Node]) {
        if let Some(Router::Task(router)) = &self.router {
            router.block(nodes);
        }
    }
}

/// The configuration version on a page of metrics.
fn version_of(page: &Page) -> u64 {
    // Versions are whole numbers far below the point where doubles lose them.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let version = page.sum("siskin_config_version", &[]) as u64;
    version
}

/// A customer that sends nothing.
fn registered(number: u32) -> (String, Value) {
    let name = format!("registered-{number}");
    let customer = siskin_site::Customer { max_in_flight: 64, ..siskin_site::Customer::new(&name) };
    (name, customer.section(FIRST_REGISTERED + number))
}

/// Starts a router. A router needs the same port number for UDP and TCP, which another connection of this
/// process may have taken for one of them, so it is tried again.
async fn start_router(settings: &Settings, launch: Option<&Launch>) -> anyhow::Result<Router> {
    for _ in 1..START_ATTEMPTS {
        match Router::start(settings, launch).await {
            Ok(router) => return Ok(router),
            Err(error) => log::debug!("a router did not start: {error:#}"),
        }
        time::sleep(READY_CHECK).await;
    }
    Router::start(settings, launch).await
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

/// Data centre of an engine by its index. Engines are numbered from 1.
fn engine_data_centre(index: usize) -> String {
    data_centre(u32::try_from(index + 1).unwrap_or_default())
}

/// Name of the pool of a model.
fn pool(model: u32) -> String {
    if model == 0 { "chat".to_owned() } else { format!("chat-{model}") }
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
        let model = (number - 1) % options.models;
        let endpoint = Endpoint {
            id: number,
            pool: &pool(model),
            address: engine.address(),
            data_centre: &data_centre(number),
            slots: options.engine_slots,
        };
        let section = endpoint.engine(&workload::model(model), false);
        endpoints.insert(format!("engine-{number}"), section);
    }
    let mut pools = Map::new();
    let mut models = Map::new();
    for model in 0..options.models {
        let id = if model == 0 { 1 } else { FIRST_POOL + model };
        let section = json!({
            "id": id, "unit": "tokens", "max_request": MAX_REQUEST, "reuse_slack": REUSE_SLACK,
        });
        pools.insert(pool(model), section);
        models.insert(workload::model(model), json!({ "id": id, "pool": pool(model) }));
    }
    pools.insert(ROUTE.to_owned(), options::application_pool(2));
    let endpoint = Endpoint {
        id: 1_000,
        pool: ROUTE,
        address: bookings.address(),
        data_centre: &data_centre(0),
        slots: APPLICATION_SLOTS,
    };
    endpoints.insert("bookings-1".to_owned(), endpoint.application(ROUTE));
    let party = |(index, customer): (usize, &Customer)| {
        let party = siskin_site::Customer {
            weight: customer.weight,
            max_queue: MAX_QUEUE,
            max_in_flight: MAX_IN_FLIGHT,
            ..caller::party(index)
        };
        (party.name.clone(), party.section(u32::try_from(index + 1).unwrap_or(u32::MAX)))
    };
    let parties: Map<String, Value> = customers.iter().enumerate().map(party).collect();
    let document = json!({
        "customers": parties,
        "pools": pools,
        "models": models,
        "routes": { ROUTE: { "pool": ROUTE } },
        "endpoints": endpoints,
    });
    serde_json::from_value(document).context("the site's configuration is malformed")
}
