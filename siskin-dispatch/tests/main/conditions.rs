//! Load: endpoints leave, or ask for a back-off, and say so only in their answers; the store is cut off. Guards against requests
//! that reach an endpoint which has said that it leaves, or that it wants none for a while, and against idle slots elsewhere.

use {
    crate::fleet::{Fleet, STEP},
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::{
        condition::Gate,
        pool::{Demand, End, Flight, Why},
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Time within which requests have to stay away from an endpoint that leaves.
const DRAIN: Duration = Duration::from_secs(2);

/// Time for requests on their way to an endpoint that asks for a back-off.
const ON_THE_WAY: Duration = Duration::from_millis(500);

/// Requests of one router that may reach an endpoint during a back-off.
const STRAY_MAX: usize = 2;

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// The engines that `Fleet` lists.
const ENGINES: u32 = 4;

const SECOND: Duration = Duration::from_secs(1);

/// When engines begin to speak of themselves.
const WARM_UP: Duration = SECOND;

/// What an engine says in its answers after the warm-up.
#[derive(Clone, Copy)]
enum Notice {
    Leaves,
    /// It refuses what it has no slot for, and asks for a back-off.
    Full {
        slots: usize,
        backoff: Duration,
    },
    /// It refuses all for a while, and asks for a back-off.
    Shut {
        from: Duration,
        until: Duration,
        backoff: Duration,
    },
}

struct Case {
    name: &'static str,
    routers: u32,
    requests_per_step: u32,
    time: Duration,
    /// Engines without a notice serve and say nothing.
    notices: &'static [(u32, Notice)],
    /// Whether requests may be refused.
    refuses: bool,
}

const fn full(millis: u64) -> Notice {
    Notice::Full { slots: 8, backoff: Duration::from_millis(millis) }
}

const fn shut(from: u64, until: u64, millis: u64) -> Notice {
    let (from, until) = (Duration::from_secs(from), Duration::from_secs(until));
    Notice::Shut { from, until, backoff: Duration::from_millis(millis) }
}

const HALF_BY_TURNS: [(u32, Notice); 4] = [
    (1, shut(1, 3, 2_000)),
    (2, shut(1, 3, 2_000)),
    (3, shut(6, 8, 2_000)),
    (4, shut(6, 8, 2_000)),
];

const CASES: [Case; 9] = [
    Case {
        name: "one leaves",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaves)],
        refuses: false,
    },
    Case {
        name: "one leaves a large fleet",
        routers: 200,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaves)],
        refuses: false,
    },
    Case {
        name: "three leave",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaves), (2, Notice::Leaves), (3, Notice::Leaves)],
        refuses: false,
    },
    // 8 slots at 20 ms serve 2 requests a step.
    Case {
        name: "all have three times their load, short back-offs",
        routers: 38,
        requests_per_step: 24,
        time: Duration::from_secs(6),
        notices: &[(1, full(600)), (2, full(600)), (3, full(600)), (4, full(600))],
        refuses: true,
    },
    Case {
        name: "all have three times their load, long back-offs",
        routers: 38,
        requests_per_step: 24,
        time: Duration::from_secs(24),
        notices: &[(1, full(20_000)), (2, full(20_000)), (3, full(20_000)), (4, full(20_000))],
        refuses: true,
    },
    Case {
        name: "one has three times its load in a large fleet",
        routers: 200,
        requests_per_step: 6,
        time: Duration::from_secs(6),
        notices: &[(1, full(3_000))],
        refuses: false,
    },
    Case {
        name: "all are shut at once",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &[
            (1, shut(2, 4, 2_500)),
            (2, shut(2, 4, 2_500)),
            (3, shut(2, 4, 2_500)),
            (4, shut(2, 4, 2_500)),
        ],
        refuses: true,
    },
    Case {
        name: "half by turns",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &HALF_BY_TURNS,
        refuses: false,
    },
    Case {
        name: "half by turns in a large fleet",
        routers: 200,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &HALF_BY_TURNS,
        refuses: false,
    },
];

/// A request that reached an engine.
struct Arrival {
    site: usize,
    engine: Endpoint,
    at: Instant,
}

/// A back-off that an engine has asked a router for.
struct Asked {
    site: usize,
    engine: Endpoint,
    at: Instant,
    backoff: Duration,
}

/// A request at an engine.
struct Run {
    site: usize,
    flight: Flight,
    ends: Instant,
    backoff: Option<Duration>,
}

struct World {
    fleet: Fleet,
    start: Instant,
    notices: IndexMap<Endpoint, Notice>,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
    asked: Vec<Asked>,
    /// When an engine first said that it leaves.
    left: IndexMap<Endpoint, Instant>,
    refused: u32,
    /// Requests refused although an engine took requests and had a free slot.
    refused_beside_idle: u32,
    served: u32,
    next: u32,
}

impl World {
    fn new(case: &Case) -> Self {
        let mut fleet = Fleet::new(case.routers);
        for (index, site) in fleet.sites.iter_mut().enumerate() {
            site.pools["engines"].set_salt(index as u64);
        }
        fleet.run(WARM_UP);
        let notices =
            case.notices.iter().map(|(engine, notice)| (Endpoint(*engine), *notice)).collect();
        Self {
            start: fleet.now,
            fleet,
            notices,
            runs: Vec::new(),
            arrivals: Vec::new(),
            asked: Vec::new(),
            left: IndexMap::new(),
            refused: 0,
            refused_beside_idle: 0,
            served: 0,
            next: 0,
        }
    }

