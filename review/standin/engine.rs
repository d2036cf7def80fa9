//! A stand-in of an engine, run as a process of its own: `standin engine NAME=VALUE...`. It tells its parent on standard output
//! what reaches it, what it runs and how each run ends.

use {
    crate::http::{self, Message},
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        process::exit,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How an engine behaves.
pub struct Options {
    pub id: String,
    pub address: SocketAddr,
    /// Connections that it accepts; it resets any others.
    pub max_connections: usize,
    /// Time until the first event of a stream, or until an answer that is none.
    pub first: Duration,
    /// Events of a stream.
    pub events: u32,
    /// Time between two events.
    pub gap: Duration,
    /// An event after which it makes a longer pause, and that pause.
    pub pause_after: u32,
    pub pause: Duration,
    /// Bytes of an answer that is no stream.
    pub bytes: usize,
}

impl Options {
    pub fn arguments(&self) -> Vec<String> {
        vec![
            "engine".to_owned(),
            format!("id={}", self.id),
            format!("address={}", self.address),
            format!("max_connections={}", self.max_connections),
            format!("first_ms={}", self.first.as_millis()),
            format!("events={}", self.events),
            format!("gap_ms={}", self.gap.as_millis()),
            format!("pause_after={}", self.pause_after),
            format!("pause_ms={}", self.pause.as_millis()),
            format!("bytes={}", self.bytes),
        ]
    }

    fn parse(arguments: &[String]) -> Option<Self> {
        let values: BTreeMap<&str, &str> =
            arguments.iter().filter_map(|argument| argument.split_once('=')).collect();
        let number = |name: &str| values.get(name)?.parse::<u64>().ok();
        let millis = |name: &str| number(name).map(Duration::from_millis);
        Some(Self {
            id: (*values.get("id")?).to_owned(),
            address: values.get("address")?.parse().ok()?,
            max_connections: usize::try_from(number("max_connections")?).ok()?,
            first: millis("first_ms")?,
            events: u32::try_from(number("events")?).ok()?,
            gap: millis("gap_ms")?,
            pause_after: u32::try_from(number("pause_after")?).ok()?,
            pause: millis("pause_ms")?,
            bytes: usize::try_from(number("bytes")?).ok()?,
        })
    }
}

fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    if writeln!(out, "{line}").and_then(|()| out.flush()).is_err() {
        exit(0);
    }
}

/// Serves until the process is killed, or until its parent has gone.
pub fn run(arguments: &[String]) -> i32 {
    let Some(options) = Options::parse(arguments) else { return 2 };
    let options = Arc::new(options);
    let open = Arc::new(AtomicUsize::new(0));
    let parent = thread::spawn(|| {
        let _ = std::io::Read::read(&mut std::io::stdin(), &mut [0]);
        exit(0);
    });
    let mut announced = false;
    while !parent.is_finished() {
        if open.load(Ordering::SeqCst) >= options.max_connections {
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        let Ok(listener) = TcpListener::bind(options.address) else {
            if !announced {
                return 2;
            }
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        if !std::mem::replace(&mut announced, true) {
            say("listens");
        }
        while open.load(Ordering::SeqCst) < options.max_connections {
            let Ok((stream, _)) = listener.accept() else { continue };
            open.fetch_add(1, Ordering::SeqCst);
            let (options, open) = (Arc::clone(&options), Arc::clone(&open));
            thread::spawn(move || {
                serve(stream, &options);
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
        // Without a listener, the system resets any further connection.
        say(&format!("limit of {} connections reached; others are reset", options.max_connections));
    }
    0
}

fn serve(mut stream: TcpStream, options: &Options) {
    let Ok(reading) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(reading);
    while let Ok(request) = http::read_message(&mut reader) {
        if !answer(&mut stream, &request, options) {
            return;
        }
    }
}

/// Answers a request. Returns whether the connection may carry another one.
fn answer(stream: &mut TcpStream, request: &Message, options: &Options) -> bool {
    let header = |name| request.header(name).unwrap_or("");
    let (id, tenant, key) = (header("x-request-id"), header("x-tenant"), header("x-key"));
    if request.target() == "/healthz" {
        return http::respond(stream, "200 OK", &[("X-Instance-Id", &options.id)], b"").is_ok();
    }
    if request.header("x-expect-instance").is_some_and(|meant| meant != options.id) {
        let headers = [("X-Request-Id", id), ("X-Instance-Id", &options.id)];
        return http::respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
    }
    let target = request.target();
    say(&format!("run {id} tenant={tenant} key={key} target={target}"));
    thread::sleep(options.first);
    let seal = format!("{}.{id}", options.id);
    let headers = [("X-Request-Id", id), ("X-Response-Seal", &seal)];
    if !target.contains("stream") {
        let body = vec![b'x'; options.bytes];
        let sent = http::respond(stream, "200 OK", &headers, &body).is_ok();
        say(&format!("end {id} complete={sent}"));
        return sent;
    }
    let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n".to_owned();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if stream.write_all(format!("{head}\r\n").as_bytes()).is_err() {
        say(&format!("end {id} complete=false, the caller has left"));
        return false;
    }
    for number in 1..=options.events {
        let event = format!("id: {number}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        let left = http::peer_has_left(stream);
        if left || stream.write_all(chunk.as_bytes()).is_err() {
            say(&format!("end {id} complete=false, the caller has left before event {number}"));
            return false;
        }
        let wait = if number == options.pause_after { options.pause } else { options.gap };
        if number < options.events {
            thread::sleep(wait);
        }
    }
    let sent = stream.write_all(b"0\r\n\r\n").is_ok();
    say(&format!("end {id} complete={sent}"));
    sent
}
