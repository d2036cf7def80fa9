//! A stand-in of the platform's store, as `PROTOCOL.md` tells it.
//!
//! Each router reaches it through an address of its own, so that the store can turn one machine away and serve the others.

use {
    crate::{http, json},
    std::{
        collections::BTreeMap,
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// How the store treats the machine that uses one address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Sound,
    /// Each call is answered with 503, also a watch that is waiting.
    Busy,
    /// Down: a call that arrives, or whose answer would be due, is never answered, and its channel returns nothing further. A watch
    /// that waits all the while is answered later.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    end: Instant,
}

#[derive(Debug, Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    modes: BTreeMap<SocketAddr, Mode>,
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    table: Arc<Mutex<Table>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        let served = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                served.end_leases();
            }
        });
        store
    }

    /// Opens an address of the store for one router.
    pub fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, address));
            }
        });
        Ok(address)
    }

    pub fn set_mode(&self, address: SocketAddr, mode: Mode) {
        self.lock().modes.insert(address, mode);
        self.changed.notify_all();
    }

    /// Writes an item as the operator or an engine does. Returns when the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut table = self.lock();
        write(&mut table, key, value.as_bytes().to_vec(), 0);
        drop(table);
        self.changed.notify_all();
        Instant::now()
    }

    /// Number of items whose key begins with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut table = self.lock();
        let ended: Vec<u64> =
            table.leases.iter().filter(|(_, one)| one.end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            table.leases.remove(&lease);
            let held = table.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
            for key in keys {
                remove(&mut table, &key);
            }
        }
        drop(table);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            let answer = match self.mode(address) {
                Mode::Silent => None,
                Mode::Sound | Mode::Busy => Some(self.answer(&request, address)),
            };
            let Some((status, body)) = answer.filter(|_| self.mode(address) != Mode::Silent) else {
                return stay_silent(&mut stream);
            };
            let kind = [("content-type", "application/json")];
            if http::respond(&mut stream, status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message, address: SocketAddr) -> (u16, String) {
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        if self.mode(address) == Mode::Busy {
            return (503, "{}".to_owned());
        }
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/api/kv-range" => (200, self.range(&text("prefix"), &text("after"))),
            "/api/kv-watch" => {
                let after = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                self.watch(&text("prefix"), after, wait, address)
            }
            "/api/kv-txn" => self.change(&json::parse(&request.body)),
            "/api/kv-lease" => {
                let ttl = json::parse(&request.body).get("ttl_ms").number();
                let mut table = self.lock();
                table.next_lease += 1;
                let id = table.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                table.leases.insert(id, Lease { ttl: ttl_time, end: Instant::now() + ttl_time });
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            path => match path.strip_prefix("/api/kv-keep/") {
                Some(id) => match self.lock().leases.get_mut(&id.parse().unwrap_or(0)) {
                    Some(lease) => {
                        lease.end = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                },
                None => (404, "{}".to_owned()),
            },
        }
    }

    fn mode(&self, address: SocketAddr) -> Mode {
        self.lock().modes.get(&address).copied().unwrap_or_default()
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let table = self.lock();
        let listed = table.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> = listed.map(|(key, item)| render(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"truncated\":false,\"as_of\":{}}}",
            items.join(","),
            table.revision
        )
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
        address: SocketAddr,
    ) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut table = self.lock();
        loop {
            if table.modes.get(&address) == Some(&Mode::Busy) {
                return (503, "{}".to_owned());
            }
            let since =
                table.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = since
                .map(|(at, key, item)| match item {
                    Some(item) => render(key, item),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = table.revision;
                return (200, format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")));
            }
            table = match self.changed.wait_timeout(table, left) {
                Ok((table, _)) => table,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }

    fn change(&self, body: &json::Value) -> (u16, String) {
        let mut table = self.lock();
        for row in body.get("expected_revision").list() {
            let known = table.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        let writes = body.get("writes").list();
        let unknown = |lease: u64| lease > 0 && !table.leases.contains_key(&lease);
        if writes.iter().any(|one| unknown(one.get("lease").number())) {
            return (404, "{}".to_owned());
        }
        for one in writes {
            let value = json::from_base64(one.get("value").text());
            write(&mut table, one.get("key").text(), value, one.get("lease").number());
        }
        for key in body.get("remove").list() {
            remove(&mut table, key.text());
        }
        let revision = table.revision;
        drop(table);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

/// Keeps a channel open without an answer until the other side closes it.
fn stay_silent(stream: &mut TcpStream) {
    let mut bytes = [0; 1024];
    while matches!(io::Read::read(stream, &mut bytes), Ok(length) if length > 0) {}
}

fn write(table: &mut Table, key: &str, value: Vec<u8>, lease: u64) {
    table.revision += 1;
    let revision = table.revision;
    let created = table.items.get(key).map_or(revision, |item| item.created);
    let item = Item { value, revision, created, lease };
    table.items.insert(key.to_owned(), item.clone());
    table.history.push((revision, key.to_owned(), Some(item)));
}

fn remove(table: &mut Table, key: &str) {
    if table.items.remove(key).is_some() {
        table.revision += 1;
        table.history.push((table.revision, key.to_owned(), None));
    }
}

fn render(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_revision\":{},\"lease\":{}}}",
        json::to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
