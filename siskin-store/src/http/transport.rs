//! HTTP transport: retries, choice of address, timeouts and rate limit.

use {
    super::{
        Options,
        message::{Failure, Streamed, Watch},
    },
    crate::{
        Error,
        budget::Budget,
        count::{Counters, Counts, Kind},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, Response, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, timeout, timeout_at},
};

/// Largest response that is read: a few full pages of values in base64.
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

#[derive(Debug)]
pub(super) struct Transport {
    options: Options,
    client: Client<HttpConnector, Full<Bytes>>,
    budget: Budget,
    counters: Counters,
    /// Index of the preferred address, modulo their number. It advances when an address fails.
    preferred: AtomicUsize,
    random: Mutex<SmallRng>,
}

impl Transport {
    pub(super) fn new(options: Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(options.connect_timeout));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            budget: Budget::new(options.calls_per_second, options.burst),
            counters: Counters::default(),
            preferred: AtomicUsize::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            options,
        }
    }

    pub(super) fn counts(&self) -> Counts {
        self.counters.snapshot()
    }

    /// Makes a call with a single attempt.
    pub(super) async fn call_once<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &Value,
    ) -> Result<T, Error> {
        let result = self.attempt(kind, path, body).await;
        self.counters.count_error(kind, &result);
        result
    }

    /// Makes a read call, with retries after exponential backoff with jitter.
    pub(super) async fn call_with_retries<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &Value,
    ) -> Result<T, Error> {
        let mut backoff = self.options.retry_after;
        for _ in 1..self.options.read_attempts {
            match self.call_once(kind, path, body).await {
                Err(error) if error.is_transient() => {
                    log::debug!(call = kind.name(); "retrying a store call: {error}");
                }
                result => return result,
            }
            tokio::time::sleep(self.add_jitter(backoff)).await;
            backoff = backoff.saturating_mul(2).min(self.options.retry_limit);
            self.counters.count_retry(kind);
        }
        self.call_once(kind, path, body).await
    }

    /// Opens a watch, waits at most `wait` for its first events and counts errors.
    pub(super) async fn watch(&self, body: &Value, wait: Duration) -> Result<Watch, Error> {
        let result = self.open_watch(body, wait).await;
        self.counters.count_error(Kind::Watch, &result);
        result
    }

    async fn attempt<T: DeserializeOwned>(
        &self,
        kind: Kind,
        path: &str,
        body: &Value,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + self.options.timeout;
        self.budget.acquire(self.options.timeout).await?;
        self.counters.count_sent(kind);
        let response = async {
            let response = self.send(path, body).await?;
            let bytes = read_body(response.into_body()).await?;
            serde_json::from_slice(&bytes).map_err(|error| unanswered(&error))
        };
        let result =
            timeout_at(deadline, response).await.unwrap_or_else(|_| Err(self.timeout_error()));
        if matches!(result, Err(Error::Unanswered { .. })) {
            self.advance_preferred();
        }
        result
    }

    async fn open_watch(&self, body: &Value, wait: Duration) -> Result<Watch, Error> {
        self.budget.acquire(self.options.timeout).await?;
        self.counters.count_sent(Kind::Watch);
        let opening = timeout(self.options.timeout, self.send("/v3/watch", body)).await;
        let response =
            opening.unwrap_or_else(|_| Err(self.timeout_error())).inspect_err(|error| {
                if matches!(error, Error::Unanswered { .. }) {
                    self.advance_preferred();
                }
            })?;
        let mut lines = Lines { body: response.into_body(), buffer: BytesMut::new(), searched: 0 };
        let deadline = Instant::now() + wait;
        let mut last = Watch::default();
        while let Ok(line) = timeout_at(deadline, lines.next()).await {
            last = line?;
            if last.canceled || !last.events.is_empty() {
                break;
            }
        }
        Ok(last)
    }

    /// Sends a call to the first address that accepts a connection.
    async fn send(&self, path: &str, body: &Value) -> Result<Response<Incoming>, Error> {
        let bytes = Bytes::from(body.to_string());
        let mut last_error = Error::Unreachable { cause: "no address is configured".to_owned() };
        for _ in 0..self.options.addresses.len() {
            let index = self.preferred.load(Ordering::Relaxed) % self.options.addresses.len();
            match self.post(self.options.addresses[index], path, bytes.clone()).await {
                Err(error @ Error::Unreachable { .. }) => last_error = error,
                result => return result,
            }
            self.advance_preferred();
        }
        Err(last_error)
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::post(format!("http://{address}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Unreachable { cause: error.to_string() })?;
        let response = self.client.request(request).await.map_err(|error| {
            let cause = format!("{address}: {}", error_chain(&error));
            if error.is_connect() {
                Error::Unreachable { cause }
            } else {
                Error::Unanswered { cause }
            }
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(status_error(response).await)
    }

    fn timeout_error(&self) -> Error {
        let cause = format!("no answer within {} ms", self.options.timeout.as_millis());
        Error::Unanswered { cause }
    }

    fn advance_preferred(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    /// A random duration between half of `backoff` and `backoff`.
    fn add_jitter(&self, backoff: Duration) -> Duration {
        backoff.mul_f64(crate::lock(&self.random).random_range(0.5..=1.0))
    }
}

/// Reader of the newline-delimited messages of a watch.
struct Lines {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes of the buffer that contain no end of a line. They are not searched again, as a line may arrive in small pieces.
    searched: usize,
}

impl Lines {
    async fn next(&mut self) -> Result<Watch, Error> {
        loop {
            let new = &self.buffer[self.searched..];
            let end = new.iter().position(|byte| *byte == b'\n').map(|end| self.searched + end);
            self.searched = self.buffer.len();
            if let Some(end) = end {
                let line = self.buffer.split_to(end + 1);
                self.searched = 0;
                let line: Streamed<Watch> =
                    serde_json::from_slice(&line).map_err(|error| unanswered(&error))?;
                return Ok(line.result);
            }
            let frame = self.body.frame().await;
            let frame = frame.ok_or_else(|| unanswered_because("the watch stream ended"))?;
            let frame = frame.map_err(|error| unanswered(&error))?;
            if let Ok(bytes) = frame.into_data() {
                self.buffer.extend_from_slice(&bytes);
            }
            if self.buffer.len() > RESPONSE_LIMIT_BYTES {
                return Err(unanswered_because("the response is too long"));
            }
        }
    }
}

/// Converts a response with an error status to an error.
async fn status_error(response: Response<Incoming>) -> Error {
    let status = response.status();
    let bytes = read_body(response.into_body()).await.unwrap_or_default();
    let failure: Failure = serde_json::from_slice(&bytes).unwrap_or_default();
    match status {
        StatusCode::TOO_MANY_REQUESTS => Error::Limited,
        status if status.is_client_error() => {
            Error::Rejected { status: status.as_u16(), message: failure.message }
        }
        // The service also reports its own timeouts with such a status; the write may still be applied afterwards.
        status => Error::Unanswered { cause: format!("status {status}: {}", failure.message) },
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, RESPONSE_LIMIT_BYTES).collect().await;
    let collected = collected.map_err(|error| Error::Unanswered { cause: error.to_string() })?;
    Ok(collected.to_bytes())
}

fn unanswered(error: &dyn std::error::Error) -> Error {
    Error::Unanswered { cause: error_chain(error) }
}

fn unanswered_because(cause: &str) -> Error {
    Error::Unanswered { cause: cause.to_owned() }
}

/// The message of an error, followed by those of its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}
