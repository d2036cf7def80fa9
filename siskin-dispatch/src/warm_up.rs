//! Rate limits of cold endpoints, which hold for all routers together.
//!
//! An endpoint that has just started, or has lost its caches, is slow for some seconds and crashes under the load that it serves
//! later. Its service states how long that lasts and how many requests a second it sustains meanwhile.

use std::time::Duration;

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
