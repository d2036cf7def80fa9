//! Validation rules of a document.

use {
    super::{Customer, Document, Endpoint, Fleet, Hash, Model, Pool, Route, Service, Unit},
    siskin_types::role::Role,
    std::{
        collections::{HashMap, HashSet},
        fmt::Display,
        net::SocketAddr,
        ops::RangeInclusive,
    },
};

/// Maximum length of an item's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum number of concurrent requests of one endpoint.
const MAX_SLOTS: u32 = 65_536;

/// Upper limit of the body limits. Bodies are held in memory while their requests are queued.
const MAX_BODY_BYTES: u64 = 256 << 20;

/// Maximum duration of one request: a day.
const MAX_DURATION_MS: u64 = 24 * 3_600 * 1_000;

/// Kind of the violated rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The value has the wrong type or syntax, or the field is unknown.
    Malformed,
    /// A required field is missing.
    Missing,
    /// A value is outside the permitted range.
    OutOfRange,
    /// Two items use the same value where it must be unique.
    Duplicate,
    /// The value refers to an item that does not exist.
    Unresolved,
    /// Two fields are inconsistent.
    Mismatch,
}

/// A validation error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} is '{value}', which is refused; {remedy}")]
pub struct Error {
    /// Kind of the violated rule.
    pub kind: Kind,
    /// Path of the field, separated by dots.
    pub field: String,
    /// The value that was refused.
    pub value: String,
    /// How to correct it.
    pub remedy: String,
}

impl Error {
    pub(crate) fn new(
        kind: Kind,
        field: impl Into<String>,
        value: impl Display,
        remedy: impl Into<String>,
    ) -> Self {
        Self { kind, field: field.into(), value: value.to_string(), remedy: remedy.into() }
    }
}

/// Checks the whole document against every rule and reports the first violation.
///
/// # Errors
///
/// The violation, with the field, its value and the remedy.
///
/// ```
/// use siskin_config::document::{Document, Kind, validate};
/// let text = r#"{ "models": { "small": { "id": 1, "pool": "chat" } } }"#;
/// let document: Document = serde_json::from_str(text).unwrap();
/// let error = validate(&document).unwrap_err();
/// assert_eq!((error.kind, error.field.as_str()), (Kind::Unresolved, "models.small.pool"));
/// ```
pub fn validate(document: &Document) -> Result<(), Error> {
    let mut unique = Unique::default();
    for (name, customer) in document.customers.iter() {
        check_customer(name, customer, &mut unique)?;
    }
    for (name, pool) in document.pools.iter() {
        check_pool(name, pool, &mut unique)?;
    }
    for (name, model) in document.models.iter() {
        check_model(document, name, model, &mut unique)?;
    }
    for (name, route) in document.routes.iter() {
        check_route(document, name, route)?;
    }
    for (name, endpoint) in document.endpoints.iter() {
        check_endpoint(document, name, endpoint, &mut unique)?;
    }
    check_fleet(&document.fleet)
}

/// Values that must be unique, each with the name of the item that uses it.
#[derive(Default)]
struct Unique<'a> {
    customers: HashMap<u32, &'a str>,
    pools: HashMap<u32, &'a str>,
    models: HashMap<u32, &'a str>,
    endpoints: HashMap<u32, &'a str>,
    keys: HashMap<Hash, &'a str>,
    addresses: HashMap<SocketAddr, &'a str>,
}

fn check_unique<'a, K: std::hash::Hash + Eq + Display + Copy>(
    used: &mut HashMap<K, &'a str>,
    key: K,
    name: &'a str,
    field: impl FnOnce() -> String,
) -> Result<(), Error> {
    let Some(other) = used.insert(key, name) else {
        return Ok(());
    };
    let remedy = format!("'{other}' uses it already; choose another value");
    Err(Error::new(Kind::Duplicate, field(), key, remedy))
}

fn check_name(section: &str, name: &str, extra: &str) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c) || extra.contains(c);
    if !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed) {
        return Ok(());
    }
    let remedy = format!(
        "use 1 to {MAX_NAME_BYTES} ASCII letters, digits and the characters '-_.{extra}' for the name"
    );
    Err(Error::new(Kind::Malformed, section, name, remedy))
}

fn check_range<N: PartialOrd + Display + Copy>(
    field: impl FnOnce() -> String,
    value: N,
    range: &RangeInclusive<N>,
) -> Result<(), Error> {
    if range.contains(&value) {
        return Ok(());
    }
    let remedy = format!("use a number from {} to {}", range.start(), range.end());
    Err(Error::new(Kind::OutOfRange, field(), value, remedy))
}

fn check_customer<'a>(
    name: &'a str,
    customer: &Customer,
    unique: &mut Unique<'a>,
) -> Result<(), Error> {
    let field = |field: &str| format!("customers.{name}.{field}");
    check_name("customers", name, "")?;
    check_unique(&mut unique.customers, customer.id.0, name, || field("id"))?;
    check_range(|| field("max_in_flight"), customer.max_in_flight, &(1..=u32::MAX))?;
    check_range(|| field("max_queue"), customer.max_queue, &(1..=u32::MAX))?;
    if let Some(rate) = customer.rate_per_second {
        check_range(|| field("rate_per_second"), rate, &(1..=u32::MAX))?;
    }
    for hash in &customer.key_hashes {
        check_unique(&mut unique.keys, *hash, name, || field("key_hashes"))?;
    }
    Ok(())
}

