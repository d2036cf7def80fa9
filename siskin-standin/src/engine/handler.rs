//! HTTP interface of the engine.

use {
    super::{
        Options,
        batch::{Context, Instance, Job, Progress, Work},
        chat::{self, Usage},
        orders,
    },
    crate::{
        body::{self, Body},
        endpoint::Endpoint,
        fault::Applied,
        server::Listener,
    },
    bytes::Bytes,
    futures_util::stream,
    http_body_util::BodyExt,
    hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header},
    std::{
        cmp::Ordering,
        io,
        sync::{
            Arc, Mutex,
            atomic::{self, AtomicU64},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// The engine behind its listener.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) endpoint: Endpoint<Instance>,
    /// Numbers requests that come without an identifier.
    unnamed: AtomicU64,
    /// Answer that a crossed answer takes the place of.
    previous: Mutex<Option<chat::Answer>>,
}

impl Engine {
    pub(crate) fn new(options: Options, listener: Listener) -> Self {
        let control = options.control;
        Self {
            endpoint: Endpoint::new(options, listener, control),
            unnamed: AtomicU64::new(0),
            previous: Mutex::default(),
        }
    }

    pub(crate) fn options(&self) -> &Options {
        &self.endpoint.options
    }

    /// Answers one request.
    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = request.into_parts();
        let Ok(collected) = incoming.collect().await else {
            return body::error(StatusCode::BAD_REQUEST, "the request body ended early");
        };
        let bytes = collected.to_bytes();
        if let Some(answer) = self.endpoint.handle(&head.method, head.uri.path(), &bytes) {
            return answer;
        }
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/chat/completions") => self.chat(&head.headers, &bytes).await,
            (&Method::GET, "/cache/events") => self.events(head.uri.query().unwrap_or_default()),
            (&Method::POST, "/orders") => orders::order(&self, &bytes),
            (&Method::DELETE, path) => self.cancel(path),
            _ => body::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn events(&self, query: &str) -> Response<Body> {
        let after = query.split('&').find_map(|pair| pair.strip_prefix("after="));
        let after = after.and_then(|after| after.parse().ok()).unwrap_or_default();
        let instance = self.endpoint.instance();
        let events = crate::lock(&instance.cache).events(
            after,
            self.options().events_lag,
            instance.life.number,
        );
        body::json(StatusCode::OK, &events)
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let request = path.strip_prefix("/v1/requests/").unwrap_or_default();
        if self.endpoint.instance().cancel(request) {
            body::json(StatusCode::OK, &serde_json::json!({"id": request, "cancelled": true}))
        } else {
            body::error(StatusCode::NOT_FOUND, "unknown request")
        }
    }

    async fn chat(&self, headers: &HeaderMap, bytes: &Bytes) -> Response<Body> {
        let applied = self.endpoint.plan.take(&String::from_utf8_lossy(bytes));
        if applied.refuse {
            return body::not_started(StatusCode::SERVICE_UNAVAILABLE, "refused on command");
        }
        let request: chat::Request = match serde_json::from_slice(bytes) {
            Ok(request) => request,
            Err(error) => return body::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let instance = self.endpoint.instance();
        let load = instance.life.load.current();
        if load.role != super::WHOLE {
            let message = "this engine serves no whole requests in its role";
            return body::not_started(StatusCode::NOT_FOUND, message);
        }
        if !load.serves_any() && !load.models.contains(&request.model) {
            return body::not_started(StatusCode::NOT_FOUND, "the model is not loaded");
        }
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("x-request-id").map_or_else(|| self.name(&instance), str::to_owned);
        let resume = text("last-event-id").and_then(|number| number.parse::<u32>().ok());
        let job = match resume {
            None => self.begin(&instance, &request, &id, text("idempotency-key")),
            Some(_) => match instance.job(&id) {
                Some(job) => instance.resume(&self.context(), job),
                None => return body::not_started(StatusCode::NOT_FOUND, "unknown request"),
            },
        };
        let crossed = crate::lock(&self.previous).replace(job.answer.clone());
        let answer = match (applied.crossed, crossed) {
            (true, Some(other)) => other,
            (true, None) => chat::Answer { request: "crossed".to_owned(), ..job.answer.clone() },
            (false, _) => job.answer.clone(),
        };
        let delivery = Delivery::new(instance, job, answer, applied);
        if let Some(pause) = applied.crash {
            return self.die(delivery, pause).await;
        }
        if request.stream {
            delivery.stream(resume.unwrap_or_default()).await
        } else {
            delivery.whole().await
        }
    }

    /// Crashes once the request has a slot; the caller's connection drops meanwhile.
    async fn die(&self, mut delivery: Delivery, pause: Duration) -> Response<Body> {
        if delivery.wait(|progress| progress.started).await.is_some() {
            self.endpoint.crash(pause);
        }
        std::future::pending().await
    }

    fn begin(
        &self,
        instance: &Arc<Instance>,
        request: &chat::Request,
        id: &str,
        idempotency: Option<&str>,
    ) -> Arc<Job> {
        let prompt = request.prompt();
        let work = Work {
            answer: request.answer(id, &prompt, self.options().default_tokens),
            user: request.user.clone(),
            idempotency: idempotency.map(str::to_owned),
            prompt: prompt.into(),
            produced: 0,
            resumed: false,
        };
        instance.start(&self.context(), work)
    }

    fn context(&self) -> Context {
        Context {
            options: Arc::clone(&self.endpoint.options),
            history: Arc::clone(&self.endpoint.history),
            plan: Arc::clone(&self.endpoint.plan),
        }
    }

    fn name(&self, instance: &Instance) -> String {
        let number = self.unnamed.fetch_add(1, atomic::Ordering::Relaxed);
        format!("standin-{}-{number}", instance.life.number)
    }
}

/// Sends a job's answer on one connection; cancels the job if the connection closes first.
struct Delivery {
    instance: Arc<Instance>,
    job: Arc<Job>,
    number: u64,
    answer: chat::Answer,
    applied: Applied,
    progress: watch::Receiver<Progress>,
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.job.abandon(self.number);
    }
}

impl Delivery {
    fn new(instance: Arc<Instance>, job: Arc<Job>, answer: chat::Answer, applied: Applied) -> Self {
        let number = job.deliver();
        let progress = job.progress.clone();
        Self { instance, job, number, answer, applied, progress }
    }

    /// Waits until `enough` holds or the job can make no more progress.
    async fn wait(&mut self, enough: impl Fn(&Progress) -> bool) -> Option<Progress> {
        let progress = self.progress.wait_for(|progress| enough(progress)).await;
        progress.ok().map(|progress| *progress)
    }

    /// The whole answer, once the job has ended.
    async fn whole(mut self) -> Response<Body> {
        if self.applied.silence.is_some() {
            std::future::pending::<()>().await;
        }
        let Some(progress) = self.wait(|progress| progress.ended).await else {
            return self.cancelled().await;
        };
        self.late().await;
        let usage = Usage { completion: self.answer.tokens, cached: progress.cached };
        let response = body::json(StatusCode::OK, &self.answer.whole(usage));
        let response = body::faulty(response, self.applied).await;
        self.named(response)
    }

    /// The events after number `after`.
    async fn stream(mut self, after: u32) -> Response<Body> {
        if self.wait(|progress| progress.started || progress.ended).await.is_none() {
            return self.cancelled().await;
        }
        self.late().await;
        let mut response = Response::new(Body::default());
        let headers = response.headers_mut();
        let event_stream = header::HeaderValue::from_static("text/event-stream");
        headers.insert(header::CONTENT_TYPE, event_stream);
        headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
        let response = self.named(response);
        let events = stream::try_unfold(Sending { delivery: self, sent: after, events: 0 }, next);
        response.map(|_| body::streamed(events))
    }

    async fn late(&self) {
        if let Some(delay) = self.applied.late {
            tokio::time::sleep(delay).await;
        }
    }

    /// The answer to a cancelled request; none if the process has died.
    async fn cancelled(&self) -> Response<Body> {
        if self.instance.life.is_dead() {
            return std::future::pending().await;
        }
        self.named(body::error(StatusCode::CONFLICT, "the request was cancelled"))
    }

    fn named(&self, mut response: Response<Body>) -> Response<Body> {
        if let Ok(id) = header::HeaderValue::from_str(&self.answer.request) {
            response.headers_mut().insert("x-request-id", id);
        }
        response
    }
}

/// Position in a stream.
struct Sending {
    delivery: Delivery,
    /// Number of the last event sent.
    sent: u32,
    /// Events sent on this connection.
    events: u32,
}

/// Produces the next piece of a stream: every token that is ready, or the end.
async fn next(mut sending: Sending) -> io::Result<Option<(Bytes, Sending)>> {
    let Sending { delivery, sent, events } = &mut sending;
    let tokens = delivery.answer.tokens;
    if *sent > tokens + 1 {
        return Ok(None);
    }
    let applied = delivery.applied;
    if applied.silence.is_some_and(|after| *events >= after) {
        std::future::pending::<()>().await;
    }
    if applied.cut.is_some_and(|after| *events >= after) {
        tokio::time::sleep(body::FLUSH_PAUSE).await;
        return Err(body::cut());
    }
    let next = *sent;
    let ready = |progress: &Progress| progress.produced > next || progress.ended;
    let Some(progress) = delivery.wait(ready).await else {
        return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "the request was cancelled"));
    };
    let text = match next.cmp(&tokens) {
        Ordering::Less => delivery.answer.event(next),
        Ordering::Equal => {
            delivery.answer.last_event(Usage { completion: tokens, cached: progress.cached })
        }
        Ordering::Greater => "data: [DONE]\n\n".to_owned(),
    };
    *sent += 1;
    *events += 1;
    let repeated = if applied.doubled { text.repeat(2) } else { text };
    Ok(Some((Bytes::from(repeated), sending)))
}
