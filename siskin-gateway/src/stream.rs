//! Forwards a stream of events, and resumes it at another endpoint if it breaks.

use {
    crate::{
        events::{Malformed, Splitter},
        exchange::{
            Call, Guard, Started, Summary, Versions, connect_to_endpoint, log_not_accepting,
            log_request_end, send_and_await_head, wait_for_endpoint,
        },
        gateway::Gateway,
        protocol::Answer,
        respond::Body,
    },
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        HeaderMap, Response,
        body::{Frame, Incoming},
        header::{CONTENT_ENCODING, CONTENT_TYPE},
        http::response::Parts,
    },
    siskin_dispatch::pool::End,
    siskin_net::upstream::Connection,
    siskin_types::id::Endpoint,
    std::{io, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A stream that is forwarded to the caller. Dropping it closes the connection to the endpoint, which cancels the request
/// there.
struct Forwarder {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    source: Option<Upstream>,
    splitter: Splitter,
    framing: Framing,
    tried: Vec<Endpoint>,
    /// Versions at which the stream may go on.
    versions: Versions,
    sends: u32,
    status: u16,
    response_started: bool,
    ended: bool,
    /// Time from the request to the first data.
    first_part: Option<Duration>,
    last_part: Option<Instant>,
    /// Longest time between two data frames.
    longest_gap: Duration,
}

/// What the response consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// Events, as its type says. Only complete events are forwarded.
    Events,
    /// Events, because it can be resumed after one, though its type does not say so.
    UndeclaredEvents,
    /// Bytes, forwarded as they arrive.
    Bytes,
}

impl Framing {
    fn new(headers: &HeaderMap, resumable: bool) -> Self {
        match (is_event_stream(headers), resumable) {
            (true, _) => Self::Events,
            (false, true) => Self::UndeclaredEvents,
            (false, false) => Self::Bytes,
        }
    }
}

/// The response of one endpoint that the stream is read from.
struct Upstream {
    body: Incoming,
    connection: Connection,
    in_flight: Guard,
}

