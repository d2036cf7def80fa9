//! Routes, services and customers of one configuration version.

mod encoding;

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    siskin_types::id::Customer,
    std::{collections::HashMap, time::Duration},
};

/// Whether requests of a route may be retried, and whether responses are streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another endpoint.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may safely run twice.
    #[must_use]
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Label in logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::AtMostOnce => "once",
            Self::Stream { resumable: false } => "stream",
            Self::Stream { resumable: true } => "resumable_stream",
        }
    }
}

/// A service that receives a part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight of this service relative to the other targets of the route.
    pub weight: u32,
}

/// Rules for requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host that requests are matched by.
    pub host: String,
    /// Path prefix that requests are matched by.
    pub prefix: String,
    /// Whether requests may be retried, and whether responses are streams.
    pub kind: Kind,
    /// Longest time for the complete response.
    pub timeout: Duration,
    /// Target for the time to the response, or to the first event of a stream.
    pub aim: Duration,
    /// Target for the longest time between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services among which requests are distributed.
    pub targets: Vec<Target>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests without a valid key are accepted.
    pub public: bool,
}

/// How endpoints of a service warm up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold endpoint sustains from all routers together.
    pub requests_per_second: f64,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Most connections that one endpoint accepts from all routers together.
    pub max_connections: u32,
    /// Tokens that fit into an engine's memory; `None` for services that read no prompts.
    pub memory_tokens: Option<u64>,
    /// How its endpoints warm up; `None` if they need no time for it.
    // Not part of the encoding of the previous version; see `encoding`.
    #[serde(skip)]
    pub warm_up: Option<WarmUp>,
}

/// Limits on requests of callers, and the capacity that is shared among customers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head_bytes: u64,
    /// Largest request body in bytes.
    pub body_bytes: u64,
    /// Longest time to receive a request head, and then a request body.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens per second that all engines together process; prompt tokens count once, generated ones twice.
    pub tokens_per_second: u64,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Identifier of the customer, the same at all routers.
    pub id: Customer,
    /// Name that is sent to endpoints.
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
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Customers by key; `None` if requests carry no keys.
    pub accounts: Option<HashMap<String, Account>>,
}

impl Catalog {
    /// Finds the route of a request: among the routes of the host, the one with the longest matching path prefix.
    ///
    /// The host is compared without its port and without regard to case.
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
    /// Chooses the service for one request by weight, from a uniformly distributed number.
    #[must_use]
    pub fn target(&self, random: u64) -> Option<&str> {
        let total_weight: u64 =
            self.targets.iter().map(|candidate| u64::from(candidate.weight)).sum();
        let mut offset = random.checked_rem(total_weight)?;
        for candidate in &self.targets {
            match offset.checked_sub(u64::from(candidate.weight)) {
                Some(rest) => offset = rest,
                None => return Some(&candidate.service),
            }
        }
        None
    }
}
