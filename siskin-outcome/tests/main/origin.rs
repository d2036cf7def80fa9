//! Where a stream may go on, what routers tell each other of streams, and which notes they write.

use {
    crate::seeds,
    googletest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    siskin_outcome::origin::{Batch, Group, Note, Options, Register, Stream, Verdict},
    siskin_types::time::Instant,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

const RETENTION_S: u64 = 60;

/// Something that happens to a register, for the service "chat".
enum Step {
    /// The store was read completely.
    Complete,
    /// These versions are listed.
    List(&'static [Option<&'static str>]),
    /// The note was read.
    Note(&'static [&'static str]),
    /// The note was read, but not understood.
    UnreadableNote,
    /// A stream began or went on through this router.
    Record(&'static str, &'static str),
    /// Another router recorded a stream.
    Learn(&'static str, &'static str),
}

use Step::{Complete, Learn, List, Record, UnreadableNote};

/// Expected verdict.
#[derive(Clone, Copy)]
enum Want {
    Any,
    Only(&'static str),
    Unknown,
}

use Want::{Any, Only, Unknown};

impl Want {
    fn verdict(self) -> Verdict {
        match self {
            Any => Verdict::Any,
            Only(version) => Verdict::Only(version.into()),
            Unknown => Verdict::Unknown,
        }
    }
}

const V1: Option<&str> = Some("1");
const V2: Option<&str> = Some("2");

fn at_s(seconds: u64) -> Instant {
    Instant::from_micros(1_000_000 * (1_000 + seconds))
}

fn stream(request: &str) -> Stream {
    Stream::new("customer", request)
}

fn batch(version: &str, streams: &[Stream]) -> Batch {
    Batch { groups: vec![Group { version: version.into(), streams: streams.to_vec() }] }
}

fn streams(batch: &Batch) -> Vec<Stream> {
    batch.groups.iter().flat_map(|group| group.streams.iter().copied()).collect()
}

fn register(streams_max: usize) -> Register {
    Register::new(Options { streams_max, retention: Duration::from_secs(RETENTION_S) })
}

fn list(register: &mut Register, now: Instant, versions: &[Option<&str>]) {
    register.set_listed(now, versions.iter().map(|version| ("chat", *version)));
}

/// A register of a service with two versions.
fn mixed_register(streams_max: usize) -> Register {
    let mut register = register(streams_max);
    register.set_notes_complete();
    list(&mut register, at_s(0), &[V1, V2]);
    register
}

fn play(steps: &[(u64, Step)]) -> Register {
    let mut register = register(100);
    for (seconds, step) in steps {
        let now = at_s(*seconds);
        match step {
            Complete => register.set_notes_complete(),
            List(versions) => list(&mut register, now, versions),
            Step::Note(versions) => {
                let versions = versions.iter().map(|version| (*version).to_owned()).collect();
                register.set_note("chat", Some(versions));
            }
            UnreadableNote => register.set_note("chat", None),
            Record(name, version) => {
                register.record(now, stream(name), "chat", &Arc::from(*version));
            }
            Learn(name, version) => register.learn(now, &batch(version, &[stream(name)])),
        }
        // The task that reads the store does this all the time while a service is mixed.
        if register.any_mixed(now) {
            let _ = register.take_batch(now);
        }
    }
    register
}

struct Case {
    name: &'static str,
    steps: &'static [(u64, Step)],
    at_s: u64,
    /// Verdicts on the stream "a", on one that nobody recorded, and on one that is not named.
    want: [Want; 3],
}

const CASES: &[Case] = &[
    Case {
        name: "one version",
        steps: &[(0, Complete), (0, List(&[V1, V1])), (1, Record("a", "1"))],
        at_s: 2,
        want: [Any, Any, Any],
    },
    Case {
        name: "two versions",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (1, Record("a", "2"))],
        at_s: 2,
        want: [Only("2"), Unknown, Unknown],
    },
    Case {
        name: "a second version after the stream began",
        steps: &[(0, Complete), (0, List(&[V1])), (1, Record("a", "1")), (2, List(&[V1, V2]))],
        at_s: 2,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "two versions, recorded by another router",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (1, Learn("a", "2"))],
        at_s: 2,
        want: [Only("2"), Unknown, Unknown],
    },
    Case {
        name: "a version that left is in effect for the retention",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (100, List(&[V1])),
            (120, List(&[V1])),
            (150, Record("a", "1")),
        ],
        at_s: 159,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "a version that left is not in effect after the retention",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (100, List(&[V1])), (150, Record("a", "1"))],
        at_s: 160,
        want: [Any, Any, Any],
    },
    Case {
        name: "a version that left and came back",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (10, List(&[V1])),
            (60, List(&[V1, V2])),
            (75, Record("a", "2")),
        ],
        at_s: 80,
        want: [Only("2"), Unknown, Unknown],
    },
    Case {
        name: "one version replaces the other",
        steps: &[(0, Complete), (0, List(&[V1])), (5, Record("a", "1")), (10, List(&[V2]))],
        at_s: 11,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "a noted version is not listed, as after a restart of all routers",
        steps: &[(0, Step::Note(&["1", "2"])), (0, Complete), (0, List(&[V1]))],
        at_s: 1,
        want: [Unknown, Unknown, Unknown],
    },
    Case {
        name: "a note names one other version",
        steps: &[(0, Step::Note(&["2"])), (0, Complete), (0, List(&[V1])), (1, Record("a", "1"))],
        at_s: 1_000,
        want: [Unknown, Unknown, Unknown],
    },
    Case {
        name: "a note names the listed version",
        steps: &[(0, Step::Note(&["1"])), (0, Complete), (0, List(&[V1])), (1, Record("a", "1"))],
        at_s: 2,
        want: [Any, Any, Any],
    },
    Case {
        name: "before the notes are complete",
        steps: &[(0, List(&[V1])), (1, Record("a", "1"))],
        at_s: 2,
        want: [Only("1"), Unknown, Unknown],
    },
    Case { name: "nothing is known yet", steps: &[], at_s: 2, want: [Unknown, Unknown, Unknown] },
    Case {
        name: "an endpoint of an unknown version",
        steps: &[(0, Complete), (0, List(&[V1, None])), (1, Record("a", "1"))],
        at_s: 2,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "only endpoints of unknown versions",
        steps: &[(0, Complete), (0, List(&[None]))],
        at_s: 2,
        want: [Unknown, Unknown, Unknown],
    },
    Case {
        name: "an unknown version left a short time ago",
        steps: &[(0, Complete), (0, List(&[None])), (10, List(&[V1]))],
        at_s: 69,
        want: [Unknown, Unknown, Unknown],
    },
    Case {
        name: "an unknown version left long ago",
        steps: &[(0, Complete), (0, List(&[None])), (10, List(&[V1]))],
        at_s: 70,
        want: [Any, Any, Any],
    },
    Case {
        name: "a service that is not listed",
        steps: &[(0, Complete), (0, List(&[]))],
        at_s: 2,
        want: [Any, Any, Any],
    },
    Case {
        name: "a service that is not listed, with a recorded stream",
        steps: &[(0, Complete), (0, List(&[])), (1, Learn("a", "1"))],
        at_s: 2,
        want: [Only("1"), Any, Any],
    },
    Case {
        name: "a known version that is not the listed one",
        steps: &[(0, Complete), (0, List(&[V1])), (1, Learn("a", "2"))],
        at_s: 2,
        want: [Only("2"), Any, Any],
    },
    Case {
        name: "an unreadable note",
        steps: &[(0, UnreadableNote), (0, Complete), (0, List(&[V1])), (950, Record("a", "1"))],
        at_s: 1_000,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "an unreadable note that was rewritten",
        steps: &[(0, UnreadableNote), (0, Complete), (0, List(&[V1])), (9, Step::Note(&["1"]))],
        at_s: 10,
        want: [Any, Any, Any],
    },
    Case {
        name: "a deleted note",
        steps: &[(0, Step::Note(&["2"])), (0, Complete), (0, List(&[V1])), (9, Step::Note(&[]))],
        at_s: 10,
        want: [Any, Any, Any],
    },
    Case {
        name: "versions that are equal as numbers but not as text",
        steps: &[(0, Complete), (0, List(&[V1, Some("1.0")])), (1, Record("a", "1"))],
        at_s: 2,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "what others recorded does not replace a version",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (1, Record("a", "1")), (2, Learn("a", "2"))],
        at_s: 3,
        want: [Only("1"), Unknown, Unknown],
    },
    Case {
        name: "what others recorded first stays",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (1, Learn("a", "2")), (2, Learn("a", "1"))],
        at_s: 3,
        want: [Only("2"), Unknown, Unknown],
    },
    Case {
        name: "an expired stream",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (1, Record("a", "1"))],
        at_s: 61,
        want: [Unknown, Unknown, Unknown],
    },
    Case {
        name: "a stream that went on is kept longer",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (1, Record("a", "1")),
            (40, Record("a", "1")),
        ],
        at_s: 99,
        want: [Only("1"), Unknown, Unknown],
    },
];

