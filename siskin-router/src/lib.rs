//! Router process: callers' requests, queues, dispatch and control roles.

pub mod metrics;
pub mod upstream;
