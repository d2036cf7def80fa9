//! Load: endpoints begin to leave or ask for a back-off and report it only in their answers, as the store is
//! unreachable. Guards against requests to an endpoint that has reported that it is leaving or is to get none for a
//! while, and against slots elsewhere that stay idle meanwhile.

use {
    crate::fleet::{Fleet, STEP},
    googletest::prelude::*,
    indexmap::IndexMap,
    siskin_dispatch::{
        condition::Availability,
        pool::{Attempt, Cause, Demand, End},
    },
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Time after which no router may send requests to a leaving endpoint.
const LEAVING_KNOWN_WITHIN: Duration = Duration::from_secs(2);

/// Time allowed for requests that were already on their way to an endpoint when it asked for a back-off.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// Most requests of one router that may reach an endpoint during a back-off.
const STRAY_MAX: usize = 2;

const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Number of engines that `Fleet` lists.
const ENGINES: u32 = 4;

const SECOND: Duration = Duration::from_secs(1);

/// Time before engines begin to report.
const WARM_UP: Duration = SECOND;

/// What an engine reports in its answers after the warm-up.
#[derive(Clone, Copy)]
enum Notice {
    Leaving,
    /// It refuses requests while all slots are taken, and asks for a back-off.
    RefuseWhenFull {
        slots: usize,
        backoff: Duration,
    },
    /// It refuses all requests for a while, and asks for a back-off.
    RefuseAll {
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
    /// Engines that are not listed here serve all requests and report nothing.
    notices: &'static [(u32, Notice)],
    /// Whether requests may be refused.
    refuses: bool,
}

const fn refuse_when_full(millis: u64) -> Notice {
    Notice::RefuseWhenFull { slots: 8, backoff: Duration::from_millis(millis) }
}

const fn refuse_all(from: u64, until: u64, millis: u64) -> Notice {
    let (from, until) = (Duration::from_secs(from), Duration::from_secs(until));
    Notice::RefuseAll { from, until, backoff: Duration::from_millis(millis) }
}

const ALTERNATING_HALVES: [(u32, Notice); 4] = [
    (1, refuse_all(1, 3, 2_000)),
    (2, refuse_all(1, 3, 2_000)),
    (3, refuse_all(6, 8, 2_000)),
    (4, refuse_all(6, 8, 2_000)),
];

const CASES: [Case; 9] = [
    Case {
        name: "one leaves",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaving)],
        refuses: false,
    },
    Case {
        name: "one leaves a large fleet",
        routers: 200,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaving)],
        refuses: false,
    },
    Case {
        name: "three leave",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(5),
        notices: &[(1, Notice::Leaving), (2, Notice::Leaving), (3, Notice::Leaving)],
        refuses: false,
    },
    // An engine with 8 slots and a service time of 20 ms serves 2 requests per step.
    Case {
        name: "all at three times their capacity, short back-offs",
        routers: 38,
        requests_per_step: 24,
        time: Duration::from_secs(6),
        notices: &[
            (1, refuse_when_full(600)),
            (2, refuse_when_full(600)),
            (3, refuse_when_full(600)),
            (4, refuse_when_full(600)),
        ],
        refuses: true,
    },
    Case {
        name: "all at three times their capacity, long back-offs",
        routers: 38,
        requests_per_step: 24,
        time: Duration::from_secs(24),
        notices: &[
            (1, refuse_when_full(20_000)),
            (2, refuse_when_full(20_000)),
            (3, refuse_when_full(20_000)),
            (4, refuse_when_full(20_000)),
        ],
        refuses: true,
    },
    Case {
        name: "one has three times its load in a large fleet",
        routers: 200,
        requests_per_step: 6,
        time: Duration::from_secs(6),
        notices: &[(1, refuse_when_full(3_000))],
        refuses: false,
    },
    Case {
        name: "all refuse at once",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &[
            (1, refuse_all(2, 4, 2_500)),
            (2, refuse_all(2, 4, 2_500)),
            (3, refuse_all(2, 4, 2_500)),
            (4, refuse_all(2, 4, 2_500)),
        ],
        refuses: true,
    },
    Case {
        name: "alternating halves",
        routers: 38,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &ALTERNATING_HALVES,
        refuses: false,
    },
    Case {
        name: "alternating halves in a large fleet",
        routers: 200,
        requests_per_step: 4,
        time: Duration::from_secs(9),
        notices: &ALTERNATING_HALVES,
        refuses: false,
    },
];

