//! What callers see: authentication, request bodies, answers.

pub mod chat;
