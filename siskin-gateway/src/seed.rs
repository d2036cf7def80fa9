//! Start without a store: a process that knows no configuration asks other routers for theirs.

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
        respond::{self, Body},
    },
    anyhow::Context,
    futures_util::future::join_all,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode,
        header::{HOST, HeaderValue},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Path of the snapshot.
pub(crate) const PATH: &str = "/snapshot";

/// Time that the store has to answer before other routers are asked.
const PATIENCE: Duration = Duration::from_millis(400);

/// Pause between rounds over the seeds.
const PAUSE: Duration = Duration::from_millis(500);

/// Longest time that a seed has to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// What a router knows, for one that knows nothing.
#[derive(Debug, Serialize, Deserialize)]
struct Snapshot {
    catalog: Catalog,
    directory: Directory,
}

/// Asks the seeds until a configuration is known, from them or from the store. Of all answers the newest counts: a seed that
/// was cut off may tell of customers' keys and endpoints that are gone.
pub async fn run(gateway: Arc<Gateway>, seeds: Vec<SocketAddr>) {
    sleep(PATIENCE).await;
    while gateway.catalog().is_none() {
        let asked = seeds.iter().map(|seed| snapshot(&gateway, *seed));
        let snapshots: Vec<Snapshot> = join_all(asked).await.into_iter().flatten().collect();
        let (catalogs, directories): (Vec<_>, Vec<_>) =
            snapshots.into_iter().map(|one| (one.catalog, one.directory)).unzip();
        let directory = directories.into_iter().max_by_key(Directory::revision);
        let catalog = catalogs.into_iter().max_by_key(|catalog| catalog.version);
        if let (Some(directory), Some(catalog)) = (directory, catalog) {
            gateway.set_directory(directory, Source::Peer);
            gateway.set_catalog(catalog, Source::Peer);
            return;
        }
        sleep(PAUSE).await;
    }
}

/// What a seed knows, if it answers in time.
async fn snapshot(gateway: &Gateway, seed: SocketAddr) -> Option<Snapshot> {
    match timeout(ANSWER_TIMEOUT, ask(gateway, seed)).await {
        Ok(Ok(snapshot)) => return Some(snapshot),
        Ok(Err(error)) => log::info!(seed:% = seed; "seed gave no configuration: {error:#}"),
        Err(_) => log::info!(seed:% = seed; "seed did not answer in time"),
    }
    None
}

/// The answer to a router that asks: this router's configuration and endpoints, or 503 if it has none.
pub(crate) fn answer(gateway: &Gateway) -> Response<Body> {
    let Some(catalog) = gateway.catalog() else {
        return respond::explained(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is known yet",
        );
    };
    let directory = gateway.directory().confirmed();
    match postcard::to_stdvec(&Snapshot { catalog: (*catalog).clone(), directory }) {
        Ok(bytes) => Response::new(respond::full(bytes)),
        Err(error) => {
            log::error!("snapshot cannot be encoded: {error}");
            respond::explained(StatusCode::INTERNAL_SERVER_ERROR, "snapshot cannot be encoded")
        }
    }
}

async fn ask(gateway: &Gateway, seed: SocketAddr) -> anyhow::Result<Snapshot> {
    let mut connection = gateway.upstream.open(seed).await?;
    let mut request = Request::new(Full::default());
    *request.uri_mut() = PATH.parse()?;
    request.headers_mut().insert(HOST, HeaderValue::from_str(&seed.to_string())?);
    let answer = connection.send(request).await?;
    let status = answer.status();
    anyhow::ensure!(status.is_success(), "it answered {status}");
    let bytes = answer.into_body().collect().await?.to_bytes();
    postcard::from_bytes(&bytes).context("its snapshot cannot be read")
}
