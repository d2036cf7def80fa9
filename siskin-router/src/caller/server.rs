//! Accepts callers' connections over HTTP/1.1 and HTTP/2.

use {
    super::service,
    crate::shared::Shared,
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch, time},
};

/// Longest time in which a caller has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Headers in a request.
const HEADERS_MAX: usize = 100;

/// Smallest buffer for the head of a request that hyper takes; smaller limits are checked when the head is read.
const BUFFER_BYTES_MIN: usize = 8 * 1024;

/// Streams on one HTTP/2 connection.
const STREAMS_MAX: u32 = 1_000;

/// Pause after a failure to accept, for example because too many files are open.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers until `stop` turns true, then finishes what is in flight for at most the stop timeout.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(HEADERS_MAX);
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
        // Streams are written in small parts that must not wait for each other.
        let _ = stream.set_nodelay(true);
        let service_shared = Arc::clone(&shared);
        let service = service_fn(move |request| {
            let shared = Arc::clone(&service_shared);
            async move { Ok::<_, Infallible>(service::handle(shared, request).await) }
        });
        let limit = shared.view().document().fleet.max_head_bytes;
        let buffer = usize::try_from(limit).unwrap_or(usize::MAX).max(BUFFER_BYTES_MIN);
        builder.http1().max_buf_size(buffer);
        builder.http2().max_header_list_size(u32::try_from(buffer).unwrap_or(u32::MAX));
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!("caller's connection ended: {error}");
            }
        });
    }
    drop(listener);
    if time::timeout(shared.settings.stop_timeout, graceful.shutdown()).await.is_err() {
        log::warn!("requests were still in flight when the stop timeout ended");
    }
}

async fn stopped(stop: &mut watch::Receiver<bool>) {
    // A closed channel means that the router is gone.
    let _ = stop.wait_for(|stop| *stop).await;
}
