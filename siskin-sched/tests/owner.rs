//! Tests of one pool owner: collection of reports, usable slots, expiry, endpoint preferences and merged virtual
//! times.

use {
    siskin_sched::{
        owner::{Action, Owner},
        pool::{Customer, Endpoint, Load, Options},
    },
    siskin_types::{
        cost::{Units, Virtual},
        id::{self, Model, Node},
        time::Instant,
    },
    siskin_wire::sched::{Grant, Line, Queue, Report, Slots},
    std::time::Duration,
};

const NOW: Instant = Instant::from_micros(1_000_000);
const LIMIT: u32 = 8;
const ROUTER: Node = Node(1);
const OTHER: Node = Node(2);

fn owner(visible: &[Node], known: usize) -> Owner {
    let mut owner = Owner::new(Options::new(id::Pool(1), ROUTER, 1));
    let endpoint = |number| Endpoint::new(id::Endpoint(number), LIMIT, vec![Model(1)]);
    owner.endpoints(NOW, &[endpoint(1), endpoint(2)]);
    owner.customers(NOW, &[1, 2].map(|number| Customer::new(id::Customer(number))));
    owner.members(NOW, visible, known);
    owner
}

/// A full report with the queue of one customer.
fn report(customer: u32, waiting: u32) -> Report {
    let line =
        Line { model: Model(1), waiting, estimate: Units(10), prefer: None, exclude: vec![] };
    let queue = Queue {
        customer: id::Customer(customer),
        charged: 0,
        clock: Some(Virtual::ZERO),
        permits: None,
        lines: vec![line],
    };
    Report {
        pool: id::Pool(1),
        account: 5,
        sequence: 1,
        full: true,
        queues: vec![queue],
        ..Report::default()
    }
}

fn grants(actions: Vec<Action>) -> Vec<(Node, Grant)> {
    actions.into_iter().map(|Action::Send { to, message }| (to, message)).collect()
}

/// Total of slots granted to `node` at each endpoint, according to the last grant.
fn granted(actions: Vec<Action>, node: Node) -> [u64; 2] {
    let mut totals = [0; 2];
    for (_, grant) in grants(actions).iter().filter(|(to, _)| *to == node) {
        for entry in &grant.slots {
            totals[entry.endpoint.0 as usize - 1] = entry.granted;
        }
    }
    totals
}

#[test]
fn usable_slots_depend_on_members_and_load() {
    struct Case {
        name: &'static str,
        known: usize,
        /// Load reported by both endpoints, and the age of the report.
        load: Option<(u32, Duration)>,
        expected: u64,
    }
    let fresh = Duration::ZERO;
    let stale = Duration::from_millis(2_001);
    let cases = [
        Case { name: "whole fleet", known: 1, load: None, expected: 16 },
        Case {
            name: "whole fleet, load of other routers",
            known: 1,
            load: Some((8, fresh)),
            expected: 16,
        },
        Case { name: "half, no load report", known: 2, load: None, expected: 8 },
        Case { name: "half, other routers idle", known: 2, load: Some((0, fresh)), expected: 16 },
        Case { name: "half, other routers use 2", known: 2, load: Some((2, fresh)), expected: 12 },
        Case { name: "half, other routers use all", known: 2, load: Some((8, fresh)), expected: 8 },
        Case { name: "half, old load report", known: 2, load: Some((0, stale)), expected: 8 },
        Case { name: "fifth, no load report", known: 5, load: None, expected: 2 },
    ];
    for case in cases {
        let mut owner = owner(&[ROUTER], case.known);
        let mut now = NOW;
        if let Some((running, age)) = case.load {
            for endpoint in [1, 2] {
                owner.load(now, id::Endpoint(endpoint), Load { running, leaving: false });
            }
            now = now + age;
        }
        let total: u64 = granted(owner.receive(now, ROUTER, &report(1, 100)), ROUTER).iter().sum();
        assert_eq!(total, case.expected, "{}", case.name);
    }
}

/// Guards against slots granted twice because a router has not yet reported the slots that it holds to a new owner.
#[test]
fn new_owner_collects_reports_first() {
    let mut owner = owner(&[ROUTER, OTHER], 2);
    assert_eq!(granted(owner.receive(NOW, ROUTER, &report(1, 100)), ROUTER), [0, 0]);
    let mut held = report(2, 0);
    held.slots = vec![Slots { endpoint: id::Endpoint(1), opening: 3, returned: 1, busy: 2 }];
    assert_eq!(granted(owner.receive(NOW, OTHER, &held), ROUTER), [6, 8]);
}

