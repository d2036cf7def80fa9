//! Writes claims to the store in batches.

mod answer;
mod spill;

use {
    crate::{
        bucket::{self, Kind, Operation, Plan, Snapshot},
        cache::Cache,
        format::{self, BODY_LIMIT_BYTES, Head, Name, SegmentId, SegmentRef},
        key,
        rate::Limiter,
    },
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_types::{id::Node, time::Instant},
    siskin_wire::claim::{BodyHash, Decision, Key, Record, Token},
    std::{
        collections::{BTreeSet, VecDeque},
        mem::{self, discriminant},
        time::Duration,
    },
};

/// Settings of a writer.
#[derive(Clone, Debug)]
pub struct Options {
    /// The router it runs on.
    pub node: Node,
    /// That router's incarnation.
    pub incarnation: u64,
    /// Unix time at [`Instant::ZERO`], in milliseconds.
    pub unix_at_zero_ms: u64,
    /// Number of buckets; must be the same in the whole fleet.
    pub buckets: u8,
    /// Largest total size of the entries in a head, in bytes.
    pub head_bytes: usize,
    /// Size limit for merging entries into the last segment, in bytes.
    pub segment_bytes: usize,
    /// Longest time between the oldest and the newest claim of a segment.
    pub segment_span: Duration,
    /// Memory for cached contents of segments, in bytes; the indexes are not included.
    pub cache_bytes: usize,
    /// Longest time that a call may take. The outcome of an older claim without a record is unknown.
    pub max_call_duration: Duration,
    /// How long claims are stored.
    pub retention: Duration,
    /// Largest number of segments that expire with one write of a head.
    pub retention_batch: usize,
    /// Time between checks for expired segments in a bucket without traffic.
    pub retention_interval: Duration,
    /// Store writes allowed per second.
    pub writes_per_s: f64,
    /// Store writes allowed in a burst.
    pub write_burst: u32,
    /// Time after which an unconfirmed record or release is abandoned.
    pub settle_timeout: Duration,
    /// Largest number of pending operations; claims beyond it are refused.
    pub max_pending: usize,
    /// Initial and largest delay of the exponential backoff after failed store calls.
    pub backoff: (Duration, Duration),
    /// Seed of the jitter of these delays.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            node: Node(0),
            incarnation: 0,
            unix_at_zero_ms: 0,
            buckets: 64,
            head_bytes: 16 * 1_024,
            segment_bytes: 256 * 1_024,
            segment_span: Duration::from_secs(3_600),
            cache_bytes: 4 * 1_024 * 1_024,
            max_call_duration: Duration::from_secs(600),
            retention: Duration::from_secs(24 * 3_600),
            retention_batch: 16,
            retention_interval: Duration::from_secs(60),
            writes_per_s: 20.0,
            write_burst: 4,
            settle_timeout: Duration::from_secs(300),
            max_pending: 20_000,
            backoff: (Duration::from_millis(100), Duration::from_secs(5)),
            seed: 0,
        }
    }
}

/// Number of writes after which a pending removal takes precedence, so that retention makes progress under full
/// load.
const WRITES_PER_REMOVAL: u32 = 8;

/// Largest number of concurrent segment reads for one bucket, so that a writer that takes over a bucket neither
/// reads its segments one by one nor exhausts the store's read capacity.
const SEGMENT_READS_MAX: usize = 8;

/// Identifies a store call of this writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// Action that the caller of the writer must perform. The response to each store call must be passed to
/// [`Writer::handle_response`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a value.
    Read {
        /// The call.
        call: Call,
        /// The value's name.
        name: Name,
    },
    /// Write a value if its revision is still the expected one.
    Swap {
        /// The call.
        call: Call,
        /// The value's name.
        name: Name,
        /// Expected revision; zero if the value must be absent.
        expected: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Remove a value.
    Remove {
        /// The call.
        call: Call,
        /// The value's name.
        name: Name,
    },
    /// Report the decision on a claim made with [`Writer::claim`].
    Decide {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
        /// The decision.
        decision: Decision,
    },
    /// A record or release is in the store, or is no longer needed.
    Settled {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
    },
}

