//! Connects to an endpoint and sends the request.

use {
    super::{Answer, Exchange, Kind, Stage},
    crate::caller::answer::REQUEST_ID,
    bytes::Bytes,
    futures_util::{FutureExt, future::BoxFuture},
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Uri,
        header::{CONTENT_TYPE, HOST, HeaderValue},
    },
    siskin_net::upstream::{Connection, Error},
    siskin_outcome::life::{Action, Attempt},
    siskin_types::{id::Endpoint, time::Instant},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Header that names the last event that arrived, to resume a stream.
const LAST_EVENT_ID: &str = "last-event-id";

/// Header that tells an endpoint how long the caller will wait.
const TIMEOUT_MS: &str = "x-siskin-timeout-ms";

/// The opening of a connection.
type Opening = BoxFuture<'static, Result<Connection, Error>>;

impl Exchange {
    /// Starts to connect for a new run.
    pub(super) fn connect(&mut self, attempt: Attempt, endpoint: Endpoint) {
        self.resuming = false;
        self.delivery.restart();
        self.open(attempt, endpoint, false);
    }

    /// Starts to connect for the rest of a stream. A fresh connection is used, because the idle ones may have gone
    /// silent with the one that broke.
    pub(super) fn resume(&mut self, attempt: Attempt, endpoint: Endpoint, offset: u64) {
        log::info!(request:% = self.call.request, endpoint:% = endpoint, offset; "stream is resumed");
        self.shared.metrics.resumes.inc();
        self.resuming = true;
        self.open(attempt, endpoint, true);
    }

    fn open(&mut self, attempt: Attempt, endpoint: Endpoint, fresh: bool) {
        self.started_waiting();
        let address = self.shared.view().address(endpoint);
        let shared = Arc::clone(&self.shared);
        let is_engine = matches!(self.call.kind, Kind::Chat { .. });
        let opening = async move {
            let Some(address) = address else {
                return Err(Error::Unconfigured { endpoint });
            };
            match (is_engine, fresh) {
                (true, true) => shared.open_engine(address).await,
                (true, false) => shared.take_engine(address).await,
                // Answers of applications are not resumed.
                (false, _) => shared.upstream.take(address).await,
            }
        };
        self.stage = Stage::Connecting { attempt, endpoint, opening: opening.boxed() };
    }

    /// Sends the request on an open connection.
    pub(super) fn connected(
        &mut self,
        now: Instant,
        attempt: Attempt,
        connection: Connection,
    ) -> Vec<Action> {
        let Some(endpoint) = self.slot else { return Vec::new() };
        if self.resuming && !self.may_go_on(endpoint, &connection) {
            return self.life.connect_failed(now, attempt, &mut self.call.pool.budget());
        }
        if self.life.bytes_sent(now, attempt).is_err() {
            return self.life.tick(now);
        }
        let address = connection.address();
        let Some(request) = self.request(address, self.call.deadline - now) else {
            return self.life.cancelled(now);
        };
        self.started_waiting();
        let shared = Arc::clone(&self.shared);
        let reopening = match (&self.call.kind, self.resuming) {
            (_, true) => None,
            (Kind::Chat { .. }, false) => {
                Some(async move { shared.open_engine(address).await }.boxed())
            }
            (Kind::Application(_), false) => {
                Some(async move { shared.upstream.open(address).await }.boxed())
            }
        };
        let sending = send(connection, request, reopening);
        self.stage = Stage::Sending { attempt, endpoint, sending: sending.boxed() };
        Vec::new()
    }

    pub(super) fn started_waiting(&mut self) {
        self.progress_at = tokio::time::Instant::now();
        self.probed = false;
    }

    /// The request in the form that the endpoint takes.
    fn request(&self, address: SocketAddr, allowed: Duration) -> Option<Request<Full<Bytes>>> {
        let (method, target, mut headers, body) = match &self.call.kind {
            Kind::Chat { chat, limit, .. } => {
                let mut headers = HeaderMap::new();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                if self.resuming {
                    let last = self.delivery.last_event();
                    headers.insert(LAST_EVENT_ID, HeaderValue::from_str(last).ok()?);
                }
                (Method::POST, "/v1/chat/completions", headers, Bytes::from(chat.forwarded(*limit)))
            }
            Kind::Application(application) => (
                application.method.clone(),
                application.target.as_str(),
                application.headers.clone(),
                application.body.clone(),
            ),
        };
        headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
        headers.insert(REQUEST_ID, HeaderValue::from_str(&self.call.request.to_string()).ok()?);
        let allowed_ms = u64::try_from(allowed.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIMEOUT_MS, HeaderValue::from(allowed_ms));
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = target.parse::<Uri>().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Sends a request. If an idle connection was closed by the endpoint before a byte was written, a new one is used:
/// the library gives the request back only if it wrote nothing. The rest of a stream is not asked for on another connection than
/// the one on which the software version was found.
async fn send(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
    reopening: Option<Opening>,
) -> (Connection, Answer) {
    let again = request.clone();
    match (connection.send(request).await, reopening) {
        (Err(Error::Unsent { .. }), Some(reopening)) => match reopening.await {
            Ok(mut fresh) => {
                let answer = fresh.send(again).await;
                (fresh, answer)
            }
            Err(error) => (connection, Err(error)),
        },
        (answer, _) => (connection, answer),
    }
}
