//! Start without the store: a router that the store does not serve requests the configuration and the list of endpoints from
//! other routers, until it reads the store. It begins with those that its settings name (seeds). As the list of all routers is in
//! the store, responses also name some other routers, in case the seeds leave.

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
        respond::{self, Body},
    },
    anyhow::Context,
    bytes::Bytes,
    futures_util::future::join_all,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode, Uri,
        header::{HOST, HeaderValue},
    },
    indexmap::IndexSet,
    rand::seq::IteratorRandom,
    siskin_net::lock,
    siskin_types::{position::Position, time::Instant},
    std::{fmt, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// URL path of the snapshot.
pub(crate) const SNAPSHOT_PATH: &str = "/snapshot";

/// Time that the store has to deliver a configuration before the seeds are asked.
const STORE_HEAD_START: Duration = Duration::from_millis(400);

/// Time between rounds of requests to all seeds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time to wait for the response of a seed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest snapshot that is read: several times that of a fleet with thousands of endpoints.
const SNAPSHOT_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Most other routers that a snapshot names.
const NAMED_SOURCES_MAX: usize = 16;

/// Most other routers that are remembered as sources besides the seeds.
const LEARNED_SOURCES_MAX: usize = 64;

/// Most learned sources that are asked in one round besides the seeds.
const LEARNED_SOURCES_PER_ROUND: usize = 3;

/// The configuration and endpoints of a router, sent to one that has none.
#[derive(Debug)]
struct Snapshot {
    catalog: Catalog,
    directory: Directory,
    /// Addresses at which other routers serve snapshots.
    sources: Vec<SocketAddr>,
}

impl Snapshot {
    /// Encodes a snapshot for a router of this or an earlier version, which ignores the parts at the end that it does not know.
    fn encode(
        catalog: &Catalog,
        directory: &Directory,
        sources: &[SocketAddr],
        now: Instant,
    ) -> postcard::Result<Vec<u8>> {
        let mut bytes = catalog.encode_base()?;
        bytes.extend(directory.encode_first(now)?);
        bytes.extend(catalog.encode_warm_ups()?);
        bytes.extend(postcard::to_stdvec(sources)?);
        bytes.extend(directory.encode_software()?);
        Ok(bytes)
    }

    /// Decodes a snapshot of this or an earlier version, which lacks parts at the end.
    fn decode(bytes: &[u8], known: Option<&Catalog>, now: Instant) -> postcard::Result<Self> {
        let (mut catalog, rest) = postcard::take_from_bytes::<Catalog>(bytes)?;
        let (mut directory, rest) = Directory::decode_first(rest, now)?;
        let rest = catalog.decode_warm_ups(rest, known)?;
        let (sources, rest) =
            if rest.is_empty() { (Vec::new(), rest) } else { postcard::take_from_bytes(rest)? };
        directory.decode_software(rest)?;
        Ok(Self { catalog, directory, sources })
    }
}

/// Routers that are asked for snapshots.
#[derive(Debug)]
struct Sources {
    seeds: Vec<SocketAddr>,
    /// Other routers that snapshots have named.
    learned: IndexSet<SocketAddr>,
}

impl Sources {
    /// The sources of one round: all seeds and some others.
    fn choose(&self) -> Vec<SocketAddr> {
        let mut chosen = self.seeds.clone();
        let learned = self.learned.iter().copied();
        chosen.extend(learned.choose_multiple(&mut rand::rng(), LEARNED_SOURCES_PER_ROUND));
        chosen
    }

    /// Adds sources that a snapshot names. The oldest ones give way.
    fn learn(&mut self, named: &[SocketAddr]) {
        let new = named.iter().filter(|source| !self.seeds.contains(source));
        self.learned.extend(new);
        let excess = self.learned.len().saturating_sub(LEARNED_SOURCES_MAX);
        self.learned.drain(..excess);
    }
}

/// Versions that a router has, as the query of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Versions {
    /// Configuration version, 0 for none.
    config: u64,
    /// Position of the list of endpoints.
    directory: Position,
}

impl Versions {
    fn parse(query: &str) -> Option<Self> {
        let mut numbers = query.strip_prefix("known=")?.split('.').map(str::parse);
        let (config, era, revision) =
            (numbers.next()?.ok()?, numbers.next()?.ok()?, numbers.next()?.ok()?);
        Some(Self { config, directory: Position::new(era, revision) })
    }

    /// Whether these are the same as the others or newer.
    fn include(&self, other: &Self) -> bool {
        self.config >= other.config && self.directory >= other.directory
    }
}

impl fmt::Display for Versions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { config, directory } = self;
        write!(f, "known={config}.{}.{}", directory.era(), directory.revision())
    }
}

