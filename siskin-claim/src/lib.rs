//! At-most-once claims on idempotency keys, written to the store in groups.
