//! Accepts connections, serves requests on them, and stops in order.

use {
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    socket2::SockRef,
    std::{
        convert::Infallible,
        error,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time,
    },
};

/// Headers in a request.
const HEADERS_MAX: usize = 100;

/// Smallest buffer for the head of a request that hyper takes; smaller limits are checked when the head is read.
const BUFFER_BYTES_MIN: usize = 8 * 1024;

/// Streams on one HTTP/2 connection.
const STREAMS_MAX: u32 = 1_000;

/// Pause after a failure to accept, for example because too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time in which a client has to send the head of a request; also the longest idle time.
    pub head_timeout: Duration,
    /// Largest head of a request in bytes.
    pub head_bytes: u64,
    /// Longest time that an answer may stay unacknowledged before the kernel closes the connection.
    pub user_timeout: Option<Duration>,
}

/// Serves connections with `handle` until `stop` turns true, then finishes what is in flight for at most `finish`.
/// `limits` is asked for each new connection, and `open` counts the connections.
///
/// Tells whether everything in flight ended in time.
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
    let graceful = GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).max_headers(HEADERS_MAX);
    builder.http2().timer(TokioTimer::new()).max_concurrent_streams(STREAMS_MAX);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("connection cannot be accepted: {error}");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = stopped(&mut stop) => break,
        };
        let limits = limits();
        tune(&stream, &limits);
        let handle = handle.clone();
        let service = service_fn(move |request| {
            let answer = handle(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let buffer = usize::try_from(limits.head_bytes).unwrap_or(usize::MAX).max(BUFFER_BYTES_MIN);
        builder.http1().max_buf_size(buffer).header_read_timeout(limits.head_timeout);
        builder.http2().max_header_list_size(u32::try_from(buffer).unwrap_or(u32::MAX));
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(connection);
        let counted = Counted::new(open);
        tokio::spawn(async move {
            let _counted = counted;
            if let Err(error) = watched.await {
                log::debug!("client's connection ended: {error}");
            }
        });
    }
    drop(listener);
    let finished = time::timeout(finish, graceful.shutdown()).await.is_ok();
    if !finished {
        log::warn!("requests were still in flight when the stop timeout ended");
    }
    finished
}

/// The number of open connections.
#[derive(Clone, Debug, Default)]
pub struct Open(Arc<AtomicUsize>);

impl Open {
    /// Connections that are open now.
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

/// Sets the socket's options. A connection whose options cannot be set still works.
fn tune(stream: &TcpStream, limits: &Limits) {
    // Streams are written in small parts that must not wait for each other.
    let tuned = stream.set_nodelay(true).and_then(|()| match limits.user_timeout {
        Some(timeout) => SockRef::from(stream).set_tcp_user_timeout(Some(timeout)),
        None => Ok(()),
    });
    if let Err(error) = tuned {
        log::debug!("options of a client's connection cannot be set: {error}");
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A closed channel means that the process is ending.
    let _ = stop.wait_for(|stop| *stop).await;
}
