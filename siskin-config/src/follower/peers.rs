//! Exchange of announcements, entries and snapshots with other routers.

use {
    super::{Action, BATCH, CONFIRM_INTERVAL, Error, Follower},
    crate::snapshot::Snapshot,
    siskin_types::{id, time::Instant},
    siskin_wire::config::{
        Announcement, Entries, EntriesRequest, Message, Snapshot as Piece, SnapshotRequest,
    },
    std::{sync::Arc, time::Duration},
};

/// How long to wait for a peer's answer before asking another.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Allowance for transit that is added to each received age. Routers keep the smallest age they receive
/// and pass it on, so without it the transit times would add up uncounted, and during an outage of the
/// store the configuration would look increasingly more recent than it is.
const TRANSIT_ALLOWANCE_MS: u32 = 500;

/// Maximum number of routers that are kept as sources of a newer version.
const MAX_CANDIDATES: usize = 4;

/// Maximum size of the entries in one answer. The first entry is sent regardless of its size.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Size of a piece of a snapshot.
const PIECE_BYTES: usize = 32 << 10;

/// Maximum number of pieces of a received snapshot, so that a faulty peer cannot exhaust memory.
const MAX_PIECES: u32 = 1_024;

/// How long an encoded snapshot is kept after the last request for a piece.
const OUTGOING_RETENTION: Duration = Duration::from_secs(10);

/// How long the highest announced version is kept. Equals the time for which an unreachable member stays
/// known.
const NEWEST_RETENTION: Duration = Duration::from_secs(3_600);

/// State of the exchange with other routers.
#[derive(Debug, Default)]
pub(super) struct Peers {
    candidates: Vec<Candidate>,
    fetch: Option<Fetch>,
    outgoing: Option<Outgoing>,
    newest: Option<(u64, Instant)>,
}

/// A router that announced a newer version.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    node: id::Node,
    version: u64,
}

/// A request that awaits its answer.
#[derive(Debug)]
struct Fetch {
    from: id::Node,
    sent: Instant,
    transfer: Option<Transfer>,
}

/// A snapshot that is being received.
#[derive(Debug, Default)]
struct Transfer {
    version: Option<u64>,
    pieces: u32,
    next: u32,
    bytes: Vec<u8>,
}

/// A snapshot that is being sent.
#[derive(Debug)]
struct Outgoing {
    version: u64,
    bytes: Arc<[u8]>,
    used: Instant,
}

impl Peers {
    pub(super) fn newest(&self, now: Instant) -> u64 {
        let newest = self.newest.filter(|(_, heard)| now - *heard < NEWEST_RETENTION);
        newest.map_or(0, |(version, _)| version)
    }
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from((now - at).as_millis()).unwrap_or(u32::MAX)
}

/// The instant the given number of milliseconds before `now`.
fn instant_ago(now: Instant, age_ms: u32) -> Instant {
    Instant::from_micros(now.as_micros().saturating_sub(u64::from(age_ms) * 1_000))
}

impl Follower {
    /// The announcement of this router's version. Other gossip messages may carry it too.
    #[must_use]
    pub fn announcement(&self, now: Instant) -> Announcement {
        let diverged = if self.divergence.is_some() { Some(now) } else { self.divergence_reported };
        Announcement {
            version: self.newest(),
            decided: self.decided,
            ready: self.ready,
            hash: self.latest.hash.short(),
            confirmed_ms_ago: self.confirmed.map(|at| age_ms(now, at)),
            diverged_ms_ago: diverged.map(|at| age_ms(now, at)),
        }
    }

    pub(super) fn announce(&self, now: Instant, fanout: usize) -> Action {
        Action::Announce { fanout, announcement: self.announcement(now) }
    }

    /// Processes a message from another router.
    pub fn receive_message(
        &mut self,
        now: Instant,
        from: id::Node,
        message: &Message,
    ) -> Vec<Action> {
        match message {
            Message::Announcement(announcement) => {
                self.receive_announcement(now, from, announcement)
            }
            Message::EntriesRequest(request) => self.answer_entries_request(from, *request),
            Message::Entries(entries) => self.receive_entries(now, from, entries),
            Message::SnapshotRequest(request) => self.answer_snapshot_request(now, from, *request),
            Message::Snapshot(piece) => self.receive_piece(now, from, piece),
            Message::Acknowledgement(holding) => self.receive_holding(now, from, *holding),
            Message::Tally(held) => self.receive_held(now, from, *held),
        }
    }

