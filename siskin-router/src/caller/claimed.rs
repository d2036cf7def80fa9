//! Calls that run at most once for each idempotency key.

use {
    super::{answer, respond::Responder},
    crate::{
        claims::Claim,
        exchange::{self, Call, Summary},
        shared::Shared,
    },
    hyper::{Response, StatusCode, header::HeaderValue},
    siskin_outcome::outcome::{Outcome, Reason},
    siskin_types::id::Request,
    siskin_wire::claim::{Decision, Ended, Record},
    std::sync::Arc,
};

/// Header that marks an answer as the recorded result of an earlier call.
const REPLAYED: &str = "x-siskin-replayed";

/// Claims the key of a call, runs the call if no other attempt holds it, and records the result.
pub(crate) async fn run(shared: Arc<Shared>, call: Call, claim: Claim, mut responder: Responder) {
    let request = call.request;
    let decision = shared.claims.claim(&shared, claim, call.deadline).await;
    let outcome = match decision {
        Decision::Granted => {
            let summary = exchange::run(Arc::clone(&shared), call, responder).await;
            return settle(&shared, claim, summary);
        }
        Decision::Recorded(record) => {
            shared.metrics.requests.with_label_values(&["replayed"]).inc();
            return responder.whole(replay(request, record));
        }
        Decision::InProgress => Outcome::Unknown(Reason::ClaimInProgress),
        Decision::Unknown => Outcome::Unknown(Reason::ClaimUnresolved),
        Decision::BodyDiffers => Outcome::NotRun(Reason::ClaimBodyDiffers),
        Decision::Unavailable => Outcome::NotRun(Reason::ClaimStoreUnavailable),
    };
    shared.metrics.requests.with_label_values(&[outcome.label()]).inc();
    if let Some(reason) = outcome.reason() {
        shared.metrics.refusals.with_label_values(&[reason.label()]).inc();
    }
    responder.whole(answer::outcome(request, outcome, None));
}

fn settle(shared: &Arc<Shared>, claim: Claim, summary: Summary) {
    let ended = match summary.outcome {
        Outcome::Completed => Ended::Completed,
        Outcome::Failed => Ended::Failed,
        Outcome::Unknown(_) => Ended::Unknown,
        Outcome::NotRun(_) => return shared.claims.release(shared, claim),
    };
    let body = summary.body.map(|body| body.to_vec());
    shared.claims.record(shared, claim, Record { ended, status: summary.status, body });
}

/// The recorded result of an earlier call with the same key.
fn replay(request: Request, record: Record) -> Response<answer::Body> {
    let outcome = match record.ended {
        Ended::Completed => Outcome::Completed,
        Ended::Failed => Outcome::Failed,
        Ended::Unknown => {
            return answer::outcome(request, Outcome::Unknown(Reason::ClaimUnresolved), None);
        }
    };
    let body = record.body.unwrap_or_else(|| {
        let message = "the call ran before; its answer was too long to be kept";
        answer::error_body(outcome.label(), None, message).into_bytes()
    });
    let mut response = Response::new(answer::full(body));
    *response.status_mut() = StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK);
    answer::label(response.headers_mut(), request, outcome);
    response.headers_mut().insert(REPLAYED, HeaderValue::from_static("true"));
    response
}