/// Response of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The value was read.
    Found {
        /// Its revision.
        revision: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// The value does not exist.
    Absent,
    /// The value was written.
    Swapped {
        /// Its new revision.
        revision: u64,
    },
    /// The revision was not the expected one.
    Conflict,
    /// The value was removed.
    Removed,
    /// There was no response; a write may have taken effect.
    Failed,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Values read.
    pub reads: u64,
    /// Values written.
    pub writes: u64,
    /// Values removed.
    pub removes: u64,
    /// Bytes written.
    pub bytes: u64,
    /// Writes of a head rejected because another writer had changed it.
    pub conflicts: u64,
    /// Store calls without a response.
    pub failures: u64,
    /// Claims granted.
    pub granted: u64,
    /// Claims refused as unavailable: past their deadline, or too many pending operations.
    pub unavailable: u64,
    /// Records and releases abandoned at their deadline.
    pub abandoned: u64,
}

/// A segment being written with the entries of a full head.
#[derive(Debug)]
struct Spill {
    reference: SegmentRef,
    value: Vec<u8>,
    /// The segment whose entries were merged into it.
    replaced: Option<SegmentId>,
    /// Revision of the head that it was built from.
    revision: u64,
    written: bool,
}

/// A store call whose response has not arrived yet.
#[derive(Debug)]
enum Outstanding {
    ReadHead { issued: Instant },
    WriteSegment,
    WriteHead { plan: Plan, issued: Instant },
}

#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools, reason = "independent conditions of one bucket")]
struct Bucket {
    snapshot: Option<Snapshot>,
    /// The head in the store may have changed; it must be read again before use.
    stale: bool,
    operations: IndexMap<u64, Operation>,
    outstanding: Option<(Call, Outstanding)>,
    spill: Option<Spill>,
    /// Segment of the last spill. Its name is not reused even if the spill was dropped.
    last_spilled: Option<SegmentId>,
    /// Whether this writer has tried to reserve a name for the next spill, though another writer may have replaced
    /// it since. Without this, two writers that compete for a full head would replace each other's reservation
    /// for ever.
    name_reserved: bool,
    /// Segments that were removed from the store but are still listed as garbage in the head.
    removed_segments: Vec<SegmentId>,
    failures: u32,
    retry_at: Option<Instant>,
    /// Whether it is in the queue of buckets that wait for the write rate limit.
    awaiting_write: bool,
    /// Time of the next check for expired segments; `None` while this writer does not own the bucket.
    next_expiry_at: Option<Instant>,
    /// Whether that check is due.
    expiry_due: bool,
}

/// State of the claim writer of one router.
///
/// ```
/// use {
///     siskin_claim::{key::Hasher, writer::{Action, Response, Options, Writer}},
///     siskin_types::{id::{Customer, Node, Request}, time::Instant},
///     siskin_wire::claim::{Decision, Token},
/// };
/// let hasher = Hasher::new(&[7; 32]);
/// let key = hasher.key(Customer(1), b"order-17");
/// let body = hasher.body("POST", "/orders", b"{}");
/// let token = Token(Request { node: Node(1), incarnation: 1, sequence: 1 });
/// let (now, deadline) = (Instant::from_micros(1), Instant::from_micros(5_000_000));
/// let mut writer = Writer::new(Options::default());
/// let actions = writer.claim(now, key, body, token, deadline);
/// let [Action::Read { call, .. }] = actions[..] else { panic!("{actions:?}") };
/// let actions = writer.handle_response(now, call, Response::Absent);
/// let [Action::Swap { call, expected: 0, .. }] = actions[..] else { panic!("{actions:?}") };
/// let actions = writer.handle_response(now, call, Response::Swapped { revision: 1 });
/// assert_eq!(actions, [Action::Decide { key, token, decision: Decision::Granted }]);
/// ```
#[derive(Debug)]
pub struct Writer {
    options: Options,
    rng: SmallRng,
    buckets: Vec<Bucket>,
    cache: Cache,
    write_limiter: Limiter,
    /// Buckets that wait for the write rate limit, first in, first out.
    write_queue: VecDeque<u8>,
    segment_reads: IndexMap<Call, (u8, SegmentId)>,
    pending_removals: VecDeque<Name>,
    removals_in_flight: IndexMap<Call, Name>,
    /// No removals are started before this time, because one failed.
    removals_paused_until: Option<Instant>,
    /// Writes since the last removal.
    writes_since_removal: u32,
    deadlines: BTreeSet<(Instant, u8, u64)>,
    pending: usize,
    last_call: u64,
    last_operation: u64,
    last_segment_sequence: u32,
    counts: Counts,
}

