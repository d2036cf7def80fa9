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

/// Largest patch, in bytes of JSON. An entry must fit a value of the store and a message between
/// routers with room to spare.
pub const MAX_PATCH_BYTES: usize = 128 << 10;

/// Longest patch identifier and author, in bytes.
pub const MAX_TEXT_BYTES: usize = 128;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Chosen by the sender, unique to the change. A repeated identifier returns its first result.
    pub id: String,
    /// The version against which the patch was made.
    pub base: u64,
    /// Who asks for the change.
    pub author: String,
    /// The JSON merge patch.
    pub changes: Value,
}

impl Patch {
    /// Checks the size and the form, without a document.
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

/// Start of the hash of the changes of a patch, by which a repeated patch is known. The order of the
/// fields does not matter, since the JSON library sorts them.
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

/// Longest excerpt of a refused value in an error.
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

/// The items that a patch touched.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Touched customers.
    pub customers: Vec<Change<Customer>>,
    /// Touched pools.
    pub pools: Vec<Change<Pool>>,
    /// Touched models.
    pub models: Vec<Change<Model>>,
    /// Touched endpoints.
    pub endpoints: Vec<Change<Endpoint>>,
    /// Touched routes.
    pub routes: Vec<Change<Route>>,
    /// The settings of the fleet before, if they were touched.
    pub fleet: Option<Box<Fleet>>,
}

impl Changes {
    /// The items in which two documents differ.
    #[must_use]
    pub fn between(before: &Document, after: &Document) -> Self {
        Self {
            customers: differing(&before.customers, &after.customers),
            pools: differing(&before.pools, &after.pools),
            models: differing(&before.models, &after.models),
            endpoints: differing(&before.endpoints, &after.endpoints),
            routes: differing(&before.routes, &after.routes),
            fleet: (before.fleet != after.fleet).then(|| Box::new(before.fleet.clone())),
        }
    }

    /// How many items were touched.
    #[must_use]
    pub fn len(&self) -> usize {
        self.customers.len()
            + self.pools.len()
            + self.models.len()
            + self.endpoints.len()
            + self.routes.len()
            + usize::from(self.fleet.is_some())
    }

    /// Whether nothing was touched.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Puts the earlier items back. The order of the items may differ from before.
    pub(crate) fn take_back(&self, document: &mut Document) {
        put_back(&mut document.customers, &self.customers);
        put_back(&mut document.pools, &self.pools);
        put_back(&mut document.models, &self.models);
        put_back(&mut document.endpoints, &self.endpoints);
        put_back(&mut document.routes, &self.routes);
        if let Some(fleet) = &self.fleet {
            document.fleet = fleet.as_ref().clone();
        }
    }
}

fn put_back<T: Serialize + Clone>(table: &mut Table<T>, changes: &[Change<T>]) {
    for change in changes {
        match &change.before {
            Some(before) => table.insert(&change.name, before.as_ref().clone()),
            None => table.remove(&change.name),
        };
    }
}

/// The merge patch that leads from one document to another.
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
        let earlier = before.get(key).unwrap_or(&Value::Null);
        (key.clone(), value_difference(earlier, value))
    });
    Value::Object(removed.chain(changed).collect())
}

fn differing<T: PartialEq>(before: &Table<T>, after: &Table<T>) -> Vec<Change<T>> {
    let removed = before.iter().filter(|(name, _)| !after.contains(name)).map(|(name, item)| {
        Change { name: Arc::clone(name), before: Some(Arc::clone(item)), after: None }
    });
    let changed = after.iter().filter_map(|(name, item)| {
        let earlier = before.shared(name);
        // Documents of nearby versions share most items, so the pointers usually settle it.
        let same = earlier.is_some_and(|earlier| Arc::ptr_eq(earlier, item) || earlier == item);
        (!same).then(|| Change {
            name: Arc::clone(name),
            before: earlier.cloned(),
            after: Some(Arc::clone(item)),
        })
    });
    removed.chain(changed).collect()
}

