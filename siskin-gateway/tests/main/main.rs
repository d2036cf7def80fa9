//! The runtime that forwards requests.

mod directory;
mod fixture;
