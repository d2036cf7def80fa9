//! Detects that this process gets too little processor time for its requests, and sheds those that it cannot serve.
//!
//! Callers are distributed unevenly over the routers, and VMs differ in their share of a processor. A router whose timers
//! are late fails its readiness check, so that new connections go to other routers. Until they do, it admits as many
//! requests as it can serve in time and refuses the others at once, so that their callers retry at another router.

use {siskin_types::time::Instant, std::time::Duration};

/// Weight of a new sample in the slow mean, which decides whether the process is strained.
const SLOW_WEIGHT: f64 = 0.1;

/// Weight of a new sample in the fast mean, which controls load shedding.
const FAST_WEIGHT: f64 = 0.4;

/// Slow mean of timer lateness from which the process counts as strained.
const STRAINED_ABOVE: Duration = Duration::from_millis(40);

/// Slow mean of timer lateness below which the process may count as calm again.
const RELIEVED_BELOW: Duration = Duration::from_millis(10);

/// Target for the lateness; above it, more requests are shed.
const LATENESS_TARGET: Duration = Duration::from_millis(50);

/// Lateness of the next sample above which all requests are refused, until the work that is queued before it is done.
const OVERDUE: Duration = Duration::from_millis(120);

/// Time between measurements of timer lateness.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Bounds of the factor by which the admitted share is decreased after a sample above the target.
const DECREASE_MIN: f64 = 0.5;
const DECREASE_MAX: f64 = 0.9;

/// Increase of the admitted share after a sample at or below the target.
const INCREASE: f64 = 0.02;

/// Smallest admitted share of requests.
const ADMITTED_SHARE_MIN: f64 = 0.05;

/// Admitted share below which the process counts as overloaded.
const OVERLOADED_BELOW: f64 = 0.8;

/// Shortest time for which a process stays strained. The platform sends a caller to the same VM whenever that is ready, so
/// callers need time to find a VM with more capacity and to stay there.
const STRAINED_MIN_TIME: Duration = Duration::from_secs(20);

/// Time after which the platform has noticed failed readiness checks and sends callers to other routers.
const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(2_500);

/// A timer this late in a process that was not busy shows that the process was suspended, not overloaded.
const SUSPENSION_MIN: Duration = Duration::from_secs(1);

/// Degree of overload of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Timers are on time.
    Calm,
    /// Timers are late; the process fails its readiness check.
    Strained,
    /// Timers are so late that the process refuses a part of the requests.
    Overloaded,
}

/// Moving averages of timer lateness, and the share of requests that is admitted.
///
/// ```
/// use {siskin_gateway::overload::{Meter, State}, siskin_types::time::Instant, std::time::Duration};
/// let mut meter = Meter::default();
/// let mut now = Instant::from_micros(0);
/// let mut feed = |late_ms, count| {
///     for _ in 0..count {
///         now = now + Duration::from_millis(50);
///         meter.sample(now, Duration::from_millis(late_ms));
///     }
///     meter.state()
/// };
/// assert_eq!(feed(2, 100), State::Calm);
/// assert_eq!(feed(45, 100), State::Strained);
/// assert_eq!(feed(300, 10), State::Overloaded);
/// assert_eq!(feed(0, 500), State::Calm);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    slow_mean: Duration,
    fast_mean: Duration,
    /// Share of requests that is admitted.
    admitted_share: f64,
    /// Accumulated admitted share; a request is admitted when it reaches 1.
    credit: f64,
    strained_since: Option<Instant>,
    strained_until: Option<Instant>,
    /// When the next sample is due.
    due: Option<Instant>,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            slow_mean: Duration::ZERO,
            fast_mean: Duration::ZERO,
            admitted_share: 1.0,
            credit: 0.0,
            strained_since: None,
            strained_until: None,
            due: None,
        }
    }
}

impl Meter {
    /// Records the lateness of a timer.
    pub fn sample(&mut self, now: Instant, lateness: Duration) {
        self.due = Some(now + INTERVAL);
        let was_suspended = lateness >= SUSPENSION_MIN && self.fast_mean <= LATENESS_TARGET;
        if !was_suspended {
            self.slow_mean = moving_average(self.slow_mean, lateness, SLOW_WEIGHT);
            self.fast_mean = moving_average(self.fast_mean, lateness, FAST_WEIGHT);
            self.adapt_admitted_share();
        }
        let strained = self.slow_mean >= STRAINED_ABOVE || self.admitted_share < OVERLOADED_BELOW;
        if strained || (self.strained_until.is_some() && self.slow_mean >= RELIEVED_BELOW) {
            self.strained_since.get_or_insert(now);
            self.strained_until = Some(now + STRAINED_MIN_TIME);
        }
        if self.strained_until.is_some_and(|until| now >= until) {
            self.strained_until = None;
            self.strained_since = None;
        }
    }

    /// Decides whether the next request is admitted. Each request adds the admitted share to a credit and uses up 1 if it is
    /// admitted.
    pub fn admit_request(&mut self, now: Instant) -> bool {
        if self.due.is_some_and(|due| now - due > OVERDUE) {
            return false;
        }
        self.credit += self.admitted_share;
        let admitted = self.credit >= 1.0;
        if admitted {
            self.credit -= 1.0;
        }
        admitted
    }

    /// The degree of overload.
    #[must_use]
    pub fn state(&self) -> State {
        if self.admitted_share < OVERLOADED_BELOW {
            State::Overloaded
        } else if self.strained_until.is_some() {
            State::Strained
        } else {
            State::Calm
        }
    }

    /// Whether the platform sends callers that close their connection now to another router.
    #[must_use]
    pub fn unready_noticed(&self, now: Instant) -> bool {
        self.strained_since.is_some_and(|since| now - since >= UNREADY_NOTICE_TIME)
    }

    /// Since when the process has been strained, if it is.
    #[must_use]
    pub const fn strained_since(&self) -> Option<Instant> {
        self.strained_since
    }

    /// Ends the time for which a process that has recovered stays strained. Returns whether it did.
    pub fn end_strain(&mut self) -> bool {
        let recovered = self.slow_mean < RELIEVED_BELOW && self.admitted_share >= OVERLOADED_BELOW;
        let ends = recovered && self.strained_since.is_some();
        if ends {
            self.strained_since = None;
            self.strained_until = None;
        }
        ends
    }

    /// Slow mean of timer lateness.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.slow_mean
    }

    fn adapt_admitted_share(&mut self) {
        let share = if self.fast_mean > LATENESS_TARGET {
            let factor = LATENESS_TARGET.div_duration_f64(self.fast_mean);
            self.admitted_share * factor.clamp(DECREASE_MIN, DECREASE_MAX)
        } else {
            self.admitted_share + INCREASE
        };
        self.admitted_share = share.clamp(ADMITTED_SHARE_MIN, 1.0);
    }
}

fn moving_average(mean: Duration, sample: Duration, weight: f64) -> Duration {
    mean.mul_f64(1.0 - weight) + sample.mul_f64(weight)
}
