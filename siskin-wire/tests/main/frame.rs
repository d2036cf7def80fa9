use {
    googletest::prelude::*,
    proptest::{prelude::*, test_runner::RngSeed},
    siskin_types::id::Node,
    siskin_wire::{
        Message,
        frame::{
            Error, Key, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_SENDERS, Opener, PREVIOUS_VERSION,
            Rejection, Sealer, VERSION, stream,
        },
        member,
    },
};

const INCARNATION: u64 = 1_764_800_000_000_000;
const SECRET: &[u8] = b"secret";

fn key() -> Key {
    Key::derive(SECRET)
}

fn sealer() -> Sealer {
    Sealer::new(Node(7), INCARNATION, key())
}

fn opener() -> Opener {
    Opener::new(key(), None)
}

fn from() -> member::Identity {
    member::Identity {
        node: Node(7),
        incarnation: INCARNATION,
        address: ([10, 0, 0, 7], 7_000).into(),
        data_centre: "dc-a".to_owned(),
    }
}

fn ping(number: u32) -> Message {
    Message::Member(member::Message::new(from(), member::Body::Ping { number }))
}

/// A message of about `bytes`.
fn large(bytes: usize) -> Message {
    let mut message = member::Message::new(from(), member::Body::Leave);
    message.from.data_centre = "x".repeat(bytes);
    Message::Member(message)
}

/// Appends the hash as the protocol has it, written out here so that a change of the protocol fails a test.
fn authenticated(mut content: Vec<u8>) -> Vec<u8> {
    let key = blake3::derive_key("siskinroute 2025 frames between routers", SECRET);
    let mac = blake3::keyed_hash(&key, &content);
    content.extend_from_slice(&mac.as_bytes()[..16]);
    content
}

fn content(version: u8, sequence: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(version, 7_u32, INCARNATION, sequence)).unwrap();
    bytes.extend_from_slice(body);
    bytes
}

