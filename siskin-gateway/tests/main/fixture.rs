//! Gateways, configurations and endpoints that the tests share.

use {
    crate::endpoint::header_value,
    hyper::{HeaderMap, http::request::Parts},
    siskin_dispatch::{
        budget,
        limit::{Notice, Rate},
        prompt::Prompt,
        work::Load,
    },
    siskin_gateway::{
        catalog::{Catalog, Kind, Limits, Route, Service, Target},
        directory::{Directory, Endpoint},
        gateway::{Gateway, Options, Parameters, Server, Source},
        metrics::Metrics,
        protocol::{Answer, Continuation, Head, Malformed, Outbound, Protocol},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Protocol of the tests, with the headers `id`, `key`, `tokens`, `parts`, `last-event`, `origin`, `not-run`, `signed`, `leaving`,
/// `backoff-ms`, `limit` and `load`.
#[derive(Debug)]
pub(crate) struct TestProtocol;

/// What an endpoint says of its load with the header `load`, whatever its value.
const LOAD: Load = Load { running: 1, waiting: 0, slots: 4, percent: Some(250) };

/// Length of each part of a prompt in the header `parts`.
const PART_TOKENS: u32 = 10;

impl Protocol for TestProtocol {
    fn read(&self, head: &Parts) -> Result<Head, Malformed> {
        let text = |name: &str| {
            head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let missing = Malformed { header: "id", remedy: "send it" };
        let tokens = text("tokens").and_then(|tokens| tokens.parse().ok());
        let parts = text("parts").unwrap_or_default();
        let parts = parts.split(',').filter_map(|part| Some((part.parse().ok()?, PART_TOKENS)));
        let continuation = Continuation { last_event: text("last-event"), origin: text("origin") };
        Ok(Head {
            id: text("id").ok_or(missing)?,
            key: text("key"),
            prompt: Prompt::new("m", tokens.map(|tokens| (1, tokens)).into_iter().chain(parts)),
            continuation: (continuation != Continuation::default()).then_some(continuation),
            ..Head::default()
        })
    }

    fn write(&self, headers: &mut HeaderMap, outbound: &Outbound<'_>) {
        headers.remove("key");
        headers.insert("instance", outbound.instance.parse().unwrap());
        if let Some(last) = outbound.last_event {
            headers.insert("last-event", last.parse().unwrap());
        }
    }

    fn answer<'a>(&self, _status: u16, headers: &'a HeaderMap) -> Answer<'a> {
        Answer {
            id: headers.get("id").and_then(|id| id.to_str().ok()),
            not_run: headers.contains_key("not-run"),
            signed: headers.contains_key("signed"),
            leaving: headers.contains_key("leaving"),
            backoff: headers
                .get("backoff-ms")
                .and_then(|millis| millis.to_str().ok()?.parse().ok())
                .map(Duration::from_millis),
            limit: headers
                .get("limit")
                .and_then(|rate| Rate::from_per_second(rate.to_str().ok()?.parse().ok()?))
                .map_or(Notice::Unlimited, Notice::Limited),
            cold: headers
                .get("cold-ms")
                .and_then(|millis| millis.to_str().ok()?.parse().ok())
                .map(Duration::from_millis),
            load: headers.contains_key("load").then_some(LOAD),
        }
    }

    fn marks_response(&self, name: &[u8]) -> bool {
        name.eq_ignore_ascii_case(b"id") || name.eq_ignore_ascii_case(b"signed")
    }

    fn remove_router_headers(&self, headers: &mut HeaderMap) {
        headers.remove("leaving");
        headers.remove("backoff-ms");
        headers.remove("limit");
    }
}

/// A gateway without a configuration that listens on free ports.
pub(crate) fn gateway() -> Arc<Gateway> {
    gateway_at(SocketAddr::from(([127, 0, 0, 1], 0)))
}

/// A gateway without a configuration that listens at this address.
pub(crate) fn gateway_at(address: SocketAddr) -> Arc<Gateway> {
    gateway_with_options(options(address))
}

/// A gateway without a configuration and with this memory limit.
pub(crate) fn gateway_with_memory(bytes: usize) -> Arc<Gateway> {
    let mut options = options(SocketAddr::from(([127, 0, 0, 1], 0)));
    options.parameters.memory_bytes = bytes;
    gateway_with_options(options)
}

/// A gateway without a configuration and with these options.
pub(crate) fn gateway_with_options(options: Options) -> Arc<Gateway> {
    Gateway::new(options, Arc::new(TestProtocol), Metrics::new().unwrap())
}

/// Options for a gateway at this address.
pub(crate) fn options(address: SocketAddr) -> Options {
    Options {
        listen: address,
        status: address,
        control: Some(address),
        metrics: None,
        ready_path: "/ready".to_owned(),
        data_centre: "east".to_owned(),
        parameters: Parameters {
            retries: budget::Options {
                ratio: 0.2,
                allowance: 50.0,
                window: Duration::from_secs(10),
            },
            share_window: Duration::from_secs(4),
            descriptors: 1_024,
            memory_bytes: 256 << 20,
            apply_within: Duration::from_secs(2),
            recover_within: Duration::from_secs(3),
            cold_burst_factor: 1.0,
            cold_burst_requests: 0.0,
        },
        stop_timeout: Duration::from_secs(2),
        stop_notice: Duration::from_millis(50),
    }
}

/// Lets lookups of what other routers recorded succeed without any result.
pub(crate) fn serve_lookups(gateway: &Arc<Gateway>) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        loop {
            gateway.wait_for_origin_lookup().await;
            gateway.end_origin_lookup(true);
        }
    });
}

