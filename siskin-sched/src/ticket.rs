//! A request as the scheduler handles it.

use siskin_types::{cost::Units, id, time::Instant};

/// A request that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The request.
    pub request: id::Request,
    /// The customer to which the request is charged.
    pub customer: id::Customer,
    /// The model or route that it needs.
    pub model: id::Model,
    /// Expected cost.
    pub estimate: Units,
    /// Endpoints that likely have the prefix of its prompt cached, best first.
    pub prefer: Vec<id::Endpoint>,
    /// When it expires if it is still queued.
    pub deadline: Instant,
    /// Endpoints that must not run it, such as those that refused it.
    pub exclude: Vec<id::Endpoint>,
    /// Whether it is suspected of crashing endpoints. It then runs only at endpoints where this router has no other
    /// suspect in flight.
    pub alone: bool,
}

impl Ticket {
    /// Creates a ticket without preferred or excluded endpoints.
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
