//! The program itself: its settings and its stop.

mod process;
mod program;
