//! Final outcome of a request, as reported to the caller.

use std::{fmt, time::Duration};

/// The final result of a request.
///
/// ```
/// use siskin_outcome::outcome::{Outcome, Reason, Safety};
/// let outcome = Outcome::NotRun(Reason::QueueFull);
/// assert_eq!(outcome.label(), "not_run");
/// assert_eq!(outcome.reason().unwrap().label(), "queue_full");
/// assert_eq!(outcome.status(), 429);
/// assert!(outcome.may_resend(Safety::Unprotected));
/// assert!(!Outcome::Unknown(Reason::Broken).may_resend(Safety::Unprotected));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint ran the request and gave a complete answer.
    Completed,
    /// The endpoint ran the request and reported that it failed.
    Failed,
    /// No endpoint ran the request.
    NotRun(Reason),
    /// An endpoint may have run the request.
    Unknown(Reason),
}

/// Why a request was not run, or why it is unknown whether it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The customer's queue is full.
    QueueFull,
    /// The customer exceeded its request rate.
    RateLimit,
    /// The customer has too many requests in flight.
    InFlightCap,
    /// No eligible endpoint serves the model or route.
    NoEndpoint,
    /// All endpoints that serve the model or route are unreachable.
    EndpointsDown,
    /// The router has not loaded the configuration yet.
    NotReady,
    /// The router can reach neither the store nor half of the members.
    Isolated,
    /// The router is stopping.
    Stopping,
    /// The deadline passed before any byte of the request was sent.
    QueueDeadline,
    /// The request is suspected of crashing endpoints and is temporarily refused.
    SuspectRefused,
    /// The claim could not be written before the deadline.
    ClaimStoreUnavailable,
    /// The idempotency key was already used with a different body.
    ClaimBodyDiffers,
    /// The endpoint answered that it did not start the request.
    EndpointRefused,
    /// No connection to an endpoint could be made.
    ConnectFailed,
    /// The caller closed its connection.
    CallerGone,
    /// Another attempt holds the claim and has not recorded a result yet.
    ClaimInProgress,
    /// Another attempt holds the claim and can no longer record a result.
    ClaimUnresolved,
    /// The endpoint stopped making progress, or the network path to it failed.
    Silent,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer belonged to another request, was truncated or had a gap.
    Crossed,
    /// The engine no longer had the stream that the router asked to resume.
    ResumeRefused,
    /// The deadline passed after the request had been sent.
    DeadlineAfterSend,
}

/// How a request is protected against being run twice when the caller sends it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safety {
    /// The request is idempotent, so a second run does no harm.
    Idempotent,
    /// A claim on an idempotency key prevents a second run.
    Claimed,
    /// Nothing prevents a second run.
    Unprotected,
}

