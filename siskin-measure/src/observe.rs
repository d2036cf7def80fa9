//! Watches the stand-ins and routers while a run lasts.

use {
    crate::{
        caller, gap::Gap, phase::Phases, rollout::Rollout, site::Site, tally::Tally,
        workload::Customer,
    },
    indexmap::IndexMap,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Time between samples.
pub(crate) const SAMPLE: Duration = Duration::from_millis(10);

/// Age at which a request without a first byte counts as waiting. Younger ones are under way between
/// processes or wait for their first token.
const WAITING_AGE: Duration = Duration::from_millis(30);

/// Time after which a leaving endpoint must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What is seen at the endpoints and routers.
#[derive(Debug)]
pub(crate) struct Observer {
    users: Vec<String>,
    weights: Vec<f64>,
    pub(crate) gap: Gap,
    /// Slot time that was idle while requests waited, and slot time in all of these samples.
    idle: f64,
    offered: f64,
    /// Slot time used and slot time in all samples.
    used: f64,
    total: f64,
    last: Option<Instant>,
    versions: HashMap<(usize, u32), u64>,
    /// Largest number of requests at an engine above its slots.
    pub(crate) excess: u32,
    leaving_since: Option<Instant>,
    waiting: u32,
    /// Service of each customer per unit of weight.
    service: Vec<f64>,
    /// Backlogged customers in all samples, and samples.
    backlogged: usize,
    samples: u32,
    pub(crate) phases: Phases,
    pub(crate) rollout: Rollout,
    /// Gap since the end of the faults.
    pub(crate) gap_after: Gap,
}

impl Observer {
    pub(crate) fn new(customers: &[Customer], phases: Phases) -> Self {
        Self {
            users: (0..customers.len()).map(caller::user).collect(),
            weights: customers.iter().map(|customer| f64::from(customer.weight)).collect(),
            gap: Gap::new(customers.len()),
            idle: 0.0,
            offered: 0.0,
            used: 0.0,
            total: 0.0,
            last: None,
            versions: HashMap::new(),
            excess: 0,
            leaving_since: None,
            waiting: 0,
            service: vec![0.0; customers.len()],
            backlogged: 0,
            samples: 0,
            phases,
            rollout: Rollout::default(),
            gap_after: Gap::new(customers.len()),
        }
    }

    /// Customers that were backlogged at the same time, on average.
    pub(crate) fn backlogged(&self) -> f64 {
        // Samples times customers are far below the point where doubles lose whole numbers.
        #[allow(clippy::cast_precision_loss)]
        let sum = self.backlogged as f64;
        sum / f64::from(self.samples.max(1))
    }

    /// Takes a sample.
    pub(crate) fn sample(&mut self, site: &Site, tally: &Tally) {
        let now = Instant::now();
        let elapsed = self.last.replace(now).map_or(0.0, |last| (now - last).as_secs_f64());
        let (service, running) = self.service(site);
        let (mut slots, mut busy) = (0, 0);
        for engine in site.running_engines() {
            let load = engine.load();
            slots += load.slots;
            busy += load.running;
            self.excess = self.excess.max(load.waiting);
            if load.leaving {
                self.leaving_since.get_or_insert(now);
            }
        }
        let waiting = waiting(now, tally, &running);
        let backlogged: Vec<_> = waiting.iter().map(|count| *count > 0).collect();
        self.gap.sample(&service, &backlogged);
        self.backlogged += backlogged.iter().filter(|waits| **waits).count();
        self.samples += 1;
        self.service = service;
        self.waiting = waiting.iter().sum();
        let free = f64::from(slots.saturating_sub(busy));
        self.total += f64::from(slots) * elapsed;
        self.used += f64::from(busy) * elapsed;
        self.phases.sample(
            now,
            site.store.counters(),
            (f64::from(slots) * elapsed, f64::from(busy) * elapsed),
        );
        if self.phases.after_fault(now) {
            self.gap_after.sample(&self.service, &backlogged);
        }
        if self.waiting > 0 {
            self.offered += f64::from(slots) * elapsed;
            self.idle += free.min(f64::from(self.waiting)) * elapsed;
        }
        self.check_versions(site, tally);
    }

    /// Part of the slots in use while work waits, if any waited.
    pub(crate) fn utilisation_while_waiting(&self) -> Option<f64> {
        (self.offered > 0.0).then(|| 1.0 - self.idle / self.offered)
    }

    /// Part of the slots in use over the whole run.
    pub(crate) fn utilisation(&self) -> f64 {
        if self.total > 0.0 { self.used / self.total } else { 0.0 }
    }

    /// Service per unit of weight, by customer.
    pub(crate) fn by_customer(&self) -> IndexMap<String, f64> {
        self.users.iter().cloned().zip(self.service.iter().copied()).collect()
    }

    /// Requests that wait now.
    pub(crate) const fn waiting(&self) -> u32 {
        self.waiting
    }

    /// Runs that began at a leaving engine after the limit.
    pub(crate) fn late_starts(&self, site: &Site) -> Option<usize> {
        let limit = self.leaving_since? + LEAVING_LIMIT;
        let log = site.engines.first()?.log();
        let late = log.iter().filter(|run| !run.resumed && run.arrived > limit);
        Some(late.count())
    }

    /// Service per unit of weight and running requests, by customer.
    fn service(&self, site: &Site) -> (Vec<f64>, Vec<u32>) {
        let mut service = vec![0.0; self.users.len()];
        let mut running = vec![0; self.users.len()];
        for engine in &site.engines {
            let table = engine.service();
            for (index, user) in self.users.iter().enumerate() {
                if let Some(own) = table.get(user) {
                    // Sums stay far below the point where doubles lose whole units.
                    #[allow(clippy::cast_precision_loss)]
                    let units = own.units as f64;
                    service[index] += units / self.weights[index];
                    running[index] += own.running;
                }
            }
        }
        (service, running)
    }

    fn check_versions(&mut self, site: &Site, tally: &Tally) {
        let versions = site.versions();
        let in_force: Vec<_> = versions.iter().map(|seen| seen.in_force).collect();
        self.rollout.sample(Instant::now(), &in_force);
        for seen in versions {
            let last = self.versions.entry((seen.router, seen.start)).or_default();
            if seen.in_force < *last {
                let case = format!("router {} from {last} to {}", seen.router, seen.in_force);
                tally.lock().broken.version_went_down.push(case);
            }
            *last = seen.in_force;
        }
    }
}

/// Requests of each customer that wait for a slot.
fn waiting(now: Instant, tally: &Tally, running: &[u32]) -> Vec<u32> {
    let sheet = tally.lock();
    let customers = sheet.open.iter().zip(running);
    customers
        .map(|(open, running)| {
            let old = now.checked_sub(WAITING_AGE).unwrap_or(now);
            let aged = open.unstarted.range(..(old, 0)).count();
            let not_running = open.outstanding.saturating_sub(*running);
            u32::try_from(aged).unwrap_or(u32::MAX).min(not_running)
        })
        .collect()
}
