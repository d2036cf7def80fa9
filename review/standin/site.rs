//! The processes of a small deployment on loopback addresses: routers with the command of the deploy file, and engines.

use {
    crate::{
        engine::Options,
        store::{Entrance, Store},
    },
    std::{
        collections::BTreeSet,
        fs::{self, File},
        io::{self, BufRead, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Port at which routers serve metrics, as the deploy file says.
const METRICS_PORT: u16 = 9464;

const CALLERS_PORT: u16 = 8783;
const READY_PORT: u16 = 8780;
const CONTROL_PORT: u16 = 8785;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} {line}", self.now());
    }

    /// Notes a line and prints it.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{:9.3} {line}", self.now());
    }

    /// Waits until a time since the start, in seconds.
    pub fn wait_until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A deployment. Dropping it ends its processes.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub routers: Vec<Router>,
    /// What engines have said: the time, the engine and the line.
    said: Arc<Mutex<Vec<(f64, String, String)>>>,
    folder: PathBuf,
    network: [u8; 2],
}

pub struct Router {
    pub name: String,
    pub ip: Ipv4Addr,
    pub callers: SocketAddr,
    pub entrance: Arc<Entrance>,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// An engine process. Dropping it ends it.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Site {
    /// Starts a store and this many routers.
    pub fn start(record: Arc<Record>, routers: u8) -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("siskin-review-{process}"));
        fs::create_dir_all(&folder)?;
        let network = [100 + (process / 250 % 100) as u8, (process % 250) as u8];
        let store = Store::start();
        let (routers_started, said) = (Vec::new(), Arc::default());
        let mut site = Self { record, store, routers: routers_started, said, folder, network };
        for number in 1..=routers {
            let router = site.start_router(number, routers)?;
            site.routers.push(router);
        }
        Ok(site)
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], host)
    }

    fn start_router(&self, number: u8, routers: u8) -> io::Result<Router> {
        let ip = self.ip(10 + number);
        for port in [METRICS_PORT, CALLERS_PORT, READY_PORT, CONTROL_PORT, 7400] {
            drop(TcpListener::bind((ip, port))?);
        }
        let entrance = self.store.open(self.ip(1))?;
        let name = format!("front-zone-a-{number}");
        let seeds: Vec<String> = (1..=routers.min(3))
            .map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.ip(10 + seed)))
            .collect();
        let settings = self.folder.join(format!("{name}.json"));
        fs::write(&settings, router_settings(&name, ip, &seeds.join(","), entrance.address))?;
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn_router(&settings, &log)?;
        self.record.say(&format!("router {name} started at {ip}"));
        let callers = SocketAddr::from((ip, CALLERS_PORT));
        Ok(Router { name, ip, callers, entrance, settings, log, child })
    }

    /// Starts an engine at a free port, or at the given address, and lists it in the store.
    pub fn start_engine(
        &self,
        service: &str,
        options: impl FnOnce(SocketAddr) -> Options,
        address: Option<SocketAddr>,
    ) -> io::Result<Engine> {
        let address = match address {
            Some(address) => address,
            None => TcpListener::bind((self.ip(2), 0))?.local_addr()?,
        };
        let options = options(address);
        let mut child = Command::new(std::env::current_exe()?)
            .args(options.arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        if lines.next().transpose()?.as_deref() != Some("listens") {
            let _ = child.kill();
            let _ = child.wait();
            return Err(io::Error::other("an engine cannot listen"));
        }
        let (record, said) = (Arc::clone(&self.record), Arc::clone(&self.said));
        let id = options.id.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(&format!("engine {id}: {line}"));
                if let Ok(mut said) = said.lock() {
                    said.push((record.now(), id.clone(), line));
                }
            }
        });
        let id = options.id;
        self.list_engine(&id, service, address);
        self.record.say(&format!("engine {id} of {service} started at {address}"));
        Ok(Engine { id, address, child })
    }

    /// Engines that have run requests of a tenant since a time.
    pub fn engines_of(&self, tenant: &str, since: f64) -> BTreeSet<String> {
        let said = self.said.lock().unwrap_or_else(PoisonError::into_inner);
        let tenant = format!(" tenant={tenant} ");
        let ran = |line: &str| line.starts_with("run ") && line.contains(&tenant);
        let runs = said.iter().filter(|(at, _, line)| *at >= since && ran(line));
        runs.map(|(_, engine, _)| engine.clone()).collect()
    }

    /// Writes the entry of an engine, as it does itself.
    pub fn list_engine(&self, id: &str, service: &str, address: SocketAddr) {
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"hybrid\",\"seq\":1,\"born\":{born}}}"
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Waits until all routers are ready, at most for some seconds.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            if self.routers.iter().all(|router| router.is_ready()) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Copies the logs of the routers to the folder that REVIEW_LOGS names, if any.
    pub fn keep_logs(&self) {
        let Some(folder) = std::env::var_os("REVIEW_LOGS") else { return };
        for router in &self.routers {
            let _ = fs::copy(&router.log, Path::new(&folder).join(format!("{}.log", router.name)));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Router {
    /// Whether its readiness check passes.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect((self.ip, READY_PORT)) else { return false };
        let sent = stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let mut line = String::new();
        sent.is_ok()
            && BufReader::new(stream).read_line(&mut line).is_ok()
            && line.contains(" 200 ")
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn terminate(&self) {
        self.signal(SIGTERM);
    }

    #[allow(dead_code)]
    pub fn signal(&self, signal: i32) {
        // The process is a child that has not been waited for, so the number is still its own.
        if let Ok(process) = i32::try_from(self.child.id()) {
            unsafe { kill(process, signal) };
        }
    }

    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn_router(&self.settings, &self.log)?;
        Ok(())
    }

    /// Whether the process has ended by itself.
    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Resident memory in MB.
    #[allow(dead_code)]
    pub fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) / 1024
    }
}

impl Engine {
    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        if let Ok(process) = i32::try_from(self.child.id()) {
            unsafe { kill(process, SIGKILL) };
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a router with the command of `deploy/system.toml`.
fn spawn_router(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/siskin-platform")
        .args(["--metrics-port", &METRICS_PORT.to_string()])
        .env("SISKINROUTE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Settings like those in DEPLOY.md.
fn router_settings(name: &str, ip: Ipv4Addr, seeds: &str, store: SocketAddr) -> String {
    format!(
        r#"{{"node_name":"{name}","role":"router","machine_class":"front","serves":["front","control"],"ip":"{ip}",
"zone":"zone-a","region":"region","zones":{{"zone-a":"region"}},
"listen":{{"front":"{ip}:{CALLERS_PORT}","ready":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}},
"internal_ports":[7400,7415],"seeds":[{seeds}],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,
"loss_slack_ms":200,"config_apply_ms":2000,"downgrade_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":false,
"revoke_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":52,"recover_s":12,"pass_ms":120,"again_s":10,
"quota_window_s":4}},
"platform":{{"address":"{store}","form":"kv","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,
"ttl_min_ms":1000}}}}"#
    )
}
