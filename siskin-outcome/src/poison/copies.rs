//! Copies of one request that are in flight at one router at the same time.
//!
//! Copies that are sent one after another are held back by the news of a crash. Copies that are sent at the same
//! moment would all be dispatched before it, each to another endpoint.

use {
    super::Fingerprint,
    indexmap::{IndexMap, IndexSet},
    siskin_types::time::Instant,
    std::time::Duration,
};

/// Settings of [`Copies`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Longest wait of a request that is not suspected for an earlier copy of it.
    pub hold: Duration,
    /// Time between the starts of copies of one suspect at different routers.
    pub stagger: Duration,
    /// Longest time by which a suspect starts later for the stagger.
    pub stagger_max: Duration,
    /// Completed requests that are remembered, the latest ones.
    pub max_proven: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            // Most requests that crash an engine do so while their prompt is processed, which takes less than the
            // 1.9 s to the first token; a longer hold would delay ordinary copies noticeably.
            hold: Duration::from_millis(500),
            stagger: Duration::from_millis(200),
            stagger_max: Duration::from_secs(2),
            max_proven: 4_096,
        }
    }
}

/// Whether a copy may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It counts as in flight until [`Copies::left`].
    Go,
    /// It waits until another copy has left, or until the time if there is one.
    Wait {
        /// When to ask again at the latest.
        until: Option<Instant>,
    },
}

/// The copies in flight at one router.
///
/// ```
/// use {
///     siskin_outcome::poison::{Fingerprint, copies::{Copies, Entry, Options}},
///     siskin_types::time::Instant,
/// };
/// let mut copies = Copies::new(Options::default());
/// let (now, request) = (Instant::ZERO, Fingerprint([1; 16]));
/// assert_eq!(copies.enter(now, request, false, now), Entry::Go);
/// assert!(matches!(copies.enter(now, request, false, now), Entry::Wait { until: Some(_) }));
/// copies.completed(request);
/// assert_eq!(copies.enter(now, request, false, now), Entry::Go);
/// ```
#[derive(Debug)]
pub struct Copies {
    options: Options,
    in_flight: IndexMap<Fingerprint, u32>,
    proven: IndexSet<Fingerprint>,
    /// Place of this router among all routers, and their number.
    place: (usize, usize),
}

impl Copies {
    /// Makes a table without copies.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, in_flight: IndexMap::new(), proven: IndexSet::new(), place: (0, 1) }
    }

    /// Takes the place of this router among `routers`.
    pub fn set_place(&mut self, place: usize, routers: usize) {
        self.place = (place, routers.max(1));
    }

    /// A copy that has waited since `since` asks to go on. A suspect waits until no other copy is in flight, and for
    /// its router's turn; another request waits for the first copy, until it has completed or the hold is over.
    pub fn enter(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        suspect: bool,
        since: Instant,
    ) -> Entry {
        let busy = self.in_flight.contains_key(&fingerprint);
        let (until, waits) = if suspect {
            let turn = since + self.turn(fingerprint);
            ((now < turn).then_some(turn), now < turn || busy)
        } else {
            let over = since + self.options.hold;
            (Some(over), busy && now < over && !self.proven.contains(&fingerprint))
        };
        if waits {
            return Entry::Wait { until };
        }
        *self.in_flight.entry(fingerprint).or_default() += 1;
        Entry::Go
    }

    /// A copy that went on is no longer in flight.
    pub fn left(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.swap_remove(&fingerprint);
            }
        }
    }

    /// A copy was completed by an endpoint; later ones do not wait unless the request becomes a suspect.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        if self.proven.insert(fingerprint) && self.proven.len() > self.options.max_proven {
            self.proven.drain(..self.options.max_proven / 8);
        }
    }

    /// How long a suspect waits for the turn of this router. The order differs from request to request.
    fn turn(&self, fingerprint: Fingerprint) -> Duration {
        let (place, routers) = self.place;
        let turn = (place + usize::from(fingerprint.0[0])) % routers;
        let turn = u32::try_from(turn).unwrap_or(u32::MAX);
        self.options.stagger.saturating_mul(turn).min(self.options.stagger_max)
    }
}
