//! Prints the time that a scheduling decision takes by number of backlogged customers and of routers.
//!
//! A router's decision is the end of a request and the dispatch of the next one on the same slot. An owner's decision
//! is the processing of a report that returns a slot and the new grant of that slot. The last column is the end of a
//! request and the next dispatch with the reference global queue. Run it with `--release`.

use {
    siskin_sched::{
        baseline::Baseline, owner, owner::Owner, pool, router, router::Scheduler, ticket::Ticket,
    },
    siskin_types::{
        cost::{Units, Virtual},
        id,
        time::Instant,
    },
    siskin_wire::sched::{Line, Queue, Report, Slots},
    std::{collections::VecDeque, time::Duration},
};

const MODEL: id::Model = id::Model(1);
const NODE: id::Node = id::Node(1);
const SLOTS: u32 = 64;
const COST: Units = Units(100);
/// Numbers of decisions that are timed at the router and the owner, and at the reference global queue.
const DECISIONS: u32 = 20_000;
const BASELINE_DECISIONS: u32 = 500;

/// Number of routers that report to the owner in the first table, and of backlogged customers in the second.
const ROUTERS: u32 = 1;
const CUSTOMERS: u32 = 100;

fn main() {
    println!(
        "{:>10} {:>12} {:>12} {:>16}",
        "backlogged", "router ns", "owner ns", "global queue ns"
    );
    for customers in [10, 100, 1_000, 10_000] {
        println!(
            "{customers:>10} {:>12} {:>12} {:>16}",
            time_router_decision(customers).as_nanos(),
            time_owner_decision(customers, ROUTERS).as_nanos(),
            time_global_decision(customers).as_nanos()
        );
    }
    println!("{:>10} {:>12} {:>12}", "routers", "", "owner ns");
    for routers in [8, 40, 120, 300] {
        println!(
            "{routers:>10} {:>12} {:>12}",
            "",
            time_owner_decision(CUSTOMERS, routers).as_nanos()
        );
    }
}

fn options() -> pool::Options {
    pool::Options::new(id::Pool(1), NODE, 1)
}

fn endpoints() -> [pool::Endpoint; 1] {
    [pool::Endpoint::new(id::Endpoint(1), SLOTS, vec![MODEL])]
}

fn customers(count: u32) -> Vec<pool::Customer> {
    (0..count).map(|number| pool::Customer::new(id::Customer(number))).collect()
}

fn ticket(sequence: u64, customer: u32) -> Ticket {
    let request = id::Request { node: NODE, incarnation: 1, sequence };
    let deadline = Instant::from_micros(u64::MAX);
    Ticket::new(request, id::Customer(customer), MODEL, COST, deadline)
}

/// Mean time of a router's decision. Submitting the request that keeps the customer backlogged is not timed.
fn time_router_decision(count: u32) -> Duration {
    let mut now = Instant::from_micros(1_000);
    let mut scheduler = Scheduler::new(options());
    let mut owner = Owner::new(options());
    owner.endpoints(now, &endpoints());
    owner.customers(now, &customers(count));
    owner.members(now, &[NODE], 1);
    scheduler.endpoints(now, &endpoints());
    scheduler.customers(now, &customers(count));
    let mut actions = scheduler.owner_changed(now, Some(NODE));
    let mut sequence = 0;
    for customer in (0..count).chain(0..count).chain((0..SLOTS).map(|slot| slot % count)) {
        sequence += 1;
        actions.extend(scheduler.submit(now, ticket(sequence, customer)).expect("within the caps"));
    }
    let mut in_flight = VecDeque::new();
    let mut spent = Duration::ZERO;
    let mut decisions = 0;
    while decisions < DECISIONS {
        now = now + Duration::from_micros(200);
        actions.extend(scheduler.tick(now));
        for action in std::mem::take(&mut actions) {
            match action {
                router::Action::Dispatch { request, .. } => in_flight.push_back(request),
                router::Action::Send { message, .. } => {
                    for owner::Action::Send { message, .. } in owner.receive(now, NODE, &message) {
                        actions.extend(scheduler.receive(now, NODE, &message));
                    }
                }
                router::Action::Expire { .. } => {}
            }
        }
        let Some(request) = in_flight.pop_front() else { continue };
        let start = std::time::Instant::now();
        let decided = scheduler.finish(now, request, COST);
        spent += start.elapsed();
        actions.extend(decided);
        decisions += 1;
        sequence += 1;
        let customer = u32::try_from(sequence).unwrap_or(0) % count;
        actions.extend(scheduler.submit(now, ticket(sequence, customer)).expect("within the caps"));
    }
    spent / decisions
}

