//! Settings from flags and environment variables, checked at start.
