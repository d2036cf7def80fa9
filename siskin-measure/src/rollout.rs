//! How long a configuration version takes to be in force at all routers.

use {
    crate::tally::{histogram, micros},
    hdrhistogram::Histogram,
    std::{collections::VecDeque, time::Instant},
};

/// Follows the versions in force at the routers.
///
/// ```
/// use siskin_measure::rollout::Rollout;
/// use std::time::{Duration, Instant};
/// let (start, mut rollout) = (Instant::now(), Rollout::default());
/// rollout.sample(start, &[4, 4]);
/// rollout.sample(start + Duration::from_millis(10), &[5, 4]);
/// rollout.sample(start + Duration::from_millis(40), &[5, 6]);
/// assert_eq!(rollout.times().len(), 1);
/// // The histogram keeps three digits.
/// assert!((30_000..30_100).contains(&rollout.times().max()));
/// assert_eq!(rollout.pending(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Rollout {
    /// Highest version seen.
    highest: Option<u64>,
    /// Versions that are in force at some routers only, and since when.
    pending: VecDeque<(u64, Instant)>,
    times: Histogram<u64>,
}

impl Default for Rollout {
    fn default() -> Self {
        Self { highest: None, pending: VecDeque::new(), times: histogram() }
    }
}

impl Rollout {
    /// Adds the versions in force at the running routers. The versions of the first sample are the start.
    pub fn sample(&mut self, now: Instant, versions: &[u64]) {
        let Some((lowest, highest)) = versions.iter().min().zip(versions.iter().max()) else {
            return;
        };
        let known = *self.highest.get_or_insert(*highest);
        self.pending.extend((known + 1..=*highest).map(|version| (version, now)));
        self.highest = Some(known.max(*highest));
        while let Some((version, since)) = self.pending.front().copied() {
            if version > *lowest {
                return;
            }
            self.times.saturating_record(micros(now - since));
            self.pending.pop_front();
        }
    }

    /// Microseconds from the first router to the last one.
    #[must_use]
    pub const fn times(&self) -> &Histogram<u64> {
        &self.times
    }

    /// Versions that are not in force everywhere yet.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}
