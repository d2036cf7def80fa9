//! Tests of the configuration's history, its follower and the submission of patches.
#![allow(missing_docs, reason = "tests describe themselves")]

mod fleet;
mod history;
mod lost_answer;
mod outage;
mod partition;
mod race;
mod store;
mod validation;