/// An endpoint of the service `app`.
pub(crate) fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        instance: name.to_owned(),
        id: Endpoint::number(name),
        service: "app".to_owned(),
        address,
        data_centre: "east".to_owned(),
        slots: 4,
        leaving: false,
        expired: false,
        software: Some("1".into()),
    }
}

/// A configuration with one route, `/app/`, of this kind.
pub(crate) fn catalog(kind: Kind) -> Catalog {
    Catalog {
        version: 1,
        routes: vec![Route {
            name: "app".to_owned(),
            host: "example".to_owned(),
            prefix: "/app/".to_owned(),
            kind,
            timeout: Duration::from_millis(600),
            aim: Duration::from_millis(300),
            event_gap_target: None,
            priority: 1,
            targets: vec![Target { service: "app".to_owned(), weight: 1 }],
            max_attempts: 2,
            public: true,
        }],
        services: [(
            "app".to_owned(),
            Service { max_connections: 100, memory_tokens: None, warm_up: None },
        )]
        .into(),
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_second: 1_000,
        },
        accounts: None,
    }
}

/// The response that a caller received.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the body was received completely.
    pub(crate) complete: bool,
}

/// A running gateway.
pub(crate) struct TestRouter {
    server: Server,
    address: SocketAddr,
}

impl TestRouter {
    /// Starts a gateway with a route of this kind and endpoints named `e0`, `e1` and so on.
    pub(crate) async fn start(kind: Kind, addresses: &[SocketAddr]) -> Self {
        Self::start_with(gateway(), kind, addresses).await
    }

    /// Starts this gateway with a route and endpoints.
    pub(crate) async fn start_with(
        gateway: Arc<Gateway>,
        kind: Kind,
        addresses: &[SocketAddr],
    ) -> Self {
        Self::start_configured(gateway, catalog(kind), addresses).await
    }

    /// Starts this gateway with a configuration and endpoints.
    pub(crate) async fn start_configured(
        gateway: Arc<Gateway>,
        catalog: Catalog,
        addresses: &[SocketAddr],
    ) -> Self {
        gateway.set_catalog(catalog, Source::Store);
        let endpoints = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| endpoint(&format!("e{index}"), *address))
            .collect();
        gateway.set_directory(Directory::new(1, endpoints), Source::Store);
        gateway.set_routers(1);
        Self::serve(gateway).await
    }

    /// Starts a gateway without a configuration.
    pub(crate) async fn start_without_configuration() -> Self {
        Self::serve(gateway()).await
    }

    /// Serves a gateway that is already configured.
    pub(crate) async fn serve(gateway: Arc<Gateway>) -> Self {
        let server = Server::start(gateway).await.unwrap();
        let address = server.address();
        Self { server, address }
    }

    /// Address for callers.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address at which other routers request the configuration.
    pub(crate) fn control(&self) -> SocketAddr {
        self.server.control().unwrap()
    }

    pub(crate) async fn stop(self) {
        self.server.stop().await;
    }

    /// Sends a request to the route with this identifier and further headers.
    pub(crate) async fn send_request(&self, id: &str, headers: &str) -> Reply {
        self.get("/app/x", &format!("id: {id}\r\n{headers}")).await
    }

    /// Sends a GET request on a new connection and reads until the gateway closes it or the response is complete.
    pub(crate) async fn get(&self, path: &str, headers: &str) -> Reply {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let request = format!("GET {path} HTTP/1.1\r\nhost: example\r\n{headers}\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        read_reply(&mut stream).await
    }
}

/// Reads until the gateway closes the connection or the response is complete.
pub(crate) async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(reply) = parse_response(&bytes, false) {
            return reply;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return parse_response(&bytes, true).expect("no response"),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Parses a response; `closed` says that no more bytes will arrive.
fn parse_response(bytes: &[u8], closed: bool) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let reply = |body: &str, complete| Reply {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
        complete,
    };
    if let Some(length) = header_value(head, "content-length").and_then(|text| text.parse().ok()) {
        let complete = rest.len() >= length;
        return (complete || closed).then(|| reply(rest, complete));
    }
    let (body, complete) = decode_chunked(rest);
    (complete || closed).then(|| reply(&body, complete))
}

/// Decodes a chunked body. Returns its content and whether the last chunk has arrived.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, more)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = more.get(..size) else { break };
        body.push_str(chunk);
        rest = more.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
