//! A small deployment: a store, engines of one service, and routers as processes.

use {
    crate::{
        client::{self, Log, Plan, Sent},
        engine::{Engine, Run, Runs},
        router::{self, Machine, Router},
        store::{Mode, Store},
    },
    std::{
        collections::HashMap,
        env,
        error::Error,
        fmt::Write as _,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        process,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

pub type Outcome = Result<bool, Box<dyn Error>>;

pub const SERVICE: &str = "hasat-app";

/// Key that stays valid.
pub const KEPT_KEY: &str = "key-that-stays-valid";

/// Key that a configuration of the scenario takes away.
pub const REVOKED_KEY: &str = "key-that-is-withdrawn";

/// Machines whose addresses each router's settings name.
const SEEDS: usize = 3;

/// Time until routers that just became ready know each other.
const SETTLING_TIME: Duration = Duration::from_secs(3);

pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub routers: Vec<Router>,
    pub stores: Vec<SocketAddr>,
    pub runs: Runs,
    pub log: Log,
    pub started: Instant,
    folder: PathBuf,
    record: String,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts a store with a first configuration, four engines of the service, and routers; waits until these are ready and know
    /// each other.
    pub fn start(count: usize) -> Result<Self, Box<dyn Error>> {
        Self::start_with(count, &config(3, 600, true))
    }

    /// The same with this first configuration.
    pub fn start_with(count: usize, config: &str) -> Result<Self, Box<dyn Error>> {
        let folder = env::temp_dir().join(format!("siskin-review-3-{}", process::id()));
        fs::create_dir_all(&folder)?;
        let started = Instant::now();
        let (store, runs) = (Store::start(), Runs::default());
        let mut engines = Vec::new();
        for (number, zone) in router::ZONES.iter().enumerate() {
            let id = format!("i-7f3a91c{number}");
            let engine = Engine::start(&id, SERVICE, zone, Duration::from_millis(15), &runs)?;
            store.put(&engine.key(), &engine.entry("ready"));
            engines.push(engine);
        }
        store.put("op/config", config);
        let machines: Vec<Machine> =
            (0..count).map(Machine::new).collect::<std::io::Result<_>>()?;
        let seeds: Vec<SocketAddr> = machines.iter().take(SEEDS).map(|one| one.control).collect();
        let mut fleet = Self {
            store,
            engines,
            routers: Vec::new(),
            stores: Vec::new(),
            runs,
            log: Log::default(),
            started,
            folder,
            record: String::new(),
            stop: Arc::default(),
            clients: Vec::new(),
        };
        for machine in &machines {
            let store = fleet.store.listen()?;
            fleet.stores.push(store);
            fleet.routers.push(Router::start(machine, store, &seeds, &fleet.folder)?);
        }
        if !router::wait_until_ready(&fleet.routers, Duration::from_secs(15)) {
            return Err("the routers did not become ready in 15 s".into());
        }
        thread::sleep(SETTLING_TIME);
        let registered = fleet.store.count("siskin/routers/");
        if registered != count {
            return Err(format!("{registered} of {count} routers have registered").into());
        }
        fleet.note(&format!("{count} routers are ready and registered"));
        Ok(fleet)
    }

    /// Adds a machine, which the store treats in this way from the start. Returns the number of its router.
    pub fn add_router(&mut self, mode: Mode) -> std::io::Result<usize> {
        let number = self.routers.len();
        let machine = Machine::new(number)?;
        let seeds: Vec<SocketAddr> =
            self.routers.iter().take(SEEDS).map(|one| one.machine.control).collect();
        let store = self.store.listen()?;
        self.store.set_mode(store, mode);
        self.stores.push(store);
        self.routers.push(Router::start(&machine, store, &seeds, &self.folder)?);
        Ok(number)
    }

    /// Starts a consumer at a router.
    pub fn add_client(&mut self, router: usize, key: &str, pause: Duration) {
        self.add_client_for(router, key, "/loads/lookup", pause);
    }

    /// Starts a consumer at a router for a path.
    pub fn add_client_for(&mut self, router: usize, key: &str, path: &str, pause: Duration) {
        let number = self.clients.len();
        let plan = Plan {
            name: format!("c{number}-r{router}"),
            router,
            front: self.routers[router].machine.front,
            path: path.to_owned(),
            key: key.to_owned(),
            deadline: Duration::from_millis(600),
            pause,
        };
        self.clients.push(client::start(plan, &self.log, &self.stop));
    }

    pub fn stop_clients(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Adds a line with the time since the start to the record.
    pub fn note(&mut self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.3} s  {text}");
    }

    /// Writes the record: the notes, then each request with its answer and its runs.
    pub fn write_record(&self, record: &Path) -> std::io::Result<()> {
        let mut text = self.record.clone();
        text.push_str("\nrequests: sent at, router, identifier, path, key, status (0: no answer), answered at, engines that ran it\n");
        let runs = self.runs_by_id();
        for sent in self.log.all() {
            let ran: Vec<String> = runs
                .get(&sent.id)
                .into_iter()
                .flatten()
                .map(|run| {
                    format!("{} at {:.3} for {}", run.engine, self.seconds(run.at), run.tenant)
                })
                .collect();
            let _ = writeln!(
                text,
                "{:9.3} r{} {} {} {} {} {:.3} {}",
                self.seconds(sent.at),
                sent.router,
                sent.id,
                sent.path,
                sent.key,
                sent.status,
                self.seconds(sent.ended),
                ran.join("; ")
            );
        }
        fs::write(record, text)
    }

    pub fn runs_by_id(&self) -> HashMap<String, Vec<Run>> {
        let mut by_id: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.runs.all() {
            by_id.entry(run.id.clone()).or_default().push(run);
        }
        by_id
    }

    /// Requests with a key that were sent later than a moment and that an engine ran.
    pub fn run_after(&self, key: &str, bound: Instant) -> Vec<Sent> {
        let runs = self.runs_by_id();
        let late = |sent: &Sent| sent.key == key && sent.at > bound && runs.contains_key(&sent.id);
        self.log.all().into_iter().filter(late).collect()
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop_clients();
        self.routers.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Header limits and the like, the same in all configurations.
const LIMITS: &str = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\
                      \"idle_timeout_ms\":15000,\"tokens_per_s\":100000}";

/// A route of a configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"weeds.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":2,\"public\":false,\"stream_resume\":false}}"
    )
}

/// A configuration with these routes, services and tenants (name and keys).
pub fn document(
    version: u64,
    routes: &[String],
    services: &[&str],
    tenants: &[(&str, &[&str])],
) -> String {
    let service = |name: &&str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":96}}")
    };
    let services: Vec<String> = services.iter().map(service).collect();
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!("{{\"name\":\"{name}\",\"api_keys\":[{}]}}", keys.join(","))
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],{LIMITS},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// A configuration with one route and one tenant; `with_revoked` says whether it still has the key that is taken away.
pub fn config(version: u64, timeout_ms: u64, with_revoked: bool) -> String {
    let routes = [route("r-lookup", "/loads/", "idempotent", SERVICE, timeout_ms)];
    let keys: &[&str] = if with_revoked { &[KEPT_KEY, REVOKED_KEY] } else { &[KEPT_KEY] };
    document(version, &routes, &[SERVICE], &[("hule930", keys)])
}
