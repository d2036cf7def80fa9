//! Start without a store: a process that knows no configuration asks other routers for theirs.

use {
    crate::{
        catalog::Catalog,
        directory::Directory,
        gateway::{Gateway, Source},
        respond::{self, Body},
    },
    anyhow::Context,
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

/// Asks the seeds in turn until a configuration is known, from them or from the store.
pub async fn run(gateway: Arc<Gateway>, seeds: Vec<SocketAddr>) {
    sleep(PATIENCE).await;
    while gateway.catalog().is_none() {
        for &seed in &seeds {
            match timeout(ANSWER_TIMEOUT, ask(&gateway, seed)).await {
                Ok(Ok(snapshot)) => {
                    gateway.set_directory(snapshot.directory, Source::Peer);
                    gateway.set_catalog(snapshot.catalog, Source::Peer);
                    return;
                }
                Ok(Err(error)) => {
                    log::info!(seed:% = seed; "seed gave no configuration: {error:#}");
                }
                Err(_) => log::info!(seed:% = seed; "seed did not answer in time"),
            }
            if gateway.catalog().is_some() {
                return;
            }
        }
        sleep(PAUSE).await;
    }
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