/// Applies a merge patch and returns the touched items. Only the touched items are converted to JSON
/// and back, so the cost does not grow with the document. On an error the document is unchanged.
///
/// # Errors
///
/// A section or field that is unknown or has the wrong type. Rules between items are checked by
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
    let mut touched = Changes::default();
    for (section, value) in sections {
        apply_section(&mut next, &mut touched, section, value)?;
    }
    *document = next;
    Ok(touched)
}

fn apply_section(
    document: &mut Document,
    touched: &mut Changes,
    section: &str,
    value: &Value,
) -> Result<(), Error> {
    match section {
        "customers" => {
            touched.customers = merge(&mut document.customers, section, value, &customer_sample())?;
        }
        "pools" => touched.pools = merge(&mut document.pools, section, value, &pool_sample())?,
        "models" => touched.models = merge(&mut document.models, section, value, &model_sample())?,
        "endpoints" => {
            touched.endpoints = merge(&mut document.endpoints, section, value, &endpoint_sample())?;
        }
        "routes" => touched.routes = merge(&mut document.routes, section, value, &route_sample())?,
        "fleet" => {
            let next = merge_fleet(&document.fleet, value)?;
            touched.fleet = Some(Box::new(std::mem::replace(&mut document.fleet, next)));
        }
        _ => {
            let remedy = "use customers, pools, models, endpoints, routes or fleet";
            return Err(Error::new(Kind::Malformed, section, excerpt(value), remedy));
        }
    }
    Ok(())
}

fn object<'a>(field: &str, value: &'a Value) -> Result<&'a Map<String, Value>, Error> {
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
        return Ok(clear(table));
    }
    let mut touched = Vec::new();
    for (name, value) in object(section, value)? {
        if value.is_null() {
            let before = table.remove(name);
            touched.extend(before.map(|before| Change {
                name: name.as_str().into(),
                before: Some(before),
                after: None,
            }));
            continue;
        }
        let field = format!("{section}.{name}");
        object(&field, value)?;
        let item = merged(table.get(name), value, sample).map_err(|blame| blame.at(&field))?;
        let name: Arc<str> = name.as_str().into();
        let before = table.insert(&name, item);
        let after = table.shared(&name).cloned();
        touched.push(Change { name, before, after });
    }
    Ok(touched)
}

fn clear<T>(table: &mut Table<T>) -> Vec<Change<T>> {
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

/// A field that could not be read, relative to its item.
struct Blame {
    kind: Kind,
    field: Option<String>,
    value: String,
    reason: String,
}

impl Blame {
    fn at(self, item: &str) -> Error {
        let field = self.field.map_or_else(|| item.to_owned(), |field| format!("{item}.{field}"));
        Error::new(self.kind, field, self.value, self.reason)
    }
}

fn merged<T: Serialize + DeserializeOwned>(
    earlier: Option<&T>,
    value: &Value,
    sample: &Value,
) -> Result<T, Blame> {
    let mut item = earlier.map_or(Value::Null, json);
    json_patch::merge(&mut item, value);
    serde_json::from_value(item.clone()).map_err(|error| blame::<T>(&item, sample, &error))
}

fn json<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("items of the document serialise to JSON")
}

/// Finds the field that makes an item unreadable: each field is tried alone in a valid sample.
fn blame<T: DeserializeOwned>(item: &Value, sample: &Value, error: &serde_json::Error) -> Blame {
    let reason = format!("correct the field: {error}");
    for (name, value) in item.as_object().into_iter().flatten() {
        let mut trial = sample.clone();
        trial[name.as_str()] = value.clone();
        if let Err(error) = serde_json::from_value::<T>(trial) {
            let field = Some(name.clone());
            let reason = format!("correct the field: {error}");
            return Blame { kind: Kind::Malformed, field, value: excerpt(value), reason };
        }
    }
    Blame { kind: Kind::Missing, field: None, value: excerpt(item), reason }
}

fn merge_fleet(fleet: &Fleet, value: &Value) -> Result<Fleet, Error> {
    if value.is_null() {
        return Ok(Fleet::default());
    }
    object("fleet", value)?;
    merged(Some(fleet), value, &json!({})).map_err(|blame| blame.at("fleet"))
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
