//! A small router relays connections to a larger one.

use {
    crate::{
        engine::{Engine, Options},
        http::Connection,
        record::Record,
        router::Router,
        site::{Clients, Site, ZONE, request},
    },
    std::{
        net::SocketAddr,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time that a client waits, which it states in `X-Deadline-Ms`.
const PATIENCE: Duration = Duration::from_millis(3_000);
/// Length of the freeze.
const FREEZE: Duration = Duration::from_secs(4);
/// Time that an engine takes for a request.
const WORK: Duration = Duration::from_millis(60);
/// Share of its processor time that the small router is kept at by requests on open connections.
const UTILISATION: std::ops::Range<f64> = 0.53..0.61;
/// Timeout of the routes, time that an engine takes, spare channels, and time from the signal to their use, in the case of a stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(15_000);
const STOP_WORK: Duration = Duration::from_millis(3_000);
const STOP_CHANNELS: u64 = 20;
const STOP_USE: Duration = Duration::from_millis(5_500);
/// Clients that keep their connections.
const CLIENTS: u64 = 40;
/// Time between two requests on new connections.
const INTERVAL: Duration = Duration::from_millis(50);

/// The larger router freezes for some seconds.
pub fn run_freeze(record: &Path, trouble: bool) -> i32 {
    let site = Site::new(record, trouble, TIMEOUT);
    let code = start(&site, WORK).map_or(2, |running| play_freeze(&site, running));
    site.finish(code)
}

/// The small router is stopped. Clients use channels that they opened before.
pub fn run_stop(record: &Path, trouble: bool) -> i32 {
    let site = Site::new(record, trouble, STOP_TIMEOUT);
    let code = start(&site, STOP_WORK).map_or(2, |running| play_stop(&site, running));
    site.finish(code)
}

struct Running {
    small: Router,
    large: Router,
    load: Load,
}

/// Starts a small and a larger router and keeps the small one so busy that it relays connections.
fn start(site: &Site, work: Duration) -> Option<Running> {
    let record = &site.record;
    for n in 1..=4 {
        let (ip, id) = (site.ip(20 + n), format!("i-{n}"));
        Engine::start_sound(&Options { ip: &ip, id: &id, zone: ZONE, work }, &site.store, record);
    }
    let small = site.start_router("front-small", 1, 0.12);
    let large = site.start_router("front-large", 2, 0.5);
    let limit = Duration::from_secs(15);
    if !small.wait_until_ready(limit) || !large.wait_until_ready(limit) {
        record.say("the routers did not become ready");
        return None;
    }
    // The routers list each other within seconds.
    thread::sleep(Duration::from_secs(4));
    let load = Load::start(small.front);
    if !load.wait_until_relaying(&small, record) {
        record.say("the small router did not become as busy as the case needs; it cannot run");
        return None;
    }
    Some(Running { small, large, load })
}

/// A channel that a client opened before the stop, and the request that it sends there.
fn play_stop(site: &Site, running: Running) -> i32 {
    let Running { mut small, mut large, load } = running;
    let record = &site.record;
    let front = small.front;
    let mut channels: Vec<(String, Connection)> = Vec::new();
    for number in 0..STOP_CHANNELS {
        let Ok(channel) = Connection::open(front, Duration::from_secs(1)) else { return 2 };
        // By turns a lookup and an order, which may not be repeated.
        let id = format!("{}{number:03}", if number % 2 == 0 { "lookup" } else { "order" });
        channels.push((id, channel));
        thread::sleep(Duration::from_millis(40));
        load.adapt(&small);
    }
    record.say(&format!(
        "{} channels are open; connections that the small router relayed: {}",
        channels.len(),
        relayed(&small)
    ));
    let stop = Instant::now();
    if site.trouble {
        record.say("the small router gets SIGTERM");
        small.signal("-TERM");
    }
    load.stop();
    thread::sleep(STOP_USE);
    let clients: Vec<_> = channels
        .into_iter()
        .map(|(id, mut channel)| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                channel.set_deadline(Some(Instant::now() + STOP_TIMEOUT));
                let is_order = id.starts_with("order");
                let (method, path) =
                    if is_order { ("POST", "/order/work/") } else { ("GET", "/app/work/") };
                let sent = channel.write(&request(&id, method, path, STOP_TIMEOUT));
                record.line(&format!(
                    "{} ms after the signal: sent {id} {}",
                    stop.elapsed().as_millis(),
                    if sent.is_ok() { "" } else { "failed: the channel was closed before" }
                ));
                let answer = channel.read(true);
                let text = answer
                    .as_ref()
                    .map_or_else(ToString::to_string, |answer| answer.status().to_string());
                record.line(&format!(
                    "{} ms after the signal: {id} ends: {text}",
                    stop.elapsed().as_millis()
                ));
                (id, sent.is_ok(), answer.is_ok())
            })
        })
        .collect();
    let outcomes: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let ran: Vec<String> = record.runs();
    let lost: Vec<&String> = outcomes
        .iter()
        .filter(|(id, sent, answered)| *sent && !answered && ran.contains(id))
        .map(|(id, ..)| id)
        .collect();
    let orders = lost.iter().filter(|id| id.starts_with("order")).count();
    let answered = outcomes.iter().filter(|(.., answered)| *answered).count();
    record.say(&format!("{} requests, {answered} answered; {} were read and run, and their channel ended without an answer; {orders} of these must not be repeated", outcomes.len(), lost.len()));
    if !large.is_running() || (!site.trouble && !small.is_running()) {
        record.say("a router ended by itself");
        return 1;
    }
    i32::from(!lost.is_empty())
}

