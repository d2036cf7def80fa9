//! Measures the size of the configuration, and the time of operations on it, for four fleet sizes. Run it
//! in release mode:
//!
//! ```text
//! cargo run --release -p siskin-config --example document_size
//! ```

use {
    serde_json::{Value, json},
    siskin_config::{
        document::{Document, Hash, validate},
        entry::Entry,
        follower::{Action, Follower, Options},
        index::Index,
        patch::{self, Patch},
        snapshot::{HEAD_KEY, Head, MAX_SHARD_BYTES, Snapshot},
        store::{Answer, Pair, Request},
    },
    siskin_types::time::Instant,
    std::{collections::BTreeMap, error::Error, sync::Arc, time::Duration},
};

/// Numbers of customers and endpoints: a site today, a tenth of the target, the target in two years and
/// twice the target.
const SIZES: [(u32, u32); 4] = [(16, 16), (870, 530), (8_700, 5_300), (17_400, 10_600)];

/// Number of runs of which the median is printed.
const RUNS: usize = 41;

/// Number of copies over which memory is averaged, because the system counts it in pages.
const COPIES: usize = 16;

/// Number of indexes that fill previously freed memory before the measurement.
const INDEX_FILL: usize = 160;

fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "{:>9} {:>9} {:>9} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "customers",
        "endpoints",
        "document",
        "entry",
        "apply",
        "entry in",
        "validate",
        "index new",
        "index mem",
        "doc. mem"
    );
    println!(
        "{:>9} {:>9} {:>9} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "", "", "bytes", "bytes", "us", "force us", "us", "us", "KB", "KB"
    );
    for (customers, endpoints) in SIZES {
        measure_and_print(customers, endpoints)?;
    }
    Ok(())
}

fn measure_and_print(customers: u32, endpoints: u32) -> Result<(), Box<dyn Error>> {
    let document = build_document(customers, endpoints)?;
    let text = serde_json::to_vec(&document)?;
    let changes = json!({ "customers": { "customer-3": { "weight": 77 } } });
    let apply = median(|| {
        let mut copy = document.clone();
        let start = std::time::Instant::now();
        let result = patch::apply(&mut copy, &changes);
        (start.elapsed(), result.is_ok())
    });
    let (in_force, entry_bytes) = measure_entry(&document)?;
    let valid = median(|| {
        let start = std::time::Instant::now();
        let result = validate(&document);
        (start.elapsed(), result.is_ok())
    });
    let index = median(|| {
        let start = std::time::Instant::now();
        let index = Index::new(&document);
        (start.elapsed(), index.customer_of_key(b"key-3").is_some())
    });
    let index_memory = memory_per_value(INDEX_FILL, || Index::new(&document));
    let fill = if customers < 1_000 { INDEX_FILL } else { COPIES };
    let document_memory = memory_per_value(fill, || serde_json::from_slice::<Document>(&text).ok());
    println!(
        "{customers:>9} {endpoints:>9} {:>9} {entry_bytes:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
        text.len(),
        apply.as_micros(),
        in_force.as_micros(),
        valid.as_micros(),
        index.as_micros(),
        format_kb(index_memory),
        format_kb(document_memory),
    );
    Ok(())
}

fn build_document(customers: u32, endpoints: u32) -> Result<Document, Box<dyn Error>> {
    let mut items = serde_json::Map::new();
    for number in 0..customers {
        let item = json!({
            "id": number, "weight": number % 10 + 1, "max_in_flight": 64, "max_queue": 256,
            "key_hashes": [Hash::of(format!("key-{number}").as_bytes()).to_string()]
        });
        items.insert(format!("customer-{number}"), item);
    }
    let mut engines = serde_json::Map::new();
    for number in 0..endpoints {
        let [_, high, middle, low] = number.to_be_bytes();
        let item = json!({
            "id": number, "kind": "engine", "pool": format!("pool-{}", number % 6),
            "address": format!("10.{high}.{middle}.{low}:8000"),
            "data_centre": format!("dc-{}", number % 12),
            "models": [format!("model-{}", number % 6)], "slots": 64
        });
        engines.insert(format!("engine-{number}"), item);
    }
    let pools = (0..6).map(|number| {
        let item = json!({ "id": number, "unit": "tokens", "max_request": 32_768 });
        (format!("pool-{number}"), item)
    });
    let models = (0..16).map(|number| {
        (format!("model-{number}"), json!({ "id": number, "pool": format!("pool-{}", number % 6) }))
    });
    let changes = json!({
        "customers": items, "endpoints": engines,
        "pools": pools.collect::<serde_json::Map<_, _>>(),
        "models": models.collect::<serde_json::Map<_, _>>()
    });
    let mut document = Document::default();
    patch::apply(&mut document, &changes)?;
    validate(&document)?;
    Ok(document)
}

