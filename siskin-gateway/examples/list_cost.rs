//! Prints the time that a router takes to apply a changed list of endpoints, by the length of the list.
//!
//! Run with `cargo run --release -p siskin-gateway --example list_cost`.

use {
    hyper::{HeaderMap, http::request::Parts},
    siskin_dispatch::budget,
    siskin_gateway::{
        catalog::{Catalog, Limits, Service},
        directory::{Directory, Endpoint},
        gateway::{Gateway, Options, Parameters, Source},
        metrics::Metrics,
        protocol::{Answer, Head, Malformed, Outbound, Protocol},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SIZES: [u32; 4] = [100, 1_000, 3_000, 5_300];

/// Changes of one endpoint that are measured for each size.
const CHANGES: u32 = 10;

/// Protocol without headers: this example handles no requests.
#[derive(Debug)]
struct NoHeaders;

impl Protocol for NoHeaders {
    fn read(&self, _head: &Parts) -> Result<Head, Malformed> {
        Ok(Head::default())
    }

    fn write(&self, _headers: &mut HeaderMap, _outbound: &Outbound<'_>) {}

    fn answer<'a>(&self, _status: u16, _headers: &'a HeaderMap) -> Answer<'a> {
        Answer::default()
    }

    fn marks_response(&self, _name: &[u8]) -> bool {
        false
    }

    fn remove_router_headers(&self, _headers: &mut HeaderMap) {}
}

fn options() -> Options {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Options {
        listen: address,
        status: address,
        control: None,
        metrics: None,
        ready_path: "/ready".to_owned(),
        data_centre: "east".to_owned(),
        parameters: Parameters {
            retries: budget::Options {
                ratio: 0.2,
                allowance: 50.0,
                window: Duration::from_secs(10),
            },
            share_window: Duration::from_secs(4),
            descriptors: 1_024,
            memory_bytes: 256 << 20,
            apply_within: Duration::from_secs(2),
            recover_within: Duration::from_secs(3),
            cold_burst_factor: 1.0,
            cold_burst_requests: 0.0,
        },
        stop_timeout: Duration::from_secs(2),
        stop_notice: Duration::from_millis(50),
    }
}

fn catalog() -> Catalog {
    let second = Duration::from_secs(1);
    Catalog {
        version: 1,
        routes: Vec::new(),
        services: [(
            "app".to_owned(),
            Service { max_connections: 100, memory_tokens: None, warm_up: None },
        )]
        .into(),
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: second,
            idle_timeout: second,
            tokens_per_second: 1_000,
        },
        accounts: None,
    }
}

/// Makes a list of endpoints in which the first one is a new instance in each revision.
fn list(count: u32, revision: u64) -> Vec<Endpoint> {
    let endpoint = |index: u32| {
        let restart = if index == 0 { revision } else { 0 };
        let instance = format!("e{index}-{restart}");
        let [_, b, c, d] = index.to_be_bytes();
        Endpoint {
            id: Endpoint::number(&instance),
            instance,
            service: "app".to_owned(),
            address: SocketAddr::from(([10, b, c, d], 8_000)),
            data_centre: "east".to_owned(),
            slots: 4,
            leaving: false,
            expired: false,
            software: Some("1".into()),
        }
    };
    (0..count).map(endpoint).collect()
}

fn main() -> anyhow::Result<()> {
    println!("{:>9}  {:>12}", "endpoints", "ms a change");
    for count in SIZES {
        let gateway = Gateway::new(options(), Arc::new(NoHeaders), Metrics::new()?);
        gateway.set_catalog(catalog(), Source::Store);
        gateway.set_directory(Directory::new(1, list(count, 1)), Source::Store);
        let lists: Vec<Directory> = (2..2 + u64::from(CHANGES))
            .map(|revision| Directory::new(revision, list(count, revision)))
            .collect();
        let start = Instant::now();
        for directory in lists {
            gateway.set_directory(directory, Source::Store);
        }
        let ms_per_change = start.elapsed().as_secs_f64() * 1_000.0 / f64::from(CHANGES);
        println!("{count:>9}  {ms_per_change:>12.3}");
    }
    Ok(())
}
