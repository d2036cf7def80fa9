//! Identifiers, time and cost units shared by every crate.
//!
//! Types are single nouns; the module gives the rest: [`id::Customer`], [`time::Instant`], [`cost::Units`],
//! [`position::Position`].

pub mod cost;
pub mod id;
pub mod position;
pub mod process;
pub mod role;
pub mod time;
