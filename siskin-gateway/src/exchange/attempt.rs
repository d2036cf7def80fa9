//! One attempt to forward a request to one endpoint.

use {
    super::{Call, accept::remove_hop_by_hop_headers, end_for_status},
    crate::{
        embedded,
        gateway::Gateway,
        protocol::{Answer, Outbound},
        respond::{self, Body},
    },
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONTENT_ENCODING, CONTENT_LENGTH},
    },
    siskin_dispatch::{
        condition::{Availability, Reason},
        pool::{Attempt, End},
    },
    siskin_net::upstream::{self, Connection},
    siskin_types::id::Endpoint,
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::time::{Instant, error::Elapsed, timeout_at},
};

/// Time without data from an endpoint after which the gateway probes whether it still accepts connections.
const PROBE_AFTER_SILENCE: Duration = Duration::from_millis(700);

/// Largest response that is not a stream. Such responses are buffered completely before they are forwarded.
const RESPONSE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// How an attempt ended.
pub(super) enum Outcome {
    /// A complete response to forward to the caller.
    Answered(Response<Body>),
    /// A complete response with a server error, forwarded to the caller unless a retry at another endpoint succeeds.
    Failed(Response<Body>),
    /// The head of a stream.
    StreamStarted(Box<Started>),
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint may have run the request, but no valid response arrived.
    Broken(String),
    /// The deadline of the request has passed.
    TimedOut,
}

/// A response whose head has arrived.
pub(crate) struct Started {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) in_flight: Guard,
}

/// Why a wait for an endpoint ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interruption {
    /// The deadline of the request has passed.
    Deadline,
    /// The endpoint sends nothing and accepts no connections.
    Dead,
}

/// A request that is in flight at an endpoint. Dropping it removes the request from the endpoint's load in the pool.
#[derive(Debug)]
pub(crate) struct Guard {
    gateway: Arc<Gateway>,
    service: String,
    attempt: Attempt,
    /// Version of the endpoint's software when the request was sent.
    software: Option<Arc<str>>,
    end: End,
}

impl Guard {
    /// Registers the request with the pool before it is sent. Fails if the endpoint accepts no requests now.
    pub(crate) fn start(
        gateway: &Arc<Gateway>,
        call: &Call,
        endpoint: Endpoint,
    ) -> Result<Self, Reason> {
        let now = gateway.clock.now();
        let attempt = gateway.with_dispatch(|state| {
            let pool = state.pools.entry(call.service.clone()).or_default();
            match pool.availability(now, endpoint) {
                Availability::Blocked(reason) => Err(reason),
                Availability::Open | Availability::Trial => {
                    let demand = &call.demand;
                    Ok(pool.sent_request(now, endpoint, &demand.prompt, demand.cost))
                }
            }
        })?;
        gateway.metrics.in_flight.inc();
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: call.service.clone(),
            attempt,
            software: gateway.directory().software(endpoint).cloned(),
            end: End::Abandoned,
        })
    }

    pub(crate) fn endpoint(&self) -> Endpoint {
        self.attempt.endpoint
    }

    /// Version of the endpoint's software; `None` if it is not known.
    pub(crate) const fn software(&self) -> Option<&Arc<str>> {
        self.software.as_ref()
    }

    /// Records that the response body has begun.
    pub(crate) fn record_response_start(&mut self) {
        let now = self.gateway.clock.now();
        let (service, attempt) = (&self.service, &mut self.attempt);
        self.gateway.with_dispatch(|state| {
            if let Some(pool) = state.pools.get_mut(service) {
                pool.record_response_start(now, attempt);
            }
        });
    }

    /// Records that a stream is complete, and the number of its tokens if that is known.
    pub(crate) fn record_stream(&mut self, tokens: Option<u32>) {
        self.attempt.record_stream(tokens);
    }

    /// Records that the response is the rest of a stream that another endpoint began.
    pub(crate) fn record_resumed_stream(&mut self) {
        self.attempt.record_resumed_stream();
    }

    /// Sets the result that is reported to the pool on drop; [`End::Abandoned`] unless set.
    pub(crate) fn set_end(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.metrics.in_flight.dec();
        if self.end == End::Completed {
            self.gateway.metrics.record_cost(self.attempt.expected_and_actual(now));
        }
        self.gateway.with_dispatch(|state| {
            if let Some(pool) = state.pools.get_mut(&self.service) {
                pool.record_end(now, &self.attempt, self.end);
            }
        });
    }
}

