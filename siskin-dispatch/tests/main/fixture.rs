//! Endpoints and requests that the tests share.

use {
    siskin_dispatch::{
        cost::Request,
        pool::{Demand, Info, Pool},
        prompt::Prompt,
        share::{Ledger, Usage},
    },
    siskin_types::{
        id::{Customer, Endpoint},
        time::Instant,
    },
    std::time::Duration,
};

/// A time well after the start.
pub(crate) const NOW: Instant = Instant::from_micros(100_000_000);

/// A ledger with a full window of four seconds of history, in which no customer asked for anything.
pub(crate) fn ledger(capacity: f64) -> Ledger {
    let window = Duration::from_secs(4);
    let mut ledger = Ledger::new(window, capacity);
    ledger.add(NOW.saturating_sub(window), Customer(0), Usage::default());
    ledger
}

/// Engines with 64 slots and memory for 700,000 tokens, numbered from 1.
pub(crate) fn engines(count: u32) -> Pool {
    let mut pool = Pool::new();
    pool.set_endpoints(NOW, &infos(count));
    pool
}

/// The directory entries of such engines.
pub(crate) fn infos(count: u32) -> Vec<Info> {
    let info = |id| Info {
        id: Endpoint(id),
        slots: 64,
        memory_tokens: 700_000,
        same_data_centre: true,
        leaving: false,
        drained: false,
        cold_for: Duration::ZERO,
    };
    (1..=count).map(info).collect()
}

/// A request whose prompt has 5,000 shared tokens for a subject and `own` tokens of its own, with a target latency of
/// 800 ms.
pub(crate) fn demand(subject: u64, own: u32) -> Demand {
    Demand {
        prompt: Prompt::new("m", [(1, 500), (1_000 + subject, 4_500), (u64::from(own) << 32, own)]),
        aim: Duration::from_millis(800),
        allowed: Duration::from_secs(15),
        patience: 0.7,
        own_weight: 1.0,
        isolation: None,
        cost: Request::default(),
        number: 0,
    }
}
