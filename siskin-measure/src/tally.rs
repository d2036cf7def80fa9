//! What the callers saw.

use {
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde::Serialize,
    std::{
        collections::{BTreeSet, HashMap},
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Largest value of the histograms: five minutes in microseconds.
const HISTOGRAM_MAX: u64 = 300_000_000;

/// Decimal digits that the histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;

/// A histogram for times in microseconds or for units.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX, HISTOGRAM_DIGITS)
        .expect("the constant bounds are valid")
}

/// Promises that were broken; any of them makes the program fail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Answers that belong to another call.
    pub wrong_caller: Vec<String>,
    /// Answers presented as complete that lack a part or repeat one.
    pub incomplete: Vec<String>,
    /// Non-idempotent calls that ran more than once.
    pub doubled_runs: Vec<String>,
    /// Calls reported as not run that ran.
    pub false_not_run: Vec<String>,
    /// Configuration versions that went down.
    pub version_went_down: Vec<String>,
}

impl Broken {
    /// All broken promises.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &String)> {
        let groups = [
            ("wrong caller", &self.wrong_caller),
            ("incomplete answer", &self.incomplete),
            ("doubled run", &self.doubled_runs),
            ("false 'not run'", &self.false_not_run),
            ("configuration version went down", &self.version_went_down),
        ];
        groups.into_iter().flat_map(|(name, cases)| cases.iter().map(move |case| (name, case)))
    }

    /// Whether all promises were kept.
    #[must_use]
    pub fn is_none(&self) -> bool {
        self.all().next().is_none()
    }
}

/// A call that was reported as not run.
#[derive(Clone, Debug)]
pub(crate) struct NotRun {
    /// Identifier that the router gave it.
    pub(crate) request: String,
    pub(crate) reason: String,
}

/// Calls of one customer that are under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Open {
    /// Model calls sent and not ended.
    pub(crate) outstanding: u32,
    /// Those without the first byte of an answer, by time.
    pub(crate) unstarted: BTreeSet<(Instant, u64)>,
}

/// Everything that callers record.
#[derive(Debug)]
pub(crate) struct Sheet {
    pub(crate) open: Vec<Open>,
    /// Ends by outcome and reason.
    pub(crate) ends: IndexMap<String, u64>,
    pub(crate) sent: u64,
    pub(crate) first_token: Histogram<u64>,
    pub(crate) between_tokens: Histogram<u64>,
    pub(crate) not_run: Vec<NotRun>,
    /// Keys of the confirmations sent, with the attempts.
    pub(crate) confirmations: HashMap<String, u32>,
    pub(crate) broken: Broken,
}

/// Shared by all callers of a run.
#[derive(Debug)]
pub(crate) struct Tally(Mutex<Sheet>);

impl Tally {
    pub(crate) fn new(customers: usize) -> Self {
        Self(Mutex::new(Sheet {
            open: vec![Open::default(); customers],
            ends: IndexMap::new(),
            sent: 0,
            first_token: histogram(),
            between_tokens: histogram(),
            not_run: Vec::new(),
            confirmations: HashMap::new(),
            broken: Broken::default(),
        }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Sheet> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Sheet {
    /// Counts the end of a call.
    pub(crate) fn ended(&mut self, outcome: &str, reason: &str) {
        let name =
            if reason.is_empty() { outcome.to_owned() } else { format!("{outcome} ({reason})") };
        *self.ends.entry(name).or_default() += 1;
    }

    /// Calls that ended with this outcome, whatever the reason.
    pub(crate) fn count(&self, outcome: &str) -> u64 {
        let named = |name: &str| name.split(' ').next() == Some(outcome);
        self.ends.iter().filter(|(name, _)| named(name)).map(|(_, count)| count).sum()
    }
}

/// Microseconds of a time.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
