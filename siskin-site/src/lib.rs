//! A site of routers and stand-ins on loopback, for the quickstart, tests and measurements.

pub mod client;
pub mod options;
pub mod process;
mod site;

pub use {
    options::{Application, Customer, Endpoint, Options},
    site::{OPERATOR_TOKEN, Site, settings},
};
