//! Load: all callers of a data centre come to one small VM, several times as fast as it can work, until the platform sends
//! them elsewhere. They should neither wait until their time is over nor all be turned away.

use {
    crate::{
        endpoint::{Endpoint, Step},
        fixture::{Site, catalog, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Account, Catalog, Kind},
        overload::{INTERVAL, Meter, State},
    },
    siskin_types::{id::Customer, time::Instant},
    std::{sync::Arc, time::Duration},
};

/// A process with one thread that does its work in the order of arrival. Times are those that a small share of a processor
/// takes.
struct Vm {
    served: Duration,
    refused: Duration,
    arrivals_per_second: u32,
}

#[derive(Debug, Default)]
struct Seen {
    served: u32,
    refused: u32,
    /// Longest time until a request was turned to, after the first second.
    wait: Duration,
    /// When the process first said that it was not ready.
    not_ready: Option<Duration>,
}

impl Vm {
    fn run(&self, time: Duration) -> Seen {
        let start = Instant::from_micros(1_000_000);
        let mut meter = Meter::default();
        let mut seen = Seen::default();
        // When the process is done with all that has come so far.
        let mut idle_at = start;
        let mut sample_at = start + INTERVAL;
        for arrival in 0..self.arrivals_per_second * u32::try_from(time.as_secs()).unwrap() {
            let now = start + Duration::from_secs(1) * arrival / self.arrivals_per_second;
            while sample_at <= now {
                // The timer's task runs behind the work that waits.
                let late = idle_at - sample_at;
                meter.sample(sample_at + late, late);
                if meter.state() != State::Calm {
                    seen.not_ready.get_or_insert(sample_at + late - start);
                }
                sample_at = sample_at + late + INTERVAL;
            }
            let begins = idle_at.max(now);
            if now - start > Duration::from_secs(1) {
                seen.wait = seen.wait.max(begins - now);
            }
            let admitted = meter.admit_request(begins);
            seen.served += u32::from(admitted);
            seen.refused += u32::from(!admitted);
            idle_at = begins + if admitted { self.served } else { self.refused };
        }
        seen
    }
}

/// Guards against a VM that drowns before it sheds, and against one that sheds all.
#[googletest::test]
fn small_vm_sheds_what_it_cannot_serve() {
    struct Case {
        name: &'static str,
        arrivals_per_second: u32,
        /// Share of the requests that its processor suffices for, less a third.
        served_min: f64,
        served_max: f64,
    }
    let cases = [
        Case {
            name: "half of what it can do",
            arrivals_per_second: 250,
            served_min: 1.0,
            served_max: 1.0,
        },
        Case { name: "twice", arrivals_per_second: 1_000, served_min: 0.22, served_max: 0.9 },
        Case { name: "three times", arrivals_per_second: 1_500, served_min: 0.11, served_max: 0.6 },
    ];
    for case in cases {
        let vm = Vm {
            served: Duration::from_millis(2),
            refused: Duration::from_micros(500),
            arrivals_per_second: case.arrivals_per_second,
        };
        let seen = vm.run(Duration::from_secs(4));
        let share = f64::from(seen.served) / f64::from(seen.served + seen.refused);
        expect_that!(share, ge(case.served_min), "{}: {seen:?}", case.name);
        expect_that!(share, le(case.served_max), "{}: {seen:?}", case.name);
        expect_that!(seen.wait, le(Duration::from_millis(250)), "{}: {seen:?}", case.name);
        if case.served_max < 1.0 {
            let soon = some(le(Duration::from_secs(1)));
            expect_that!(seen.not_ready, soon, "{}: {seen:?}", case.name);
        }
    }
}

/// Guards against callers that are told to close and come back to the same VM, as the platform has not seen yet that it is
/// not ready.
#[googletest::test]
fn connections_are_closed_only_once_others_get_the_new_ones() {
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
    // Two checks a second apart have to fail.
    expect_that!(INTERVAL * u32::try_from(noticed - strained).unwrap(), ge(Duration::from_secs(2)));
}

/// Guards against customers who look as if they asked for little because a VM that is short of processor time refused them:
/// others, who came to other VMs, would get several times as much.
#[googletest::test]
#[tokio::test]
async fn shed_requests_count_as_asked() {
    const CUSTOMER: Customer = Customer(5);
    const REQUESTS: u64 = 30;
    let endpoint = Endpoint::start(&[Step::Answer(
        "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok",
    )])
    .await;
    let account = Account { id: CUSTOMER, name: "customer".to_owned() };
    let accounts = Some([("k".to_owned(), account)].into());
    let catalog = Catalog { accounts, ..catalog(Kind::Idempotent) };
    let gateway = gateway();
    let site = Site::start_configured(Arc::clone(&gateway), catalog, &[endpoint.address]).await;
    let mut shed = 0;
    for number in 0..REQUESTS {
        for _ in 0..10 {
            gateway.record_timer_lateness(Duration::from_millis(400));
        }
        let reply = site.ask(&format!("r{number}"), "key: k\r\ntokens: 100\r\n").await;
        shed += u64::from(reply.body.contains("overloaded"));
    }
    expect_that!(shed, gt(REQUESTS / 2));
    expect_that!(gateway.standing(CUSTOMER).usage.asked, eq(REQUESTS * 100));
}
