//! Decisions on requests that are forwarded unchanged.

mod fixture;
mod large_prompt;
mod shared_speed;
