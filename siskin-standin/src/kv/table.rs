//! Keys with revisions, leases and the history that watches and roll-backs need.

use {
    super::message::{
        Compare, Delete, KeyValue, Operation, Put, Range, Relation, Target, Txn, header,
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Bound,
        time::{Duration, Instant},
    },
};

/// Bytes of history kept; older revisions are compacted.
const HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// Bytes counted for an event besides its key and value.
const EVENT_BYTES: usize = 128;

/// A change of one key.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) deleted: bool,
    /// For a deletion only the key and the revision are set.
    pub(crate) now: KeyValue,
    before: Option<KeyValue>,
}

impl Change {
    fn bytes(&self) -> usize {
        EVENT_BYTES + self.now.key.len() + self.now.value.len()
    }

    /// The `Event` message.
    pub(crate) fn event(&self) -> Value {
        if self.deleted {
            json!({"type": "DELETE", "kv": self.now})
        } else {
            json!({"kv": self.now})
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// The keys and leases.
#[derive(Debug)]
pub(crate) struct Table {
    revision: u64,
    keys: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: VecDeque<Change>,
    history_bytes: usize,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
}

impl Table {
    pub(crate) fn new() -> Self {
        Self {
            revision: 1,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            compacted: 0,
        }
    }

    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) const fn compacted(&self) -> u64 {
        self.compacted
    }

    pub(crate) fn range(&self, range: &Range) -> Value {
        let found: Vec<_> = self.select(&range.key, &range.end).collect();
        let limit = usize::try_from(range.limit).unwrap_or(usize::MAX);
        let shown = if limit == 0 { found.len() } else { limit.min(found.len()) };
        let mut answer = json!({"header": header(self.revision)});
        if !found.is_empty() {
            answer["count"] = found.len().to_string().into();
        }
        if !found.is_empty() && !range.count_only {
            let kvs = found[..shown].iter().map(|kv| listed(kv, range.keys_only));
            answer["kvs"] = kvs.collect();
        }
        if shown < found.len() {
            answer["more"] = true.into();
        }
        answer
    }

    pub(crate) fn put(&mut self, put: &Put) -> Value {
        self.revision += 1;
        self.store(put)
    }

    pub(crate) fn delete(&mut self, delete: &Delete) -> Value {
        let keys = self.matching(delete);
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(delete.prev_kv, keys)
    }

    /// Carries out a transaction; all its writes have one revision.
    pub(crate) fn txn(&mut self, txn: &Txn) -> Value {
        let succeeded = txn.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { &txn.success } else { &txn.failure };
        let writes = |operation: &Operation| match operation {
            Operation::Range(_) => false,
            Operation::Put(_) => true,
            Operation::Delete(delete) => !self.matching(delete).is_empty(),
        };
        if operations.iter().any(writes) {
            self.revision += 1;
        }
        let responses: Vec<_> =
            operations.iter().map(|operation| self.operate(operation)).collect();
        let mut answer = json!({"header": header(self.revision)});
        if succeeded {
            answer["succeeded"] = true.into();
        }
        if !responses.is_empty() {
            answer["responses"] = responses.into();
        }
        answer
    }

    /// Whether a lease that a write refers to exists; 0 stands for no lease.
    pub(crate) fn has_lease(&self, lease: u64) -> bool {
        lease == 0 || self.leases.contains_key(&lease)
    }

    /// Grants a lease; nothing if the number is taken.
    pub(crate) fn grant(&mut self, id: u64, ttl: Duration, now: Instant) -> Option<u64> {
        let id = if id == 0 { self.last_lease + 1 } else { id };
        if self.leases.contains_key(&id) {
            return None;
        }
        self.last_lease = self.last_lease.max(id);
        self.leases.insert(id, Lease { ttl, until: now + ttl });
        Some(id)
    }

    /// Renews a lease and returns its time to live.
    pub(crate) fn keep_alive(&mut self, id: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.until = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys; false if it is unknown.
    pub(crate) fn revoke(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let held = self.keys.values().filter(|kv| kv.lease == id);
        let keys: Vec<_> = held.map(|kv| kv.key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        self.remove(false, keys);
        true
    }

    /// Ends the leases that have run out; true if there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let over = self.leases.iter().filter(|(_, lease)| lease.until <= now);
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        for id in &over {
            self.revoke(*id);
        }
        !over.is_empty()
    }

    /// Returns to the state at `revision`; false if the history does not reach back that far.
    pub(crate) fn roll_back(&mut self, revision: u64) -> bool {
        if revision < self.compacted.max(1) || revision > self.revision {
            return false;
        }
        while self.history.back().is_some_and(|last| last.now.mod_revision > revision) {
            let Some(change) = self.history.pop_back() else { break };
            self.history_bytes -= change.bytes();
            match change.before {
                Some(before) => self.keys.insert(before.key.clone(), before),
                None => self.keys.remove(&change.now.key),
            };
        }
        self.revision = revision;
        true
    }

    /// Changes of the selected keys from revision `from` on.
    pub(crate) fn changes(&self, key: &[u8], end: &[u8], from: u64) -> Vec<Change> {
        let start = self.history.partition_point(|change| change.now.mod_revision < from);
        let selected = |change: &&Change| selects(key, end, &change.now.key);
        self.history.range(start..).filter(selected).cloned().collect()
    }

    fn select<'a>(
        &'a self,
        key: &[u8],
        end: &[u8],
    ) -> impl Iterator<Item = &'a KeyValue> + use<'a> {
        let upper = match end {
            [] => Bound::Included(key.to_vec()),
            [0] => Bound::Unbounded,
            end => Bound::Excluded(end.max(key).to_vec()),
        };
        self.keys.range((Bound::Included(key.to_vec()), upper)).map(|(_, kv)| kv)
    }

    fn matching(&self, delete: &Delete) -> Vec<Vec<u8>> {
        self.select(&delete.key, &delete.end).map(|kv| kv.key.clone()).collect()
    }

    fn operate(&mut self, operation: &Operation) -> Value {
        match operation {
            Operation::Range(range) => json!({"response_range": self.range(range)}),
            Operation::Put(put) => json!({"response_put": self.store(put)}),
            Operation::Delete(delete) => {
                let keys = self.matching(delete);
                json!({"response_delete_range": self.remove(delete.prev_kv, keys)})
            }
        }
    }

    /// Stores a value at the current revision.
    fn store(&mut self, put: &Put) -> Value {
        let before = self.keys.get(&put.key).cloned();
        let now = KeyValue {
            key: put.key.clone(),
            create_revision: before.as_ref().map_or(self.revision, |kv| kv.create_revision),
            mod_revision: self.revision,
            version: before.as_ref().map_or(1, |kv| kv.version + 1),
            value: put.value.clone().into(),
            lease: put.lease,
        };
        self.keys.insert(put.key.clone(), now.clone());
        let mut answer = json!({"header": header(self.revision)});
        if let Some(before) = before.as_ref().filter(|_| put.prev_kv) {
            answer["prev_kv"] = json!(before);
        }
        self.record(Change { deleted: false, now, before });
        answer
    }

    /// Deletes keys at the current revision.
    fn remove(&mut self, prev_kv: bool, keys: Vec<Vec<u8>>) -> Value {
        let mut answer = json!({"header": header(self.revision)});
        if !keys.is_empty() {
            answer["deleted"] = keys.len().to_string().into();
        }
        let mut removed = Vec::new();
        for key in keys {
            let before = self.keys.remove(&key);
            removed.extend(before.iter().filter(|_| prev_kv).map(|kv| json!(kv)));
            let now = KeyValue { key, mod_revision: self.revision, ..KeyValue::default() };
            self.record(Change { deleted: true, now, before });
        }
        if !removed.is_empty() {
            answer["prev_kvs"] = removed.into();
        }
        answer
    }

    fn record(&mut self, change: Change) {
        self.history_bytes += change.bytes();
        self.history.push_back(change);
        while self.history_bytes > HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= oldest.bytes();
            self.compacted = oldest.now.mod_revision;
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let absent = KeyValue::default();
        let kv = self.keys.get(&compare.key).unwrap_or(&absent);
        let order = match compare.target {
            Target::Version => kv.version.cmp(&compare.version),
            Target::Create => kv.create_revision.cmp(&compare.create_revision),
            Target::Mod => kv.mod_revision.cmp(&compare.mod_revision),
            Target::Value => kv.value.as_ref().cmp(compare.value.as_slice()),
            Target::Lease => kv.lease.cmp(&compare.lease),
        };
        match compare.result {
            Relation::Equal => order.is_eq(),
            Relation::Greater => order.is_gt(),
            Relation::Less => order.is_lt(),
            Relation::NotEqual => order.is_ne(),
        }
    }
}

/// Whether the range from `key` to `end` selects `candidate`.
fn selects(key: &[u8], end: &[u8], candidate: &[u8]) -> bool {
    match end {
        [] => candidate == key,
        [0] => candidate >= key,
        end => candidate >= key && candidate < end,
    }
}

/// A key as a range returns it.
fn listed(kv: &KeyValue, keys_only: bool) -> Value {
    let mut kv = kv.clone();
    if keys_only {
        kv.value = bytes::Bytes::new();
    }
    json!(kv)
}
