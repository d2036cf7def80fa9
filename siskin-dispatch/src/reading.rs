//! Which routers read changes from the platform's store.
//!
//! In a small fleet every router reads every change. In a large fleet that would cost one store call per router and
//! change, so only hubs read the store and tell their members how long ago they did. A member relies on its hub while
//! it has everything that the hub has and the hub's last read is recent. Otherwise the member reads the store itself,
//! so a hub that has failed or cannot reach the store delays a change by only a fraction of the propagation limit, the
//! time within which a change has to be in force.
//!
//! The store never responds to a call that reaches it during an outage, and the call's connection shows no fault. Time limits
//! of the calls therefore come from the recovery limit, the time after an outage within which a router has to know all changes
//! again: a watch that was lost and the list that is read after it have to fit into it.

use {
    crate::spread::Role, siskin_types::time::Instant, siskin_wire::load::Scope, std::time::Duration,
};

/// Largest age of a hub's read at which its members rely on it, as a share of the propagation limit.
const HUB_READ_AGE_SHARE: f64 = 0.45;

/// Longest time between two reads of a hub, as a share of the propagation limit. Smaller than [`HUB_READ_AGE_SHARE`] by
/// the time that a digest may take.
const HUB_READ_INTERVAL_SHARE: f64 = 0.25;

/// Pause of a hub before its next read after changes, as a share of the propagation limit, so that changes in quick
/// succession are read with one call.
const HUB_PAUSE_SHARE: f64 = 0.1;

/// Pause of any other router before its next read after changes, per router of the fleet.
const PAUSE_PER_ROUTER: Duration = Duration::from_millis(25);

/// Longest such pause, as a share of the propagation limit. The rest covers the call itself and late timers.
const PAUSE_SHARE: f64 = 0.55;

/// Shortest watch timeout that a router asks the store for.
const WATCH_TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// Watch timeout of a router that is not a hub, as a share of the recovery limit.
const WATCH_TIMEOUT_SHARE: f64 = 0.33;

/// Longest watch timeout, as a share of the propagation limit.
const WATCH_TIMEOUT_PROPAGATION_SHARE: f64 = 1.5;

/// Time for the store's response, beyond the time for which it may hold a watch, as a share of the recovery limit. With
/// [`WATCH_TIMEOUT_SHARE`] it leaves a third of the limit for the list.
const RESPONSE_TIMEOUT_SHARE: f64 = 0.33;

/// Shortest time for the store's response: it takes milliseconds, or a few hundred when it is slow.
const RESPONSE_TIMEOUT_MIN: Duration = Duration::from_millis(300);

/// Longest time for the store's response.
const RESPONSE_TIMEOUT_MAX: Duration = Duration::from_secs(2);

/// Longest delay before a failed read is repeated, as a share of the recovery limit.
const RETRY_DELAY_SHARE: f64 = 0.25;

/// Longest delay before a failed read is repeated, whatever the recovery limit.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_200);

/// Longest time that a digest is on its way. An age in it looks smaller by that time.
const DIGEST_DELAY_MAX: Duration = Duration::from_millis(500);

/// Time limits for the reads of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Propagation limit: time within which a change has to be in force.
    pub propagation: Duration,
    /// Recovery limit: time after an outage of the store within which a router has to know all changes again.
    pub recovery: Duration,
}

/// When this router, its hub and other routers last read the store.
///
/// ```
/// use {
///     siskin_dispatch::{reading::{Freshness, Limits}, spread::Role},
///     siskin_types::time::Instant,
///     std::time::Duration,
/// };
/// let limits = Limits { propagation: Duration::from_secs(4), recovery: Duration::from_secs(5) };
/// let mut reading = Freshness::new(limits);
/// let now = Instant::from_micros(10_000_000);
/// reading.set_role(Role::Member);
/// assert!(!reading.hub_read_suffices(now), "no digest of the hub yet");
/// reading.told(now, Duration::from_millis(300));
/// assert!(reading.hub_read_suffices(now));
/// assert!(!reading.hub_read_suffices(now + Duration::from_secs(2)), "the hub's last read is too old");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    limits: Limits,
    role: Role,
    /// When this router last had all changes from the store.
    own_read: Option<Instant>,
    /// When a hub last had all changes from the store, if this router has everything that the hub has.
    hub_read: Option<Instant>,
    /// When any other router last had all changes from the store, as far as its digests have said.
    peer_read: Option<Instant>,
    /// When this router last had all changes, read by itself, even if it has lost the store since.
    last_read: Option<Instant>,
    delegates_to_hub: bool,
}

