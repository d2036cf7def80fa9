//! Tests of one router's scheduler: limits, order, expiry, excluded and preferred endpoints.

use {
    siskin_sched::{
        pool::{Customer, Endpoint, Options, Rate},
        router::{Action, Scheduler},
        ticket::Ticket,
    },
    siskin_types::{
        cost::Units,
        id::{self, Model, Node},
        time::Instant,
    },
    siskin_wire::sched::{Grant, Granted, Permitted},
    std::time::Duration,
};

const NOW: Instant = Instant::from_micros(1_000_000);
const NODE: Node = Node(1);

fn request(sequence: u64) -> id::Request {
    id::Request { node: NODE, incarnation: 1, sequence }
}

fn ticket(sequence: u64, customer: u32, units: u64) -> Ticket {
    let deadline = NOW + Duration::from_secs(60);
    Ticket::new(request(sequence), id::Customer(customer), Model(1), Units(units), deadline)
}

/// A scheduler with two endpoints that has sent its first report.
fn scheduler(customers: &[Customer]) -> Scheduler {
    let mut scheduler = Scheduler::new(Options::new(id::Pool(1), NODE, 1));
    let endpoint = |number| Endpoint::new(id::Endpoint(number), 4, vec![Model(1)]);
    scheduler.endpoints(NOW, &[endpoint(1), endpoint(2)]);
    scheduler.customers(NOW, customers);
    scheduler.owner_changed(NOW, Some(NODE));
    scheduler
}

fn customers() -> [Customer; 2] {
    [Customer::new(id::Customer(1)), Customer::new(id::Customer(2))]
}

/// Applies a grant with the given totals of slots at endpoints 1 and 2, and returns the dispatched requests with
/// their endpoints.
fn grant(scheduler: &mut Scheduler, sequence: u64, totals: [u64; 2]) -> Vec<(u64, u32)> {
    let entry = |(number, granted)| Granted { endpoint: id::Endpoint(number), granted, keep: true };
    let grant = Grant {
        pool: id::Pool(1),
        account: 2,
        sequence,
        answers: 1,
        reserve: 4,
        slots: (1..).zip(totals).map(entry).collect(),
        ..Grant::default()
    };
    dispatched(scheduler.receive(NOW, NODE, &grant))
}

/// Applies a grant with a total of slots at endpoint 1 and with permits, and returns the dispatched requests.
fn grant_permits(
    scheduler: &mut Scheduler,
    sequence: u64,
    granted: u64,
    entry: Permitted,
) -> Vec<(u64, u32)> {
    let slots = Granted { endpoint: id::Endpoint(1), granted, keep: true };
    let grant = Grant {
        pool: id::Pool(1),
        account: 2,
        sequence,
        answers: 1,
        reserve: 4,
        slots: vec![slots],
        permits: vec![entry],
        ..Grant::default()
    };
    dispatched(scheduler.receive(NOW, NODE, &grant))
}

fn dispatched(actions: Vec<Action>) -> Vec<(u64, u32)> {
    let pair = |action| match action {
        Action::Dispatch { request, endpoint } => Some((request.sequence, endpoint.0)),
        Action::Expire { .. } | Action::Send { .. } => None,
    };
    actions.into_iter().filter_map(pair).collect()
}

#[test]
fn refusals_have_the_right_reason() {
    struct Case {
        name: &'static str,
        ticket: Ticket,
        expected: &'static str,
    }
    let mut capped = Customer::new(id::Customer(1));
    capped.max_queued = 2;
    let mut limited = Customer::new(id::Customer(2));
    limited.rate = Some(Rate { per_second: 10, burst: 1 });
    let mut full = Customer::new(id::Customer(4));
    (full.max_in_flight, full.max_queued) = (1, 1);
    let cases = [
        Case { name: "queue", ticket: ticket(9, 1, 10), expected: "queue_full" },
        Case { name: "cap", ticket: ticket(9, 4, 10), expected: "in_flight_cap" },
        Case { name: "rate", ticket: ticket(9, 2, 10), expected: "rate_limited" },
        Case { name: "customer", ticket: ticket(9, 3, 10), expected: "unknown_customer" },
        Case {
            name: "model",
            ticket: Ticket { model: Model(9), ..ticket(9, 1, 10) },
            expected: "no_endpoint",
        },
        Case {
            name: "deadline",
            ticket: Ticket { deadline: NOW, ..ticket(9, 1, 10) },
            expected: "deadline_passed",
        },
        Case { name: "duplicate", ticket: ticket(1, 1, 10), expected: "duplicate" },
    ];
    for case in cases {
        let mut scheduler = scheduler(&[capped.clone(), limited.clone(), full.clone()]);
        let accepted = [ticket(1, 1, 10), ticket(2, 1, 10), ticket(3, 2, 10), ticket(4, 4, 10)];
        for accepted in accepted {
            scheduler.submit(NOW, accepted).unwrap();
        }
        // Customer 4 has a full queue of one request, and other routers use its whole cap.
        let permits = Permitted { customer: id::Customer(4), granted: 0, share: Some(0) };
        assert_eq!(grant_permits(&mut scheduler, 1, 0, permits), [], "{}", case.name);
        let refusal = scheduler.submit(NOW, case.ticket).unwrap_err();
        assert_eq!(refusal.label(), case.expected, "{}", case.name);
        let configured = matches!(case.expected, "queue_full" | "in_flight_cap" | "rate_limited");
        assert!(!configured || refusal.retry_after() > Duration::ZERO, "{}", case.name);
    }
}

