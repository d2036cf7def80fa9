//! Responses that the gateway itself makes, and bodies of forwarded ones.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody},
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::{io, time::Duration},
};

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body from its complete content.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes a plain-text response with a short explanation.
#[must_use]
pub fn text_response(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full_body(format!("{message}\n")));
    *response.status_mut() = status;
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, text);
    response
}

/// Makes a response (503) which states that the request has not run and will not run. The caller may retry after the given
/// time.
///
/// ```
/// use {siskin_gateway::respond::not_run_response, std::time::Duration};
/// let response = not_run_response("all endpoints are busy", Duration::from_millis(250));
/// assert_eq!(response.status(), 503);
/// assert_eq!(response.headers()["retry-after"], "0.250");
/// ```
#[must_use]
pub fn not_run_response(message: &str, retry_after: Duration) -> Response<Body> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, message);
    if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64())) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