/// A request that reached an engine.
struct Arrival {
    node: usize,
    engine: Endpoint,
    at: Instant,
}

/// A back-off that an engine asked a router for.
struct BackoffAsked {
    node: usize,
    engine: Endpoint,
    at: Instant,
    backoff: Duration,
}

/// A request at an engine.
struct ActiveRequest {
    node: usize,
    attempt: Attempt,
    ends: Instant,
    backoff: Option<Duration>,
}

struct Simulation {
    fleet: Fleet,
    start: Instant,
    notices: IndexMap<Endpoint, Notice>,
    active_requests: Vec<ActiveRequest>,
    arrivals: Vec<Arrival>,
    backoffs: Vec<BackoffAsked>,
    /// When each engine first reported that it is leaving.
    leaving_since: IndexMap<Endpoint, Instant>,
    refused: u32,
    /// Requests refused although an engine accepted requests and had a free slot.
    refused_despite_capacity: u32,
    served: u32,
    next_request: u32,
}

impl Simulation {
    fn new(case: &Case) -> Self {
        let mut fleet = Fleet::new(case.routers);
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            node.pools["engines"].set_salt(index as u64);
        }
        fleet.run(WARM_UP);
        let notices =
            case.notices.iter().map(|(engine, notice)| (Endpoint(*engine), *notice)).collect();
        Self {
            start: fleet.now,
            fleet,
            notices,
            active_requests: Vec::new(),
            arrivals: Vec::new(),
            backoffs: Vec::new(),
            leaving_since: IndexMap::new(),
            refused: 0,
            refused_despite_capacity: 0,
            served: 0,
            next_request: 0,
        }
    }

    fn run(&mut self, case: &Case) {
        let end = self.start + case.time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            self.complete_due_requests();
            for _ in 0..case.requests_per_step {
                self.next_request += 1;
                let node = (self.next_request * 7_919 % case.routers) as usize;
                self.process_request(node);
            }
        }
    }

    /// Processes a caller's request at a router.
    fn process_request(&mut self, node: usize) {
        let now = self.fleet.now;
        let demand = Demand {
            aim: Duration::from_millis(300),
            allowed: 2 * SECOND,
            patience: 1.0,
            own_weight: 1.0,
            isolation: None,
            ..Demand::default()
        };
        let pool = &mut self.fleet.nodes[node].pools["engines"];
        let engine = match pool.choose_endpoint(now, &demand, &[]) {
            Ok(placement) => placement.endpoint,
            Err(refusal) => {
                self.refused += 1;
                let accepting = (1..=ENGINES)
                    .any(|engine| pool.availability(now, Endpoint(engine)) == Availability::Open);
                self.refused_despite_capacity +=
                    u32::from(accepting || refusal.cause != Cause::Backoff);
                return;
            }
        };
        let attempt = pool.sent(now, engine, &demand.prompt);
        self.arrivals.push(Arrival { node, engine, at: now });
        let backoff = self.refusal_backoff(engine);
        let time = if backoff.is_some() { STEP } else { SERVICE_TIME };
        self.active_requests.push(ActiveRequest { node, attempt, ends: now + time, backoff });
    }

    /// The back-off for which an engine asks if it refuses a request now.
    fn refusal_backoff(&self, engine: Endpoint) -> Option<Duration> {
        let since = self.fleet.now - self.start;
        let running =
            |run: &&ActiveRequest| run.attempt.endpoint == engine && run.backoff.is_none();
        match self.notices.get(&engine)? {
            Notice::Leaving => None,
            Notice::RefuseWhenFull { slots, backoff } => {
                (self.active_requests.iter().filter(running).count() >= *slots).then_some(*backoff)
            }
            Notice::RefuseAll { from, until, backoff } => {
                (*from..*until).contains(&since).then_some(*backoff)
            }
        }
    }

    /// Completes the requests whose time has come.
    fn complete_due_requests(&mut self) {
        let now = self.fleet.now;
        for run in std::mem::take(&mut self.active_requests) {
            if run.ends > now {
                self.active_requests.push(run);
                continue;
            }
            let ActiveRequest { node, attempt, backoff, .. } = run;
            let engine = attempt.endpoint;
            let pool = &mut self.fleet.nodes[node].pools["engines"];
            if let Some(backoff) = backoff {
                pool.record_backoff(now, engine, backoff);
                pool.record_end(now, &attempt, End::NotRun);
                self.backoffs.push(BackoffAsked { node, engine, at: now, backoff });
                continue;
            }
            if matches!(self.notices.get(&engine), Some(Notice::Leaving)) {
                pool.record_leaving(now, engine);
                self.leaving_since.entry(engine).or_insert(now);
            }
            pool.record_acceptance(now, engine);
            pool.record_end(now, &attempt, End::Completed);
            self.served += 1;
        }
    }

    /// Number of requests that reached a leaving engine after the time within which all routers have to avoid it.
    fn count_late_requests(&self) -> usize {
        let late = |arrival: &&Arrival| {
            self.leaving_since
                .get(&arrival.engine)
                .is_some_and(|since| arrival.at > *since + LEAVING_KNOWN_WITHIN)
        };
        self.arrivals.iter().filter(late).count()
    }

    /// Largest number of requests of one router that reached an engine during one back-off.
    fn max_stray_requests(&self) -> usize {
        let stray = |asked: &BackoffAsked| {
            let backoff_span = asked.at + IN_TRANSIT..asked.at + asked.backoff;
            let same = |arrival: &&Arrival| {
                (arrival.node, arrival.engine) == (asked.node, asked.engine)
                    && backoff_span.contains(&arrival.at)
            };
            self.arrivals.iter().filter(same).count()
        };
        self.backoffs.iter().map(stray).max().unwrap_or(0)
    }
}