/// Guards against continuations at another version, and against refusals of those that can go on.
#[googletest::test]
fn a_stream_goes_on_only_where_its_version_is_certain() {
    for case in CASES {
        let register = play(case.steps);
        let named = [Some(stream("a")), Some(stream("nobody's")), None];
        let verdicts = named.map(|stream| register.verdict(at_s(case.at_s), "chat", stream));
        expect_that!(verdicts, eq(&case.want.map(Want::verdict)), "{}", case.name);
        let is_mixed = register.is_mixed(at_s(case.at_s), "chat");
        expect_that!(is_mixed, eq(matches!(case.want[2], Unknown)), "{}", case.name);
        expect_that!(register.any_mixed(at_s(case.at_s)), eq(is_mixed), "{}", case.name);
    }
}

struct NoteCase {
    name: &'static str,
    steps: &'static [(u64, Step)],
    at_s: u64,
    /// Versions of the note that is due.
    want: Option<&'static [&'static str]>,
}

const NOTE_CASES: &[NoteCase] = &[
    NoteCase {
        name: "a service without a note",
        steps: &[(0, Complete), (0, List(&[V2, V1, V2]))],
        at_s: 0,
        want: Some(&["1", "2"]),
    },
    NoteCase {
        name: "notes that are not complete",
        steps: &[(0, List(&[V1]))],
        at_s: 100,
        want: None,
    },
    NoteCase {
        name: "a service without a listed version",
        steps: &[(0, Complete)],
        at_s: 0,
        want: None,
    },
    NoteCase {
        name: "only an unknown version",
        steps: &[(0, Complete), (0, List(&[None]))],
        at_s: 0,
        want: None,
    },
    NoteCase {
        name: "the note is right",
        steps: &[(0, Complete), (0, List(&[V1, V2])), (0, Step::Note(&["2", "1"]))],
        at_s: 1_000,
        want: None,
    },
    NoteCase {
        name: "a new version",
        steps: &[(0, Complete), (0, List(&[V1])), (0, Step::Note(&["1"])), (5, List(&[V1, V2]))],
        at_s: 5,
        want: Some(&["1", "2"]),
    },
    NoteCase {
        name: "a version left less than the retention ago",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (0, Step::Note(&["1", "2"])),
            (100, List(&[V1])),
        ],
        at_s: 159,
        want: None,
    },
    NoteCase {
        name: "a version left the retention ago",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (0, Step::Note(&["1", "2"])),
            (100, List(&[V1])),
        ],
        at_s: 160,
        want: Some(&["1"]),
    },
    NoteCase {
        name: "a version that came back in between",
        steps: &[
            (0, Complete),
            (0, List(&[V1, V2])),
            (0, Step::Note(&["1", "2"])),
            (100, List(&[V1])),
            (150, List(&[V1, V2])),
            (155, List(&[V1])),
        ],
        at_s: 214,
        want: None,
    },
    NoteCase {
        name: "a note that this router has not compared for the retention since the notes are complete",
        steps: &[(0, Step::Note(&["1", "2"])), (0, List(&[V1])), (100, Complete)],
        at_s: 159,
        want: None,
    },
    NoteCase {
        name: "a note that this router has compared for the retention",
        steps: &[(0, Step::Note(&["1", "2"])), (0, List(&[V1])), (100, Complete)],
        at_s: 160,
        want: Some(&["1"]),
    },
    NoteCase {
        name: "no list yet",
        steps: &[(0, Step::Note(&["1", "2"])), (0, Complete), (50, Record("a", "1"))],
        at_s: 1_000,
        want: None,
    },
    NoteCase {
        name: "another router noted a version a short time ago",
        steps: &[
            (0, Complete),
            (0, List(&[V1])),
            (0, Step::Note(&["1"])),
            (100, Step::Note(&["1", "2"])),
        ],
        at_s: 159,
        want: None,
    },
    NoteCase {
        name: "another router added a version to a note, and the absence of one was observed before",
        steps: &[
            (0, Complete),
            (0, List(&[V1])),
            (0, Step::Note(&["1", "2"])),
            (50, Step::Note(&["1", "2", "3"])),
        ],
        at_s: 60,
        want: Some(&["1", "3"]),
    },
    NoteCase {
        name: "the missing version may be that of an endpoint of an unknown version",
        steps: &[
            (0, Step::Note(&["1", "2"])),
            (0, Complete),
            (0, List(&[V1, None])),
            (100, List(&[V1])),
        ],
        at_s: 159,
        want: None,
    },
    NoteCase {
        name: "a service that is not listed any more",
        steps: &[(0, Complete), (0, List(&[V1])), (0, Step::Note(&["1"])), (10, List(&[]))],
        at_s: 70,
        want: Some(&[]),
    },
    NoteCase {
        name: "an unreadable note less than the retention ago",
        steps: &[(0, UnreadableNote), (0, Complete), (0, List(&[V1]))],
        at_s: 59,
        want: None,
    },
    NoteCase {
        name: "an unreadable note the retention ago",
        steps: &[(0, UnreadableNote), (0, Complete), (0, List(&[V1]))],
        at_s: 60,
        want: Some(&["1"]),
    },
    NoteCase {
        name: "an unreadable note, and an endpoint of an unknown version",
        steps: &[(0, UnreadableNote), (0, Complete), (0, List(&[V1, None]))],
        at_s: 1_000,
        want: None,
    },
];

