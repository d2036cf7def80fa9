//! Router processes on loopback. Each is ended by the handle with which it was started.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    siskin_config::document::Hash,
    siskin_standin::{kv, loopback},
    std::{
        net::{SocketAddr, TcpListener},
        process::Stdio,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        process::{Child, Command},
        time,
    },
};

pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

pub(crate) fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskin-router"));
    command
        .args(arguments)
        .env_clear()
        .env("SISKIN_FLEET_KEY", "fleet-key-of-the-test")
        .env("SISKIN_HASH_KEY", "hash-key-of-the-test")
        .env("SISKIN_OPERATOR_TOKEN", "operator-token-of-the-test")
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// A port that nothing else uses, on an address of its own.
pub(crate) fn free() -> SocketAddr {
    let listener = TcpListener::bind((loopback::address(), 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let request = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
    exchange(address, &request).await
}

/// Sends a request on a connection of its own and returns the whole answer.
pub(crate) async fn exchange(address: SocketAddr, request: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Sends a signal with the shell's own `kill`.
pub(crate) async fn send_signal(router: &Child, signal: &str) {
    let process = router.id().expect("the router runs");
    let command = format!("kill -{signal} {process}");
    let sent = Command::new("/bin/sh").args(["-c", &command]).status().await;
    expect_true!(sent.is_ok_and(|status| status.success()));
}

/// Waits until a router takes requests.
pub(crate) async fn ready(listen: SocketAddr) -> bool {
    let ready = async {
        while !get(listen, "/readyz").await.is_ok_and(|answer| answer.contains("200 OK")) {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    time::timeout(PATIENCE, ready).await.is_ok()
}

/// Sends a model call and returns the whole answer.
pub(crate) async fn ask(router: SocketAddr, model: &str) -> std::io::Result<String> {
    let body = json!({
        "model": model, "max_tokens": 2, "messages": [{ "role": "user", "content": "x" }]
    })
    .to_string();
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nauthorization: Bearer one-key\r\n\
         x-siskin-timeout-ms: 15000\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(router, &request).await
}

/// A router process and its addresses.
pub(crate) struct Router {
    pub(crate) process: Child,
    pub(crate) listen: SocketAddr,
    pub(crate) operator: SocketAddr,
}

/// Router processes that share a store; dropping it kills them.
pub(crate) struct Fleet {
    /// By node number, from 1.
    pub(crate) routers: Vec<Router>,
    path: std::path::PathBuf,
}

impl Fleet {
    pub(crate) fn start(count: usize, store: &kv::Server, document: &Value) -> Self {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("siskin-fleet-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, document.to_string()).expect("the document is written");
        let nodes: Vec<_> = (0..count).map(|_| (free(), free(), free())).collect();
        let seeds: Vec<_> = nodes.iter().map(|(_, control, _)| control.to_string()).collect();
        let seeds = seeds.join(",");
        let routers = (1..).zip(nodes).map(|(number, (listen, control, operator))| {
            let settings = [
                ("--node", number.to_string()),
                ("--listen", listen.to_string()),
                ("--control", control.to_string()),
                ("--operator", operator.to_string()),
                ("--store", store.address().to_string()),
                ("--seeds", seeds.clone()),
                ("--bootstrap", path.display().to_string()),
                ("--log", "error".to_owned()),
            ];
            let arguments: Vec<_> =
                settings.iter().flat_map(|(flag, value)| [*flag, value.as_str()]).collect();
            let process = command(&arguments).spawn().expect("the program starts");
            Router { process, listen, operator }
        });
        Self { routers: routers.collect(), path }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A file that stays behind does no harm.
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A document for engines at these addresses that serve the model `small`, with changed fields of each engine.
pub(crate) fn document(engines: &[SocketAddr], change: &Value) -> Value {
    let endpoint = |(id, address): (u32, &SocketAddr)| {
        let mut value = json!({
            "id": id, "kind": "engine", "pool": "chat", "address": address,
            "data_centre": "loopback", "models": ["small"], "slots": 8
        });
        for (field, change) in change.as_object().into_iter().flatten() {
            value[field] = change.clone();
        }
        (format!("engine-{id}"), value)
    };
    let endpoints: serde_json::Map<_, _> = (1..).zip(engines).map(endpoint).collect();
    json!({
        "customers": { "one": {
            "id": 1, "max_in_flight": 8, "max_queue": 8, "key_hashes": [Hash::of(b"one-key")]
        } },
        "pools": { "chat": { "id": 1, "unit": "tokens", "max_request": 1000 } },
        "models": { "small": { "id": 1, "pool": "chat" } },
        "endpoints": endpoints,
        "fleet": { "load_spacing_ms": 100 }
    })
}
