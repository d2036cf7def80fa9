//! The operators' HTTP interface.

use {crate::shared::Shared, std::sync::Arc, tokio::net::TcpListener, warp::Filter};

/// Serves operators until the router ends.
pub(crate) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let health = warp::path!("healthz").map(|| "ok\n".to_owned());
    let metrics = {
        let shared = Arc::clone(&shared);
        warp::path!("metrics").map(move || shared.metrics_page())
    };
    let routes = warp::get().and(health.or(metrics).unify()).boxed();
    warp::serve(routes).incoming(listener).run().await;
}
