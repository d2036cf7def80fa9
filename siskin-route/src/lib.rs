//! Choice of an endpoint by health and likely prefix cache hits, and estimates of cost.
//!
//! The scheduler decides which customer is served next and which endpoints have slots. This crate says which
//! endpoints must not be used ([`health`]) and which of the usable ones likely hold a prompt's prefix
//! ([`prefix`]). Both are views that may be lost and are rebuilt from traffic.

pub mod estimate;
pub mod health;
pub mod prefix;
