//! Lease holding, fencing numbers and orders to engines.
