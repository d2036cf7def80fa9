//! A request as the scheduler sees it.

use siskin_types::{cost::Units, id, time::Instant};

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: id::Request,
    /// Who pays.
    pub customer: id::Customer,
    /// The model or route that it needs.
    pub model: id::Model,
    /// Expected cost.
    pub estimate: Units,
    /// Endpoints that likely hold its prefix, best first.
    pub prefer: Vec<id::Endpoint>,
    /// When it expires in the queue.
    pub deadline: Instant,
    /// Endpoints that must not get it, such as those that refused it.
    pub exclude: Vec<id::Endpoint>,
    /// Whether it is suspected of crashing endpoints, and runs only where this router knows no other
    /// suspect in flight.
    pub alone: bool,
}

impl Ticket {
    /// A ticket without preferences and restrictions.
    #[must_use]
    pub fn new(
        request: id::Request,
        customer: id::Customer,
        model: id::Model,
        estimate: Units,
        deadline: Instant,
    ) -> Self {
        Self {
            request,
            customer,
            model,
            estimate,
            prefer: Vec::new(),
            deadline,
            exclude: Vec::new(),
            alone: false,
        }
    }
}
