//! Requests that crash each endpoint that begins to respond to them, sent again and again to a fleet of gateways.

use {
    crate::{
        endpoint::{Endpoint, Step, header_value, read_head},
        fixture::{TestRouter, catalog, endpoint, gateway},
    },
    googletest::prelude::*,
    siskin_dispatch::spread::Router,
    siskin_gateway::{
        catalog::{Catalog, Kind},
        directory::Directory,
        gateway::{Gateway, Source},
        peers::{Listing, Peers},
    },
    siskin_net::control::{Control, Options},
    siskin_types::id::Node,
    siskin_wire::frame::Key,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

const ROUTERS: u32 = 3;
const ENDPOINTS: usize = 12;

/// Number of crashing requests that are sent; a sound one follows each of them.
const REQUESTS: u32 = 20;

/// Pause after each request, longer than the exchange between routers takes.
const PAUSE: Duration = Duration::from_millis(75);

/// Time for which a request is waiting at an endpoint before the response begins.
const PREFILL: Duration = Duration::from_millis(20);

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: a\r\ncontent-type: text/event-stream\r\n\
                        content-length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// An endpoint that ends for good when it begins to respond to a request with the header `crash`.
struct Crashable {
    address: SocketAddr,
    crashed: watch::Receiver<bool>,
}

impl Crashable {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (crash, crashed) = watch::channel(false);
        let mut ended = crashed.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let (stream, _) = accepted.unwrap();
                        tokio::spawn(serve_until_crash(stream, crash.clone()));
                    }
                    _ = ended.wait_for(|ended| *ended) => return,
                }
            }
        });
        Self { address, crashed }
    }

    fn crashed(&self) -> bool {
        *self.crashed.borrow()
    }
}

async fn serve_until_crash(stream: TcpStream, crash: watch::Sender<bool>) {
    let mut crashed = crash.subscribe();
    tokio::select! {
        () = serve(stream, crash) => {}
        _ = crashed.wait_for(|crashed| *crashed) => {}
    }
}

async fn serve(mut stream: TcpStream, crash: watch::Sender<bool>) {
    while let Some(head) = read_head(&mut stream).await {
        sleep(PREFILL).await;
        if header_value(&head, "crash").is_some() {
            crash.send_replace(true);
            return;
        }
        let id = header_value(&head, "id").unwrap_or_default();
        let _ = stream.write_all(RESPONSE.replace("{id}", id).as_bytes()).await;
    }
}

/// A gateway that exchanges load with the others of its fleet.
pub(crate) struct Member {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) router: TestRouter,
    pub(crate) peers: Arc<Peers>,
    pub(crate) listing: Listing,
}

impl Member {
    pub(crate) async fn start(index: u32, catalog: Catalog, directory: &Directory) -> Self {
        let gateway = gateway();
        gateway.set_catalog(catalog, Source::Store);
        gateway.set_directory(directory.clone(), Source::Store);
        gateway.set_routers(ROUTERS);
        let node = Node(index + 1);
        let options = Options {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            node,
            incarnation: 1,
            key: Key::derive(b"test"),
            next_key: None,
        };
        let (control, listener) =
            Control::bind(options, gateway.metrics.control.clone()).await.unwrap();
        let address = control.address().unwrap();
        let router = Router { node, data_centre: "east".to_owned(), millicores: 250 };
        Self {
            peers: Peers::start(Arc::clone(&gateway), node, control, listener),
            router: TestRouter::serve(Arc::clone(&gateway)).await,
            gateway,
            listing: Listing { router, address, callers: None, snapshots: None },
        }
    }
}

async fn start_fleet(endpoints: &[Crashable]) -> Vec<Member> {
    let listed = endpoints
        .iter()
        .enumerate()
        .map(|(index, one)| endpoint(&format!("e{index}"), one.address))
        .collect();
    let directory = Directory::new(1, listed);
    let mut members = Vec::new();
    for index in 0..ROUTERS {
        let streams = catalog(Kind::Stream { resumable: true });
        members.push(Member::start(index, streams, &directory).await);
    }
    let listings: Vec<Listing> = members.iter().map(|member| member.listing.clone()).collect();
    for member in &members {
        member.peers.list(&listings);
        member.gateway.set_routers(ROUTERS);
    }
    members
}

struct Case {
    name: &'static str,
    /// Path of the crashing request with this number.
    path: fn(u32) -> String,
    /// Parts of the prompts of crashing requests.
    parts: &'static str,
    /// Most endpoints that may crash.
    crashes_max: usize,
}

/// Sends crashing requests, each followed by a sound one that shares the first part of its prompt.
async fn play(case: &Case) {
    let mut endpoints = Vec::new();
    for _ in 0..ENDPOINTS {
        endpoints.push(Crashable::start().await);
    }
    let fleet = start_fleet(&endpoints).await;
    sleep(4 * PAUSE).await;
    let failures = Mutex::new(Vec::new());
    for index in 0..REQUESTS {
        let member = &fleet[index as usize % fleet.len()];
        let path = (case.path)(index);
        let headers = format!("id: c{index}\r\nparts: {},{index}\r\ncrash: 1\r\n", case.parts);
        member.router.get(&path, &headers).await;
        sleep(PAUSE).await;
        let headers = format!("id: s{index}\r\nparts: 1,2,{index}\r\n");
        let reply = member.router.get(&format!("/app/sound/{index}"), &headers).await;
        if reply.status != 200 || !reply.complete {
            failures.lock().unwrap().push((index, reply.status));
        }
        sleep(PAUSE).await;
    }
    let crashes = endpoints.iter().filter(|one| one.crashed()).count();
    expect_that!(crashes, le(case.crashes_max), "{}: endpoints crashed", case.name);
    expect_that!(failures.into_inner().unwrap(), is_empty(), "{}: sound requests", case.name);
    for member in fleet {
        member.router.stop().await;
    }
}

/// Guards against a request that is sent to one endpoint after the other and crashes all of them.
#[googletest::test]
#[tokio::test]
async fn a_request_that_comes_again_crashes_few_endpoints() {
    let path = |_| "/app/crashing".to_owned();
    play(&Case { name: "whole request", path, parts: "1,2", crashes_max: 3 }).await;
}

/// Guards against requests with a crashing part of a prompt, no two alike, that crash one endpoint after the other.
#[googletest::test]
#[tokio::test]
async fn a_part_of_prompts_crashes_few_endpoints() {
    let path = |index| format!("/app/crashing/{index}");
    play(&Case { name: "part of the prompt", path, parts: "1,9", crashes_max: 5 }).await;
}

/// Guards against taking an endpoint for crashed that only closes connections, and refusing the requests that waited there.
#[googletest::test]
#[tokio::test]
async fn requests_at_endpoints_that_close_connections_are_not_refused() {
    const COPIES: usize = 6;
    const ATTEMPTS: usize = 2;
    let endpoint = Endpoint::start(&[Step::Close]).await;
    let router = TestRouter::start(Kind::Idempotent, &[endpoint.address; 4]).await;
    for copy in 0..COPIES {
        let reply = router.send_request(&format!("c{copy}"), "parts: 1,2,3\r\n").await;
        expect_that!(reply.status, eq(502), "copy {copy}");
    }
    expect_that!(endpoint.received().len(), eq(COPIES * ATTEMPTS));
    router.stop().await;
}
