//! Membership by probing and gossip (a variant of SWIM), and placement of roles by rendezvous hashing.
//!
//! [`Member`] is a state machine without I/O. The caller passes in decoded messages, the time and the platform's list
//! of VMs, calls [`Member::tick`] at least every 50 ms, and executes the returned [`Action`]s.
//!
//! ```
//! use {
//!     siskin_member::{Action, Member, Options},
//!     siskin_types::{id::Node, time::Instant},
//! };
//! let address = |port| ([127, 0, 0, 1], port).into();
//! let mut first = Member::new(Options::new(Node(1), address(7_001), "dc-a", 1_700_000_000_000_000));
//! let mut second = Member::new(Options {
//!     seeds: vec![address(7_001)],
//!     ..Options::new(Node(2), address(7_002), "dc-a", 1_700_000_000_000_000)
//! });
//! // The example delivers messages immediately; a router sends them as datagrams.
//! let now = Instant::from_micros(1);
//! let mut pending = second.tick(now);
//! while let Some(action) = pending.pop() {
//!     if let Action::Send { to, message } = action {
//!         let receiver = if to == address(7_001) { &mut first } else { &mut second };
//!         pending.extend(receiver.receive(now, message.from.address, &message));
//!     }
//! }
//! assert_eq!(first.visible(), 2);
//! assert!(second.joined());
//! assert_eq!(first.rank(b"pool 1"), second.rank(b"pool 1"));
//! ```

pub mod options;
pub mod rank;

mod gossip;
mod member;
mod platform;
mod probe;
mod pull;
mod table;

pub use {
    member::{Action, Member},
    options::{Options, Timing},
    platform::Listed,
};