/// Makes the response to the caller from a stream whose head has arrived.
pub(crate) fn respond(
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    started: Started,
    versions: Versions,
    sends: u32,
) -> Response<Body> {
    let Started { head, body, connection, in_flight } = started;
    let resumable = call.is_resumable();
    let forwarded = Forwarder {
        gateway,
        call,
        framing: Framing::new(head.headers(), resumable),
        tried: vec![in_flight.endpoint()],
        source: Some(Upstream { body, connection, in_flight }),
        splitter: Splitter::default(),
        versions,
        sends,
        status: head.status().as_u16(),
        response_started: false,
        ended: false,
        first_part: None,
        last_part: None,
        longest_gap: Duration::ZERO,
    };
    let parts = stream::unfold(forwarded, |mut forwarded| async move {
        let part = forwarded.next_part().await?;
        Some((part.map(Frame::data), forwarded))
    });
    head.map(|()| StreamBody::new(parts).boxed_unsync())
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

impl Forwarder {
    /// Returns the next data for the caller; `None` at the end. After an error, the caller's connection is closed.
    async fn next_part(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        loop {
            let Some(source) = &mut self.source else { return Some(self.fail("broken")) };
            let endpoint = source.in_flight.endpoint();
            let frame = if self.splitter.is_at_other_response() {
                // The server writes what it has buffered only when it has to wait for more.
                tokio::task::yield_now().await;
                Ok(None)
            } else {
                wait_for_endpoint(&self.gateway, &self.call, endpoint, source.body.frame()).await
            };
            let error = match frame {
                Ok(Some(Ok(frame))) => match self.process_frame(frame) {
                    Ok(Some(part)) => return Some(Ok(part)),
                    Ok(None) => continue,
                    Err(malformed) => malformed.to_string(),
                },
                Ok(None) if source.connection.may_be_cut_off() => {
                    "the response has no length and ended before the request was written".to_owned()
                }
                Ok(None) if self.splitter.pending().is_empty() => {
                    self.complete();
                    return None;
                }
                Ok(None) => "ended inside an event".to_owned(),
                Ok(Some(Err(error))) => error.to_string(),
                Err(wait_error) if self.call.deadline.passed() => {
                    log::info!(request:% = self.call.id, why:? = wait_error; "stream was ended at the deadline of the request");
                    return Some(self.fail("timed_out"));
                }
                Err(wait_error) => format!("{wait_error:?}"),
            };
            log::info!(
                request:% = self.call.id, endpoint:% = endpoint, events = self.splitter.event_count(),
                begun = self.response_started, features:% = self.call.features, why:% = error;
                "stream broke"
            );
            if let Some(mut source) = self.source.take() {
                source.in_flight.set_end(End::Broken);
            }
            if !self.response_started {
                self.gateway.record_break(&self.call, endpoint).await;
            }
            if !self.resume().await {
                return Some(self.fail("broken"));
            }
        }
    }

    /// Processes a frame from the endpoint and returns the data to forward, if any.
    fn process_frame(&mut self, frame: Frame<Bytes>) -> Result<Option<Bytes>, Malformed> {
        let Ok(bytes) = frame.into_data() else { return Ok(None) };
        if let Some(source) = &mut self.source {
            self.gateway.record_heard(source.in_flight.endpoint());
            if !self.response_started {
                source.in_flight.record_response_start();
                self.gateway.record_begun(&self.call.features);
            }
        }
        self.response_started = true;
        self.record_part_time();
        if self.framing == Framing::Bytes {
            return Ok(Some(bytes));
        }
        let complete = self.splitter.push(&bytes)?;
        Ok((!complete.is_empty()).then(|| complete.into()))
    }

    fn complete(&mut self) {
        self.ended = true;
        if self.call.is_resumable() {
            self.call.record_complete(&self.gateway);
        }
        if let Some(Upstream { connection, mut in_flight, .. }) = self.source.take() {
            // An engine sends an event for each token. Streams of other kinds have no events that are counted.
            let events = u32::try_from(self.splitter.event_count()).ok();
            in_flight.record_stream(events.filter(|events| *events > 0));
            in_flight.set_end(End::Completed);
            drop(in_flight);
            self.gateway.recycle_connection(connection, None);
        }
        self.log_request_end("completed");
    }

    fn fail(&mut self, outcome: &str) -> io::Result<Bytes> {
        self.ended = true;
        self.source = None;
        self.log_request_end(outcome);
        Err(io::Error::other("the endpoint's stream ended early"))
    }

    fn log_request_end(&self, outcome: &str) {
        let (first_part, longest_gap) = (self.first_part, self.longest_gap);
        let ended =
            Summary { outcome, status: self.status, sends: self.sends, first_part, longest_gap };
        log_request_end(&self.gateway, &self.call, &ended);
    }

    /// Records the arrival time of a data frame.
    fn record_part_time(&mut self) {
        let now = Instant::now();
        self.first_part.get_or_insert(now - self.call.arrived);
        if let Some(before) = self.last_part.replace(now) {
            self.longest_gap = self.longest_gap.max(now - before);
        }
    }

    /// Resumes the stream at another endpoint after the last complete event. Returns whether it did.
    async fn resume(&mut self) -> bool {
        while self.call.is_resumable() && self.sends < self.call.max_attempts {
            let Some(endpoint) = self.choose_endpoint() else {
                log::info!(
                    request:% = self.call.id, versions:? = self.versions;
                    "no endpoint can resume the stream"
                );
                return false;
            };
            self.tried.push(endpoint);
            let Some((connection, in_flight)) = self.connect(endpoint).await else { continue };
            if let Some(source) = self.request_rest(connection, in_flight).await {
                self.response_started = false;
                self.source = Some(source);
                return true;
            }
        }
        false
    }

    /// Chooses the endpoint at which the stream is resumed, if a retry is allowed.
    fn choose_endpoint(&self) -> Option<Endpoint> {
        let isolation = self.gateway.check_quarantine(&self.call).ok()?;
        if !self.gateway.take_retry(&self.call.service) {
            return None;
        }
        let now = self.gateway.clock.now();
        let demand = self.call.rest_demand(isolation);
        let mut excluded = self.versions.excluded_endpoints(&self.gateway, &self.call);
        excluded.extend(&self.tried);
        self.gateway.with_dispatch(|state| {
            let pool = state.pools.get(&self.call.service)?;
            Some(pool.choose_endpoint(now, &demand, &excluded).ok()?.endpoint)
        })
    }

    /// Connects to an endpoint and registers the request there, unless the endpoint accepts none now.
    async fn connect(&self, endpoint: Endpoint) -> Option<(Connection, Guard)> {
        let connection = connect_to_endpoint(&self.gateway, &self.call, endpoint).await.ok()?;
        match Guard::start(&self.gateway, &self.call, endpoint) {
            Ok(in_flight) => Some((connection, in_flight)),
            Err(reason) => {
                log_not_accepting(&self.call, endpoint, reason);
                self.gateway.recycle_connection(connection, None);
                None
            }
        }
    }

    /// Requests the rest of the stream. Returns its source if the response is the rest.
    async fn request_rest(
        &mut self,
        mut connection: Connection,
        mut in_flight: Guard,
    ) -> Option<Upstream> {
        let endpoint = in_flight.endpoint();
        self.splitter.discard_pending();
        self.sends += 1;
        self.gateway.metrics.retries.with_label_values(&["resume"]).inc();
        let last = self.splitter.last_id().map(str::to_owned);
        let sent = send_and_await_head(
            &self.gateway,
            &self.call,
            &mut connection,
            endpoint,
            last.as_deref(),
        );
        let Ok(response) = sent.await else {
            in_flight.set_end(End::Broken);
            drop(in_flight);
            self.gateway.record_break(&self.call, endpoint).await;
            return None;
        };
        let (head, body) = response.into_parts();
        let response_info = self.gateway.protocol.answer(head.status.as_u16(), &head.headers);
        self.gateway.record_endpoint_notices(&self.call, endpoint, &response_info);
        if !self.is_rest(&head, &response_info) {
            log::info!(
                request:% = self.call.id, endpoint:% = endpoint, status = head.status.as_u16();
                "response is not the rest of the stream; its connection is closed"
            );
            in_flight.set_end(if response_info.not_run { End::NotRun } else { End::Broken });
            return None;
        }
        self.gateway.metrics.stream_resumes.inc();
        log::info!(
            request:% = self.call.id, endpoint:% = endpoint,
            after = last.as_deref().unwrap_or(""), sends = self.sends;
            "stream goes on at another endpoint"
        );
        in_flight.record_resumed_stream();
        Some(Upstream { body, connection, in_flight })
    }

    /// Whether the head of a response belongs to the rest of this stream.
    fn is_rest(&self, head: &Parts, response: &Answer<'_>) -> bool {
        head.status.is_success()
            && response.signed
            && response.id == Some(self.call.id.as_str())
            && !head.headers.contains_key(CONTENT_ENCODING)
            && Framing::new(&head.headers, true) == self.framing
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if !self.ended {
            self.log_request_end("caller_left");
        }
    }
}
