//! Metrics of streams that are taken up again, and of the software versions that began them.

use {
    prometheus::{IntCounterVec, IntGauge},
    siskin_net::metrics::Creator,
};

/// Continuations of streams, and what is known to place them.
#[derive(Clone, Debug)]
pub struct Origins {
    /// Requests that take a stream up again, by what was found: `free`, `bound` to a version, or the cause of the refusal.
    pub continuations: IntCounterVec,
    /// Reads of what other routers recorded, by result.
    pub lookups: IntCounterVec,
    /// Streams whose version is known.
    pub streams: IntGauge,
    /// Whether a service has more than one version, now or a short time ago.
    pub mixed: IntGauge,
}

impl Origins {
    /// Creates the metrics and registers them.
    pub(super) fn new(create: &Creator<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            continuations: create.counters(
                "siskin_continuations_total",
                "Requests that take a stream up again, by what was found of its software version.",
                &["found"],
            )?,
            lookups: create.counters(
                "siskin_origin_lookups_total",
                "Reads of the streams that other routers recorded.",
                &["result"],
            )?,
            streams: create
                .gauge("siskin_streams_known", "Streams whose software version is known.")?,
            mixed: create.gauge(
                "siskin_software_versions_mixed",
                "1 while a service has more than one software version.",
            )?,
        })
    }
}
