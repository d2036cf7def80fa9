//! Newer versions of the configuration and of the list of endpoints that peers report, and which peer is asked for them.

use {
    siskin_types::position::Position,
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Time for which a router is behind a peer before it requests the newer version: the store usually sends changes to both
/// at about the same time.
const STORE_HEAD_START: Duration = Duration::from_millis(300);

/// Time between requests for newer versions, in which the peer has to respond.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// The version of a configuration and that of a list of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pair {
    /// Version of the configuration, 0 for none.
    pub(super) config: u64,
    /// Position of the list of endpoints.
    pub(super) directory: Position,
}

impl Pair {
    pub(super) const fn new(config: u64, directory: Position) -> Self {
        Self { config, directory }
    }

    /// Whether one of these is newer than the other's.
    fn exceeds(&self, other: &Self) -> bool {
        self.config > other.config || self.directory > other.directory
    }
}

/// Which versions this router takes from peers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Need {
    /// Whether it takes the list of endpoints too. It always takes the configuration.
    pub(super) directory: bool,
    /// Whether it asks at once, without giving the store time to deliver them.
    pub(super) at_once: bool,
}

/// A request for newer versions.
#[derive(Clone, Copy, Debug)]
pub(super) struct Request {
    /// The peer to ask.
    pub(super) from: SocketAddr,
    /// The newest versions that peers have reported.
    pub(super) newest: Pair,
}

/// The newest versions that peers have reported since the last request.
#[derive(Debug, Default)]
pub(super) struct Versions {
    newest: Pair,
    /// The peer that is asked for them.
    from: Option<SocketAddr>,
    behind_since: Option<Instant>,
    last_request: Option<Instant>,
}

impl Versions {
    /// Records the versions that a peer has. Of the peers that have the newest one that this router lacks, the last one to report is
    /// asked for it: the first one may be gone. Returns whether one of the versions is newer than any reported before.
    pub(super) fn record(&mut self, from: SocketAddr, reported: Pair, own: Pair) -> bool {
        let is_newer = reported.exceeds(&self.newest);
        self.newest.config = self.newest.config.max(reported.config);
        self.newest.directory = self.newest.directory.max(reported.directory);
        let has_newest_config =
            reported.config == self.newest.config && reported.config > own.config;
        let has_newest_directory =
            reported.directory == self.newest.directory && reported.directory > own.directory;
        if has_newest_config || has_newest_directory {
            self.from = Some(from);
        }
        is_newer
    }

    /// Takes the request that is due now, if any. The caller sends it.
    pub(super) fn take_due_request(
        &mut self,
        now: Instant,
        own: Pair,
        need: Need,
    ) -> Option<Request> {
        let newest = self.newest;
        let behind =
            newest.config > own.config || (newest.directory > own.directory && need.directory);
        if !behind {
            self.behind_since = None;
            return None;
        }
        let since = *self.behind_since.get_or_insert(now);
        let delay = if need.at_once { Duration::ZERO } else { STORE_HEAD_START };
        let waiting = self.last_request.is_some_and(|at| now - at < REQUEST_INTERVAL);
        let from = self.from.filter(|_| now - since >= delay && !waiting)?;
        self.last_request = Some(now);
        // If that peer is gone, the next reports show which others have newer versions, even if not the newest one.
        self.newest = own;
        self.from = None;
        Some(Request { from, newest })
    }
}
