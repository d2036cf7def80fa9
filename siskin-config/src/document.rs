//! The configuration document: customers, pools, models, endpoints, routes and settings of the fleet.

use {
    crate::table::Table,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de},
    siskin_types::{
        cost::{Units, Weight},
        id,
        role::Role,
    },
    std::{fmt, net::SocketAddr, str::FromStr, time::Duration},
};

mod validate;

pub use validate::{Error, Kind, MAX_NAME_BYTES, validate};

/// The whole configuration that operators manage. Copies are cheap: they share the items.
///
/// Settings equal to their defaults are omitted on serialisation, so a new setting does not change the
/// hash of a document that does not use it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The tenants that share the capacity.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub customers: Table<Customer>,
    /// Sets of endpoints with a common owner and unit.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub pools: Table<Pool>,
    /// Models that callers can request.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub models: Table<Model>,
    /// Engines and application services.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub endpoints: Table<Endpoint>,
    /// Applications that callers can request.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub routes: Table<Route>,
    /// Fleet-wide settings.
    #[serde(skip_serializing_if = "is_default")]
    pub fleet: Fleet,
}

impl Document {
    /// Hash of the content, independent of the order of the items.
    #[must_use]
    pub fn hash(&self) -> Hash {
        let mut hasher = blake3::Hasher::new();
        self.customers.digest().update(&mut hasher);
        self.pools.digest().update(&mut hasher);
        self.models.digest().update(&mut hasher);
        self.endpoints.digest().update(&mut hasher);
        self.routes.digest().update(&mut hasher);
        hash_json(&mut hasher, &self.fleet);
        Hash(*hasher.finalize().as_bytes())
    }
}

/// Hashes the JSON of a part of the document. It cannot fail, since the document contains only types
/// that JSON can express and writing to a hasher does not fail.
pub(crate) fn hash_json<T: Serialize>(hasher: &mut blake3::Hasher, part: &T) {
    serde_json::to_writer(hasher, part).expect("parts of the document serialise to JSON");
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A customer's share and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Numeric identifier in messages between routers.
    pub id: id::Customer,
    /// Fair-share weight relative to the other customers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub weight: Weight,
    /// Maximum number of requests in flight in one pool, fleet-wide. Further requests are queued.
    pub max_in_flight: u32,
    /// Maximum number of requests queued at one router.
    pub max_queue: u32,
    /// Maximum number of requests accepted per second; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<u32>,
    /// blake3 hashes of the API keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<Hash>,
}

/// Unit in which the service of a pool is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Tokens, for model engines.
    Tokens,
    /// Milliseconds of an occupied slot, for applications.
    Milliseconds,
}

/// Default of [`Pool::reuse_slack`].
const DEFAULT_REUSE_SLACK: Units = Units(1_000);

/// Default of [`Pool::max_catch_up`], as a multiple of the largest request.
const DEFAULT_CATCH_UP_REQUESTS: u64 = 10;

// Serde passes references.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_default_reuse_slack(slack: &Units) -> bool {
    *slack == DEFAULT_REUSE_SLACK
}

const fn default_reuse_slack() -> Units {
    DEFAULT_REUSE_SLACK
}

/// A set of endpoints whose slots are shared by one owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Numeric identifier in messages between routers.
    pub id: id::Pool,
    /// Unit in which service is measured.
    pub unit: Unit,
    /// Maximum cost of one request.
    pub max_request: Units,
    /// How far a customer's virtual time may lead the floor, the lowest one of the waiting customers, for a
    /// router to reuse a slot. In units per unit of weight.
    #[serde(default = "default_reuse_slack", skip_serializing_if = "is_default_reuse_slack")]
    pub reuse_slack: Units,
    /// Maximum lead in service that is compensated after a partition; ten times `max_request` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_catch_up: Option<Units>,
}

impl Pool {
    /// The maximum lead in service that is compensated after a partition, with the default applied.
    #[must_use]
    pub fn catch_up(&self) -> Units {
        let default = Units(self.max_request.0.saturating_mul(DEFAULT_CATCH_UP_REQUESTS));
        self.max_catch_up.unwrap_or(default)
    }
}

/// A model, or an adapter on a model, that callers can request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Numeric identifier in messages between routers.
    pub id: id::Model,
    /// Name of the pool that serves it.
    pub pool: String,
    /// For an adapter, the model that it is loaded on. An adapter is named `<base>:<adapter>`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// The version that engines must serve; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// Kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Application,
}

/// How an engine treats an order that carries an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects the order.
    Checked,
    /// The engine ignores the number. This is the default because it is the case that needs precautions.
    #[default]
    Ignored,
}

/// A model engine or an application service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Numeric identifier in messages between routers.
    pub id: id::Endpoint,
    /// Engine or application.
    pub kind: Service,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: String,
    /// For an engine, the names of the models and adapters that it should serve.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// For an engine, the role that it should have. Only engines with the default role receive calls.
    #[serde(default, skip_serializing_if = "is_default")]
    pub role: Role,
    /// For an application, the name of the route that it serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether outdated fencing numbers are rejected.
    #[serde(default, skip_serializing_if = "is_default")]
    pub fencing: Fencing,
    /// Whether it is draining and gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaving: bool,
}

