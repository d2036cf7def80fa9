//! Placement of requests that are forwarded unchanged: which endpoint serves a request, or why it is refused.
//!
//! Each router decides locally, without a call to another process. It learns the load caused by the other routers from
//! digests that arrive a few times a second ([`pool::Pool::apply_digest`]). Rules that all routers compute alike
//! compensate for the lag of this view: requests that share a prompt prefix have the same home endpoint on every
//! router.
//!
//! * [`prompt`]: prompts as sequences of hashed parts
//! * [`cache`]: estimate of an engine's prefix cache
//! * [`pool`]: the endpoints of one service, their load, and the choice of an endpoint
//! * [`condition`]: which endpoints are leaving (draining) or have asked for a back-off
//! * [`cost`]: expected cost of requests
//! * [`limit`]: limits that endpoints name, which hold for all routers together
//! * [`warm_up`]: limits of endpoints that are cold after their start
//! * [`share`]: max-min fair shares of the capacity by customer
//! * [`admit`]: how long a request may wait at an endpoint
//! * [`spread`]: which routers send load digests to which others
//! * [`offload`]: which new connections a loaded router relays to larger ones
//! * [`readiness`]: how many routers of a data centre may fail their readiness checks at once
//! * [`reading`]: which routers read changes from the platform's store
//! * [`sizes`]: admission of large prompts
//! * [`budget`]: the fleet's retry budget, divided among the routers
//! * [`work`]: remaining work of endpoints
//!
//! This crate does no I/O and reads no clock: the current time is an argument.

pub mod admit;
pub mod budget;
pub mod cache;
pub mod condition;
pub mod cost;
pub mod limit;
pub mod offload;
pub mod pool;
pub mod prompt;
pub mod readiness;
pub mod reading;
pub mod share;
pub mod sizes;
pub mod spread;
pub mod warm_up;
pub mod work;
