//! Calls to the store, one at a time: loading, confirming and watching.

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

/// Time after which a call without an answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// First and longest pause after a failed call.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// Longest pause after a failed watch. Reads confirm the version meanwhile.
const MAX_WATCH_PAUSE: Duration = Duration::from_secs(2);

/// Failed calls in a row after which a task is given up and begins anew.
const MAX_REPEATS: u32 = 5;

/// Pause after a gap in the log that no snapshot fills.
const GAP_PAUSE: Duration = Duration::from_secs(2);

/// Time between two checks whether a divergence has been resolved. Routers that are not watchers
/// check less often, because their number grows with the fleet.
const RECHECK_INTERVAL: Duration = Duration::from_secs(10);
const RECHECK_INTERVAL_OTHERS: Duration = Duration::from_secs(60);

/// What the running call is for.
#[derive(Debug)]
pub(super) enum Task {
    /// Reads the entry in force and those after it.
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
    /// Reads the head of the snapshot, to see whether a new one is due.
    MaintainHead,
    /// Writes a shard of a new snapshot.
    WriteShard(Writing, u32),
    /// Writes the head of a new snapshot.
    WriteHead(Writing),
    /// Reads a shard, to see whether it is still there.
    CheckShard { head: Head, revision: u64, shard: u32 },
    /// Deletes the shards of earlier snapshots.
    CleanShards { base: u64 },
    /// Looks for the oldest entry in the log.
    CleanOldest { base: u64 },
    /// Deletes old entries.
    CleanLog { base: u64 },
    /// Creates the record that the newest entry is decided.
    RecordDecision,
}

/// A snapshot that is being written.
#[derive(Debug)]
pub(super) struct Writing {
    pub(super) head: Head,
    pub(super) bytes: Arc<[u8]>,
    /// Revision of the head that is replaced.
    pub(super) revision: u64,
    /// Whether it repairs a store that lost entries.
    pub(super) repair: bool,
}

#[derive(Debug)]
struct Running {
    number: u64,
    sent: Instant,
    task: Task,
    request: Request,
}

impl Task {
    /// Whether the call is repeated after a lost answer. Without that, a long repair over a lossy path
    /// would begin anew each time. Every repetition is harmless: creations and swaps take effect once.
    /// A read of the log is made anew, because the version in force may have changed.
    const fn is_repeated(&self) -> bool {
        !matches!(self, Self::Confirm { .. })
    }
}

/// State of the calls.
#[derive(Debug, Default)]
pub(super) struct Progress {
    next_number: u64,
    running: Option<Running>,
    /// The call to repeat after the pause.
    repeat: Option<(Task, Request)>,
    failures: u32,
    /// No call is made before this instant.
    paused_until: Instant,
    confirm_at: Instant,
    recheck_at: Instant,
    /// Whether the last comparison of all entries found no difference.
    recheck_passed: bool,
    /// Whether the running repair has created an entry.
    pub(super) created: bool,
    /// Whether the shards of the snapshot must be looked for, because the store lost entries.
    pub(super) check_shards: bool,
    /// Version of the latest snapshot in the store, if known.
    pub(super) base: Option<u64>,
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

/// What is missing from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Missing {
    /// The newest version that is missing.
    pub(crate) version: u64,
    /// When the read was sent that found nothing newer than the version in force.
    pub(super) sent: Option<Instant>,
}

/// What a read of the log showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reading {
    /// The version in force is the newest.
    Current,
    /// There may be more entries.
    More,
    /// Entries between the version in force and those read are no longer in the log.
    Gap,
    /// The entry in force or the one before it is missing from the log.
    Missing(Missing),
    /// An entry was not applied.
    Refused,
}

impl Follower {
    pub(super) fn call(&mut self, now: Instant, task: Task, request: Request) -> Action {
        let number = self.store.next_number;
        self.store.next_number += 1;
        self.store.running = Some(Running { number, sent: now, task, request: request.clone() });
        Action::Store(Call { number, request })
    }

