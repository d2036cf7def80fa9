//! Answers to callers: bodies, headers that tell the outcome, and errors.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        body::Frame,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    serde_json::json,
    siskin_outcome::outcome::{Outcome, Reason},
    siskin_types::id::Request,
    std::time::Duration,
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
};

/// Header that tells the outcome of a request.
pub const OUTCOME: &str = "x-siskin-outcome";

/// Header that tells the reason of an outcome.
pub const REASON: &str = "x-siskin-reason";

/// Header that carries the identifier of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// The answer broke off. The connection is closed, so that the caller does not take the part for the whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Truncated;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// Parts of a body that is sent while it arrives.
pub type Sender = mpsc::Sender<Result<Frame<Bytes>, Truncated>>;

/// Parts of a streamed body that wait for a slow caller.
const STREAM_BUFFER: usize = 64;

/// A body that is complete.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent while it arrives.
#[must_use]
pub fn stream() -> (Sender, Body) {
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    (sender, StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync())
}

/// Writes the outcome and the request's identifier to the headers of an answer.
pub fn label(headers: &mut HeaderMap, request: Request, outcome: Outcome) {
    identify(headers, request);
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.label()));
    if let Some(reason) = outcome.reason() {
        headers.insert(REASON, HeaderValue::from_static(reason.label()));
    }
}

/// Writes the request's identifier to the headers of an answer whose outcome is not known yet.
pub fn identify(headers: &mut HeaderMap, request: Request) {
    if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
        headers.insert(REQUEST_ID, value);
    }
}

/// The answer for an outcome without an endpoint's answer.
#[must_use]
pub fn outcome(
    request: Request,
    outcome: Outcome,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let body = error_body(outcome.label(), outcome.reason().map(Reason::label), &explain(outcome));
    let mut response = json_response(status(outcome.status()), body);
    label(response.headers_mut(), request, outcome);
    set_retry_after(response.headers_mut(), retry_after.or(outcome.retry_after()));
    response
}

/// An answer to input that cannot be served; nothing ran.
#[must_use]
pub fn refusal(code: StatusCode, reason: &'static str, message: &str) -> Response<Body> {
    let mut response = json_response(code, error_body("not_run", Some(reason), message));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static("not_run"));
    headers.insert(REASON, HeaderValue::from_static(reason));
    response
}

/// The JSON form of an outcome, for error bodies and for the last event of a broken stream.
#[must_use]
pub fn error_body(outcome: &str, reason: Option<&str>, message: &str) -> String {
    json!({
        "error": { "type": outcome, "code": reason, "message": message, "outcome": outcome, "reason": reason }
    })
    .to_string()
}

/// One sentence for people.
#[must_use]
pub fn explain(outcome: Outcome) -> String {
    match outcome {
        Outcome::Completed => "the request ran and was answered".to_owned(),
        Outcome::Failed => {
            "the request ran and failed at the endpoint; read its answer before sending it again"
                .to_owned()
        }
        Outcome::NotRun(reason) => {
            format!("the request did not run ({}); {}", reason.label(), remedy(reason))
        }
        Outcome::Unknown(reason) => format!(
            "it is unknown whether the request ran ({}); {}",
            reason.label(),
            remedy(reason)
        ),
    }
}

/// What the caller can do.
const fn remedy(reason: Reason) -> &'static str {
    match reason {
        Reason::QueueFull | Reason::InFlightCap => "send fewer requests at a time",
        Reason::RateLimit => "send requests at a lower rate",
        Reason::NoEndpoint => "send it again later, or ask the operators which endpoints serve it",
        Reason::EndpointsDown => "send it again after the time in Retry-After",
        Reason::NotReady | Reason::Stopping => "send it again, to another router if possible",
        Reason::Isolated => "send it to another router",
        Reason::QueueDeadline => "send it again later or with a longer deadline",
        Reason::SuspectRefused => {
            "endpoints died while they ran it; change it, or ask the operators to lift the suspicion"
        }
        Reason::ClaimStoreUnavailable => "send it again later with the same idempotency key",
        Reason::ClaimBodyDiffers => "use a new idempotency key for a new call",
        Reason::EndpointRefused | Reason::ConnectFailed | Reason::CallerGone => {
            "send it again later"
        }
        Reason::ClaimInProgress => "send it again later with the same key to get its result",
        Reason::ClaimUnresolved
        | Reason::Silent
        | Reason::Broken
        | Reason::Crossed
        | Reason::ResumeRefused
        | Reason::DeadlineAfterSend => "check before sending it again",
    }
}

/// Writes `Retry-After` in whole seconds, rounded up.
pub fn set_retry_after(headers: &mut HeaderMap, wait: Option<Duration>) {
    if let Some(wait) = wait {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
}

fn json_response(code: StatusCode, body: String) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = code;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
