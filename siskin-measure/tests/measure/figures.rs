//! Gap between customers, and names in flags.

use {
    googletest::prelude::*,
    siskin_measure::{fault::Fault, gap::Gap, mode::Mode, workload::Scenario},
};

/// Guards against gaps that count customers without waiting work, or that miss one of the two sides.
#[gtest]
fn gaps() {
    const ALL: [bool; 3] = [true; 3];
    struct Case {
        name: &'static str,
        samples: &'static [([f64; 3], [bool; 3])],
        largest: f64,
        count: u64,
    }
    let cases = [
        Case { name: "no sample", samples: &[], largest: 0.0, count: 0 },
        Case {
            name: "start is no gap",
            samples: &[([9.0, 0.0, 4.0], ALL)],
            largest: 0.0,
            count: 1,
        },
        Case {
            name: "either side may lead",
            samples: &[([0.0; 3], ALL), ([0.0, 7.0, 3.0], ALL), ([20.0, 20.0, 20.0], ALL)],
            largest: 7.0,
            count: 3,
        },
        Case {
            name: "from one lead to the other",
            samples: &[([0.0; 3], ALL), ([5.0, 0.0, 0.0], ALL), ([5.0, 10.0, 5.0], ALL)],
            largest: 10.0,
            count: 3,
        },
        Case {
            name: "a pause starts anew",
            samples: &[
                ([0.0; 3], ALL),
                ([50.0, 0.0, 0.0], [false, true, true]),
                ([50.0, 0.0, 0.0], ALL),
            ],
            largest: 0.0,
            count: 3,
        },
        Case {
            name: "one customer has no gap",
            samples: &[([0.0; 3], [true, false, false]), ([9.0, 0.0, 0.0], [true, false, false])],
            largest: 0.0,
            count: 0,
        },
    ];
    for case in cases {
        let mut gap = Gap::new(3);
        for (service, backlogged) in case.samples {
            gap.sample(service, backlogged);
        }
        expect_that!(gap.largest(), near(case.largest, 1e-9), "{}", case.name);
        expect_that!(gap.samples(), eq(case.count), "{}", case.name);
    }
}

/// Guards against names that are listed and not accepted.
#[gtest]
fn names() {
    for mode in Mode::ALL {
        expect_that!(mode.name().parse::<Mode>(), ok(eq(&mode)));
    }
    for fault in Fault::ALL {
        expect_that!(fault.name().parse::<Fault>(), ok(eq(&fault)));
    }
    for scenario in Scenario::ALL {
        expect_that!(scenario.name().parse::<Scenario>(), ok(eq(&scenario)));
    }
    let unknown = "nothing".parse::<Mode>().unwrap_err().to_string();
    expect_that!(unknown, contains_substring("choose from fleet, isolated, global"));
}
