//! Authenticated frames around messages.
//!
//! A frame is a header (version, sender, incarnation, sequence number), the message, both encoded with `postcard`,
//! and a keyed blake3 hash over all of it. Bytes after the message are authenticated but ignored, so that the
//! previous or next version can append fields.
//!
//! ```
//! use {
//!     siskin_types::id::Node,
//!     siskin_wire::{Message, frame::{Key, Opener, Rejection, Sealer}, member},
//! };
//! let from = member::Identity {
//!     node: Node(1),
//!     incarnation: 1_700_000_000_000_000,
//!     address: "127.0.0.1:7000".parse().unwrap(),
//!     data_centre: "dc-a".to_owned(),
//! };
//! let key = Key::derive(b"secret of the fleet");
//! let mut sealer = Sealer::new(from.node, from.incarnation, key.clone());
//! let mut opener = Opener::new(key, None);
//! let message = Message::Member(member::Message::new(from, member::Body::Leave));
//! let bytes = sealer.seal_datagram(&message).unwrap();
//! assert_eq!(opener.open_datagram(&bytes).unwrap().message, message);
//! assert_eq!(opener.open_datagram(&bytes), Err(Rejection::Replayed));
//! ```

use {
    crate::Message,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    siskin_types::id::Node,
    std::{fmt, ops::RangeInclusive},
    subtle::ConstantTimeEq,
};

pub mod stream;

/// The version that this program sends by default.
pub const VERSION: u8 = 1;

/// The previous version, still accepted while a fleet is being upgraded.
pub const PREVIOUS_VERSION: u8 = VERSION - 1;

/// Largest frame in a UDP datagram, in bytes. It fits the smallest usual path MTU without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Largest frame on a TCP connection, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Most senders whose replay windows are kept; a new sender evicts the least recently active one.
pub const MAX_SENDERS: usize = 2_048;

/// Length of the truncated keyed hash in bytes.
const MAC_BYTES: usize = 16;

/// Size of the replay window: a frame may arrive this many sequence numbers late and still be accepted. TCP frames and
/// datagrams share one sequence, so at 2,000 frames per second a connection may lag two seconds behind.
const WINDOW_FRAMES: u64 = 4_096;

/// Bits in a word of the replay bitmap.
const WORD_BITS: u64 = 64;

/// Words in the replay bitmap.
const WINDOW_WORDS: usize = (WINDOW_FRAMES / WORD_BITS) as usize;

/// Versions that are accepted.
const VERSIONS: RangeInclusive<u8> = PREVIOUS_VERSION..=VERSION;

/// A key shared by the fleet.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the frame authentication key from a secret of any length.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        Self(blake3::derive_key("siskinroute 2025 frames between routers", secret))
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let hash = blake3::keyed_hash(&self.0, bytes);
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hash.as_bytes()[..MAC_BYTES]);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// The header before the message. Variable-length integers keep it at about 14 bytes.
#[derive(Serialize, Deserialize)]
struct Header {
    version: u8,
    node: Node,
    incarnation: u64,
    sequence: u64,
}

/// Why a message cannot be sealed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is larger than its transport allows.
    #[error(
        "frame of {bytes} bytes exceeds the limit of {limit}; split the message or send it over TCP"
    )]
    Oversize {
        /// Size of the frame.
        bytes: usize,
        /// Limit of the transport.
        limit: usize,
    },
    /// The message cannot be encoded.
    #[error("message cannot be encoded; report this as a defect: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Seals the messages of one process.
///
/// All frames of a process must come from one sealer: a second one would reuse sequence numbers, and receivers would
/// reject its frames as replays.
#[derive(Debug)]
pub struct Sealer {
    node: Node,
    incarnation: u64,
    sequence: u64,
    version: u8,
    key: Key,
}

impl Sealer {
    /// Creates the sealer of a process. `incarnation` must be larger than that of any earlier process of `node`.
    #[must_use]
    pub const fn new(node: Node, incarnation: u64, key: Key) -> Self {
        Self { node, incarnation, sequence: 0, version: VERSION, key }
    }

    /// Changes the key for subsequent frames.
    pub fn set_key(&mut self, key: Key) {
        self.key = key;
    }

    /// Sends frames of the previous version, for as long as some routers of the fleet do not know this one.
    pub const fn use_previous_version(&mut self) {
        self.version = PREVIOUS_VERSION;
    }

    /// Raises the incarnation if `incarnation` is larger. Needed when an earlier process of the node ran with a clock
    /// that was ahead, because receivers then reject this process's frames as those of an old incarnation.
    pub fn raise_incarnation(&mut self, incarnation: u64) {
        self.incarnation = self.incarnation.max(incarnation);
    }

