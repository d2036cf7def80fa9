//! Response bodies: whole, streamed, and cut off on purpose.

use {
    crate::fault::Applied,
    bytes::Bytes,
    futures_util::{Stream, StreamExt},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{Response, StatusCode, body::Frame, header},
    serde::Serialize,
    std::io,
};

/// A response body; an error makes the server drop the connection or reset the HTTP/2 stream.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A body that is sent at once.
pub(crate) fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A body that is sent chunk by chunk.
pub(crate) fn streamed(chunks: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// A body that sends `bytes` and then breaks the connection.
pub(crate) fn broken(bytes: Bytes) -> Body {
    let pause = futures_util::stream::once(async {
        // The pause lets the first part reach the socket before the error discards the write buffer.
        tokio::time::sleep(FLUSH_PAUSE).await;
        Err(cut())
    });
    streamed(futures_util::stream::iter([Ok(bytes)]).chain(pause))
}

/// Applies the faults of a plain answer.
pub(crate) async fn faulty(response: Response<Body>, applied: Applied) -> Response<Body> {
    if !applied.doubled && applied.cut.is_none() {
        return response;
    }
    let (mut head, body) = response.into_parts();
    let bytes = body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default();
    head.headers.insert(header::CONTENT_LENGTH, header::HeaderValue::from(bytes.len()));
    if applied.cut.is_some() {
        let half = bytes.slice(..bytes.len() / 2);
        return Response::from_parts(head, broken(half));
    }
    let mut response = Response::from_parts(head, whole(bytes));
    response.extensions_mut().insert(Doubled);
    response
}

/// Marks an answer whose bytes the server sends twice on the connection (HTTP/1.1 only).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Doubled;

/// A body that breaks the connection before the answer begins.
pub(crate) fn broken_at_once() -> Body {
    streamed(futures_util::stream::iter([Err(cut())]))
}

/// The error that cuts an answer off.
pub(crate) fn cut() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, "answer cut off on command")
}

/// Time for the transport to send what is buffered before a connection is cut.
pub(crate) const FLUSH_PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// An error answer in the usual shape.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(status, &serde_json::json!({"error": {"message": message, "code": status.as_u16()}}))
}

/// An error answer for a request that did not start.
pub(crate) fn not_started(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = error(status, message);
    response.headers_mut().insert("x-not-started", header::HeaderValue::from_static("true"));
    response
}