/// Requests snapshots from the seeds, and from some of the routers that they name, until this router reads the store. Uses the
/// newest configuration and the newest list of endpoints of all responses: a router that was cut off from the store may still have
/// customers' keys and endpoints that were removed.
pub async fn run(gateway: Arc<Gateway>, seeds: Vec<SocketAddr>) {
    sleep(STORE_HEAD_START).await;
    let mut sources = Sources { seeds, learned: IndexSet::new() };
    while !gateway.watching_store() {
        let chosen = sources.choose();
        let requests = chosen.iter().map(|source| fetch_snapshot(&gateway, *source));
        let snapshots: Vec<_> = join_all(requests).await.into_iter().flatten().collect();
        for snapshot in &snapshots {
            sources.learn(&snapshot.sources);
        }
        apply_newest(&gateway, snapshots.into_iter());
        sleep(ROUND_INTERVAL).await;
    }
}

impl Gateway {
    /// Replaces the addresses at which other routers serve snapshots.
    pub(crate) fn set_snapshot_sources(&self, sources: Vec<SocketAddr>) {
        *lock(&self.snapshot_sources) = sources;
    }
}

/// Puts the newest configuration and the newest list of endpoints in force, unless this router has newer ones.
fn apply_newest(gateway: &Gateway, snapshots: impl Iterator<Item = Snapshot>) {
    let (catalogs, directories): (Vec<_>, Vec<_>) =
        snapshots.map(|one| (one.catalog, one.directory)).unzip();
    let directory = directories
        .into_iter()
        .max_by_key(|one| (one.position(), one.is_complete(), one.software_known()));
    let catalog = catalogs.into_iter().max_by_key(|catalog| catalog.version);
    if let Some(directory) = directory.filter(|one| *one != *gateway.directory()) {
        gateway.set_directory(directory, Source::Peer);
    }
    if let Some(catalog) = catalog {
        gateway.set_catalog(catalog, Source::Peer);
    }
}

/// Fetches the snapshot of a router, if it responds in time.
async fn fetch_snapshot(gateway: &Gateway, source: SocketAddr) -> Option<Snapshot> {
    match timeout(RESPONSE_TIMEOUT, request_snapshot(gateway, source)).await {
        Ok(Ok(snapshot)) => return snapshot,
        Ok(Err(error)) => log::info!(source:% = source; "snapshot cannot be fetched: {error:#}"),
        Err(_) => log::info!(source:% = source; "router did not send its snapshot in time"),
    }
    None
}

/// Builds the response to a router that requests a snapshot: this router's configuration and endpoints, 304 if that router has the
/// same or newer ones, or 503 if this one has none.
pub(crate) fn snapshot_response(gateway: &Gateway, uri: &Uri) -> Response<Body> {
    let Some(catalog) = gateway.catalog() else {
        return respond::text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is known yet",
        );
    };
    let directory = gateway.directory().without_expired();
    let own = Versions { config: catalog.version, directory: directory.position() };
    if uri.query().and_then(Versions::parse).is_some_and(|known| known.include(&own)) {
        let mut response = Response::new(respond::full_body(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_MODIFIED;
        return response;
    }
    let sources = lock(&gateway.snapshot_sources).clone();
    let named = sources.into_iter().choose_multiple(&mut rand::rng(), NAMED_SOURCES_MAX);
    match Snapshot::encode(&catalog, &directory, &named, gateway.clock.now()) {
        Ok(bytes) => Response::new(respond::full_body(bytes)),
        Err(error) => {
            log::error!("snapshot cannot be encoded: {error}");
            respond::text_response(StatusCode::INTERNAL_SERVER_ERROR, "snapshot cannot be encoded")
        }
    }
}

/// Requests a snapshot. Returns `None` if the seed has nothing newer.
async fn request_snapshot(gateway: &Gateway, seed: SocketAddr) -> anyhow::Result<Option<Snapshot>> {
    let known = Versions {
        config: gateway.catalog().map_or(0, |catalog| catalog.version),
        directory: gateway.directory().position(),
    };
    let mut connection = gateway.upstream.open(seed).await?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = format!("{SNAPSHOT_PATH}?{known}").parse()?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&seed.to_string())?);
    let response = connection.send(request).await?;
    let status = response.status();
    if status == StatusCode::NOT_MODIFIED {
        return Ok(None);
    }
    anyhow::ensure!(status.is_success(), "the seed responded with status {status}");
    let read = Limited::new(response.into_body(), SNAPSHOT_BYTES_MAX).collect().await;
    let bytes = read.map_err(anyhow::Error::from_boxed)?.to_bytes();
    let catalog = gateway.catalog();
    Snapshot::decode(&bytes, catalog.as_deref(), gateway.clock.now())
        .map(Some)
        .context("the snapshot cannot be read")
}
