//! State of a request across its attempts: whether it may be retried, and how it ends if it is not.

use siskin_types::id::Endpoint;

/// Number of unreachable endpoints after which a request is given up.
const UNREACHABLE_MAX: usize = 3;

/// An attempt without a response that can be forwarded at once.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Failure<A> {
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint responded with a server error.
    Failed(A),
    /// The endpoint may have run the request, but no valid response arrived.
    Broken,
}

impl<A> Failure<A> {
    /// Label in metrics.
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed(_) => "failed",
            Self::Broken => "broken",
        }
    }
}

/// How a request that is not retried ends.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Conclusion<A> {
    /// With the error response of an endpoint.
    Failed(A),
    /// Refused, as no endpoint has run it.
    NotRun,
    /// With an unknown outcome, as an endpoint may have run it.
    Unknown,
}

/// Attempts of a request so far.
#[derive(Debug)]
pub(super) struct Progress<A> {
    sends: u32,
    /// Endpoints that are excluded from further attempts.
    tried: Vec<Endpoint>,
    unreachable: usize,
    /// Whether an endpoint may have run the request. If so, it must not be refused as not run.
    may_have_run: bool,
    /// The last error response of an endpoint.
    failure: Option<A>,
}

impl<A> Progress<A> {
    pub(super) const fn new() -> Self {
        Self { sends: 0, tried: Vec::new(), unreachable: 0, may_have_run: false, failure: None }
    }

    /// Number of attempts in which the request was sent.
    pub(super) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Endpoints that are excluded from further attempts.
    pub(super) fn tried(&self) -> &[Endpoint] {
        &self.tried
    }

    /// Records that an endpoint could not be reached. Returns whether another one may be tried.
    pub(super) fn record_unreachable(&mut self, endpoint: Endpoint) -> bool {
        self.unreachable += 1;
        self.tried.push(endpoint);
        self.unreachable < UNREACHABLE_MAX
    }

    /// Records that the request is about to be sent.
    pub(super) const fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Records a failed attempt. Returns whether the request may be retried; `repeatable` says whether it may run twice.
    pub(super) fn record_attempt(
        &mut self,
        endpoint: Endpoint,
        attempt: Failure<A>,
        repeatable: bool,
        max_attempts: u32,
    ) -> bool {
        self.tried.push(endpoint);
        let not_run = matches!(attempt, Failure::NotRun);
        self.may_have_run |= !not_run;
        if let Failure::Failed(failure) = attempt {
            self.failure = Some(failure);
        }
        (not_run || repeatable) && self.sends < max_attempts
    }

    /// Returns how the request ends if it is not retried.
    pub(super) fn final_outcome(self) -> Conclusion<A> {
        match self.failure {
            Some(failure) => Conclusion::Failed(failure),
            None if self.may_have_run => Conclusion::Unknown,
            None => Conclusion::NotRun,
        }
    }
}
