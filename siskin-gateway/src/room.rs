//! Keeps descriptors free for connections to endpoints.
//!
//! Callers open connections and leave them idle. A router to which many callers come would spend all its descriptors on
//! them and could neither reach endpoints nor accept, so its callers would wait unheard.

/// Descriptors kept for files, listeners, the store and other routers.
const RESERVED: usize = 200;

/// Share of the other descriptors that callers' connections may take before answers ask for a close.
const CROWDED_SHARE: f64 = 0.35;

/// Share at which new connections are sent elsewhere.
const FULL_SHARE: f64 = 0.6;

/// How many connections of callers are open, beside what the process may open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// There is room.
    Free,
    /// Connections are closed after their answer.
    Crowded,
    /// New connections should go to another router.
    Full,
}

/// The state with this many open connections of callers, of a process that may open `descriptors`.
///
/// ```
/// use siskin_gateway::room::{State, state};
/// assert_eq!(state(100, 4_100), State::Free);
/// assert_eq!(state(1_500, 4_100), State::Crowded);
/// assert_eq!(state(3_000, 4_100), State::Full);
/// ```
#[must_use]
pub fn state(open: usize, descriptors: usize) -> State {
    #[expect(clippy::cast_precision_loss)]
    let share = open as f64 / descriptors.saturating_sub(RESERVED).max(1) as f64;
    if share >= FULL_SHARE {
        State::Full
    } else if share >= CROWDED_SHARE {
        State::Crowded
    } else {
        State::Free
    }
}
