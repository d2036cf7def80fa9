//! How long a request may wait at an endpoint before it is refused instead.
//!
//! A request that waits past its aim has lost most of its value and delays the ones behind it, so a refusal at once
//! with a time to come back serves callers better. Customers within their share may wait for the whole aim; beyond it, they
//! get what the others leave.

use crate::share::Standing;

/// How steeply the patience falls with what the customer got beyond its share.
const STEEPNESS: f64 = 3.0;

/// Bounds of the share of the aim.
const PATIENCE_MIN: f64 = 0.01;
const PATIENCE_MAX: f64 = 1.0;

/// Share of the aim that a customer beyond its share may wait while all others get what they ask for. It leaves them half
/// of their aim.
const UNCONTESTED: f64 = 0.5;

/// Share of the capacity that the others may ask for in vain meanwhile.
const UNMET_MAX: f64 = 0.02;

/// A customer beyond its share waits for others that want as much once it got this many times what they got.
const RIVAL_FACTOR: f64 = 1.9;

/// Share of the aim that a request of this customer may wait; 0 if it is to be refused.
///
/// ```
/// use siskin_dispatch::{admit::patience, share::{Standing, Usage}};
/// let standing = |begun| Standing { usage: Usage { asked: 200, begun }, level: 100.0, rival: None, unmet: 0.5 };
/// assert_eq!(patience(&standing(10)), patience(&standing(100)));
/// assert!(patience(&standing(100)) > patience(&standing(150)));
/// ```
#[must_use]
pub fn patience(standing: &Standing) -> f64 {
    let filled = standing.filled().max(f64::EPSILON);
    #[expect(clippy::cast_precision_loss)]
    let ahead = |rival| standing.usage.begun as f64 > RIVAL_FACTOR * rival as f64;
    if filled > 1.0 && standing.rival.is_some_and(ahead) {
        return 0.0;
    }
    let uncontested = if standing.unmet < UNMET_MAX { UNCONTESTED } else { PATIENCE_MIN };
    filled.powf(-STEEPNESS).max(uncontested).clamp(PATIENCE_MIN, PATIENCE_MAX)
}
