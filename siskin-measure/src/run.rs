//! One run of a workload in one mode.

use {
    crate::{
        Options,
        caller::Caller,
        fault,
        mode::Mode,
        observe::{Observer, SAMPLE},
        page::Page,
        phase::Phases,
        report::{Cost, Fairness, Figures, Percentiles},
        site::{MAX_REQUEST, REUSE_SLACK, Site},
        tally::{Sheet, Tally},
        workload::{self, Call, Customer},
    },
    indexmap::IndexMap,
    siskin_site::process::Usage,
    siskin_standin::{engine, kv::Counters},
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, MissedTickBehavior, interval, sleep, sleep_until, timeout},
    },
};

/// Time for the calls of the end to finish before they are given up.
const DRAIN: Duration = Duration::from_secs(1);

/// Time for endpoints to notice that callers have gone, before histories are compared.
const SETTLE: Duration = Duration::from_millis(300);

/// Time between progress lines.
const PROGRESS: Duration = Duration::from_secs(5);

/// Runs shorter than this print no progress.
const PROGRESS_FROM: Duration = Duration::from_secs(20);

/// Report interval of the design.
const REPORT_INTERVAL_SECONDS: f64 = 0.25;

/// Bytes in a megabyte of the report.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Counters at one time.
struct Snapshot {
    /// Counters of each router.
    pages: Vec<Page>,
    /// Usage of each router that runs as a process.
    usage: Vec<Option<Usage>>,
    store: Counters,
    units: u64,
}

/// Runs the workload and returns the figures.
pub(crate) async fn run(options: &Options, mode: Mode) -> anyhow::Result<Figures> {
    let shape = options.workload();
    let customers = workload::customers(&shape);
    let calls = workload::schedule(&shape, &options.faults);
    let site = Site::start(options, mode, &customers).await?;
    site.ready().await?;
    site.register(options.registered).await?;
    site.ready().await?;
    let tally = Arc::new(Tally::new(customers.len()));
    let before = Snapshot::of(&site).await;
    let start = Instant::now();
    let third = options.duration / 3;
    let faults = (!options.faults.is_empty()).then_some((third, third * 2));
    let mut observer = Observer::new(&customers, Phases::new(start.into_std(), faults));
    let mut calling = JoinSet::new();
    let work = async {
        tokio::join!(
            send(options, &site, &tally, calls, start, &mut calling),
            observe(options, mode, &site, &tally, &mut observer, start),
            fault::inject(&site, &options.faults, start + third, start + third * 2),
            change(options, &site, start),
        )
    };
    let (.., changes) = tokio::select! {
        done = work => done,
        () = site.follow_versions(), if options.program.is_some() => unreachable!("it never ends"),
    };
    let after = Snapshot::of(&site).await;
    drain(&mut calling).await;
    let figures = {
        let mut sheet = tally.lock();
        check_runs(&site, &mut sheet);
        Run { options, mode, customers: &customers, site: &site, observer: &observer }.figures(
            &sheet,
            changes,
            (&before, &after),
        )
    };
    site.stop().await;
    Ok(figures)
}

/// Sends the calls at their times, whatever has become of the earlier ones.
async fn send(
    options: &Options,
    site: &Site,
    tally: &Arc<Tally>,
    calls: Vec<Call>,
    start: Instant,
    calling: &mut JoinSet<()>,
) {
    let caller = Caller::new(site.callers().to_vec(), options.models, Arc::clone(tally));
    for call in calls {
        sleep_until(start + call.at).await;
        calling.spawn(caller.clone().run(call));
        while calling.try_join_next().is_some() {}
    }
}

/// Changes the configuration until the end of the run, and returns how many changes were accepted.
async fn change(options: &Options, site: &Site, start: Instant) -> u32 {
    let count = options.changes * options.duration.as_secs_f64();
    if count < 1.0 {
        return 0;
    }
    // A run has at most some thousands of changes.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = count as u32;
    site.change(count, start, options.duration / count).await
}

/// Samples until the end of the run.
async fn observe(
    options: &Options,
    mode: Mode,
    site: &Site,
    tally: &Tally,
    observer: &mut Observer,
    start: Instant,
) {
    let mut ticks = interval(SAMPLE);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut progress = start + PROGRESS;
    while start.elapsed() < options.duration {
        ticks.tick().await;
        observer.sample(site, tally);
        if options.duration >= PROGRESS_FROM && Instant::now() >= progress {
            progress += PROGRESS;
            print_progress(options, mode, tally, observer, start.elapsed());
        }
    }
}

