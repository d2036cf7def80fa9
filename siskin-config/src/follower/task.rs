//! Tasks that call the store, one call at a time, and the watch on the next entry.

use {
    super::{Action, BATCH, CONFIRM_INTERVAL, Error, Follower, PEER_WAIT, Watch, Watched},
    crate::{
        entry,
        snapshot::{HEAD_KEY, Head},
        store::{Answer, Call, Pair, Request},
    },
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Initial and maximum backoff after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Maximum backoff after a failed watch. Meanwhile, reads confirm the version.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(2);

/// Number of consecutive failed calls after which a task is abandoned and started again.
const MAX_RETRIES: u32 = 5;

/// Backoff after a gap in the log that no snapshot covers.
const GAP_BACKOFF: Duration = Duration::from_secs(2);

/// Interval between checks whether a divergence has been resolved. Routers that are not watchers check
/// less often, because their number grows with the fleet.
const RECHECK_INTERVAL: Duration = Duration::from_secs(10);
const RECHECK_INTERVAL_OTHERS: Duration = Duration::from_secs(60);

/// Purpose of the pending call.
#[derive(Debug)]
pub(super) enum Task {
    /// Reads the latest known entries and those after them, to confirm the version.
    Confirm { from: u64 },
    /// Reads the head of the snapshot, to load it.
    LoadHead { after_gap: bool },
    /// Reads a shard of the snapshot.
    LoadShard { head: Head, shard: u32, bytes: Vec<u8> },
    /// Reads the head of the snapshot, because an entry is missing from the log.
    RepairHead(Missing),
    /// Reads entries to compare them with those in memory.
    RepairRead { next: u64 },
    /// Creates a missing entry.
    RepairCreate { next: u64 },
    /// Reads the head of the snapshot, to check whether a new one is due.
    MaintainHead,
    /// Writes a shard of a new snapshot.
    WriteShard(Upload, u32),
    /// Writes the head of a new snapshot.
    WriteHead(Upload),
    /// Reads a shard, to check that it still exists.
    CheckShard { head: Head, revision: u64, shard: u32 },
    /// Deletes the shards of earlier snapshots.
    DeleteShards { base: u64 },
    /// Reads the oldest entry in the log.
    ReadOldest { base: u64 },
    /// Deletes old entries.
    DeleteEntries { base: u64 },
    /// Creates the decision record of the newest entry.
    RecordDecision,
}

/// A snapshot that is being written.
#[derive(Debug)]
pub(super) struct Upload {
    pub(super) head: Head,
    pub(super) bytes: Arc<[u8]>,
    /// Store revision of the head that is replaced.
    pub(super) revision: u64,
    /// Whether it repairs a store that lost entries.
    pub(super) repair: bool,
}

#[derive(Debug)]
struct Pending {
    number: u64,
    sent: Instant,
    task: Task,
    request: Request,
}

impl Task {
    /// Whether the call is retried after a lost answer. Otherwise a long repair over a lossy path would
    /// start over each time. Retries are idempotent: creations and swaps take effect once. A read of the
    /// log is not retried but built again, because the newest known version may have changed.
    const fn is_retried(&self) -> bool {
        !matches!(self, Self::Confirm { .. })
    }
}

/// State of the calls and tasks.
#[derive(Debug, Default)]
pub(super) struct Progress {
    next_number: u64,
    pending: Option<Pending>,
    /// The call to retry after the backoff.
    repeat: Option<(Task, Request)>,
    failures: u32,
    /// No call is made before this instant.
    backoff_until: Instant,
    confirm_at: Instant,
    recheck_at: Instant,
    /// Whether the last comparison of all entries found no difference.
    recheck_passed: bool,
    /// Whether the repair in progress has created an entry.
    pub(super) created: bool,
    /// Whether the existence of the snapshot's shards must be checked, because the store lost entries.
    pub(super) check_shards: bool,
    /// Version of the latest snapshot in the store, if known.
    pub(super) snapshot_version: Option<u64>,
    pub(super) maintain_at: Option<Instant>,
}

impl Progress {
    pub(super) fn confirm_soon(&mut self, now: Instant) {
        self.confirm_at = now;
    }

    pub(super) fn recheck_failed(&mut self) {
        self.recheck_passed = false;
    }

    pub(super) fn recheck_passed(&mut self) {
        self.recheck_passed = true;
    }
}

/// Entries that are missing from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Missing {
    /// The newest version that is missing.
    pub(crate) version: u64,
    /// When the read that found no entry newer than the newest known one was sent.
    pub(super) sent: Option<Instant>,
}

