//! The load digests that one router sends and receives.

use {
    super::{
        Changes, Plan, Role, Router, Routing, Target,
        limits::{self, Reports},
        permits, works,
    },
    crate::{
        pool::Pool,
        share::{Ledger, Usage},
    },
    indexmap::IndexMap,
    siskin_types::{
        id::{Customer, Endpoint, Node},
        time::Instant,
    },
    siskin_wire::{
        limit,
        load::{Digest, Leaving, Load},
        permit, work,
    },
    std::time::Duration,
};

/// Longest time between digests to a receiver, even if nothing has changed, so that the receiver does not consider the
/// sender silent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the leaving endpoints are sent to a receiver again.
const LEAVING_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// One router's side of the exchange of load digests.
#[derive(Debug)]
pub struct Exchange {
    routing: Routing,
    sent_states: IndexMap<Node, Snapshot>,
    limits: Reports,
    permits: permits::Exchange,
    works: works::Reports,
}

/// What was last sent to a receiver, and when.
#[derive(Debug, Default)]
struct Snapshot {
    loads: Vec<Load>,
    at: Instant,
    leaving: Vec<Endpoint>,
    leaving_at: Instant,
}

/// The digests that are due now, and the state of the exchange.
#[derive(Clone, Debug)]
pub struct Due {
    /// Digests by receiver.
    pub digests: Vec<(Node, Digest)>,
    /// Reports of limits by receiver.
    pub limits: Vec<(Node, limit::Report)>,
    /// Messages about permits for cold endpoints, by receiver.
    pub permits: Vec<(Node, permit::Message)>,
    /// Reports of remaining work by receiver.
    pub works: Vec<(Node, work::Report)>,
    /// All routers that get digests from this one now and then.
    pub targets: Vec<Node>,
    /// This router's role in the fleet.
    pub role: Role,
    /// The hub of this router; the router itself if it is a hub or a group of its own.
    pub hub: Node,
    /// Routers that were newly detected as silent; they are skipped until they send a digest again.
    pub silent: Vec<Node>,
}

impl Snapshot {
    /// The leaving endpoints to send to the receiver now: none if the same ones were sent recently.
    fn leaving_to_send(&mut self, now: Instant, leaving: Vec<Leaving>) -> Vec<Leaving> {
        let same = leaving.iter().map(|one| one.endpoint).eq(self.leaving.iter().copied());
        if same && now - self.leaving_at < LEAVING_REPEAT_INTERVAL {
            return Vec::new();
        }
        self.leaving = leaving.iter().map(|one| one.endpoint).collect();
        self.leaving_at = now;
        leaving
    }
}

impl Exchange {
    /// Creates the exchange of a router that knows no others yet.
    #[must_use]
    pub fn new(own: Node) -> Self {
        Self {
            routing: Routing::new(own),
            sent_states: IndexMap::new(),
            limits: Reports::default(),
            permits: permits::Exchange::default(),
            works: works::Reports::default(),
        }
    }

    /// Replaces the list of the fleet's routers.
    pub fn list(&mut self, routers: &[Router]) {
        self.routing.set_routers(routers);
    }

    /// Time until the next digests are due.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.routing.interval()
    }

    /// Applies a digest. Returns whether its content counted.
    pub fn take<'a>(
        &mut self,
        now: Instant,
        from: Node,
        digest: &Digest,
        pools: impl Iterator<Item = &'a mut Pool>,
        ledger: &mut Ledger,
    ) -> bool {
        if !self.routing.record_digest(now, from, digest.scope) {
            return false;
        }
        let changes = Changes::from_digest(digest);
        self.routing.queue_changes(Some((from, digest.scope)), &changes);
        for pool in pools {
            pool.apply_digest(now, from, digest);
        }
        for (customer, usage) in changes.usages {
            ledger.add(now, customer, usage);
        }
        true
    }

    /// Applies a report of limits.
    pub fn take_limits(
        &mut self,
        now: Instant,
        from: Node,
        report: &limit::Report,
        pools: &mut IndexMap<String, Pool>,
    ) {
        let counted = self.routing.applies(from, report.scope);
        limits::apply(now, from, report, pools, counted);
    }

    /// Applies a message about permits. Returns the answer to the sender, if there is one.
    pub fn take_permits(
        &mut self,
        now: Instant,
        from: Node,
        message: &permit::Message,
        pools: &mut IndexMap<String, Pool>,
    ) -> Option<permit::Message> {
        self.permits.take(now, from, message, &self.routing, pools)
    }

    /// Applies a report of remaining work.
    pub fn take_works(
        &mut self,
        now: Instant,
        from: Node,
        report: &work::Report,
        pools: &mut IndexMap<String, Pool>,
    ) {
        let counted = self.routing.applies(from, report.scope);
        works::apply(now, from, report, pools, counted);
    }

    /// Builds the digests and reports that are due. `usages` are the costs of customers that this router has added since the last
    /// call.
    pub fn due(
        &mut self,
        now: Instant,
        pools: &mut IndexMap<String, Pool>,
        usages: IndexMap<Customer, Usage>,
    ) -> Due {
        let Plan { targets, hub, silent } = self.routing.plan_digests(now);
        let mut changes = Changes { usages, ..Changes::default() };
        for pool in pools.values_mut() {
            pool.expire(now, |node| self.routing.counts_load_of(now, node));
            pool.take_changes(&mut changes);
        }
        self.routing.queue_changes(None, &changes);
        self.sent_states.retain(|node, _| targets.iter().any(|target| target.node == *node));
        let limits = self.limits.due(now, &self.routing, &targets, pools);
        let permits = self.permits.due(now, &self.routing, &targets, pools);
        let works = self.works.due(now, &self.routing, &targets, pools);
        let receivers = targets.iter().map(|target| target.node).collect();
        let digests = targets
            .into_iter()
            .filter_map(|target| Some((target.node, self.digest(now, target, pools)?)))
            .collect();
        let role = self.routing.role();
        Due { digests, limits, permits, works, targets: receivers, role, hub, silent }
    }

    /// Builds the digest for a receiver, unless there is nothing new for it and no keepalive is due.
    fn digest(
        &mut self,
        now: Instant,
        target: Target,
        pools: &IndexMap<String, Pool>,
    ) -> Option<Digest> {
        let changes = self.routing.take_pending(target.node);
        let loads: Vec<Load> =
            pools.values().flat_map(|pool| self.loads(now, target, pool)).collect();
        let leaving: Vec<Leaving> =
            pools.values().flat_map(|pool| pool.leaving_to_announce(now)).collect();
        let sent = self.sent_states.entry(target.node).or_default();
        let leaving = sent.leaving_to_send(now, leaving);
        let known = now - sent.at < KEEPALIVE_INTERVAL && sent.loads == loads;
        if known && changes.is_empty() && leaving.is_empty() {
            return None;
        }
        sent.loads.clone_from(&loads);
        sent.at = now;
        let mut digest = Digest { scope: target.scope, loads, leaving, ..Digest::default() };
        changes.write_to(&mut digest);
        Some(digest)
    }

    /// The loads on a pool that a receiver gets.
    fn loads(&self, now: Instant, target: Target, pool: &Pool) -> Vec<Load> {
        pool.loads(now, |node| self.routing.covers(now, target, node)).collect()
    }
}
