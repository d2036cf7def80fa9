//! A consumer that keeps a channel to one router open and sends one request after the other.

use {
    crate::http,
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// A request that was sent, and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub router: usize,
    pub id: String,
    pub path: String,
    pub key: String,
    /// Status of the answer, 0 for none.
    pub status: u16,
    pub ended: Instant,
}

/// What a consumer sends.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Name that is part of the identifiers.
    pub name: String,
    pub router: usize,
    pub front: SocketAddr,
    pub path: String,
    pub key: String,
    pub deadline: Duration,
    pub pause: Duration,
}

/// The record of all consumers.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Vec<Sent>>>);

impl Log {
    pub fn all(&self) -> Vec<Sent> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner).clone();
        all.sort_by_key(|sent| sent.at);
        all
    }
}

/// Sends requests until `stop` becomes true.
pub fn start(plan: Plan, log: &Log, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (log, stop) = (log.clone(), Arc::clone(stop));
    thread::spawn(move || {
        let mut channel = None;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{}-{number}", plan.name);
            let at = Instant::now();
            let status = send(&plan, &mut channel, &id).unwrap_or(0);
            let sent = Sent {
                at,
                router: plan.router,
                id,
                path: plan.path.clone(),
                key: plan.key.clone(),
                status,
                ended: Instant::now(),
            };
            log.0.lock().unwrap_or_else(PoisonError::into_inner).push(sent);
            thread::sleep(plan.pause);
        }
    })
}

/// Sends one request on the kept channel, or on a new one; `None` if there is no answer.
fn send(plan: &Plan, channel: &mut Option<TcpStream>, id: &str) -> Option<u16> {
    let mut stream = match channel.take() {
        Some(stream) => stream,
        None => TcpStream::connect_timeout(&plan.front, Duration::from_secs(1)).ok()?,
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(plan.deadline + Duration::from_millis(500)));
    let request = format!(
        "GET {} HTTP/1.1\r\nhost: weeds.example\r\nx-request-id: {id}\r\nx-deadline-ms: {}\r\nx-key: {}\r\n\r\n",
        plan.path,
        plan.deadline.as_millis(),
        plan.key
    );
    stream.write_all(request.as_bytes()).ok()?;
    let answer = http::read(&mut stream, &mut Vec::new()).ok()??;
    let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
    if !closes && answer.complete {
        *channel = Some(stream);
    }
    Some(answer.status())
}
