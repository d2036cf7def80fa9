//! Tests of the stand-ins over their sockets.

mod application;
mod call;
mod engine;
mod kv;
mod vms;
