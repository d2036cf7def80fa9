//! Life of a request: outcomes, retries and requests that crash endpoints.
//!
//! Nothing here does I/O or reads a clock. Events are methods that take the current time, and what is to
//! be done is returned as a list of actions.

pub mod life;
pub mod outcome;
pub mod poison;
pub mod retry;
