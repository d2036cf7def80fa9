//! How a run recovers from faults: utilisation and store calls before, during and after them.

use {
    serde::Serialize,
    siskin_standin::kv::Counters,
    std::time::{Duration, Instant},
};

/// Length of a window. Three of them are averaged, because requests of some tens of milliseconds make a shorter time
/// noisy.
pub const WINDOW: Duration = Duration::from_millis(100);

/// Windows that are averaged.
const AVERAGED: usize = 3;

/// Utilisation counts as recovered at this part of its level before the fault.
const RECOVERED: f64 = 0.9;

/// Time after an event in which store calls are watched.
const RUSH: Duration = Duration::from_secs(5);

/// Windows of the time over which the rate of store calls is taken.
const RATE_WINDOWS: usize = 10;

/// What happened in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Window {
    /// Slot time that existed at running engines.
    pub offered: f64,
    /// Slot time in use.
    pub used: f64,
    /// Store calls so far.
    pub calls: u64,
    /// Store calls refused so far.
    pub refused: u64,
}

/// Follows a run in windows of [`WINDOW`].
#[derive(Clone, Debug)]
pub struct Phases {
    start: Instant,
    /// When faults begin and end, from the start.
    faults: Option<(Duration, Duration)>,
    windows: Vec<Window>,
}

/// What a fault did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Aftermath {
    /// Utilisation of the running engines before the fault.
    pub utilisation_before: f64,
    /// Time from the begin of the fault to the last moment below 90% of that.
    pub below_after_begin_seconds: f64,
    /// Time from the end of the fault to the last moment below 90% of that.
    pub below_after_end_seconds: f64,
    /// Store calls per second before the fault.
    pub store_calls_before: f64,
    /// Most store calls of one second in the 5 s after the begin.
    pub store_calls_after_begin: u64,
    /// Most store calls of one second in the 5 s after the end.
    pub store_calls_after_end: u64,
    /// Store calls refused because of its limits in the 5 s after the end.
    pub store_refused_after_end: u64,
    /// Largest gap from the end of the fault on.
    pub gap_after_end: f64,
}

impl Phases {
    /// Starts at `start`.
    #[must_use]
    pub const fn new(start: Instant, faults: Option<(Duration, Duration)>) -> Self {
        Self { start, faults, windows: Vec::new() }
    }

    /// Whether the faults are over.
    #[must_use]
    pub fn after_fault(&self, now: Instant) -> bool {
        self.faults.is_some_and(|(_, end)| now >= self.start + end)
    }

    /// Adds a sample: slot time offered and used since the last one.
    pub fn sample(&mut self, now: Instant, store: Counters, (offered, used): (f64, f64)) {
        let index = number((now - self.start).as_millis() / WINDOW.as_millis());
        let last = self.windows.last().copied().unwrap_or_default();
        while self.windows.len() <= index {
            self.windows.push(Window { offered: 0.0, used: 0.0, ..last });
        }
        let window = &mut self.windows[index];
        window.offered += offered;
        window.used += used;
        window.calls = store.reads + store.writes + store.leases + store.watches;
        window.refused = store.limited;
    }

    /// What the faults did, if there were any.
    #[must_use]
    pub fn aftermath(&self, gap_after_end: f64) -> Option<Aftermath> {
        let (begin, end) = self.faults?;
        let place = |time: Duration| number(time.as_millis() / WINDOW.as_millis());
        let (begin, end) = (place(begin), place(end));
        let rush = place(RUSH);
        let level = utilisation(self.slice(0, begin))?;
        let refused = |index: usize| self.at(index).refused;
        Some(Aftermath {
            utilisation_before: level,
            below_after_begin_seconds: self.below(begin, end, level),
            below_after_end_seconds: self.below(end, self.windows.len(), level),
            store_calls_before: self.calls(0, begin) / seconds(begin).max(WINDOW.as_secs_f64()),
            store_calls_after_begin: self.peak(begin, begin + rush),
            store_calls_after_end: self.peak(end, end + rush),
            store_refused_after_end: refused(end + rush) - refused(end.saturating_sub(1)),
            gap_after_end,
        })
    }

    /// Time from window `first` to the last average below the level, before window `end`.
    fn below(&self, first: usize, end: usize, level: f64) -> f64 {
        let windows = self.slice(first, end);
        let low = |part: &[Window]| utilisation(part).is_some_and(|part| part < level * RECOVERED);
        let last = windows.windows(AVERAGED).rposition(low);
        last.map_or(0.0, |last| seconds(last + AVERAGED))
    }

    /// Most calls of one second that begins and ends between two windows.
    fn peak(&self, first: usize, end: usize) -> u64 {
        let calls = |index: usize| self.at(index).calls;
        let starts = first..end.saturating_sub(RATE_WINDOWS).max(first) + 1;
        starts
            .map(|start| calls(start + RATE_WINDOWS - 1) - calls(start.saturating_sub(1)))
            .max()
            .unwrap_or_default()
    }

    fn calls(&self, first: usize, end: usize) -> f64 {
        let calls = self.at(end.saturating_sub(1)).calls - self.at(first).calls;
        // Calls of one run are far below the point where doubles lose whole numbers.
        #[allow(clippy::cast_precision_loss)]
        let calls = calls as f64;
        calls
    }

    /// A window, or the last one.
    fn at(&self, index: usize) -> Window {
        self.windows.get(index).or(self.windows.last()).copied().unwrap_or_default()
    }

    fn slice(&self, first: usize, end: usize) -> &[Window] {
        let length = self.windows.len();
        &self.windows[first.min(length)..end.min(length).max(first.min(length))]
    }
}

fn utilisation(windows: &[Window]) -> Option<f64> {
    let (offered, used) = windows
        .iter()
        .fold((0.0, 0.0), |(offered, used), window| (offered + window.offered, used + window.used));
    (offered > 0.0).then(|| used / offered)
}

fn seconds(windows: usize) -> f64 {
    WINDOW.as_secs_f64() * f64::from(u32::try_from(windows).unwrap_or(u32::MAX))
}

fn number(count: u128) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
