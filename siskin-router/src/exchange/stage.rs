//! What an exchange waits for.

use {
    super::{
        Answer,
        read::{self, Part},
    },
    crate::pool::Assignment,
    futures_util::{StreamExt, future::BoxFuture, stream::BoxStream},
    siskin_net::upstream::{Connection, Error},
    siskin_outcome::life::Attempt,
    siskin_types::{id::Endpoint, time::Instant},
    std::{fmt, future},
    tokio::sync::oneshot,
};

/// Something that happened to a request.
pub(super) enum Event {
    /// The scheduler chose an endpoint, or the request expired in its queue.
    Assigned(Attempt, Assignment),
    /// A connection was opened or could not be.
    Connected(Attempt, Result<Connection, Error>),
    /// The head of an answer arrived, or none will.
    Answered(Attempt, Connection, Answer),
    /// A part of an answer arrived, or its end.
    Part(Attempt, Option<Result<Part, read::Error>>),
    /// The endpoint has been silent for too long.
    Quiet,
    /// The time of [`siskin_outcome::life::Lifecycle::next_tick`] has come.
    Timer,
    /// An endpoint died, or the time has come to refuse a request that none is left for.
    EndpointDied,
    /// A copy of a request has left, or the request need not wait for one any longer.
    CopyLeft,
    /// The request has waited for a slot for a while.
    Waited,
    /// The caller went away.
    CallerGone,
}

/// What an exchange waits for. Dropping a stage closes its connection.
pub(super) enum Stage {
    /// Nothing but a timer.
    Idle,
    /// Other copies of the request.
    Held {
        /// The attempt.
        attempt: Attempt,
        /// Endpoints that have failed the request.
        exclude: Vec<Endpoint>,
        /// When it need not wait any longer, or has its turn.
        until: Option<Instant>,
    },
    /// A slot.
    Queued {
        /// The attempt.
        attempt: Attempt,
        /// Where the scheduler answers.
        assignment: oneshot::Receiver<Assignment>,
    },
    /// A connection.
    Connecting {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: Endpoint,
        /// The opening.
        opening: BoxFuture<'static, Result<Connection, Error>>,
    },
    /// The head of the answer.
    Sending {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: Endpoint,
        /// The sending.
        sending: BoxFuture<'static, (Connection, Answer)>,
    },
    /// Parts of the answer.
    Reading {
        /// The attempt.
        attempt: Attempt,
        /// The endpoint.
        endpoint: Endpoint,
        /// Kept for the next request once the answer was read to its end.
        connection: Connection,
        /// The parts.
        parts: BoxStream<'static, Result<Part, read::Error>>,
    },
}

impl Stage {
    /// Waits for the next event of this stage. Dropping the future loses nothing.
    pub(super) async fn advance(&mut self) -> Event {
        match self {
            Self::Idle | Self::Held { .. } => future::pending().await,
            Self::Queued { attempt, assignment } => {
                let attempt = *attempt;
                // The scheduler drops the sender only when the pool is removed, which is an expiry too.
                let assignment = assignment.await.unwrap_or(Assignment::Expired);
                *self = Self::Idle;
                Event::Assigned(attempt, assignment)
            }
            Self::Connecting { attempt, opening, .. } => {
                let event = Event::Connected(*attempt, opening.as_mut().await);
                *self = Self::Idle;
                event
            }
            Self::Sending { attempt, sending, .. } => {
                let attempt = *attempt;
                let (connection, answer) = sending.as_mut().await;
                *self = Self::Idle;
                Event::Answered(attempt, connection, answer)
            }
            Self::Reading { attempt, parts, .. } => Event::Part(*attempt, parts.next().await),
        }
    }

    /// Whether an answer that has ended may be a part of one.
    pub(super) fn may_be_cut_off(&self) -> bool {
        matches!(self, Self::Reading { connection, .. } if connection.may_be_cut_off())
    }

    /// The attempt and endpoint of a stage that has one.
    pub(super) const fn attempt(&self) -> Option<(Attempt, Endpoint)> {
        match self {
            Self::Idle | Self::Held { .. } | Self::Queued { .. } => None,
            Self::Connecting { attempt, endpoint, .. }
            | Self::Sending { attempt, endpoint, .. }
            | Self::Reading { attempt, endpoint, .. } => Some((*attempt, *endpoint)),
        }
    }

    /// When a request that waits for copies need not wait any longer.
    pub(super) const fn turn(&self) -> Option<Instant> {
        match self {
            Self::Held { until, .. } => *until,
            _ => None,
        }
    }

    /// Whether the endpoint has to do the next step.
    pub(super) const fn waits_for_endpoint(&self) -> bool {
        matches!(self, Self::Sending { .. } | Self::Reading { .. })
    }

    /// Whether the request was handed to a connection.
    pub(super) const fn sent(&self) -> bool {
        self.waits_for_endpoint()
    }
}

impl fmt::Debug for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Idle => "Idle",
            Self::Held { .. } => "Held",
            Self::Queued { .. } => "Queued",
            Self::Connecting { .. } => "Connecting",
            Self::Sending { .. } => "Sending",
            Self::Reading { .. } => "Reading",
        })
    }
}
