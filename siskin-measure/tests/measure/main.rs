//! Tests of the schedule, the figures and a short run.

mod figures;
mod run;
mod schedule;
