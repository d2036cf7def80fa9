//! Tests of the schedule, the figures and a short run.

mod figures;
mod process;
mod recovery;
mod run;
mod schedule;
