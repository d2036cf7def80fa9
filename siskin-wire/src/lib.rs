//! Protocol between the routers of a fleet: authenticated frames and typed messages.
//!
//! Messages are encoded with `postcard`. Small control messages travel as UDP datagrams, configuration
//! entries and claims over TCP; both carry the same frames.

use serde::{Deserialize, Serialize};

pub mod claim;
pub mod config;
pub mod crash;
pub mod frame;
pub mod limit;
pub mod load;
pub mod member;
pub mod permit;
pub mod poison;
pub mod relay;
pub mod sched;
pub mod strain;
pub mod work;

/// Any message between two routers.
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
    /// Idempotency claims, sent to the router that writes the bucket.
    Claim(claim::Message),
    /// Requests suspected of crashing endpoints, and the crashes.
    Poison(poison::Message),
    /// Load digest in an obsolete encoding, from a router that is not upgraded yet. Its content is ignored.
    LegacyLoad,
    /// Configuration and endpoint list for a router that cannot read the store.
    Relay(relay::Message),
    /// Endpoint load caused by requests that are forwarded unchanged.
    Load(load::Digest),
    /// Crashes of endpoints, from a router that forwards requests unchanged.
    Crash(crash::Report),
    /// Routers that are short of processor time.
    Strain(strain::Report),
    /// Limits that endpoints have named, and their use.
    Limit(limit::Report),
    /// Remaining work of endpoints.
    Work(work::Report),
    /// Permits to send requests to cold endpoints.
    Permit(permit::Message),
}
