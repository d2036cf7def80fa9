//! HTTP server with graceful shutdown.

use {
    crate::relay::{self, Kind, Opening, Stop, Terms},
    bytes::{Bytes, BytesMut},
    hyper::{
        Request, Response, Version,
        body::{Body, Incoming},
        header::{CONNECTION, HeaderValue},
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto,
    },
    socket2::SockRef,
    std::{
        convert::Infallible,
        error,
        io::{self, Cursor},
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite},
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        time,
    },
};

/// Most headers in a request.
const HEADERS_MAX: usize = 100;

/// Smallest buffer for the head of a request that hyper accepts; smaller limits are checked when the head is read.
const BUFFER_BYTES_MIN: usize = 8 * 1024;

/// Most concurrent streams on one HTTP/2 connection.
const STREAMS_MAX: u32 = 1_000;

/// Pause after a failure to accept, for example because too many file descriptors are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time after the stop signal during which connections in the listen queue are still accepted.
const ACCEPT_GRACE: Duration = Duration::from_millis(20);

/// Time after the stop signal during which an idle connection may still deliver a request that is already on its way.
pub(crate) const REQUEST_GRACE: Duration = Duration::from_millis(500);

/// Part of the time for requests in flight that is left for the answers to those which this router cannot see through.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Timeout for receiving the head of a request; also the idle timeout.
    pub head_timeout: Duration,
    /// Largest head of a request in bytes.
    pub head_bytes: u64,
    /// Longest time that sent data may stay unacknowledged before the kernel closes the connection (`TCP_USER_TIMEOUT`).
    pub user_timeout: Option<Duration>,
}

/// What happens with a connection when its first bytes arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It is served here.
    Here,
    /// Its first request is served here, and it is closed after the response: another router relays it, and a connection that
    /// stays open takes file descriptors there.
    Once,
    /// Its first request is relayed to the router at this address. It is served here if that cannot be reached, if the head does not
    /// state where the request ends, or if this router stops before anything was passed on.
    Relay(SocketAddr),
    /// The same, but only if this router, which is about to stop, is there until the request has to be answered.
    RelayInTime(SocketAddr),
}

/// Where connections are served.
#[derive(Clone, Debug)]
pub struct Placing<P, T> {
    /// Decides on each connection by the address that it comes from.
    pub place: P,
    /// What is known of a request by its head; `None` if it would be rejected.
    pub terms: T,
}

/// Serves connections with `handle` until `stop` becomes true, then waits at most `finish` for requests in flight.
/// `limits` is called for each new connection, and `open` counts the open connections.
///
/// Returns whether all connections ended in time.
pub async fn run<H, F, B>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    handle: H,
    stop: watch::Receiver<bool>,
    finish: Duration,
    open: &Open,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
{
    let placing = Placing { place: |_| Placement::Here, terms: |_: Request<()>| None };
    run_with_placement(listener, limits, handle, stop, finish, open, placing).await
}

