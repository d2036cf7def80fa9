//! Figures of a run, as a table and as JSON.

use {
    crate::{
        Options,
        mode::Mode,
        phase::Aftermath,
        tally::Broken,
        workload::{PACED_RATE, Scenario},
    },
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde::Serialize,
    std::fmt::Write as _,
};

/// Percentiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Values.
    pub count: u64,
    /// Not exceeded by 50%.
    pub p50_ms: f64,
    /// Not exceeded by 95%.
    pub p95_ms: f64,
    /// Not exceeded by 99%.
    pub p99_ms: f64,
}

impl Percentiles {
    /// Reads a histogram of microseconds.
    #[must_use]
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| {
            // The histogram's largest value is far below the point where doubles lose whole numbers.
            #[allow(clippy::cast_precision_loss)]
            let micros = histogram.value_at_quantile(quantile) as f64;
            micros / 1_000.0
        };
        Self { count: histogram.len(), p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
    }
}

/// Fairness between backlogged customers, in tokens per unit of weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fairness {
    /// Largest gap.
    pub largest: f64,
    /// Gap not exceeded in 99% of the samples.
    pub p99: u64,
    /// Bound of the design for this site.
    pub bound: f64,
    /// Samples in which at least two customers were backlogged.
    pub samples: u64,
}

/// What one router used and sent for control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Index of the router.
    pub router: u32,
    /// Pools that it owned at the end.
    pub owned_pools: f64,
    /// Requests per second that it finished.
    pub requests_per_second: f64,
    /// Processor time in percent of a core, requests included; none for a router in the measuring process.
    pub processor_percent: Option<f64>,
    /// Resident memory at the end in MB of 1,048,576 bytes; none for a router in the measuring process.
    pub resident_mb: Option<f64>,
    /// Control bytes sent per second.
    pub sent_bytes_per_second: f64,
    /// Control messages sent per second.
    pub sent_messages_per_second: f64,
    /// Control bytes received per second.
    pub received_bytes_per_second: f64,
    /// Control messages received per second.
    pub received_messages_per_second: f64,
}

/// Figures of one mode.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The mode.
    pub mode: &'static str,
    /// Routers that ran.
    pub routers: u32,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Calls sent.
    pub sent: u64,
    /// Calls that had no answer when the run ended.
    pub unfinished: u64,
    /// Fairness gap.
    pub fairness: Fairness,
    /// Part of the slots in use while work waited; none if no work waited.
    pub utilisation_while_waiting: Option<f64>,
    /// Part of the slots in use over the whole run.
    pub utilisation: f64,
    /// Tokens per second that engines served.
    pub tokens_per_second: f64,
    /// Tokens per unit of weight that each customer got.
    pub service_by_customer: IndexMap<String, f64>,
    /// Most requests that waited at one engine, which is what exceeds its slots.
    pub engine_excess: u32,
    /// Runs that began at a leaving engine later than 3 s after it reported that.
    pub late_starts_at_leaving: Option<usize>,
    /// Control bytes sent per second and router.
    pub control_bytes_per_second: f64,
    /// Control bytes sent per second by the router that sends most.
    pub control_bytes_per_second_busiest: f64,
    /// Control messages sent per second and router.
    pub control_messages_per_second: f64,
    /// Control bytes per second and router by kind of message.
    pub control_bytes_by_kind: IndexMap<String, f64>,
    /// Store calls per second of the whole fleet by kind.
    pub store_calls_per_second: IndexMap<String, f64>,
    /// Time to the first token of streams.
    pub first_token: Percentiles,
    /// Time between tokens of streams.
    pub between_tokens: Percentiles,
    /// Attempts by outcome and reason.
    pub outcomes: IndexMap<String, u64>,
    /// Confirmations by how many times they ran.
    pub confirmation_runs: IndexMap<String, u64>,
    /// Refusals by reason.
    pub refusals: IndexMap<String, f64>,
    /// Retries by reason.
    pub retries: IndexMap<String, f64>,
    /// Broken promises.
    pub broken: Broken,
    /// Configuration changes accepted.
    pub changes: u32,
    /// Time from the first router to the last one at which a version was in force. Versions of processes are read every
    /// 2 s, so there is none for them.
    pub rollout: Option<Percentiles>,
    /// Customers that were backlogged at the same time, on average.
    pub backlogged_customers: f64,
    /// What the faults did; none without faults.
    pub aftermath: Option<Aftermath>,
    /// Load average of the machine at the end, if it tells one.
    pub load_average: Option<f64>,
    /// What each router used and sent for control.
    pub cost_by_router: Vec<Cost>,
}

