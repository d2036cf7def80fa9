//! Limits that endpoints name in their answers: the requests per second that an endpoint takes from all routers together.
//!
//! The routers divide a limit among themselves in proportion to the requests that their callers make ([`Demand`]), because
//! equal parts would leave an endpoint idle where callers are uneven. In a large fleet, a part is less than one request in a
//! while; it is accumulated, and a request that is not sent for lack of callers lapses after some seconds, so that an idle
//! fleet does not save up a burst. In addition, the routers report to each other what they have sent, and all send faster or
//! slower as an endpoint has got less or more than its limit.
//!
//! A router that receives reports from at most half of the fleet uses only the part of the routers that report. So both sides of
//! an evenly split fleet use half of the limit each. The larger side of an uneven split uses the whole limit, as it cannot
//! distinguish a partition from routers that have stopped.

mod count;
mod demand;
mod usage;

use std::time::Duration;

pub(crate) use {
    demand::{Demand, Part},
    usage::Usage,
};

/// Time constant with which requests that were counted are forgotten, in the use of limits and in the demand.
const MEMORY: Duration = Duration::from_secs(4);

/// Lowest rate at which an endpoint gets requests, whatever its limit: without an answer nobody would notice the limit's end.
const RATE_MIN: Rate = Rate(100);

/// Requests per second, in thousandths.
///
/// ```
/// use siskin_dispatch::limit::Rate;
/// assert_eq!(Rate::from_per_second(5.9), Some(Rate(5_900)));
/// assert_eq!(Rate::from_per_second(-1.0), None);
/// assert_eq!(Rate::from_per_second(f64::NAN), None);
/// assert_eq!(Rate(250).per_second(), 0.25);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(pub u32);

impl Rate {
    /// Converts a number of requests per second, rounded down. Returns `None` for numbers that are negative or not finite;
    /// those that do not fit become the highest rate.
    #[must_use]
    pub fn from_per_second(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(to_thousandths(per_second)))
    }

    /// The number of requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        from_thousandths(self.0)
    }
}

/// What an answer of an endpoint says of its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Notice {
    /// The endpoint has no limit.
    #[default]
    Unlimited,
    /// The endpoint takes this many requests from all routers together.
    Limited(Rate),
    /// It cannot be read, or the answer comes from another instance. What was known before stays in force.
    Unknown,
}

/// Converts a number to thousandths, rounded down. One that does not fit becomes the largest.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "both are checked")]
fn to_thousandths(number: f64) -> u32 {
    (number * 1_000.0).clamp(0.0, f64::from(u32::MAX)) as u32
}

fn from_thousandths(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1_000.0
}