    fn run(&mut self, case: &Case) {
        let end = self.start + case.time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            self.answer();
            for _ in 0..case.requests_per_step {
                self.next += 1;
                let site = (self.next * 7_919 % case.routers) as usize;
                self.request(site);
            }
        }
    }

    /// A caller's request at a router.
    fn request(&mut self, site: usize) {
        let now = self.fleet.now;
        let demand = Demand {
            aim: Duration::from_millis(300),
            allowed: 2 * SECOND,
            patience: 1.0,
            own_weight: 1.0,
            ..Demand::default()
        };
        let pool = &mut self.fleet.sites[site].pools["engines"];
        let engine = match pool.choose(now, &demand, &[]) {
            Ok(placement) => placement.endpoint,
            Err(refusal) => {
                self.refused += 1;
                let open =
                    (1..=ENGINES).any(|engine| pool.gate(now, Endpoint(engine)) == Gate::Open);
                self.refused_beside_idle += u32::from(open || refusal.why != Why::Backoff);
                return;
            }
        };
        let flight = pool.sent(now, engine, &demand.prompt);
        self.arrivals.push(Arrival { site, engine, at: now });
        let backoff = self.refusal(engine);
        let time = if backoff.is_some() { STEP } else { SERVICE_TIME };
        self.runs.push(Run { site, flight, ends: now + time, backoff });
    }

    /// The back-off with which an engine refuses a request now, if it does.
    fn refusal(&self, engine: Endpoint) -> Option<Duration> {
        let since = self.fleet.now - self.start;
        let running = |run: &&Run| run.flight.endpoint == engine && run.backoff.is_none();
        match self.notices.get(&engine)? {
            Notice::Leaves => None,
            Notice::Full { slots, backoff } => {
                (self.runs.iter().filter(running).count() >= *slots).then_some(*backoff)
            }
            Notice::Shut { from, until, backoff } => {
                (*from..*until).contains(&since).then_some(*backoff)
            }
        }
    }

    /// Ends the runs whose time has come.
    fn answer(&mut self) {
        let now = self.fleet.now;
        for run in std::mem::take(&mut self.runs) {
            if run.ends > now {
                self.runs.push(run);
                continue;
            }
            let Run { site, flight, backoff, .. } = run;
            let engine = flight.endpoint;
            let pool = &mut self.fleet.sites[site].pools["engines"];
            if let Some(backoff) = backoff {
                pool.backs_off(now, engine, backoff);
                pool.ended(now, &flight, End::NotRun);
                self.asked.push(Asked { site, engine, at: now, backoff });
                continue;
            }
            if matches!(self.notices.get(&engine), Some(Notice::Leaves)) {
                pool.leaves(now, engine);
                self.left.entry(engine).or_insert(now);
            }
            pool.accepts(now, engine);
            pool.ended(now, &flight, End::Completed);
            self.served += 1;
        }
    }

    /// Requests that reached an engine later than the whole fleet has to stay away.
    fn late(&self) -> usize {
        let late = |arrival: &&Arrival| {
            self.left.get(&arrival.engine).is_some_and(|said| arrival.at > *said + DRAIN)
        };
        self.arrivals.iter().filter(late).count()
    }

    /// The most requests of one router that reached an engine during a back-off.
    fn stray(&self) -> usize {
        let stray = |asked: &Asked| {
            let span = asked.at + ON_THE_WAY..asked.at + asked.backoff;
            let same = |arrival: &&Arrival| {
                (arrival.site, arrival.engine) == (asked.site, asked.engine)
                    && span.contains(&arrival.at)
            };
            self.arrivals.iter().filter(same).count()
        };
        self.asked.iter().map(stray).max().unwrap_or(0)
    }
}

#[googletest::test]
fn notices_of_endpoints_are_heeded() {
    for case in &CASES {
        let mut world = World::new(case);
        world.run(case);
        println!(
            "{}: served {}, refused {}, asked for {} back-offs; late {}, stray {}",
            case.name,
            world.served,
            world.refused,
            world.asked.len(),
            world.late(),
            world.stray()
        );
        expect_that!(world.late(), eq(0), "{}", case.name);
        expect_that!(world.stray(), le(STRAY_MAX), "{}", case.name);
        expect_that!(world.refused_beside_idle, eq(0), "{}", case.name);
        expect_that!(world.refused > 0, eq(case.refuses), "{}", case.name);
        expect_that!(world.served, gt(0), "{}", case.name);
    }
}

/// Guards against a rush on an endpoint whose back-off has just ended.
#[googletest::test]
fn routers_come_back_one_after_the_other() {
    let case = &CASES[6];
    let mut world = World::new(case);
    world.run(case);
    let shut_from = world.start + 2 * SECOND;
    let back = |arrival: &&Arrival| arrival.at > shut_from + 2 * SECOND;
    let first = world.arrivals.iter().find(back).map(|arrival| arrival.at).unwrap();
    // An open fleet sends 10 requests to each engine in this time.
    let begin = first..first + Duration::from_millis(50);
    for engine in 1..=ENGINES {
        let mut sites: Vec<usize> = world
            .arrivals
            .iter()
            .filter(|arrival| arrival.engine == Endpoint(engine) && begin.contains(&arrival.at))
            .map(|arrival| arrival.site)
            .collect();
        sites.sort_unstable();
        sites.dedup();
        expect_that!(sites.len(), lt(case.routers as usize / 4), "engine {engine}");
    }
}
