//! Merge patches for the commands.

use {
    crate::arguments::{Customer, Rate},
    anyhow::{Context, bail},
    serde_json::{Map, Value, json},
    siskin_config::document::{Document, Service},
    std::hash::{BuildHasher, RandomState},
};

/// Limits of a customer that is created without them.
const DEFAULT_MAX_IN_FLIGHT: u32 = 64;
const DEFAULT_MAX_QUEUE: u32 = 256;

/// A random identifier. The standard library's hashers are seeded by the system's random numbers.
pub(crate) fn random_id() -> String {
    let part = |salt: u64| RandomState::new().hash_one(salt);
    format!("{:016x}{:016x}", part(0), part(1))
}

pub(crate) fn create_customer(
    document: &Document,
    name: &str,
    fields: &Customer,
) -> anyhow::Result<Value> {
    if document.customers.contains(name) {
        bail!("customer '{name}' exists already; change it with 'siskinctl customer set {name}'");
    }
    let mut item = customer_fields(fields);
    let number = fields.number.map_or_else(|| next_number(document), Ok)?;
    item.insert("id".to_owned(), json!(number));
    item.entry("max_in_flight").or_insert(json!(DEFAULT_MAX_IN_FLIGHT));
    item.entry("max_queue").or_insert(json!(DEFAULT_MAX_QUEUE));
    Ok(json!({ "customers": { name: item } }))
}

/// The number after the highest one. Numbers of removed customers below it are not used again soon,
/// since reports of other routers may still name them.
fn next_number(document: &Document) -> anyhow::Result<u32> {
    let highest = document.customers.iter().map(|(_, customer)| customer.id.0).max();
    let next = highest.map_or(Some(1), |highest| highest.checked_add(1));
    next.context("no number is free after the highest; choose one with --number")
}

pub(crate) fn set_customer(
    document: &Document,
    name: &str,
    fields: &Customer,
) -> anyhow::Result<Value> {
    known_customer(document, name)?;
    let mut item = customer_fields(fields);
    if let Some(number) = fields.number {
        item.insert("id".to_owned(), json!(number));
    }
    if item.is_empty() {
        bail!("no field of customer '{name}' is given; see siskinctl --help for the options");
    }
    Ok(json!({ "customers": { name: item } }))
}

pub(crate) fn remove_customer(document: &Document, name: &str) -> anyhow::Result<Value> {
    known_customer(document, name)?;
    Ok(json!({ "customers": { name: null } }))
}

fn known_customer(document: &Document, name: &str) -> anyhow::Result<()> {
    if !document.customers.contains(name) {
        bail!("there is no customer '{name}'; 'siskinctl show customers' prints the names");
    }
    Ok(())
}

fn customer_fields(fields: &Customer) -> Map<String, Value> {
    let mut item = Map::new();
    let numbers = [
        ("weight", fields.weight),
        ("max_in_flight", fields.max_in_flight),
        ("max_queue", fields.max_queue),
    ];
    for (name, value) in numbers {
        if let Some(value) = value {
            item.insert(name.to_owned(), json!(value));
        }
    }
    match fields.rate {
        None => {}
        Some(Rate::Unlimited) => {
            item.insert("rate_per_second".to_owned(), Value::Null);
        }
        Some(Rate::PerSecond(rate)) => {
            item.insert("rate_per_second".to_owned(), json!(rate));
        }
    }
    if !fields.key_hashes.is_empty() {
        item.insert("key_hashes".to_owned(), json!(fields.key_hashes));
    }
    item
}

/// Marks endpoints as leaving, or not. `None` if they are so already.
pub(crate) fn drain(
    document: &Document,
    names: &[String],
    leaving: bool,
) -> anyhow::Result<Option<Value>> {
    let mut items = Map::new();
    for name in names {
        let endpoint = document.endpoints.get(name).with_context(|| unknown_endpoint(name))?;
        if endpoint.leaving != leaving {
            items.insert(name.clone(), json!({ "leaving": leaving }));
        }
    }
    Ok(in_endpoints(&items))
}

/// Adds a model to the wanted models of engines, or takes it from them. `None` if they are so already.
pub(crate) fn load(
    document: &Document,
    model: &str,
    names: &[String],
    wanted: bool,
) -> anyhow::Result<Option<Value>> {
    if !document.models.contains(model) {
        bail!("there is no model '{model}'; 'siskinctl show models' prints the names");
    }
    let mut items = Map::new();
    for name in names {
        let endpoint = document.endpoints.get(name).with_context(|| unknown_endpoint(name))?;
        if endpoint.kind != Service::Engine {
            bail!("endpoint '{name}' is an application; only engines load models");
        }
        let loaded = endpoint.models.iter().any(|other| other == model);
        if loaded == wanted {
            continue;
        }
        let others = endpoint.models.iter().filter(|other| *other != model).cloned();
        let models: Vec<_> = others.chain(wanted.then(|| model.to_owned())).collect();
        items.insert(name.clone(), json!({ "models": models }));
    }
    Ok(in_endpoints(&items))
}

fn unknown_endpoint(name: &str) -> String {
    format!("there is no endpoint '{name}'; 'siskinctl endpoint list' prints the names")
}

fn in_endpoints(items: &Map<String, Value>) -> Option<Value> {
    (!items.is_empty()).then(|| json!({ "endpoints": items }))
}
