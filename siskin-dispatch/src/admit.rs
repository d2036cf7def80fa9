//! How long a request may wait at an endpoint before it is refused instead.
//!
//! A request that waits past its aim has lost most of its value and delays the ones behind it, so a refusal at once
//! with a time to come back serves callers better. Customers that got less than they are owed may wait longest.

use crate::share::Standing;

/// Share of the aim that a request may wait if its customer got just what it is owed.
const PATIENCE: f64 = 0.6;

/// How steeply the patience falls with what the customer got.
const STEEPNESS: f64 = 2.0;

/// Bounds of the share of the aim.
const PATIENCE_MIN: f64 = 0.01;
const PATIENCE_MAX: f64 = 1.1;

/// Share of the aim that a request of this customer may wait.
///
/// ```
/// use siskin_dispatch::{admit::patience, share::{Standing, Usage}};
/// let standing = |begun| Standing { usage: Usage { asked: 200, begun }, owed: 100.0 };
/// assert!(patience(&standing(10)) > patience(&standing(80)));
/// assert!(patience(&standing(80)) > patience(&standing(150)));
/// ```
#[must_use]
pub fn patience(standing: &Standing) -> f64 {
    let filled = standing.filled().max(f64::EPSILON);
    (PATIENCE * filled.powf(-STEEPNESS)).clamp(PATIENCE_MIN, PATIENCE_MAX)
}