fn relayed(router: &Router) -> f64 {
    router.metric(r#"siskin_relayed_connections_total{direction="sent"}"#).unwrap_or(0.0)
}

fn play_freeze(site: &Site, running: Running) -> i32 {
    let Running { mut small, mut large, load } = running;
    let record = &site.record;
    let clients = Clients::new(small.front, PATIENCE, record);
    let start = Instant::now();
    let (freeze, wake) = (start + Duration::from_secs(4), start + Duration::from_secs(4) + FREEZE);
    let (mut frozen, mut woken) = (false, false);
    let mut adapted = start;
    for number in 0.. {
        let now = Instant::now();
        if now >= start + Duration::from_secs(12) {
            break;
        }
        if now >= freeze && !frozen {
            frozen = true;
            record.say(if site.trouble { "the larger router freezes" } else { "no freeze" });
            if site.trouble {
                large.signal("-STOP");
            }
        }
        if now >= wake && !woken {
            woken = true;
            large.signal("-CONT");
            record.say("the larger router is awake");
        }
        if now - adapted > Duration::from_millis(300) {
            adapted = now;
            load.adapt(&small);
        }
        clients.send(number);
        thread::sleep(INTERVAL);
    }
    thread::sleep(PATIENCE + Duration::from_millis(500));
    load.stop();
    if !small.is_running() || !large.is_running() {
        record.say("a router ended by itself");
        return 1;
    }
    record.say(&format!("connections that the small router relayed: {}", relayed(&small)));
    clients.judge(TIMEOUT, &[], record)
}

/// Clients that keep their connections open and send as many requests as keep the small router busy.
struct Load {
    per_second: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    /// While set, the clients have no connections.
    paused: Arc<AtomicBool>,
}

impl Load {
    fn start(front: SocketAddr) -> Self {
        let load = Self {
            per_second: Arc::new(AtomicU64::new(400)),
            stopped: Arc::default(),
            paused: Arc::default(),
        };
        for client in 0..CLIENTS {
            let (per_second, stopped) = (Arc::clone(&load.per_second), Arc::clone(&load.stopped));
            let paused = Arc::clone(&load.paused);
            thread::spawn(move || {
                let mut connection = None;
                let mut sent = 0u64;
                let mut due = Instant::now();
                while !stopped.load(Ordering::Relaxed) {
                    if paused.load(Ordering::Relaxed) {
                        connection = None;
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    sent += 1;
                    let id = format!("load{client:03}{sent:07}");
                    if connection.is_none() {
                        connection = Connection::open(front, Duration::from_secs(1)).ok();
                    }
                    let kept = connection.as_mut().is_some_and(|open: &mut Connection| {
                        open.set_deadline(Some(Instant::now() + PATIENCE));
                        open.write(&request(&id, "GET", "/app/quick/", PATIENCE)).is_ok()
                            && open.read(true).is_ok_and(|answer| !answer.closes())
                    });
                    if !kept {
                        connection = None;
                    }
                    due = due.max(Instant::now() - Duration::from_millis(50))
                        + Duration::from_secs_f64(
                            CLIENTS as f64 / per_second.load(Ordering::Relaxed) as f64,
                        );
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                }
            });
        }
        load
    }

    /// Changes the rate so that the router's utilisation comes into its range.
    fn adapt(&self, router: &Router) -> f64 {
        let utilisation = router.metric("siskin_utilisation").unwrap_or(0.0);
        let rate = self.per_second.load(Ordering::Relaxed);
        let new = if utilisation < UTILISATION.start {
            (rate + rate / 12 + 20).min(40_000)
        } else if utilisation > UTILISATION.end {
            rate - rate / 12
        } else {
            rate
        };
        self.per_second.store(new, Ordering::Relaxed);
        utilisation
    }

    fn wait_until_relaying(&self, router: &Router, record: &Record) -> bool {
        let until = Instant::now() + Duration::from_secs(60);
        let (mut steady, mut busiest, mut rate_then) = (0, 0.0, 0);
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(300));
            let utilisation = self.adapt(router);
            let rate = self.per_second.load(Ordering::Relaxed);
            record.line(&format!("utilisation {utilisation:.2} at {rate} requests a second"));
            if utilisation > busiest {
                (busiest, rate_then) = (utilisation, rate);
            }
            if busiest > UTILISATION.start && utilisation < 0.3 {
                // It became so busy that it closed these connections too, and relays the new ones. Relaying fades out over 5 s.
                record.line("too many requests; a pause");
                self.paused.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_secs(7));
                self.per_second.store(rate_then / 2, Ordering::Relaxed);
                self.paused.store(false, Ordering::Relaxed);
                (steady, busiest) = (0, 0.0);
                continue;
            }
            steady = if UTILISATION.contains(&utilisation) { steady + 1 } else { 0 };
            if steady >= 4 {
                record.say(&format!("the small router is busy ({utilisation:.2}) at {rate} requests a second on open connections"));
                return true;
            }
        }
        false
    }

    fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
