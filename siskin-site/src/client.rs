//! Sends calls to a router.

use {
    crate::OPERATOR_TOKEN,
    anyhow::Context,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::{Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// Longest time for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Path of model calls.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of patches at the operators' interface.
const PATCH_PATH: &str = "/v1/config/patches";

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the router.
    pub router: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// API key or token.
    pub key: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Call {
    /// A `POST`.
    #[must_use]
    pub fn post(router: SocketAddr, path: &str, key: &str, body: &str) -> Self {
        Self {
            router,
            method: Method::POST,
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body: body.to_owned(),
        }
    }

    /// A model call of the model `small`.
    #[must_use]
    pub fn chat(router: SocketAddr, key: &str, prompt: &str, tokens: u64, stream: bool) -> Self {
        let body = json!({
            "model": "small",
            "stream": stream,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }]
        });
        Self::post(router, CHAT_PATH, key, &body.to_string())
    }

    /// A `GET` at the operators' interface.
    #[must_use]
    pub fn operator(router: SocketAddr, path: &str) -> Self {
        Self { method: Method::GET, ..Self::post(router, path, OPERATOR_TOKEN, "") }
    }

    /// A patch of the configuration, made against version `base`.
    #[must_use]
    pub fn patch(router: SocketAddr, id: &str, base: u64, changes: &Value) -> Self {
        let body = json!({ "id": id, "base": base, "author": "site", "changes": changes });
        Self::post(router, PATCH_PATH, OPERATOR_TOKEN, &body.to_string())
            .header("content-type", "application/json")
    }

    /// The call with one more header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body as far as it arrived.
    pub body: String,
    /// Whether the body arrived to its end.
    pub complete: bool,
}

impl Answer {
    /// The outcome that the router told.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.header("x-siskin-outcome")
    }

    /// The reason that the router told.
    #[must_use]
    pub fn reason(&self) -> &str {
        self.header("x-siskin-reason")
    }

    /// The identifier of the request.
    #[must_use]
    pub fn request(&self) -> &str {
        self.header("x-request-id")
    }

    /// A header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A client that keeps connections. Clones share them.
#[derive(Clone, Debug)]
pub struct Client {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new() -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        // A call that is sent again by the library would look like a second run.
        Self { client: builder.retry_canceled_requests(false).build_http() }
    }

    /// Makes a client that speaks only HTTP/2 and sends all calls to one address over one connection.
    #[must_use]
    pub fn http2() -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        Self { client: builder.retry_canceled_requests(false).http2_only(true).build_http() }
    }

    /// Sends a call and returns as soon as the head of the answer is there.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn begin(&self, call: &Call) -> anyhow::Result<hyper::Response<Incoming>> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{}{}", call.router, call.path))
            .header("authorization", format!("Bearer {}", call.key));
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(call.body.clone())))?;
        let answer = time::timeout(CALL_TIMEOUT, self.client.request(request)).await;
        Ok(answer.context("the call was not answered in time")??)
    }

    /// Sends a call and reads the answer as far as it comes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer.
    pub async fn send(&self, call: &Call) -> anyhow::Result<Answer> {
        let (head, mut incoming) = self.begin(call).await?.into_parts();
        let mut body = Vec::new();
        let complete = loop {
            match time::timeout(CALL_TIMEOUT, incoming.frame())
                .await
                .context("the answer stalled")?
            {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => {
                    body.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
            }
        };
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&body).into_owned(),
            complete,
        })
    }

    /// Sends a patch and returns the version that it created.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer or the patch was refused.
    pub async fn patch(&self, patch: &Call) -> anyhow::Result<u64> {
        let answer = self.send(patch).await?;
        let accepted: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        accepted["version"]
            .as_u64()
            .filter(|_| answer.status.is_success())
            .with_context(|| format!("the patch was refused: {} {}", answer.status, answer.body))
    }
}

/// Sends one call on a connection of its own.
///
/// # Errors
///
/// Returns an error if there is no answer.
pub async fn send(call: &Call) -> anyhow::Result<Answer> {
    Client::new().send(call).await
}
