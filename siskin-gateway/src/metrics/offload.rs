//! Metrics of connections that are relayed between routers.

use {
    prometheus::{Gauge, IntCounterVec},
    siskin_net::metrics::Creator,
};

/// Processor time of this router, and connections that it relays for lack of it.
#[derive(Clone, Debug)]
pub struct Offload {
    /// Share of the time in which the process is busy.
    pub utilisation: Gauge,
    /// Connections that were relayed: sent to a larger router, or received from a smaller one.
    pub connections: IntCounterVec,
}

impl Offload {
    /// Creates the metrics and registers them.
    pub(super) fn new(create: &Creator<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            utilisation: create.fraction(
                "siskin_utilisation",
                "Share of the time in which the process is busy.",
            )?,
            connections: create.counters(
                "siskin_relayed_connections_total",
                "Connections of callers relayed between routers.",
                &["direction"],
            )?,
        })
    }
}
