//! Repair of a store that was rolled back to an older state, and comparison of histories.

use {
    super::{
        Action, BATCH, Divergence, Error, Follower,
        task::{Missing, Task, Upload},
    },
    crate::{
        entry,
        snapshot::{HEAD_KEY, Head},
        store::{Pair, Request},
    },
    siskin_types::time::Instant,
};

impl Follower {
    /// Starts by reading the snapshot head, which determines which entries the log must contain.
    pub(super) fn start_repair(&mut self, now: Instant, missing: Missing) -> Action {
        self.start_call(now, Task::RepairHead(missing), Request::read(HEAD_KEY))
    }

    pub(super) fn handle_repair_head(
        &mut self,
        now: Instant,
        missing: Missing,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        let (base, revision) = self.decode_head(now, pairs).ok()?;
        let version = self.newest();
        let base_version = base.as_ref().map_or(0, |head| head.version);
        self.store.snapshot_version = Some(base_version);
        if base_version > version {
            return Some(self.start_load(now, false));
        }
        if let Some(divergence) = base.as_ref().and_then(|head| self.snapshot_divergence(head)) {
            self.record_divergence(divergence, actions);
            return None;
        }
        let first = self.history.first();
        if base_version >= missing.version {
            return self.end_covered_repair(now, missing, actions);
        }
        self.store.check_shards = true;
        if base_version + 1 < first {
            return self.write_repair_snapshot(now, revision);
        }
        // Comparing all entries also shows whether an earlier divergence has been resolved.
        Some(self.compare_from(now, first.max((base_version + 1).min(version))))
    }

    /// Decodes the snapshot head, with its revision. An unreadable head ends the task.
    pub(super) fn decode_head(
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
                self.back_off(now);
                Err(())
            }
        }
    }

    /// Compares the hash of a snapshot with this router's history.
    fn snapshot_divergence(&self, head: &Head) -> Option<Divergence> {
        let ours = if head.version == self.newest() {
            self.latest.hash
        } else {
            self.history.entry(head.version)?.hash
        };
        (ours != head.hash).then_some(Divergence { version: head.version, ours, theirs: head.hash })
    }

    /// Ends the repair because the snapshot contains what is missing from the log.
    fn end_covered_repair(
        &mut self,
        now: Instant,
        missing: Missing,
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        if let Some(sent) = missing.sent {
            self.record_confirmation(sent);
            self.mark_ready(now, actions);
        }
        None
    }

    /// Writes a new snapshot, since entries between the stored snapshot and those in memory may be lost.
    fn write_repair_snapshot(&mut self, now: Instant, revision: u64) -> Option<Action> {
        let (head, bytes) = self.encode_snapshot(now)?;
        let upload = Upload { head, bytes, revision, repair: true };
        Some(self.write_part(now, upload, 0))
    }

    pub(super) fn compare_from(&mut self, now: Instant, next: u64) -> Action {
        if next > self.newest() {
            if std::mem::take(&mut self.store.created) {
                // The store may have lost entries again in the meantime, so the comparison is repeated
                // until nothing is missing.
                return self.start_repair(now, Missing { version: u64::MAX, sent: None });
            }
            self.store.recheck_passed();
            return self.start_confirmation(now);
        }
        let end = entry::key(self.newest().saturating_add(1));
        let request = Request::Range { start: entry::key(next), end, limit: BATCH };
        self.start_call(now, Task::RepairRead { next }, request)
    }

    pub(super) fn handle_repair_read(
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
            if let Err(error @ Error::Diverged(_)) = self.compare_entry(next, &pair.value) {
                self.record_error(&error, actions);
                return None;
            }
            next += 1;
        }
        let full = next - start >= BATCH as u64;
        if next > self.newest() || full {
            return Some(self.compare_from(now, next));
        }
        self.create_missing_entry(now, next)
    }

    fn create_missing_entry(&mut self, now: Instant, next: u64) -> Option<Action> {
        let value = self.history.bytes(next).cloned()?;
        let request = Request::Create { key: entry::key(next), value };
        Some(self.start_call(now, Task::RepairCreate { next }, request))
    }

    pub(super) fn handle_repair_create(
        &mut self,
        now: Instant,
        next: u64,
        created: bool,
    ) -> Option<Action> {
        self.store.created |= created;
        if created && next < self.newest() {
            return self.create_missing_entry(now, next + 1);
        }
        // An entry that already existed must be compared.
        Some(self.compare_from(now, if created { next + 1 } else { next }))
    }
}
