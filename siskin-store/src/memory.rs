//! In-memory fake of the store for tests, with the behaviour of the service and injected faults.

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

/// The fake store; clones share their content. It uses the clock of `tokio`, which tests can pause.
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

/// Injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// All calls fail with [`Error::Unreachable`]; pending watches fail.
    pub down: bool,
    /// Number of next writes that take effect but fail with [`Error::Unanswered`].
    pub lose_answers: u32,
    /// Number of next writes that have no effect and fail with [`Error::Unanswered`].
    pub lose_calls: u32,
    /// Delay added to every response.
    pub slow: Duration,
    /// Delay added before a watch delivers its changes.
    pub late_watch: Duration,
}

#[derive(Debug)]
struct Shared {
    table: Mutex<Table>,
    faults: Mutex<Faults>,
    counters: Counters,
    /// Incremented after every call and every change of the faults, to wake pending watches.
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
    leases: BTreeMap<LeaseId, Expiry>,
    last_lease: u64,
    history: Vec<Change>,
}

#[derive(Clone, Copy, Debug)]
struct Expiry {
    ttl: Duration,
    expires: Instant,
}

impl Store {
    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        *crate::lock(&self.shared.faults) = faults;
        self.wake_watches();
    }

    /// Rolls back to the state at an earlier revision, like a restore from a backup.
    pub fn roll_back(&self, revision: Revision) {
        crate::lock(&self.shared.table).roll_back(revision);
        self.wake_watches();
    }

    /// Counters of calls by kind.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counters.snapshot()
    }

    /// Revision of the last change.
    #[must_use]
    pub fn head(&self) -> Revision {
        crate::lock(&self.shared.table).head
    }

    /// Wakes the pending watches.
    fn wake_watches(&self) {
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Executes a call with the injected faults and counts it.
    async fn call<T>(
        &self,
        kind: Kind,
        run: impl FnOnce(&mut Table) -> Result<T, Error> + Send,
    ) -> Result<T, Error> {
        self.shared.counters.count_sent(kind);
        let result = self.run_with_faults(kind, run).await;
        self.shared.counters.count_error(kind, &result);
        result
    }

    async fn run_with_faults<T>(
        &self,
        kind: Kind,
        run: impl FnOnce(&mut Table) -> Result<T, Error> + Send,
    ) -> Result<T, Error> {
        let faults = *crate::lock(&self.shared.faults);
        if faults.down {
            return Err(unreachable());
        }
        let writes = !matches!(kind, Kind::Get | Kind::Range | Kind::Watch);
        if writes && self.consume_fault(|faults| &mut faults.lose_calls) {
            return Err(unanswered("the call was lost"));
        }
        let result = {
            let mut table = crate::lock(&self.shared.table);
            table.revoke_expired(Instant::now());
            run(&mut table)
        };
        self.wake_watches();
        if !faults.slow.is_zero() {
            tokio::time::sleep(faults.slow).await;
        }
        if writes && self.consume_fault(|faults| &mut faults.lose_answers) {
            return Err(unanswered("the answer was lost"));
        }
        result
    }

    /// Decrements a fault counter; returns whether the fault applies to this call.
    fn consume_fault(&self, counter: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = crate::lock(&self.shared.faults);
        let counter = counter(&mut faults);
        let active = *counter > 0;
        *counter = counter.saturating_sub(1);
        active
    }

    /// Waits at most `wait` for changes.
    async fn wait_for_changes(
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
                return Err(unanswered("the watch broke"));
            }
            let (watched, expiry) = {
                let mut table = crate::lock(&self.shared.table);
                table.revoke_expired(Instant::now());
                (table.changes_from(scope, from), table.next_expiry())
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
        crate::check_value_size(value)?;
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
        crate::check_value_size(value)?;
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
        let result = self.wait_for_changes(scope, from, wait).await;
        self.shared.counters.count_error(Kind::Watch, &result);
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
            self.remove_key(key);
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
            self.remove_key(key);
        }
        Write::Applied { revision: self.head }
    }

    /// Deletes a key and records the change at the current revision.
    fn remove_key(&mut self, key: &str) {
        self.keys.remove(key);
        self.history.push(Change { key: key.to_owned(), entry: None, revision: self.head });
    }

    /// The conflict if the key was not last changed at `expected`.
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
        self.leases.insert(id, Expiry { ttl, expires: now + ttl });
        Lease { id, ttl, head: self.head }
    }

    fn keep_alive(&mut self, id: LeaseId, now: Instant) -> Result<Lease, Error> {
        let expiry = self.leases.get_mut(&id).ok_or(Error::LeaseGone { lease: id })?;
        expiry.expires = now + expiry.ttl;
        Ok(Lease { id, ttl: expiry.ttl, head: self.head })
    }

    fn revoke(&mut self, id: LeaseId) -> Result<(), Error> {
        self.leases.remove(&id).ok_or(Error::LeaseGone { lease: id })?;
        let attached = self.keys.values().filter(|entry| entry.lease == Some(id));
        let keys: Vec<_> = attached.map(|entry| entry.key.clone()).collect();
        if !keys.is_empty() {
            self.head = self.head.next();
        }
        for key in keys {
            self.remove_key(&key);
        }
        Ok(())
    }

    /// Revokes the leases that have expired.
    fn revoke_expired(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, expiry)| expiry.expires <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let _ = self.revoke(id);
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|expiry| expiry.expires).min()
    }

    fn changes_from(&self, scope: Scope<'_>, from: Revision) -> Watched {
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

fn unreachable() -> Error {
    Error::Unreachable { cause: "the fake is down".to_owned() }
}

fn unanswered(cause: &str) -> Error {
    Error::Unanswered { cause: cause.to_owned() }
}