/// Time for a follower to decode an entry, apply it and put it in force, while the caller holds the
/// previous state as a router does. Also returns the size of the entry.
fn measure_entry(document: &Document) -> Result<(Duration, usize), Box<dyn Error>> {
    let mut follower = load_follower(document)?;
    let mut bytes = 0;
    let mut weight = 0;
    let time = median(|| {
        weight += 1;
        let changes = json!({ "customers": { "customer-3": { "weight": weight } } });
        let Some((version, entry)) = next_entry(&follower, changes) else {
            return (Duration::ZERO, false);
        };
        bytes = entry.len();
        let kept = Arc::clone(follower.state());
        let start = std::time::Instant::now();
        let result = follower.receive_entry(Instant::ZERO, version, &entry);
        (start.elapsed(), result.is_ok() && kept.version < version)
    });
    Ok((time, bytes))
}

fn next_entry(follower: &Follower, changes: Value) -> Option<(u64, Arc<[u8]>)> {
    let base = follower.version();
    let mut document = follower.document().clone();
    patch::apply(&mut document, &changes).ok()?;
    let id = format!("{base:032x}");
    let patch = Patch { id, base, author: "operator".to_owned(), changes };
    let entry = Entry::new(&patch, base + 1, 1_700_000_000_000, document.hash());
    Some((base + 1, entry.encode().ok()?))
}

/// A follower that has loaded the document from a snapshot.
fn load_follower(document: &Document) -> Result<Follower, Box<dyn Error>> {
    let snapshot = Snapshot { version: 1, recent: Vec::new(), document: document.clone() };
    let bytes = snapshot.encode()?;
    let head = Head::new(1, document.hash(), &bytes);
    let mut store = BTreeMap::from([(HEAD_KEY.to_owned(), head.encode()?)]);
    for (shard, bytes) in (0..).zip(bytes.chunks(MAX_SHARD_BYTES)) {
        store.insert(head.shard_key(shard), bytes.into());
    }
    let mut follower = Follower::new(Options { seed: 1, ..Options::default() });
    let own = siskin_types::id::Node(1);
    follower.members(Instant::ZERO, own, vec![own], 1);
    follower.set_watcher_rank(Instant::ZERO, Some(0));
    let mut actions = follower.tick(Instant::ZERO);
    while let Some(call) = actions.iter().find_map(|action| match action {
        Action::Store(call) => Some(call),
        _ => None,
    }) {
        let Request::Range { start, end, limit } = &call.request else { break };
        let range = store.range(start.clone()..end.clone()).take(*limit);
        let pair = |(key, value): (&String, &Arc<[u8]>)| Pair {
            key: key.clone(),
            value: Arc::clone(value),
            revision: 1,
        };
        let answer = Answer::Range { pairs: range.map(pair).collect(), revision: 1 };
        actions = follower.receive_answer(Instant::ZERO, call.number, answer);
    }
    if follower.version() == 1 { Ok(follower) } else { Err("the snapshot was not loaded".into()) }
}

fn median(mut run: impl FnMut() -> (Duration, bool)) -> Duration {
    let mut times = Vec::with_capacity(RUNS);
    for _ in 0..RUNS {
        let (time, worked) = run();
        assert!(worked, "a measured run failed");
        times.push(time);
    }
    times.sort_unstable();
    times[RUNS / 2]
}

/// Memory per value in KB, measured by the growth of this process. `None` on other systems than Linux.
fn memory_per_value<T>(fill: usize, make: impl Fn() -> T) -> Option<u64> {
    // The first values fill previously freed memory, so that the others make the process grow.
    let fill: Vec<T> = (0..fill).map(|_| make()).collect();
    let before = resident_kb()?;
    let kept: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let after = resident_kb()?;
    drop((fill, kept));
    Some(after.saturating_sub(before) / COPIES as u64)
}

fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn format_kb(kilobytes: Option<u64>) -> String {
    kilobytes.map_or_else(|| "unknown".to_owned(), |kilobytes| kilobytes.to_string())
}
