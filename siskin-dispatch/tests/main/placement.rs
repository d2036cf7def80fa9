//! Load: engines of which one is slow for a while, long and short generations, and many routers that hear the same of them.

use {
    crate::fixture::{NOW, demand, engines, infos},
    googletest::prelude::*,
    siskin_dispatch::{
        cost::Request,
        pool::{Attempt, Cause, Demand, End, Info, Pool},
        prompt::Prompt,
        work::{self, Load, Typical},
    },
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::{
        load,
        work::{Load as Figures, Work},
    },
    std::time::Duration,
};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(number: u64) -> Demand {
    let prompt = Prompt::new("m", [(number, 830)]);
    Demand { prompt, number, ..demand(0, 0) }
}

/// Guards against a slow endpoint that gets more than it can carry, or nothing.
#[googletest::test]
fn slow_endpoint_gets_what_it_can_carry() {
    let mut pool = Pool::new();
    let info = |info| Info { slots: 12, ..info };
    let infos: Vec<Info> = infos(4).into_iter().map(info).collect();
    pool.set_endpoints(NOW, &infos);
    let slowness = |endpoint: Endpoint| if endpoint == Endpoint(1) { 5 } else { 2 };
    let mut running: Vec<(Instant, Instant, Attempt)> = Vec::new();
    let (mut sent, mut most_on_slow) = ([0_u32; 5], 0);
    // The engines carry 130 requests/s: 40 each of the usual ones, and 16 the slow one.
    for number in 0..1_100_u64 {
        let now = NOW + ms(9) * u32::try_from(number).unwrap();
        if number % 6 == 0 {
            pool.expire(now, |_| true);
        }
        running.retain_mut(|(begin, end, attempt)| {
            if *begin <= now {
                let percent = Some(50 * slowness(attempt.endpoint));
                let running = pool.in_flight(attempt.endpoint);
                let load = Load { running, waiting: 0, slots: 12, percent };
                pool.record_load(now, attempt.endpoint, load);
                pool.record_response_start(now, attempt);
            }
            if *end <= now {
                attempt.record_stream(Some(100));
                pool.record_end(now, attempt, End::Completed);
            }
            *end > now
        });
        let demand = request(number);
        let Ok(placement) = pool.choose_endpoint(now, &demand, &[]) else { continue };
        let id = placement.endpoint;
        let attempt = pool.sent_request(now, id, &demand.prompt, demand.cost);
        let factor = u32::from(slowness(id));
        running.push((now + ms(5) * factor, now + ms(155) * factor, attempt));
        sent[id.0 as usize] += 1;
        most_on_slow = most_on_slow.max(pool.in_flight(Endpoint(1)));
    }
    let usual = (sent[2] + sent[3] + sent[4]) / 3;
    expect_that!(sent[1], all!(ge(10), le(usual * 2 / 3)), "{sent:?}");
    expect_that!(most_on_slow, le(13), "{sent:?}");
}

/// Work takes as long as usual; 100 percent in the unit of reports.
const USUAL: u8 = 25;

fn figures(running: u8, slowness: u8) -> Figures {
    Figures { running, waiting: 0, slowness, age: 5 }
}

fn work(endpoint: u32, memory: u16, load: Option<Figures>) -> Work {
    Work { endpoint: Endpoint(endpoint), rest: 0, memory, load }
}

/// Guards against routers that all send to the endpoint that was best when they heard of it.
#[googletest::test]
fn routers_with_the_same_view_choose_different_endpoints() {
    let mut counts = [0; 9];
    for router in 0..80 {
        let mut pool = engines(8);
        let works: Vec<Work> = (1..=8)
            .map(|id| work(id, 0, Some(if id == 3 { figures(0, 25) } else { figures(20, 27) })))
            .collect();
        pool.apply_work(NOW, Node(99), &works);
        let placement = pool.choose_endpoint(NOW, &request(1_000 + router), &[]).unwrap();
        counts[placement.endpoint.0 as usize] += 1;
    }
    expect_that!(counts[1..], each(all!(ge(&3), le(&20))), "{counts:?}");
}

