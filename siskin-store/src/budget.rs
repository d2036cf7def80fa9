//! Client-side rate limiter for store calls.

use {
    crate::Error,
    std::{sync::Mutex, time::Duration},
    tokio::time::Instant,
};

/// Rate limiter: allows a burst, then spaces calls evenly.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Interval between calls at the configured rate.
    interval: Duration,
    /// How far calls may run ahead of the configured rate.
    burst: Duration,
    /// Time up to which the calls so far use the configured rate; the next call is due then.
    next_due: Mutex<Instant>,
}

impl Budget {
    pub(crate) fn new(calls_per_second: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / calls_per_second.max(1);
        Self {
            interval,
            burst: interval.saturating_mul(burst.max(1) - 1),
            next_due: Mutex::new(Instant::now()),
        }
    }

    /// Waits until a call may be sent; fails at once if the wait would exceed `max_wait`.
    pub(crate) async fn acquire(&self, max_wait: Duration) -> Result<(), Error> {
        let start = self.reserve(Instant::now(), max_wait).ok_or(Error::Budget)?;
        tokio::time::sleep_until(start).await;
        Ok(())
    }

    /// Reserves the next call and returns when it may be sent; `None` if that is later than `max_wait` from now.
    fn reserve(&self, now: Instant, max_wait: Duration) -> Option<Instant> {
        let mut next_due = crate::lock(&self.next_due);
        let base = (*next_due).max(now);
        let start = base.checked_sub(self.burst).unwrap_or(now).max(now);
        if start > now + max_wait {
            return None;
        }
        *next_due = base + self.interval;
        Some(start)
    }
}
