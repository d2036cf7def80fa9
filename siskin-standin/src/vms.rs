//! Stand-in for the platform's list of live and leaving VMs.
//!
//! `GET /vms` answers `{"vms": [{"address": "127.0.0.1:7000", "state": "live"}]}`. With
//! [`Options::control`], `POST /vms` with the same body replaces the list.
//!
//! ```
//! use siskin_standin::vms::{Options, Server, State, Vm};
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let server = Server::start(Options::default()).unwrap();
//! server.set(vec![Vm { address: "127.0.0.1:7000".to_owned(), state: State::Live }]);
//! server.stop();
//! # });
//! ```

use {
    crate::{
        Error,
        body::{self, Body},
        load::Lagged,
        loopback,
        server::Listener,
    },
    http_body_util::BodyExt,
    hyper::{Method, Request, Response, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How the list behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Address to listen on.
    pub address: SocketAddr,
    /// How far the list lags behind.
    pub lag: Duration,
    /// Whether `POST /vms` is served.
    pub control: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((loopback::address(), 0)),
            lag: Duration::from_secs(1),
            control: false,
        }
    }
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the router or endpoint on the VM. It has a port because all VMs of a test share an
    /// IP address.
    pub address: String,
    /// What the platform says about it.
    pub state: State,
}

/// State of a VM. A VM that is gone is not in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Live,
    /// It will be taken away.
    Leaving,
}

/// Body of `GET /vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// All VMs.
    pub vms: Vec<Vm>,
}

/// A running list; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    list: Arc<Lagged<List>>,
}

impl Server {
    /// Starts the list, empty. Must be called within a `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(options: Options) -> Result<Self, Error> {
        let (listener, bound) = Listener::bind(options.address)?;
        let list = Arc::new(Lagged::new(options.lag, List::default()));
        let served = Arc::clone(&list);
        bound.serve(move |request| handle(Arc::clone(&served), options.control, request));
        Ok(Self { listener, list })
    }

    /// The address it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces the list; callers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.list.change(|list| list.vms = vms);
    }

    /// Drops all connections and refuses new ones for `pause`.
    pub fn down(&self, pause: Duration) {
        self.listener.restart(pause);
    }

    /// Stops it and drops all connections.
    pub fn stop(&self) {
        self.listener.stop();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn handle(
    list: Arc<Lagged<List>>,
    control: bool,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, incoming) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (&Method::GET, "/vms") => body::json(StatusCode::OK, &list.reported()),
        (&Method::POST, "/vms") if control => replace(&list, incoming).await,
        _ => body::error(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn replace(list: &Lagged<List>, incoming: Incoming) -> Response<Body> {
    let Ok(collected) = incoming.collect().await else {
        return body::error(StatusCode::BAD_REQUEST, "the request body ended early");
    };
    match serde_json::from_slice(&collected.to_bytes()) {
        Ok(new) => {
            list.change(|list| *list = new);
            body::json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(error) => body::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
