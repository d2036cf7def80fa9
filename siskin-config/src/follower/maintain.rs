//! Writes snapshots to the store and deletes the entries and snapshots that they replace.

use {
    super::{
        Action, Follower,
        task::{Task, Upload},
    },
    crate::{
        entry::{self, LOG_PREFIX},
        snapshot::{HEAD_KEY, Head, MAX_SHARD_BYTES},
        store::{Pair, Request},
    },
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// Maximum number of versions that one call deletes, each with its decision record.
const MAX_DELETED_PER_CALL: u64 = 50;

/// Delay per rank before a watcher writes a snapshot that is due, so that usually only one of them
/// writes it.
const RANK_DELAY: Duration = Duration::from_secs(10);

/// Largest random delay. It separates the first watchers of different regions.
const MAX_JITTER: Duration = Duration::from_secs(5);

/// Maximum age of the confirmation of its version with which a router may write a snapshot.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(10);

impl Follower {
    pub(super) fn maintenance_due(&mut self, now: Instant) -> bool {
        let Some(rank) = self.rank else {
            return false;
        };
        let recent = self.confirmation_age(now).is_some_and(|age| age <= MAX_CONFIRMATION_AGE);
        let base = self.store.snapshot_version.unwrap_or(0);
        if !recent
            || self.undecided()
            || self.divergence.is_some()
            || self.newest() < base + self.snapshot_interval
        {
            self.store.maintain_at = None;
            return false;
        }
        if let Some(at) = self.store.maintain_at {
            return now >= at;
        }
        let place = u32::try_from(rank).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(place) + self.jittered(MAX_JITTER);
        self.store.maintain_at = Some(now + delay);
        false
    }

    pub(super) fn start_maintenance(&mut self, now: Instant) -> Action {
        self.store.maintain_at = None;
        self.store.check_shards = false;
        self.start_call(now, Task::MaintainHead, Request::read(HEAD_KEY))
    }

    pub(super) fn handle_maintenance_head(
        &mut self,
        now: Instant,
        pairs: &[Pair],
    ) -> Option<Action> {
        let (head, revision) = self.decode_head(now, pairs).ok()?;
        let base = head.as_ref().map_or(0, |head| head.version);
        self.store.snapshot_version = Some(base);
        if self.newest() >= base + self.snapshot_interval {
            return self.write_snapshot(now, revision);
        }
        // The router that wrote the snapshot may not have deleted the old entries.
        head.map(|head| self.check_shard(now, head, revision, 0))
    }

    fn write_snapshot(&mut self, now: Instant, revision: u64) -> Option<Action> {
        let (head, bytes) = self.encode_snapshot(now)?;
        let upload = Upload { head, bytes, revision, repair: false };
        Some(self.write_part(now, upload, 0))
    }

    /// Checks that all shards exist before anything that they replace is deleted. If the store was rolled
    /// back between the writes of the shards and of the head, the head refers to lost shards.
    fn check_shard(&mut self, now: Instant, head: Head, revision: u64, shard: u32) -> Action {
        if shard >= head.shards {
            return self.delete_earlier_shards(now, &head);
        }
        let request = Request::read(&head.shard_key(shard));
        self.start_call(now, Task::CheckShard { head, revision, shard }, request)
    }

    pub(super) fn handle_shard_check(
        &mut self,
        now: Instant,
        head: Head,
        revision: u64,
        shard: u32,
        pairs: &[Pair],
    ) -> Option<Action> {
        if !pairs.is_empty() {
            return Some(self.check_shard(now, head, revision, shard + 1));
        }
        if head.version > self.newest() {
            return None;
        }
        self.write_snapshot(now, revision)
    }

    pub(super) fn encode_snapshot(&mut self, now: Instant) -> Option<(Head, Arc<[u8]>)> {
        let bytes = self.snapshot().encode();
        let Ok(bytes) = bytes else {
            self.back_off(now);
            return None;
        };
        Some((Head::new(self.newest(), self.latest.hash, &bytes), bytes))
    }

    /// Writes the given shard, or the head once all shards are written.
    pub(super) fn write_part(&mut self, now: Instant, upload: Upload, shard: u32) -> Action {
        if shard < upload.head.shards {
            let start = shard as usize * MAX_SHARD_BYTES;
            let end = upload.bytes.len().min(start + MAX_SHARD_BYTES);
            let value = upload.bytes[start..end].into();
            let request = Request::Create { key: upload.head.shard_key(shard), value };
            return self.start_call(now, Task::WriteShard(upload, shard), request);
        }
        let value = upload.head.encode().unwrap_or_else(|_| Arc::from([]));
        let request = Request::Swap { key: HEAD_KEY.to_owned(), revision: upload.revision, value };
        self.start_call(now, Task::WriteHead(upload), request)
    }

    pub(super) fn handle_head_write(
        &mut self,
        now: Instant,
        upload: &Upload,
        swapped: bool,
    ) -> Option<Action> {
        if !swapped {
            // Another router replaced the head first. The next maintenance reads its head.
            self.back_off(now);
            return None;
        }
        self.store.snapshot_version = Some(upload.head.version);
        if upload.repair {
            return Some(self.compare_from(now, upload.head.version.max(self.history.first())));
        }
        Some(self.start_maintenance(now))
    }

    fn delete_earlier_shards(&mut self, now: Instant, head: &Head) -> Action {
        let (start, end) = head.earlier_shards();
        let task = Task::DeleteShards { base: head.version };
        self.start_call(now, task, Request::Delete { start, end })
    }

    pub(super) fn read_oldest_entry(&mut self, now: Instant, base: u64) -> Action {
        let request =
            Request::Range { start: LOG_PREFIX.to_owned(), end: entry::key(u64::MAX), limit: 1 };
        self.start_call(now, Task::ReadOldest { base }, request)
    }

    /// Deletes a bounded number of entries, oldest first. The entries of one snapshot interval are
    /// retained although the snapshot contains them: a delayed call to create an entry must find that the
    /// key exists, and followers that lag slightly can still read the entries that they lack.
    pub(super) fn delete_old_entries(
        &mut self,
        now: Instant,
        base: u64,
        pairs: &[Pair],
    ) -> Option<Action> {
        let oldest = pairs.first().and_then(|pair| entry::version(&pair.key))?;
        let end = base.saturating_sub(self.snapshot_interval).min(oldest + MAX_DELETED_PER_CALL);
        if oldest >= end {
            return None;
        }
        let request = Request::Delete { start: entry::key(oldest), end: entry::key(end) };
        Some(self.start_call(now, Task::DeleteEntries { base }, request))
    }
}