/// An application that callers can request. Its name is the path segment after `/apps/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the pool that serves it.
    pub pool: String,
    /// Whether a call may be retried.
    #[serde(default, skip_serializing_if = "is_default")]
    pub idempotent: bool,
    /// Maximum size of a request body; the fleet-wide limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body_bytes: Option<u64>,
    /// Maximum duration of a call; the fleet-wide limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_duration_ms: Option<u64>,
}

/// Fleet-wide settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Timeout for connecting to an endpoint.
    #[serde(skip_serializing_if = "is_connect_timeout")]
    pub connect_timeout_ms: u64,
    /// Time without data on a connection after which the endpoint is probed.
    #[serde(skip_serializing_if = "is_progress_timeout")]
    pub progress_timeout_ms: u64,
    /// Timeout of a probe.
    #[serde(skip_serializing_if = "is_probe_timeout")]
    pub probe_timeout_ms: u64,
    /// Maximum deadline of a request, also used for requests without a deadline.
    #[serde(skip_serializing_if = "is_request_timeout")]
    pub request_timeout_ms: u64,
    /// Retry budget as a percentage of the traffic.
    #[serde(skip_serializing_if = "is_retry_budget")]
    pub retry_budget_percent: u32,
    /// How long the claim on an idempotency key is kept.
    #[serde(skip_serializing_if = "is_claim_retention")]
    pub claim_retention_s: u64,
    /// How long a request that crashed two endpoints is refused.
    #[serde(skip_serializing_if = "is_poison_expiry")]
    pub poison_expiry_s: u64,
    /// Maximum size of a request body.
    #[serde(skip_serializing_if = "is_body_limit")]
    pub max_body_bytes: u64,
    /// Maximum size of a request head.
    #[serde(skip_serializing_if = "is_head_limit")]
    pub max_head_bytes: u64,
    /// Minimum interval between loads of models, because the weight store is rate-limited.
    #[serde(skip_serializing_if = "is_load_spacing")]
    pub load_spacing_ms: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            progress_timeout_ms: 2_000,
            probe_timeout_ms: 500,
            request_timeout_ms: 300_000,
            retry_budget_percent: 10,
            claim_retention_s: 86_400,
            poison_expiry_s: 600,
            max_body_bytes: 8 << 20,
            max_head_bytes: 64 << 10,
            load_spacing_ms: 10_000,
        }
    }
}

macro_rules! default_checks {
    ($($name:ident: $field:ident: $type:ty,)*) => {
        $(
            // Serde passes references.
            #[allow(clippy::trivially_copy_pass_by_ref)]
            fn $name(value: &$type) -> bool {
            *value == Fleet::default().$field
        })*
    };
}

default_checks! {
    is_connect_timeout: connect_timeout_ms: u64,
    is_progress_timeout: progress_timeout_ms: u64,
    is_probe_timeout: probe_timeout_ms: u64,
    is_request_timeout: request_timeout_ms: u64,
    is_retry_budget: retry_budget_percent: u32,
    is_claim_retention: claim_retention_s: u64,
    is_poison_expiry: poison_expiry_s: u64,
    is_body_limit: max_body_bytes: u64,
    is_head_limit: max_head_bytes: u64,
    is_load_spacing: load_spacing_ms: u64,
}

impl Fleet {
    /// Timeout for connecting to an endpoint.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Time without data on a connection after which the endpoint is probed.
    #[must_use]
    pub const fn progress_timeout(&self) -> Duration {
        Duration::from_millis(self.progress_timeout_ms)
    }

    /// Timeout of a probe.
    #[must_use]
    pub const fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Maximum deadline of a request.
    #[must_use]
    pub const fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.request_timeout_ms)
    }

    /// How long claims are kept.
    #[must_use]
    pub const fn claim_retention(&self) -> Duration {
        Duration::from_secs(self.claim_retention_s)
    }

    /// How long a request that crashed two endpoints is refused.
    #[must_use]
    pub const fn poison_expiry(&self) -> Duration {
        Duration::from_secs(self.poison_expiry_s)
    }

    /// Minimum interval between loads of models.
    #[must_use]
    pub const fn load_spacing(&self) -> Duration {
        Duration::from_millis(self.load_spacing_ms)
    }
}

/// A blake3 hash, written as 64 hexadecimal digits.
///
/// ```
/// use siskin_config::document::Hash;
/// let hash = Hash::of(b"key");
/// assert_eq!(hash.to_string().parse::<Hash>().unwrap(), hash);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hash(pub [u8; 32]);

impl Hash {
    /// Hashes bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The first 64 bits, for comparison in small messages.
    #[must_use]
    pub fn short(&self) -> u64 {
        self.0.iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte))
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The text is not a hash.
#[derive(Debug, thiserror::Error)]
#[error("'{0}' is not a blake3 hash; expected 64 hexadecimal digits")]
pub struct HashError(String);

impl FromStr for Hash {
    type Err = HashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| HashError(text.to_owned()))?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Hash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl<'de> Deserialize<'de> for Hash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?.parse().map_err(de::Error::custom)
    }
}
