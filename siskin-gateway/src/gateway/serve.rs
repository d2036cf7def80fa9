//! The sockets of a gateway: callers, readiness, metrics and other routers.

use {
    super::{Gateway, LIMITS_FIRST},
    crate::{
        exchange,
        respond::{self, Body},
        seed,
    },
    anyhow::Context,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
    },
    siskin_net::server,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle, time},
};

/// Time in which the rest of the process ends after the last answer, kept back from the grace of a stop.
const EXIT_TIME: Duration = Duration::from_millis(400);

/// A gateway that serves callers.
#[derive(Debug)]
pub struct Server {
    gateway: Arc<Gateway>,
    stop: watch::Sender<bool>,
    address: SocketAddr,
    control: Option<SocketAddr>,
    callers: JoinHandle<bool>,
    status: Vec<JoinHandle<bool>>,
}

impl Server {
    /// Binds the addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(gateway: Arc<Gateway>) -> anyhow::Result<Self> {
        let options = gateway.options.clone();
        let listener = bind(options.listen, "callers").await?;
        let address = listener.local_addr().context("caller address is not known")?;
        let status_listener = bind(options.status, "readiness").await?;
        let (stop, stopped) = watch::channel(false);
        let (limits, served) = (Arc::clone(&gateway), Arc::clone(&gateway));
        let finish = options.grace.saturating_sub(options.notice + EXIT_TIME);
        let open = gateway.open.clone();
        let callers_stop = stopped.clone();
        let callers = tokio::spawn(async move {
            let handle = move |request| answer(Arc::clone(&served), request);
            server::run(listener, move || limits.limits(), handle, callers_stop, finish, &open)
                .await
        });
        tokio::spawn(Arc::clone(&gateway).watch_strain());
        let mut status = vec![serve_status(&gateway, status_listener, stopped.clone())];
        let mut control = None;
        if let Some(address) = options.control {
            let listener = bind(address, "other routers").await?;
            control = listener.local_addr().ok();
            status.push(serve_status(&gateway, listener, stopped.clone()));
        }
        if let Some(address) = options.metrics {
            let listener = bind(address, "metrics").await?;
            status.push(serve_status(&gateway, listener, stopped));
        }
        Ok(Self { gateway, stop, address, control, callers, status })
    }

    /// Address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for other routers that ask for the configuration.
    #[must_use]
    pub const fn control(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Fails readiness at once, tells callers to close, accepts connections for the notice, and finishes what is in
    /// flight within the grace.
    pub async fn stop(self) {
        let in_flight = self.gateway.metrics.in_flight.get();
        log::info!(in_flight; "gateway stops: readiness fails, requests in flight are finished");
        self.gateway.stopping.store(true, Ordering::Relaxed);
        time::sleep(self.gateway.options.notice).await;
        let _ = self.stop.send(true);
        let finished = self.callers.await.unwrap_or(false);
        for task in &self.status {
            task.abort();
        }
        log::info!(finished, in_flight = self.gateway.metrics.in_flight.get(); "gateway stopped");
    }
}

/// Serves readiness and metrics.
fn serve_status(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> JoinHandle<bool> {
    let gateway = Arc::clone(gateway);
    let handle = move |request| {
        let response = status(&gateway, &request);
        async move { response }
    };
    tokio::spawn(async move {
        // These connections are few and are not counted.
        let open = server::Open::default();
        server::run(listener, || LIMITS_FIRST, handle, stop, Duration::ZERO, &open).await
    })
}

async fn bind(address: SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for {whom}; choose a free address"))
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let mut response = exchange::handle(&gateway, request).await;
    if gateway.sheds_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn status(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        path if path == gateway.options.ready_path && gateway.ready() => {
            respond::explained(StatusCode::OK, "ready")
        }
        path if path == gateway.options.ready_path => {
            respond::explained(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        seed::PATH => seed::answer(gateway),
        "/metrics" => Response::new(respond::full(gateway.metrics.page())),
        _ => respond::explained(StatusCode::NOT_FOUND, "use the readiness path or /metrics"),
    }
}