/// Guards against noted versions that are removed while their streams may still be continued, and needless writes.
#[googletest::test]
fn a_note_names_what_was_listed_within_the_retention() {
    for case in NOTE_CASES {
        let register = play(case.steps);
        let note = |versions: &[&str]| Note {
            service: "chat".into(),
            versions: versions.iter().map(|version| (*version).to_owned()).collect(),
        };
        let want: Vec<Note> = case.want.map(note).into_iter().collect();
        expect_that!(register.due_notes(at_s(case.at_s)), eq(&want), "{}", case.name);
    }
}

/// Guards against a stream that can be continued only under its first name.
#[googletest::test]
fn a_chain_of_continuations_goes_on_under_each_name() {
    let (mut first, mut second) = (mixed_register(100), mixed_register(100));
    first.record(at_s(1), stream("A"), "chat", &"1".into());
    second.learn(at_s(2), &first.take_batch(at_s(2)));
    // The second router continues the stream, and records it under both names.
    let Verdict::Only(version) = second.verdict(at_s(3), "chat", Some(stream("A"))) else {
        panic!("the stream is known");
    };
    second.record(at_s(3), stream("A"), "chat", &version);
    second.record(at_s(3), stream("B"), "chat", &version);
    first.learn(at_s(4), &second.take_batch(at_s(4)));
    for register in [&first, &second] {
        for name in ["A", "B"] {
            let verdict = register.verdict(at_s(5), "chat", Some(stream(name)));
            expect_that!(verdict, eq(&Verdict::Only("1".into())), "{name}");
        }
    }
}

