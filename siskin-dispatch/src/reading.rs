//! Which routers read the changes of the platform's store.
//!
//! In a small fleet every router reads every change. In a large one that would cost a call a router for each change, so
//! only hubs read, and tell their members how long ago that was. A member leaves the reading to its hub while it has all
//! that the hub has and the hub's reading is recent. Otherwise it reads for itself, so a hub that is lost, or that the store
//! does not serve, delays a change by no more than a part of the time in which it has to be in force.

use {
    crate::spread::Part, siskin_types::time::Instant, siskin_wire::load::Scope, std::time::Duration,
};

/// Age of a hub's reading up to which its members need none of their own, as a share of the time in which a change has to
/// be in force.
const AGE_SHARE: f64 = 0.45;

/// Longest time between two readings of a hub, as a share of that time. Below [`AGE_SHARE`] by what a digest may take.
const INTERVAL_SHARE: f64 = 0.25;

/// Pause of a hub after changes, as a share of that time, so that those which come together are read with one call.
const HUB_PAUSE_SHARE: f64 = 0.1;

/// Pause of any other router after changes, for each router of the fleet.
const PAUSE_PER_ROUTER: Duration = Duration::from_millis(25);

/// Share of the time in which a change has to be in force that such a pause may take. The rest covers the call itself and
/// timers that are late.
const PAUSE_SHARE: f64 = 0.55;

/// Shortest time that a hub lets the store hold a watch.
const HOLD_MIN: Duration = Duration::from_millis(100);

/// Longest time that the store holds the watch of a router that is no hub, as a share of the time in which a change has to be
/// in force. A watch whose connection has died tells of nothing; it has to be noticed soon after an outage.
const HOLD_SHARE: f64 = 1.5;

/// What this router and its hub have read of the store, and when.
///
/// ```
/// use {
///     siskin_dispatch::{reading::Reading, spread::Part},
///     siskin_types::time::Instant,
///     std::time::Duration,
/// };
/// let mut reading = Reading::new(Duration::from_secs(4));
/// let now = Instant::from_micros(10_000_000);
/// reading.set_part(Part::Member);
/// assert!(!reading.suffices(now), "the hub has not spoken");
/// reading.told(now, Duration::from_millis(300));
/// assert!(reading.suffices(now));
/// assert!(!reading.suffices(now + Duration::from_secs(2)), "the hub has fallen silent");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Time in which a change has to be in force.
    within: Duration,
    part: Part,
    /// When the store last told this router of all changes.
    read: Option<Instant>,
    /// When the store last told a hub, of whose knowledge this router lacks nothing.
    told: Option<Instant>,
    resting: bool,
}

impl Reading {
    /// A router that has read nothing yet. Changes have to be in force within this time.
    #[must_use]
    pub const fn new(within: Duration) -> Self {
        Self { within, part: Part::Peer, read: None, told: None, resting: false }
    }

    /// Changes the time in which changes have to be in force.
    pub const fn set_within(&mut self, within: Duration) {
        self.within = within;
    }

    /// Changes this router's part in the fleet.
    pub const fn set_part(&mut self, part: Part) {
        self.part = part;
    }

    /// The store has told this router of all changes up to this time.
    pub fn read(&mut self, at: Instant) {
        self.read = self.read.max(Some(at));
    }

    /// This router cannot say any more what the store has.
    pub const fn lost(&mut self) {
        self.read = None;
    }

    /// The process stood still: its clock does not tell how old anything is.
    pub const fn forget(&mut self) {
        self.read = None;
        self.told = None;
    }

    /// Age of the reading that a digest of this scope may tell: a hub tells its members of the newest one that it knows, and
    /// other hubs only of its own. The time on the way does not count, so an age that came back would look younger each time.
    #[must_use]
    pub fn age(&self, now: Instant, scope: Scope) -> Option<Duration> {
        let read = match scope {
            Scope::Fleet => self.read.max(self.told),
            Scope::Own | Scope::Group => self.read,
        };
        read.map(|read| now - read)
    }

    /// The own hub, or another one if this router is a hub, has read the store so long ago, and this router has what it
    /// has.
    pub fn told(&mut self, now: Instant, age: Duration) {
        self.told = self.told.max(Some(now.saturating_sub(age)));
    }

    /// Whether the hub's reading makes one of this router needless.
    #[must_use]
    pub fn suffices(&self, now: Instant) -> bool {
        let fresh = |told| now - told < self.within.mul_f64(AGE_SHARE);
        self.part == Part::Member && self.told.is_some_and(fresh)
    }

    /// How long the store may hold the next watch without a change. A watch that returns shows that the store still tells
    /// this router of changes, which is what its members rely on.
    #[must_use]
    pub fn hold(&self, now: Instant) -> Duration {
        if self.part != Part::Hub {
            return self.within.mul_f64(HOLD_SHARE);
        }
        let interval = self.within.mul_f64(INTERVAL_SHARE);
        let age = self.age(now, Scope::Own).unwrap_or_default();
        interval.saturating_sub(age).max(HOLD_MIN)
    }

    /// Pause after changes, so that those which come together are read with one call, in a fleet of this size.
    #[must_use]
    pub fn pause(&self, routers: usize) -> Duration {
        match self.part {
            Part::Hub => self.within.mul_f64(HUB_PAUSE_SHARE),
            Part::Peer | Part::Member => pause(routers, self.within),
        }
    }

    /// Says whether this router leaves the reading of the store to its hub.
    pub const fn set_resting(&mut self, resting: bool) {
        self.resting = resting;
    }

    /// Whether this router leaves the reading of the store to its hub.
    #[must_use]
    pub const fn resting(&self) -> bool {
        self.resting
    }
}

/// Pause after changes of a router that reads for itself. All such routers read all changes, so the pause grows with the
/// fleet, up to a part of the time in which changes have to be in force.
///
/// ```
/// use {siskin_dispatch::reading::pause, std::time::Duration};
/// let within = Duration::from_secs(3);
/// assert_eq!(pause(8, within), Duration::from_millis(200));
/// assert_eq!(pause(1_200, within), Duration::from_millis(1_650));
/// ```
#[must_use]
pub fn pause(routers: usize, within: Duration) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    PAUSE_PER_ROUTER.saturating_mul(routers).min(within.mul_f64(PAUSE_SHARE))
}
