//! Creates Prometheus metrics and registers them in one step.

use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

/// Creates metrics and registers them. Names follow the Prometheus conventions; each may be registered once.
#[derive(Debug)]
pub struct Creator<'a>(pub &'a Registry);

impl Creator<'_> {
    /// Creates a family of counters by labels.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Creates a counter without labels.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn counter(&self, name: &str, help: &str) -> prometheus::Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Creates a family of gauges by labels.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Creates a gauge without labels.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Creates a gauge without labels for a fraction.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn fraction(&self, name: &str, help: &str) -> prometheus::Result<Gauge> {
        let gauge = Gauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Creates a family of histograms by labels; `buckets` are upper bounds in seconds.
    ///
    /// # Errors
    ///
    /// The name is malformed or already registered.
    pub fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        buckets: &[f64],
    ) -> prometheus::Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histograms = HistogramVec::new(options, labels)?;
        self.0.register(Box::new(histograms.clone()))?;
        Ok(histograms)
    }
}

/// All metrics of a registry in the Prometheus text format.
///
/// ```
/// use {prometheus::Registry, siskin_net::metrics::{Creator, page}};
/// let registry = Registry::new();
/// Creator(&registry).counter("calls_total", "Calls.").unwrap().inc();
/// assert!(page(&registry).contains("calls_total 1"));
/// ```
#[must_use]
pub fn page(registry: &Registry) -> String {
    let mut buffer = Vec::new();
    match TextEncoder::new().encode(&registry.gather(), &mut buffer) {
        Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
        Err(error) => {
            log::error!("metrics cannot be encoded: {error}");
            String::new()
        }
    }
}