/// Mean time of an owner's decision. Requests wait at all routers; one router has the slots and the customers to
/// serve next.
fn time_owner_decision(count: u32, routers: u32) -> Duration {
    let mut now = Instant::from_micros(1_000);
    let mut owner = Owner::new(options());
    owner.endpoints(now, &endpoints());
    owner.customers(now, &customers(count));
    owner.members(now, &[NODE], 1);
    let queue = |customer: u32, charged: i64| Queue {
        customer: id::Customer(customer),
        charged,
        clock: None,
        permits: None,
        lines: vec![Line {
            model: MODEL,
            waiting: 2 * SLOTS,
            estimate: COST,
            prefer: None,
            exclude: vec![],
        }],
    };
    let mut report = Report {
        pool: id::Pool(1),
        account: 2,
        sequence: 1,
        full: true,
        queues: (0..count).map(|customer| queue(customer, 0)).collect(),
        ..Report::default()
    };
    owner.receive(now, NODE, &report);
    for router in 1..routers {
        let mut ahead = queue(count + router, 0);
        ahead.clock = Some(Virtual::ZERO.plus(options().max_catch_up));
        let queues = vec![ahead];
        owner.receive(now, id::Node(1 + router), &Report { queues, ..report.clone() });
    }
    now = now + options().collection_period;
    let mut grants = owner.receive(now, NODE, &report);
    let mut spent = Duration::ZERO;
    for decision in 0..DECISIONS {
        now = now + Duration::from_micros(200);
        for owner::Action::Send { to, message } in grants {
            if to == NODE {
                report.heard = message.sequence;
            }
        }
        report.sequence += 1;
        report.full = false;
        report.queues = vec![queue(decision % count, i64::from(decision / count) * 100)];
        let endpoint = id::Endpoint(1);
        let returned = u64::from(decision) + 1;
        report.slots = vec![Slots { endpoint, opening: 0, returned, busy: SLOTS - 1 }];
        let start = std::time::Instant::now();
        grants = owner.receive(now, NODE, &report);
        spent += start.elapsed();
    }
    spent / DECISIONS
}

/// Mean time of a decision of the global queue.
fn time_global_decision(count: u32) -> Duration {
    let now = Instant::from_micros(1_000);
    let mut baseline = Baseline::global(options(), &endpoints(), &customers(count));
    let mut in_flight = VecDeque::new();
    let mut sequence = 0;
    for customer in (0..count).chain(0..count).chain((0..SLOTS).map(|slot| slot % count)) {
        sequence += 1;
        in_flight.extend(baseline.submit(now, NODE, ticket(sequence, customer)));
    }
    let mut spent = Duration::ZERO;
    for _ in 0..BASELINE_DECISIONS {
        let Some(dispatch) = in_flight.pop_front() else { break };
        let start = std::time::Instant::now();
        let decided = baseline.finish(now, NODE, dispatch.request, COST);
        spent += start.elapsed();
        in_flight.extend(decided);
        sequence += 1;
        let customer = u32::try_from(sequence).unwrap_or(0) % count;
        in_flight.extend(baseline.submit(now, NODE, ticket(sequence, customer)));
    }
    spent / BASELINE_DECISIONS
}
