//! A position in the history of the platform's store.

use serde::{Deserialize, Serialize};

/// Number of bits for the revision.
const REVISION_BITS: u32 = 44;

/// Highest revision that fits.
const REVISION_MAX: u64 = (1 << REVISION_BITS) - 1;

/// A revision of the platform's store, and its era: the number of times that the store has come back from an older copy.
/// Revisions are given out again after that, so positions are in order of the era first.
///
/// A position is encoded as one number, which equals the revision in a store that was never restored.
///
/// ```
/// use siskin_types::position::Position;
/// let (before, after) = (Position::new(0, 900), Position::new(1, 40));
/// assert!(before < after, "what was written after a restore is newer, whatever its revision");
/// assert_eq!((after.era(), after.revision()), (1, 40));
/// assert_eq!(Position::from(900), before);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Position(u64);

impl Position {
    /// A revision in an era. Numbers that do not fit become the highest ones.
    #[must_use]
    pub fn new(era: u64, revision: u64) -> Self {
        let era = era.min(u64::MAX >> REVISION_BITS);
        Self(era << REVISION_BITS | revision.min(REVISION_MAX))
    }

    /// Number of times that the store had come back from a copy.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Revision of the store in that era.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.0 & REVISION_MAX
    }

    /// The position as one number, in the same order.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl From<u64> for Position {
    /// A revision of a store that was never restored.
    fn from(revision: u64) -> Self {
        Self::new(0, revision)
    }
}
