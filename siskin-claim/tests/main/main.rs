//! Tests of claims.

mod fleet;
mod outage;
mod remote;
mod rules;
mod store;
