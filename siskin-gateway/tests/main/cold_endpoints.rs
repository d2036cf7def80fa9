//! Endpoints that say that they are cold. Guards against requests of any kind beyond what they sustain, and against permits that do
//! not reach the router that has the callers.

use {
    crate::{
        crashing_requests::Member,
        endpoint::{Endpoint, Step, header_value},
        fixture::{TestRouter, catalog, endpoint, gateway},
    },
    googletest::prelude::*,
    siskin_gateway::{
        catalog::{Catalog, Kind, WarmUp},
        directory::Directory,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

const SECOND: Duration = Duration::from_secs(1);

/// Requests per second that a cold endpoint sustains. The tests' configuration has no tolerance.
const RATE: usize = 20;

/// Most notices that a router sends to another one of an endpoint that has become cold.
const NOTICES_MAX: u64 = 4;

const WARM: Step =
    Step::Respond("HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncontent-length: 2\r\n\r\nok");

const COLD: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncold-ms: 1000\r\ncontent-length: 2\r\n\r\nok",
);

const COLD_FAILURE: Step = Step::Respond(
    "HTTP/1.1 500 Error\r\nid: {id}\r\nsigned: s\r\ncold-ms: 1000\r\ncontent-length: 2\r\n\r\nno",
);

const COLD_FOR_LONG: Step = Step::Respond(
    "HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: s\r\ncold-ms: 60000\r\ncontent-length: 2\r\n\r\nok",
);

fn warm_up_catalog() -> Catalog {
    let mut catalog = catalog(Kind::Idempotent);
    #[expect(clippy::cast_precision_loss)]
    let warm_up = WarmUp { duration: 3 * SECOND, requests_per_second: RATE as f64 };
    catalog.services["app"].warm_up = Some(warm_up);
    catalog
}

/// Without permits, requests are refused at once until the cold time ends, and none is needed to end it.
#[googletest::test]
#[tokio::test]
async fn requests_to_a_cold_endpoint_are_refused_until_it_is_warm() {
    let cold = Endpoint::start(&[COLD, WARM]).await;
    let router = TestRouter::start_configured(gateway(), warm_up_catalog(), &[cold.address]).await;
    let start = Instant::now();
    expect_that!(router.send_request("first", "").await.status, eq(200));
    for request in 0..10 {
        let reply = router.send_request(&format!("cold{request}"), "").await;
        expect_that!(reply.status, eq(503));
        expect_that!(header_value(&reply.head, "retry-after"), some(anything()));
    }
    expect_that!(start.elapsed(), lt(SECOND), "refusals were late");
    expect_that!(cold.received().len(), eq(1));
    sleep((2 * SECOND).saturating_sub(start.elapsed())).await;
    expect_that!(router.send_request("warm", "").await.status, eq(200));
}

/// Requests, the retry after a failure included, go to a warm endpoint.
#[googletest::test]
#[tokio::test]
async fn requests_to_a_cold_endpoint_go_elsewhere() {
    let cold = Endpoint::start(&[COLD_FAILURE]).await;
    let warm = Endpoint::start(&[WARM]).await;
    let addresses = [cold.address, warm.address];
    let router = TestRouter::start_configured(gateway(), warm_up_catalog(), &addresses).await;
    for request in 0..20 {
        let reply = router.send_request(&format!("request{request}"), "").await;
        expect_that!(reply.status, eq(200), "request {request}");
    }
    expect_that!(cold.received().len(), le(1));
}

/// One router has all callers, and each of the two routers issues half of the permits.
#[googletest::test]
#[tokio::test]
async fn permits_reach_the_router_that_has_the_callers() {
    let cold = Endpoint::start(&[COLD_FOR_LONG]).await;
    let directory = Directory::new(1, vec![endpoint("e0", cold.address)]);
    let members = [
        Member::start(0, warm_up_catalog(), &directory).await,
        Member::start(1, warm_up_catalog(), &directory).await,
    ];
    let listings = members.each_ref().map(|member| member.listing.clone());
    for member in &members {
        member.peers.list(&listings);
    }
    // Until both routers have been issuers for long enough.
    sleep(5 * SECOND / 2).await;
    let mut served: Vec<Instant> = Vec::new();
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < 4 * SECOND {
        let id = format!("request{}", start.elapsed().as_micros());
        if members[0].router.send_request(&id, "").await.status == 200 {
            served.push(Instant::now());
        }
        let recent = served.iter().filter(|at| at.elapsed() < SECOND).count();
        most = most.max(recent);
        sleep(Duration::from_millis(5)).await;
    }
    // The first request tells that the endpoint is cold; 1.25 s later, permits are issued for the rest of the time.
    expect_that!(most, le(RATE));
    expect_that!(served.len(), ge(RATE / 2));
    let messages = &members[1].gateway.metrics.control.messages;
    let issued = messages.with_label_values(&["sent", "permit"]).get();
    println!("{} served, {issued} messages with permits or notices", served.len());
    expect_that!(issued, ge(NOTICES_MAX + 4), "messages of the router without callers");
    expect_that!(cold.received().len(), eq(served.len()));
    for member in &members {
        let page = member.gateway.metrics.page();
        expect_that!(page, contains_substring("siskin_endpoints_cold 1"));
    }
}
