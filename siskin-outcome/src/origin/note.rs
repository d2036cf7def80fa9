//! The note of the versions of one service in the store.

use {
    super::versions::Versions,
    indexmap::IndexMap,
    siskin_types::time::Instant,
    std::{collections::BTreeSet, time::Duration},
};

/// What has to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// The service.
    pub service: String,
    /// Its versions, sorted. Empty if the note is not needed any more.
    pub versions: Vec<String>,
}

/// Since when this router has observed that a version is not listed. `None` if it is, or not observed yet.
type Absence = Option<Instant>;

fn has_ended(absence: Absence, now: Instant, retention: Duration) -> bool {
    absence.is_some_and(|since| now >= since + retention)
}

/// A note as it was read from the store.
#[derive(Debug)]
pub(super) enum Noted {
    /// These versions; none if there is no note.
    Versions(IndexMap<String, Absence>),
    /// Versions that cannot be read, and since when all that may be listed are known here.
    Unreadable(Absence),
}

impl Default for Noted {
    fn default() -> Self {
        Self::Versions(IndexMap::new())
    }
}

impl Noted {
    /// Sets what was read. What was observed of a version that stays noted remains valid.
    pub(super) fn set(&mut self, versions: Option<Vec<String>>) {
        let known = match std::mem::take(self) {
            Self::Versions(known) => known,
            Self::Unreadable(_) => IndexMap::new(),
        };
        let with_absence = |version: String| {
            let absence = known.get(&version).copied().flatten();
            (version, absence)
        };
        *self = match versions {
            Some(versions) => Self::Versions(versions.into_iter().map(with_absence).collect()),
            None => Self::Unreadable(None),
        };
    }

    /// Records which noted versions are not listed.
    pub(super) fn observe(&mut self, now: Instant, listed: &Versions) {
        let update = |absence: &mut Absence, may_be_listed: bool| {
            *absence = if may_be_listed { None } else { absence.or(Some(now)) };
        };
        match self {
            Self::Versions(versions) => {
                for (version, absence) in versions {
                    update(absence, listed.may_list(version));
                }
            }
            Self::Unreadable(absence) => update(absence, listed.lists_unknown()),
        }
    }

    /// The versions that can be read.
    pub(super) fn versions(&self) -> impl Iterator<Item = &str> {
        let versions = match self {
            Self::Versions(versions) => Some(versions),
            Self::Unreadable(_) => None,
        };
        versions.into_iter().flat_map(IndexMap::keys).map(String::as_str)
    }

    pub(super) const fn is_unreadable(&self) -> bool {
        matches!(self, Self::Unreadable(_))
    }

    pub(super) fn is_empty(&self) -> bool {
        match self {
            Self::Versions(versions) => versions.is_empty(),
            Self::Unreadable(_) => false,
        }
    }

    /// The versions that have to be written in place of this note, if they differ.
    pub(super) fn replacement(
        &self,
        now: Instant,
        retention: Duration,
        listed: &Versions,
    ) -> Option<Vec<String>> {
        let mut wanted: BTreeSet<&str> = listed.in_effect(now, retention).collect();
        match self {
            Self::Versions(versions) => {
                let stays = |absence: &Absence| !has_ended(*absence, now, retention);
                let staying = versions.iter().filter(|(_, absence)| stays(absence));
                wanted.extend(staying.map(|(version, _)| version.as_str()));
                if wanted.len() == versions.len()
                    && wanted.iter().all(|it| versions.contains_key(*it))
                {
                    return None;
                }
            }
            Self::Unreadable(absence) if has_ended(*absence, now, retention) => {}
            Self::Unreadable(_) => return None,
        }
        Some(wanted.into_iter().map(String::from).collect())
    }
}
