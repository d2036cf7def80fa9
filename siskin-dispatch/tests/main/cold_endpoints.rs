//! Load: all endpoints of a data centre are cold at the same time, and callers ask for more than they can sustain. Guards against
//! fleets that crash them, and against endpoints that get too few requests to warm up.

use {
    crate::{
        fixture::{NOW, engines, infos},
        fleet::STEP,
        limits::{BASE, CONTROL_BYTES_MAX, Case, GROWN, LARGE, Simulation, most_in_window, seeds},
    },
    googletest::prelude::*,
    siskin_dispatch::{
        condition::{Availability, Change, Reason, Source},
        limit::{Notice, Rate},
        pool::Info,
        prompt::Prompt,
        spread::Router,
        warm_up::Options,
    },
    siskin_types::{id::Endpoint, time::Instant},
    siskin_wire::permit::Permits,
    std::time::Duration,
};

/// Bytes of a frame around a message.
const FRAME_BYTES: usize = 34;

const SECOND: Duration = Duration::from_secs(1);

const OPTIONS: Options = Options {
    duration: Duration::from_secs(3),
    requests_per_second: 18.0,
    burst_factor: 1.5,
    burst_requests: 5.0,
};

/// The users' settings without tolerance.
const STRICT: Options = Options { burst_factor: 1.0, burst_requests: 0.0, ..OPTIONS };

/// Time until the issuers of permits are settled.
const SETTLED: Duration = Duration::from_secs(2);

/// Routers with more processor time, which are preferred as hubs.
const LARGE_ROUTERS: usize = 8;

/// Steps by which routers learn of cold endpoints, so that they learn at different times.
const LIST_DELAY: Duration = Duration::from_millis(50);
const LIST_STEPS: usize = 5;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// This share of the messages between routers is lost.
    Loss(f64),
    /// All routers lose their state after a second.
    Restart,
    /// The routers that may be hubs do.
    RestartHubs,
    /// A quarter of the routers is cut off before.
    Cut,
    /// The same, and the others no longer have them in their lists.
    Dropped,
    /// No router hears from another.
    Silence,
}

struct ColdCase {
    fleet: Case,
    endpoints: u32,
    options: Options,
    /// Whether the endpoints are new; otherwise they have been in use.
    new: bool,
    trouble: Trouble,
    /// Least share of the sustained rate that has to be used.
    use_min: f64,
}

const SMALL: Case = Case { limits: &[], ..BASE };
const MEDIUM: Case = Case { limits: &[], ..GROWN };
const UNEVEN: Case = Case { name: "73 routers, uneven callers", uneven: true, ..MEDIUM };
const SPARSE: Case =
    Case { name: "73 routers, few callers", requests_per_second: 100.0, retry: true, ..MEDIUM };
const MANY: Case =
    Case { name: "73 routers, many callers", requests_per_second: 1_500.0, ..UNEVEN };
const LARGE_UNEVEN: Case =
    Case { name: "1,200 routers, uneven callers", uneven: true, limits: &[], ..LARGE };

const NEW: ColdCase = ColdCase {
    fleet: SMALL,
    endpoints: 4,
    options: OPTIONS,
    new: true,
    trouble: Trouble::None,
    use_min: 0.5,
};

const CASES: [ColdCase; 17] = [
    NEW,
    ColdCase { new: false, use_min: 0.4, ..NEW },
    ColdCase { options: STRICT, ..NEW },
    ColdCase { trouble: Trouble::Silence, use_min: 0.0, ..NEW },
    ColdCase { fleet: MEDIUM, ..NEW },
    ColdCase { fleet: UNEVEN, ..NEW },
    ColdCase { fleet: UNEVEN, options: STRICT, ..NEW },
    ColdCase { fleet: SPARSE, ..NEW },
    ColdCase { fleet: MANY, endpoints: 60, ..NEW },
    ColdCase { fleet: UNEVEN, new: false, use_min: 0.4, ..NEW },
    ColdCase { fleet: UNEVEN, trouble: Trouble::Loss(0.3), use_min: 0.4, ..NEW },
    ColdCase { fleet: UNEVEN, options: STRICT, trouble: Trouble::Restart, use_min: 0.1, ..NEW },
    ColdCase { fleet: MANY, options: STRICT, trouble: Trouble::RestartHubs, use_min: 0.1, ..NEW },
    ColdCase { fleet: UNEVEN, trouble: Trouble::Cut, use_min: 0.4, ..NEW },
    ColdCase { fleet: MANY, endpoints: 16, options: STRICT, trouble: Trouble::Dropped, ..NEW },
    ColdCase { fleet: LARGE_UNEVEN, ..NEW },
    ColdCase { fleet: LARGE_UNEVEN, new: false, trouble: Trouble::Cut, use_min: 0.2, ..NEW },
];