impl Writer {
    /// Makes a writer without any claims.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(options.seed),
            buckets: (0..options.buckets).map(|_| Bucket::default()).collect(),
            cache: Cache::new(options.cache_bytes),
            write_limiter: Limiter::new(options.writes_per_s, options.write_burst),
            write_queue: VecDeque::new(),
            segment_reads: IndexMap::new(),
            pending_removals: VecDeque::new(),
            removals_in_flight: IndexMap::new(),
            removals_paused_until: None,
            writes_since_removal: 0,
            deadlines: BTreeSet::new(),
            pending: 0,
            last_call: 0,
            last_operation: 0,
            last_segment_sequence: 0,
            counts: Counts::default(),
            options,
        }
    }

    /// Changes how many writes are allowed per second, for example when the number of writers changes.
    pub fn set_write_rate(&mut self, now: Instant, writes_per_s: f64) {
        self.write_limiter.set_rate(now, writes_per_s);
    }

    /// Changes how long claims are kept and how long a call may last. All writers of a fleet must use the same values.
    pub const fn set_limits(&mut self, retention: Duration, max_call_duration: Duration) {
        self.options.retention = retention;
        self.options.max_call_duration = max_call_duration;
    }

    /// Claims a key for an attempt; idempotent. A claim that passes its deadline is not released here, because
    /// another writer may have granted it, and only the router that made the attempt can tell.
    pub fn claim(
        &mut self,
        now: Instant,
        key: Key,
        body: BodyHash,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        if now >= deadline || self.pending >= self.options.max_pending {
            self.counts.unavailable += 1;
            return vec![Action::Decide { key, token, decision: Decision::Unavailable }];
        }
        let index = self.bucket_index(&key);
        let kind = Kind::Claim(body);
        if self.find_pending(index, &kind, &key, token).is_some() {
            return Vec::new();
        }
        self.insert_operation(now, index, kind, key, token, deadline);
        let mut actions = Vec::new();
        self.advance_bucket(now, index, &mut actions);
        actions
    }

    /// Records the result of a call whose claim the attempt holds. A body over [`BODY_LIMIT_BYTES`] is left out.
    pub fn record(&mut self, now: Instant, key: Key, token: Token, record: Record) -> Vec<Action> {
        let body = record.body.filter(|body| body.len() <= BODY_LIMIT_BYTES);
        let deadline = now + self.options.settle_timeout;
        self.submit_operation(now, Kind::Record(Record { body, ..record }), key, token, deadline)
    }

    /// Releases the claim of a call that did not run, whether or not the claim was granted.
    pub fn release(&mut self, now: Instant, key: Key, token: Token) -> Vec<Action> {
        let deadline = now + self.options.settle_timeout;
        self.withdraw_claim(&key, token);
        self.submit_operation(now, Kind::Release, key, token, deadline)
    }

    /// Cancels a pending claim without releasing it in the store.
    pub fn withdraw_claim(&mut self, key: &Key, token: Token) {
        let index = self.bucket_index(key);
        let claim = Kind::Claim(BodyHash([0; 16]));
        if let Some(id) = self.find_pending(index, &claim, key, token) {
            self.remove_operation(index, id);
        }
    }

    /// Sets the buckets that are assigned to this writer. It reads their heads, so that the first claim does not
    /// wait for a read, and removes their expired segments.
    pub fn owned(&mut self, now: Instant, buckets: &[u8]) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.options.buckets {
            let bucket = &mut self.buckets[usize::from(index)];
            if !buckets.contains(&index) {
                bucket.next_expiry_at = None;
            } else if bucket.next_expiry_at.is_none() {
                bucket.next_expiry_at = Some(now + self.options.retention_interval);
                bucket.expiry_due = true;
                self.advance_bucket(now, index, &mut actions);
            }
        }
        actions
    }

    /// Handles the store's response to a call.
    pub fn handle_response(&mut self, now: Instant, call: Call, response: Response) -> Vec<Action> {
        let mut actions = Vec::new();
        if response == Response::Failed {
            self.counts.failures += 1;
        }
        if let Some(name) = self.removals_in_flight.swap_remove(&call) {
            if response == Response::Failed {
                self.pending_removals.push_back(name);
                self.removals_paused_until = Some(now + self.options.backoff.1);
            } else if let Name::Segment(index, id) = name {
                self.buckets[usize::from(index)].removed_segments.push(id);
            }
            return actions;
        }
        if let Some((bucket, id)) = self.segment_reads.swap_remove(&call) {
            self.handle_segment_read(now, bucket, id, response);
            self.advance_bucket(now, bucket, &mut actions);
            return actions;
        }
        let found = self.buckets.iter().position(
            |bucket| matches!(bucket.outstanding, Some((outstanding, _)) if outstanding == call),
        );
        let Some(index) = found.and_then(|index| u8::try_from(index).ok()) else {
            return actions;
        };
        let Some((_, outstanding)) = self.buckets[usize::from(index)].outstanding.take() else {
            return actions;
        };
        match outstanding {
            Outstanding::ReadHead { issued } => self.handle_head_read(now, index, issued, response),
            Outstanding::WriteSegment => self.handle_segment_written(now, index, &response),
            Outstanding::WriteHead { plan, issued } => {
                self.handle_head_written(now, index, plan, issued, &response, &mut actions);
            }
        }
        self.advance_bucket(now, index, &mut actions);
        actions
    }

    /// Handles deadlines, backoff, the write rate limit and retention.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_operations(now, &mut actions);
        for index in 0..self.options.buckets {
            let bucket = &mut self.buckets[usize::from(index)];
            let retry = bucket.retry_at.take_if(|at| now >= *at).is_some();
            let expiry_due = bucket.next_expiry_at.is_some_and(|at| now >= at);
            if expiry_due {
                bucket.next_expiry_at = Some(now + self.options.retention_interval);
                bucket.expiry_due = true;
            }
            if retry || expiry_due {
                self.advance_bucket(now, index, &mut actions);
            }
        }
        if self.removals_paused_until.is_some_and(|at| now >= at) {
            self.removals_paused_until = None;
        }
        self.drain_write_queue(now, &mut actions);
        actions
    }

    /// When [`Writer::tick`] is next needed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(deadline, _, _)| *deadline);
        let retries = self.buckets.iter().filter_map(|bucket| bucket.retry_at);
        let expiries = self.buckets.iter().filter_map(|bucket| bucket.next_expiry_at);
        let remove = (!self.pending_removals.is_empty()).then_some(self.removals_paused_until);
        let remove = remove.map(|after| after.unwrap_or_else(|| self.write_limiter.next_allowed()));
        let write = (!self.write_queue.is_empty()).then(|| self.write_limiter.next_allowed());
        let limited = remove.into_iter().chain(write);
        retries.chain(expiries).chain(deadline).chain(limited).min()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of pending operations (claims, records and releases).
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending
    }

    fn bucket_index(&self, key: &Key) -> u8 {
        key::bucket(key, self.options.buckets)
    }

    fn unix_seconds(&self, now: Instant) -> u32 {
        let unix_ms = self.options.unix_at_zero_ms + now.as_micros() / 1_000;
        u32::try_from(unix_ms / 1_000).unwrap_or(u32::MAX)
    }

    fn allocate_call(&mut self) -> Call {
        self.last_call += 1;
        Call(self.last_call)
    }

    fn submit_operation(
        &mut self,
        now: Instant,
        kind: Kind,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        let index = self.bucket_index(&key);
        // A retransmitted message changes nothing while the first one is pending.
        if self.find_pending(index, &kind, &key, token).is_some() {
            return Vec::new();
        }
        self.insert_operation(now, index, kind, key, token, deadline);
        let mut actions = Vec::new();
        self.advance_bucket(now, index, &mut actions);
        actions
    }

    /// The pending operation of the same kind for the same attempt.
    fn find_pending(&self, index: u8, kind: &Kind, key: &Key, token: Token) -> Option<u64> {
        let mut operations = self.buckets[usize::from(index)].operations.values();
        let same = |operation: &&Operation| {
            operation.token == token
                && operation.key == *key
                && discriminant(&operation.kind) == discriminant(kind)
        };
        operations.find(same).map(|operation| operation.id)
    }

    fn insert_operation(
        &mut self,
        now: Instant,
        index: u8,
        kind: Kind,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> u64 {
        self.last_operation += 1;
        let id = self.last_operation;
        let operation = Operation { id, kind, key, token, arrived_at: now, deadline };
        self.buckets[usize::from(index)].operations.insert(id, operation);
        self.deadlines.insert((deadline, index, id));
        self.pending += 1;
        id
    }

    fn remove_operation(&mut self, index: u8, id: u64) -> Option<Operation> {
        let operation = self.buckets[usize::from(index)].operations.shift_remove(&id)?;
        self.deadlines.remove(&(operation.deadline, index, id));
        self.pending -= 1;
        Some(operation)
    }

    /// Ends operations that have passed their deadline.
    fn expire_operations(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(&(at, index, id)) = self.deadlines.first()
            && now >= at
        {
            let Some(operation) = self.remove_operation(index, id) else {
                self.deadlines.pop_first();
                continue;
            };
            match operation.kind {
                Kind::Claim(_) => self.reject_claim(&operation, actions),
                Kind::Record(_) | Kind::Release => {
                    self.counts.abandoned += 1;
                    log::warn!(bucket = index; "claim record given up; repeats of its key stay unknown");
                }
            }
        }
    }

    /// Reports a claim as unavailable.
    fn reject_claim(&mut self, operation: &Operation, actions: &mut Vec<Action>) {
        self.counts.unavailable += 1;
        let decision = Decision::Unavailable;
        actions.push(Action::Decide { key: operation.key, token: operation.token, decision });
    }

    /// Starts the next store call that the bucket needs, and reports outcomes that need none.
    fn advance_bucket(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let bucket = &self.buckets[usize::from(index)];
        if bucket.outstanding.is_some() || bucket.retry_at.is_some() || bucket.awaiting_write {
            return;
        }
        if bucket.operations.is_empty() && !bucket.expiry_due {
            // The owner of a bucket reads the remaining segments ahead of any claim.
            self.read_segments(index, &[], actions);
            return;
        }
        if bucket.snapshot.is_none() || bucket.stale {
            self.read_head(now, index, actions);
            return;
        }
        self.resolve_spill(index);
        let expiry_due = mem::take(&mut self.buckets[usize::from(index)].expiry_due);
        let plan = self.plan_head(now, index);
        self.read_segments(index, &plan.unread_segments, actions);
        if plan.changed || plan.full || (expiry_due && plan.expired) {
            self.write_plan(now, index, plan, false, actions);
        } else {
            let refresh = !plan.unconfirmed.is_empty();
            self.report_outcomes(now, index, plan.outcomes, actions);
            if refresh {
                self.read_head(now, index, actions);
            }
        }
    }

    fn plan_head(&mut self, now: Instant, index: u8) -> Plan {
        let now_s = self.unix_seconds(now);
        let bucket = &self.buckets[usize::from(index)];
        let Some(snapshot) = &bucket.snapshot else { return Plan::default() };
        let spilled = bucket.spill.as_ref().filter(|spill| spill.written).map(|spill| {
            let mut segments = snapshot.head.segments.clone();
            segments.retain(|segment| Some(segment.id) != spill.replaced);
            segments.push(spill.reference);
            let mut garbage = snapshot.head.garbage.clone();
            garbage.extend(spill.replaced);
            Head { segments, entries: Vec::new(), reserved: snapshot.head.reserved, garbage }
        });
        let head = spilled.as_ref().unwrap_or(&snapshot.head);
        let operations = bucket.operations.values();
        bucket::plan(head, snapshot.confirmed_at, operations, &mut self.cache, now_s, &self.options)
    }

    fn read_head(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let call = self.allocate_call();
        self.counts.reads += 1;
        let outstanding = Outstanding::ReadHead { issued: now };
        self.buckets[usize::from(index)].outstanding = Some((call, outstanding));
        actions.push(Action::Read { call, name: Name::Head(index) });
    }

    /// Reads the given segments. If there are any or this writer owns the bucket, also reads other segments that
    /// are not indexed, because a lookup of a new key needs the index of every segment.
    fn read_segments(
        &mut self,
        index: u8,
        unread_segments: &[SegmentId],
        actions: &mut Vec<Action>,
    ) {
        let bucket = &self.buckets[usize::from(index)];
        let mut to_read: IndexSet<SegmentId> = unread_segments.iter().copied().collect();
        if let Some(snapshot) = &bucket.snapshot
            && (!unread_segments.is_empty() || bucket.next_expiry_at.is_some())
        {
            let ids = snapshot.head.segments.iter().rev().map(|segment| segment.id);
            to_read.extend(ids.filter(|id| !self.cache.has_index(id)));
        }
        let reading = self.segment_reads.values().filter(|(of, _)| *of == index).count();
        to_read.retain(|id| !self.segment_reads.values().any(|(_, reading)| reading == id));
        for id in to_read.into_iter().take(SEGMENT_READS_MAX.saturating_sub(reading)) {
            let call = self.allocate_call();
            self.counts.reads += 1;
            self.segment_reads.insert(call, (index, id));
            actions.push(Action::Read { call, name: Name::Segment(index, id) });
        }
    }

    /// Writes the head, or first the segment that makes room in it. Queues the bucket if the write rate limit is
    /// reached.
    fn write_plan(
        &mut self,
        now: Instant,
        index: u8,
        plan: Plan,
        dequeued: bool,
        actions: &mut Vec<Action>,
    ) {
        if !(dequeued || self.write_queue.is_empty()) || !self.write_limiter.try_take(now) {
            let bucket = &mut self.buckets[usize::from(index)];
            if !bucket.awaiting_write {
                bucket.awaiting_write = true;
                self.write_queue.push_back(index);
            }
            return;
        }
        let call = self.allocate_call();
        self.counts.writes += 1;
        self.writes_since_removal += 1;
        let spill = plan.full && self.can_spill(index);
        let action = if spill && self.has_segment_name(index) {
            self.write_segment(index, call)
        } else {
            self.buckets[usize::from(index)].name_reserved = spill;
            self.write_head(now, index, call, plan)
        };
        if let Action::Swap { value, .. } = &action {
            self.counts.bytes += value.len() as u64;
        }
        actions.push(action);
    }

    fn write_head(&mut self, now: Instant, index: u8, call: Call, mut plan: Plan) -> Action {
        self.prepare_head(index, &mut plan.next_head);
        let bucket = &mut self.buckets[usize::from(index)];
        let expected = bucket.snapshot.as_ref().map_or(0, |snapshot| snapshot.revision);
        let value = format::encode(&plan.next_head);
        bucket.outstanding = Some((call, Outstanding::WriteHead { plan, issued: now }));
        Action::Swap { call, name: Name::Head(index), expected, value }
    }

    fn schedule_retry(&mut self, now: Instant, index: u8) {
        let (first, longest) = self.options.backoff;
        let bucket = &mut self.buckets[usize::from(index)];
        let delay = first.saturating_mul(1u32.checked_shl(bucket.failures).unwrap_or(u32::MAX));
        let jitter = self.rng.random_range(0.5..=1.0);
        bucket.failures += 1;
        bucket.retry_at = Some(now + delay.min(longest).mul_f64(jitter));
    }

    /// Writes queued buckets in order and removes unused values, as far as the write rate limit permits.
    fn drain_write_queue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut visited: IndexSet<u8> = IndexSet::new();
        while now >= self.write_limiter.next_allowed() {
            let removal = !self.pending_removals.is_empty() && self.removals_paused_until.is_none();
            let due = removal && self.writes_since_removal >= WRITES_PER_REMOVAL;
            let next = self.write_queue.front().copied().filter(|index| !visited.contains(index));
            match next {
                Some(index) if !due => {
                    visited.insert(index);
                    self.write_queue.pop_front();
                    self.write_queued_bucket(now, index, actions);
                }
                _ if removal => self.remove_next(now, actions),
                _ => return,
            }
        }
    }

    /// Writes a bucket that was taken from the write queue.
    fn write_queued_bucket(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let bucket = &mut self.buckets[usize::from(index)];
        bucket.awaiting_write = false;
        let busy = bucket.outstanding.is_some() || bucket.retry_at.is_some();
        if busy || bucket.stale || bucket.snapshot.is_none() {
            self.advance_bucket(now, index, actions);
            return;
        }
        self.resolve_spill(index);
        let plan = self.plan_head(now, index);
        self.read_segments(index, &plan.unread_segments, actions);
        if plan.changed || plan.full || plan.expired {
            self.write_plan(now, index, plan, true, actions);
        } else {
            self.advance_bucket(now, index, actions);
        }
    }

    fn remove_next(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.write_limiter.try_take(now) {
            return;
        }
        let Some(name) = self.pending_removals.pop_front() else { return };
        self.writes_since_removal = 0;
        let call = self.allocate_call();
        self.counts.removes += 1;
        self.removals_in_flight.insert(call, name);
        actions.push(Action::Remove { call, name });
    }
}
