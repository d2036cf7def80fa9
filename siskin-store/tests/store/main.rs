//! Tests of the client against the stand-in, and of the fake against the same expectations.

mod behaviour;
mod faults;
