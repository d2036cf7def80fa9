//! The program itself: its settings, its stop, and processes that are frozen and woken.

mod broken_answers;
mod endless;
mod lease;
mod measured;
mod process;
mod program;
mod relay;
mod software;
