//! A small deployment: a store, engines and routers on loopback addresses of their own, and clients.

use {
    crate::{
        http::Connection,
        record::Record,
        router::{Machine, Router},
        store::Store,
    },
    std::{
        collections::BTreeMap,
        env, fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        process,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

pub const PROGRAM: &str = "target/release/siskin-platform";
pub const ZONE: &str = "zone-a";

/// Time after the route's timeout at which a final answer is missed, by the rule.
pub const SLACK: Duration = Duration::from_millis(500);

pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    /// Longest time that the operator wants a request kept waiting (`timeout_ms` of the routes).
    pub timeout: Duration,
    /// Whether the disruption is played.
    pub trouble: bool,
    folder: PathBuf,
    net: String,
}

impl Site {
    /// Writes the configuration: `/app/` may be repeated, `/order/` may not.
    pub fn new(record: &Path, trouble: bool, timeout: Duration) -> Self {
        let temporary = env::temp_dir().join(format!("siskin-review-{}", process::id()));
        fs::create_dir_all(&temporary).expect("temporary folder");
        let [low, high, ..] = process::id().to_le_bytes();
        let net = format!("127.{}.{low}", 64 + (high & 63));
        let store = Store::start(&format!("{net}.10"));
        let millis = timeout.as_millis();
        let route = |name: &str, kind: &str, attempts: u32| {
            format!(
                r#"{{"name":"{name}","host":"site.example","prefix":"/{name}/","service":"app","kind":"{kind}","timeout_ms":{millis},"target_latency_ms":300,"priority":2,"max_attempts":{attempts}}}"#
            )
        };
        let routes = [route("app", "idempotent", 2), route("order", "non_idempotent", 2)].join(",");
        store.put("op/config", &format!(
            r#"{{"version":3,"routes":[{routes}],"services":[{{"name":"app","health_path":"/healthz","max_connections":500}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}}}"#
        ));
        Self {
            record: Arc::new(Record::create(record)),
            store,
            timeout,
            trouble,
            folder: temporary,
            net,
        }
    }

    /// A loopback address of this run.
    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.net)
    }

    pub fn start_router(&self, name: &str, last: u8, cpu_share: f64) -> Router {
        let machine = Machine { name, ip: &self.ip(last), zone: ZONE, cpu_share, memory_mb: 260 };
        Router::start(Path::new(PROGRAM), &self.folder, &machine, self.store.address)
    }

    /// Writes the result and removes the temporary folder.
    pub fn finish(&self, code: i32) -> i32 {
        self.record.say(&format!("exit {code}"));
        self.record.flush();
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        code
    }
}

/// How a request ended: the time to its answer, and the status.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    pub answer: Option<(Duration, u16)>,
}

/// Clients that send requests, each on a new channel, and wait for `patience`, which they state.
#[derive(Clone)]
pub struct Clients {
    pub front: SocketAddr,
    pub patience: Duration,
    record: Arc<Record>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Clients {
    pub fn new(front: SocketAddr, patience: Duration, record: &Arc<Record>) -> Self {
        Self { front, patience, record: Arc::clone(record), outcomes: Arc::default() }
    }

    /// Sends a request that may be repeated or, if `number` is odd, one that may not.
    pub fn send(&self, number: u64) {
        let clients = self.clone();
        thread::spawn(move || {
            let (kind, method, path) = if number % 2 == 0 {
                ("lookup", "GET", "/app/work/")
            } else {
                ("order", "POST", "/order/work/")
            };
            let id = format!("{kind}{number:06}");
            let sent = Instant::now();
            clients.record.line(&format!("sent {id}"));
            let answer = clients.exchange(&request(&id, method, path, clients.patience), sent);
            let time = sent.elapsed();
            match &answer {
                Ok(status) => clients
                    .record
                    .line(&format!("answer {id} {status} after {} ms", time.as_millis())),
                Err(error) => clients
                    .record
                    .line(&format!("no answer {id} after {} ms: {error}", time.as_millis())),
            }
            let answer = answer.ok().map(|status| (time, status));
            clients.outcomes.lock().unwrap().push(Outcome { id, answer });
        });
    }

    fn exchange(&self, request: &[u8], sent: Instant) -> io::Result<u16> {
        let mut connection = Connection::open(self.front, Duration::from_secs(1))?;
        connection.set_deadline(Some(sent + self.patience));
        connection.write(request)?;
        Ok(connection.read(true)?.status())
    }

    /// Checks the rule: of the requests that are still unanswered at their route's timeout, eight or more and over a half have no
    /// final answer half a second later. `excused` are requests whose own engine was in trouble.
    pub fn judge(&self, timeout: Duration, excused: &[String], record: &Record) -> i32 {
        let outcomes = self.outcomes.lock().unwrap();
        let by =
            |one: &&Outcome, limit: Duration| one.answer.is_some_and(|(time, _)| time <= limit);
        let late: Vec<&Outcome> = outcomes.iter().filter(|one| !by(one, timeout)).collect();
        let missed: Vec<&Outcome> =
            late.iter().copied().filter(|one| !by(one, timeout + SLACK)).collect();
        let never = missed.iter().filter(|one| one.answer.is_none()).count();
        let others = missed.iter().filter(|one| !excused.contains(&one.id)).count();
        let orders = missed.iter().filter(|one| one.id.starts_with("order")).count();
        record.say(&format!(
            "{} requests; {} unanswered at the route's timeout, {} of these without a final answer 0.5 s later ({others} of them were not sent to an engine in trouble, {orders} must not be repeated), {never} never answered",
            outcomes.len(), late.len(), missed.len(),
        ));
        let mut statuses = BTreeMap::<u16, usize>::new();
        for one in outcomes.iter() {
            *statuses.entry(one.answer.map_or(0, |(_, status)| status)).or_default() += 1;
        }
        record.say(&format!("statuses (0: no answer): {statuses:?}"));
        i32::from(missed.len() >= 8 && missed.len() * 2 > late.len())
    }
}

pub fn request(id: &str, method: &str, path: &str, patience: Duration) -> Vec<u8> {
    let length = if method == "POST" { "Content-Length: 2\r\n" } else { "" };
    let body = if method == "POST" { "ok" } else { "" };
    let patience = patience.as_millis();
    format!("{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {patience}\r\n{length}\r\n{body}")
        .into_bytes()
}
