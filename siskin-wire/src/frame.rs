//! Authenticated frames around messages.
