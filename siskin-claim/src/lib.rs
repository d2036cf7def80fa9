//! At-most-once claims on idempotency keys, written to the store in groups.
//!
//! A call on a route that must not be repeated is claimed in the store before its first byte is sent. The
//! [`writer::Writer`] groups all claims that wait for a bucket into one compare-and-swap of the bucket's
//! head; [`remote`] lets the other routers use that writer. Nothing here does I/O or reads a clock.

mod bucket;
mod cache;
pub mod format;
pub mod key;
mod rate;
pub mod remote;
pub mod writer;
