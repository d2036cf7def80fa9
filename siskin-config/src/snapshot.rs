//! Snapshots: the document of one version, with the state that is needed to apply later entries.

use {
    crate::document::{Document, Hash},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Key of the head of the snapshot in the store.
pub const HEAD_KEY: &str = "config/base";

/// Prefix of the keys of shards, and the start of their key range.
const SHARD_PREFIX: &str = "config/base/";

/// Maximum size of a shard, in bytes. The store takes values of up to 1 MB.
pub const MAX_SHARD_BYTES: usize = 512 << 10;

/// Maximum number of shards of a snapshot, so that a corrupt head cannot exhaust memory.
const MAX_SHARDS: u32 = 64;

/// The document of one version.
///
/// ```
/// use siskin_config::{
///     document::Document,
///     snapshot::{Head, MAX_SHARD_BYTES, Snapshot},
/// };
/// let document = Document::default();
/// let snapshot = Snapshot { version: 7, recent: Vec::new(), document };
/// let bytes = snapshot.encode().unwrap();
/// let head = Head::new(7, snapshot.document.hash(), &bytes);
/// assert_eq!(bytes.chunks(MAX_SHARD_BYTES).len(), head.shards as usize);
/// assert_eq!(head.decode_snapshot(&bytes).unwrap(), snapshot);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version.
    pub version: u64,
    /// The latest accepted patches, oldest first.
    pub recent: Vec<Recent>,
    /// The document.
    pub document: Document,
}

/// An accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recent {
    /// Identifier of the patch.
    pub patch: String,
    /// The resulting version.
    pub version: u64,
    /// Truncated hash of its changes. Absent in snapshots written by earlier program versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<u64>,
}

/// Head of a snapshot in the store, which describes the shards. It is written after them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The version.
    pub version: u64,
    /// Hash of the document.
    pub hash: Hash,
    /// Hash of the bytes of all shards together. It is part of their keys, so shards of different
    /// writers are never mixed.
    pub content: Hash,
    /// Number of shards.
    pub shards: u32,
}

/// The bytes are not a usable snapshot.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not valid JSON of a snapshot or a head.
    #[error(
        "the snapshot cannot be read; if a newer version of the routers wrote it, upgrade this one"
    )]
    Malformed(#[from] serde_json::Error),
    /// The snapshot has too many shards.
    #[error(
        "a snapshot of {0} shards exceeds the limit of {MAX_SHARDS}; make the document smaller"
    )]
    TooLarge(u32),
    /// The shards do not match the head.
    #[error("the content of the snapshot does not match its head; load it from another place")]
    Mismatch,
}

impl Snapshot {
    /// Encodes the snapshot as stored and sent.
    ///
    /// # Errors
    ///
    /// The document cannot be expressed in JSON, which does not happen for a valid one.
    pub fn encode(&self) -> Result<Arc<[u8]>, Error> {
        Ok(serde_json::to_vec(self)?.into())
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

impl Head {
    /// Creates the head of an encoded snapshot.
    #[must_use]
    pub fn new(version: u64, hash: Hash, bytes: &[u8]) -> Self {
        let shards = u32::try_from(bytes.len().div_ceil(MAX_SHARD_BYTES)).unwrap_or(u32::MAX);
        Self { version, hash, content: Hash::of(bytes), shards }
    }

    /// Encodes the head as stored.
    ///
    /// # Errors
    ///
    /// Too many shards.
    pub fn encode(&self) -> Result<Arc<[u8]>, Error> {
        self.check()?;
        Ok(serde_json::to_vec(self)?.into())
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// The bytes are not a head, or the head has too many shards.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let head: Self = serde_json::from_slice(bytes)?;
        head.check()?;
        Ok(head)
    }

    fn check(&self) -> Result<(), Error> {
        if self.shards <= MAX_SHARDS { Ok(()) } else { Err(Error::TooLarge(self.shards)) }
    }

    /// The key of a shard.
    #[must_use]
    pub fn shard_key(&self, shard: u32) -> String {
        let Self { version, content, .. } = self;
        format!("{SHARD_PREFIX}{version:020}-{:016x}/{shard:04}", content.short())
    }

    /// The range of the keys of all shards of earlier versions.
    #[must_use]
    pub fn earlier_shards(&self) -> (String, String) {
        (SHARD_PREFIX.to_owned(), format!("{SHARD_PREFIX}{:020}", self.version))
    }

    /// Verifies and decodes the snapshot from its concatenated shards.
    ///
    /// # Errors
    ///
    /// The shards are corrupt or belong to another head.
    pub fn decode_snapshot(&self, bytes: &[u8]) -> Result<Snapshot, Error> {
        if Hash::of(bytes) != self.content {
            return Err(Error::Mismatch);
        }
        let snapshot = Snapshot::decode(bytes)?;
        if snapshot.version != self.version || snapshot.document.hash() != self.hash {
            return Err(Error::Mismatch);
        }
        Ok(snapshot)
    }
}
