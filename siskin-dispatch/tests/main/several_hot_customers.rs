//! Load: several customers far beyond their share, some further than others. The one that got most has to give way to the
//! others, however far all are beyond.

use {
    googletest::prelude::*,
    siskin_dispatch::{
        admit::patience,
        share::{Standing, Usage},
    },
};

struct Case {
    name: &'static str,
    /// What two customers got, in hundredths of their share.
    got: [u64; 2],
}

const CASES: [Case; 3] = [
    Case { name: "one at par", got: [100, 200] },
    Case { name: "both beyond", got: [240, 700] },
    Case { name: "both far beyond", got: [300, 800] },
];

/// Guards against a customer that got several times as much as another one and may wait almost as long.
#[googletest::test]
fn the_one_that_got_most_gives_way() {
    for case in CASES {
        let [less, more] = case.got.map(|begun| {
            patience(&Standing { usage: Usage { asked: 10_000, begun }, level: 100.0 })
        });
        expect_that!(less, ge(2.0 * more), "{}: {less:.3} and {more:.3}", case.name);
    }
}
