//! Writes claims to the store in groups.

mod answer;
mod spill;

use {
    crate::{
        bucket::{self, Base, Kind, Op, Plan},
        cache::Cache,
        format::{self, BODY_LIMIT_BYTES, Head, Name, SegmentId, SegmentRef},
        key,
        rate::Rate,
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
    /// Unix time, in milliseconds, at the start of the clock that `now` is read from.
    pub unix_at_zero_ms: u64,
    /// Buckets; the same for the whole fleet.
    pub buckets: u8,
    /// Claims kept in a head, in bytes.
    pub head_bytes: usize,
    /// Largest segment, in bytes.
    pub segment_bytes: usize,
    /// Longest time between the oldest and the newest claim of a segment.
    pub segment_span: Duration,
    /// Contents of segments kept in memory, in bytes; indexes come on top.
    pub cache_bytes: usize,
    /// Longest time that a call may last. A claim that is older and has no record is unknown.
    pub longest_deadline: Duration,
    /// How long claims are kept.
    pub retention: Duration,
    /// Most segments removed with one write of a head.
    pub retention_batch: usize,
    /// Time between looks for expired segments in a bucket without traffic.
    pub retention_interval: Duration,
    /// Writes allowed per second.
    pub writes_per_s: f64,
    /// Writes that may be saved up.
    pub write_burst: u32,
    /// How long a record or release is tried.
    pub settle_for: Duration,
    /// Claims, records and releases that may wait; more are refused.
    pub max_waiting: usize,
    /// First and longest delay after a failed store call.
    pub backoff: (Duration, Duration),
    /// Seed of the random part of the delays.
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
            longest_deadline: Duration::from_secs(600),
            retention: Duration::from_secs(24 * 3_600),
            retention_batch: 16,
            retention_interval: Duration::from_secs(60),
            writes_per_s: 20.0,
            write_burst: 4,
            settle_for: Duration::from_secs(300),
            max_waiting: 20_000,
            backoff: (Duration::from_millis(100), Duration::from_secs(5)),
            seed: 0,
        }
    }
}

/// Writes after which a waiting removal goes first, so that retention makes progress under full load.
const WRITES_PER_REMOVAL: u32 = 8;

/// Segments of one bucket that are read at the same time, so that a writer that takes over a bucket neither
/// reads them one by one nor uses up the store's reads.
const SEGMENT_READS: usize = 8;

/// Identifies a store call of this writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Call(pub u64);

/// What is to be done. Every store call must be answered by [`Writer::stored`].
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
    /// Answer to [`Writer::claim`].
    Decide {
        /// The claim.
        key: Key,
        /// The attempt.
        token: Token,
        /// The answer.
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

/// Answer of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value was read.
    Found {
        /// Its revision.
        revision: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// There is no such value.
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
    /// There was no answer; a write may have taken effect.
    Failed,
}

/// Counts since the start.
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
    /// Writes refused because another writer had changed the value.
    pub conflicts: u64,
    /// Store calls without an answer.
    pub failures: u64,
    /// Claims granted.
    pub granted: u64,
    /// Claims given up at their deadline.
    pub unavailable: u64,
    /// Records and releases given up.
    pub unsettled: u64,
}

/// The entries of a head on their way to a segment.
#[derive(Debug)]
struct Spill {
    reference: SegmentRef,
    value: Vec<u8>,
    /// The segment whose entries it takes over.
    replaces: Option<SegmentId>,
    /// Revision of the head that it was made from.
    revision: u64,
    stored: bool,
}

#[derive(Debug)]
enum Outstanding {
    Read { issued: Instant },
    Segment,
    Head { plan: Plan, issued: Instant },
}

#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools, reason = "independent conditions of one bucket")]
struct Bucket {
    base: Option<Base>,
    /// The head may have changed; it has to be read before it is used.
    stale: bool,
    ops: IndexMap<u64, Op>,
    outstanding: Option<(Call, Outstanding)>,
    spill: Option<Spill>,
    /// Segment of the last spill. Its name is not used again even if the spill came to nothing.
    last_spill: Option<SegmentId>,
    /// Whether a name was reserved for the next spill, though another writer may have replaced it since.
    /// Without this, two writers that compete for a full head would replace each other's name for ever.
    reserved: bool,
    /// Segments that were removed from the store.
    removed: Vec<SegmentId>,
    failures: u32,
    retry_at: Option<Instant>,
    /// Whether it waits for the write limit.
    queued: bool,
    /// When it is next searched for expired segments; `None` while this writer does not own it.
    retain_at: Option<Instant>,
    /// Whether that search is due.
    retain: bool,
}

