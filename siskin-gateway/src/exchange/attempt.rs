//! One attempt of a request at one endpoint.

use {
    super::{Call, accept::clean, end_of},
    crate::{
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
        condition::{Gate, Reason},
        pool::{End, Flight},
    },
    siskin_net::upstream::{self, Connection},
    siskin_types::id::Endpoint,
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Silence of an endpoint after which it is checked whether it still accepts connections.
const QUIET: Duration = Duration::from_millis(700);

/// Answers that are not streams are read whole before they are passed on, up to this size.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// How an attempt ended.
pub(super) enum Fate {
    /// With a complete answer that is passed on.
    Answered(Response<Body>),
    /// With the endpoint's report of a failure, which is passed on unless another endpoint does better.
    Failed(Response<Body>),
    /// With the head of a stream.
    Streams(Box<Open>),
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint may have run the request, and there is no answer.
    Broken(String),
    /// The time was over.
    TimedOut,
}

/// A stream that has begun.
pub(crate) struct Open {
    pub(crate) head: Response<()>,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) flying: Flying,
}

/// Why waiting for an endpoint ended without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stopped {
    /// The deadline has passed.
    Deadline,
    /// The endpoint is silent and accepts no connections.
    Dead,
}

/// A request at an endpoint. Dropping it tells the pool that the request is no longer there.
#[derive(Debug)]
pub(crate) struct Flying {
    gateway: Arc<Gateway>,
    service: String,
    flight: Flight,
    end: End,
}

impl Flying {
    /// Notes that the request is about to be sent, unless the endpoint wants no requests now.
    pub(crate) fn start(
        gateway: &Arc<Gateway>,
        call: &Call,
        endpoint: Endpoint,
    ) -> Result<Self, Reason> {
        let now = gateway.clock.now();
        let flight = gateway.table(|table| {
            let pool = table.pools.entry(call.service.clone()).or_default();
            match pool.gate(now, endpoint) {
                Gate::Shut(reason) => Err(reason),
                Gate::Open | Gate::Trial => Ok(pool.sent(now, endpoint, &call.demand.prompt)),
            }
        })?;
        gateway.metrics.in_flight.inc();
        Ok(Self {
            gateway: Arc::clone(gateway),
            service: call.service.clone(),
            flight,
            end: End::Abandoned,
        })
    }

    pub(crate) fn endpoint(&self) -> Endpoint {
        self.flight.endpoint
    }

    /// The answer has begun.
    pub(crate) fn began(&mut self) {
        let now = self.gateway.clock.now();
        let (service, flight) = (&self.service, &mut self.flight);
        self.gateway.table(|table| {
            if let Some(pool) = table.pools.get_mut(service) {
                pool.began(now, flight);
            }
        });
    }

