//! The program itself: its settings, its stop, and processes that are frozen and woken.

mod lease;
mod process;
mod program;
mod relay;
