//! Load: a large fleet in which each router sends an endpoint a request every few seconds. Opening a connection for
//! each would cost the endpoints more than a repeated prefill of the short shared parts.

use {
    crate::fixture::{NOW, demand, engines},
    googletest::prelude::*,
    siskin_dispatch::{
        pool::{Demand, End},
        prompt::Prompt,
    },
    std::time::Duration,
};

struct Case {
    name: &'static str,
    /// Length of the shared part in tokens.
    shared: u32,
    /// Whether the request should go to the endpoint with an open connection.
    want_connected: bool,
}

const CASES: [Case; 2] = [
    Case { name: "short shared part", shared: 230, want_connected: true },
    Case { name: "long shared part", shared: 4_500, want_connected: false },
];

/// Guards against opening a connection to save the prefill of a short shared part, and against repeating the prefill of
/// a long one to save a connection.
#[googletest::test]
fn connections_are_opened_for_long_shared_parts_only() {
    for case in &CASES {
        let asked = |subject: u64| {
            let parts = [(1, 300), (1_000 + subject, case.shared), (subject << 32, 900)];
            Demand { prompt: Prompt::new("m", parts), ..demand(0, 1) }
        };
        let mut reused = 0;
        for subject in 0..100 {
            let mut pool = engines(8);
            let first = pool.choose_endpoint(NOW, &demand(1, 500), &[]).unwrap().endpoint;
            let attempt = pool.sent(NOW, first, &asked(500).prompt);
            let later = NOW + Duration::from_secs(1);
            pool.record_end(later, &attempt, End::Completed);
            reused += u32::from(
                pool.choose_endpoint(later, &asked(subject), &[]).unwrap().endpoint == first,
            );
        }
        let connected = reused > 90;
        expect_that!(connected, eq(case.want_connected), "{}: {reused} of 100", case.name);
    }
}
