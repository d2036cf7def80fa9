//! A stand-in of an engine, and the record of what ran.

use {
    crate::{
        http::{Connection, Message},
        record::Record,
        store::Store,
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Time between two renewals of an entry in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Requests that an engine runs at once, as its entry says.
const SLOTS: u32 = 64;

/// What an engine in trouble does with a request in place of serving it. Returns whether it did anything; its channel is closed
/// then.
pub type Trouble = dyn Fn(&mut Connection, &Message) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
}

/// Where an engine runs, and how long a request on a path with `/work/` takes there. Others are answered at once and are not
/// recorded.
pub struct Options<'a> {
    pub ip: &'a str,
    pub id: &'a str,
    pub zone: &'a str,
    pub work: Duration,
}

impl Engine {
    /// Starts an engine that registers itself in the store.
    pub fn start(
        options: &Options<'_>,
        store: &Store,
        record: &Arc<Record>,
        trouble: Arc<Trouble>,
    ) -> Self {
        let listener = TcpListener::bind((options.ip, 0)).expect("port for an engine");
        let engine = Self { id: options.id.to_owned(), address: listener.local_addr().unwrap() };
        let (store, zone, entry, work) =
            (store.clone(), options.zone.to_owned(), engine.clone(), options.work);
        thread::spawn(move || {
            for seq in 1.. {
                store.put(&format!("servers/{}", entry.id), &format!(
                    r#"{{"service":"app","address":"{}","zone":"{zone}","version":"1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"seq":{seq},"born":1765000000000}}"#,
                    entry.address
                ));
                thread::sleep(HEARTBEAT);
            }
        });
        let (served, record) = (engine.clone(), Arc::clone(record));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, record, trouble) =
                    (served.clone(), Arc::clone(&record), Arc::clone(&trouble));
                thread::spawn(move || {
                    engine.serve(Connection::new(stream), work, &record, &*trouble)
                });
            }
        });
        engine
    }

    /// An engine that never is in trouble.
    pub fn start_sound(options: &Options<'_>, store: &Store, record: &Arc<Record>) -> Self {
        Self::start(options, store, record, Arc::new(|_, _| false))
    }

    fn serve(
        &self,
        mut connection: Connection,
        work: Duration,
        record: &Record,
        trouble: &Trouble,
    ) {
        while let Ok(request) = connection.read(false) {
            let id = request.header("x-request-id").unwrap_or("").to_owned();
            let head = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal.{id}\r\n");
            if request.header("x-expect-instance").is_some_and(|one| one != self.id) {
                let head = format!("{head}X-Not-Executed: 1\r\n");
                if connection.respond(421, &head, b"").is_err() {
                    return;
                }
                continue;
            }
            if request.path().contains("/work/") {
                record.run(&id, &self.id);
                thread::sleep(work);
            }
            if trouble(&mut connection, &request) {
                return;
            }
            if connection.respond(200, &head, format!("done {id}").as_bytes()).is_err() {
                return;
            }
        }
    }
}
