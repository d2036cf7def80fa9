//! Continuations: streams that a caller takes up again after they broke, and the software versions at which they may go on.

use {
    super::{Call, customer_name, saturating_millis},
    crate::{
        catalog::Kind,
        directory::{self, Directory},
        gateway::Gateway,
    },
    siskin_dispatch::pool::{Cause, Demand, Refusal},
    siskin_outcome::origin::{Stream, Verdict},
    siskin_types::id::Endpoint,
    std::{sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Longest time that a continuation waits for what other routers recorded of its stream. They write it several times a second.
const LOOKUP_TIME_MAX: Duration = Duration::from_millis(600);

/// Pause before what other routers recorded is read again: the stream may have begun just before it broke.
const LOOKUP_PAUSE: Duration = Duration::from_millis(250);

/// `retry-after` of a continuation of a stream that is not recorded. By then, the router that began it has written it, or it is lost.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `retry-after` of a continuation of a stream whose version has no endpoint. One that crashed is back after seconds.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Which endpoints may serve a request, by the version of their software.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum Versions {
    /// Those of any version.
    #[default]
    Any,
    /// Those of this version.
    Only(Arc<str>),
    /// None unless the service has only one version: it is not known which one began the stream.
    Unknown,
}

impl Versions {
    /// Records the version of the endpoint that a resumable stream is sent to, and binds the stream to it. The record is in the store
    /// by the time of the first event then, in most cases, so that a loss of this router right after it does not lose the stream.
    pub(super) fn bind_to_send(
        self,
        gateway: &Gateway,
        call: &Call,
        software: Option<&Arc<str>>,
    ) -> Self {
        if !call.is_resumable() {
            return self;
        }
        let Some(version) = software else { return Self::Unknown };
        call.record_version(gateway, version);
        Self::Only(Arc::clone(version))
    }

    /// The endpoints of the request's service that may not serve it.
    pub(crate) fn excluded_endpoints(&self, gateway: &Gateway, call: &Call) -> Vec<Endpoint> {
        let is_excluded = |endpoint: &directory::Endpoint| match self {
            Self::Any => false,
            Self::Only(version) => endpoint.software.as_ref() != Some(version),
            Self::Unknown => gateway.origins(|it, now| it.is_mixed(now, &call.service)),
        };
        if *self == Self::Any {
            return Vec::new();
        }
        let directory = gateway.directory();
        let excluded = endpoints_of(&directory, call).filter(|endpoint| is_excluded(endpoint));
        excluded.map(|endpoint| endpoint.id).collect()
    }
}

/// The endpoints that may serve a request, by their version.
///
/// # Errors
///
/// The request continues a stream, and the version that began it is not known or has no endpoint that accepts requests.
pub(super) async fn admissible_versions(
    gateway: &Gateway,
    call: &Call,
) -> Result<Versions, Refusal> {
    if call.continuation.is_none() || !call.is_resumable() {
        return Ok(Versions::Any);
    }
    let refusal = |cause, retry_after| Err(Refusal { cause, retry_after, wait: Duration::ZERO });
    let versions = match find_verdict(gateway, call).await {
        // Another version may be listed before the request is sent, or sent again.
        Verdict::Any => Ok(known_version(gateway, call).map_or(Versions::Unknown, Versions::Only)),
        Verdict::Unknown => refusal(Cause::OriginUnknown, UNKNOWN_RETRY_AFTER),
        Verdict::Only(version) if has_accepting_endpoint(gateway, call, &version) => {
            Ok(Versions::Only(version))
        }
        Verdict::Only(_) => refusal(Cause::VersionGone, VERSION_GONE_RETRY_AFTER),
    };
    let found = match &versions {
        Ok(Versions::Any | Versions::Unknown) => "free",
        Ok(Versions::Only(_)) => "bound",
        Err(refusal) => refusal.cause.label(),
    };
    gateway.metrics.origins.continuations.with_label_values(&[found]).inc();
    log::info!(
        request:% = call.id, continues = call.origin().unwrap_or_default(), found,
        software = known_version(gateway, call).as_deref().unwrap_or_default(),
        waited_ms = saturating_millis(call.arrived.elapsed());
        "caller takes a stream up again"
    );
    versions
}

/// The version that began the stream that a request continues, if it is known here.
fn known_version(gateway: &Gateway, call: &Call) -> Option<Arc<str>> {
    let stream = call.stream(call.origin()?);
    gateway.origins(|register, now| register.version(now, stream).cloned())
}

/// Decides by what is known here of the stream, and else by what is in the store: other routers may have begun it, also at a version
/// that this router does not know yet.
async fn find_verdict(gateway: &Gateway, call: &Call) -> Verdict {
    let stream = call.origin().map(|origin| call.stream(origin));
    let verdict = || gateway.origins(|it, now| it.verdict(now, &call.service, stream));
    if known_version(gateway, call).is_some() {
        return verdict();
    }
    let end = (Instant::now() + LOOKUP_TIME_MAX).min(call.deadline.at());
    let mut was_read = gateway.look_up_origins(end - Instant::now()).await;
    if was_read && stream.is_some() && verdict() == Verdict::Unknown {
        sleep(LOOKUP_PAUSE).await;
        was_read = gateway.look_up_origins(end - Instant::now()).await;
    }
    if was_read { verdict() } else { Verdict::Unknown }
}

/// Whether an endpoint of this version accepts requests.
fn has_accepting_endpoint(gateway: &Gateway, call: &Call, version: &Arc<str>) -> bool {
    let directory = gateway.directory();
    let accepts =
        |one: &directory::Endpoint| !one.leaving && !directory.is_drained(&one.data_centre);
    endpoints_of(&directory, call)
        .any(|endpoint| endpoint.software.as_ref() == Some(version) && accepts(endpoint))
}

fn endpoints_of<'a>(
    directory: &'a Directory,
    call: &'a Call,
) -> impl Iterator<Item = &'a directory::Endpoint> {
    directory.endpoints().iter().filter(|endpoint| endpoint.service == call.service)
}

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

    /// Whether the request takes up a stream after an event, and that stream is known to have begun for its customer and not to be
    /// complete.
    pub(crate) fn continues_open_stream(&self, gateway: &Gateway) -> bool {
        let has_event = self.continuation.as_ref().is_some_and(|one| one.last_event.is_some());
        let is_open =
            |origin| gateway.origins(|register, now| register.is_open(now, self.stream(origin)));
        self.is_resumable() && has_event && self.origin().is_some_and(is_open)
    }

    /// Records that the caller has the whole stream.
    pub(crate) fn record_complete(&self, gateway: &Gateway) {
        let requests = [Some(self.id.as_str()), self.origin()];
        gateway.origins(|register, _| {
            for request in requests.into_iter().flatten() {
                register.complete(self.stream(request));
            }
        });
    }

    /// What the rest of a stream requires of an endpoint. The caller has waited already and has a part of the response, so any
    /// endpoint that responds before the deadline is acceptable, whatever share its customer has received.
    pub(crate) fn rest_demand(&self, isolation: Option<u64>) -> Demand {
        let allowed = self.deadline.left();
        Demand { aim: allowed, allowed, patience: 1.0, isolation, ..self.demand.clone() }
    }

    /// Records the version of the endpoint that the request is sent to. The caller names this request or the one that began the
    /// stream if it takes the stream up again.
    fn record_version(&self, gateway: &Gateway, version: &Arc<str>) {
        let requests = [Some(self.id.as_str()), self.origin()];
        let streams = requests.into_iter().flatten().map(|request| self.stream(request));
        gateway.record_origins(&self.service, streams, version);
    }
}
