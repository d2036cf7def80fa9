//! What callers see: authentication, request bodies, answers.

pub mod answer;
pub mod chat;
mod claimed;
pub mod respond;
pub(crate) mod server;
mod service;
