//! Router process: callers' requests, queues, dispatch and control roles.

pub mod caller;
pub mod metrics;
pub mod settings;
pub mod upstream;
