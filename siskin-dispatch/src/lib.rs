//! Decisions on requests that are forwarded unchanged: which endpoint serves a request, or why it is refused.
//!
//! Every router decides for itself, at once and without asking anybody. What it knows of the others' requests comes
//! in digests a few times a second ([`pool::Pool::hear`]); what it lacks is made up for by choices that all routers
//! make alike: a subject has the same home endpoint everywhere.
//!
//! * [`prompt`]: what a request asks an engine to read
//! * [`cache`]: what an engine has likely kept of earlier prompts
//! * [`pool`]: the endpoints of one service, their load, and the choice among them
//! * [`condition`]: what endpoints say of themselves, and whether requests may be sent to them
//! * [`share`]: what each customer asked for and got lately, and what it is owed
//! * [`admit`]: how long a request may wait
//! * [`spread`]: who tells whom of load
//! * [`reading`]: which routers read the changes of the platform's store
//! * [`sizes`]: how much a long prompt counts
//! * [`budget`]: the fleet's limit on repeated requests, split over the routers
//!
//! Nothing here does I/O; time comes in as an argument.

pub mod admit;
pub mod budget;
pub mod cache;
pub mod condition;
pub mod pool;
pub mod prompt;
pub mod reading;
pub mod share;
pub mod sizes;
pub mod spread;
