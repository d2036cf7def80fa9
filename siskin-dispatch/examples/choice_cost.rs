//! Prints the time that a choice of an endpoint takes, with and without figures that endpoints send of their load.
//!
//! `cargo run --release --example choice_cost -- 330`

use {
    siskin_dispatch::{
        pool::{Demand, Info, Pool},
        prompt::Prompt,
        work::Load,
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::{hint::black_box, time::Duration},
};

/// Requests in flight at each endpoint.
const IN_FLIGHT: u64 = 4;

/// Choices that are timed.
const ROUNDS: u64 = 20_000;

fn request(number: u64) -> Demand {
    let subject = number % 40;
    let parts = [(1, 400), (100 + subject, 5_000), (number << 8, 6_600)];
    Demand {
        prompt: Prompt::new("m", parts),
        aim: Duration::from_millis(800),
        allowed: Duration::from_secs(15),
        patience: 1.0,
        own_weight: 1.0,
        number,
        ..Demand::default()
    }
}

fn main() {
    let endpoints = std::env::args().nth(1).and_then(|count| count.parse().ok()).unwrap_or(330);
    let now = Instant::from_micros(100_000_000);
    for has_figures in [false, true] {
        let mut pool = Pool::new();
        let info = |id| Info {
            id: Endpoint(id),
            slots: 32,
            memory_tokens: 700_000,
            same_data_centre: id % 3 == 0,
            leaving: false,
            drained: false,
            cold_for: Duration::ZERO,
        };
        let infos: Vec<Info> = (0..endpoints).map(info).collect();
        pool.set_endpoints(now, &infos);
        for id in 0..endpoints {
            if has_figures {
                let load = Load { running: 9, waiting: 0, slots: 32, percent: Some(120) };
                pool.record_load(now, Endpoint(id), load);
            }
            for number in 0..IN_FLIGHT {
                pool.sent(now, Endpoint(id), &request(u64::from(id) * IN_FLIGHT + number).prompt);
            }
        }
        pool.expire(now, |_| true);
        let requests: Vec<Demand> = (0..ROUNDS).map(request).collect();
        let start = std::time::Instant::now();
        for demand in &requests {
            black_box(pool.choose_endpoint(now, demand, &[])).ok();
        }
        let mean = start.elapsed() / u32::try_from(ROUNDS).unwrap_or(u32::MAX);
        println!("endpoints {endpoints}, figures {has_figures}: {mean:?} a choice");
    }
}