impl Figures {
    /// Mean and largest value of a cost over the routers, if it is known of all.
    #[must_use]
    pub fn cost(&self, value: fn(&Cost) -> Option<f64>) -> Option<(f64, f64)> {
        let values: Vec<f64> = self.cost_by_router.iter().map(value).collect::<Option<_>>()?;
        let largest = values.iter().copied().reduce(f64::max)?;
        let count = u32::try_from(values.len()).ok()?;
        Some((values.iter().sum::<f64>() / f64::from(count), largest))
    }
}

/// Figures of all modes of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Scenario.
    pub scenario: &'static str,
    /// Faults.
    pub faults: Vec<&'static str>,
    /// Seed.
    pub seed: u64,
    /// Command that repeats the run.
    pub command: String,
    /// One entry for each mode, the product first.
    pub modes: Vec<Figures>,
    /// Targets of the design that apply to the scenario.
    pub targets: Vec<Target>,
}

/// A target of the design. Missing one is reported, but breaks no promise.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Target {
    /// What is limited.
    pub name: &'static str,
    /// The limit.
    pub limit: f64,
    /// The measured value.
    pub value: f64,
    /// Whether it was met.
    pub met: bool,
}

/// Largest gap relative to that of the global queue.
const GAP_RATIO_MAX: f64 = 2.0;

/// Least utilisation relative to that of the global queue, in the absence of faults.
const UTILISATION_RATIO_MIN: f64 = 0.98;

/// Most control bytes per second and router at 41 requests per second and router.
const CONTROL_BYTES_MAX: f64 = 5_000.0;

/// The targets that apply to a scenario and could be measured.
#[must_use]
pub fn targets(options: &Options, modes: &[Figures]) -> Vec<Target> {
    let of = |mode: Mode| modes.iter().find(|figures| figures.mode == mode.name());
    let mut targets = Vec::new();
    let Some(fleet) = of(Mode::Fleet) else { return targets };
    targets.push(at_most(
        "largest gap, at most its bound",
        fleet.fairness.bound,
        fleet.fairness.largest,
    ));
    let limited = options.rate.total_cmp(&PACED_RATE).is_eq();
    if options.scenario == Scenario::Paced && limited {
        let bytes = fleet.control_bytes_per_second;
        targets.push(at_most("control B/s per router, at most", CONTROL_BYTES_MAX, bytes));
    }
    let Some(global) = of(Mode::Global).filter(|_| options.faults.is_empty()) else {
        return targets;
    };
    if global.fairness.largest > 0.0 {
        let ratio = fleet.fairness.largest / global.fairness.largest;
        targets.push(at_most("gap relative to the global queue, at most", GAP_RATIO_MAX, ratio));
    }
    let used = (fleet.utilisation_while_waiting, global.utilisation_while_waiting);
    if let (Some(own), Some(other)) = used {
        let (limit, value) = (UTILISATION_RATIO_MIN, own / other);
        let name = "utilisation relative to the global queue, at least";
        targets.push(Target { name, limit, value, met: value >= limit });
    }
    targets
}

fn at_most(name: &'static str, limit: f64, value: f64) -> Target {
    Target { name, limit, value, met: value <= limit }
}

