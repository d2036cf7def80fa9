//! Schedulers for comparison.
