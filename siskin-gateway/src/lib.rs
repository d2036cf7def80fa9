//! Forwards requests unchanged to endpoints that a platform lists.
//!
//! The platform's headers are translated by an implementation of [`protocol::Protocol`]. Its configuration and its list of
//! endpoints reach the gateway as values: a [`catalog::Catalog`] (routes, services, customers) and a
//! [`directory::Directory`] (endpoints). `siskin-dispatch` chooses the endpoint of each request and decides which requests
//! are refused.
//!
//! * [`gateway`]: starts, stops, and holds the state that all requests share
//! * [`exchange`]: forwards one request, from its head to the response
//! * [`peers`]: exchanges load and newer configurations with the other routers

pub mod catalog;
pub mod cold;
pub mod descriptors;
pub mod directory;
pub mod embedded;
pub mod events;
pub mod exchange;
pub mod gateway;
pub mod metrics;
pub mod overload;
pub mod peers;
pub mod protocol;
pub mod respond;
pub mod seed;
pub mod stream;
