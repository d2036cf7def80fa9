//! Streams that break while another process takes the place of the one that began them, as in an upgrade in place. The engine goes
//! on with any stream without a check. Guards against an answer that joins the output of two software versions.

use {
    super::process::{Fleet, PATIENCE, document, exchange, ready},
    googletest::prelude::*,
    serde_json::json,
    siskin_standin::kv,
    std::{
        fmt::Write,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// Events of a whole answer.
const EVENTS: usize = 6;

/// Events after which a stream breaks.
const EVENTS_BEFORE_BREAK: usize = 3;

/// Time between two load reports that the router asks for unless a case needs more: none comes between two steps of a test.
const LOAD_SPACING_MS: u64 = 10_000;

/// One life of an engine's process.
#[derive(Clone, Copy, Debug)]
struct Life {
    instance: u64,
    software: Option<&'static str>,
    /// The text of its events.
    mark: &'static str,
}

const fn first(software: Option<&'static str>) -> Life {
    Life { instance: 1, software, mark: "alpha" }
}

const fn second(software: Option<&'static str>) -> Life {
    Life { instance: 2, software, mark: "beta" }
}

/// What the caller gets.
#[derive(Clone, Copy, Debug)]
enum Want {
    /// A whole answer, begun by one process and ended by the other.
    Joined,
    /// What the first process wrote, then an error.
    Broken,
    /// A whole answer of the second process.
    Afresh,
}

struct Case {
    name: &'static str,
    stream: bool,
    /// Serves a call before, and is replaced unnoticed.
    before: Option<Life>,
    begins: Life,
    ends: Life,
    /// Of another engine in the pool.
    other: Option<&'static str>,
    want: Want,
}

impl Case {
    const fn new(name: &'static str, begins: Life, ends: Life, want: Want) -> Self {
        Self { name, stream: true, before: None, begins, ends, other: None, want }
    }
}

const BEFORE: Option<Life> = Some(Life { instance: 9, software: Some("1"), mark: "before" });

const CASES: [Case; 10] = [
    Case::new("another version", first(Some("1")), second(Some("2")), Want::Broken),
    Case {
        stream: false,
        ..Case::new(
            "another version, answer collected",
            first(Some("1")),
            second(Some("2")),
            Want::Afresh,
        )
    },
    Case::new("version not named any more", first(Some("1")), second(None), Want::Broken),
    Case::new("version not named before", first(None), second(Some("2")), Want::Broken),
    Case {
        before: BEFORE,
        ..Case::new("back to the version before", first(Some("2")), second(Some("1")), Want::Broken)
    },
    Case {
        other: Some("2"),
        ..Case::new("named by another engine only", first(None), second(None), Want::Broken)
    },
    Case::new("same version", first(Some("1")), second(Some("1")), Want::Joined),
    Case {
        before: BEFORE,
        ..Case::new(
            "same version, new to the router",
            first(Some("2")),
            second(Some("2")),
            Want::Joined,
        )
    },
    Case::new("named by no engine", first(None), second(None), Want::Joined),
    Case {
        other: Some("2"),
        ..Case::new("same process", first(None), Life { mark: "beta", ..first(None) }, Want::Joined)
    },
];

/// An engine whose process is replaced when it breaks off a stream, which it does once.
#[derive(Debug)]
struct Engine {
    address: SocketAddr,
    lives: Vec<Life>,
    /// The life that breaks off a stream.
    breaks_in: Option<usize>,
    current: AtomicUsize,
    /// Load reports that it has given.
    reports: AtomicUsize,
}

impl Engine {
    async fn start(lives: Vec<Life>, breaks_in: Option<usize>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (current, reports) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let engine = Arc::new(Self { address, lives, breaks_in, current, reports });
        let serving = Arc::clone(&engine);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).serve(stream));
            }
        });
        engine
    }

    /// Puts the next process in the place of the present one.
    fn replace(&self) {
        self.current.fetch_add(1, Ordering::SeqCst);
    }

    /// Serves a connection as long as the process lives that took it.
    async fn serve(self: Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let current = self.current.load(Ordering::SeqCst);
        let life = self.lives[current];
        while let Some(request) = read_request(&mut stream).await? {
            if self.current.load(Ordering::SeqCst) != current {
                return Ok(());
            }
            if request.starts_with("get /load") {
                self.reports.fetch_add(1, Ordering::SeqCst);
                stream.write_all(load(life).as_bytes()).await?;
                continue;
            }
            if !request.starts_with("post /v1/chat") {
                return Ok(());
            }
            let last = last_event(&request);
            let breaks = self.breaks_in == Some(current);
            let end = if breaks { EVENTS_BEFORE_BREAK } else { EVENTS };
            stream.write_all(answer(life, last, end).as_bytes()).await?;
            // The events are read before the connection is found broken.
            sleep(Duration::from_millis(50)).await;
            if breaks {
                self.replace();
            } else {
                stream.write_all(b"data: [DONE]\n\n").await?;
            }
            return stream.shutdown().await;
        }
        Ok(())
    }
}

