//! Reports of the remaining work of endpoints, sent to the receivers of load digests.

use {
    super::{Routing, Target, limits::service_number},
    crate::pool::Pool,
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::work::{Mean, Report, Work},
    std::time::Duration,
};

/// Shortest time between reports to a receiver.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Time between reports to a receiver for each endpoint in one, which limits them to 3,200 bytes a second.
const INTERVAL_PER_WORK: Duration = Duration::from_millis(5);

/// Time between reports of the mean costs of routes to a receiver.
const MEANS_INTERVAL: Duration = Duration::from_millis(500);

/// The reports that a router sends.
#[derive(Debug, Default)]
pub(super) struct Reports {
    sent: IndexMap<Node, Sent>,
    /// Number of the first mean of the next report, where one report does not hold all.
    first_mean: usize,
}

/// What a receiver has got.
#[derive(Clone, Copy, Debug, Default)]
struct Sent {
    /// When the last report was sent.
    at: Instant,
    /// When the next report is due.
    due: Instant,
    means_due: Instant,
    /// Number of the first endpoint of the next report, where one report does not hold all.
    first: usize,
}

impl Reports {
    /// Builds the reports that are due; none while no endpoint says how busy it is.
    pub(super) fn due(
        &mut self,
        now: Instant,
        routing: &Routing,
        targets: &[Target],
        pools: &IndexMap<String, Pool>,
    ) -> Vec<(Node, Report)> {
        if !pools.values().any(Pool::places_by_work) {
            return Vec::new();
        }
        self.sent.retain(|node, _| targets.iter().any(|target| target.node == *node));
        let mut reports = Vec::new();
        for target in targets {
            let mut sent = self.sent.get(&target.node).copied().unwrap_or_default();
            if now < sent.due {
                continue;
            }
            let works = select(now, routing, *target, pools, &mut sent);
            let means = if now >= sent.means_due { self.means(pools) } else { Vec::new() };
            if !means.is_empty() {
                sent.means_due = now + MEANS_INTERVAL;
            }
            let entries = u32::try_from(works.len() + 2 * means.len()).unwrap_or(u32::MAX);
            sent.at = now;
            sent.due = now + REPORT_INTERVAL_MIN.max(INTERVAL_PER_WORK.saturating_mul(entries));
            self.sent.insert(target.node, sent);
            if !(works.is_empty() && means.is_empty()) {
                reports.push((target.node, Report { scope: target.scope, works, means }));
            }
        }
        reports
    }

    /// Selects the means of a report, in turn if there are many.
    fn means(&mut self, pools: &IndexMap<String, Pool>) -> Vec<Mean> {
        let active = pools.iter().filter(|(_, pool)| pool.places_by_work());
        let means = active.flat_map(|(name, pool)| pool.costs_to_report(service_number(name)));
        let mut means: Vec<Mean> = means.collect();
        if means.len() > Report::MEANS_MAX {
            let first = self.first_mean % means.len();
            means.rotate_left(first);
            means.truncate(Report::MEANS_MAX);
            self.first_mean = self.first_mean.wrapping_add(Report::MEANS_MAX);
        }
        means
    }
}

/// Selects the endpoints of a report: those with news first, then others with work, in turn.
fn select(
    now: Instant,
    routing: &Routing,
    target: Target,
    pools: &IndexMap<String, Pool>,
    sent: &mut Sent,
) -> Vec<Work> {
    let included = |node| routing.covers(now, target, node);
    let mut works: Vec<(Instant, Work)> =
        pools.values().flat_map(|pool| pool.works_to_report(now, included)).collect();
    if works.len() > Report::WORKS_MAX {
        let first = sent.first % works.len();
        works.rotate_left(first);
        works.sort_by_key(|(changed, _)| *changed < sent.at);
        works.truncate(Report::WORKS_MAX);
        sent.first = sent.first.wrapping_add(Report::WORKS_MAX);
    }
    works.into_iter().map(|(_, work)| work).collect()
}

/// Applies a report of a peer to the pools. The work of endpoints applies only if `counted`.
pub(super) fn apply(
    now: Instant,
    from: Node,
    report: &Report,
    pools: &mut IndexMap<String, Pool>,
    counted: bool,
) {
    for (name, pool) in pools {
        if counted {
            pool.apply_work(now, from, &report.works);
        }
        let number = service_number(name);
        for mean in report.means.iter().filter(|mean| mean.service == number) {
            pool.merge_cost(mean);
        }
    }
}