impl ColdCase {
    fn infos(&self, cold_for: Duration) -> Vec<Info> {
        let renumber = |info: Info| Info {
            id: if self.new { Endpoint(info.id.0 + 10) } else { info.id },
            cold_for,
            ..info
        };
        infos(self.endpoints).into_iter().map(renumber).collect()
    }

    /// Plays the case. Returns when all routers knew of the cold endpoints, and the simulation at the end of the cold time.
    fn play(&self, seed: u64) -> (Instant, Instant, Simulation) {
        let mut simulation = Simulation::new(&self.fleet, seed);
        simulation.run(&self.fleet, SETTLED);
        match self.trouble {
            Trouble::Loss(share) => simulation.fleet.loss = share,
            Trouble::Cut => self.cut(&mut simulation, 4),
            Trouble::Dropped => {
                self.cut(&mut simulation, 4);
                drop_cut_routers(&mut simulation);
                simulation.run(&self.fleet, SETTLED);
            }
            Trouble::Silence => self.cut(&mut simulation, 1),
            Trouble::None | Trouble::Restart | Trouble::RestartHubs => {}
        }
        let start = simulation.fleet.now;
        for step in 0..LIST_STEPS {
            self.list(&mut simulation, start, |node| node % LIST_STEPS == step);
            simulation.run(&self.fleet, LIST_DELAY);
        }
        let known = simulation.fleet.now;
        let restarted = match self.trouble {
            Trouble::Restart => simulation.fleet.nodes.len(),
            Trouble::RestartHubs => LARGE_ROUTERS,
            _ => 0,
        };
        if restarted > 0 {
            simulation.run(&self.fleet, SECOND);
            (0..restarted).for_each(|node| simulation.fleet.restart(node));
            simulation.active_requests.retain(|request| request.node >= restarted);
            self.list(&mut simulation, start, |node| node < restarted);
        }
        let passed = simulation.fleet.now - start;
        simulation.run(&self.fleet, self.options.duration.saturating_sub(passed + STEP));
        (start, known, simulation)
    }

    fn cut(&self, simulation: &mut Simulation, step: usize) {
        let nodes = simulation.fleet.nodes.iter_mut().step_by(step);
        nodes.for_each(|node| node.connected = false);
        simulation.run(&self.fleet, SECOND);
    }

    /// Gives the list with the cold endpoints to some routers.
    fn list(&self, simulation: &mut Simulation, start: Instant, to: impl Fn(usize) -> bool) {
        let now = simulation.fleet.now;
        let infos = self.infos(self.options.duration.saturating_sub(now - start));
        for (index, node) in simulation.fleet.nodes.iter_mut().enumerate() {
            if to(index) {
                let pool = &mut node.pools["engines"];
                pool.set_salt(index as u64 + 77);
                pool.set_warm_up(Some(self.options));
                pool.set_endpoints(now, &infos);
            }
        }
    }
}

/// Takes routers that are cut off out of the lists of the others.
fn drop_cut_routers(simulation: &mut Simulation) {
    let nodes = simulation.fleet.nodes.iter();
    let left: Vec<Router> =
        nodes.filter(|node| node.connected).map(|node| node.router.clone()).collect();
    for node in simulation.fleet.nodes.iter_mut().filter(|node| node.connected) {
        node.exchange.list(&left);
    }
}

