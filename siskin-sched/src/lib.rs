//! Fair scheduling decisions: the router's queues and the pool owner's slot grants.
//!
//! Both sides are state machines without I/O: every method that advances one takes the current time and returns the
//! actions that the runtime has to carry out. [`router::Scheduler`] runs once per pool on every router,
//! [`owner::Owner`] once per pool at its owner. A router that owns the pool itself exchanges the same messages with
//! its own scheduler through the runtime.
//!
//! # Terms
//!
//! - *Slot*: the right to run one request at an endpoint. The owner grants slots to routers, which reuse or return
//!   them.
//! - *Permit*: the right to have one request of a customer in flight, needed where the customer's cap is below the
//!   number of slots of the pool.
//! - *Virtual time* of a customer: the service charged to it divided by its weight. The customer with the lowest one
//!   is served next.
//! - *Floor* of a model: the lowest virtual time of the customers that wait for it.
//! - *Account*: the running totals of slots, permits and charges that a router exchanges with an owner. A router
//!   opens a new account, with totals from zero, for each new term, at the owner's request, and when totals contradict
//!   each other.
//! - *Term*: the time for which a node owns the pool without interruption.
//!
//! ```
//! use {
//!     siskin_sched::{owner, pool, router, ticket::Ticket},
//!     siskin_types::{cost::Units, id, time::Instant},
//! };
//!
//! let node = id::Node(1);
//! let options = pool::Options::new(id::Pool(1), node, 7);
//! let mut scheduler = router::Scheduler::new(options.clone());
//! let mut owner = owner::Owner::new(options);
//! let endpoints = [pool::Endpoint::new(id::Endpoint(1), 4, vec![id::Model(1)])];
//! let customers = [pool::Customer::new(id::Customer(1))];
//! let now = Instant::from_micros(1);
//! owner.endpoints(now, &endpoints);
//! owner.customers(now, &customers);
//! owner.members(now, &[node], 1);
//! scheduler.endpoints(now, &endpoints);
//! scheduler.customers(now, &customers);
//! scheduler.owner_changed(now, Some(node));
//!
//! let request = id::Request { node, incarnation: 7, sequence: 1 };
//! let deadline = Instant::from_micros(60_000_000);
//! let ticket = Ticket::new(request, id::Customer(1), id::Model(1), Units(100), deadline);
//! let mut actions = scheduler.submit(now, ticket).unwrap();
//! let now = Instant::from_micros(10_000);
//! actions.extend(scheduler.tick(now));
//! let mut dispatched = 0;
//! for action in actions {
//!     let router::Action::Send { message: report, .. } = action else { continue };
//!     for owner::Action::Send { message: grant, .. } in owner.receive(now, node, &report) {
//!         dispatched += scheduler
//!             .receive(now, node, &grant)
//!             .iter()
//!             .filter(|action| matches!(action, router::Action::Dispatch { .. }))
//!             .count();
//!     }
//! }
//! assert_eq!(dispatched, 1);
//! scheduler.finish(now, request, Units(120));
//! ```

pub mod baseline;
pub mod owner;
pub mod pool;
pub mod refusal;
pub mod router;
pub mod ticket;
