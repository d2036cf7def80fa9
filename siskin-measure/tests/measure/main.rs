//! Tests of the schedule, the figures and a short run.

mod figures;
mod process;
mod run;
mod schedule;
