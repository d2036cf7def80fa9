//! Permits that this router has issued for one endpoint.

use {
    super::{ISSUED_WINDOW, Options},
    crate::prompt::mix,
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

/// Time constant with which requests for permits are forgotten, in seconds.
const WANTED_MEMORY_SECONDS: f64 = 0.5;

/// Factor on the part of a request that is served while more permits are wanted than there are. Above 1, as requests differ from one
/// moment to the next and permits should not stay unused.
const SERVED_FACTOR: f64 = 3.0;

/// Permits issued lately.
#[derive(Clone, Debug, Default)]
pub(super) struct Issued {
    /// When permits were issued, and how many.
    recent: VecDeque<(Instant, u32)>,
    /// Permits that may be issued at the time `credited`, by the rate.
    credit: f64,
    credited: Instant,
    /// Permits wanted at the time `credited`, each of which is forgotten exponentially.
    wanted: f64,
}

impl Issued {
    /// Issues up to `wanted` permits: no more than the part of the rate gives, and no more in a window than the part of what may
    /// arrive within a second. All routers get about the same share of what they want.
    pub(super) fn issue(
        &mut self,
        now: Instant,
        options: &Options,
        part: Part,
        wanted: u32,
    ) -> u32 {
        self.recent.retain(|(at, _)| now - *at < ISSUED_WINDOW);
        let issued: u32 = self.recent.iter().map(|(_, count)| count).sum();
        let max = part.of(round_down(options.requests_per_second_max()));
        let rate = options.requests_per_second * part.share();
        let passed = (now - self.credited).as_secs_f64();
        self.credited = now;
        self.credit = (self.credit + passed * rate).min((rate * SAVED_SECONDS).max(1.0));
        self.wanted = self.wanted * (-passed / WANTED_MEMORY_SECONDS).exp() + f64::from(wanted);
        let served = self.share_served(now, rate, wanted);
        let count = served.min(round_down(self.credit)).min(max.saturating_sub(issued));
        if count > 0 {
            self.credit -= f64::from(count);
            self.recent.push_back((now, count));
        }
        count
    }

    /// The share of the permits wanted in a request that may be issued, in whole permits by chance.
    fn share_served(&self, now: Instant, rate: f64, wanted: u32) -> u32 {
        let share = rate * WANTED_MEMORY_SECONDS * SERVED_FACTOR / self.wanted;
        #[expect(clippy::cast_precision_loss, reason = "below 1,024")]
        let random = (mix(now.as_micros(), self.wanted.to_bits()) % 1_024) as f64 / 1_024.0;
        round_down(f64::from(wanted) * share.min(1.0) + random)
    }
}

/// The whole part of a number; 0 for a negative one.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "it saturates")]
fn round_down(number: f64) -> u32 {
    number as u32
}
