//! Times on this process's clock that may lie before its start.

use {siskin_types::time::Instant, std::time::Duration};

/// Microseconds on this process's clock. Negative for events before the process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timestamp(i64);

impl From<Instant> for Timestamp {
    fn from(instant: Instant) -> Self {
        Self(i64::try_from(instant.as_micros()).unwrap_or(i64::MAX))
    }
}

impl Timestamp {
    pub(crate) fn minus_ms(self, ms: u32) -> Self {
        Self(self.0.saturating_sub(i64::from(ms) * 1_000))
    }

    pub(crate) fn plus(self, time: Duration) -> Self {
        Self(self.0.saturating_add(i64::try_from(time.as_micros()).unwrap_or(i64::MAX)))
    }

    pub(crate) fn age_ms(self, earlier: Self) -> u32 {
        u32::try_from(self.duration_since(earlier).as_millis()).unwrap_or(u32::MAX)
    }

    pub(crate) fn duration_since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }
}
