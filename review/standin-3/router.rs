//! Routers as processes of the program of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command},
    thread,
    time::{Duration, Instant},
};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/siskin-platform";

pub const ZONES: [&str; 4] = ["isparta-a", "isparta-b", "isparta-c", "isparta-d"];

/// Addresses of one machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    internal: u16,
    metrics: u16,
}

impl Machine {
    /// Chooses a loopback address and free ports for the machine with this number.
    pub fn new(number: usize) -> io::Result<Self> {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let address = Ipv4Addr::new(127, 64 | (high & 63), low, 1 + number as u8);
        let held: Vec<TcpListener> =
            (0..5).map(|_| TcpListener::bind((address, 0))).collect::<io::Result<_>>()?;
        let ports: Vec<SocketAddr> =
            held.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        let zone = ZONES[number % ZONES.len()];
        Ok(Self {
            name: format!("front-{zone}-{number}"),
            zone: zone.to_owned(),
            front: ports[0],
            ready: ports[1],
            control: ports[2],
            internal: ports[3].port(),
            metrics: ports[4].port(),
        })
    }

    /// The settings file, with the figures of a small deployment.
    fn settings(&self, store: SocketAddr, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let zones: Vec<String> =
            ZONES.iter().map(|zone| format!("\"{zone}\":\"isparta\"")).collect();
        format!(
            r#"{{
  "node_name": "{name}", "role": "router", "machine_class": "front", "serves": ["front", "control"],
  "ip": "{ip}", "zone": "{zone}", "region": "isparta", "zones": {{{zones}}},
  "listen": {{"front": "{front}", "ready": "{ready}", "control": "{control}"}},
  "internal_ports": [{internal}, {internal}], "seeds": [{seeds}], "bootstrap": true, "in_tolerance": false,
  "limits": {{"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}},
  "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
  "fault_tolerance": {{"machines": 2, "zones": 0, "regions": 0}},
  "bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 56, "recover_s": 12, "pass_ms": 120, "again_s": 10, "quota_window_s": 4}},
  "platform": {{"address": "{store}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
    "value_bytes": 1048576, "ttl_min_ms": 1000}}
}}"#,
            name = self.name,
            ip = self.front.ip(),
            zone = self.zone,
            zones = zones.join(","),
            front = self.front,
            ready = self.ready,
            control = self.control,
            internal = self.internal,
            seeds = seeds.join(","),
        )
    }
}

/// A router process, killed when it is dropped.
#[derive(Debug)]
pub struct Router {
    pub machine: Machine,
    child: Option<Child>,
}

impl Router {
    pub fn start(
        machine: &Machine,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &Path,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{}.json", machine.name));
        fs::write(&settings, machine.settings(store, seeds))?;
        let log = folder.join(format!("{}.log", machine.name));
        let output = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(PROGRAM)
            .args(["--metrics-port", &machine.metrics.to_string()])
            .env("SISKINROUTE_CONFIG", &settings)
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        Ok(Self { machine: machine.clone(), child: Some(child) })
    }

    /// Whether its readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) =
            TcpStream::connect_timeout(&self.machine.ready, Duration::from_millis(500))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = "GET /api/readyz HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        if io::Write::write_all(&mut stream, request.as_bytes()).is_err() {
            return false;
        }
        let answer = crate::http::read(&mut stream, &mut Vec::new());
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    /// SIGKILL, and waits for the end of the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM.
    pub fn terminate(&self) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        Command::new("kill").args(["-TERM", &child.id().to_string()]).status().map(drop)
    }

    /// Whether the process has ended, other than by [`Router::kill`].
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all routers are ready; whether they were in time.
pub fn wait_until_ready(routers: &[Router], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if routers.iter().all(Router::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}
