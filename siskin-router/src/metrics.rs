//! Prometheus metrics of a router.
//!
//! Label values come from closed sets (outcomes, reasons, pools, kinds of message), never from customers or
//! requests, so the page stays small with any number of customers.

use {
    prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry},
    siskin_net::{
        control,
        metrics::{Creator, page},
    },
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 15.0, 60.0];

/// All metrics of one router.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Resumed streams.
    pub resumes: IntCounter,
    /// Answers that were dropped because they belong to another request.
    pub crossed_answers: IntCounter,
    /// Time to the first byte of an answer, by pool.
    pub first_byte: HistogramVec,
    /// Requests waiting, by pool.
    pub queued: IntGaugeVec,
    /// Requests in flight, by pool.
    pub in_flight: IntGaugeVec,
    /// Service in units, by pool.
    pub service: IntCounterVec,
    /// Frames between routers.
    pub control: control::Metrics,
    /// Store calls by kind.
    pub store_calls: IntCounterVec,
    /// Failed store calls by kind.
    pub store_errors: IntCounterVec,
    /// The lease for orders.
    pub lease: Lease,
    /// Requests suspected of crashing endpoints, by pool.
    pub suspects: IntGaugeVec,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Whole seconds since the version was last confirmed.
    pub config_age_seconds: IntGauge,
    /// Versions between the newest announced one and the one in force.
    pub config_versions_behind: IntGauge,
    /// Members by state.
    pub members: IntGaugeVec,
    /// Pools that this router owns.
    pub owned_pools: IntGauge,
    /// Endpoint deaths seen.
    pub endpoint_crashes: IntCounter,
    /// Connections found silent.
    pub silent_connections: IntCounter,
    /// Requests that waited for another copy of themselves.
    pub held_copies: IntCounter,
}

/// Metrics of the lease for orders.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Whether this router holds it, by pool.
    pub held: IntGaugeVec,
    /// Fencing number of the lease that is held, by pool.
    pub fencing: IntGaugeVec,
    /// Whole seconds in which orders may still be sent, by pool.
    pub seconds_left: IntGaugeVec,
}

impl Lease {
    fn new(create: &Creator<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            held: create.gauges(
                "siskin_lease_held",
                "Whether this router holds the lease for orders.",
                &["pool"],
            )?,
            fencing: create.gauges(
                "siskin_lease_fencing",
                "Fencing number of the lease that is held, 0 without one.",
                &["pool"],
            )?,
            seconds_left: create.gauges(
                "siskin_lease_seconds_left",
                "Seconds in which orders may be sent unless the lease is extended.",
                &["pool"],
            )?,
        })
    }
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
        let first_byte = create.histograms(
            "siskin_first_byte_seconds",
            "Time to the first byte of an answer.",
            &["pool"],
            &LATENCY_BUCKETS_SECONDS,
        )?;
        Ok(Self {
            requests: create.counters(
                "siskin_requests_total",
                "Finished requests.",
                &["outcome"],
            )?,
            refusals: create.counters("siskin_refusals_total", "Requests refused.", &["reason"])?,
            retries: create.counters(
                "siskin_retries_total",
                "Requests sent again.",
                &["reason"],
            )?,
            resumes: create.counter("siskin_stream_resumes_total", "Streams resumed.")?,
            crossed_answers: create.counter(
                "siskin_crossed_answers_total",
                "Answers dropped because they belong to another request.",
            )?,
            first_byte,
            queued: create.gauges("siskin_queued_requests", "Requests waiting.", &["pool"])?,
            in_flight: create.gauges(
                "siskin_in_flight_requests",
                "Requests in flight.",
                &["pool"],
            )?,
            service: create.counters(
                "siskin_service_units_total",
                "Service in units.",
                &["pool"],
            )?,
            control: control::Metrics::new(&create)?,
            store_calls: create.counters("siskin_store_calls_total", "Store calls.", &["kind"])?,
            store_errors: create.counters(
                "siskin_store_errors_total",
                "Failed store calls.",
                &["kind"],
            )?,
            lease: Lease::new(&create)?,
            suspects: create.gauges(
                "siskin_suspects",
                "Requests suspected of crashing endpoints.",
                &["pool"],
            )?,
            config_age_seconds: create.gauge(
                "siskin_config_age_seconds",
                "Seconds since the version in force was confirmed, -1 before the first time.",
            )?,
            config_versions_behind: create.gauge(
                "siskin_config_versions_behind",
                "Versions between the newest announced one and the one in force.",
            )?,
            config_version: create
                .gauge("siskin_config_version", "Configuration version in force.")?,
            members: create.gauges("siskin_members", "Routers known, by state.", &["state"])?,
            owned_pools: create.gauge("siskin_owned_pools", "Pools that this router owns.")?,
            endpoint_crashes: create
                .counter("siskin_endpoint_crashes_total", "Endpoint deaths seen.")?,
            silent_connections: create.counter(
                "siskin_silent_connections_total",
                "Connections to endpoints found silent.",
            )?,
            held_copies: create.counter(
                "siskin_held_copies_total",
                "Requests that waited for another copy of themselves.",
            )?,
            registry,
        })
    }

    /// The metrics in the Prometheus text format.
    ///
    /// ```
    /// let metrics = siskin_router::metrics::Metrics::new().unwrap();
    /// metrics.requests.with_label_values(&["completed"]).inc();
    /// assert!(metrics.page().contains("siskin_requests_total{outcome=\"completed\"} 1"));
    /// ```
    #[must_use]
    pub fn page(&self) -> String {
        page(&self.registry)
    }
}
