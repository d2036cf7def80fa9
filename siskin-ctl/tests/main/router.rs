//! Runs the program against the routers of a site.

use {
    crate::standin::{Outcome, run},
    siskin_site::{OPERATOR_TOKEN, Options, Site},
    siskin_standin::kv,
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        thread,
    },
    tokio::runtime::Runtime,
};

/// A site that runs beside the test.
struct Running {
    site: Site,
    runtime: Runtime,
}

impl Running {
    fn start() -> Self {
        let runtime = Runtime::new().unwrap();
        let site = runtime.block_on(async {
            let site = Site::start(Options { routers: 3, ..Options::default() }).await.unwrap();
            site.ready().await.unwrap();
            site
        });
        Self { site, runtime }
    }

    fn run(&self, router: usize, arguments: &[&str], input: &str) -> Outcome {
        at(self.site.router(router).operators(), arguments, input)
    }

    fn stop(self) {
        self.runtime.block_on(self.site.stop());
    }
}

fn at(address: SocketAddr, arguments: &[&str], input: &str) -> Outcome {
    let address = address.to_string();
    let variables =
        [("SISKIN_OPERATOR_ADDRESS", address.as_str()), ("SISKIN_OPERATOR_TOKEN", OPERATOR_TOKEN)];
    run(&variables, arguments, input)
}

/// Passes connections on to a router and loses the answers of the first of them.
struct Proxy {
    address: SocketAddr,
    connections: Arc<AtomicU32>,
}

impl Proxy {
    fn start(router: SocketAddr, answers_to_drop: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicU32::new(0));
        let count = Arc::clone(&connections);
        thread::spawn(move || {
            for client in listener.incoming() {
                let dropped = count.fetch_add(1, Ordering::Relaxed) < answers_to_drop;
                let (client, router) = (client.unwrap(), TcpStream::connect(router).unwrap());
                thread::spawn(move || pass(&client, &router, dropped));
            }
        });
        Self { address, connections }
    }
}

fn pass(client: &TcpStream, router: &TcpStream, dropped: bool) {
    let (mut from, mut to) = (client.try_clone().unwrap(), router.try_clone().unwrap());
    thread::spawn(move || std::io::copy(&mut from, &mut to));
    let mut buffer = [0; 4_096];
    let (mut router, mut client) = (router, client);
    while let Ok(length @ 1..) = router.read(&mut buffer) {
        if dropped || client.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // Either end may be closed already.
    let _ = client.shutdown(Shutdown::Both);
    let _ = router.shutdown(Shutdown::Both);
}

const WEIGHT: &str = r#"{ "customers": { "planner": { "weight": 7 } } }"#;

struct Case {
    name: &'static str,
    arguments: &'static [&'static str],
    input: &'static str,
    code: i32,
    text: &'static str,
}

/// Guards against commands and routers that understand each other differently.
#[test]
fn commands() {
    let running = Running::start();
    let patch = |name, arguments, input, code, text| Case { name, arguments, input, code, text };
    let same = &["patch", "--patch-id", "a", "--base", "1"];
    let cases = [
        patch("show", &["show"], "", 0, "customers  2"),
        patch("submit", same, WEIGHT, 0, "accepted as version 2"),
        patch("same patch again", same, WEIGHT, 0, "accepted as version 2"),
        patch("reused identifier", same, r#"{ "fleet": null }"#, 1, "use a new identifier"),
        patch("stale", &["patch", "--base", "1"], WEIGHT, 3, "version 2 is in force"),
        patch("changes since", &["patch", "--base", "1"], WEIGHT, 3, "\"weight\":7"),
        patch("bad patch", &["patch"], r#"{ "users": {} }"#, 1, "users is"),
        patch("history", &["history"], "", 0, "bootstrap"),
        patch("diff", &["diff", "1", "2"], "", 0, "customers.planner.weight  7"),
        patch("diff of the future", &["diff", "1", "9"], "", 1, "versions 0 to 2 can be compared"),
        patch("show item", &["show", "customers", "planner"], "", 0, "weight"),
        patch("status", &["status"], "", 0, "version"),
    ];
    for Case { name, arguments, input, code, text } in cases {
        let outcome = running.run(0, arguments, input);
        assert_eq!(outcome.code, code, "{name}: {outcome:?}");
        let place = if code == 0 { &outcome.stdout } else { &outcome.stderr };
        assert!(place.contains(text), "{name}: {outcome:?} does not contain '{text}'");
    }
    running.stop();
}

/// Guards against a patch that is applied twice, or reported as failed, when its answer is lost.
#[test]
fn lost_answer() {
    let running = Running::start();
    let proxy = Proxy::start(running.site.router(0).operators(), 2);
    let outcome = at(proxy.address, &["patch", "--base", "1"], WEIGHT);
    assert_eq!(outcome.stdout, "accepted as version 2\n", "{outcome:?}");
    assert_eq!(proxy.connections.load(Ordering::Relaxed), 3);
    let status = running.run(1, &["history", "--format", "json"], "");
    assert_eq!(status.stdout.matches("\"weight\": 7").count(), 1, "{status:?}");

    let proxy = Proxy::start(running.site.router(0).operators(), u32::MAX);
    let outcome = at(proxy.address, &["patch", "--base", "2", "--patch-id", "b"], WEIGHT);
    assert_eq!(outcome.code, 1, "{outcome:?}");
    assert!(outcome.stderr.contains("--patch-id b --base 2"), "{outcome:?}");
    running.stop();
}

/// Guards against a definite refusal that is treated as a lost answer.
#[test]
fn store_outage() {
    let running = Running::start();
    let proxy = Proxy::start(running.site.router(0).operators(), 0);
    running.site.store.command(&kv::Command::Unavailable).unwrap();
    let outcome = at(proxy.address, &["patch", "--base", "1"], WEIGHT);
    assert_eq!(outcome.code, 1, "{outcome:?}");
    let text = "the patch was not applied: the store does not answer";
    assert!(outcome.stderr.contains(text), "{outcome:?}");
    assert_eq!(proxy.connections.load(Ordering::Relaxed), 1, "the patch was sent again");
    running.stop();
}
