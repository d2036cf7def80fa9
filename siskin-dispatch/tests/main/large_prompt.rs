//! Load: prompts of very different length. Under load the long ones are refused first, but not always: a size that is
//! behind the others gets in wherever an engine has little to do.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::{Demand, Why},
};

struct Case {
    name: &'static str,
    /// Prompts of 20,000 tokens that each engine is reading.
    ahead: u64,
    /// Own tokens of the request.
    own: u32,
    /// Whether requests of this size are behind.
    behind: bool,
    want: Option<Why>,
}

const CASES: [Case; 6] = [
    Case { name: "short, idle", ahead: 0, own: 1_000, behind: false, want: None },
    Case { name: "long, idle", ahead: 0, own: 120_000, behind: false, want: Some(Why::Busy) },
    Case { name: "long and behind, idle", ahead: 0, own: 120_000, behind: true, want: None },
    Case { name: "short, little ahead", ahead: 0, own: 2_000, behind: false, want: None },
    Case { name: "short, many ahead", ahead: 8, own: 1_000, behind: false, want: Some(Why::Busy) },
    Case { name: "long, many ahead", ahead: 8, own: 120_000, behind: true, want: Some(Why::Busy) },
];

/// Guards against refusing the largest requests of a route on idle engines, however rarely they are served.
#[googletest::test]
fn sizes_that_are_behind_are_served_by_idle_engines() {
    for case in CASES {
        let mut pool = engines(2);
        for subject in 0..case.ahead * 2 {
            let waiting = demand(subject, 15_000).prompt;
            let endpoint = siskin_types::id::Endpoint(u32::try_from(subject % 2).unwrap() + 1);
            pool.sent(NOW, endpoint, &waiting);
        }
        let asked = Demand { behind: case.behind, ..demand(99, case.own) };
        let chosen = pool.choose(NOW, &asked, &[]);
        expect_that!(chosen.err().map(|refusal| refusal.why), eq(case.want), "{}", case.name);
    }
}
