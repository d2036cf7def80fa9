//! Runs `siskinctl` against a stand-in for the operators' interface of a router, and against routers.
#![allow(missing_docs, reason = "tests describe themselves")]

mod commands;
mod explain;
mod router;
mod standin;