fn print_progress(
    options: &Options,
    mode: Mode,
    tally: &Tally,
    observer: &Observer,
    elapsed: Duration,
) {
    let sheet = tally.lock();
    eprintln!(
        "{} {mode}: {} of {} s, {} sent, {} completed, {} waiting, largest gap {:.0}",
        options.scenario.name(),
        elapsed.as_secs(),
        options.duration.as_secs(),
        sheet.sent,
        sheet.count("completed"),
        observer.waiting(),
        observer.gap.largest(),
    );
}

/// Waits a little for the last calls, then gives them up as callers that go away do.
async fn drain(calling: &mut JoinSet<()>) {
    let all = async { while calling.join_next().await.is_some() {} };
    let _ = timeout(DRAIN, all).await;
    calling.shutdown().await;
    sleep(SETTLE).await;
}

/// Compares what callers were told with what ran.
fn check_runs(site: &Site, sheet: &mut Sheet) {
    let ran = |request: &str| {
        let engines = site.engines.iter().map(|engine| engine.runs(request)).sum::<u64>();
        engines + site.bookings.runs(request)
    };
    for not_run in sheet.not_run.iter().filter(|not_run| !not_run.request.is_empty()) {
        if ran(&not_run.request) > 0 {
            let case = format!("request {} ({})", not_run.request, not_run.reason);
            sheet.broken.false_not_run.push(case);
        }
    }
    for key in sheet.confirmations.keys() {
        let runs = site.bookings.runs(key);
        if runs > 1 {
            sheet.broken.doubled_runs.push(format!("{key} ran {runs} times"));
        }
    }
}

impl Snapshot {
    async fn of(site: &Site) -> Self {
        let units = |engine: &engine::Server| {
            engine.service().values().map(|service| service.units).sum::<u64>()
        };
        Self {
            usage: site.usage(),
            pages: site.pages().await,
            store: site.store.counters(),
            units: site.engines.iter().map(units).sum(),
        }
    }
}

/// A run that has ended.
struct Run<'a> {
    options: &'a Options,
    mode: Mode,
    customers: &'a [Customer],
    site: &'a Site,
    observer: &'a Observer,
}

