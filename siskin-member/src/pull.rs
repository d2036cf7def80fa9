//! Full views: requesting them on joining and after healing, and cutting them into pieces.

use {
    indexmap::IndexSet,
    siskin_types::time::Instant,
    siskin_wire::member::{MAX_DATA_CENTRE_BYTES, Update},
    std::time::Duration,
};

/// Bytes of entries in a piece: what remains of a datagram of 1,200 bytes after the frame (at most 42), the sender and
/// the other fields (at most 120) and one update (at most 72).
const PIECE_BYTES: usize = 960;

/// Bytes of an entry besides its data centre: node, incarnation, address and status at their longest.
const ENTRY_BYTES: usize = 5 + 10 + 20 + 4 + 1;

/// Time in which all pieces of a view must arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pieces sent per second on average, which limits what a seed spends on a fleet that starts all at once.
const PIECES_PER_SECOND: u64 = 64;

/// Pieces sent at once at most: a view of 1,200 members to each of four joining routers.
const PIECES_BURST: u64 = 512;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A request whose answer is awaited.
#[derive(Debug)]
struct Awaited {
    number: u32,
    sent: Instant,
    received: IndexSet<u16>,
}

#[derive(Debug, Default)]
pub(crate) struct Exchange {
    awaited: Option<Awaited>,
    /// A full view has arrived.
    pub(crate) joined: bool,
    /// Earliest time of the next request.
    pub(crate) next: Instant,
    /// Earliest time of the next question about unreachable members.
    pub(crate) next_recheck: Instant,
    /// When a seed address that no visible member has is tried again.
    pub(crate) next_seed: Instant,
    /// Pieces that may be sent, in millionths, at `budget_at`.
    budget: u64,
    budget_at: Instant,
}

impl Exchange {
    pub(crate) fn new() -> Self {
        Self { budget: PIECES_BURST * MICROS_PER_SECOND, ..Self::default() }
    }

    pub(crate) fn requested(&mut self, now: Instant, number: u32) {
        self.awaited = Some(Awaited { number, sent: now, received: IndexSet::new() });
    }

    pub(crate) fn waiting(&self, now: Instant) -> bool {
        self.awaited.as_ref().is_some_and(|awaited| now - awaited.sent < ANSWER_TIMEOUT)
    }

    /// A piece has arrived. Returns whether the view is complete.
    pub(crate) fn received(&mut self, number: u32, piece: u16, pieces: u16) -> bool {
        let Some(awaited) = self.awaited.as_mut().filter(|awaited| awaited.number == number) else {
            return false;
        };
        awaited.received.insert(piece);
        let complete = awaited.received.len() >= usize::from(pieces);
        if complete {
            self.awaited = None;
            self.joined = true;
        }
        complete
    }

    /// Takes as many pieces from the budget as it allows, at most `wanted`.
    pub(crate) fn allow(&mut self, now: Instant, wanted: usize) -> usize {
        let micros = u64::try_from((now - self.budget_at).as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(PIECES_PER_SECOND);
        self.budget = self.budget.saturating_add(refill).min(PIECES_BURST * MICROS_PER_SECOND);
        self.budget_at = now;
        let wanted = u64::try_from(wanted).unwrap_or(u64::MAX);
        let granted = wanted.min(self.budget / MICROS_PER_SECOND);
        self.budget -= granted * MICROS_PER_SECOND;
        usize::try_from(granted).unwrap_or(usize::MAX)
    }
}

/// Cuts entries into pieces that fit a datagram. There is always at least one piece.
pub(crate) fn pieces(entries: impl Iterator<Item = Update>) -> Vec<Vec<Update>> {
    let mut pieces = vec![Vec::new()];
    let mut used = 0;
    for entry in entries {
        let size = ENTRY_BYTES + entry.about.data_centre.len().min(MAX_DATA_CENTRE_BYTES);
        if used + size > PIECE_BYTES {
            pieces.push(Vec::new());
            used = 0;
        }
        used += size;
        if let Some(piece) = pieces.last_mut() {
            piece.push(entry);
        }
    }
    pieces
}
