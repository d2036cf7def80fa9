//! A router gets SIGTERM while streams run at an engine that makes a pause in them and has all the channels that it accepts. Does
//! every caller get its whole answer?

use {
    crate::{
        engine,
        http::{Answer, Connection},
        site::{Engine, Record, Site},
    },
    std::{
        io,
        net::TcpStream,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Consumers, each with one kept channel to the router.
const CONSUMERS: u32 = 8;

/// Channels that the engine accepts from all callers together.
const MAX_CONNECTIONS: usize = 96;

/// Times in seconds since the start of the record.
const STREAMS: f64 = 6.0;
const TERMINATE: f64 = 6.7;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-draft","host":"ficu95.example","prefix":"/stream/","kind":"streaming",
"timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"huvo11a","max_attempts":1,"public":false,
"session_affinity":true,"stream_resume":false,"gap_aim_ms":500}],
"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false,
"engine":{"slots":64,"kv_tokens":707682,"kv_bytes":163840,"link_mbps":740000.0,"models":[{"name":"m"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,
"tokens_per_s":350000},
"tenants":[{"name":"first","api_keys":["key-first"],"priority":1}]}"#;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let site = Site::start(Arc::clone(record), 1)?;
    site.store.put("op/config", CONFIG);
    let engine = start_engine(&site)?;
    if !site.wait_until_ready() {
        record.say("the router is not ready");
        return Ok(2);
    }
    let router = site.routers[0].callers;
    let lost = Arc::new(Mutex::new(Vec::new()));
    let mut consumers = Vec::new();
    for consumer in 0..CONSUMERS {
        let (record, lost) = (Arc::clone(record), Arc::clone(&lost));
        consumers.push(thread::spawn(move || -> io::Result<()> {
            let mut connection = Connection::open(router)?;
            for (attempt, at) in [(1, 2.5), (2, STREAMS)] {
                record.wait_until(at);
                let id = format!("{consumer:08x}{attempt:08x}");
                let sent = record.now();
                let answer = connection.ask(&request(&id, attempt), Duration::from_secs(15));
                let (seen, complete) = match &answer {
                    Answer::Whole { status, .. } => (format!("status {status}, complete"), true),
                    Answer::Cut { status, body, error } => {
                        let events = body.matches("\n\n").count();
                        (format!("status {status}, cut after {events} events: {error}"), false)
                    }
                    Answer::Closed { error } => (format!("closed without an answer: {error}"), false),
                };
                let now = record.now();
                record.say(&format!("request {id}: sent at {sent:.3}, ended at {now:.3}: {seen}"));
                if !complete && now > TERMINATE {
                    if let Ok(mut lost) = lost.lock() {
                        lost.push(id);
                    }
                }
            }
            Ok(())
        }));
    }
    let mut others = Vec::new();
    if trouble {
        // Channels of the engine's other callers, until it accepts no more.
        record.wait_until(STREAMS + 0.4);
        while others.len() < MAX_CONNECTIONS {
            match TcpStream::connect_timeout(&engine.address, Duration::from_millis(200)) {
                Ok(stream) => others.push(stream),
                Err(_) => break,
            }
            thread::sleep(Duration::from_millis(1));
        }
        record.say(&format!("other callers of the engine hold {} channels", others.len()));
    }
    record.wait_until(TERMINATE);
    record.say("SIGTERM");
    site.routers[0].terminate();
    for consumer in consumers {
        if !matches!(consumer.join(), Ok(Ok(()))) {
            record.say("a consumer could not connect");
            return Ok(2);
        }
    }
    drop(others);
    site.keep_logs();
    drop(engine);
    let lost = lost.lock().map(|lost| lost.clone()).unwrap_or_default();
    if !lost.is_empty() {
        record.say(&format!("LOST broken: after SIGTERM, channels ended without a complete answer: {lost:?}"));
    }
    Ok(i32::from(!lost.is_empty()))
}

fn start_engine(site: &Site) -> io::Result<Engine> {
    let options = |address| engine::Options {
        id: "i-1".to_owned(),
        address,
        max_connections: MAX_CONNECTIONS,
        first: Duration::from_millis(200),
        events: 20,
        gap: Duration::from_millis(30),
        pause_after: 10,
        pause: Duration::from_millis(2_500),
        bytes: 0,
    };
    site.start_engine("huvo11a", options, None)
}

fn request(id: &str, attempt: u32) -> String {
    let body = format!("{{\"prompt\":{attempt}}}");
    format!(
        "POST /stream/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\nX-Token-Counts: 1460,80\r\n\
         X-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\nX-Deadline-Ms: 15000\r\nX-Key: key-first\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
