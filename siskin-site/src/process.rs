//! Runs a router as a process of the `siskin-router` program, and reads what a process uses.

use {
    anyhow::{Context, bail},
    siskin_router::settings::{Scheduling, Settings},
    std::{
        fs, io,
        net::SocketAddr,
        path::Path,
        process::{ExitStatus, Stdio},
        time::Duration,
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader, Lines},
        process::{Child, ChildStdout, Command},
        time,
    },
};

/// Longest time from the start of a process to its line with the addresses.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Log filter of a router: warnings, and the line with the addresses.
const LOG_FILTER: &str = "warn,siskin_router::router=info";

/// Worker threads of a router. An entry VM is small; the default would be one for each core of this machine.
const WORKER_THREADS: &str = "2";

/// Clock ticks in a second, as Linux counts processor time for programs.
const TICKS_PER_SECOND: u64 = 100;

/// Field of `/proc/<id>/stat` after the name, from 0, that counts ticks in user mode. The next one counts those in the
/// kernel.
const STAT_USER_TICKS: usize = 11;

/// A router that runs as a process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    id: u32,
    callers: SocketAddr,
    control: SocketAddr,
    operators: SocketAddr,
}

impl Process {
    /// Starts `program` with these settings and waits until it has bound its addresses. `bootstrap` is the file with the
    /// document that the settings name; the document in the settings is not passed on.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be run, or ends before it has bound its addresses.
    pub async fn start(
        program: &Path,
        settings: &Settings,
        bootstrap: &Path,
    ) -> anyhow::Result<Self> {
        let mut child = command(program, settings, bootstrap).spawn().with_context(|| {
            format!("cannot run {}; build siskin-router or name its program", program.display())
        })?;
        let id = child.id().context("the router ended at once")?;
        let output = child.stdout.take().context("the router has no standard output")?;
        let mut lines = BufReader::new(output).lines();
        let started = time::timeout(START_TIMEOUT, started(&mut lines)).await;
        let line = started.context("the router did not start in time")??;
        tokio::spawn(log_rest(id, lines));
        Ok(Self {
            child,
            id,
            callers: address(&line, "callers")?,
            control: address(&line, "control")?,
            operators: address(&line, "operators")?,
        })
    }

    /// Its process id.
    #[must_use]
    pub const fn id(&self) -> u32 {
        self.id
    }

    /// Address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Address for other routers.
    #[must_use]
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// What the process uses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn usage(&self) -> io::Result<Usage> {
        Usage::of(self.id)
    }

    /// Kills the process, as the loss of its VM does, and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be waited for.
    pub async fn kill(mut self) -> io::Result<ExitStatus> {
        self.child.start_kill()?;
        self.child.wait().await
    }
}

fn command(program: &Path, settings: &Settings, bootstrap: &Path) -> Command {
    let mut command = Command::new(program);
    let scheduling = match settings.scheduling {
        Scheduling::Fleet => "fleet",
        Scheduling::Isolated => "isolated",
    };
    command
        .args(["--node", &settings.node.0.to_string()])
        .args(["--data-centre", &settings.data_centre])
        .args(["--listen", &settings.listen.to_string()])
        .args(["--control", &settings.control.to_string()])
        .args(["--operator", &settings.operator.to_string()])
        .args(["--seeds", &list(&settings.seeds)])
        .args(["--store", &list(&settings.store)])
        .args(["--stop-timeout-ms", &settings.stop_timeout.as_millis().to_string()])
        .args(["--stop-notice-ms", &settings.stop_notice.as_millis().to_string()])
        .args(["--scheduling", scheduling])
        .args(["--fleet-size", &settings.fleet_size.to_string()])
        .args(["--log", LOG_FILTER])
        .arg("--bootstrap")
        .arg(bootstrap);
    if let Some(vm_list) = settings.vm_list {
        command.args(["--vm-list", &vm_list.to_string()]);
    }
    command
        .env_clear()
        .env("TOKIO_WORKER_THREADS", WORKER_THREADS)
        .env("SISKIN_FLEET_KEY", settings.fleet_key.reveal())
        .env("SISKIN_HASH_KEY", settings.hash_key.reveal())
        .env("SISKIN_OPERATOR_TOKEN", settings.operator_token.reveal())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true);
    command
}

fn list(addresses: &[SocketAddr]) -> String {
    addresses.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(",")
}

/// Reads up to the line with the addresses.
async fn started(lines: &mut Lines<BufReader<ChildStdout>>) -> anyhow::Result<String> {
    let mut last = String::new();
    while let Some(line) = lines.next_line().await? {
        if line.contains("router started") {
            return Ok(line);
        }
        last = line;
    }
    bail!("the router ended: {last}")
}

/// Reads on, so that the process never waits for a full pipe.
async fn log_rest(id: u32, mut lines: Lines<BufReader<ChildStdout>>) {
    while let Ok(Some(line)) = lines.next_line().await {
        log::debug!(id; "{line}");
    }
}

fn address(line: &str, name: &str) -> anyhow::Result<SocketAddr> {
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let value = pairs.find_map(|(key, value)| (key == name).then_some(value));
    let value = value.with_context(|| format!("no {name} in '{line}'"))?;
    value.parse().with_context(|| format!("{name} in '{line}' is no address"))
}

/// What a process has used so far. Read from `/proc`, so it needs Linux.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user mode and in the kernel, in steps of 10 ms.
    pub processor: Duration,
    /// Resident memory now. Pages of the program that several processes share count in each of them.
    pub resident_bytes: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process, or no `/proc`.
    ///
    /// ```
    /// # if cfg!(target_os = "linux") {
    /// let usage = siskin_site::process::Usage::of(std::process::id()).unwrap();
    /// assert!(usage.resident_bytes > 0);
    /// # }
    /// ```
    pub fn of(id: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        Self::parse(&stat, &status)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "malformed /proc files"))
    }

    /// Reads the texts of `/proc/<id>/stat` and `/proc/<id>/status`. The name in the former may contain anything.
    ///
    /// ```
    /// use siskin_site::process::Usage;
    /// let stat = "7 (a ) b) S 1 1 1 0 -1 0 0 0 0 0 150 50 0 0";
    /// let usage = Usage::parse(stat, "Name:\ta\nVmRSS:\t  2048 kB\n").unwrap();
    /// assert_eq!(usage.processor.as_millis(), 2_000);
    /// assert_eq!(usage.resident_bytes, 2_097_152);
    /// ```
    #[must_use]
    pub fn parse(stat: &str, status: &str) -> Option<Self> {
        let (_, fields) = stat.rsplit_once(')')?;
        let ticks = fields.split_whitespace().skip(STAT_USER_TICKS).take(2);
        let ticks: u64 = ticks.map(str::parse::<u64>).sum::<Result<u64, _>>().ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: u64 = resident.split_whitespace().next()?.parse().ok()?;
        Some(Self {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            resident_bytes: kilobytes * 1_024,
        })
    }
}
