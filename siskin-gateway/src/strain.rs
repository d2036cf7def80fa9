//! Notices that this process gets too little processor time for its requests.
//!
//! Callers are spread unevenly over the routers, and VMs differ in their share of a processor. A router that is behind
//! with its work says that it is not ready, so that new connections go elsewhere, asks callers to close theirs, and
//! refuses at once what it would only delay.

use {siskin_types::time::Instant, std::time::Duration};

/// Weight of a new sample of the lateness.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean lateness of timers from which the process counts as strained.
const STRAINED: Duration = Duration::from_millis(40);

/// Mean lateness below which it no longer does.
const RELIEVED: Duration = Duration::from_millis(10);

/// Mean lateness from which requests are refused: they would lose much of their time here.
const OVERLOADED: Duration = Duration::from_millis(60);

/// Shortest time that a strained process stays so: its callers should find a VM with more to give, not come back at once.
const HOLD: Duration = Duration::from_secs(8);

/// Samples longer than this come from a process that stood still, not from one that is busy.
const STOOD_STILL: Duration = Duration::from_secs(1);

/// How much a process is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It keeps up.
    Calm,
    /// It is behind and takes no new connections.
    Strained,
    /// It is so far behind that it refuses requests.
    Overloaded,
}

/// The running mean of how late timers are.
///
/// ```
/// use {siskin_gateway::strain::{Meter, State}, siskin_types::time::Instant, std::time::Duration};
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
/// assert_eq!(feed(50, 100), State::Strained);
/// assert_eq!(feed(300, 40), State::Overloaded);
/// assert_eq!(feed(0, 400), State::Calm);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    mean: Duration,
    strained_until: Option<Instant>,
    last: Instant,
}

impl Meter {
    /// A timer was late by this much.
    pub fn sample(&mut self, now: Instant, late: Duration) {
        self.last = now;
        if late < STOOD_STILL {
            self.mean = self.mean.mul_f64(1.0 - SAMPLE_WEIGHT) + late.mul_f64(SAMPLE_WEIGHT);
        }
        if self.mean >= STRAINED || (self.strained_until.is_some() && self.mean >= RELIEVED) {
            self.strained_until = Some(now + HOLD);
        }
        if self.strained_until.is_some_and(|until| now >= until) {
            self.strained_until = None;
        }
    }

    /// How much the process is behind.
    #[must_use]
    pub fn state(&self) -> State {
        if self.mean >= OVERLOADED {
            State::Overloaded
        } else if self.strained_until.is_some() {
            State::Strained
        } else {
            State::Calm
        }
    }

    /// Mean lateness of timers.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }
}
