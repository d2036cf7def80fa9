//! Load reports that lag behind the true load.

use {
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// Answer of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// Whether the endpoint asks for no new work.
    pub leaving: bool,
    /// Changes at every start of the endpoint.
    pub instance: u64,
    /// Models and adapters that are loaded; empty for applications and for engines that serve any model.
    pub models: Vec<String>,
    /// Models and adapters that are being loaded.
    pub loading: Vec<String>,
    /// Versions of the models that are loaded or being loaded, as far as they are known.
    pub versions: BTreeMap<String, String>,
    /// Role of an engine; empty for applications.
    pub role: String,
    /// Version of the software; empty: not reported.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub software: String,
    /// Highest fencing number of an accepted order.
    pub fencing: u64,
}

impl Load {
    /// Whether an engine serves any model, because it names none and has never had an order.
    pub(crate) fn serves_any(&self) -> bool {
        self.models.is_empty() && self.loading.is_empty() && self.fencing == 0
    }
}

/// A value that is reported late: reports, with the time from which each one held.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    reports: Mutex<VecDeque<(Instant, T)>>,
}

impl<T: Clone + Default> Lagged<T> {
    /// Starts with `first`, which counts as reported at once.
    pub(crate) fn new(lag: Duration, first: T) -> Self {
        let since = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        Self { lag, reports: Mutex::new(VecDeque::from([(since, first)])) }
    }

    /// Changes the true value.
    pub(crate) fn change(&self, change: impl FnOnce(&mut T)) {
        let now = Instant::now();
        let mut reports = crate::lock(&self.reports);
        let mut value = reports.back().map(|(_, value)| value.clone()).unwrap_or_default();
        change(&mut value);
        reports.push_back((now, value));
        self.prune(&mut reports, now);
    }

    /// The true value.
    pub(crate) fn current(&self) -> T {
        crate::lock(&self.reports).back().map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// The value as reported now.
    pub(crate) fn reported(&self) -> T {
        let now = Instant::now();
        let mut reports = crate::lock(&self.reports);
        self.prune(&mut reports, now);
        reports.front().map(|(_, value)| value.clone()).unwrap_or_default()
    }

    /// Drops reports that a later one has replaced, seen with the lag.
    fn prune(&self, reports: &mut VecDeque<(Instant, T)>, now: Instant) {
        while reports.get(1).is_some_and(|(since, _)| *since + self.lag <= now) {
            reports.pop_front();
        }
    }
}
