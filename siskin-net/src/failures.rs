//! Log lines about failures that repeat, such as those of a store that is down.

use {
    siskin_types::time::Instant,
    std::{collections::HashMap, time::Duration},
};

/// Shortest time between two lines about failures of the same kind.
pub const SPACING: Duration = Duration::from_secs(10);

/// Lets one line per kind and [`SPACING`] through and counts the others.
///
/// ```
/// use {siskin_net::failures::Limiter, siskin_types::time::Instant, std::time::Duration};
/// let mut limiter = Limiter::default();
/// let now = Instant::from_micros(5);
/// assert_eq!(limiter.failed(now, "lease"), Some(0));
/// assert_eq!(limiter.failed(now, "lease"), None);
/// assert_eq!(limiter.failed(now, "watch"), Some(0), "kinds are counted apart");
/// assert_eq!(limiter.failed(now + Duration::from_secs(10), "lease"), Some(1));
/// ```
#[derive(Debug, Default)]
pub struct Limiter {
    /// When the last line of a kind was let through, and how many failures followed it.
    kinds: HashMap<&'static str, (Instant, u64)>,
}

impl Limiter {
    /// Whether a failure is to be logged, and how many were left out since the last one that was.
    pub fn failed(&mut self, now: Instant, kind: &'static str) -> Option<u64> {
        match self.kinds.get_mut(kind) {
            Some((last, left_out)) if now - *last < SPACING => {
                *left_out += 1;
                None
            }
            Some((last, left_out)) => {
                *last = now;
                Some(std::mem::take(left_out))
            }
            None => {
                self.kinds.insert(kind, (now, 0));
                Some(0)
            }
        }
    }
}