fn check_pool<'a>(name: &'a str, pool: &Pool, unique: &mut Unique<'a>) -> Result<(), Error> {
    let field = |field: &str| format!("pools.{name}.{field}");
    check_name("pools", name, "")?;
    check_unique(&mut unique.pools, pool.id.0, name, || field("id"))?;
    check_range(|| field("max_request"), pool.max_request.0, &(1..=u64::from(u32::MAX)))?;
    check_range(|| field("max_catch_up"), pool.catch_up().0, &(1..=u64::MAX))
}

fn find_pool<'a>(
    document: &'a Document,
    name: &str,
    field: impl FnOnce() -> String,
) -> Result<&'a Pool, Error> {
    document.pools.get(name).ok_or_else(|| {
        let remedy = "name a pool that exists, or create the pool in the same patch";
        Error::new(Kind::Unresolved, field(), name, remedy)
    })
}

fn check_pool_unit(
    pool: &Pool,
    unit: Unit,
    name: &str,
    field: impl FnOnce() -> String,
) -> Result<(), Error> {
    if pool.unit == unit {
        return Ok(());
    }
    let remedy = match unit {
        Unit::Tokens => "models and engines need a pool whose unit is 'tokens'",
        Unit::Milliseconds => "routes and applications need a pool whose unit is 'milliseconds'",
    };
    Err(Error::new(Kind::Mismatch, field(), name, remedy))
}

fn check_model<'a>(
    document: &Document,
    name: &'a str,
    model: &Model,
    unique: &mut Unique<'a>,
) -> Result<(), Error> {
    let field = |field: &str| format!("models.{name}.{field}");
    check_name("models", name, ":/")?;
    check_unique(&mut unique.models, model.id.0, name, || field("id"))?;
    let pool = find_pool(document, &model.pool, || field("pool"))?;
    check_pool_unit(pool, Unit::Tokens, &model.pool, || field("pool"))?;
    if let Some(version) = &model.version {
        check_model_version(version, || field("version"))?;
    }
    match &model.base {
        Some(base) => check_adapter_base(document, name, model, base, || field("base")),
        None => Ok(()),
    }
}

fn check_model_version(version: &str, field: impl FnOnce() -> String) -> Result<(), Error> {
    let allowed = |c: char| c.is_ascii_graphic();
    if !version.is_empty() && version.len() <= MAX_NAME_BYTES && version.chars().all(allowed) {
        return Ok(());
    }
    let remedy = format!(
        "use 1 to {MAX_NAME_BYTES} printable ASCII characters without spaces, or leave the version out"
    );
    Err(Error::new(Kind::Malformed, field(), version, remedy))
}

fn check_adapter_base(
    document: &Document,
    name: &str,
    adapter: &Model,
    base: &str,
    field: impl Fn() -> String,
) -> Result<(), Error> {
    let Some(model) = document.models.get(base) else {
        let remedy = "name a model that exists, or create the model in the same patch";
        return Err(Error::new(Kind::Unresolved, field(), base, remedy));
    };
    if model.base.is_some() {
        let remedy = format!("'{base}' is an adapter; name a model that has no base");
        return Err(Error::new(Kind::Mismatch, field(), base, remedy));
    }
    if model.pool != adapter.pool {
        let remedy = format!("it belongs to pool '{}'; use the same pool for both", model.pool);
        return Err(Error::new(Kind::Mismatch, field(), base, remedy));
    }
    let own = name.strip_prefix(base).and_then(|rest| rest.strip_prefix(':'));
    if own.is_none_or(str::is_empty) {
        let remedy = format!("name the adapter '{base}:' followed by a name of its own");
        return Err(Error::new(Kind::Mismatch, field(), base, remedy));
    }
    Ok(())
}

fn check_route(document: &Document, name: &str, route: &Route) -> Result<(), Error> {
    let field = |field: &str| format!("routes.{name}.{field}");
    check_name("routes", name, "")?;
    let pool = find_pool(document, &route.pool, || field("pool"))?;
    check_pool_unit(pool, Unit::Milliseconds, &route.pool, || field("pool"))?;
    if let Some(limit) = route.max_body_bytes {
        check_range(|| field("max_body_bytes"), limit, &(0..=MAX_BODY_BYTES))?;
    }
    if let Some(limit) = route.max_duration_ms {
        check_range(|| field("max_duration_ms"), limit, &(1..=MAX_DURATION_MS))?;
    }
    Ok(())
}