/// Guards against more requests to a cold endpoint in any second than it can stand, whatever happens to routers and their messages,
/// and against capacity that is lost because routers hold back.
#[googletest::test]
fn cold_endpoints_get_what_they_sustain_and_no_more() {
    for case in &CASES {
        for seed in seeds(&case.fleet) {
            let (start, known, simulation) = case.play(seed);
            let max = case.options.requests_per_second_max();
            let name =
                format!("{}, max {max}, new {}, {:?}", case.fleet.name, case.new, case.trouble);
            let since = if case.new { start } else { known };
            let mut arrived = 0;
            let mut most = 0;
            for info in case.infos(Duration::ZERO) {
                let arrivals = simulation.arrivals.get(&info.id).cloned().unwrap_or_default();
                most = most.max(most_in_window(&arrivals, SECOND, since));
                arrived += arrivals.iter().filter(|at| **at >= since).count();
            }
            let time = simulation.fleet.now - since;
            #[expect(clippy::cast_precision_loss)]
            let used = arrived as f64
                / (f64::from(case.endpoints)
                    * case.options.requests_per_second
                    * time.as_secs_f64());
            let nodes = simulation.fleet.nodes.iter();
            let bytes: usize =
                nodes.map(|node| node.permit_bytes_sent + FRAME_BYTES * node.permits_sent).sum();
            let seconds = usize::try_from(OPTIONS.duration.as_secs()).unwrap();
            let bytes = bytes / simulation.fleet.nodes.len() / seconds;
            println!("{name}, seed {seed}: most {most}, used {used:.2}, {bytes} B/s of a router");
            expect_that!(bytes, le(CONTROL_BYTES_MAX), "{name}, seed {seed}");
            #[expect(clippy::cast_precision_loss)]
            let most = most as f64;
            expect_that!(most, le(max), "{name}, seed {seed}");
            expect_that!(used, ge(case.use_min), "{name}, seed {seed}");
        }
    }
}

/// Guards against routers with few callers that get no permit as long as others have many: a sixteenth of the routers has half of the
/// callers, and a share of the others is 0.5 of a request a second.
#[googletest::test]
fn routers_with_few_callers_get_permits() {
    let options = Options { duration: 20 * SECOND, ..OPTIONS };
    let case = ColdCase { fleet: UNEVEN, options, ..NEW };
    let mut simulation = Simulation::new(&case.fleet, 1);
    simulation.run(&case.fleet, SETTLED);
    let before = simulation.sent.clone();
    let start = simulation.fleet.now;
    case.list(&mut simulation, start, |_| true);
    simulation.run(&case.fleet, options.duration.saturating_sub(STEP));
    let sent: Vec<u32> =
        simulation.sent.iter().zip(&before).map(|(sent, before)| sent - before).collect();
    println!("requests of each router in 20 s: {sent:?}");
    expect_that!(sent, each(ge(&2)));
}

/// Guards against a cold time that outlasts its end where nothing is sent, and against cold endpoints where the part is off.
#[googletest::test]
fn cold_time_ends_without_traffic() {
    let endpoint = Endpoint(1);
    let mut pool = engines(1);
    pool.record_cold(NOW, endpoint, 3 * SECOND);
    expect_that!(pool.availability(NOW, endpoint), eq(Availability::Open));
    pool.set_warm_up(Some(OPTIONS));
    pool.record_cold(NOW, endpoint, 3 * SECOND);
    let before_end = NOW + 2 * SECOND;
    let reason = pool.availability(before_end, endpoint);
    expect_that!(reason, matches_pattern!(Availability::Blocked(pat!(Reason::Limited(_)))));
    let end = NOW + 3 * SECOND;
    expect_that!(pool.availability(end, endpoint), eq(Availability::Open));
    pool.expire(end, |_| true);
    let changes = [Change::Cold { time: 3 * SECOND, source: Source::Answer }, Change::Warm];
    expect_that!(
        pool.take_condition_changes(),
        eq(&changes.map(|change| (endpoint, change)).to_vec())
    );
}

/// Guards against an endpoint that names a limit and gets more as it is cold, or the reverse.
#[googletest::test]
fn cold_endpoint_with_a_limit_follows_the_stricter() {
    let endpoint = Endpoint(1);
    let mut pool = engines(1);
    pool.set_warm_up(Some(OPTIONS));
    pool.record_limit(NOW, endpoint, Notice::Limited(Rate(5_000)));
    pool.record_cold(NOW, endpoint, 3 * SECOND);
    let mut now = NOW + SECOND;
    expect_that!(pool.availability(now, endpoint), not(eq(Availability::Open)));
    pool.add_permits(now, now, Permits { endpoint, count: 40 });
    let mut sent = 0;
    while now < NOW + SECOND + SECOND / 2 {
        if pool.availability(now, endpoint) == Availability::Open {
            pool.sent(now, endpoint, &Prompt::default());
            sent += 1;
        }
        now = now + STEP;
    }
    expect_that!(sent, all![ge(1), le(30)]);
}
