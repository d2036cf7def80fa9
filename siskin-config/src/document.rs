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

/// Everything that operators configure. Copies are cheap: they share the items.
///
/// Settings equal to their defaults are left out when the document is written, so a new setting does
/// not change the hash of a document that does not use it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The parties that share the capacity.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub customers: Table<Customer>,
    /// Sets of endpoints with a common owner and unit.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub pools: Table<Pool>,
    /// Models that callers may name.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub models: Table<Model>,
    /// Engines and application services.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub endpoints: Table<Endpoint>,
    /// Applications that callers may name.
    #[serde(skip_serializing_if = "Table::is_empty")]
    pub routes: Table<Route>,
    /// Settings of the whole fleet.
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

/// Hashes the JSON of a part of the document. Writing to a hasher does not fail, and the document
/// contains only types that JSON can express.
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
    /// Number of the customer in messages between routers.
    pub id: id::Customer,
    /// Share relative to the other customers.
    #[serde(default, skip_serializing_if = "is_default")]
    pub weight: Weight,
    /// Most requests in flight in one pool, over the fleet; further ones wait.
    pub max_in_flight: u32,
    /// Most requests that wait at one router.
    pub max_queue: u32,
    /// Most requests accepted per second; no limit if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate_per_second: Option<u32>,
    /// blake3 hashes of the API keys.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub key_hashes: Vec<Hash>,
}

/// What the service of a pool is counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Tokens, for model engines.
    Tokens,
    /// Milliseconds of an occupied slot, for applications.
    Milliseconds,
}

/// Lead over the floor up to which a slot is reused, in units per unit of weight.
const DEFAULT_REUSE_SLACK: Units = Units(1_000);

/// Catch-up after a partition, as a multiple of the largest request.
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
    /// Number of the pool in messages between routers.
    pub id: id::Pool,
    /// What service is counted in.
    pub unit: Unit,
    /// Largest cost of one request.
    pub max_request: Units,
    /// Lead over the floor up to which a router reuses a slot, in units per unit of weight.
    #[serde(default = "default_reuse_slack", skip_serializing_if = "is_default_reuse_slack")]
    pub reuse_slack: Units,
    /// Lead that is evened out after a partition; ten times `max_request` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_catch_up: Option<Units>,
}

impl Pool {
    /// The lead that is evened out after a partition, with the default applied.
    #[must_use]
    pub fn catch_up(&self) -> Units {
        let default = Units(self.max_request.0.saturating_mul(DEFAULT_CATCH_UP_REQUESTS));
        self.max_catch_up.unwrap_or(default)
    }
}

/// A model, or an adapter on a model, that callers may name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Number of the model in messages between routers.
    pub id: id::Model,
    /// Name of the pool that serves it.
    pub pool: String,
    /// For an adapter, the model that it is loaded on. An adapter's name is that of its base, a colon and its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<String>,
    /// The version that engines shall serve; any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Application,
}

/// What an engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects the order.
    Checked,
    /// The engine does not look at the number. The default, because it is the one that needs care.
    #[default]
    Ignored,
}

/// A model engine or an application service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Number of the endpoint in messages between routers.
    pub id: id::Endpoint,
    /// Engine or application.
    pub kind: Service,
    /// Name of the pool that it belongs to.
    pub pool: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre of its VM.
    pub data_centre: String,
    /// Names of the wanted models and adapters, for an engine.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// The wanted role of an engine. Only an engine with the default role gets calls.
    #[serde(default, skip_serializing_if = "is_default")]
    pub role: Role,
    /// Name of the route it serves, for an application.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub route: Option<String>,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Whether old fencing numbers are rejected.
    #[serde(default, skip_serializing_if = "is_default")]
    pub fencing: Fencing,
    /// Whether it gets no new work.
    #[serde(default, skip_serializing_if = "is_default")]
    pub leaving: bool,
}

/// An application that callers may name. Its name is the first part of the path after `/apps/`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the pool that serves it.
    pub pool: String,
    /// Whether a call may be repeated.
    #[serde(default, skip_serializing_if = "is_default")]
    pub idempotent: bool,
    /// Largest request body; the limit of the fleet if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_body_bytes: Option<u64>,
    /// Longest time of a call; the limit of the fleet if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_duration_ms: Option<u64>,
}

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Time to set up a connection to an endpoint.
    #[serde(skip_serializing_if = "is_connect_timeout")]
    pub connect_timeout_ms: u64,
    /// Silence on a connection after which the endpoint is probed.
    #[serde(skip_serializing_if = "is_progress_timeout")]
    pub progress_timeout_ms: u64,
    /// Time for an endpoint to answer a probe.
    #[serde(skip_serializing_if = "is_probe_timeout")]
    pub probe_timeout_ms: u64,
    /// Longest deadline of a request; also the deadline of a request that names none.
    #[serde(skip_serializing_if = "is_request_timeout")]
    pub request_timeout_ms: u64,
    /// Retries as a share of the traffic.
    #[serde(skip_serializing_if = "is_retry_budget")]
    pub retry_budget_percent: u32,
    /// How long the claim on an idempotency key is kept.
    #[serde(skip_serializing_if = "is_claim_retention")]
    pub claim_retention_s: u64,
    /// How long a request that crashed two endpoints is refused.
    #[serde(skip_serializing_if = "is_poison_expiry")]
    pub poison_expiry_s: u64,
    /// Largest request body.
    #[serde(skip_serializing_if = "is_body_limit")]
    pub max_body_bytes: u64,
    /// Largest request head.
    #[serde(skip_serializing_if = "is_head_limit")]
    pub max_head_bytes: u64,
    /// Time between two loads of models, because the weight store is rate-limited.
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

macro_rules! skipped_if_default {
    ($($name:ident: $field:ident: $type:ty,)*) => {
        $(
            // Serde passes references.
            #[allow(clippy::trivially_copy_pass_by_ref)]
            fn $name(value: &$type) -> bool {
            *value == Fleet::default().$field
        })*
    };
}

skipped_if_default! {
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
    /// Time to set up a connection to an endpoint.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Silence on a connection after which the endpoint is probed.
    #[must_use]
    pub const fn progress_timeout(&self) -> Duration {
        Duration::from_millis(self.progress_timeout_ms)
    }

    /// Time for an endpoint to answer a probe.
    #[must_use]
    pub const fn probe_timeout(&self) -> Duration {
        Duration::from_millis(self.probe_timeout_ms)
    }

    /// Longest deadline of a request.
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

    /// Time between two loads of models.
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
    /// The hash of some bytes.
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
