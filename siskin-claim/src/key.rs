//! Hashed keys of claims, and their assignment to buckets.

use {
    siskin_types::id::Customer,
    siskin_wire::claim::{BodyHash, Key},
};

/// Hashes idempotency keys and calls. All routers of a fleet use the same secret, so that they compute the same
/// keys, and so that callers cannot choose keys that fall into one bucket.
///
/// ```
/// use {siskin_claim::key::Hasher, siskin_types::id::Customer};
/// let hasher = Hasher::new(&[7; 32]);
/// let key = hasher.key(Customer(1), b"order-17");
/// assert_ne!(key, hasher.key(Customer(2), b"order-17"));
/// assert!(siskin_claim::key::bucket(&key, 64) < 64);
/// ```
#[derive(Clone, Debug)]
pub struct Hasher {
    derived_key: [u8; 32],
}

/// Context for deriving the hash key from the fleet's secret; separates claim keys from other uses of it.
const KEY_CONTEXT: &[u8] = b"siskinroute claim key 1";

/// Length to which hashes are truncated, in bytes.
const HASH_BYTES: usize = 16;

impl Hasher {
    /// Derives the hash key from the fleet's secret.
    #[must_use]
    pub fn new(secret: &[u8; 32]) -> Self {
        Self { derived_key: *blake3::keyed_hash(secret, KEY_CONTEXT).as_bytes() }
    }

    /// Claim key for a customer's idempotency key.
    #[must_use]
    pub fn key(&self, customer: Customer, idempotency_key: &[u8]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.derived_key);
        hasher.update(&customer.0.to_le_bytes());
        hasher.update(idempotency_key);
        Key(truncate_hash(hasher.finalize()))
    }

    /// Hash of method, path and body. A call that reuses an idempotency key must have the same hash as the first.
    #[must_use]
    pub fn body(&self, method: &str, path: &str, body: &[u8]) -> BodyHash {
        let mut hasher = blake3::Hasher::new_keyed(&self.derived_key);
        for part in [method.as_bytes(), path.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        BodyHash(truncate_hash(hasher.finalize()))
    }
}

/// The bucket that a key is assigned to.
#[must_use]
pub fn bucket(key: &Key, buckets: u8) -> u8 {
    key.0[0] % buckets
}

fn truncate_hash(hash: blake3::Hash) -> [u8; HASH_BYTES] {
    let mut truncated = [0; HASH_BYTES];
    truncated.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    truncated
}
