//! How long a request may wait at an endpoint before it is refused instead.
//!
//! A request that waits past its target latency has lost most of its value and delays the requests behind it, so an
//! immediate refusal with a retry time serves callers better. Customers within their fair share may wait for the whole
//! target latency; customers beyond it get the capacity that the others leave.

use crate::share::Standing;

/// Exponent with which the patience falls as a customer's usage exceeds its fair share.
const STEEPNESS: f64 = 3.0;

/// Bounds of the patience, unless the request is refused outright.
const PATIENCE_MIN: f64 = 0.01;
const PATIENCE_MAX: f64 = 1.0;

/// Patience of a customer beyond its fair share while all others get what they ask for. It leaves the others half of
/// their target latency.
const UNCONTESTED_PATIENCE: f64 = 0.5;

/// Unmet demand of the other customers, as a share of the capacity, up to which they count as getting what they ask
/// for.
const UNMET_MAX: f64 = 0.02;

/// A customer beyond its fair share is refused if it got more than this many times the usage of the rival that got
/// least.
const RIVAL_FACTOR: f64 = 1.9;

/// Patience for a request of this customer: the share of its target latency that it may wait; 0 if it is to be refused.
///
/// ```
/// use siskin_dispatch::{admit::patience, share::{Standing, Usage}};
/// let standing = |begun| Standing { usage: Usage { asked: 200, begun }, fair_share: 100.0, rival: None, unmet: 0.5 };
/// assert_eq!(patience(&standing(10)), patience(&standing(100)));
/// assert!(patience(&standing(100)) > patience(&standing(150)));
/// ```
#[must_use]
pub fn patience(standing: &Standing) -> f64 {
    let used_share = standing.used_share().max(f64::EPSILON);
    #[expect(clippy::cast_precision_loss)]
    let is_far_ahead = |rival| standing.usage.begun as f64 > RIVAL_FACTOR * rival as f64;
    if used_share > 1.0 && standing.rival.is_some_and(is_far_ahead) {
        return 0.0;
    }
    let uncontested = if standing.unmet < UNMET_MAX { UNCONTESTED_PATIENCE } else { PATIENCE_MIN };
    used_share.powf(-STEEPNESS).max(uncontested).clamp(PATIENCE_MIN, PATIENCE_MAX)
}
