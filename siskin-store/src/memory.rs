//! Fake store in memory, with the behaviour of the service and faults on command.

use {
    crate::{
        Change, Entry, Error, Found, Lease, LeaseId, Page, Range, Revision, Scope, Span, Watched,
        Write,
        count::{Counters, Counts, Kind},
    },
    bytes::Bytes,
    std::{
        collections::BTreeMap,
        ops::Bound,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::watch, time::Instant},
};

/// The store; clones share their content. Time is that of `tokio`, so it can be paused in tests.
///
/// ```
/// use siskin_store::{Effect, Store as _, Write, memory::{Faults, Store}};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let store = Store::default();
/// store.set(Faults { lose_answers: 1, ..Faults::default() });
/// let lost = store.create("k", b"v", None).await.unwrap_err();
/// assert_eq!(lost.effect(), Effect::Unknown);
/// assert!(store.get("k").await.unwrap().entry.is_some());
/// # });
/// ```
#[derive(Clone, Debug, Default)]
pub struct Store {
    shared: Arc<Shared>,
}

/// Faults of the fake.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Calls end as [`Error::Unreachable`]; waiting watches break.
    pub down: bool,
    /// The next calls that write take effect but end as [`Error::Unanswered`].
    pub lose_answers: u32,
    /// The next calls that write have no effect, but end as [`Error::Unanswered`] as well.
    pub lose_calls: u32,
    /// Added time to every answer.
    pub slow: Duration,
    /// Added time to every change that a watch delivers.
    pub late_watch: Duration,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    faults: Mutex<Faults>,
    counters: Counters,
    /// Bumped by every change of the table or the faults, for watches that wait.
    changed: watch::Sender<u64>,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            faults: Mutex::default(),
            counters: Counters::default(),
            changed: watch::Sender::new(0),
        }
    }
}

#[derive(Debug, Default)]
struct Table {
    head: Revision,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Held>,
    last_lease: u64,
    history: Vec<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    ttl: Duration,
    until: Instant,
}

impl Store {
    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        *crate::lock(&self.shared.faults) = faults;
        self.wake();
    }

    /// Returns to the state at an earlier revision, as a restore from a backup does.
    pub fn roll_back(&self, revision: Revision) {
        crate::lock(&self.shared.table).roll_back(revision);
        self.wake();
    }

    /// Calls by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counters.counts()
    }

    /// Revision of the last change.
    #[must_use]
    pub fn head(&self) -> Revision {
        crate::lock(&self.shared.table).head
    }

    fn wake(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Runs a call under the faults in force.
    async fn call<T>(
        &self,
        kind: Kind,
        run: impl FnOnce(&mut Table) -> Result<T, Error> + Send,
    ) -> Result<T, Error> {
        self.shared.counters.sent(kind);
        let result = self.faulty(kind, run).await;
        self.shared.counters.ended(kind, &result);
        result
    }

    async fn faulty<T>(
        &self,
        kind: Kind,
        run: impl FnOnce(&mut Table) -> Result<T, Error> + Send,
    ) -> Result<T, Error> {
        let faults = *crate::lock(&self.shared.faults);
        if faults.down {
            return Err(down());
        }
        let writes = !matches!(kind, Kind::Get | Kind::Range | Kind::Watch);
        if writes && self.count_down(|faults| &mut faults.lose_calls) {
            return Err(lost("the call was lost"));
        }
        let result = {
            let mut table = crate::lock(&self.shared.table);
            table.expire(Instant::now());
            run(&mut table)
        };
        self.wake();
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if writes && self.count_down(|faults| &mut faults.lose_answers) {
            return Err(lost("the answer was lost"));
        }
        result
    }

    fn count_down(&self, counter: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = crate::lock(&self.shared.faults);
        let counter = counter(&mut faults);
        let armed = *counter > 0;
        *counter = counter.saturating_sub(1);
        armed
    }

    /// Waits for changes until the deadline.
    async fn wait(
        &self,
        scope: Scope<'_>,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let mut changed = self.shared.changed.subscribe();
        let deadline = Instant::now() + wait;
        loop {
            let faults = *crate::lock(&self.shared.faults);
            if faults.down {
                return Err(lost("the watch broke"));
            }
            let (watched, expiry) = {
                let mut table = crate::lock(&self.shared.table);
                table.expire(Instant::now());
                (table.watched(scope, from), table.next_expiry())
            };
            if !watched.changes.is_empty() {
                tokio::time::sleep(faults.late_watch).await;
                return Ok(watched);
            }
            let until = expiry.map_or(deadline, |expiry| expiry.min(deadline));
            let timed_out = tokio::time::timeout_at(until, changed.changed()).await.is_err();
            if timed_out && until == deadline {
                return Ok(watched);
            }
        }
    }
}

