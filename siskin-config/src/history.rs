//! The latest entries, kept in memory for peers, for the repair of the store and for operators.

use {
    crate::{
        document::Document,
        entry::Entry,
        patch::{self, Changes, Patch},
        snapshot::Recent,
    },
    serde_json::Value,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
};

/// Maximum total size of the kept entries, in bytes.
pub const MAX_BYTES: usize = 4 << 20;

/// Maximum number of patch identifiers that are kept. At 28,000 changes per day this is about 100 minutes.
pub const MAX_RECENT: usize = 2_000;

/// Maximum number of changed items that are kept to compute differences between versions.
const MAX_CHANGED_ITEMS: usize = 20_000;

/// The latest entries, without gaps.
#[derive(Debug, Default)]
pub struct History {
    last: u64,
    max_entries: usize,
    entries: VecDeque<Kept>,
    bytes: usize,
    changed_items: usize,
    recent: VecDeque<Recent>,
    results: HashMap<String, Outcome>,
}

/// Result of an accepted patch.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    version: u64,
    /// Truncated hash of its changes, if known.
    changes: Option<u64>,
}

/// The identifier of a patch was already used by another patch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the identifier belongs to the patch that led to version {version}")]
pub struct Reused {
    /// The version that resulted from the other patch.
    pub version: u64,
}

#[derive(Debug)]
struct Kept {
    bytes: Arc<[u8]>,
    changes: Option<Changes>,
}

/// The versions are no longer kept, or do not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("only versions {oldest} to {newest} can be compared; choose two of them")]
pub struct Error {
    /// The oldest version that can be compared.
    pub oldest: u64,
    /// The newest version.
    pub newest: u64,
}

impl History {
    /// Creates the history that follows a snapshot: without entries, but with the identifiers of recent
    /// patches. It keeps at most `max_entries` entries.
    #[must_use]
    pub fn new(version: u64, recent: Vec<Recent>, max_entries: usize) -> Self {
        let mut history = Self { last: version, max_entries, ..Self::default() };
        for recent in recent {
            history.add_recent(recent);
        }
        history
    }

    /// Adds the next entry.
    pub(crate) fn push(&mut self, entry: &Entry, bytes: Arc<[u8]>, changes: Changes) {
        self.last += 1;
        self.add_recent(Recent {
            patch: entry.patch.clone(),
            version: self.last,
            changes: Some(patch::fingerprint(&entry.changes)),
        });
        self.bytes += bytes.len();
        self.changed_items += changes.len();
        self.entries.push_back(Kept { bytes, changes: Some(changes) });
        self.evict_oldest();
    }

    fn add_recent(&mut self, recent: Recent) {
        let result = Outcome { version: recent.version, changes: recent.changes };
        self.results.entry(recent.patch.clone()).or_insert(result);
        self.recent.push_back(recent);
        if self.recent.len() > MAX_RECENT
            && let Some(oldest) = self.recent.pop_front()
        {
            self.results.remove(&oldest.patch);
        }
    }

    fn evict_oldest(&mut self) {
        while self.entries.len() > self.max_entries
            || (self.bytes > MAX_BYTES && self.entries.len() > 1)
        {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.bytes.len();
            self.changed_items -= oldest.changes.map_or(0, |changes| changes.len());
        }
        let newest = self.entries.len().saturating_sub(1);
        for kept in self.entries.iter_mut().take(newest) {
            if self.changed_items <= MAX_CHANGED_ITEMS {
                break;
            }
            self.changed_items -= kept.changes.take().map_or(0, |changes| changes.len());
        }
    }

    /// The oldest version whose entry is kept; one more than the newest if none is.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.last + 1 - self.entries.len() as u64
    }

    /// The bytes of an entry.
    #[must_use]
    pub fn bytes(&self, version: u64) -> Option<&Arc<[u8]>> {
        Some(&self.kept_entry(version)?.bytes)
    }

    fn kept_entry(&self, version: u64) -> Option<&Kept> {
        let position = version.checked_sub(self.first())?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// An entry.
    #[must_use]
    pub fn entry(&self, version: u64) -> Option<Entry> {
        Entry::decode(version, self.bytes(version)?).ok()
    }

    /// The version that resulted from the patch of this identifier, if it is still kept.
    #[must_use]
    pub fn accepted_version(&self, patch: &str) -> Option<u64> {
        Some(self.results.get(patch)?.version)
    }

    /// As [`History::accepted_version`], but checks that the changes are the same. The base and the author of a
    /// repeated patch may differ.
    ///
    /// # Errors
    ///
    /// The identifier was already used by a patch with other changes.
    pub fn find_repeated(&self, patch: &Patch) -> Result<Option<u64>, Reused> {
        let Some(Outcome { version, changes }) = self.results.get(&patch.id).copied() else {
            return Ok(None);
        };
        let differs = |first| first != patch::fingerprint(&patch.changes);
        if changes.is_some_and(differs) { Err(Reused { version }) } else { Ok(Some(version)) }
    }

    /// The latest entries, newest first.
    #[must_use]
    pub fn newest(&self, limit: usize) -> Vec<Entry> {
        (self.first()..=self.last).rev().take(limit).filter_map(|v| self.entry(v)).collect()
    }

    /// The entries after a version, oldest first, and whether some of them are no longer kept.
    #[must_use]
    pub fn entries_since(&self, version: u64) -> (Vec<Entry>, bool) {
        let start = self.first().max(version.saturating_add(1));
        let entries = (start..=self.last).filter_map(|version| self.entry(version)).collect();
        (entries, version + 1 < self.first() && version < self.last)
    }

    pub(crate) fn recent(&self) -> Vec<Recent> {
        self.recent.iter().cloned().collect()
    }

    /// The JSON merge patch from one version to another. `document` is that of the newest version.
    ///
    /// # Errors
    ///
    /// One of the versions is no longer kept or does not exist.
    pub fn difference(&self, document: &Document, from: u64, to: u64) -> Result<Value, Error> {
        let kept = self.entries.iter().rev().take_while(|kept| kept.changes.is_some()).count();
        let oldest = self.last - kept as u64;
        if from.min(to) < oldest || from.max(to) > self.last {
            return Err(Error { oldest, newest: self.last });
        }
        Ok(patch::difference(&self.document_at(document, from), &self.document_at(document, to)))
    }

    /// The document of an earlier version, made by reverting the entries after it, newest first.
    fn document_at(&self, document: &Document, version: u64) -> Document {
        let mut document = document.clone();
        for version in (version + 1..=self.last).rev() {
            if let Some(changes) = self.kept_entry(version).and_then(|kept| kept.changes.as_ref()) {
                changes.revert(&mut document);
            }
        }
        document
    }
}
