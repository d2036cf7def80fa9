//! Load scenarios over the real sockets, with the three measures and the baselines.
//!
//! A scenario runs the same schedule of calls in several modes, one after the other: the product, routers
//! that are each fair by themselves, and a single global queue. Everything runs on one machine over loopback, in
//! one process or with a process for each router, so only figures of the same run can be compared.

pub mod fault;
pub mod gap;
pub mod mode;
pub mod page;
pub mod phase;
pub mod report;
pub mod rollout;
pub mod tally;
pub mod workload;

mod caller;
mod observe;
mod run;
mod site;

use {
    fault::Fault,
    mode::Mode,
    report::Report,
    std::{
        path::PathBuf,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    workload::Scenario,
};

/// What to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The workload.
    pub scenario: Scenario,
    /// Faults of the middle third.
    pub faults: Vec<Fault>,
    /// Modes, one after the other.
    pub modes: Vec<Mode>,
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of each mode's run.
    pub duration: Duration,
    /// Routers of the fleet.
    pub routers: u32,
    /// Customers.
    pub customers: u32,
    /// Engines.
    pub engines: u32,
    /// Slots of each engine.
    pub engine_slots: u32,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Models, each with a pool of its own that the engines are divided over.
    pub models: u32,
    /// Requests per second and router of [`Scenario::Paced`].
    pub rate: f64,
    /// Customers of the configuration that send nothing.
    pub registered: u32,
    /// Configuration changes per second.
    pub changes: f64,
    /// The program of which each router is a process; none: routers run in this process.
    pub program: Option<PathBuf>,
}

impl Default for Options {
    /// A site of 8 routers, 16 customers and 4 engines of 8 slots, so that the isolated baseline has one
    /// slot of every engine at each router.
    fn default() -> Self {
        Self {
            scenario: Scenario::Thistlebank,
            faults: Vec::new(),
            modes: Mode::ALL.to_vec(),
            seed: 1,
            duration: Duration::from_secs(15),
            routers: 8,
            customers: 16,
            engines: 4,
            engine_slots: 8,
            token_interval: Duration::from_millis(4),
            models: 1,
            rate: workload::PACED_RATE,
            registered: 0,
            changes: 0.0,
            program: None,
        }
    }
}

impl Options {
    /// What the schedule depends on.
    #[must_use]
    pub const fn workload(&self) -> workload::Options {
        workload::Options {
            scenario: self.scenario,
            seed: self.seed,
            duration: self.duration,
            routers: self.routers,
            customers: self.customers,
            slots: self.engines * self.engine_slots,
            token_interval: self.token_interval,
            rate: self.rate,
        }
    }

    /// The command that repeats the run.
    #[must_use]
    pub fn command(&self) -> String {
        let names = |names: Vec<&str>| names.join(",");
        let modes = names(self.modes.iter().map(|mode| mode.name()).collect());
        let mut command = format!(
            "siskin-measure --scenario {} --modes {modes} --seed {} --duration {} --routers {} \
             --customers {} --engines {}",
            self.scenario.name(),
            self.seed,
            self.duration.as_secs(),
            self.routers,
            self.customers,
            self.engines,
        );
        let defaults = Self::default();
        let mut add = |flag: &str, value: String, changed: bool| {
            if changed {
                command.extend([" --", flag, " ", &value]);
            }
        };
        add("models", self.models.to_string(), self.models != defaults.models);
        add("rate", self.rate.to_string(), self.rate.total_cmp(&defaults.rate).is_ne());
        add("registered", self.registered.to_string(), self.registered > 0);
        add("changes", self.changes.to_string(), self.changes > 0.0);
        if self.program.is_some() {
            command.push_str(" --processes");
        }
        if !self.faults.is_empty() {
            let faults = names(self.faults.iter().map(|fault| fault.name()).collect());
            command.push_str(" --fault ");
            command.push_str(&faults);
        }
        command
    }
}

/// Runs a scenario in all its modes.
///
/// # Errors
///
/// Returns an error if a stand-in or a router does not start, or the routers do not become ready. Processes that were
/// started end with the returned future, whether it completes or is dropped.
pub async fn run(options: &Options) -> anyhow::Result<Report> {
    let mut modes = Vec::new();
    for mode in &options.modes {
        modes.push(run::run(options, *mode).await?);
    }
    Ok(Report {
        scenario: options.scenario.name(),
        faults: options.faults.iter().map(|fault| fault.name()).collect(),
        seed: options.seed,
        command: options.command(),
        targets: report::targets(options, &modes),
        modes,
    })
}

/// Locks a table. A panic while a lock is held leaves counters in a usable state, so it is ignored.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
