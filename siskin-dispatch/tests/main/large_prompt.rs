//! Load: prompts of very different lengths. Under load the longest are refused first, but not always: an idle engine
//! accepts any prompt, and prompts of an underserved size class have a lower weight.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::{
        pool::{Cause, Demand},
        prompt::Prompt,
        sizes::Classes,
    },
    std::time::Duration,
};

struct Case {
    name: &'static str,
    /// Prompts of 12,000 tokens in the backlog of each engine.
    backlog: u64,
    /// Length of the request's own part in tokens.
    own: u32,
    /// Weight of the prefill time of the own prompt.
    weight: f64,
    want: Option<Cause>,
}

const CASES: [Case; 6] = [
    Case { name: "short, idle", backlog: 0, own: 1_000, weight: 1.0, want: None },
    Case { name: "long, idle", backlog: 0, own: 120_000, weight: 1.0, want: None },
    Case {
        name: "long, short backlog",
        backlog: 1,
        own: 20_000,
        weight: 1.0,
        want: Some(Cause::Busy),
    },
    Case {
        name: "long and underserved, short backlog",
        backlog: 1,
        own: 20_000,
        weight: 0.2,
        want: None,
    },
    Case {
        name: "short, long backlog",
        backlog: 8,
        own: 1_000,
        weight: 1.0,
        want: Some(Cause::Busy),
    },
    Case {
        name: "long and underserved, long backlog",
        backlog: 8,
        own: 20_000,
        weight: 0.2,
        want: Some(Cause::Busy),
    },
];

/// Guards against refusing the largest requests of a route at idle engines because they are rarely served.
#[googletest::test]
fn underserved_sizes_are_served_by_idle_engines() {
    for case in CASES {
        let mut pool = engines(2);
        for subject in 0..case.backlog * 2 {
            let waiting = demand(subject, 7_000).prompt;
            let endpoint = siskin_types::id::Endpoint(u32::try_from(subject % 2).unwrap() + 1);
            pool.sent(NOW, endpoint, &waiting);
        }
        let asked = Demand { own_weight: case.weight, ..demand(99, case.own) };
        let chosen = pool.choose_endpoint(NOW, &asked, &[]);
        expect_that!(chosen.err().map(|refusal| refusal.cause), eq(case.want), "{}", case.name);
    }
}

/// Load: customers far beyond their fair share send prompts of all sizes, and every engine has a backlog. Guards
/// against serving the largest tenth less than half as often as all requests, which their low patience would cause.
#[googletest::test]
fn largest_tenth_is_served_half_as_often_as_all() {
    struct Share {
        name: &'static str,
        patience: f64,
        /// Own tokens of the requests in the largest tenth.
        own: u32,
    }
    let cases = [
        Share { name: "a little beyond their share", patience: 0.5, own: 30_000 },
        Share { name: "beyond their share", patience: 0.25, own: 20_000 },
        Share { name: "far beyond their share", patience: 0.15, own: 40_000 },
    ];
    for case in cases {
        let mut pool = engines(1);
        // A prompt with few tokens left to prefill is in the backlog.
        let waiting = Prompt::new("m", [(1, 500), (1_001, 4_500)]);
        let mut attempt = pool.sent(NOW, siskin_types::id::Endpoint(1), &waiting);
        pool.record_response_start(NOW, &mut attempt);
        pool.sent(NOW, siskin_types::id::Endpoint(1), &demand(1, 1_600).prompt);
        let mut sizes = Classes::default();
        let (mut asked, mut served) = ([0_u32; 2], [0_u32; 2]);
        for number in 0..1_000 {
            let now = NOW + Duration::from_millis(20) * number;
            let large = number % 10 == 9;
            let own = if large { case.own } else { 100 + number };
            let class = sizes.asked(now, u64::from(own));
            let wanted = Demand {
                patience: sizes.patience(class, case.patience),
                own_weight: sizes.own_weight(class),
                ..demand(1, own)
            };
            asked[usize::from(large)] += 1;
            if pool.choose_endpoint(NOW, &wanted, &[]).is_ok() {
                sizes.served(class);
                served[usize::from(large)] += 1;
            }
        }
        let share = |class: usize| f64::from(served[class]) / f64::from(asked[class]);
        let all = f64::from(served[0] + served[1]) / f64::from(asked[0] + asked[1]);
        expect_that!(share(0), gt(0.9), "{}", case.name);
        expect_that!(share(1), ge(0.5 * all), "{}", case.name);
    }
}
