//! Names of streams.

use serde::{Deserialize, Serialize};

/// Identifies a stream: a hash of the name of the customer and of the identifier of the request that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stream(u64);

impl Stream {
    /// The stream that a request of a customer began.
    ///
    /// ```
    /// use siskin_outcome::origin::Stream;
    /// assert_eq!(Stream::new("a", "bc"), Stream::new("a", "bc"));
    /// assert_ne!(Stream::new("a", "bc"), Stream::new("ab", "c"));
    /// ```
    #[must_use]
    pub fn new(customer: &str, request: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length keeps a part of one name from being taken for a part of the other.
        hasher.update(&(customer.len() as u64).to_le_bytes());
        hasher.update(customer.as_bytes()).update(request.as_bytes());
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
        Self(u64::from_le_bytes(first))
    }
}
