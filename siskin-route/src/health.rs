//! Endpoint health: failures, restarts and load reports.

use {
    indexmap::IndexMap,
    siskin_types::{id::Endpoint, time::Instant},
    std::time::Duration,
};

/// Time limits of health tracking.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Back-off without dispatches after a first failure; doubled with each further one.
    pub backoff_min: Duration,
    /// Longest back-off.
    pub backoff_max: Duration,
    /// Load reports older than this are ignored.
    pub report_lifetime: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            backoff_min: Duration::from_millis(250),
            backoff_max: Duration::from_secs(5),
            report_lifetime: Duration::from_secs(2),
        }
    }
}

/// What an endpoint reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests being served.
    pub running: u32,
    /// Requests waiting at the endpoint.
    pub waiting: u32,
    /// Number of requests that it can serve concurrently.
    pub slots: u32,
    /// Whether it is leaving (draining before it stops).
    pub leaving: bool,
    /// Number that changes when the endpoint restarts.
    pub instance: u64,
}

/// State change of an endpoint caused by a report, an answer or a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The endpoint restarted: its caches are empty and its requests are gone.
    Restarted,
    /// The endpoint cannot be used until the given time.
    Down {
        /// When it may be tried again.
        until: Instant,
    },
    /// The endpoint can be used again.
    Up,
}

/// Health of all endpoints as one router sees it.
#[derive(Debug)]
pub struct Tracker {
    options: Options,
    states: IndexMap<Endpoint, State>,
    /// Endpoints whose last contact failed.
    failing: usize,
}

#[derive(Debug, Default)]
struct State {
    failures: u32,
    /// First failure since the last successful contact.
    failing_since: Option<Instant>,
    down_until: Option<Instant>,
    report: Option<(Instant, Report)>,
}

impl Tracker {
    /// Creates a tracker that considers every endpoint usable.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options, states: IndexMap::new(), failing: 0 }
    }

    /// Records that the endpoint could not be reached or crashed.
    ///
    /// ```
    /// use {
    ///     siskin_route::health::{Change, Options, Tracker},
    ///     siskin_types::{id::Endpoint, time::Instant},
    ///     std::time::Duration,
    /// };
    /// let mut tracker = Tracker::new(Options::default());
    /// let Change::Down { until } = tracker.record_failure(Instant::ZERO, Endpoint(1)) else { panic!() };
    /// assert!(!tracker.usable(Instant::ZERO, Endpoint(1)));
    /// assert!(tracker.usable(until, Endpoint(1)));
    /// assert_eq!(tracker.record_success(Endpoint(1)), Change::Up);
    /// ```
    pub fn record_failure(&mut self, now: Instant, endpoint: Endpoint) -> Change {
        let options = self.options;
        let state = self.states.entry(endpoint).or_default();
        // Requests that fail together because of one crash count as one failure.
        if state.down_until.is_some_and(|until| now < until) {
            return Change::None;
        }
        let backoff = options.backoff_min * 2_u32.saturating_pow(state.failures.min(16));
        let until = now + backoff.min(options.backoff_max);
        state.failures = state.failures.saturating_add(1);
        if state.failing_since.is_none() {
            state.failing_since = Some(now);
            self.failing += 1;
        }
        state.down_until = Some(until);
        Change::Down { until }
    }

    /// Records a successful contact with the endpoint.
    pub fn record_success(&mut self, endpoint: Endpoint) -> Change {
        let state = self.states.entry(endpoint).or_default();
        state.failures = 0;
        self.failing -= usize::from(state.failing_since.take().is_some());
        match state.down_until.take() {
            Some(_) => Change::Up,
            None => Change::None,
        }
    }

    /// Records a load report.
    pub fn reported(&mut self, now: Instant, endpoint: Endpoint, report: Report) -> Change {
        let state = self.states.entry(endpoint).or_default();
        let before = state.report.replace((now, report));
        let restarted = before.is_some_and(|(_, before)| before.instance != report.instance);
        let up = self.record_success(endpoint);
        if restarted { Change::Restarted } else { up }
    }

    /// Whether requests may be sent to the endpoint.
    #[must_use]
    pub fn usable(&self, now: Instant, endpoint: Endpoint) -> bool {
        let Some(state) = self.states.get(&endpoint) else { return true };
        state.down_until.is_none_or(|until| until <= now)
    }

    /// Whether the last contact with any endpoint failed.
    #[must_use]
    pub const fn any_failing(&self) -> bool {
        self.failing > 0
    }

    /// When the endpoint first failed without having answered since.
    ///
    /// ```
    /// use {
    ///     siskin_route::health::{Options, Tracker},
    ///     siskin_types::{id::Endpoint, time::Instant},
    /// };
    /// let (mut tracker, later) = (Tracker::new(Options::default()), Instant::from_micros(9_000_000));
    /// tracker.record_failure(Instant::ZERO, Endpoint(1));
    /// tracker.record_failure(later, Endpoint(1));
    /// assert_eq!(tracker.failing_since(Endpoint(1)), Some(Instant::ZERO));
    /// tracker.record_success(Endpoint(1));
    /// assert_eq!(tracker.failing_since(Endpoint(1)), None);
    /// assert!(!tracker.any_failing());
    /// ```
    #[must_use]
    pub fn failing_since(&self, endpoint: Endpoint) -> Option<Instant> {
        self.states.get(&endpoint)?.failing_since
    }

    /// The last report, unless it is older than the report lifetime.
    #[must_use]
    pub fn report(&self, now: Instant, endpoint: Endpoint) -> Option<Report> {
        let (at, report) = self.states.get(&endpoint)?.report?;
        (now - at <= self.options.report_lifetime).then_some(report)
    }

    /// The instance number in the last report, however old.
    #[must_use]
    pub fn instance(&self, endpoint: Endpoint) -> Option<u64> {
        Some(self.states.get(&endpoint)?.report?.1.instance)
    }

    /// Whether the endpoint's last report, however old, says that it is leaving.
    #[must_use]
    pub fn leaving(&self, endpoint: Endpoint) -> bool {
        self.states
            .get(&endpoint)
            .and_then(|state| state.report)
            .is_some_and(|(_, report)| report.leaving)
    }

    /// Drops the endpoints for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(Endpoint) -> bool) {
        self.states.retain(|&endpoint, _| keep(endpoint));
        let failing = self.states.values().filter(|state| state.failing_since.is_some());
        self.failing = failing.count();
    }
}
