//! One router's digests: what it sends, and what it takes over.

use {
    super::{Changes, Part, Plan, Router, Spread, Target},
    crate::{
        pool::Pool,
        share::{Ledger, Usage},
    },
    indexmap::IndexMap,
    siskin_types::{
        id::{Customer, Endpoint, Node},
        time::Instant,
    },
    siskin_wire::load::{Digest, Leaving, Load, Scope},
    std::time::Duration,
};

/// Time after which a digest is sent although nothing has changed, so that its receiver does not take the sender for
/// silent.
const KEEPALIVE: Duration = Duration::from_millis(200);

/// Time after which a receiver is told again of endpoints that leave.
const REPEAT: Duration = Duration::from_secs(1);

/// One router's side of the exchange of load.
#[derive(Debug)]
pub struct Exchange {
    spread: Spread,
    told: IndexMap<Node, Told>,
}

/// What a receiver was last told.
#[derive(Debug, Default)]
struct Told {
    loads: Vec<Load>,
    at: Instant,
    leaving: Vec<Endpoint>,
    leaving_at: Instant,
}

/// What is due now.
#[derive(Clone, Debug)]
pub struct Due {
    /// Digests by receiver.
    pub digests: Vec<(Node, Digest)>,
    /// This router's part in the fleet.
    pub part: Part,
    /// The hub of this router; itself if it serves others, or if it is a group of its own.
    pub hub: Node,
    /// Routers that have just been found silent and are passed over until they are heard of.
    pub silent: Vec<Node>,
}

impl Told {
    /// What the receiver is to be told now of endpoints that leave: nothing if it was told lately.
    fn leaving(&mut self, now: Instant, leaving: Vec<Leaving>) -> Vec<Leaving> {
        let same = leaving.iter().map(|one| one.endpoint).eq(self.leaving.iter().copied());
        if same && now - self.leaving_at < REPEAT {
            return Vec::new();
        }
        self.leaving = leaving.iter().map(|one| one.endpoint).collect();
        self.leaving_at = now;
        leaving
    }
}

impl Exchange {
    /// The side of a router that knows of no other yet.
    #[must_use]
    pub fn new(own: Node) -> Self {
        Self { spread: Spread::new(own), told: IndexMap::new() }
    }

    /// Takes over the list of the fleet's routers.
    pub fn list(&mut self, routers: &[Router]) {
        self.spread.list(routers);
    }

    /// Time until the next digests are due.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.spread.interval()
    }

    /// Takes over what a digest tells. Tells whether it counted.
    pub fn take<'a>(
        &mut self,
        now: Instant,
        from: Node,
        digest: &Digest,
        pools: impl Iterator<Item = &'a mut Pool>,
        ledger: &mut Ledger,
    ) -> bool {
        if !self.spread.hear(now, from, digest.scope) {
            return false;
        }
        let changes = Changes::of(digest);
        self.spread.pass_on(Some((from, digest.scope)), &changes);
        for pool in pools {
            pool.hear(now, from, digest);
        }
        for (customer, usage) in changes.usages {
            ledger.add(now, customer, usage);
        }
        true
    }

    /// The digests that are due. `usages` are the costs of customers that this router has added since it was last asked.
    pub fn due(
        &mut self,
        now: Instant,
        pools: &mut IndexMap<String, Pool>,
        usages: IndexMap<Customer, Usage>,
    ) -> Due {
        let Plan { targets, hub, silent } = self.spread.plan(now);
        let mut changes = Changes { usages, ..Changes::default() };
        for pool in pools.values_mut() {
            pool.expire(now, |node| self.spread.counts(now, node));
            pool.take_changes(&mut changes);
        }
        self.spread.pass_on(None, &changes);
        self.told.retain(|node, _| targets.iter().any(|target| target.node == *node));
        let digests = targets
            .into_iter()
            .filter_map(|target| Some((target.node, self.digest(now, target, pools)?)))
            .collect();
        Due { digests, part: self.spread.part(), hub, silent }
    }

    /// The digest for a receiver, unless it knows all of it.
    fn digest(
        &mut self,
        now: Instant,
        target: Target,
        pools: &IndexMap<String, Pool>,
    ) -> Option<Digest> {
        let changes = self.spread.take(target.node);
        let loads: Vec<Load> =
            pools.values().flat_map(|pool| self.loads(now, target, pool)).collect();
        let leaving: Vec<Leaving> = pools.values().flat_map(|pool| pool.told(now)).collect();
        let told = self.told.entry(target.node).or_default();
        let leaving = told.leaving(now, leaving);
        let known = now - told.at < KEEPALIVE && told.loads == loads;
        if known && changes.is_empty() && leaving.is_empty() {
            return None;
        }
        told.loads.clone_from(&loads);
        told.at = now;
        let mut digest = Digest { scope: target.scope, loads, leaving, ..Digest::default() };
        changes.write(&mut digest);
        Some(digest)
    }

    /// The loads on a pool that a receiver is told of.
    fn loads(&self, now: Instant, target: Target, pool: &Pool) -> Vec<Load> {
        let included = |node| match target.scope {
            Scope::Own => false,
            Scope::Group => self.spread.is_member(now, node),
            Scope::Fleet => node != target.node,
        };
        pool.loads(now, included).collect()
    }
}
