//! Load: several customers far beyond their fair share, some further than others. The one with the highest usage has to
//! yield to the others, however far all of them are beyond it.

use {
    crate::fixture::{NOW, demand, engines, ledger},
    googletest::prelude::*,
    siskin_dispatch::{
        admit::patience,
        pool::Demand,
        share::{Standing, Usage},
    },
    siskin_types::id::Customer,
};

struct Case {
    name: &'static str,
    /// Usage of two customers, in percent of the fair share.
    got: [u64; 2],
}

const CASES: [Case; 3] = [
    Case { name: "one at its share", got: [100, 200] },
    Case { name: "both beyond it", got: [240, 700] },
    Case { name: "both far beyond it", got: [300, 800] },
];

/// Guards against a customer that got several times as much as another one and may still wait almost as long.
#[googletest::test]
fn customer_with_most_usage_has_least_patience() {
    for case in CASES {
        let [less, more] = case.got.map(|begun| {
            patience(&Standing {
                usage: Usage { asked: 10_000, begun },
                fair_share: 100.0,
                rival: None,
                unmet: 0.5,
            })
        });
        expect_that!(less, ge(2.0 * more), "{}: {less:.3} and {more:.3}", case.name);
    }
}

/// Load: two customers ask for far more than the capacity; one sends short prompts that fit everywhere, the other long
/// ones. Guards against the one with short prompts taking all the capacity of idle engines.
#[googletest::test]
fn short_prompts_do_not_starve_long_ones() {
    struct Pair {
        name: &'static str,
        begun: [u64; 2],
        asked: [u64; 2],
        /// Whether a request of the first one is to be refused.
        want_refused: bool,
    }
    let cases = [
        Pair { name: "both alike", begun: [300, 290], asked: [9_000, 9_000], want_refused: false },
        Pair { name: "far ahead", begun: [840, 340], asked: [9_000, 9_000], want_refused: true },
        Pair {
            name: "other wants less",
            begun: [840, 340],
            asked: [9_000, 360],
            want_refused: false,
        },
        Pair {
            name: "within its share",
            begun: [90, 40],
            asked: [9_000, 9_000],
            want_refused: false,
        },
    ];
    for case in cases {
        // Ten customers share 2,000 tokens in four seconds; eight of them ask for 150 each.
        let mut ledger = ledger(500.0);
        for other in 0..8 {
            ledger.add(NOW, Customer(other), Usage { asked: 150, begun: 150 });
        }
        for (index, customer) in [Customer(8), Customer(9)].into_iter().enumerate() {
            let usage = Usage { asked: case.asked[index], begun: case.begun[index] };
            ledger.add(NOW, customer, usage);
        }
        let patience = patience(&ledger.standing(NOW, Customer(8)));
        expect_that!(patience <= 0.0, eq(case.want_refused), "{}: {patience}", case.name);
    }
}

/// Guards against sending a request without patience, which is to be refused, to an idle engine.
#[googletest::test]
fn request_without_patience_is_refused() {
    let pool = engines(2);
    let asked = Demand { patience: 0.0, ..demand(1, 10) };
    expect_that!(pool.choose_endpoint(NOW, &asked, &[]).is_err(), eq(true));
}
