//! Patches: JSON merge patches (RFC 7396) against a version.

use {
    crate::{
        document::{Customer, Document, Endpoint, Error, Fleet, Hash, Kind, Model, Pool, Route},
        table::Table,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Map, Value, json},
    std::sync::Arc,
};

/// Maximum size of a patch, in bytes of JSON. An entry must fit with a margin into a value of the store
/// and into a message between routers.
pub const MAX_PATCH_BYTES: usize = 128 << 10;

/// Maximum length of patch identifiers and authors, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// A change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Identifier chosen by the sender, unique to the change. Sending it again returns the first result.
    pub id: String,
    /// The version against which the patch was made.
    pub base: u64,
    /// Who requests the change.
    pub author: String,
    /// The JSON merge patch.
    pub changes: Value,
}

impl Patch {
    /// Checks the size and the syntax, independently of a document.
    ///
    /// # Errors
    ///
    /// The field that is too long or malformed.
    pub fn check(&self) -> Result<(), Error> {
        check_text("id", &self.id)?;
        check_text("author", &self.author)?;
        if !self.changes.is_object() {
            let remedy = "use a JSON object with the sections to change";
            return Err(Error::new(Kind::Malformed, "changes", excerpt(&self.changes), remedy));
        }
        let bytes = serde_json::to_vec(&self.changes).map_or(usize::MAX, |text| text.len());
        if bytes > MAX_PATCH_BYTES {
            let remedy =
                format!("split the change into patches of at most {MAX_PATCH_BYTES} bytes");
            return Err(Error::new(
                Kind::OutOfRange,
                "changes",
                format_args!("{bytes} bytes"),
                remedy,
            ));
        }
        Ok(())
    }
}

/// Truncated hash of the changes of a patch, by which a repeated patch is recognised. It does not depend
/// on the order of the fields, since the JSON library sorts them.
pub(crate) fn fingerprint(changes: &Value) -> u64 {
    Hash::of(changes.to_string().as_bytes()).short()
}

fn check_text(field: &str, text: &str) -> Result<(), Error> {
    if !text.is_empty() && text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control) {
        return Ok(());
    }
    let remedy = format!("use 1 to {MAX_TEXT_BYTES} bytes without control characters");
    Err(Error::new(Kind::Malformed, field, text.escape_debug(), remedy))
}

/// Maximum length of the excerpt of a refused value in an error.
const MAX_EXCERPT_CHARS: usize = 120;

fn excerpt(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    if text.chars().count() <= MAX_EXCERPT_CHARS {
        return text;
    }
    text.chars().take(MAX_EXCERPT_CHARS).chain("...".chars()).collect()
}

/// One item before and after a patch.
#[derive(Clone, Debug)]
pub struct Change<T> {
    /// Name of the item.
    pub name: Arc<str>,
    /// The item before, if it existed.
    pub before: Option<Arc<T>>,
    /// The item after, if it exists.
    pub after: Option<Arc<T>>,
}

/// The items that a patch changed.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Changed customers.
    pub customers: Vec<Change<Customer>>,
    /// Changed pools.
    pub pools: Vec<Change<Pool>>,
    /// Changed models.
    pub models: Vec<Change<Model>>,
    /// Changed endpoints.
    pub endpoints: Vec<Change<Endpoint>>,
    /// Changed routes.
    pub routes: Vec<Change<Route>>,
    /// The previous settings of the fleet, if they were changed.
    pub fleet: Option<Box<Fleet>>,
}

impl Changes {
    /// The items in which two documents differ.
    #[must_use]
    pub fn between(before: &Document, after: &Document) -> Self {
        Self {
            customers: changed_between(&before.customers, &after.customers),
            pools: changed_between(&before.pools, &after.pools),
            models: changed_between(&before.models, &after.models),
            endpoints: changed_between(&before.endpoints, &after.endpoints),
            routes: changed_between(&before.routes, &after.routes),
            fleet: (before.fleet != after.fleet).then(|| Box::new(before.fleet.clone())),
        }
    }

    /// Number of changed items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
            + self.pools.len()
            + self.models.len()
            + self.endpoints.len()
            + self.routes.len()
            + usize::from(self.fleet.is_some())
    }

    /// Whether nothing was changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Restores the previous items. Their order may differ from the original one.
    pub(crate) fn revert(&self, document: &mut Document) {
        restore_items(&mut document.customers, &self.customers);
        restore_items(&mut document.pools, &self.pools);
        restore_items(&mut document.models, &self.models);
        restore_items(&mut document.endpoints, &self.endpoints);
        restore_items(&mut document.routes, &self.routes);
        if let Some(fleet) = &self.fleet {
            document.fleet = fleet.as_ref().clone();
        }
    }
}

