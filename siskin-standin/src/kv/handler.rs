//! HTTP interface of the key-value service.

use {
    super::{
        Command, Counters, Options, VALUE_LIMIT_BYTES,
        limit::Limit,
        message::{Delete, Grant, Lease, Operation, Put, Range, Txn, Watch, WatchCreate, header},
        table::Table,
    },
    crate::{
        Error,
        body::{self, Body},
        server::Listener,
    },
    bytes::Bytes,
    futures_util::stream,
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    std::{
        io,
        sync::{Arc, Mutex, Weak},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// How often leases are checked.
const EXPIRY_CHECK: Duration = Duration::from_millis(20);

/// gRPC status codes that the gateway reports.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const RESOURCE_EXHAUSTED: u32 = 8;
const FAILED_PRECONDITION: u32 = 9;
const UNAVAILABLE: u32 = 14;

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    unavailable: bool,
    hang: bool,
    slow: Duration,
    late_watch: Duration,
    lose_answers: u32,
}

#[derive(Debug)]
struct Limits {
    writes: Limit,
    reads: Limit,
    counters: Counters,
}

/// The service behind its listener. Locks are taken one at a time.
#[derive(Debug)]
pub(crate) struct Service {
    options: Options,
    listener: Listener,
    table: Mutex<Table>,
    limits: Mutex<Limits>,
    faults: Mutex<Faults>,
    /// Revision, for watches that wait.
    changed: watch::Sender<u64>,
}

/// What a call counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Read,
    Write,
    Lease,
    Watch,
}

/// An answer of the gateway.
type Answer = Result<Value, Failure>;

/// An error of the gateway.
struct Failure {
    status: StatusCode,
    code: u32,
    message: String,
}

impl Failure {
    fn new(status: StatusCode, code: u32, message: impl Into<String>) -> Self {
        Self { status, code, message: message.into() }
    }

    fn response(&self) -> Response<Body> {
        let value = json!({"error": self.message, "code": self.code, "message": self.message});
        body::json(self.status, &value)
    }
}

