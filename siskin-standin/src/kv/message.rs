//! Messages of the etcd v3 JSON gateway: bytes in base64, 64-bit numbers as strings, default values
//! left out of answers. Requests may use either spelling of a field name and plain numbers.

use {
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
};

/// `RangeRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Range {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64", rename = "range_end", alias = "rangeEnd")]
    pub(crate) end: Vec<u8>,
    #[serde(with = "number")]
    pub(crate) limit: u64,
    #[serde(alias = "keysOnly")]
    pub(crate) keys_only: bool,
    #[serde(alias = "countOnly")]
    pub(crate) count_only: bool,
}

/// `PutRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Put {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64")]
    pub(crate) value: Vec<u8>,
    #[serde(with = "number")]
    pub(crate) lease: u64,
    #[serde(alias = "prevKv")]
    pub(crate) prev_kv: bool,
}

/// `DeleteRangeRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Delete {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64", rename = "range_end", alias = "rangeEnd")]
    pub(crate) end: Vec<u8>,
    #[serde(alias = "prevKv")]
    pub(crate) prev_kv: bool,
}

/// `TxnRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Txn {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

/// `RequestOp`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Delete),
}

/// `Compare`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Compare {
    pub(crate) result: Relation,
    pub(crate) target: Target,
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "number")]
    pub(crate) version: u64,
    #[serde(with = "number", alias = "createRevision")]
    pub(crate) create_revision: u64,
    #[serde(with = "number", alias = "modRevision")]
    pub(crate) mod_revision: u64,
    #[serde(with = "number")]
    pub(crate) lease: u64,
    #[serde(with = "base64")]
    pub(crate) value: Vec<u8>,
}

/// `Compare.CompareResult`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

/// `Compare.CompareTarget`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

/// `LeaseGrantRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Grant {
    #[serde(rename = "TTL", with = "number")]
    pub(crate) ttl: u64,
    #[serde(rename = "ID", with = "number")]
    pub(crate) id: u64,
}

/// `LeaseRevokeRequest` and `LeaseKeepAliveRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Lease {
    #[serde(rename = "ID", with = "number")]
    pub(crate) id: u64,
}

/// `WatchRequest`; only creation can be sent through the gateway.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Watch {
    #[serde(alias = "createRequest")]
    pub(crate) create_request: WatchCreate,
}

/// `WatchCreateRequest`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchCreate {
    #[serde(with = "base64")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "base64", rename = "range_end", alias = "rangeEnd")]
    pub(crate) end: Vec<u8>,
    #[serde(with = "number", alias = "startRevision")]
    pub(crate) start_revision: u64,
}

/// `KeyValue`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct KeyValue {
    #[serde(with = "base64", skip_serializing_if = "Vec::is_empty")]
    pub(crate) key: Vec<u8>,
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub(crate) create_revision: u64,
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub(crate) mod_revision: u64,
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub(crate) version: u64,
    #[serde(serialize_with = "base64::serialize", skip_serializing_if = "bytes::Bytes::is_empty")]
    pub(crate) value: bytes::Bytes,
    #[serde(with = "number", skip_serializing_if = "is_zero")]
    pub(crate) lease: u64,
}

impl Txn {
    /// Whether it may write.
    pub(crate) fn writes(&self) -> bool {
        let mut all = self.success.iter().chain(&self.failure);
        all.any(|operation| !matches!(operation, Operation::Range(_)))
    }

    /// The largest value it may store, in bytes.
    pub(crate) fn largest(&self) -> usize {
        let size = |operation: &Operation| match operation {
            Operation::Put(put) => put.value.len(),
            Operation::Range(_) | Operation::Delete(_) => 0,
        };
        self.success.iter().chain(&self.failure).map(size).max().unwrap_or_default()
    }
}

/// `ResponseHeader`.
pub(crate) fn header(revision: u64) -> Value {
    json!({
        "cluster_id": "14841639068965178418",
        "member_id": "10276657743932975437",
        "revision": revision.to_string(),
        "raft_term": "2",
    })
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that `skip_serializing_if` asks for.
fn is_zero(number: &u64) -> bool {
    *number == 0
}

mod base64 {
    use {
        base64::{Engine, prelude::BASE64_STANDARD},
        serde::{Deserialize, Deserializer, Serializer, de::Error},
    };

    pub(super) fn serialize<S: Serializer>(
        bytes: &impl AsRef<[u8]>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text).map_err(D::Error::custom)
    }
}

mod number {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(u64),
    }

    #[allow(clippy::trivially_copy_pass_by_ref)] // The signature that `with` asks for.
    pub(super) fn serialize<S: Serializer>(number: &u64, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(number)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
        match Number::deserialize(from)? {
            Number::Plain(number) => Ok(number),
            Number::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}
