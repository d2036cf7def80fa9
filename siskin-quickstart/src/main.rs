//! The whole system in one process on loopback, for a small site and for newcomers.

mod check;
mod client;
mod site;

use {
    anyhow::Context,
    siskin_settings::{Program, Setting, Values, exit_usage, load_or_exit, logging},
    site::{CUSTOMER_KEY, Site},
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
    logging::start(values.required("log").unwrap_or_else(|error| exit_usage(PROGRAM, &error)));
    let site = Site::start(routers).await?;
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

fn print_addresses(site: &Site) {
    for router in &site.routers {
        println!(
            "router    http://{}  (operators http://{})",
            router.callers(),
            router.operators()
        );
    }
    for engine in &site.engines {
        println!("engine    http://{}", engine.address());
    }
    println!("bookings  http://{}", site.bookings.address());
    let router = site.routers[0].callers();
    println!("\nTry:");
    println!(
        "curl -i http://{router}/v1/chat/completions -H 'Authorization: Bearer {CUSTOMER_KEY}' \
         -d '{{\"model\": \"small\", \"messages\": [{{\"role\": \"user\", \"content\": \"Plan a gala.\"}}]}}'"
    );
    println!(
        "curl -iN http://{router}/v1/chat/completions -H 'Authorization: Bearer {CUSTOMER_KEY}' \
         -d '{{\"model\": \"small\", \"stream\": true, \"max_tokens\": 20, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Plan a gala.\"}}]}}'"
    );
    println!(
        "curl -i http://{router}/apps/bookings/crews/7 -H 'Authorization: Bearer {CUSTOMER_KEY}' \
         -H 'Idempotency-Key: crew-7' -d 'confirm'"
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