impl crate::Store for Store {
    async fn get(&self, key: &str) -> Result<Found, Error> {
        let read =
            |table: &mut Table| Ok(Found { entry: table.keys.get(key).cloned(), head: table.head });
        self.call(Kind::Get, read).await
    }

    async fn range(&self, range: Range<'_>) -> Result<Page, Error> {
        self.call(Kind::Range, |table| Ok(table.page(range))).await
    }

    async fn span(&self, span: Span<'_>) -> Result<Page, Error> {
        self.call(Kind::Range, |table| Ok(table.span(span))).await
    }

    async fn clear(&self, span: Span<'_>) -> Result<(), Error> {
        let clear = |table: &mut Table| {
            table.clear(span);
            Ok(())
        };
        self.call(Kind::Delete, clear).await
    }

    async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_size(value)?;
        let write = |table: &mut Table| table.swap(key, Revision::ABSENT, value, lease);
        self.call(Kind::Create, write).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        crate::check_size(value)?;
        self.call(Kind::Swap, |table| table.swap(key, expected, value, lease)).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<Write, Error> {
        self.call(Kind::Delete, |table| Ok(table.delete(key, expected))).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.call(Kind::Grant, |table| Ok(table.grant(ttl, Instant::now()))).await
    }

    async fn keep_alive(&self, id: LeaseId) -> Result<Lease, Error> {
        self.call(Kind::KeepAlive, |table| table.keep_alive(id, Instant::now())).await
    }

    async fn revoke(&self, id: LeaseId) -> Result<(), Error> {
        self.call(Kind::Revoke, |table| table.revoke(id)).await
    }

    async fn watch(
        &self,
        scope: Scope<'_>,
        from: Revision,
        wait: Duration,
    ) -> Result<Watched, Error> {
        let from = if from == Revision::ABSENT { self.head().next() } else { from };
        self.call(Kind::Watch, |_| Ok(())).await?;
        let result = self.wait(scope, from, wait).await;
        self.shared.counters.ended(Kind::Watch, &result);
        result
    }
}

impl Table {
    fn span(&self, span: Span<'_>) -> Page {
        let limit = if span.limit == 0 { usize::MAX } else { span.limit as usize };
        let mut found =
            self.keys.range::<str, _>((Bound::Included(span.start), Bound::Excluded(span.end)));
        let entries = found.by_ref().take(limit).map(|(_, entry)| entry.clone()).collect();
        Page { entries, more: found.next().is_some(), head: self.head }
    }

