//! HTTP server with graceful shutdown.

use {
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
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
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
const REQUEST_GRACE: Duration = Duration::from_millis(500);

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

/// Serves connections with `handle` until `stop` becomes true, then waits at most `finish` for requests in flight.
/// `limits` is called for each new connection, and `open` counts the open connections.
///
/// The shutdown drops no request: connections in the listen queue are accepted, and every connection may deliver the
/// request that is on its way. Responses ask for the connection to be closed meanwhile.
///
/// Returns whether all connections ended in time.
pub async fn run<H, F, B>(
    listener: TcpListener,
    limits: impl Fn() -> Limits,
    handle: H,
    mut stop: watch::Receiver<bool>,
    finish: Duration,
    open: &Open,
) -> bool
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
{
    // Each connection holds a sender, so the channel closes when the last one has ended.
    let (connection_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
    let stopping = stop.clone();
    let serve = |stream| {
        let connection = serve_connection(stream, limits(), handle.clone(), stopping.clone());
        let (counted, connection_guard) = (Counted::new(open), connection_guard.clone());
        tokio::spawn(async move {
            let _held = (counted, connection_guard);
            connection.await;
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
    let finished = time::timeout(finish, all_ended.recv()).await.is_ok();
    if !finished {
        log::warn!("requests were still in flight when the stop timeout ended");
    }
    finished
}

/// Accepts the next connection; `None` if `end` completes first.
async fn accept_connection(
    listener: &TcpListener,
    mut end: Pin<&mut impl Future<Output = ()>>,
) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = end.as_mut() => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(error) => {
                log::warn!("connection cannot be accepted: {error}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection until it ends or, after a stop, until its last request has been answered.
async fn serve_connection<H, F, B>(
    stream: TcpStream,
    limits: Limits,
    handle: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn error::Error + Send + Sync>>> + Send + 'static,
{
    set_socket_options(&stream, &limits);
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
    let builder = connection_builder(&limits);
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

fn connection_builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX).max(BUFFER_BYTES_MIN);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).max_headers(HEADERS_MAX);
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

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A closed channel means that the process is ending.
    let _ = stop.wait_for(|stop| *stop).await;
}
