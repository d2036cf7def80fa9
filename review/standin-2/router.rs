//! A router as a process, started with the command of the deploy file.

use {
    crate::http::Connection,
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener},
        path::Path,
        process::{Child, Command, Stdio},
        sync::Mutex,
        thread,
        time::{Duration, Instant},
    },
};

/// Size of the machine, and where it is.
#[derive(Clone, Debug)]
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub cpu_share: f64,
    pub memory_mb: u32,
}

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all routers that were started and not waited for.
pub fn kill_all() {
    for process in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
    }
}

#[derive(Debug)]
pub struct Router {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// A port that is free at an address for the moment.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("free port").local_addr().unwrap().port()
}

impl Router {
    /// Starts a router. Its settings are written like those that the platform writes.
    pub fn start(program: &Path, folder: &Path, machine: &Machine<'_>, store: SocketAddr) -> Self {
        let Machine { name, ip, zone, cpu_share, memory_mb } = machine;
        let [front, ready, control] = [(); 3].map(|()| free_port(ip));
        // Below the ephemeral ports, so that no connection takes it.
        let internal = 7_400;
        let settings = format!(
            r#"{{"node_name":"{name}","role":"router","machine_class":"front","serves":["front","control"],"ip":"{ip}",
"zone":"{zone}","region":"r","zones":{{"{zone}":"r"}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","control":"{ip}:{control}"}},
"internal_ports":[{internal},{}],"seeds":["{ip}:{control}"],"bootstrap":true,"in_tolerance":false,
"limits":{{"cpu_share":{cpu_share},"cores":1,"memory_mb":{memory_mb},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":4000,"ack_ms":6000,"catch_up_s":6,"drain_ms":3000,"grace_s":8,
"loss_slack_ms":200,"config_apply_ms":3000,"downgrade_slack_ms":250,"max_stretch_ms":6000,"strict_revoke":false,
"revoke_ms":5000,"budget_ratio":0.2,"budget_window_s":10,"budget_slack":186,"recover_s":15,"pass_ms":200,"again_s":10,
"quota_window_s":4}},
"platform":{{"address":"{store}","form":"kv","writes_per_s":1200,"reads_per_s":6000,"history_s":20,"value_bytes":1048576,
"ttl_min_ms":1000}}}}"#,
            internal + 15
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings file");
        let log = File::create(folder.join(format!("{name}.log"))).expect("log file");
        let metrics = free_port(ip).to_string();
        let child = Command::new(program)
            .args(["--metrics-port", &metrics])
            .env("SISKINROUTE_CONFIG", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log file"))
            .stdout(log)
            .spawn()
            .expect("target/release/siskin-platform cannot be started; build it first");
        STARTED.lock().unwrap().push(child.id());
        let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
        Self { front: address(front), ready: address(ready), child }
    }

    /// Asks the readiness path until it answers 200.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.get("/api/readyz").is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Status and body of a path at the readiness address.
    pub fn get(&self, path: &str) -> Option<(u16, String)> {
        let mut connection = Connection::open(self.ready, Duration::from_secs(1)).ok()?;
        connection.set_deadline(Some(Instant::now() + Duration::from_secs(1)));
        connection
            .write(
                format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes(),
            )
            .ok()?;
        let answer = connection.read(true).ok()?;
        Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
    }

    /// Value of a metric without labels, or with exactly these labels.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let (_, page) = self.get("/metrics")?;
        let line = page.lines().find(|line| line.split(' ').next() == Some(name))?;
        line.split(' ').nth(1)?.parse().ok()
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|process| *process != self.child.id());
    }
}