    fn clear(&mut self, span: Span<'_>) {
        let found =
            self.keys.range::<str, _>((Bound::Included(span.start), Bound::Excluded(span.end)));
        let keys: Vec<String> = found.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.head = self.head.next();
        }
        for key in &keys {
            self.remove(key);
        }
    }

    fn page(&self, range: Range<'_>) -> Page {
        let start = match range.after {
            Some(after) if after >= range.prefix => Bound::Excluded(after),
            _ => Bound::Included(range.prefix),
        };
        let found = self.keys.range::<str, _>((start, Bound::Unbounded));
        let mut found = found.map(|(_, entry)| entry);
        let limit = if range.limit == 0 { usize::MAX } else { range.limit as usize };
        let mut entries = Vec::new();
        let more = loop {
            match found.next().filter(|entry| entry.key.starts_with(range.prefix)) {
                None => break false,
                Some(_) if entries.len() == limit => break true,
                Some(entry) => entries.push(entry.clone()),
            }
        };
        Page { entries, more, head: self.head }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: Revision,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Write, Error> {
        if let Some(lease) = lease.filter(|lease| !self.leases.contains_key(lease)) {
            return Err(Error::LeaseGone { lease });
        }
        if let Some(conflict) = self.conflict(key, expected) {
            return Ok(conflict);
        }
        self.head = self.head.next();
        let revision = self.head;
        let value = Bytes::copy_from_slice(value);
        let entry = Entry { key: key.to_owned(), value, revision, lease };
        self.keys.insert(key.to_owned(), entry.clone());
        self.history.push(Change { key: key.to_owned(), entry: Some(entry), revision });
        Ok(Write::Applied { revision })
    }

    fn delete(&mut self, key: &str, expected: Revision) -> Write {
        if let Some(conflict) = self.conflict(key, expected) {
            return conflict;
        }
        if self.keys.contains_key(key) {
            self.head = self.head.next();
            self.remove(key);
        }
        Write::Applied { revision: self.head }
    }

    /// Deletes a key at the current revision.
    fn remove(&mut self, key: &str) {
        self.keys.remove(key);
        self.history.push(Change { key: key.to_owned(), entry: None, revision: self.head });
    }

    fn conflict(&self, key: &str, expected: Revision) -> Option<Write> {
        let current = self.keys.get(key);
        let revision = current.map_or(Revision::ABSENT, |entry| entry.revision);
        (revision != expected)
            .then(|| Write::Conflict { current: current.cloned(), head: self.head })
    }

    fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        let ttl = Duration::from_secs(ttl.as_secs().max(1));
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        self.leases.insert(id, Held { ttl, until: now + ttl });
        Lease { id, ttl, head: self.head }
    }

    fn keep_alive(&mut self, id: LeaseId, now: Instant) -> Result<Lease, Error> {
        let held = self.leases.get_mut(&id).ok_or(Error::LeaseGone { lease: id })?;
        held.until = now + held.ttl;
        Ok(Lease { id, ttl: held.ttl, head: self.head })
    }

    fn revoke(&mut self, id: LeaseId) -> Result<(), Error> {
        self.leases.remove(&id).ok_or(Error::LeaseGone { lease: id })?;
        let held = self.keys.values().filter(|entry| entry.lease == Some(id));
        let keys: Vec<_> = held.map(|entry| entry.key.clone()).collect();
        if !keys.is_empty() {
            self.head = self.head.next();
        }
        for key in keys {
            self.remove(&key);
        }
        Ok(())
    }

    fn expire(&mut self, now: Instant) {
        let over = self.leases.iter().filter(|(_, held)| held.until <= now);
        let over: Vec<_> = over.map(|(id, _)| *id).collect();
        for id in over {
            let _ = self.revoke(id);
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|held| held.until).min()
    }

    fn watched(&self, scope: Scope<'_>, from: Revision) -> Watched {
        let start = self.history.partition_point(|change| change.revision < from);
        let selected = self.history[start..].iter().filter(|change| scope.includes(&change.key));
        let changes: Vec<_> = selected.cloned().collect();
        let next = changes.last().map_or(from, |change| change.revision.next());
        Watched { changes, next, head: self.head }
    }

    fn roll_back(&mut self, revision: Revision) {
        self.history.retain(|change| change.revision <= revision);
        self.head = self.head.min(revision);
        self.keys.clear();
        for change in &self.history {
            match &change.entry {
                Some(entry) => self.keys.insert(change.key.clone(), entry.clone()),
                None => self.keys.remove(&change.key),
            };
        }
    }
}

fn down() -> Error {
    Error::Unreachable { cause: "the fake is down".to_owned() }
}

fn lost(cause: &str) -> Error {
    Error::Unanswered { cause: cause.to_owned() }
}