/// `Retry-After` for conditions that are expected to clear quickly.
const SHORT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` for conditions that last as long as a restart or a store outage.
const LONG_RETRY_AFTER: Duration = Duration::from_secs(5);

/// `Retry-After` for a suspect if the time from the poison detector is not available.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(600);

impl Reason {
    /// All reasons, for example to register a counter for each.
    pub const ALL: [Self; 22] = [
        Self::QueueFull,
        Self::RateLimit,
        Self::InFlightCap,
        Self::NoEndpoint,
        Self::EndpointsDown,
        Self::NotReady,
        Self::Isolated,
        Self::Stopping,
        Self::QueueDeadline,
        Self::SuspectRefused,
        Self::ClaimStoreUnavailable,
        Self::ClaimBodyDiffers,
        Self::EndpointRefused,
        Self::ConnectFailed,
        Self::CallerGone,
        Self::ClaimInProgress,
        Self::ClaimUnresolved,
        Self::Silent,
        Self::Broken,
        Self::Crossed,
        Self::ResumeRefused,
        Self::DeadlineAfterSend,
    ];

    /// Stable label for the `X-Siskin-Reason` header and for metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::QueueFull => "queue_full",
            Self::RateLimit => "rate_limit",
            Self::InFlightCap => "in_flight_cap",
            Self::NoEndpoint => "no_endpoint",
            Self::EndpointsDown => "endpoints_down",
            Self::NotReady => "not_ready",
            Self::Isolated => "isolated",
            Self::Stopping => "stopping",
            Self::QueueDeadline => "queue_deadline",
            Self::SuspectRefused => "suspect_refused",
            Self::ClaimStoreUnavailable => "claim_store_unavailable",
            Self::ClaimBodyDiffers => "claim_body_differs",
            Self::EndpointRefused => "endpoint_refused",
            Self::ConnectFailed => "connect_failed",
            Self::CallerGone => "caller_gone",
            Self::ClaimInProgress => "claim_in_progress",
            Self::ClaimUnresolved => "claim_unresolved",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Crossed => "crossed",
            Self::ResumeRefused => "resume_refused",
            Self::DeadlineAfterSend => "deadline_after_send",
        }
    }

    /// Whether the reason can only occur once the request may have run.
    ///
    /// This includes a claim in progress: the other attempt with the same key may have run the request, so
    /// reporting "not run" to this caller could be false.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::ClaimInProgress
                | Self::ClaimUnresolved
                | Self::Silent
                | Self::Broken
                | Self::Crossed
                | Self::ResumeRefused
                | Self::DeadlineAfterSend
        )
    }

    const fn status(self) -> u16 {
        match self {
            Self::QueueFull | Self::RateLimit | Self::InFlightCap | Self::SuspectRefused => 429,
            Self::NoEndpoint
            | Self::EndpointsDown
            | Self::NotReady
            | Self::Isolated
            | Self::Stopping
            | Self::ClaimStoreUnavailable
            | Self::EndpointRefused => 503,
            Self::ConnectFailed
            | Self::Broken
            | Self::Crossed
            | Self::ResumeRefused
            | Self::ClaimUnresolved => 502,
            Self::QueueDeadline | Self::Silent | Self::DeadlineAfterSend => 504,
            Self::ClaimInProgress => 409,
            Self::ClaimBodyDiffers => 422,
            // Never sent to the caller; proxies commonly log this status for a closed client connection.
            Self::CallerGone => 499,
        }
    }

    const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::QueueFull
            | Self::RateLimit
            | Self::InFlightCap
            | Self::EndpointRefused
            | Self::ConnectFailed
            | Self::QueueDeadline
            | Self::NotReady
            | Self::Stopping
            | Self::ClaimInProgress => Some(SHORT_RETRY_AFTER),
            Self::NoEndpoint
            | Self::EndpointsDown
            | Self::Isolated
            | Self::ClaimStoreUnavailable => Some(LONG_RETRY_AFTER),
            Self::SuspectRefused => Some(SUSPECT_RETRY_AFTER),
            Self::ClaimBodyDiffers
            | Self::CallerGone
            | Self::ClaimUnresolved
            | Self::Silent
            | Self::Broken
            | Self::Crossed
            | Self::ResumeRefused
            | Self::DeadlineAfterSend => None,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl Outcome {
    /// The outcome for a complete answer of an endpoint with this HTTP status.
    #[must_use]
    pub const fn answered(status: u16) -> Self {
        if status >= 500 { Self::Failed } else { Self::Completed }
    }

    /// Stable label for the `X-Siskin-Outcome` header and for metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::NotRun(_) => "not_run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// The reason, for outcomes that have one.
    #[must_use]
    pub const fn reason(self) -> Option<Reason> {
        match self {
            Self::Completed | Self::Failed => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(reason),
        }
    }

    /// HTTP status for the caller when the endpoint's status is not passed through.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Completed => 200,
            Self::Failed => 502,
            Self::NotRun(reason) | Self::Unknown(reason) => reason.status(),
        }
    }

    /// Whether the caller may send the request again without the risk of a harmful second run.
    #[must_use]
    pub const fn may_resend(self, safety: Safety) -> bool {
        match self {
            Self::Completed => false,
            Self::NotRun(reason) => !matches!(reason, Reason::ClaimBodyDiffers),
            Self::Failed => matches!(safety, Safety::Idempotent),
            Self::Unknown(reason) => match safety {
                Safety::Idempotent => true,
                // A repeat with the same key returns the recorded result once the other attempt has ended.
                Safety::Claimed => matches!(reason, Reason::ClaimInProgress),
                Safety::Unprotected => false,
            },
        }
    }

    /// Value of `Retry-After`. For a refused suspect, the verdict of the poison detector has the exact time.
    #[must_use]
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Completed | Self::Failed => None,
            Self::NotRun(reason) | Self::Unknown(reason) => reason.retry_after(),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason() {
            Some(reason) => write!(f, "{} ({reason})", self.label()),
            None => f.write_str(self.label()),
        }
    }
}