#[test]
fn dispatch_follows_order_and_endpoint_preferences() {
    struct Case {
        name: &'static str,
        tickets: Vec<Ticket>,
        grants: [u64; 2],
        expected: Vec<(u64, u32)>,
    }
    let one = id::Endpoint(1);
    let two = id::Endpoint(2);
    let prefers = |endpoint, ticket| Ticket { prefer: vec![endpoint], ..ticket };
    let excludes = |endpoint, ticket| Ticket { exclude: vec![endpoint], ..ticket };
    let alone = |ticket| Ticket { alone: true, ..ticket };
    let cases = [
        Case {
            name: "short requests overtake long ones of the same customer",
            tickets: vec![ticket(1, 1, 5_000), ticket(2, 1, 10)],
            grants: [1, 0],
            expected: vec![(2, 1)],
        },
        Case {
            name: "customers take turns by virtual time",
            tickets: vec![ticket(1, 1, 50), ticket(2, 1, 50), ticket(3, 2, 60), ticket(4, 2, 60)],
            grants: [3, 0],
            expected: vec![(1, 1), (3, 1), (2, 1)],
        },
        Case {
            name: "a preferred endpoint is used if it has a slot",
            tickets: vec![prefers(two, ticket(1, 1, 10))],
            grants: [2, 1],
            expected: vec![(1, 2)],
        },
        Case {
            name: "a slot does not stay idle for a preference",
            tickets: vec![prefers(two, ticket(1, 1, 10))],
            grants: [1, 0],
            expected: vec![(1, 1)],
        },
        Case {
            name: "no customer is skipped for a preference",
            tickets: vec![ticket(1, 1, 10), prefers(one, ticket(2, 2, 10))],
            grants: [1, 0],
            expected: vec![(1, 1)],
        },
        Case {
            name: "a request that excludes the endpoint does not block others",
            tickets: vec![excludes(one, ticket(1, 1, 10)), ticket(2, 2, 10)],
            grants: [1, 0],
            expected: vec![(2, 1)],
        },
        Case {
            name: "one suspect at an endpoint at a time",
            tickets: vec![alone(ticket(1, 1, 10)), alone(ticket(2, 1, 10)), ticket(3, 1, 10)],
            grants: [3, 0],
            expected: vec![(1, 1), (3, 1)],
        },
    ];
    for case in cases {
        let mut scheduler = scheduler(&customers());
        for ticket in case.tickets {
            scheduler.submit(NOW, ticket).unwrap();
        }
        assert_eq!(grant(&mut scheduler, 1, case.grants), case.expected, "{}", case.name);
        assert_eq!(grant(&mut scheduler, 1, case.grants), [], "{}: repeated grant", case.name);
    }
}

#[test]
fn cap_on_requests_in_flight_limits_dispatch() {
    let mut customer = Customer::new(id::Customer(1));
    customer.max_in_flight = 1;
    let mut scheduler = scheduler(&[customer]);
    for sequence in 1..=3 {
        scheduler.submit(NOW, ticket(sequence, 1, 10)).unwrap();
    }
    let permits = |granted, share| Permitted { customer: id::Customer(1), granted, share };
    assert_eq!(grant(&mut scheduler, 1, [2, 0]), [], "no permit");
    assert_eq!(grant_permits(&mut scheduler, 2, 4, permits(1, Some(0))), [], "no share");
    // An owner with an older configuration may grant more permits than the cap.
    assert_eq!(grant_permits(&mut scheduler, 3, 6, permits(3, None)), [(1, 1)]);
    let counts = scheduler.customer_counts()[0];
    assert_eq!((counts.queued, counts.in_flight), (2, 1));
    assert_eq!(dispatched(scheduler.finish(NOW, request(1), Units(10))), [(2, 1)]);
}

#[test]
fn cancelled_and_expired_tickets_do_not_run() {
    let mut scheduler = scheduler(&customers());
    let short = NOW + Duration::from_millis(10);
    scheduler.submit(NOW, Ticket { deadline: short, ..ticket(1, 1, 10) }).unwrap();
    scheduler.submit(NOW, ticket(2, 1, 10)).unwrap();
    scheduler.cancel(NOW, request(2));
    assert!(scheduler.next_tick() <= short);
    let actions = scheduler.tick(short);
    assert!(actions.contains(&Action::Expire { request: request(1) }), "{actions:?}");
    assert_eq!(grant(&mut scheduler, 1, [2, 0]), []);
    assert!(scheduler.customer_counts().is_empty());
}

/// Guards against a router that continues to dispatch with slots that the owner may have reclaimed.
#[test]
fn slots_expire_without_answers() {
    let mut scheduler = scheduler(&customers());
    scheduler.submit(NOW, ticket(1, 1, 10)).unwrap();
    assert_eq!(grant(&mut scheduler, 1, [2, 0]), [(1, 1)]);
    assert_eq!(scheduler.occupancy()[0].idle, 1);
    let expiry = NOW + Duration::from_secs(3);
    scheduler.tick(expiry);
    assert_eq!(scheduler.occupancy()[0].idle, 0);
    scheduler.submit(expiry, ticket(2, 1, 10)).unwrap();
    assert_eq!(dispatched(scheduler.finish(expiry, request(1), Units(10))), []);
    assert_eq!(scheduler.occupancy()[0].in_flight, 0);
}
