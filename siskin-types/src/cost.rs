//! Cost accounting: service units, customer weights and virtual time.

use {
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign, Sub},
};

/// Amount of service in the units of a pool: tokens for engines, milliseconds of an occupied slot for applications.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Units(pub u64);

impl Add for Units {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Units {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Units {
    type Output = Self;

    /// Saturating difference: zero if `other` is larger.
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// A customer's weight in fair sharing, relative to the other customers. Never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Weight(std::num::NonZeroU32);

impl Weight {
    /// The default weight.
    pub const ONE: Self = Self(std::num::NonZeroU32::MIN);

    /// Creates a weight; `None` for zero.
    ///
    /// ```
    /// use siskin_types::cost::Weight;
    /// assert!(Weight::new(0).is_none());
    /// assert_eq!(Weight::new(4).unwrap().get(), 4);
    /// ```
    #[must_use]
    pub fn new(weight: u32) -> Option<Self> {
        std::num::NonZeroU32::new(weight).map(Self)
    }

    /// The weight as a number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0.get()
    }
}

impl Default for Weight {
    fn default() -> Self {
        Self::ONE
    }
}

/// Virtual time of weighted fair queueing: service received per unit of weight, in thousandths of a unit.
///
/// ```
/// use siskin_types::cost::{Units, Virtual, Weight};
/// let weight = Weight::new(4).unwrap();
/// let start = Virtual::ZERO;
/// assert_eq!(start.advanced(Units(10), weight), Virtual::from_millis(2_500));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Virtual(u64);

/// Resolution of virtual time: steps per unit of service.
const MILLIS_PER_UNIT: u64 = 1_000;

impl Virtual {
    /// The virtual time of a new pool.
    pub const ZERO: Self = Self(0);

    /// Creates a virtual time from thousandths of a unit per weight.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Thousandths of a unit per weight.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The virtual time after `units` more service at `weight`.
    #[must_use]
    pub fn advanced(self, units: Units, weight: Weight) -> Self {
        Self(
            self.0
                .saturating_add(units.0.saturating_mul(MILLIS_PER_UNIT) / u64::from(weight.get())),
        )
    }

    /// The virtual time before `units` of service at `weight`, at least zero.
    #[must_use]
    pub fn reduced(self, units: Units, weight: Weight) -> Self {
        Self(
            self.0
                .saturating_sub(units.0.saturating_mul(MILLIS_PER_UNIT) / u64::from(weight.get())),
        )
    }

    /// The virtual time after `units` more service per unit of weight.
    #[must_use]
    pub fn plus(self, units: Units) -> Self {
        self.advanced(units, Weight::ONE)
    }
}
