//! A stand-in of the platform's store: items, watches, transactions and leases, as the users' pages say.

use {
    crate::{http::Connection, json::Value},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Table {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Table {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
        self.revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
}

/// The stand-in. Values are kept as base64 text.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Table>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("port for the store");
        let store = Self { address: listener.local_addr().unwrap(), shared: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        let leases = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                leases.end_leases();
            }
        });
        store
    }

    /// Writes an item as the operator or an engine does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn end_leases(&self) {
        let mut table = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            table.leases.iter().filter(|(_, (_, end))| *end < now).map(|(id, _)| *id).collect();
        for lease in ended {
            table.leases.remove(&lease);
            let keys: Vec<String> = table
                .items
                .iter()
                .filter(|(_, i)| i.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            keys.iter().for_each(|key| table.remove(key));
        }
        drop(table);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read(false) {
            let path = request.path().to_owned();
            let (status, body) = match path.as_str() {
                "/api/kv-range" => self.range(&request.query("prefix"), &request.query("after")),
                "/api/kv-watch" => {
                    let number = |name: &str| request.query(name).parse().unwrap_or(0);
                    self.watch(&request.query("prefix"), number("after"), number("wait_ms"))
                }
                "/api/kv-txn" => self.change(&Value::parse(&request.body)),
                "/api/kv-lease" => self.grant(&Value::parse(&request.body)),
                other => match other.strip_prefix("/api/kv-keep/") {
                    Some(lease) => self.renew(lease.parse().unwrap_or(0)),
                    None => (404, "{}".to_owned()),
                },
            };
            let head = "Content-Type: application/json\r\n";
            if connection.respond(status, head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let table = self.shared.0.lock().unwrap();
        let items: Vec<String> = table
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
            })
            .map(|(key, item)| render(key, item))
            .collect();
        let as_of = table.revision;
        (200, format!(r#"{{"items":[{}],"truncated":false,"as_of":{as_of}}}"#, items.join(",")))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut table = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = table
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => render(key, item),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = table.revision;
                return (200, format!(r#"{{"events":[{}],"as_of":{as_of}}}"#, events.join(",")));
            }
            table = self.shared.1.wait_timeout(table, left).unwrap().0;
        }
    }

    fn change(&self, body: &Value) -> (u16, String) {
        let mut table = self.shared.0.lock().unwrap();
        for row in body.get("expected_revision").list() {
            let known = table.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for write in body.get("writes").list() {
            let lease = write.get("lease").number();
            if lease > 0 && !table.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            table.put(write.get("key").text(), write.get("value").text().to_owned(), lease);
        }
        for key in body.get("remove").list() {
            table.remove(key.text());
        }
        let revision = table.revision;
        drop(table);
        self.shared.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&self, body: &Value) -> (u16, String) {
        let ttl = body.get("ttl_ms").number();
        let mut table = self.shared.0.lock().unwrap();
        table.last_lease += 1;
        let lease = table.last_lease;
        let time = Duration::from_millis(ttl);
        table.leases.insert(lease, (time, Instant::now() + time));
        (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
    }

    fn renew(&self, lease: u64) -> (u16, String) {
        let mut table = self.shared.0.lock().unwrap();
        let Some((time, end)) = table.leases.get_mut(&lease) else { return (404, "{}".to_owned()) };
        *end = Instant::now() + *time;
        (200, format!(r#"{{"ttl_ms":{}}}"#, time.as_millis()))
    }
}

fn render(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"create_revision":{created},"lease":{lease}}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
