//! Stand-in for an application service.
//!
//! ```
//! use siskin_standin::application::{Options, Server};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let server = Server::start(Options::default()).unwrap();
//! assert_eq!(server.runs("order-17"), 0);
//! server.stop();
//! # });
//! ```

use {
    crate::{
        Error,
        body::{self, Body},
        fault::{Applied, Command, Fault, Plan},
        load::{Lagged, Load},
        loopback,
        run::{End, History, Number, Run, Service},
        server::Listener,
    },
    http_body_util::BodyExt,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header, http::request,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// How an application behaves.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Calls that run at the same time; the others wait in order of arrival.
    pub slots: u32,
    /// Time a call takes, unless it has a header `X-Standin-Delay-Ms`.
    pub delay: Duration,
    /// Age of the reports of `GET /load`.
    pub load_lag: Duration,
    /// Whether `POST /control` takes faults and `GET /control` tells the true number of runs by call.
    pub control: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((loopback::address(), 0)),
            slots: 8,
            delay: Duration::from_millis(10),
            load_lag: Duration::from_millis(100),
            control: false,
        }
    }
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// Request identifier of the call.
    pub request: String,
    /// Idempotency key of the call.
    pub idempotency: Option<String>,
    /// Body of the call.
    pub body: String,
    /// How many calls with the same idempotency key, or else identifier, or else body, have run.
    pub runs: u64,
}

/// A running application; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    application: Arc<Application>,
}

impl Server {
    /// Starts an application. Must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(options: Options) -> Result<Self, Error> {
        let (listener, bound) = Listener::bind(options.address)?;
        let application = Arc::new(Application::new(options, listener.clone()));
        let handler = Arc::clone(&application);
        bound.serve(move |request| Arc::clone(&handler).handle(request));
        Ok(Self { listener, application })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops it and drops all connections.
    pub fn stop(&self) {
        self.listener.stop();
        self.application.history.crashed();
    }

    /// Carries out a fault command, as `POST /control` does.
    pub fn command(&self, command: Command) {
        self.application.command(command);
    }

    /// The true load, without lag.
    #[must_use]
    pub fn load(&self) -> Load {
        self.application.instance().load.current()
    }

    /// How many runs of a call started, by idempotency key, request identifier or body.
    #[must_use]
    pub fn runs(&self, name: &str) -> u64 {
        self.application.history.runs(name)
    }

    /// All names with the number of runs started.
    #[must_use]
    pub fn counts(&self) -> IndexMap<String, u64> {
        self.application.history.counts()
    }

    /// Service by the header `X-Standin-User`, in milliseconds of an occupied slot.
    #[must_use]
    pub fn service(&self) -> IndexMap<String, Service> {
        self.application.history.service()
    }

