//! Measures the memory use and the run times of the poison detector at four table sizes.

#![expect(clippy::cast_precision_loss, reason = "figures for people")]

use {
    siskin_outcome::poison::{Detector, Fingerprint, InFlight, Options, Verdict},
    siskin_types::{
        id::{Endpoint, Node, Pool},
        time::Instant,
    },
    std::{hint::black_box, time},
};

/// Requests in flight at each crash.
const IN_FLIGHT: usize = 64;

/// Approximate total memory of the detectors that are filled for a measurement, so that small ones can be measured.
const TOTAL_BYTES: usize = 64 * 1_024 * 1_024;

/// Approximate memory of a suspect, for choosing the number of detectors.
const SUSPECT_BYTES: usize = 300;

const LOOKUPS: u32 = 1_000_000;

fn fingerprint(number: usize) -> Fingerprint {
    let mut bytes = [0; 16];
    // Multiplicative hash, so that the numbers are spread evenly.
    let hash = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bytes[..8].copy_from_slice(&hash.to_be_bytes());
    Fingerprint(bytes)
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize =
        statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * 4_096
}

fn in_flight_requests(from: usize, alone: bool) -> Vec<InFlight> {
    let one = |number| InFlight { fingerprint: fingerprint(number), alone };
    (from..from + IN_FLIGHT).map(one).collect()
}

/// A detector with a full table, at the owner of its pool and with `others` as further members.
fn full_detector(suspects: usize, others: u32) -> Detector {
    let crashes = suspects / IN_FLIGHT;
    let options = Options {
        max_suspects: suspects,
        max_crashes: crashes + 1,
        ..Options::new(Pool(1), Node(0))
    };
    let mut detector = Detector::new(options);
    detector.members(Instant::ZERO, &(0..=others).map(Node).collect::<Vec<_>>());
    detector.owner_changed(Instant::ZERO, Some(Node(0)));
    let now = Instant::from_micros(2_000_000);
    detector.tick(now);
    for crash in 0..crashes {
        let endpoint = Endpoint(u32::try_from(crash).unwrap_or(0));
        detector.crashed(now, endpoint, 1, &in_flight_requests(crash * IN_FLIGHT, false));
    }
    detector
}

fn nanos_per_lookup(detector: &mut Detector, first: usize, count: usize) -> f64 {
    let now = Instant::from_micros(3_000_000);
    let keys: Vec<Fingerprint> = (first..first + count).map(fingerprint).collect();
    let start = time::Instant::now();
    for key in keys.iter().cycle().take(LOOKUPS as usize) {
        black_box(detector.admit(now, *black_box(key)));
    }
    start.elapsed().as_nanos() as f64 / f64::from(LOOKUPS)
}

fn measure_detector(suspects: usize) {
    let detector_count = (TOTAL_BYTES / (suspects * SUSPECT_BYTES)).max(1);
    let before = resident_bytes();
    let detectors: Vec<Detector> =
        (0..detector_count).map(|_| full_detector(suspects, 0)).collect();
    let bytes = resident_bytes().saturating_sub(before) / detector_count;
    drop(detectors);
    let mut detector = full_detector(suspects, 0);
    let unknown = nanos_per_lookup(&mut detector, 10_000_000, 10_000);
    let suspect = nanos_per_lookup(&mut detector, 0, suspects);
    // At the second crash one request was dispatched to run alone, so its verdict checks all requests in flight there.
    let mut second_crash = in_flight_requests(suspects, false);
    second_crash[0] = InFlight { fingerprint: fingerprint(0), alone: true };
    let now = Instant::from_micros(2_400_000);
    let start = time::Instant::now();
    detector.crashed(now, Endpoint(1_000_000), 1, &second_crash);
    let crash_time = start.elapsed();
    let refused = nanos_per_lookup(&mut detector, 0, 1);
    let verdict = detector.admit(Instant::from_micros(3_000_000), fingerprint(0));
    assert!(matches!(verdict, Verdict::Refuse { .. } | Verdict::Run), "{verdict:?}");
    let start = time::Instant::now();
    let listed = detector.list(Instant::from_micros(3_000_000)).len();
    let list_time = start.elapsed();
    let mut owner = full_detector(suspects, 1_199);
    let start = time::Instant::now();
    let actions =
        owner.crashed(now, Endpoint(1_000_001), 1, &in_flight_requests(suspects + 100, false));
    let fan_out_time = start.elapsed();
    println!(
        "{suspects:>9} {:>9.1} {unknown:>9.0} {suspect:>9.0} {refused:>9.0} {:>9.0} {:>9.2} {:>9.0} {:>9}  {listed}",
        bytes as f64 / 1e3,
        crash_time.as_nanos() as f64 / 1e3,
        list_time.as_secs_f64() * 1e3,
        fan_out_time.as_nanos() as f64 / 1e3,
        actions.len(),
    );
}

fn main() {
    println!(
        "{IN_FLIGHT} requests in flight at each crash; the crash measured makes the table overflow"
    );
    println!(
        "{:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}  listed",
        "suspects",
        "KB",
        "unknown",
        "suspect",
        "refused",
        "crash us",
        "list ms",
        "fanout us",
        "messages"
    );
    println!("{:>9} {:>9} {:>9} {:>9} {:>9}", "", "", "ns", "ns", "ns");
    for suspects in [256, 1_024, 4_096, 65_536] {
        measure_detector(suspects);
    }
}
