//! Reports of endpoints' limits, sent to the receivers of load digests.

use {
    super::{Routing, Target},
    crate::{pool::Pool, prompt},
    indexmap::IndexMap,
    siskin_types::{id::Node, time::Instant},
    siskin_wire::limit::{Limit, Report},
    std::time::Duration,
};

/// Time between reports to a receiver.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// The reports that a router sends.
#[derive(Debug, Default)]
pub(super) struct Reports {
    /// When each receiver got its last report.
    sent: IndexMap<Node, Instant>,
    /// Number of the first limit of the next report, where one report does not hold all.
    first: usize,
}

impl Reports {
    /// Builds the reports that are due; none while no endpoint has a limit. A new receiver gets one at once.
    pub(super) fn due(
        &mut self,
        now: Instant,
        routing: &Routing,
        targets: &[Target],
        pools: &IndexMap<String, Pool>,
    ) -> Vec<(Node, Report)> {
        let has_limits = |pool: &Pool| pool.limits_to_report(now, |_| false).next().is_some();
        if !pools.values().any(has_limits) {
            self.sent.clear();
            return Vec::new();
        }
        self.sent.retain(|node, _| targets.iter().any(|target| target.node == *node));
        let mut reports = Vec::new();
        for target in targets {
            if self.sent.get(&target.node).is_some_and(|at| now - *at < REPORT_INTERVAL) {
                continue;
            }
            self.sent.insert(target.node, now);
            reports.push((target.node, self.report(now, routing, *target, pools)));
            self.first = self.first.wrapping_add(Report::LIMITS_MAX);
        }
        reports
    }

    fn report(
        &self,
        now: Instant,
        routing: &Routing,
        target: Target,
        pools: &IndexMap<String, Pool>,
    ) -> Report {
        let included = |node| routing.covers(now, target, node);
        let mut limits = Vec::new();
        let mut demands = Vec::new();
        for (name, pool) in pools {
            let before = limits.len();
            limits.extend(pool.limits_to_report(now, included));
            if limits.len() > before && demands.len() < Report::DEMANDS_MAX {
                demands.push(pool.demand_to_report(now, service_number(name), included));
            }
        }
        Report { scope: target.scope, demands, limits: self.select(limits) }
    }

    /// Selects the limits of a report: news first, then the others in turn.
    fn select(&self, mut limits: Vec<(bool, Limit)>) -> Vec<Limit> {
        if limits.len() > Report::LIMITS_MAX {
            let first = self.first % limits.len();
            limits.rotate_left(first);
            limits.sort_by_key(|(is_news, _)| !is_news);
            limits.truncate(Report::LIMITS_MAX);
        }
        limits.into_iter().map(|(_, limit)| limit).collect()
    }
}

/// Applies a report of a peer to the pools. Its counts apply only if `counted`.
pub(super) fn apply(
    now: Instant,
    from: Node,
    report: &Report,
    pools: &mut IndexMap<String, Pool>,
    counted: bool,
) {
    for (name, pool) in pools {
        pool.apply_limits(now, from, &report.limits, counted);
        let number = service_number(name);
        let demand = report.demands.iter().find(|demand| demand.service == number);
        if let Some(demand) = demand.filter(|_| counted) {
            pool.apply_demand(now, from, demand);
        }
    }
}

/// The number of a service in reports.
pub(super) fn service_number(name: &str) -> u32 {
    prompt::upper_half(name.bytes().fold(0, |hash, byte| prompt::mix(hash, u64::from(byte))))
}