/// State of the claim writer of one router.
///
/// ```
/// use {
///     siskin_claim::{key::Hasher, writer::{Action, Answer, Options, Writer}},
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
/// let actions = writer.stored(now, call, Answer::Absent);
/// let [Action::Swap { call, expected: 0, .. }] = actions[..] else { panic!("{actions:?}") };
/// let actions = writer.stored(now, call, Answer::Swapped { revision: 1 });
/// assert_eq!(actions, [Action::Decide { key, token, decision: Decision::Granted }]);
/// ```
#[derive(Debug)]
pub struct Writer {
    options: Options,
    random: SmallRng,
    buckets: Vec<Bucket>,
    cache: Cache,
    rate: Rate,
    /// Buckets that wait for the write limit, in order.
    ready: VecDeque<u8>,
    segment_reads: IndexMap<Call, (u8, SegmentId)>,
    removals: VecDeque<Name>,
    removing: IndexMap<Call, Name>,
    /// Removals wait until then, because one failed.
    remove_after: Option<Instant>,
    /// Writes since the last removal.
    writes_since_removal: u32,
    timers: BTreeSet<(Instant, u8, u64)>,
    waiting: usize,
    next_call: u64,
    next_op: u64,
    next_segment: u32,
    counts: Counts,
}

impl Writer {
    /// Makes a writer without any claims.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self {
            random: SmallRng::seed_from_u64(options.seed),
            buckets: (0..options.buckets).map(|_| Bucket::default()).collect(),
            cache: Cache::new(options.cache_bytes),
            rate: Rate::new(options.writes_per_s, options.write_burst),
            ready: VecDeque::new(),
            segment_reads: IndexMap::new(),
            removals: VecDeque::new(),
            removing: IndexMap::new(),
            remove_after: None,
            writes_since_removal: 0,
            timers: BTreeSet::new(),
            waiting: 0,
            next_call: 0,
            next_op: 0,
            next_segment: 0,
            counts: Counts::default(),
            options,
        }
    }

    /// Changes how many writes are allowed per second, for example when the number of writers changes.
    pub fn set_write_rate(&mut self, now: Instant, writes_per_s: f64) {
        self.rate.set(now, writes_per_s);
    }

    /// Changes how long claims are kept and how long a call may last. All writers of a fleet must agree.
    pub const fn set_limits(&mut self, retention: Duration, longest_deadline: Duration) {
        self.options.retention = retention;
        self.options.longest_deadline = longest_deadline;
    }

    /// Claims a key for an attempt. Repeating it is harmless. A claim that is given up is not released here:
    /// another writer may have granted it, and only the attempt knows.
    pub fn claim(
        &mut self,
        now: Instant,
        key: Key,
        body: BodyHash,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        if now >= deadline || self.waiting >= self.options.max_waiting {
            self.counts.unavailable += 1;
            return vec![Action::Decide { key, token, decision: Decision::Unavailable }];
        }
        let index = self.bucket(&key);
        let kind = Kind::Claim(body);
        if self.waiting_op(index, &kind, &key, token).is_some() {
            return Vec::new();
        }
        self.add(now, index, kind, key, token, deadline);
        let mut actions = Vec::new();
        self.advance(now, index, &mut actions);
        actions
    }

    /// Records the result of a call whose claim the attempt holds. A body that is too long is left out.
    pub fn record(&mut self, now: Instant, key: Key, token: Token, record: Record) -> Vec<Action> {
        let body = record.body.filter(|body| body.len() <= BODY_LIMIT_BYTES);
        let deadline = now + self.options.settle_for;
        self.push(now, Kind::Record(Record { body, ..record }), key, token, deadline)
    }

    /// Releases the claim of a call that did not run, whether or not the claim was granted.
    pub fn release(&mut self, now: Instant, key: Key, token: Token) -> Vec<Action> {
        let deadline = now + self.options.settle_for;
        self.withdraw(&key, token);
        self.push(now, Kind::Release, key, token, deadline)
    }

    /// Forgets a claim that still waits, without releasing it in the store.
    pub fn withdraw(&mut self, key: &Key, token: Token) {
        let index = self.bucket(key);
        let claim = Kind::Claim(BodyHash([0; 16]));
        if let Some(id) = self.waiting_op(index, &claim, key, token) {
            self.take(index, id);
        }
    }

    /// Names the buckets that this writer was given by the placement of roles. It reads their heads, so that
    /// the first claim does not wait, and removes their expired segments.
    pub fn owned(&mut self, now: Instant, buckets: &[u8]) -> Vec<Action> {
        let mut actions = Vec::new();
        for index in 0..self.options.buckets {
            let bucket = &mut self.buckets[usize::from(index)];
            if !buckets.contains(&index) {
                bucket.retain_at = None;
            } else if bucket.retain_at.is_none() {
                bucket.retain_at = Some(now + self.options.retention_interval);
                bucket.retain = true;
                self.advance(now, index, &mut actions);
            }
        }
        actions
    }

    /// The store answered a call.
    pub fn stored(&mut self, now: Instant, call: Call, answer: Answer) -> Vec<Action> {
        let mut actions = Vec::new();
        if answer == Answer::Failed {
            self.counts.failures += 1;
        }
        if let Some(name) = self.removing.swap_remove(&call) {
            if answer == Answer::Failed {
                self.removals.push_back(name);
                self.remove_after = Some(now + self.options.backoff.1);
            } else if let Name::Segment(index, id) = name {
                self.buckets[usize::from(index)].removed.push(id);
            }
            return actions;
        }
        if let Some((bucket, id)) = self.segment_reads.swap_remove(&call) {
            self.segment_read(now, bucket, id, answer);
            self.advance(now, bucket, &mut actions);
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
            Outstanding::Read { issued } => self.head_read(now, index, issued, answer),
            Outstanding::Segment => self.segment_written(now, index, &answer),
            Outstanding::Head { plan, issued } => {
                self.head_written(now, index, plan, issued, &answer, &mut actions);
            }
        }
        self.advance(now, index, &mut actions);
        actions
    }

    /// Handles deadlines, delays, the write limit and retention.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        for index in 0..self.options.buckets {
            let bucket = &mut self.buckets[usize::from(index)];
            let retry = bucket.retry_at.take_if(|at| now >= *at).is_some();
            let retain = bucket.retain_at.is_some_and(|at| now >= at);
            if retain {
                bucket.retain_at = Some(now + self.options.retention_interval);
                bucket.retain = true;
            }
            if retry || retain {
                self.advance(now, index, &mut actions);
            }
        }
        if self.remove_after.is_some_and(|at| now >= at) {
            self.remove_after = None;
        }
        self.write_ready(now, &mut actions);
        actions
    }

    /// When [`Writer::tick`] is next needed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Instant> {
        let deadline = self.timers.first().map(|(at, _, _)| *at);
        let retries = self.buckets.iter().filter_map(|bucket| bucket.retry_at);
        let retains = self.buckets.iter().filter_map(|bucket| bucket.retain_at);
        let remove = (!self.removals.is_empty()).then_some(self.remove_after);
        let remove = remove.map(|after| after.unwrap_or_else(|| self.rate.next()));
        let write = (!self.ready.is_empty()).then(|| self.rate.next());
        let limited = remove.into_iter().chain(write);
        retries.chain(retains).chain(deadline).chain(limited).min()
    }

    /// Counts since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Claims, records and releases that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn bucket(&self, key: &Key) -> u8 {
        key::bucket(key, self.options.buckets)
    }

    fn now_s(&self, now: Instant) -> u32 {
        let unix_ms = self.options.unix_at_zero_ms + now.as_micros() / 1_000;
        u32::try_from(unix_ms / 1_000).unwrap_or(u32::MAX)
    }

    fn new_call(&mut self) -> Call {
        self.next_call += 1;
        Call(self.next_call)
    }

    fn push(
        &mut self,
        now: Instant,
        kind: Kind,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> Vec<Action> {
        let index = self.bucket(&key);
        // A message that is repeated while the first one waits adds nothing.
        if self.waiting_op(index, &kind, &key, token).is_some() {
            return Vec::new();
        }
        self.add(now, index, kind, key, token, deadline);
        let mut actions = Vec::new();
        self.advance(now, index, &mut actions);
        actions
    }

    /// A waiting operation of the same kind for the same attempt.
    fn waiting_op(&self, index: u8, kind: &Kind, key: &Key, token: Token) -> Option<u64> {
        let mut ops = self.buckets[usize::from(index)].ops.values();
        let same = |op: &&Op| {
            op.token == token && op.key == *key && discriminant(&op.kind) == discriminant(kind)
        };
        ops.find(same).map(|op| op.id)
    }

    fn add(
        &mut self,
        now: Instant,
        index: u8,
        kind: Kind,
        key: Key,
        token: Token,
        deadline: Instant,
    ) -> u64 {
        self.next_op += 1;
        let id = self.next_op;
        let op = Op { id, kind, key, token, arrived: now, deadline };
        self.buckets[usize::from(index)].ops.insert(id, op);
        self.timers.insert((deadline, index, id));
        self.waiting += 1;
        id
    }

    fn take(&mut self, index: u8, id: u64) -> Option<Op> {
        let op = self.buckets[usize::from(index)].ops.shift_remove(&id)?;
        self.timers.remove(&(op.deadline, index, id));
        self.waiting -= 1;
        Some(op)
    }

    /// Gives up what has passed its deadline.
    fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(&(at, index, id)) = self.timers.first()
            && now >= at
        {
            let Some(op) = self.take(index, id) else {
                self.timers.pop_first();
                continue;
            };
            match op.kind {
                Kind::Claim(_) => self.give_up(&op, actions),
                Kind::Record(_) | Kind::Release => {
                    self.counts.unsettled += 1;
                    log::warn!(bucket = index; "claim record given up; repeats of its key stay unknown");
                }
            }
        }
    }

    /// Ends a claim whose caller no longer waits.
    fn give_up(&mut self, op: &Op, actions: &mut Vec<Action>) {
        self.counts.unavailable += 1;
        let decision = Decision::Unavailable;
        actions.push(Action::Decide { key: op.key, token: op.token, decision });
    }

    /// Starts whatever the bucket needs next.
    fn advance(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let bucket = &self.buckets[usize::from(index)];
        if bucket.outstanding.is_some() || bucket.retry_at.is_some() || bucket.queued {
            return;
        }
        if bucket.ops.is_empty() && !bucket.retain {
            // The owner of a bucket goes on to read its segments.
            self.read_segments(index, &[], actions);
            return;
        }
        if bucket.base.is_none() || bucket.stale {
            self.read_head(now, index, actions);
            return;
        }
        self.resolve_spill(index);
        let retain = mem::take(&mut self.buckets[usize::from(index)].retain);
        let plan = self.plan(now, index);
        self.read_segments(index, &plan.unread, actions);
        if plan.changed || plan.full || (retain && plan.expired) {
            self.write(now, index, plan, false, actions);
        } else {
            let refresh = !plan.unconfirmed.is_empty();
            self.settle(now, index, plan.verdicts, actions);
            if refresh {
                self.read_head(now, index, actions);
            }
        }
    }

    fn plan(&mut self, now: Instant, index: u8) -> Plan {
        let now_s = self.now_s(now);
        let bucket = &self.buckets[usize::from(index)];
        let Some(base) = &bucket.base else { return Plan::default() };
        let spilled = bucket.spill.as_ref().filter(|spill| spill.stored).map(|spill| {
            let mut segments = base.head.segments.clone();
            segments.retain(|segment| Some(segment.id) != spill.replaces);
            segments.push(spill.reference);
            let mut garbage = base.head.garbage.clone();
            garbage.extend(spill.replaces);
            Head { segments, entries: Vec::new(), reserved: base.head.reserved, garbage }
        });
        let head = spilled.as_ref().unwrap_or(&base.head);
        let ops = bucket.ops.values();
        bucket::plan(head, base.confirmed, ops, &mut self.cache, now_s, &self.options)
    }

    fn read_head(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let call = self.new_call();
        self.counts.reads += 1;
        let outstanding = Outstanding::Read { issued: now };
        self.buckets[usize::from(index)].outstanding = Some((call, outstanding));
        actions.push(Action::Read { call, name: Name::Head(index) });
    }

    /// Reads segments that are needed now and, if there are any or this writer owns the bucket, others whose
    /// index is missing, because each new key needs all of them.
    fn read_segments(&mut self, index: u8, unread: &[SegmentId], actions: &mut Vec<Action>) {
        let bucket = &self.buckets[usize::from(index)];
        let mut wanted: IndexSet<SegmentId> = unread.iter().copied().collect();
        if let Some(base) = &bucket.base
            && (!unread.is_empty() || bucket.retain_at.is_some())
        {
            let ids = base.head.segments.iter().rev().map(|segment| segment.id);
            wanted.extend(ids.filter(|id| !self.cache.knows(id)));
        }
        let reading = self.segment_reads.values().filter(|(of, _)| *of == index).count();
        wanted.retain(|id| !self.segment_reads.values().any(|(_, reading)| reading == id));
        for id in wanted.into_iter().take(SEGMENT_READS.saturating_sub(reading)) {
            let call = self.new_call();
            self.counts.reads += 1;
            self.segment_reads.insert(call, (index, id));
            actions.push(Action::Read { call, name: Name::Segment(index, id) });
        }
    }

    /// Writes the head, or first the segment that makes room in it, within the write limit.
    fn write(
        &mut self,
        now: Instant,
        index: u8,
        plan: Plan,
        first_in_line: bool,
        actions: &mut Vec<Action>,
    ) {
        if !(first_in_line || self.ready.is_empty()) || !self.rate.take(now) {
            let bucket = &mut self.buckets[usize::from(index)];
            if !bucket.queued {
                bucket.queued = true;
                self.ready.push_back(index);
            }
            return;
        }
        let call = self.new_call();
        self.counts.writes += 1;
        self.writes_since_removal += 1;
        let spill = plan.full && self.spillable(index);
        let action = if spill && self.has_name(index) {
            self.write_segment(index, call)
        } else {
            self.buckets[usize::from(index)].reserved = spill;
            self.write_head(now, index, call, plan)
        };
        if let Action::Swap { value, .. } = &action {
            self.counts.bytes += value.len() as u64;
        }
        actions.push(action);
    }

    fn write_head(&mut self, now: Instant, index: u8, call: Call, mut plan: Plan) -> Action {
        self.tidy(index, &mut plan.next);
        let bucket = &mut self.buckets[usize::from(index)];
        let expected = bucket.base.as_ref().map_or(0, |base| base.revision);
        let value = format::encode(&plan.next);
        bucket.outstanding = Some((call, Outstanding::Head { plan, issued: now }));
        Action::Swap { call, name: Name::Head(index), expected, value }
    }

    fn back_off(&mut self, now: Instant, index: u8) {
        let (first, longest) = self.options.backoff;
        let bucket = &mut self.buckets[usize::from(index)];
        let doubled = first.saturating_mul(1u32.checked_shl(bucket.failures).unwrap_or(u32::MAX));
        let jitter = self.random.random_range(0.5..=1.0);
        bucket.failures += 1;
        bucket.retry_at = Some(now + doubled.min(longest).mul_f64(jitter));
    }

    /// Lets waiting buckets write, in order, and removes values that are no longer needed.
    fn write_ready(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut seen: IndexSet<u8> = IndexSet::new();
        while now >= self.rate.next() {
            let removal = !self.removals.is_empty() && self.remove_after.is_none();
            let due = removal && self.writes_since_removal >= WRITES_PER_REMOVAL;
            let next = self.ready.front().copied().filter(|index| !seen.contains(index));
            match next {
                Some(index) if !due => {
                    seen.insert(index);
                    self.ready.pop_front();
                    self.write_next(now, index, actions);
                }
                _ if removal => self.remove(now, actions),
                _ => return,
            }
        }
    }

    /// Writes the bucket that waited longest for the write limit.
    fn write_next(&mut self, now: Instant, index: u8, actions: &mut Vec<Action>) {
        let bucket = &mut self.buckets[usize::from(index)];
        bucket.queued = false;
        let busy = bucket.outstanding.is_some() || bucket.retry_at.is_some();
        if busy || bucket.stale || bucket.base.is_none() {
            self.advance(now, index, actions);
            return;
        }
        self.resolve_spill(index);
        let plan = self.plan(now, index);
        self.read_segments(index, &plan.unread, actions);
        if plan.changed || plan.full || plan.expired {
            self.write(now, index, plan, true, actions);
        } else {
            self.advance(now, index, actions);
        }
    }

    fn remove(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.rate.take(now) {
            return;
        }
        let Some(name) = self.removals.pop_front() else { return };
        self.writes_since_removal = 0;
        let call = self.new_call();
        self.counts.removes += 1;
        self.removing.insert(call, name);
        actions.push(Action::Remove { call, name });
    }
}
