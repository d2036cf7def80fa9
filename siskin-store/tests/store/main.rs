//! Tests of the client against a stand-in for the service, and of the in-memory fake with the same assertions.

mod behaviour;
mod faults;
