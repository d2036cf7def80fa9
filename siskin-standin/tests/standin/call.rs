//! Calls over one fresh connection, so that a test controls when it closes.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
    tokio::net::TcpStream,
};

/// Longest wait for something that must happen; reaching it fails the test.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);

pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) request: String,
    pub(crate) not_started: bool,
    pub(crate) text: String,
    /// The body ended as it should.
    pub(crate) complete: bool,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or(Value::Null)
    }

    /// Numbers and texts of the events.
    pub(crate) fn events(&self) -> Vec<(u32, String)> {
        let events = self.text.split("\n\n").filter(|event| event.starts_with("id: "));
        events
            .map(|event| {
                let (number, data) = event["id: ".len()..].split_once("\ndata: ").unwrap();
                let data: Value = serde_json::from_str(data).unwrap();
                let content = data["choices"][0]["delta"]["content"].as_str();
                (number.parse().unwrap(), content.unwrap_or_default().to_owned())
            })
            .collect()
    }

    pub(crate) fn done(&self) -> bool {
        self.text.ends_with("data: [DONE]\n\n")
    }
}

pub(crate) async fn open(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let mut request = Request::builder().method(method).uri(path).header("host", "standin");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    sender.send_request(request).await.ok()
}

pub(crate) async fn read(response: Response<Incoming>, limit: usize) -> Answer {
    let field = |name: &str| {
        let value = response.headers().get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
    };
    let mut answer = Answer {
        status: response.status().as_u16(),
        request: field("x-request-id"),
        not_started: field("x-not-started") == "true",
        text: String::new(),
        complete: false,
    };
    let mut body = response.into_body();
    while answer.text.len() < limit {
        match body.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                answer.text.push_str(std::str::from_utf8(&bytes).unwrap());
            }
            Some(Err(_)) => break,
            None => {
                answer.complete = true;
                break;
            }
        }
    }
    answer
}

/// One call; nothing if the connection was refused or broke before the answer began.
pub(crate) async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let whole = async {
        let response = open(address, method, path, headers, body).await?;
        Some(read(response, usize::MAX).await)
    };
    tokio::time::timeout(PATIENCE, whole).await.expect("a call took too long")
}

/// Waits until `ready` holds.
pub(crate) async fn until(what: &str, mut ready: impl FnMut() -> bool) {
    let deadline = std::time::Instant::now() + PATIENCE;
    while !ready() {
        assert!(std::time::Instant::now() < deadline, "waited too long: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
