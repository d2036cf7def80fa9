//! Lifecycle of a request: outcomes, retries and detection of requests that crash endpoints.
//!
//! These are state machines that do no I/O and read no clock. The caller reports each event through a method that
//! takes the current time, and carries out the actions that the method returns.

pub mod features;
pub mod life;
pub mod origin;
pub mod outcome;
pub mod poison;
pub mod quarantine;
pub mod retry;
mod timestamp;
