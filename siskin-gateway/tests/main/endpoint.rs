//! A scripted endpoint: it responds to requests by a list of steps and records the requests that it received.

use {
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// What the endpoint does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Responds with this text, in which `{id}` stands for the request's identifier.
    Respond(&'static str),
    /// Responds with this text and closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Keeps the connection open without a response.
    Silence,
}

/// A scripted endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    /// Number of connections that the gateway closed before a response was sent.
    disconnected: Arc<Mutex<usize>>,
}

impl Endpoint {
    /// Starts an endpoint that takes one step for each request and repeats the last step.
    pub(crate) async fn start(steps: &[Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = Self {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            disconnected: Arc::default(),
        };
        let steps = Arc::new(Mutex::new(VecDeque::from(steps.to_vec())));
        let served = endpoint.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream, Arc::clone(&steps)));
            }
        });
        endpoint
    }

    /// Heads of the requests that were received.
    pub(crate) fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Number of requests whose connection was closed before a response was sent.
    pub(crate) fn disconnected(&self) -> usize {
        *self.disconnected.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream, steps: Arc<Mutex<VecDeque<Step>>>) {
        while let Some(head) = read_head(&mut stream).await {
            let id = header_value(&head, "id").unwrap_or_default().to_owned();
            self.received.lock().unwrap().push(head);
            let step = {
                let mut steps = steps.lock().unwrap();
                if steps.len() > 1 { steps.pop_front() } else { steps.front().cloned() }
            };
            match step {
                Some(Step::Respond(text)) => {
                    let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                }
                Some(Step::RespondAndClose(text)) => {
                    let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                    sleep(Duration::from_millis(20)).await;
                    return;
                }
                Some(Step::Silence) => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte).await;
                    *self.disconnected.lock().unwrap() += 1;
                    return;
                }
                Some(Step::Close) | None => return,
            }
        }
    }
}

/// Reads a request with its body, and returns the head.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header_value(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                return Some(head);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the value of a header in a head.
pub(crate) fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}
