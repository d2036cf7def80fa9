//! The list of endpoints that the platform publishes.

mod encoding;

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    siskin_types::{id, position::Position, time::Instant},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Name of this instance; it changes with each restart of the endpoint.
    pub instance: String,
    /// Identifier of this instance, the same at all routers.
    pub id: id::Endpoint,
    /// The service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Whether its entry expired during a store outage. The endpoint may register again.
    pub expired: bool,
    /// Version of its software; `None` if it is not known.
    // Not part of this encoding, which routers of the previous version read: the module `encoding` appends it.
    #[serde(skip)]
    pub software: Option<Arc<str>>,
}

impl Endpoint {
    /// Derives the identifier of an instance from its name, the same at all routers.
    ///
    /// ```
    /// use siskin_gateway::directory::Endpoint;
    /// assert_eq!(Endpoint::number("i-1"), Endpoint::number("i-1"));
    /// assert_ne!(Endpoint::number("i-1"), Endpoint::number("i-2"));
    /// ```
    #[must_use]
    pub fn number(instance: &str) -> id::Endpoint {
        id::Endpoint(hash_to_u32(instance))
    }
}

/// Returns the first four bytes of a name's hash as a number.
#[must_use]
pub fn hash_to_u32(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// All listed endpoints, ordered by identifier, and the drained data centres, ordered by name.
///
/// ```
/// use siskin_gateway::directory::{Directory, Endpoint};
/// let endpoint = |name: &str| Endpoint {
///     instance: name.to_owned(),
///     id: Endpoint::number(name),
///     service: "app".to_owned(),
///     address: "127.0.0.1:80".parse().unwrap(),
///     data_centre: "east".to_owned(),
///     slots: 4,
///     leaving: false,
///     expired: false,
///     software: Some("1".into()),
/// };
/// let directory = Directory::new(7, vec![endpoint("b"), endpoint("a")]).with_drained(["east"]);
/// assert_eq!(directory.get(Endpoint::number("a")).unwrap().instance, "a");
/// assert!(directory.get(Endpoint::number("c")).is_none());
/// assert_eq!(directory.software(Endpoint::number("a")).unwrap().as_ref(), "1");
/// assert!(directory.software(Endpoint::number("c")).is_none());
/// assert!(directory.is_drained("east") && !directory.is_drained("west"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directory {
    position: Position,
    endpoints: Vec<Endpoint>,
    /// `None` in a list from a router of the previous version, which does not know drains.
    drained: Option<Vec<String>>,
    /// Until when endpoints are cold, by this process's clock.
    cold: IndexMap<id::Endpoint, Instant>,
}

impl Directory {
    /// Creates the list at a position of the platform's store, without drained data centres and cold endpoints.
    #[must_use]
    pub fn new(position: impl Into<Position>, mut endpoints: Vec<Endpoint>) -> Self {
        endpoints.sort_by_key(|endpoint| endpoint.id);
        Self {
            position: position.into(),
            endpoints,
            drained: Some(Vec::new()),
            cold: IndexMap::new(),
        }
    }

    /// Sets the drained data centres.
    #[must_use]
    pub fn with_drained(self, names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        let mut names: Vec<String> = names.into_iter().map(Into::into).collect();
        names.sort_unstable();
        names.dedup();
        Self { drained: Some(names), ..self }
    }

    /// Sets until when endpoints are cold.
    #[must_use]
    pub fn with_cold(self, ends: impl IntoIterator<Item = (id::Endpoint, Instant)>) -> Self {
        Self { cold: ends.into_iter().collect(), ..self }
    }

    /// Position of the platform's store that the list is from.
    #[must_use]
    pub const fn position(&self) -> Position {
        self.position
    }

    /// The endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Returns the list to send to a peer. Expired entries are left out: the peer may already know that these endpoints are gone.
    #[must_use]
    pub fn without_expired(&self) -> Self {
        let endpoints =
            self.endpoints.iter().filter(|endpoint| !endpoint.expired).cloned().collect();
        Self {
            endpoints,
            position: self.position,
            drained: self.drained.clone(),
            cold: self.cold.clone(),
        }
    }

    /// Until when an endpoint is cold. That may be in the past.
    #[must_use]
    pub fn cold_until(&self, endpoint: id::Endpoint) -> Option<Instant> {
        self.cold.get(&endpoint).copied()
    }

    /// Time for which an endpoint remains cold; zero if it is warm.
    #[must_use]
    pub fn cold_for(&self, now: Instant, endpoint: id::Endpoint) -> Duration {
        self.cold_until(endpoint).map_or(Duration::ZERO, |until| until - now)
    }

    /// Names of the drained data centres.
    #[must_use]
    pub fn drained(&self) -> &[String] {
        self.drained.as_deref().unwrap_or_default()
    }

    /// Whether a data centre is drained.
    #[must_use]
    pub fn is_drained(&self, data_centre: &str) -> bool {
        self.drained().binary_search_by(|name| name.as_str().cmp(data_centre)).is_ok()
    }

    /// Whether the list says which data centres are drained and which endpoints are cold.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.drained.is_some()
    }

    /// Number of endpoints whose software version is known.
    pub(crate) fn software_known(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.software.is_some()).count()
    }

    /// Adds what a list from a router of a previous version does not say. At the position of the `known` list it is the same
    /// list, so what is known applies; at a higher one no data centre is drained. Endpoints stay cold for as long as is known, and
    /// keep their software versions: an instance that starts again has another identifier.
    pub(crate) fn complete_from(&mut self, known: &Self) {
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| endpoint.software.is_none()) {
            endpoint.software = known.get(endpoint.id).and_then(|known| known.software.clone());
        }
        if self.is_complete() {
            return;
        }
        self.cold.clone_from(&known.cold);
        if self.position == known.position {
            self.drained.clone_from(&known.drained);
        }
    }

    /// Finds the endpoint with this identifier.
    #[must_use]
    pub fn get(&self, id: id::Endpoint) -> Option<&Endpoint> {
        let index = self.endpoints.binary_search_by_key(&id, |endpoint| endpoint.id).ok()?;
        self.endpoints.get(index)
    }

    /// Software version of the endpoint with this identifier; `None` if it is not known or the endpoint is not listed.
    #[must_use]
    pub fn software(&self, id: id::Endpoint) -> Option<&Arc<str>> {
        self.get(id)?.software.as_ref()
    }
}
