//! Reports of the remaining work of endpoints, sent to the receivers of load digests.

use {
    super::{Routing, Target, limits::service_number},
    crate::pool::Pool,
    indexmap::IndexMap,
    siskin_types::{
        id::{Endpoint, Node},
        time::Instant,
    },
    siskin_wire::{
        load::Scope,
        work::{Mean, Report, Work},
    },
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

/// An endpoint that a report may hold.
struct Candidate<'a> {
    /// When its work last changed.
    changed: Instant,
    pool: &'a Pool,
    endpoint: Endpoint,
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
        // The receivers of a router are all of one kind: its hub, or other hubs and members.
        let own = targets.iter().all(|target| target.scope == Scope::Own);
        let candidates: Vec<Candidate<'_>> = pools
            .values()
            .flat_map(|pool| {
                let changed = pool.changed_works(now, own);
                changed.map(move |(changed, endpoint)| Candidate { changed, pool, endpoint })
            })
            .collect();
        let mut reports = Vec::new();
        for target in targets {
            let mut sent = self.sent.get(&target.node).copied().unwrap_or_default();
            if now < sent.due {
                continue;
            }
            let works = select(now, routing, *target, &candidates, &mut sent);
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
    candidates: &[Candidate<'_>],
    sent: &mut Sent,
) -> Vec<Work> {
    let included = |node| routing.covers(now, target, node);
    let first = sent.first.checked_rem(candidates.len()).unwrap_or_default();
    let (before, after) = candidates.split_at(first);
    let in_turn = || after.iter().chain(before);
    let last_report = sent.at;
    let is_news = |candidate: &Candidate<'_>| candidate.changed >= last_report;
    let news = in_turn().filter(|candidate| is_news(candidate));
    let others = in_turn().filter(|candidate| !is_news(candidate));
    let mut works = Vec::new();
    let mut considered = 0;
    for candidate in news.chain(others) {
        if works.len() == Report::WORKS_MAX {
            break;
        }
        considered += 1;
        works.extend(candidate.pool.work_to_report(now, candidate.endpoint, included));
    }
    sent.first = first + considered;
    works
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
