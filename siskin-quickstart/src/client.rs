//! Sends calls to a router.

use {
    anyhow::Context,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, StatusCode},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
};

/// Longest time for a call of the check.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// A call.
pub(crate) struct Call<'a> {
    pub(crate) router: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) key: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: &'a str,
}

/// What came back.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    /// The outcome that the router told.
    pub(crate) fn outcome(&self) -> &str {
        self.header("x-siskin-outcome")
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// Sends a call and reads the whole answer.
pub(crate) async fn send(call: &Call<'_>) -> anyhow::Result<Answer> {
    let mut request = Request::post(format!("http://{}{}", call.router, call.path))
        .header("authorization", format!("Bearer {}", call.key));
    for (name, value) in call.headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(call.body.to_owned())))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = async {
        let (head, body) = client.request(request).await?.into_parts();
        let bytes = body.collect().await?.to_bytes();
        anyhow::Ok(Answer {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
        })
    };
    time::timeout(CALL_TIMEOUT, answer).await.context("the call was not answered in time")?
}
