//! Continuations: streams that a caller takes up again after they broke.

use {
    super::{Call, customer_name},
    crate::{catalog::Kind, gateway::Gateway},
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
