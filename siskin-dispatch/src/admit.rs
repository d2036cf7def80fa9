//! How long a request may wait at an endpoint before it is refused instead.
//!
//! A request that waits past its aim has lost most of its value and delays the ones behind it, so a refusal at once
//! with a time to come back serves callers better. Customers that got less than they are owed may wait longest.

use crate::share::Standing;

/// Share of the aim that a request may wait.
const PATIENCE: f64 = 0.7;

/// Share of the aim for a customer that got more than it is owed.
const PATIENCE_OVER: f64 = 0.3;

/// Share of the aim for a customer that got much less than it is owed.
const PATIENCE_UNDER: f64 = 1.0;

/// Share of what a customer is owed below which it got much less.
const UNDER: f64 = 0.5;

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
    let filled = standing.filled();
    if filled > 1.0 {
        PATIENCE_OVER
    } else if filled < UNDER {
        PATIENCE_UNDER
    } else {
        PATIENCE
    }
}
