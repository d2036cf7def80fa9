//! Entries of the history: one accepted patch each.

use {
    crate::{
        document::Hash,
        patch::{MAX_PATCH_BYTES, MAX_TEXT_BYTES, Patch},
    },
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::sync::Arc,
};

/// Maximum size of an entry, in bytes of JSON: a patch and the other fields. Allows for escaping every
/// character of the identifier and the author.
pub const MAX_ENTRY_BYTES: usize = MAX_PATCH_BYTES + 12 * MAX_TEXT_BYTES + 512;

/// Prefix of the keys of entries.
pub const LOG_PREFIX: &str = "config/log/";

/// Suffix of the keys of decision records.
const DECIDED_SUFFIX: &str = "/decided";

/// Fixed number of digits of a version in a key, so that keys sort by version.
const VERSION_DIGITS: usize = 20;

/// One accepted patch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The resulting version.
    pub version: u64,
    /// Identifier of the patch.
    pub patch: String,
    /// Who requested the change.
    pub author: String,
    /// When the patch was submitted, in milliseconds since the Unix epoch, by the clock of the accepting
    /// router. For information only; no decision depends on it.
    pub time_ms: u64,
    /// The JSON merge patch.
    pub changes: Value,
    /// Hash of the resulting document.
    pub hash: Hash,
}

/// The bytes are not a usable entry.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The entry is too large.
    #[error("an entry of {0} bytes exceeds the limit of {MAX_ENTRY_BYTES}; split the patch")]
    TooLarge(usize),
    /// The entry is not valid JSON of an entry.
    #[error(
        "the entry cannot be read; if a newer version of the routers wrote it, upgrade this one"
    )]
    Malformed(#[from] serde_json::Error),
    /// The entry carries the wrong version.
    #[error("the entry carries version {found} where {expected} was expected")]
    Version {
        /// The version given by the key or the message.
        expected: u64,
        /// The version in the entry.
        found: u64,
    },
}

impl Entry {
    /// Creates the entry of a patch.
    #[must_use]
    pub fn new(patch: &Patch, version: u64, time_ms: u64, hash: Hash) -> Self {
        Self {
            version,
            patch: patch.id.clone(),
            author: patch.author.clone(),
            time_ms,
            changes: patch.changes.clone(),
            hash,
        }
    }

    /// Encodes the entry as stored and sent. Every copy of an entry has the same bytes.
    ///
    /// # Errors
    ///
    /// The entry is too large.
    pub fn encode(&self) -> Result<Arc<[u8]>, Error> {
        let bytes = serde_json::to_vec(self)?;
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes.into())
    }

    /// Decodes the entry of `version`.
    ///
    /// # Errors
    ///
    /// The bytes are too many, are not an entry or are the entry of another version.
    pub fn decode(version: u64, bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_ENTRY_BYTES {
            return Err(Error::TooLarge(bytes.len()));
        }
        let entry: Self = serde_json::from_slice(bytes)?;
        if entry.version != version {
            return Err(Error::Version { expected: version, found: entry.version });
        }
        Ok(entry)
    }
}

/// The key of an entry.
///
/// ```
/// use siskin_config::entry;
/// assert_eq!(entry::key(12), "config/log/00000000000000000012");
/// assert_eq!(entry::version(&entry::key(12)), Some(12));
/// ```
#[must_use]
pub fn key(version: u64) -> String {
    format!("{LOG_PREFIX}{version:0VERSION_DIGITS$}")
}

/// The key of the decision record of an entry. It sorts between its entry and the next one, so one read
/// of the log returns both.
///
/// ```
/// use siskin_config::entry;
/// let key = entry::decided_key(12);
/// assert!(entry::key(12) < key && key < entry::key(13));
/// assert_eq!((entry::decided_version(&key), entry::version(&key)), (Some(12), None));
/// ```
#[must_use]
pub fn decided_key(version: u64) -> String {
    format!("{}{DECIDED_SUFFIX}", key(version))
}

/// The version of a decision record, by its key.
#[must_use]
pub fn decided_version(key: &str) -> Option<u64> {
    version(key.strip_suffix(DECIDED_SUFFIX)?)
}

/// The version of an entry, by its key.
#[must_use]
pub fn version(key: &str) -> Option<u64> {
    let digits = key.strip_prefix(LOG_PREFIX)?;
    (digits.len() == VERSION_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit()))
        .then(|| digits.parse().ok())
        .flatten()
}
