//! Metrics of the platform's store.

use {
    prometheus::{IntCounterVec, IntGauge},
    siskin_net::metrics::Creator,
};

/// Calls to the store, and how recent their results are.
#[derive(Clone, Debug)]
pub struct Store {
    /// Age of what this router knows of the store, in milliseconds.
    pub view_age: IntGauge,
    /// Calls by kind.
    pub calls: IntCounterVec,
    /// Failed calls by kind.
    pub errors: IntCounterVec,
}

impl Store {
    /// Creates the metrics and registers them.
    pub(super) fn new(create: &Creator<'_>) -> prometheus::Result<Self> {
        Ok(Self {
            view_age: create.gauge(
                "siskin_store_view_age_milliseconds",
                "Age of what this router knows of the platform's store.",
            )?,
            calls: create.counters(
                "siskin_platform_calls_total",
                "Calls to the platform.",
                &["kind"],
            )?,
            errors: create.counters(
                "siskin_platform_errors_total",
                "Failed calls to the platform.",
                &["kind"],
            )?,
        })
    }
}
