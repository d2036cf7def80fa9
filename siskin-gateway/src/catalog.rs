//! Routes, services and customers of one configuration version.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    siskin_types::id::Customer,
    std::{collections::HashMap, time::Duration},
};

/// What may be done with a request of a route more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether a stream that broke may go on at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Whether running it twice does no harm.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Name in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::Once => "once",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable_stream",
        }
    }
}

/// A service that a route leads to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the route's requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Start of their paths.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is worth its full value.
    pub aim: Duration,
    /// Longest pause between events of a stream that is still on time.
    pub pause_aim: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services to choose from.
    pub targets: Vec<Target>,
    /// Endpoints that a request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// What is configured of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Tokens that an engine's memory holds; `None` for services that read no prompts.
    pub memory_tokens: Option<u64>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_bytes: u64,
    /// Largest body of a request in bytes.
    pub body_bytes: u64,
    /// Longest time in which a head, and then a body, has to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens per second that all engines process, read ones counted once and generated ones twice.
    pub tokens_per_second: u64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Number of the customer, the same at all routers.
    pub id: Customer,
    /// Name that endpoints are told.
    pub name: String,
}

/// Routes, services and customers of one configuration version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// The version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Customers by key; `None` if requests carry no keys.
    pub accounts: Option<HashMap<String, Account>>,
}

impl Catalog {
    /// The route of a request: among those of the host, the one with the longest prefix of the path.
    ///
    /// A port in the host and the case of its letters do not matter.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .iter()
            .filter(|route| {
                route.host.eq_ignore_ascii_case(name) && path.starts_with(&route.prefix)
            })
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// The service for one request: targets are chosen by weight with a number that is spread evenly.
    #[must_use]
    pub fn target(&self, random: u64) -> Option<&str> {
        let sum: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = random.checked_rem(sum)?;
        for target in &self.targets {
            match point.checked_sub(u64::from(target.weight)) {
                Some(rest) => point = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}
