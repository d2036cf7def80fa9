//! Continuations: streams that a caller takes up again after they broke.

use {
    super::{Call, customer_name},
    crate::{catalog::Kind, gateway::Gateway},
    siskin_dispatch::pool::Demand,
    siskin_outcome::origin::Stream,
    std::sync::Arc,
};

impl Call {
    /// Whether the request's stream may be resumed at another endpoint.
    pub(crate) const fn is_resumable(&self) -> bool {
        matches!(self.kind, Kind::Stream { resumable: true })
    }

    /// Identifier of the request that began the stream that this one continues, if its caller names it.
    pub(crate) fn origin(&self) -> Option<&str> {
        self.continuation.as_ref()?.origin.as_deref()
    }

    /// The stream that a request of this caller began.
    fn stream(&self, request: &str) -> Stream {
        Stream::new(customer_name(self), request)
    }

    /// Whether the request takes up a stream that is known to have begun for its customer.
    pub(crate) fn continues_known_stream(&self, gateway: &Gateway) -> bool {
        let stream = self.origin().map(|origin| self.stream(origin));
        let is_known = |stream| gateway.origins(|register, now| register.knows(now, stream));
        self.is_resumable() && stream.is_some_and(is_known)
    }

    /// What the rest of a stream requires of an endpoint. The caller has waited already and has a part of the response, so any
    /// endpoint that responds before the deadline is acceptable, whatever share its customer has received.
    pub(crate) fn rest_demand(&self, isolation: Option<u64>) -> Demand {
        let allowed = self.deadline.left();
        Demand { aim: allowed, allowed, patience: 1.0, isolation, ..self.demand.clone() }
    }

    /// Records the version of the endpoint that made the first event for the caller. The caller names this request or the one that
    /// began the stream if it takes the stream up again.
    pub(crate) fn record_version(&self, gateway: &Gateway, version: &Arc<str>) {
        let requests = [Some(self.id.as_str()), self.origin()];
        gateway.origins(|register, now| {
            for request in requests.into_iter().flatten() {
                register.record(now, self.stream(request), &self.service, version);
            }
        });
    }
}
