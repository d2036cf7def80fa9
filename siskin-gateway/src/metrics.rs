//! Prometheus metrics of a gateway. Label values come from fixed sets and from the configured services and kinds of routes.

mod offload;
mod origins;
mod store;

use {
    prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry},
    siskin_net::{
        control,
        metrics::{Creator, page},
    },
    std::time::Duration,
};

pub use {offload::Offload, origins::Origins, store::Store};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.0, 2.0, 5.0, 15.0];

/// All metrics of one gateway.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Requests with a prompt by size class and step: received, or sent to an endpoint.
    pub requests_by_size: IntCounterVec,
    /// Requests that were retried at another endpoint, by reason.
    pub retries: IntCounterVec,
    /// Retries that the budget did not cover.
    pub retries_denied: IntCounter,
    /// Streams that were resumed at another endpoint.
    pub stream_resumes: IntCounter,
    /// Time to the first byte of a response, by kind.
    pub first_byte: HistogramVec,
    /// Time to the end of a response, by kind.
    pub response_time: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Open connections from callers.
    pub connections: IntGauge,
    /// Connections that are relayed between routers.
    pub offload: Offload,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Listed endpoints by state.
    pub endpoints: IntGaugeVec,
    /// Listed endpoints that are leaving, by the source of the notice.
    pub endpoints_leaving: IntGaugeVec,
    /// Drained data centres.
    pub data_centres_drained: IntGauge,
    /// Endpoints that have asked this router to back off.
    pub endpoints_backing_off: IntGauge,
    /// Endpoints that name a limit.
    pub endpoints_limited: IntGauge,
    /// Endpoints that are cold.
    pub endpoints_cold: IntGauge,
    /// Times that an endpoint asked this router to back off.
    pub backoffs: IntCounter,
    /// Endpoints that were found unreachable.
    pub endpoints_unreachable: IntCounter,
    /// Crashes of endpoints that are remembered, with requests that waited there.
    pub crashes_known: IntGauge,
    /// Endpoints by how slow they say that they are.
    pub endpoints_by_speed: IntGaugeVec,
    /// Time for which completed requests were expected to occupy slots, for which they did, and the differences, in milliseconds.
    pub request_cost: IntCounterVec,
    /// Causes of crashes that were found: requests with their features are refused.
    pub crash_causes: IntGauge,
    /// Requests that were tried to find out whether their features still crash endpoints.
    pub crash_trials: IntCounter,
    /// Other routers that are listed or have recently sent digests.
    pub peers: IntGauge,
    /// Streams that are taken up again.
    pub origins: Origins,
    /// Calls to the platform's store.
    pub store: Store,
    /// Frames between routers.
    pub control: control::Metrics,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a name is malformed or taken.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let create = Creator(&registry);
        Ok(Self {
            requests: create.counters(
                "siskin_requests_total",
                "Finished requests.",
                &["kind", "outcome"],
            )?,
            requests_by_size: create.counters(
                "siskin_requests_by_size_total",
                "Requests with a prompt, by class of size and step.",
                &["class", "step"],
            )?,
            retries: create.counters(
                "siskin_retries_total",
                "Requests sent again.",
                &["reason"],
            )?,
            retries_denied: create
                .counter("siskin_retries_denied_total", "Retries that the budget did not cover.")?,
            stream_resumes: create.counter("siskin_stream_resumes_total", "Streams resumed.")?,
            first_byte: create.histograms(
                "siskin_first_byte_seconds",
                "Time to the first byte of an answer.",
                &["kind"],
                &LATENCY_BUCKETS_SECONDS,
            )?,
            response_time: create.histograms(
                "siskin_answer_seconds",
                "Time to the end of an answer.",
                &["kind"],
                &LATENCY_BUCKETS_SECONDS,
            )?,
            in_flight: create.gauge("siskin_in_flight_requests", "Requests in flight.")?,
            connections: create
                .gauge("siskin_caller_connections", "Open connections of callers.")?,
            offload: Offload::new(&create)?,
            config_version: create
                .gauge("siskin_config_version", "Configuration version in force.")?,
            endpoints: create.gauges("siskin_endpoints", "Listed endpoints.", &["state"])?,
            endpoints_leaving: create.gauges(
                "siskin_endpoints_leaving",
                "Listed endpoints that leave.",
                &["source"],
            )?,
            data_centres_drained: create
                .gauge("siskin_data_centres_drained", "Data centres that are drained.")?,
            endpoints_backing_off: create.gauge(
                "siskin_endpoints_backing_off",
                "Endpoints that have asked this router to back off.",
            )?,
            endpoints_limited: create.gauge(
                "siskin_endpoints_limited",
                "Endpoints that name a limit on the requests of all routers together.",
            )?,
            endpoints_cold: create
                .gauge("siskin_endpoints_cold", "Endpoints that are cold after their start.")?,
            backoffs: create.counter(
                "siskin_backoffs_total",
                "Times that an endpoint asked this router to back off.",
            )?,
            endpoints_unreachable: create.counter(
                "siskin_endpoints_unreachable_total",
                "Times that an endpoint was found unreachable.",
            )?,
            crashes_known: create
                .gauge("siskin_crashes_known", "Crashes of endpoints that are remembered.")?,
            endpoints_by_speed: create.gauges(
                "siskin_endpoints_by_speed",
                "Endpoints by how slow they say that they are.",
                &["speed"],
            )?,
            request_cost: create.counters(
                "siskin_request_cost_milliseconds_total",
                "Time for which completed requests were expected to occupy slots and did, and the differences.",
                &["kind"],
            )?,
            crash_causes: create.gauge(
                "siskin_crash_causes",
                "Causes of crashes; requests with their features are refused.",
            )?,
            crash_trials: create.counter(
                "siskin_crash_trials_total",
                "Requests with a cause of crashes that were let through to try it.",
            )?,
            peers: create.gauge("siskin_peers", "Routers heard of lately.")?,
            origins: Origins::new(&create)?,
            store: Store::new(&create)?,
            control: control::Metrics::new(&create)?,
            registry,
        })
    }

    /// Counts the time for which a request was expected to occupy a slot, and for which it did.
    pub fn record_cost(&self, expected_and_actual: Option<(Duration, Duration)>) {
        let Some((expected, actual)) = expected_and_actual else { return };
        let times =
            [("expected", expected), ("actual", actual), ("error", expected.abs_diff(actual))];
        for (kind, time) in times {
            let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            self.request_cost.with_label_values(&[kind]).inc_by(millis);
        }
    }

    /// The metrics in the Prometheus text format.
    ///
    /// ```
    /// let metrics = siskin_gateway::metrics::Metrics::new().unwrap();
    /// metrics.stream_resumes.inc();
    /// assert!(metrics.page().contains("siskin_stream_resumes_total 1"));
    /// ```
    #[must_use]
    pub fn page(&self) -> String {
        page(&self.registry)
    }
}
