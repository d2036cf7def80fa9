//! Passes a stream of events on, and lets it go on at another endpoint if it breaks.

use {
    crate::{
        catalog::Kind,
        events::{Endless, Splitter},
        exchange::{Call, Ended, Flying, Open, connect, head_of, log_end, log_shut, wait},
        gateway::Gateway,
        respond::Body,
    },
    bytes::Bytes,
    futures_util::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        HeaderMap, Response,
        body::{Frame, Incoming},
        header::CONTENT_TYPE,
    },
    siskin_dispatch::pool::{Demand, End},
    siskin_net::upstream::Connection,
    siskin_types::id::Endpoint,
    std::{io, sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// A stream on its way to the caller. Dropping it closes the endpoint's connection, which ends the run.
struct Flow {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    run: Option<Run>,
    splitter: Splitter,
    /// Whether the answer is made of events, which are passed on as a whole only.
    events: bool,
    tried: Vec<Endpoint>,
    sends: u32,
    status: u16,
    started: bool,
    ended: bool,
    /// Time from the request to the first part.
    first: Option<Duration>,
    last_part: Option<Instant>,
    /// Longest time between two parts.
    pause: Duration,
}

/// The endpoint's part of a stream.
struct Run {
    body: Incoming,
    connection: Connection,
    flying: Flying,
}

/// The answer to a caller whose stream has begun.
pub(crate) fn respond(
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    open: Open,
    sends: u32,
) -> Response<Body> {
    let Open { head, body, connection, flying } = open;
    let resumable = matches!(call.kind, Kind::Stream { resumable: true });
    let flow = Flow {
        gateway,
        call,
        events: resumable || is_event_stream(head.headers()),
        tried: vec![flying.endpoint()],
        run: Some(Run { body, connection, flying }),
        splitter: Splitter::default(),
        sends,
        status: head.status().as_u16(),
        started: false,
        ended: false,
        first: None,
        last_part: None,
        pause: Duration::ZERO,
    };
    let parts = stream::unfold(flow, |mut flow| async move {
        let part = flow.next().await?;
        Some((part.map(Frame::data), flow))
    });
    head.map(|()| StreamBody::new(parts).boxed_unsync())
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().starts_with("text/event-stream"))
}

impl Flow {
    /// The next part for the caller; `None` after the last one. After an error, the caller's connection is closed.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        loop {
            let Some(run) = &mut self.run else { return Some(self.fail("broken")) };
            let endpoint = run.flying.endpoint();
            let frame = wait(&self.gateway, &self.call, endpoint, run.body.frame()).await;
            let error = match frame {
                Ok(Some(Ok(frame))) => match self.received(frame) {
                    Ok(Some(part)) => return Some(Ok(part)),
                    Ok(None) => continue,
                    Err(endless) => endless.to_string(),
                },
                Ok(None) if self.splitter.pending().is_empty() => {
                    self.complete();
                    return None;
                }
                Ok(None) => "ended inside an event".to_owned(),
                Ok(Some(Err(error))) => error.to_string(),
                Err(stopped) if self.call.deadline.passed() => {
                    log::info!(request:% = self.call.id, why:? = stopped; "stream was cut at its deadline");
                    return Some(self.fail("timed_out"));
                }
                Err(stopped) => format!("{stopped:?}"),
            };
            log::info!(
                request:% = self.call.id, endpoint:% = endpoint, events = self.splitter.events(),
                why:% = error;
                "stream broke"
            );
            if let Some(mut run) = self.run.take() {
                run.flying.ends(End::Broken);
            }
            if !self.resume().await {
                return Some(self.fail("broken"));
            }
        }
    }

    /// Takes a part from the endpoint and returns what the caller gets of it.
    fn received(&mut self, frame: Frame<Bytes>) -> Result<Option<Bytes>, Endless> {
        let Ok(bytes) = frame.into_data() else { return Ok(None) };
        if let Some(run) = &mut self.run {
            self.gateway.heard(run.flying.endpoint());
            if !self.started {
                run.flying.began();
            }
        }
        self.started = true;
        self.note_part();
        if !self.events {
            return Ok(Some(bytes));
        }
        let whole = self.splitter.push(&bytes)?;
        Ok((!whole.is_empty()).then(|| whole.into()))
    }

    fn complete(&mut self) {
        self.ended = true;
        if let Some(Run { connection, mut flying, .. }) = self.run.take() {
            flying.ends(End::Completed);
            drop(flying);
            self.gateway.recycle(connection, None);
        }
        self.log_end("completed");
    }

    fn fail(&mut self, outcome: &str) -> io::Result<Bytes> {
        self.ended = true;
        self.run = None;
        self.log_end(outcome);
        Err(io::Error::other("the endpoint's stream ended early"))
    }

    fn log_end(&self, outcome: &str) {
        let (first, pause) = (self.first, self.pause);
        let ended = Ended { outcome, status: self.status, sends: self.sends, first, pause };
        log_end(&self.gateway, &self.call, &ended);
    }

    /// Notes when a part has come.
    fn note_part(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now - self.call.arrived);
        if let Some(before) = self.last_part.replace(now) {
            self.pause = self.pause.max(now - before);
        }
    }

    /// Lets the stream go on at another endpoint after the last whole event.
    async fn resume(&mut self) -> bool {
        let resumable = matches!(self.call.kind, Kind::Stream { resumable: true });
        while resumable && self.sends < self.call.max_attempts {
            if !self.gateway.may_retry(&self.call.service) {
                return false;
            }
            self.splitter.discard();
            let now = self.gateway.clock.now();
            let allowed = self.call.deadline.left();
            // The caller has waited already, so any endpoint that answers in time will do.
            let demand =
                Demand { aim: allowed, allowed, patience: 1.0, ..self.call.demand.clone() };
            let chosen = self.gateway.table(|table| {
                let pool = table.pools.get(&self.call.service)?;
                pool.choose(now, &demand, &self.tried).ok()
            });
            let Some(placement) = chosen else { return false };
            self.tried.push(placement.endpoint);
            let Ok(mut connection) = connect(&self.gateway, &self.call, placement.endpoint).await
            else {
                continue;
            };
            let mut flying = match Flying::start(&self.gateway, &self.call, placement.endpoint) {
                Ok(flying) => flying,
                Err(reason) => {
                    log_shut(&self.call, placement.endpoint, reason);
                    self.gateway.recycle(connection, None);
                    continue;
                }
            };
            self.sends += 1;
            self.gateway.metrics.retries.with_label_values(&["resume"]).inc();
            let last = self.splitter.last_id().map(str::to_owned);
            let head = head_of(
                &self.gateway,
                &self.call,
                &mut connection,
                placement.endpoint,
                last.as_deref(),
            )
            .await;
            let Ok(answer) = head else {
                flying.ends(End::Broken);
                continue;
            };
            let (head, body) = answer.into_parts();
            let read = self.gateway.protocol.answer(head.status.as_u16(), &head.headers);
            self.gateway.note_answer(&self.call.service, placement.endpoint, &read);
            if !head.status.is_success() || !read.signed || read.id != Some(&self.call.id) {
                flying.ends(if read.not_run { End::NotRun } else { End::Broken });
                continue;
            }
            self.gateway.metrics.resumes.inc();
            log::info!(
                request:% = self.call.id, endpoint:% = placement.endpoint,
                after = last.as_deref().unwrap_or(""), sends = self.sends;
                "stream goes on at another endpoint"
            );
            self.started = false;
            self.run = Some(Run { body, connection, flying });
            return true;
        }
        false
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller_left");
        }
    }
}
