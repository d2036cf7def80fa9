//! Two or three of twelve engines crash at the same time and are back 2 s later. Are the callers whose requests they ran served again?

use {
    crate::{
        engine,
        http::{Answer, Connection},
        site::{Engine, Record, Site},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Engines of the service.
const ENGINES: u32 = 12;

/// Most engines that crash: 0.25 of them.
const CRASHES_MAX: usize = 3;

/// Subjects that the requests of a tenant are about. Requests about the same one go to the same engine.
const SUBJECTS: u64 = 3;

const TENANTS: [&str; 2] = ["first", "second"];

/// Time between two requests of a tenant.
const ARRIVAL: Duration = Duration::from_millis(33);

/// Times in seconds since the start of the record.
const FIRST_TENANT: f64 = 2.5;
const CRASH: f64 = 6.0;
const BACK: f64 = 8.0;
/// Calm: the engines have been back for `contact_ms`.
const CALM: f64 = 13.0;
const END: f64 = 40.0;

/// The second tenant begins when the engines are back.
const SECOND_TENANT: f64 = 11.0;

/// Latency target of the route, in seconds.
const AIM: f64 = 0.8;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-draft","host":"ficu95.example","prefix":"/stream/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"huvo11a","max_attempts":1,"public":false,
"session_affinity":true,"stream_resume":false,"gap_aim_ms":500}],
"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_tokens":707682,"kv_bytes":163840,"link_mbps":740000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,
"tokens_per_s":350000},
"tenants":[{"name":"first","api_keys":["key-first"],"priority":1},{"name":"second","api_keys":["key-second"],"priority":1}]}"#;

/// One request of a consumer.
#[derive(Clone, Copy)]
struct Outcome {
    tenant: usize,
    sent: f64,
    ended: f64,
    status: u16,
}

type Outcomes = Arc<Mutex<Vec<Outcome>>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let site = Site::start(Arc::clone(record), 2)?;
    site.store.put("op/config", CONFIG);
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        engines.push(start_engine(&site, format!("i-{number}"), None)?);
    }
    if !site.wait_until_ready() {
        record.say("the routers are not ready");
        return Ok(2);
    }
    let outcomes = Outcomes::default();
    let routers: Vec<SocketAddr> = site.routers.iter().map(|router| router.callers).collect();
    let arrivals: Vec<JoinHandle<()>> = (0..TENANTS.len())
        .map(|tenant| {
            let (record, outcomes, routers) = (Arc::clone(record), Arc::clone(&outcomes), routers.clone());
            thread::spawn(move || arrive(&record, tenant, &routers, &outcomes))
        })
        .collect();
    if trouble {
        record.wait_until(CRASH);
        let hit = site.engines_of(TENANTS[0], CRASH - 1.0);
        if hit.len() < 2 || hit.len() > CRASHES_MAX {
            record.say(&format!("requests of the first tenant are at {} engines", hit.len()));
            return Ok(2);
        }
        record.say(&format!("engines crash: {hit:?}"));
        let (mut crashed, others): (Vec<Engine>, Vec<Engine>) =
            engines.into_iter().partition(|engine| hit.contains(&engine.id));
        crashed.iter_mut().for_each(Engine::kill);
        engines = others;
        record.wait_until(BACK);
        for engine in &crashed {
            engines.push(start_engine(&site, format!("{}-again", engine.id), Some(engine.address))?);
        }
        // The entries of the crashed ones go after three heartbeat intervals of silence.
        record.wait_until(CRASH + 3.6);
        for engine in &crashed {
            site.store.remove(&format!("servers/{}", engine.id));
        }
    }
    for tenant in arrivals {
        let _ = tenant.join();
    }
    drop(engines);
    site.keep_logs();
    let outcomes = outcomes.lock().map(|outcomes| outcomes.clone()).unwrap_or_default();
    Ok(judge(record, &outcomes))
}

fn start_engine(site: &Site, id: String, address: Option<SocketAddr>) -> io::Result<Engine> {
    let options = |address| engine::Options {
        id,
        address,
        max_connections: 360,
        first: Duration::from_millis(250),
        events: 10,
        gap: Duration::from_millis(20),
        pause_after: 0,
        pause: Duration::ZERO,
        bytes: 0,
    };
    site.start_engine("huvo11a", options, address)
}

