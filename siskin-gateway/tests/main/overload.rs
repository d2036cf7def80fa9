//! Overload: all callers of a data centre send requests to one small VM, at several times the rate that it can serve, until
//! the platform sends them to other VMs. They must neither wait until their deadline nor all be refused.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{TestRouter, catalog, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Account, Catalog, Kind},
        overload::{INTERVAL, Meter, State},
    },
    siskin_types::{id::Customer, time::Instant},
    std::{sync::Arc, time::Duration},
};

/// Simulation of a process with one thread that handles requests in the order of arrival. Times are for a small share of a
/// processor.
struct Vm {
    time_per_served: Duration,
    time_per_refused: Duration,
    arrivals_per_second: u32,
}

#[derive(Debug, Default)]
struct Observed {
    served: u32,
    refused: u32,
    /// Longest time that a request was queued, not counting the first second.
    longest_wait: Duration,
    /// Time at which the process first failed its readiness check.
    first_not_ready: Option<Duration>,
}

impl Vm {
    fn run(&self, time: Duration) -> Observed {
        let start = Instant::from_micros(1_000_000);
        let mut meter = Meter::default();
        let mut observed = Observed::default();
        // Time at which the process has handled all requests that have arrived.
        let mut idle_at = start;
        let mut sample_at = start + INTERVAL;
        for arrival in 0..self.arrivals_per_second * u32::try_from(time.as_secs()).unwrap() {
            let now = start + Duration::from_secs(1) * arrival / self.arrivals_per_second;
            while sample_at <= now {
                // The timer's task runs after the requests that are queued.
                let lateness = idle_at - sample_at;
                meter.sample(sample_at + lateness, lateness);
                if meter.state() != State::Calm {
                    observed.first_not_ready.get_or_insert(sample_at + lateness - start);
                }
                sample_at = sample_at + lateness + INTERVAL;
            }
            let begins = idle_at.max(now);
            if now - start > Duration::from_secs(1) {
                observed.longest_wait = observed.longest_wait.max(begins - now);
            }
            let admitted = meter.admit_request(begins);
            observed.served += u32::from(admitted);
            observed.refused += u32::from(!admitted);
            idle_at = begins + if admitted { self.time_per_served } else { self.time_per_refused };
        }
        observed
    }
}

/// Guards against shedding so late that requests wait too long, and against shedding all requests.
#[googletest::test]
fn overloaded_vm_sheds_only_part_of_the_requests() {
    struct Case {
        name: &'static str,
        arrivals_per_second: u32,
        /// Share of the requests that the processor time suffices for, less a third.
        served_min: f64,
        served_max: f64,
    }
    let cases = [
        Case {
            name: "half of the capacity",
            arrivals_per_second: 250,
            served_min: 1.0,
            served_max: 1.0,
        },
        Case {
            name: "twice the capacity",
            arrivals_per_second: 1_000,
            served_min: 0.22,
            served_max: 0.9,
        },
        Case {
            name: "three times the capacity",
            arrivals_per_second: 1_500,
            served_min: 0.11,
            served_max: 0.6,
        },
    ];
    for case in cases {
        let vm = Vm {
            time_per_served: Duration::from_millis(2),
            time_per_refused: Duration::from_micros(500),
            arrivals_per_second: case.arrivals_per_second,
        };
        let observed = vm.run(Duration::from_secs(4));
        let share = f64::from(observed.served) / f64::from(observed.served + observed.refused);
        expect_that!(share, ge(case.served_min), "{}: {observed:?}", case.name);
        expect_that!(share, le(case.served_max), "{}: {observed:?}", case.name);
        expect_that!(
            observed.longest_wait,
            le(Duration::from_millis(250)),
            "{}: {observed:?}",
            case.name
        );
        if case.served_max < 1.0 {
            let soon = some(le(Duration::from_secs(1)));
            expect_that!(observed.first_not_ready, soon, "{}: {observed:?}", case.name);
        }
    }
}

/// Guards against asking callers to close their connections while the platform still sends them to the same VM, as it has
/// not noticed yet that this is not ready.
#[googletest::test]
fn connections_are_closed_only_after_the_platform_noticed_unreadiness() {
    let mut meter = Meter::default();
    let mut now = Instant::from_micros(0);
    let mut states = Vec::new();
    for _ in 0..100 {
        now = now + INTERVAL;
        meter.sample(now, Duration::from_millis(80));
        states.push((meter.state(), meter.unready_noticed(now)));
    }
    let strained = states.iter().position(|(state, _)| *state != State::Calm).unwrap();
    let noticed = states.iter().position(|(_, noticed)| *noticed).unwrap();
    // Two readiness checks, a second apart, have to fail first.
    expect_that!(INTERVAL * u32::try_from(noticed - strained).unwrap(), ge(Duration::from_secs(2)));
}

/// Guards against underestimating the demand of customers whose requests an overloaded VM refused: customers whose requests
/// went to other VMs would get several times as much.
#[googletest::test]
#[tokio::test]
async fn shed_requests_count_as_demand() {
    const CUSTOMER: Customer = Customer(5);
    const REQUESTS: u64 = 30;
    let endpoint = Endpoint::start(&[Step::Respond(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok",
    )])
    .await;
    let account = Account { id: CUSTOMER, name: "customer".to_owned() };
    let accounts = Some([("k".to_owned(), account)].into());
    let catalog = Catalog { accounts, ..catalog(Kind::Idempotent) };
    let gateway = gateway();
    let router =
        TestRouter::start_configured(Arc::clone(&gateway), catalog, &[endpoint.address]).await;
    let mut shed = 0;
    for number in 0..REQUESTS {
        for _ in 0..10 {
            gateway.record_timer_lateness(Duration::from_millis(400));
        }
        let reply = router.send_request(&format!("r{number}"), "key: k\r\ntokens: 100\r\n").await;
        shed += u64::from(reply.body.contains("overloaded"));
    }
    expect_that!(shed, gt(REQUESTS / 2));
    expect_that!(gateway.standing(CUSTOMER).usage.asked, eq(REQUESTS * 100));
}
