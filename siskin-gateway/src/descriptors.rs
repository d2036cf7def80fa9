//! Keeps file descriptors free for connections to endpoints.
//!
//! Callers open connections and leave them idle. A router with many callers would use up its descriptors for these
//! connections. It could then neither connect to endpoints nor accept connections, and its callers would wait without a
//! response.

/// Descriptors reserved for files, listeners, the store and other routers.
const RESERVED_DESCRIPTORS: usize = 200;

/// Share of the other descriptors in use by callers' connections from which responses ask callers to close.
const CROWDED_SHARE: f64 = 0.35;

/// Share from which the router is not ready, so that new connections go to other routers.
const FULL_SHARE: f64 = 0.6;

/// Use of file descriptors by connections from callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Enough descriptors are free.
    Free,
    /// Connections are closed after the next response.
    Crowded,
    /// New connections should go to another router.
    Full,
}

/// Returns the state for `open` connections from callers in a process that may open `descriptors`.
///
/// ```
/// use siskin_gateway::descriptors::{State, state};
/// assert_eq!(state(100, 4_100), State::Free);
/// assert_eq!(state(1_500, 4_100), State::Crowded);
/// assert_eq!(state(3_000, 4_100), State::Full);
/// ```
#[must_use]
pub fn state(open: usize, descriptors: usize) -> State {
    #[expect(clippy::cast_precision_loss)]
    let share = open as f64 / descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(1) as f64;
    if share >= FULL_SHARE {
        State::Full
    } else if share >= CROWDED_SHARE {
        State::Crowded
    } else {
        State::Free
    }
}
