//! Start without the store: a router that has no configuration requests one from other routers (seeds).

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
        respond::{self, Body},
    },
    anyhow::Context,
    futures_util::future::join_all,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode,
        header::{HOST, HeaderValue},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
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

/// The configuration and endpoints of a router, sent to one that has none.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    catalog: Catalog,
    directory: Directory,
}

/// Requests snapshots from the seeds until a configuration is known, from them or from the store. Uses the newest
/// configuration and the newest list of endpoints of all responses: a seed that was cut off from the store may still have
/// customers' keys and endpoints that were removed.
pub async fn run(gateway: Arc<Gateway>, seeds: Vec<SocketAddr>) {
    sleep(STORE_HEAD_START).await;
    while gateway.catalog().is_none() {
        let requests = seeds.iter().map(|seed| fetch_snapshot(&gateway, *seed));
        let snapshots: Vec<Snapshot> = join_all(requests).await.into_iter().flatten().collect();
        let (catalogs, directories): (Vec<_>, Vec<_>) =
            snapshots.into_iter().map(|one| (one.catalog, one.directory)).unzip();
        let directory = directories.into_iter().max_by_key(Directory::position);
        let catalog = catalogs.into_iter().max_by_key(|catalog| catalog.version);
        if let (Some(directory), Some(catalog)) = (directory, catalog) {
            gateway.set_directory(directory, Source::Peer);
            gateway.set_catalog(catalog, Source::Peer);
            return;
        }
        sleep(ROUND_INTERVAL).await;
    }
}

/// Fetches the snapshot of a seed, if it responds in time.
async fn fetch_snapshot(gateway: &Gateway, seed: SocketAddr) -> Option<Snapshot> {
    match timeout(RESPONSE_TIMEOUT, request_snapshot(gateway, seed)).await {
        Ok(Ok(snapshot)) => return Some(snapshot),
        Ok(Err(error)) => log::info!(seed:% = seed; "snapshot cannot be fetched: {error:#}"),
        Err(_) => log::info!(seed:% = seed; "seed did not respond in time"),
    }
    None
}

/// Builds the response to a router that requests a snapshot: this router's configuration and endpoints, or 503 if it has
/// none.
pub(crate) fn snapshot_response(gateway: &Gateway) -> Response<Body> {
    let Some(catalog) = gateway.catalog() else {
        return respond::text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is known yet",
        );
    };
    let directory = gateway.directory().without_expired();
    match postcard::to_stdvec(&Snapshot { catalog: (*catalog).clone(), directory }) {
        Ok(bytes) => Response::new(respond::full_body(bytes)),
        Err(error) => {
            log::error!("snapshot cannot be encoded: {error}");
            respond::text_response(StatusCode::INTERNAL_SERVER_ERROR, "snapshot cannot be encoded")
        }
    }
}

async fn request_snapshot(gateway: &Gateway, seed: SocketAddr) -> anyhow::Result<Snapshot> {
    let mut connection = gateway.upstream.open(seed).await?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = SNAPSHOT_PATH.parse()?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&seed.to_string())?);
    let response = connection.send(request).await?;
    let status = response.status();
    anyhow::ensure!(status.is_success(), "the seed responded with status {status}");
    let read = Limited::new(response.into_body(), SNAPSHOT_BYTES_MAX).collect().await;
    let bytes = read.map_err(anyhow::Error::from_boxed)?.to_bytes();
    postcard::from_bytes(&bytes).context("the snapshot cannot be read")
}
