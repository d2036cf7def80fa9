//! Reads answers of endpoints.

use {
    super::{Answer, Exchange, Kind, Stage, event_size, final_cost, running_cost},
    crate::caller::{
        answer::REQUEST_ID,
        chat::{Chunk, DONE},
    },
    bytes::Bytes,
    eventsource_stream::{EventStreamError, Eventsource},
    futures_util::{StreamExt, TryStreamExt, stream::BoxStream},
    http_body_util::BodyExt,
    hyper::{Response, StatusCode, body::Incoming, header::CONTENT_TYPE},
    siskin_net::upstream::{self, Connection},
    siskin_outcome::{
        life::{Action, Attempt},
        outcome::Outcome,
    },
    siskin_types::{
        cost::Units,
        id::{Node, Request},
        time::Instant,
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest time in which the end of an answer has to follow its last event, for its connection to be kept.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Header by which an endpoint says that it did not start a request.
const NOT_STARTED: &str = "x-not-started";

/// A part of an answer.
#[derive(Clone, Debug)]
pub(super) enum Part {
    /// An event of a stream.
    Event(StreamEvent),
    /// Bytes of any other body.
    Bytes(Bytes),
}

/// An event of an engine's stream.
#[derive(Clone, Debug)]
pub(super) struct StreamEvent {
    /// Its identifier; empty if it has none.
    pub(super) id: String,
    /// Its data.
    pub(super) data: String,
}

impl Exchange {
    /// The head of an answer arrived, or the connection broke.
    pub(super) async fn answered(
        &mut self,
        now: Instant,
        attempt: Attempt,
        connection: Connection,
        answer: Answer,
    ) -> Vec<Action> {
        let response = match answer {
            Ok(response) => response,
            Err(error) => return self.unanswered(now, attempt, &error).await,
        };
        let echoed = echoed(&response, self.call.request);
        if response.headers().get(NOT_STARTED).is_some_and(|value| value == "true") {
            if let Some(endpoint) = self.slot {
                self.shared.ask_again(&self.call.pool, endpoint);
            }
            // On a connection that carried no other answer, a refusal belongs to this request.
            let is_first = !connection.carried_earlier_response();
            let echoed = echoed.or_else(|| is_first.then_some(self.call.request));
            let mut budget = self.call.pool.budget();
            return self.life.endpoint_refused(now, attempt, echoed, &mut budget);
        }
        let actions = self.life.started(now, attempt, echoed, &mut self.call.pool.budget());
        if !actions.is_empty() {
            return actions;
        }
        if !self.resuming {
            self.began = connection.process().clone();
        }
        self.shared.endpoint_answered(self.slot);
        self.started_waiting();
        if self.delivery.first_byte(self.started_at.elapsed()) {
            let pool = self.call.pool.name();
            let seconds = self.started_at.elapsed().as_secs_f64();
            self.shared.metrics.first_byte.with_label_values(&[pool]).observe(seconds);
        }
        let Some(endpoint) = self.slot else { return Vec::new() };
        let streamed = matches!(self.call.kind, Kind::Chat { .. }) && is_event_stream(&response);
        let parts = self.delivery.begin(response, streamed);
        self.stage = Stage::Reading { attempt, endpoint, connection, parts };
        Vec::new()
    }

    async fn unanswered(
        &mut self,
        now: Instant,
        attempt: Attempt,
        error: &upstream::Error,
    ) -> Vec<Action> {
        log::info!(request:% = self.call.request; "{error}");
        match error {
            // Nothing was written to any connection, which is what a refusal before the start means too.
            upstream::Error::Connect { .. }
            | upstream::Error::Unsent { .. }
            | upstream::Error::Unconfigured { .. } => {
                self.endpoint_failed();
                let own = Some(self.call.request);
                self.life.endpoint_refused(now, attempt, own, &mut self.call.pool.budget())
            }
            upstream::Error::Broken { .. } | upstream::Error::InvalidStatus { .. } => {
                self.connection_lost(attempt).await
            }
        }
    }

    /// A part of the answer arrived, or its end.
    pub(super) async fn part(
        &mut self,
        now: Instant,
        attempt: Attempt,
        part: Option<Result<Part, Error>>,
    ) -> Vec<Action> {
        self.started_waiting();
        match part {
            Some(Ok(Part::Event(event))) => self.event(now, attempt, event).await,
            Some(Ok(Part::Bytes(bytes))) => {
                let used = self.elapsed_cost();
                self.charge(used);
                if !self.delivery.try_reserve(bytes.len()) {
                    return self.out_of_memory(attempt).await;
                }
                self.delivery.add_bytes(&bytes);
                self.hand_over(now, attempt, used)
            }
            Some(Err(error)) => {
                log::info!(request:% = self.call.request; "answer broke off: {error}");
                self.connection_lost(attempt).await
            }
            None if self.delivery.streamed() => {
                // The stream ended without its last event.
                self.connection_lost(attempt).await
            }
            None if self.stage.may_be_cut_off() => {
                log::info!(
                    request:% = self.call.request;
                    "answer has no length and ended before the request was written"
                );
                self.connection_lost(attempt).await
            }
            None => {
                let outcome = Outcome::answered(self.delivery.status());
                let used = self.elapsed_cost();
                self.charge(used);
                self.keep_connection();
                self.complete(now, attempt, outcome, used)
            }
        }
    }

    /// The connection broke. Finds out whether the endpoint died before the request goes on, so that a request that
    /// crashed it is known as a suspect before it is sent again.
    async fn connection_lost(&mut self, attempt: Attempt) -> Vec<Action> {
        self.stage = Stage::Idle;
        if let Some(endpoint) = self.slot {
            self.shared.connection_lost(&self.call.pool, endpoint).await;
        }
        let now = self.now();
        self.life.broken(now, attempt, &mut self.call.pool.budget())
    }

    /// The answer is given up, as it does not fit beside those of other requests.
    async fn out_of_memory(&mut self, attempt: Attempt) -> Vec<Action> {
        log::warn!(
            request:% = self.call.request;
            "answer broken off: answers take all memory reserved for them; check what the endpoint sends"
        );
        self.connection_lost(attempt).await
    }

    async fn event(&mut self, now: Instant, attempt: Attempt, event: StreamEvent) -> Vec<Action> {
        let prompt = self.prompt_cost();
        if event.data == DONE {
            let used = final_cost(self.delivery.usage(), prompt, self.delivery.received());
            self.charge(used);
            self.keep_connection();
            return self.complete(now, attempt, Outcome::Completed, used);
        }
        let chunk = match Chunk::parse(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => {
                log::warn!(request:% = self.call.request; "engine sent a malformed event: {error}");
                return self.connection_lost(attempt).await;
            }
        };
        let offset = self.delivery.offset(&event.id);
        let used = running_cost(prompt, offset + 1);
        self.charge(used);
        if offset < self.delivery.received() {
            return Vec::new();
        }
        if offset == self.delivery.received() {
            if !self.delivery.try_reserve(event.data.len()) {
                return self.out_of_memory(attempt).await;
            }
            self.delivery.add_event(event, chunk);
            return self.hand_over(now, attempt, used);
        }
        // A gap: the life of the request decides how it goes on.
        self.life.chunk(now, attempt, offset, 1, used, &mut self.call.pool.budget())
    }

    /// Reports what has arrived as delivered, unless it is held back until the answer is whole.
    fn hand_over(&mut self, now: Instant, attempt: Attempt, used: Units) -> Vec<Action> {
        if self.delivery.holds() {
            return Vec::new();
        }
        let offset = self.life.delivered();
        let length = self.delivery.received() - offset;
        self.life.chunk(now, attempt, offset, length, used, &mut self.call.pool.budget())
    }

    /// The answer is whole.
    fn complete(
        &mut self,
        now: Instant,
        attempt: Attempt,
        outcome: Outcome,
        used: Units,
    ) -> Vec<Action> {
        let end = self.delivery.received();
        let offset = self.life.delivered();
        let mut actions = Vec::new();
        let mut budget = self.call.pool.budget();
        if end > offset {
            actions.extend(self.life.chunk(now, attempt, offset, end - offset, used, &mut budget));
        }
        actions.extend(self.life.completed(now, attempt, end, outcome, used, &mut budget));
        actions
    }

    /// Keeps the connection if its answer was read to the end.
    fn keep_connection(&mut self) {
        let stage = std::mem::replace(&mut self.stage, Stage::Idle);
        if let Stage::Reading { connection, mut parts, .. } = stage {
            let shared = std::sync::Arc::clone(&self.shared);
            tokio::spawn(async move {
                // An event stream may have bytes after its last event; a connection with more data is not kept.
                if let Ok(None) = timeout(RELEASE_TIMEOUT, parts.next()).await {
                    drop(parts);
                    shared.upstream.release(connection).await;
                }
            });
        }
    }

    fn prompt_cost(&self) -> Units {
        match &self.call.kind {
            Kind::Chat { chat, .. } => siskin_route::estimate::tokens(chat.prompt.len()),
            Kind::Application(_) => Units(0),
        }
    }

    /// Service of an application call so far: milliseconds of an occupied slot.
    fn elapsed_cost(&self) -> Units {
        match &self.call.kind {
            Kind::Chat { .. } => running_cost(self.prompt_cost(), self.delivery.received()),
            Kind::Application(_) => {
                let elapsed = self.slot_since.elapsed();
                Units(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
            }
        }
    }
}

/// Stands for an echoed identifier that no router gives out.
const FOREIGN: Request =
    Request { node: Node(u32::MAX), incarnation: u64::MAX, sequence: u64::MAX };

/// The request identifier that the endpoint returned, if it returns them.
fn echoed(response: &Response<Incoming>, own: Request) -> Option<Request> {
    let text = response.headers().get(REQUEST_ID)?.to_str().unwrap_or_default();
    Some(if text == own.to_string() { own } else { text.parse().unwrap_or(FOREIGN) })
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::OK
        && response
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Why an answer cannot be read any further.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The connection broke, or what it carries is no HTTP.
    #[error("{0}")]
    Transport(#[from] hyper::Error),
    /// The end of an event does not come.
    #[error("{0}")]
    Event(#[from] event_size::TooLong),
}

/// The parts of a body.
pub(super) fn parts(body: Incoming, streamed: bool) -> BoxStream<'static, Result<Part, Error>> {
    let data = body.into_data_stream().map_err(Error::Transport);
    if !streamed {
        return data.map_ok(Part::Bytes).boxed();
    }
    let mut meter = event_size::Meter::default();
    let bounded = data.map(move |bytes| {
        let bytes = bytes?;
        meter.add(&bytes)?;
        Ok(bytes)
    });
    bounded
        .eventsource()
        .filter_map(|event| async move {
            match event {
                Ok(event) => Some(Ok(Part::Event(StreamEvent { id: event.id, data: event.data }))),
                Err(EventStreamError::Transport(error)) => Some(Err(error)),
                // Text that is no event stream yields an event that fails to parse.
                Err(error) => Some(Ok(Part::Event(StreamEvent {
                    id: String::new(),
                    data: error.to_string(),
                }))),
            }
        })
        .boxed()
}
