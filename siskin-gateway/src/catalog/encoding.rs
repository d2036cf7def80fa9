//! The configuration as routers send it to each other.
//!
//! What the previous version does not know follows its encoding: routers of that version ignore bytes at the end, and a configuration
//! that ends before is one of theirs.

use {
    super::{Catalog, WarmUp},
    indexmap::IndexMap,
};

impl Catalog {
    /// Encodes the configuration for a router of this or the previous version.
    ///
    /// # Errors
    ///
    /// There is no memory for it.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let mut bytes = self.encode_base()?;
        bytes.extend(self.encode_warm_ups()?);
        Ok(bytes)
    }

    /// Decodes a configuration of this or the previous version. One of the previous version does not say how services warm up; what
    /// the `known` configuration says of them applies further.
    ///
    /// # Errors
    ///
    /// The bytes are not a whole configuration.
    pub fn decode(bytes: &[u8], known: Option<&Self>) -> postcard::Result<Self> {
        let (mut catalog, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        catalog.decode_warm_ups(rest, known)?;
        Ok(catalog)
    }

    /// Encodes what the previous version knows.
    pub(crate) fn encode_base(&self) -> postcard::Result<Vec<u8>> {
        postcard::to_stdvec(self)
    }

    /// Encodes how services warm up.
    pub(crate) fn encode_warm_ups(&self) -> postcard::Result<Vec<u8>> {
        let warm_ups = self.services.iter().filter_map(|(name, one)| Some((name, one.warm_up?)));
        postcard::to_stdvec(&warm_ups.collect::<IndexMap<_, _>>())
    }

    /// Decodes how services warm up. Returns the bytes that follow.
    pub(crate) fn decode_warm_ups<'bytes>(
        &mut self,
        bytes: &'bytes [u8],
        known: Option<&Self>,
    ) -> postcard::Result<&'bytes [u8]> {
        let (warm_ups, rest): (IndexMap<String, WarmUp>, _) = if bytes.is_empty() {
            let known = known.into_iter().flat_map(|known| &known.services);
            let warm_ups = known.filter_map(|(name, one)| Some((name.clone(), one.warm_up?)));
            (warm_ups.collect(), bytes)
        } else {
            postcard::take_from_bytes(bytes)?
        };
        for (name, service) in &mut self.services {
            service.warm_up = warm_ups.get(name).copied();
        }
        Ok(rest)
    }
}
