//! In-memory model of the key-value service, and the linear reference history for its log.

use {
    siskin_config::{
        entry::{self, Entry},
        snapshot::{HEAD_KEY, Head, Snapshot},
        store::{Answer, Pair, Request},
    },
    std::{collections::BTreeMap, sync::Arc},
};

#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    pub(crate) keys: BTreeMap<String, (Arc<[u8]>, u64)>,
    pub(crate) revision: u64,
}

impl Store {
    /// Executes a request and returns the answer and the pair that it wrote, if any.
    pub(crate) fn execute(&mut self, request: &Request) -> (Answer, Option<Pair>) {
        match request {
            Request::Range { start, end, limit } => {
                let range = self.keys.range(start.clone()..end.clone()).take(*limit);
                let pairs = range.map(|(key, (value, revision))| Pair {
                    key: key.clone(),
                    value: Arc::clone(value),
                    revision: *revision,
                });
                (Answer::Range { pairs: pairs.collect(), revision: self.revision }, None)
            }
            Request::Create { key, value } => {
                let absent = !self.keys.contains_key(key);
                (Answer::Created(absent), absent.then(|| self.put(key, value)))
            }
            Request::Swap { key, revision, value } => {
                let matches = self.keys.get(key).map_or(0, |(_, revision)| *revision) == *revision;
                (Answer::Swapped(matches), matches.then(|| self.put(key, value)))
            }
            Request::Delete { start, end } => {
                let count = self.keys.range(start.clone()..end.clone()).count();
                assert!(count <= 100, "one call deletes {count} keys");
                self.keys.retain(|key, _| !(start <= key && key < end));
                self.revision += 1;
                (Answer::Deleted, None)
            }
        }
    }

    fn put(&mut self, key: &str, value: &Arc<[u8]>) -> Pair {
        self.revision += 1;
        self.keys.insert(key.to_owned(), (Arc::clone(value), self.revision));
        Pair { key: key.to_owned(), value: Arc::clone(value), revision: self.revision }
    }

    /// Whether the log or the snapshot in the store contains a version.
    pub(crate) fn contains_version(&self, version: u64) -> bool {
        self.keys.contains_key(&entry::key(version))
            || self.head().is_some_and(|head| head.version >= version)
    }

    pub(crate) fn head(&self) -> Option<Head> {
        self.keys.get(HEAD_KEY).map(|(value, _)| Head::decode(value).unwrap())
    }

    /// The snapshot, decoded as a starting router does.
    pub(crate) fn snapshot(&self) -> Option<Snapshot> {
        let head = self.head()?;
        let shards = (0..head.shards).map(|shard| &self.keys[&head.shard_key(shard)].0);
        let bytes: Vec<u8> = shards.flat_map(|shard| shard.iter().copied()).collect();
        Some(head.decode_snapshot(&bytes).unwrap())
    }
}

/// The linear history of the entries that were created.
#[derive(Debug, Default)]
pub(crate) struct Reference {
    pub(crate) entries: Vec<Arc<[u8]>>,
}

impl Reference {
    /// Records a created entry. Returns `false` if another entry has its version already.
    pub(crate) fn record_created(&mut self, pair: &Pair) -> bool {
        let Some(version) = entry::version(&pair.key) else { return true };
        let position = usize::try_from(version - 1).unwrap();
        assert!(
            position <= self.entries.len(),
            "entry {version} was created before its predecessor"
        );
        if position == self.entries.len() {
            self.entries.push(Arc::clone(&pair.value));
        }
        self.entries[position] == pair.value
    }

    /// Replaces an entry, and drops those after it, that a rollback removed before any router read it.
    pub(crate) fn replace(&mut self, pair: &Pair) {
        let version = entry::version(&pair.key).unwrap();
        self.entries.truncate(usize::try_from(version - 1).unwrap());
        self.entries.push(Arc::clone(&pair.value));
    }

    pub(crate) fn patch(&self, version: u64) -> Option<String> {
        let position = usize::try_from(version.checked_sub(1)?).ok()?;
        Some(Entry::decode(version, self.entries.get(position)?).unwrap().patch)
    }

    /// The document of a version, computed with `json_patch` on the whole document.
    pub(crate) fn document(&self, version: u64) -> serde_json::Value {
        let mut document = serde_json::json!({});
        for (version, bytes) in (1..=version).zip(&self.entries) {
            json_patch::merge(&mut document, &Entry::decode(version, bytes).unwrap().changes);
        }
        document
    }
}
