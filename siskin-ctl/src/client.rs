//! Calls to the operators' HTTP interface of a router.

use {
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, StatusCode,
        body::Bytes,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    },
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Serialize, de::DeserializeOwned},
    siskin_config::{
        entry::Entry,
        operator::{Accepted, Failure, Invalid, Outcome, PATCHES_PATH, Patch, Stale, Unavailable},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time for one call. It is longer than a router works on a patch.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is read.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Attempts to send a patch whose answer is lost, and the first pause between them.
const ATTEMPTS: u32 = 4;
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// There is no answer.
    #[error("router {address} does not answer: {reason}; check --address, or use another router")]
    Unreachable { address: SocketAddr, reason: String },
    /// The answer to a patch was lost each time.
    #[error(
        "the answers to patch '{id}' were lost, so it may be accepted or not; send it again with \
         --patch-id {id} --base {base}: {last}"
    )]
    Lost { id: String, base: u64, last: Box<Error> },
    /// The token is refused.
    #[error("the router refuses the token; check SISKIN_OPERATOR_TOKEN or --token-file")]
    Token,
    /// The patch is stale.
    #[error("{}", stale_text(.0))]
    Stale(Stale),
    /// The patch breaks a rule.
    #[error("{} is '{}', which is refused; {}", .0.field, .0.value, .0.remedy)]
    Invalid(Invalid),
    /// The router did not apply the patch.
    #[error("the patch was not applied: {0}")]
    NotApplied(String),
    /// Another refusal.
    #[error("the router answers {status}: {error}")]
    Refused { status: StatusCode, error: String },
    /// The answer has another form than expected.
    #[error(
        "the answer of the router cannot be read: {0}; use a siskinctl of the router's version"
    )]
    Malformed(#[from] serde_json::Error),
    /// The token cannot be sent.
    #[error("the token contains characters that a header cannot carry; check the token")]
    Header,
}

impl Error {
    pub(crate) const fn is_stale(&self) -> bool {
        matches!(self, Self::Stale(_))
    }

    /// Whether the request may have taken effect.
    fn is_lost(&self) -> bool {
        match self {
            Self::Unreachable { .. } => true,
            Self::Refused { status, .. } => status.is_server_error(),
            _ => false,
        }
    }
}

/// Longest list of changes in the text for a stale patch.
const MAX_CHANGES: usize = 10;

fn stale_text(stale: &Stale) -> String {
    let line = |entry: &Entry| {
        format!("\n  version {} by {}: {}", entry.version, entry.author, entry.changes)
    };
    let skipped = stale.changes_since.len().saturating_sub(MAX_CHANGES);
    let mut text = format!(
        "the patch is stale, version {} is in force; look at the changes and make the patch anew",
        stale.current
    );
    if stale.truncated || skipped > 0 {
        text.push_str("\n  earlier changes are left out; see siskinctl history");
    }
    text.extend(stale.changes_since.iter().skip(skipped).map(line));
    text
}

/// Speaks to one router.
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    authorization: HeaderValue,
}

impl Client {
    pub(crate) fn new(address: SocketAddr, token: &str) -> Result<Self, Error> {
        let mut authorization =
            HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| Error::Header)?;
        authorization.set_sensitive(true);
        let pool = Pool::builder(TokioExecutor::new()).build_http();
        Ok(Self { pool, address, authorization })
    }

    /// Reads a resource.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        answer(status, &body)
    }

    /// Deletes a resource.
    pub(crate) async fn delete(&self, path: &str) -> Result<(), Error> {
        let (status, body) = self.call(Method::DELETE, path, Bytes::new()).await?;
        if status.is_success() { Ok(()) } else { Err(refusal(status, &body)) }
    }

    /// Submits a patch. A lost answer is settled by sending the patch again under its identifier.
    pub(crate) async fn submit(&self, patch: &Patch) -> Result<Accepted, Error> {
        let body = Bytes::from(serde_json::to_vec(patch)?);
        let mut pause = FIRST_PAUSE;
        let mut attempt = 1;
        loop {
            let result = self.post(PATCHES_PATH, body.clone()).await;
            let error = match result {
                Err(error) if error.is_lost() => error,
                // An earlier attempt may have applied it, also through another router.
                Err(error @ Error::NotApplied(_)) if attempt > 1 => error,
                result => return result,
            };
            if attempt == ATTEMPTS {
                let (id, base) = (patch.id.clone(), patch.base);
                return Err(Error::Lost { id, base, last: Box::new(error) });
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
            attempt += 1;
        }
    }

    async fn post<T: DeserializeOwned>(&self, path: &str, body: Bytes) -> Result<T, Error> {
        let (status, body) = self.call(Method::POST, path, body).await?;
        answer(status, &body)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, self.authorization.clone())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.unreachable(&error))?;
        tokio::time::timeout(TIMEOUT, self.exchange(request))
            .await
            .map_err(|_| self.unreachable(&format_args!("no answer within {TIMEOUT:?}")))?
    }

    async fn exchange(
        &self,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Error> {
        let response =
            self.pool.request(request).await.map_err(|error| self.unreachable(&Chain(&error)))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| self.unreachable(&error))?;
        Ok((head.status, body.to_bytes()))
    }

    fn unreachable(&self, reason: &dyn std::fmt::Display) -> Error {
        Error::Unreachable { address: self.address, reason: reason.to_string() }
    }
}

/// An error with its causes.
struct Chain<'a>(&'a dyn std::error::Error);

impl std::fmt::Display for Chain<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)?;
        self.0.source().map_or(Ok(()), |source| write!(f, ": {}", Chain(source)))
    }
}

fn answer<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    if status.is_success() { Ok(serde_json::from_slice(body)?) } else { Err(refusal(status, body)) }
}

fn refusal(status: StatusCode, body: &[u8]) -> Error {
    match status {
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => return Error::Token,
        StatusCode::CONFLICT => {
            if let Ok(stale) = serde_json::from_slice(body) {
                return Error::Stale(stale);
            }
        }
        StatusCode::UNPROCESSABLE_ENTITY => {
            if let Ok(invalid) = serde_json::from_slice(body) {
                return Error::Invalid(invalid);
            }
        }
        _ => {}
    }
    if let Ok(Unavailable { error, outcome: Outcome::NotApplied }) = serde_json::from_slice(body) {
        return Error::NotApplied(error);
    }
    let failure: Result<Failure, _> = serde_json::from_slice(body);
    let error = failure.map_or_else(|_| "no explanation".to_owned(), |failure| failure.error);
    Error::Refused { status, error }
}

/// The JSON of a value, for printing.
pub(crate) fn json<T: Serialize>(value: &T) -> Result<serde_json::Value, Error> {
    Ok(serde_json::to_value(value)?)
}
