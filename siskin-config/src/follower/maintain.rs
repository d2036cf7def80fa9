//! Snapshots in the store, and deletion of what they replace.

use {
    super::{
        Action, Follower,
        task::{Task, Writing},
    },
    crate::{
        entry::{self, LOG_PREFIX},
        snapshot::{HEAD_KEY, Head, MAX_SHARD_BYTES},
        store::{Pair, Request},
    },
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// Versions that one call deletes at most, each with the record of its decision.
const DELETED_PER_CALL: u64 = 50;

/// How much longer than the watcher before it a watcher waits before it writes a snapshot that is
/// due, so that usually one of them writes it.
const RANK_DELAY: Duration = Duration::from_secs(10);

/// Longest random delay, for the first watchers of different regions.
const MAX_JITTER: Duration = Duration::from_secs(5);

/// A snapshot is written only by a router whose version was confirmed within this time.
const MAX_AGE: Duration = Duration::from_secs(10);

impl Follower {
    pub(super) fn maintenance_due(&mut self, now: Instant) -> bool {
        let Some(rank) = self.rank else {
            return false;
        };
        let recent = self.freshness(now).is_some_and(|age| age <= MAX_AGE);
        let base = self.store.base.unwrap_or(0);
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

    pub(super) fn maintain(&mut self, now: Instant) -> Action {
        self.store.maintain_at = None;
        self.store.check_shards = false;
        self.call(now, Task::MaintainHead, Request::read(HEAD_KEY))
    }

    pub(super) fn maintain_head(&mut self, now: Instant, pairs: &[Pair]) -> Option<Action> {
        let (head, revision) = self.read_head(now, pairs).ok()?;
        let base = head.as_ref().map_or(0, |head| head.version);
        self.store.base = Some(base);
        if self.newest() >= base + self.snapshot_interval {
            return self.write_snapshot(now, revision);
        }
        // This router or another one wrote it, and may not have deleted the old entries.
        head.map(|head| self.check_shard(now, head, revision, 0))
    }

    fn write_snapshot(&mut self, now: Instant, revision: u64) -> Option<Action> {
        let (head, bytes) = self.encode_snapshot(now)?;
        let writing = Writing { head, bytes, revision, repair: false };
        Some(self.write(now, writing, 0))
    }

    /// Looks for all shards before anything that they replace is deleted. If the store lost its latest
    /// state between the writing of the shards and of the head, the head names shards that are gone.
    fn check_shard(&mut self, now: Instant, head: Head, revision: u64, shard: u32) -> Action {
        if shard >= head.shards {
            return self.clean_shards(now, &head);
        }
        let request = Request::read(&head.shard_key(shard));
        self.call(now, Task::CheckShard { head, revision, shard }, request)
    }

    pub(super) fn shard_checked(
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
            self.pause(now);
            return None;
        };
        Some((Head::new(self.newest(), self.latest.hash, &bytes), bytes))
    }

    /// Writes a shard, or the head when all shards are written.
    pub(super) fn write(&mut self, now: Instant, writing: Writing, shard: u32) -> Action {
        if shard < writing.head.shards {
            let start = shard as usize * MAX_SHARD_BYTES;
            let end = writing.bytes.len().min(start + MAX_SHARD_BYTES);
            let value = writing.bytes[start..end].into();
            let request = Request::Create { key: writing.head.shard_key(shard), value };
            return self.call(now, Task::WriteShard(writing, shard), request);
        }
        let value = writing.head.encode().unwrap_or_else(|_| Arc::from([]));
        let request = Request::Swap { key: HEAD_KEY.to_owned(), revision: writing.revision, value };
        self.call(now, Task::WriteHead(writing), request)
    }

    pub(super) fn written(
        &mut self,
        now: Instant,
        writing: &Writing,
        swapped: bool,
    ) -> Option<Action> {
        if !swapped {
            // Another router was faster. The next maintenance reads its head.
            self.pause(now);
            return None;
        }
        self.store.base = Some(writing.head.version);
        if writing.repair {
            return Some(self.repair_from(now, writing.head.version.max(self.history.first())));
        }
        Some(self.maintain(now))
    }

    fn clean_shards(&mut self, now: Instant, head: &Head) -> Action {
        let (start, end) = head.earlier_shards();
        let task = Task::CleanShards { base: head.version };
        self.call(now, task, Request::Delete { start, end })
    }

    pub(super) fn clean_oldest(&mut self, now: Instant, base: u64) -> Action {
        let request =
            Request::Range { start: LOG_PREFIX.to_owned(), end: entry::key(u64::MAX), limit: 1 };
        self.call(now, Task::CleanOldest { base }, request)
    }

    /// Deletes a bounded number of entries, beginning with the oldest. As many entries as lie between two
    /// snapshots stay, although the snapshot contains them: a call to create an entry that is delayed on
    /// its way must find the key taken, and followers that are a little behind find what they miss.
    pub(super) fn clean_log(&mut self, now: Instant, base: u64, pairs: &[Pair]) -> Option<Action> {
        let oldest = pairs.first().and_then(|pair| entry::version(&pair.key))?;
        let end = base.saturating_sub(self.snapshot_interval).min(oldest + DELETED_PER_CALL);
        if oldest >= end {
            return None;
        }
        let request = Request::Delete { start: entry::key(oldest), end: entry::key(end) };
        Some(self.call(now, Task::CleanLog { base }, request))
    }
}
