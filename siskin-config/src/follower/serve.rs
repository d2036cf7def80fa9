//! Whether new work may be accepted.

use {super::Follower, siskin_types::time::Instant, std::time::Duration};

/// How long a router with neither the store nor half of the members keeps accepting new work.
const ISOLATION_GRACE: Duration = Duration::from_secs(3);

/// The same for a router with an entry that is not decided and neither the store nor more than half of
/// the members. It is shorter, because the entry may reach the router after the split.
const UNDECIDED_GRACE: Duration = Duration::from_secs(2);

/// A version confirmed within this time, by the store or through a peer, counts as a reachable store.
/// Confirmations take longer to spread in a larger fleet: up to 8.7 s with 1,200 routers (CAPACITY.md).
const REACHABLE: Duration = Duration::from_secs(5);
const REACHABLE_LARGE: Duration = Duration::from_secs(10);

/// Largest fleet for the shorter time.
const SMALL_FLEET: usize = 32;

/// How many members a router sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// Members that are reachable now, this router included.
    pub visible: usize,
    /// Members that are known, this router included.
    pub known: usize,
}

impl View {
    /// Whether at least half of the known members are visible, which suffices to serve.
    ///
    /// ```
    /// use siskin_config::follower::View;
    /// let view = View { visible: 3, known: 6 };
    /// assert!(view.half());
    /// assert!(!view.majority());
    /// ```
    #[must_use]
    pub const fn half(self) -> bool {
        self.visible * 2 >= self.known
    }

    /// Whether more than half of the known members are visible, which is needed to accept patches.
    #[must_use]
    pub const fn majority(self) -> bool {
        self.visible * 2 > self.known
    }
}

/// Whether new work is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Serving {
    /// It is.
    Serve,
    /// It is not.
    Refuse(Refusal),
}

/// Why new work is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The configuration is not loaded yet.
    #[error("not ready")]
    NotReady,
    /// Neither the store nor half of the members can be reached, or others may have put an entry in
    /// force that this router must not put in force yet.
    #[error("isolated")]
    Isolated,
}

impl Follower {
    /// Whether the store was reachable lately, from here or from a router that this one hears of.
    #[must_use]
    pub fn store_reachable(&self, now: Instant) -> bool {
        let small = self.holders.known() <= SMALL_FLEET;
        let limit = if small { REACHABLE } else { REACHABLE_LARGE };
        self.freshness(now).is_some_and(|age| age <= limit)
    }

    /// Whether new work may be accepted. Call it on every change of its arguments and at least every
    /// 100 ms, since the grace period counts from the first call in isolation.
    ///
    /// A router that reaches the store serves because its configuration is current; after isolation,
    /// that is so once its version has been confirmed again. A router without the store serves while it
    /// sees at least half of the known members, because patches need more than half. A router that
    /// holds an entry of which it does not know whether more than half hold it needs more than half: the
    /// others may have put it in force. Otherwise it stops after 3 s, or 2 s.
    pub fn serving(&mut self, now: Instant, store_reachable: bool, view: View) -> Serving {
        // More than one version lies between them only after loading a snapshot that is not decided.
        if !self.ready || self.newest() > self.version() + 1 {
            return Serving::Refuse(Refusal::NotReady);
        }
        let current = store_reachable && self.confirmed >= self.isolated_since;
        let undecided = self.undecided() && !view.majority();
        if (view.half() || current) && !undecided {
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