impl Run<'_> {
    fn figures(
        &self,
        sheet: &Sheet,
        changes: u32,
        (before, after): (&Snapshot, &Snapshot),
    ) -> Figures {
        let seconds = self.options.duration.as_secs_f64();
        let routers = self.mode.routers(self.options.routers);
        let each = seconds * f64::from(routers);
        let pages: Vec<_> = after.pages.iter().zip(&before.pages).collect();
        let pages: Vec<_> = pages.into_iter().map(|(after, before)| after.since(before)).collect();
        let mut page = Page::default();
        for own in &pages {
            page.merge(own);
        }
        let sent = [("direction", "sent")];
        let bytes = |page: &Page| page.sum("siskin_control_bytes_total", &sent);
        let busiest = pages.iter().map(bytes).fold(0.0, f64::max);
        let by_kind = page.by("siskin_control_bytes_total", "kind");
        let tokens_per_second = double(after.units - before.units) / seconds;
        let ended: u64 = sheet.ends.values().sum();
        let attempts: u64 = sheet.confirmations.values().map(|count| u64::from(*count)).sum();
        let again = attempts.saturating_sub(sheet.confirmations.len() as u64);
        Figures {
            mode: self.mode.name(),
            routers,
            seconds,
            sent: sheet.sent,
            unfinished: (sheet.sent + again).saturating_sub(ended),
            fairness: self.fairness(tokens_per_second),
            utilisation_while_waiting: self.observer.utilisation_while_waiting(),
            utilisation: self.observer.utilisation(),
            tokens_per_second,
            service_by_customer: self.observer.by_customer(),
            engine_excess: self.observer.excess,
            late_starts_at_leaving: self.observer.late_starts(self.site),
            control_bytes_per_second: bytes(&page) / each,
            control_bytes_per_second_busiest: busiest / seconds,
            control_messages_per_second: page.sum("siskin_control_messages_total", &sent) / each,
            control_bytes_by_kind: per(by_kind, 2.0 * each),
            store_calls_per_second: per(store_calls(&before.store, &after.store), seconds),
            first_token: Percentiles::of(&sheet.first_token),
            between_tokens: Percentiles::of(&sheet.between_tokens),
            outcomes: sorted(sheet.ends.clone()),
            confirmation_runs: self.confirmation_runs(sheet),
            refusals: page.by("siskin_refusals_total", "reason"),
            retries: page.by("siskin_retries_total", "reason"),
            broken: sheet.broken.clone(),
            changes,
            rollout: (self.options.program.is_none() && changes > 0)
                .then(|| Percentiles::of(self.observer.rollout.times())),
            backlogged_customers: self.observer.backlogged(),
            aftermath: self.observer.phases.aftermath(self.observer.gap_after.largest()),
            load_average: load_average(),
            cost_by_router: self.costs(&pages, before, after),
        }
    }

    /// What each router used and sent. `pages` holds the counters of the run.
    fn costs(&self, pages: &[Page], before: &Snapshot, after: &Snapshot) -> Vec<Cost> {
        let seconds = self.options.duration.as_secs_f64();
        let cost = |(number, page): (u32, &Page)| {
            let index = number as usize;
            let usage = after.usage[index].zip(before.usage[index]);
            let control = |name: &str, direction: &str| {
                page.sum(&format!("siskin_control_{name}_total"), &[("direction", direction)])
                    / seconds
            };
            Cost {
                router: number,
                owned_pools: after.pages[index].sum("siskin_owned_pools", &[]),
                requests_per_second: page.sum("siskin_requests_total", &[]) / seconds,
                processor_percent: usage.map(|(after, before)| {
                    let used = after.processor.saturating_sub(before.processor);
                    used.as_secs_f64() / seconds * 100.0
                }),
                resident_mb: usage.map(|(after, _)| double(after.resident_bytes) / BYTES_PER_MB),
                sent_bytes_per_second: control("bytes", "sent"),
                sent_messages_per_second: control("messages", "sent"),
                received_bytes_per_second: control("bytes", "received"),
                received_messages_per_second: control("messages", "received"),
            }
        };
        (0..).zip(pages).map(cost).collect()
    }

    /// The bound is that of the design: `2 * M / w + R * I / w + T`.
    fn fairness(&self, rate: f64) -> Fairness {
        let weight = self.customers.iter().map(|customer| customer.weight).min().unwrap_or(1);
        let slots = self.options.engines * self.options.engine_slots;
        let in_flight = double(MAX_REQUEST) * f64::from(slots);
        let bound = (2.0 * in_flight + rate * REPORT_INTERVAL_SECONDS) / f64::from(weight);
        Fairness {
            largest: self.observer.gap.largest(),
            p99: self.observer.gap.p99(),
            bound: bound + double(REUSE_SLACK),
            samples: self.observer.gap.samples(),
        }
    }

    /// Confirmations by the number of times they ran.
    fn confirmation_runs(&self, sheet: &Sheet) -> IndexMap<String, u64> {
        let mut runs = IndexMap::new();
        for key in sheet.confirmations.keys() {
            let name = format!("{} times", self.site.bookings.runs(key));
            *runs.entry(name).or_default() += 1;
        }
        sorted(runs)
    }
}

/// Load average of the machine over the last minute, if it tells one.
fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}

fn store_calls(before: &Counters, after: &Counters) -> IndexMap<String, f64> {
    let kinds = [
        ("reads", after.reads - before.reads),
        ("writes", after.writes - before.writes),
        ("leases", after.leases - before.leases),
        ("watches", after.watches - before.watches),
        ("refused", after.limited - before.limited),
    ];
    kinds.into_iter().map(|(name, count)| (name.to_owned(), double(count))).collect()
}

fn per(mut figures: IndexMap<String, f64>, divisor: f64) -> IndexMap<String, f64> {
    figures.values_mut().for_each(|value| *value /= divisor);
    figures
}

fn sorted(mut counts: IndexMap<String, u64>) -> IndexMap<String, u64> {
    counts.sort_unstable_keys();
    counts
}

/// Counts of calls and tokens are far below the point where doubles lose whole numbers.
#[allow(clippy::cast_precision_loss)]
const fn double(count: u64) -> f64 {
    count as f64
}
