//! Replication of the configuration log: announcements of versions, log entries, snapshots and acknowledgements.
//!
//! Ages are durations, because clocks of different processes are not comparable.

use serde::{Deserialize, Serialize};

/// A configuration message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's version, sent to a few other routers on each change and periodically.
    Announcement(Announcement),
    /// Requests entries.
    EntriesRequest(EntriesRequest),
    /// Answers an [`EntriesRequest`].
    Entries(Entries),
    /// Requests a chunk of a snapshot.
    SnapshotRequest(SnapshotRequest),
    /// Answers a [`SnapshotRequest`].
    Snapshot(Snapshot),
    /// Acknowledges that the sender holds an entry; sent to the routers that count for its group.
    Acknowledgement(Acknowledgement),
    /// Number of routers of a group that hold an entry; sent to the routers that add up the groups.
    Tally(Tally),
}

/// The sender's version and its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The newest version that the sender has.
    pub version: u64,
    /// The highest committed version known to the sender: more than half of the members hold it.
    pub decided: u64,
    /// Whether the sender has loaded the configuration. `false` also requests announcements from the receiver.
    pub ready: bool,
    /// Leading bytes of the hash of the sender's document, to detect divergence.
    pub hash: u64,
    /// Milliseconds since the version was confirmed by the store, if it ever was.
    pub confirmed_ms_ago: Option<u32>,
    /// Milliseconds since a router last reported diverged histories, if one did.
    pub diverged_ms_ago: Option<u32>,
}

/// Requests the entries after a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesRequest {
    /// The version that the requester has.
    pub after: u64,
    /// Maximum number of entries in the response.
    pub limit: u16,
}

/// Entries in order of their versions, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The version of the first entry.
    pub first: u64,
    /// The entries, encoded as in the store. Empty if the responder has nothing newer.
    pub entries: Vec<Vec<u8>>,
    /// Whether the responder has compacted the requested entries, so that a snapshot is needed.
    pub compacted: bool,
    /// The responder's version.
    pub version: u64,
}

/// Requests a chunk of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// The version of a transfer in progress; `None` for the newest.
    pub version: Option<u64>,
    /// Index of the chunk, from zero.
    pub piece: u32,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the snapshot. It differs from the requested one if that is no longer kept; the
    /// requester then restarts the transfer.
    pub version: u64,
    /// Index of the chunk, from zero.
    pub piece: u32,
    /// Number of chunks.
    pub pieces: u32,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// Acknowledges that the sender holds the entry of a version that is not known to be committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The version.
    pub version: u64,
    /// Leading bytes of the hash of the sender's document.
    pub hash: u64,
}

/// Number of routers of a group that hold the entry of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The version.
    pub version: u64,
    /// Leading bytes of the hash of the document.
    pub hash: u64,
    /// Number of groups in the fleet, as the sender sees it.
    pub groups: u16,
    /// Index of the group.
    pub group: u16,
    /// Number of routers of the group that hold the entry.
    pub count: u32,
}