    /// Seals a message for a TCP connection.
    ///
    /// # Errors
    /// [`Error::Oversize`] if the frame would exceed [`MAX_FRAME_BYTES`].
    pub fn seal(&mut self, message: &Message) -> Result<Vec<u8>, Error> {
        self.seal_within(message, MAX_FRAME_BYTES)
    }

    /// Seals a message for a UDP datagram.
    ///
    /// # Errors
    /// [`Error::Oversize`] if the frame would exceed [`MAX_DATAGRAM_BYTES`].
    pub fn seal_datagram(&mut self, message: &Message) -> Result<Vec<u8>, Error> {
        self.seal_within(message, MAX_DATAGRAM_BYTES)
    }

    fn seal_within(&mut self, message: &Message, limit: usize) -> Result<Vec<u8>, Error> {
        let header = Header {
            version: self.version,
            node: self.node,
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
        };
        let bytes = postcard::to_extend(&header, Vec::new())?;
        let mut bytes = postcard::to_extend(message, bytes)?;
        let mac = self.key.mac(&bytes);
        bytes.extend_from_slice(&mac);
        if bytes.len() > limit {
            return Err(Error::Oversize { bytes: bytes.len(), limit });
        }
        self.sequence += 1;
        Ok(bytes)
    }
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// Larger than its transport allows.
    #[error("frame exceeds the size limit; check that the sender is a router of this fleet")]
    Oversize,
    /// Too short to be a frame.
    #[error("frame is too short; check that the sender is a router of this fleet")]
    Truncated,
    /// A version that this program does not know.
    #[error("frame has an unknown version; upgrade routers one version at a time")]
    UnknownVersion,
    /// The keyed hash matches none of the fleet keys.
    #[error("frame is not authentic; check that all routers have the same fleet keys")]
    NotAuthentic,
    /// The header cannot be decoded although it is authentic.
    #[error("frame header is malformed; report this as a defect")]
    BadHeader,
    /// The message cannot be decoded although it is authentic.
    #[error("message is malformed; check that its kind is known to this version")]
    BadMessage,
    /// A frame with a later incarnation of the sender has been accepted.
    #[error("frame comes from a process that has been replaced; stop the old process")]
    OldIncarnation,
    /// The frame was accepted before.
    #[error("frame was accepted before; it is a duplicate or a replay")]
    Replayed,
    /// The sequence number is below the replay window, so it is unknown whether the frame was accepted before.
    #[error("frame is older than the replay window; send the message again")]
    TooLate,
}

impl Rejection {
    /// All variants, for registering counters.
    pub const ALL: [Self; 9] = [
        Self::Oversize,
        Self::Truncated,
        Self::UnknownVersion,
        Self::NotAuthentic,
        Self::BadHeader,
        Self::BadMessage,
        Self::OldIncarnation,
        Self::Replayed,
        Self::TooLate,
    ];

    /// The value of the metric label, which must not change.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Oversize => "oversize",
            Self::Truncated => "truncated",
            Self::UnknownVersion => "unknown_version",
            Self::NotAuthentic => "not_authentic",
            Self::BadHeader => "bad_header",
            Self::BadMessage => "bad_message",
            Self::OldIncarnation => "old_incarnation",
            Self::Replayed => "replayed",
            Self::TooLate => "too_late",
        }
    }
}

/// An accepted frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Opened {
    /// The sender.
    pub node: Node,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The message.
    pub message: Message,
}

/// Opens the frames that a process receives over UDP and TCP.
///
/// Replay windows are lost when the receiver restarts or evicts an inactive sender, so a recorded frame can then be
/// accepted once more. Messages must therefore be idempotent, which messages with cumulative totals are.
#[derive(Debug)]
pub struct Opener {
    keys: [Option<Key>; 2],
    senders: IndexMap<Node, Window>,
    /// Authentic frames checked so far, which orders senders by their last activity.
    frame_count: u64,
}

impl Opener {
    /// Creates an opener that accepts one key, or two during key rotation.
    #[must_use]
    pub fn new(key: Key, other: Option<Key>) -> Self {
        Self { keys: [Some(key), other], senders: IndexMap::new(), frame_count: 0 }
    }

    /// Replaces the accepted keys.
    pub fn set_keys(&mut self, key: Key, other: Option<Key>) {
        self.keys = [Some(key), other];
    }