impl Freshness {
    /// A router that has read nothing yet.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            role: Role::Peer,
            own_read: None,
            hub_read: None,
            peer_read: None,
            last_read: None,
            delegates_to_hub: false,
        }
    }

    /// Changes the time limits.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Changes this router's role in the fleet.
    pub const fn set_role(&mut self, role: Role) {
        self.role = role;
    }

    /// Records that this router has all changes up to this time from the store.
    pub fn read(&mut self, at: Instant) {
        self.own_read = self.own_read.max(Some(at));
        self.last_read = self.last_read.max(Some(at));
    }

    /// Records that this router no longer knows whether it has all changes.
    pub const fn lost(&mut self) {
        self.own_read = None;
    }

    /// Discards all times after the process was suspended, as its clock did not count the suspension.
    pub const fn reset(&mut self) {
        self.own_read = None;
        self.hub_read = None;
        self.peer_read = None;
    }

    /// Age of the read to report in a digest of this scope. A hub reports to its members the newest read that it knows
    /// of, its own or another hub's, but to other hubs only its own: network delay is not added to the age, so an age
    /// reported back and forth between hubs would look younger each time.
    #[must_use]
    pub fn age(&self, now: Instant, scope: Scope) -> Option<Duration> {
        let read = match scope {
            Scope::Fleet => self.own_read.max(self.hub_read),
            Scope::Own | Scope::Group => self.own_read,
        };
        read.map(|read| now - read)
    }

    /// Age of what this router knows of the store; `None` before its first read. Unlike [`Self::age`], it goes on while the store
    /// is lost. A suspension of the process does not count.
    ///
    /// ```
    /// use {siskin_dispatch::reading::{Freshness, Limits}, siskin_types::time::Instant, std::time::Duration};
    /// let limits = Limits { propagation: Duration::from_secs(4), recovery: Duration::from_secs(5) };
    /// let mut reading = Freshness::new(limits);
    /// let read = Instant::from_micros(10_000_000);
    /// reading.read(read);
    /// reading.lost();
    /// assert_eq!(reading.view_age(read + Duration::from_secs(3)), Some(Duration::from_secs(3)));
    /// ```
    #[must_use]
    pub fn view_age(&self, now: Instant) -> Option<Duration> {
        self.last_read.max(self.hub_read).map(|read| now - read)
    }

    /// Records that this router's hub, or another hub if this router is one, read the store `age` ago, and that this
    /// router has everything that the hub has.
    pub fn told(&mut self, now: Instant, age: Duration) {
        self.hub_read = self.hub_read.max(Some(now.saturating_sub(age)));
    }

    /// Records that another router read the store `age` ago, whether or not this router has everything that it has.
    pub fn record_peer_read(&mut self, now: Instant, age: Duration) {
        self.peer_read = self.peer_read.max(Some(now.saturating_sub(age)));
    }

    /// Whether the store has served another router later than `lost`, when this router lost it. Routers do not report a read while
    /// entries may still return after an outage, so what the store does not list then is gone.
    ///
    /// ```
    /// use {siskin_dispatch::reading::{Freshness, Limits}, siskin_types::time::Instant, std::time::Duration};
    /// let limits = Limits { propagation: Duration::from_secs(4), recovery: Duration::from_secs(5) };
    /// let mut reading = Freshness::new(limits);
    /// let lost = Instant::from_micros(10_000_000);
    /// reading.record_peer_read(lost + Duration::from_secs(1), Duration::from_millis(900));
    /// assert!(!reading.peer_has_read_since(lost), "the digest may have been on its way");
    /// reading.record_peer_read(lost + Duration::from_secs(1), Duration::from_millis(100));
    /// assert!(reading.peer_has_read_since(lost));
    /// ```
    #[must_use]
    pub fn peer_has_read_since(&self, lost: Instant) -> bool {
        self.peer_read.is_some_and(|read| read > lost + DIGEST_DELAY_MAX)
    }

    /// Whether the hub's read is recent enough that this router need not read the store.
    #[must_use]
    pub fn hub_read_suffices(&self, now: Instant) -> bool {
        let is_fresh =
            |hub_read| now - hub_read < self.limits.propagation.mul_f64(HUB_READ_AGE_SHARE);
        self.role == Role::Member && self.hub_read.is_some_and(is_fresh)
    }

    /// How long the store may hold the next watch while there are no changes. A watch that returns shows a hub that it
    /// still receives changes, which its members rely on.
    #[must_use]
    pub fn watch_timeout(&self, now: Instant) -> Duration {
        let Limits { propagation, recovery } = self.limits;
        let longest = recovery
            .mul_f64(WATCH_TIMEOUT_SHARE)
            .min(propagation.mul_f64(WATCH_TIMEOUT_PROPAGATION_SHARE))
            .max(WATCH_TIMEOUT_MIN);
        if self.role != Role::Hub {
            return longest;
        }
        let interval = propagation.mul_f64(HUB_READ_INTERVAL_SHARE).min(longest);
        let age = self.age(now, Scope::Own).unwrap_or_default();
        interval.saturating_sub(age).max(WATCH_TIMEOUT_MIN)
    }

    /// How long to wait for the store's response to a read. For a watch this begins when the store may no longer hold it.
    ///
    /// ```
    /// use {siskin_dispatch::reading::{Freshness, Limits}, siskin_types::time::Instant, std::time::Duration};
    /// let limits = Limits { propagation: Duration::from_secs(2), recovery: Duration::from_secs(3) };
    /// let reading = Freshness::new(limits);
    /// let watch = reading.watch_timeout(Instant::from_micros(0)) + reading.response_timeout();
    /// assert!(watch <= Duration::from_secs(2), "a third of the limit is left for the list");
    /// ```
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        let timeout = self.limits.recovery.mul_f64(RESPONSE_TIMEOUT_SHARE);
        timeout.clamp(RESPONSE_TIMEOUT_MIN, RESPONSE_TIMEOUT_MAX)
    }

    /// Longest delay before a failed read is repeated, from the start of that read.
    #[must_use]
    pub fn retry_delay_max(&self) -> Duration {
        self.limits.recovery.mul_f64(RETRY_DELAY_SHARE).min(RETRY_DELAY_MAX)
    }

    /// Pause before the next read after changes, in a fleet of this size, so that changes in quick succession are read
    /// with one call.
    #[must_use]
    pub fn pause(&self, routers: usize) -> Duration {
        match self.role {
            Role::Hub => self.limits.propagation.mul_f64(HUB_PAUSE_SHARE),
            Role::Peer | Role::Member => pause(routers, self.limits.propagation),
        }
    }

    /// Sets whether this router leaves reading the store to its hub.
    pub const fn set_delegates_to_hub(&mut self, delegates_to_hub: bool) {
        self.delegates_to_hub = delegates_to_hub;
    }

    /// Whether this router leaves reading the store to its hub.
    #[must_use]
    pub const fn delegates_to_hub(&self) -> bool {
        self.delegates_to_hub
    }
}

/// Pause after changes of a router that is not a hub. All such routers read all changes, so the pause grows with the
/// fleet, up to a share of the propagation limit.
///
/// ```
/// use {siskin_dispatch::reading::pause, std::time::Duration};
/// let propagation_limit = Duration::from_secs(3);
/// assert_eq!(pause(8, propagation_limit), Duration::from_millis(200));
/// assert_eq!(pause(1_200, propagation_limit), Duration::from_millis(1_650));
/// ```
#[must_use]
pub fn pause(routers: usize, propagation_limit: Duration) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    PAUSE_PER_ROUTER.saturating_mul(routers).min(propagation_limit.mul_f64(PAUSE_SHARE))
}
