//! Limits the copies of one request that one router runs at the same time.
//!
//! If a crashing request is resent only after its failure, the routers already know of the crash and restrict the next
//! copy. Copies that are sent at the same moment would all be dispatched before the first crash is known, each to a
//! different endpoint.

use {
    super::Fingerprint,
    indexmap::{IndexMap, IndexSet},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Settings of [`Limiter`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest time that a request that is not a suspect waits for an earlier copy of it.
    pub max_wait: Duration,
    /// Time between the starts of copies of one suspect at different routers.
    pub stagger: Duration,
    /// Upper limit of the delay that `stagger` causes.
    pub max_stagger: Duration,
    /// Number of completed requests that are remembered; the oldest are forgotten first.
    pub max_completed: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // Most crashing requests crash the engine while it processes the prompt, which ends before the first
            // token at 1.9 s. A longer wait would noticeably delay copies of ordinary requests.
            max_wait: Duration::from_millis(500),
            stagger: Duration::from_millis(200),
            max_stagger: Duration::from_secs(2),
            max_completed: 4_096,
        }
    }
}

/// Whether a copy of a request may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may start, and counts as in flight until [`Limiter::copy_ended`].
    Start,
    /// It must wait until another copy has ended, or until the given time if there is one.
    Wait {
        /// Latest time to call [`Limiter::try_start_copy`] again.
        until: Option<Instant>,
    },
}

/// Limits the copies of each request that one router runs at the same time.
///
/// ```
/// use {
///     siskin_outcome::poison::{Fingerprint, copies::{Limiter, Decision, Options}},
///     siskin_types::time::Instant,
/// };
/// let mut copies = Limiter::new(Options::default());
/// let (now, request) = (Instant::ZERO, Fingerprint([1; 16]));
/// assert_eq!(copies.try_start_copy(now, request, false, now), Decision::Start);
/// assert!(matches!(copies.try_start_copy(now, request, false, now), Decision::Wait { until: Some(_) }));
/// copies.completed(request);
/// assert_eq!(copies.try_start_copy(now, request, false, now), Decision::Start);
/// ```
#[derive(Debug)]
pub struct Limiter {
    options: Options,
    in_flight: IndexMap<Fingerprint, u32>,
    completed: IndexSet<Fingerprint>,
    /// Position of this router among all routers, and their number.
    position: (usize, usize),
}

impl Limiter {
    /// Creates a limiter without copies in flight.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, in_flight: IndexMap::new(), completed: IndexSet::new(), position: (0, 1) }
    }

    /// Sets the position of this router among `routers`.
    pub fn set_router_position(&mut self, position: usize, routers: usize) {
        self.position = (position, routers.max(1));
    }

    /// Decides whether a copy that has waited since `since` may start. A suspect waits until no other copy is in
    /// flight and until the start time of this router. Any other request waits until a copy has completed or none is in
    /// flight, but no longer than [`Options::max_wait`].
    pub fn try_start_copy(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        suspect: bool,
        since: Instant,
    ) -> Decision {
        let has_copy_in_flight = self.in_flight.contains_key(&fingerprint);
        let (until, must_wait) = if suspect {
            let earliest_start = since + self.start_delay(fingerprint);
            (
                (now < earliest_start).then_some(earliest_start),
                now < earliest_start || has_copy_in_flight,
            )
        } else {
            let wait_ends = since + self.options.max_wait;
            (
                Some(wait_ends),
                has_copy_in_flight && now < wait_ends && !self.completed.contains(&fingerprint),
            )
        };
        if must_wait {
            return Decision::Wait { until };
        }
        *self.in_flight.entry(fingerprint).or_default() += 1;
        Decision::Start
    }

    /// A copy that was started is no longer in flight.
    pub fn copy_ended(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.swap_remove(&fingerprint);
            }
        }
    }

    /// An endpoint completed a copy. Later copies do not wait unless the request becomes a suspect.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        if self.completed.insert(fingerprint) && self.completed.len() > self.options.max_completed {
            self.completed.drain(..self.options.max_completed / 8);
        }
    }

    /// How long this router delays the start of a suspect. The order of the routers depends on the fingerprint.
    fn start_delay(&self, fingerprint: Fingerprint) -> Duration {
        let (position, routers) = self.position;
        let slot = (position + usize::from(fingerprint.0[0])) % routers;
        let slot = u32::try_from(slot).unwrap_or(u32::MAX);
        self.options.stagger.saturating_mul(slot).min(self.options.max_stagger)
    }
}
