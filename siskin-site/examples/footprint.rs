//! Prints the memory and processor time of one router at several numbers of customers and of pools, idle, with
//! configuration changes, and with calls. Stand-ins run in the same process, so the processor figures are upper bounds.
//!
//! Run with `cargo run --release -p siskin-site --example footprint -- [CUSTOMERS]`. Reads `/proc`, so it needs Linux.

use {
    serde_json::{Map, Value, json},
    siskin_site::{
        Customer, Options, Site,
        client::{Call, Client},
        process::Usage,
    },
    std::time::{Duration, Instant},
    tokio::time,
};

/// Customers in all.
const SIZES: [u32; 4] = [16, 870, 4_350, 8_700];

/// Pools in all.
const POOLS: [u32; 3] = [1, 4, 16];

/// Customers in one patch, which keeps it below the limit of 128 KB.
const CUSTOMERS_PER_PATCH: u32 = 400;

/// Configuration changes that are timed.
const CHANGES: u32 = 50;

/// Calls that are timed.
const CALLS: u32 = 400;

/// Time over which an idle router is watched.
const IDLE: Duration = Duration::from_secs(5);

/// Bytes in a megabyte of the report.
const BYTES_PER_MB: f64 = 1_048_576.0;

fn main() -> anyhow::Result<()> {
    println!(
        "customers  pools  memory MB  idle % of a core  ms of processor per change  ms of processor per call"
    );
    let wanted = std::env::args().nth(1).map(|text| text.parse()).transpose()?;
    let sizes = wanted.map_or(SIZES.to_vec(), |customers| vec![customers]);
    if let Ok(filter) = std::env::var("SISKIN_LOG") {
        siskin_settings::logging::start(&filter, siskin_settings::logging::Stream::Error);
    }
    let cases = sizes.into_iter().flat_map(|size| POOLS.map(|pools| (size, pools)));
    for (customers, pools) in cases {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let figures = runtime.block_on(measure(customers, pools))?;
        println!(
            "{customers:9}  {pools:5}  {:9.1}  {:16.2}  {:26.2}  {:24.3}",
            figures.memory_mb, figures.idle_percent, figures.change_ms, figures.call_ms
        );
    }
    Ok(())
}

struct Figures {
    memory_mb: f64,
    idle_percent: f64,
    change_ms: f64,
    call_ms: f64,
}

async fn measure(customers: u32, pools: u32) -> anyhow::Result<Figures> {
    let options = Options { routers: 1, applications: Vec::new(), ..Options::default() };
    let site = Site::start(options).await?;
    site.ready().await?;
    let client = Client::new();
    let others = (2..=pools).map(|id| {
        (format!("pool-{id}"), json!({ "id": id, "unit": "tokens", "max_request": 8_000 }))
    });
    let others: Map<String, Value> = others.collect();
    let mut version = patch(&site, &client, 1, &json!({ "pools": others })).await?;
    for first in (0..customers).step_by(CUSTOMERS_PER_PATCH as usize) {
        let last = customers.min(first + CUSTOMERS_PER_PATCH);
        let section: Map<String, Value> = (first..last).map(customer).collect();
        version = patch(&site, &client, version, &json!({ "customers": section })).await?;
    }
    time::sleep(Duration::from_secs(1)).await;
    let before = processor_seconds()?;
    time::sleep(IDLE).await;
    let idle = processor_seconds()? - before;
    // Memory is far below the point where doubles lose whole bytes.
    #[allow(clippy::cast_precision_loss)]
    let memory_mb = usage()?.resident_bytes as f64 / BYTES_PER_MB;
    let before = processor_seconds()?;
    let started = Instant::now();
    for change in 0..CHANGES {
        let weight = json!({ "customers": { "extra-1": { "weight": change % 7 + 2 } } });
        version = patch(&site, &client, version, &weight).await?;
    }
    let idle_meanwhile = idle / IDLE.as_secs_f64() * started.elapsed().as_secs_f64();
    let change = (processor_seconds()? - before - idle_meanwhile) / f64::from(CHANGES);
    let before = processor_seconds()?;
    let started = Instant::now();
    let key = Customer::new("agency").key();
    let call = Call::chat(site.router(0).callers(), &key, "short", 2, false);
    for _ in 0..CALLS {
        client.send(&call).await?;
    }
    let idle_meanwhile = idle / IDLE.as_secs_f64() * started.elapsed().as_secs_f64();
    let per_call = (processor_seconds()? - before - idle_meanwhile) / f64::from(CALLS);
    site.stop().await;
    Ok(Figures {
        memory_mb,
        idle_percent: idle / IDLE.as_secs_f64() * 100.0,
        change_ms: change * 1_000.0,
        call_ms: per_call * 1_000.0,
    })
}

fn customer(number: u32) -> (String, Value) {
    let name = format!("extra-{number}");
    let customer = Customer { max_in_flight: 64, max_queue: 100, ..Customer::new(&name) };
    (name, customer.section(number + 1_000))
}

async fn patch(site: &Site, client: &Client, base: u64, changes: &Value) -> anyhow::Result<u64> {
    let id = format!("footprint-{base}");
    client.patch(&Call::patch(site.router(0).operators(), &id, base, changes)).await
}

/// What this process uses.
fn usage() -> std::io::Result<Usage> {
    Usage::of(std::process::id())
}

/// Processor time of this process so far.
fn processor_seconds() -> std::io::Result<f64> {
    Ok(usage()?.processor.as_secs_f64())
}
