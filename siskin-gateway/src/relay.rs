//! Changes of the platform's store that reach a router through its hub.
//!
//! In a large fleet only hubs read each change. The others rest as long as their hub has read the store a moment ago and
//! they are not behind it; otherwise they read the store themselves, so a hub that is lost, or that the store does not
//! serve, delays a change by no more than [`AGE_MAX`].

use {
    siskin_dispatch::spread::Part,
    siskin_net::lock,
    std::{sync::Mutex, time::Duration},
    tokio::time::Instant,
};

/// Age of a hub's reading of the store up to which its members need no reading of their own.
pub const AGE_MAX: Duration = Duration::from_millis(1_200);

/// What this router and its hub have read of the store, and when.
///
/// ```
/// use {
///     siskin_dispatch::spread::Part,
///     siskin_gateway::relay::{AGE_MAX, Relay},
///     std::time::Duration,
///     tokio::time::Instant,
/// };
/// let relay = Relay::default();
/// let now = Instant::now();
/// relay.set_part(Part::Member);
/// assert!(!relay.suffices(now), "the hub has not spoken");
/// relay.told(now, Duration::from_millis(300));
/// assert!(relay.suffices(now));
/// assert!(!relay.suffices(now + AGE_MAX), "the hub has fallen silent");
/// ```
#[derive(Debug, Default)]
pub struct Relay(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    part: Part,
    /// When the store last told this router of all changes.
    read: Option<Instant>,
    /// When it last told the hub, of whose knowledge this router lacks nothing.
    told: Option<Instant>,
    resting: bool,
}

impl Relay {
    /// Changes this router's part in the fleet.
    pub fn set_part(&self, part: Part) {
        lock(&self.0).part = part;
    }

    /// This router's part in the fleet.
    #[must_use]
    pub fn part(&self) -> Part {
        lock(&self.0).part
    }

    /// The store has told this router of all changes up to now.
    pub fn read(&self, now: Instant) {
        lock(&self.0).read = Some(now);
    }

    /// This router cannot say any more what the store has.
    pub fn lost(&self) {
        lock(&self.0).read = None;
    }

    /// Time since the store told this router of all changes.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        lock(&self.0).read.map(|read| now.saturating_duration_since(read))
    }

    /// The hub has read the store so long ago, and this router has what it has.
    pub fn told(&self, now: Instant, age: Duration) {
        let mut state = lock(&self.0);
        state.told = state.told.max(now.checked_sub(age));
    }

    /// Whether the hub's reading makes one of this router needless.
    #[must_use]
    pub fn suffices(&self, now: Instant) -> bool {
        let state = lock(&self.0);
        let fresh = |told| now.saturating_duration_since(told) < AGE_MAX;
        state.part == Part::Member && state.told.is_some_and(fresh)
    }

    /// Says whether this router leaves the reading of the store to its hub.
    pub fn set_resting(&self, resting: bool) {
        lock(&self.0).resting = resting;
    }

    /// Whether this router leaves the reading of the store to its hub.
    #[must_use]
    pub fn resting(&self) -> bool {
        lock(&self.0).resting
    }
}