fn check_endpoint<'a>(
    document: &Document,
    name: &'a str,
    endpoint: &Endpoint,
    unique: &mut Unique<'a>,
) -> Result<(), Error> {
    let field = |field: &str| format!("endpoints.{name}.{field}");
    check_name("endpoints", name, ":")?;
    check_unique(&mut unique.endpoints, endpoint.id.0, name, || field("id"))?;
    check_address(endpoint.address, || field("address"))?;
    check_unique(&mut unique.addresses, endpoint.address, name, || field("address"))?;
    check_range(|| field("slots"), endpoint.slots, &(1..=MAX_SLOTS))?;
    if endpoint.data_centre.is_empty() {
        let remedy = "name the data centre of the endpoint's VM";
        return Err(Error::new(Kind::Missing, field("data_centre"), "", remedy));
    }
    let pool = find_pool(document, &endpoint.pool, || field("pool"))?;
    match endpoint.kind {
        Service::Engine => {
            check_pool_unit(pool, Unit::Tokens, &endpoint.pool, || field("pool"))?;
            check_engine(document, endpoint, field)
        }
        Service::Application => {
            check_pool_unit(pool, Unit::Milliseconds, &endpoint.pool, || field("pool"))?;
            check_application(document, endpoint, field)
        }
    }
}

fn check_address(address: SocketAddr, field: impl FnOnce() -> String) -> Result<(), Error> {
    if address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast() {
        return Ok(());
    }
    let remedy = "use the IP address and the port on which the endpoint listens";
    Err(Error::new(Kind::OutOfRange, field(), address, remedy))
}

fn check_engine(
    document: &Document,
    endpoint: &Endpoint,
    field: impl Fn(&str) -> String,
) -> Result<(), Error> {
    if let Some(route) = &endpoint.route {
        let remedy = "leave the route out; engines serve models";
        return Err(Error::new(Kind::Mismatch, field("route"), route, remedy));
    }
    let mut seen = HashSet::new();
    for name in &endpoint.models {
        if !seen.insert(name) {
            let remedy = "list every model once";
            return Err(Error::new(Kind::Duplicate, field("models"), name, remedy));
        }
        let Some(model) = document.models.get(name) else {
            let remedy = "name a model that exists, or create the model in the same patch";
            return Err(Error::new(Kind::Unresolved, field("models"), name, remedy));
        };
        if model.pool != endpoint.pool {
            let remedy = format!("it belongs to pool '{}'; use an engine of that pool", model.pool);
            return Err(Error::new(Kind::Mismatch, field("models"), name, remedy));
        }
        if let Some(base) = model.base.as_ref().filter(|base| !endpoint.models.contains(*base)) {
            let remedy = format!("it is an adapter on '{base}'; list that model too");
            return Err(Error::new(Kind::Mismatch, field("models"), name, remedy));
        }
    }
    Ok(())
}

fn check_application(
    document: &Document,
    endpoint: &Endpoint,
    field: impl Fn(&str) -> String,
) -> Result<(), Error> {
    if let Some(model) = endpoint.models.first() {
        let remedy = "leave the models out; applications serve a route";
        return Err(Error::new(Kind::Mismatch, field("models"), model, remedy));
    }
    if endpoint.role != Role::default() {
        let remedy = "leave the role out; only engines have one";
        return Err(Error::new(Kind::Mismatch, field("role"), endpoint.role, remedy));
    }
    let Some(name) = &endpoint.route else {
        let remedy = "name the route that the application serves";
        return Err(Error::new(Kind::Missing, field("route"), "", remedy));
    };
    let Some(route) = document.routes.get(name) else {
        let remedy = "name a route that exists, or create the route in the same patch";
        return Err(Error::new(Kind::Unresolved, field("route"), name, remedy));
    };
    if route.pool != endpoint.pool {
        let remedy = format!("it belongs to pool '{}'; use an endpoint of that pool", route.pool);
        return Err(Error::new(Kind::Mismatch, field("route"), name, remedy));
    }
    Ok(())
}

fn check_fleet(fleet: &Fleet) -> Result<(), Error> {
    let field = |field: &str| format!("fleet.{field}");
    let time = 1..=MAX_DURATION_MS;
    check_range(|| field("connect_timeout_ms"), fleet.connect_timeout_ms, &time)?;
    check_range(|| field("progress_timeout_ms"), fleet.progress_timeout_ms, &time)?;
    check_range(|| field("probe_timeout_ms"), fleet.probe_timeout_ms, &time)?;
    check_range(|| field("request_timeout_ms"), fleet.request_timeout_ms, &time)?;
    check_range(|| field("retry_budget_percent"), fleet.retry_budget_percent, &(0..=100))?;
    // A claim must outlive the longest request, or a repeated call could run a second time.
    let longest_s = fleet.request_timeout_ms.div_ceil(1_000);
    let retention = longest_s..=(90 * 86_400);
    check_range(|| field("claim_retention_s"), fleet.claim_retention_s, &retention)?;
    check_range(|| field("poison_expiry_s"), fleet.poison_expiry_s, &(1..=86_400))?;
    check_range(|| field("max_body_bytes"), fleet.max_body_bytes, &(1..=MAX_BODY_BYTES))?;
    check_range(|| field("max_head_bytes"), fleet.max_head_bytes, &(1_024..=(1 << 20)))?;
    check_range(|| field("load_spacing_ms"), fleet.load_spacing_ms, &(0..=MAX_DURATION_MS))
}
