//! Runs load scenarios over the real sockets and prints the fairness gap, utilisation and control traffic.

use {
    anyhow::{Context, bail},
    siskin_measure::{Options, fault::Fault, mode::Mode, workload::Scenario},
    siskin_settings::{Error, Program, Setting, Values, exit_usage, load_or_exit, logging},
    std::{path::PathBuf, process::ExitCode, str::FromStr, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

const PROGRAM: Program = Program {
    name: "siskin-measure",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "Runs load scenarios over loopback and prints fairness, utilisation and control traffic.",
};

const TABLE: [Setting; 18] = [
    Setting::new("list", "SISKIN_LIST", None, "", "list the scenarios, faults and modes"),
    Setting::new("scenario", "SISKIN_SCENARIO", Some("thistlebank"), "NAME", "workload to run"),
    Setting::new("fault", "SISKIN_FAULT", Some(""), "NAMES", "faults, separated by commas"),
    Setting::new(
        "modes",
        "SISKIN_MODES",
        Some("fleet,isolated,global"),
        "NAMES",
        "the product and its baselines, separated by commas",
    ),
    Setting::new("seed", "SISKIN_SEED", Some("1"), "NUMBER", "seed of the calls"),
    Setting::new(
        "duration",
        "SISKIN_DURATION",
        Some("15"),
        "SECONDS",
        "time of each mode, 1 to 3600",
    ),
    Setting::new(
        "routers",
        "SISKIN_ROUTERS",
        Some("8"),
        "COUNT",
        "routers, 1 to 300, as processes 1 to 56",
    ),
    Setting::new("customers", "SISKIN_CUSTOMERS", Some("16"), "COUNT", "customers, 2 to 1000"),
    Setting::new("engines", "SISKIN_ENGINES", Some("4"), "COUNT", "engines of 8 slots, 1 to 512"),
    Setting::new(
        "models",
        "SISKIN_MODELS",
        Some("1"),
        "COUNT",
        "models, each with a pool of its own, 1 to 64 and at most one for each engine",
    ),
    Setting::new(
        "rate",
        "SISKIN_RATE",
        Some("41"),
        "NUMBER",
        "scenario paced: requests/s and router, 0 to 1000",
    ),
    Setting::new(
        "registered",
        "SISKIN_REGISTERED",
        Some("0"),
        "COUNT",
        "customers that send nothing, 0 to 20000",
    ),
    Setting::new(
        "changes",
        "SISKIN_CHANGES",
        Some("0"),
        "NUMBER",
        "configuration changes per second, 0 to 20",
    ),
    Setting::new(
        "processes",
        "SISKIN_PROCESSES",
        None,
        "",
        "run each router as a process; shows its processor time and memory",
    ),
    Setting::new(
        "program",
        "SISKIN_PROGRAM",
        None,
        "FILE",
        "with processes: program of a router, else siskin-router beside this program",
    ),
    Setting::new("threads", "SISKIN_THREADS", Some("3"), "COUNT", "worker threads, 1 to 64"),
    Setting::new("format", "SISKIN_FORMAT", Some("table"), "FORMAT", "table or json"),
    Setting::new("log", "SISKIN_LOG", Some("error"), "FILTER", "log level"),
];

/// Form of the report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Table,
    Json,
}

/// What the command line asks for.
enum Task {
    List,
    Run(Settings),
}

struct Settings {
    options: Options,
    threads: usize,
    format: Format,
}

/// Most routers in this process.
const ROUTERS_MAX: u32 = 300;

/// Most routers as processes.
const PROCESSES_MAX: u32 = 56;

/// Most models.
const MODELS_MAX: u32 = 64;

/// Program of a router, in the folder of this one.
const ROUTER_PROGRAM: &str = "siskin-router";

/// Exit code if the scenario could not be run, as opposed to a promise that was broken in it.
const NOT_RUN: u8 = 3;

fn main() -> ExitCode {
    let values = load_or_exit(PROGRAM, &TABLE);
    let settings = match read(&values).unwrap_or_else(|error| exit_usage(PROGRAM, &error)) {
        Task::List => {
            print_list();
            return ExitCode::SUCCESS;
        }
        Task::Run(settings) => settings,
    };
    match run(&settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{}: the scenario was not run to its end: {error:#}", PROGRAM.name);
            ExitCode::from(NOT_RUN)
        }
    }
}

/// Runs the scenario and prints the report; true if all promises were kept.
fn run(settings: &Settings) -> anyhow::Result<bool> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context("the runtime cannot start")?;
    // A signal drops the run, and with it the processes that it started.
    let report = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
        tokio::select! {
            report = siskin_measure::run(&settings.options) => report,
            _ = terminate.recv() => bail!("SIGTERM received"),
            _ = tokio::signal::ctrl_c() => bail!("SIGINT received"),
        }
    })?;
    match settings.format {
        Format::Table => print!("{}", report.table()),
        Format::Json => println!("{}", report.json()?),
    }
    Ok(report.kept())
}

