//! In-memory cache of segments: an index of keys for each segment, and the contents of recently used ones.

use {
    crate::format::{Entry, Segment, SegmentId},
    indexmap::IndexMap,
    siskin_wire::claim::Key,
};

/// Result of looking up a key in a segment.
pub(crate) enum Lookup<'a> {
    Absent,
    Entry(&'a Entry),
    /// The segment must be read from the store first.
    Unread,
}

/// Index of a segment, and its content until that is evicted. The index takes 8 bytes for each claim and is kept
/// for as long as the head references the segment, so that looking up a new key needs no reads of the store.
#[derive(Debug)]
struct Item {
    /// First 8 bytes of each key, sorted.
    prefixes: Vec<u64>,
    content: Option<Segment>,
    bytes: usize,
    last_used: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Cache {
    items: IndexMap<SegmentId, Item>,
    capacity_bytes: usize,
    content_bytes: usize,
    use_count: u64,
}

impl Cache {
    pub(crate) fn new(capacity_bytes: usize) -> Self {
        Self { capacity_bytes, ..Self::default() }
    }

    pub(crate) fn insert(&mut self, id: SegmentId, segment: Segment, bytes: usize) {
        self.remove(&id);
        let prefixes = segment.entries.iter().map(|entry| key_prefix(&entry.key)).collect();
        self.use_count += 1;
        self.content_bytes += bytes;
        let item = Item { prefixes, content: Some(segment), bytes, last_used: self.use_count };
        self.items.insert(id, item);
        self.evict_contents();
    }

    pub(crate) fn remove(&mut self, id: &SegmentId) {
        if let Some(item) = self.items.swap_remove(id)
            && item.content.is_some()
        {
            self.content_bytes -= item.bytes;
        }
    }

    /// Whether the index of a segment is in memory.
    pub(crate) fn has_index(&self, id: &SegmentId) -> bool {
        self.items.contains_key(id)
    }

    pub(crate) fn content(&self, id: &SegmentId) -> Option<&Segment> {
        self.items.get(id)?.content.as_ref()
    }

    pub(crate) fn find(&mut self, id: &SegmentId, key: &Key) -> Lookup<'_> {
        let Some(item) = self.items.get_mut(id) else { return Lookup::Unread };
        if item.prefixes.binary_search(&key_prefix(key)).is_err() {
            return Lookup::Absent;
        }
        self.use_count += 1;
        item.last_used = self.use_count;
        match &item.content {
            None => Lookup::Unread,
            Some(segment) => segment.find(key).map_or(Lookup::Absent, Lookup::Entry),
        }
    }

    /// Evicts the least recently used contents until the rest fit; the most recently used content always stays.
    fn evict_contents(&mut self) {
        while self.content_bytes > self.capacity_bytes {
            let with_content = self.items.values_mut().filter(|item| item.content.is_some());
            let Some(oldest) = with_content.min_by_key(|item| item.last_used) else { return };
            if oldest.last_used == self.use_count {
                return;
            }
            oldest.content = None;
            self.content_bytes -= oldest.bytes;
        }
    }
}

/// The first 8 bytes of the key as a big-endian number, so that prefixes sort in the same order as keys.
fn key_prefix(key: &Key) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&key.0[..8]);
    u64::from_be_bytes(bytes)
}
