//! Configuration versions and entries.
//!
//! Ages are durations, because clocks of different processes are not comparable.

use serde::{Deserialize, Serialize};

/// A message of this kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's version, sent to a few others when it changes and from time to time.
    Announcement(Announcement),
    /// Asks for entries.
    EntriesRequest(EntriesRequest),
    /// Answers an [`EntriesRequest`].
    Entries(Entries),
    /// Asks for a piece of a snapshot.
    SnapshotRequest(SnapshotRequest),
    /// Answers a [`SnapshotRequest`].
    Snapshot(Snapshot),
    /// The sender holds an entry; to the counters of its group.
    Holding(Holding),
    /// How many routers of a group hold an entry; to the routers that add up the groups.
    Held(Held),
}

/// The sender's version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The newest version that the sender has.
    pub version: u64,
    /// The highest version of which the sender knows that more than half of the members hold it.
    pub decided: u64,
    /// Whether the sender has loaded the configuration. One that has not asks for announcements in
    /// this way.
    pub ready: bool,
    /// Start of the hash of the sender's document, so that divergence is noticed.
    pub hash: u64,
    /// Milliseconds since the version was confirmed by the store, if it ever was.
    pub confirmed_ms_ago: Option<u32>,
    /// Milliseconds since some router last reported that histories have diverged, if one did.
    pub diverged_ms_ago: Option<u32>,
}

/// Asks for the entries after a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesRequest {
    /// The version that the asker has.
    pub after: u64,
    /// Most entries to answer with.
    pub limit: u16,
}

/// Entries in order of their versions, without gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The version of the first entry.
    pub first: u64,
    /// The entries, as they are in the store. Empty if the answerer has nothing newer.
    pub entries: Vec<Vec<u8>>,
    /// Whether the answerer no longer keeps the entries asked for, so that a snapshot is needed.
    pub compacted: bool,
    /// The answerer's version.
    pub version: u64,
}

/// Asks for a piece of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// The version of a transfer that is under way; `None` for the newest.
    pub version: Option<u64>,
    /// Number of the piece, from zero.
    pub piece: u32,
}

/// A piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the snapshot. It differs from the one asked for if that is no longer kept; the
    /// asker then starts again.
    pub version: u64,
    /// Number of the piece, from zero.
    pub piece: u32,
    /// How many pieces there are.
    pub pieces: u32,
    /// The bytes of the piece.
    pub bytes: Vec<u8>,
}

/// The sender holds the entry of a version, which is not known to be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The version.
    pub version: u64,
    /// Start of the hash of the sender's document.
    pub hash: u64,
}

/// How many routers of a group hold the entry of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The version.
    pub version: u64,
    /// Start of the hash of the document.
    pub hash: u64,
    /// Groups of the fleet in the view of the sender.
    pub groups: u16,
    /// The group.
    pub group: u16,
    /// Routers of the group that hold the entry.
    pub count: u32,
}