/// A line of the table: a name and its text for a mode.
type Line = (&'static str, fn(&Figures) -> String);

/// A line whose ratio to the global queue is shown.
type Ratio = (&'static str, fn(&Figures) -> Option<f64>, usize);

const RATIOS: [Ratio; 5] = [
    ("gap, largest (tokens/weight)", |figures| Some(figures.fairness.largest), 0),
    // Gaps are far below the point where doubles lose whole units.
    #[allow(clippy::cast_precision_loss)]
    ("gap, p99 over time", |figures| Some(figures.fairness.p99 as f64), 0),
    ("utilisation while work waits", |figures| figures.utilisation_while_waiting, 4),
    ("utilisation", |figures| Some(figures.utilisation), 4),
    ("tokens/s", |figures| Some(figures.tokens_per_second), 0),
];

const LINES: [Line; 18] = [
    ("gap, bound", |figures| format!("{:.0}", figures.fairness.bound)),
    ("gap, samples", |figures| figures.fairness.samples.to_string()),
    ("control B/s per router", |figures| format!("{:.0}", figures.control_bytes_per_second)),
    ("control B/s of the busiest router", |figures| {
        format!("{:.0}", figures.control_bytes_per_second_busiest)
    }),
    ("control messages/s per router", |figures| {
        format!("{:.1}", figures.control_messages_per_second)
    }),
    ("processor % of a core, mean/largest", |figures| {
        cost(figures.cost(|cost| cost.processor_percent), 2)
    }),
    ("resident memory MB, mean/largest", |figures| cost(figures.cost(|cost| cost.resident_mb), 1)),
    ("backlogged customers, mean", |figures| format!("{:.1}", figures.backlogged_customers)),
    ("configuration changes", |figures| figures.changes.to_string()),
    ("change everywhere p50/p95/p99 ms", |figures| {
        figures.rollout.as_ref().map_or_else(|| "-".to_owned(), times)
    }),
    ("load average of the machine", |figures| {
        figures.load_average.map_or_else(|| "-".to_owned(), |load| format!("{load:.1}"))
    }),
    ("first token p50/p95/p99 ms", |figures| times(&figures.first_token)),
    ("between tokens p50/p95/p99 ms", |figures| times(&figures.between_tokens)),
    ("calls sent", |figures| figures.sent.to_string()),
    ("calls unfinished at the end", |figures| figures.unfinished.to_string()),
    ("most waiting at an engine", |figures| figures.engine_excess.to_string()),
    ("late starts at a leaving engine", |figures| {
        figures.late_starts_at_leaving.map_or_else(|| "-".to_owned(), |count| count.to_string())
    }),
    ("broken promises", |figures| figures.broken.all().count().to_string()),
];

/// A group of lines with names that differ from run to run.
type Group = (&'static str, fn(&Figures) -> IndexMap<String, f64>);

const GROUPS: [Group; 7] = [
    ("attempts", |figures| counts(&figures.outcomes)),
    ("confirmations that ran", |figures| counts(&figures.confirmation_runs)),
    ("refusals", |figures| figures.refusals.clone()),
    ("retries", |figures| figures.retries.clone()),
    ("store calls/s", |figures| figures.store_calls_per_second.clone()),
    ("control B/s per router", |figures| figures.control_bytes_by_kind.clone()),
    ("fault", |figures| figures.aftermath.as_ref().map(aftermath).unwrap_or_default()),
];

/// Width of the first column.
const NAME_WIDTH: usize = 52;

/// Width of the other columns.
const WIDTH: usize = 22;

impl Report {
    /// Whether all promises were kept.
    #[must_use]
    pub fn kept(&self) -> bool {
        self.modes.iter().all(|figures| figures.broken.is_none())
    }

    /// The report as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if a figure cannot be written, which is not expected.
    pub fn json(&self) -> serde_json::Result<String> {
        serde_json::to_string_pretty(self)
    }

    /// The report as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = Table { text: String::new() };
        let faults =
            if self.faults.is_empty() { "none".to_owned() } else { self.faults.join(", ") };
        let title = format!("scenario {}, faults {faults}, seed {}", self.scenario, self.seed);
        table.text.push_str(&title);
        table.text.push('\n');
        let names = self.modes.iter().map(|figures| figures.mode.to_owned());
        table.row("", names, self.global().map(|_| "fleet/global".to_owned()));
        for (name, value, digits) in RATIOS {
            let cells = self.modes.iter().map(|figures| {
                value(figures).map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
            });
            table.row(name, cells, self.ratio(value).map(|ratio| format!("{ratio:.3}")));
        }
        for (name, value) in LINES {
            table.row(name, self.modes.iter().map(value), None);
        }
        for (name, value) in GROUPS {
            table.group(name, &self.modes.iter().map(value).collect::<Vec<_>>());
        }
        for figures in &self.modes {
            table.costs(figures);
        }
        for figures in &self.modes {
            for (kind, case) in figures.broken.all() {
                let _ = writeln!(table.text, "BROKEN in {}: {kind}: {case}", figures.mode);
            }
        }
        for Target { name, limit, value, met } in &self.targets {
            let verdict = if *met { "met" } else { "MISSED" };
            let _ = writeln!(table.text, "target: {name} {limit:.2}: {value:.3}, {verdict}");
        }
        let _ = writeln!(table.text, "repeat with: {}", self.command);
        table.text
    }

    /// Ratio of the product's figure to that of the global queue.
    #[must_use]
    pub fn ratio(&self, value: fn(&Figures) -> Option<f64>) -> Option<f64> {
        let of = |mode: Mode| {
            let figures = self.modes.iter().find(|figures| figures.mode == mode.name())?;
            value(figures)
        };
        let (fleet, global) = (of(Mode::Fleet)?, of(Mode::Global)?);
        (global != 0.0).then(|| fleet / global)
    }

    fn global(&self) -> Option<&Figures> {
        self.modes.iter().find(|figures| figures.mode == Mode::Global.name())
    }
}

struct Table {
    text: String,
}

impl Table {
    fn row(&mut self, name: &str, cells: impl Iterator<Item = String>, ratio: Option<String>) {
        let _ = write!(self.text, "{name:<NAME_WIDTH$}");
        for cell in cells.chain(ratio) {
            let _ = write!(self.text, " {cell:>WIDTH$}");
        }
        self.text.push('\n');
    }

    /// The cost of each router of a mode.
    fn costs(&mut self, figures: &Figures) {
        let _ = writeln!(
            self.text,
            "{} router: pools owned, requests/s, processor %, memory MB, sent B/s, messages/s, \
             received B/s, messages/s",
            figures.mode
        );
        for cost in &figures.cost_by_router {
            let known = |value: Option<f64>, digits: usize| {
                value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
            };
            let _ = writeln!(
                self.text,
                "{:>8} {:>4} {:>8.1} {:>8} {:>8} {:>8.0} {:>8.1} {:>8.0} {:>8.1}",
                cost.router,
                cost.owned_pools,
                cost.requests_per_second,
                known(cost.processor_percent, 2),
                known(cost.resident_mb, 1),
                cost.sent_bytes_per_second,
                cost.sent_messages_per_second,
                cost.received_bytes_per_second,
                cost.received_messages_per_second,
            );
        }
    }

    fn group(&mut self, name: &str, modes: &[IndexMap<String, f64>]) {
        let mut keys: Vec<&String> = modes.iter().flat_map(IndexMap::keys).collect();
        keys.sort();
        keys.dedup();
        keys.retain(|key| {
            modes.iter().any(|mode| mode.get(*key).is_some_and(|value| *value != 0.0))
        });
        for key in keys {
            let cells = modes.iter().map(|mode| {
                let value = mode.get(key).copied().unwrap_or_default();
                if value.fract() == 0.0 { format!("{value:.0}") } else { format!("{value:.1}") }
            });
            self.row(&format!("{name}: {key}"), cells, None);
        }
    }
}

fn cost(cost: Option<(f64, f64)>, digits: usize) -> String {
    cost.map_or_else(
        || "-".to_owned(),
        |(mean, largest)| format!("{mean:.digits$}/{largest:.digits$}"),
    )
}

fn times(percentiles: &Percentiles) -> String {
    let Percentiles { p50_ms, p95_ms, p99_ms, .. } = percentiles;
    format!("{p50_ms:.1}/{p95_ms:.1}/{p99_ms:.1}")
}

fn aftermath(aftermath: &Aftermath) -> IndexMap<String, f64> {
    // Calls of one run are far below the point where doubles lose whole numbers.
    #[allow(clippy::cast_precision_loss)]
    let double = |count: u64| count as f64;
    let lines = [
        ("% of slots used before", aftermath.utilisation_before * 100.0),
        ("seconds below 90% of that, from the begin", aftermath.below_after_begin_seconds),
        ("seconds below 90% of that, from the end", aftermath.below_after_end_seconds),
        ("store calls/s before", aftermath.store_calls_before),
        ("most store calls in 1 s, begin", double(aftermath.store_calls_after_begin)),
        ("most store calls in 1 s, end", double(aftermath.store_calls_after_end)),
        ("store calls refused, end", double(aftermath.store_refused_after_end)),
        ("largest gap from the end on", aftermath.gap_after_end),
    ];
    lines.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()
}

fn counts(counts: &IndexMap<String, u64>) -> IndexMap<String, f64> {
    // Counts of calls are far below the point where doubles lose whole numbers.
    #[allow(clippy::cast_precision_loss)]
    let double = |count: u64| count as f64;
    counts.iter().map(|(name, count)| (name.clone(), double(*count))).collect()
}