/// Guards against streams that are found under the identifier of another customer's request.
#[googletest::test]
fn a_stream_of_another_customer_is_not_found() {
    let mut register = mixed_register(100);
    register.record(at_s(1), Stream::new("customer", "request"), "chat", &"1".into());
    for (customer, request) in
        [("other", "request"), ("custome", "rrequest"), ("customerr", "equest"), ("", "request")]
    {
        let stream = Stream::new(customer, request);
        let verdict = register.verdict(at_s(1), "chat", Some(stream));
        expect_that!(verdict, eq(&Verdict::Unknown), "{customer:?} {request:?}");
    }
}

/// Guards against streams that other routers are not told of, or are told of again and again.
#[googletest::test]
fn a_batch_contains_each_pending_stream_once() {
    let mut register = register(100);
    register.set_notes_complete();
    list(&mut register, at_s(0), &[V1]);
    register.record(at_s(0), stream("expired"), "chat", &"1".into());
    register.record(at_s(10), stream("a"), "chat", &"1".into());
    register.learn(at_s(10), &batch("1", &[stream("learned")]));
    register.record(at_s(10), stream("other service"), "other", &"1".into());
    expect_that!(register.take_batch(at_s(11)), eq(&Batch::default()), "it is not mixed");

    list(&mut register, at_s(60), &[V1, V2]);
    register.record(at_s(60), stream("b"), "chat", &"2".into());
    register.record(at_s(60), stream("b"), "chat", &"2".into());
    let taken = register.take_batch(at_s(60));
    let mut want = batch("1", &[stream("a")]);
    want.append(batch("2", &[stream("b")]));
    expect_that!(taken, eq(&want));
    register.record(at_s(61), stream("a"), "chat", &"1".into());
    expect_that!(register.take_batch(at_s(61)), eq(&Batch::default()), "all are taken");

    register.record(at_s(61), stream("c"), "chat", &"2".into());
    register.return_batch(taken);
    want.append(batch("2", &[stream("c")]));
    let again = register.take_batch(at_s(62));
    let sorted = |batch: &Batch| streams(batch).into_iter().collect::<BTreeSet<_>>();
    expect_that!(sorted(&again), eq(&sorted(&want)));
    expect_that!(again.len(), eq(want.len()));

    // Of a batch that is put back late, only what has not expired remains.
    register.return_batch(again);
    let late = register.take_batch(at_s(120));
    expect_that!(sorted(&late), eq(&BTreeSet::from([stream("a"), stream("c")])));
}

