//! Decides whether new work may be accepted.

use {super::Follower, siskin_types::time::Instant, std::time::Duration};

/// How long a router that reaches neither the store nor half of the members keeps accepting new work.
const ISOLATION_GRACE: Duration = Duration::from_secs(3);

/// Grace period of a router that holds an undecided entry and reaches neither the store nor more than
/// half of the members. It is shorter because the entry may reach the router after the partition began.
const UNDECIDED_GRACE: Duration = Duration::from_secs(2);

/// The store counts as reachable if it confirmed the version, directly or through a peer, within this time.
/// Confirmations take longer to spread in a larger fleet: up to 8.7 s with 1,200 routers (CAPACITY.md).
const REACHABLE_WITHIN: Duration = Duration::from_secs(5);
const REACHABLE_WITHIN_LARGE: Duration = Duration::from_secs(10);

/// Largest fleet to which `REACHABLE_WITHIN` applies.
const SMALL_FLEET: usize = 32;

/// Numbers of reachable and of known members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Number of members that are reachable now, this router included.
    pub visible: usize,
    /// Number of known members, this router included.
    pub known: usize,
}

impl View {
    /// Whether at least half of the known members are reachable, which suffices to serve.
    ///
    /// ```
    /// use siskin_config::follower::View;
    /// let view = View { visible: 3, known: 6 };
    /// assert!(view.has_half());
    /// assert!(!view.has_majority());
    /// ```
    #[must_use]
    pub const fn has_half(self) -> bool {
        self.visible * 2 >= self.known
    }

    /// Whether more than half of the known members are reachable, which is needed to accept patches.
    #[must_use]
    pub const fn has_majority(self) -> bool {
        self.visible * 2 > self.known
    }
}

/// Whether new work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serving {
    /// New work is accepted.
    Serve,
    /// New work is refused.
    Refuse(Refusal),
}

/// Why new work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The configuration is not loaded yet.
    #[error("not ready")]
    NotReady,
    /// Neither the store nor half of the members can be reached, or other routers may have put an entry
    /// in force that this router does not yet know to be decided.
    #[error("isolated")]
    Isolated,
}

impl Follower {
    /// Whether the store was reachable recently, from this router or from one whose confirmation reached it.
    #[must_use]
    pub fn store_reachable(&self, now: Instant) -> bool {
        let small = self.holders.known() <= SMALL_FLEET;
        let limit = if small { REACHABLE_WITHIN } else { REACHABLE_WITHIN_LARGE };
        self.confirmation_age(now).is_some_and(|age| age <= limit)
    }

    /// Decides whether new work may be accepted. Call it on every change of its arguments and at least
    /// every 100 ms, since the grace period starts with the first call in isolation.
    ///
    /// A router that reaches the store serves because its configuration is current; after isolation,
    /// its version must be confirmed again first. A router that does not reach the store serves while it
    /// reaches at least half of the known members, because patches need more than half. A router that
    /// holds an undecided entry needs more than half, since the others may have put the entry in force.
    /// Otherwise it stops serving after a grace period of 3 s, or 2 s with an undecided entry.
    pub fn serving(&mut self, now: Instant, store_reachable: bool, view: View) -> Serving {
        // The gap exceeds one version only after an undecided snapshot was loaded.
        if !self.ready || self.newest() > self.version() + 1 {
            return Serving::Refuse(Refusal::NotReady);
        }
        let current = store_reachable && self.confirmed >= self.isolated_since;
        let undecided = self.undecided() && !view.has_majority();
        if (view.has_half() || current) && !undecided {
            self.isolated_since = None;
            return Serving::Serve;
        }
        let since = *self.isolated_since.get_or_insert(now);
        let short = undecided && !store_reachable;
        let grace = if short { UNDECIDED_GRACE } else { ISOLATION_GRACE };
        if now - since < grace {
            return Serving::Serve;
        }
        Serving::Refuse(Refusal::Isolated)
    }
}
