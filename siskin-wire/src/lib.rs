//! Protocol between the routers of a fleet: authenticated frames and typed messages.
//!
//! Messages are encoded with `postcard`. Small control messages travel as UDP datagrams, configuration
//! entries and claims over TCP; both carry the same frames.

use serde::{Deserialize, Serialize};

pub mod claim;
pub mod config;
pub mod frame;
pub mod load;
pub mod member;
pub mod poison;
pub mod relay;
pub mod sched;

/// Everything that one router may say to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Membership probes and gossip.
    Member(member::Message),
    /// A router's report to the owner of a pool.
    Report(sched::Report),
    /// An owner's grant to a router.
    Grant(sched::Grant),
    /// Configuration versions and entries.
    Config(config::Message),
    /// Claims sent to the writer of a bucket.
    Claim(claim::Message),
    /// Suspect requests and crashes.
    Poison(poison::Message),
    /// Load in a former layout, from a router that is not upgraded yet. It is not read.
    FormerLoad,
    /// Configuration and endpoints for a router that cannot read the store.
    Relay(relay::Message),
    /// Load on endpoints of requests that are forwarded unchanged.
    Load(load::Digest),
}
