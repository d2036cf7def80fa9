//! Follows the history of the configuration and keeps the document in force.
//!
//! A few routers, chosen by the caller, watch the store; the others ask routers that announce a higher
//! version. Versions never go down.

use {
    crate::{
        document::{self, Document, Hash},
        entry::{self, Entry},
        history::{self, History},
        index::Index,
        patch,
        snapshot::Snapshot,
        store::{Call, Pair},
    },
    siskin_types::{id, time::Instant},
    siskin_wire::config,
    std::{sync::Arc, time::Duration},
};

mod decide;
mod maintain;
mod peers;
mod repair;
mod serve;
pub(crate) mod task;

pub use serve::{Refusal, Serving, View};

/// Interval between the reads by which a watcher confirms its version. It bounds the delay after a
/// missed watch event, since a change must be in force within 5 s.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between announcements of an unchanged version.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of routers that get each periodic announcement of an unchanged version.
const IDLE_FANOUT: usize = 2;

/// Number of routers that are sent an announcement immediately after a version change.
const CHANGE_FANOUT: usize = 3;

/// How long a starting router that is not a watcher waits for announcements of peers before it loads
/// the configuration from the store. Keeps the restart of a whole fleet from overloading the store.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// How long a divergence reported by another router is taken into account.
const DIVERGENCE_RETENTION: Duration = Duration::from_secs(30);

/// Maximum number of entries per read from the store and per request to a peer.
pub const BATCH: usize = 32;

/// Settings of a follower.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed for the jitter of retries.
    pub seed: u64,
    /// Number of entries between two snapshots in the store. Twice as many entries are kept in memory,
    /// so that a store that lost everything since its last snapshot can be repaired.
    pub snapshot_interval: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { seed: 0, snapshot_interval: 500 }
    }
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Make a call to the store and pass the answer to [`Follower::receive_answer`], or [`Answer::Unknown`] if
    /// the call times out.
    ///
    /// [`Answer::Unknown`]: crate::store::Answer::Unknown
    Store(Call),
    /// Replace the current watch by a watch on this key, or cancel it. Events go to [`Follower::watched`].
    Watch(Option<Watch>),
    /// Send a message to a router.
    Send {
        /// The router.
        to: id::Node,
        /// The message.
        message: config::Message,
    },
    /// Send an announcement to randomly chosen routers among those that are reachable.
    Announce {
        /// Number of routers.
        fanout: usize,
        /// The announcement.
        announcement: config::Announcement,
    },
    /// The document in force has changed; it is in [`Follower::state`].
    Changed {
        /// The version.
        version: u64,
    },
    /// Histories have diverged. Log it as an error.
    Diverged(Divergence),
}

/// A key to watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The key.
    pub key: String,
    /// First store revision from which changes are reported.
    pub from_revision: u64,
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Watched {
    /// Keys have changed.
    Changed(Vec<Pair>),
    /// The watch has failed or was closed.
    Broken,
}

/// Two histories contain different entries, or lead to different documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "version {version} differs between this router (hash {ours}) and another place (hash {theirs}); \
     patches are refused until an operator stops the routers that hold the wrong history, deletes its \
     entries from the store if they are there, and starts the routers again"
)]
pub struct Divergence {
    /// The first version that is known to differ.
    pub version: u64,
    /// Hash of this router's document or entry.
    pub ours: Hash,
    /// Hash of the other document or entry.
    pub theirs: Hash,
}

