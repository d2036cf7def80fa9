//! Hands an endpoint's answer to the caller, whole or in parts.

use {
    super::{
        Call, Exchange, Kind, error_event,
        read::{self, Part, StreamEvent, parts},
    },
    crate::caller::{
        answer,
        chat::{Chunk, Collector, DONE, Usage},
    },
    bytes::{Bytes, BytesMut},
    futures_util::stream::BoxStream,
    hyper::{
        HeaderMap, Response, StatusCode,
        body::Incoming,
        header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue},
    },
    siskin_net::body_memory::Reservation,
    siskin_outcome::{life::Action, outcome::Outcome},
    std::time::Duration,
    tokio::time,
};

/// An application's answer up to this size is read whole before the caller gets any of it, so that the caller is told
/// the outcome in the head even if the endpoint fails in the middle.
const BUFFER_BYTES: usize = 256 * 1024;

/// Largest body that is recorded with a claim.
const RECORD_BYTES: usize = 1_024;

/// What a request ended with, for its claim.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The outcome.
    pub outcome: Outcome,
    /// HTTP status given to the caller.
    pub status: u16,
    /// The answer's body if it is short and complete.
    pub body: Option<Bytes>,
}

/// How the answer reaches the caller.
#[derive(Debug)]
enum Mode {
    /// Event by event.
    Events {
        /// Whether the caller wants the event that carries the usage.
        include_usage: bool,
    },
    /// As one JSON answer.
    Collected(Collector),
    /// Byte by byte.
    Bytes,
}

/// State of an answer on its way to the caller.
#[derive(Debug)]
pub(super) struct Delivery {
    mode: Mode,
    /// Whether the endpoint answers with an event stream.
    streamed: bool,
    status: StatusCode,
    headers: HeaderMap,
    /// Positions received: events of a stream, bytes otherwise.
    received: u64,
    /// Number of the first event, from which positions are counted.
    first_id: Option<u64>,
    last_id: Option<String>,
    usage: Option<Usage>,
    /// Parts that the caller does not have yet.
    buffer: BytesMut,
    /// Memory reserved for them.
    memory: Reservation,
    /// Whether parts are sent on as they arrive.
    streaming: bool,
    first_byte: Option<Duration>,
    /// Wait to advise the caller, if the reason has a better figure than its default.
    pub(super) retry_after: Option<Duration>,
}

impl Delivery {
    pub(super) fn new(call: &Call, memory: Reservation) -> Self {
        let mode = match &call.kind {
            Kind::Chat { chat, .. } if chat.stream => {
                Mode::Events { include_usage: chat.include_usage }
            }
            Kind::Chat { .. } => Mode::Collected(Collector::default()),
            Kind::Application(_) => Mode::Bytes,
        };
        Self {
            mode,
            streamed: false,
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            received: 0,
            first_id: None,
            last_id: None,
            usage: None,
            buffer: BytesMut::new(),
            memory,
            streaming: false,
            first_byte: None,
            retry_after: None,
        }
    }

    /// Takes the head of an answer; returns the parts of its body.
    pub(super) fn begin(
        &mut self,
        response: Response<Incoming>,
        streamed: bool,
    ) -> BoxStream<'static, Result<Part, read::Error>> {
        let (head, body) = response.into_parts();
        self.streamed = streamed;
        self.status = head.status;
        self.headers = head.headers;
        parts(body, streamed)
    }

    /// Notes the time of the first answer; true only the first time.
    pub(super) fn first_byte(&mut self, elapsed: Duration) -> bool {
        let first = self.first_byte.is_none();
        self.first_byte.get_or_insert(elapsed);
        first
    }

    pub(super) const fn streamed(&self) -> bool {
        self.streamed
    }

    pub(super) fn status(&self) -> u16 {
        self.status.as_u16()
    }

    pub(super) const fn received(&self) -> u64 {
        self.received
    }

    pub(super) const fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// What to send as `Last-Event-ID`. Events are numbered from 1, so 0 asks for all.
    pub(super) fn last_event(&self) -> &str {
        self.last_id.as_deref().unwrap_or("0")
    }

    /// Position of an event. Numbered events are placed by their number, so that a repeated one is recognised;
    /// others by the order in which they arrive.
    pub(super) fn offset(&mut self, id: &str) -> u64 {
        match id.parse::<u64>() {
            Ok(number) => {
                let first = *self.first_id.get_or_insert(number);
                number.saturating_sub(first)
            }
            Err(_) => self.received,
        }
    }

    /// Forgets what an earlier run answered, none of which the caller has.
    pub(super) fn restart(&mut self) {
        if let Mode::Collected(collector) = &mut self.mode {
            *collector = Collector::default();
        }
        self.received = 0;
        self.first_id = None;
        self.last_id = None;
        self.usage = None;
        self.buffer.clear();
        self.memory.release();
    }

    /// Reserves memory for a part. Returns whether there is enough.
    pub(super) fn try_reserve(&mut self, bytes: usize) -> bool {
        self.memory.try_grow(bytes)
    }

    /// Takes the parts that the caller does not have yet. Their memory is reserved until they have been sent.
    fn take_buffer(&mut self) -> Bytes {
        let bytes = self.buffer.split().freeze();
        self.memory.take().attach(bytes)
    }

    /// Adds an event of a stream.
    pub(super) fn add_event(&mut self, event: StreamEvent, chunk: Chunk) {
        self.received += 1;
        self.usage = chunk.usage().or(self.usage);
        if !event.id.is_empty() {
            self.last_id = Some(event.id);
        }
        match &mut self.mode {
            Mode::Events { include_usage } => {
                self.streaming = true;
                if *include_usage || chunk.has_choices() {
                    self.buffer.extend_from_slice(b"data: ");
                    self.buffer.extend_from_slice(event.data.as_bytes());
                    self.buffer.extend_from_slice(b"\n\n");
                }
            }
            Mode::Collected(collector) => collector.add(chunk),
            Mode::Bytes => {}
        }
    }

    /// Adds bytes of any other answer. A large one is not held back until it is whole.
    pub(super) fn add_bytes(&mut self, bytes: &[u8]) {
        self.received += bytes.len() as u64;
        self.buffer.extend_from_slice(bytes);
        self.streaming |= self.buffer.len() > BUFFER_BYTES;
    }

    /// Whether the answer is held back until it is whole, so that it can be run again unseen by the caller.
    pub(super) const fn holds(&self) -> bool {
        !self.streaming
    }
}

