//! Measured capacity of the endpoints of a service.

use {siskin_types::time::Instant, std::time::Duration};

/// Time constant of the average.
const AVERAGED_OVER: Duration = Duration::from_secs(10);

/// Least time of saturation from which a capacity is known.
const SATURATION_MIN: Duration = Duration::from_secs(2);

/// Longest time between two measurements. A process that stood still knows nothing of the time between.
const INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Time without saturation after which a measurement no longer counts: endpoints may have come back since.
const VALID_FOR: Duration = Duration::from_secs(30);

/// Least part of the configured capacity that is assumed whatever was measured.
const CONFIGURED_PART_MIN: f64 = 0.5;

/// Tokens per second that begin while requests wait. While none wait, less may begin because less is asked for.
///
/// ```
/// use {siskin_dispatch::work::Capacity, siskin_types::time::Instant, std::time::Duration};
/// let mut capacity = Capacity::default();
/// for step in 0..=40_u32 {
///     let now = Instant::from_micros(1) + Duration::from_millis(100) * step;
///     capacity.record(now, 7_000 * u64::from(step), true);
/// }
/// assert!((69_000.0..=71_000.0).contains(&capacity.tokens_per_second().unwrap()));
/// assert_eq!(capacity.limit(60_000.0), 60_000.0);
/// assert!(capacity.limit(100_000.0) < 71_000.0);
/// assert_eq!(capacity.limit(200_000.0), 100_000.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// The last measurement: when, and tokens begun until then.
    last: Option<(Instant, u64)>,
    /// Time of saturation and tokens begun in it, both decaying.
    time: Duration,
    tokens: f64,
    /// Time of saturation in all.
    seen: Duration,
    /// End of the last saturation.
    saturated: Instant,
}

impl Capacity {
    /// Records the tokens that have begun in all until now, and whether requests wait.
    pub fn record(&mut self, now: Instant, begun: u64, waiting: bool) {
        let Some((at, begun_before)) = self.last.replace((now, begun)) else { return };
        let elapsed = now - at;
        if now - self.saturated > VALID_FOR {
            *self = Self { last: self.last, saturated: now, ..Self::default() };
        }
        if !waiting || elapsed > INTERVAL_MAX {
            return;
        }
        self.saturated = now;
        let kept = (-elapsed.div_duration_f64(AVERAGED_OVER)).exp();
        self.time = self.time.mul_f64(kept) + elapsed;
        #[expect(clippy::cast_precision_loss)]
        let tokens = begun.saturating_sub(begun_before) as f64;
        self.tokens = self.tokens * kept + tokens;
        self.seen = self.seen.saturating_add(elapsed);
    }

    /// The capacity, once there was enough saturation to measure it.
    #[must_use]
    pub fn tokens_per_second(&self) -> Option<f64> {
        (self.seen >= SATURATION_MIN).then(|| self.tokens / self.time.as_secs_f64())
    }

    /// The smaller one of the measured and the configured capacity, but at least half of the latter.
    #[must_use]
    pub fn limit(&self, configured: f64) -> f64 {
        let measured = self.tokens_per_second().unwrap_or(configured);
        measured.min(configured).max(configured * CONFIGURED_PART_MIN)
    }
}
