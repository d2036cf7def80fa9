//! At-most-once claims on idempotency keys, written to the store in batches.
//!
//! A non-idempotent call is claimed in the store before its first byte is sent to an endpoint. Keys are hashed
//! into buckets, and each bucket has a head value in the store. The [`writer::Writer`] batches all pending
//! claims of a bucket into one compare-and-swap of its head; [`remote`] lets other routers use that writer.
//! This crate does no I/O and reads no clock.

mod bucket;
mod cache;
pub mod format;
pub mod key;
mod rate;
pub mod remote;
pub mod writer;