/// Why an entry was not applied.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Entries before it are missing.
    #[error("entry {version} does not follow version {have}; fetch the entries between them")]
    Gap {
        /// The version in force.
        have: u64,
        /// The version of the entry.
        version: u64,
    },
    /// The entry cannot be read.
    #[error(transparent)]
    Entry(#[from] entry::Error),
    /// The changes cannot be applied to this program version's document.
    #[error("entry {version} cannot be applied: {error}; upgrade this router")]
    Patch {
        /// The version of the entry.
        version: u64,
        /// The validation rule that it violates.
        error: document::Error,
    },
    /// It belongs to another history.
    #[error(transparent)]
    Diverged(#[from] Divergence),
}

/// An immutable version of the document. The caller may hold it while the follower moves on.
#[derive(Clone, Debug)]
pub struct State {
    /// Its version.
    pub version: u64,
    /// Hash of the document.
    pub hash: Hash,
    /// The document.
    pub document: Document,
    /// Lookups in the document.
    pub index: Index,
}

impl State {
    fn new(version: u64, document: Document) -> Self {
        Self { version, hash: document.hash(), index: Index::new(&document), document }
    }
}

/// Versions before an event is processed, to detect what it changed.
#[derive(Clone, Copy, Debug)]
struct Versions {
    newest: u64,
    in_force: u64,
    decided: u64,
}

/// Number of entries that are kept in memory.
fn kept_entries(snapshot_interval: u64) -> usize {
    usize::try_from(snapshot_interval.saturating_mul(2)).unwrap_or(usize::MAX)
}

/// State machine that follows the history. It does no I/O: each call returns the actions to carry out.
///
/// ```
/// use {
///     siskin_config::{
///         follower::{Action, Follower, Options},
///         store::Answer,
///     },
///     siskin_types::time::Instant,
/// };
/// let mut follower = Follower::new(Options { seed: 1, ..Options::default() });
/// let now = Instant::ZERO;
/// follower.set_watcher_rank(now, Some(0));
/// // The store is new: it has neither a snapshot nor entries.
/// let mut actions = follower.tick(now);
/// while let Some(Action::Store(call)) = actions.first() {
///     let empty = Answer::Range { pairs: Vec::new(), revision: 1 };
///     actions = follower.receive_answer(now, call.number, empty);
/// }
/// assert!(follower.ready());
/// assert_eq!(follower.version(), 0);
/// ```
#[derive(Debug)]
pub struct Follower {
    random: u64,
    snapshot_interval: u64,
    /// The newest state that is known.
    latest: Arc<State>,
    /// The newest state that is known to be decided, that is, held by a majority. Only this one is served.
    in_force: Arc<State>,
    decided: u64,
    holders: decide::Holders,
    ready: bool,
    history: History,
    confirmed: Option<Instant>,
    divergence: Option<Divergence>,
    divergence_reported: Option<Instant>,
    unreadable: Option<String>,
    rank: Option<usize>,
    watch: Option<Watch>,
    watch_backoff_until: Instant,
    watch_failures: u32,
    revision: u64,
    store: task::Progress,
    peers: peers::Peers,
    isolated_since: Option<Instant>,
    started: Option<Instant>,
    announce_at: Instant,
}

impl Follower {
    /// Creates a follower that has not loaded a configuration yet.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let empty = Arc::new(State::new(0, Document::default()));
        Self {
            random: options.seed,
            snapshot_interval: options.snapshot_interval,
            latest: Arc::clone(&empty),
            in_force: empty,
            decided: 0,
            holders: decide::Holders::default(),
            ready: false,
            history: History::new(0, Vec::new(), kept_entries(options.snapshot_interval)),
            confirmed: None,
            divergence: None,
            divergence_reported: None,
            unreadable: None,
            rank: None,
            watch: None,
            watch_backoff_until: Instant::ZERO,
            watch_failures: 0,
            revision: 0,
            store: task::Progress::default(),
            peers: peers::Peers::default(),
            isolated_since: None,
            started: None,
            announce_at: Instant::ZERO,
        }
    }

    /// The document in force, with its version.
    #[must_use]
    pub const fn state(&self) -> &Arc<State> {
        &self.in_force
    }

    /// The document in force.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.in_force.document
    }

    /// The version in force.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.in_force.version
    }

    /// The newest known version. It comes into force once more than half of the known members hold it.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.latest.version
    }

    pub(crate) fn newest_document(&self) -> &Document {
        &self.latest.document
    }

    /// The JSON merge patch from one version to another, neither newer than the version in force.
    ///
    /// # Errors
    ///
    /// One of the versions is no longer kept, is not in force yet or does not exist.
    pub fn difference(&self, from: u64, to: u64) -> Result<serde_json::Value, history::Error> {
        if from.max(to) > self.version() {
            let oldest = self.history.first().saturating_sub(1).min(self.version());
            return Err(history::Error { oldest, newest: self.version() });
        }
        self.history.difference(&self.latest.document, from, to)
    }

    /// The latest entries, including those that are not in force yet.
    #[must_use]
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// Whether the configuration has been loaded.
    #[must_use]
    pub const fn ready(&self) -> bool {
        self.ready
    }

    /// Time since the newest known version was last confirmed to be the latest, by the store or through
    /// a peer. 500 ms are added for each message between peers.
    #[must_use]
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|confirmed| now - confirmed)
    }

    /// The divergence that this router detected.
    #[must_use]
    pub const fn divergence(&self) -> Option<&Divergence> {
        self.divergence.as_ref()
    }

    /// Whether this router has detected a divergence, or another one has reported one recently.
    #[must_use]
    pub fn diverged(&self, now: Instant) -> bool {
        let heard =
            self.divergence_reported.is_some_and(|heard| now - heard < DIVERGENCE_RETENTION);
        self.divergence.is_some() || heard
    }

    /// The highest version that any router has announced in the last hour.
    #[must_use]
    pub fn announced_version(&self, now: Instant) -> u64 {
        self.peers.newest(now).max(self.newest())
    }

    /// Problems that need an operator.
    #[must_use]
    pub fn alarms(&self, now: Instant) -> Vec<String> {
        let own = self.divergence.as_ref().map(ToString::to_string);
        let heard = (own.is_none() && self.diverged(now)).then(|| {
            "another router reports that histories have diverged; look at the status of the others"
                .to_owned()
        });
        own.into_iter().chain(heard).chain(self.unreadable.clone()).collect()
    }

    /// Sets this router's rank among the watchers of the store, or `None` if it is not a watcher.
    pub fn set_watcher_rank(&mut self, now: Instant, rank: Option<usize>) -> Vec<Action> {
        if self.rank == rank {
            return Vec::new();
        }
        self.rank = rank;
        self.store.confirm_soon(now);
        let mut actions = Vec::new();
        self.update_watch(now, &mut actions);
        actions
    }

    /// Processes timers. Call it about every 100 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.started.get_or_insert(now);
        let mut actions = Vec::new();
        self.expire_call(now, &mut actions);
        self.start_task(now, &mut actions);
        self.update_watch(now, &mut actions);
        self.tick_peers(now, &mut actions);
        let before = self.known_versions();
        self.count_holders(now, &mut actions);
        self.report_changes(now, before, &mut actions);
        if now >= self.announce_at {
            self.announce_at = now + if self.ready { ANNOUNCE_INTERVAL } else { PEER_WAIT };
            actions.push(self.announce(now, IDLE_FANOUT));
        }
        actions
    }

    /// Processes an entry from any source. An entry whose version is already known is compared with the
    /// known one, and a divergence is recorded.
    ///
    /// # Errors
    ///
    /// The entry does not follow the newest known version, cannot be read or belongs to another history.
    pub fn receive_entry(
        &mut self,
        now: Instant,
        version: u64,
        bytes: &Arc<[u8]>,
    ) -> Result<Vec<Action>, Error> {
        let before = self.known_versions();
        let mut actions = Vec::new();
        if let Err(error) = self.apply_entry(version, bytes) {
            self.record_error(&error, &mut actions);
            return Err(error);
        }
        self.report_changes(now, before, &mut actions);
        Ok(actions)
    }

    fn apply_entry(&mut self, version: u64, bytes: &Arc<[u8]>) -> Result<(), Error> {
        let have = self.newest();
        if version <= have {
            return self.compare_entry(version, bytes);
        }
        if version > have + 1 {
            return Err(Error::Gap { have, version });
        }
        let entry = Entry::decode(version, bytes)?;
        let mut document = self.latest.document.clone();
        let changes = patch::apply(&mut document, &entry.changes)
            .map_err(|error| Error::Patch { version, error })?;
        let hash = document.hash();
        if hash != entry.hash {
            return Err(Divergence { version, ours: hash, theirs: entry.hash }.into());
        }
        let mut index = self.latest.index.clone();
        index.update(&changes);
        self.history.push(&entry, Arc::clone(bytes), changes);
        self.install_state(State { version, hash, document, index });
        Ok(())
    }

    /// Compares an entry with this router's entry of the same version, if that is still kept.
    fn compare_entry(&self, version: u64, bytes: &Arc<[u8]>) -> Result<(), Error> {
        match self.history.bytes(version) {
            Some(ours) if ours != bytes => {
                let (ours, theirs) = (Hash::of(ours), Hash::of(bytes));
                Err(Divergence { version, ours, theirs }.into())
            }
            _ => Ok(()),
        }
    }

    /// Installs a newer state. The state before it is decided, because an entry is created only after its
    /// predecessor was decided.
    fn install_state(&mut self, state: State) {
        assert!(state.version > self.latest.version, "versions must never go down");
        let before = std::mem::replace(&mut self.latest, Arc::new(state));
        self.decided = self.decided.max(self.latest.version - 1);
        if before.version <= self.decided && before.version > self.in_force.version {
            self.in_force = before;
        }
        self.put_latest_in_force();
        self.unreadable = None;
    }

    fn put_latest_in_force(&mut self) {
        if self.latest.version <= self.decided && self.latest.version > self.in_force.version {
            self.in_force = Arc::clone(&self.latest);
        }
    }

    fn known_versions(&self) -> Versions {
        Versions { newest: self.newest(), in_force: self.version(), decided: self.decided }
    }

    /// Installs a snapshot if it is newer than the newest known version.
    fn install_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.version <= self.newest() {
            return;
        }
        let kept = kept_entries(self.snapshot_interval);
        self.history = History::new(snapshot.version, snapshot.recent, kept);
        self.install_state(State::new(snapshot.version, snapshot.document));
    }

    fn snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.newest(),
            recent: self.history.recent(),
            document: self.latest.document.clone(),
        }
    }

    /// Reports version changes to the caller and announces them to other routers.
    fn report_changes(&mut self, now: Instant, before: Versions, actions: &mut Vec<Action>) {
        if self.newest() != before.newest {
            self.update_watch(now, actions);
            self.count_holders(now, actions);
        }
        if self.version() != before.in_force {
            actions.push(Action::Changed { version: self.version() });
        }
        let changed = self.newest() != before.newest || self.decided != before.decided;
        if self.ready && changed {
            self.announce_at = now + ANNOUNCE_INTERVAL;
            actions.push(self.announce(now, CHANGE_FANOUT));
        }
    }

    fn mark_ready(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.ready {
            return;
        }
        self.ready = true;
        actions.push(Action::Changed { version: self.version() });
        self.update_watch(now, actions);
        self.announce_at = now + ANNOUNCE_INTERVAL;
        actions.push(self.announce(now, IDLE_FANOUT));
    }

    fn record_confirmation(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records why an entry could not be applied.
    fn record_error(&mut self, error: &Error, actions: &mut Vec<Action>) {
        match error {
            Error::Gap { .. } => {}
            Error::Entry(_) | Error::Patch { .. } => self.unreadable = Some(error.to_string()),
            Error::Diverged(divergence) => self.record_divergence(*divergence, actions),
        }
    }

    fn record_divergence(&mut self, divergence: Divergence, actions: &mut Vec<Action>) {
        self.store.recheck_failed();
        if self.divergence.is_none() {
            self.divergence = Some(divergence);
            actions.push(Action::Diverged(divergence));
        }
    }

    /// Next random number for jitter (splitmix64).
    fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A random duration between half of `longest` and `longest`.
    fn jittered(&mut self, longest: Duration) -> Duration {
        let half = longest / 2;
        let micros = u64::try_from(half.as_micros()).unwrap_or(u64::MAX).max(1);
        half + Duration::from_micros(self.random() % micros)
    }
}
