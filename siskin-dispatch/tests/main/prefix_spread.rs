//! Load: many subjects with a long shared part, asked for through several routers. Each part should be read at one engine,
//! wherever its requests arrive, unless that engine is far behind.

use {
    crate::fixture::{NOW, demand, engines, infos},
    googletest::prelude::*,
    siskin_dispatch::pool::{Info, Pool},
    siskin_types::id::Endpoint,
    std::collections::HashMap,
};

fn place(pool: &Pool, subject: u64) -> Endpoint {
    pool.choose(NOW, &demand(subject, 300), &[]).unwrap().endpoint
}

/// Guards against routers that read the same part at different engines.
#[googletest::test]
fn routers_agree_on_the_engine_of_a_subject() {
    let (one, other) = (engines(12), engines(12));
    let mut counts: HashMap<Endpoint, u32> = HashMap::new();
    for subject in 0..200 {
        let endpoint = place(&one, subject);
        expect_that!(place(&other, subject), eq(endpoint));
        *counts.entry(endpoint).or_default() += 1;
    }
    expect_that!(counts.len(), eq(12));
    expect_that!(counts.values().copied().max(), some(le(200 / 12 * 2)));
}

/// Guards against moving all subjects when an engine goes: only those of that engine find a new home.
#[googletest::test]
fn other_subjects_stay_when_an_engine_leaves() {
    let before = engines(12);
    let mut after = Pool::new();
    let left: Vec<Info> = infos(12).into_iter().filter(|info| info.id != Endpoint(5)).collect();
    after.set_endpoints(NOW, &left);
    for subject in 0..200 {
        let home = place(&before, subject);
        if home != Endpoint(5) {
            expect_that!(place(&after, subject), eq(home), "subject {subject}");
        }
    }
}

struct Case {
    name: &'static str,
    /// Prompts of 12,000 tokens that wait at the home.
    ahead: u64,
    want_home: bool,
}

const CASES: [Case; 3] = [
    Case { name: "idle", ahead: 0, want_home: true },
    Case { name: "one waits", ahead: 1, want_home: true },
    Case { name: "far behind", ahead: 8, want_home: false },
];

/// Guards against copies of a part for small differences in load, and against waiting for a home that is far behind.
#[googletest::test]
fn a_subject_leaves_its_home_only_when_that_is_far_behind() {
    for case in CASES {
        let mut pool = engines(12);
        let home = place(&pool, 7);
        for subject in 0..case.ahead {
            pool.sent(NOW, home, &demand(1_000 + subject, 7_000).prompt);
        }
        expect_that!(place(&pool, 7) == home, eq(case.want_home), "{}", case.name);
    }
}