fn restore_items<T: Serialize + Clone>(table: &mut Table<T>, changes: &[Change<T>]) {
    for change in changes {
        match &change.before {
            Some(before) => table.insert(&change.name, before.as_ref().clone()),
            None => table.remove(&change.name),
        };
    }
}

/// The JSON merge patch from one document to another.
///
/// ```
/// use siskin_config::{document::Document, patch};
/// let before = Document::default();
/// let mut after = before.clone();
/// after.fleet.max_head_bytes = 4_096;
/// let changes = patch::difference(&before, &after);
/// assert_eq!(changes, serde_json::json!({ "fleet": { "max_head_bytes": 4096 } }));
/// ```
#[must_use]
pub fn difference(before: &Document, after: &Document) -> Value {
    let changes = Changes::between(before, after);
    let sections = [
        ("customers", section_difference(&changes.customers)),
        ("pools", section_difference(&changes.pools)),
        ("models", section_difference(&changes.models)),
        ("endpoints", section_difference(&changes.endpoints)),
        ("routes", section_difference(&changes.routes)),
        ("fleet", value_difference(&json(&before.fleet), &json(&after.fleet))),
    ];
    let sections = sections.into_iter().filter(|(_, changes)| !is_empty_object(changes));
    Value::Object(sections.map(|(name, changes)| (name.to_owned(), changes)).collect())
}

fn is_empty_object(value: &Value) -> bool {
    value.as_object().is_some_and(Map::is_empty)
}

fn section_difference<T: Serialize>(changes: &[Change<T>]) -> Value {
    let item = |item: &Option<Arc<T>>| item.as_deref().map_or(Value::Null, json);
    let differing = changes.iter().map(|change| {
        let difference = value_difference(&item(&change.before), &item(&change.after));
        (change.name.to_string(), difference)
    });
    Value::Object(differing.collect())
}

fn value_difference(before: &Value, after: &Value) -> Value {
    let (Value::Object(before), Value::Object(after)) = (before, after) else {
        return after.clone();
    };
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    let removed = removed.map(|key| (key.clone(), Value::Null));
    let changed = after.iter().filter(|(key, value)| before.get(*key) != Some(value));
    let changed = changed.map(|(key, value)| {
        let previous = before.get(key).unwrap_or(&Value::Null);
        (key.clone(), value_difference(previous, value))
    });
    Value::Object(removed.chain(changed).collect())
}

fn changed_between<T: PartialEq>(before: &Table<T>, after: &Table<T>) -> Vec<Change<T>> {
    let removed = before.iter().filter(|(name, _)| !after.contains(name)).map(|(name, item)| {
        Change { name: Arc::clone(name), before: Some(Arc::clone(item)), after: None }
    });
    let changed = after.iter().filter_map(|(name, item)| {
        let previous = before.shared(name);
        // Documents of nearby versions share most items, so comparing pointers usually suffices.
        let same = previous.is_some_and(|previous| Arc::ptr_eq(previous, item) || previous == item);
        (!same).then(|| Change {
            name: Arc::clone(name),
            before: previous.cloned(),
            after: Some(Arc::clone(item)),
        })
    });
    removed.chain(changed).collect()
}

/// Applies a merge patch and returns the changed items. Only the changed items are converted to JSON
/// and back, so the cost does not grow with the document. On an error the document is unchanged.
///
/// # Errors
///
/// A section or field is unknown or has the wrong type. Rules that involve several items are checked by
/// [`crate::document::validate`].
///
/// ```
/// use siskin_config::{document::Document, patch};
/// let mut document = Document::default();
/// let changes = serde_json::json!({ "fleet": { "retry_budget_percent": 5 } });
/// patch::apply(&mut document, &changes).unwrap();
/// assert_eq!(document.fleet.retry_budget_percent, 5);
///
/// let wrong = serde_json::json!({ "fleet": { "retry_budget_percent": "five" } });
/// let error = patch::apply(&mut document, &wrong).unwrap_err();
/// assert_eq!(error.field, "fleet.retry_budget_percent");
/// ```
pub fn apply(document: &mut Document, changes: &Value) -> Result<Changes, Error> {
    let Value::Object(sections) = changes else {
        let remedy = "use a JSON object with the sections to change";
        return Err(Error::new(Kind::Malformed, "changes", excerpt(changes), remedy));
    };
    let mut next = document.clone();
    let mut changed_items = Changes::default();
    for (section, value) in sections {
        apply_section(&mut next, &mut changed_items, section, value)?;
    }
    *document = next;
    Ok(changed_items)
}

