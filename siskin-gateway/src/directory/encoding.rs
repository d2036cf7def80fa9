//! The list of endpoints as routers send it to each other.
//!
//! What the previous version does not know follows its encoding: routers of that version ignore bytes at the end, and a list that
//! ends before is one of theirs.

use {
    super::{Directory, Endpoint},
    indexmap::IndexSet,
    serde::{Deserialize, Serialize},
    siskin_types::{id, position::Position, time::Instant},
    std::{sync::Arc, time::Duration},
};

/// The list in the encoding of the version before drains.
#[derive(Deserialize)]
struct Base {
    position: Position,
    endpoints: Vec<Endpoint>,
}

/// The list without the software versions, in the encoding of the previous version.
#[derive(Serialize)]
struct Previous<'a> {
    position: Position,
    endpoints: &'a [Endpoint],
    drained: &'a [String],
    cold: Vec<Cold>,
}

/// What follows the encoding of the version before drains.
#[derive(Deserialize)]
struct Addition {
    drained: Vec<String>,
    cold: Vec<Cold>,
}

/// An endpoint and the milliseconds for which it remains cold: instants hold for one process only.
type Cold = (id::Endpoint, u32);

/// The software versions of a list's endpoints, which follow everything else.
#[derive(Serialize, Deserialize)]
struct Software<'a> {
    /// Each version once.
    #[serde(borrow)]
    versions: Vec<&'a str>,
    /// For each endpoint in the order of the list, the place of its version, counted from 1; 0 if it is not known.
    places: Vec<u32>,
}

impl Software<'_> {
    /// The version of each of so many endpoints; `None` if the places do not fit.
    fn by_endpoint(&self, endpoints: usize) -> Option<Vec<Option<Arc<str>>>> {
        let versions: Vec<Arc<str>> = self.versions.iter().copied().map(Arc::from).collect();
        let version = |place: &u32| match usize::try_from(*place).ok()?.checked_sub(1) {
            None => Some(None),
            Some(index) => versions.get(index).cloned().map(Some),
        };
        let fits = self.places.len() == endpoints;
        fits.then(|| self.places.iter().map(version).collect()).flatten()
    }
}

impl Directory {
    /// Encodes the list for a router of this or a previous version.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn encode(&self, now: Instant) -> postcard::Result<Vec<u8>> {
        let mut bytes = self.encode_first(now)?;
        bytes.extend(self.encode_software()?);
        Ok(bytes)
    }

    /// Encodes the list without the software versions, so that values of the previous encoding can follow.
    pub(crate) fn encode_first(&self, now: Instant) -> postcard::Result<Vec<u8>> {
        let cold_for = self.cold.iter().map(|(endpoint, until)| (*endpoint, *until - now));
        let cold = cold_for.filter(|(_, time)| !time.is_zero()).map(|(endpoint, time)| {
            (endpoint, u32::try_from(time.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX))
        });
        postcard::to_stdvec(&Previous {
            position: self.position,
            endpoints: &self.endpoints,
            drained: self.drained(),
            cold: cold.collect(),
        })
    }

    /// Encodes the software versions of the endpoints.
    pub(crate) fn encode_software(&self) -> postcard::Result<Vec<u8>> {
        let mut versions = IndexSet::new();
        let mut place = |version| u32::try_from(versions.insert_full(version).0 + 1).ok();
        let software = self.endpoints.iter().map(|endpoint| endpoint.software.as_deref());
        let places = software.map(|version| version.and_then(&mut place).unwrap_or(0)).collect();
        postcard::to_stdvec(&Software { versions: versions.into_iter().collect(), places })
    }

    /// Decodes a list of this or a previous version. Its order is not trusted.
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
        let (mut list, rest) = Self::decode_first(bytes, now)?;
        list.decode_software(rest)?;
        Ok(list)
    }

    /// Decodes the software versions of the endpoints, which a previous version does not send. They are the end of the bytes.
    /// Malformed ones are not used, as the list holds without them.
    pub(crate) fn decode_software(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let decoded = match postcard::from_bytes::<Software<'_>>(bytes) {
            Err(error @ postcard::Error::DeserializeUnexpectedEnd) => return Err(error),
            decoded => decoded.ok(),
        };
        match decoded.and_then(|software| software.by_endpoint(self.endpoints.len())) {
            Some(versions) => {
                for (endpoint, version) in self.endpoints.iter_mut().zip(versions) {
                    endpoint.software = version;
                }
            }
            None => log::warn!(
                position = self.position.number();
                "software versions in a list of endpoints are malformed and not used; check the version of the router that sent it"
            ),
        }
        Ok(())
    }

    /// Decodes a list that other values follow, without the software versions. Returns the bytes after it.
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
