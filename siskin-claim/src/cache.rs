//! Segments that a writer remembers.

use {
    crate::format::{Entry, Segment, SegmentId},
    indexmap::IndexMap,
    siskin_wire::claim::Key,
};

/// What is known about a key in a segment.
pub(crate) enum Found<'a> {
    Absent,
    Entry(&'a Entry),
    /// The segment has to be read first.
    Unread,
}

/// Index of a segment, and its content while there is room for it. The index takes 8 bytes for each claim
/// and stays for as long as the head names the segment, so that a new key needs no reads.
#[derive(Debug)]
struct Known {
    /// Sorted.
    prefixes: Vec<u64>,
    content: Option<Segment>,
    bytes: usize,
    used: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Cache {
    known: IndexMap<SegmentId, Known>,
    limit_bytes: usize,
    held_bytes: usize,
    uses: u64,
}

impl Cache {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self { limit_bytes, ..Self::default() }
    }

    pub(crate) fn insert(&mut self, id: SegmentId, segment: Segment, bytes: usize) {
        self.remove(&id);
        let prefixes = segment.entries.iter().map(|entry| prefix(&entry.key)).collect();
        self.uses += 1;
        self.held_bytes += bytes;
        let known = Known { prefixes, content: Some(segment), bytes, used: self.uses };
        self.known.insert(id, known);
        self.make_room();
    }

    pub(crate) fn remove(&mut self, id: &SegmentId) {
        if let Some(known) = self.known.swap_remove(id)
            && known.content.is_some()
        {
            self.held_bytes -= known.bytes;
        }
    }

    /// Whether the index of a segment is at hand.
    pub(crate) fn knows(&self, id: &SegmentId) -> bool {
        self.known.contains_key(id)
    }

    pub(crate) fn content(&self, id: &SegmentId) -> Option<&Segment> {
        self.known.get(id)?.content.as_ref()
    }

    pub(crate) fn find(&mut self, id: &SegmentId, key: &Key) -> Found<'_> {
        let Some(known) = self.known.get_mut(id) else { return Found::Unread };
        if known.prefixes.binary_search(&prefix(key)).is_err() {
            return Found::Absent;
        }
        self.uses += 1;
        known.used = self.uses;
        match &known.content {
            None => Found::Unread,
            Some(segment) => segment.find(key).map_or(Found::Absent, Found::Entry),
        }
    }

    /// Drops the contents that were not used for longest; the newest one always stays.
    fn make_room(&mut self) {
        while self.held_bytes > self.limit_bytes {
            let held = self.known.values_mut().filter(|known| known.content.is_some());
            let Some(oldest) = held.min_by_key(|known| known.used) else { return };
            if oldest.used == self.uses {
                return;
            }
            oldest.content = None;
            self.held_bytes -= oldest.bytes;
        }
    }
}

/// The first 8 bytes of the key, so that prefixes are ordered like their keys.
fn prefix(key: &Key) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&key.0[..8]);
    u64::from_be_bytes(bytes)
}