/// Takes an idle connection to an endpoint or opens one. If this fails, nothing has been sent.
pub(crate) async fn connect_to_endpoint(
    gateway: &Gateway,
    call: &Call,
    endpoint: Endpoint,
) -> Result<Connection, String> {
    let directory = gateway.directory();
    let Some(listed) = directory.get(endpoint) else {
        return Err("the endpoint is no longer listed".to_owned());
    };
    let taken = timeout_at(call.deadline.at(), gateway.upstream.take(listed.address)).await;
    match taken {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => {
            if !error.is_out_of_descriptors() {
                mark_unreachable(gateway, &call.service, endpoint, &error.to_string());
            }
            Err(error.to_string())
        }
        Err(_) => Err("the deadline of the request has passed".to_owned()),
    }
}

/// Marks an endpoint as unreachable, so that it gets no requests for a while.
pub(crate) fn mark_unreachable(gateway: &Gateway, service: &str, endpoint: Endpoint, why: &str) {
    let now = gateway.clock.now();
    let change = gateway.with_dispatch(|state| {
        state.pools.get_mut(service).map(|pool| pool.unreachable(now, endpoint))
    });
    if let Some(siskin_route::health::Change::Down { until }) = change {
        gateway.metrics.endpoints_unreachable.inc();
        let down_ms = super::saturating_millis(until - now);
        log::warn!(endpoint:% = endpoint, service, down_ms, why:% = why; "endpoint taken out of use");
    }
}

/// Sends the request and reads the complete response, or only the head if it is a stream.
pub(super) async fn send_request(
    gateway: &Arc<Gateway>,
    call: &Call,
    mut connection: Connection,
    mut in_flight: Guard,
) -> Outcome {
    let response =
        match send_and_await_head(gateway, call, &mut connection, in_flight.endpoint(), None).await
        {
            Ok(response) => response,
            Err(Error::Deadline) => return Outcome::TimedOut,
            Err(Error::NotSent(why)) => {
                in_flight.set_end(End::NotRun);
                mark_unreachable(gateway, &call.service, in_flight.endpoint(), &why);
                return Outcome::NotRun;
            }
            Err(Error::Blocked(reason)) => {
                super::log_not_accepting(call, in_flight.endpoint(), reason);
                return Outcome::NotRun;
            }
            Err(Error::Broken(why)) => {
                in_flight.set_end(End::Broken);
                return Outcome::Broken(why);
            }
        };
    let (head, body) = response.into_parts();
    let status = head.status;
    let response_info = gateway.protocol.answer(status.as_u16(), &head.headers);
    gateway.record_endpoint_notices(call, in_flight.endpoint(), &response_info);
    if let Err(why) = check_response_id(call, &connection, &response_info) {
        in_flight.set_end(End::Broken);
        return Outcome::Broken(why);
    }
    if response_info.not_run {
        in_flight.set_end(End::NotRun);
        gateway.recycle_connection(connection, Some(body));
        return Outcome::NotRun;
    }
    if head.headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !response_info.signed)
    {
        in_flight.set_end(End::Broken);
        return Outcome::Broken("the response is encoded or not signed by the endpoint".to_owned());
    }
    let first_byte_seconds = call.arrived.elapsed().as_secs_f64();
    gateway.metrics.first_byte.with_label_values(&[call.kind.label()]).observe(first_byte_seconds);
    let mut head = Response::from_parts(head, ());
    gateway.protocol.remove_router_headers(head.headers_mut());
    let streams = matches!(call.kind, crate::catalog::Kind::Stream { .. }) && status.is_success();
    if streams {
        remove_hop_by_hop_headers(head.headers_mut());
        return Outcome::StreamStarted(Box::new(Started { head, body, connection, in_flight }));
    }
    receive_body(gateway, call, Started { head, body, connection, in_flight }).await
}

