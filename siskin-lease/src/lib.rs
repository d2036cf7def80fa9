//! Lease acquisition and renewal, fencing numbers and orders to engines.
//!
//! [`holder::Holder`] acquires and renews the lease of a pool, [`orders::Planner`] derives orders from the difference
//! between the wanted and the reported models, and [`budget::Budget`] limits the rate of a router's store calls. None
//! of them does I/O: store operations, orders and drains are returned as actions, and the caller passes the answers in.

pub mod budget;
pub mod holder;
pub mod orders;