/// Guards against a stream that is recorded here after it was learned, and that no other router is told of.
#[googletest::test]
fn a_learned_stream_that_went_on_here_is_taken() {
    let mut register = mixed_register(100);
    register.learn(at_s(1), &batch("1", &[stream("a")]));
    expect_that!(register.take_batch(at_s(1)), eq(&Batch::default()));
    register.record(at_s(2), stream("a"), "chat", &"1".into());
    expect_that!(register.take_batch(at_s(2)), eq(&batch("1", &[stream("a")])));
}

struct FloodCase {
    name: &'static str,
    interval_us: u64,
    /// Whether another router records the streams.
    is_learned: bool,
    want_streams: u32,
}

/// Guards against memory that grows with the number of streams, which callers choose.
#[googletest::test]
fn memory_is_bounded_with_streams_without_end() {
    const RECORDS: u32 = 1_000_000;
    let cases = [
        FloodCase { name: "limit", interval_us: 1, is_learned: false, want_streams: 65_536 },
        FloodCase { name: "expiry", interval_us: 1_000, is_learned: false, want_streams: 60_000 },
        FloodCase {
            name: "limit, learned",
            interval_us: 1,
            is_learned: true,
            want_streams: 65_536,
        },
    ];
    for case in cases {
        let mut register = mixed_register(Options::default().streams_max);
        let version = Arc::from("1");
        let mut now = at_s(0);
        let mut most = 0;
        for number in 0..RECORDS {
            now = now + Duration::from_micros(case.interval_us);
            let stream = stream(&number.to_string());
            if case.is_learned {
                register.learn(now, &batch("1", &[stream]));
            } else {
                register.record(now, stream, "chat", &version);
            }
            most = most.max(register.streams());
        }
        expect_that!(most, eq(case.want_streams as usize), "{}", case.name);
        let verdict =
            |number: u32| register.verdict(now, "chat", Some(stream(&number.to_string())));
        let oldest = RECORDS - case.want_streams;
        expect_that!(verdict(RECORDS - 1), eq(&Verdict::Only("1".into())), "{}", case.name);
        expect_that!(verdict(oldest), eq(&Verdict::Only("1".into())), "{}", case.name);
        expect_that!(verdict(oldest - 1), eq(&Verdict::Unknown), "{}", case.name);
        let want_taken = if case.is_learned { 0 } else { case.want_streams as usize };
        expect_that!(register.take_batch(now).len(), eq(want_taken), "{}", case.name);
    }
}

