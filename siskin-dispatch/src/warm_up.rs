//! Rate limits of cold endpoints, which hold for all routers together.
//!
//! An endpoint that has just started, or has lost its caches, is slow for some seconds and crashes under the load that it serves
//! later. Its service states how long that lasts and how many requests a second it sustains meanwhile.
//!
//! Two routers issue the permits for a cold endpoint, half each (see [`spread`](crate::spread)), and a request is sent only with a
//! permit. The bound holds because each issuer counts all its permits that can be used within one second: a permit expires
//! [`PERMIT_LIFETIME`] after it was requested, by the clock of the router that requested it. Shares that each router computes
//! from what it hears, as for limits that endpoints name, add up to more than the bound while routers hear different things.

mod issue;
mod state;

use std::time::Duration;

pub use issue::Part;

pub(crate) use state::State;

/// Time after its request for which a permit can be used.
pub(crate) const PERMIT_LIFETIME: Duration = Duration::from_millis(600);

/// Longest time from the use of a permit to the arrival of the request.
pub(crate) const SEND_TIME: Duration = Duration::from_millis(100);

/// Time between requests for permits. Shortest time until one that has none can get one.
pub(crate) const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time over which the bound counts requests.
const WINDOW: Duration = Duration::from_secs(1);

/// Time over which the issuing router counts permits: those issued within it may arrive within one [`WINDOW`].
const ISSUED_WINDOW: Duration = Duration::from_millis(1_700);

/// Time without permits after an endpoint that was in use has become cold: what was sent in the second before counts, and some
/// routers learn of it later than others.
const QUIET_TIME: Duration = Duration::from_millis(1_250);

/// Time after the end for which permits are still issued, as other routers may learn of the end later.
const LINGER: Duration = Duration::from_secs(1);

/// Longest cold time. An endpoint that is cold for longer has to say so again.
const COLD_MAX: Duration = Duration::from_secs(600);

const _: () = assert!(
    ISSUED_WINDOW.as_millis()
        >= WINDOW.as_millis() + PERMIT_LIFETIME.as_millis() + SEND_TIME.as_millis()
);

/// How endpoints of a service warm up.
///
/// ```
/// use {siskin_dispatch::warm_up::Options, std::time::Duration};
/// let options = Options {
///     duration: Duration::from_secs(3),
///     requests_per_second: 18.0,
///     burst_factor: 1.5,
///     burst_requests: 5.0,
/// };
/// assert_eq!(options.requests_per_second_max(), 32.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold endpoint sustains from all routers together.
    pub requests_per_second: f64,
    /// Multiple of this rate that may arrive within one second.
    pub burst_factor: f64,
    /// Requests that may arrive within one second in addition.
    pub burst_requests: f64,
}

impl Options {
    /// Most requests that may reach a cold endpoint within one second.
    #[must_use]
    pub fn requests_per_second_max(&self) -> f64 {
        self.requests_per_second * self.burst_factor + self.burst_requests
    }
}
