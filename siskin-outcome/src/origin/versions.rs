//! The versions of one service that endpoints listed here have, or had a short time ago.

use {
    indexmap::IndexMap,
    siskin_types::time::Instant,
    std::{sync::Arc, time::Duration},
};

/// When a version was listed.
#[derive(Clone, Copy, Debug)]
enum Presence {
    /// It is listed, as of the list with this number.
    Listed { list: u64 },
    /// It was listed until this time.
    Left { at: Instant },
}

impl Presence {
    const fn is_listed(self) -> bool {
        matches!(self, Self::Listed { .. })
    }

    fn is_in_effect(self, now: Instant, retention: Duration) -> bool {
        match self {
            Self::Listed { .. } => true,
            Self::Left { at } => now < at + retention,
        }
    }

    fn end_list(&mut self, now: Instant, current: u64) {
        match self {
            Self::Listed { list } if *list != current => *self = Self::Left { at: now },
            Self::Listed { .. } | Self::Left { .. } => {}
        }
    }
}

/// Versions of one service.
#[derive(Debug, Default)]
pub(super) struct Versions {
    known: IndexMap<Arc<str>, Presence>,
    /// Endpoints whose version is not known.
    unknown: Option<Presence>,
}

impl Versions {
    /// Records that an endpoint of this version is in a list.
    pub(super) fn list(&mut self, list: u64, version: Option<&str>) {
        let presence = Presence::Listed { list };
        match version {
            None => self.unknown = Some(presence),
            Some(version) => match self.known.get_mut(version) {
                Some(known) => *known = presence,
                None => {
                    self.known.insert(version.into(), presence);
                }
            },
        }
    }

    /// Records that the versions that are not in this list have left, and forgets those that are not in effect any more.
    pub(super) fn end_list(&mut self, now: Instant, retention: Duration, list: u64) {
        let keeps = |presence: &mut Presence| {
            presence.end_list(now, list);
            presence.is_in_effect(now, retention)
        };
        self.known.retain(|_, presence| keeps(presence));
        self.unknown.take_if(|presence| !keeps(presence));
    }

    /// The known versions that are in effect.
    pub(super) fn in_effect(
        &self,
        now: Instant,
        retention: Duration,
    ) -> impl Iterator<Item = &str> {
        let is_in_effect = move |presence: &Presence| presence.is_in_effect(now, retention);
        self.known
            .iter()
            .filter(move |(_, presence)| is_in_effect(presence))
            .map(|(version, _)| &**version)
    }

    /// Whether endpoints of a version that is not known are in effect.
    pub(super) fn has_unknown(&self, now: Instant, retention: Duration) -> bool {
        self.unknown.is_some_and(|presence| presence.is_in_effect(now, retention))
    }

    /// Whether a version may be listed: it is, or an endpoint whose version is not known is.
    pub(super) fn may_list(&self, version: &str) -> bool {
        self.lists_unknown() || self.known.get(version).is_some_and(|presence| presence.is_listed())
    }

    /// Whether an endpoint whose version is not known is listed.
    pub(super) fn lists_unknown(&self) -> bool {
        self.unknown.is_some_and(Presence::is_listed)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.known.is_empty() && self.unknown.is_none()
    }
}