/// Guards against bookkeeping that grows when the same streams go on, or batches come back, without end.
#[googletest::test]
fn streams_that_go_on_without_end_count_once() {
    let mut register = mixed_register(2);
    for number in 0..10_000 {
        let now = at_s(number);
        register.record(now, stream("a"), "chat", &"1".into());
        register.record(now, stream("b"), "chat", &"1".into());
        let taken = register.take_batch(now);
        expect_that!(taken.len(), eq(2));
        register.return_batch(taken.clone());
        register.return_batch(taken);
    }
    expect_that!(register.streams(), eq(2));
    register.record(at_s(10_000), stream("c"), "chat", &"1".into());
    let taken = register.take_batch(at_s(10_000));
    expect_that!(
        streams(&taken).into_iter().collect::<BTreeSet<_>>(),
        eq(&[stream("b"), stream("c")].into())
    );
}

/// Guards against a limit of zero that is not kept.
#[googletest::test]
fn without_room_no_stream_is_known() {
    let mut register = mixed_register(0);
    register.record(at_s(1), stream("a"), "chat", &"1".into());
    expect_that!(register.streams(), eq(0));
    expect_that!(register.take_batch(at_s(1)), eq(&Batch::default()));
}

/// Guards against a longer retention that does not hold for what is known already.
#[googletest::test]
fn a_longer_retention_holds_at_once() {
    let mut register = mixed_register(100);
    register.record(at_s(1), stream("a"), "chat", &"1".into());
    register.set_retention(Duration::from_secs(2 * RETENTION_S));
    let verdict = |seconds| register.verdict(at_s(seconds), "chat", Some(stream("a")));
    expect_that!(verdict(120), eq(&Verdict::Only("1".into())));
    expect_that!(verdict(121), eq(&Verdict::Unknown));
}

const SERVICES: [&str; 2] = ["chat", "code"];
const VERSIONS: [&str; 3] = ["1", "2", "3"];
const STREAMS: usize = 12;

/// Endpoints of one list: services and versions.
type Endpoints = Vec<(&'static str, Option<&'static str>)>;

/// What the model knows of a stream.
#[derive(Clone, Copy)]
struct Known {
    at_s: u64,
    service: &'static str,
    version: &'static str,
    is_pending: bool,
}

/// The register without thrift: it keeps all lists, and looks through all of them.
#[derive(Default)]
struct Model {
    lists: Vec<(u64, Endpoints)>,
    notes: BTreeMap<&'static str, Option<Vec<&'static str>>>,
    is_complete: bool,
    streams: BTreeMap<usize, Known>,
}

