//! Messages of the etcd v3 JSON gateway. Bytes are in base64, 64-bit numbers are strings, and fields with default values
//! are omitted.

use {
    crate::{Change, Entry, LeaseId, Revision, Scope},
    base64::{Engine, prelude::BASE64_STANDARD},
    bytes::Bytes,
    serde::Deserialize,
    serde_json::{Value, json},
};

/// `ResponseHeader`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) revision: Number,
}

/// A 64-bit number, as a string or a JSON number.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(try_from = "Value")]
pub(super) struct Number(pub(super) u64);

impl TryFrom<Value> for Number {
    type Error = String;

    fn try_from(value: Value) -> Result<Self, String> {
        let number = match &value {
            Value::String(text) => text.parse().ok(),
            value => value.as_u64(),
        };
        number.map(Self).ok_or_else(|| format!("{value} is not a number"))
    }
}

/// Bytes in base64.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(try_from = "String")]
pub(super) struct Base64(Vec<u8>);

impl TryFrom<String> for Base64 {
    type Error = base64::DecodeError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        BASE64_STANDARD.decode(text).map(Self)
    }
}

/// `KeyValue`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    key: Base64,
    mod_revision: Number,
    value: Base64,
    lease: Number,
}

impl KeyValue {
    pub(super) fn into_entry(self) -> Entry {
        Entry {
            key: self.key(),
            value: Bytes::from(self.value.0),
            revision: Revision(self.mod_revision.0),
            lease: Some(self.lease.0).filter(|lease| *lease != 0).map(LeaseId),
        }
    }

    /// The key as text. This system writes only UTF-8 keys; invalid bytes of others are replaced.
    fn key(&self) -> String {
        String::from_utf8_lossy(&self.key.0).into_owned()
    }
}

/// `RangeResponse`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Range {
    pub(super) header: Header,
    pub(super) kvs: Vec<KeyValue>,
    pub(super) more: bool,
}

/// `TxnResponse`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Txn {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<Operation>,
}

/// `ResponseOp`; only the content of range responses is used.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Operation {
    pub(super) response_range: Range,
}

/// `LeaseGrantResponse` and `LeaseKeepAliveResponse`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Lease {
    pub(super) header: Header,
    #[serde(rename = "ID")]
    pub(super) id: Number,
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}

/// A message of a streaming call.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Streamed<T> {
    pub(super) result: T,
}

/// `WatchResponse`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Watch {
    pub(super) header: Header,
    pub(super) canceled: bool,
    pub(super) compact_revision: Number,
    pub(super) events: Vec<Event>,
}

/// `Event`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Event {
    r#type: EventKind,
    kv: KeyValue,
}

/// `Event.EventType`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl Event {
    pub(super) fn into_change(self) -> Change {
        let key = self.kv.key();
        let revision = Revision(self.kv.mod_revision.0);
        let entry = match self.r#type {
            EventKind::Put => Some(self.kv.into_entry()),
            EventKind::Delete => None,
        };
        Change { key, entry, revision }
    }
}

/// Error response of the gateway.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Failure {
    pub(super) message: String,
}

/// `RangeRequest` for one key.
pub(super) fn get(key: &str) -> Value {
    json!({"key": encode(key.as_bytes())})
}

/// `RangeRequest` for a prefix.
pub(super) fn range(range: crate::Range<'_>) -> Value {
    let start =
        range.after.map(successor).filter(|start| start.as_slice() > range.prefix.as_bytes());
    let start = start.unwrap_or_else(|| range.prefix.as_bytes().to_vec());
    json!({
        "key": encode(range_start(&start)),
        "range_end": encode(&prefix_end(range.prefix)),
        "limit": range.limit.to_string(),
    })
}

/// `RangeRequest` or `DeleteRangeRequest` for the keys between two bounds.
pub(super) fn span(span: crate::Span<'_>) -> Value {
    json!({
        "key": encode(span.start.as_bytes()),
        "range_end": encode(span.end.as_bytes()),
        "limit": span.limit.to_string(),
    })
}

/// `TxnRequest` that writes `operation` if `key` was last changed at `expected`.
pub(super) fn conditional_txn(key: &str, expected: Revision, operation: &Value) -> Value {
    let encoded = encode(key.as_bytes());
    json!({
        "compare": [{
            "target": "MOD",
            "result": "EQUAL",
            "key": encoded,
            "mod_revision": expected.to_string(),
        }],
        "success": [operation],
        "failure": [{"request_range": {"key": encoded}}],
    })
}

/// `RequestOp` that puts a value.
pub(super) fn put(key: &str, value: &[u8], lease: Option<LeaseId>) -> Value {
    let lease = lease.map_or(0, |lease| lease.0).to_string();
    json!({"request_put": {
        "key": encode(key.as_bytes()),
        "value": encode(value),
        "lease": lease,
    }})
}

/// `RequestOp` that deletes a key.
pub(super) fn delete(key: &str) -> Value {
    json!({"request_delete_range": {"key": encode(key.as_bytes())}})
}

/// `WatchRequest`.
pub(super) fn watch(scope: Scope<'_>, from: Revision) -> Value {
    let (key, range_end) = match scope {
        Scope::Key(key) => (key, Vec::new()),
        Scope::Prefix(prefix) => (prefix, prefix_end(prefix)),
    };
    json!({"create_request": {
        "key": encode(range_start(key.as_bytes())),
        "range_end": encode(&range_end),
        "start_revision": from.to_string(),
    }})
}

fn encode(bytes: &[u8]) -> String {
    BASE64_STANDARD.encode(bytes)
}

/// The smallest key after `key`.
fn successor(key: &str) -> Vec<u8> {
    let mut next = key.as_bytes().to_vec();
    next.push(0);
    next
}

/// The encoded start of a range. A key cannot be empty, so a single zero byte denotes the start of the key space.
const fn range_start(key: &[u8]) -> &[u8] {
    if key.is_empty() { &[0] } else { key }
}

/// The end of the range of keys with `prefix`; a single zero byte denotes the end of the key space.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