/// Starts a consumer of the tenant at even intervals until the end, and waits for all of them.
fn arrive(record: &Arc<Record>, tenant: usize, routers: &[SocketAddr], outcomes: &Outcomes) {
    record.wait_until([FIRST_TENANT, SECOND_TENANT][tenant]);
    let mut consumers = Vec::new();
    let mut number = tenant as u64;
    while record.now() < END {
        number += 2;
        let (record, outcomes) = (Arc::clone(record), Arc::clone(outcomes));
        let router = routers[(number / 2) as usize % routers.len()];
        consumers.push(thread::spawn(move || consume(&record, tenant, router, number, &outcomes)));
        thread::sleep(ARRIVAL);
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
}

/// One consumer: sends a request and, if that is refused, once more with a new identifier and on a new connection, after the time
/// that `Retry-After` says, up to a third of the time it has left.
fn consume(record: &Record, tenant: usize, router: SocketAddr, number: u64, outcomes: &Outcomes) {
    for attempt in 1..=2 {
        let id = format!("{number:014x}{attempt:02x}");
        let sent = record.now();
        let answer = match Connection::open(router) {
            Ok(mut connection) => connection.ask(&request(tenant, number, &id), Duration::from_secs(15)),
            Err(error) => Answer::Closed { error: error.to_string() },
        };
        let (status, wait, seen) = match &answer {
            Answer::Whole { status, retry_after, .. } => {
                let seen = format!("status {status}, retry-after '{retry_after}'");
                (*status, retry_after.parse().unwrap_or(0.1), seen)
            }
            Answer::Cut { error, .. } => (0, 0.0, format!("cut: {error}")),
            Answer::Closed { error } => (0, 0.0, format!("closed: {error}")),
        };
        record.note(&format!("request {id} of {}: sent at {sent:.3}, {seen}", TENANTS[tenant]));
        if let Ok(mut outcomes) = outcomes.lock() {
            outcomes.push(Outcome { tenant, sent, ended: record.now(), status });
        }
        if status != 503 {
            return;
        }
        thread::sleep(Duration::from_secs_f64(f64::min(wait, 5.0)));
    }
}

fn request(tenant: usize, number: u64, id: &str) -> String {
    // The first part is the system prompt of the tenant's application, the second the subject, the last the request's own.
    let subject = number / 2 % SUBJECTS;
    let prefix = format!("5c1e07a{tenant}:800,91bd0{tenant}{subject:02x}:410,{number:x}:250");
    let body = format!("{{\"prompt\":{number}}}");
    format!(
        "POST /stream/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\n\
         X-Prompt-Prefix: {prefix}\r\nX-Deadline-Ms: 15000\r\nX-Key: key-{}\r\nContent-Length: {}\r\n\r\n{body}",
        TENANTS[tenant],
        body.len()
    )
}

/// FAIR: in six calm seconds, a tenant has in each second a request that is refused or waits past its aim, and gets less than half
/// of what it asked or the best served tenant got, whichever is less, second by second (less three of the largest requests).
/// All requests here have the same size.
fn judge(record: &Record, outcomes: &[Outcome]) -> i32 {
    let seconds = (CALM as usize)..(END as usize);
    let within = |second: usize, time: f64| time >= second as f64 && time < second as f64 + 1.0;
    let count = |tenant: usize, second: usize, wanted: &dyn Fn(&Outcome) -> bool| {
        let asked = outcomes.iter().filter(|one| one.tenant == tenant && within(second, one.sent));
        asked.filter(|one| wanted(one)).count()
    };
    let mut broken = false;
    for tenant in 0..2 {
        let rows: Vec<(usize, usize, usize, usize)> = seconds
            .clone()
            .map(|second| {
                let asked = count(tenant, second, &|_| true);
                let got = count(tenant, second, &|one| one.status == 200);
                let best = (0..2).map(|other| count(other, second, &|one| one.status == 200)).max();
                let unserved = |one: &Outcome| {
                    one.status == 503 || (one.status == 200 && one.ended - one.sent > AIM)
                };
                (asked, got, best.unwrap_or(0), count(tenant, second, &unserved))
            })
            .collect();
        for (offset, window) in rows.windows(6).enumerate() {
            let always = window.iter().all(|(.., unserved)| *unserved > 0);
            let owed: f64 = window.iter().map(|(asked, _, best, _)| *asked.min(best) as f64 / 2.0).sum();
            let got: f64 = window.iter().map(|(_, got, ..)| *got as f64).sum();
            if always && got < owed - 3.0 {
                if !broken {
                    record.say(&format!(
                        "FAIR broken for tenant {}: from {} s, in six seconds (asked, got, best served got, refused or late) {window:?}",
                        TENANTS[tenant],
                        CALM as usize + offset
                    ));
                }
                broken = true;
            }
        }
        let (asked, got) = rows.iter().fold((0, 0), |sum, row| (sum.0 + row.0, sum.1 + row.1));
        record.say(&format!(
            "tenant {}: {got} of {asked} requests served from {CALM} s to {END} s",
            TENANTS[tenant]
        ));
    }
    i32::from(broken)
}