    /// The true history of runs.
    #[must_use]
    pub fn log(&self) -> Vec<Run> {
        self.application.history.log()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// One life of the application process.
#[derive(Debug)]
struct Instance {
    number: u64,
    load: Lagged<Load>,
    slots: Arc<Semaphore>,
}

impl Instance {
    fn new(number: u64, options: &Options, leaving: bool) -> Self {
        let slots = options.slots;
        let load = Load { slots, leaving, instance: number, ..Load::default() };
        Self {
            number,
            load: Lagged::new(options.load_lag, load),
            slots: Arc::new(Semaphore::new(slots as usize)),
        }
    }
}

#[derive(Debug)]
struct Application {
    options: Options,
    listener: Listener,
    plan: Plan,
    history: Arc<History>,
    instance: Mutex<Arc<Instance>>,
}

/// A call as it was received.
struct Call {
    answer: Answer,
    user: String,
    delay: Duration,
}

impl Application {
    fn new(options: Options, listener: Listener) -> Self {
        let instance = Instance::new(crate::instance_after(0), &options, false);
        Self {
            options,
            listener,
            plan: Plan::default(),
            history: Arc::default(),
            instance: Mutex::new(Arc::new(instance)),
        }
    }

    fn instance(&self) -> Arc<Instance> {
        Arc::clone(&crate::lock(&self.instance))
    }

    fn command(&self, command: Command) {
        if let Fault::Crash { restart_ms } = command.fault {
            return self.crash(Duration::from_millis(restart_ms));
        }
        self.plan.command(command);
        let leaving = self.plan.leaving();
        self.instance().load.change(|load| load.leaving = leaving);
    }

    fn crash(&self, pause: Duration) {
        self.listener.restart(pause);
        self.history.crashed();
        let mut instance = crate::lock(&self.instance);
        instance.slots.close();
        let number = crate::instance_after(instance.number);
        *instance = Arc::new(Instance::new(number, &self.options, self.plan.leaving()));
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = request.into_parts();
        let Ok(collected) = incoming.collect().await else {
            return body::error(StatusCode::BAD_REQUEST, "the request body ended early");
        };
        let bytes = collected.to_bytes();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => body::json(StatusCode::OK, &self.instance().load.reported()),
            (&Method::POST, "/control") if self.options.control => self.control(&bytes),
            (&Method::GET, "/control") if self.options.control => {
                body::json(StatusCode::OK, &self.history.counts())
            }
            _ => self.call(&head, &String::from_utf8_lossy(&bytes)).await,
        }
    }

    fn control(&self, bytes: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Command>(bytes) {
            Ok(command) => {
                self.command(command);
                body::json(StatusCode::OK, &serde_json::json!({}))
            }
            Err(error) => body::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Runs a call to its end even if the connection closes, as a plain service does.
    async fn call(self: Arc<Self>, head: &request::Parts, text: &str) -> Response<Body> {
        let applied = self.plan.take(text);
        if applied.refuse {
            let text = "refused on command";
            let mut response = body::not_started(StatusCode::SERVICE_UNAVAILABLE, text);
            let id = if applied.crossed {
                Some(header::HeaderValue::from_static("crossed"))
            } else {
                head.headers.get("x-request-id").cloned()
            };
            if let Some(id) = id {
                response.headers_mut().insert("x-request-id", id);
            }
            return response;
        }
        let call = self.read(head, text);
        let running = tokio::spawn(Arc::clone(&self).run(call, applied));
        let Ok(Some(answer)) = running.await else {
            return std::future::pending().await;
        };
        if let Some(delay) = applied.late {
            tokio::time::sleep(delay).await;
        }
        if applied.silence.is_some() {
            return std::future::pending().await;
        }
        let answer = if applied.crossed { crossed(answer) } else { answer };
        let mut response = body::json(StatusCode::OK, &answer);
        if let Ok(id) = header::HeaderValue::from_str(&answer.request) {
            response.headers_mut().insert("x-request-id", id);
        }
        body::faulty(response, applied).await
    }

    fn read(&self, head: &request::Parts, text: &str) -> Call {
        let field = |name: &str| value(&head.headers, name);
        let delay = field("x-standin-delay-ms").and_then(|delay| delay.parse().ok());
        Call {
            answer: Answer {
                method: head.method.to_string(),
                path: head.uri.path_and_query().map(ToString::to_string).unwrap_or_default(),
                request: field("x-request-id").unwrap_or_default(),
                idempotency: field("idempotency-key"),
                body: text.to_owned(),
                runs: 0,
            },
            user: field("x-standin-user").unwrap_or_default(),
            delay: delay.map_or(self.options.delay, Duration::from_millis),
        }
    }

    /// Waits for a slot and runs the call; nothing if the process dies meanwhile.
    async fn run(self: Arc<Self>, call: Call, applied: Applied) -> Option<Answer> {
        let instance = self.instance();
        let Call { mut answer, user, delay } = call;
        let number = self.history.arrived(Run {
            request: answer.request.clone(),
            idempotency: answer.idempotency.clone(),
            user,
            instance: instance.number,
            resumed: false,
            arrived: Instant::now(),
            started: None,
            ended: None,
            units: 0,
            end: End::Open,
        });
        let mut guard = Guard::new(Arc::clone(&instance), Arc::clone(&self.history), number);
        let slots = Arc::clone(&instance.slots);
        let Ok(slot) = slots.acquire_owned().await else { return None };
        guard.running(slot);
        let all = [&answer.request, &answer.body].into_iter().chain(&answer.idempotency);
        let names = all.map(String::as_str).filter(|name| !name.is_empty());
        self.history.started(number, names);
        if let Some(pause) = applied.crash {
            self.crash(pause);
        }
        let delay = delay.saturating_mul(self.plan.factor());
        tokio::time::sleep(delay).await;
        if instance.slots.is_closed() {
            return None;
        }
        self.history.served(number, u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        guard.completed = true;
        let either = answer.idempotency.as_ref().filter(|key| !key.is_empty());
        let id = Some(&answer.request).filter(|id| !id.is_empty());
        answer.runs = self.history.runs(either.or(id).unwrap_or(&answer.body));
        Some(answer)
    }
}

fn value(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn crossed(answer: Answer) -> Answer {
    Answer { request: "crossed".to_owned(), body: "crossed".to_owned(), ..answer }
}

/// Keeps the counters right however a call ends.
struct Guard {
    instance: Arc<Instance>,
    history: Arc<History>,
    number: Number,
    /// Dropped after the counters are updated, so that they never exceed the slots.
    slot: Option<OwnedSemaphorePermit>,
    completed: bool,
}

impl Guard {
    fn new(instance: Arc<Instance>, history: Arc<History>, number: Number) -> Self {
        instance.load.change(|load| load.waiting += 1);
        Self { instance, history, number, slot: None, completed: false }
    }

    fn running(&mut self, slot: OwnedSemaphorePermit) {
        self.slot = Some(slot);
        self.instance.load.change(|load| {
            load.waiting -= 1;
            load.running += 1;
        });
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let running = self.slot.is_some();
        self.instance.load.change(|load| {
            let count = if running { &mut load.running } else { &mut load.waiting };
            *count -= 1;
        });
        let end = if self.completed { End::Completed } else { End::Cancelled };
        self.history.ended(self.number, end);
    }
}