/// Reads the whole body of a response whose head has arrived.
async fn receive_body(gateway: &Arc<Gateway>, call: &Call, begun: Started) -> Outcome {
    let Started { mut head, body, connection, mut in_flight } = begun;
    let status = head.status();
    in_flight.record_response_start();
    let ends_with_connection = upstream::ends_with_connection(head.headers());
    let reserving = gateway.body_memory.reserve_stated_length(&body, RESPONSE_BYTES_MAX);
    let Ok(memory) = timeout_at(call.deadline.at(), reserving).await else {
        log::warn!(request:% = call.id; "no memory for the response became free before the deadline");
        return Outcome::TimedOut;
    };
    let collected = memory.read_body(body, RESPONSE_BYTES_MAX);
    let collected = wait_for_endpoint(gateway, call, in_flight.endpoint(), collected).await;
    if let (true, Ok(Ok((bytes, _)))) = (ends_with_connection, &collected) {
        match find_other_response(gateway, call, bytes).await {
            Ok(false) => {}
            Ok(true) => {
                in_flight.set_end(End::Broken);
                return Outcome::Broken(
                    "another response begins inside the body, which has no length".to_owned(),
                );
            }
            Err(Elapsed { .. }) => return Outcome::TimedOut,
        }
    }
    match collected {
        Ok(Ok(_)) if connection.may_be_cut_off() => {
            in_flight.set_end(End::Broken);
            Outcome::Broken(
                "the response has no length and ended before the request was written".to_owned(),
            )
        }
        Ok(Ok((bytes, memory))) => {
            in_flight.set_end(end_for_status(status));
            drop(in_flight);
            gateway.recycle_connection(connection, None);
            // The response to a HEAD request states a length without a body; it keeps that length.
            let length = head.headers().get(CONTENT_LENGTH).cloned();
            remove_hop_by_hop_headers(head.headers_mut());
            if let (true, Some(length)) = (bytes.is_empty(), length) {
                head.headers_mut().insert(CONTENT_LENGTH, length);
            }
            let response = head.map(|()| respond::full_body(memory.attach(bytes)));
            if status.is_server_error() {
                Outcome::Failed(response)
            } else {
                gateway.record_begun(&call.features);
                Outcome::Answered(response)
            }
        }
        Ok(Err(error)) => {
            in_flight.set_end(End::Broken);
            Outcome::Broken(format!("the answer cannot be read: {error}"))
        }
        Err(Interruption::Deadline) => Outcome::TimedOut,
        Err(Interruption::Dead) => {
            in_flight.set_end(End::Broken);
            Outcome::Broken("the endpoint died while it sent the response".to_owned())
        }
    }
}

/// Whether another response begins inside a body without a length.
///
/// # Errors
///
/// The deadline of the request passed during the search.
async fn find_other_response(gateway: &Gateway, call: &Call, body: &[u8]) -> Result<bool, Elapsed> {
    let started = Instant::now();
    let search = embedded::contains_response(&*gateway.protocol, body);
    let found = timeout_at(call.deadline.at(), search).await;
    log::debug!(
        request:% = call.id, bytes = body.len(), took_ms = super::saturating_millis(started.elapsed()),
        found:? = found;
        "body without a length was searched for another response"
    );
    found
}

/// Why no response head arrived.
pub(crate) enum Error {
    /// Nothing was sent: the endpoint is no longer listed, or the connection failed before.
    NotSent(String),
    /// Nothing was sent, as the endpoint accepts no requests now.
    Blocked(Reason),
    /// The request may have reached the endpoint.
    Broken(String),
    /// The deadline of the request has passed.
    Deadline,
}