    /// Opens a frame from a TCP connection.
    ///
    /// # Errors
    /// The [`Rejection`] to count if the frame must be dropped.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Opened, Rejection> {
        self.open_within(bytes, MAX_FRAME_BYTES)
    }

    /// Opens a frame from a UDP datagram.
    ///
    /// # Errors
    /// The [`Rejection`] to count if the frame must be dropped.
    pub fn open_datagram(&mut self, bytes: &[u8]) -> Result<Opened, Rejection> {
        self.open_within(bytes, MAX_DATAGRAM_BYTES)
    }

    /// The number of senders whose windows are kept.
    #[must_use]
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    fn open_within(&mut self, bytes: &[u8], limit: usize) -> Result<Opened, Rejection> {
        if bytes.len() > limit {
            return Err(Rejection::Oversize);
        }
        let (content, mac) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(Rejection::Truncated)?;
        let version = content.first().ok_or(Rejection::Truncated)?;
        if !VERSIONS.contains(version) {
            return Err(Rejection::UnknownVersion);
        }
        if !self.is_authentic(content, mac) {
            return Err(Rejection::NotAuthentic);
        }
        let (header, rest) =
            postcard::take_from_bytes::<Header>(content).map_err(|_| Rejection::BadHeader)?;
        self.check_replay(&header)?;
        let (message, _) =
            postcard::take_from_bytes::<Message>(rest).map_err(|_| Rejection::BadMessage)?;
        Ok(Opened { node: header.node, incarnation: header.incarnation, message })
    }

    fn is_authentic(&self, content: &[u8], mac: &[u8; MAC_BYTES]) -> bool {
        self.keys.iter().flatten().any(|key| key.mac(content).ct_eq(mac).into())
    }

    /// Checks a header against the sender's replay window and records its sequence number.
    fn check_replay(&mut self, header: &Header) -> Result<(), Rejection> {
        self.frame_count += 1;
        if !self.senders.contains_key(&header.node) {
            self.evict_sender();
        }
        let window =
            self.senders.entry(header.node).or_insert_with(|| Window::new(header.incarnation));
        window.last_active = self.frame_count;
        window.accept_sequence(header.incarnation, header.sequence)
    }

    /// Evicts the least recently active sender if the limit is reached. Only authentic frames get here, so nobody outside
    /// the fleet can trigger the scan.
    fn evict_sender(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.last_active);
        if let Some(node) = oldest.map(|(node, _)| *node) {
            self.senders.swap_remove(&node);
        }
    }
}

/// Replay window: the sequence numbers of one sender that have been accepted.
#[derive(Debug)]
struct Window {
    incarnation: u64,
    /// Highest accepted sequence number.
    highest: u64,
    /// Bit `n % WINDOW_FRAMES` is set if sequence number `n` was accepted, for the last `WINDOW_FRAMES` numbers.
    seen: Box<[u64; WINDOW_WORDS]>,
    /// Value of [`Opener::frame_count`] at the sender's last frame.
    last_active: u64,
}

impl Window {
    fn new(incarnation: u64) -> Self {
        Self { incarnation, highest: 0, seen: Box::new([0; WINDOW_WORDS]), last_active: 0 }
    }

    fn accept_sequence(&mut self, incarnation: u64, sequence: u64) -> Result<(), Rejection> {
        if incarnation < self.incarnation {
            return Err(Rejection::OldIncarnation);
        }
        if incarnation > self.incarnation {
            *self = Self { last_active: self.last_active, ..Self::new(incarnation) };
        }
        if self.highest.saturating_sub(sequence) >= WINDOW_FRAMES {
            return Err(Rejection::TooLate);
        }
        self.advance_to(sequence);
        let (word, bit) = bit_position(sequence);
        if self.seen[word] & bit != 0 {
            return Err(Rejection::Replayed);
        }
        self.seen[word] |= bit;
        Ok(())
    }

    /// Advances the window to `sequence` and clears the bits of the numbers that enter it.
    fn advance_to(&mut self, sequence: u64) {
        if sequence <= self.highest {
            return;
        }
        if sequence - self.highest >= WINDOW_FRAMES {
            self.seen.fill(0);
        } else {
            for entering in self.highest + 1..=sequence {
                let (word, bit) = bit_position(entering);
                self.seen[word] &= !bit;
            }
        }
        self.highest = sequence;
    }
}

/// The word of the replay bitmap and the bit in it for a sequence number.
fn bit_position(sequence: u64) -> (usize, u64) {
    let index = sequence % WINDOW_FRAMES;
    let word = usize::try_from(index / WORD_BITS).unwrap_or(0);
    (word, 1 << (index % WORD_BITS))
}
