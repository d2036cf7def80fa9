//! Runs one stand-in as a process of its own, for tests with real processes.

use {
    anyhow::Context,
    siskin_settings::{Error, Program, Setting, Values, exit_usage, load_or_exit, logging},
    siskin_standin::{application, engine, kv, vms},
    std::{net::SocketAddr, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

const PROGRAM: Program = Program {
    name: "siskin-standin",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "Runs a stand-in for an engine, an application, the key-value service or the VM list.",
};

const TABLE: [Setting; 19] = [
    Setting::new("kind", "STANDIN_KIND", Some("engine"), "KIND", "engine, application, kv or vms"),
    Setting::new(
        "listen",
        "STANDIN_LISTEN",
        Some("127.0.0.1:0"),
        "ADDRESS",
        "address to listen on",
    ),
    Setting::new("control", "STANDIN_CONTROL", None, "", "take faults at /control"),
    Setting::new("slots", "STANDIN_SLOTS", Some("8"), "COUNT", "requests served at the same time"),
    Setting::new(
        "token-interval-us",
        "STANDIN_TOKEN_INTERVAL_US",
        Some("10000"),
        "US",
        "engine: time between two tokens of a stream",
    ),
    Setting::new(
        "prompt-token-us",
        "STANDIN_PROMPT_TOKEN_US",
        Some("50"),
        "US",
        "engine: time to read a prompt token that is not cached",
    ),
    Setting::new(
        "cache-tokens",
        "STANDIN_CACHE_TOKENS",
        Some("100000"),
        "COUNT",
        "engine: tokens that the prefix cache holds",
    ),
    Setting::new(
        "models",
        "STANDIN_MODELS",
        Some(""),
        "NAMES",
        "engine: models loaded at start, separated by commas; any model if empty",
    ),
    Setting::new(
        "load-time-ms",
        "STANDIN_LOAD_TIME_MS",
        Some("200"),
        "MS",
        "engine: time to load a model",
    ),
    Setting::new(
        "ignore-fencing",
        "STANDIN_IGNORE_FENCING",
        None,
        "",
        "engine: accept orders with an old fencing number",
    ),
    Setting::new(
        "events-lag-ms",
        "STANDIN_EVENTS_LAG_MS",
        Some("200"),
        "MS",
        "engine: age of cache events",
    ),
    Setting::new(
        "events-lost-percent",
        "STANDIN_EVENTS_LOST_PERCENT",
        Some("0"),
        "PERCENT",
        "engine: cache events that are lost",
    ),
    Setting::new("delay-ms", "STANDIN_DELAY_MS", Some("10"), "MS", "application: time of a call"),
    Setting::new(
        "load-lag-ms",
        "STANDIN_LOAD_LAG_MS",
        Some("100"),
        "MS",
        "engine and application: age of load reports",
    ),
    Setting::new(
        "writes-per-second",
        "STANDIN_WRITES_PER_SECOND",
        Some("500"),
        "COUNT",
        "kv: writes it sustains",
    ),
    Setting::new(
        "reads-per-second",
        "STANDIN_READS_PER_SECOND",
        Some("2000"),
        "COUNT",
        "kv: reads it sustains, waiting watches included",
    ),
    Setting::new("latency-ms", "STANDIN_LATENCY_MS", Some("1"), "MS", "kv: time to an answer"),
    Setting::new("lag-ms", "STANDIN_LAG_MS", Some("1000"), "MS", "vms: age of the list"),
    Setting::new("log", "STANDIN_LOG", Some("warn"), "FILTER", "log level"),
];

/// Longest time that a flag may name.
const LONGEST_MS: u64 = 3_600_000;

/// What to run.
enum Options {
    Engine(engine::Options),
    Application(application::Options),
    Kv(kv::Options),
    Vms(vms::Options),
}

/// A running stand-in; dropping it stops it.
enum Server {
    Engine(engine::Server),
    Application(application::Server),
    Kv(kv::Server),
    Vms(vms::Server),
}

impl Server {
    fn start(options: Options) -> Result<Self, siskin_standin::Error> {
        Ok(match options {
            Options::Engine(options) => Self::Engine(engine::Server::start(options)?),
            Options::Application(options) => {
                Self::Application(application::Server::start(options)?)
            }
            Options::Kv(options) => Self::Kv(kv::Server::start(options)?),
            Options::Vms(options) => Self::Vms(vms::Server::start(options)?),
        })
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(server) => server.address(),
            Self::Application(server) => server.address(),
            Self::Kv(server) => server.address(),
            Self::Vms(server) => server.address(),
        }
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let values = load_or_exit(PROGRAM, &TABLE);
    let options = read(&values).unwrap_or_else(|error| exit_usage(PROGRAM, &error));
    let server = Server::start(options)?;
    // Tests read the address from this line.
    println!("listening on {}", server.address());
    wait_for_signal().await
}

fn read(values: &Values) -> Result<Options, Error> {
    logging::start(values.required("log")?, logging::Stream::Output);
    match values.required("kind")? {
        "engine" => Ok(Options::Engine(engine_options(values)?)),
        "application" => Ok(Options::Application(application::Options {
            address: values.address("listen")?,
            slots: values.number("slots", 1..=100_000)?,
            delay: values.millis("delay-ms", 0..=LONGEST_MS)?,
            load_lag: values.millis("load-lag-ms", 0..=LONGEST_MS)?,
            control: values.switch("control")?,
        })),
        "kv" => Ok(Options::Kv(kv::Options {
            address: values.address("listen")?,
            writes_per_second: values.number("writes-per-second", 0..=1_000_000)?,
            reads_per_second: values.number("reads-per-second", 0..=1_000_000)?,
            latency: values.millis("latency-ms", 0..=LONGEST_MS)?,
            control: values.switch("control")?,
        })),
        "vms" => Ok(Options::Vms(vms::Options {
            address: values.address("listen")?,
            lag: values.millis("lag-ms", 0..=LONGEST_MS)?,
            control: values.switch("control")?,
        })),
        other => Err(values.invalid("kind", other, "use engine, application, kv or vms")),
    }
}

fn engine_options(values: &Values) -> Result<engine::Options, Error> {
    let micros = |flag| values.number(flag, 0..=LONGEST_MS * 1_000).map(Duration::from_micros);
    let models = values.text("models").unwrap_or_default().split(',').map(str::trim);
    Ok(engine::Options {
        address: values.address("listen")?,
        slots: values.number("slots", 1..=100_000)?,
        token_interval: micros("token-interval-us")?,
        prompt_token: micros("prompt-token-us")?,
        cache_tokens: values.number("cache-tokens", 0..=u64::MAX)?,
        load_lag: values.millis("load-lag-ms", 0..=LONGEST_MS)?,
        events_lag: values.millis("events-lag-ms", 0..=LONGEST_MS)?,
        events_gap: f64::from(values.number("events-lost-percent", 0..=100_u32)?) / 100.0,
        models: models.filter(|model| !model.is_empty()).map(str::to_owned).collect(),
        load_time: values.millis("load-time-ms", 0..=LONGEST_MS)?,
        check_fencing: !values.switch("ignore-fencing")?,
        control: values.switch("control")?,
        ..engine::Options::default()
    })
}

async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
    tokio::select! {
        _ = terminate.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => result.context("SIGINT cannot be handled"),
    }
}