    /// Notes how the request ended, for when it is dropped.
    pub(crate) fn ends(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Flying {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        self.gateway.metrics.in_flight.dec();
        self.gateway.table(|table| {
            if let Some(pool) = table.pools.get_mut(&self.service) {
                pool.ended(now, &self.flight, self.end);
            }
        });
    }
}

/// Takes or opens a connection to an endpoint. Nothing has been sent if this fails.
pub(crate) async fn connect(
    gateway: &Gateway,
    call: &Call,
    endpoint: Endpoint,
) -> Result<Connection, String> {
    let directory = gateway.directory();
    let Some(listed) = directory.get(endpoint) else {
        return Err("the endpoint is gone from the list".to_owned());
    };
    let taken = timeout_at(call.deadline.at(), gateway.upstream.take(listed.address)).await;
    match taken {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => {
            if !error.is_local() {
                unreachable(gateway, &call.service, endpoint, &error.to_string());
            }
            Err(error.to_string())
        }
        Err(_) => Err("the request's time was over".to_owned()),
    }
}

/// Takes an endpoint out of use for a while.
pub(crate) fn unreachable(gateway: &Gateway, service: &str, endpoint: Endpoint, why: &str) {
    let now = gateway.clock.now();
    let change = gateway
        .table(|table| table.pools.get_mut(service).map(|pool| pool.unreachable(now, endpoint)));
    if let Some(siskin_route::health::Change::Down { until }) = change {
        gateway.metrics.unreachable.inc();
        let down_ms = super::millis(until - now);
        log::warn!(endpoint:% = endpoint, service, down_ms, why:% = why; "endpoint taken out of use");
    }
}

/// Sends the request and reads the answer, or the head of a stream.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    call: &Call,
    mut connection: Connection,
    mut flying: Flying,
) -> Fate {
    let answer = match head_of(gateway, call, &mut connection, flying.endpoint(), None).await {
        Ok(answer) => answer,
        Err(Failure::Deadline) => return Fate::TimedOut,
        Err(Failure::NotSent(why)) => {
            flying.ends(End::NotRun);
            unreachable(gateway, &call.service, flying.endpoint(), &why);
            return Fate::NotRun;
        }
        Err(Failure::Shut(reason)) => {
            super::log_shut(call, flying.endpoint(), reason);
            return Fate::NotRun;
        }
        Err(Failure::Broken(why)) => {
            flying.ends(End::Broken);
            return Fate::Broken(why);
        }
    };
    let (head, body) = answer.into_parts();
    let status = head.status;
    let read = gateway.protocol.answer(status.as_u16(), &head.headers);
    gateway.note_answer(&call.service, flying.endpoint(), &read);
    if let Err(why) = check(call, &read) {
        flying.ends(End::Broken);
        return Fate::Broken(why);
    }
    if read.not_run {
        flying.ends(End::NotRun);
        gateway.recycle(connection, Some(body));
        return Fate::NotRun;
    }
    if head.headers.contains_key(CONTENT_ENCODING) || (status.is_success() && !read.signed) {
        flying.ends(End::Broken);
        return Fate::Broken("the answer is not the endpoint's own".to_owned());
    }
    let first = call.arrived.elapsed().as_secs_f64();
    gateway.metrics.first_byte.with_label_values(&[call.kind.label()]).observe(first);
    let mut head = Response::from_parts(head, ());
    gateway.protocol.clean_answer(head.headers_mut());
    let streams = matches!(call.kind, crate::catalog::Kind::Stream { .. }) && status.is_success();
    if streams {
        clean(head.headers_mut());
        return Fate::Streams(Box::new(Open { head, body, connection, flying }));
    }
    flying.began();
    let collected = gateway.volume.read(body, ANSWER_BYTES_MAX);
    match wait(gateway, call, flying.endpoint(), collected).await {
        Ok(Ok((bytes, memory))) => {
            flying.ends(end_of(status));
            drop(flying);
            gateway.recycle(connection, None);
            // A head that states a length without a body, as for HEAD, keeps it.
            let length = head.headers().get(CONTENT_LENGTH).cloned();
            clean(head.headers_mut());
            if let (true, Some(length)) = (bytes.is_empty(), length) {
                head.headers_mut().insert(CONTENT_LENGTH, length);
            }
            let response = head.map(|()| respond::held(bytes, memory));
            if status.is_server_error() { Fate::Failed(response) } else { Fate::Answered(response) }
        }
        Ok(Err(error)) => {
            flying.ends(End::Broken);
            Fate::Broken(format!("the answer cannot be read: {error}"))
        }
        Err(Stopped::Deadline) => Fate::TimedOut,
        Err(Stopped::Dead) => {
            flying.ends(End::Broken);
            Fate::Broken("the endpoint died while it answered".to_owned())
        }
    }
}

/// Why no head of an answer arrived.
pub(crate) enum Failure {
    /// Nothing was sent.
    NotSent(String),
    /// Nothing was sent, as the endpoint wants no requests now.
    Shut(Reason),
    /// The request may have arrived.
    Broken(String),
    /// The time was over.
    Deadline,
}

