//! Permits that this router has issued for one endpoint.

use {
    super::{ISSUED_WINDOW, Options},
    siskin_types::time::Instant,
    std::collections::VecDeque,
};

/// Time for which permits that were not requested can be issued later, in seconds.
const SAVED_SECONDS: f64 = 0.25;

/// The part of an endpoint's permits that a router issues. If one of two issuers has stopped, the other part is still issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The half that is rounded down.
    SmallerHalf,
    /// The half that is rounded up.
    LargerHalf,
    /// All permits.
    Whole,
}

impl Part {
    /// The part of this number of permits.
    ///
    /// ```
    /// use siskin_dispatch::warm_up::Part;
    /// assert_eq!(Part::SmallerHalf.of(19) + Part::LargerHalf.of(19), Part::Whole.of(19));
    /// ```
    #[must_use]
    pub const fn of(self, permits: u32) -> u32 {
        match self {
            Self::SmallerHalf => permits / 2,
            Self::LargerHalf => permits.div_ceil(2),
            Self::Whole => permits,
        }
    }

    const fn share(self) -> f64 {
        match self {
            Self::SmallerHalf | Self::LargerHalf => 0.5,
            Self::Whole => 1.0,
        }
    }
}

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
    /// Issues up to `wanted` permits: no more than the part of the rate gives, and no more in a window than the part of what may
    /// arrive within a second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "both are small and positive"
    )]
    pub(super) fn issue(
        &mut self,
        now: Instant,
        options: &Options,
        part: Part,
        wanted: u32,
    ) -> u32 {
        self.recent.retain(|(at, _)| now - *at < ISSUED_WINDOW);
        let issued: u32 = self.recent.iter().map(|(_, count)| count).sum();
        let max = part.of(options.requests_per_second_max().max(0.0) as u32);
        let rate = options.requests_per_second * part.share();
        let saved_max = (rate * SAVED_SECONDS).max(1.0);
        let earned = (now - self.credited).as_secs_f64() * rate;
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
