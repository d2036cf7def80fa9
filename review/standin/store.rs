//! A stand-in of the platform's store, as PROTOCOL.md describes it. Each router reaches it at an address of its own, so that the
//! store can turn one router away and serve the others.

use {
    crate::{
        http::{self, Message},
        json,
    },
    std::{
        collections::BTreeMap,
        io::{self, BufReader},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    /// Base64, as it is sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes by revision; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Default)]
pub struct Store {
    table: Mutex<Table>,
    changed: Condvar,
}

/// The address at which one router reaches the store.
pub struct Entrance {
    pub address: SocketAddr,
    /// Whether the store turns this router away with 503.
    pub turns_away: AtomicBool,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    /// Opens an address for one router.
    pub fn open(self: &Arc<Self>, ip: Ipv4Addr) -> io::Result<Arc<Entrance>> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let entrance = Arc::new(Entrance { address, turns_away: AtomicBool::new(false) });
        let (store, shared) = (Arc::clone(self), Arc::clone(&entrance));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, entrance) = (Arc::clone(&store), Arc::clone(&shared));
                thread::spawn(move || store.serve(stream, &entrance));
            }
        });
        Ok(entrance)
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item, as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().write(key, json::base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_all();
    }

    /// Ends waiting watches at an entrance that turns its router away from now on.
    pub fn turn_away(&self, entrance: &Entrance, turns_away: bool) {
        entrance.turns_away.store(turns_away, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut table = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> =
            table.leases.iter().filter(|(_, lease)| lease.end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            table.end_lease(lease);
        }
        drop(table);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, entrance: &Entrance) {
        let Ok(reading) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(reading);
        while let Ok(call) = http::read_message(&mut reader) {
            let (status, body) = self.answer(&call, entrance);
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, entrance: &Entrance) -> (&'static str, String) {
        const TURNED_AWAY: (&str, String) = ("503 Service Unavailable", String::new());
        let turns_away = || entrance.turns_away.load(Ordering::SeqCst);
        if turns_away() {
            return TURNED_AWAY;
        }
        let path = call.target().split('?').next().unwrap_or("");
        let body = json::parse(&String::from_utf8_lossy(&call.body));
        match (call.method(), path) {
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (call.query("prefix"), call.query("after"));
                let table = self.lock();
                let listed = table.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> = listed.map(|(key, item)| written(key, item)).collect();
                let items = items.join(",");
                let as_of = table.revision;
                ("200 OK", format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", "/api/kv-watch") => {
                let after: u64 = call.query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(call.query("wait_ms").parse().unwrap_or(0));
                let (prefix, until) = (call.query("prefix"), Instant::now() + wait);
                let mut table = self.lock();
                loop {
                    if turns_away() {
                        return TURNED_AWAY;
                    }
                    let events = table.events(&prefix, after);
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), table.revision);
                        return ("200 OK", format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    let waited = self.changed.wait_timeout(table, left);
                    table = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let mut table = self.lock();
                let holds = |row: &json::Value| {
                    let known = table.items.get(row.get("key").text());
                    known.map_or(0, |item| item.revision) == row.get("revision").number()
                };
                if !body.get("expected_revision").list().iter().all(holds) {
                    return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
                }
                let writes = body.get("writes").list();
                let lease = |write: &json::Value| write.get("lease").number();
                if writes.iter().any(|one| lease(one) > 0 && !table.leases.contains_key(&lease(one)))
                {
                    return ("404 Not Found", "{}".to_owned());
                }
                for write in writes {
                    let value = write.get("value").text().to_owned();
                    table.write(write.get("key").text(), value, lease(write));
                }
                for key in body.get("remove").list() {
                    table.remove(key.text());
                }
                let revision = table.revision;
                drop(table);
                self.changed.notify_all();
                ("200 OK", format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttl_ms").number());
                let mut table = self.lock();
                let id = table.leases.keys().next_back().map_or(77_120, |last| last + 1);
                table.leases.insert(id, Lease { ttl, end: Instant::now() + ttl });
                ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path.trim_start_matches("/api/kv-keep/").parse().unwrap_or(0);
                match self.lock().leases.get_mut(&id) {
                    Some(lease) => {
                        lease.end = Instant::now() + lease.ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path.trim_start_matches("/api/kv-lease-end/").parse().unwrap_or(0);
                self.lock().end_lease(id);
                self.changed.notify_all();
                ("200 OK", "{}".to_owned())
            }
            ("GET", "/api/kv-key") => {
                let table = self.lock();
                match table.items.get_key_value(&call.query("key")) {
                    Some((key, item)) => ("200 OK", written(key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl Table {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let attached = |item: &Item| item.lease == lease && lease > 0;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| attached(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<String> {
        let newer = self.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        newer
            .map(|(revision, key, item)| match item {
                Some(item) => written(key, item),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            })
            .collect()
    }
}

fn written(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}
