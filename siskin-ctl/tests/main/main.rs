//! Runs `siskinctl` against a stand-in for the operators' interface of a router.
#![allow(missing_docs, reason = "tests describe themselves")]

mod commands;
mod standin;
