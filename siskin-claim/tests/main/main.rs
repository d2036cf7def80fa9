//! Tests of claims.

mod fleet;
mod outage;
mod rules;
mod store;
