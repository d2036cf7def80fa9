//! The process's monotonic clock, and deadlines that count suspended time.

use {
    rustix::time::{ClockId, clock_gettime},
    siskin_types::time::Instant,
    std::time::Duration,
    tokio::time,
};

/// Monotonic clock that starts with the process.
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

    /// The current time. The clock starts at one second, so that times before the start of the process can be represented.
    ///
    /// ```
    /// let clock = siskin_net::clock::Clock::start();
    /// assert!(clock.now() <= clock.now());
    /// ```
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::ZERO + OFFSET + self.start.elapsed()
    }

    /// Converts an instant of this clock to one of the `tokio` runtime.
    #[must_use]
    pub fn deadline(&self, at: Instant) -> time::Instant {
        self.start + (at - (Instant::ZERO + OFFSET))
    }
}

/// Processor time that the calling thread has used.
///
/// ```
/// use siskin_net::clock::thread_cpu_time;
/// let before = thread_cpu_time();
/// assert!(thread_cpu_time() >= before);
/// ```
#[must_use]
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    // The time counts from the start of the thread, so it is never negative.
    Duration::try_from(time).unwrap_or_default()
}

/// Deadline of a request, by both the monotonic clock and the boot-time clock.
///
/// The monotonic clock stops while the VM is suspended, but the caller's clock does not. The deadline has passed as soon
/// as either clock has reached it.
///
/// ```
/// use {siskin_net::clock::Deadline, std::time::Duration, tokio::time::Instant};
/// let (now, boot) = (Instant::now(), Duration::from_secs(900));
/// let second = Duration::from_secs(1);
/// let deadline = Deadline::new(now, boot, 8 * second);
/// assert_eq!(deadline.left_at(now + second, boot + second), 7 * second);
/// assert_eq!(deadline.left_at(now + second, boot + 6 * second), 2 * second);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Deadline {
    at: time::Instant,
    boot: Duration,
}

impl Deadline {
    /// The deadline `time` from now.
    #[must_use]
    pub fn after(time: Duration) -> Self {
        Self::new(time::Instant::now(), boot_time(), time)
    }

    /// The deadline `time` after the given readings of the clocks.
    #[must_use]
    pub fn new(now: time::Instant, boot: Duration, time: Duration) -> Self {
        Self { at: now + time, boot: boot + time }
    }

    /// The deadline by the monotonic clock, for timers. A timer may fire late by the time that the VM was suspended.
    #[must_use]
    pub const fn at(&self) -> time::Instant {
        self.at
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn left(&self) -> Duration {
        self.left_at(time::Instant::now(), boot_time())
    }

    /// Time left at the given readings of the clocks.
    #[must_use]
    pub fn left_at(&self, now: time::Instant, boot: Duration) -> Duration {
        self.at.saturating_duration_since(now).min(self.boot.saturating_sub(boot))
    }

    /// Whether no time is left.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.left().is_zero()
    }
}

/// Time since the system booted, including suspended time, which the monotonic clock omits.
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

/// Reading of the clock at the start of the process.
const OFFSET: Duration = Duration::from_secs(1);
