//! Keys and buckets of claims.

use {
    siskin_types::id::Customer,
    siskin_wire::claim::{BodyHash, Key},
};

/// Makes keys. All routers of a fleet use the same secret, so that they agree and nobody else can choose
/// keys that fall into one bucket.
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
    secret: [u8; 32],
}

/// Separates claim keys from other uses of the fleet's secret.
const KEY_CONTEXT: &[u8] = b"siskinroute claim key 1";

/// Bytes of a hash that are kept.
const HASH_BYTES: usize = 16;

impl Hasher {
    /// Makes a hasher from the fleet's secret.
    #[must_use]
    pub fn new(secret: &[u8; 32]) -> Self {
        Self { secret: *blake3::keyed_hash(secret, KEY_CONTEXT).as_bytes() }
    }

    /// Key of a customer's idempotency key.
    #[must_use]
    pub fn key(&self, customer: Customer, idempotency_key: &[u8]) -> Key {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&customer.0.to_le_bytes());
        hasher.update(idempotency_key);
        Key(shortened(hasher.finalize()))
    }

    /// Hash of what a repeated key must have in common with the first call: method, path and body.
    #[must_use]
    pub fn body(&self, method: &str, path: &str, body: &[u8]) -> BodyHash {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        for part in [method.as_bytes(), path.as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        BodyHash(shortened(hasher.finalize()))
    }
}

/// Bucket of a key.
#[must_use]
pub fn bucket(key: &Key, buckets: u8) -> u8 {
    key.0[0] % buckets
}

fn shortened(hash: blake3::Hash) -> [u8; HASH_BYTES] {
    let mut short = [0; HASH_BYTES];
    short.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    short
}
