//! What callers see: authentication, request bodies, answers.

pub mod answer;
pub mod chat;
pub mod respond;
pub(crate) mod server;
mod service;
