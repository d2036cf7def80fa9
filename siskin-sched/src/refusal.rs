//! Reasons for refusing a ticket.

use {siskin_types::id, std::time::Duration};

/// Why a ticket was not queued.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The customer's queue is full.
    #[error("the queue of {customer} is full at {limit} requests; retry later or raise max_queue")]
    QueueFull {
        /// The customer.
        customer: id::Customer,
        /// Its cap.
        limit: u32,
        /// When to try again.
        retry_after: Duration,
    },
    /// The customer's queue is full, and its cap on requests in flight holds the queue back.
    #[error(
        "{customer} has {limit} requests in flight and a full queue; retry later or raise max_in_flight"
    )]
    InFlightCap {
        /// The customer.
        customer: id::Customer,
        /// Its cap.
        limit: u32,
        /// When to try again.
        retry_after: Duration,
    },
    /// The customer exceeds its rate.
    #[error("{customer} exceeds its rate; retry after {retry_after:?} or raise the rate")]
    RateLimited {
        /// The customer.
        customer: id::Customer,
        /// When the next request is accepted.
        retry_after: Duration,
    },
    /// The configuration does not name the customer.
    #[error("{customer} is not in the configuration in force; add it or correct the key")]
    UnknownCustomer {
        /// The customer.
        customer: id::Customer,
    },
    /// No endpoint of the pool serves the model.
    #[error("no endpoint serves {model}; configure one or name another model")]
    NoEndpoint {
        /// The model.
        model: id::Model,
    },
    /// The deadline has passed.
    #[error("the deadline of {request} has passed; allow more time")]
    DeadlinePassed {
        /// The request.
        request: id::Request,
    },
    /// The request is already queued or in flight.
    #[error("{request} is already queued or in flight; use a new identifier")]
    Duplicate {
        /// The request.
        request: id::Request,
    },
}

/// Retry delay for refusals that a change of the configuration would lift.
const CONFIGURATION_RETRY: Duration = Duration::from_secs(5);

impl Refusal {
    /// The name of the reason in metrics.
    ///
    /// ```
    /// use {siskin_sched::refusal::Refusal, siskin_types::id::Customer};
    /// let refusal = Refusal::UnknownCustomer { customer: Customer(3) };
    /// assert_eq!(refusal.label(), "unknown_customer");
    /// ```
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::QueueFull { .. } => "queue_full",
            Self::InFlightCap { .. } => "in_flight_cap",
            Self::RateLimited { .. } => "rate_limited",
            Self::UnknownCustomer { .. } => "unknown_customer",
            Self::NoEndpoint { .. } => "no_endpoint",
            Self::DeadlinePassed { .. } => "deadline_passed",
            Self::Duplicate { .. } => "duplicate",
        }
    }

    /// How long the caller should wait before it retries.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::QueueFull { retry_after, .. }
            | Self::InFlightCap { retry_after, .. }
            | Self::RateLimited { retry_after, .. } => *retry_after,
            Self::UnknownCustomer { .. } | Self::NoEndpoint { .. } => CONFIGURATION_RETRY,
            Self::DeadlinePassed { .. } | Self::Duplicate { .. } => Duration::ZERO,
        }
    }
}
