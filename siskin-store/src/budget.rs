//! Budget of calls per second.

use {
    crate::Error,
    std::{sync::Mutex, time::Duration},
    tokio::time::Instant,
};

/// Spaces calls evenly after an initial burst.
#[derive(Debug)]
pub(crate) struct Budget {
    /// Time that one call uses up.
    spacing: Duration,
    /// Time that may be used up in advance.
    burst: Duration,
    /// When all calls so far are paid for.
    paid: Mutex<Instant>,
}

impl Budget {
    pub(crate) fn new(calls_per_second: u32, burst: u32) -> Self {
        let spacing = Duration::from_secs(1) / calls_per_second.max(1);
        Self {
            spacing,
            burst: spacing.saturating_mul(burst.max(1) - 1),
            paid: Mutex::new(Instant::now()),
        }
    }

    /// Waits until a call may be sent; fails at once if that takes longer than `patience`.
    pub(crate) async fn take(&self, patience: Duration) -> Result<(), Error> {
        let start = self.reserve(Instant::now(), patience).ok_or(Error::Budget)?;
        tokio::time::sleep_until(start).await;
        Ok(())
    }

    fn reserve(&self, now: Instant, patience: Duration) -> Option<Instant> {
        let mut paid = crate::lock(&self.paid);
        let base = (*paid).max(now);
        let start = base.checked_sub(self.burst).unwrap_or(now).max(now);
        if start > now + patience {
            return None;
        }
        *paid = base + self.spacing;
        Some(start)
    }
}
