//! The whole system in one process on loopback, for a small site and for newcomers.

mod check;

use {
    anyhow::Context,
    siskin_settings::{Program, Setting, Values, exit_usage, load_or_exit, logging},
    siskin_site::{OPERATOR_TOKEN, Options, Site, client::CHAT_PATH},
    std::process::ExitCode,
    tokio::signal::unix::{SignalKind, signal},
};

const PROGRAM: Program = Program {
    name: "siskin-quickstart",
    version: env!("CARGO_PKG_VERSION"),
    purpose: "Runs the whole system on loopback with stand-in endpoints.",
};

const TABLE: [Setting; 3] = [
    Setting::new(
        "check",
        "SISKIN_CHECK",
        None,
        "",
        "send one call of each kind, print what came back and exit with 0 if all outcomes were right",
    ),
    Setting::new("routers", "SISKIN_ROUTERS", Some("2"), "COUNT", "routers to run, 2 to 8"),
    Setting::new(
        "log",
        "SISKIN_LOG",
        Some("warn"),
        "FILTER",
        "log level: error, warn, info, debug, trace",
    ),
];

#[tokio::main]
async fn main() -> anyhow::Result<ExitCode> {
    let values = load_or_exit(PROGRAM, &TABLE);
    let (check, routers) = settings(&values).unwrap_or_else(|error| exit_usage(PROGRAM, &error));
    let level = values.required("log").unwrap_or_else(|error| exit_usage(PROGRAM, &error));
    logging::start(level, logging::Stream::Error);
    let site = Site::start(Options { routers, ..Options::default() }).await?;
    site.ready().await?;
    let code = if check {
        if check::run(&site).await? { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    } else {
        print_addresses(&site);
        wait_for_signal().await?;
        ExitCode::SUCCESS
    };
    site.stop().await;
    Ok(code)
}

fn settings(values: &Values) -> Result<(bool, u32), siskin_settings::Error> {
    Ok((values.switch("check")?, values.number("routers", 2..=8)?))
}

/// API key of the customer in the examples.
pub(crate) const CUSTOMER_KEY: &str = "agency-key";

fn print_addresses(site: &Site) {
    for router in site.running() {
        println!(
            "router    http://{}  (operators http://{})",
            router.callers(),
            router.operators()
        );
    }
    for engine in &site.engines {
        println!("engine    http://{}", engine.address());
    }
    for endpoint in site.applications.iter().flatten() {
        println!("endpoint  http://{}", endpoint.address());
    }
    println!("store     http://{}", site.store.address());
    let router = site.router(0).callers();
    let chat = format!("http://{router}{CHAT_PATH} -H 'Authorization: Bearer {CUSTOMER_KEY}'");
    println!("\nTry:");
    println!(
        "curl -i {chat} -d '{{\"model\": \"small\", \"max_tokens\": 20, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Plan a gala.\"}}]}}'"
    );
    println!(
        "curl -iN {chat} -d '{{\"model\": \"small\", \"stream\": true, \"max_tokens\": 20, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Plan a gala.\"}}]}}'"
    );
    println!(
        "curl -i http://{router}/apps/bookings/crews/7 -H 'Authorization: Bearer {CUSTOMER_KEY}' \
         -H 'Idempotency-Key: crew-7' -d 'confirm'"
    );
    println!(
        "SISKIN_OPERATOR_TOKEN={OPERATOR_TOKEN} cargo run --bin siskinctl -- --address {} status",
        site.router(0).operators()
    );
    println!("\nPress Ctrl-C to stop.");
}

async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result.context("SIGINT cannot be handled")?,
    }
    Ok(())
}