impl Model {
    /// Versions of a service that were listed within the retention.
    fn in_effect(&self, now_s: u64, service: &str) -> BTreeSet<Option<&'static str>> {
        let mut versions = BTreeSet::new();
        for (index, (_, endpoints)) in self.lists.iter().enumerate() {
            let end_s = self.lists.get(index + 1).map_or(now_s, |(end_s, _)| *end_s);
            if index + 1 == self.lists.len() || now_s < end_s + RETENTION_S {
                let of_service = endpoints.iter().filter(|(name, _)| *name == service);
                versions.extend(of_service.map(|(_, version)| *version));
            }
        }
        versions
    }

    fn is_mixed(&self, now_s: u64, service: &str) -> bool {
        let mut versions = self.in_effect(now_s, service);
        let note = self.notes.get(service);
        versions
            .extend(note.iter().flat_map(|it| it.iter().flatten()).map(|version| Some(*version)));
        let is_unreadable = note.is_some_and(Option::is_none);
        !self.is_complete || is_unreadable || versions.contains(&None) || versions.len() > 1
    }

    fn verdict(&self, now_s: u64, service: &str, stream: usize) -> Verdict {
        let is_mixed = self.is_mixed(now_s, service);
        let Some(known) = self.streams.get(&stream) else {
            return if is_mixed { Verdict::Unknown } else { Verdict::Any };
        };
        let mut versions = self.in_effect(now_s, service);
        let note = self.notes.get(service);
        versions
            .extend(note.iter().flat_map(|it| it.iter().flatten()).map(|version| Some(*version)));
        if is_mixed || !versions.contains(&Some(known.version)) {
            Verdict::Only(known.version.into())
        } else {
            Verdict::Any
        }
    }

    fn expire(&mut self, now_s: u64) {
        self.streams.retain(|_, known| now_s < known.at_s + RETENTION_S);
    }

    fn record(&mut self, now_s: u64, stream: usize, service: &'static str, version: &'static str) {
        let known = self.streams.get(&stream);
        // Streams are learned under no service.
        let was_taken = known
            .is_some_and(|it| !it.is_pending && !it.service.is_empty() && it.version == version);
        let known = Known { at_s: now_s, service, version, is_pending: !was_taken };
        self.streams.insert(stream, known);
    }

    fn take(&mut self, now_s: u64) -> BTreeSet<(&'static str, usize)> {
        let mixed = SERVICES.map(|service| self.is_mixed(now_s, service).then_some(service));
        let mut taken = BTreeSet::new();
        for (stream, known) in &mut self.streams {
            if known.is_pending && mixed.contains(&Some(known.service)) {
                known.is_pending = false;
                taken.insert((known.version, *stream));
            }
        }
        taken
    }
}

fn numbered(number: usize) -> Stream {
    stream(&number.to_string())
}

/// A batch in the form of the model.
fn by_number(batch: &Batch) -> Vec<(&str, Stream)> {
    let of_group = |group: &'_ Group| group.streams.len();
    let mut all = Vec::with_capacity(batch.groups.iter().map(of_group).sum());
    for group in &batch.groups {
        all.extend(group.streams.iter().map(|stream| (group.version.as_str(), *stream)));
    }
    all.sort_unstable();
    all
}

fn random_versions(rng: &mut SmallRng) -> Vec<&'static str> {
    VERSIONS.into_iter().filter(|_| rng.random_bool(0.4)).collect()
}

fn random_endpoints(rng: &mut SmallRng) -> Endpoints {
    let mut endpoints = Vec::new();
    for service in SERVICES {
        endpoints.extend(random_versions(rng).into_iter().map(|version| (service, Some(version))));
        if rng.random_bool(0.05) {
            endpoints.push((service, None));
        }
    }
    endpoints
}

