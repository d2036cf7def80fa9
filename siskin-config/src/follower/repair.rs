//! Repair of a store that came back with an older state, and comparison of histories.

use {
    super::{
        Action, BATCH, Divergence, Error, Follower,
        task::{Missing, Task, Writing},
    },
    crate::{
        entry,
        snapshot::{HEAD_KEY, Head},
        store::{Pair, Request},
    },
    siskin_types::time::Instant,
};

impl Follower {
    /// Begins with the head of the snapshot, which says which entries the log must contain.
    pub(super) fn repair(&mut self, now: Instant, missing: Missing) -> Action {
        self.call(now, Task::RepairHead(missing), Request::read(HEAD_KEY))
    }

    pub(super) fn repair_head(
        &mut self,
        now: Instant,
        missing: Missing,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        let (base, revision) = self.read_head(now, pairs).ok()?;
        let version = self.newest();
        let base_version = base.as_ref().map_or(0, |head| head.version);
        self.store.base = Some(base_version);
        if base_version > version {
            return Some(self.load(now, false));
        }
        if let Some(divergence) = base.as_ref().and_then(|head| self.differs(head)) {
            self.diverge(divergence, actions);
            return None;
        }
        let first = self.history.first();
        if base_version >= missing.version {
            return self.covered(now, missing, actions);
        }
        self.store.check_shards = true;
        if base_version + 1 < first {
            return self.write_base(now, revision);
        }
        // A whole comparison also settles whether an earlier divergence has been resolved.
        Some(self.repair_from(now, first.max((base_version + 1).min(version))))
    }

    /// The head of the snapshot with its revision. An unreadable head ends the task.
    pub(super) fn read_head(
        &mut self,
        now: Instant,
        pairs: &[Pair],
    ) -> Result<(Option<Head>, u64), ()> {
        let Some(pair) = pairs.first() else {
            return Ok((None, 0));
        };
        match Head::decode(&pair.value) {
            Ok(head) => Ok((Some(head), pair.revision)),
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.pause(now);
                Err(())
            }
        }
    }

    /// Compares the hash of a snapshot with this router's history.
    fn differs(&self, head: &Head) -> Option<Divergence> {
        let ours = if head.version == self.newest() {
            self.latest.hash
        } else {
            self.history.entry(head.version)?.hash
        };
        (ours != head.hash).then_some(Divergence { version: head.version, ours, theirs: head.hash })
    }

    /// The snapshot contains what is missing from the log, so the log need not.
    fn covered(
        &mut self,
        now: Instant,
        missing: Missing,
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        if let Some(sent) = missing.sent {
            self.confirm(sent);
            self.loaded(now, actions);
        }
        None
    }

    /// Entries between the snapshot and those in memory may be lost, so a new snapshot is needed.
    fn write_base(&mut self, now: Instant, revision: u64) -> Option<Action> {
        let (head, bytes) = self.encode_snapshot(now)?;
        let writing = Writing { head, bytes, revision, repair: true };
        Some(self.write(now, writing, 0))
    }

    pub(super) fn repair_from(&mut self, now: Instant, next: u64) -> Action {
        if next > self.newest() {
            if std::mem::take(&mut self.store.created) {
                // The store may have lost entries once more in the meantime, so everything is compared
                // again until nothing is missing.
                return self.repair(now, Missing { version: u64::MAX, sent: None });
            }
            self.store.recheck_passed();
            return self.confirm_by_store(now);
        }
        let end = entry::key(self.newest().saturating_add(1));
        let request = Request::Range { start: entry::key(next), end, limit: BATCH };
        self.call(now, Task::RepairRead { next }, request)
    }

    pub(super) fn repair_read(
        &mut self,
        now: Instant,
        mut next: u64,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        let start = next;
        for pair in pairs {
            if entry::version(&pair.key) != Some(next) {
                break;
            }
            if let Err(error @ Error::Diverged(_)) = self.compare(next, &pair.value) {
                self.failed(&error, actions);
                return None;
            }
            next += 1;
        }
        let full = next - start >= BATCH as u64;
        if next > self.newest() || full {
            return Some(self.repair_from(now, next));
        }
        self.repair_create(now, next)
    }

    fn repair_create(&mut self, now: Instant, next: u64) -> Option<Action> {
        let value = self.history.bytes(next).cloned()?;
        let request = Request::Create { key: entry::key(next), value };
        Some(self.call(now, Task::RepairCreate { next }, request))
    }

    pub(super) fn repair_created(
        &mut self,
        now: Instant,
        next: u64,
        created: bool,
    ) -> Option<Action> {
        self.store.created |= created;
        if created && next < self.newest() {
            return self.repair_create(now, next + 1);
        }
        // If the key was there already, its entry must be compared.
        Some(self.repair_from(now, if created { next + 1 } else { next }))
    }
}
