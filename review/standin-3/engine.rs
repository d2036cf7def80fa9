//! A stand-in of an engine: it runs each request that is meant for it and answers with a seal.

use {
    crate::http,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, PoisonError},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Requests that an engine works on at once.
const SLOTS: usize = 6;

/// Requests that may wait for a slot.
const QUEUE: usize = 24;

/// A request that an engine began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub id: String,
    pub tenant: String,
    pub path: String,
}

/// All runs, in the order in which they began.
#[derive(Clone, Debug, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add(&self, run: Run) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }
}

/// The slots of an engine and the requests that wait for one.
#[derive(Debug, Default)]
struct Slots {
    /// Running and waiting requests.
    counts: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Slots {
    /// Waits for a slot; `false` if the queue is full.
    fn take(&self) -> bool {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.0 >= SLOTS && counts.1 >= QUEUE {
            return false;
        }
        counts.1 += 1;
        while counts.0 >= SLOTS {
            counts = self.freed.wait(counts).unwrap_or_else(PoisonError::into_inner);
        }
        *counts = (counts.0 + 1, counts.1 - 1);
        true
    }

    fn free(&self) {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).0 -= 1;
        self.freed.notify_one();
    }

    /// Value of the header that tells the load.
    fn load(&self) -> String {
        let (running, waiting) = *self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        format!("{running},{waiting},{SLOTS}")
    }
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    born_ms: u128,
}

impl Engine {
    /// Starts an engine that works on each request for `work`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        runs: &Runs,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            born_ms: born.as_millis(),
        };
        let (served, runs, slots) = (engine.clone(), runs.clone(), Arc::<Slots>::default());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, runs, slots) = (served.clone(), runs.clone(), Arc::clone(&slots));
                thread::spawn(move || served.serve(stream, work, &runs, &slots));
            }
        });
        Ok(engine)
    }

    /// Key of its entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born_ms
        )
    }

    fn serve(&self, mut stream: TcpStream, work: Duration, runs: &Runs, slots: &Slots) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let meant = request.header("x-expect-instance");
            let refusal = match meant.is_some_and(|meant| meant != self.id) {
                true => Some(421),
                false => (!slots.take()).then_some(503),
            };
            if let Some(status) = refusal {
                let headers = [("x-request-id", id.as_str()), ("x-not-executed", "1")];
                if http::respond(&mut stream, status, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            runs.add(Run {
                at: Instant::now(),
                engine: self.id.clone(),
                id: id.clone(),
                tenant: request.header("x-tenant").unwrap_or("").to_owned(),
                path: request.target().1.to_owned(),
            });
            thread::sleep(work);
            let load = slots.load();
            slots.free();
            let seal = format!("seal-{}-{id}", self.id);
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-response-seal", seal.as_str()),
                ("x-engine-load", load.as_str()),
                ("content-type", "text/plain"),
            ];
            if http::respond(&mut stream, 200, &headers, b"done").is_err() {
                return;
            }
        }
    }
}
