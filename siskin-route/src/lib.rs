//! Endpoint health, likely prefix cache hits, and cost estimates, for choosing an endpoint.
//!
//! The scheduler decides which customer is served next and which endpoints have free slots. This crate tracks which
//! endpoints must not be used ([`health`]) and which of the usable ones likely have a prompt's prefix cached
//! ([`prefix`]). Both are soft state, rebuilt from traffic after a loss.

pub mod estimate;
pub mod health;
pub mod prefix;