/// Sends the request on a connection and waits for the head of the answer.
pub(crate) async fn head_of(
    gateway: &Arc<Gateway>,
    call: &Call,
    connection: &mut Connection,
    endpoint: Endpoint,
    last_event: Option<&str>,
) -> Result<Response<Incoming>, Failure> {
    let request = request(gateway, call, endpoint, last_event)
        .ok_or_else(|| Failure::NotSent("the endpoint is gone from the list".to_owned()))?;
    if call.deadline.passed() {
        // The process stood still since the endpoint was chosen; nobody waits for an answer any more.
        return Err(Failure::Deadline);
    }
    let address = connection.address();
    let again = request.clone();
    let mut sent = wait(gateway, call, endpoint, connection.send(request)).await;
    if let Ok(Err(upstream::Error::Unsent { .. })) = sent {
        // An idle connection was closed before a byte was written.
        match gateway.upstream.open(address).await {
            Ok(fresh) => *connection = fresh,
            Err(error) => return Err(Failure::NotSent(error.to_string())),
        }
        if let Some(reason) = gateway.shut(&call.service, endpoint) {
            return Err(Failure::Shut(reason));
        }
        sent = wait(gateway, call, endpoint, connection.send(again)).await;
    }
    match sent {
        Ok(Ok(answer)) => {
            gateway.heard(endpoint);
            Ok(answer)
        }
        Ok(Err(error @ upstream::Error::Unsent { .. })) => Err(Failure::NotSent(error.to_string())),
        Ok(Err(error)) => Err(Failure::Broken(error.to_string())),
        Err(Stopped::Deadline) => Err(Failure::Deadline),
        Err(Stopped::Dead) => Err(Failure::Broken("the endpoint died".to_owned())),
    }
}

/// The request in the form that the endpoint takes.
fn request(
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
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    gateway.protocol.write(request.headers_mut(), &outbound);
    Some(request)
}

/// Checks that an answer belongs to the request.
fn check(call: &Call, answer: &Answer<'_>) -> Result<(), String> {
    match answer.id {
        Some(id) if id != call.id => Err(format!("the answer belongs to request {id}")),
        None if !answer.not_run => Err("the answer names no request".to_owned()),
        _ => Ok(()),
    }
}

/// Waits for an endpoint until the request's deadline. While the endpoint is silent, it is checked now and then whether
/// it still accepts connections; such a connection is kept for the next request.
pub(crate) async fn wait<T>(
    gateway: &Arc<Gateway>,
    call: &Call,
    endpoint: Endpoint,
    operation: impl Future<Output = T>,
) -> Result<T, Stopped> {
    let mut operation = pin!(operation);
    loop {
        let check_at = Instant::now() + QUIET;
        if let Ok(result) = timeout_at(check_at.min(call.deadline.at()), operation.as_mut()).await {
            return Ok(result);
        }
        if call.deadline.passed() {
            return Err(Stopped::Deadline);
        }
        if gateway.silence(endpoint).is_some_and(|silence| silence < QUIET) {
            continue;
        }
        let directory = gateway.directory();
        let Some(listed) = directory.get(endpoint) else { continue };
        // Others that wait for the same endpoint need not check it as well.
        gateway.heard(endpoint);
        let mut opening = pin!(gateway.upstream.open(listed.address));
        let opened = tokio::select! {
            result = operation.as_mut() => return Ok(result),
            opened = opening.as_mut() => opened,
        };
        match opened {
            Ok(connection) => {
                gateway.heard(endpoint);
                gateway.recycle(connection, None);
            }
            Err(error) if error.is_local() => log::warn!("endpoint cannot be checked: {error}"),
            Err(error) => {
                unreachable(gateway, &call.service, endpoint, &error.to_string());
                gateway.upstream.purge(listed.address);
                return Err(Stopped::Dead);
            }
        }
    }
}