impl Exchange {
    /// Sends what has arrived to the caller.
    pub(super) async fn deliver(&mut self) -> Vec<Action> {
        if self.delivery.holds() || self.delivery.buffer.is_empty() {
            return Vec::new();
        }
        let bytes = self.delivery.take_buffer();
        self.send_part(bytes).await
    }

    /// Sends a part, waiting for a slow caller until the deadline.
    async fn send_part(&mut self, bytes: Bytes) -> Vec<Action> {
        if !self.responder.started() {
            let head = self.head();
            self.responder.start(head);
        }
        let deadline = self.shared.clock.deadline(self.call.deadline);
        let sent = time::timeout_at(deadline, self.responder.part(bytes)).await;
        let now = self.now();
        match sent {
            Ok(Ok(())) => Vec::new(),
            Ok(Err(_)) => self.life.cancelled(now),
            Err(_) => self.life.deadline(now),
        }
    }

    /// Head of an answer whose outcome is not known yet.
    fn head(&self) -> Response<()> {
        let mut head = Response::new(());
        *head.status_mut() = self.delivery.status;
        if self.delivery.streamed {
            let headers = head.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        } else {
            *head.headers_mut() = passed_headers(&self.delivery.headers);
        }
        answer::identify(head.headers_mut(), self.call.request);
        head
    }

    /// Tells the caller the end.
    pub(super) async fn conclude(&mut self, outcome: Outcome) -> Summary {
        let answered = matches!(outcome, Outcome::Completed | Outcome::Failed);
        let events = matches!(self.delivery.mode, Mode::Events { .. }) && self.delivery.streamed;
        if answered && events && !self.responder.started() {
            let head = self.head();
            self.responder.start(head);
        }
        if !self.responder.started() {
            return self.conclude_whole(outcome, answered);
        }
        match (answered, events) {
            (true, true) => {
                let done = Bytes::from(format!("data: {DONE}\n\n"));
                // A caller that has gone does not need the end.
                let _ = self.responder.part(done).await;
            }
            (false, true) => {
                let _ = self.responder.part(error_event(outcome)).await;
            }
            (true, false) => {}
            (false, false) => self.responder.truncate().await,
        }
        Summary { outcome, status: self.delivery.status(), body: None }
    }

    fn conclude_whole(&mut self, outcome: Outcome, answered: bool) -> Summary {
        if !answered {
            let response = answer::outcome(self.call.request, outcome, self.delivery.retry_after);
            let status = response.status().as_u16();
            self.responder.whole(response);
            return Summary { outcome, status, body: None };
        }
        let mut headers = passed_headers(&self.delivery.headers);
        let body = match std::mem::replace(&mut self.delivery.mode, Mode::Bytes) {
            Mode::Collected(collector) if self.delivery.streamed => {
                headers = HeaderMap::new();
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                let bytes = Bytes::from(collector.finish().to_string());
                self.delivery.memory.take().attach(bytes)
            }
            Mode::Collected(_) | Mode::Events { .. } | Mode::Bytes => self.delivery.take_buffer(),
        };
        let mut response = Response::new(answer::full(body.clone()));
        *response.status_mut() = self.delivery.status;
        *response.headers_mut() = headers;
        answer::label(response.headers_mut(), self.call.request, outcome);
        self.responder.whole(response);
        let body = (body.len() <= RECORD_BYTES).then_some(body);
        Summary { outcome, status: self.delivery.status(), body }
    }
}

/// Headers that concern one connection only and are not passed on.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The headers of a message that are passed on.
pub(crate) fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
