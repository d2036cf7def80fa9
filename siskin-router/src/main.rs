//! The router process.

use {
    anyhow::Context,
    siskin_router::{
        router::Router,
        settings::{Settings, TABLE},
    },
    siskin_settings::{Program, exit_usage, load_or_exit, logging},
    tokio::signal::unix::{SignalKind, signal},
};

const PROGRAM: Program = Program {
    name: "siskin-router",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "Routes callers' requests to endpoints and shares capacity fairly among customers.",
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let values = load_or_exit(PROGRAM, &TABLE);
    let settings =
        Settings::from_values(&values).unwrap_or_else(|error| exit_usage(PROGRAM, &error));
    logging::start(&settings.log, logging::Stream::Output);
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT cannot be handled")?;
    let router = Router::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => log::info!("SIGTERM received"),
        _ = interrupt.recv() => log::info!("SIGINT received"),
    }
    router.stop().await;
    Ok(())
}