fn apply_section(
    document: &mut Document,
    changed: &mut Changes,
    section: &str,
    value: &Value,
) -> Result<(), Error> {
    match section {
        "customers" => {
            changed.customers = merge(&mut document.customers, section, value, &customer_sample())?;
        }
        "pools" => changed.pools = merge(&mut document.pools, section, value, &pool_sample())?,
        "models" => changed.models = merge(&mut document.models, section, value, &model_sample())?,
        "endpoints" => {
            changed.endpoints = merge(&mut document.endpoints, section, value, &endpoint_sample())?;
        }
        "routes" => changed.routes = merge(&mut document.routes, section, value, &route_sample())?,
        "fleet" => {
            let next = merge_fleet(&document.fleet, value)?;
            changed.fleet = Some(Box::new(std::mem::replace(&mut document.fleet, next)));
        }
        _ => {
            let remedy = "use customers, pools, models, endpoints, routes or fleet";
            return Err(Error::new(Kind::Malformed, section, excerpt(value), remedy));
        }
    }
    Ok(())
}

fn require_object<'a>(field: &str, value: &'a Value) -> Result<&'a Map<String, Value>, Error> {
    value.as_object().ok_or_else(|| {
        let remedy = "use a JSON object, or null to remove it";
        Error::new(Kind::Malformed, field, excerpt(value), remedy)
    })
}

fn merge<T: Serialize + DeserializeOwned>(
    table: &mut Table<T>,
    section: &str,
    value: &Value,
    sample: &Value,
) -> Result<Vec<Change<T>>, Error> {
    if value.is_null() {
        return Ok(clear_table(table));
    }
    let mut changed_items = Vec::new();
    for (name, value) in require_object(section, value)? {
        if value.is_null() {
            let before = table.remove(name);
            changed_items.extend(before.map(|before| Change {
                name: name.as_str().into(),
                before: Some(before),
                after: None,
            }));
            continue;
        }
        let field = format!("{section}.{name}");
        require_object(&field, value)?;
        let item = merge_item(table.get(name), value, sample)
            .map_err(|failure| failure.into_error(&field))?;
        let name: Arc<str> = name.as_str().into();
        let before = table.insert(&name, item);
        let after = table.shared(&name).cloned();
        changed_items.push(Change { name, before, after });
    }
    Ok(changed_items)
}

fn clear_table<T>(table: &mut Table<T>) -> Vec<Change<T>> {
    let removed = std::mem::take(table);
    removed
        .iter()
        .map(|(name, item)| Change {
            name: Arc::clone(name),
            before: Some(Arc::clone(item)),
            after: None,
        })
        .collect()
}

/// A deserialisation error, with its field relative to the item.
struct Failure {
    kind: Kind,
    field: Option<String>,
    value: String,
    reason: String,
}

impl Failure {
    fn into_error(self, item: &str) -> Error {
        let field = self.field.map_or_else(|| item.to_owned(), |field| format!("{item}.{field}"));
        Error::new(self.kind, field, self.value, self.reason)
    }
}

fn merge_item<T: Serialize + DeserializeOwned>(
    previous: Option<&T>,
    value: &Value,
    sample: &Value,
) -> Result<T, Failure> {
    let mut item = previous.map_or(Value::Null, json);
    json_patch::merge(&mut item, value);
    serde_json::from_value(item.clone()).map_err(|error| locate_failure::<T>(&item, sample, &error))
}

fn json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("items of the document serialise to JSON")
}

/// Finds the field that cannot be deserialised by trying each one alone in a valid sample item.
fn locate_failure<T: DeserializeOwned>(
    item: &Value,
    sample: &Value,
    error: &serde_json::Error,
) -> Failure {
    let reason = format!("correct the field: {error}");
    for (name, value) in item.as_object().into_iter().flatten() {
        let mut trial = sample.clone();
        trial[name.as_str()] = value.clone();
        if let Err(error) = serde_json::from_value::<T>(trial) {
            let field = Some(name.clone());
            let reason = format!("correct the field: {error}");
            return Failure { kind: Kind::Malformed, field, value: excerpt(value), reason };
        }
    }
    Failure { kind: Kind::Missing, field: None, value: excerpt(item), reason }
}

fn merge_fleet(fleet: &Fleet, value: &Value) -> Result<Fleet, Error> {
    if value.is_null() {
        return Ok(Fleet::default());
    }
    require_object("fleet", value)?;
    merge_item(Some(fleet), value, &json!({})).map_err(|failure| failure.into_error("fleet"))
}

fn customer_sample() -> Value {
    json!({ "id": 1, "max_in_flight": 1, "max_queue": 1 })
}

fn pool_sample() -> Value {
    json!({ "id": 1, "unit": "tokens", "max_request": 1 })
}

fn model_sample() -> Value {
    json!({ "id": 1, "pool": "p" })
}

fn endpoint_sample() -> Value {
    json!({
        "id": 1,
        "kind": "engine",
        "pool": "p",
        "address": "127.0.0.1:1",
        "data_centre": "d",
        "slots": 1
    })
}

fn route_sample() -> Value {
    json!({ "pool": "p" })
}
