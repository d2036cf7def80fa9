//! What is known of a request between its attempts: whether it may be sent again, and how it ends if it is not.

use siskin_types::id::Endpoint;

/// Endpoints that could not be reached and are passed over for one request.
const UNREACHABLE_MAX: usize = 3;

/// How an attempt ended that gave no answer to pass on at once.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Attempt<A> {
    /// The endpoint did not run the request.
    NotRun,
    /// The endpoint answered with a failure.
    Failed(A),
    /// The endpoint may have run the request, and there is no answer.
    Broken,
}

impl<A> Attempt<A> {
    /// Name in metrics.
    pub(super) const fn label(&self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Failed(_) => "failed",
            Self::Broken => "broken",
        }
    }
}

/// How a request ends that is not sent again.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Ending<A> {
    /// With the failure that an endpoint answered.
    Failed(A),
    /// Refused: no endpoint has run it.
    NotRun,
    /// With an unknown outcome: an endpoint may have run it.
    Unknown,
}

/// The attempts of a request so far.
#[derive(Debug)]
pub(super) struct Progress<A> {
    sends: u32,
    /// Endpoints that it is not sent to again.
    tried: Vec<Endpoint>,
    unreachable: usize,
    /// Whether an endpoint may have run the request, so that no refusal may say that it has not run.
    exposed: bool,
    /// The last failure that an endpoint answered.
    failure: Option<A>,
}

impl<A> Progress<A> {
    pub(super) const fn new() -> Self {
        Self { sends: 0, tried: Vec::new(), unreachable: 0, exposed: false, failure: None }
    }

    /// Attempts in which the request was sent.
    pub(super) const fn sends(&self) -> u32 {
        self.sends
    }

    /// Endpoints that the request is not sent to again.
    pub(super) fn tried(&self) -> &[Endpoint] {
        &self.tried
    }

    /// An endpoint could not be reached. Tells whether another one may be tried.
    pub(super) fn unreached(&mut self, endpoint: Endpoint) -> bool {
        self.unreachable += 1;
        self.tried.push(endpoint);
        self.unreachable < UNREACHABLE_MAX
    }

    /// The request is about to be sent.
    pub(super) const fn sent(&mut self) {
        self.sends += 1;
    }

    /// An attempt has ended. Tells whether the request may be sent again, if it is `repeatable` or not.
    pub(super) fn ended(
        &mut self,
        endpoint: Endpoint,
        attempt: Attempt<A>,
        repeatable: bool,
        max_attempts: u32,
    ) -> bool {
        self.tried.push(endpoint);
        let not_run = matches!(attempt, Attempt::NotRun);
        self.exposed |= !not_run;
        if let Attempt::Failed(failure) = attempt {
            self.failure = Some(failure);
        }
        (not_run || repeatable) && self.sends < max_attempts
    }

    /// How the request ends if it is not sent again.
    pub(super) fn ending(self) -> Ending<A> {
        match self.failure {
            Some(failure) => Ending::Failed(failure),
            None if self.exposed => Ending::Unknown,
            None => Ending::NotRun,
        }
    }
}