#[googletest::test]
fn reported_leaving_and_backoffs_are_respected() {
    for case in &CASES {
        let mut simulation = Simulation::new(case);
        simulation.run(case);
        println!(
            "{}: served {}, refused {}, asked for {} back-offs; late {}, stray {}",
            case.name,
            simulation.served,
            simulation.refused,
            simulation.backoffs.len(),
            simulation.count_late_requests(),
            simulation.max_stray_requests()
        );
        expect_that!(simulation.count_late_requests(), eq(0), "{}", case.name);
        expect_that!(simulation.max_stray_requests(), le(STRAY_MAX), "{}", case.name);
        expect_that!(simulation.refused_despite_capacity, eq(0), "{}", case.name);
        expect_that!(simulation.refused > 0, eq(case.refuses), "{}", case.name);
        expect_that!(simulation.served, gt(0), "{}", case.name);
    }
}

/// Guards against a burst of requests to an endpoint whose back-off has just ended.
#[googletest::test]
fn routers_resume_at_different_times_after_a_backoff() {
    let case = &CASES[6];
    let mut simulation = Simulation::new(case);
    simulation.run(case);
    let refused_from = simulation.start + 2 * SECOND;
    let resumed = |arrival: &&Arrival| arrival.at > refused_from + 2 * SECOND;
    let first = simulation.arrivals.iter().find(resumed).map(|arrival| arrival.at).unwrap();
    // Without back-offs, the fleet sends 10 requests to each engine in this time.
    let first_burst = first..first + Duration::from_millis(50);
    for engine in 1..=ENGINES {
        let mut nodes: Vec<usize> = simulation
            .arrivals
            .iter()
            .filter(|arrival| {
                arrival.engine == Endpoint(engine) && first_burst.contains(&arrival.at)
            })
            .map(|arrival| arrival.node)
            .collect();
        nodes.sort_unstable();
        nodes.dedup();
        expect_that!(nodes.len(), lt(case.routers as usize / 4), "engine {engine}");
    }
}
