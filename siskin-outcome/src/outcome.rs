//! What a caller is told at the end of its request.

use std::{fmt, time::Duration};

/// The final result of a request.
///
/// ```
/// use siskin_outcome::outcome::{Outcome, Reason, Safety};
/// let outcome = Outcome::NotRun(Reason::QueueFull);
/// assert_eq!(outcome.label(), "not_run");
/// assert_eq!(outcome.reason().unwrap().label(), "queue_full");
/// assert_eq!(outcome.status(), 429);
/// assert!(outcome.may_resend(Safety::Once));
/// assert!(!Outcome::Unknown(Reason::Broken).may_resend(Safety::Once));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The endpoint ran the request and gave a complete answer.
    Completed,
    /// The endpoint ran the request and reported that it failed.
    Failed,
    /// The request did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

/// Why a request did not run, or why it is unknown whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The customer's queue is full.
    QueueFull,
    /// The customer exceeded its request rate.
    RateLimit,
    /// The customer has too many requests in flight.
    InFlightCap,
    /// No endpoint that may be used serves the model or route.
    NoEndpoint,
    /// No endpoint that serves the model or route answers.
    EndpointsDown,
    /// The router has not loaded the configuration yet.
    NotReady,
    /// The router sees neither the store nor half of the members.
    Isolated,
    /// The router is stopping.
    Stopping,
    /// The deadline passed before any byte was sent.
    QueueDeadline,
    /// The request has crashed endpoints and is refused for a while.
    SuspectRefused,
    /// The claim could not be written before the deadline.
    ClaimStoreUnavailable,
    /// The idempotency key is in use with a different body.
    ClaimBodyDiffers,
    /// The endpoint answered that it did not start the request.
    EndpointRefused,
    /// No connection to an endpoint could be made.
    ConnectFailed,
    /// The caller went away.
    CallerGone,
    /// Another attempt holds the claim and has not recorded a result.
    ClaimInProgress,
    /// Another attempt holds the claim and can no longer record a result.
    ClaimUnresolved,
    /// The endpoint or the path to it went silent.
    Silent,
    /// The connection broke before the answer was complete.
    Broken,
    /// The answer belonged to another request, was incomplete or had a gap.
    Crossed,
    /// The engine no longer had the stream that was to be resumed.
    ResumeRefused,
    /// The deadline passed after the request had been sent.
    DeadlineAfterSend,
}

/// Which callers may repeat a request without the risk of running it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safety {
    /// Running it twice does no harm.
    Idempotent,
    /// A claim on an idempotency key stops the second run.
    Claimed,
    /// Nothing stops a second run.
    Once,
}

/// Wait suggested where the cause is expected to pass quickly.
const SHORT_WAIT: Duration = Duration::from_secs(1);

/// Wait suggested where the cause lasts for the time of a restart or a store outage.
const LONG_WAIT: Duration = Duration::from_secs(5);

/// Wait suggested to a suspect if the detector's own figure is not at hand.
const SUSPECT_WAIT: Duration = Duration::from_secs(600);

impl Reason {
    /// All reasons, for registering one counter each.
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

    /// Stable name for the `X-Siskin-Reason` header and for metrics.
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

    /// Whether the reason can only arise once the request may have run.
    ///
    /// A claim in progress counts: the other attempt with the same key may have run the call, so telling
    /// this caller "not run" would be false for the call it asked for.
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
            // Never reaches the caller; the number is the one that proxies commonly log.
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
            | Self::ClaimInProgress => Some(SHORT_WAIT),
            Self::NoEndpoint
            | Self::EndpointsDown
            | Self::Isolated
            | Self::ClaimStoreUnavailable => Some(LONG_WAIT),
            Self::SuspectRefused => Some(SUSPECT_WAIT),
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

    /// Stable name for the `X-Siskin-Outcome` header and for metrics.
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

    /// HTTP status for the caller if the endpoint's own status is not passed through.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Completed => 200,
            Self::Failed => 502,
            Self::NotRun(reason) | Self::Unknown(reason) => reason.status(),
        }
    }

    /// Whether the caller may send the request again without the risk of a second run.
    #[must_use]
    pub const fn may_resend(self, safety: Safety) -> bool {
        match self {
            Self::Completed => false,
            Self::NotRun(reason) => !matches!(reason, Reason::ClaimBodyDiffers),
            Self::Failed => matches!(safety, Safety::Idempotent),
            Self::Unknown(reason) => match safety {
                Safety::Idempotent => true,
                // The same key gives the recorded result once the other attempt has ended.
                Safety::Claimed => matches!(reason, Reason::ClaimInProgress),
                Safety::Once => false,
            },
        }
    }

    /// Value of `Retry-After`. For a refused suspect the detector's verdict has the exact figure.
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
