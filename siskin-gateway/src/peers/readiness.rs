//! Which routers of this data centre fail their readiness checks, and when this router reports them.

use {
    siskin_dispatch::{
        readiness::{REPORT_INTERVAL, Strained},
        spread::Router,
    },
    siskin_types::{id::Node, time::Instant},
    siskin_wire::strain::Report,
};

#[derive(Debug)]
pub(super) struct Readiness {
    /// The listed routers of this data centre.
    routers: Vec<Node>,
    strained: Strained,
    reported: Option<Instant>,
}

impl Readiness {
    pub(super) fn new(own: Node) -> Self {
        Self { routers: Vec::new(), strained: Strained::new(own), reported: None }
    }

    /// Replaces the list of the fleet's routers.
    pub(super) fn set_routers(&mut self, fleet: &[Router], data_centre: &str) {
        let here = fleet.iter().filter(|router| router.data_centre == data_centre);
        self.routers = here.map(|router| router.node).collect();
        self.strained.set_routers(&self.routers);
    }

    pub(super) fn merge(&mut self, now: Instant, report: &Report) {
        self.strained.merge(now, report);
    }

    /// Records since when this router has been strained, if it is. Returns whether it has to be ready again as soon as it has
    /// recovered.
    pub(super) fn must_return(&mut self, now: Instant, own_strain: Option<Instant>) -> bool {
        self.strained.record_own(now, own_strain);
        self.strained.must_return(now)
    }

    /// The other routers of this data centre that are strained.
    pub(super) fn strained(&self, now: Instant) -> impl Iterator<Item = Node> {
        self.strained.others(now)
    }

    /// The report that is due now, if any, and those of the `targets` that get it.
    pub(super) fn due_report(
        &mut self,
        now: Instant,
        targets: &[Node],
    ) -> Option<(Vec<Node>, Report)> {
        if self.reported.is_some_and(|at| now - at < REPORT_INTERVAL) {
            return None;
        }
        let report = self.strained.report(now);
        if report.strained.is_empty() {
            return None;
        }
        self.reported = Some(now);
        let receivers = targets.iter().filter(|node| self.routers.contains(node)).copied();
        Some((receivers.collect(), report))
    }
}
