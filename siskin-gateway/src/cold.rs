//! Until when endpoints are cold, as far as their entries in the platform's store say.
//!
//! An entry states for how long its endpoint remains cold as of its writing. Just after an endpoint appears, or after the drain of its
//! data centre, the entry may not say so yet. The endpoint then counts as cold until the entry is written again.

use {
    crate::directory::Directory,
    indexmap::IndexMap,
    siskin_types::{id::Endpoint, position::Position, time::Instant},
    std::time::Duration,
};

/// Ends that differ by less are taken for the same one, because an entry is read some time after it was written. A change of the end
/// makes routers send each other the whole list.
const TOLERANCE: Duration = Duration::from_millis(300);

/// An entry that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The endpoint that it lists.
    pub endpoint: Endpoint,
    /// Position at which it was written.
    pub position: Position,
    /// Time for which the endpoint remained cold when it was written.
    pub cold_for: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// End of the cold time; not later than now if the endpoint is warm.
    until: Instant,
    /// Entries that were written up to here are known, or say nothing about the present.
    settled: Position,
}

/// Until when listed endpoints are cold.
///
/// ```
/// use {
///     siskin_gateway::cold::{Entry, Tracker},
///     siskin_types::{id::Endpoint, time::Instant},
///     std::time::Duration,
/// };
/// let (now, second) = (Instant::from_micros(60_000_000), Duration::from_secs(1));
/// let entry = |position: u64, cold_for| Entry { endpoint: Endpoint(1), position: position.into(), cold_for };
/// let mut tracker = Tracker::default();
/// tracker.record_entry(now, entry(7, Duration::ZERO), 3 * second);
/// assert_eq!(tracker.cold_until(now, Endpoint(1)), Some(now + 3 * second), "it has just appeared");
/// tracker.record_entry(now + second, entry(9, Duration::ZERO), 3 * second);
/// assert_eq!(tracker.cold_until(now + second, Endpoint(1)), None, "it says itself that it is warm");
/// ```
#[derive(Debug, Default)]
pub struct Tracker {
    by_endpoint: IndexMap<Endpoint, State>,
}

impl Tracker {
    /// Applies an entry. An endpoint that was not listed before counts as cold for at least `presumed`. Returns whether the end of its
    /// cold time has changed.
    pub fn record_entry(&mut self, now: Instant, entry: Entry, presumed: Duration) -> bool {
        let Entry { endpoint, position, cold_for } = entry;
        let Some(known) = self.by_endpoint.get_mut(&endpoint) else {
            let cold_for = cold_for.max(presumed);
            self.by_endpoint.insert(endpoint, State { until: now + cold_for, settled: position });
            return !cold_for.is_zero();
        };
        if position <= known.settled {
            return false;
        }
        known.settled = position;
        let until = now + cold_for;
        let before = known.until.max(now);
        if (until - before).max(before - until) < TOLERANCE {
            return false;
        }
        known.until = until;
        true
    }

    /// Records that the drain of an endpoint's data centre has ended at a position: entries written before say nothing about the time
    /// after it, and until then the endpoint counts as cold for this time.
    pub fn record_drain_end(
        &mut self,
        now: Instant,
        endpoint: Endpoint,
        position: Position,
        presumed: Duration,
    ) {
        let state = self.by_endpoint.entry(endpoint).or_default();
        state.until = state.until.max(now + presumed);
        state.settled = state.settled.max(position);
    }

    /// Records that entries written up to this position say nothing new, because they belong to an older copy of the store.
    pub fn settle(&mut self, position: Position) {
        for state in self.by_endpoint.values_mut() {
            state.settled = state.settled.max(position);
        }
    }

    /// Takes over what a list of another router says, unless a newer entry is known.
    pub fn adopt(&mut self, directory: &Directory) {
        for endpoint in directory.endpoints() {
            let until = directory.cold_until(endpoint.id).unwrap_or_default();
            let state = self.by_endpoint.entry(endpoint.id).or_default();
            if state.settled <= directory.position() {
                *state = State { until, settled: directory.position() };
            }
        }
    }

    /// Forgets the endpoints for which `listed` is false.
    pub fn retain(&mut self, listed: impl Fn(Endpoint) -> bool) {
        self.by_endpoint.retain(|endpoint, _| listed(*endpoint));
    }

    /// The endpoints that are cold, and until when.
    pub fn ends(&self, now: Instant) -> impl Iterator<Item = (Endpoint, Instant)> {
        let ends = self.by_endpoint.iter().map(|(endpoint, state)| (*endpoint, state.until));
        ends.filter(move |(_, until)| *until > now)
    }

    /// Until when an endpoint is cold; `None` if it is warm.
    #[must_use]
    pub fn cold_until(&self, now: Instant, endpoint: Endpoint) -> Option<Instant> {
        let until = self.by_endpoint.get(&endpoint)?.until;
        (until > now).then_some(until)
    }
}