    /// Processes another router's announcement.
    pub fn receive_announcement(
        &mut self,
        now: Instant,
        from: id::Node,
        announcement: &Announcement,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(age) = announcement.diverged_ms_ago {
            self.divergence_reported = self.divergence_reported.max(Some(instant_ago(now, age)));
        }
        if self.peers.newest.is_none_or(|(newest, _)| announcement.version >= newest) {
            self.peers.newest = Some((announcement.version, now));
        }
        let before = self.known_versions();
        if announcement.ready && announcement.version == self.newest() {
            self.receive_same_version(now, announcement, &mut actions);
        } else if announcement.version > self.newest() {
            self.mark_decided(announcement.decided);
            self.fetch_newer(now, from, announcement.version, &mut actions);
        }
        self.report_changes(now, before, &mut actions);
        if self.ready && self.has_newer_information(now, announcement) {
            let message = Message::Announcement(self.announcement(now));
            actions.push(Action::Send { to: from, message });
        }
        actions
    }

    /// Whether this router's announcement has newer information than the given one.
    fn has_newer_information(&self, now: Instant, announcement: &Announcement) -> bool {
        let theirs = announcement.confirmed_ms_ago.map(|age| instant_ago(now, age));
        let fresher = self.confirmed > theirs.map(|at| at + CONFIRM_INTERVAL);
        !announcement.ready
            || announcement.version < self.newest()
            || announcement.decided < self.decided
            || announcement.version == self.newest() && fresher
    }

    fn receive_same_version(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<Action>,
    ) {
        if announcement.hash != self.latest.hash.short() {
            self.divergence_reported = Some(now);
            return;
        }
        self.mark_decided(announcement.decided);
        if let Some(age) = announcement.confirmed_ms_ago {
            self.record_confirmation(instant_ago(now, age.saturating_add(TRANSIT_ALLOWANCE_MS)));
        }
        self.mark_ready(now, actions);
    }

    /// Fetches a newer version from a router that has it, unless a request is in flight.
    pub(super) fn fetch_newer(
        &mut self,
        now: Instant,
        from: id::Node,
        version: u64,
        actions: &mut Vec<Action>,
    ) {
        self.add_candidate(from, version);
        self.fetch_entries(now, actions);
    }

    fn add_candidate(&mut self, node: id::Node, version: u64) {
        let candidates = &mut self.peers.candidates;
        candidates.retain(|candidate| candidate.node != node);
        candidates.push(Candidate { node, version });
        if candidates.len() > MAX_CANDIDATES {
            candidates.remove(0);
        }
    }

    pub(super) fn tick_peers(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let outgoing = &mut self.peers.outgoing;
        outgoing.take_if(|outgoing| now - outgoing.used >= OUTGOING_RETENTION);
        let late = self.peers.fetch.take_if(|fetch| now - fetch.sent >= ANSWER_TIMEOUT);
        if let Some(late) = late {
            self.peers.candidates.retain(|candidate| candidate.node != late.from);
        }
        self.fetch_entries(now, actions);
    }

    /// Requests entries from the latest candidate, unless a request is in flight.
    fn fetch_entries(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let have = self.newest();
        self.peers.candidates.retain(|candidate| candidate.version > have);
        if self.peers.fetch.is_some() || self.divergence.is_some() {
            return;
        }
        if let Some(candidate) = self.peers.candidates.last().copied() {
            actions.push(self.request_entries(now, candidate.node));
        }
    }

    fn request_entries(&mut self, now: Instant, to: id::Node) -> Action {
        self.peers.fetch = Some(Fetch { from: to, sent: now, transfer: None });
        let limit = u16::try_from(BATCH).unwrap_or(u16::MAX);
        let request = EntriesRequest { after: self.newest(), limit };
        Action::Send { to, message: Message::EntriesRequest(request) }
    }

    fn request_piece(&mut self, now: Instant, to: id::Node, transfer: Transfer) -> Action {
        let request = SnapshotRequest { version: transfer.version, piece: transfer.next };
        self.peers.fetch = Some(Fetch { from: to, sent: now, transfer: Some(transfer) });
        Action::Send { to, message: Message::SnapshotRequest(request) }
    }

    fn answer_entries_request(&self, from: id::Node, request: EntriesRequest) -> Vec<Action> {
        if !self.ready {
            return Vec::new();
        }
        let first = request.after.saturating_add(1);
        let compacted = first < self.history.first() && request.after < self.newest();
        let limit = usize::from(request.limit).min(BATCH);
        let mut remaining = MAX_ANSWER_BYTES;
        let entries = (first..).map_while(|version| self.history.bytes(version)).take(limit);
        let entries = entries.enumerate().take_while(|(position, bytes)| {
            let fits = *position == 0 || bytes.len() <= remaining;
            remaining = remaining.saturating_sub(bytes.len());
            fits
        });
        let entries = entries.map(|(_, bytes)| bytes.to_vec()).collect();
        let answer = Entries { first, entries, compacted, version: self.newest() };
        vec![Action::Send { to: from, message: Message::Entries(answer) }]
    }

