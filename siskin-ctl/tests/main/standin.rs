//! A stand-in for the operators' interface, and a way to run the program against it.

use {
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response,
        body::{Bytes, Incoming},
        header::AUTHORIZATION,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::{Value, json},
    siskin_config::{
        document::{Document, validate},
        operator::{Config, Invalid, Patch},
        patch,
    },
    std::{
        collections::HashMap,
        io::Write,
        net::SocketAddr,
        process::{Command, Stdio},
        sync::{Arc, Mutex},
    },
};

pub(crate) const TOKEN: &str = "token-of-the-tests";

/// What the router holds.
#[derive(Default)]
pub(crate) struct State {
    pub(crate) version: u64,
    pub(crate) document: Document,
    pub(crate) accepted: HashMap<String, u64>,
    /// Answers to accepted patches that are still to be dropped.
    pub(crate) answers_to_drop: u32,
    pub(crate) patches_received: u32,
    pub(crate) lifted: Vec<String>,
}

/// A running stand-in.
pub(crate) struct Router {
    address: SocketAddr,
    pub(crate) state: Arc<Mutex<State>>,
    _runtime: tokio::runtime::Runtime,
}

/// What the program left behind.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Router {
    pub(crate) fn start(document: Document, version: u64) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(State { version, document, ..State::default() }));
        let shared = Arc::clone(&state);
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = Arc::clone(&shared);
                let service = service_fn(move |request| answer(Arc::clone(&shared), request));
                let connection = hyper::server::conn::http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, state, _runtime: runtime }
    }

    /// Runs the program with the token and the address of this router.
    pub(crate) fn run(&self, arguments: &[&str], input: &str) -> Outcome {
        let address = self.address.to_string();
        let variables =
            [("SISKIN_OPERATOR_ADDRESS", address.as_str()), ("SISKIN_OPERATOR_TOKEN", TOKEN)];
        run(&variables, arguments, input)
    }
}

/// Runs the program with these environment variables alone.
pub(crate) fn run(variables: &[(&str, &str)], arguments: &[&str], input: &str) -> Outcome {
    let mut child = Command::new(env!("CARGO_BIN_EXE_siskinctl"))
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program may have stopped before it reads its input.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let output = child.wait_with_output().unwrap();
    Outcome {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

type Answer = Result<Response<Full<Bytes>>, std::io::Error>;

#[allow(clippy::needless_pass_by_value, reason = "the service owns what it works on")]
async fn answer(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    let authorization = request.headers().get(AUTHORIZATION);
    if authorization.is_none_or(|value| value != &format!("Bearer {TOKEN}")) {
        return reply(401, &json!({ "error": "bad token" }));
    }
    let method = request.method().clone();
    let target = request.uri().to_string();
    let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
    let mut state = state.lock().unwrap();
    match (method, target.as_str()) {
        (Method::GET, "/v1/config") => {
            let config = Config { version: state.version, document: state.document.clone() };
            reply(200, &serde_json::to_value(config).unwrap())
        }
        (Method::POST, "/v1/config/patches") => submit(&mut state, &body),
        (Method::GET, "/v1/config/history?limit=2") => reply(
            200,
            &json!({ "version": 7, "entries": [{
                "version": 7, "patch": "p7", "author": "ann", "time_ms": 0,
                "changes": { "fleet": null }, "hash": "00".repeat(32)
            }] }),
        ),
        (Method::GET, "/v1/config/diff?from=3&to=5") => {
            reply(200, &json!({ "from": 3, "to": 5, "changes": { "models": { "small": null } } }))
        }
        (Method::GET, "/v1/endpoints") => reply(
            200,
            &json!({ "endpoints": [{
                "name": "e1", "kind": "engine", "pool": "chat", "address": "10.0.0.1:80",
                "data_centre": "a", "slots": 8, "in_flight": 0, "leaving": true, "empty": true
            }] }),
        ),
        (Method::GET, "/v1/suspects") => reply(
            200,
            &json!({ "suspects": [{
                "fingerprint": "ab12", "strikes": 2, "refused": true,
                "expires_in_ms": 540_000
            }] }),
        ),
        (Method::DELETE, target) => {
            state.lifted.push(target.to_owned());
            reply(200, &json!({}))
        }
        (Method::GET, "/v1/status") => reply(
            200,
            &json!({
                "node": 3, "incarnation": 9, "data_centre": "a", "version": 7,
                "confirmed_ms_ago": 120, "store_reachable": false, "visible": 2, "known": 6,
                "serving": false, "refusing": "isolated", "alarms": ["histories have diverged"]
            }),
        ),
        (_, target) => reply(404, &json!({ "error": format!("no such path {target}") })),
    }
}

fn submit(state: &mut State, body: &[u8]) -> Answer {
    state.patches_received += 1;
    let patch: Patch = serde_json::from_slice(body).unwrap();
    if let Some(version) = state.accepted.get(&patch.id) {
        return reply(200, &json!({ "version": version }));
    }
    if patch.base != state.version {
        let current = state.version;
        return reply(409, &json!({ "error": "stale", "current": current, "changes_since": [] }));
    }
    let mut document = state.document.clone();
    let applied = patch::apply(&mut document, &patch.changes).and_then(|_| validate(&document));
    if let Err(error) = applied {
        return reply(422, &serde_json::to_value(Invalid::from(&error)).unwrap());
    }
    state.document = document;
    state.version += 1;
    state.accepted.insert(patch.id, state.version);
    if state.answers_to_drop > 0 {
        state.answers_to_drop -= 1;
        return Err(std::io::Error::other("the answer is lost"));
    }
    reply(200, &json!({ "version": state.version }))
}

#[allow(clippy::unnecessary_wraps, reason = "a lost answer is an error of the service")]
fn reply(status: u16, body: &Value) -> Answer {
    let body = Full::new(Bytes::from(body.to_string()));
    Ok(Response::builder().status(status).body(body).unwrap())
}
