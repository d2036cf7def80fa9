//! Prints what the register of streams costs: memory a stream, and the time of a record and of a verdict.
//!
//! Run with `cargo run --release -p siskin-outcome --example origin_cost`.

use {
    siskin_outcome::origin::{Options, Register, Stream},
    siskin_types::time::Instant,
    std::{fs, hint::black_box, sync::Arc, time::Duration},
};

/// Streams recorded for each figure.
const SIZES: [usize; 3] = [1_000, 10_000, 65_536];

/// Size of a page of memory.
const PAGE_BYTES: usize = 4_096;

fn main() {
    println!("streams | bytes a stream | ns a record | ns a verdict");
    for size in SIZES {
        let before = resident_bytes();
        let mut register = Register::new(Options::default());
        let now = Instant::from_micros(1);
        register.set_notes_complete();
        register.set_listed(now, [("chat", Some("1")), ("chat", Some("2"))]);
        let version = Arc::from("1");
        let streams: Vec<Stream> =
            (0..size).map(|number| Stream::new("customer", &number.to_string())).collect();
        let start = std::time::Instant::now();
        for stream in &streams {
            register.record(now, *stream, "chat", &version);
        }
        let recorded = start.elapsed();
        let bytes = resident_bytes().saturating_sub(before);
        let start = std::time::Instant::now();
        for stream in &streams {
            black_box(register.verdict(now, "chat", Some(*stream)));
        }
        let decided = start.elapsed();
        println!(
            "{size} | {} | {} | {}",
            bytes / size,
            nanos_each(recorded, size),
            nanos_each(decided, size)
        );
    }
}

fn nanos_each(time: Duration, count: usize) -> u128 {
    time.as_nanos() / count as u128
}

/// Memory of this process that is resident.
fn resident_bytes() -> usize {
    let pages = fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split(' ').nth(1)?.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
