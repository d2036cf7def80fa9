//! Lease holding, fencing numbers and orders to engines.
//!
//! [`holder::Holder`] acquires and keeps the lease of a pool, [`orders::Planner`] derives orders from the difference
//! between the wanted and the reported models, and [`budget::Budget`] limits the store calls of a router. None of them
//! does I/O: store operations, orders and drains are returned as actions, and answers come in as events.

pub mod budget;
pub mod holder;
pub mod orders;
