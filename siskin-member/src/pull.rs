//! Full views: requests for them, which are made on joining and after a partition, and their division into pieces.

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

/// Time in which all pieces of a requested view must arrive.
const VIEW_TIMEOUT: Duration = Duration::from_secs(1);

/// Pieces sent per second on average. Limits the load on a seed when the whole fleet starts at once.
const PIECES_PER_SECOND: u64 = 64;

/// Most pieces sent at once: enough for a view of 1,200 members to each of four joining routers.
const PIECES_BURST: u64 = 512;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A request for a full view that is not completely answered yet.
#[derive(Debug)]
struct Request {
    number: u32,
    sent: Instant,
    received: IndexSet<u16>,
}

/// State of the requests for full views, and the rate limit of the answers.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    pending: Option<Request>,
    /// A full view has been received, or there are no seeds to request it from.
    pub(crate) joined: bool,
    /// Earliest time of the next request for a full view.
    pub(crate) next_request_at: Instant,
    /// Earliest time of the next request about unreachable members.
    pub(crate) next_recheck_at: Instant,
    /// When a seed address is contacted next.
    pub(crate) next_seed_at: Instant,
    /// Token bucket of pieces: millionths of a piece, as of `refilled_at`.
    tokens: u64,
    refilled_at: Instant,
}

impl Exchange {
    pub(crate) fn new() -> Self {
        Self { tokens: PIECES_BURST * MICROS_PER_SECOND, ..Self::default() }
    }

    pub(crate) fn record_request(&mut self, now: Instant, number: u32) {
        self.pending = Some(Request { number, sent: now, received: IndexSet::new() });
    }

    pub(crate) fn is_waiting(&self, now: Instant) -> bool {
        self.pending.as_ref().is_some_and(|request| now - request.sent < VIEW_TIMEOUT)
    }

    /// Records a received piece. Returns whether the view is complete.
    pub(crate) fn record_piece(&mut self, number: u32, piece: u16, pieces: u16) -> bool {
        let Some(request) = self.pending.as_mut().filter(|request| request.number == number) else {
            return false;
        };
        request.received.insert(piece);
        let complete = request.received.len() >= usize::from(pieces);
        if complete {
            self.pending = None;
            self.joined = true;
        }
        complete
    }

    /// Takes up to `wanted` pieces from the token bucket. Returns how many may be sent.
    pub(crate) fn take_pieces(&mut self, now: Instant, wanted: usize) -> usize {
        let micros = u64::try_from((now - self.refilled_at).as_micros()).unwrap_or(u64::MAX);
        let refill = micros.saturating_mul(PIECES_PER_SECOND);
        self.tokens = self.tokens.saturating_add(refill).min(PIECES_BURST * MICROS_PER_SECOND);
        self.refilled_at = now;
        let wanted = u64::try_from(wanted).unwrap_or(u64::MAX);
        let granted = wanted.min(self.tokens / MICROS_PER_SECOND);
        self.tokens -= granted * MICROS_PER_SECOND;
        usize::try_from(granted).unwrap_or(usize::MAX)
    }
}

/// Divides entries into pieces that fit a datagram. There is always at least one piece, which may be empty.
pub(crate) fn split_entries(entries: impl Iterator<Item = Update>) -> Vec<Vec<Update>> {
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
