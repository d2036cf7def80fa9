//! The store turns one router away for 9 s, and that router's process is killed and started again. Does it learn that a key has been
//! taken away?

use {
    crate::{
        engine,
        http::{Answer, Connection},
        site::{Record, Site},
    },
    std::{io, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Times in seconds since the start of the record.
const TURNED_AWAY: f64 = 6.0;
const KILLED: f64 = 6.1;
const STARTED: f64 = 6.3;
const REVOKED: f64 = 7.3;
/// 9 s after [`TURNED_AWAY`].
const ADMITTED: f64 = 15.0;
const END: f64 = 18.0;

/// `config_apply_ms` and `max_stretch_ms`, in seconds.
const APPLY: f64 = 2.0;
const STRETCH: f64 = 5.0;

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-look","host":"ficu95.example","prefix":"/look/","kind":"idempotent",
"timeout_ms":600,"target_latency_ms":100,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}}],
"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":350000}},
"tenants":[{{"name":"first","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<i32> {
    let mut site = Site::start(Arc::clone(record), 3)?;
    site.store.put("op/config", &config(3, "\"key-kept\",\"key-revoked\""));
    let options = |address| engine::Options {
        id: "i-1".to_owned(),
        address,
        max_connections: 96,
        first: Duration::from_millis(15),
        events: 0,
        gap: Duration::ZERO,
        pause_after: 0,
        pause: Duration::ZERO,
        bytes: 800,
    };
    let engine = site.start_engine("wuno96b", options, None)?;
    if !site.wait_until_ready() {
        record.say("the routers are not ready");
        return Ok(2);
    }
    record.wait_until(TURNED_AWAY);
    if trouble {
        record.say(&format!("the store turns {} away", site.routers[2].name));
        site.store.turn_away(&site.routers[2].entrance, true);
    }
    record.wait_until(KILLED);
    record.say(&format!("{} is killed", site.routers[2].name));
    site.routers[2].kill();
    record.wait_until(STARTED);
    site.routers[2].restart()?;
    record.say(&format!("{} is started again", site.routers[2].name));
    record.wait_until(REVOKED);
    site.store.put("op/config", &config(4, "\"key-kept\""));
    let acknowledged = record.now();
    record.say("a configuration without the second key is acknowledged");
    let routers: Vec<SocketAddr> = site.routers.iter().map(|router| router.callers).collect();
    let (mut late, mut served, mut asked, mut last) = (0, 0, 0, [0.0; 3]);
    let mut admitted = false;
    while record.now() < END {
        if trouble && !admitted && record.now() >= ADMITTED {
            record.say(&format!("the store serves {} again", site.routers[2].name));
            site.store.turn_away(&site.routers[2].entrance, false);
            admitted = true;
        }
        for (index, router) in routers.iter().enumerate() {
            for key in ["key-kept", "key-revoked"] {
                asked += 1;
                let id = format!("{asked:016x}");
                let sent = record.now();
                let status = ask(*router, &id, key);
                record.note(&format!("request {id} with {key} at router {}: sent at {sent:.3}, status {status}", index + 1));
                if key == "key-revoked" && status == 200 {
                    served += 1;
                    last[index] = sent;
                    late += u32::from(sent > acknowledged + APPLY + STRETCH);
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    site.keep_logs();
    drop(engine);
    record.say(&format!(
        "requests with the key that was taken away that ran: {served}, the last at each router at {last:.3?}; acknowledged at {acknowledged:.3}"
    ));
    if late > 0 {
        record.say(&format!(
            "CONFIG broken: {late} requests were sent more than {} s after the acknowledgement and ran under the older configuration",
            APPLY + STRETCH
        ));
    }
    Ok(i32::from(late > 0))
}

fn ask(router: SocketAddr, id: &str, key: &str) -> u16 {
    let request = format!(
        "GET /look/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 600\r\nX-Key: {key}\r\n\r\n"
    );
    let answer = Connection::open(router).map(|mut open| open.ask(&request, Duration::from_millis(700)));
    match answer {
        Ok(Answer::Whole { status, .. }) => status,
        _ => 0,
    }
}
