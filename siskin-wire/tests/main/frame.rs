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

/// A message of about `bytes` bytes.
fn large_message(bytes: usize) -> Message {
    let mut message = member::Message::new(from(), member::Body::Leave);
    message.from.data_centre = "x".repeat(bytes);
    Message::Member(message)
}

/// Appends the keyed hash. Implemented again here, so that a change of the protocol fails a test.
fn authenticate(mut content: Vec<u8>) -> Vec<u8> {
    let key = blake3::derive_key("siskinroute 2025 frames between routers", SECRET);
    let mac = blake3::keyed_hash(&key, &content);
    content.extend_from_slice(&mac.as_bytes()[..16]);
    content
}

/// An encoded header, followed by `body`.
fn encode_content(version: u8, sequence: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&(version, 7_u32, INCARNATION, sequence)).unwrap();
    bytes.extend_from_slice(body);
    bytes
}

fn encode_body(message: &Message) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

#[gtest]
fn bad_frames_are_dropped() {
    struct Case {
        name: &'static str,
        frame: Vec<u8>,
        want: Rejection,
    }
    let case = |name, frame, want| Case { name, frame, want };
    let good = sealer().seal(&ping(1)).unwrap();
    let foreign = Sealer::new(Node(7), INCARNATION, Key::derive(b"other")).seal(&ping(1)).unwrap();
    let message = encode_body(&ping(1));
    let frame = |version, body| authenticate(encode_content(version, 1, body));
    let cases = [
        case("empty", Vec::new(), Rejection::Truncated),
        case("hash only", vec![VERSION; 16], Rejection::Truncated),
        case("last byte missing", good[..good.len() - 1].to_vec(), Rejection::NotAuthentic),
        case("oversize", vec![VERSION; MAX_DATAGRAM_BYTES + 1], Rejection::Oversize),
        case("next version", frame(VERSION + 1, &message), Rejection::UnknownVersion),
        case("wrong key", foreign, Rejection::NotAuthentic),
        case("authentic without header", authenticate(vec![VERSION]), Rejection::BadHeader),
        case("authentic with unknown message", frame(VERSION, &[250, 1, 2]), Rejection::BadMessage),
        case("authentic with half a message", frame(VERSION, &message[..9]), Rejection::BadMessage),
    ];
    for Case { name, frame, want } in cases {
        let got = opener().open_datagram(&frame);
        expect_that!(got, err(eq(&want)), "{name}");
    }
}

#[gtest]
fn frame_with_any_bit_flipped_is_rejected() {
    let frame = sealer().seal(&ping(1)).unwrap();
    for bit in 0..frame.len() * 8 {
        let mut flipped = frame.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        expect_that!(opener().open(&flipped), err(anything()), "bit {bit}");
    }
}

/// Guards against a replay window that rejects reordered datagrams or accepts a replay.
#[gtest]
fn replay_window_accepts_each_number_once_in_any_order() {
    struct Case {
        name: &'static str,
        /// Sequence numbers in the order of arrival; the last one is checked.
        arrivals: &'static [u64],
        want: Option<Rejection>,
    }
    let case = |name, arrivals, want| Case { name, arrivals, want };
    let cases = [
        case("in order", &[1, 2, 3], None),
        case("reordered", &[3, 1, 2], None),
        case("replayed", &[1, 2, 1], Some(Rejection::Replayed)),
        case("oldest of the window", &[4_097, 2], None),
        case("before the window", &[4_097, 1], Some(Rejection::TooLate)),
        case("bit reused after wrap-around", &[1, 4_097, 4_096], None),
        case("far jump", &[5, 1_000_000, 999_999], None),
        case("after a far jump", &[5, 1_000_000, 1_000_000], Some(Rejection::Replayed)),
        case("largest number", &[u64::MAX, u64::MAX - 1], None),
    ];
    for Case { name, arrivals, want } in cases {
        let mut opener = opener();
        let frame =
            |sequence| authenticate(encode_content(VERSION, sequence, &encode_body(&ping(1))));
        let results: Vec<_> =
            arrivals.iter().map(|sequence| opener.open(&frame(*sequence)).err()).collect();
        expect_that!(results.last(), some(eq(&want)), "{name}");
        let earlier = &results[..results.len() - 1];
        expect_that!(earlier, each(none()), "{name}");
    }
}

#[gtest]
fn frames_of_a_replaced_process_are_rejected() {
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
fn key_rotation_rejects_no_valid_frame() {
    struct Case {
        name: &'static str,
        sealed: &'static [u8],
        accepted: (&'static [u8], Option<&'static [u8]>),
        opens: bool,
    }
    let case = |name, sealed, accepted, opens| Case { name, sealed, accepted, opens };
    let cases = [
        case("before", b"old", (b"old", None), true),
        case("new key accepted", b"old", (b"old", Some(b"new")), true),
        case("new key in use", b"new", (b"old", Some(b"new")), true),
        case("old key removed", b"new", (b"new", None), true),
        case("old key rejected", b"old", (b"new", None), false),
    ];
    let mut opener = opener();
    let mut sealer = sealer();
    for Case { name, sealed, accepted, opens } in cases {
        sealer.set_key(Key::derive(sealed));
        opener.set_keys(Key::derive(accepted.0), accepted.1.map(Key::derive));
        let got = opener.open(&sealer.seal(&ping(1)).unwrap());
        expect_that!(got.is_ok(), eq(opens), "{name}");
    }
}

/// Guards against routers of neighbouring versions rejecting each other's frames during an upgrade.
#[gtest]
fn previous_version_opens_and_unknown_trailing_bytes_are_ignored() {
    for version in [PREVIOUS_VERSION, VERSION] {
        let mut extended = encode_body(&ping(5));
        extended.extend_from_slice(b"fields of a neighbouring version");
        let opened = opener().open(&authenticate(encode_content(version, 1, &extended)));
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
        sealer.seal_datagram(&large_message(MAX_DATAGRAM_BYTES)),
        err(pat!(Error::Oversize { .. }))
    );
    expect_that!(sealer.seal(&large_message(MAX_FRAME_BYTES)), err(pat!(Error::Oversize { .. })));
    let frame = sealer.seal(&large_message(MAX_DATAGRAM_BYTES)).unwrap();
    expect_that!(opener().open_datagram(&frame), err(eq(&Rejection::Oversize)));
    expect_that!(opener().open(&frame), ok(anything()));
    let overhead = sealer.seal(&ping(1)).unwrap().len() - encode_body(&ping(1)).len();
    expect_that!(overhead, le(32), "bytes in addition to the message");
    expect_that!(stream::append(&mut Vec::new(), &vec![0; MAX_FRAME_BYTES + 1]), err(anything()));
    expect_that!(stream::split(&u32::MAX.to_be_bytes()), err(eq(Rejection::Oversize)));
}

#[gtest]
fn number_of_senders_is_bounded_and_the_least_recently_active_is_evicted() {
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
    expect_that!(opener.open(&recorded), err(eq(&Rejection::Replayed)), "recently active");
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

    /// Guards against authentic but malformed frames of a faulty router that crash the receiver.
    #[test]
    fn arbitrary_authentic_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = opener().open(&authenticate(encode_content(VERSION, 1, &bytes)));
        let _ = opener().open(&authenticate(bytes));
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
