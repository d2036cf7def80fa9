//! Stand-in for a model engine.
//!
//! ```
//! use siskin_standin::engine::{Options, Server};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let server = Server::start(Options { slots: 2, ..Options::default() }).unwrap();
//! assert!(server.address().ip().is_loopback());
//! assert_eq!(server.load().slots, 2);
//! server.stop();
//! # });
//! ```

pub mod cache;

mod batch;
mod chat;
mod handler;
mod orders;

use {
    crate::{
        Error,
        fault::{Command, Fault},
        load::Load,
        loopback,
        run::{Run, Service},
        server::Listener,
    },
    handler::Engine,
    indexmap::IndexMap,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The role in which an engine serves whole requests.
pub(crate) const WHOLE: &str = "both";

/// All roles that an engine can take.
pub(crate) const ROLES: [&str; 3] = [WHOLE, "prefill", "decode"];

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Requests that are served at the same time.
    pub slots: u32,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Time to read one prompt token that is not cached.
    pub prompt_token: Duration,
    /// Tokens the prefix cache holds.
    pub cache_tokens: u64,
    /// Tokens of an answer to a request that does not say how many it wants.
    pub default_tokens: u32,
    /// Age of the reports of `GET /load`.
    pub load_lag: Duration,
    /// Age of the events of `GET /cache/events`.
    pub events_lag: Duration,
    /// Probability that a cache event is lost.
    pub events_gap: f64,
    /// Models loaded at start; empty: any model is served.
    pub models: Vec<String>,
    /// Version of the models that are loaded at start or by an order that names none; empty: not reported.
    pub version: String,
    /// Version of its software; empty: not reported.
    pub software: String,
    /// Role at start.
    pub role: String,
    /// Time to load one model.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are rejected.
    pub check_fencing: bool,
    /// Whether `POST /control` takes faults and `GET /control` tells the true number of runs by request.
    pub control: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((loopback::address(), 0)),
            slots: 8,
            token_interval: Duration::from_millis(10),
            prompt_token: Duration::from_micros(50),
            cache_tokens: 100_000,
            default_tokens: 16,
            load_lag: Duration::from_millis(100),
            events_lag: Duration::from_millis(200),
            events_gap: 0.0,
            models: Vec::new(),
            version: String::new(),
            software: "1".to_owned(),
            role: WHOLE.to_owned(),
            load_time: Duration::from_millis(200),
            check_fencing: true,
            control: false,
        }
    }
}

/// A running engine; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    engine: Arc<Engine>,
}

impl Server {
    /// Starts an engine. Must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or an option is out of range.
    pub fn start(options: Options) -> Result<Self, Error> {
        if !(0.0..=1.0).contains(&options.events_gap) {
            return Err(Error::Option {
                name: "events_gap",
                value: options.events_gap.to_string(),
                remedy: "give a probability from 0 to 1",
            });
        }
        let (listener, bound) = Listener::bind(options.address)?;
        let engine = Arc::new(Engine::new(options, listener));
        let handler = Arc::clone(&engine);
        bound.serve(move |request| Arc::clone(&handler).handle(request));
        Ok(Self { engine })
    }

    /// The address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.engine.endpoint.listener.address()
    }

    /// Stops it and drops all connections.
    pub fn stop(&self) {
        self.engine.endpoint.stop();
    }

    /// Carries out a fault command, as `POST /control` does.
    pub fn command(&self, command: Command) {
        self.engine.endpoint.command(command);
    }

    /// Dies and accepts connections again after `pause`, as a new instance.
    pub fn crash(&self, pause: Duration) {
        let restart_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        self.command(Command::always(Fault::Crash { restart_ms }));
    }

    /// The true load, without lag.
    #[must_use]
    pub fn load(&self) -> Load {
        self.engine.endpoint.load()
    }

    /// How many runs of a request started, by request identifier or idempotency key. Resumed streams
    /// do not count again.
    #[must_use]
    pub fn runs(&self, name: &str) -> u64 {
        self.engine.endpoint.history.runs(name)
    }

    /// All names with the number of runs started.
    #[must_use]
    pub fn counts(&self) -> IndexMap<String, u64> {
        self.engine.endpoint.history.counts()
    }

    /// Service by the `user` of the requests, in tokens.
    #[must_use]
    pub fn service(&self) -> IndexMap<String, Service> {
        self.engine.endpoint.history.service()
    }

    /// The true history of runs.
    #[must_use]
    pub fn log(&self) -> Vec<Run> {
        self.engine.endpoint.history.log()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Token `index` (from 0) of the answer to `request`, whose last message begins with `message`.
///
/// ```
/// use siskin_standin::engine::token;
/// assert_eq!(token("r-1", "tag this photo", 0), "r-1|tag this photo|");
/// assert_eq!(token("r-1", "tag this photo", 1), " 1");
/// ```
#[must_use]
pub fn token(request: &str, message: &str, index: u32) -> String {
    match index {
        0 => format!("{request}|{}|", echo(message)),
        _ => format!(" {index}"),
    }
}

/// The whole answer of `tokens` tokens, for comparison.
#[must_use]
pub fn text(request: &str, message: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(request, message, index)).collect()
}

/// The start of `message` that an answer repeats.
#[must_use]
pub fn echo(message: &str) -> &str {
    chat::echo(message)
}