/// Serves connections like [`run`], or relays them.
///
/// The shutdown drops no request: connections in the listen queue are accepted, and every connection may deliver the
/// request that is on its way. Responses ask for the connection to be closed meanwhile. Connections of which nothing was relayed
/// are served here from the stop signal on.
///
/// Returns whether all connections ended in time.
pub async fn run_with_placement<H, F, B, P, T>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    handle: H,
    mut stop: watch::Receiver<bool>,
    finish: Duration,
    open: &Open,
    placing: Placing<P, T>,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
    P: Fn(SocketAddr) -> Placement + Clone + Send + 'static,
    T: Fn(Request<()>) -> Option<Terms> + Clone + Send + Sync + 'static,
{
    // Each connection holds a sender, so the channel closes when the last one has ended.
    let (connection_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
    let (end, ending) = watch::channel(false);
    let stopping = stop.clone();
    let serve = |(stream, from): (TcpStream, SocketAddr)| {
        let connection = Connection {
            limits: limits(),
            handle: handle.clone(),
            terms: placing.terms.clone(),
            stop: stopping.clone(),
            relay_stop: Stop::new(stopping.clone(), ending.clone()),
            open: open.clone(),
        };
        let (place, connection_guard) = (placing.place.clone(), connection_guard.clone());
        tokio::spawn(async move {
            let _held = (Counted::new(&connection.open), connection_guard);
            connection.run(stream, move || place(from)).await;
        });
    };
    let mut stopped = pin!(wait_for_stop(&mut stop));
    while let Some(stream) = accept_connection(&listener, stopped.as_mut()).await {
        serve(stream);
    }
    let mut grace_end = pin!(time::sleep(ACCEPT_GRACE));
    while let Some(stream) = accept_connection(&listener, grace_end.as_mut()).await {
        serve(stream);
    }
    drop((listener, connection_guard));
    let regular_time = finish.saturating_sub(LAST_ANSWERS_TIME);
    let finished = time::timeout(regular_time, all_ended.recv()).await.is_ok();
    if !finished {
        log::warn!("requests were still in flight when the stop timeout ended");
        end.send_replace(true);
        // Served requests may last longer than relayed ones; both were reported.
        let _ = time::timeout(finish.saturating_sub(regular_time), all_ended.recv()).await;
    }
    finished
}

/// What a connection needs while it is served or relayed.
struct Connection<H, T> {
    limits: Limits,
    handle: H,
    terms: T,
    stop: watch::Receiver<bool>,
    relay_stop: Stop,
    open: Open,
}

impl<H, F, B, T> Connection<H, T>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
    T: Fn(Request<()>) -> Option<Terms> + Send + Sync + 'static,
{
    /// Serves or relays a connection, as `place` decides when its first bytes arrive.
    async fn run(mut self, stream: TcpStream, place: impl FnOnce() -> Placement) {
        let keep_alive = match self.wait_for_bytes(&stream).await {
            Wait::Bytes => match place() {
                Placement::Here => true,
                Placement::Once => false,
                Placement::Relay(target) => return self.relay(stream, target, false).await,
                Placement::RelayInTime(target) => return self.relay(stream, target, true).await,
            },
            Wait::Stopping => true,
            Wait::Idle => return log::debug!("client's connection was idle for too long"),
        };
        set_socket_options(&stream, &self.limits);
        self.serve(stream, keep_alive).await;
    }

    async fn wait_for_bytes(&mut self, stream: &TcpStream) -> Wait {
        tokio::select! {
            biased;
            () = self.relay_stop.wait_for_signal() => Wait::Stopping,
            readable = time::timeout(self.limits.head_timeout, stream.readable()) => match readable {
                // An error is reported again by the first read.
                Ok(_) => Wait::Bytes,
                Err(_) => Wait::Idle,
            },
        }
    }

    async fn serve<S>(self, stream: S, keep_alive: bool)
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        serve_connection(stream, self.limits, self.handle, self.stop, keep_alive).await;
    }

    /// Relays the first request, or serves the connection here if nothing can be passed on. With `in_time`, a request is relayed only
    /// if its terms allow.
    async fn relay(mut self, mut stream: TcpStream, target: SocketAddr, in_time: bool) {
        let mut opening = Opening::default();
        let kind = match self.read_opening(&mut stream, &mut opening).await {
            Some(Kind::Closed) => return,
            kind => kind,
        };
        let bytes = opening.into_bytes();
        let Some(Kind::Request { head_bytes, body_bytes }) = kind else {
            return self.serve_again(stream, bytes).await;
        };
        let arrived = time::Instant::now();
        let request = relay::Request { bytes, head_bytes, body_bytes, arrived };
        let fits = |terms: Terms| terms.in_time;
        if in_time && !request.terms(&self.terms).is_some_and(fits) {
            return self.serve_again(stream, request.bytes).await;
        }
        let Some(router) = self.connect(target).await else {
            return self.serve_again(stream, request.bytes).await;
        };
        // The connection to the other router takes a file descriptor too.
        let _second = Counted::new(&self.open);
        let outcome = relay::run(stream, router, &request, &self.terms, self.relay_stop).await;
        log_relayed(target, outcome, || request.terms(&self.terms).map(|terms| terms.id));
    }

    /// Reads the head of the first request; `None` if this router stops before it is complete.
    async fn read_opening(
        &mut self,
        stream: &mut TcpStream,
        opening: &mut Opening,
    ) -> Option<Kind> {
        let head_bytes = usize::try_from(self.limits.head_bytes).unwrap_or(usize::MAX);
        tokio::select! {
            biased;
            () = self.relay_stop.wait_for_signal() => None,
            read = time::timeout(self.limits.head_timeout, opening.read(stream, head_bytes)) => match read {
                Ok(Ok(kind)) => Some(kind),
                Ok(Err(_)) | Err(_) => Some(Kind::Closed),
            },
        }
    }

    /// Connects to the other router; `None` if that fails or this router stops first.
    async fn connect(&mut self, target: SocketAddr) -> Option<TcpStream> {
        let connected = tokio::select! {
            biased;
            () = self.relay_stop.wait_for_signal() => return None,
            connected = relay::connect(target) => connected,
        };
        connected
            .inspect_err(|error| {
                log::info!(router:% = target; "connection cannot be relayed and is served here: {error}");
            })
            .ok()
    }

    /// Serves a connection of which some bytes were read.
    async fn serve_again(self, stream: TcpStream, bytes: BytesMut) {
        set_socket_options(&stream, &self.limits);
        self.serve(unread(stream, bytes.freeze()), true).await;
    }
}

