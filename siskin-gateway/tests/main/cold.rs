//! Until when endpoints are cold by what is read of them, one step after the other.

use {
    googletest::prelude::*,
    siskin_gateway::{
        cold::{Entry, Tracker},
        directory::Directory,
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

const START: Instant = Instant::from_micros(60_000_000);
const ENDPOINT: Endpoint = Endpoint(1);
const WARM_UP_MS: u64 = 3_000;

/// What is read.
enum Read {
    /// An entry that states a remaining time, and how long its endpoint counts as cold if it appears with it, in milliseconds.
    Entry { at: u64, revision: u64, cold_ms: u64, presumed_ms: u64 },
    /// The end of a drain.
    DrainEnd { at: u64, revision: u64 },
    /// A peer's list, in which the endpoint is warm.
    List { revision: u64 },
}

const DRAIN_END: Read = Read::DrainEnd { at: 9_000, revision: 8 };
const PEER_LIST: Read = Read::List { revision: 7 };

const fn entry(at: u64, revision: u64, cold_ms: u64) -> Read {
    Read::Entry { at, revision, cold_ms, presumed_ms: WARM_UP_MS }
}

/// An entry of the first list.
const fn first(cold_ms: u64) -> Read {
    Read::Entry { at: 0, revision: 5, cold_ms, presumed_ms: 0 }
}

struct Case {
    name: &'static str,
    reads: &'static [Read],
    /// Whether the last read changes the end of the cold time.
    want_change: bool,
    /// End of the cold time in milliseconds, unless it is over at the last read.
    want_until: Option<u64>,
}

const fn case(
    name: &'static str,
    reads: &'static [Read],
    want_change: bool,
    want_until: Option<u64>,
) -> Case {
    Case { name, reads, want_change, want_until }
}

const CASES: [Case; 12] = [
    case("warm in the first list", &[first(0)], false, None),
    case("cold in the first list", &[first(800)], true, Some(800)),
    case("appears", &[entry(0, 5, 0)], true, Some(3_000)),
    case("appears, read again", &[entry(0, 5, 0), entry(400, 5, 0)], false, Some(3_000)),
    case("appears, rewritten as warm", &[entry(0, 5, 0), entry(400, 6, 0)], true, None),
    case("counts down", &[entry(0, 5, 3_000), entry(1_300, 6, 1_800)], false, Some(3_000)),
    case("cold again", &[first(0), entry(9_000, 6, 2_500)], true, Some(11_500)),
    case(
        "drain ended, written before",
        &[first(0), DRAIN_END, entry(9_100, 7, 0)],
        false,
        Some(12_000),
    ),
    case("drain ended, written after", &[first(0), DRAIN_END, entry(9_400, 9, 0)], true, None),
    case("listed by a peer before", &[PEER_LIST, entry(100, 6, 900)], false, None),
    case("newer than a peer's list", &[entry(0, 9, 0), PEER_LIST], true, Some(3_000)),
    case("listed by a peer, rewritten", &[PEER_LIST, entry(100, 8, 900)], true, Some(1_000)),
];

/// Guards against full load for an endpoint whose entry does not say yet that it is cold, against one that counts as cold for longer
/// than it says, and against lists that are sent again and again although nothing has changed.
#[googletest::test]
fn cold_time_ends_as_the_newest_entry_says() {
    let millis = Duration::from_millis;
    for Case { name, reads, want_change, want_until } in CASES {
        let (mut tracker, mut changed, mut now) = (Tracker::default(), false, START);
        for read in reads {
            match *read {
                Read::Entry { at, revision, cold_ms, presumed_ms } => {
                    now = START + millis(at);
                    let (position, cold_for) = (revision.into(), millis(cold_ms));
                    let entry = Entry { endpoint: ENDPOINT, position, cold_for };
                    changed = tracker.record_entry(now, entry, millis(presumed_ms));
                }
                Read::DrainEnd { at, revision } => {
                    now = START + millis(at);
                    tracker.record_drain_end(now, ENDPOINT, revision.into(), millis(WARM_UP_MS));
                }
                Read::List { revision } => {
                    let mut listed = crate::fixture::endpoint("e", ([127, 0, 0, 1], 9).into());
                    listed.id = ENDPOINT;
                    tracker.adopt(&Directory::new(revision, vec![listed]));
                }
            }
        }
        expect_that!(changed, eq(want_change), "{name}");
        let until = tracker.cold_until(now, ENDPOINT);
        expect_that!(until, eq(want_until.map(|end| START + millis(end))), "{name}");
    }
}
