//! The process's monotonic clock in the form that decision code takes.

use {
    rustix::time::{ClockId, clock_gettime},
    siskin_types::time::Instant,
    std::time::Duration,
    tokio::time,
};

/// Counts time from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self { start: time::Instant::now() }
    }

    /// The current time. It starts at one second, so that times before the start of the process exist.
    ///
    /// ```
    /// let clock = siskin_net::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::ZERO + OFFSET + self.start.elapsed()
    }

    /// The runtime's time for an instant of this clock.
    #[must_use]
    pub fn deadline(&self, at: Instant) -> time::Instant {
        self.start + (at - (Instant::ZERO + OFFSET))
    }
}

/// Time since the system started, with the time in which it was suspended. The other clock leaves that out.
///
/// ```
/// assert!(siskin_net::clock::boot_time() <= siskin_net::clock::boot_time());
/// ```
#[must_use]
pub fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Time on the clock when the process starts.
const OFFSET: Duration = Duration::from_secs(1);
