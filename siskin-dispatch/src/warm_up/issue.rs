//! Permits that this router has issued for one endpoint.

use {
    super::{ISSUED_WINDOW, Options},
    siskin_types::time::Instant,
    std::collections::VecDeque,
};

/// Time for which permits that were not requested can be issued later, in seconds.
const SAVED_SECONDS: f64 = 0.25;

/// Permits issued lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Issued {
    /// When permits were issued, and how many.
    recent: VecDeque<(Instant, u32)>,
    /// Permits that may be issued at the time `credited`, by the rate.
    credit: f64,
    credited: Instant,
}

impl Issued {
    /// Issues up to `wanted` permits: no more than the rate gives, and no more in a window than may arrive within a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "both are small and positive"
    )]
    pub(super) fn issue(&mut self, now: Instant, options: &Options, wanted: u32) -> u32 {
        self.recent.retain(|(at, _)| now - *at < ISSUED_WINDOW);
        let issued: u32 = self.recent.iter().map(|(_, count)| count).sum();
        let max = options.requests_per_second_max().max(0.0) as u32;
        let saved_max = (options.requests_per_second * SAVED_SECONDS).max(1.0);
        let earned = (now - self.credited).as_secs_f64() * options.requests_per_second;
        self.credit = (self.credit + earned).min(saved_max);
        self.credited = now;
        let count = wanted.min(self.credit as u32).min(max.saturating_sub(issued));
        if count > 0 {
            self.credit -= f64::from(count);
            self.recent.push_back((now, count));
        }
        count
    }
}
