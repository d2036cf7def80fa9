//! Load: prompts of very different length. Under load the longest are refused first, but not always: an idle engine takes
//! any, and while a size is behind the others its prompts count less.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::pool::{Demand, Why},
};

struct Case {
    name: &'static str,
    /// Prompts of 12,000 tokens that wait at each engine.
    ahead: u64,
    /// Own tokens of the request.
    own: u32,
    /// How much the own prompt counts.
    weight: f64,
    want: Option<Why>,
}

const CASES: [Case; 6] = [
    Case { name: "short, idle", ahead: 0, own: 1_000, weight: 1.0, want: None },
    Case { name: "long, idle", ahead: 0, own: 120_000, weight: 1.0, want: None },
    Case { name: "long, little ahead", ahead: 1, own: 20_000, weight: 1.0, want: Some(Why::Busy) },
    Case { name: "long and behind, little ahead", ahead: 1, own: 20_000, weight: 0.2, want: None },
    Case { name: "short, much ahead", ahead: 8, own: 1_000, weight: 1.0, want: Some(Why::Busy) },
    Case {
        name: "long and behind, much ahead",
        ahead: 8,
        own: 20_000,
        weight: 0.2,
        want: Some(Why::Busy),
    },
];

/// Guards against refusing the largest requests of a route on idle engines, however rarely they are served.
#[googletest::test]
fn sizes_that_are_behind_are_served_by_idle_engines() {
    for case in CASES {
        let mut pool = engines(2);
        for subject in 0..case.ahead * 2 {
            let waiting = demand(subject, 7_000).prompt;
            let endpoint = siskin_types::id::Endpoint(u32::try_from(subject % 2).unwrap() + 1);
            pool.sent(NOW, endpoint, &waiting);
        }
        let asked = Demand { own_weight: case.weight, ..demand(99, case.own) };
        let chosen = pool.choose(NOW, &asked, &[]);
        expect_that!(chosen.err().map(|refusal| refusal.why), eq(case.want), "{}", case.name);
    }
}