/// Sends the request on a connection and waits for the response head.
pub(crate) async fn send_and_await_head(
    gateway: &Arc<Gateway>,
    call: &Call,
    connection: &mut Connection,
    endpoint: Endpoint,
    last_event: Option<&str>,
) -> Result<Response<Incoming>, Error> {
    let request = build_request(gateway, call, endpoint, last_event)
        .ok_or_else(|| Error::NotSent("the endpoint is no longer listed".to_owned()))?;
    if call.deadline.passed() {
        // The process was suspended after the endpoint was chosen; the caller no longer waits for a response.
        return Err(Error::Deadline);
    }
    let address = connection.address();
    let counted = gateway.clock.now();
    let resend = request.clone();
    let mut sent = wait_for_endpoint(gateway, call, endpoint, connection.send(request)).await;
    if let Ok(Err(upstream::Error::Unsent { .. })) = sent {
        // The idle connection was closed before a byte was written.
        match gateway.upstream.open(address).await {
            Ok(reopened) => *connection = reopened,
            Err(error) => return Err(Error::NotSent(error.to_string())),
        }
        if let Some(reason) = gateway.not_accepting_reason(&call.service, endpoint, counted) {
            return Err(Error::Blocked(reason));
        }
        sent = wait_for_endpoint(gateway, call, endpoint, connection.send(resend)).await;
    }
    match sent {
        Ok(Ok(response)) => {
            gateway.record_heard(endpoint);
            Ok(response)
        }
        Ok(Err(error @ upstream::Error::Unsent { .. })) => Err(Error::NotSent(error.to_string())),
        Ok(Err(error)) => Err(Error::Broken(error.to_string())),
        Err(Interruption::Deadline) => Err(Error::Deadline),
        Err(Interruption::Dead) => Err(Error::Broken("the endpoint died".to_owned())),
    }
}

/// Builds the request for the endpoint. Returns `None` if the endpoint is no longer listed.
fn build_request(
    gateway: &Gateway,
    call: &Call,
    endpoint: Endpoint,
    last_event: Option<&str>,
) -> Option<Request<Full<bytes::Bytes>>> {
    let directory = gateway.directory();
    let listed = directory.get(endpoint)?;
    let outbound = Outbound {
        allowed: call.deadline.left(),
        instance: &listed.instance,
        customer: call.account.as_ref().map(|account| account.name.as_str()),
        last_event,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    gateway.protocol.write(request.headers_mut(), &outbound);
    Some(request)
}

/// Checks that a response carries the identifier of the request. A refusal may lack it only if the connection has carried no
/// other response: otherwise it may be a copy of an earlier one, while the endpoint runs this request.
fn check_response_id(
    call: &Call,
    connection: &Connection,
    response: &Answer<'_>,
) -> Result<(), String> {
    match response.id {
        Some(id) if id == call.id => Ok(()),
        Some(id) => Err(format!("the response belongs to request {id}")),
        None if response.not_run && !connection.carried_earlier_response() => Ok(()),
        None => Err("the response carries no request identifier".to_owned()),
    }
}

/// Waits for an operation at an endpoint until the request's deadline. Whenever the endpoint has sent nothing for
/// [`PROBE_AFTER_SILENCE`], a connection is opened to probe it; that connection is kept for the next request. If that fails, the
/// wait ends early only for a request that can go on at another endpoint.
pub(crate) async fn wait_for_endpoint<T>(
    gateway: &Arc<Gateway>,
    call: &Call,
    endpoint: Endpoint,
    operation: impl Future<Output = T>,
) -> Result<T, Interruption> {
    let mut operation = pin!(operation);
    loop {
        let probe_at = Instant::now() + PROBE_AFTER_SILENCE;
        if let Ok(result) = timeout_at(probe_at.min(call.deadline.at()), operation.as_mut()).await {
            return Ok(result);
        }
        if call.deadline.passed() {
            return Err(Interruption::Deadline);
        }
        if gateway.time_since_heard(endpoint).is_some_and(|silence| silence < PROBE_AFTER_SILENCE) {
            continue;
        }
        let directory = gateway.directory();
        let Some(listed) = directory.get(endpoint) else { continue };
        // Prevents other requests that wait for the same endpoint from probing it too.
        gateway.record_heard(endpoint);
        let mut connecting = pin!(gateway.upstream.open(listed.address));
        let opened = tokio::select! {
            result = operation.as_mut() => return Ok(result),
            opened = connecting.as_mut() => opened,
        };
        match opened {
            Ok(connection) => {
                gateway.record_heard(endpoint);
                gateway.recycle_connection(connection, None);
            }
            Err(error) if error.is_out_of_descriptors() => {
                log::warn!("endpoint cannot be probed: {error}");
            }
            Err(error) => {
                mark_unreachable(gateway, &call.service, endpoint, &error.to_string());
                gateway.upstream.purge(listed.address);
                if call.can_go_on_elsewhere() {
                    return Err(Interruption::Dead);
                }
                // The endpoint may only accept no further connections. The kernel ends this one if the path to it is lost.
            }
        }
    }
}