/// Reads a request; returns its head in lower case.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut request = Vec::new();
    loop {
        if stream.read_buf(&mut request).await? == 0 {
            return Ok(None);
        }
        let Some(end) = request.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&request[..end]).to_lowercase();
        let length = header(&head, "content-length").unwrap_or_default();
        while request.len() < end + 4 + length {
            if stream.read_buf(&mut request).await? == 0 {
                return Ok(None);
            }
        }
        return Ok(Some(head));
    }
}

fn header(head: &str, name: &str) -> Option<usize> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(found, _)| *found == name)?.1.trim().parse().ok()
}

fn last_event(head: &str) -> usize {
    header(head, "last-event-id").unwrap_or_default()
}

fn load(life: Life) -> String {
    let mut load = json!({ "slots": 8, "instance": life.instance });
    if let Some(software) = life.software {
        load["software"] = software.into();
    }
    let load = load.to_string();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{load}", load.len())
}

/// The events after `last` up to `end`.
fn answer(life: Life, last: usize, end: usize) -> String {
    let mut answer = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n".to_owned();
    for number in last + 1..=end {
        let data = json!({ "choices": [{ "index": 0, "delta": { "content": life.mark } }] });
        write!(answer, "id: {number}\ndata: {data}\n\n").expect("text grows");
    }
    answer
}

/// Sends a model call and returns the whole answer.
async fn ask(router: SocketAddr, stream: bool) -> String {
    let messages = json!([{ "role": "user", "content": "x" }]);
    let body = json!({ "model": "small", "stream": stream, "messages": messages }).to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer one-key\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    timeout(PATIENCE, exchange(router, &request)).await.expect("in time").expect("it answers")
}

/// Waits until the router has heard from an engine.
async fn wait_for_report(engine: &Engine) {
    let reported = async {
        while engine.reports.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        // The answer is on its way.
        sleep(Duration::from_millis(100)).await;
    };
    timeout(PATIENCE, reported).await.expect("the router asks for the load");
}

/// Runs a case; returns the text that the caller got.
async fn run(case: &Case) -> String {
    let store = kv::Server::start(kv::Options::default()).expect("the store starts");
    let lives: Vec<_> = case.before.into_iter().chain([case.begins, case.ends]).collect();
    let breaks_in = usize::from(case.before.is_some());
    let engine = Engine::start(lives, Some(breaks_in)).await;
    let other = Engine::start(vec![first(case.other)], None).await;
    let mut document = document(&[engine.address, other.address], &json!({}));
    document["endpoints"]["engine-2"]["leaving"] = true.into();
    document["fleet"]["load_spacing_ms"] = LOAD_SPACING_MS.into();
    let fleet = Fleet::start(1, &store, &document);
    let listen = fleet.routers[0].listen;
    expect_true!(ready(listen).await, "{}: it becomes ready", case.name);
    wait_for_report(&other).await;
    if case.before.is_some() {
        wait_for_report(&engine).await;
        let answer = ask(listen, true).await;
        expect_that!(answer, contains_substring("[DONE]"), "{}: call before", case.name);
        engine.replace();
    }
    ask(listen, case.stream).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_never_join_two_software_versions() {
    for case in &CASES {
        let answer = run(case).await;
        let marks = [case.begins.mark, case.ends.mark, "event: error", "\"unknown\""];
        let seen = marks.map(|mark| answer.contains(mark));
        let want = match case.want {
            Want::Joined => [true, true, false, false],
            Want::Broken => [true, false, true, true],
            Want::Afresh => [false, true, false, false],
        };
        expect_that!(seen, eq(want), "{}: whether there are {marks:?}", case.name);
    }
}
