//! Load: many subjects with a long shared part, requested through several routers. Each shared part should be prefilled
//! and cached at one engine, wherever its requests arrive, unless that engine is far behind.

use {
    crate::fixture::{NOW, demand, engines, infos},
    googletest::prelude::*,
    siskin_dispatch::pool::{Info, Pool},
    siskin_types::id::Endpoint,
    std::collections::HashMap,
};

fn choose_endpoint(pool: &Pool, subject: u64) -> Endpoint {
    pool.choose_endpoint(NOW, &demand(subject, 300), &[]).unwrap().endpoint
}

/// Guards against routers that send the same shared part to different engines.
#[googletest::test]
fn routers_choose_the_same_engine_for_a_subject() {
    let (one, other) = (engines(12), engines(12));
    let mut counts: HashMap<Endpoint, u32> = HashMap::new();
    for subject in 0..200 {
        let endpoint = choose_endpoint(&one, subject);
        expect_that!(choose_endpoint(&other, subject), eq(endpoint));
        *counts.entry(endpoint).or_default() += 1;
    }
    expect_that!(counts.len(), eq(12));
    expect_that!(counts.values().copied().max(), some(le(200 / 12 * 2)));
}

/// Guards against moving all subjects when an engine leaves: only the subjects of that engine get a new home.
#[googletest::test]
fn other_subjects_stay_when_an_engine_leaves() {
    let before = engines(12);
    let mut after = Pool::new();
    let left: Vec<Info> = infos(12).into_iter().filter(|info| info.id != Endpoint(5)).collect();
    after.set_endpoints(NOW, &left);
    for subject in 0..200 {
        let home = choose_endpoint(&before, subject);
        if home != Endpoint(5) {
            expect_that!(choose_endpoint(&after, subject), eq(home), "subject {subject}");
        }
    }
}

struct Case {
    name: &'static str,
    /// Prompts of 12,000 tokens in the backlog of the home endpoint.
    backlog: u64,
    want_home: bool,
}

const CASES: [Case; 3] = [
    Case { name: "idle", backlog: 0, want_home: true },
    Case { name: "one waits", backlog: 1, want_home: true },
    Case { name: "far behind", backlog: 8, want_home: false },
];

/// Guards against copying a shared part to another engine because of a small difference in load, and against waiting
/// for a home endpoint that is far behind.
#[googletest::test]
fn subject_moves_only_if_its_home_is_far_behind() {
    for case in CASES {
        let mut pool = engines(12);
        let home = choose_endpoint(&pool, 7);
        for subject in 0..case.backlog {
            pool.sent(NOW, home, &demand(1_000 + subject, 7_000).prompt);
        }
        expect_that!(choose_endpoint(&pool, 7) == home, eq(case.want_home), "{}", case.name);
    }
}