/// What ended the wait for the first bytes of a connection.
enum Wait {
    Bytes,
    /// This router stops.
    Stopping,
    /// The idle timeout.
    Idle,
}

/// A connection whose first bytes, already read, are read again.
fn unread(stream: TcpStream, bytes: Bytes) -> impl AsyncRead + AsyncWrite + Send + Unpin + 'static {
    let (reader, writer) = stream.into_split();
    tokio::io::join(Cursor::new(bytes).chain(reader), writer)
}

fn log_relayed(
    target: SocketAddr,
    result: io::Result<relay::Outcome>,
    id: impl Fn() -> Option<String>,
) {
    match result {
        Ok(outcome @ (relay::Outcome::Closed | relay::Outcome::Abandoned)) => {
            log::debug!(router:% = target; "relayed connection ended: {outcome:?}");
        }
        Ok(outcome) => {
            log::warn!(
                request:% = id().unwrap_or_default(), router:% = target, outcome:? = outcome;
                "relayed request was answered here, without the other router"
            );
        }
        Err(error) => {
            log::debug!(router:% = target; "relayed connection broke: {error}");
        }
    }
}

/// Accepts the next connection; `None` if `end` completes first.
async fn accept_connection(
    listener: &TcpListener,
    mut end: Pin<&mut impl Future<Output = ()>>,
) -> Option<(TcpStream, SocketAddr)> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = end.as_mut() => return None,
        };
        match accepted {
            Ok(accepted) => return Some(accepted),
            Err(error) => {
                log::warn!("connection cannot be accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends or, after a stop, until its last request has been answered.
async fn serve_connection<S, H, F, B>(
    stream: S,
    limits: Limits,
    handle: H,
    mut stop: watch::Receiver<bool>,
    keep_alive: bool,
) where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
{
    let stopping = stop.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let version = request.version();
        let response = handle(request);
        let stopping = stopping.clone();
        async move {
            let mut response = response.await;
            if *stopping.borrow() && version < Version::HTTP_2 {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let builder = connection_builder(&limits, keep_alive);
    let served = builder.serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    let running = tokio::select! {
        ended = served.as_mut() => Err(ended),
        () = wait_for_stop(&mut stop) => Ok(()),
    };
    let ended = match running {
        Err(ended) => ended,
        Ok(()) => {
            if let Ok(ended) = time::timeout(REQUEST_GRACE, served.as_mut()).await {
                ended
            } else {
                served.as_mut().graceful_shutdown();
                served.await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("client's connection ended: {error}");
    }
}

fn connection_builder(limits: &Limits, keep_alive: bool) -> auto::Builder<TokioExecutor> {
    let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX).max(BUFFER_BYTES_MIN);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).max_headers(HEADERS_MAX).keep_alive(keep_alive);
    builder.http1().max_buf_size(buffer).header_read_timeout(limits.head_timeout);
    builder.http2().timer(TokioTimer::new()).max_concurrent_streams(STREAMS_MAX);
    builder.http2().max_header_list_size(u32::try_from(buffer).unwrap_or(u32::MAX));
    builder
}

/// Shared counter of open connections.
#[derive(Clone, Debug, Default)]
pub struct Open(Arc<AtomicUsize>);

impl Open {
    /// The number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a connection until it is dropped.
struct Counted(Open);

impl Counted {
    fn new(open: &Open) -> Self {
        open.0.fetch_add(1, Ordering::Relaxed);
        Self(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Sets the socket options. A failure is only logged, because the connection works without them.
fn set_socket_options(stream: &TcpStream, limits: &Limits) {
    // Streamed responses are written in small parts, which Nagle's algorithm must not delay.
    let result = stream.set_nodelay(true).and_then(|()| match limits.user_timeout {
        Some(timeout) => SockRef::from(stream).set_tcp_user_timeout(Some(timeout)),
        None => Ok(()),
    });
    if let Err(error) = result {
        log::debug!("options of a client's connection cannot be set: {error}");
    }
}

pub(crate) async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A closed channel means that the process is ending.
    let _ = stop.wait_for(|stop| *stop).await;
}