/// Result of a read of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    /// The newest known version is the latest in the store.
    Current,
    /// There may be more entries.
    More,
    /// Entries between the newest known version and those read are no longer in the log.
    Gap,
    /// The newest known entry or the one before it is missing from the log.
    Missing(Missing),
    /// An entry could not be applied.
    Refused,
}

impl Follower {
    pub(super) fn start_call(&mut self, now: Instant, task: Task, request: Request) -> Action {
        let number = self.store.next_number;
        self.store.next_number += 1;
        self.store.pending = Some(Pending { number, sent: now, task, request: request.clone() });
        Action::Store(Call { number, request })
    }

    pub(super) fn expire_call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let pending = self.store.pending.as_ref();
        let late = pending.filter(|pending| now - pending.sent >= CALL_TIMEOUT);
        if let Some(number) = late.map(|pending| pending.number) {
            actions.extend(self.receive_answer(now, number, Answer::Unknown));
        }
    }

    /// Starts the most urgent task if no call is pending.
    pub(super) fn start_task(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.store.pending.is_some() || now < self.store.backoff_until {
            return;
        }
        if let Some((task, request)) = self.store.repeat.take() {
            actions.push(self.start_call(now, task, request));
            return;
        }
        if !self.ready {
            let waited = self.started.is_some_and(|started| now - started >= PEER_WAIT);
            if self.rank.is_some() || waited {
                actions.push(self.start_load(now, false));
            }
            return;
        }
        if self.divergence.is_some() && now >= self.store.recheck_at {
            let others = self.rank.is_none();
            let interval = if others { RECHECK_INTERVAL_OTHERS } else { RECHECK_INTERVAL };
            self.store.recheck_at = now + interval;
            let all = Missing { version: u64::MAX, sent: None };
            actions.push(self.start_repair(now, all));
            return;
        }
        if self.rank.is_none() {
            return;
        }
        if now >= self.store.confirm_at {
            actions.push(self.start_confirmation(now));
            return;
        }
        if let Some(action) = self.record_decision(now) {
            actions.push(action);
            return;
        }
        if self.store.check_shards || self.maintenance_due(now) {
            actions.push(self.start_maintenance(now));
        }
    }

    pub(super) fn start_load(&mut self, now: Instant, after_gap: bool) -> Action {
        self.start_call(now, Task::LoadHead { after_gap }, Request::read(HEAD_KEY))
    }

    pub(super) fn start_confirmation(&mut self, now: Instant) -> Action {
        self.store.confirm_at = now + CONFIRM_INTERVAL;
        let from = self.first_version_to_read();
        self.start_call(now, Task::Confirm { from }, log_request(from))
    }

    /// The first version that a read of the log requests. It includes the predecessor of the newest known
    /// entry: a submission in progress when the store lost its latest entries can create one entry after a
    /// gap, and no more than one, because the next submission detects the gap.
    pub(crate) fn first_version_to_read(&self) -> u64 {
        self.newest().saturating_sub(1).max(1)
    }

    /// Processes the answer to a call.
    pub fn receive_answer(&mut self, now: Instant, number: u64, answer: Answer) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(pending) = self.store.pending.take_if(|pending| pending.number == number) else {
            return actions;
        };
        if answer == Answer::Unknown {
            let repeated = pending.task.is_retried() && self.store.failures < MAX_RETRIES;
            self.store.repeat = repeated.then_some((pending.task, pending.request));
            self.back_off(now);
            return actions;
        }
        self.store.failures = 0;
        self.watch_failures = 0;
        if let Answer::Range { revision, .. } = answer {
            // May be lower than before: a store that was rolled back resumes from an earlier revision.
            self.revision = revision;
        }
        let before = self.known_versions();
        let next = self.advance_task(now, pending.sent, pending.task, answer, &mut actions);
        actions.extend(next);
        self.report_changes(now, before, &mut actions);
        actions
    }

    /// Delays the next call by an exponential backoff.
    pub(super) fn back_off(&mut self, now: Instant) {
        let pause = MIN_BACKOFF.saturating_mul(1 << self.store.failures.min(6)).min(MAX_BACKOFF);
        self.store.failures += 1;
        self.back_off_for(now, pause);
    }

    fn back_off_for(&mut self, now: Instant, pause: Duration) {
        let pause = self.jittered(pause);
        self.store.backoff_until = now + pause;
        self.store.confirm_at = self.store.backoff_until;
    }

    /// Processes the answer to a task's call and returns the task's next call.
    fn advance_task(
        &mut self,
        now: Instant,
        sent: Instant,
        task: Task,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        match (task, answer) {
            (Task::Confirm { from }, Answer::Range { pairs, .. }) => {
                self.handle_confirmation_read(now, sent, from, &pairs, actions)
            }
            (Task::LoadHead { after_gap }, Answer::Range { pairs, .. }) => {
                self.handle_load_head(now, after_gap, &pairs)
            }
            (Task::LoadShard { head, shard, bytes }, Answer::Range { pairs, .. }) => {
                self.handle_load_shard(now, head, shard, bytes, &pairs)
            }
            (Task::RepairHead(missing), Answer::Range { pairs, .. }) => {
                self.handle_repair_head(now, missing, &pairs, actions)
            }
            (Task::RepairRead { next }, Answer::Range { pairs, .. }) => {
                self.handle_repair_read(now, next, &pairs, actions)
            }
            (Task::RepairCreate { next }, Answer::Created(created)) => {
                self.handle_repair_create(now, next, created)
            }
            (Task::MaintainHead, Answer::Range { pairs, .. }) => {
                self.handle_maintenance_head(now, &pairs)
            }
            (Task::WriteShard(upload, shard), Answer::Created(_)) => {
                Some(self.write_part(now, upload, shard + 1))
            }
            (Task::WriteHead(upload), Answer::Swapped(swapped)) => {
                self.handle_head_write(now, &upload, swapped)
            }
            (Task::ReadOldest { base }, Answer::Range { pairs, .. }) => {
                self.delete_old_entries(now, base, &pairs)
            }
            (Task::CheckShard { head, revision, shard }, Answer::Range { pairs, .. }) => {
                self.handle_shard_check(now, head, revision, shard, &pairs)
            }
            (Task::DeleteShards { base } | Task::DeleteEntries { base }, Answer::Deleted) => {
                Some(self.read_oldest_entry(now, base))
            }
            (Task::RecordDecision, Answer::Created(_)) => None,
            // The answer does not match the request, so the task is abandoned.
            _ => {
                self.back_off(now);
                None
            }
        }
    }

    fn handle_confirmation_read(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        match self.process_log_read(now, sent, from, pairs, actions) {
            Reading::Current => {
                if self.store.recheck_passed {
                    self.divergence = None;
                }
                None
            }
            Reading::More => Some(self.start_confirmation(now)),
            Reading::Gap => Some(self.start_load(now, true)),
            Reading::Missing(_) if self.divergence.is_some() => None,
            Reading::Missing(missing) => Some(self.start_repair(now, missing)),
            Reading::Refused => None,
        }
    }

    /// Processes entries read from the log, starting with `from`. `sent` is when the read was sent: the
    /// result was the latest state at some time after that.
    pub(crate) fn process_log_read(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Reading {
        let have = self.newest();
        if let Some(error) = self.apply_pairs(pairs) {
            self.record_error(&error, actions);
            return if let Error::Gap { .. } = error { Reading::Gap } else { Reading::Refused };
        }
        // Entries that peers sent after the read was sent may not be part of its result.
        let expected = from..=have.min(from + 1);
        let found = |version| pairs.iter().any(|pair| pair.key == entry::key(version));
        if let Some(version) = expected.rev().find(|version| !found(*version)) {
            return Reading::Missing(Missing { version, sent: Some(sent) });
        }
        self.process_decision_records(pairs);
        if pairs.len() >= BATCH {
            return Reading::More;
        }
        self.record_confirmation(sent);
        self.unreadable = None;
        self.mark_ready(now, actions);
        Reading::Current
    }

    /// Processes entries that a submission has read from the log.
    pub(crate) fn process_submission_read(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
    ) -> (Reading, Vec<Action>) {
        let before = self.known_versions();
        let mut actions = Vec::new();
        let reading = self.process_log_read(now, sent, from, pairs, &mut actions);
        match reading {
            Reading::Current | Reading::More => {}
            // The follower's own task loads or repairs what is missing.
            Reading::Gap | Reading::Missing(_) | Reading::Refused => self.store.confirm_soon(now),
        }
        self.report_changes(now, before, &mut actions);
        (reading, actions)
    }

    /// Applies entries in order and returns the first error.
    fn apply_pairs(&mut self, pairs: &[Pair]) -> Option<Error> {
        pairs.iter().find_map(|pair| {
            let version = entry::version(&pair.key)?;
            self.apply_entry(version, &pair.value).err()
        })
    }

    fn handle_load_head(
        &mut self,
        now: Instant,
        after_gap: bool,
        pairs: &[Pair],
    ) -> Option<Action> {
        let Some(pair) = pairs.first() else {
            return self.load_without_snapshot(now, after_gap);
        };
        match Head::decode(&pair.value) {
            Ok(head) if head.version > self.newest() => {
                Some(self.read_shard(now, head, 0, Vec::new()))
            }
            Ok(_) => self.load_without_snapshot(now, after_gap),
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.back_off(now);
                None
            }
        }
    }

    /// Continues without a newer snapshot. If the log has a gap, a router that has the entries repairs the
    /// store, or peers send them.
    fn load_without_snapshot(&mut self, now: Instant, after_gap: bool) -> Option<Action> {
        if after_gap || self.ready {
            self.back_off_for(now, GAP_BACKOFF);
            return None;
        }
        Some(self.start_confirmation(now))
    }

    fn read_shard(&mut self, now: Instant, head: Head, shard: u32, bytes: Vec<u8>) -> Action {
        let request = Request::read(&head.shard_key(shard));
        self.start_call(now, Task::LoadShard { head, shard, bytes }, request)
    }

    fn handle_load_shard(
        &mut self,
        now: Instant,
        head: Head,
        shard: u32,
        mut bytes: Vec<u8>,
        pairs: &[Pair],
    ) -> Option<Action> {
        let Some(pair) = pairs.first() else {
            // A newer snapshot has replaced this one.
            self.back_off(now);
            return None;
        };
        bytes.extend_from_slice(&pair.value);
        if shard + 1 < head.shards {
            return Some(self.read_shard(now, head, shard + 1, bytes));
        }
        match head.decode_snapshot(&bytes) {
            Ok(snapshot) => {
                self.store.snapshot_version = Some(snapshot.version);
                self.install_snapshot(snapshot);
                Some(self.start_confirmation(now))
            }
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.back_off(now);
                None
            }
        }
    }

    /// Processes a watch event. Events may be late, duplicated or out of order.
    pub fn watched(&mut self, now: Instant, event: &Watched) -> Vec<Action> {
        let mut actions = Vec::new();
        let before = self.known_versions();
        match event {
            Watched::Changed(pairs) => {
                for pair in pairs {
                    self.revision = self.revision.max(pair.revision);
                }
                if let Some(error) = self.apply_pairs(pairs) {
                    self.record_error(&error, &mut actions);
                    self.store.confirm_soon(now);
                }
            }
            Watched::Broken => {
                self.watch = None;
                let pause = MIN_BACKOFF.saturating_mul(1 << self.watch_failures.min(5));
                self.watch_failures += 1;
                self.watch_backoff_until = now + self.jittered(pause.min(MAX_WATCH_BACKOFF));
                self.store.confirm_soon(now);
            }
        }
        self.report_changes(now, before, &mut actions);
        self.update_watch(now, &mut actions);
        actions
    }

    /// Moves the watch to the key of the next entry, if this router is a watcher.
    pub(super) fn update_watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let wanted = self.rank.is_some() && self.ready;
        let key = wanted.then(|| entry::key(self.newest() + 1));
        let watched = self.watch.as_ref().map(|watch| &watch.key);
        if watched == key.as_ref() || (key.is_some() && now < self.watch_backoff_until) {
            return;
        }
        self.watch = key.map(|key| Watch { key, from_revision: self.revision + 1 });
        actions.push(Action::Watch(self.watch.clone()));
    }
}

/// The request that reads the entries from a version on.
pub(crate) fn log_request(from: u64) -> Request {
    Request::Range { start: entry::key(from), end: entry::key(u64::MAX), limit: BATCH }
}
