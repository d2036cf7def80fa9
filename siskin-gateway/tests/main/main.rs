//! Tests of the gateway against scripted endpoints.

mod backoff;
mod cold;
mod cold_endpoints;
mod crash_fleet;
mod crashing_requests;
mod directory;
mod drain;
mod earlier_refusals;
mod early_answers;
mod endpoint;
mod fixture;
mod foreign_heads;
mod hostile_answers;
mod idle_connections;
mod late_in_stop;
mod leaving;
mod limits;
mod loads;
mod outcome;
mod overload;
mod readiness;
mod resume;
mod seed;
mod silent_endpoints;
mod slow_readers;
mod truncated_heads;