impl Service {
    pub(crate) fn new(options: Options, listener: Listener) -> Self {
        let now = Instant::now();
        let limits = Limits {
            writes: Limit::new(options.writes_per_second, now),
            reads: Limit::new(options.reads_per_second, now),
            counters: Counters::default(),
        };
        let table = Table::new();
        let (changed, _) = watch::channel(table.revision());
        Self {
            options,
            listener,
            table: Mutex::new(table),
            limits: Mutex::new(limits),
            faults: Mutex::default(),
            changed,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        crate::lock(&self.table).revision()
    }

    pub(crate) fn counters(&self) -> Counters {
        crate::lock(&self.limits).counters
    }

    pub(crate) fn command(&self, command: &Command) -> Result<(), Error> {
        if let Command::RollBack { revision } = *command {
            return self.roll_back(revision);
        }
        let mut faults = crate::lock(&self.faults);
        match *command {
            Command::Refuse { for_ms } => self.listener.restart(Duration::from_millis(for_ms)),
            Command::Unavailable => faults.unavailable = true,
            Command::Hang => faults.hang = true,
            Command::Slow { delay_ms } => faults.slow = Duration::from_millis(delay_ms),
            Command::LateWatch { delay_ms } => {
                faults.late_watch = Duration::from_millis(delay_ms);
            }
            Command::LoseAnswers { times } => faults.lose_answers = times,
            Command::RollBack { .. } => {}
            Command::Up => {
                *faults = Faults::default();
                self.listener.drop_connections();
            }
        }
        if faults.hang || faults.unavailable {
            // Waiting watches end, as they do when the service dies.
            self.listener.drop_connections();
        }
        Ok(())
    }

    fn roll_back(&self, revision: u64) -> Result<(), Error> {
        if !crate::lock(&self.table).roll_back(revision) {
            return Err(Error::Option {
                name: "revision",
                value: revision.to_string(),
                remedy: "give a revision between the oldest kept and the current one",
            });
        }
        self.listener.drop_connections();
        self.wake_watches();
        Ok(())
    }

    pub(crate) async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = request.into_parts();
        let Ok(collected) = incoming.collect().await else {
            return body::error(StatusCode::BAD_REQUEST, "the request body ended early");
        };
        let bytes = collected.to_bytes();
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/control") if self.options.control => self.control(&bytes),
            (&Method::GET, "/control") if self.options.control => {
                body::json(StatusCode::OK, &self.counters())
            }
            (&Method::POST, path) => self.call(path, &bytes).await,
            _ => body::error(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn control(&self, bytes: &[u8]) -> Response<Body> {
        let command = match serde_json::from_slice(bytes) {
            Ok(command) => command,
            Err(error) => return body::error(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.command(&command) {
            Ok(()) => body::json(StatusCode::OK, &json!({})),
            Err(error) => body::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    async fn call(self: Arc<Self>, path: &str, bytes: &[u8]) -> Response<Body> {
        let faults = *crate::lock(&self.faults);
        if faults.hang {
            return std::future::pending().await;
        }
        tokio::time::sleep(self.options.latency + faults.slow).await;
        if faults.unavailable {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Failure::new(status, UNAVAILABLE, "etcdserver: no leader").response();
        }
        if path == "/v3/watch" {
            return match self.watch(bytes) {
                Ok(response) => response,
                Err(failure) => failure.response(),
            };
        }
        match self.execute(path, bytes) {
            Ok((Kind::Write, _)) if self.loses_answer() => Response::new(body::broken_at_once()),
            Ok((_, answer)) => body::json(StatusCode::OK, &answer),
            Err(failure) => failure.response(),
        }
    }

    fn loses_answer(&self) -> bool {
        let mut faults = crate::lock(&self.faults);
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Carries out a call that has one answer.
    fn execute(&self, path: &str, bytes: &[u8]) -> Result<(Kind, Value), Failure> {
        let (kind, answer) = match path {
            "/v3/kv/range" => (Kind::Read, self.range(&parse(bytes)?)),
            "/v3/kv/put" => (Kind::Write, self.put(&parse(bytes)?)),
            "/v3/kv/deleterange" => (Kind::Write, self.delete(&parse(bytes)?)),
            "/v3/kv/txn" => {
                let txn: Txn = parse(bytes)?;
                let kind = if txn.writes() { Kind::Write } else { Kind::Read };
                (kind, self.txn(kind, &txn))
            }
            "/v3/lease/grant" => (Kind::Lease, self.grant(&parse(bytes)?)),
            "/v3/lease/keepalive" => (Kind::Lease, self.keep_alive(&parse(bytes)?)),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
                (Kind::Lease, self.revoke(&parse(bytes)?))
            }
            _ => return Err(Failure::new(StatusCode::NOT_FOUND, NOT_FOUND, "Not Found")),
        };
        self.wake_watches();
        answer.map(|answer| (kind, answer))
    }

    fn wake_watches(&self) {
        let revision = self.revision();
        self.changed.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
    }

    /// Counts a call and checks it against the limits.
    fn admit(&self, kind: Kind) -> Result<(), Failure> {
        let now = Instant::now();
        let limits = &mut *crate::lock(&self.limits);
        let counters = &mut limits.counters;
        let count = match kind {
            Kind::Read => &mut counters.reads,
            Kind::Write => &mut counters.writes,
            Kind::Lease => &mut counters.leases,
            Kind::Watch => &mut counters.watches,
        };
        *count += 1;
        let waiting = u32::try_from(counters.waiting).unwrap_or(u32::MAX);
        let allowed = match kind {
            Kind::Read | Kind::Watch => limits.reads.take(now, waiting),
            Kind::Write | Kind::Lease => limits.writes.take(now, 0),
        };
        if allowed {
            return Ok(());
        }
        counters.limited += 1;
        let message = "etcdserver: too many requests";
        Err(Failure::new(StatusCode::TOO_MANY_REQUESTS, RESOURCE_EXHAUSTED, message))
    }

    fn range(&self, range: &Range) -> Answer {
        self.admit(Kind::Read)?;
        Ok(crate::lock(&self.table).range(range))
    }

    fn put(&self, put: &Put) -> Answer {
        self.admit(Kind::Write)?;
        check_size(put.value.len())?;
        let mut table = crate::lock(&self.table);
        check_lease(&table, put.lease)?;
        Ok(table.put(put))
    }

    fn delete(&self, delete: &Delete) -> Answer {
        self.admit(Kind::Write)?;
        Ok(crate::lock(&self.table).delete(delete))
    }

    fn txn(&self, kind: Kind, txn: &Txn) -> Answer {
        self.admit(kind)?;
        check_size(txn.largest())?;
        let mut table = crate::lock(&self.table);
        for operation in txn.success.iter().chain(&txn.failure) {
            if let Operation::Put(put) = operation {
                check_lease(&table, put.lease)?;
            }
        }
        Ok(table.txn(txn))
    }

    fn grant(&self, grant: &Grant) -> Answer {
        self.admit(Kind::Lease)?;
        let ttl = Duration::from_secs(grant.ttl.max(1));
        let mut table = crate::lock(&self.table);
        let Some(id) = table.grant(grant.id, ttl, Instant::now()) else {
            let message = "etcdserver: lease already exists";
            return Err(Failure::new(StatusCode::BAD_REQUEST, FAILED_PRECONDITION, message));
        };
        let revision = table.revision();
        Ok(json!({
            "header": header(revision),
            "ID": id.to_string(),
            "TTL": ttl.as_secs().to_string(),
        }))
    }

    fn keep_alive(&self, lease: &Lease) -> Answer {
        self.admit(Kind::Lease)?;
        let mut table = crate::lock(&self.table);
        let ttl = table.keep_alive(lease.id, Instant::now());
        let mut result = json!({"header": header(table.revision()), "ID": lease.id.to_string()});
        if let Some(ttl) = ttl {
            result["TTL"] = ttl.as_secs().to_string().into();
        }
        Ok(json!({"result": result}))
    }

    fn revoke(&self, lease: &Lease) -> Answer {
        self.admit(Kind::Lease)?;
        let mut table = crate::lock(&self.table);
        if !table.revoke(lease.id) {
            return Err(lease_not_found());
        }
        Ok(json!({"header": header(table.revision())}))
    }

    fn watch(self: Arc<Self>, bytes: &[u8]) -> Result<Response<Body>, Failure> {
        let create = parse::<Watch>(bytes)?.create_request;
        self.admit(Kind::Watch)?;
        let changes = self.changed.subscribe();
        crate::lock(&self.limits).counters.waiting += 1;
        let next = match create.start_revision {
            0 => self.revision() + 1,
            start => start,
        };
        let watching = Watching { service: self, create, changes, next, stage: Stage::Created };
        Ok(Response::new(body::streamed(stream::try_unfold(watching, deliver))))
    }
}

/// Where a watch stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Created,
    Waiting,
    Ended,
}

/// A watch that counts as a waiting call until it is dropped.
struct Watching {
    service: Arc<Service>,
    create: WatchCreate,
    changes: watch::Receiver<u64>,
    next: u64,
    stage: Stage,
}

impl Drop for Watching {
    fn drop(&mut self) {
        crate::lock(&self.service.limits).counters.waiting -= 1;
    }
}

/// Produces the next line of a watch.
async fn deliver(mut watching: Watching) -> io::Result<Option<(Bytes, Watching)>> {
    let line = match watching.stage {
        Stage::Ended => return Ok(None),
        Stage::Created => {
            watching.stage = Stage::Waiting;
            json!({"header": header(watching.service.revision()), "created": true})
        }
        Stage::Waiting => watching.events().await?,
    };
    let mut bytes = json!({"result": line}).to_string().into_bytes();
    bytes.push(b'\n');
    Ok(Some((bytes.into(), watching)))
}

impl Watching {
    /// Waits for events from the next revision on.
    async fn events(&mut self) -> io::Result<Value> {
        loop {
            let _ = self.changes.borrow_and_update();
            if let Some(line) = self.ready() {
                let late = crate::lock(&self.service.faults).late_watch;
                tokio::time::sleep(late).await;
                return Ok(line);
            }
            self.changes.changed().await.map_err(|_| body::cut())?;
        }
    }

    fn ready(&mut self) -> Option<Value> {
        let table = crate::lock(&self.service.table);
        let revision = table.revision();
        if self.next <= table.compacted() {
            self.stage = Stage::Ended;
            let compacted = (table.compacted() + 1).to_string();
            return Some(json!({
                "header": header(revision),
                "canceled": true,
                "compact_revision": compacted,
            }));
        }
        let changes = table.changes(&self.create.key, &self.create.end, self.next);
        if changes.is_empty() {
            return None;
        }
        self.next = revision + 1;
        let events: Vec<_> = changes.iter().map(super::table::Change::event).collect();
        Some(json!({"header": header(revision), "events": events}))
    }
}

/// Ends leases that have run out, as long as the service exists.
pub(crate) async fn expire(service: Weak<Service>) {
    let mut ticks = tokio::time::interval(EXPIRY_CHECK);
    loop {
        ticks.tick().await;
        let Some(service) = service.upgrade() else { break };
        let expired = crate::lock(&service.table).expire(Instant::now());
        if expired {
            service.wake_watches();
        }
    }
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(bytes)
        .map_err(|error| Failure::new(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, error.to_string()))
}

fn check_size(bytes: usize) -> Result<(), Failure> {
    if bytes <= VALUE_LIMIT_BYTES {
        return Ok(());
    }
    let message = "etcdserver: request is too large";
    Err(Failure::new(StatusCode::BAD_REQUEST, INVALID_ARGUMENT, message))
}

fn check_lease(table: &Table, lease: u64) -> Result<(), Failure> {
    if table.has_lease(lease) { Ok(()) } else { Err(lease_not_found()) }
}

fn lease_not_found() -> Failure {
    let message = "etcdserver: requested lease not found";
    Failure::new(StatusCode::NOT_FOUND, NOT_FOUND, message)
}
