//! Load: 5,300 endpoints and routers of two versions, which exchange load in datagrams of 1,400 bytes.

use {
    googletest::prelude::*,
    siskin_types::id::Endpoint,
    siskin_wire::{
        Message,
        load::{Digest, Load, Scope},
        work::{self, Mean, Report, Work},
    },
};

/// Room for the frame around a message.
const FRAME_BYTES: usize = 100;

/// A digest as the previous version encodes it.
const PREVIOUS_DIGEST: [u8; 25] =
    [8, 1, 5, 0, 255, 255, 3, 0, 255, 255, 255, 255, 15, 1, 7, 2, 136, 39, 3, 50, 1, 0, 0, 0, 0];

/// Guards against a report that does not fit a datagram.
#[googletest::test]
fn full_reports_fit_a_datagram() {
    let load = work::Load { running: 255, waiting: 255, slowness: 255, age: 255 };
    let work =
        Work { endpoint: Endpoint(u32::MAX), rest: u16::MAX, memory: u16::MAX, load: Some(load) };
    let max = u32::MAX;
    let mean = Mean {
        service: max,
        route: max,
        time_ms: max,
        time_error_ms: max,
        tokens: max,
        tokens_error: max,
        token_us: max,
    };
    let report = Report {
        scope: Scope::Fleet,
        works: vec![work; Report::WORKS_MAX],
        means: vec![mean; Report::MEANS_MAX],
    };
    expect_that!(postcard::to_stdvec(&work).unwrap().len(), le(16));
    let bytes = postcard::to_stdvec(&Message::Work(report)).unwrap();
    expect_that!(bytes.len(), le(1_400 - FRAME_BYTES));
}

/// Guards against digests of routers of the previous version that cannot be read any more.
#[googletest::test]
fn digests_of_the_previous_version_are_read() {
    let load = Load {
        endpoint: Endpoint(7),
        in_flight: 2,
        backlog: 5_000,
        read: 3,
        rate: 50,
        rated: 1,
        backing_off: 0,
    };
    let digest =
        Digest { scope: Scope::Group, config_version: 5, loads: vec![load], ..Digest::default() };
    let bytes = postcard::to_stdvec(&Message::Load(digest.clone())).unwrap();
    expect_that!(bytes.as_slice(), eq(&PREVIOUS_DIGEST[..]));
    let read: Message = postcard::from_bytes(&PREVIOUS_DIGEST).unwrap();
    expect_that!(read, eq(&Message::Load(digest)));
}