/// Guards against requests that make an endpoint run out of memory, and against requests that no endpoint ever gets.
#[googletest::test]
fn requests_fit_the_memory() {
    let mut pool = engines(2);
    let works =
        [work(1, 2_700, Some(figures(50, USUAL))), work(2, 2_734, Some(figures(55, USUAL)))];
    let load = |id| load::Load {
        endpoint: Endpoint(id),
        in_flight: 50,
        backlog: 0,
        read: 0,
        rate: 0,
        rated: 0,
        backing_off: 0,
    };
    let digest = load::Digest { loads: vec![load(1), load(2)], ..load::Digest::default() };
    pool.apply_digest(NOW, Node(9), &digest);
    pool.apply_work(NOW, Node(9), &works);
    pool.expire(NOW, |_| true);
    let mut attempts = Vec::new();
    for number in 0..10 {
        let Ok(placement) = pool.choose_endpoint(NOW, &request(number), &[]) else { break };
        expect_that!(placement.endpoint, eq(Endpoint(1)));
        attempts.push(pool.sent(NOW, placement.endpoint, &request(number).prompt));
    }
    // 700,000 tokens, of which 691,200 are taken.
    expect_that!(attempts.len(), eq(10));
    let large = Demand { prompt: Prompt::new("m", [(1, 12_000)]), ..demand(0, 0) };
    let refusal = pool.choose_endpoint(NOW, &large, &[]).unwrap_err();
    expect_that!(refusal.cause, eq(Cause::Busy));
    let later = NOW + Duration::from_secs(4);
    pool.expire(later, |_| true);
    let huge = Request { hint: 690_000, ..Request::default() };
    let huge = Demand { cost: huge, ..large };
    expect_that!(pool.choose_endpoint(later, &huge, &[]), ok(anything()), "alone on an endpoint");
}

struct Case {
    name: &'static str,
    /// Age of what the peer reported.
    age: Duration,
    trust: f64,
    /// Number of the peer's requests according to its load digest.
    count: u32,
    want: Duration,
    want_slowness: f64,
}

const CASES: [Case; 4] = [
    Case { name: "new", age: ms(0), trust: 1.0, count: 2, want: ms(3_200), want_slowness: 3.0 },
    Case { name: "half", age: ms(300), trust: 1.0, count: 2, want: ms(1_400), want_slowness: 2.0 },
    Case { name: "stale", age: ms(1_000), trust: 1.0, count: 2, want: ms(200), want_slowness: 1.0 },
    Case { name: "wrong", age: ms(0), trust: 0.0, count: 2, want: ms(200), want_slowness: 3.0 },
];

/// Guards against figures that count after they have changed, and against relying on estimates that were wrong.
#[googletest::test]
fn figures_age_and_wrong_estimates_do_not_count() {
    for case in &CASES {
        let mut endpoint = work::Endpoint::default();
        let figures = Figures { running: 2, waiting: 0, slowness: 75, age: 0 };
        let report = Work { endpoint: Endpoint(1), rest: 200, memory: 100, load: Some(figures) };
        endpoint.merge(NOW, Node(2), &report, 12);
        let now = NOW + case.age;
        let typical = Typical { rest: ms(100), memory: 256 };
        endpoint.refresh(now, [(Node(2), case.count)].into_iter(), typical);
        let view = endpoint.view(now, (case.count, 12), case.trust, typical);
        expect_that!(view.rest, eq(case.want), "{}", case.name);
        expect_that!(view.slowness, approx_eq(case.want_slowness), "{}", case.name);
    }
}

/// Guards against an overdue request that counts as finished, and against one that blocks its slot forever.
#[googletest::test]
fn overdue_requests_count_slowly_more() {
    let mut endpoint = work::Endpoint::default();
    endpoint.sent(1, ms(400), 0);
    endpoint.record_start(NOW, 1);
    let mut rest = |after| {
        endpoint.refresh(NOW + ms(after), [].into_iter(), Typical::default());
        endpoint.view(NOW + ms(after), (1, 12), 1.0, Typical::default()).rest
    };
    expect_that!(
        [rest(0), rest(300), rest(400), rest(800)],
        eq([ms(400), ms(100), ms(0), ms(100)])
    );
}

/// Guards against deployments that are served differently although their endpoints say nothing of their load.
#[googletest::test]
fn nothing_changes_without_figures() {
    let mut pool = engines(4);
    let hinted = Request { hint: 5_000_000, ..Request::default() };
    pool.sent_request(NOW, Endpoint(2), &request(1).prompt, hinted);
    pool.apply_work(NOW, Node(2), &[work(1, 9_000, None)]);
    expect_that!(pool.places_by_work(), eq(false));
    let choose = |demand: &Demand| pool.choose_endpoint(NOW, demand, &[]).unwrap().endpoint;
    for number in 0..20 {
        let other = Demand { cost: hinted, number: number + 100, ..request(number) };
        expect_that!(choose(&other), eq(choose(&request(number))));
    }
}

/// Guards against long prompts that wait at a slow endpoint, and against one that gets none for good because it was slow.
#[googletest::test]
fn long_prompts_avoid_an_endpoint_while_it_is_slow() {
    let mut pool = engines(2);
    pool.apply_work(NOW, Node(2), &[work(1, 0, Some(figures(0, 62)))]);
    let chosen = |now| {
        let sent_to_slow = |number: &u64| {
            let prompt = Prompt::new("m", [(*number, 12_000)]);
            let demand = Demand { prompt, ..request(*number) };
            pool.choose_endpoint(now, &demand, &[]).unwrap().endpoint == Endpoint(1)
        };
        (0..100).filter(sent_to_slow).count()
    };
    expect_that!(chosen(NOW), eq(0));
    expect_that!(chosen(NOW + ms(1_000)), all!(ge(30), le(70)));
}