    pub(super) fn expire_call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let running = self.store.running.as_ref();
        let late = running.filter(|running| now - running.sent >= CALL_TIMEOUT);
        if let Some(number) = late.map(|running| running.number) {
            actions.extend(self.stored(now, number, Answer::Unknown));
        }
    }

    /// Starts the most urgent task if no call is running.
    pub(super) fn start_task(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.store.running.is_some() || now < self.store.paused_until {
            return;
        }
        if let Some((task, request)) = self.store.repeat.take() {
            actions.push(self.call(now, task, request));
            return;
        }
        if !self.ready {
            let waited = self.started.is_some_and(|started| now - started >= PEER_WAIT);
            if self.rank.is_some() || waited {
                actions.push(self.load(now, false));
            }
            return;
        }
        if self.divergence.is_some() && now >= self.store.recheck_at {
            let others = self.rank.is_none();
            let interval = if others { RECHECK_INTERVAL_OTHERS } else { RECHECK_INTERVAL };
            self.store.recheck_at = now + interval;
            let all = Missing { version: u64::MAX, sent: None };
            actions.push(self.repair(now, all));
            return;
        }
        if self.rank.is_none() {
            return;
        }
        if now >= self.store.confirm_at {
            actions.push(self.confirm_by_store(now));
            return;
        }
        if let Some(action) = self.record_decision(now) {
            actions.push(action);
            return;
        }
        if self.store.check_shards || self.maintenance_due(now) {
            actions.push(self.maintain(now));
        }
    }

    pub(super) fn load(&mut self, now: Instant, after_gap: bool) -> Action {
        self.call(now, Task::LoadHead { after_gap }, Request::read(HEAD_KEY))
    }

    pub(super) fn confirm_by_store(&mut self, now: Instant) -> Action {
        self.store.confirm_at = now + CONFIRM_INTERVAL;
        let from = self.read_from();
        self.call(now, Task::Confirm { from }, log_read(from))
    }

    /// The first version that a read of the log asks for. It includes the entry before the one in
    /// force: a submission that was under way when the store lost its latest entries can create one
    /// entry after a gap, and no more than one, because the next submission sees the gap.
    pub(crate) fn read_from(&self) -> u64 {
        self.newest().saturating_sub(1).max(1)
    }

    /// Takes the answer to a call.
    pub fn stored(&mut self, now: Instant, number: u64, answer: Answer) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(running) = self.store.running.take_if(|running| running.number == number) else {
            return actions;
        };
        if answer == Answer::Unknown {
            let repeated = running.task.is_repeated() && self.store.failures < MAX_REPEATS;
            self.store.repeat = repeated.then_some((running.task, running.request));
            self.pause(now);
            return actions;
        }
        self.store.failures = 0;
        self.watch_failures = 0;
        if let Answer::Range { revision, .. } = answer {
            // A store that was rolled back counts its revisions from an earlier one again.
            self.revision = revision;
        }
        let before = self.mark();
        let next = self.advance(now, running.sent, running.task, answer, &mut actions);
        actions.extend(next);
        self.after_change(now, before, &mut actions);
        actions
    }

    /// Waits before the next call, longer after each failure.
    pub(super) fn pause(&mut self, now: Instant) {
        let pause = MIN_PAUSE.saturating_mul(1 << self.store.failures.min(6)).min(MAX_PAUSE);
        self.store.failures += 1;
        self.pause_for(now, pause);
    }

    fn pause_for(&mut self, now: Instant, pause: Duration) {
        let pause = self.jittered(pause);
        self.store.paused_until = now + pause;
        self.store.confirm_at = self.store.paused_until;
    }

    /// Goes on with a task and returns its next call.
    fn advance(
        &mut self,
        now: Instant,
        sent: Instant,
        task: Task,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        match (task, answer) {
            (Task::Confirm { from }, Answer::Range { pairs, .. }) => {
                self.confirmed_by_store(now, sent, from, &pairs, actions)
            }
            (Task::LoadHead { after_gap }, Answer::Range { pairs, .. }) => {
                self.load_head(now, after_gap, &pairs)
            }
            (Task::LoadShard { head, shard, bytes }, Answer::Range { pairs, .. }) => {
                self.load_shard(now, head, shard, bytes, &pairs)
            }
            (Task::RepairHead(missing), Answer::Range { pairs, .. }) => {
                self.repair_head(now, missing, &pairs, actions)
            }
            (Task::RepairRead { next }, Answer::Range { pairs, .. }) => {
                self.repair_read(now, next, &pairs, actions)
            }
            (Task::RepairCreate { next }, Answer::Created(created)) => {
                self.repair_created(now, next, created)
            }
            (Task::MaintainHead, Answer::Range { pairs, .. }) => self.maintain_head(now, &pairs),
            (Task::WriteShard(writing, shard), Answer::Created(_)) => {
                Some(self.write(now, writing, shard + 1))
            }
            (Task::WriteHead(writing), Answer::Swapped(swapped)) => {
                self.written(now, &writing, swapped)
            }
            (Task::CleanOldest { base }, Answer::Range { pairs, .. }) => {
                self.clean_log(now, base, &pairs)
            }
            (Task::CheckShard { head, revision, shard }, Answer::Range { pairs, .. }) => {
                self.shard_checked(now, head, revision, shard, &pairs)
            }
            (Task::CleanShards { base } | Task::CleanLog { base }, Answer::Deleted) => {
                Some(self.clean_oldest(now, base))
            }
            (Task::RecordDecision, Answer::Created(_)) => None,
            // The answer does not belong to the request; the next task starts afresh.
            _ => {
                self.pause(now);
                None
            }
        }
    }

    fn confirmed_by_store(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Option<Action> {
        match self.log_read(now, sent, from, pairs, actions) {
            Reading::Current => {
                if self.store.recheck_passed {
                    self.divergence = None;
                }
                None
            }
            Reading::More => Some(self.confirm_by_store(now)),
            Reading::Gap => Some(self.load(now, true)),
            Reading::Missing(_) if self.divergence.is_some() => None,
            Reading::Missing(missing) => Some(self.repair(now, missing)),
            Reading::Refused => None,
        }
    }

    /// Takes entries read from the log, beginning with `from`. `sent` is when the read was sent: what
    /// it shows was the newest state at some time after that.
    pub(crate) fn log_read(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
        actions: &mut Vec<Action>,
    ) -> Reading {
        let have = self.newest();
        if let Some(error) = self.apply_pairs(pairs) {
            self.failed(&error, actions);
            return if let Error::Gap { .. } = error { Reading::Gap } else { Reading::Refused };
        }
        // A read that was sent before several entries came from peers says nothing of the last ones.
        let expected = from..=have.min(from + 1);
        let found = |version| pairs.iter().any(|pair| pair.key == entry::key(version));
        if let Some(version) = expected.rev().find(|version| !found(*version)) {
            return Reading::Missing(Missing { version, sent: Some(sent) });
        }
        self.records_read(pairs);
        if pairs.len() >= BATCH {
            return Reading::More;
        }
        self.confirm(sent);
        self.unreadable = None;
        self.loaded(now, actions);
        Reading::Current
    }

    /// Takes entries that a submission has read from the log.
    pub(crate) fn read_for_patch(
        &mut self,
        now: Instant,
        sent: Instant,
        from: u64,
        pairs: &[Pair],
    ) -> (Reading, Vec<Action>) {
        let before = self.mark();
        let mut actions = Vec::new();
        let reading = self.log_read(now, sent, from, pairs, &mut actions);
        match reading {
            Reading::Current | Reading::More => {}
            // The follower's own task loads or repairs what is missing.
            Reading::Gap | Reading::Missing(_) | Reading::Refused => self.store.confirm_soon(now),
        }
        self.after_change(now, before, &mut actions);
        (reading, actions)
    }

    /// Applies entries in order and returns the first error.
    fn apply_pairs(&mut self, pairs: &[Pair]) -> Option<Error> {
        pairs.iter().find_map(|pair| {
            let version = entry::version(&pair.key)?;
            self.apply(version, &pair.value).err()
        })
    }

    fn load_head(&mut self, now: Instant, after_gap: bool, pairs: &[Pair]) -> Option<Action> {
        let Some(pair) = pairs.first() else {
            return self.load_none(now, after_gap);
        };
        match Head::decode(&pair.value) {
            Ok(head) if head.version > self.newest() => {
                Some(self.load_next(now, head, 0, Vec::new()))
            }
            Ok(_) => self.load_none(now, after_gap),
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.pause(now);
                None
            }
        }
    }

    /// There is no newer snapshot. If the log has a gap, the store is being repaired by a router that
    /// has the entries, or peers send them.
    fn load_none(&mut self, now: Instant, after_gap: bool) -> Option<Action> {
        if after_gap || self.ready {
            self.pause_for(now, GAP_PAUSE);
            return None;
        }
        Some(self.confirm_by_store(now))
    }

    fn load_next(&mut self, now: Instant, head: Head, shard: u32, bytes: Vec<u8>) -> Action {
        let request = Request::read(&head.shard_key(shard));
        self.call(now, Task::LoadShard { head, shard, bytes }, request)
    }

    fn load_shard(
        &mut self,
        now: Instant,
        head: Head,
        shard: u32,
        mut bytes: Vec<u8>,
        pairs: &[Pair],
    ) -> Option<Action> {
        let Some(pair) = pairs.first() else {
            // A newer snapshot has taken the place of this one.
            self.pause(now);
            return None;
        };
        bytes.extend_from_slice(&pair.value);
        if shard + 1 < head.shards {
            return Some(self.load_next(now, head, shard + 1, bytes));
        }
        match head.open(&bytes) {
            Ok(snapshot) => {
                self.store.base = Some(snapshot.version);
                self.install_snapshot(snapshot);
                Some(self.confirm_by_store(now))
            }
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.pause(now);
                None
            }
        }
    }

    /// Takes what a watch reported. Events may be late, repeated or out of order.
    pub fn watched(&mut self, now: Instant, event: &Watched) -> Vec<Action> {
        let mut actions = Vec::new();
        let before = self.mark();
        match event {
            Watched::Changed(pairs) => {
                for pair in pairs {
                    self.revision = self.revision.max(pair.revision);
                }
                if let Some(error) = self.apply_pairs(pairs) {
                    self.failed(&error, &mut actions);
                    self.store.confirm_soon(now);
                }
            }
            Watched::Broken => {
                self.watch = None;
                let pause = MIN_PAUSE.saturating_mul(1 << self.watch_failures.min(5));
                self.watch_failures += 1;
                self.watch_after = now + self.jittered(pause.min(MAX_WATCH_PAUSE));
                self.store.confirm_soon(now);
            }
        }
        self.after_change(now, before, &mut actions);
        self.update_watch(now, &mut actions);
        actions
    }

    /// Keeps the watch on the next key, if this router is a watcher.
    pub(super) fn update_watch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let wanted = self.rank.is_some() && self.ready;
        let key = wanted.then(|| entry::key(self.newest() + 1));
        let watched = self.watch.as_ref().map(|watch| &watch.key);
        if watched == key.as_ref() || (key.is_some() && now < self.watch_after) {
            return;
        }
        self.watch = key.map(|key| Watch { key, from_revision: self.revision + 1 });
        actions.push(Action::Watch(self.watch.clone()));
    }
}

/// Reads the entries from a version on.
pub(crate) fn log_read(from: u64) -> Request {
    Request::Range { start: entry::key(from), end: entry::key(u64::MAX), limit: BATCH }
}
