//! Monotonic time, passed as an argument to code that must not read the clock itself.

use {
    serde::{Deserialize, Serialize},
    std::{
        ops::{Add, Sub},
        time::Duration,
    },
};

/// Microseconds since an arbitrary origin, by the monotonic clock of one process.
///
/// Values of different processes must not be compared.
///
/// ```
/// use {siskin_types::time::Instant, std::time::Duration};
/// let start = Instant::from_micros(500);
/// let later = start + Duration::from_millis(2);
/// assert_eq!(later - start, Duration::from_millis(2));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(u64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the origin of the clock.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin of the clock.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The instant `duration` earlier, but not before the origin of the clock.
    ///
    /// ```
    /// use {siskin_types::time::Instant, std::time::Duration};
    /// let at = Instant::from_micros(500);
    /// assert_eq!(at.saturating_sub(Duration::from_micros(200)), Instant::from_micros(300));
    /// assert_eq!(at.saturating_sub(Duration::from_secs(1)), Instant::ZERO);
    /// ```
    #[must_use]
    pub fn saturating_sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for Instant {
    type Output = Duration;

    /// Saturating difference: zero if `earlier` is later than `self`.
    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}
