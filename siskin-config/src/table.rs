//! Ordered map of named items that is cheap to copy and maintains a digest of its content.

use {
    crate::document::hash_json,
    indexmap::IndexMap,
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{Error as _, MapAccess, Visitor},
    },
    std::{fmt, marker::PhantomData, sync::Arc},
};

/// Number of 64-bit lanes in a digest.
const LANES: usize = 4;

/// Digest of a set of named items that does not depend on their order.
///
/// It is the lane-wise sum of the blake3 hashes of the items, so one changed item costs two hashes
/// regardless of the size of the set. It detects divergence caused by faults and does not resist
/// deliberate collisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest([u64; LANES]);

impl Digest {
    fn of<T: Serialize>(name: &str, item: &T) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
        hash_json(&mut hasher, item);
        let bytes = *hasher.finalize().as_bytes();
        let mut lanes = [0; LANES];
        for (lane, chunk) in lanes.iter_mut().zip(bytes.chunks_exact(8)) {
            *lane = chunk.iter().rev().fold(0, |value, byte| value << 8 | u64::from(*byte));
        }
        Self(lanes)
    }

    fn add(&mut self, other: Self) {
        for (lane, other) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_add(other);
        }
    }

    fn subtract(&mut self, other: Self) {
        for (lane, other) in self.0.iter_mut().zip(other.0) {
            *lane = lane.wrapping_sub(other);
        }
    }

    pub(crate) fn update(self, hasher: &mut blake3::Hasher) {
        for lane in self.0 {
            hasher.update(&lane.to_le_bytes());
        }
    }
}

/// Items by name, in insertion order. Copies share the items.
///
/// ```
/// use siskin_config::table::Table;
/// let mut table = Table::default();
/// table.insert(&"a".into(), 1_u32);
/// assert_eq!(table.get("a"), Some(&1));
/// ```
#[derive(Clone, Debug)]
pub struct Table<T> {
    items: Arc<IndexMap<Arc<str>, Arc<T>>>,
    digest: Digest,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self { items: Arc::default(), digest: Digest::default() }
    }
}

impl<T: PartialEq> PartialEq for Table<T> {
    fn eq(&self, other: &Self) -> bool {
        self.digest == other.digest && self.items == other.items
    }
}

impl<T> Table<T> {
    /// The item of this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&T> {
        self.items.get(name).map(AsRef::as_ref)
    }

    /// The item of this name as a shared reference.
    #[must_use]
    pub fn shared(&self, name: &str) -> Option<&Arc<T>> {
        self.items.get(name)
    }

    /// Whether there is an item of this name.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.items.contains_key(name)
    }

    /// Number of items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Names and items in insertion order.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&Arc<str>, &Arc<T>)> {
        self.items.iter()
    }

    pub(crate) const fn digest(&self) -> Digest {
        self.digest
    }
}

impl<T: Serialize> Table<T> {
    /// Inserts or replaces an item and returns the previous one.
    pub fn insert(&mut self, name: &Arc<str>, item: T) -> Option<Arc<T>> {
        self.digest.add(Digest::of(name, &item));
        let previous = Arc::make_mut(&mut self.items).insert(Arc::clone(name), Arc::new(item));
        if let Some(previous) = &previous {
            self.digest.subtract(Digest::of(name, previous.as_ref()));
        }
        previous
    }

    /// Removes an item and returns it.
    pub fn remove(&mut self, name: &str) -> Option<Arc<T>> {
        let previous = Arc::make_mut(&mut self.items).shift_remove(name)?;
        self.digest.subtract(Digest::of(name, previous.as_ref()));
        Some(previous)
    }
}

impl<T: Serialize> Serialize for Table<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.items.iter().map(|(name, item)| (name.as_ref(), item.as_ref())))
    }
}

struct Reader<T>(PhantomData<T>);

impl<'de, T: Serialize + Deserialize<'de>> Visitor<'de> for Reader<T> {
    type Value = Table<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object of named items")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut table = Table::default();
        while let Some((name, item)) = map.next_entry::<String, T>()? {
            if table.contains(&name) {
                return Err(A::Error::custom(format_args!("the name '{name}' appears twice")));
            }
            table.insert(&name.into(), item);
        }
        Ok(table)
    }
}

impl<'de, T: Serialize + Deserialize<'de>> Deserialize<'de> for Table<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(Reader(PhantomData))
    }
}