#[test]
fn repeated_and_old_reports_change_nothing() {
    let mut owner = owner(&[ROUTER], 1);
    let first = report(1, 3);
    assert_eq!(granted(owner.receive(NOW, ROUTER, &first), ROUTER).iter().sum::<u64>(), 3);
    assert_eq!(owner.receive(NOW, ROUTER, &first), []);
    let second = Report { sequence: 3, heard: 1, full: false, ..report(1, 4) };
    let total: u64 = granted(owner.receive(NOW, ROUTER, &second), ROUTER).iter().sum();
    assert_eq!(total, 7);
    assert_eq!(owner.receive(NOW, ROUTER, &Report { sequence: 2, ..second }), []);
}

#[test]
fn silent_routers_lose_their_slots() {
    let mut owner = owner(&[ROUTER, OTHER], 2);
    owner.receive(NOW, OTHER, &report(2, 100));
    let first = granted(owner.receive(NOW, ROUTER, &report(1, 100)), OTHER);
    assert_eq!(first.iter().sum::<u64>(), 8, "half of the slots for each customer");
    let early = NOW + Duration::from_millis(3_299);
    let again = Report { sequence: 2, ..report(1, 100) };
    assert_eq!(granted(owner.receive(early, ROUTER, &again), ROUTER), [0, 0]);
    assert_eq!(granted(owner.tick(NOW + Duration::from_millis(3_300)), ROUTER), [8, 8]);
    // A report of the expired account is answered by a request for a full report.
    let late = Report { sequence: 9, full: false, ..report(2, 100) };
    let answers = grants(owner.receive(early + Duration::from_secs(1), OTHER, &late));
    assert_eq!(answers.len(), 1);
    assert_eq!((answers[0].1.answers, answers[0].1.slots.len()), (0, 0));
}

#[test]
fn preferred_endpoint_is_granted_if_free() {
    for (name, prefer, expected) in
        [("free", 2, [0, 1]), ("unknown", 9, [0, 1]), ("first", 1, [1, 0])]
    {
        let mut owner = owner(&[ROUTER], 1);
        let mut report = report(1, 1);
        report.queues[0].lines[0].prefer = Some(id::Endpoint(prefer));
        assert_eq!(granted(owner.receive(NOW, ROUTER, &report), ROUTER), expected, "{name}");
    }
}

/// Guards against endless grants of a slot that the router cannot use.
#[test]
fn excluded_endpoint_is_not_granted() {
    let mut owner = owner(&[ROUTER], 1);
    let mut report = report(1, 20);
    report.queues[0].lines[0].prefer = Some(id::Endpoint(2));
    report.queues[0].lines[0].exclude = vec![id::Endpoint(2)];
    assert_eq!(granted(owner.receive(NOW, ROUTER, &report), ROUTER), [8, 0]);
}

/// Guards against a customer that is favoured after a partition for longer than `max_catch_up` allows.
#[test]
fn merged_lead_is_limited() {
    let mut owner = owner(&[ROUTER, OTHER], 2);
    let lead = Virtual::ZERO.plus(Units(1_000_000));
    owner.receive(NOW, OTHER, &report(1, 100));
    let mut ahead = report(2, 100);
    ahead.queues[0].clock = Some(lead);
    owner.receive(NOW, ROUTER, &ahead);
    let late = Report { sequence: 2, ..report(1, 99) };
    owner.receive(NOW, OTHER, &late);
    let answers = grants(owner.tick(NOW + Duration::from_millis(50)));
    let clocks = answers.iter().flat_map(|(_, grant)| &grant.clocks);
    let clock = clocks.clone().find(|entry| entry.customer == id::Customer(1));
    let least = lead.reduced(Units(80_000), siskin_types::cost::Weight::ONE);
    assert!(clock.is_some_and(|entry| entry.clock >= least), "{clock:?}");
}

/// Guards against a new owner that raises the virtual times of all customers to those in the first report.
#[test]
fn new_owner_keeps_reported_virtual_times() {
    let mut owner = owner(&[ROUTER, OTHER], 2);
    let mut first = report(2, 100);
    first.queues[0].clock = Some(Virtual::ZERO.plus(Units(5_000)));
    let mut second = report(1, 100);
    second.queues[0].clock = Some(Virtual::ZERO.plus(Units(3_000)));
    owner.receive(NOW, OTHER, &first);
    let answers = grants(owner.receive(NOW, ROUTER, &second));
    let clocks: Vec<_> = answers.iter().flat_map(|(_, grant)| &grant.clocks).collect();
    let clock = clocks.iter().find(|entry| entry.customer == id::Customer(1)).unwrap();
    assert_eq!(clock.clock, Virtual::ZERO.plus(Units(3_000)));
}