    fn receive_entries(&mut self, now: Instant, from: id::Node, answer: &Entries) -> Vec<Action> {
        let mut actions = Vec::new();
        let asked = self.peers.fetch.take_if(|fetch| fetch.from == from).is_some();
        let before = self.known_versions();
        if let Err(error) = self.apply_entries(answer) {
            self.record_error(&error, &mut actions);
            self.peers.candidates.retain(|candidate| candidate.node != from);
        } else if asked && answer.compacted && answer.version > self.newest() {
            actions.push(self.request_piece(now, from, Transfer::default()));
        } else if asked && answer.version > self.newest() && self.newest() > before.newest {
            actions.push(self.request_entries(now, from));
        } else if asked {
            self.peers.candidates.retain(|candidate| candidate.node != from);
            if answer.version == self.newest() {
                self.mark_ready(now, &mut actions);
            }
        }
        self.report_changes(now, before, &mut actions);
        self.fetch_entries(now, &mut actions);
        actions
    }

    fn apply_entries(&mut self, answer: &Entries) -> Result<(), Error> {
        for (version, bytes) in (answer.first..).zip(&answer.entries) {
            self.apply_entry(version, &bytes.as_slice().into())?;
        }
        Ok(())
    }

    fn answer_snapshot_request(
        &mut self,
        now: Instant,
        from: id::Node,
        request: SnapshotRequest,
    ) -> Vec<Action> {
        // If more than one version lies between them, the state before the newest one is unknown, so there
        // is no newer decided state to send.
        if !self.ready || self.version() + 1 < self.newest() {
            return Vec::new();
        }
        self.prepare_outgoing(now);
        let Some(outgoing) = &self.peers.outgoing else {
            return Vec::new();
        };
        let pieces = outgoing.bytes.len().div_ceil(PIECE_BYTES);
        let same = request.version.is_none_or(|version| version == outgoing.version);
        let piece = if same { request.piece } else { 0 };
        let Some(bytes) = outgoing.bytes.chunks(PIECE_BYTES).nth(piece as usize) else {
            return Vec::new();
        };
        let answer = Piece {
            version: outgoing.version,
            piece,
            pieces: u32::try_from(pieces).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        };
        vec![Action::Send { to: from, message: Message::Snapshot(answer) }]
    }

    /// Encodes the snapshot that all transfers share. Since encoding takes milliseconds, it is reused as
    /// long as the entries after it are kept.
    fn prepare_outgoing(&mut self, now: Instant) {
        let first = self.history.first();
        let usable = |outgoing: &mut Outgoing| {
            outgoing.version + 1 >= first && now - outgoing.used < OUTGOING_RETENTION
        };
        if let Some(outgoing) = &mut self.peers.outgoing
            && usable(outgoing)
        {
            outgoing.used = now;
            return;
        }
        // A starting router could not put an undecided version in force.
        let version = self.version();
        let mut recent = self.history.recent();
        recent.retain(|recent| recent.version <= version);
        let document = self.in_force.document.clone();
        let bytes = Snapshot { version, recent, document }.encode().ok();
        self.peers.outgoing = bytes.map(|bytes| Outgoing { version, bytes, used: now });
    }

    fn receive_piece(&mut self, now: Instant, from: id::Node, piece: &Piece) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(fetch) = self.peers.fetch.take_if(|fetch| fetch.from == from) else {
            return actions;
        };
        let Some(mut transfer) = fetch.transfer else {
            self.peers.fetch = Some(fetch);
            return actions;
        };
        if !transfer.accept(piece) {
            self.peers.candidates.retain(|candidate| candidate.node != from);
            self.fetch_entries(now, &mut actions);
            return actions;
        }
        if transfer.next < transfer.pieces {
            actions.push(self.request_piece(now, from, transfer));
            return actions;
        }
        let before = self.known_versions();
        match Snapshot::decode(&transfer.bytes) {
            Ok(snapshot) => {
                self.install_snapshot(snapshot);
                actions.push(self.request_entries(now, from));
            }
            Err(error) => {
                self.unreadable = Some(error.to_string());
                self.peers.candidates.retain(|candidate| candidate.node != from);
            }
        }
        self.report_changes(now, before, &mut actions);
        actions
    }
}

impl Transfer {
    /// Appends the next piece. Returns `false` if the transfer cannot continue. A piece of another version
    /// restarts the transfer, because the sender has dropped the earlier snapshot.
    fn accept(&mut self, piece: &Piece) -> bool {
        if self.version != Some(piece.version) {
            *self = Self { version: Some(piece.version), pieces: piece.pieces, ..Self::default() };
        }
        let fits = piece.piece == self.next
            && piece.pieces == self.pieces
            && piece.pieces <= MAX_PIECES
            && piece.bytes.len() <= PIECE_BYTES;
        if fits {
            self.bytes.extend_from_slice(&piece.bytes);
            self.next += 1;
        }
        fits
    }
}