/// Changes the register and the model alike.
fn step(rng: &mut SmallRng, now_s: u64, register: &mut Register, model: &mut Model) {
    let now = at_s(now_s);
    let service = SERVICES[rng.random_range(0..SERVICES.len())];
    let version = VERSIONS[rng.random_range(0..VERSIONS.len())];
    let stream = rng.random_range(0..STREAMS);
    match rng.random_range(0..100) {
        0..10 => {
            let endpoints = random_endpoints(rng);
            register.set_listed(now, endpoints.iter().copied());
            model.lists.push((now_s, endpoints));
        }
        10..20 => {
            let versions = rng.random_bool(0.9).then(|| random_versions(rng));
            let texts = |it: &Vec<&str>| it.iter().map(|version| (*version).to_owned()).collect();
            register.set_note(service, versions.as_ref().map(texts));
            model.notes.insert(service, versions);
        }
        20..22 => {
            register.set_notes_complete();
            model.is_complete = true;
        }
        22..50 => {
            model.expire(now_s);
            register.record(now, numbered(stream), service, &version.into());
            model.record(now_s, stream, service, version);
        }
        50..75 => {
            model.expire(now_s);
            register.learn(now, &batch(version, &[numbered(stream)]));
            let learned = Known { at_s: now_s, service: "", version, is_pending: false };
            model.streams.entry(stream).or_insert(learned);
        }
        _ => take(rng, now_s, register, model),
    }
}

/// Takes a batch, and mostly puts it back.
fn take(rng: &mut SmallRng, now_s: u64, register: &mut Register, model: &mut Model) {
    model.expire(now_s);
    let taken = register.take_batch(at_s(now_s));
    let want = model.take(now_s);
    let mut want_streams: Vec<_> =
        want.iter().map(|(version, number)| (*version, numbered(*number))).collect();
    want_streams.sort_unstable();
    assert_eq!(by_number(&taken), want_streams);
    if rng.random_bool(0.6) {
        register.return_batch(taken);
        for (_, number) in want {
            if let Some(known) = model.streams.get_mut(&number) {
                known.is_pending = true;
            }
        }
    }
}

/// Each due note names all versions in effect, and leaves out none that was listed within the retention.
fn check_notes(now_s: u64, register: &Register, model: &Model) {
    let due = register.due_notes(at_s(now_s));
    for service in SERVICES {
        let in_effect = model.in_effect(now_s, service);
        let note = due.iter().find(|note| note.service == service);
        let versions: Vec<&str> = match (note, model.notes.get(service)) {
            (Some(note), _) => note.versions.iter().map(String::as_str).collect(),
            // What cannot be read, or is not known to be missing, is not replaced.
            (None, Some(None)) => continue,
            (None, _) if !model.is_complete => continue,
            (None, Some(Some(versions))) => versions.clone(),
            (None, None) => Vec::new(),
        };
        for version in in_effect.into_iter().flatten() {
            assert!(versions.contains(&version), "{service} {version} at {now_s} s: {due:?}");
        }
    }
    assert!(model.is_complete || due.is_empty(), "notes are replaced only when all are known");
}

/// Guards against faults of the bookkeeping in sequences that no table has: verdicts, batches and notes against a model.
#[test]
fn the_register_agrees_with_a_simple_model() {
    for seed in seeds(200) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut register, mut model) = (register(100), Model::default());
        let mut now_s = 0;
        for _ in 0..400 {
            now_s += rng.random_range(0..6) * u64::from(rng.random_bool(0.5));
            step(&mut rng, now_s, &mut register, &mut model);
            model.expire(now_s);
            for service in SERVICES {
                let is_mixed = register.is_mixed(at_s(now_s), service);
                assert_eq!(is_mixed, model.is_mixed(now_s, service), "seed {seed}, {now_s} s");
                for stream in 0..STREAMS {
                    let verdict = register.verdict(at_s(now_s), service, Some(numbered(stream)));
                    let want = model.verdict(now_s, service, stream);
                    assert_eq!(verdict, want, "seed {seed}, {now_s} s, {service}, stream {stream}");
                }
            }
            check_notes(now_s, &register, &model);
        }
    }
}
