//! The list of endpoints as routers send it to each other.
//!
//! What the previous version does not know follows its encoding: routers of that version ignore bytes at the end, and a list that
//! ends before is one of theirs.

use {
    super::{Directory, Endpoint},
    serde::{Deserialize, Serialize},
    siskin_types::position::Position,
};

/// The list in the encoding of the previous version.
#[derive(Deserialize)]
struct Base {
    position: Position,
    endpoints: Vec<Endpoint>,
}

/// The whole list.
#[derive(Serialize)]
struct Whole<'a> {
    position: Position,
    endpoints: &'a [Endpoint],
    drained: &'a [String],
}

impl Directory {
    /// Encodes the list for a router of this or the previous version.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let (position, endpoints) = (self.position, self.endpoints.as_slice());
        postcard::to_stdvec(&Whole { position, endpoints, drained: self.drained() })
    }

    /// Decodes a list of this or the previous version. Its order is not trusted.
    ///
    /// ```
    /// use siskin_gateway::directory::Directory;
    /// let list = Directory::new(7, Vec::new()).with_drained(["east"]);
    /// assert_eq!(Directory::decode(&list.encode().unwrap()), Ok(list));
    /// ```
    ///
    /// # Errors
    ///
    /// The bytes are not a whole list.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (Base { position, endpoints }, rest) = postcard::take_from_bytes(bytes)?;
        let list = Self::new(position, endpoints);
        if rest.is_empty() {
            return Ok(Self { drained: None, ..list });
        }
        Ok(list.with_drained(postcard::from_bytes::<Vec<String>>(rest)?))
    }
}
