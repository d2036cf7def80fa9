//! The list of endpoints as routers send it to each other.
//!
//! What the previous version does not know follows its encoding: routers of that version ignore bytes at the end, and a list that
//! ends before is one of theirs.

use {
    super::{Directory, Endpoint},
    serde::{Deserialize, Serialize},
    siskin_types::{id, position::Position, time::Instant},
    std::time::Duration,
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
    cold: Vec<Cold>,
}

/// What follows the encoding of the previous version.
#[derive(Deserialize)]
struct Addition {
    drained: Vec<String>,
    cold: Vec<Cold>,
}

/// An endpoint and the milliseconds for which it remains cold: instants hold for one process only.
type Cold = (id::Endpoint, u32);

impl Directory {
    /// Encodes the list for a router of this or the previous version.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn encode(&self, now: Instant) -> postcard::Result<Vec<u8>> {
        let cold_for = self.cold.iter().map(|(endpoint, until)| (*endpoint, *until - now));
        let cold = cold_for.filter(|(_, time)| !time.is_zero()).map(|(endpoint, time)| {
            (endpoint, u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX))
        });
        postcard::to_stdvec(&Whole {
            position: self.position,
            endpoints: &self.endpoints,
            drained: self.drained(),
            cold: cold.collect(),
        })
    }

    /// Decodes a list of this or the previous version. Its order is not trusted.
    ///
    /// ```
    /// use {siskin_gateway::directory::Directory, siskin_types::time::Instant};
    /// let now = Instant::from_micros(5_000_000);
    /// let list = Directory::new(7, Vec::new()).with_drained(["east"]);
    /// assert_eq!(Directory::decode(&list.encode(now).unwrap(), now), Ok(list));
    /// ```
    ///
    /// # Errors
    ///
    /// The bytes are not a whole list.
    pub fn decode(bytes: &[u8], now: Instant) -> postcard::Result<Self> {
        Ok(Self::decode_first(bytes, now)?.0)
    }

    /// Decodes a list that other values follow. Returns the bytes after it.
    pub(crate) fn decode_first(bytes: &[u8], now: Instant) -> postcard::Result<(Self, &[u8])> {
        let (Base { position, endpoints }, rest) = postcard::take_from_bytes(bytes)?;
        let list = Self::new(position, endpoints);
        if rest.is_empty() {
            return Ok((Self { drained: None, ..list }, rest));
        }
        let (Addition { drained, cold }, rest) = postcard::take_from_bytes(rest)?;
        let end =
            |(endpoint, millis): Cold| (endpoint, now + Duration::from_millis(u64::from(millis)));
        Ok((list.with_drained(drained).with_cold(cold.into_iter().map(end)), rest))
    }
}
