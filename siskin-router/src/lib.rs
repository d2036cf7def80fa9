//! Router process: callers' requests, queues, dispatch and control roles.

pub mod caller;
mod claims;
mod configure;
mod endpoints;
pub mod exchange;
pub mod metrics;
mod operator;
mod orders;
pub mod pool;
pub mod router;
pub mod settings;
mod shared;
mod suspect;
pub mod view;
mod vms;
