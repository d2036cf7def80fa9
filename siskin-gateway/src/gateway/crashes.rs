//! Requests that crash endpoints: what is recorded of crashes, which requests are refused, and what peers are sent.

use {
    super::Gateway,
    crate::exchange::{Call, mark_unreachable, saturating_millis},
    siskin_dispatch::pool::{Cause, Refusal},
    siskin_net::{lock, upstream},
    siskin_outcome::{
        features::Features,
        quarantine::{Register, Report, Verdict},
    },
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    std::{io::ErrorKind, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Longest time to find out whether an endpoint has crashed, for which a retry or the caller waits. A VM in the region refuses a
/// connection within milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

impl Gateway {
    /// Sets the number of this router, by which routers take turns in trials of requests that may crash endpoints.
    pub(crate) fn set_node(&self, node: Node) {
        lock(&self.crashes).set_node(node);
    }

    /// Checks that a request may be sent to an endpoint. Returns the number by which it is isolated from others if it may have
    /// crashed an endpoint.
    pub(crate) fn check_quarantine(&self, call: &Call) -> Result<Option<u64>, Refusal> {
        let verdict = lock(&self.crashes).verdict(self.clock.now(), &call.features);
        match verdict {
            Verdict::Run => Ok(None),
            Verdict::RunApart => Ok(call.features.content().map(|content| content.0)),
            Verdict::Trial { number } => {
                log::info!(
                    request:% = call.id, features:% = call.features;
                    "request is tried, to find out whether its features still crash endpoints"
                );
                self.metrics.crash_trials.inc();
                Ok(Some(number))
            }
            Verdict::Refuse { retry_after, crashes } => {
                log::info!(
                    request:% = call.id, crashes, features:% = call.features,
                    retry_after_ms = saturating_millis(retry_after);
                    "request crashes endpoints; it is not sent"
                );
                Err(Refusal { cause: Cause::CrashesEndpoints, retry_after, wait: Duration::ZERO })
            }
        }
    }

    /// Records that an endpoint has begun to respond to a request.
    pub(crate) fn record_begun(&self, features: &Features) {
        self.change_crashes(|crashes, now| crashes.record_start(now, features));
    }

    /// Finds out whether an endpoint has crashed, after it broke the connection of a request that had no response yet. If so,
    /// records the request. An endpoint that leaves, is cut off or only closes connections does not refuse new ones.
    pub(crate) async fn record_break(self: &Arc<Self>, call: &Call, endpoint: Endpoint) {
        let now = self.clock.now();
        let known = lock(&self.crashes).has_just_crashed(now, endpoint);
        if !known && !self.refuses_connections(call, endpoint).await {
            return;
        }
        log::warn!(
            request:% = call.id, endpoint:% = endpoint, features:% = call.features;
            "endpoint crashed while the request waited for its response"
        );
        self.change_crashes(|crashes, _| crashes.record_crash(now, endpoint, &call.features));
    }

    /// Opens a connection to an endpoint. Returns whether the endpoint's VM refuses it because no process listens there.
    async fn refuses_connections(self: &Arc<Self>, call: &Call, endpoint: Endpoint) -> bool {
        let directory = self.directory();
        let Some(listed) = directory.get(endpoint) else { return false };
        match timeout(PROBE_TIMEOUT, self.upstream.open(listed.address)).await {
            // It may be cut off, which the next request finds out.
            Err(_) => false,
            Ok(Ok(connection)) => {
                self.recycle_connection(connection, None);
                false
            }
            Ok(Err(error)) => {
                if !error.is_out_of_descriptors() {
                    mark_unreachable(self, &call.service, endpoint, &error.to_string());
                }
                matches!(error, upstream::Error::Connect { source, .. } if source.kind() == ErrorKind::ConnectionRefused)
            }
        }
    }

    /// Merges what a peer has recorded.
    pub(crate) fn merge_crashes(&self, from: Node, report: &Report) {
        self.change_crashes(|crashes, now| crashes.merge(now, from, report));
    }

    /// What has to be sent to each of these peers now.
    pub(crate) fn crash_reports(&self, peers: &[Node]) -> Vec<(Node, Report)> {
        self.change_crashes(|crashes, now| {
            crashes.expire(now, |node| peers.contains(&node));
            peers.iter().map(|peer| (*peer, crashes.report(now, *peer))).collect()
        })
    }

    /// Runs a change on the register of crashes, and logs the causes that it adds.
    fn change_crashes<T>(&self, change: impl FnOnce(&mut Register, Instant) -> T) -> T {
        let now = self.clock.now();
        let mut crashes = lock(&self.crashes);
        let version = crashes.version();
        let result = change(&mut crashes, now);
        if crashes.version() != version {
            self.metrics.crashes_known.set(i64::try_from(crashes.crashes()).unwrap_or(i64::MAX));
            self.log_new_causes(&mut crashes);
        }
        result
    }

    fn log_new_causes(&self, crashes: &mut Register) {
        let causes: Vec<Features> =
            crashes.causes().iter().map(|cause| cause.features.clone()).collect();
        self.metrics.crash_causes.set(i64::try_from(causes.len()).unwrap_or(i64::MAX));
        let mut logged = lock(&self.logged_causes);
        for cause in crashes.causes().iter().filter(|cause| !logged.contains(&cause.features)) {
            log::warn!(
                features:% = cause.features, crashes = cause.crashes.len();
                "cause of crashes found; requests with all these features are refused"
            );
        }
        *logged = causes;
    }
}