fn read(values: &Values) -> Result<Task, Error> {
    logging::start(values.required("log")?, logging::Stream::Error);
    if values.switch("list")? {
        return Ok(Task::List);
    }
    let duration = values.number("duration", 1..=3_600)?;
    let program = program(values)?;
    let routers_max = if program.is_some() { PROCESSES_MAX } else { ROUTERS_MAX };
    let engines = values.number("engines", 1..=512)?;
    let options = Options {
        scenario: one(values, "scenario", values.required("scenario")?)?,
        faults: many::<Fault>(values, "fault")?,
        modes: many::<Mode>(values, "modes")?,
        seed: values.number("seed", 0..=u64::MAX)?,
        duration: Duration::from_secs(duration),
        routers: values.number("routers", 1..=routers_max)?,
        customers: values.number("customers", 2..=1_000)?,
        engines,
        models: values.number("models", 1..=engines.min(MODELS_MAX))?,
        rate: decimal(values, "rate", 1_000.0)?,
        registered: values.number("registered", 0..=20_000)?,
        changes: decimal(values, "changes", 20.0)?,
        program,
        ..Options::default()
    };
    if options.program.is_some() && options.faults.contains(&Fault::Partition) {
        return Err(values.invalid("fault", "partition", "leave out --processes for a partition"));
    }
    let format = match values.required("format")? {
        "table" => Format::Table,
        "json" => Format::Json,
        other => return Err(values.invalid("format", other, "use table or json")),
    };
    let threads = values.number("threads", 1..=64)?;
    Ok(Task::Run(Settings { options, threads, format }))
}

/// The program of a router, if routers run as processes.
fn program(values: &Values) -> Result<Option<PathBuf>, Error> {
    if !values.switch("processes")? {
        return Ok(None);
    }
    if let Some(program) = values.text("program") {
        return Ok(Some(program.into()));
    }
    let own = std::env::current_exe()
        .map_err(|error| values.invalid("program", "", &format!("name the program ({error})")))?;
    Ok(Some(own.with_file_name(ROUTER_PROGRAM)))
}

/// Reads a number with decimals from 0 to `most`.
fn decimal(values: &Values, flag: &str, most: f64) -> Result<f64, Error> {
    let text = values.required(flag)?;
    let number = text.parse().ok().filter(|number| (0.0..=most).contains(number));
    number.ok_or_else(|| values.invalid(flag, text, &format!("use a number from 0 to {most}")))
}

fn one<T: FromStr<Err: std::fmt::Display>>(
    values: &Values,
    flag: &str,
    name: &str,
) -> Result<T, Error> {
    name.parse().map_err(|error: T::Err| values.invalid(flag, name, &error.to_string()))
}

fn many<T: FromStr<Err: std::fmt::Display>>(values: &Values, flag: &str) -> Result<Vec<T>, Error> {
    let names = values.text(flag).unwrap_or_default().split(',').map(str::trim);
    names.filter(|name| !name.is_empty()).map(|name| one(values, flag, name)).collect()
}

fn print_list() {
    println!("scenarios:");
    for scenario in Scenario::ALL {
        println!("  {:<14}{}", scenario.name(), scenario.summary());
    }
    println!("faults, from one third to two thirds of the time:");
    for fault in Fault::ALL {
        println!("  {:<14}{}", fault.name(), fault.summary());
    }
    println!("modes:");
    for mode in Mode::ALL {
        println!("  {:<14}{} router(s) of 8", mode.name(), mode.routers(8));
    }
}
