//! Format of the values in the store: one head for each bucket, and immutable segments.

use {
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    siskin_types::id::Node,
    siskin_wire::claim::{BodyHash, Key, Record, Token},
    std::fmt,
};

/// Version of both formats, the first byte of each value.
pub const VERSION: u8 = 1;

/// Largest response body that is stored in a record, in bytes.
pub const BODY_LIMIT_BYTES: usize = 1_024;

/// Name of a value in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Name {
    /// The head of a bucket.
    Head(u8),
    /// A segment of a bucket.
    Segment(u8, SegmentId),
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Head(bucket) => write!(f, "claims/{bucket}"),
            Self::Segment(bucket, id) => {
                write!(f, "claims/{bucket}/{:x}-{:x}-{:x}", id.node.0, id.incarnation, id.sequence)
            }
        }
    }
}

/// Identifies a segment. An identifier is never reused, so the content of a segment never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SegmentId {
    /// Router whose writer created the segment.
    pub node: Node,
    /// Incarnation of that router.
    pub incarnation: u64,
    /// Sequence number of the segment within that incarnation.
    pub sequence: u32,
}

/// Reference to a segment in a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// The segment.
    pub id: SegmentId,
    /// Time of its oldest claim, in Unix seconds.
    pub oldest_s: u32,
    /// Time of its newest claim, in Unix seconds.
    pub newest_s: u32,
    /// Size of its encoded value.
    pub bytes: u32,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The claim is granted: the attempt may run the call.
    Running,
    /// The call ended with this result.
    Ended(Record),
    /// The call did not run. The entry is kept so that a delayed retry of the attempt's claim is not granted.
    Released,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The claimed key.
    pub key: Key,
    /// Hash of the call's method, path and body.
    pub body_hash: BodyHash,
    /// The attempt that holds the claim.
    pub token: Token,
    /// Time of the claim, in Unix seconds.
    pub claimed_at_s: u32,
    /// State of the claim.
    pub state: State,
}

impl Entry {
    /// Size of the encoded entry.
    ///
    /// # Panics
    ///
    /// Never: encoding into memory cannot fail for these types.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        postcard::to_stdvec(self).expect("entries can be encoded").len()
    }
}

/// Head of a bucket. The newest entry of a key is valid: the one in the head, or else the one in the last
/// segment that has the key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Segments, oldest first.
    pub segments: Vec<SegmentRef>,
    /// The newest claims, one for each key.
    pub entries: Vec<Entry>,
    /// Identifier that the last writer of the head has reserved for its next segment. The next writer of the head
    /// removes a segment of this name, in case the earlier one crashed before it added the segment to the head.
    pub reserved: Option<SegmentId>,
    /// Segments that are no longer referenced but may still be in the store.
    pub garbage: Vec<SegmentId>,
}

/// Content of a segment: entries sorted by key, one for each key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The claims.
    pub entries: Vec<Entry>,
}

impl Segment {
    /// Makes a segment; later entries supersede earlier ones of the same key.
    #[must_use]
    pub fn new(entries: impl IntoIterator<Item = Entry>) -> Self {
        let newest: std::collections::BTreeMap<_, _> =
            entries.into_iter().map(|entry| (entry.key, entry)).collect();
        Self { entries: newest.into_values().collect() }
    }

    /// The entry of a key.
    #[must_use]
    pub fn find(&self, key: &Key) -> Option<&Entry> {
        let index = self.entries.binary_search_by_key(key, |entry| entry.key).ok()?;
        self.entries.get(index)
    }
}

/// A stored value cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The value is empty or has another version.
    #[error("claim value has version {0:?}, expected {VERSION}; upgrade this router")]
    Version(Option<u8>),
    /// The value is damaged.
    #[error("claim value is damaged; remove it to give up its claims")]
    Damaged(#[from] postcard::Error),
}

/// Encodes a head or segment.
///
/// ```
/// use siskin_claim::format::{self, Head};
/// let value = format::encode(&Head::default());
/// assert_eq!(format::decode::<Head>(&value).unwrap(), Head::default());
/// assert!(format::decode::<Head>(&[9, 9]).is_err());
/// ```
///
/// # Panics
///
/// Never: encoding into memory cannot fail for these types.
#[must_use]
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(value, vec![VERSION]).expect("claim values can be encoded")
}

/// Decodes a head or segment.
///
/// # Errors
///
/// The value has another version or is damaged.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Result<T, Error> {
    match value.split_first() {
        Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
        other => Err(Error::Version(other.map(|(version, _)| *version))),
    }
}
