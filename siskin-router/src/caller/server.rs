//! Accepts callers' connections over HTTP/1.1 and HTTP/2.

use {
    super::service,
    crate::shared::Shared,
    siskin_net::server::{self, Limits},
    std::{sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

/// Longest time in which a caller has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves callers until `stop` turns true, then finishes what is in flight for at most the stop timeout.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let limits = || Limits {
        head_timeout: HEAD_TIMEOUT,
        head_bytes: shared.view().document().fleet.max_head_bytes,
        user_timeout: None,
    };
    let served = Arc::clone(&shared);
    let handle = move |request| service::handle(Arc::clone(&served), request);
    let open = server::Open::default();
    server::run(listener, limits, handle, stop, shared.settings.stop_timeout, &open).await;
}