fn body(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

#[gtest]
fn bad_frames_are_dropped() {
    struct Case {
        name: &'static str,
        frame: fn() -> Vec<u8>,
        want: Rejection,
    }
    let cases = [
        Case { name: "empty", frame: Vec::new, want: Rejection::Truncated },
        Case { name: "hash only", frame: || vec![VERSION; 16], want: Rejection::Truncated },
        Case {
            name: "last byte missing",
            frame: || {
                let mut frame = sealer().seal(&ping(1)).unwrap();
                frame.pop();
                frame
            },
            want: Rejection::NotAuthentic,
        },
        Case {
            name: "oversize",
            frame: || vec![VERSION; MAX_DATAGRAM_BYTES + 1],
            want: Rejection::Oversize,
        },
        Case {
            name: "next version",
            frame: || authenticated(content(VERSION + 1, 1, &body(&ping(1)))),
            want: Rejection::UnknownVersion,
        },
        Case {
            name: "wrong key",
            frame: || {
                let mut sealer = sealer();
                sealer.set_key(Key::derive(b"other"));
                sealer.seal(&ping(1)).unwrap()
            },
            want: Rejection::NotAuthentic,
        },
        Case {
            name: "authentic without header",
            frame: || authenticated(vec![VERSION]),
            want: Rejection::BadHeader,
        },
        Case {
            name: "authentic with unknown message",
            frame: || authenticated(content(VERSION, 1, &[250, 1, 2])),
            want: Rejection::BadMessage,
        },
        Case {
            name: "authentic with half a message",
            frame: || authenticated(content(VERSION, 1, &body(&ping(1))[..9])),
            want: Rejection::BadMessage,
        },
    ];
    for Case { name, frame, want } in cases {
        let got = opener().open_datagram(&frame());
        expect_that!(got, err(eq(&want)), "{name}");
    }
}

#[gtest]
fn every_flipped_bit_is_noticed() {
    let frame = sealer().seal(&ping(1)).unwrap();
    for bit in 0..frame.len() * 8 {
        let mut flipped = frame.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        expect_that!(opener().open(&flipped), err(anything()), "bit {bit}");
    }
}

/// Guards against a window that refuses reordered datagrams or lets a replay through.
#[gtest]
fn replay_window_accepts_each_number_once_in_any_order() {
    struct Case {
        name: &'static str,
        /// Sequence numbers in the order of arrival.
        arrivals: &'static [u64],
        want: Option<Rejection>,
    }
    let cases = [
        Case { name: "in order", arrivals: &[1, 2, 3], want: None },
        Case { name: "reordered", arrivals: &[3, 1, 2], want: None },
        Case { name: "replayed", arrivals: &[1, 2, 1], want: Some(Rejection::Replayed) },
        Case { name: "oldest of the window", arrivals: &[4_097, 2], want: None },
        Case { name: "before the window", arrivals: &[4_097, 1], want: Some(Rejection::TooLate) },
        Case { name: "slot reused after a turn", arrivals: &[1, 4_097, 4_096], want: None },
        Case { name: "far jump", arrivals: &[5, 1_000_000, 999_999], want: None },
        Case {
            name: "replayed after a far jump",
            arrivals: &[5, 1_000_000, 1_000_000],
            want: Some(Rejection::Replayed),
        },
        Case { name: "largest number", arrivals: &[u64::MAX, u64::MAX - 1], want: None },
    ];
    for Case { name, arrivals, want } in cases {
        let mut opener = opener();
        let frame = |sequence| authenticated(content(VERSION, sequence, &body(&ping(1))));
        let results: Vec<_> =
            arrivals.iter().map(|sequence| opener.open(&frame(*sequence)).err()).collect();
        expect_that!(results.last(), some(eq(&want)), "{name}");
        let earlier = &results[..results.len() - 1];
        expect_that!(earlier, each(none()), "{name}");
    }
}

#[gtest]
fn process_that_was_replaced_is_refused() {
    let mut opener = opener();
    let mut old = sealer();
    let mut new = Sealer::new(Node(7), INCARNATION + 1, key());
    expect_that!(opener.open(&old.seal(&ping(1)).unwrap()), ok(anything()));
    expect_that!(opener.open(&new.seal(&ping(1)).unwrap()), ok(anything()));
    let late = old.seal(&ping(2)).unwrap();
    expect_that!(opener.open(&late), err(eq(&Rejection::OldIncarnation)));
    old.raise_incarnation(INCARNATION + 2);
    expect_that!(opener.open(&old.seal(&ping(3)).unwrap()), ok(anything()), "clock set back");
}

#[gtest]
fn keys_change_without_a_gap() {
    struct Case {
        name: &'static str,
        sealed: &'static [u8],
        accepted: [Option<&'static [u8]>; 2],
        opens: bool,
    }
    let cases = [
        Case { name: "before", sealed: b"old", accepted: [Some(b"old"), None], opens: true },
        Case {
            name: "new announced",
            sealed: b"old",
            accepted: [Some(b"old"), Some(b"new")],
            opens: true,
        },
        Case {
            name: "new in use",
            sealed: b"new",
            accepted: [Some(b"old"), Some(b"new")],
            opens: true,
        },
        Case { name: "old retired", sealed: b"new", accepted: [Some(b"new"), None], opens: true },
        Case { name: "old refused", sealed: b"old", accepted: [Some(b"new"), None], opens: false },
    ];
    let mut opener = opener();
    let mut sealer = sealer();
    for Case { name, sealed, accepted, opens } in cases {
        sealer.set_key(Key::derive(sealed));
        let [first, second] = accepted.map(|secret| secret.map(Key::derive));
        opener.set_keys(first.unwrap(), second);
        let got = opener.open(&sealer.seal(&ping(1)).unwrap());
        expect_that!(got.is_ok(), eq(opens), "{name}");
    }
}

/// Guards against an upgrade that splits the fleet.
#[gtest]
fn previous_version_opens_and_unknown_trailing_bytes_are_ignored() {
    for version in [PREVIOUS_VERSION, VERSION] {
        let mut extended = body(&ping(5));
        extended.extend_from_slice(b"fields of a neighbouring version");
        let opened = opener().open(&authenticated(content(version, 1, &extended)));
        expect_that!(opened.unwrap().message, eq(&ping(5)), "version {version}");
    }
    let mut sealer = sealer();
    sealer.use_previous_version();
    let frame = sealer.seal(&ping(5)).unwrap();
    expect_that!(frame[0], eq(PREVIOUS_VERSION));
    expect_that!(opener().open(&frame), ok(anything()));
}

#[gtest]
fn sizes_are_limited_and_the_overhead_is_small() {
    let mut sealer = sealer();
    expect_that!(
        sealer.seal_datagram(&large(MAX_DATAGRAM_BYTES)),
        err(pat!(Error::Oversize { .. }))
    );
    expect_that!(sealer.seal(&large(MAX_FRAME_BYTES)), err(pat!(Error::Oversize { .. })));
    let frame = sealer.seal(&large(MAX_DATAGRAM_BYTES)).unwrap();
    expect_that!(opener().open_datagram(&frame), err(eq(&Rejection::Oversize)));
    expect_that!(opener().open(&frame), ok(anything()));
    let overhead = sealer.seal(&ping(1)).unwrap().len() - body(&ping(1)).len();
    expect_that!(overhead, le(32), "bytes besides the message");
    expect_that!(stream::append(&mut Vec::new(), &vec![0; MAX_FRAME_BYTES + 1]), err(anything()));
    expect_that!(stream::split(&u32::MAX.to_be_bytes()), err(eq(Rejection::Oversize)));
}

#[gtest]
fn senders_are_bounded_and_the_longest_silent_is_forgotten() {
    let mut opener = opener();
    let senders = u32::try_from(MAX_SENDERS).unwrap() + 10;
    let mut first = Sealer::new(Node(0), INCARNATION, key());
    let recorded = first.seal(&ping(0)).unwrap();
    expect_that!(opener.open(&recorded), ok(anything()));
    for node in 1..senders {
        let mut sealer = Sealer::new(Node(node), INCARNATION, key());
        expect_that!(opener.open(&sealer.seal(&ping(1)).unwrap()), ok(anything()), "node {node}");
        if node % 100 == 0 {
            opener.open(&first.seal(&ping(1)).unwrap()).unwrap();
        }
    }
    expect_that!(opener.senders(), eq(MAX_SENDERS));
    expect_that!(opener.open(&recorded), err(eq(&Rejection::Replayed)), "recently heard");
}

#[gtest]
fn labels_are_distinct_snake_case() {
    let labels: std::collections::BTreeSet<_> =
        Rejection::ALL.iter().map(|rejection| rejection.label()).collect();
    expect_that!(labels.len(), eq(Rejection::ALL.len()));
    let snake = |label: &str| label.chars().all(|c| c.is_ascii_lowercase() || c == '_');
    expect_that!(labels.iter().all(|label| snake(label)), eq(true));
}

fn config() -> ProptestConfig {
    let seed = std::env::var("SISKIN_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("SISKIN_SEED={seed}");
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_open(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(opener().open(&bytes).is_err());
        let mut versioned = bytes.clone();
        versioned.insert(0, VERSION);
        prop_assert!(opener().open_datagram(&versioned).is_err());
        let _ = stream::split(&bytes);
    }

    /// Malformed content from a faulty member of the fleet must not stop a router either.
    #[test]
    fn arbitrary_authentic_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = opener().open(&authenticated(content(VERSION, 1, &bytes)));
        let _ = opener().open(&authenticated(bytes));
    }

    #[test]
    fn streams_split_where_they_were_joined(
        frames in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..50), 0..5),
        cut in 0_usize..4,
    ) {
        let mut sent = Vec::new();
        for frame in &frames {
            stream::append(&mut sent, frame).unwrap();
        }
        sent.extend(std::iter::repeat_n(0, cut));
        let mut rest = &sent[..];
        let mut got = Vec::new();
        while let Some(split) = stream::split(rest).unwrap() {
            got.push(split.frame.to_vec());
            rest = split.rest;
        }
        prop_assert_eq!(got, frames);
    }
}
