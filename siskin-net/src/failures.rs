//! Rate limit for log lines about repeated failures, such as those of a store that is down.

use {
    siskin_types::time::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Shortest interval between two lines about failures of the same kind.
pub const SPACING: Duration = Duration::from_secs(10);

/// Allows one log line per kind in each [`SPACING`] and counts the suppressed ones.
///
/// ```
/// use {siskin_net::failures::Limiter, siskin_types::time::Instant, std::time::Duration};
/// let mut limiter = Limiter::default();
/// let now = Instant::from_micros(5);
/// assert_eq!(limiter.failed(now, "lease"), Some(0));
/// assert_eq!(limiter.failed(now, "lease"), None);
/// assert_eq!(limiter.failed(now, "watch"), Some(0), "kinds are limited independently");
/// assert_eq!(limiter.failed(now + Duration::from_secs(10), "lease"), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct Limiter {
    /// By kind: when the last line was logged, and the number of suppressed lines since.
    kinds: HashMap<&'static str, (Instant, u64)>,
}

impl Limiter {
    /// Records a failure. Returns `None` if its line is to be suppressed; otherwise the number of lines suppressed since
    /// the last logged one.
    pub fn failed(&mut self, now: Instant, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last, suppressed)) if now - *last < SPACING => {
                *suppressed += 1;
                None
            }
            Some((last, suppressed)) => {
                *last = now;
                Some(std::mem::take(suppressed))
            }
            None => {
                self.kinds.insert(kind, (now, 0));
                Some(0)
            }
        }
    }
}
