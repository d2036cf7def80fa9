//! Listeners of a gateway: for callers, readiness checks, metrics and other routers.

use {
    super::{Gateway, INITIAL_LIMITS},
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
    siskin_net::{
        lock,
        server::{self, Placing},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, task::JoinHandle, time},
};

/// Part of the stop timeout that is reserved for ending the process after the last response.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

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
    /// Binds the addresses and starts serving.
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
        let drain_timeout = options.stop_timeout.saturating_sub(options.stop_notice + EXIT_RESERVE);
        let open = gateway.caller_connections.clone();
        let callers_stop = stopped.clone();
        let callers = tokio::spawn(async move {
            let handle = move |request| respond_to_caller(Arc::clone(&served), request);
            let placing = Arc::clone(&limits);
            let relaying = Arc::clone(&limits);
            let place = move |from| placing.place_connection(from);
            let terms = move |request: Request<()>| exchange::relay_terms(&relaying, request);
            server::run_with_placement(
                listener,
                move || limits.limits(),
                handle,
                callers_stop,
                drain_timeout,
                &open,
                Placing { place, terms },
            )
            .await
        });
        tokio::spawn(Arc::clone(&gateway).monitor_overload());
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

    /// Address for other routers that request the configuration.
    #[must_use]
    pub const fn control(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Fails readiness checks at once, asks callers to close their connections, accepts new ones for the notice period, and
    /// completes requests in flight within the stop timeout.
    pub async fn stop(self) {
        let in_flight = self.gateway.metrics.in_flight.get();
        log::info!(in_flight; "gateway stops: readiness checks fail, requests in flight are completed");
        let end =
            time::Instant::now() + self.gateway.options.stop_timeout.saturating_sub(EXIT_RESERVE);
        *lock(&self.gateway.stop_end) = Some(end);
        self.gateway.stopping.store(true, Ordering::Relaxed);
        time::sleep(self.gateway.options.stop_notice).await;
        self.stop.send_replace(true);
        let finished = self.callers.await.unwrap_or(false);
        for task in &self.status {
            task.abort();
        }
        log::info!(finished, in_flight = self.gateway.metrics.in_flight.get(); "gateway stopped");
    }
}

/// Serves readiness checks, metrics and the configuration snapshot.
fn serve_status(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> JoinHandle<bool> {
    let gateway = Arc::clone(gateway);
    let handle = move |request| {
        let response = status_response(&gateway, &request);
        async move { response }
    };
    tokio::spawn(async move {
        // These connections are few and do not count as connections from callers.
        let open = server::Open::default();
        server::run(listener, || INITIAL_LIMITS, handle, stop, Duration::ZERO, &open).await
    })
}

async fn bind(address: SocketAddr, purpose: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for {purpose}; choose a free address"))
}

async fn respond_to_caller(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let mut response = exchange::handle_request(&gateway, request).await;
    if gateway.should_close_connections() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn status_response(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        path if path == gateway.options.ready_path && gateway.ready() => {
            respond::text_response(StatusCode::OK, "ready")
        }
        path if path == gateway.options.ready_path => {
            respond::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        seed::SNAPSHOT_PATH => seed::snapshot_response(gateway, request.uri()),
        "/metrics" => Response::new(respond::full_body(gateway.metrics_page())),
        _ => respond::text_response(StatusCode::NOT_FOUND, "use the readiness path or /metrics"),
    }
}
